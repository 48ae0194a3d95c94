//! Handling of the messages of holders and of expired leases.

use std::time::Duration;

use tokio::time::Instant;

use super::feedback::FirstToken;
use super::used_slots::{SlotState, UsedSlot};
use super::{GRANT_LEASE, HolderEnvelope, Rejection, RequestOutcome, Reservation, SlotQueue};
use crate::fairness::{Entry, SizeClass};
use crate::id::{InstanceId, RequestId, Sequence};
use crate::work::Work;

impl SlotQueue {
    /// Queues a new reservation or rejects it; renews the grant of a request that has a slot.
    pub(super) fn on_reserve(
        &mut self,
        now: Instant,
        from: &InstanceId,
        mut reservation: Reservation,
        messages: &mut Vec<HolderEnvelope>,
    ) {
        self.holders.record_sequence(now, from, reservation.asked);
        if self.used_slots.get_mut(&reservation.request).is_some() {
            self.renew_grant(now, &reservation, messages);
            return;
        }
        if self.waiting.contains(&reservation.request) {
            return;
        }
        reservation.holder = InstanceId::clone(from);
        let prompt = reservation.work.prefill;
        reservation.work = self
            .cache
            .uncached_work(reservation.work, &reservation.prefixes);
        if let Some(why) = self.rejection_reason(now, &reservation) {
            messages.push(self.reject(now, &reservation, why));
            return;
        }
        let deadline = now + reservation.time_left;
        self.waiting.push(reservation, prompt, deadline);
        if self.waiting.len() > self.max_waiting
            && let Some(last) = self.waiting.evict()
        {
            messages.push(self.reject(now, &last.reservation, Rejection::Full));
        }
    }

    /// Grants again to a holder whose lease expired before it used the grant, if its slot is still
    /// reserved.
    fn renew_grant(
        &mut self,
        now: Instant,
        reservation: &Reservation,
        messages: &mut Vec<HolderEnvelope>,
    ) {
        let Some(slot) = self.used_slots.get_mut(&reservation.request) else {
            return;
        };
        if slot.is_running() || reservation.asked <= slot.asked {
            return;
        }
        slot.asked = reservation.asked;
        slot.state = SlotState::Granted {
            lease_end: now + GRANT_LEASE,
        };
        let slot = slot.clone();
        messages.push(self.grant_message(&slot));
    }

    /// Why a new reservation can't be queued, if so.
    fn rejection_reason(&self, now: Instant, reservation: &Reservation) -> Option<Rejection> {
        if self.leaving {
            return Some(Rejection::Leaving);
        }
        if reservation.rank > self.lowest_rank {
            return Some(Rejection::Shed);
        }
        let wait = self.expected_wait(now, reservation.rank);
        let late = self
            .feedback
            .misses_deadline(wait, reservation.work, reservation.time_left);
        late.then_some(Rejection::Late)
    }

    /// Removes a waiting request or frees its unused grant.
    pub(super) fn on_withdraw(&mut self, from: &InstanceId, request: &RequestId) {
        self.waiting.remove(request);
        let granted = self.used_slots.get_mut(request);
        if granted.is_some_and(|slot| !slot.is_running() && slot.holder == *from)
            && let Some(slot) = self.used_slots.remove(request)
        {
            self.settle_charge(&slot, Work::default());
        }
    }

    /// Marks a granted request as sent to the replica.
    pub(super) fn on_dispatched(&mut self, now: Instant, from: &InstanceId, request: RequestId) {
        let uncached_ahead = self.used_slots.awaited_prefill();
        let prompts_ahead = self.used_slots.awaited_prompts();
        let Some(slot) = self.used_slots.get_mut(&request) else {
            // Granted by an earlier owner of the replica, or by this owner, which has freed the
            // slot since.
            self.adopt_running(now, from, request);
            return;
        };
        if !slot.is_running() {
            slot.uncached_tokens_ahead = uncached_ahead.saturating_add(slot.work.prefill);
            slot.prompt_tokens_ahead = prompts_ahead.saturating_add(slot.prompt_tokens);
            slot.state = self.feedback.state_after_dispatch(
                now,
                slot.uncached_tokens_ahead,
                slot.prompt_tokens_ahead,
            );
        }
    }

    /// Counts a running request that this owner has no grant for.
    fn adopt_running(&mut self, now: Instant, holder: &InstanceId, request: RequestId) {
        self.waiting.remove(&request);
        self.used_slots.insert(UsedSlot {
            request,
            holder: InstanceId::clone(holder),
            asked: 0,
            charge: None,
            size: SizeClass::Short,
            work: Work::default(),
            prompt_tokens: 0,
            uncached_tokens_ahead: 0,
            prompt_tokens_ahead: 0,
            state: SlotState::Streaming { dispatched_at: now },
            missed_renewals: 0,
        });
        if self.is_learning(now) {
            self.feedback
                .limit
                .on_inherited_slots(self.used_slots.len());
        }
    }

    /// Records the first token of a running request.
    pub(super) fn on_started(&mut self, now: Instant, request: &RequestId, first_token: Duration) {
        let in_use = self.used_slots.len();
        let Some(slot) = self.used_slots.get_mut(request) else {
            return;
        };
        let SlotState::AwaitingFirstToken { dispatched_at, .. } = slot.state else {
            return;
        };
        slot.state = SlotState::Streaming { dispatched_at };
        let first = FirstToken {
            dispatched_at,
            uncached_tokens_ahead: slot.uncached_tokens_ahead,
            prompt_tokens_ahead: slot.prompt_tokens_ahead,
            elapsed: first_token,
            in_use,
        };
        self.feedback.on_first_token(now, first);
    }

    /// Frees the slot of a request that ended and records its outcome.
    pub(super) fn on_finished(
        &mut self,
        now: Instant,
        request: &RequestId,
        outcome: RequestOutcome,
    ) {
        if let Some(first_token) = outcome.first_token {
            self.on_started(now, request, first_token);
        }
        let in_use = self.used_slots.len();
        if let Some(slot) = self.used_slots.remove(request) {
            self.settle_charge(&slot, outcome.work);
            if let SlotState::AwaitingFirstToken {
                dispatched_at,
                late_at,
                ..
            } = slot.state
                && late_at < now
            {
                self.feedback
                    .on_end_without_first_token(now, dispatched_at, late_at);
            } else {
                self.feedback.on_outcome(now, outcome, in_use);
            }
        }
    }

    /// Applies a holder's list of running requests.
    pub(super) fn on_renew(
        &mut self,
        now: Instant,
        from: &InstanceId,
        asked: Sequence,
        running: Vec<RequestId>,
    ) {
        if !self.holders.record_renewal(now, from, asked) {
            return;
        }
        for slot in self.used_slots.on_renew(from, &running) {
            self.settle_charge(&slot, slot.work);
        }
        for request in running {
            let slot = self.used_slots.get_mut(&request);
            if slot.is_none_or(|slot| !slot.is_running()) {
                self.on_dispatched(now, from, request);
            }
        }
    }

    /// Removes and returns the waiting requests of a holder.
    pub(super) fn drop_waiting_of(&mut self, holder: &InstanceId) -> Vec<Entry> {
        self.waiting
            .remove_if(|entry| entry.reservation.holder == *holder)
    }

    /// Frees all slots of a holder.
    pub(super) fn free_slots_of(&mut self, holder: &InstanceId) {
        for slot in self.used_slots.remove_if(|slot| slot.holder == *holder) {
            self.settle_charge(&slot, Work::default());
        }
    }

    /// Drops the reservations of holders whose lease expired, and frees the slots of dead ones.
    pub(super) fn drop_silent_holders(&mut self, now: Instant, messages: &mut Vec<HolderEnvelope>) {
        for known in self.holders.lease_expired(now) {
            // A holder that was only paused reserves again when it receives this rejection.
            let dropped = self.drop_waiting_of(&known.holder);
            messages.extend(self.reject_all(now, &dropped, Rejection::Lapsed));
            if known.has_timed_out(now) {
                self.free_slots_of(&known.holder);
                self.holders.remove(&known.holder);
            }
        }
    }

    /// Frees the slots whose grants were not used in time.
    pub(super) fn free_lapsed(&mut self, now: Instant, messages: &mut Vec<HolderEnvelope>) {
        let lapsed = self.used_slots.remove_if(|slot| match slot.state {
            SlotState::Granted { lease_end } => lease_end <= now,
            SlotState::AwaitingFirstToken { .. } | SlotState::Streaming { .. } => false,
        });
        for slot in &lapsed {
            self.settle_charge(slot, Work::default());
            let why = Rejection::Lapsed;
            messages.push(self.rejection(&slot.holder, &slot.request, why, Duration::ZERO));
        }
    }
}
