//! What is known of one fingerprint.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    CRASHES_TO_RECUR, Crash, FIRST_TRIAL_AFTER, LONGEST_TRIAL_PAUSE, Suspect, TRIAL_TIMEOUT,
};
use crate::fingerprint::Fingerprint;

/// Most crashes that are remembered of one fingerprint; the latest ones are kept.
const MAX_CRASHES: usize = 32;

/// A request counts as sent after a crash also if it was sent this much earlier: the times of one instance
/// are known at another one to about so much.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(10);

/// A crash, and when the last request was sent that has the fingerprint and was running there.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sighting {
    pub(super) crash: Crash,
    pub(super) sent_at: Instant,
}

/// Crashes without a completion since, and trials.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) fingerprint: Fingerprint,
    /// Whether the response to a request with it had been arriving for a while before a crash.
    has_written: bool,
    /// Sorted by time.
    crashes: Vec<Sighting>,
    /// Latest completion since the first crash.
    completed_at: Option<Instant>,
    /// Until when a request on trial may run.
    trial_until: Option<Instant>,
}

impl Sighting {
    /// Corrects the times if a report says that the crash was earlier. Messages that take long make crashes
    /// look later than they were.
    fn correct(&mut self, crashed_at: Instant) {
        let Some(correction) = self.crash.at.checked_duration_since(crashed_at) else {
            return;
        };
        self.crash.at = crashed_at;
        self.sent_at = self.sent_at.checked_sub(correction).unwrap_or(self.sent_at);
    }
}

impl Record {
    pub(super) fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            has_written: false,
            crashes: Vec::new(),
            completed_at: None,
            trial_until: None,
        }
    }

    /// Whether the response to a request with it had been arriving for a while before a crash.
    pub(super) fn has_written(&self) -> bool {
        self.has_written
    }

    /// Crashes since the latest completion.
    pub(super) fn crashes(&self) -> &[Sighting] {
        &self.crashes
    }

    /// Whether it was running in a crash that is remembered.
    pub(super) fn was_in(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|s| s.crash.is_same(crash))
    }

    /// Latest completion since the first crash.
    pub(super) fn completed_at(&self) -> Option<Instant> {
        self.completed_at
    }

    /// Latest crash or completion.
    pub(super) fn heard_at(&self) -> Instant {
        let crashed_at = self.crashes.last().map(|s| s.crash.at);
        let heard_at = crashed_at.max(self.completed_at);
        heard_at.expect("a record begins with a crash, which a completion alone removes")
    }

    /// Records a crash. One from before the latest completion had another cause.
    pub(super) fn on_crash(&mut self, crash: Crash, suspect: &Suspect) {
        self.has_written |= suspect.has_written;
        if self.completed_at.is_some_and(|at| crash.at <= at) {
            return;
        }
        if let Some(known) = self.crashes.iter_mut().find(|s| s.crash.is_same(&crash)) {
            known.correct(crash.at);
        } else {
            let sent_at = crash.at.checked_sub(suspect.ran_for).unwrap_or(crash.at);
            self.crashes.push(Sighting { crash, sent_at });
            self.trial_until = None;
        }
        self.crashes.sort_by_key(|s| s.crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// Records a completion; returns whether it clears any crash.
    pub(super) fn on_completed(&mut self, at: Instant) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|s| s.crash.at > at);
        let cleared = self.crashes.len() < before;
        if cleared {
            self.completed_at = self.completed_at.max(Some(at));
            self.trial_until = None;
        }
        cleared
    }

    /// Whether it was running in so many crashes, one after the other, that it may be their cause.
    pub(super) fn recurs(&self) -> bool {
        self.successive_crashes() >= CRASHES_TO_RECUR
    }

    /// Number of crashes of requests that were sent after the crash before.
    pub(super) fn successive_crashes(&self) -> usize {
        let mut count = 0;
        let mut counted_at: Option<Instant> = None;
        for Sighting { crash, sent_at } in &self.crashes {
            if counted_at.is_none_or(|at| *sent_at + CLOCK_TOLERANCE >= at) {
                count += 1;
                counted_at = Some(crash.at);
            }
        }
        count
    }

    /// When the next request may be tried; `None` without a crash.
    pub(super) fn trial_at(&self) -> Option<Instant> {
        let due = self.crashes.last().map(|s| s.crash.at + self.trial_pause());
        due.max(self.trial_until)
    }

    /// Begins a trial; returns false if it is not due, or if another one is in progress.
    pub(super) fn begin_trial(&mut self, now: Instant) -> bool {
        if self.trial_at().is_some_and(|at| now < at) {
            return false;
        }
        self.trial_until = Some(now + TRIAL_TIMEOUT);
        true
    }

    /// Time from the last crash to the next trial, which doubles with each failed one. A crash long after the
    /// one before it was a trial.
    fn trial_pause(&self) -> Duration {
        let is_trial = |pair: &[Sighting]| pair[1].crash.at - pair[0].crash.at >= FIRST_TRIAL_AFTER;
        let failed = self
            .crashes
            .windows(2)
            .filter(|pair| is_trial(pair))
            .count();
        let pause = FIRST_TRIAL_AFTER * 2_u32.saturating_pow(failed as u32);
        pause.min(LONGEST_TRIAL_PAUSE)
    }
}
