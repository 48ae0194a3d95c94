//! What a queue does on each message of a holder and when time passes.

use std::time::Duration;

use tokio::time::Instant;

use super::feedback::FirstToken;
use super::taken::{Stage, Taken};
use super::{GRANT_LEASE, HolderEnvelope, Rejection, RequestOutcome, Reservation, SlotQueue};
use crate::fairness::{Entry, Size};
use crate::id::{InstanceId, RequestId, Sequence};
use crate::work::Work;

impl SlotQueue {
    pub(super) fn on_reserve(
        &mut self,
        now: Instant,
        from: &InstanceId,
        mut reservation: Reservation,
        sends: &mut Vec<HolderEnvelope>,
    ) {
        self.holders.hear(now, from, reservation.asked);
        if self.taken.get_mut(&reservation.request).is_some() {
            self.grant_again(now, &reservation, sends);
            return;
        }
        if self.waiting.contains(&reservation.request) {
            return;
        }
        reservation.holder = InstanceId::clone(from);
        let prompt = reservation.work.prefill;
        reservation.work = self.cache.uncached(reservation.work, &reservation.prefixes);
        if let Some(why) = self.objection(now, &reservation) {
            sends.push(self.reject(now, &reservation, why));
            return;
        }
        let deadline = now + reservation.time_left;
        self.waiting.push(reservation, prompt, deadline);
        if self.waiting.len() > self.max_waiting
            && let Some(last) = self.waiting.remove_last()
        {
            sends.push(self.reject(now, &last.reservation, Rejection::Full));
        }
    }

    /// The holder woke after its lease had lapsed and asks again: its slot is still kept.
    fn grant_again(
        &mut self,
        now: Instant,
        reservation: &Reservation,
        sends: &mut Vec<HolderEnvelope>,
    ) {
        let Some(taken) = self.taken.get_mut(&reservation.request) else {
            return;
        };
        if taken.is_running() || reservation.asked <= taken.asked {
            return;
        }
        taken.asked = reservation.asked;
        taken.stage = Stage::Granted {
            until: now + GRANT_LEASE,
        };
        let taken = taken.clone();
        sends.push(self.grant_message(&taken));
    }

    /// Why a reservation cannot be queued at all.
    fn objection(&self, now: Instant, reservation: &Reservation) -> Option<Rejection> {
        if self.leaving {
            return Some(Rejection::Leaving);
        }
        if reservation.rank > self.lowest {
            return Some(Rejection::Shed);
        }
        let wait = self.wait(now, reservation.rank);
        let late = self
            .feedback
            .is_late(wait, reservation.work, reservation.time_left);
        late.then_some(Rejection::Late)
    }

    pub(super) fn on_withdraw(&mut self, from: &InstanceId, request: &RequestId) {
        self.waiting.remove(request);
        let granted = self.taken.get_mut(request);
        if granted.is_some_and(|taken| !taken.is_running() && taken.holder == *from)
            && let Some(taken) = self.taken.remove(request)
        {
            self.refund(&taken, Work::default());
        }
    }

    pub(super) fn on_dispatched(&mut self, now: Instant, from: &InstanceId, request: RequestId) {
        let before = self.taken.silent_prefill();
        let prompts = self.taken.silent_prompts();
        let Some(taken) = self.taken.get_mut(&request) else {
            // Dispatched by a grant of an earlier owner, or by one that this owner had given up.
            self.learn(now, from, request);
            return;
        };
        if !taken.is_running() {
            taken.ahead = before.saturating_add(taken.work.prefill);
            taken.prompts_ahead = prompts.saturating_add(taken.prompt);
            taken.stage = self
                .feedback
                .dispatched(now, taken.ahead, taken.prompts_ahead);
        }
    }

    /// Counts a slot that this owner did not grant.
    fn learn(&mut self, now: Instant, holder: &InstanceId, request: RequestId) {
        self.waiting.remove(&request);
        self.taken.insert(Taken {
            request,
            holder: InstanceId::clone(holder),
            asked: 0,
            charge: None,
            size: Size::Short,
            work: Work::default(),
            prompt: 0,
            ahead: 0,
            prompts_ahead: 0,
            stage: Stage::Flowing { since: now },
            missed: 0,
        });
        if self.is_learning(now) {
            self.feedback.limit.on_learned(self.taken.len());
        }
    }

    pub(super) fn on_started(&mut self, now: Instant, request: &RequestId, took: Duration) {
        let in_use = self.taken.len();
        let Some(taken) = self.taken.get_mut(request) else {
            return;
        };
        let Stage::Silent { since, .. } = taken.stage else {
            return;
        };
        taken.stage = Stage::Flowing { since };
        let first = FirstToken {
            since,
            ahead: taken.ahead,
            prompts_ahead: taken.prompts_ahead,
            took,
            in_use,
        };
        self.feedback.on_first_token(now, first);
    }

    pub(super) fn on_finished(
        &mut self,
        now: Instant,
        request: &RequestId,
        outcome: RequestOutcome,
    ) {
        if let Some(took) = outcome.first_token {
            self.on_started(now, request, took);
        }
        let in_use = self.taken.len();
        if let Some(taken) = self.taken.remove(request) {
            self.refund(&taken, outcome.work);
            if let Stage::Silent { since, late, .. } = taken.stage
                && late < now
            {
                self.feedback.on_silent_end(now, since, late);
            } else {
                self.feedback.on_outcome(now, outcome, in_use);
            }
        }
    }

    pub(super) fn on_renew(
        &mut self,
        now: Instant,
        from: &InstanceId,
        asked: Sequence,
        running: Vec<RequestId>,
    ) {
        if !self.holders.renew(now, from, asked) {
            return;
        }
        for taken in self.taken.on_renew(from, &running) {
            self.refund(&taken, taken.work);
        }
        for request in running {
            let known = self.taken.get_mut(&request);
            if known.is_none_or(|taken| !taken.is_running()) {
                self.on_dispatched(now, from, request);
            }
        }
    }

    pub(super) fn drop_waiting_of(&mut self, holder: &InstanceId) -> Vec<Entry> {
        self.waiting
            .remove_if(|entry| entry.reservation.holder == *holder)
    }

    pub(super) fn free_slots_of(&mut self, holder: &InstanceId) {
        for taken in self.taken.remove_if(|taken| taken.holder == *holder) {
            self.refund(&taken, Work::default());
        }
    }

    pub(super) fn drop_silent_holders(&mut self, now: Instant, sends: &mut Vec<HolderEnvelope>) {
        for seen in self.holders.silent(now) {
            // A holder that was only paused learns from this that it has to ask again.
            let dropped = self.drop_waiting_of(&seen.holder);
            sends.extend(self.reject_all(now, &dropped, Rejection::Lapsed));
            if seen.is_lost(now) {
                self.free_slots_of(&seen.holder);
                self.holders.remove(&seen.holder);
            }
        }
    }

    /// Takes back the slots whose grants were not used in time.
    pub(super) fn free_lapsed(&mut self, now: Instant, sends: &mut Vec<HolderEnvelope>) {
        let lapsed = self.taken.remove_if(|taken| match taken.stage {
            Stage::Granted { until } => until <= now,
            Stage::Silent { .. } | Stage::Flowing { .. } => false,
        });
        for taken in &lapsed {
            self.refund(taken, Work::default());
            let why = Rejection::Lapsed;
            sends.push(self.rejection(&taken.holder, &taken.request, why, Duration::ZERO));
        }
    }
}
