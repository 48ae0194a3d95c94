//! The concurrency limit of one replica.
//!
//! Load pattern: engines of different speed that slow down without warning. With a fixed limit a
//! fast engine idles and a slow one queues inside, where no tier counts. The limit rises by one
//! for each round of answers that stay near the replica's own best pace while it is full, and
//! falls by a fifth when they do not. A load report only ever lowers it: it is stale.

use std::time::Duration;

use tokio::time::Instant;

use crate::pace::TRUSTED_SAMPLES;
use crate::slots::LoadReport;

/// Limit of a replica of which nothing is known; it doubles with each round while all goes well.
pub const START: u32 = 4;

/// Highest limit; a batch beyond it gains no throughput on the brief's engines.
pub const MAX_LIMIT: u32 = 256;

/// First tokens this many times slower than the best pace mean a queue inside the engine.
pub const FIRST_TOKEN_TOLERANCE: f64 = 3.0;

/// Tokens this many times further apart than at the best pace mean a batch that is too large.
pub const BETWEEN_TOKENS_TOLERANCE: f64 = 2.5;

/// Part that is kept at a decrease.
const DECREASE: f64 = 0.8;

/// At most one decrease in this time: the answers in flight all tell of the same moment.
const DECREASE_EVERY: Duration = Duration::from_millis(500);

/// A report older than this no longer lowers the limit.
pub const REPORT_HOLDS: Duration = Duration::from_secs(5);

/// Part by which the best pace rises towards each slower sample, so that it is not kept for ever.
const BEST_DRIFT: f64 = 0.002;

/// Part by which the best pace falls towards each faster sample.
const BEST_FALL: f64 = 0.1;

/// Share of a new sample in the recent slowdown; about the last five count.
const RECENT_GAIN: f64 = 0.2;

/// Ceiling that a load report has set.
#[derive(Debug, Clone, Copy)]
struct Ceiling {
    slots: f64,
    until: Instant,
}

/// A time's usual best and how much slower the recent samples were.
#[derive(Debug, Clone, Copy)]
struct Slowdown {
    best: f64,
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

    /// Notes a sample and tells how many times slower than the best the recent ones are.
    fn add(&mut self, sample: f64) -> f64 {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.best = sample;
        }
        // Down by a part of the way only: one answer that a cache made short is not the new best.
        let gain = if sample < self.best {
            BEST_FALL
        } else {
            BEST_DRIFT
        };
        self.best += (sample - self.best) * gain;
        if self.samples < TRUSTED_SAMPLES || self.best <= 0.0 {
            return 1.0;
        }
        self.recent += (sample / self.best - self.recent) * RECENT_GAIN;
        self.recent
    }
}

/// Limit of requests in flight at one replica.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    slots: f64,
    max: u32,
    doubling: bool,
    first_token: Slowdown,
    between_tokens: Slowdown,
    ceiling: Option<Ceiling>,
    decreased: Option<Instant>,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl ConcurrencyLimit {
    /// Makes the limit of a replica of which nothing is known.
    pub fn new() -> Self {
        Self {
            slots: f64::from(START),
            max: MAX_LIMIT,
            doubling: true,
            first_token: Slowdown::new(),
            between_tokens: Slowdown::new(),
            ceiling: None,
            decreased: None,
        }
    }

    /// Starts at `slots`, known from an earlier owner's digest.
    pub fn with_start(mut self, slots: u32) -> Self {
        self.slots = f64::from(slots.clamp(1, self.max));
        self
    }

    /// Never goes above `max`.
    pub fn with_max(mut self, max: u32) -> Self {
        self.max = max.clamp(1, MAX_LIMIT);
        self.slots = self.slots.min(f64::from(self.max));
        self
    }

    /// Slots that may be taken now; at least 1.
    pub fn slots(&self, now: Instant) -> u32 {
        let slots = match self.ceiling {
            Some(ceiling) if ceiling.until > now => self.slots.min(ceiling.slots),
            _ => self.slots,
        };
        (slots as u32).max(1)
    }

    /// Learns that `taken` slots are in use that an earlier owner granted.
    pub fn on_inherited_slots(&mut self, taken: u32) {
        let taken = f64::from(taken.min(self.max));
        self.slots = self.slots.max(taken);
    }

    /// Notes a first token after `took` behind `tokens` of prefill, with `taken` slots in use.
    pub fn on_first_token(&mut self, now: Instant, tokens: f64, took: Duration, taken: u32) {
        let slowdown = self
            .first_token
            .add(took.as_nanos() as f64 / tokens.max(1.0));
        self.step(now, slowdown <= FIRST_TOKEN_TOLERANCE, taken);
    }

    /// Notes an answer's mean time between tokens.
    pub fn on_between_tokens(&mut self, now: Instant, took: Duration, taken: u32) {
        let slowdown = self.between_tokens.add(took.as_nanos() as f64);
        self.step(now, slowdown <= BETWEEN_TOKENS_TOLERANCE, taken);
    }

    /// Notes an answer that broke.
    pub fn on_error(&mut self, now: Instant) {
        self.decrease(now);
    }

    /// Notes a load report; requests that wait inside the replica lower the limit to its batch.
    pub fn on_report(&mut self, now: Instant, report: LoadReport) {
        let full = report.kv_total > 0 && report.kv_used >= report.kv_total;
        if report.waiting == 0 && !full {
            return;
        }
        let batch = f64::from(report.running.max(1));
        self.ceiling = Some(Ceiling {
            slots: batch,
            until: now + REPORT_HOLDS,
        });
        // Without this the limit would jump back above the batch when the ceiling ends, and every
        // few seconds requests of all tiers would queue inside the engine in order of arrival.
        self.doubling = false;
        self.slots = self.slots.min(batch);
    }

    fn step(&mut self, now: Instant, good: bool, taken: u32) {
        if !good {
            self.decrease(now);
        } else if f64::from(taken) + 1.0 >= self.slots {
            let gain = if self.doubling { 1.0 } else { 1.0 / self.slots };
            self.slots = (self.slots + gain).min(f64::from(self.max));
        }
    }

    fn decrease(&mut self, now: Instant) {
        if self.decreased.is_some_and(|at| now < at + DECREASE_EVERY) {
            return;
        }
        self.decreased = Some(now);
        self.doubling = false;
        self.slots = (self.slots * DECREASE).max(1.0);
    }
}
