//! The values that the platform publishes: the table, the services and the instances.
//!
//! Unknown fields are ignored, so that an older instance can read the values of a newer platform.

use serde::{Deserialize, Serialize};

use crate::id::{InstanceId, OrganisationId, Rank, RegionId, ServiceId, TierId, ZoneId};

/// Priority tier of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tier {
    /// Name that callers send in `Kingcup-Tier`.
    pub tier: TierId,
    /// Rank; 0 is the highest tier.
    pub rank: Rank,
    /// Weight of the tier's goodput when the tiers are summed.
    pub weight: u32,
}

/// One organisation with its weight and limits; a missing limit means unlimited.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub organisation: OrganisationId,
    /// Share of capacity inside a tier, relative to the other organisations.
    pub weight: u32,
    /// Highest tier that its requests may use.
    pub max_tier: TierId,
    /// SHA-256 hash of each of its API keys, in hexadecimal.
    #[serde(default)]
    pub key_sha256: Vec<String>,
    /// Limit of requests per second over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Limit of tokens per second over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<f64>,
    /// Limit of dispatched and unfinished requests over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_running: Option<u32>,
    /// Regions in which its requests may be served; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<RegionId>,
}

/// Table of tiers, weights and limits that operators edit.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The tiers.
    pub tiers: Vec<Tier>,
    /// The organisations.
    pub organisations: Vec<Organisation>,
    /// Drained zones, whose replicas get no new requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub emptied_zones: Vec<ZoneId>,
}

/// Whether a service is a model engine or a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model engine that streams completions.
    Model,
    /// Plain service for any HTTP call.
    Plain,
}

/// Description of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service; for a model, the `model` field of a completion request.
    pub service: ServiceId,
    /// Whether it is a model or a plain service.
    pub kind: ServiceKind,
    /// Calls that must not be retried, each as `METHOD /path`.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
    /// Hardware generation, if all replicas have the same one.
    #[serde(default)]
    pub generation: Option<String>,
    /// Whether the engines of the service refuse calls with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// The published list of services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Services {
    /// The services.
    pub services: Vec<Service>,
}

/// Role of an instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry instance (`kingcupd`).
    Entry,
    /// A replica of a service.
    Upstream,
}

/// Whether an instance accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The instance accepts new requests.
    Live,
    /// The instance completes its requests and accepts no new ones.
    Leaving,
}

/// One entry instance or upstream replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance or replica.
    pub instance: InstanceId,
    /// Role of the instance.
    pub role: Role,
    /// Availability zone.
    pub availability_zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// `IP:port` for callers (entry instance) or for dispatched requests (upstream).
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
    /// Whether it accepts new requests.
    pub state: State,
}

/// The published list of instances, which may lag behind the actual state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instances {
    /// The instances.
    pub instances: Vec<Instance>,
}
