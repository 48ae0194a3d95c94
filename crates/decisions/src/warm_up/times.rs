//! Response times of one replica: what is usual, and whether they still improve.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of a sample in the usual time, and of one that is much faster.
const USUAL_GAIN: f64 = 0.05;
const FASTER_GAIN: f64 = 0.3;

/// Ratio of the usual time to a sample from which the sample is much faster.
const MUCH_FASTER: f64 = 1.5;

/// Samples after which the usual time is known.
const MIN_USUAL_SAMPLES: u32 = 8;

/// Slow responses in a row, and the time over which they are spread, from which a replica is slow.
/// Replicas that share a machine are slow for a part of periods of 600 ms, which is shorter.
const MIN_SLOW_SAMPLES: u32 = 3;
const MIN_SLOW_TIME: Duration = Duration::from_millis(700);

/// Time of slow responses after which they are taken for usual.
const MAX_SLOW_TIME: Duration = Duration::from_secs(5);

/// Weight of a sample in the smoothed time during a warm-up.
const SMOOTHING_GAIN: f64 = 0.3;

/// Ratio of the smoothed time to an earlier one up to which it has improved.
const IMPROVEMENT: f64 = 0.8;

/// Time and samples without an improvement after which the times are stable. Replicas warm up for 4
/// s, in which their times may not change at all.
const STABLE_TIME: Duration = Duration::from_secs(5);
const MIN_STABLE_SAMPLES: u32 = 4;

/// Usual response time while the replica has no bound.
#[derive(Debug, Clone, Default)]
pub(super) struct UsualTime {
    mean_ms: f64,
    samples: u32,
    /// Begin and length of the current sequence of slow responses.
    slow_since: Option<Instant>,
    slow_samples: u32,
}

impl UsualTime {
    /// Usual response time, if known.
    pub(super) fn ms(&self) -> Option<f64> {
        (self.samples >= MIN_USUAL_SAMPLES).then_some(self.mean_ms)
    }

    /// Records a response time; returns whether the replica has become slow.
    pub(super) fn is_slowed_down_by(&mut self, now: Instant, ms: f64, slow_ratio: f64) -> bool {
        if self.ms().is_none_or(|usual| ms <= usual * slow_ratio) {
            self.end_streak();
            self.learn(ms);
            return false;
        }
        let since = *self.slow_since.get_or_insert(now);
        let slow_time = now.saturating_duration_since(since);
        if slow_time >= MAX_SLOW_TIME {
            self.replace(Some(ms));
            return false;
        }
        self.slow_samples += 1;
        self.slow_samples >= MIN_SLOW_SAMPLES && slow_time >= MIN_SLOW_TIME
    }

    /// Records a response time of a settled replica; returns whether it is better than usual, so that the
    /// replica may be well.
    pub(super) fn is_improved_by(&mut self, ms: f64) -> bool {
        let is_improved = self.ms().is_none_or(|usual| ms <= usual * IMPROVEMENT);
        self.learn(ms);
        is_improved
    }

    /// Whether the last response was slow.
    pub(super) fn is_in_doubt(&self) -> bool {
        self.slow_samples > 0
    }

    pub(super) fn end_streak(&mut self) {
        self.slow_since = None;
        self.slow_samples = 0;
    }

    /// Replaces the usual time, if another one is known.
    pub(super) fn replace(&mut self, ms: Option<f64>) {
        if let Some(ms) = ms {
            self.mean_ms = ms;
            self.samples = MIN_USUAL_SAMPLES;
            self.end_streak();
        }
    }

    fn learn(&mut self, ms: f64) {
        let gain = if ms * MUCH_FASTER < self.mean_ms {
            FASTER_GAIN
        } else {
            USUAL_GAIN
        };
        self.samples = self.samples.saturating_add(1);
        let gain = gain.max(1.0 / f64::from(self.samples));
        self.mean_ms += (ms - self.mean_ms) * gain;
    }
}

/// Response times during a warm-up.
#[derive(Debug, Clone, Default)]
pub(super) struct Progress {
    smoothed_ms: Option<f64>,
    best_ms: f64,
    /// Smoothed time at the last improvement.
    improved_ms: f64,
    improved_at: Option<Instant>,
    samples_since: u32,
}

impl Progress {
    pub(super) fn on_sample(&mut self, now: Instant, ms: f64) {
        let Some(before_ms) = self.smoothed_ms else {
            self.best_ms = ms;
            self.smoothed_ms = Some(ms);
            self.improved_ms = ms;
            self.improved_at = Some(now);
            return;
        };
        let smoothed_ms = before_ms + (ms - before_ms) * SMOOTHING_GAIN;
        self.smoothed_ms = Some(smoothed_ms);
        self.best_ms = self.best_ms.min(ms);
        self.samples_since += 1;
        if smoothed_ms < self.improved_ms * IMPROVEMENT {
            self.improved_ms = smoothed_ms;
            self.improved_at = Some(now);
            self.samples_since = 0;
        }
    }

    /// Best response time of the warm-up.
    pub(super) fn best_ms(&self) -> f64 {
        self.best_ms
    }

    /// Recent response time, if there is any.
    pub(super) fn smoothed_ms(&self) -> Option<f64> {
        self.smoothed_ms
    }

    /// Whether the response times don't improve any more.
    pub(super) fn is_stable(&self, now: Instant) -> bool {
        let unimproved = |at| now.saturating_duration_since(at) >= STABLE_TIME;
        self.improved_at.is_some_and(unimproved) && self.samples_since >= MIN_STABLE_SAMPLES
    }
}
