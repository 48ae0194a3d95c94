//! Observed speed of a replica, by which waits are estimated and slow replicas are found.
//!
//! Load pattern: engines of different speed behind load reports that are stale. Without figures
//! of our own, an estimate would rest on what the replica says of itself, seconds ago.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Tokens;
use crate::work::Work;

/// Prompt tokens' worth of fixed delay in each first token (queueing, one step, the connection).
///
/// One decode step of 26 ms at 0.2 ms for a prefilled token is about 128 tokens.
pub const FIRST_TOKEN_OVERHEAD: Tokens = 128;

/// Samples before an estimate is trusted to refuse or to slow anything.
pub const TRUSTED_SAMPLES: u32 = 8;

/// Share of a new sample in the moving mean; about the last ten samples count.
const MEAN_GAIN: f64 = 0.1;

/// Share of a new sample in the long mean; a slow replica stands out from it for hundreds of answers.
const LONG_GAIN: f64 = 0.005;

/// Speed of a replica as its callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// Time until the first token for each uncached prompt token.
    pub prefill: Duration,
    /// Time between two tokens of one stream.
    pub decode: Duration,
}

/// Pace assumed before anything was seen: slow enough that no replica is suspected by it.
pub const DEFAULT_PACE: Pace = Pace {
    prefill: Duration::from_millis(1),
    decode: Duration::from_millis(50),
};

impl Pace {
    /// Expected time until the first token when `prefill` tokens stand before it.
    pub fn time_to_first_token(self, prefill: Tokens) -> Duration {
        times(self.prefill, prefill.saturating_add(FIRST_TOKEN_OVERHEAD))
    }

    /// Expected time from dispatch to the end of the answer.
    pub fn service_time(self, work: Work) -> Duration {
        self.time_to_first_token(work.prefill)
            .saturating_add(times(self.decode, work.decode))
    }
}

/// `unit` repeated `count` times, saturating.
fn times(unit: Duration, count: u64) -> Duration {
    let nanos = (unit.as_nanos() as u64).saturating_mul(count);
    Duration::from_nanos(nanos)
}

/// Usual pace of a generation: the median of its replicas' paces, or `None` without any.
///
/// With the mean, one stalled replica among three would pass as usual.
pub fn median_pace(paces: &[Pace]) -> Option<Pace> {
    let mut prefill: Vec<_> = paces.iter().map(|pace| pace.prefill).collect();
    let mut decode: Vec<_> = paces.iter().map(|pace| pace.decode).collect();
    prefill.sort_unstable();
    decode.sort_unstable();
    let middle = paces.len().saturating_sub(1) / 2;
    Some(Pace {
        prefill: *prefill.get(middle)?,
        decode: *decode.get(middle)?,
    })
}

/// Moving mean of a replica's pace, over about the last ten samples and over the last few hundred.
#[derive(Debug, Clone)]
pub struct PaceEstimator {
    prefill: Mean,
    whole: Mean,
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
    /// Makes a meter that has seen nothing.
    pub fn new() -> Self {
        Self {
            prefill: Mean::new(DEFAULT_PACE.prefill, MEAN_GAIN),
            whole: Mean::new(DEFAULT_PACE.prefill, MEAN_GAIN),
            decode: Mean::new(DEFAULT_PACE.decode, MEAN_GAIN),
            long_prefill: Mean::new(DEFAULT_PACE.prefill, LONG_GAIN),
            long_decode: Mean::new(DEFAULT_PACE.decode, LONG_GAIN),
        }
    }

    /// Current pace, [`ASSUMED`] where nothing was seen yet.
    pub fn pace(&self) -> Pace {
        Pace {
            prefill: self.prefill.value(),
            decode: self.decode.value(),
        }
    }

    /// Whether enough first tokens were seen to act on the estimate.
    pub fn is_trusted(&self) -> bool {
        self.prefill.samples >= TRUSTED_SAMPLES
    }

    /// Notes a first token that came after `took` behind `prefill` uncached tokens of `prompts`.
    ///
    /// A prompt that is wrongly thought to be cached makes the replica look slower than it is; so
    /// [`PaceMeter::slowdown`] goes by whole prompts.
    pub fn on_first_token(&mut self, prefill: Tokens, prompts: Tokens, took: Duration) {
        let tokens = prefill.saturating_add(FIRST_TOKEN_OVERHEAD) as f64;
        let nanos = took.as_nanos() as f64 / tokens;
        self.prefill.add(nanos);
        self.long_prefill.add(nanos);
        let prompts = prompts.max(prefill).saturating_add(FIRST_TOKEN_OVERHEAD) as f64;
        self.whole.add(took.as_nanos() as f64 / prompts);
    }

    /// Notes the mean time between the tokens of one answer.
    pub fn on_between_tokens(&mut self, took: Duration) {
        let nanos = took.as_nanos() as f64;
        self.decode.add(nanos);
        self.long_decode.add(nanos);
    }

    /// How many times slower the recent answers were than `usual`, the pace of the replica's
    /// generation, or than its own long mean if none is known; 1 while too little was seen.
    pub fn slowdown(&self, usual: Option<Pace>) -> f64 {
        let usual = usual.unwrap_or(Pace {
            prefill: self.long_prefill.value(),
            decode: self.long_decode.value(),
        });
        let prefill = self.whole.slowdown(usual.prefill);
        prefill.max(self.decode.slowdown(usual.decode))
    }

    /// Usual time of a first token behind `prefill` tokens: by `usual` or by the own long mean.
    pub fn usual_time_to_first_token(&self, usual: Option<Pace>, prefill: Tokens) -> Duration {
        let own = Pace {
            prefill: self.long_prefill.value(),
            decode: self.long_decode.value(),
        };
        usual.unwrap_or(own).time_to_first_token(prefill)
    }
}

/// Exponentially weighted mean that starts as a plain mean.
#[derive(Debug, Clone)]
struct Mean {
    nanos: f64,
    gain: f64,
    samples: u32,
}

impl Mean {
    fn new(assumed: Duration, gain: f64) -> Self {
        Self {
            nanos: assumed.as_nanos() as f64,
            gain,
            samples: 0,
        }
    }

    /// How many times slower than `usual`; 1 while too little was seen.
    fn slowdown(&self, usual: Duration) -> f64 {
        if self.samples < TRUSTED_SAMPLES || usual.is_zero() {
            return 1.0;
        }
        self.nanos / usual.as_nanos() as f64
    }

    fn value(&self) -> Duration {
        Duration::from_nanos(self.nanos as u64)
    }

    fn add(&mut self, nanos: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = self.gain.max(1.0 / f64::from(self.samples));
        self.nanos += (nanos - self.nanos) * gain;
    }
}
