//! What a replica's answers tell: how many slots it has, how fast it is, whether it is well.

use std::time::Duration;

use tokio::time::Instant;

use super::RequestOutcome;
use super::taken::{Stage, TakenSlots};
use crate::concurrency::Limit;
use crate::health::Health;
use crate::id::Tokens;
use crate::pace::{FIRST_TOKEN_OVERHEAD, Pace, PaceMeter};
use crate::work::Work;

/// First token later than this many times the expected time: no grant until it comes.
///
/// A stalled replica's report still looks idle; without the pause it would get its whole limit
/// before the first token is overdue.
const LATE_FACTOR: u32 = 2;

/// Added to the time after which a first token is late.
const LATE_SLACK: Duration = Duration::from_millis(50);

/// First token later than this many times what its whole prompt takes uncached: overdue, the
/// replica stalls.
///
/// Counted by the part that was thought to be uncached, every unnoticed eviction looked like a
/// stall, and replicas fell to single probes in every overload.
const OVERDUE_FACTOR: u32 = 4;

/// Added to the time after which a first token is overdue: messages on the way and the tick.
const OVERDUE_SLACK: Duration = Duration::from_millis(200);

/// Time expected of a first token while the replica's pace is unknown.
const UNTRUSTED_FIRST_TOKEN: Duration = Duration::from_secs(1);

/// An estimate may be out by this factor before anything is refused as late because of it.
///
/// A request waits at up to three owners, so each owner's queue looks up to three times longer than
/// it is; with 2 an overload refused what the queues could have served.
const LATE_MARGIN: u32 = 4;

/// A first token, as its holder told it.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstToken {
    /// When the owner heard of the dispatch.
    pub(super) since: Instant,
    /// Uncached prompt tokens that it waited for.
    pub(super) ahead: Tokens,
    /// The same with whole prompts.
    pub(super) prompts_ahead: Tokens,
    /// From dispatch to the token.
    pub(super) took: Duration,
    /// Slots in use when it came.
    pub(super) in_use: u32,
}

/// Limit, health and pace of one replica.
#[derive(Debug, Clone, Default)]
pub(super) struct Feedback {
    pub(super) limit: Limit,
    pub(super) health: Health,
    pub(super) usual: Option<Pace>,
    meter: PaceMeter,
    /// When a first token or the end of an answer came last.
    progress: Option<Instant>,
}

impl Feedback {
    /// Slots that may be taken now.
    pub(super) fn allowed(&self, now: Instant, taken: &TakenSlots) -> u32 {
        let old = self.health.fell().map_or(0, |fell| taken.before(fell));
        self.health
            .allowed(now, self.limit.get(now), taken.len(), old)
    }

    /// Looks for a first token that is overdue while nothing else came from the replica either.
    ///
    /// A request that waits inside a full engine is late too, but others flow meanwhile.
    pub(super) fn look_for_stall(&mut self, now: Instant, taken: &TakenSlots) {
        if taken.is_overdue(now, self.progress) {
            self.health.on_overdue(now);
        }
    }

    /// Pace, if enough was seen.
    pub(super) fn pace(&self) -> Option<Pace> {
        self.meter.is_trusted().then(|| self.meter.pace())
    }

    /// Expected time from dispatch to the end of the answer; never refuse by it alone.
    pub(super) fn service(&self, work: Work) -> Duration {
        self.meter.pace().service(work)
    }

    /// Expected time for `tokens` of prefill that are under way.
    pub(super) fn prefill(&self, tokens: Tokens) -> Duration {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.meter.pace().prefill.saturating_mul(tokens)
    }

    /// Whether `work` behind a `wait` cannot end in the time that is `left`.
    pub(super) fn is_late(&self, wait: Duration, work: Work, left: Duration) -> bool {
        if left.is_zero() {
            return true;
        }
        let needed = wait.saturating_add(self.service(work));
        self.meter.is_trusted() && needed > left.saturating_mul(LATE_MARGIN)
    }

    /// Stage of a request that is dispatched now behind `ahead` uncached prompt tokens of
    /// `prompts_ahead` in all, its own included.
    pub(super) fn dispatched(&self, now: Instant, ahead: Tokens, prompts_ahead: Tokens) -> Stage {
        let expected = self.first_token(ahead);
        let longest = self.first_token(prompts_ahead);
        Stage::Silent {
            since: now,
            late: now + expected.saturating_mul(LATE_FACTOR) + LATE_SLACK,
            due: now + longest.saturating_mul(OVERDUE_FACTOR) + OVERDUE_SLACK,
        }
    }

    /// Expected time of a first token behind `ahead` prompt tokens.
    fn first_token(&self, ahead: Tokens) -> Duration {
        let expected = self.meter.pace().first_token(ahead);
        if self.meter.is_trusted() {
            expected
        } else {
            expected.max(UNTRUSTED_FIRST_TOKEN)
        }
    }

    /// Notes that a request ended without the first token, which was `late`.
    ///
    /// Its caller may have had less patience than it takes until the token is overdue; one after
    /// the other would go to a stalled replica and nobody would notice.
    pub(super) fn on_silent_end(&mut self, now: Instant, since: Instant, late: Instant) {
        if self.progress.is_none_or(|at| at < late) {
            self.health.on_silent_end(now, since);
        }
    }

    /// Notes a first token.
    pub(super) fn on_first_token(&mut self, now: Instant, first: FirstToken) {
        let FirstToken {
            since,
            ahead,
            prompts_ahead,
            took,
            in_use,
        } = first;
        self.progress = Some(now);
        self.meter.on_first_token(ahead, prompts_ahead, took);
        let tokens = ahead.saturating_add(FIRST_TOKEN_OVERHEAD);
        self.limit.on_first_token(now, tokens as f64, took, in_use);
        let usual = self.meter.usual_first_token(self.usual, prompts_ahead);
        let slowdown = took.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON);
        let mean = self.meter.slowdown(self.usual);
        self.health.on_answer(now, since, slowdown, mean);
    }

    /// Notes the end of a request, with `in_use` slots in use before.
    pub(super) fn on_outcome(&mut self, now: Instant, outcome: RequestOutcome, in_use: u32) {
        if !outcome.whole {
            self.limit.on_error(now);
            self.health.on_error(now);
            return;
        }
        self.progress = Some(now);
        if let Some(took) = outcome.between_tokens {
            self.meter.on_between_tokens(took);
            self.limit.on_between_tokens(now, took, in_use);
        }
    }
}
