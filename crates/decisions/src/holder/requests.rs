//! The requests that an entry instance holds, sorted by request identifier.

use std::time::Duration;

use tokio::time::Instant;

use crate::id::{RequestId, UpstreamId};
use crate::slots::{Rejection, Reservation};

/// State of a held request.
#[derive(Debug, Clone)]
pub(super) enum RequestState {
    /// Reserved, without a grant.
    Waiting,
    /// Granted; may be sent to the replica until the lease ends.
    Granted {
        /// The replica.
        upstream: UpstreamId,
        /// End of the lease by this instance's clock.
        lease_end: Instant,
    },
    /// Sent to the replica.
    Running {
        /// The replica.
        upstream: UpstreamId,
    },
}

/// A reservation that was sent to the owner of a replica and is not answered.
#[derive(Debug, Clone)]
pub(super) struct SentReservation {
    pub(super) upstream: UpstreamId,
    pub(super) sent_at: Instant,
}

/// The refusal for the caller if no owner is left: the one with the shortest wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refusal {
    pub(super) why: Rejection,
    pub(super) wait: Duration,
}

/// A replica to whose owner this instance renews, and its requests that run there.
#[derive(Debug, Clone)]
pub(super) struct ReplicaUse {
    pub(super) upstream: UpstreamId,
    pub(super) running: Vec<RequestId>,
}

/// One held request.
#[derive(Debug, Clone)]
pub(super) struct HeldRequest {
    pub(super) reservation: Reservation,
    /// The caller's deadline.
    pub(super) deadline: Instant,
    /// Position in order of arrival.
    pub(super) arrival: u64,
    /// Replicas that may serve the request, the preferred one first.
    pub(super) candidates: Vec<UpstreamId>,
    /// Reservations without an answer.
    pub(super) reservations: Vec<SentReservation>,
    /// Until then the request is reserved at the first candidate alone.
    pub(super) widen_at: Option<Instant>,
    pub(super) refusal: Refusal,
    pub(super) state: RequestState,
}

impl HeldRequest {
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, RequestState::Waiting)
    }

    /// The replica that runs the request.
    pub(super) fn running_on(&self) -> Option<&UpstreamId> {
        match &self.state {
            RequestState::Running { upstream } => Some(upstream),
            RequestState::Waiting | RequestState::Granted { .. } => None,
        }
    }

    /// The replica whose slot the request has, granted or running.
    pub(super) fn assigned_replica(&self) -> Option<&UpstreamId> {
        match &self.state {
            RequestState::Running { upstream } | RequestState::Granted { upstream, .. } => {
                Some(upstream)
            }
            RequestState::Waiting => None,
        }
    }

    /// Removes the replica from the candidates; the others are reserved at without delay.
    pub(super) fn exclude(&mut self, upstream: &UpstreamId) {
        self.widen_at = None;
        self.candidates.retain(|candidate| candidate != upstream);
        self.reservations
            .retain(|reservation| reservation.upstream != *upstream);
    }

    /// Keeps the refusal of an owner if its wait is the shortest so far.
    pub(super) fn record_refusal(&mut self, why: Rejection, wait: Duration) {
        if wait <= self.refusal.wait {
            self.refusal = Refusal { why, wait };
        }
    }
}

/// All held requests.
#[derive(Debug, Clone, Default)]
pub(super) struct HeldRequests {
    #[expect(
        clippy::vec_box,
        reason = "an insertion in the middle moves pointers, not requests"
    )]
    requests: Vec<Box<HeldRequest>>,
    /// Number of requests that arrived so far.
    arrivals: u64,
}

impl HeldRequests {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &HeldRequest> {
        self.requests.iter().map(|held| &**held)
    }

    pub(super) fn get(&self, request: &RequestId) -> Option<&HeldRequest> {
        self.position(request).ok().map(|i| &*self.requests[i])
    }

    pub(super) fn get_mut(&mut self, request: &RequestId) -> Option<&mut HeldRequest> {
        let i = self.position(request).ok()?;
        Some(&mut self.requests[i])
    }

    pub(super) fn insert(&mut self, reservation: Reservation, now: Instant) {
        let Err(i) = self.position(&reservation.request) else {
            return;
        };
        self.arrivals += 1;
        let held = HeldRequest {
            deadline: now + reservation.time_left,
            reservation,
            arrival: self.arrivals,
            candidates: Vec::new(),
            reservations: Vec::new(),
            widen_at: None,
            refusal: Refusal {
                why: Rejection::Leaving,
                wait: Duration::MAX,
            },
            state: RequestState::Waiting,
        };
        self.requests.insert(i, Box::new(held));
    }

    pub(super) fn add_candidates(&mut self, request: &RequestId, candidates: &[UpstreamId]) {
        let Some(held) = self.get_mut(request).filter(|held| held.is_waiting()) else {
            return;
        };
        for candidate in candidates {
            if !held.candidates.contains(candidate) {
                held.candidates.push(UpstreamId::clone(candidate));
            }
        }
    }

    pub(super) fn remove_if_running(&mut self, request: &RequestId) -> Option<Box<HeldRequest>> {
        self.remove_if(request, true)
    }

    pub(super) fn remove_if_not_running(
        &mut self,
        request: &RequestId,
    ) -> Option<Box<HeldRequest>> {
        self.remove_if(request, false)
    }

    fn remove_if(&mut self, request: &RequestId, running: bool) -> Option<Box<HeldRequest>> {
        let i = self.position(request).ok()?;
        (self.requests[i].running_on().is_some() == running).then(|| self.requests.remove(i))
    }

    /// All replicas where this instance has reservations, grants or running requests, sorted.
    pub(super) fn replica_uses(&self) -> Vec<ReplicaUse> {
        let mut all: Vec<(&UpstreamId, Option<&RequestId>)> = Vec::new();
        for held in self.iter() {
            let running = held.running_on().map(|_| &held.reservation.request);
            all.extend(held.assigned_replica().map(|upstream| (upstream, running)));
            all.extend(
                held.reservations
                    .iter()
                    .map(|reservation| (&reservation.upstream, None)),
            );
        }
        all.sort_unstable();
        let by_replica = all.chunk_by(|a, b| a.0 == b.0);
        by_replica
            .map(|chunk| ReplicaUse {
                upstream: UpstreamId::clone(chunk[0].0),
                running: chunk.iter().filter_map(|c| c.1.cloned()).collect(),
            })
            .collect()
    }

    /// Requests of this instance that run on the replica.
    pub(super) fn running_at(&self, upstream: &UpstreamId) -> Vec<RequestId> {
        let running = self
            .iter()
            .filter(|held| held.running_on() == Some(upstream));
        running
            .map(|held| RequestId::clone(&held.reservation.request))
            .collect()
    }

    /// Returns waiting requests that are due to be reserved at all candidates, and marks them so.
    pub(super) fn take_due_to_widen(&mut self, now: Instant) -> Vec<RequestId> {
        let due = |held: &&mut Box<HeldRequest>| held.widen_at.is_some_and(|at| at <= now);
        let held = self.requests.iter_mut().filter(due);
        held.map(|held| {
            held.widen_at = None;
            RequestId::clone(&held.reservation.request)
        })
        .collect()
    }

    /// Number of slots of the replica that this instance uses.
    pub(super) fn slots_used_at(&self, upstream: &UpstreamId) -> u32 {
        let used = self
            .iter()
            .filter(|held| held.assigned_replica() == Some(upstream));
        used.count() as u32
    }

    /// Waiting requests for which the replica is a candidate.
    pub(super) fn waiting_for(&self, upstream: &UpstreamId) -> Vec<RequestId> {
        self.iter()
            .filter(|held| held.is_waiting() && held.candidates.contains(upstream))
            .map(|held| RequestId::clone(&held.reservation.request))
            .collect()
    }

    /// Waiting requests with a reservation that was sent longer ago than `after`.
    pub(super) fn unanswered_since(&self, now: Instant, after: Duration) -> Vec<RequestId> {
        self.iter()
            .filter(|held| held.is_waiting())
            .filter(|held| {
                held.reservations
                    .iter()
                    .any(|reservation| reservation.sent_at + after <= now)
            })
            .map(|held| RequestId::clone(&held.reservation.request))
            .collect()
    }

    /// Removes the unanswered reservations at the replica from all requests.
    pub(super) fn remove_reservations_at(&mut self, upstream: &UpstreamId) {
        for held in &mut self.requests {
            held.reservations
                .retain(|reservation| reservation.upstream != *upstream);
        }
    }

    /// The next waiting request, highest tier first, that only this instance's share of the replica
    /// can serve.
    pub(super) fn next_without_owner(&mut self, upstream: &UpstreamId) -> Option<&mut HeldRequest> {
        self.requests
            .iter_mut()
            .map(|held| &mut **held)
            .filter(|held| held.is_waiting() && held.reservations.is_empty())
            .filter(|held| held.candidates.contains(upstream))
            .min_by_key(|held| (held.reservation.rank, held.arrival))
    }

    fn position(&self, request: &RequestId) -> Result<usize, usize> {
        self.requests
            .binary_search_by(|held| held.reservation.request.cmp(request))
    }
}
