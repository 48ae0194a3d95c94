//! Messages from one instance to another.

use std::net::Ipv4Addr;

use kingcupfield_decisions::credit;
use kingcupfield_decisions::dispatch::PriorityClass;
use kingcupfield_decisions::id::NameHash;
use kingcupfield_decisions::remote_load::ReplicaLoad;
use kingcupfield_decisions::store_view::Revision;
use serde::{Deserialize, Serialize};

/// A datagram from one instance to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's state, and how far it goes.
    Digest(Box<Digest>, Reach),
    /// States of others, gathered by the sender.
    Relayed(Vec<(Ipv4Addr, Digest)>),
    /// About credit of organisations' limits.
    Credit(credit::Message),
}

/// How far the receiver of a digest passes it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// Not at all.
    Receiver,
    /// To the other zones: all of the zone have it.
    Beyond,
    /// To the zone and the others.
    All,
}

/// What an instance tells of itself.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Distinguishes the lives of the instance.
    pub incarnation: u64,
    /// Counts its digests in this life: two ways may bring them out of order.
    pub seq: u32,
    /// Revision up to which it knows the directory.
    pub upto: Revision,
    /// Its availability zone.
    pub zone: NameHash,
    /// Its region.
    pub region: NameHash,
    /// Milliseconds since the store last answered it, if it ever did.
    pub store_age_ms: Option<u32>,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Replicas that it could not reach just now.
    pub unreachable: Vec<NameHash>,
    /// Its load at replicas; those that are missing have none.
    pub loads: Vec<ReplicaLoad>,
    /// The most urgent class that waits there, by service; none where nothing waits.
    pub waiting: Vec<(NameHash, PriorityClass)>,
    /// Microseconds a step that it has learned of replicas; not in every message.
    pub steps: Vec<(NameHash, u32)>,
    /// How many instances of its zone it knows, with itself and the silent ones.
    pub zone_size: u16,
    /// Whether it is for the receiver alone, who is to answer with the same if the sender is new to it.
    pub greeting: bool,
    /// Whether it has found the others, so that `members` are all that are there; not in every message.
    pub settled: bool,
    /// Instances that it has heard lately, by zone; not in every message.
    pub members: Vec<(NameHash, Vec<Ipv4Addr>)>,
    /// Its time of day in milliseconds; not in every message.
    pub time_ms: Option<u64>,
}
