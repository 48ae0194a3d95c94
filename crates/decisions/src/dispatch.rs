//! Decides which waiting request is dispatched next, and to which replica.
//!
//! Load pattern: bursts beyond capacity, replicas of differing speed, long prompts among short
//! ones. Engines admit requests in order of arrival: a request sent to a full engine waits behind
//! less urgent work and can't be reordered there. Requests therefore wait in this queue, ordered by
//! priority, until a replica has a free slot. The replica with the lowest cost is chosen: the
//! expected time to the first token plus the delay caused to the streams already running there.
//!
//! Load is counted rather than read from the replicas: each instance knows its own requests exactly
//! and receives the counts of the other instances several times a second. A stale count overfills
//! an engine by one or two requests for a moment; nothing else depends on it.

mod choice;
mod departed;
mod finish;
mod job;
mod latency;
mod pacing;
mod priority;
mod published;
mod size;
mod speeds;
mod statements;
mod upstream;
mod usage;

use std::time::Duration;

use tokio::time::Instant;

use crate::cells::OwnCell;
use crate::fair_order::{FairOrder, UsageStep};
use crate::id::{InstanceAddress, NameHash, ServiceId, UpstreamId};
use crate::regions::Regions;
use crate::replica_limit::FleetMembers;
use crate::scheduling::SchedulingOptions;
use crate::warm_up::PaceChange;

use departed::Departed;
use finish::ShutdownLimit;
use priority::Waiting;
use size::{PromptCost, SizeStats};
use upstream::{Running, Upstream};

pub use finish::ResponseSize;
pub use job::{
    Assignment, ChoiceDetails, Job, Outcome, ReplicaCounts, ReplicaUsage, ServiceAvailability,
};
pub use priority::{Competitor, PriorityClass};
pub use upstream::Replica;

/// Identifies a request within this instance.
pub type JobId = u64;

/// Queue of waiting requests and load of each replica, as seen by one instance.
#[derive(Debug, Default)]
pub struct Dispatcher {
    /// Sorted by id.
    upstreams: Vec<Upstream>,
    /// Indices of the replicas that are not idle or of which something is known beyond their
    /// publication, and of some others; sorted.
    active: Vec<usize>,
    waiting: Vec<Waiting>,
    /// Request sizes and prompt costs learned for each service, sorted by service.
    size_stats: Vec<(ServiceId, SizeStats)>,
    /// Highest priority that waits at each other instance of the cell.
    competitors: Vec<Competitor>,
    /// Address of this instance, by which the other instances identify it.
    own_address: u32,
    /// Instances of this zone including this one; `None` while they are unknown.
    members: Option<Vec<InstanceAddress>>,
    /// The cell of this instance in its zone; the whole zone while the members are unknown.
    cell: OwnCell,
    /// All instances, which share the limits that replicas name.
    fleet: FleetMembers,
    /// Replicas that are no longer published. An entry may be missing for a moment and come back, and
    /// what was learned about the replica then still holds.
    departed: Departed,
    /// Optional parts that are on.
    options: SchedulingOptions,
    /// A time and the Unix milliseconds at it, for the age of replicas.
    unix_time: Option<(Instant, u64)>,
    /// Changes of bounds at replicas that have not been logged yet.
    pace_changes: Vec<(UpstreamId, PaceChange)>,
    /// Usage of the organisations, by which requests are ordered.
    fair_order: FairOrder,
    /// Step of the last request that was sent, by service; sorted.
    served_steps: Vec<(ServiceId, UsageStep)>,
    /// Limit on the time of responses; `None` unless the instance shuts down.
    shutdown: Option<ShutdownLimit>,
}

impl Dispatcher {
    /// Creates a dispatcher without requests and replicas.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the address by which the other instances identify this one.
    pub fn with_address(mut self, own_address: u32) -> Self {
        self.own_address = own_address;
        self.fleet.set_own(own_address);
        self
    }

    /// Switches optional parts on or off.
    pub fn set_options(&mut self, options: SchedulingOptions) {
        if options.warm_up.is_none() && self.options.warm_up.is_some() {
            self.reset_paces();
        }
        self.options = options;
        self.update_stand_ins();
        self.apply_load_option();
        self.apply_fair_order();
    }

    /// The optional parts that are on.
    pub fn options(&self) -> SchedulingOptions {
        self.options
    }

    /// Updates the number of requests, and their pending prompt tokens, that other instances have
    /// running at a replica.
    pub fn update_remote_load(&mut self, upstream: &UpstreamId, running: u32, prompt_tokens: f64) {
        if let Some(u) = self.find(upstream) {
            u.set_remote_load(running, prompt_tokens);
        }
    }

    /// Updates the highest priorities that wait at the other instances of the cell.
    pub fn update_competitors(&mut self, competitors: Vec<Competitor>) {
        self.competitors = self.comparable(competitors);
    }

    /// Highest priority waiting at this instance for each service, sorted by service, with the step of
    /// usage if requests are ordered by it.
    pub fn highest_waiting_priorities(&self, now: Instant) -> Vec<(ServiceId, PriorityClass)> {
        let mut highest: Vec<(ServiceId, PriorityClass)> = Vec::new();
        for w in &self.waiting {
            let class = w.claim(now);
            match highest.binary_search_by(|(s, _)| s.cmp(&w.job.service)) {
                Ok(i) => highest[i].1 = highest[i].1.min(class),
                Err(i) => highest.insert(i, (w.job.service.clone(), class)),
            }
        }
        highest
    }

    /// Stores the batch step time, in milliseconds, that a peer measured at a replica, if none was
    /// measured here.
    pub fn on_peer_step_time(&mut self, upstream: &UpstreamId, step_ms: f64) {
        if let Some(u) = self.find(upstream) {
            u.latency.on_peer_step_ms(step_ms);
        }
    }

    /// Replicas in backoff because a connection to them failed.
    pub fn unreachable_replicas(&self, now: Instant) -> impl Iterator<Item = &UpstreamId> {
        self.active_upstreams()
            .filter(move |u| u.connect_failures > 0 && u.in_backoff(now))
            .map(|u| &u.replica.id)
    }

    /// Puts a replica into backoff because a peer failed to connect to it.
    pub fn on_peer_unreachable(&mut self, now: Instant, upstream: &UpstreamId) {
        if let Some(u) = self.find(upstream) {
            u.on_peer_unreachable(now);
        }
    }

    /// Number of requests running at each replica, and its number of slots.
    pub fn replica_usage(&self) -> impl Iterator<Item = ReplicaUsage<'_>> {
        self.upstreams.iter().map(|u| ReplicaUsage {
            upstream: &u.replica.id,
            own_running: u.running.len() as u32,
            remote_running: u.remote_running,
            slots: u.replica.slots,
        })
    }

    /// Counts the replicas by whether they accept requests now.
    pub fn replica_counts(&self, now: Instant) -> ReplicaCounts {
        let mut counts = ReplicaCounts::default();
        for u in &self.upstreams {
            let count = if !u.is_usable() {
                &mut counts.unusable
            } else if u.is_cold_not_designated(now) {
                &mut counts.cold_not_designated
            } else if u.rest.holds(now) {
                &mut counts.resting
            } else if !u.limit.admits(now) {
                &mut counts.limited
            } else if u.is_cold(now) {
                &mut counts.cold_designated
            } else {
                &mut counts.accepting
            };
            *count += 1;
        }
        counts
    }

    /// For each replica that is not idle: number of requests of this instance that run there, and the
    /// prompt tokens of these that it has yet to process.
    pub fn own_load(&self) -> impl Iterator<Item = (&UpstreamId, u32, f64)> {
        let loaded = self.active_upstreams().filter(|u| !u.running.is_empty());
        loaded.map(|u| {
            let pending_prompt_tokens = u.running.iter().map(|r| r.pending_prompt_tokens).sum();
            (&u.replica.id, u.running.len() as u32, pending_prompt_tokens)
        })
    }

    /// Step times of replicas in milliseconds, as far as they were measured here.
    pub fn own_step_times(&self) -> impl Iterator<Item = (&UpstreamId, f64)> {
        let measured = self.upstreams.iter();
        measured.filter_map(|u| Some((&u.replica.id, u.latency.measured_step_ms()?)))
    }

    /// Half tiers by which a request is demoted for its size relative to other requests of its
    /// service.
    pub fn size_demotion(
        &self,
        service: &ServiceId,
        prompt_tokens: f64,
        output_tokens: f64,
    ) -> u32 {
        self.find_size_stats(service).map_or(0, |s| {
            s.demotion(s.log2_steps(prompt_tokens, output_tokens))
        })
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, job: Job) {
        let is_engine_of_service =
            |u: &&Upstream| u.replica.is_engine && u.replica.service == job.service;
        let slots = self
            .upstreams
            .iter()
            .find(is_engine_of_service)
            .map(|u| u.replica.slots);
        let size_demotion = slots.map_or(0, |slots| {
            let size_stats = self.size_stats_mut(&job.service);
            size_stats.on_request(
                job.size.prompt_tokens,
                job.size.expected_output_tokens,
                slots,
            )
        });
        self.waiting.push(Waiting {
            job,
            size_demotion,
            step: None,
        });
    }

    /// Removes a request whose caller disconnected.
    pub fn cancel(&mut self, job: JobId) {
        self.waiting.retain(|w| w.job.id != job);
    }

    /// Number of requests in the queue.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Records which replicas have room now, also while no request waits: replicas whose load is known
    /// late are used only if they have had room for some time.
    pub fn update_room(&mut self, now: Instant) {
        for index in std::mem::take(&mut self.active) {
            let u = &mut self.upstreams[index];
            u.update_free_since(now);
            if u.is_active(now) {
                self.active.push(index);
            }
        }
    }

    /// The replicas that may be active.
    fn active_upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.active.iter().map(|index| &self.upstreams[*index])
    }

    /// Marks a replica as active.
    fn activate(&mut self, index: usize) {
        if let Err(at) = self.active.binary_search(&index) {
            self.active.insert(at, index);
        }
    }

    /// Assigns waiting requests to replicas until no replica can accept another one.
    pub fn assign(&mut self, now: Instant) -> Vec<Assignment> {
        self.assign_preferring_connected(now, |_| false)
    }

    /// Assigns waiting requests to replicas until no replica can accept another one. All else
    /// equal, a replica is preferred for which `is_connected` reports an open connection.
    pub fn assign_preferring_connected<W>(
        &mut self,
        now: Instant,
        is_connected: W,
    ) -> Vec<Assignment>
    where
        W: Fn(&UpstreamId) -> bool,
    {
        let mut assignments = Vec::new();
        if self.waiting.is_empty() {
            return assignments;
        }
        let mut accepting = self.accepting_replicas(now);
        let mut last_resorts = self.last_resorts(now);
        self.refresh_steps(now);
        self.waiting.sort_by_key(|w| w.order(now));
        let mut i = 0;
        while i < self.waiting.len() && !(accepting.is_empty() && last_resorts.is_empty()) {
            let w = &self.waiting[i];
            let resorts: &[usize] = match &last_resorts[..] {
                [] => &[],
                _ if self.any_accepts_work(now, &w.job) => &[],
                resorts => resorts,
            };
            let candidates = || accepting.iter().chain(resorts).copied();
            match self.choose_replica(now, w, &self.waiting[i + 1..], candidates, &is_connected) {
                Some((index, mut details)) => {
                    let job = self.waiting.remove(i).job;
                    details.usage = job.usage.and_then(|u| self.standing(now, &u));
                    self.on_work_sent(now, &job, i);
                    assignments.push(self.start(now, &job, index, details));
                    if !self.upstreams[index].update_free_since(now) {
                        accepting.retain(|i| *i != index);
                    }
                    last_resorts.retain(|i| *i != index);
                }
                None => i += 1,
            }
        }
        assignments
    }

    /// Whether a usable replica of a service, other than those that were tried, has this software version.
    pub fn serves_version(
        &self,
        service: &ServiceId,
        version: NameHash,
        tried: &[UpstreamId],
    ) -> bool {
        let mut usable = self.upstreams.iter().filter(|u| u.is_usable());
        usable.any(|u| {
            u.replica.service == *service
                && u.replica.software_version == version
                && !tried.contains(&u.replica.id)
        })
    }

    /// Counts the replicas of a service by why they can't accept a request restricted to `regions`
    /// now.
    pub fn availability(
        &self,
        now: Instant,
        service: &ServiceId,
        regions: &Regions,
    ) -> ServiceAvailability {
        let mut availability = ServiceAvailability::default();
        let usable = self
            .upstreams
            .iter()
            .filter(|u| u.is_usable() && u.replica.service == *service);
        for u in usable {
            availability.usable += 1;
            if !regions.allows(&u.replica.region) {
                availability.region_not_allowed += 1;
            } else if u.is_cold_not_designated(now) {
                availability.cold_not_designated += 1;
            } else if u.rest.holds(now) {
                availability.resting += 1;
            } else if !u.limit.admits(now) {
                availability.limited += 1;
            } else if !u.accepts_work(now) {
                availability.ejected += 1;
            } else if !u.has_slots() {
                availability.full += 1;
            } else if !u.has_room() || !u.pace_admits(now) {
                availability.warming_up += 1;
            }
        }
        let waiting = self.waiting.iter().filter(|w| w.job.service == *service);
        availability.waiting = waiting.count() as u32;
        availability
    }

    /// Removes and returns the requests that reached their queue deadline.
    pub fn take_timed_out(&mut self, now: Instant) -> Vec<JobId> {
        let mut timed_out = Vec::new();
        self.waiting.retain(|w| {
            let expired = now >= w.job.queue_deadline;
            if expired {
                timed_out.push(w.job.id);
            }
            !expired
        });
        timed_out
    }

    /// Records the first event of a response.
    pub fn on_first_event(&mut self, now: Instant, upstream: &UpstreamId, job: JobId) {
        self.pace_on_first_event(now, upstream);
        let Some(u) = self.find(upstream) else {
            return;
        };
        u.last_response_at = Some(now);
        u.connect_failures = 0;
        let Some(r) = u.running.iter_mut().find(|r| r.job == job) else {
            return;
        };
        let prompt_tokens = std::mem::take(&mut r.pending_prompt_tokens);
        r.has_responded = true;
        if !r.prompt_started_at_once {
            return;
        }
        let time_to_first_event = now.saturating_duration_since(r.dispatched_at);
        let time_to_first_event = time_to_first_event.saturating_sub(u.replica.network_round_trip);
        if let Some(step_ms) = u.latency.learned_step_ms() {
            let step_ms = step_ms * u.speed.factor_over(now, time_to_first_event);
            let service = u.replica.service.clone();
            self.size_stats_mut(&service).on_first_event(
                prompt_tokens,
                time_to_first_event,
                step_ms,
            );
        }
    }

    /// Records `events` of a stream that arrived together, `gap` after the previous event.
    pub fn on_events(&mut self, now: Instant, upstream: &UpstreamId, events: u32, gap: Duration) {
        let Some(index) = self.index_of(upstream) else {
            return;
        };
        self.activate(index);
        let u = &mut self.upstreams[index];
        u.last_response_at = Some(now);
        let tokens = events
            .max(1)
            .saturating_mul(u.replica.tokens_per_event.max(1));
        // The factor is that of the whole gap, in which the speed may have changed.
        let learned_ms = u.latency.learned_step_ms();
        let learned_gap_ms = learned_ms.map(|ms| ms * f64::from(tokens));
        let usual_gap = u.speed.usual_time(now, gap, learned_gap_ms);
        u.latency.on_gap(usual_gap / tokens);
        self.pace_on_gap(now, index, gap / tokens);
    }

    /// Releases the slot of a request and updates the replica's statistics from the outcome.
    pub fn on_end(&mut self, now: Instant, upstream: &UpstreamId, job: JobId, outcome: Outcome) {
        let Some(index) = self.index_of(upstream) else {
            return;
        };
        self.activate(index);
        let paces = self.options.warm_up.is_some();
        let u = &mut self.upstreams[index];
        let was_silent = paces && u.is_unresponsive(now);
        let learns_quickly = u.warm_up.learns_quickly(now);
        let request = u.running.iter().find(|r| r.job == job);
        let service_ms = request
            .filter(|_| !u.replica.is_engine && outcome == Outcome::Served)
            .map(|r| u.unqueued_ms(now, r));
        let dispatched_at = request.map(|r| r.dispatched_at);
        let gaps = request
            .filter(|_| u.replica.is_engine && outcome == Outcome::Served)
            .map(|r| u.gap_count - r.gaps_before);
        u.running.retain(|r| r.job != job);
        match outcome {
            Outcome::Served => {
                u.last_response_at = Some(now);
                u.connect_failures = 0;
                u.latency.on_outcome(now, false);
                if let Some((dispatched_at, unqueued_ms)) = dispatched_at.zip(service_ms) {
                    let elapsed = now.saturating_duration_since(dispatched_at);
                    let learned_ms = u.latency.learned_service_ms();
                    let usual_time = u.speed.usual_time(now, elapsed, learned_ms);
                    u.latency
                        .on_completed(usual_time, unqueued_ms, learns_quickly);
                }
            }
            Outcome::Failed => u.latency.on_outcome(now, true),
            Outcome::Unreachable => {
                u.latency.on_outcome(now, true);
                u.back_off_unreachable(now);
                if paces {
                    u.shorten_designated_backoff(now);
                }
            }
            Outcome::Full => u.back_off_full(now),
            Outcome::Unknown => {}
        }
        self.pace_on_end(now, index, outcome, was_silent, service_ms, gaps);
    }

    /// Whether the replica has sent nothing for so long that it is likely dead.
    pub fn is_unresponsive(&self, now: Instant, upstream: &UpstreamId) -> bool {
        self.get(upstream).is_some_and(|u| u.is_unresponsive(now))
    }

    /// Records a request as running at the replica with this index and returns its assignment.
    fn start(
        &mut self,
        now: Instant,
        job: &Job,
        index: usize,
        details: ChoiceDetails,
    ) -> Assignment {
        self.activate(index);
        let u = &mut self.upstreams[index];
        let queueing_allowance = if u.replica.is_engine {
            u.queueing_allowance(now, job)
        } else {
            Duration::ZERO
        };
        let prompt_started_at_once = u.replica.is_engine && u.starts_prompt_at_once();
        u.cold_gate.on_dispatch(now);
        u.limit.on_dispatch(now);
        u.warm_up.on_dispatch(now);
        let load_per_slot = u.load_per_slot_with_another();
        u.running.push(Running {
            job: job.id,
            gaps_before: u.gap_count,
            pending_prompt_tokens: if u.replica.is_engine {
                job.size.prompt_tokens
            } else {
                0.0
            },
            dispatched_at: now,
            has_responded: false,
            prompt_started_at_once,
            queueing_allowance,
            load_per_slot,
        });
        Assignment {
            job: job.id,
            upstream: u.replica.id.clone(),
            details,
        }
    }

    /// Size statistics of a service, created if absent.
    fn size_stats_mut(&mut self, service: &ServiceId) -> &mut SizeStats {
        let found = self.size_stats.binary_search_by(|(s, _)| s.cmp(service));
        let at = found.unwrap_or_else(|at| {
            self.size_stats
                .insert(at, (service.clone(), SizeStats::new()));
            at
        });
        &mut self.size_stats[at].1
    }

    /// Prompt cost of a service's engines, or the default while none was measured.
    fn prompt_cost(&self, service: &ServiceId) -> PromptCost {
        self.find_size_stats(service)
            .map_or(PromptCost::DEFAULT, |s| s.prompt_cost)
    }

    fn find_size_stats(&self, service: &ServiceId) -> Option<&SizeStats> {
        let found = self.size_stats.binary_search_by(|(s, _)| s.cmp(service));
        found.ok().map(|at| &self.size_stats[at].1)
    }

    fn index_of(&self, upstream: &UpstreamId) -> Option<usize> {
        self.find_index(upstream).ok()
    }

    /// Index of the replica with this id, if it is still the same incarnation.
    fn index_of_incarnation(&self, upstream: &UpstreamId, incarnation: u64) -> Option<usize> {
        let index = self.index_of(upstream)?;
        (self.upstreams[index].replica.incarnation == incarnation).then_some(index)
    }

    fn get(&self, upstream: &UpstreamId) -> Option<&Upstream> {
        Some(&self.upstreams[self.index_of(upstream)?])
    }

    fn find(&mut self, upstream: &UpstreamId) -> Option<&mut Upstream> {
        let index = self.index_of(upstream)?;
        self.activate(index);
        Some(&mut self.upstreams[index])
    }
}
