//! Chooses the replica for a request: the one with the lowest cost among those that may serve it
//! and have room.

use std::cell::LazyCell;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::priority::{self, Waiting};
use super::size::PromptCost;
use super::upstream::Upstream;
use super::{ChoiceDetails, Dispatcher, Job};
use crate::id::{ServiceId, UpstreamId};

/// Cost of a new connection, expressed as time. Connections are billed one by one, and sixty
/// instances that spread requests evenly over a hundred replicas open one for every other request.
/// It is small against the 100 ms and more of a request, so that it only breaks ties.
const CONNECTION_COST_MS: f64 = 5.0;

/// Network round trip from which a replica's load is known too late to choose by load alone.
const FAR_ROUND_TRIP: Duration = Duration::from_millis(20);

/// Distant replicas considered for one request. All instances of the other regions see the same
/// slot become free and would send to it at once; the best of a few random replicas is nearly as
/// good.
const FAR_CANDIDATES_PER_REQUEST: u64 = 3;

impl Dispatcher {
    /// Indices of the replicas that can accept another request now. While requests wait, there are
    /// usually none, and the requests need not be checked one by one.
    pub(super) fn accepting_replicas(&mut self, now: Instant) -> Vec<usize> {
        let upstreams = self.upstreams.iter_mut().enumerate();
        upstreams
            .filter_map(|(index, u)| u.update_free_since(now).then_some(index))
            .collect()
    }

    /// Indices of the replicas in backoff that may be tried because no other replica accepts work.
    pub(super) fn last_resorts(&self, now: Instant) -> Vec<usize> {
        let upstreams = self.upstreams.iter().enumerate();
        upstreams
            .filter_map(|(index, u)| u.is_last_resort(now).then_some(index))
            .collect()
    }

    /// Whether any replica that may serve the request accepts work, even if it is full now.
    pub(super) fn any_accepts_work(&self, now: Instant, job: &Job) -> bool {
        let mut replicas = self.upstreams.iter();
        replicas.any(|u| u.is_usable() && may_serve(u, job) && u.accepts_work(now))
    }

    /// Chooses the candidate with the lowest cost, as an index; `None` if the request has to wait.
    pub(super) fn choose_replica<C, W>(
        &self,
        now: Instant,
        w: &Waiting,
        candidates: C,
        is_connected: &W,
    ) -> Option<(usize, ChoiceDetails)>
    where
        C: Iterator<Item = usize>,
        W: Fn(&UpstreamId) -> bool,
    {
        let job = &w.job;
        let prompt_cost = self.prompt_cost(&job.service);
        let another_can_finish =
            LazyCell::new(|| self.any_finishes_by_deadline(now, job, &prompt_cost));
        let lowest_failure_share = self.lowest_failure_share(now, &job.service);
        let far_count = self.upstreams.iter().filter(|u| is_far(u, job)).count() as u64;
        let mut best: Option<(usize, ChoiceDetails)> = None;
        let mut candidates_with_room = 0;
        for index in candidates {
            let u = &self.upstreams[index];
            if !is_candidate(u, job)
                || !self.may_claim_slot(now, u, w)
                || (is_far(u, job) && !is_sampled(index, job, far_count))
            {
                continue;
            }
            if !u.finishes_by_deadline(now, job, &prompt_cost) && *another_can_finish {
                continue;
            }
            candidates_with_room += 1;
            let connection_cost_ms = if is_connected(&u.replica.id) {
                0.0
            } else {
                CONNECTION_COST_MS
            };
            let cost_ms = if u.limit.needs_probe(now) {
                0.0
            } else {
                u.cost_ms(now, job, &prompt_cost, lowest_failure_share) + connection_cost_ms
            };
            if best.is_none_or(|(_, least)| cost_ms < least.cost_ms) {
                let details = ChoiceDetails {
                    cost_ms,
                    replicas_with_room: candidates_with_room,
                    own_running: u.running.len() as u32,
                    remote_running: u.remote_running,
                    is_cold: u.is_cold(now),
                    limit_per_s: u.limit.per_s(now),
                };
                best = Some((index, details));
            }
        }
        best.map(|(index, details)| {
            (
                index,
                ChoiceDetails {
                    replicas_with_room: candidates_with_room,
                    ..details
                },
            )
        })
    }

    /// Whether some replica that accepts work is expected to complete the response by its deadline.
    ///
    /// A long response started at a replica that can't complete it in time holds a slot until the
    /// caller's deadline and is lost all the same. The request waits for a faster replica instead,
    /// or is rejected without having run.
    fn any_finishes_by_deadline(&self, now: Instant, job: &Job, prompt_cost: &PromptCost) -> bool {
        let mut replicas = self.upstreams.iter();
        replicas.any(|u| {
            let may_run = u.is_usable() && is_candidate(u, job) && u.accepts_work(now);
            may_run && u.finishes_by_deadline(now, job, prompt_cost)
        })
    }

    /// Whether this instance may use the replica's free slot for the request, or must leave it to
    /// another.
    fn may_claim_slot(&self, now: Instant, u: &Upstream, w: &Waiting) -> bool {
        let id = &u.replica.id;
        let required = priority::required_free_time(
            now,
            w,
            self.own_address,
            &self.competitors,
            id,
            u.replica.propagation_delay,
        );
        required.is_some_and(|p| u.free_duration(now) >= p)
    }

    /// Lowest failure share among the replicas of a service: the share caused by the requests
    /// themselves rather than by a replica.
    fn lowest_failure_share(&self, now: Instant, service: &ServiceId) -> f64 {
        self.upstreams
            .iter()
            .filter(|u| u.is_usable() && u.replica.service == *service)
            .map(|u| u.latency.failure_share(now))
            .fold(1.0, f64::min)
    }
}

/// Whether a replica that may serve the request is so distant that its load is known late.
fn is_far(u: &Upstream, job: &Job) -> bool {
    u.replica.network_round_trip >= FAR_ROUND_TRIP && may_serve(u, job)
}

/// Whether a distant replica belongs to the random sample considered for this request.
fn is_sampled(index: usize, job: &Job, far_count: u64) -> bool {
    let key = [job.salt, index as u64].map(u64::to_le_bytes).concat();
    xxh3_64(&key) % far_count.max(1) < FAR_CANDIDATES_PER_REQUEST
}

/// Whether the replica belongs to the request's service and to a permitted region.
fn may_serve(u: &Upstream, job: &Job) -> bool {
    u.replica.service == job.service && job.regions.allows(&u.replica.region)
}

/// Whether the replica may serve the request and has not been tried for it yet.
fn is_candidate(u: &Upstream, job: &Job) -> bool {
    may_serve(u, job) && !job.tried_replicas.contains(&u.replica.id)
}
