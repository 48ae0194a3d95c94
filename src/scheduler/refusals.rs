//! Refusals of waiting requests; for lack of capacity, lower tiers of the whole zone go first.

use std::time::Duration;

use kingcupfield_decisions::id::{RequestId, ServiceId};
use kingcupfield_decisions::shedding;
use kingcupfield_decisions::slots::{Rejection, RequestOutcome};
use tokio::time::Instant;

use super::{RefusalCause, Scheduler};
use crate::error::{Refusal, RefusalKind};

impl Scheduler {
    /// Cancels a request whose caller disconnected or whose deadline passed while it waited.
    pub fn on_cancel(&mut self, now: Instant, request: &RequestId) {
        let Ok(index) = self.find_waiter(request) else {
            // The grant was claimed at the same time; the request won't be sent, so its slot is
            // released.
            let outcome = RequestOutcome {
                whole: true,
                ..RequestOutcome::default()
            };
            return self.on_finished(now, request, outcome);
        };
        let waiter = self.waiters.remove(index);
        self.remove_from_pool(&waiter);
        let messages = self.holder.withdraw(request);
        self.send_to_owners(messages);
        self.deliver_local(now);
    }

    /// Handles a rejection by all owners: reserves again, refuses the request, or refuses it as
    /// soon as no request of a lower tier is served.
    pub(super) fn on_rejected(&mut self, now: Instant, request: &RequestId, cause: RefusalCause) {
        let Ok(index) = self.find_waiter(request) else {
            return;
        };
        match cause.rejection {
            Rejection::Leaving | Rejection::Lapsed => self.reserve_again(now, request),
            Rejection::Shed => self.refuse_now(now, request, cause),
            Rejection::Late | Rejection::Full => {
                self.waiters[index].pending_refusal = Some(cause);
                self.refuse_in_order(now, request);
            }
        }
    }

    /// Retries the refusals that wait until requests of lower tiers are refused.
    pub(super) fn retry_refusals(&mut self, now: Instant) {
        let pending: Vec<RequestId> = self
            .waiters
            .iter()
            .filter(|w| w.pending_refusal.is_some())
            .map(|w| w.request.clone())
            .collect();
        for request in pending {
            self.refuse_in_order(now, &request);
        }
    }

    /// Refuses a request after the waiting requests of lower tiers. Does nothing yet if the level
    /// of the zone has to be raised first.
    fn refuse_in_order(&mut self, now: Instant, request: &RequestId) {
        loop {
            let Ok(index) = self.find_waiter(request) else {
                return;
            };
            let Some(cause) = self.waiters[index].pending_refusal else {
                return;
            };
            let meta = self.waiters[index].meta.clone();
            let step = self
                .pool_mut(&meta.service)
                .level_member
                .request_refusal(now, meta.rank);
            self.send_to_level_owner(&meta.service);
            match step {
                shedding::RefusalStep::Allowed => return self.refuse_now(now, request, cause),
                shedding::RefusalStep::RaiseFirst => return,
                shedding::RefusalStep::EvictFirst(lower_request) => {
                    let rejection = Rejection::Shed;
                    self.refuse_now(
                        now,
                        &lower_request,
                        RefusalCause {
                            rejection,
                            expected_wait: cause.expected_wait,
                        },
                    );
                }
            }
        }
    }

    /// Refuses a waiting request, which has not run, and withdraws its reservations.
    pub(super) fn refuse_now(&mut self, now: Instant, request: &RequestId, cause: RefusalCause) {
        let Ok(index) = self.find_waiter(request) else {
            return;
        };
        let waiter = self.waiters.remove(index);
        self.remove_from_pool(&waiter);
        let messages = self.holder.withdraw(request);
        self.send_to_owners(messages);
        let kind = match cause.rejection {
            Rejection::Late => RefusalKind::Deadline,
            Rejection::Leaving | Rejection::Lapsed => RefusalKind::Unavailable,
            Rejection::Shed | Rejection::Full => RefusalKind::Shed,
        };
        let retry_after = self.retry_after(now, &waiter.meta.service, cause.expected_wait);
        let refusal = Refusal::new(kind).with_retry_after(retry_after);
        waiter.decision.send(Err(refusal)).ok();
    }

    /// Returns the delay after which a refused caller of `service` should retry, where
    /// `expected_wait` is the time in the queue that the request would have had to wait.
    pub(super) fn retry_after(
        &mut self,
        now: Instant,
        service: &ServiceId,
        expected_wait: Duration,
    ) -> Duration {
        let index = self.ensure_pool(service);
        self.pools[index]
            .retry_after
            .on_refused(now, expected_wait, &mut self.rng)
    }
}
