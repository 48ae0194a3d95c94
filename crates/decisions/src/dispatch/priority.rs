//! Priority of waiting requests, and which instance may use a slot that became free.
//!
//! Load pattern: a burst beyond capacity that arrives through sixty instances. Each instance with
//! waiting requests sees a slot become free. If all of them sent a request, engines would be
//! overfilled and requests would queue inside them, where their order can't be changed; if any one
//! of them did, a low-priority request at one instance could get ahead of a high-priority one at
//! another.
//!
//! The instances of a cell therefore send each other the highest priority in their queues. The
//! instance with the highest priority uses the slot; among equals, a hash that all instances
//! compute alike decides. The others use it if it is still free a moment later. Instances of other
//! cells and zones, whose information is older, wait for the propagation delay first. Wrong information does
//! no lasting harm: a slot idles for that moment, or an engine is overfilled by one request. To
//! prevent starvation, each request ignores the other instances for a part of the time.

use std::time::Duration;

use tokio::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::dispatch::Job;
use crate::fair_order::{self, UsageStep};
use crate::id::{ServiceId, UpstreamId};

/// Usual time from dispatch to the first event. A request with less time left to its objective is
/// late.
const EXPECTED_FIRST_EVENT: Duration = Duration::from_millis(200);

/// Demotion of a late request, in half tiers.
const LATE_DEMOTION: u32 = 3;

/// Period in which each request ignores the queues of other instances once, in milliseconds.
const LOCAL_ORDER_PERIOD_MS: u64 = 1000;

/// Milliseconds of each period in which it does so: under load, a fifth of the lower-priority
/// requests compete for slots at any moment. The users require that four tenths of each kind of
/// request are served; on their heaviest days it is six tenths of the least served kind.
const LOCAL_ORDER_MS: u64 = 200;

/// Priority, the lowest first: rank of the organisation, then rank of the tier in half tiers with
/// any demotions.
pub type PriorityClass = (u32, u32);

/// A request in the queue.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) job: Job,
    /// Demotion for the size of the request, in half tiers.
    pub(super) size_demotion: u32,
    /// Step of its organisation's usage; `None` if requests aren't ordered by it.
    pub(super) step: Option<UsageStep>,
}

impl Waiting {
    /// Current priority, which falls once the request can no longer meet its latency objective.
    pub(super) fn class(&self, now: Instant) -> PriorityClass {
        let job = &self.job;
        let late_demotion =
            LATE_DEMOTION * u32::from(now + EXPECTED_FIRST_EVENT >= job.slo_deadline);
        (
            job.priority.0,
            job.priority
                .1
                .saturating_mul(2)
                .saturating_add(self.size_demotion + late_demotion),
        )
    }

    /// Current priority as it is compared with those of other instances: the class, and the step if
    /// requests are ordered by it.
    pub(super) fn claim(&self, now: Instant) -> PriorityClass {
        let class = self.class(now);
        self.step
            .map_or(class, |step| fair_order::with_step(class, step))
    }

    /// Position in the queue.
    pub(super) fn order(&self, now: Instant) -> (PriorityClass, Instant) {
        (self.claim(now), self.job.received_at)
    }
}

/// How long a free slot is left to the instance that is entitled to it: twice the time that its
/// messages take to arrive.
const YIELD_TIME: Duration = Duration::from_millis(15);

/// Highest priority that another instance of the cell has waiting for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Competitor {
    /// Service that the requests wait for.
    pub service: ServiceId,
    /// Address of the other instance.
    pub address: u32,
    /// Highest priority among these requests, as the instance reported it: with the step of usage if
    /// it orders by it.
    pub class: PriorityClass,
}

/// How long a slot must have been free before the request may use it; `None` if it has to leave the
/// slot to a request of higher priority at another instance.
///
/// `propagation_delay` is the time until a change at the replica is known here, zero in its own
/// zone.
pub(super) fn required_free_time(
    now: Instant,
    w: &Waiting,
    own_address: u32,
    competitors: &[Competitor],
    replica: &UpstreamId,
    propagation_delay: Duration,
) -> Option<Duration> {
    let claim = w.claim(now);
    // A competitor may be unable to use this replica, so a lower step alone never blocks a request.
    let class = fair_order::without_step(claim);
    let others = || competitors.iter().filter(|c| c.service == w.job.service);
    let is_less_urgent = others().any(|c| fair_order::without_step(c.class) < class);
    if is_less_urgent && !ignores_competitors(now, &w.job) {
        return None;
    }
    let own_rank = claim_rank(own_address, replica);
    // With steps, a request that ignores the other instances still leaves the slot to them for a
    // moment. Otherwise an instance at which many requests of one organisation wait would pass each of
    // its slots on to the next of these.
    let yields_to = |c: &Competitor| {
        let is_lower_by_step = w.step.is_some() && c.class < claim;
        is_lower_by_step || c.class <= claim && claim_rank(c.address, replica) > own_rank
    };
    let is_first = !others().any(yields_to);
    Some(if is_first {
        propagation_delay
    } else {
        propagation_delay + YIELD_TIME
    })
}

/// Rank of an instance for a replica's slots; among equal priorities, the highest rank goes first.
fn claim_rank(address: u32, replica: &UpstreamId) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), u64::from(address))
}

/// Whether the request currently ignores the queues of other instances.
fn ignores_competitors(now: Instant, job: &Job) -> bool {
    let waited = now.saturating_duration_since(job.received_at).as_millis() as u64;
    (waited + job.salt % LOCAL_ORDER_PERIOD_MS) % LOCAL_ORDER_PERIOD_MS < LOCAL_ORDER_MS
}
