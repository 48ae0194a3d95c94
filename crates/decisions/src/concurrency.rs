//! Concurrency limit of one replica, adapted to the speed of its responses.
//!
//! Load pattern: engines of different speed that slow down without warning. With a fixed limit, a
//! fast engine idles and requests queue inside a slow one, regardless of their tiers. While the
//! limit is reached, it rises by one for each round of responses that stay near the best pace
//! observed at this replica, and it falls by a fifth when they don't. Load reports are stale and
//! therefore only lower it.

use std::time::Duration;

use tokio::time::Instant;

use crate::pace::TRUSTED_SAMPLES;
use crate::slots::LoadReport;

/// Limit of a replica without history, in concurrent requests; it doubles with each round of good
/// responses.
pub const INITIAL_LIMIT: u32 = 4;

/// Highest limit, in concurrent requests. Larger batches gain no throughput on the engines this was
/// built for.
pub const MAX_LIMIT: u32 = 256;

/// Slowdown of first tokens relative to the best pace from which requests queue inside the engine.
pub const FIRST_TOKEN_TOLERANCE: f64 = 3.0;

/// Slowdown between tokens relative to the best pace from which the batch is too large.
pub const BETWEEN_TOKENS_TOLERANCE: f64 = 2.5;

/// Factor applied to the limit at a decrease.
const DECREASE_FACTOR: f64 = 0.8;

/// Shortest time between two decreases: the responses in flight all show the same overload.
const DECREASE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a load report limits the slots.
pub const REPORT_VALIDITY: Duration = Duration::from_secs(5);

/// Share of the distance to a slower sample by which the best value rises, so that an outdated one
/// doesn't stay for ever.
const BEST_RISE_GAIN: f64 = 0.002;

/// Share of the distance to a faster sample by which the best value falls.
const BEST_FALL_GAIN: f64 = 0.1;

/// Weight of a new sample in the recent slowdown; it covers about the last five samples.
const RECENT_GAIN: f64 = 0.2;

/// Upper bound set by a load report.
#[derive(Debug, Clone, Copy)]
struct Ceiling {
    slots: f64,
    valid_until: Instant,
}

/// Best observed value of a latency, and the slowdown of recent samples relative to it.
#[derive(Debug, Clone, Copy)]
struct Slowdown {
    /// Moving estimate of the best sample, in the unit of the samples.
    best: f64,
    /// Ratio of recent samples to `best`, as a moving average.
    recent: f64,
    samples: u32,
}

impl Slowdown {
    fn new() -> Self {
        Self {
            best: 0.0,
            recent: 1.0,
            samples: 0,
        }
    }

    /// Records a sample and returns the recent slowdown, or 1 while there are too few samples.
    fn record(&mut self, sample: f64) -> f64 {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.best = sample;
        }
        // Moves only part of the way: one response made short by a cache hit isn't the new best.
        let gain = if sample < self.best {
            BEST_FALL_GAIN
        } else {
            BEST_RISE_GAIN
        };
        self.best += (sample - self.best) * gain;
        if self.samples < TRUSTED_SAMPLES || self.best <= 0.0 {
            return 1.0;
        }
        self.recent += (sample / self.best - self.recent) * RECENT_GAIN;
        self.recent
    }
}

/// Limit of concurrent requests at one replica.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    slots: f64,
    max_slots: u32,
    /// Whether the limit still grows by one for each good response, which doubles it every round.
    starting_up: bool,
    /// Time until the first token, in nanoseconds per uncached prompt token.
    first_token: Slowdown,
    /// Time between tokens, in nanoseconds.
    between_tokens: Slowdown,
    ceiling: Option<Ceiling>,
    last_decrease_at: Option<Instant>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl ConcurrencyLimit {
    /// Creates the limit of a replica without history.
    pub fn new() -> Self {
        Self {
            slots: f64::from(INITIAL_LIMIT),
            max_slots: MAX_LIMIT,
            starting_up: true,
            first_token: Slowdown::new(),
            between_tokens: Slowdown::new(),
            ceiling: None,
            last_decrease_at: None,
        }
    }

    /// Starts with `slots` from the digest of an earlier owner.
    pub fn with_start(mut self, slots: u32) -> Self {
        self.slots = f64::from(slots.clamp(1, self.max_slots));
        self
    }

    /// Caps the limit at `max`.
    pub fn with_max(mut self, max: u32) -> Self {
        self.max_slots = max.clamp(1, MAX_LIMIT);
        self.slots = self.slots.min(f64::from(self.max_slots));
        self
    }

    /// Slots that may be in use now; at least 1.
    pub fn slots(&self, now: Instant) -> u32 {
        let slots = match self.ceiling {
            Some(ceiling) if ceiling.valid_until > now => self.slots.min(ceiling.slots),
            _ => self.slots,
        };
        (slots as u32).max(1)
    }

    /// Raises the limit to the slots in use that an earlier owner granted.
    pub fn on_inherited_slots(&mut self, slots_in_use: u32) {
        let slots_in_use = f64::from(slots_in_use.min(self.max_slots));
        self.slots = self.slots.max(slots_in_use);
    }

    /// Records a first token that arrived after `elapsed` with `uncached_tokens` of prefill before
    /// it.
    pub fn on_first_token(
        &mut self,
        now: Instant,
        uncached_tokens: f64,
        elapsed: Duration,
        slots_in_use: u32,
    ) {
        let slowdown = self
            .first_token
            .record(elapsed.as_nanos() as f64 / uncached_tokens.max(1.0));
        self.adjust(now, slowdown <= FIRST_TOKEN_TOLERANCE, slots_in_use);
    }

    /// Records the mean gap between the tokens of a response.
    pub fn on_between_tokens(&mut self, now: Instant, gap: Duration, slots_in_use: u32) {
        let slowdown = self.between_tokens.record(gap.as_nanos() as f64);
        self.adjust(now, slowdown <= BETWEEN_TOKENS_TOLERANCE, slots_in_use);
    }

    /// Records a broken response.
    pub fn on_error(&mut self, now: Instant) {
        self.decrease(now);
    }

    /// Records a load report. Requests queued inside the replica lower the limit to its batch size.
    pub fn on_report(&mut self, now: Instant, report: LoadReport) {
        let cache_full = report.kv_total > 0 && report.kv_used >= report.kv_total;
        if report.waiting == 0 && !cache_full {
            return;
        }
        let batch_size = f64::from(report.running.max(1));
        self.ceiling = Some(Ceiling {
            slots: batch_size,
            valid_until: now + REPORT_VALIDITY,
        });
        // Otherwise the limit would jump back above the batch size when the bound expires, and
        // every few seconds requests of all tiers would queue inside the engine in order of
        // arrival.
        self.starting_up = false;
        self.slots = self.slots.min(batch_size);
    }

    /// Lowers the limit after a bad sample; raises it after a good one if all slots are in use.
    fn adjust(&mut self, now: Instant, is_good: bool, slots_in_use: u32) {
        if !is_good {
            self.decrease(now);
        } else if f64::from(slots_in_use) + 1.0 >= self.slots {
            let gain = if self.starting_up {
                1.0
            } else {
                1.0 / self.slots
            };
            self.slots = (self.slots + gain).min(f64::from(self.max_slots));
        }
    }

    /// Lowers the limit unless it was lowered within [`DECREASE_INTERVAL`].
    fn decrease(&mut self, now: Instant) {
        if self
            .last_decrease_at
            .is_some_and(|at| now < at + DECREASE_INTERVAL)
        {
            return;
        }
        self.last_decrease_at = Some(now);
        self.starting_up = false;
        self.slots = (self.slots * DECREASE_FACTOR).max(1.0);
    }
}
