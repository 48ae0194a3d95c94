//! Refusals for want of capacity: lower tiers first, everywhere in the zone.

use std::time::Duration;

use kingcupfield_decisions::id::{RequestId, ServiceId};
use kingcupfield_decisions::shedding;
use kingcupfield_decisions::slots::{Rejection, RequestOutcome};
use tokio::time::Instant;

use super::{GivenUp, Scheduler};
use crate::error::{Refusal, RefusalKind};

impl Scheduler {
    /// The caller went away or its deadline passed while the request waited.
    pub fn on_cancel(&mut self, now: Instant, request: &RequestId) {
        let Ok(at) = self.waiter_at(request) else {
            // Granted in the same moment: nobody will send it, so its slot is given back.
            let outcome = RequestOutcome {
                whole: true,
                ..RequestOutcome::default()
            };
            return self.on_finished(now, request, outcome);
        };
        let waiter = self.waiters.remove(at);
        self.leave_pool(&waiter);
        let sends = self.holder.withdraw(request);
        self.send_asks(sends);
        self.settle(now);
    }

    /// Its owners will not grant it: refused at once, or as soon as no lower tier is served.
    pub(super) fn give_up(&mut self, now: Instant, request: &RequestId, given_up: GivenUp) {
        let Ok(at) = self.waiter_at(request) else {
            return;
        };
        match given_up.why {
            Rejection::Leaving | Rejection::Lapsed => self.place_again(now, request),
            Rejection::Shed => self.refuse_now(now, request, given_up),
            Rejection::Late | Rejection::Full => {
                self.waiters[at].given_up = Some(given_up);
                self.refuse_in_order(now, request);
            }
        }
    }

    /// Tries again to refuse what waits for lower tiers to be refused first.
    pub(super) fn retry_refusals(&mut self, now: Instant) {
        let pending: Vec<RequestId> = self
            .waiters
            .iter()
            .filter(|w| w.given_up.is_some())
            .map(|w| w.request.clone())
            .collect();
        for request in pending {
            self.refuse_in_order(now, &request);
        }
    }

    fn refuse_in_order(&mut self, now: Instant, request: &RequestId) {
        loop {
            let Ok(at) = self.waiter_at(request) else {
                return;
            };
            let Some(given_up) = self.waiters[at].given_up else {
                return;
            };
            let meta = self.waiters[at].meta.clone();
            let step = self
                .pool_mut(&meta.service)
                .member
                .request_refusal(now, meta.rank);
            self.flush_level(&meta.service);
            match step {
                shedding::RefusalStep::Allowed => return self.refuse_now(now, request, given_up),
                shedding::RefusalStep::RaiseFirst => return,
                shedding::RefusalStep::EvictFirst(lower) => {
                    let why = Rejection::Shed;
                    self.refuse_now(
                        now,
                        &lower,
                        GivenUp {
                            why,
                            wait: given_up.wait,
                        },
                    );
                }
            }
        }
    }

    /// Refuses a waiting request; it has not run and is forgotten everywhere.
    pub(super) fn refuse_now(&mut self, now: Instant, request: &RequestId, given_up: GivenUp) {
        let Ok(at) = self.waiter_at(request) else {
            return;
        };
        let waiter = self.waiters.remove(at);
        self.leave_pool(&waiter);
        let sends = self.holder.withdraw(request);
        self.send_asks(sends);
        let kind = match given_up.why {
            Rejection::Late => RefusalKind::Deadline,
            Rejection::Leaving | Rejection::Lapsed => RefusalKind::Unavailable,
            Rejection::Shed | Rejection::Full => RefusalKind::Shed,
        };
        let after = self.retry_after(now, &waiter.meta.service, given_up.wait);
        let refusal = Refusal::new(kind).with_retry_after(after);
        waiter.decision.send(Err(refusal)).ok();
    }

    /// When a refused caller of `service` should come back.
    pub(super) fn retry_after(
        &mut self,
        now: Instant,
        service: &ServiceId,
        wait: Duration,
    ) -> Duration {
        let at = self.ensure_pool(service);
        self.pools[at].retry.on_refused(now, wait, &mut self.rng)
    }
}
