//! The entry instance's side of all its requests: where they are reserved and which grant is used.
//!
//! Load pattern: replicas that are busy or free at other moments than their reports say. A request
//! is reserved at several owners and goes to the first replica that is really free. Without the
//! lease check at the dispatch, a process that wakes late would use a slot that its owner has
//! long given to another.

mod held;
mod leases;

use std::time::Duration;

use tokio::time::Instant;

use self::held::{Business, Held, HeldRequests, Place, Stage};
use self::leases::Leases;
use crate::id::{Incarnation, InstanceId, RequestId, Sequence, UpstreamId};
use crate::slots::{
    GRANT_LEASE, RENEW_INTERVAL, Rejection, RequestOutcome, Reservation, ToHolder, ToOwner,
};

/// Requests that one instance holds; more are refused. About 1 KB each.
pub const MAX_HELD: usize = 16_384;

/// A reservation that is not answered is repeated after this time, in case it was lost.
pub const REPEAT_EVERY: Duration = Duration::from_secs(1);

/// A message for the owner of a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerEnvelope {
    /// The replica.
    pub upstream: UpstreamId,
    /// The message.
    pub message: ToOwner,
}

/// What the caller of the state machine must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderAction {
    /// Call [`Holder::dispatch`] and, if it agrees, send the request to the replica.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The replica.
        upstream: UpstreamId,
    },
    /// Refuse the request, which did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        why: Rejection,
        /// Shortest wait that an owner estimated.
        wait: Duration,
    },
}

/// Actions and messages that follow from an event; no action means that the requests wait on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HolderOutput {
    /// What to do.
    pub actions: Vec<HolderAction>,
    /// What to send.
    pub messages: Vec<OwnerEnvelope>,
}

/// Right to send one request to one replica, valid now.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// The replica.
    pub upstream: UpstreamId,
    /// What to send to owners.
    pub messages: Vec<OwnerEnvelope>,
}

/// Why a request may not be dispatched now.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DispatchError {
    /// The lease ended, as after a pause; the request waits again.
    #[error("the grant has lapsed")]
    Lapsed {
        /// New reservations.
        messages: Vec<OwnerEnvelope>,
    },
    /// The request is unknown, waits, or was dispatched already.
    #[error("the request has no unused grant")]
    NotGranted,
}

/// A replica whose owner does not answer, and this instance's own share of it.
#[derive(Debug, Clone)]
struct Fallback {
    upstream: UpstreamId,
    share: u32,
}

/// The requests that one entry instance holds.
#[derive(Debug, Clone)]
pub struct Holder {
    instance: InstanceId,
    held: HeldRequests,
    leases: Leases,
    fallbacks: Vec<Fallback>,
    renewed: Option<Instant>,
    widen_after: Duration,
}

impl Holder {
    /// Makes the holder of `instance`.
    ///
    /// Its numbers start at the incarnation, in milliseconds since a fixed date, and grow by less
    /// than one each millisecond; so a restarted instance's numbers are above its earlier ones.
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            held: HeldRequests::default(),
            leases: Leases::new(incarnation),
            fallbacks: Vec::new(),
            renewed: None,
            widen_after: Duration::ZERO,
        }
    }

    /// Reserves at the first candidate alone and at the others only `after` that time without a
    /// grant, or when the first refuses.
    ///
    /// With a free slot the first owner grants in one round trip: the cached prefix is used and
    /// the other owners hear nothing.
    pub fn with_widen_delay(mut self, after: Duration) -> Self {
        self.widen_after = after;
        self
    }

    /// Requests held: waiting, granted and running.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.held.len() == 0
    }

    /// Requests that wait, lowest tier first, latest first inside a tier: the order of eviction.
    pub fn waiting(&self) -> Vec<&Reservation> {
        let mut waiting: Vec<_> = self.held.iter().filter(|held| held.is_waiting()).collect();
        waiting.sort_by_key(|held| std::cmp::Reverse((held.reservation.rank, held.arrived)));
        waiting.iter().map(|held| &held.reservation).collect()
    }

    /// Reserves a request at the owners of `candidates`; for a waiting request it adds places.
    pub fn reserve(
        &mut self,
        now: Instant,
        reservation: Reservation,
        candidates: &[UpstreamId],
    ) -> HolderOutput {
        let request = RequestId::clone(&reservation.request);
        let mut reply = HolderOutput::default();
        if self.held.get(&request).is_none() {
            if self.held.len() >= MAX_HELD {
                reply.refuse(request, Rejection::Full, RENEW_INTERVAL);
                return reply;
            }
            let mut reservation = reservation;
            reservation.holder = InstanceId::clone(&self.instance);
            self.held.insert(reservation, now);
            if let Some(held) = self
                .held
                .get_mut(&request)
                .filter(|_| !self.widen_after.is_zero())
            {
                held.widens = Some(now + self.widen_after);
            }
        }
        self.held.add_candidates(&request, candidates);
        self.ask(now, &request, &mut reply);
        self.refuse_if_placeless(&request, &mut reply);
        self.use_own_share(now, &mut reply);
        reply
    }

    /// Handles a message of the owner of `upstream`.
    pub fn on_message(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        message: ToHolder,
    ) -> HolderOutput {
        let mut reply = HolderOutput::default();
        match message {
            ToHolder::Grant { request, asked, .. } => {
                self.on_grant(now, upstream, &request, asked, &mut reply);
            }
            ToHolder::Rejected { request, why, wait } => {
                self.on_rejected(now, upstream, &request, why, wait, &mut reply);
            }
        }
        reply
    }

    /// Claims the right to send the request now, right before its first byte goes out.
    pub fn dispatch(
        &mut self,
        now: Instant,
        request: &RequestId,
    ) -> Result<Dispatch, DispatchError> {
        let Some(held) = self.held.get_mut(request) else {
            return Err(DispatchError::NotGranted);
        };
        let Stage::Granted { upstream, until } = &held.stage else {
            return Err(DispatchError::NotGranted);
        };
        let upstream = UpstreamId::clone(upstream);
        if now >= *until {
            // A process that was paused between grant and dispatch: its owner has given the slot
            // to another by now, so two requests would run on it.
            held.stage = Stage::Waiting;
            let mut reply = HolderOutput::default();
            self.ask(now, request, &mut reply);
            return Err(DispatchError::Lapsed {
                messages: reply.messages,
            });
        }
        held.stage = Stage::Running {
            upstream: UpstreamId::clone(&upstream),
        };
        let messages = vec![OwnerEnvelope {
            upstream: UpstreamId::clone(&upstream),
            message: ToOwner::Dispatched {
                request: RequestId::clone(request),
            },
        }];
        Ok(Dispatch { upstream, messages })
    }

    /// Tells the owner that the first token of a running request came.
    pub fn on_started(&self, request: &RequestId, first_token: Duration) -> Vec<OwnerEnvelope> {
        let running = self.held.get(request).and_then(Held::running_on);
        let told = running.map(|upstream| OwnerEnvelope {
            upstream: UpstreamId::clone(upstream),
            message: ToOwner::Started {
                request: RequestId::clone(request),
                first_token,
            },
        });
        told.into_iter().collect()
    }

    /// A running request ended; the owner gets its slot back.
    ///
    /// A caller that went away is no fault of the replica: its outcome is whole, without times.
    pub fn on_finished(
        &mut self,
        now: Instant,
        request: &RequestId,
        outcome: RequestOutcome,
    ) -> HolderOutput {
        let mut reply = HolderOutput::default();
        let Some(held) = self.held.remove_if_running(request) else {
            return reply;
        };
        reply.finished(&held, outcome);
        self.use_own_share(now, &mut reply);
        reply
    }

    /// Nothing of the dispatched request was sent, as the connection failed: it waits again,
    /// without that replica.
    pub fn on_connect_failed(&mut self, now: Instant, request: &RequestId) -> HolderOutput {
        let mut reply = HolderOutput::default();
        let Some(held) = self.held.get_mut(request) else {
            return reply;
        };
        let Some(upstream) = held.running_on().map(UpstreamId::clone) else {
            return reply;
        };
        reply.finished(held, RequestOutcome::default());
        held.stage = Stage::Waiting;
        held.exclude(&upstream);
        self.ask(now, request, &mut reply);
        self.refuse_if_placeless(request, &mut reply);
        self.use_own_share(now, &mut reply);
        reply
    }

    /// Gives up a request that was not dispatched; a running one stays.
    pub fn withdraw(&mut self, request: &RequestId) -> Vec<OwnerEnvelope> {
        let Some(held) = self.held.remove_if_not_running(request) else {
            return Vec::new();
        };
        let mut reply = HolderOutput::default();
        reply.withdraw_all(&held, None);
        reply.messages
    }

    /// Reserves more widely what is due, renews at all owners every [`RENEW_INTERVAL`] and repeats what got no answer.
    pub fn on_tick(&mut self, now: Instant) -> HolderOutput {
        let mut reply = HolderOutput::default();
        for request in self.held.widened(now) {
            self.ask(now, &request, &mut reply);
        }
        if self.renewed.is_some_and(|at| now < at + RENEW_INTERVAL) {
            return reply;
        }
        self.renewed = Some(now);
        let asked = self.leases.next(now);
        for Business { upstream, running } in self.held.business() {
            let message = ToOwner::Renew { asked, running };
            reply.messages.push(OwnerEnvelope { upstream, message });
        }
        for request in self.held.unanswered(now, REPEAT_EVERY) {
            self.ask(now, &request, &mut reply);
        }
        self.use_own_share(now, &mut reply);
        reply
    }

    /// The owner of `upstream` does not answer: `share` of the replica is this instance's own.
    pub fn on_owner_gone(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        share: u32,
    ) -> HolderOutput {
        match self.fallback(upstream) {
            Ok(at) => self.fallbacks[at].share = share,
            Err(at) => {
                let upstream = UpstreamId::clone(upstream);
                self.fallbacks.insert(at, Fallback { upstream, share });
            }
        }
        self.held.forget_place(upstream);
        let mut reply = HolderOutput::default();
        self.use_own_share(now, &mut reply);
        reply
    }

    /// The replica has an owner that answers, perhaps another: it learns what runs and waits.
    pub fn on_owner_changed(&mut self, now: Instant, upstream: &UpstreamId) -> Vec<OwnerEnvelope> {
        if let Ok(at) = self.fallback(upstream) {
            self.fallbacks.remove(at);
        }
        self.held.forget_place(upstream);
        let mut reply = HolderOutput::default();
        let asked = self.leases.number(now);
        reply.messages.push(OwnerEnvelope {
            upstream: UpstreamId::clone(upstream),
            message: ToOwner::Renew {
                asked,
                running: self.held.running_at(upstream),
            },
        });
        for request in self.held.waiting_for(upstream) {
            self.ask(now, &request, &mut reply);
        }
        reply.messages
    }

    fn fallback(&self, upstream: &UpstreamId) -> Result<usize, usize> {
        self.fallbacks
            .binary_search_by(|fallback| fallback.upstream.cmp(upstream))
    }

    /// Reserves a waiting request wherever it has no answered place and the owner answers.
    fn ask(&mut self, now: Instant, request: &RequestId, reply: &mut HolderOutput) {
        let asked = self.leases.number(now);
        let Some(held) = self.held.get_mut(request).filter(|held| held.is_waiting()) else {
            return;
        };
        held.reservation.asked = asked;
        held.reservation.time_left = held.deadline.saturating_duration_since(now);
        let reach = if held.widens.is_some() {
            1
        } else {
            held.candidates.len()
        };
        for upstream in held.candidates.iter().take(reach) {
            let fallbacks = &self.fallbacks;
            if fallbacks
                .binary_search_by(|f| f.upstream.cmp(upstream))
                .is_ok()
            {
                continue;
            }
            let upstream = UpstreamId::clone(upstream);
            let place = Place {
                upstream,
                sent: now,
            };
            match held
                .places
                .iter_mut()
                .find(|p| p.upstream == place.upstream)
            {
                Some(known) if now < known.sent + REPEAT_EVERY => continue,
                Some(known) => known.sent = now,
                None => held.places.push(place.clone()),
            }
            reply.messages.push(OwnerEnvelope {
                upstream: place.upstream,
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
        reply: &mut HolderOutput,
    ) {
        let until = self.leases.sent(asked).map(|sent| sent + GRANT_LEASE);
        let valid = until.filter(|until| now < *until);
        let Some(held) = self.held.get_mut(request) else {
            reply.withdraw(request, upstream);
            return;
        };
        if let Some(used) = held.used() {
            if used != upstream {
                reply.withdraw(request, upstream);
            } else if let (Stage::Granted { until, .. }, Some(valid)) = (&mut held.stage, valid) {
                *until = valid.max(*until);
            }
            return;
        }
        held.places.retain(|place| place.upstream != *upstream);
        let Some(until) = valid else {
            self.ask(now, request, reply);
            return;
        };
        reply.withdraw_all(held, Some(upstream));
        held.places.clear();
        held.stage = Stage::Granted {
            upstream: UpstreamId::clone(upstream),
            until,
        };
        reply.actions.push(HolderAction::Dispatch {
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
        reply: &mut HolderOutput,
    ) {
        let Some(held) = self.held.get_mut(request).filter(|held| held.is_waiting()) else {
            return;
        };
        held.places.retain(|place| place.upstream != *upstream);
        if why == Rejection::Lapsed {
            self.ask(now, request, reply);
            return;
        }
        held.exclude(upstream);
        held.note_refusal(why, wait);
        self.ask(now, request, reply);
        self.refuse_if_placeless(request, reply);
        self.use_own_share(now, reply);
    }

    /// Refuses a waiting request that no candidate is left for.
    fn refuse_if_placeless(&mut self, request: &RequestId, reply: &mut HolderOutput) {
        let Some(held) = self.held.get(request) else {
            return;
        };
        if !held.is_waiting() || !held.candidates.is_empty() {
            return;
        }
        let (why, wait) = (held.refusal.why, held.refusal.wait);
        self.held.remove_if_not_running(request);
        reply.refuse(RequestId::clone(request), why, wait);
    }

    /// Uses this instance's own share of replicas whose owners do not answer, for requests that
    /// no owner is left to grant.
    fn use_own_share(&mut self, now: Instant, reply: &mut HolderOutput) {
        for fallback in self.fallbacks.clone() {
            let mut free = fallback
                .share
                .saturating_sub(self.held.used_at(&fallback.upstream));
            while free > 0 {
                let Some(held) = self.held.next_stranded(&fallback.upstream) else {
                    break;
                };
                held.stage = Stage::Granted {
                    upstream: UpstreamId::clone(&fallback.upstream),
                    until: now + GRANT_LEASE,
                };
                reply.actions.push(HolderAction::Dispatch {
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

    /// Withdraws everywhere but at the owner of `kept`.
    fn withdraw_all(&mut self, held: &Held, kept: Option<&UpstreamId>) {
        let granted = held.used();
        let places = held.places.iter().map(|place| &place.upstream);
        for upstream in places.chain(granted) {
            if Some(upstream) != kept {
                self.withdraw(&held.reservation.request, upstream);
            }
        }
    }

    fn finished(&mut self, held: &Held, outcome: RequestOutcome) {
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
