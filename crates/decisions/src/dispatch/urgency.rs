//! How urgent a waiting request is, and whether a place that came free is this instance's to take.
//!
//! Load pattern: a burst beyond capacity that comes in through sixty instances. A place that comes
//! free is seen by all whose requests wait, and each would send there: engines would be overfilled
//! and requests wait inside them, where nobody can order them, or the place would go to a cheap
//! request at one instance while an urgent one waits at the next.
//!
//! Instances of a zone therefore tell each other the most urgent class that waits. A place belongs to
//! the most urgent class, and among equals to the instance that all compute alike; whoever else waits
//! takes it if it is still free a moment later. Instances of other zones, whose news is older, leave
//! it to the replica's own zone for as long as news takes. Nothing rests on the words being right: a
//! wrong one lets a place idle for that moment or overfills an engine by one. So that nothing
//! starves, each request goes by its own instance's queue alone for a part of the time.

use std::time::Duration;

use tokio::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::dispatch::Job;
use crate::id::{ServiceId, UpstreamId};

/// Time from a place to the first event at a usual replica: a request is late when less is left.
const FIRST_EVENT: Duration = Duration::from_millis(200);

/// What a late request is set back by, in halves of a tier.
const LATE: u32 = 3;

/// Span of which each request is free of standing back for a part.
const ROUND_MS: u64 = 1000;

/// That part: under load a fifth of the lesser requests takes places at any moment. The users want
/// four tenths of each kind served; on their heaviest days the least served kind gets six.
const OWN_MS: u64 = 200;

/// Urgency of a request, the lowest first: its organisation's rank, and its tier in halves.
pub type PriorityClass = (u32, u32);

/// A request that waits, and by how many halves of a tier it is set back for its size.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) job: Job,
    pub(super) setback: u32,
}

impl Waiting {
    /// Its class now; it sinks once the request can't be on time any more.
    pub(super) fn class(&self, now: Instant) -> PriorityClass {
        let job = &self.job;
        let late = LATE * u32::from(now + FIRST_EVENT >= job.slo_deadline);
        (job.priority.0, job.priority.1 * 2 + self.setback + late)
    }
}

/// How long a place is left to the instance of the zone that it belongs to: twice the time in which
/// that one's word comes round.
const NEIGHBOUR: Duration = Duration::from_millis(15);

/// Another instance of the zone at which requests for a service wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Competitor {
    /// The service.
    pub service: ServiceId,
    /// The instance, by a number that all give it alike.
    pub address: u32,
    /// The most urgent class that waits there.
    pub class: PriorityClass,
}

/// How long a free place must have been free before this instance's request may take it; `None` if
/// the request stands back for a more urgent one.
///
/// `news` is the time in which a change at the replica becomes known here, zero in its own zone.
pub(super) fn patience(
    now: Instant,
    w: &Waiting,
    own_key: u32,
    contenders: &[Competitor],
    replica: &UpstreamId,
    news: Duration,
) -> Option<Duration> {
    let class = w.class(now);
    let others = || contenders.iter().filter(|c| c.service == w.job.service);
    if others().any(|c| c.class < class) && !is_own_time(now, &w.job) {
        return None;
    }
    let mine = claim(own_key, replica);
    let first = others().all(|c| c.class > class || claim(c.address, replica) <= mine);
    Some(if first { news } else { news + NEIGHBOUR })
}

/// The instance with the greatest claim takes a place first.
fn claim(key: u32, replica: &UpstreamId) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), u64::from(key))
}

/// Whether the request goes by its own instance's queue alone now.
fn is_own_time(now: Instant, job: &Job) -> bool {
    let waited = now.saturating_duration_since(job.received_at).as_millis() as u64;
    (waited + job.salt % ROUND_MS) % ROUND_MS < OWN_MS
}
