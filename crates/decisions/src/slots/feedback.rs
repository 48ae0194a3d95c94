//! Concurrency limit, speed and health of a replica, measured from its responses.

use std::time::Duration;

use tokio::time::Instant;

use super::RequestOutcome;
use super::used_slots::{SlotState, UsedSlots};
use crate::concurrency::ConcurrencyLimit;
use crate::health::Health;
use crate::id::Tokens;
use crate::pace::{FIRST_TOKEN_OVERHEAD, Pace, PaceEstimator};
use crate::work::Work;

/// A first token is late after this many times its expected time; then nothing is granted until it
/// arrives.
///
/// The load report of a stalled replica still looks idle; without the pause the replica would get
/// its whole limit of requests before the first token is overdue.
const LATE_FACTOR: u32 = 2;

/// Added to the time after which a first token is late.
const LATE_SLACK: Duration = Duration::from_millis(50);

/// A first token is overdue, and the replica counts as stalled, after this many times the time that
/// the whole prompt takes without a cache.
///
/// If only the part believed to be uncached were counted, each unnoticed cache eviction would look
/// like a stall; replicas were then reduced to single probes in every overload.
const OVERDUE_FACTOR: u32 = 4;

/// Added to the time after which a first token is overdue, for message delay and the tick interval.
const OVERDUE_SLACK: Duration = Duration::from_millis(200);

/// Minimum expected time to the first token while the replica's pace is unknown.
const MIN_UNTRUSTED_FIRST_TOKEN: Duration = Duration::from_secs(1);

/// Factor by which an estimate may be wrong before a request is refused as late because of it.
///
/// A request waits at up to three owners, so each owner's queue looks up to three times longer than
/// it is. With 2, an overload refused requests that the queues could have served.
const DEADLINE_MARGIN_FACTOR: u32 = 4;

/// A first token, as reported by the holder.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstToken {
    /// When the owner received the message about the dispatch.
    pub(super) dispatched_at: Instant,
    /// Uncached prompt tokens to process before the first token.
    pub(super) uncached_tokens_ahead: Tokens,
    /// All prompt tokens of the same requests, cached or not.
    pub(super) prompt_tokens_ahead: Tokens,
    /// Time from dispatch to the first token.
    pub(super) elapsed: Duration,
    /// Slots in use when it arrived.
    pub(super) in_use: u32,
}

/// Concurrency limit, health and pace of one replica.
#[derive(Debug, Clone, Default)]
pub(super) struct Feedback {
    pub(super) limit: ConcurrencyLimit,
    pub(super) health: Health,
    /// Usual pace of the replica's hardware generation.
    pub(super) usual_pace: Option<Pace>,
    /// Estimates the pace from first tokens and the times between tokens.
    meter: PaceEstimator,
    /// When the last first token or complete response arrived.
    last_progress: Option<Instant>,
}

impl Feedback {
    /// Number of slots that may be in use now.
    pub(super) fn allowed(&self, now: Instant, slots: &UsedSlots) -> u32 {
        let old = self
            .health
            .ejected_at()
            .map_or(0, |fell| slots.dispatched_before(fell));
        self.health
            .allowed_slots(now, self.limit.slots(now), slots.len(), old)
    }

    /// Reports a stall if a first token is overdue and nothing else arrived from the replica
    /// either.
    ///
    /// A request that waits inside a full engine is late too, but other responses arrive meanwhile.
    pub(super) fn check_for_stall(&mut self, now: Instant, slots: &UsedSlots) {
        if slots.has_overdue_first_token(now, self.last_progress) {
            self.health.on_overdue(now);
        }
    }

    /// Measured pace, if there are enough samples.
    pub(super) fn pace(&self) -> Option<Pace> {
        self.meter.is_trusted().then(|| self.meter.pace())
    }

    /// Expected time from dispatch to the end of the response; too uncertain to refuse by it alone.
    pub(super) fn expected_service_time(&self, work: Work) -> Duration {
        self.meter.pace().service_time(work)
    }

    /// Expected time to process `tokens` prompt tokens that were sent to the replica.
    pub(super) fn expected_prefill_time(&self, tokens: Tokens) -> Duration {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.meter.pace().prefill.saturating_mul(tokens)
    }

    /// Whether `work` that starts after `wait` can't end within `left`.
    pub(super) fn misses_deadline(&self, wait: Duration, work: Work, left: Duration) -> bool {
        if left.is_zero() {
            return true;
        }
        let needed = wait.saturating_add(self.expected_service_time(work));
        self.meter.is_trusted() && needed > left.saturating_mul(DEADLINE_MARGIN_FACTOR)
    }

    /// State of a request dispatched now, with the prompt tokens to process before its first token,
    /// its own included: all of them and the uncached ones.
    pub(super) fn state_after_dispatch(
        &self,
        now: Instant,
        uncached_tokens_ahead: Tokens,
        prompt_tokens_ahead: Tokens,
    ) -> SlotState {
        let expected = self.expected_first_token(uncached_tokens_ahead);
        let longest = self.expected_first_token(prompt_tokens_ahead);
        SlotState::AwaitingFirstToken {
            dispatched_at: now,
            late_at: now + expected.saturating_mul(LATE_FACTOR) + LATE_SLACK,
            overdue_at: now + longest.saturating_mul(OVERDUE_FACTOR) + OVERDUE_SLACK,
        }
    }

    /// Expected time to a first token after `uncached_tokens_ahead` prompt tokens.
    fn expected_first_token(&self, uncached_tokens_ahead: Tokens) -> Duration {
        let expected = self.meter.pace().time_to_first_token(uncached_tokens_ahead);
        if self.meter.is_trusted() {
            expected
        } else {
            expected.max(MIN_UNTRUSTED_FIRST_TOKEN)
        }
    }

    /// Records that a request ended without its first token, which was late.
    ///
    /// The caller may disconnect before the token counts as overdue. Without this, one request after
    /// the other would go to a stalled replica unnoticed.
    pub(super) fn on_end_without_first_token(
        &mut self,
        now: Instant,
        dispatched_at: Instant,
        late_at: Instant,
    ) {
        if self.last_progress.is_none_or(|at| at < late_at) {
            self.health.on_silent_end(now, dispatched_at);
        }
    }

    /// Records a first token.
    pub(super) fn on_first_token(&mut self, now: Instant, first: FirstToken) {
        let FirstToken {
            dispatched_at,
            uncached_tokens_ahead,
            prompt_tokens_ahead,
            elapsed,
            in_use,
        } = first;
        self.last_progress = Some(now);
        self.meter
            .on_first_token(uncached_tokens_ahead, prompt_tokens_ahead, elapsed);
        let tokens = uncached_tokens_ahead.saturating_add(FIRST_TOKEN_OVERHEAD);
        self.limit
            .on_first_token(now, tokens as f64, elapsed, in_use);
        let usual = self
            .meter
            .usual_time_to_first_token(self.usual_pace, prompt_tokens_ahead);
        let slowdown = elapsed.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON);
        let mean = self.meter.slowdown(self.usual_pace);
        self.health.on_answer(now, dispatched_at, slowdown, mean);
    }

    /// Records the end of a request; `in_use` slots were in use before it.
    pub(super) fn on_outcome(&mut self, now: Instant, outcome: RequestOutcome, in_use: u32) {
        if !outcome.whole {
            self.limit.on_error(now);
            self.health.on_error(now);
            return;
        }
        self.last_progress = Some(now);
        if let Some(elapsed) = outcome.between_tokens {
            self.meter.on_between_tokens(elapsed);
            self.limit.on_between_tokens(now, elapsed, in_use);
        }
    }
}
