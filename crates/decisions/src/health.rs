//! Health of a replica relative to others of its hardware generation, and the slots it may use.
//!
//! Load pattern: a replica that silently runs at a tenth of its speed or stalls. Its load report
//! still looks idle, so choosing the least loaded replica would send it everything. Here, slow or
//! broken responses and overdue first tokens reduce its slots; later, single probe requests find
//! out whether it has recovered.
//!
//! An old generation is slow by design, so a replica is compared with the usual pace of its own
//! generation.

use std::time::Duration;

use tokio::time::Instant;

/// Average slowdown, as a ratio to the usual pace of the generation, from which a replica is
/// suspect; also the largest slowdown of a response at which a probe or recovery doesn't fail.
pub const SUSPECT_SLOWDOWN: f64 = 3.0;

/// Average slowdown, as the same ratio, from which a replica only receives probes.
pub const PROBE_SLOWDOWN: f64 = 6.0;

/// Largest slowdown at which a response counts as good, and largest average slowdown at which a
/// suspect replica becomes healthy again.
pub const GOOD_SLOWDOWN: f64 = 2.0;

/// Consecutive errors after which a replica is suspect.
pub const SUSPECT_ERRORS: u32 = 2;

/// Consecutive errors after which a replica only receives probes.
pub const PROBE_ERRORS: u32 = 4;

/// First pause between probes; it triples up to [`PROBE_PAUSE_MAX`] while they fail.
///
/// Requests caught in a stall show at once when it ends, so probes can be infrequent: each failed
/// one costs a caller the time until its deadline.
pub const PROBE_PAUSE: Duration = Duration::from_secs(5);

/// Longest pause between probes.
pub const PROBE_PAUSE_MAX: Duration = Duration::from_secs(45);

/// Consecutive good probes before recovery starts.
pub const GOOD_PROBES: u32 = 2;

/// Consecutive good responses before each doubling of the slots during recovery.
pub const GOOD_ANSWERS: u32 = 4;

/// Doublings during recovery: from an eighth to a quarter, a half and all of the slots.
const RECOVERY_STEPS: u8 = 3;

/// Stage of a replica's health, which determines its usable slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthStage {
    /// All slots are usable.
    Healthy,
    /// Half of the slots are usable.
    Suspect,
    /// Ejected: only one probe request at a time, with pauses between them.
    Probing,
    /// The slots are halved `steps_left` times.
    Recovering {
        /// Doublings left until all slots are usable.
        steps_left: u8,
    },
}

/// Health of one replica, derived from its responses.
#[derive(Debug, Clone)]
pub struct Health {
    stage: HealthStage,
    errors_in_row: u32,
    good_in_row: u32,
    probe_pause: Duration,
    last_ejected_at: Option<Instant>,
    next_probe_at: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

impl Health {
    /// Creates the health of a replica without known problems.
    pub fn new() -> Self {
        Self {
            stage: HealthStage::Healthy,
            errors_in_row: 0,
            good_in_row: 0,
            probe_pause: PROBE_PAUSE,
            last_ejected_at: None,
            next_probe_at: None,
        }
    }

    /// Current stage.
    pub fn stage(&self) -> HealthStage {
        self.stage
    }

    /// Slots that may be in use out of `limit`, when `slots_in_use` are, and
    /// `slots_before_ejection` of these since before the replica was ejected.
    ///
    /// The latter don't count against probes: long responses would otherwise keep a recovered
    /// replica out of use for minutes.
    pub fn allowed_slots(
        &self,
        now: Instant,
        limit: u32,
        slots_in_use: u32,
        slots_before_ejection: u32,
    ) -> u32 {
        match self.stage {
            HealthStage::Healthy => limit,
            HealthStage::Suspect => (limit / 2).max(1),
            HealthStage::Probing if self.next_probe_at.is_some_and(|at| now < at) => {
                slots_in_use.min(limit)
            }
            HealthStage::Probing => (slots_before_ejection + 1).min(limit),
            HealthStage::Recovering { steps_left } => {
                (slots_before_ejection + (limit >> steps_left).max(1)).min(limit)
            }
        }
    }

    /// Time of the last ejection, if there was one.
    pub fn ejected_at(&self) -> Option<Instant> {
        self.last_ejected_at
    }

    /// Records that a slot was granted; if it was for a probe, the next one waits for the pause.
    pub fn on_granted(&mut self, now: Instant) {
        if self.stage == HealthStage::Probing {
            self.next_probe_at = Some(now + self.probe_pause);
        }
    }

    /// Records a response or first token of a request dispatched at `dispatched_at`. `slowdown` is
    /// its time divided by the usual time of the generation, `mean_slowdown` the moving average of
    /// this ratio.
    pub fn on_answer(
        &mut self,
        now: Instant,
        dispatched_at: Instant,
        slowdown: f64,
        mean_slowdown: f64,
    ) {
        self.errors_in_row = 0;
        if self
            .last_ejected_at
            .is_some_and(|ejected_at| dispatched_at < ejected_at)
        {
            // The request was caught in the stall and only shows that it ended: probe at once.
            self.next_probe_at = None;
            return;
        }
        match self.stage {
            HealthStage::Healthy | HealthStage::Suspect => self.update_stage(now, mean_slowdown),
            HealthStage::Probing | HealthStage::Recovering { .. }
                if slowdown > SUSPECT_SLOWDOWN =>
            {
                self.eject(now);
            }
            HealthStage::Probing => self.record_answer(GOOD_PROBES, slowdown),
            HealthStage::Recovering { .. } => self.record_answer(GOOD_ANSWERS, slowdown),
        }
    }

    /// Records a broken response.
    pub fn on_error(&mut self, now: Instant) {
        self.errors_in_row = self.errors_in_row.saturating_add(1);
        match self.stage {
            HealthStage::Healthy if self.errors_in_row >= SUSPECT_ERRORS => {
                self.stage = HealthStage::Suspect;
            }
            HealthStage::Suspect if self.errors_in_row >= PROBE_ERRORS => self.eject(now),
            HealthStage::Probing | HealthStage::Recovering { .. } => self.eject(now),
            HealthStage::Healthy | HealthStage::Suspect => {}
        }
    }

    /// Records that a first token is overdue: the replica stalls, whatever its load report says.
    pub fn on_overdue(&mut self, now: Instant) {
        if self.stage != HealthStage::Probing {
            self.eject(now);
        }
    }

    /// Records that a request dispatched at `dispatched_at` ended without any response. If it was a
    /// probe, the probe failed.
    pub fn on_silent_end(&mut self, now: Instant, dispatched_at: Instant) {
        if self.stage != HealthStage::Probing
            || self
                .last_ejected_at
                .is_some_and(|ejected_at| dispatched_at >= ejected_at)
        {
            self.eject(now);
        }
    }

    /// Sets the stage of a replica that isn't ejected from its average slowdown.
    fn update_stage(&mut self, now: Instant, mean_slowdown: f64) {
        if mean_slowdown >= PROBE_SLOWDOWN {
            self.eject(now);
        } else if mean_slowdown >= SUSPECT_SLOWDOWN {
            self.stage = HealthStage::Suspect;
        } else if mean_slowdown <= GOOD_SLOWDOWN {
            self.stage = HealthStage::Healthy;
        }
    }

    /// Restricts the replica to probes; if it already was, a probe failed and the pause grows.
    fn eject(&mut self, now: Instant) {
        if self.stage == HealthStage::Probing {
            self.probe_pause = (self.probe_pause * 3).min(PROBE_PAUSE_MAX);
        }
        self.stage = HealthStage::Probing;
        self.last_ejected_at = Some(now);
        self.good_in_row = 0;
        self.next_probe_at = Some(now + self.probe_pause);
    }

    /// Counts a good response and enters the next stage of recovery after `required` of them in a
    /// row.
    fn record_answer(&mut self, required: u32, slowdown: f64) {
        if slowdown > GOOD_SLOWDOWN {
            self.good_in_row = 0;
            return;
        }
        self.good_in_row += 1;
        if self.good_in_row < required {
            self.next_probe_at = None;
            return;
        }
        self.good_in_row = 0;
        self.stage = match self.stage {
            HealthStage::Recovering { steps_left: 1 } => HealthStage::Healthy,
            HealthStage::Recovering { steps_left } => HealthStage::Recovering {
                steps_left: steps_left - 1,
            },
            _ => HealthStage::Recovering {
                steps_left: RECOVERY_STEPS,
            },
        };
        self.probe_pause = PROBE_PAUSE;
        self.next_probe_at = None;
    }
}
