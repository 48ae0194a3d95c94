//! Messages between entry instances.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use kingcupfield_decisions::configuration::ConfigurationMessage;
use kingcupfield_decisions::id::{Incarnation, InstanceId, ServiceId, UpstreamId};
use kingcupfield_decisions::limits::{ToLimitMember, ToLimitOwner};
use kingcupfield_decisions::membership::MembershipMessage;
use kingcupfield_decisions::shedding::{ToLevelMember, ToLevelOwner};
use kingcupfield_decisions::slots::{ReplicaDigest, ToHolder, ToOwner};
use serde::{Deserialize, Serialize};

/// Version of this protocol; another one is refused.
pub const PROTOCOL: u32 = 1;

/// Method that takes an [`Envelope`] and answers nothing.
pub const DELIVER: &str = "kingcup_deliver";

/// Method that takes an [`Announcement`] and answers the values that the sender lacks.
pub const VALUES: &str = "kingcup_values";

/// Messages from one instance to another, in order.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Version of the protocol.
    pub protocol: u32,
    /// The sender.
    pub from: InstanceId,
    /// This life of the sender.
    pub incarnation: Incarnation,
    /// What it says: `MessagePack` in base64, as JSON spends most of its bytes on field names.
    pub packed: String,
}

/// Why the messages of an envelope can't be read.
#[derive(Debug, thiserror::Error)]
pub enum UnpackError {
    /// Not base64.
    #[error("messages: {0}")]
    Base64(#[from] base64::DecodeError),
    /// Not the messages of this protocol.
    #[error("messages: {0}")]
    MessagePack(#[from] rmp_serde::decode::Error),
}

impl Envelope {
    /// Packs `messages`, in order.
    pub fn new(from: InstanceId, incarnation: Incarnation, messages: &[PeerMessage]) -> Self {
        let packed = rmp_serde::to_vec(messages).expect("messages hold nothing that has no form");
        let packed = STANDARD_NO_PAD.encode(packed);
        Self {
            protocol: PROTOCOL,
            from,
            incarnation,
            packed,
        }
    }

    /// The messages, in order.
    pub fn messages(&self) -> Result<Vec<PeerMessage>, UnpackError> {
        let packed = STANDARD_NO_PAD.decode(&self.packed)?;
        Ok(rmp_serde::from_slice(&packed)?)
    }
}

/// Asks a contact for the published values that it holds.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Version of the protocol.
    pub protocol: u32,
    /// The versions that the sender holds.
    pub announce: ConfigurationMessage,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// From a holder to the owner of a replica.
    ToOwner {
        /// The replica.
        upstream: UpstreamId,
        /// The message.
        message: ToOwner,
    },
    /// From the owner of a replica to a holder.
    ToHolder {
        /// The replica.
        upstream: UpstreamId,
        /// The message.
        message: ToHolder,
    },
    /// From an instance to the owner of a pool's shed level.
    ToLevelOwner {
        /// Service of the pool; its zone is the sender's.
        service: ServiceId,
        /// The message.
        message: ToLevelOwner,
    },
    /// From the owner of a pool's shed level to an instance.
    ToLevelMember {
        /// Service of the pool; its zone is the receiver's.
        service: ServiceId,
        /// The message.
        message: ToLevelMember,
    },
    /// From an instance to the owner of an organisation's limits.
    ToLimitOwner(ToLimitOwner),
    /// From the owner of an organisation's limits to an instance.
    ToLimitMember(ToLimitMember),
    /// About instances and leaving upstreams.
    Membership(MembershipMessage),
    /// About published values.
    Configuration(ConfigurationMessage),
    /// State of replicas, by which instances choose among owners.
    Digests(Vec<DigestRow>),
}

impl PeerMessage {
    /// Name of the kind, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::ToOwner { .. } => "to_owner",
            Self::ToHolder { .. } => "to_holder",
            Self::ToLevelOwner { .. } => "to_level_owner",
            Self::ToLevelMember { .. } => "to_level_member",
            Self::ToLimitOwner(_) => "to_limit_owner",
            Self::ToLimitMember(_) => "to_limit_member",
            Self::Membership(_) => "membership",
            Self::Configuration(_) => "configuration",
            Self::Digests(_) => "digests",
        }
    }
}

/// State of one replica in the words of its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestRow {
    /// The replica.
    pub upstream: UpstreamId,
    /// Its state.
    pub digest: ReplicaDigest,
}
