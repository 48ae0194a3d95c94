//! Messages between instances, sent as `MessagePack` over UDP.

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
    /// The sender's state, and to whom the receiver forwards it.
    Digest(Box<Digest>, ForwardScope),
    /// States of other instances, collected by a relay.
    Relayed(Vec<(Ipv4Addr, Digest)>),
    /// A message about credit of organisations' limits.
    Credit(credit::Message),
}

/// To whom the receiver of a digest forwards it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardScope {
    /// To nobody.
    #[serde(rename = "Receiver")]
    Nobody,
    /// To relays of the other zones; the sender's zone has it already.
    #[serde(rename = "Beyond")]
    OtherZones,
    /// To the sender's zone and to relays of the other zones.
    #[serde(rename = "All")]
    AllZones,
}

/// State of an instance as it reports it to the others.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Start time in microseconds, which distinguishes incarnations of the instance.
    pub incarnation: u64,
    /// Sequence number within the incarnation: digests that take different paths may arrive out of
    /// order.
    pub seq: u32,
    /// Directory revision up to which the instance has all entries.
    pub upto: Revision,
    /// Name hash of its availability zone.
    pub zone: NameHash,
    /// Name hash of its region.
    pub region: NameHash,
    /// Milliseconds since the last response of the store; none before the first.
    pub store_age_ms: Option<u32>,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Name hashes of the replicas to which its connections failed recently.
    pub unreachable: Vec<NameHash>,
    /// Its load at replicas; a replica without an entry has none.
    pub loads: Vec<ReplicaLoad>,
    /// The most urgent class of its waiting requests by service; services without waiting requests
    /// are left out.
    pub waiting: Vec<(NameHash, PriorityClass)>,
    /// Measured time per generation step of replicas, in microseconds; not in every message.
    pub steps: Vec<(NameHash, u32)>,
    /// Number of instances of its zone that it knows, including itself and the silent ones.
    pub zone_size: u16,
    /// Whether this is a greeting: the complete state, sent to the receiver alone. A receiver that
    /// did not know the sender answers with its own greeting.
    pub greeting: bool,
    /// Whether discovery is complete, so that `members` lists the whole fleet; not in every
    /// message.
    pub settled: bool,
    /// Live instances by zone; not in every message.
    pub members: Vec<(NameHash, Vec<Ipv4Addr>)>,
    /// Its clock in Unix milliseconds; not in every message.
    pub time_ms: Option<u64>,
}
