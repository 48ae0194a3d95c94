//! What instances tell each other about instances and leaving upstreams.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, InstanceId, UpstreamId, Version, ZoneId};

/// What somebody holds of an instance's health; within one word the worse wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It was heard.
    Live,
    /// It was silent and may refute.
    Suspected,
    /// It was silent and has not refuted.
    Dead,
}

/// A claim about an instance. The higher (incarnation, word, health) replaces the lower; only the
/// instance itself raises its word.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The instance that the claim is about.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its incarnation; 0 if the claimant never heard of it.
    pub incarnation: Incarnation,
    /// Its word, by which it refutes a suspicion.
    #[serde(rename = "word")]
    pub revision: u64,
    /// Its health.
    pub health: Health,
    /// Whether it leaves; within one incarnation this is never taken back.
    pub leaving: bool,
}

/// News that an upstream leaves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeavingUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Version of the list that was in force where the news began; a later list in which the
    /// upstream came back ends the news.
    pub seen_at: Version,
}

/// Message between two instances about membership.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipMessage {
    /// The sender lives.
    Heartbeat {
        /// The sender's claim about itself.
        own: Claim,
        /// Whether the receiver should greet back.
        answer: bool,
        /// A few claims of the sender about others, in turn.
        seen: Vec<Claim>,
        /// Upstreams that leave.
        leaving_upstreams: Vec<LeavingUpstream>,
    },
    /// An instance was silent.
    Suspect(Claim),
    /// An instance leaves.
    Leaving(Claim),
    /// An instance lives, by its own word.
    Alive(Claim),
    /// An upstream leaves.
    LeavingUpstream(LeavingUpstream),
}

/// A message for one instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// Whom it goes to.
    pub to: InstanceId,
    /// The message.
    pub message: MembershipMessage,
}
