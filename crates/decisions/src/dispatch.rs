//! Which waiting request goes next, and to which replica.
//!
//! Load pattern: bursts beyond capacity, replicas of differing speed, long prompts among short
//! ones. Engines admit in order of arrival, so a request that is sent to a full engine waits
//! behind cheaper work and its place in line can't be changed. Requests therefore wait here, the
//! most urgent first, until a replica has a free place; then the replica is chosen at which the
//! first token comes soonest, counted with what it costs the streams that already run there.
//!
//! Load is counted, not reported: this instance knows its own requests exactly, and the others
//! tell theirs several times a second. A count that is a little old overfills an engine by one or
//! two requests for a moment; nothing else depends on it.

mod choice;
mod job;
pub mod pace;
mod size;
mod upstream;
mod urgency;

use std::time::Duration;

use tokio::time::Instant;

use crate::cold::{self, ColdGate};
use crate::id::{InstanceAddress, ServiceId, UpstreamId};
use crate::regions::Regions;

use size::{Reading, Sizes};
use upstream::{Running, Upstream};
use urgency::Waiting;

pub use job::{
    Assignment, ChoiceDetails, Job, Outcome, ReplicaCounts, ReplicaUsage, ServiceAvailability,
};
pub use upstream::Replica;
pub use urgency::{Competitor, PriorityClass};

/// Number of a request at this instance.
pub type JobId = u64;

/// The waiting requests and the replicas of one instance.
#[derive(Debug, Default)]
pub struct Dispatcher {
    upstreams: Vec<Upstream>,
    waiting: Vec<Waiting>,
    /// What is learned of each service's requests.
    sizes: Vec<(ServiceId, Sizes)>,
    /// What waits at the other instances of the zone.
    contenders: Vec<Competitor>,
    /// This instance, by a number that all give it alike.
    key: u32,
    /// The instances of this zone with this one, while they are known.
    members: Option<Vec<InstanceAddress>>,
}

impl Dispatcher {
    /// Nothing waits, no replica is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the instance the number by which the others know it.
    pub fn with_address(mut self, key: u32) -> Self {
        self.key = key;
        self
    }

    /// Takes the published replicas; what was learned of those that stay is kept.
    pub fn update_replicas(&mut self, now: Instant, replicas: &[Replica]) {
        let old = std::mem::take(&mut self.upstreams);
        let ids: Vec<UpstreamId> = old.iter().map(|u| u.replica.id.clone()).collect();
        let mut old: Vec<Option<Upstream>> = old.into_iter().map(Some).collect();
        for replica in replicas {
            let known = ids.binary_search(&replica.id).ok();
            let known = known.and_then(|at| old[at].take());
            let upstream = match known.filter(|u| u.replica.incarnation == replica.incarnation) {
                Some(mut known) => {
                    known.replica = replica.clone();
                    known
                }
                None => Upstream::new(replica.clone(), ColdGate::new(now, self.keeps(replica))),
            };
            self.upstreams.push(upstream);
        }
        self.upstreams
            .sort_by(|a, b| a.replica.id.cmp(&b.replica.id));
    }

    /// Takes the instances of this zone, with this one and the silent ones; `None` while they are not
    /// known, or this one ends.
    pub fn update_members(&mut self, now: Instant, members: Option<Vec<InstanceAddress>>) {
        if self.members == members {
            return;
        }
        self.members = members;
        let keeps: Vec<bool> = self
            .upstreams
            .iter()
            .map(|u| self.keeps(&u.replica))
            .collect();
        for (u, keeps) in self.upstreams.iter_mut().zip(keeps) {
            u.gate.set_designated(now, keeps);
        }
    }

    /// Whether the replica is reached through this instance while it is cold.
    fn keeps(&self, replica: &Replica) -> bool {
        let members = self.members.as_deref().filter(|_| replica.in_own_zone);
        members.is_some_and(|members| {
            cold::designated_instance(&replica.id, members) == Some(self.key)
        })
    }

    /// Takes what the other instances have at a replica.
    pub fn update_remote_load(&mut self, upstream: &UpstreamId, running: u32, prompt: f64) {
        if let Some(u) = self.find(upstream) {
            u.elsewhere = running;
            u.prompt_elsewhere = prompt;
        }
    }

    /// Takes what waits at the other instances of the zone.
    pub fn update_competitors(&mut self, contenders: Vec<Competitor>) {
        self.contenders = contenders;
    }

    /// The most urgent class that waits here, by service.
    pub fn highest_waiting_priorities(&self, now: Instant) -> Vec<(ServiceId, PriorityClass)> {
        let mut urgent: Vec<(ServiceId, PriorityClass)> = Vec::new();
        for w in &self.waiting {
            let class = w.class(now);
            match urgent.binary_search_by(|(s, _)| s.cmp(&w.job.service)) {
                Ok(at) => urgent[at].1 = urgent[at].1.min(class),
                Err(at) => urgent.insert(at, (w.job.service.clone(), class)),
            }
        }
        urgent
    }

    /// Takes a peer's word on how fast a replica is.
    pub fn on_peer_step_time(&mut self, upstream: &UpstreamId, step_ms: f64) {
        if let Some(u) = self.find(upstream) {
            u.pace.hint_step_ms(step_ms);
        }
    }

    /// Replicas that could not be reached just now.
    pub fn unreachable_replicas(&self, now: Instant) -> impl Iterator<Item = &UpstreamId> {
        self.upstreams
            .iter()
            .filter(move |u| u.missed > 0 && u.shunned(now))
            .map(|u| &u.replica.id)
    }

    /// Takes a peer's word that a replica could not be reached.
    pub fn on_peer_unreachable(&mut self, now: Instant, upstream: &UpstreamId) {
        if let Some(u) = self.find(upstream) {
            u.hint_unreachable(now);
        }
    }

    /// Places at each replica.
    pub fn replica_usage(&self) -> impl Iterator<Item = ReplicaUsage<'_>> {
        self.upstreams.iter().map(|u| ReplicaUsage {
            upstream: &u.replica.id,
            own_running: u.running.len() as u32,
            remote_running: u.elsewhere,
            slots: u.replica.slots,
        })
    }

    /// How many replicas may get how much now.
    pub fn replica_counts(&self, now: Instant) -> ReplicaCounts {
        let mut openness = ReplicaCounts::default();
        for u in &self.upstreams {
            let count = match (u.replica.usable, u.is_cold(now), u.is_closed(now)) {
                (false, _, _) => &mut openness.unusable,
                (true, _, true) => &mut openness.cold_not_designated,
                (true, true, false) => &mut openness.cold_designated,
                (true, false, false) => &mut openness.accepting,
            };
            *count += 1;
        }
        openness
    }

    /// Own requests, their unread prompt tokens and the learned step of each replica.
    pub fn own_load(&self) -> impl Iterator<Item = (&UpstreamId, u32, f64, Option<f64>)> {
        self.upstreams.iter().map(|u| {
            let prompt = u.running.iter().map(|r| r.prompt).sum();
            let running = u.running.len() as u32;
            (&u.replica.id, running, prompt, u.pace.learned_step_ms())
        })
    }

    /// By how many halves of a tier a request stands back for its size, beside those of its service.
    pub fn size_demotion(&self, service: &ServiceId, prompt: f64, output: f64) -> u32 {
        self.learned(service)
            .map_or(0, |s| s.setback(s.size(prompt, output)))
    }

    /// Adds a request.
    pub fn enqueue(&mut self, job: Job) {
        let engine = |u: &&Upstream| u.replica.is_engine && u.replica.service == job.service;
        let slots = self.upstreams.iter().find(engine).map(|u| u.replica.slots);
        let setback = slots.map_or(0, |slots| {
            let sizes = self.sizes(&job.service);
            sizes.on_request(job.prompt_tokens, job.expected_output_tokens, slots)
        });
        self.waiting.push(Waiting { job, setback });
    }

    /// Takes a request out whose caller went away.
    pub fn cancel(&mut self, job: JobId) {
        self.waiting.retain(|w| w.job.id != job);
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Places as many waiting requests as there is room for.
    pub fn assign(&mut self, now: Instant) -> Vec<Assignment> {
        self.assign_preferring_connected(now, |_| false)
    }

    /// Places as many waiting requests as there is room for; `warm` tells to which replicas a
    /// connection is open already.
    pub fn assign_preferring_connected<W>(&mut self, now: Instant, warm: W) -> Vec<Assignment>
    where
        W: Fn(&UpstreamId) -> bool,
    {
        let mut placed = Vec::new();
        let mut open = self.open(now);
        if self.waiting.is_empty() {
            return placed;
        }
        let mut last_resorts = self.last_resorts(now);
        self.waiting
            .sort_by_key(|w| (w.class(now), w.job.received_at));
        let mut at = 0;
        while at < self.waiting.len() && !(open.is_empty() && last_resorts.is_empty()) {
            let w = &self.waiting[at];
            let resorts: &[usize] = match &last_resorts[..] {
                [] => &[],
                _ if self.takes_work(now, &w.job) => &[],
                resorts => resorts,
            };
            let candidates = open.iter().chain(resorts).copied();
            match self.choose(now, w, candidates, &warm) {
                Some((index, why)) => {
                    let job = self.waiting.remove(at).job;
                    placed.push(self.start(now, &job, index, why));
                    if !self.upstreams[index].note_room(now) {
                        open.retain(|i| *i != index);
                    }
                    last_resorts.retain(|i| *i != index);
                }
                None => at += 1,
            }
        }
        placed
    }

    /// Whether some replica of a service would end an answer within `left`, once it has a place there.
    ///
    /// Load pattern: streams of many seconds that come to an instance which ends in a few. Taken all
    /// the same, they hold a place until the end and are cut, though another instance could serve
    /// them whole.
    pub fn can_finish_within(
        &self,
        left: Duration,
        service: &ServiceId,
        prompt: f64,
        output: f64,
    ) -> bool {
        let reading = self.reading(service);
        let ends: Vec<bool> = self
            .upstreams
            .iter()
            .filter(|u| u.replica.usable && u.replica.service == *service)
            .map(|u| u.could_end(left, prompt, output, &reading))
            .collect();
        ends.is_empty() || ends.contains(&true)
    }

    /// How the replicas of a service stand now for a request that may be served in `regions`.
    pub fn availability(
        &self,
        now: Instant,
        service: &ServiceId,
        regions: &Regions,
    ) -> ServiceAvailability {
        let mut standing = ServiceAvailability::default();
        let usable = self
            .upstreams
            .iter()
            .filter(|u| u.replica.usable && u.replica.service == *service);
        for u in usable {
            standing.usable += 1;
            if !regions.allows(&u.replica.region) {
                standing.region_not_allowed += 1;
            } else if u.is_closed(now) {
                standing.cold_not_designated += 1;
            } else if !u.takes_work(now) {
                standing.ejected += 1;
            } else if !u.has_room() {
                standing.full += 1;
            }
        }
        let waiting = self.waiting.iter().filter(|w| w.job.service == *service);
        standing.waiting = waiting.count() as u32;
        standing
    }

    /// Takes out the requests whose time to wait is over.
    pub fn take_timed_out(&mut self, now: Instant) -> Vec<JobId> {
        let mut gone = Vec::new();
        self.waiting.retain(|w| {
            let over = now >= w.job.queue_deadline;
            if over {
                gone.push(w.job.id);
            }
            !over
        });
        gone
    }

    /// Notes that the replica has begun to answer.
    pub fn on_first_event(&mut self, now: Instant, upstream: &UpstreamId, job: JobId) {
        let Some(u) = self.find(upstream) else {
            return;
        };
        u.heard_at = Some(now);
        u.missed = 0;
        let Some(r) = u.running.iter_mut().find(|r| r.job == job) else {
            return;
        };
        let prompt = std::mem::take(&mut r.prompt);
        r.heard = true;
        if !r.undelayed {
            return;
        }
        let after = now.saturating_duration_since(r.since);
        let after = after.saturating_sub(u.replica.network_round_trip);
        if let Some(step_ms) = u.pace.learned_step_ms() {
            let service = u.replica.service.clone();
            self.sizes(&service).on_first(prompt, after, step_ms);
        }
    }

    /// Notes events of a stream that came `gap` after the ones before.
    pub fn on_events(&mut self, now: Instant, upstream: &UpstreamId, events: u32, gap: Duration) {
        if let Some(u) = self.find(upstream) {
            u.heard_at = Some(now);
            let tokens = events.max(1) * u.replica.tokens_per_event.max(1);
            u.pace.on_gap(gap / tokens);
        }
    }

    /// Frees the place of a request and learns from its outcome.
    pub fn on_end(&mut self, now: Instant, upstream: &UpstreamId, job: JobId, outcome: Outcome) {
        let Some(u) = self.find(upstream) else {
            return;
        };
        let since = u.running.iter().find(|r| r.job == job).map(|r| r.since);
        u.running.retain(|r| r.job != job);
        match outcome {
            Outcome::Served => {
                u.heard_at = Some(now);
                u.missed = 0;
                u.pace.on_outcome(now, false);
                if let Some(since) = since.filter(|_| !u.replica.is_engine) {
                    u.pace.on_served(now.saturating_duration_since(since));
                }
            }
            Outcome::Failed => u.pace.on_outcome(now, true),
            Outcome::Unreachable => {
                u.pace.on_outcome(now, true);
                u.shun_unreachable(now);
            }
            Outcome::Full => u.shun_full(now),
            Outcome::Unknown => {}
        }
    }

    /// Whether the replica has brought nothing for so long that it is likely dead.
    pub fn is_unresponsive(&self, now: Instant, upstream: &UpstreamId) -> bool {
        self.upstreams
            .binary_search_by(|u| u.replica.id.cmp(upstream))
            .is_ok_and(|at| self.upstreams[at].silent(now))
    }

    fn start(&mut self, now: Instant, job: &Job, index: usize, why: ChoiceDetails) -> Assignment {
        let u = &mut self.upstreams[index];
        let turn = if u.replica.is_engine {
            u.longest_turn(job)
        } else {
            Duration::ZERO
        };
        let undelayed = u.replica.is_engine && u.reads_nothing();
        u.gate.on_dispatch(now);
        u.running.push(Running {
            job: job.id,
            prompt: if u.replica.is_engine {
                job.prompt_tokens
            } else {
                0.0
            },
            since: now,
            heard: false,
            undelayed,
            turn,
        });
        Assignment {
            job: job.id,
            upstream: u.replica.id.clone(),
            details: why,
        }
    }

    /// What is learned of a service's requests.
    fn sizes(&mut self, service: &ServiceId) -> &mut Sizes {
        let found = self.sizes.binary_search_by(|(s, _)| s.cmp(service));
        let at = found.unwrap_or_else(|at| {
            self.sizes.insert(at, (service.clone(), Sizes::new()));
            at
        });
        &mut self.sizes[at].1
    }

    /// How a service's engines read prompts.
    fn reading(&self, service: &ServiceId) -> Reading {
        self.learned(service)
            .map_or(Reading::UNKNOWN, |s| s.reading)
    }

    fn learned(&self, service: &ServiceId) -> Option<&Sizes> {
        let found = self.sizes.binary_search_by(|(s, _)| s.cmp(service));
        found.ok().map(|at| &self.sizes[at].1)
    }

    fn find(&mut self, upstream: &UpstreamId) -> Option<&mut Upstream> {
        let at = self
            .upstreams
            .binary_search_by(|u| u.replica.id.cmp(upstream))
            .ok()?;
        Some(&mut self.upstreams[at])
    }
}
