//! Speed of a replica as observed by its callers, from which waits are estimated and slow replicas
//! found.
//!
//! Load pattern: engines of different speed whose load reports are stale. Without measurements of
//! its own, an instance would have to rely on what the replica reported seconds ago.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Tokens;
use crate::work::Work;

/// Fixed delay of each first token (queueing, one step, the connection), in prompt tokens.
///
/// One decode step of 26 ms at 0.2 ms per prefilled token is about 128 tokens.
pub const FIRST_TOKEN_OVERHEAD: Tokens = 128;

/// Samples from which an estimate is trusted enough to reject requests or reduce slots.
pub const TRUSTED_SAMPLES: u32 = 8;

/// Weight of a new sample in the short-term mean; it covers about the last ten samples.
const SHORT_GAIN: f64 = 0.1;

/// Weight of a new sample in the long-term mean, against which a slowdown shows for hundreds of
/// responses.
const LONG_GAIN: f64 = 0.005;

/// Speed of a replica as its callers observe it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// Time until the first token, for each uncached prompt token.
    pub prefill: Duration,
    /// Time between two tokens of a stream.
    pub decode: Duration,
}

/// Pace assumed without samples; so slow that no replica is suspected because of it.
pub const DEFAULT_PACE: Pace = Pace {
    prefill: Duration::from_millis(1),
    decode: Duration::from_millis(50),
};

impl Pace {
    /// Expected time until the first token with `uncached_tokens` to process before it.
    pub fn time_to_first_token(self, uncached_tokens: Tokens) -> Duration {
        times(
            self.prefill,
            uncached_tokens.saturating_add(FIRST_TOKEN_OVERHEAD),
        )
    }

    /// Expected time from dispatch to the end of the response.
    pub fn service_time(self, work: Work) -> Duration {
        self.time_to_first_token(work.prefill)
            .saturating_add(times(self.decode, work.decode))
    }
}

/// `duration` multiplied by `factor`, saturating.
fn times(duration: Duration, factor: u64) -> Duration {
    let nanos = (duration.as_nanos() as u64).saturating_mul(factor);
    Duration::from_nanos(nanos)
}

/// Usual pace of a hardware generation: the median of its replicas' paces, or `None` without
/// replicas.
///
/// A mean would let one stalled replica among three pass as usual.
pub fn median_pace(paces: &[Pace]) -> Option<Pace> {
    let mut prefill: Vec<_> = paces.iter().map(|pace| pace.prefill).collect();
    let mut decode: Vec<_> = paces.iter().map(|pace| pace.decode).collect();
    prefill.sort_unstable();
    decode.sort_unstable();
    let median_index = paces.len().saturating_sub(1) / 2;
    Some(Pace {
        prefill: *prefill.get(median_index)?,
        decode: *decode.get(median_index)?,
    })
}

/// Means of a replica's pace over about the last ten samples and over the last few hundred.
#[derive(Debug, Clone)]
pub struct PaceEstimator {
    /// Nanoseconds per uncached prompt token until the first token.
    prefill: Mean,
    /// The same per token of the full prompt, cached or not.
    full_prompt: Mean,
    /// Nanoseconds between two tokens.
    decode: Mean,
    long_prefill: Mean,
    long_decode: Mean,
}

impl Default for PaceEstimator {
    fn default() -> Self {
        Self::new()
    }
}

impl PaceEstimator {
    /// Creates an estimator without samples.
    pub fn new() -> Self {
        Self {
            prefill: Mean::new(DEFAULT_PACE.prefill, SHORT_GAIN),
            full_prompt: Mean::new(DEFAULT_PACE.prefill, SHORT_GAIN),
            decode: Mean::new(DEFAULT_PACE.decode, SHORT_GAIN),
            long_prefill: Mean::new(DEFAULT_PACE.prefill, LONG_GAIN),
            long_decode: Mean::new(DEFAULT_PACE.decode, LONG_GAIN),
        }
    }

    /// Current short-term pace, or [`DEFAULT_PACE`] without samples.
    pub fn pace(&self) -> Pace {
        Pace {
            prefill: self.prefill.get(),
            decode: self.decode.get(),
        }
    }

    /// Whether there are enough first-token samples to act on the estimate.
    pub fn is_trusted(&self) -> bool {
        self.prefill.samples >= TRUSTED_SAMPLES
    }

    /// Records a first token that arrived after `elapsed`, with `uncached_tokens` of the
    /// `prompt_tokens` to process before it.
    ///
    /// A prompt wrongly assumed to be cached makes the replica look slower than it is, so
    /// [`PaceEstimator::slowdown`] is based on full prompts.
    pub fn on_first_token(
        &mut self,
        uncached_tokens: Tokens,
        prompt_tokens: Tokens,
        elapsed: Duration,
    ) {
        let tokens = uncached_tokens.saturating_add(FIRST_TOKEN_OVERHEAD) as f64;
        let ns_per_token = elapsed.as_nanos() as f64 / tokens;
        self.prefill.add(ns_per_token);
        self.long_prefill.add(ns_per_token);
        let prompt_tokens = prompt_tokens
            .max(uncached_tokens)
            .saturating_add(FIRST_TOKEN_OVERHEAD) as f64;
        self.full_prompt
            .add(elapsed.as_nanos() as f64 / prompt_tokens);
    }

    /// Records the mean gap between the tokens of one response.
    pub fn on_between_tokens(&mut self, gap: Duration) {
        let gap_ns = gap.as_nanos() as f64;
        self.decode.add(gap_ns);
        self.long_decode.add(gap_ns);
    }

    /// Ratio of the recent pace to `usual`, the pace of the replica's generation, or to its own
    /// long-term mean if there is none; 1 while there are too few samples.
    pub fn slowdown(&self, usual: Option<Pace>) -> f64 {
        let usual = usual.unwrap_or(Pace {
            prefill: self.long_prefill.get(),
            decode: self.long_decode.get(),
        });
        let prefill = self.full_prompt.slowdown(usual.prefill);
        prefill.max(self.decode.slowdown(usual.decode))
    }

    /// Usual time until the first token with `uncached_tokens` before it, from `usual` or, without
    /// it, from the replica's own long-term mean.
    pub fn usual_time_to_first_token(
        &self,
        usual: Option<Pace>,
        uncached_tokens: Tokens,
    ) -> Duration {
        let long_term = Pace {
            prefill: self.long_prefill.get(),
            decode: self.long_decode.get(),
        };
        usual
            .unwrap_or(long_term)
            .time_to_first_token(uncached_tokens)
    }
}

/// Exponentially weighted mean that starts as an arithmetic mean.
#[derive(Debug, Clone)]
struct Mean {
    value_ns: f64,
    gain: f64,
    samples: u32,
}

impl Mean {
    fn new(assumed: Duration, gain: f64) -> Self {
        Self {
            value_ns: assumed.as_nanos() as f64,
            gain,
            samples: 0,
        }
    }

    /// Ratio of the mean to `usual`; 1 while there are too few samples.
    fn slowdown(&self, usual: Duration) -> f64 {
        if self.samples < TRUSTED_SAMPLES || usual.is_zero() {
            return 1.0;
        }
        self.value_ns / usual.as_nanos() as f64
    }

    fn get(&self) -> Duration {
        Duration::from_nanos(self.value_ns as u64)
    }

    fn add(&mut self, sample_ns: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = self.gain.max(1.0 / f64::from(self.samples));
        self.value_ns += (sample_ns - self.value_ns) * gain;
    }
}
