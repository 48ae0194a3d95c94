//! The three values that the platform publishes: the table, the services and the instances.
//!
//! Unknown fields are ignored, so that a newer platform does not stop an older instance.

use serde::{Deserialize, Serialize};

use crate::id::{InstanceId, OrganisationId, Rank, RegionId, ServiceId, TierId, ZoneId};

/// One tier of importance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tier {
    /// Name that callers send in `Kingcup-Tier`.
    pub tier: TierId,
    /// Position; 0 is the highest.
    pub rank: Rank,
    /// Weight of the tier's goodput when the tiers are summed.
    pub weight: u32,
}

/// One organisation with its share and its limits; a missing limit means none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub organisation: OrganisationId,
    /// Share of capacity inside a tier, relative to the other organisations.
    pub weight: u32,
    /// Highest tier that it may use.
    pub max_tier: TierId,
    /// SHA-256 of each of its keys, in hexadecimal.
    #[serde(default)]
    pub key_sha256: Vec<String>,
    /// Requests a second over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Tokens a second over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<f64>,
    /// Requests dispatched and unfinished over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_running: Option<u32>,
    /// Regions in which its requests may be served; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<RegionId>,
}

/// The operators' table of weights and limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The tiers.
    pub tiers: Vec<Tier>,
    /// The organisations.
    pub organisations: Vec<Organisation>,
    /// Zones whose replicas get nothing new.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub emptied_zones: Vec<ZoneId>,
}

/// Whether a service is a model engine or a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Completions, streamed.
    Model,
    /// Any HTTP call.
    Plain,
}

/// Description of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name; for a model it is the `model` of a completion.
    pub service: ServiceId,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Calls that must not be repeated, each as `METHOD /path`.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
    /// Hardware generation when all replicas share one.
    #[serde(default)]
    pub generation: Option<String>,
    /// Whether its engines refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// The published services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Services {
    /// The services.
    pub services: Vec<Service>,
}

/// What an instance of the list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry instance (`kingcupd`).
    Entry,
    /// A replica of a service.
    Upstream,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes new work.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// One entry instance or upstream replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub instance: InstanceId,
    /// Entry instance or upstream.
    pub role: Role,
    /// Availability zone.
    pub availability_zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// `IP:port` for callers (entry) or for dispatched work (upstream).
    pub address: String,
    /// `IP:port` for peers; entry instances only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rpc_address: Option<String>,
    /// Service of a replica; upstreams only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Hardware generation; upstreams only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<String>,
    /// Live or leaving.
    pub state: State,
}

/// The published, lagging list of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// The instances.
    pub instances: Vec<Instance>,
}
