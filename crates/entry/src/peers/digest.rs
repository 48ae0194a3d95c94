//! Messages between instances, sent as `MessagePack` over UDP.

use std::net::Ipv4Addr;
use std::time::Duration;

use kingcupfield_decisions::credit;
use kingcupfield_decisions::directory_sync::Announced;
use kingcupfield_decisions::dispatch::PriorityClass;
use kingcupfield_decisions::id::{NameHash, StreamKey};
use kingcupfield_decisions::remote_load::ReplicaLoad;
use kingcupfield_decisions::replica_limit::LimitReport;
use kingcupfield_decisions::software_versions::StreamOrigin;
use kingcupfield_decisions::store_view::Revision;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tokio::time::Instant;

use crate::age::{millis, time_before};
use crate::quarantine::CrashMessage;

/// A datagram from one instance to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's state, and to whom the receiver forwards it.
    Digest(Box<Digest>, ForwardScope),
    /// States of other instances, collected by a relay.
    Relayed(Vec<(Ipv4Addr, Digest)>),
    /// A message about credit of organisations' limits.
    Credit(credit::Message),
    /// A message about the software version at which streams began.
    Stream(StreamMessage),
    /// A message about crashes of replicas.
    Crash(CrashMessage),
}

/// A message about the software version at which streams began.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Streams that the sender relays, or relayed until they broke.
    Begun(Vec<(StreamKey, StreamOrigin)>),
    /// Asks where a stream began, whose route leads to this service now.
    Ask {
        /// Number of the question at the sender.
        number: u32,
        /// The stream.
        key: StreamKey,
        /// Name hash of the service.
        service: NameHash,
    },
    /// Answers a question.
    Answer {
        /// Number of the question.
        number: u32,
        /// Where the stream began; `None` if the sender does not know.
        origin: Option<StreamOrigin>,
    },
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
    /// Milliseconds since the last response of the store; none before the first, and while calls
    /// fail.
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
    /// What it reports about replicas and organisations. Left out while there is nothing, so that
    /// instances of earlier versions can read the message.
    #[serde(skip_serializing_if = "Reports::is_empty")]
    pub reports: Reports,
    /// Directory revision up to which the instance has all entries that are not large. Sent after the message,
    /// where instances of earlier versions don't read it; not in every message.
    #[serde(skip)]
    pub small_upto: Option<Revision>,
}

impl Digest {
    /// What the instance announces of the directory.
    pub fn announced(&self) -> Announced {
        Announced {
            upto: self.upto,
            small_upto: self.small_upto.unwrap_or(0).max(self.upto),
            is_split: self.small_upto.is_some(),
        }
    }
}

/// What follows a message with digests: [`Digest::small_upto`] of each of them.
type SmallRevisions = Vec<Option<Revision>>;

impl PeerMessage {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let mut bytes = rmp_serde::to_vec(self)?;
        let small: SmallRevisions = self.digests().map(|digest| digest.small_upto).collect();
        if small.iter().any(Option::is_some) {
            bytes.extend(rmp_serde::to_vec(&small)?);
        }
        Ok(bytes)
    }

    /// Decodes a datagram.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        let mut message: Self = rmp_serde::from_read(&mut bytes)?;
        if bytes.is_empty() {
            return Ok(message);
        }
        let small: SmallRevisions = rmp_serde::from_slice(bytes)?;
        for (digest, small_upto) in message.digests_mut().zip(small) {
            digest.small_upto = small_upto;
        }
        Ok(message)
    }

    /// The digests of the message.
    fn digests(&self) -> impl Iterator<Item = &Digest> {
        let (direct, relayed): (Option<&Digest>, &[(Ipv4Addr, Digest)]) = match self {
            Self::Digest(digest, _) => (Some(digest), &[]),
            Self::Relayed(digests) => (None, digests),
            Self::Credit(_) | Self::Stream(_) | Self::Crash(_) => (None, &[]),
        };
        direct.into_iter().chain(relayed.iter().map(|(_, d)| d))
    }

    /// The digests of the message, to be completed.
    fn digests_mut(&mut self) -> impl Iterator<Item = &mut Digest> {
        let (direct, relayed): (Option<&mut Digest>, &mut [(Ipv4Addr, Digest)]) = match self {
            Self::Digest(digest, _) => (Some(digest), &mut []),
            Self::Relayed(digests) => (None, digests),
            Self::Credit(_) | Self::Stream(_) | Self::Crash(_) => (None, &mut []),
        };
        direct.into_iter().chain(relayed.iter_mut().map(|(_, d)| d))
    }
}

/// What one instance reports about replicas and organisations.
///
/// The fields after `leaving` are left out together while all of them are empty, so that instances of
/// earlier versions can read the message.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reports {
    /// Limits that replicas named.
    pub limits: Vec<ReplicaLimitReport>,
    /// Name hashes and start times, in Unix milliseconds, of replicas that shut down.
    pub leaving: Vec<(NameHash, u64)>,
    /// Use of replicas by organisations through this instance, in units of work per second.
    pub usage: Vec<(NameHash, f32)>,
    /// How long work takes at replicas at this moment.
    pub speeds: Vec<ReplicaSpeedReport>,
    /// Bounds on the requests in flight at replicas that have just started or recovered.
    pub paces: Vec<ReplicaPaceReport>,
}

impl Reports {
    fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.leaving.is_empty() && !self.has_scheduling()
    }

    /// Whether there is anything beside limits and leaving replicas.
    fn has_scheduling(&self) -> bool {
        !(self.usage.is_empty() && self.speeds.is_empty() && self.paces.is_empty())
    }
}

impl Serialize for Reports {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if self.has_scheduling() {
            let all = (
                &self.limits,
                &self.leaving,
                &self.usage,
                &self.speeds,
                &self.paces,
            );
            return all.serialize(serializer);
        }
        (&self.limits, &self.leaving).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Reports {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let fields = ReportFields::deserialize(deserializer)?;
        Ok(Self {
            limits: fields.limits,
            leaving: fields.leaving,
            usage: fields.usage,
            speeds: fields.speeds,
            paces: fields.paces,
        })
    }
}

/// Fields of [`Reports`] in their order in the message; those that are missing at its end are empty.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ReportFields {
    limits: Vec<ReplicaLimitReport>,
    leaving: Vec<(NameHash, u64)>,
    usage: Vec<(NameHash, f32)>,
    speeds: Vec<ReplicaSpeedReport>,
    paces: Vec<ReplicaPaceReport>,
}

/// How long work takes at one replica at this moment, as the replica stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSpeedReport {
    /// Name hash of the replica.
    pub replica: NameHash,
    /// Start of the replica in Unix milliseconds, which distinguishes its incarnations.
    pub incarnation: u64,
    /// Time that work takes, in percent of the usual time.
    pub percent: u16,
    /// Milliseconds since the replica stated it.
    pub age_ms: u16,
}

/// Bound on the requests in flight at one replica that has just started or recovered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPaceReport {
    /// Name hash of the replica.
    pub replica: NameHash,
    /// Start of the replica in Unix milliseconds, which distinguishes its incarnations.
    pub incarnation: u64,
    /// Requests in flight from all instances together; `None` once the replica needs no bound.
    pub bound: Option<u16>,
    /// Number of changes of the bound in this incarnation, which orders messages that arrive on
    /// different paths.
    pub change: u32,
}

/// What one instance was told about the limit of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLimitReport {
    /// Name hash of the replica.
    pub replica: NameHash,
    /// Start of the replica in Unix milliseconds, which distinguishes its incarnations.
    pub incarnation: u64,
    /// Requests per second that it accepts from all instances together; `None` if its limit has ended.
    pub per_s: Option<f64>,
    /// Milliseconds since the earliest time at which the replica may have said so.
    pub earliest_age_ms: u32,
    /// Milliseconds since the latest time at which it may have said so.
    pub latest_age_ms: u32,
}

impl ReplicaLimitReport {
    /// Longest time that a report takes from its sender through relays to another instance.
    const MAX_DELAY: Duration = Duration::from_secs(2);

    /// Creates the message about a report. `suspended` is the time for which the machine was suspended
    /// and by which the times of the report have not been moved back yet.
    pub fn new(
        replica: NameHash,
        incarnation: u64,
        report: LimitReport,
        now: Instant,
        suspended: Duration,
    ) -> Self {
        let age_ms = |at: Instant| millis(now.saturating_duration_since(at) + suspended);
        Self {
            replica,
            incarnation,
            per_s: report.per_s,
            earliest_age_ms: age_ms(report.earliest),
            latest_age_ms: age_ms(report.latest),
        }
    }

    /// The report as it counts at an instance that receives the message at `now`. It may have been on
    /// its way for up to two seconds, by which the earliest time is moved back.
    pub fn received(&self, now: Instant) -> LimitReport {
        let earliest_age = Duration::from_millis(u64::from(self.earliest_age_ms));
        LimitReport {
            per_s: self.per_s,
            earliest: time_before(now, earliest_age + Self::MAX_DELAY),
            latest: time_before(now, Duration::from_millis(self.latest_age_ms.into())),
        }
    }
}
