//! The replica at which a request is served best, among those that may serve it and have room.

use std::cell::LazyCell;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::size::Reading;
use super::upstream::Upstream;
use super::urgency::{self, Waiting};
use super::{ChoiceDetails, Dispatcher, Job};
use crate::id::{ServiceId, UpstreamId};

/// What a new connection costs, counted as time. Users pay for each, and sixty instances that spread
/// evenly over a hundred replicas open one for every second request. Small against the 100 ms and more of
/// a place, so that it decides among equals alone.
const OPENING_MS: f64 = 5.0;

/// Time of a message there and back from which a replica's load is known too late to choose by it alone.
const FAR: Duration = Duration::from_millis(20);

/// Far replicas that one request looks at. All instances of the other regions see the same place
/// come free and would send there at once; of a few picked at random the best is nearly as good.
const FAR_CHOICES: u64 = 3;

impl Dispatcher {
    /// The replicas that can take one more request now. When all are full, which is when most
    /// requests wait, nothing else is looked at.
    pub(super) fn open(&mut self, now: Instant) -> Vec<usize> {
        let upstreams = self.upstreams.iter_mut().enumerate();
        upstreams
            .filter_map(|(index, u)| u.note_room(now).then_some(index))
            .collect()
    }

    /// The replicas that a request may try though they are left alone, if no other one takes it.
    pub(super) fn last_resorts(&self, now: Instant) -> Vec<usize> {
        let upstreams = self.upstreams.iter().enumerate();
        upstreams
            .filter_map(|(index, u)| u.is_last_resort(now).then_some(index))
            .collect()
    }

    /// Whether any replica that may run the request takes work, though it may be full now.
    pub(super) fn takes_work(&self, now: Instant, job: &Job) -> bool {
        let mut replicas = self.upstreams.iter();
        replicas.any(|u| u.replica.usable && serves(u, job) && u.takes_work(now))
    }

    pub(super) fn choose<C, W>(
        &self,
        now: Instant,
        w: &Waiting,
        candidates: C,
        warm: &W,
    ) -> Option<(usize, ChoiceDetails)>
    where
        C: Iterator<Item = usize>,
        W: Fn(&UpstreamId) -> bool,
    {
        let job = &w.job;
        let reading = self.reading(&job.service);
        let ends_elsewhere = LazyCell::new(|| self.ends_somewhere(now, job, &reading));
        let usual = self.usual_failing(now, &job.service);
        let far = self.upstreams.iter().filter(|u| is_far(u, job)).count() as u64;
        let mut best: Option<(usize, ChoiceDetails)> = None;
        let mut with_room = 0;
        for index in candidates {
            let u = &self.upstreams[index];
            if !fits(u, job)
                || !self.may_take(now, u, w)
                || (is_far(u, job) && !is_picked(index, job, far))
            {
                continue;
            }
            if !u.ends_in_time(now, job, &reading) && *ends_elsewhere {
                continue;
            }
            with_room += 1;
            let opening_ms = if warm(&u.replica.id) { 0.0 } else { OPENING_MS };
            let cost_ms = u.cost_ms(now, job, &reading, usual) + opening_ms;
            if best.is_none_or(|(_, least)| cost_ms < least.cost_ms) {
                let why = ChoiceDetails {
                    cost_ms,
                    replicas_with_room: with_room,
                    own_running: u.running.len() as u32,
                    remote_running: u.elsewhere,
                    is_cold: u.is_cold(now),
                };
                best = Some((index, why));
            }
        }
        best.map(|(index, why)| {
            (
                index,
                ChoiceDetails {
                    replicas_with_room: with_room,
                    ..why
                },
            )
        })
    }

    /// Whether some replica that takes work would end the answer in time.
    ///
    /// A long answer begun at a replica that can't end it holds a place there until its caller's
    /// deadline and is lost all the same. It waits for a faster replica, or is refused without
    /// having run.
    fn ends_somewhere(&self, now: Instant, job: &Job, reading: &Reading) -> bool {
        let mut replicas = self.upstreams.iter();
        replicas.any(|u| {
            let may_run = u.replica.usable && fits(u, job) && u.takes_work(now);
            may_run && u.ends_in_time(now, job, reading)
        })
    }

    /// Whether a place that is free at the replica is this instance's to take.
    fn may_take(&self, now: Instant, u: &Upstream, w: &Waiting) -> bool {
        let id = &u.replica.id;
        let patience = urgency::patience(
            now,
            w,
            self.key,
            &self.contenders,
            id,
            u.replica.propagation_delay,
        );
        patience.is_some_and(|p| u.free_for(now) >= p)
    }

    /// The least share of failures among a service's replicas: what is due to the requests.
    fn usual_failing(&self, now: Instant, service: &ServiceId) -> f64 {
        self.upstreams
            .iter()
            .filter(|u| u.replica.usable && u.replica.service == *service)
            .map(|u| u.pace.failing(now))
            .fold(1.0, f64::min)
    }
}

/// Whether a replica stands so far off that its load is known late.
fn is_far(u: &Upstream, job: &Job) -> bool {
    u.replica.network_round_trip >= FAR && serves(u, job)
}

/// Whether a far replica is among the few that this request looks at.
fn is_picked(index: usize, job: &Job, far: u64) -> bool {
    let key = [job.salt, index as u64].map(u64::to_le_bytes).concat();
    xxh3_64(&key) % far.max(1) < FAR_CHOICES
}

/// Whether a replica is one of those that may run the request.
fn serves(u: &Upstream, job: &Job) -> bool {
    u.replica.service == job.service && job.regions.allows(&u.replica.region)
}

fn fits(u: &Upstream, job: &Job) -> bool {
    serves(u, job) && !job.tried_replicas.contains(&u.replica.id)
}
