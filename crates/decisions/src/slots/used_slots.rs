//! Slots of a replica that are granted or running.

use tokio::time::Instant;

use crate::fairness::{Charge, SizeClass};
use crate::id::{InstanceId, RequestId, Sequence, Tokens};
use crate::work::Work;

/// Number of consecutive renewals without a running request after which it counts as ended.
///
/// One of them may have been sent before the dispatch and arrive late.
const MAX_MISSED_RENEWALS: u8 = 2;

/// State of a slot in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotState {
    /// Granted; freed at `lease_end` unless the holder reports the dispatch.
    Granted {
        /// End of the lease by the owner's clock, later than by the holder's.
        lease_end: Instant,
    },
    /// Dispatched, without a first token yet.
    AwaitingFirstToken {
        /// When the owner received the message about the dispatch.
        dispatched_at: Instant,
        /// When the first token is late.
        late_at: Instant,
        /// When the first token is overdue.
        overdue_at: Instant,
    },
    /// The first token arrived, or the owner knows of the request only from a renewal.
    Streaming {
        /// When the owner received the message about the dispatch.
        dispatched_at: Instant,
    },
}

/// One slot in use.
#[derive(Debug, Clone)]
pub(super) struct UsedSlot {
    pub(super) request: RequestId,
    pub(super) holder: InstanceId,
    /// Holder's sequence number that the grant answers; 0 without a grant of this owner.
    pub(super) asked: Sequence,
    /// Charge of the organisation; `None` without a grant of this owner.
    pub(super) charge: Option<Charge>,
    pub(super) size: SizeClass,
    /// Expected work, without the cached part of the prompt.
    pub(super) work: Work,
    /// Tokens of the whole prompt, cached or not.
    pub(super) prompt_tokens: Tokens,
    /// Uncached prompt tokens to process before the first token: its own and those of earlier
    /// requests that wait for theirs.
    pub(super) uncached_tokens_ahead: Tokens,
    /// All prompt tokens of the same requests, which is the work if the cache was misjudged.
    pub(super) prompt_tokens_ahead: Tokens,
    pub(super) state: SlotState,
    /// Number of consecutive renewals of the holder that don't list the running request.
    pub(super) missed_renewals: u8,
}

/// Slots in use, sorted by request.
#[derive(Debug, Clone, Default)]
pub(super) struct UsedSlots {
    slots: Vec<UsedSlot>,
}

impl UsedSlots {
    pub(super) fn len(&self) -> u32 {
        self.slots.len() as u32
    }

    /// Number of slots with long requests.
    pub(super) fn long_count(&self) -> u32 {
        let long = self
            .slots
            .iter()
            .filter(|slot| slot.size == SizeClass::Long);
        long.count() as u32
    }

    pub(super) fn iter(&self) -> std::slice::Iter<'_, UsedSlot> {
        self.slots.iter()
    }

    pub(super) fn get_mut(&mut self, request: &RequestId) -> Option<&mut UsedSlot> {
        let i = self.position(request).ok()?;
        Some(&mut self.slots[i])
    }

    pub(super) fn insert(&mut self, slot: UsedSlot) {
        match self.position(&slot.request) {
            Ok(i) => self.slots[i] = slot,
            Err(i) => self.slots.insert(i, slot),
        }
    }

    pub(super) fn remove(&mut self, request: &RequestId) -> Option<UsedSlot> {
        let i = self.position(request).ok()?;
        Some(self.slots.remove(i))
    }

    /// Removes and returns all slots for which `unwanted` is true.
    pub(super) fn remove_if<F>(&mut self, unwanted: F) -> Vec<UsedSlot>
    where
        F: Fn(&UsedSlot) -> bool,
    {
        self.slots.extract_if(.., |slot| unwanted(slot)).collect()
    }

    /// Uncached prompt tokens of requests without a first token, granted or dispatched.
    pub(super) fn unstarted_prefill(&self) -> Tokens {
        let unstarted = self.slots.iter().filter(|slot| !slot.is_streaming());
        unstarted.map(|slot| slot.work.prefill).sum()
    }

    /// Uncached prompt tokens of dispatched requests without a first token.
    pub(super) fn awaited_prefill(&self) -> Tokens {
        let waiting = self.slots.iter().filter(|slot| slot.awaits_first_token());
        waiting.map(|slot| slot.work.prefill).sum()
    }

    /// Whether a first token is late.
    pub(super) fn has_late_first_token(&self, now: Instant) -> bool {
        let mut states = self.slots.iter().map(|slot| slot.state);
        states.any(
            |state| matches!(state, SlotState::AwaitingFirstToken { late_at, .. } if late_at < now),
        )
    }

    /// Prompt tokens, cached or not, of dispatched requests without a first token.
    pub(super) fn awaited_prompts(&self) -> Tokens {
        let waiting = self.slots.iter().filter(|slot| slot.awaits_first_token());
        waiting.map(|slot| slot.prompt_tokens).sum()
    }

    /// Whether a first token is overdue and no `progress` was made for as long as it may take.
    pub(super) fn has_overdue_first_token(&self, now: Instant, progress: Option<Instant>) -> bool {
        let is_overdue = |slot: &UsedSlot| match slot.state {
            SlotState::AwaitingFirstToken {
                dispatched_at,
                overdue_at,
                ..
            } => {
                overdue_at < now
                    && progress.is_none_or(|at| at + (overdue_at - dispatched_at) < now)
            }
            SlotState::Granted { .. } | SlotState::Streaming { .. } => false,
        };
        self.slots.iter().any(is_overdue)
    }

    /// Number of requests that were dispatched before `time`.
    pub(super) fn dispatched_before(&self, time: Instant) -> u32 {
        let old = self
            .slots
            .iter()
            .filter(|slot| slot.dispatched_at().is_some_and(|at| at < time));
        old.count() as u32
    }

    /// Applies a renewal of `holder` with its `running` requests; removes and returns slots that
    /// were missing from [`MAX_MISSED_RENEWALS`] renewals.
    pub(super) fn on_renew(&mut self, holder: &InstanceId, running: &[RequestId]) -> Vec<UsedSlot> {
        for slot in self.slots.iter_mut().filter(|slot| slot.holder == *holder) {
            slot.missed_renewals = if running.contains(&slot.request) {
                0
            } else {
                slot.missed_renewals + u8::from(slot.is_running())
            };
        }
        self.remove_if(|slot| slot.missed_renewals >= MAX_MISSED_RENEWALS)
    }

    fn position(&self, request: &RequestId) -> Result<usize, usize> {
        self.slots
            .binary_search_by(|slot| slot.request.cmp(request))
    }
}

impl UsedSlot {
    pub(super) fn is_running(&self) -> bool {
        !matches!(self.state, SlotState::Granted { .. })
    }

    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.state, SlotState::Streaming { .. })
    }

    pub(super) fn awaits_first_token(&self) -> bool {
        matches!(self.state, SlotState::AwaitingFirstToken { .. })
    }

    /// When the owner received the message about the dispatch; `None` before that.
    pub(super) fn dispatched_at(&self) -> Option<Instant> {
        match self.state {
            SlotState::Granted { .. } => None,
            SlotState::AwaitingFirstToken { dispatched_at, .. }
            | SlotState::Streaming { dispatched_at } => Some(dispatched_at),
        }
    }
}
