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

/// Replicas with late counts that are considered for one request, in each group of them. Many
/// instances see the same slot become free and would send to it at once; the best of a few random
/// replicas is nearly as good.
const CANDIDATES_PER_REQUEST: u64 = 3;

/// Cost of a replica of another cell of the zone, whose load may have grown since the last report,
/// expressed as time.
const OTHER_CELL_COST_MS: f64 = 30.0;

/// Which replicas with late counts are considered for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Search {
    /// A random sample of each group.
    Sampled,
    /// All replicas of the region, and a sample of the others.
    Region,
}

/// Replicas by how late their load is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Group {
    /// Known at once.
    Cell,
    /// In another cell of the zone.
    OtherCell,
    /// In another zone of the region, before a divided zone.
    OtherZone,
    /// In another region.
    Far,
}

/// Random samples of the groups for one request.
#[derive(Debug)]
struct Samples {
    search: Search,
    salt: u64,
    /// Number of replicas of each group that may serve the request.
    other_cell: u64,
    other_zone: u64,
    far: u64,
}

impl Samples {
    /// Whether the replica with this index is considered for the request.
    fn contains(&self, index: usize, group: Group) -> bool {
        let size = match (group, self.search) {
            (Group::Cell, _) | (Group::OtherCell | Group::OtherZone, Search::Region) => {
                return true;
            }
            (Group::OtherCell, Search::Sampled) => self.other_cell,
            (Group::OtherZone, Search::Sampled) => self.other_zone,
            (Group::Far, _) => self.far,
        };
        random_rank(self.salt, index) % size.max(1) < CANDIDATES_PER_REQUEST
    }
}

/// Random number for a request and the replica with this index.
fn random_rank(salt: u64, index: usize) -> u64 {
    xxh3_64(&[salt, index as u64].map(u64::to_le_bytes).concat())
}

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
    ///
    /// `later` are the waiting requests of a lower class, or of the same one that arrived later. If the
    /// zone is divided, all replicas of the region are considered once the cell and the
    /// samples have none with room.
    pub(super) fn choose_replica<F, C, W>(
        &self,
        now: Instant,
        w: &Waiting,
        later: &[Waiting],
        candidates: F,
        is_connected: &W,
    ) -> Option<(usize, ChoiceDetails)>
    where
        F: Fn() -> C,
        C: Iterator<Item = usize>,
        W: Fn(&UpstreamId) -> bool,
    {
        let trials = self.trials_for(now, w, later, candidates());
        let sampled = self.cheapest(now, w, &trials, candidates(), is_connected, Search::Sampled);
        if sampled.is_some() || self.cell.is_whole_zone() {
            return sampled;
        }
        self.cheapest(now, w, &trials, candidates(), is_connected, Search::Region)
    }

    /// The candidates that need a trial for which the request is used: the last one that waits here and
    /// may be. A trial may be late, so the most urgent request is not used if there is another.
    fn trials_for<C>(
        &self,
        now: Instant,
        w: &Waiting,
        later: &[Waiting],
        candidates: C,
    ) -> Vec<usize>
    where
        C: Iterator<Item = usize>,
    {
        if self.options.warm_up.is_none() {
            return Vec::new();
        }
        let is_trial = |index: &usize| {
            let u = &self.upstreams[*index];
            u.needs_pace_trial(now)
                && self.may_try(now, u, w)
                && !later.iter().rev().any(|l| self.may_try(now, u, l))
        };
        candidates.filter(is_trial).collect()
    }

    /// Whether a request may be used for a trial of the replica: no other instance has a more urgent one,
    /// and its caller does not get the failure of a replica that may fail.
    fn may_try(&self, now: Instant, u: &Upstream, w: &Waiting) -> bool {
        is_candidate(u, &w.job)
            && (w.job.may_repeat || !u.may_fail_trial())
            && self.required_free_time(now, u, w).is_some()
    }

    /// The candidate with the lowest cost among those that `search` considers, and the `trials`.
    fn cheapest<C, W>(
        &self,
        now: Instant,
        w: &Waiting,
        trials: &[usize],
        candidates: C,
        is_connected: &W,
        search: Search,
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
        let samples = self.samples(job, search);
        let mut best: Option<(usize, f64)> = None;
        let mut candidates_with_room = 0;
        for index in candidates {
            let u = &self.upstreams[index];
            if !is_candidate(u, job) {
                continue;
            }
            let is_trial = trials.contains(&index);
            let may_be_late = is_trial && !u.warm_up.is_free();
            let is_considered =
                || self.may_claim_slot(now, u, w) && samples.contains(index, self.group(now, u));
            if !is_trial && !is_considered() {
                continue;
            }
            if !self.finishes_before_shutdown(now, u, job, &prompt_cost) {
                continue;
            }
            if !may_be_late
                && !u.finishes_by_deadline(now, job, &prompt_cost)
                && *another_can_finish
            {
                continue;
            }
            candidates_with_room += 1;
            let cost_ms = if is_trial || u.limit.needs_probe(now) {
                0.0
            } else {
                u.cost_ms(now, job, &prompt_cost, lowest_failure_share)
                    + surcharge_ms(u, is_connected(&u.replica.id))
            };
            let is_best = best.is_none_or(|(chosen, least_ms)| {
                cost_ms < least_ms || cost_ms <= least_ms && self.is_preferred(job, index, chosen)
            });
            if is_best {
                best = Some((index, cost_ms));
            }
        }
        best.map(|(index, cost_ms)| {
            let details = self.details(now, job, index, cost_ms, candidates_with_room);
            (index, details)
        })
    }

    /// The figures behind the choice of a replica.
    fn details(
        &self,
        now: Instant,
        job: &Job,
        index: usize,
        cost_ms: f64,
        replicas_with_room: u32,
    ) -> ChoiceDetails {
        let u = &self.upstreams[index];
        let prompt_cost = self.prompt_cost(&job.service);
        ChoiceDetails {
            cost_ms,
            expected_ms: u.expected_ms(now, job, &prompt_cost),
            replicas_with_room,
            own_running: u.running.len() as u32,
            remote_running: u.remote_running,
            is_cold: u.is_cold(now),
            limit_per_s: u.limit.per_s(now),
            work_time: u.speed.newest().map(|f| {
                let age = now.saturating_duration_since(f.stated_at);
                (f.percent, age)
            }),
            usage: None,
        }
    }

    /// The group that a replica belongs to.
    fn group(&self, now: Instant, u: &Upstream) -> Group {
        if u.replica.network_round_trip >= FAR_ROUND_TRIP {
            return Group::Far;
        }
        let is_designated = u.is_cold(now) && !u.is_cold_not_designated(now);
        if u.is_in_other_cell() && !is_designated {
            return Group::OtherCell;
        }
        if !u.replica.in_own_zone && !self.cell.is_whole_zone() {
            return Group::OtherZone;
        }
        Group::Cell
    }

    /// The samples of the groups for a request.
    fn samples(&self, job: &Job, search: Search) -> Samples {
        let mut samples = Samples {
            search,
            salt: job.salt,
            other_cell: 0,
            other_zone: 0,
            far: 0,
        };
        for u in self.upstreams.iter().filter(|u| may_serve(u, job)) {
            if u.replica.network_round_trip >= FAR_ROUND_TRIP {
                samples.far += 1;
            } else if !u.replica.in_own_zone {
                samples.other_zone += 1;
            } else if u.is_in_other_cell() {
                samples.other_cell += 1;
            }
        }
        samples
    }

    /// Whether a replica is preferred to another one of the same cost. In a divided zone the order is
    /// random: its many instances would all send to the first one at once.
    fn is_preferred(&self, job: &Job, index: usize, other: usize) -> bool {
        !self.cell.is_whole_zone() && random_rank(job.salt, index) > random_rank(job.salt, other)
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
        let required = self.required_free_time(now, u, w);
        required.is_some_and(|p| u.free_duration(now) >= p)
    }

    /// How long a slot must have been free before the request may use it; `None` if it is left to
    /// another instance.
    fn required_free_time(&self, now: Instant, u: &Upstream, w: &Waiting) -> Option<Duration> {
        priority::required_free_time(
            now,
            w,
            self.own_address,
            &self.competitors,
            &u.replica.id,
            u.propagation_delay(),
        )
    }

    /// Lowest failure share among the replicas of a service: the share caused by the requests
    /// themselves rather than by a replica.
    pub(super) fn lowest_failure_share(&self, now: Instant, service: &ServiceId) -> f64 {
        self.upstreams
            .iter()
            .filter(|u| u.is_usable() && u.replica.service == *service)
            .map(|u| u.latency.failure_share(now))
            .fold(1.0, f64::min)
    }
}

/// Cost in milliseconds beside that of the request itself: of a new connection, and of a load that is
/// known late.
fn surcharge_ms(u: &Upstream, is_connected: bool) -> f64 {
    let connection_ms = if is_connected {
        0.0
    } else {
        CONNECTION_COST_MS
    };
    let other_cell_ms = if u.is_in_other_cell() {
        OTHER_CELL_COST_MS
    } else {
        0.0
    };
    connection_ms + other_cell_ms
}

/// Whether the replica belongs to the request's service and to a permitted region, and has the software version
/// that the request needs.
fn may_serve(u: &Upstream, job: &Job) -> bool {
    let has_version = |v| u.replica.software_version == v;
    u.replica.service == job.service
        && job.regions.allows(&u.replica.region)
        && job.software_version.is_none_or(has_version)
}

/// Whether the replica may serve the request and has not been tried for it yet.
pub(super) fn is_candidate(u: &Upstream, job: &Job) -> bool {
    may_serve(u, job) && !job.tried_replicas.contains(&u.replica.id)
}
