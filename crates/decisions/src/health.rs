//! Judges a replica against its own hardware generation and decides how much it may get.
//!
//! Load pattern: a replica that silently runs at a tenth of its speed or stalls. Its load report
//! still looks idle, so least-load choice would send it everything. Here its own answers, and
//! first tokens that do not come, cut its share; then single requests find out whether it is back.
//!
//! An old generation is slow by nature: it is compared with the usual pace of its own kind.

use std::time::Duration;

use tokio::time::Instant;

/// Slower than its kind by this factor: suspect.
pub const SUSPECT_SLOWDOWN: f64 = 3.0;

/// Slower than its kind by this factor: only probes.
pub const PROBE_SLOWDOWN: f64 = 6.0;

/// A probe within this factor counts as good.
pub const GOOD_SLOWDOWN: f64 = 2.0;

/// Errors in a row after which a replica is suspect.
pub const SUSPECT_ERRORS: u32 = 2;

/// Errors in a row after which a replica gets only probes.
pub const PROBE_ERRORS: u32 = 4;

/// First pause between probes; it triples up to [`PROBE_PAUSE_MAX`] while they fail.
///
/// What is stuck in a stall tells at once when it is over, so probes may be rare: each costs a
/// caller the time until its deadline.
pub const PROBE_PAUSE: Duration = Duration::from_secs(5);

/// Longest pause between probes.
pub const PROBE_PAUSE_MAX: Duration = Duration::from_secs(45);

/// Good probes in a row before the share comes back.
pub const GOOD_PROBES: u32 = 2;

/// Good answers before each doubling of the share on the way back.
pub const GOOD_ANSWERS: u32 = 4;

/// Steps back: an eighth, a quarter, a half, all.
const STEPS: u8 = 3;

/// Stage of a replica's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthStage {
    /// Its whole limit.
    Healthy,
    /// Half of its limit.
    Suspect,
    /// One request at a time, after pauses.
    Probing,
    /// Its limit halved `steps_left` times.
    Recovering {
        /// Doublings to go.
        steps_left: u8,
    },
}

/// Health of one replica.
#[derive(Debug, Clone)]
pub struct Health {
    stage: HealthStage,
    errors: u32,
    good: u32,
    pause: Duration,
    fell: Option<Instant>,
    next_probe: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

impl Health {
    /// Makes the health of a replica of which nothing bad is known.
    pub fn new() -> Self {
        Self {
            stage: HealthStage::Healthy,
            errors: 0,
            good: 0,
            pause: PROBE_PAUSE,
            fell: None,
            next_probe: None,
        }
    }

    /// Current stage.
    pub fn stage(&self) -> HealthStage {
        self.stage
    }

    /// Slots that may be taken of `limit` when `taken` are in use, `old` of them since before the
    /// replica fell.
    ///
    /// The old ones do not count against probes: long answers would hold the replica back for
    /// minutes after it is well again.
    pub fn allowed_slots(&self, now: Instant, limit: u32, taken: u32, old: u32) -> u32 {
        match self.stage {
            HealthStage::Healthy => limit,
            HealthStage::Suspect => (limit / 2).max(1),
            HealthStage::Probing if self.next_probe.is_some_and(|at| now < at) => taken.min(limit),
            HealthStage::Probing => (old + 1).min(limit),
            HealthStage::Recovering { steps_left } => {
                (old + (limit >> steps_left).max(1)).min(limit)
            }
        }
    }

    /// When it fell last.
    pub fn ejected_at(&self) -> Option<Instant> {
        self.fell
    }

    /// Notes that a probe was granted, so that the next one waits.
    pub fn on_granted(&mut self, now: Instant) {
        if self.stage == HealthStage::Probing {
            self.next_probe = Some(now + self.pause);
        }
    }

    /// Notes an answer or first token of a request dispatched at `since` that was `slowdown` times
    /// slower than usual for its kind, and the moving mean of such slowdowns.
    pub fn on_answer(&mut self, now: Instant, since: Instant, slowdown: f64, mean_slowdown: f64) {
        self.errors = 0;
        if self.fell.is_some_and(|fell| since < fell) {
            // It was stuck in the stall and tells only that the stall is over: probe at once.
            self.next_probe = None;
            return;
        }
        match self.stage {
            HealthStage::Healthy | HealthStage::Suspect => self.judge(now, mean_slowdown),
            HealthStage::Probing | HealthStage::Recovering { .. }
                if slowdown > SUSPECT_SLOWDOWN =>
            {
                self.fall(now);
            }
            HealthStage::Probing => self.climb(GOOD_PROBES, slowdown),
            HealthStage::Recovering { .. } => self.climb(GOOD_ANSWERS, slowdown),
        }
    }

    /// Notes a broken answer.
    pub fn on_error(&mut self, now: Instant) {
        self.errors = self.errors.saturating_add(1);
        match self.stage {
            HealthStage::Healthy if self.errors >= SUSPECT_ERRORS => {
                self.stage = HealthStage::Suspect;
            }
            HealthStage::Suspect if self.errors >= PROBE_ERRORS => self.fall(now),
            HealthStage::Probing | HealthStage::Recovering { .. } => self.fall(now),
            HealthStage::Healthy | HealthStage::Suspect => {}
        }
    }

    /// Notes that a first token is overdue: the replica stalls, whatever its report says.
    pub fn on_overdue(&mut self, now: Instant) {
        if self.stage != HealthStage::Probing {
            self.fall(now);
        }
    }

    /// Notes that a request dispatched at `since` got nothing; a probe among them has failed.
    pub fn on_silent_end(&mut self, now: Instant, since: Instant) {
        if self.stage != HealthStage::Probing || self.fell.is_some_and(|fell| since >= fell) {
            self.fall(now);
        }
    }

    fn judge(&mut self, now: Instant, mean_slowdown: f64) {
        if mean_slowdown >= PROBE_SLOWDOWN {
            self.fall(now);
        } else if mean_slowdown >= SUSPECT_SLOWDOWN {
            self.stage = HealthStage::Suspect;
        } else if mean_slowdown <= GOOD_SLOWDOWN {
            self.stage = HealthStage::Healthy;
        }
    }

    fn fall(&mut self, now: Instant) {
        if self.stage == HealthStage::Probing {
            self.pause = (self.pause * 3).min(PROBE_PAUSE_MAX);
        }
        self.stage = HealthStage::Probing;
        self.fell = Some(now);
        self.good = 0;
        self.next_probe = Some(now + self.pause);
    }

    fn climb(&mut self, needed: u32, slowdown: f64) {
        if slowdown > GOOD_SLOWDOWN {
            self.good = 0;
            return;
        }
        self.good += 1;
        if self.good < needed {
            self.next_probe = None;
            return;
        }
        self.good = 0;
        self.stage = match self.stage {
            HealthStage::Recovering { steps_left: 1 } => HealthStage::Healthy,
            HealthStage::Recovering { steps_left } => HealthStage::Recovering {
                steps_left: steps_left - 1,
            },
            _ => HealthStage::Recovering { steps_left: STEPS },
        };
        self.pause = PROBE_PAUSE;
        self.next_probe = None;
    }
}
