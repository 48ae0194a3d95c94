//! Demotes requests by the engine time they take, relative to the mean request of their service.
//!
//! Load pattern: overload for ten seconds and longer, with requests whose lengths differ a
//! hundredfold. In order of arrival, a long request that holds a slot for three seconds makes ten
//! short ones late or lost; in the opposite order, the short ones delay the long one by a fraction
//! of a second. Among requests of the same organisation rank, a request is therefore demoted by
//! half a tier for each doubling of its size. On the heaviest days of the users at opticians, this
//! alone reduced lost requests from 15 in 100 to 10 without losing more long ones, and raised the
//! share of each kind of request that was on time.
//!
//! Size is measured in batch steps of the engine, estimated from the first events of responses: the
//! number of prompt tokens processed in the time of a step differs more than twofold between
//! engines.

use std::time::Duration;

/// First events kept for the fit: enough for two halves with stable medians.
const MAX_SAMPLES: usize = 48;

/// Fewest first events from which a fit is made.
const MIN_SAMPLES: usize = 16;

/// Number of new first events after which the fit is repeated.
const REFIT_INTERVAL_SAMPLES: usize = 8;

/// Least ratio between the median prompt lengths of the two halves; below it, noise outweighs the
/// difference between them.
const MIN_PROMPT_LENGTH_RATIO: f64 = 2.0;

/// Prompt length in tokens at which attention doubles the time to process the prompt. Engines
/// differ, but only one request in a hundred is that long.
const ATTENTION_DOUBLING_TOKENS: f64 = 61_000.0;

/// Weight of a new request in the mean size; a hundred requests arrive within seconds.
const MEAN_SIZE_GAIN: f64 = 0.02;

/// Demotion of a request of mean size, in half tiers; a request a quarter of that size isn't
/// demoted.
const MEAN_SIZE_DEMOTION: f64 = 2.0;

/// Largest demotion for size, in half tiers: the largest requests still precede late requests two
/// tiers below.
const MAX_SIZE_DEMOTION: f64 = 7.0;

/// Processing time of prompts, in batch steps of the engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PromptCost {
    /// Steps until the first token, besides those for the prompt.
    pub(super) first_steps: f64,
    /// Prompt tokens processed in the time of one step.
    pub(super) tokens_per_step: f64,
}

impl PromptCost {
    /// Used until a fit exists: 120 ms at 7 ms per step, and 62 tokens per millisecond at 6.9 ms
    /// per step, as on the engines of the first users.
    pub(super) const DEFAULT: Self = Self {
        first_steps: 17.0,
        tokens_per_step: 430.0,
    };

    /// Steps that processing a prompt of `tokens` takes.
    pub(super) fn prompt_steps(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_step * (1.0 + tokens / ATTENTION_DOUBLING_TOKENS)
    }

    /// Factor by which the last tokens of a prompt of `tokens` are slower than those of a short
    /// one.
    pub(super) fn attention_slowdown(tokens: f64) -> f64 {
        1.0 + 2.0 * tokens / ATTENTION_DOUBLING_TOKENS
    }
}

/// Request sizes and prompt cost of one service.
#[derive(Debug)]
pub(super) struct SizeStats {
    pub(super) prompt_cost: PromptCost,
    /// Prompt tokens and steps until the first event of recent requests.
    samples: Vec<(f64, f64)>,
    sample_count: usize,
    /// Requests that one replica of the service processes concurrently.
    slots: f64,
    /// Moving average of the base-2 logarithm of request sizes in steps.
    mean_log2_steps: Option<f64>,
}

impl SizeStats {
    pub(super) fn new() -> Self {
        Self {
            prompt_cost: PromptCost::DEFAULT,
            samples: Vec::new(),
            sample_count: 0,
            slots: 1.0,
            mean_log2_steps: None,
        }
    }

    /// Records the time to the first event of a request whose prompt was processed without delay.
    pub(super) fn on_first_event(
        &mut self,
        prompt_tokens: f64,
        time_to_first_event: Duration,
        step_ms: f64,
    ) {
        let steps = time_to_first_event.as_secs_f64() * 1e3 / step_ms;
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push((prompt_tokens, steps));
        } else {
            self.samples[self.sample_count % MAX_SAMPLES] = (prompt_tokens, steps);
        }
        self.sample_count += 1;
        if self.samples.len() >= MIN_SAMPLES
            && self.sample_count.is_multiple_of(REFIT_INTERVAL_SAMPLES)
        {
            self.refit();
        }
    }

    /// Fits a line through the medians of the shorter and of the longer prompts. Medians tolerate
    /// the requests that were delayed by other instances without this one knowing.
    fn refit(&mut self) {
        let mut samples = self.samples.clone();
        samples.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (short, long) = samples.split_at(samples.len() / 2);
        let (short, long) = (medians(short), medians(long));
        let slope = (long.1 - short.1) / (long.0 - short.0);
        // Prompts of unknown length have length 0 and can't be fitted.
        if long.0 < short.0 * MIN_PROMPT_LENGTH_RATIO || !slope.is_finite() || slope <= 0.0 {
            return;
        }
        self.prompt_cost = PromptCost {
            first_steps: (short.1 - short.0 * slope).max(1.0),
            tokens_per_step: 1.0 / slope,
        };
    }

    /// Updates the mean size with a request and returns its demotion in half tiers.
    pub(super) fn on_request(&mut self, prompt_tokens: f64, output_tokens: f64, slots: u32) -> u32 {
        self.slots = f64::from(slots.max(1));
        let log2_steps = self.log2_steps(prompt_tokens, output_tokens);
        let demotion = self.demotion(log2_steps);
        if let Some(log2_steps) = log2_steps {
            let mean = self.mean_log2_steps.unwrap_or(log2_steps);
            self.mean_log2_steps = Some(mean + (log2_steps - mean) * MEAN_SIZE_GAIN);
        }
        demotion
    }

    /// Base-2 logarithm of the batch steps that a request takes; `None` if it takes none.
    pub(super) fn log2_steps(&self, prompt_tokens: f64, output_tokens: f64) -> Option<f64> {
        let steps = self.prompt_cost.prompt_steps(prompt_tokens) + output_tokens / self.slots;
        (steps > 0.0).then(|| steps.log2())
    }

    /// Demotion in half tiers of a request of the given size.
    pub(super) fn demotion(&self, log2_steps: Option<f64>) -> u32 {
        let Some(log2_steps) = log2_steps else {
            return 0;
        };
        let mean = self.mean_log2_steps.unwrap_or(log2_steps);
        (log2_steps - mean + MEAN_SIZE_DEMOTION).clamp(0.0, MAX_SIZE_DEMOTION) as u32
    }
}

/// Medians of the prompt tokens and of the steps.
fn medians(samples: &[(f64, f64)]) -> (f64, f64) {
    let median = |values: &mut Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let mut prompts = samples.iter().map(|s| s.0).collect();
    let mut steps = samples.iter().map(|s| s.1).collect();
    (median(&mut prompts), median(&mut steps))
}
