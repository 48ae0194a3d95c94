//! Bounds on the requests in flight at replicas that have just started or recovered.

use std::time::Duration;

use tokio::time::Instant;

use super::upstream::{Replica, Running, Upstream};
use super::{Dispatcher, Outcome};
use crate::id::{InstanceAddress, UpstreamId};
use crate::warm_up::{self, InFlight, PaceChange, PaceReason, PaceReport, Reference, WarmUp};

/// Gaps between events of an engine's streams whose median is one sample of its speed.
const GAPS_PER_SAMPLE: usize = 5;

/// Changes that are kept until they are logged; more are dropped.
const MAX_CHANGES: usize = 256;

/// Longest backoff of an unreachable replica at its designated instance, so that its recovery is
/// detected.
const MAX_DESIGNATED_BACKOFF: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Sets the clock that the start times of replicas are compared with.
    pub fn set_unix_time(&mut self, now: Instant, unix_ms: u64) {
        self.unix_time = Some((now, unix_ms));
    }

    /// Changes of bounds since the last call, for the log.
    pub fn take_pace_changes(&mut self) -> Vec<(UpstreamId, PaceChange)> {
        std::mem::take(&mut self.pace_changes)
    }

    /// The bounds in force, and those of settled replicas.
    pub fn paces(&self) -> impl Iterator<Item = (&UpstreamId, u32)> {
        let upstreams = self.upstreams.iter();
        upstreams.filter_map(|u| Some((&u.replica.id, u.warm_up.shown_bound()?)))
    }

    /// What this instance reports about bounds: the replica, its incarnation and the report.
    pub fn own_pace_reports(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&UpstreamId, u64, PaceReport)> {
        self.active_upstreams().filter_map(move |u| {
            let is_designated = u.cold_gate.is_designated();
            let report = u.warm_up.report(now, is_designated)?;
            Some((&u.replica.id, u.replica.incarnation, report))
        })
    }

    /// At most `max` of the own reports. If there are more, each second has the next ones, so that all
    /// are sent in turn.
    pub fn own_pace_reports_in_turn(
        &self,
        now: Instant,
        max: usize,
    ) -> Vec<(&UpstreamId, u64, PaceReport)> {
        let mut reports: Vec<_> = self.own_pace_reports(now).collect();
        if reports.len() > max {
            let seconds = self.unix_ms(now).unwrap_or_default() / 1000;
            let first = seconds as usize * max % reports.len();
            reports.rotate_left(first);
            reports.truncate(max);
            reports.sort_unstable_by_key(|(id, ..)| *id);
        }
        reports
    }

    /// Applies what another instance reports about the bound of a replica.
    pub fn on_peer_pace_report(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        incarnation: u64,
        report: PaceReport,
    ) {
        let Some(index) = self.index_of_incarnation(upstream, incarnation) else {
            return;
        };
        if self.options.warm_up.is_none() {
            return;
        }
        self.activate(index);
        let u = &mut self.upstreams[index];
        let is_well = u.warm_up.ends_with(report);
        let change = u.warm_up.on_report(now, report, u.replica.slots);
        if is_well {
            self.on_well_elsewhere(index);
        }
        self.keep_pace_change(index, change);
    }

    /// Creates the warm-up state of a replica that has just been published. One that replaces another
    /// incarnation has just started, whatever its clock says.
    pub(super) fn new_warm_up(&self, now: Instant, replica: &Replica, is_restart: bool) -> WarmUp {
        let own: InstanceAddress = self.own_address;
        let warm_up = WarmUp::new(own, &replica.id);
        if self.options.warm_up.is_none() {
            return warm_up;
        }
        let age = if is_restart {
            Some(Duration::ZERO)
        } else {
            self.age(now, replica.incarnation)
        };
        match age {
            Some(age) => warm_up.with_age(now, age),
            None => warm_up,
        }
    }

    /// Determines for each replica whether this instance is the first of its zone to stand in for the
    /// designated one.
    pub(super) fn update_stand_ins(&mut self) {
        let first = self.upstreams.iter();
        let first: Vec<bool> = first
            .map(|u| self.is_first_stand_in(&u.replica.id))
            .collect();
        for (u, first) in self.upstreams.iter_mut().zip(first) {
            u.is_first_stand_in = first;
        }
    }

    /// Whether this instance is the first of its zone to stand in for the designated one of a replica;
    /// false while the option is off, as nobody asks.
    pub(super) fn is_first_stand_in(&self, replica: &UpstreamId) -> bool {
        if self.options.warm_up.is_none() {
            return false;
        }
        let own = warm_up::stand_in_rank(self.own_address, replica);
        let members = self.members.as_deref().unwrap_or_default();
        let mut ranks = members.iter().map(|m| warm_up::stand_in_rank(*m, replica));
        ranks.all(|rank| rank >= own)
    }

    /// Time since a start in Unix milliseconds; `None` while the clock is unknown.
    fn age(&self, now: Instant, start_unix_ms: u64) -> Option<Duration> {
        let unix_ms = self.unix_ms(now)?;
        Some(Duration::from_millis(unix_ms.saturating_sub(start_unix_ms)))
    }

    fn unix_ms(&self, now: Instant) -> Option<u64> {
        let (at, unix_ms) = self.unix_time?;
        Some(unix_ms + now.saturating_duration_since(at).as_millis() as u64)
    }

    /// Discards all bounds when the option is switched off.
    pub(super) fn reset_paces(&mut self) {
        let own = self.own_address;
        for u in &mut self.upstreams {
            u.warm_up = WarmUp::new(own, &u.replica.id);
        }
        self.pace_changes.clear();
    }

    /// Applies the outcome of a request; `was_silent` tells whether the replica had not answered for
    /// too long, `ms` is the time of a complete response of a plain service, and `gaps` the number of gaps
    /// at an engine since the dispatch of a complete response.
    pub(super) fn pace_on_end(
        &mut self,
        now: Instant,
        index: usize,
        outcome: Outcome,
        was_silent: bool,
        ms: Option<f64>,
        gaps: Option<u64>,
    ) {
        if self.options.warm_up.is_none() {
            return;
        }
        let share_above_lowest = match outcome {
            Outcome::Failed => self.failure_share_above_lowest(now, index),
            _ => 0.0,
        };
        let warm_up = &mut self.upstreams[index].warm_up;
        let change = match outcome {
            Outcome::Unreachable => warm_up.on_trouble(now, PaceReason::Silent),
            _ if was_silent => warm_up.on_trouble(now, PaceReason::Silent),
            Outcome::Failed => warm_up.on_failure(now, share_above_lowest),
            Outcome::Full => warm_up.on_refusal(now),
            _ => None,
        };
        self.keep_pace_change(index, change);
        let begins = outcome == Outcome::Served && self.pace_on_answer(now, index);
        if let Some(ms) = ms.filter(|_| !begins) {
            self.pace_on_sample(now, index, ms);
        }
        if gaps.is_some_and(|gaps| !begins && gaps < GAPS_PER_SAMPLE as u64) {
            let u = &mut self.upstreams[index];
            let change = u.warm_up.on_unmeasured_response(now, u.replica.slots);
            self.keep_pace_change(index, change);
        }
    }

    /// Records the first event of a response. One that was late for all requests, or that ends a
    /// failure to connect, ends a silence.
    pub(super) fn pace_on_first_event(&mut self, now: Instant, upstream: &UpstreamId) {
        let Some(index) = self.index_of(upstream) else {
            return;
        };
        if self.options.warm_up.is_none() {
            return;
        }
        let u = &mut self.upstreams[index];
        if u.is_unresponsive(now) {
            let change = u.warm_up.on_trouble(now, PaceReason::Silent);
            self.keep_pace_change(index, change);
        }
        self.pace_on_answer(now, index);
    }

    /// Records that the replica answers; returns whether a warm-up begins.
    fn pace_on_answer(&mut self, now: Instant, index: usize) -> bool {
        let change = self.upstreams[index].warm_up.on_answer(now);
        self.keep_pace_change(index, change);
        change.is_some()
    }

    /// Applies the time per token between two events; the median of a few is a sample.
    pub(super) fn pace_on_gap(&mut self, now: Instant, index: usize, per_token: Duration) {
        if self.options.warm_up.is_none() {
            return;
        }
        self.upstreams[index].gap_count += 1;
        let gaps = &mut self.upstreams[index].recent_gaps_ms;
        gaps.push(per_token.as_secs_f64() * 1e3);
        if gaps.len() >= GAPS_PER_SAMPLE {
            gaps.sort_by(f64::total_cmp);
            let median = gaps[gaps.len() / 2];
            gaps.clear();
            self.pace_on_sample(now, index, median);
        }
    }

    fn pace_on_sample(&mut self, now: Instant, index: usize, ms: f64) {
        let Some(options) = self.options.warm_up else {
            return;
        };
        let u = &mut self.upstreams[index];
        if !u.warm_up.needs_reference(now, ms, options.slow_ratio) {
            return;
        }
        let reference = Reference {
            peers_ms: self.median_of_peers_ms(index),
            slow_ratio: options.slow_ratio,
            slots: self.upstreams[index].replica.slots,
        };
        let u = &mut self.upstreams[index];
        let change = u.warm_up.on_sample(now, ms, &reference);
        let is_well = change.is_some_and(|c| c.reason == PaceReason::Normal);
        if is_well {
            u.latency.forget_failures();
        }
        if u.warm_up.learns_quickly(now) && u.replica.is_engine || is_well {
            u.replace_learned(ms);
        }
        self.keep_pace_change(index, change);
    }

    /// Median response time of the other replicas of the service without a bound, as far as known.
    fn median_of_peers_ms(&self, index: usize) -> Option<f64> {
        let own = &self.upstreams[index].replica;
        let peers = self.upstreams.iter().filter(|u| {
            let same = u.replica.service == own.service && u.replica.id != own.id;
            same && u.warm_up.is_free()
        });
        let mut times: Vec<f64> = peers.filter_map(Upstream::learned_ms).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }

    /// Applies that a replica is well according to another instance: worse times that were learned
    /// here would keep this instance's requests away.
    fn on_well_elsewhere(&mut self, index: usize) {
        let peers_ms = self.median_of_peers_ms(index);
        let u = &mut self.upstreams[index];
        u.backoff_until = None;
        u.latency.forget_failures();
        let usual_ms = u.warm_up.usual_ms().or(peers_ms);
        if let Some(ms) = usual_ms.filter(|ms| u.learned_ms().is_some_and(|l| l > *ms)) {
            u.replace_learned(ms);
        }
    }

    /// Failure share of a replica above the lowest of its service.
    fn failure_share_above_lowest(&self, now: Instant, index: usize) -> f64 {
        let u = &self.upstreams[index];
        u.latency.failure_share(now) - self.lowest_failure_share(now, &u.replica.service)
    }

    /// Keeps the bound of a replica that has just started for the log.
    pub(super) fn keep_new_pace(&mut self, replica: &UpstreamId, warm_up: &WarmUp) {
        if let Some(bound) = warm_up.bound() {
            let change = PaceChange {
                bound: Some(bound),
                reason: PaceReason::Started,
                since: Duration::ZERO,
            };
            self.keep_for_log(replica.clone(), change);
        }
    }

    fn keep_pace_change(&mut self, index: usize, change: Option<PaceChange>) {
        if let Some(change) = change {
            let id = self.upstreams[index].replica.id.clone();
            self.keep_for_log(id, change);
        }
    }

    fn keep_for_log(&mut self, replica: UpstreamId, change: PaceChange) {
        if self.pace_changes.len() < MAX_CHANGES {
            self.pace_changes.push((replica, change));
        }
    }
}

impl Upstream {
    /// Learned response time in milliseconds, comparable with a sample: for a step of an engine, or for a
    /// request to a plain service without the network and without the wait for a slot.
    fn learned_ms(&self) -> Option<f64> {
        if self.replica.is_engine {
            self.latency.learned_step_ms()
        } else {
            self.latency.unqueued_ms()
        }
    }

    /// Replaces the learned response time by one that is comparable with a sample.
    fn replace_learned(&mut self, ms: f64) {
        if self.replica.is_engine {
            self.latency.replace_step(ms);
        } else {
            let round_trip_ms = self.replica.network_round_trip.as_secs_f64() * 1e3;
            self.latency.replace_service(ms, round_trip_ms);
        }
    }

    /// Requests for each slot once another one has been sent, at least 1.
    pub(super) fn load_per_slot_with_another(&self) -> f64 {
        let load = f64::from(self.reported_running() + 1) / f64::from(self.replica.slots.max(1));
        load.max(1.0)
    }

    /// Time since the dispatch of a request to a plain service in milliseconds, without the network and
    /// without the wait for a slot at the replica.
    pub(super) fn unqueued_ms(&self, now: Instant, request: &Running) -> f64 {
        let elapsed = now.saturating_duration_since(request.dispatched_at);
        let at_replica = elapsed.saturating_sub(self.replica.network_round_trip);
        at_replica.as_secs_f64() * 1e3 / request.load_per_slot
    }

    /// Tries an unreachable replica again soon if this instance is the designated one.
    pub(super) fn shorten_designated_backoff(&mut self, now: Instant) {
        if self.cold_gate.is_designated() {
            let until = now + MAX_DESIGNATED_BACKOFF;
            self.backoff_until = self.backoff_until.map(|at| at.min(until));
        }
    }

    /// Load as far as a bound depends on it.
    fn in_flight(&self, now: Instant) -> InFlight {
        InFlight {
            own: self.running.len() as u32,
            total: self.reported_running(),
            free_for: self.free_duration(now),
            is_known_late: !self.propagation_delay().is_zero(),
            is_designated: self.cold_gate.is_designated(),
            is_first_stand_in: self.is_first_stand_in,
        }
    }

    /// Whether the bound, if there is one, permits another request now.
    pub(super) fn pace_admits(&self, now: Instant) -> bool {
        self.warm_up.is_free() || self.warm_up.admits(now, self.in_flight(now))
    }

    /// Whether the last requests failed, so that a trial may fail as well.
    pub(super) fn may_fail_trial(&self) -> bool {
        self.connect_failures > 0 || self.warm_up.may_fail()
    }

    /// Whether the next request should try the replica, whatever its learned times are.
    pub(super) fn needs_pace_trial(&self, now: Instant) -> bool {
        self.warm_up.needs_trial(now, self.in_flight(now))
    }
}
