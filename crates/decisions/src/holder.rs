//! Requests that an entry instance holds: where each is reserved, and which grant it uses.
//!
//! Load pattern: replicas that become busy or free between two of their load reports. A request is
//! reserved at several owners and goes to the first replica that is really free. The lease is
//! checked at the dispatch; without that check a process that resumes after a pause would use a
//! slot that its owner granted to another request long ago.

mod leases;
mod requests;

use std::time::Duration;

use tokio::time::Instant;

use self::leases::Leases;
use self::requests::{HeldRequest, HeldRequests, ReplicaUse, RequestState, SentReservation};
use crate::id::{Incarnation, InstanceId, RequestId, Sequence, UpstreamId};
use crate::slots::{
    GRANT_LEASE, RENEW_INTERVAL, Rejection, RequestOutcome, Reservation, ToHolder, ToOwner,
};

/// Maximum number of requests that one instance holds, about 1 KB each; more are refused.
pub const MAX_HELD_REQUESTS: usize = 16_384;

/// Time after which a reservation without an answer is sent again, in case it was lost.
pub const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// A message and the replica to whose owner it goes.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerEnvelope {
    /// The replica.
    pub upstream: UpstreamId,
    /// The message for the owner.
    pub message: ToOwner,
}

/// An action that the caller of the state machine must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderAction {
    /// Call [`Holder::dispatch`] and, if it succeeds, send the request to the replica.
    Dispatch {
        /// The granted request.
        request: RequestId,
        /// The replica that granted it.
        upstream: UpstreamId,
    },
    /// Refuse the request, which did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason of the owner that estimated the shortest wait.
        why: Rejection,
        /// Shortest wait that an owner estimated.
        wait: Duration,
    },
}

/// Result of an event; requests without an action keep waiting.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HolderOutput {
    /// Actions to carry out, in order.
    pub actions: Vec<HolderAction>,
    /// Messages to send to owners.
    pub messages: Vec<OwnerEnvelope>,
}

/// Permission to send one request to one replica at this moment.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchPermit {
    /// The replica.
    pub upstream: UpstreamId,
    /// Messages to send to owners.
    pub messages: Vec<OwnerEnvelope>,
}

/// Why a request may not be dispatched now.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DispatchError {
    /// The lease expired, for example during a pause of the process; the request waits again.
    #[error("the grant has lapsed")]
    Lapsed {
        /// Messages that reserve the request again.
        messages: Vec<OwnerEnvelope>,
    },
    /// The request is unknown, has no grant or was dispatched already.
    #[error("the request has no unused grant")]
    NotGranted,
}

/// A replica whose owner doesn't answer, and the number of its slots that this instance may use
/// without a grant.
#[derive(Debug, Clone)]
struct Fallback {
    upstream: UpstreamId,
    /// Number of slots that this instance may use by itself.
    share: u32,
}

/// All requests that one entry instance holds, as a state machine.
#[derive(Debug, Clone)]
pub struct Holder {
    instance: InstanceId,
    requests: HeldRequests,
    leases: Leases,
    /// Replicas without an owner that answers, sorted by replica.
    fallbacks: Vec<Fallback>,
    last_renewal: Option<Instant>,
    /// Time for which a request is reserved at its first candidate alone; zero for no delay.
    widen_delay: Duration,
}

impl Holder {
    /// Creates the holder of `instance`.
    ///
    /// Its sequence numbers start at the incarnation, in milliseconds since a fixed date, and grow
    /// by less than one each millisecond, so a restarted instance uses higher numbers than before.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            requests: HeldRequests::default(),
            leases: Leases::new(incarnation),
            fallbacks: Vec::new(),
            last_renewal: None,
            widen_delay: Duration::ZERO,
        }
    }

    /// Reserves at the first candidate alone, and at the others only after `delay` without a
    /// grant or when the first one refuses.
    ///
    /// If the first replica has a free slot, its owner grants in one round trip: the cached prefix
    /// is used and the other owners get no message.
    pub fn with_widen_delay(mut self, delay: Duration) -> Self {
        self.widen_delay = delay;
        self
    }

    /// Number of requests held: waiting, granted and running.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.requests.len() == 0
    }

    /// Waiting requests in order of eviction: lowest tier first, latest first inside a tier.
    pub fn waiting(&self) -> Vec<&Reservation> {
        let mut waiting: Vec<_> = self
            .requests
            .iter()
            .filter(|held| held.is_waiting())
            .collect();
        waiting.sort_by_key(|held| std::cmp::Reverse((held.reservation.rank, held.arrival)));
        waiting.iter().map(|held| &held.reservation).collect()
    }

    /// Reserves a request at the owners of `candidates`; if it waits already, adds the new
    /// candidates.
    pub fn reserve(
        &mut self,
        now: Instant,
        reservation: Reservation,
        candidates: &[UpstreamId],
    ) -> HolderOutput {
        let request = RequestId::clone(&reservation.request);
        let mut output = HolderOutput::default();
        if self.requests.get(&request).is_none() {
            if self.requests.len() >= MAX_HELD_REQUESTS {
                output.refuse(request, Rejection::Full, RENEW_INTERVAL);
                return output;
            }
            let mut reservation = reservation;
            reservation.holder = InstanceId::clone(&self.instance);
            self.requests.insert(reservation, now);
            if let Some(held) = self
                .requests
                .get_mut(&request)
                .filter(|_| !self.widen_delay.is_zero())
            {
                held.widen_at = Some(now + self.widen_delay);
            }
        }
        self.requests.add_candidates(&request, candidates);
        self.send_reservations(now, &request, &mut output);
        self.refuse_without_candidates(&request, &mut output);
        self.grant_from_own_share(now, &mut output);
        output
    }

    /// Handles a message from the owner of `upstream`.
    pub fn on_message(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        message: ToHolder,
    ) -> HolderOutput {
        let mut output = HolderOutput::default();
        match message {
            ToHolder::Grant { request, asked, .. } => {
                self.on_grant(now, upstream, &request, asked, &mut output);
            }
            ToHolder::Rejected { request, why, wait } => {
                self.on_rejected(now, upstream, &request, why, wait, &mut output);
            }
        }
        output
    }

    /// Claims the right to send the request; called right before its first byte is sent.
    pub fn dispatch(
        &mut self,
        now: Instant,
        request: &RequestId,
    ) -> Result<DispatchPermit, DispatchError> {
        let Some(held) = self.requests.get_mut(request) else {
            return Err(DispatchError::NotGranted);
        };
        let RequestState::Granted {
            upstream,
            lease_end,
        } = &held.state
        else {
            return Err(DispatchError::NotGranted);
        };
        let upstream = UpstreamId::clone(upstream);
        if now >= *lease_end {
            // The process was paused between grant and dispatch. The owner has granted the slot to
            // another request by now, so two requests would run in it.
            held.state = RequestState::Waiting;
            let mut output = HolderOutput::default();
            self.send_reservations(now, request, &mut output);
            return Err(DispatchError::Lapsed {
                messages: output.messages,
            });
        }
        held.state = RequestState::Running {
            upstream: UpstreamId::clone(&upstream),
        };
        let messages = vec![OwnerEnvelope {
            upstream: UpstreamId::clone(&upstream),
            message: ToOwner::Dispatched {
                request: RequestId::clone(request),
            },
        }];
        Ok(DispatchPermit { upstream, messages })
    }

    /// Reports the first token of a running request to the owner.
    pub fn on_started(&self, request: &RequestId, first_token: Duration) -> Vec<OwnerEnvelope> {
        let running = self.requests.get(request).and_then(HeldRequest::running_on);
        let message = running.map(|upstream| OwnerEnvelope {
            upstream: UpstreamId::clone(upstream),
            message: ToOwner::Started {
                request: RequestId::clone(request),
                first_token,
            },
        });
        message.into_iter().collect()
    }

    /// Reports the end of a running request to the owner, which frees the slot.
    ///
    /// A caller that disconnected is no fault of the replica: the outcome is complete, without
    /// times.
    pub fn on_finished(
        &mut self,
        now: Instant,
        request: &RequestId,
        outcome: RequestOutcome,
    ) -> HolderOutput {
        let mut output = HolderOutput::default();
        let Some(held) = self.requests.remove_if_running(request) else {
            return output;
        };
        output.report_finished(&held, outcome);
        self.grant_from_own_share(now, &mut output);
        output
    }

    /// Puts a dispatched request back into the queue after its connection failed before any byte
    /// was sent, and excludes that replica.
    pub fn on_connect_failed(&mut self, now: Instant, request: &RequestId) -> HolderOutput {
        let mut output = HolderOutput::default();
        let Some(held) = self.requests.get_mut(request) else {
            return output;
        };
        let Some(upstream) = held.running_on().map(UpstreamId::clone) else {
            return output;
        };
        output.report_finished(held, RequestOutcome::default());
        held.state = RequestState::Waiting;
        held.exclude(&upstream);
        self.send_reservations(now, request, &mut output);
        self.refuse_without_candidates(request, &mut output);
        self.grant_from_own_share(now, &mut output);
        output
    }

    /// Removes a request that was not dispatched and withdraws its reservations; a running one
    /// stays.
    pub fn withdraw(&mut self, request: &RequestId) -> Vec<OwnerEnvelope> {
        let Some(held) = self.requests.remove_if_not_running(request) else {
            return Vec::new();
        };
        let mut output = HolderOutput::default();
        output.withdraw_all(&held, None);
        output.messages
    }

    /// Widens reservations that are due, and every [`RENEW_INTERVAL`] renews at all owners and
    /// resends reservations without an answer.
    pub fn on_tick(&mut self, now: Instant) -> HolderOutput {
        let mut output = HolderOutput::default();
        for request in self.requests.take_due_to_widen(now) {
            self.send_reservations(now, &request, &mut output);
        }
        if self
            .last_renewal
            .is_some_and(|at| now < at + RENEW_INTERVAL)
        {
            return output;
        }
        self.last_renewal = Some(now);
        let asked = self.leases.next_sequence(now);
        for ReplicaUse { upstream, running } in self.requests.replica_uses() {
            let message = ToOwner::Renew { asked, running };
            output.messages.push(OwnerEnvelope { upstream, message });
        }
        for request in self.requests.unanswered_since(now, RESEND_INTERVAL) {
            self.send_reservations(now, &request, &mut output);
        }
        self.grant_from_own_share(now, &mut output);
        output
    }

    /// Handles an unreachable owner: this instance may use `share` slots of the replica by itself.
    pub fn on_owner_unreachable(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        share: u32,
    ) -> HolderOutput {
        match self.fallback(upstream) {
            Ok(i) => self.fallbacks[i].share = share,
            Err(i) => {
                let upstream = UpstreamId::clone(upstream);
                self.fallbacks.insert(i, Fallback { upstream, share });
            }
        }
        self.requests.remove_reservations_at(upstream);
        let mut output = HolderOutput::default();
        self.grant_from_own_share(now, &mut output);
        output
    }

    /// Handles a replica whose owner answers again or is another instance: sends it the running and
    /// waiting requests.
    pub fn on_owner_changed(&mut self, now: Instant, upstream: &UpstreamId) -> Vec<OwnerEnvelope> {
        if let Ok(i) = self.fallback(upstream) {
            self.fallbacks.remove(i);
        }
        self.requests.remove_reservations_at(upstream);
        let mut output = HolderOutput::default();
        let asked = self.leases.current_sequence(now);
        output.messages.push(OwnerEnvelope {
            upstream: UpstreamId::clone(upstream),
            message: ToOwner::Renew {
                asked,
                running: self.requests.running_at(upstream),
            },
        });
        for request in self.requests.waiting_for(upstream) {
            self.send_reservations(now, &request, &mut output);
        }
        output.messages
    }

    fn fallback(&self, upstream: &UpstreamId) -> Result<usize, usize> {
        self.fallbacks
            .binary_search_by(|fallback| fallback.upstream.cmp(upstream))
    }

    /// Sends the missing reservations of a waiting request to the owners that answer.
    fn send_reservations(&mut self, now: Instant, request: &RequestId, output: &mut HolderOutput) {
        let asked = self.leases.current_sequence(now);
        let Some(held) = self
            .requests
            .get_mut(request)
            .filter(|held| held.is_waiting())
        else {
            return;
        };
        held.reservation.asked = asked;
        held.reservation.time_left = held.deadline.saturating_duration_since(now);
        let candidate_count = if held.widen_at.is_some() {
            1
        } else {
            held.candidates.len()
        };
        for upstream in held.candidates.iter().take(candidate_count) {
            let fallbacks = &self.fallbacks;
            if fallbacks
                .binary_search_by(|f| f.upstream.cmp(upstream))
                .is_ok()
            {
                continue;
            }
            let upstream = UpstreamId::clone(upstream);
            let reservation = SentReservation {
                upstream,
                sent_at: now,
            };
            match held
                .reservations
                .iter_mut()
                .find(|sent| sent.upstream == reservation.upstream)
            {
                Some(earlier) if now < earlier.sent_at + RESEND_INTERVAL => continue,
                Some(earlier) => earlier.sent_at = now,
                None => held.reservations.push(reservation.clone()),
            }
            output.messages.push(OwnerEnvelope {
                upstream: reservation.upstream,
                message: ToOwner::Reserve(held.reservation.clone()),
            });
        }
    }

    fn on_grant(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        request: &RequestId,
        asked: Sequence,
        output: &mut HolderOutput,
    ) {
        let lease_end = self.leases.sent_at(asked).map(|sent| sent + GRANT_LEASE);
        let valid = lease_end.filter(|lease_end| now < *lease_end);
        let Some(held) = self.requests.get_mut(request) else {
            output.withdraw(request, upstream);
            return;
        };
        if let Some(used) = held.assigned_replica() {
            if used != upstream {
                output.withdraw(request, upstream);
            } else if let (RequestState::Granted { lease_end, .. }, Some(valid)) =
                (&mut held.state, valid)
            {
                *lease_end = valid.max(*lease_end);
            }
            return;
        }
        held.reservations
            .retain(|reservation| reservation.upstream != *upstream);
        let Some(lease_end) = valid else {
            self.send_reservations(now, request, output);
            return;
        };
        output.withdraw_all(held, Some(upstream));
        held.reservations.clear();
        held.state = RequestState::Granted {
            upstream: UpstreamId::clone(upstream),
            lease_end,
        };
        output.actions.push(HolderAction::Dispatch {
            request: RequestId::clone(request),
            upstream: UpstreamId::clone(upstream),
        });
    }

    fn on_rejected(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        request: &RequestId,
        why: Rejection,
        wait: Duration,
        output: &mut HolderOutput,
    ) {
        let Some(held) = self
            .requests
            .get_mut(request)
            .filter(|held| held.is_waiting())
        else {
            return;
        };
        held.reservations
            .retain(|reservation| reservation.upstream != *upstream);
        if why == Rejection::Lapsed {
            self.send_reservations(now, request, output);
            return;
        }
        held.exclude(upstream);
        held.record_refusal(why, wait);
        self.send_reservations(now, request, output);
        self.refuse_without_candidates(request, output);
        self.grant_from_own_share(now, output);
    }

    /// Refuses a waiting request that has no candidate left.
    fn refuse_without_candidates(&mut self, request: &RequestId, output: &mut HolderOutput) {
        let Some(held) = self.requests.get(request) else {
            return;
        };
        if !held.is_waiting() || !held.candidates.is_empty() {
            return;
        }
        let (why, wait) = (held.refusal.why, held.refusal.wait);
        self.requests.remove_if_not_running(request);
        output.refuse(RequestId::clone(request), why, wait);
    }

    /// Grants the own share of replicas whose owners don't answer to requests that no reachable
    /// owner can grant.
    fn grant_from_own_share(&mut self, now: Instant, output: &mut HolderOutput) {
        for fallback in self.fallbacks.clone() {
            let mut free = fallback
                .share
                .saturating_sub(self.requests.slots_used_at(&fallback.upstream));
            while free > 0 {
                let Some(held) = self.requests.next_without_owner(&fallback.upstream) else {
                    break;
                };
                held.state = RequestState::Granted {
                    upstream: UpstreamId::clone(&fallback.upstream),
                    lease_end: now + GRANT_LEASE,
                };
                output.actions.push(HolderAction::Dispatch {
                    request: RequestId::clone(&held.reservation.request),
                    upstream: UpstreamId::clone(&fallback.upstream),
                });
                free -= 1;
            }
        }
    }
}

impl HolderOutput {
    fn refuse(&mut self, request: RequestId, why: Rejection, wait: Duration) {
        self.actions
            .push(HolderAction::Refuse { request, why, wait });
    }

    fn withdraw(&mut self, request: &RequestId, upstream: &UpstreamId) {
        self.messages.push(OwnerEnvelope {
            upstream: UpstreamId::clone(upstream),
            message: ToOwner::Withdraw {
                request: RequestId::clone(request),
            },
        });
    }

    /// Withdraws the request at all owners but that of `kept`.
    fn withdraw_all(&mut self, held: &HeldRequest, kept: Option<&UpstreamId>) {
        let granted = held.assigned_replica();
        let reservations = held
            .reservations
            .iter()
            .map(|reservation| &reservation.upstream);
        for upstream in reservations.chain(granted) {
            if Some(upstream) != kept {
                self.withdraw(&held.reservation.request, upstream);
            }
        }
    }

    fn report_finished(&mut self, held: &HeldRequest, outcome: RequestOutcome) {
        if let Some(upstream) = held.running_on() {
            self.messages.push(OwnerEnvelope {
                upstream: UpstreamId::clone(upstream),
                message: ToOwner::Finished {
                    request: RequestId::clone(&held.reservation.request),
                    outcome,
                },
            });
        }
    }
}
