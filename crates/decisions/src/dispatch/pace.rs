//! How fast a replica works, learned from the answers that pass through.

use std::time::Duration;

use tokio::time::Instant;

/// Number of gaps between events over which the median is taken: few enough that a replica which
/// turns slow is known after a second of one stream, enough that a stall by a long prompt is not.
const GAPS: usize = 15;

/// A token's step before anything is known: between the fast and the slow engines of the users.
const UNKNOWN_STEP_MS: f64 = 9.0;

/// Half-life of a failure's weight.
const FAILURE_HALF_LIFE_S: f64 = 4.0;

/// Weight of one outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// What one instance has learned of a replica.
#[derive(Debug, Default)]
pub struct Pace {
    gaps: Vec<f64>,
    next: usize,
    step_ms: Option<f64>,
    service_ms: Option<f64>,
    failing: f64,
    failing_at: Option<Instant>,
}

impl Pace {
    /// Milliseconds that the replica takes for one step of its batch.
    pub fn step_ms(&self) -> f64 {
        self.step_ms.unwrap_or(UNKNOWN_STEP_MS)
    }

    /// The learned step, if there is one.
    pub fn learned_step_ms(&self) -> Option<f64> {
        self.step_ms
    }

    /// Takes a peer's word where nothing is known here.
    pub fn hint_step_ms(&mut self, step_ms: f64) {
        if self.gaps.is_empty() {
            self.step_ms = Some(step_ms);
        }
    }

    /// Milliseconds that the replica takes for a request of a plain service.
    pub fn service_ms(&self) -> f64 {
        self.service_ms.unwrap_or(50.0)
    }

    /// Notes the time of one token between two events of a stream.
    pub fn on_gap(&mut self, per_token: Duration) {
        let gap = per_token.as_secs_f64() * 1000.0;
        if self.gaps.len() < GAPS {
            self.gaps.push(gap);
        } else {
            self.gaps[self.next] = gap;
        }
        self.next = (self.next + 1) % GAPS;
        if self.next.is_multiple_of(5) || self.gaps.len() < 5 {
            let mut sorted = self.gaps.clone();
            sorted.sort_by(f64::total_cmp);
            self.step_ms = Some(sorted[sorted.len() / 2].max(0.5));
        }
    }

    /// Notes the time of a whole answer of a plain service.
    pub fn on_served(&mut self, took: Duration) {
        let ms = took.as_secs_f64() * 1000.0;
        let known = self.service_ms.unwrap_or(ms);
        self.service_ms = Some(known + (ms - known) * 0.1);
    }

    /// Notes whether a request ended well.
    pub fn on_outcome(&mut self, now: Instant, failed: bool) {
        let share = self.failing(now);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failing = share + (outcome - share) * FAILURE_WEIGHT;
        self.failing_at = Some(now);
    }

    /// Share of failures, which fades so that the replica is tried again.
    pub fn failing(&self, now: Instant) -> f64 {
        let age = self
            .failing_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.failing * (-age * std::f64::consts::LN_2 / FAILURE_HALF_LIFE_S).exp()
    }
}
