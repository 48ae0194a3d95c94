//! Bounds the requests in flight at replicas that have just started or recovered.
//!
//! Load pattern: a replica is several times slower for some seconds after its start, or for a while in
//! between. Idle, it looks best to every instance, and requests sent there by all of them at once are
//! late. Once its times are known to be bad it gets no requests, and as times are only renewed by
//! requests, it stays idle long after it is well.
//!
//! A replica in this state has a bound on the requests in flight from all instances, which each
//! response raises, lowers or removes. One request at a time tries it, whatever its learned times are.
//! `docs/design/warm-up.md` has the rule and the alternatives.
//!
//! The instance that gets a response applies the rule to the newest bound that it knows, and reports
//! the result. No rule depends on a message that arrives: an instance that knows no bound presumes 1.

mod times;

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{InstanceAddress, UpstreamId};
use times::{Progress, UsualTime};

/// Time after the start of an incarnation in which it has a bound until its first response.
pub const YOUNG_AGE: Duration = Duration::from_secs(30);

/// Longest time without a request to a bounded replica, while requests wait or arrive.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(300);

/// The same for a replica whose requests fail: each trial costs its caller a failure.
const FAILING_TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// The same for a settled replica, which is likely to stay slower than its peers: each trial may be late.
const SETTLED_TRIAL_INTERVAL: Duration = Duration::from_mins(1);

/// Failures without a response in between, at one instance, from which a replica counts as failing.
const MIN_FAILURES: u32 = 3;

/// Failure share above the lowest of the service from which the replica fails and not the requests:
/// three failures within three seconds, or one during a warm-up.
const FAILING_SHARE: f64 = 0.3;
const FAILING_SHARE_IN_WARM_UP: f64 = 0.15;

/// Time for which the last place below the bound must have been free until an instance of the zone
/// that is not designated uses it, and the time that is added for its rank.
const STAND_IN_DELAY: Duration = Duration::from_millis(300);
const STAND_IN_SPREAD: Duration = Duration::from_millis(200);

/// The same for instances of other zones and cells, which learn of a request up to a second late and so
/// miss short ones. One instance of each zone makes trials: all of them would take an idle replica for
/// untried.
const LATE_STAND_IN_DELAY: Duration = Duration::from_secs(1);
const LATE_STAND_IN_SPREAD: Duration = Duration::from_millis(500);

/// Time for which the end of a bound is repeated in the messages to other instances.
const REPORT_TIME: Duration = YOUNG_AGE;

/// Time for which a bound is repeated after the last response or failure that it rests on. Together with
/// [`UNCONFIRMED_BOUND_TIME`] it is below 10 s, so that two instances can't confirm each other's bound
/// for longer.
const BOUND_REPORT_TIME: Duration = Duration::from_secs(4);

/// Time without a change or a report after which a bound ends. The report that would end it may be lost,
/// or its author may have restarted. Digests from other regions may be some seconds apart.
const UNCONFIRMED_BOUND_TIME: Duration = Duration::from_secs(5);

/// Age of a change from which an older one that is reported is outdated, and not merely late.
const OUTDATED_REPORT_DELAY: Duration = Duration::from_millis(1500);

/// Largest number of changes that is taken from a report; a larger one, which no replica reaches, is
/// replaced by [`REPLACED_CHANGE`], so that later changes can supersede it.
const MAX_REPORTED_CHANGE: u32 = u32::MAX / 2;
const REPLACED_CHANGE: u32 = MAX_REPORTED_CHANGE / 2;

/// Smallest bound that means that a replica is settled, also if it has one slot.
const MIN_SETTLED_BOUND: u32 = 2;

/// Time for which a stated work time holds: a replica warms up within a few seconds.
const STATED_TIME: Duration = Duration::from_secs(1);

/// Time after a bound in which new samples have more weight in the learned times.
const QUICK_LEARNING_TIME: Duration = Duration::from_secs(2);

/// Why a bound was set or changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceReason {
    /// The replica has just started.
    Started,
    /// The replica answers again after its responses were slow.
    Slow,
    /// The replica answers again after it was unreachable or silent.
    Silent,
    /// The replica answers again after its requests failed.
    Failing,
    /// A response took as long as usual.
    Normal,
    /// A response was slow.
    StillSlow,
    /// The responses are slow and don't get faster any more.
    Stable,
    /// The replica refused a request for lack of capacity.
    Refused,
    /// A request failed during the warm-up.
    Failed,
    /// Another instance reported it.
    Reported,
}

impl PaceReason {
    /// Name of the reason in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Slow => "slow",
            Self::Silent => "silent",
            Self::Failing => "failing",
            Self::Normal => "normal",
            Self::StillSlow => "still_slow",
            Self::Stable => "stable",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Reported => "reported",
        }
    }
}

/// A change of a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceChange {
    /// Requests in flight that are permitted now, all slots if the replica is settled; `None` if there is
    /// no bound any more.
    pub bound: Option<u32>,
    /// Why it changed.
    pub reason: PaceReason,
    /// Time since the warm-up began.
    pub since: Duration,
}

/// A bound as instances report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceReport {
    /// Requests in flight from all instances; `None` if the replica needs no bound. A bound of all
    /// slots means that the replica is settled.
    pub bound: Option<u32>,
    /// Number of changes in this incarnation.
    pub change: u32,
}

/// What a response time is compared with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reference {
    /// Median of the peers without a bound, in milliseconds; `None` if there is none.
    pub peers_ms: Option<f64>,
    /// Ratio to the reference from which a time is slow.
    pub slow_ratio: f64,
    /// Slots of the replica.
    pub slots: u32,
}

/// Load of a replica as far as the bound depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlight {
    /// Requests of this instance.
    pub own: u32,
    /// Requests of all instances.
    pub total: u32,
    /// Time for which it has had room.
    pub free_for: Duration,
    /// Whether the load is known late, because the replica is in another zone or cell.
    pub is_known_late: bool,
    /// Whether this instance is the designated one of the replica.
    pub is_designated: bool,
    /// Whether this instance is the first of its zone to stand in for the designated one.
    pub is_first_stand_in: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Phase {
    /// No bound.
    #[default]
    Free,
    /// Slow, failing or silent here, and not known to answer again.
    Troubled(PaceReason),
    /// At most this many requests in flight.
    Bounded(u32),
    /// Permanently slower than its peers, and not held back. The bound of all slots, or more, that is
    /// reported and shown tells this from a replica that is well.
    Settled(u32),
}

/// State of the warm-up of one incarnation of a replica, at one instance.
#[derive(Debug, Clone, Default)]
pub struct WarmUp {
    phase: Phase,
    /// Changes in this incarnation, at whichever instance.
    change: u32,
    /// Whether this instance made the last change.
    is_author: bool,
    begun_at: Option<Instant>,
    /// End of the time in which the bound of a young replica holds without any response.
    young_until: Option<Instant>,
    /// Whether the replica was slow or in trouble in this warm-up, so that one normal response is not
    /// enough.
    had_trouble: bool,
    /// Failures since the last response.
    failures: u32,
    usual: UsualTime,
    progress: Progress,
    last_dispatch_at: Option<Instant>,
    last_report_at: Option<Instant>,
    /// Time at which the bound was last changed, reported, or met by a request of this instance.
    confirmed_at: Option<Instant>,
    changed_at: Option<Instant>,
    reported_until: Option<Instant>,
    /// End of the time in which this instance reports although it is neither author nor designated.
    repeated_until: Option<Instant>,
    quick_until: Option<Instant>,
    /// Rank of this instance among those that stand in for the designated one, from 0 to 1.
    stand_in_rank: f64,
    /// Work time that the replica stated last, in percent of the usual one.
    stated_percent: Option<(u32, Instant)>,
}

impl WarmUp {
    /// Creates the state of a replica without a bound.
    pub fn new(own: InstanceAddress, replica: &UpstreamId) -> Self {
        Self {
            stand_in_rank: stand_in_rank(own, replica) as f64 / u64::MAX as f64,
            ..Self::default()
        }
    }

    /// Sets the bound of a replica that started `age` ago, if it is young.
    pub fn with_age(mut self, now: Instant, age: Duration) -> Self {
        if age < YOUNG_AGE {
            self.phase = Phase::Bounded(1);
            self.begun_at = Some(now);
            self.young_until = Some(now + YOUNG_AGE.saturating_sub(age));
        }
        self
    }

    /// The bound; `None` if there is none.
    pub fn bound(&self) -> Option<u32> {
        match self.phase {
            Phase::Bounded(bound) => Some(bound),
            _ => None,
        }
    }

    /// The bound for the log, the gauge and the reports: also that of a settled replica.
    pub fn shown_bound(&self) -> Option<u32> {
        match self.phase {
            Phase::Settled(bound) => Some(bound),
            _ => self.bound(),
        }
    }

    /// Whether the replica has no bound and its times are comparable with those of others.
    pub fn is_free(&self) -> bool {
        matches!(self.phase, Phase::Free | Phase::Settled(_))
    }

    /// Requests in flight from all instances up to which the replica has room.
    pub fn max_in_flight(&self) -> u32 {
        self.bound().unwrap_or(u32::MAX)
    }

    /// Usual response time before the warm-up in milliseconds, if known.
    pub fn usual_ms(&self) -> Option<f64> {
        self.usual.ms()
    }

    /// Whether new samples have more weight in the learned times.
    pub fn learns_quickly(&self, now: Instant) -> bool {
        self.bound().is_some() || self.quick_until.is_some_and(|until| now < until)
    }

    /// Whether another request may be sent. The last place below the bound is for the designated
    /// instance, until it has been free for a while.
    pub fn admits(&self, now: Instant, load: InFlight) -> bool {
        match self.phase {
            Phase::Free | Phase::Settled(_) => true,
            Phase::Troubled(_) => load.own == 0,
            Phase::Bounded(bound) => {
                let more_than_one = load.total + 1 < bound;
                load.total < bound
                    && (load.is_designated || more_than_one || self.stands_in(now, load))
            }
        }
    }

    /// Whether the next request should try the replica, whatever its learned times are.
    pub fn needs_trial(&self, now: Instant, load: InFlight) -> bool {
        let (interval, may_try) = match self.phase {
            Phase::Free if self.usual.is_in_doubt() => (TRIAL_INTERVAL, load.is_designated),
            Phase::Free if self.failures > 0 => (FAILING_TRIAL_INTERVAL, load.is_designated),
            Phase::Free => return false,
            Phase::Bounded(_) => (
                TRIAL_INTERVAL,
                load.is_designated
                    || (load.is_first_stand_in || !load.is_known_late) && self.stands_in(now, load),
            ),
            Phase::Troubled(PaceReason::Failing) => (FAILING_TRIAL_INTERVAL, load.is_designated),
            Phase::Troubled(_) => (TRIAL_INTERVAL, load.is_designated),
            Phase::Settled(_) => (SETTLED_TRIAL_INTERVAL, load.is_designated),
        };
        let is_due = self
            .last_dispatch_at
            .is_none_or(|at| now.saturating_duration_since(at) >= interval);
        let in_flight = match self.phase {
            Phase::Bounded(_) | Phase::Settled(_) => load.total,
            // The others have not been told, and may send there as usual.
            Phase::Free | Phase::Troubled(_) => load.own,
        };
        is_due && may_try && in_flight == 0
    }

    /// Whether the replica failed or was silent, and has not answered since.
    pub fn may_fail(&self) -> bool {
        let reasons = [PaceReason::Failing, PaceReason::Silent];
        let is_troubled = matches!(self.phase, Phase::Troubled(r) if reasons.contains(&r));
        is_troubled || self.failures > 0
    }

    /// Whether this instance may use the last place in the stead of the designated one.
    fn stands_in(&self, now: Instant, load: InFlight) -> bool {
        let (delay, spread) = if load.is_known_late {
            (LATE_STAND_IN_DELAY, LATE_STAND_IN_SPREAD)
        } else {
            (STAND_IN_DELAY, STAND_IN_SPREAD)
        };
        let delay = delay + spread.mul_f64(self.stand_in_rank);
        let recently_changed = self
            .last_report_at
            .is_some_and(|at| now.saturating_duration_since(at) < delay);
        load.free_for >= delay && !recently_changed
    }

    /// Records a request to the replica.
    pub fn on_dispatch(&mut self, now: Instant) {
        self.last_dispatch_at = Some(now);
    }

    /// Ends a bound that nobody confirms, and that of an untried replica once it is not young any more.
    pub fn expire(&mut self, now: Instant) {
        let until = if self.change == 0 {
            self.young_until
        } else {
            self.confirmed_at.map(|at| at + UNCONFIRMED_BOUND_TIME)
        };
        if self.bound().is_some() && until.is_none_or(|until| now >= until) {
            self.phase = Phase::Free;
            self.had_trouble = false;
            self.reported_until = None;
            self.quick_until = Some(now + QUICK_LEARNING_TIME);
            self.usual.end_streak();
        }
    }

    /// Records that the bound rests on a request of this instance, which is in flight or has ended.
    pub fn confirm(&mut self, now: Instant) {
        if self.bound().is_some() {
            self.confirmed_at = Some(now);
            self.reported_until = Some(now + BOUND_REPORT_TIME);
        }
    }

    /// Records the work time that the replica stated, in percent of the usual one. A response that
    /// comes in time from a replica that says that it is slow is no normal one.
    pub fn on_stated_work_time(&mut self, now: Instant, percent: Option<u32>) {
        self.stated_percent = percent.map(|percent| (percent, now));
    }

    /// Records that the replica fails or is silent here.
    pub fn on_trouble(&mut self, now: Instant, reason: PaceReason) -> Option<PaceChange> {
        self.had_trouble = true;
        match self.phase {
            Phase::Free | Phase::Settled(_) => {
                self.phase = Phase::Troubled(reason);
                None
            }
            Phase::Bounded(bound) if bound > 1 => {
                Some(self.change_to(now, Phase::Bounded(1), reason))
            }
            Phase::Bounded(_) => {
                self.confirm(now);
                None
            }
            Phase::Troubled(_) => None,
        }
    }

    /// Records that a request failed, and the failure share above the lowest of the service. Requests
    /// that fail at all replicas don't show that this one is in trouble.
    pub fn on_failure(&mut self, now: Instant, share_above_lowest: f64) -> Option<PaceChange> {
        self.failures = self.failures.saturating_add(1);
        if self.bound().is_some() {
            let has_failed = share_above_lowest >= FAILING_SHARE_IN_WARM_UP;
            return has_failed
                .then(|| self.on_trouble(now, PaceReason::Failed))
                .flatten();
        }
        let is_failing = share_above_lowest >= FAILING_SHARE && self.failures >= MIN_FAILURES;
        is_failing
            .then(|| self.on_trouble(now, PaceReason::Failing))
            .flatten()
    }

    /// Records that the replica answered. One in trouble begins a warm-up.
    pub fn on_answer(&mut self, now: Instant) -> Option<PaceChange> {
        self.failures = 0;
        match self.phase {
            Phase::Troubled(reason) => Some(self.begin(now, reason)),
            _ => None,
        }
    }

    /// Records that the replica refused a request for lack of capacity.
    pub fn on_refusal(&mut self, now: Instant) -> Option<PaceChange> {
        let bound = self.bound().filter(|bound| *bound > 1)?;
        self.had_trouble = true;
        Some(self.change_to(now, Phase::Bounded(bound / 2), PaceReason::Refused))
    }

    /// Whether a response time needs to be compared with the peers. This is not so for most
    /// responses, because the comparison takes the times of all replicas of the service.
    pub fn needs_reference(&mut self, now: Instant, ms: f64, slow_ratio: f64) -> bool {
        match self.phase {
            Phase::Free => self.usual.is_slowed_down_by(now, ms, slow_ratio),
            Phase::Settled(_) => self.usual.is_improved_by(ms),
            Phase::Bounded(_) => true,
            Phase::Troubled(_) => false,
        }
    }

    /// Records a response time for which [`Self::needs_reference`] holds.
    pub fn on_sample(&mut self, now: Instant, ms: f64, r: &Reference) -> Option<PaceChange> {
        match self.phase {
            Phase::Bounded(bound) => self.on_bounded_sample(now, bound, ms, r),
            Phase::Settled(_) if r.peers_ms.is_some_and(|peers| ms <= peers * r.slow_ratio) => {
                Some(self.change_to(now, Phase::Free, PaceReason::Normal))
            }
            Phase::Free if r.peers_ms.is_some_and(|peers| ms > peers * r.slow_ratio) => {
                Some(self.begin(now, PaceReason::Slow))
            }
            _ => None,
        }
    }

    fn on_bounded_sample(
        &mut self,
        now: Instant,
        bound: u32,
        ms: f64,
        r: &Reference,
    ) -> Option<PaceChange> {
        self.confirm(now);
        self.progress.on_sample(now, ms);
        let states_slow = self
            .stated_percent
            .filter(|(_, at)| now.saturating_duration_since(*at) < STATED_TIME)
            .is_some_and(|(percent, _)| f64::from(percent) > r.slow_ratio * 100.0);
        let reference_ms = r.peers_ms.map(|p| self.usual.ms().unwrap_or(p).max(p));
        let limit_ms = reference_ms.unwrap_or(self.progress.best_ms()) * r.slow_ratio;
        if ms > limit_ms || states_slow {
            return self.on_slow_sample(now, bound, r.slots);
        }
        let raised = match reference_ms {
            Some(_) if !self.had_trouble => r.slots,
            Some(_) => bound * 2,
            None => bound + 1,
        };
        if raised >= r.slots {
            return Some(self.change_to(now, Phase::Free, PaceReason::Normal));
        }
        Some(self.change_to(now, Phase::Bounded(raised), PaceReason::Normal))
    }

    /// Records a complete response that tells nothing about the speed. An engine whose streams have few
    /// gaps would otherwise never lose its bound.
    pub fn on_unmeasured_response(&mut self, now: Instant, slots: u32) -> Option<PaceChange> {
        let raised = self.bound()?.saturating_add(1);
        let phase = if raised >= slots {
            Phase::Free
        } else {
            Phase::Bounded(raised)
        };
        Some(self.change_to(now, phase, PaceReason::Normal))
    }

    fn on_slow_sample(&mut self, now: Instant, bound: u32, slots: u32) -> Option<PaceChange> {
        self.had_trouble = true;
        if self.progress.is_stable(now) {
            let phase = if bound + 1 >= slots {
                Phase::Settled(slots.max(MIN_SETTLED_BOUND))
            } else {
                Phase::Bounded(bound + 1)
            };
            return Some(self.change_to(now, phase, PaceReason::Stable));
        }
        let lowered = (bound / 2).max(1);
        if lowered == bound && self.change > 0 {
            return None;
        }
        Some(self.change_to(now, Phase::Bounded(lowered), PaceReason::StillSlow))
    }

    /// Begins a warm-up of a replica that answers again.
    fn begin(&mut self, now: Instant, reason: PaceReason) -> PaceChange {
        self.begun_at = Some(now);
        self.had_trouble = true;
        self.progress = Progress::default();
        self.change_to(now, Phase::Bounded(1), reason)
    }

    fn change_to(&mut self, now: Instant, phase: Phase, reason: PaceReason) -> PaceChange {
        self.change = self.change.saturating_add(1);
        self.is_author = true;
        self.enter(now, phase, reason)
    }

    fn enter(&mut self, now: Instant, phase: Phase, reason: PaceReason) -> PaceChange {
        self.phase = phase;
        self.changed_at = Some(now);
        self.confirmed_at = Some(now);
        self.keep_reporting(now);
        if self.bound().is_none() {
            self.quick_until = Some(now + QUICK_LEARNING_TIME);
            self.usual.end_streak();
            self.had_trouble = false;
        }
        if matches!(phase, Phase::Settled(_)) {
            self.usual = UsualTime::default();
            self.usual.replace(self.progress.smoothed_ms());
        }
        PaceChange {
            bound: self.shown_bound(),
            reason,
            since: self
                .begun_at
                .map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        }
    }

    /// Continues to report the bound, or that there is none.
    fn keep_reporting(&mut self, now: Instant) {
        let time = match self.phase {
            Phase::Bounded(_) => BOUND_REPORT_TIME,
            _ => REPORT_TIME,
        };
        self.reported_until = Some(now + time);
    }

    /// The bound for the other instances, if this one has to report it.
    pub fn report(&self, now: Instant, is_designated: bool) -> Option<PaceReport> {
        let repeats = self.repeated_until.is_some_and(|until| now < until);
        let may_report = self.is_author || is_designated || repeats;
        (may_report && self.is_reported(now)).then_some(PaceReport {
            bound: self.shown_bound(),
            change: self.change,
        })
    }

    /// Whether some instance reports the bound.
    pub fn is_reported(&self, now: Instant) -> bool {
        self.change > 0 && self.reported_until.is_some_and(|until| now < until)
    }

    /// Whether a report replaces what is known, and tells that the replica is well.
    pub fn ends_with(&self, report: PaceReport) -> bool {
        reported_change(report) > self.change && report.bound.is_none()
    }

    /// Applies the report of another instance. More changes replace fewer; at equal numbers the
    /// smaller bound holds.
    pub fn on_report(
        &mut self,
        now: Instant,
        report: PaceReport,
        slots: u32,
    ) -> Option<PaceChange> {
        let reported = reported_change(report);
        if reported < self.change {
            self.on_outdated_report(now);
            return None;
        }
        let phase = match report.bound {
            None => Phase::Free,
            Some(bound) if bound >= slots.max(MIN_SETTLED_BOUND) => Phase::Settled(bound),
            Some(bound) => Phase::Bounded(bound.max(1)),
        };
        let is_tie = reported == self.change;
        if is_tie && phase == self.phase {
            self.confirmed_at = Some(now);
        }
        if is_tie && (reported == 0 || rank(phase) >= rank(self.phase)) {
            return None;
        }
        self.last_report_at = Some(now);
        self.change = reported;
        self.is_author = false;
        if phase == self.phase {
            self.changed_at = Some(now);
            self.confirmed_at = Some(now);
            self.keep_reporting(now);
            self.quick_until = Some(now + QUICK_LEARNING_TIME);
            return None;
        }
        if self.bound().is_none() {
            self.begun_at = Some(now);
            self.progress = Progress::default();
        }
        self.had_trouble = true;
        Some(self.enter(now, phase, PaceReason::Reported))
    }

    /// Repeats the own state, because the sender of an older one missed a change. Its author may have
    /// restarted, so every holder does so.
    fn on_outdated_report(&mut self, now: Instant) {
        let is_late = |at| now.saturating_duration_since(at) < OUTDATED_REPORT_DELAY;
        if !self.changed_at.is_some_and(is_late) {
            self.repeated_until = Some(now + BOUND_REPORT_TIME);
        }
        self.keep_reporting(now);
    }
}

/// Rank of an instance among those that stand in for the designated one of a replica.
pub fn stand_in_rank(instance: InstanceAddress, replica: &UpstreamId) -> u64 {
    xxh3_64_with_seed(replica.as_bytes(), u64::from(instance))
}

/// Number of changes of a report, as far as it is plausible.
fn reported_change(report: PaceReport) -> u32 {
    if report.change > MAX_REPORTED_CHANGE {
        REPLACED_CHANGE
    } else {
        report.change
    }
}

/// Order of phases that were reached with the same number of changes; the lowest holds.
fn rank(phase: Phase) -> u32 {
    match phase {
        Phase::Bounded(bound) => bound,
        Phase::Troubled(_) | Phase::Settled(_) => u32::MAX - 1,
        Phase::Free => u32::MAX,
    }
}
