//! Latency and failure rate of a replica, estimated from the responses that pass through this
//! instance.

use std::time::Duration;

use tokio::time::Instant;

/// Number of gaps between events whose median is the step time. Few enough that a slowdown shows
/// within a second of one stream, and enough that a stall caused by one long prompt doesn't show.
const MEDIAN_WINDOW_GAPS: usize = 15;

/// Step time assumed without measurements, between those of the users' fast and slow engines.
const DEFAULT_STEP_MS: f64 = 9.0;

/// Number of new gaps after which the median is updated, once there are that many.
const MEDIAN_INTERVAL_GAPS: usize = 5;

/// Shortest step time that is presumed.
const MIN_STEP_MS: f64 = 0.5;

/// Processing time of a request presumed for a plain service without measurements.
const DEFAULT_SERVICE_MS: f64 = 50.0;

/// Weight of a new sample in the moving average of a plain service's processing time.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// The same during a warm-up, in which the time changes from one request to the next.
const QUICK_SERVICE_TIME_GAIN: f64 = 0.5;

/// Time in which the recorded failure share falls by half.
const FAILURE_HALF_LIFE_S: f64 = 4.0;

/// Weight of a new outcome in the moving average of failures.
const FAILURE_GAIN: f64 = 0.2;

/// Moving estimates of a replica's step time, service time and failure share.
#[derive(Debug, Default)]
pub struct LatencyEstimate {
    /// Ring buffer of the latest times per token.
    gaps_ms: Vec<f64>,
    next_index: usize,
    /// Median of `gaps_ms`, or the value from a peer.
    step_ms: Option<f64>,
    /// Moving average of the processing time at a plain service.
    service_ms: Option<f64>,
    /// The same without the network and without the wait for a slot.
    unqueued_ms: Option<f64>,
    /// Share of failures as of the last outcome, from 0 to 1.
    recorded_failure_share: f64,
    last_outcome_at: Option<Instant>,
}

impl LatencyEstimate {
    /// Milliseconds per step of the replica's batch; a default if nothing was measured.
    pub fn step_ms(&self) -> f64 {
        self.step_ms.unwrap_or(DEFAULT_STEP_MS)
    }

    /// Milliseconds per step, if measured here or reported by a peer.
    pub fn learned_step_ms(&self) -> Option<f64> {
        self.step_ms
    }

    /// Milliseconds per step, if measured here.
    pub fn measured_step_ms(&self) -> Option<f64> {
        self.step_ms.filter(|_| !self.gaps_ms.is_empty())
    }

    /// Stores a peer's step time unless this instance has measurements of its own.
    pub fn on_peer_step_ms(&mut self, step_ms: f64) {
        if self.gaps_ms.is_empty() {
            self.step_ms = Some(step_ms);
        }
    }

    /// Milliseconds that a plain service takes for a request; a default if nothing was measured.
    pub fn service_ms(&self) -> f64 {
        self.service_ms.unwrap_or(DEFAULT_SERVICE_MS)
    }

    /// Milliseconds that a plain service takes for a request, if measured.
    pub fn learned_service_ms(&self) -> Option<f64> {
        self.service_ms
    }

    /// Records the time per token between two events of a stream.
    pub fn on_gap(&mut self, per_token: Duration) {
        let gap_ms = per_token.as_secs_f64() * 1000.0;
        if self.gaps_ms.len() < MEDIAN_WINDOW_GAPS {
            self.gaps_ms.push(gap_ms);
        } else {
            self.gaps_ms[self.next_index] = gap_ms;
        }
        self.next_index = (self.next_index + 1) % MEDIAN_WINDOW_GAPS;
        if self.next_index.is_multiple_of(MEDIAN_INTERVAL_GAPS)
            || self.gaps_ms.len() < MEDIAN_INTERVAL_GAPS
        {
            let mut sorted = self.gaps_ms.clone();
            sorted.sort_by(f64::total_cmp);
            self.step_ms = Some(sorted[sorted.len() / 2].max(MIN_STEP_MS));
        }
    }

    /// Milliseconds that a plain service takes for a request without the network and without the wait for
    /// a slot, if measured.
    pub fn unqueued_ms(&self) -> Option<f64> {
        self.unqueued_ms
    }

    /// Replaces the step time of an engine after a sudden change of its speed.
    pub fn replace_step(&mut self, ms: f64) {
        self.gaps_ms.clear();
        self.next_index = 0;
        self.step_ms = Some(ms.max(MIN_STEP_MS));
    }

    /// Replaces the processing time of a plain service after a sudden change of its speed.
    pub fn replace_service(&mut self, unqueued_ms: f64, round_trip_ms: f64) {
        self.service_ms = Some(unqueued_ms + round_trip_ms);
        self.unqueued_ms = Some(unqueued_ms);
    }

    /// Forgets failures of a replica that is well again.
    pub fn forget_failures(&mut self) {
        self.recorded_failure_share = 0.0;
    }

    /// Records the processing time of a complete response from a plain service, and that without the
    /// network and the wait for a slot. New samples have more weight if it `changes_quickly`.
    pub fn on_completed(&mut self, elapsed: Duration, unqueued_ms: f64, changes_quickly: bool) {
        let gain = if changes_quickly {
            QUICK_SERVICE_TIME_GAIN
        } else {
            SERVICE_TIME_GAIN
        };
        let ms = elapsed.as_secs_f64() * 1000.0;
        let mean_ms = self.service_ms.unwrap_or(ms);
        self.service_ms = Some(mean_ms + (ms - mean_ms) * gain);
        let mean_ms = self.unqueued_ms.unwrap_or(unqueued_ms);
        self.unqueued_ms = Some(mean_ms + (unqueued_ms - mean_ms) * gain);
    }

    /// Records whether a request failed.
    pub fn on_outcome(&mut self, now: Instant, failed: bool) {
        let share = self.failure_share(now);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.recorded_failure_share = share + (outcome - share) * FAILURE_GAIN;
        self.last_outcome_at = Some(now);
    }

    /// Share of failed requests, from 0 to 1. It decays over time so that the replica is tried
    /// again.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let age = self
            .last_outcome_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.recorded_failure_share * (-age * std::f64::consts::LN_2 / FAILURE_HALF_LIFE_S).exp()
    }
}
