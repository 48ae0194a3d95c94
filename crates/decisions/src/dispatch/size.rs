//! How much of an engine's time a request takes, against the usual request of its service.
//!
//! Load pattern: more work than the engines can do for ten seconds and longer, in requests whose
//! lengths differ a hundredfold. In order of arrival, a report that holds a place for three seconds
//! makes ten short checks late or lost; the other way round, the checks delay the report by a
//! fraction of a second. Within its organisation's rank a request therefore sinks by half a tier
//! for each doubling of its size. On the users' heaviest days at opticians, with everything else
//! alike, this took the requests that were lost from 15 in 100 to 10, the reports' own share being
//! unchanged, and raised the share of each kind that was on time.
//!
//! Size is counted in steps of the engine's batch, learned from first events: how many tokens of a
//! prompt are read in the time of a step differs between engines by more than twofold.

use std::time::Duration;

/// First events from which the reading is learned: enough for two halves whose medians are steady.
const SEEN: usize = 48;

/// The fewest that are learned from.
const FEWEST: usize = 16;

/// New first events after which the reading is learned anew.
const ANEW: usize = 8;

/// The prompts of the upper half must be this many times as long as those of the lower one, so that
/// the difference between them tells more than the noise.
const APART: f64 = 2.0;

/// Prompt length at which attention over the prompt itself doubles the time of reading it. Engines
/// differ, but requests that long are one in a hundred.
const QUADRATIC_TOKENS: f64 = 61_000.0;

/// Weight of one request in the usual size: a hundred requests come within some seconds.
const USUAL_WEIGHT: f64 = 0.02;

/// A request of the usual size is set back by this many halves of a tier, so that one of a quarter
/// of it is not set back at all.
const USUAL_SETBACK: f64 = 2.0;

/// The most that a request is set back by for its size: the largest still come before those of two
/// tiers further down that are late.
const MOST_SETBACK: f64 = 7.0;

/// How an engine reads prompts, in steps of its batch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Reading {
    /// Steps before the first token beside the prompt itself.
    pub(super) first_steps: f64,
    /// Prompt tokens that are read in the time of a step.
    pub(super) tokens_a_step: f64,
}

impl Reading {
    /// Until it is learned: 120 ms at 7 ms a step, and 62 tokens a millisecond at 6.9 ms a step, as
    /// the engines of the first users do.
    pub(super) const UNKNOWN: Self = Self {
        first_steps: 17.0,
        tokens_a_step: 430.0,
    };

    /// Steps in whose time a prompt is read.
    pub(super) fn prompt_steps(&self, tokens: f64) -> f64 {
        tokens / self.tokens_a_step * (1.0 + tokens / QUADRATIC_TOKENS)
    }

    /// By how much a long prompt is read more slowly than a short one.
    pub(super) fn slower_by(tokens: f64) -> f64 {
        1.0 + 2.0 * tokens / QUADRATIC_TOKENS
    }
}

/// What is learned of the requests and engines of one service.
#[derive(Debug)]
pub(super) struct Sizes {
    pub(super) reading: Reading,
    seen: Vec<(f64, f64)>,
    next: usize,
    /// Requests that its replicas run at once.
    slots: f64,
    /// Usual size, as the logarithm to the base 2 of the steps.
    usual: Option<f64>,
}

impl Sizes {
    pub(super) fn new() -> Self {
        Self {
            reading: Reading::UNKNOWN,
            seen: Vec::new(),
            next: 0,
            slots: 1.0,
            usual: None,
        }
    }

    /// Notes the first event of a request that nothing delayed at its replica.
    pub(super) fn on_first(&mut self, prompt: f64, after: Duration, step_ms: f64) {
        let steps = after.as_secs_f64() * 1e3 / step_ms;
        if self.seen.len() < SEEN {
            self.seen.push((prompt, steps));
        } else {
            self.seen[self.next % SEEN] = (prompt, steps);
        }
        self.next += 1;
        if self.seen.len() >= FEWEST && self.next.is_multiple_of(ANEW) {
            self.learn();
        }
    }

    /// Draws a line through the medians of the shorter and of the longer prompts. Medians bear the
    /// requests that other instances delayed unseen.
    fn learn(&mut self) {
        let mut seen = self.seen.clone();
        seen.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (short, long) = seen.split_at(seen.len() / 2);
        let (short, long) = (medians(short), medians(long));
        let slope = (long.1 - short.1) / (long.0 - short.0);
        // Prompts of unknown length count as empty: no line goes through them.
        if long.0 < short.0 * APART || !slope.is_finite() || slope <= 0.0 {
            return;
        }
        self.reading = Reading {
            first_steps: (short.1 - short.0 * slope).max(1.0),
            tokens_a_step: 1.0 / slope,
        };
    }

    /// Notes a request, and returns by how many halves of a tier it is set back for its size.
    pub(super) fn on_request(&mut self, prompt: f64, output: f64, slots: u32) -> u32 {
        self.slots = f64::from(slots.max(1));
        let size = self.size(prompt, output);
        let setback = self.setback(size);
        if let Some(size) = size {
            let usual = self.usual.unwrap_or(size);
            self.usual = Some(usual + (size - usual) * USUAL_WEIGHT);
        }
        setback
    }

    /// The steps of a whole batch that a request takes, as the logarithm to the base 2.
    pub(super) fn size(&self, prompt: f64, output: f64) -> Option<f64> {
        let steps = self.reading.prompt_steps(prompt) + output / self.slots;
        (steps > 0.0).then(|| steps.log2())
    }

    /// By how many halves of a tier a request of the size is set back.
    pub(super) fn setback(&self, size: Option<f64>) -> u32 {
        let Some(size) = size else {
            return 0;
        };
        let usual = self.usual.unwrap_or(size);
        (size - usual + USUAL_SETBACK).clamp(0.0, MOST_SETBACK) as u32
    }
}

fn medians(seen: &[(f64, f64)]) -> (f64, f64) {
    let median = |values: &mut Vec<f64>| {
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    let mut prompts = seen.iter().map(|s| s.0).collect();
    let mut steps = seen.iter().map(|s| s.1).collect();
    (median(&mut prompts), median(&mut steps))
}
