//! Messages between instances about each other's state and about upstreams that are shutting down.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, InstanceId, UpstreamId, Version, ZoneId};

/// Health of an instance in a claim; of two claims with equal revision, the worse health counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It responds.
    Live,
    /// It stopped responding and may still refute that.
    Suspected,
    /// It stopped responding and has not refuted that in time.
    Dead,
}

/// Claim about an instance. The one with the higher (incarnation, revision, health) replaces the
/// other; only the instance itself increases its revision.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Name of the instance that the claim is about.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Incarnation of the instance; 0 if the sender never received a message from it.
    pub incarnation: Incarnation,
    /// Increased by the instance to refute a suspicion.
    #[serde(rename = "word")]
    pub revision: u64,
    /// Health of the instance as seen by the sender.
    pub health: Health,
    /// Whether the instance is shutting down, which it can't revoke within an incarnation.
    pub leaving: bool,
}

/// Report that an upstream is shutting down.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeavingUpstream {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Version of the list in force where the report originated. A later list in which the upstream
    /// is live again ends the report.
    pub seen_at: Version,
}

/// Message between instances about membership.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipMessage {
    /// Shows that the sender is alive.
    Heartbeat {
        /// Claim of the sender about itself.
        own: Claim,
        /// Whether the receiver should reply with a heartbeat of its own.
        answer: bool,
        /// A few claims of the sender about others, in rotation.
        seen: Vec<Claim>,
        /// Reports of upstreams that are shutting down.
        leaving_upstreams: Vec<LeavingUpstream>,
    },
    /// Relays that an instance stopped responding, or is dead.
    Suspect(Claim),
    /// Relays that an instance is shutting down.
    Leaving(Claim),
    /// Relays an instance's own claim to be alive.
    Alive(Claim),
    /// Relays that an upstream is shutting down.
    LeavingUpstream(LeavingUpstream),
}

/// Message with its receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// Instance to send the message to.
    pub to: InstanceId,
    /// Message to send.
    pub message: MembershipMessage,
}
