//! Reservation of slots for requests, and updates after a change of the fleet or the membership.

use std::sync::Arc;
use std::time::Duration;

use kingcupfield_decisions::id::{InstanceId, RequestId, UpstreamId};
use kingcupfield_decisions::pace::Pace;
use kingcupfield_decisions::regions::Regions;
use kingcupfield_decisions::routing::{Candidate, RouteRequest, choose_replicas};
use kingcupfield_decisions::shedding::{Estimate, is_unmeetable};
use kingcupfield_decisions::slots::{Rejection, Reservation};
use kingcupfield_decisions::values::ServiceKind;
use kingcupfield_decisions::work::Work;
use tokio::time::Instant;

use super::{
    DecisionSender, PLAIN_CALL_WORK, RefusalCause, Scheduler, SlotRequest, WaitingRequest,
};
use crate::error::{Refusal, RefusalKind};
use crate::fleet::Snapshot;
use crate::members::View;
use crate::record::Step;
use crate::request::Meta;
use crate::watcher::Watched;

impl Scheduler {
    /// Queues a request for a slot; the grant or refusal is sent through `decision`.
    pub fn acquire(
        &mut self,
        now: Instant,
        meta: Arc<Meta>,
        slot_request: SlotRequest,
        decision: DecisionSender,
    ) {
        let rank = meta.rank;
        if !self.pool_mut(&meta.service).level_member.admits(now, rank) {
            let retry_after = self.retry_after(now, &meta.service, Duration::ZERO);
            decision
                .send(Err(
                    Refusal::new(RefusalKind::Shed).with_retry_after(retry_after)
                ))
                .ok();
            return;
        }
        let request = meta.request.clone();
        let Err(index) = self.find_waiter(&request) else {
            decision.send(Err(Refusal::new(RefusalKind::Unknown))).ok();
            return;
        };
        if !self
            .pool_mut(&meta.service)
            .level_member
            .add_waiting(&request, rank)
        {
            let retry_after = self.retry_after(now, &meta.service, Duration::ZERO);
            decision
                .send(Err(
                    Refusal::new(RefusalKind::Shed).with_retry_after(retry_after)
                ))
                .ok();
            return;
        }
        let waiter = WaitingRequest {
            request: request.clone(),
            meta,
            slot_request,
            decision,
            pending_refusal: None,
        };
        self.waiters.insert(index, waiter);
        self.reserve(now, &request);
        self.deliver_local(now);
    }

    /// Applies a new snapshot of the fleet's table, services and instances.
    pub fn on_fleet(&mut self, now: Instant, snapshot: Arc<Snapshot>) {
        self.snapshot = snapshot;
        self.refresh(now);
    }

    /// Applies a new view of the live instances, and releases the slots held by dead ones.
    pub fn on_view(&mut self, now: Instant, view: Arc<View>) {
        let previous_view = std::mem::replace(&mut self.view, view);
        let dead: Vec<InstanceId> = previous_view
            .live
            .iter()
            .flat_map(|z| &z.instances)
            .filter(|i| !self.view.is_live(i))
            .cloned()
            .collect();
        self.refresh(now);
        self.release_dead_holders(now, &dead);
        self.deliver_local(now);
    }

    /// Withdraws the reservations of a request whose owners rejected it because their replicas
    /// leave or the reservations lapsed, and makes new ones.
    pub(super) fn reserve_again(&mut self, now: Instant, request: &RequestId) {
        let messages = self.holder.withdraw(request);
        self.send_to_owners(messages);
        self.reserve(now, request);
    }

    /// Recomputes the owners of replicas, and the queues and pools that depend on them.
    fn refresh(&mut self, now: Instant) {
        let owner_changed = self
            .replicas
            .refresh(&self.identity, &self.snapshot, &self.view);
        self.refresh_owned(now);
        self.refresh_pools(now);
        self.watched = Some(self.owned_upstreams());
        for upstream in owner_changed {
            let messages = self.holder.on_owner_changed(now, &upstream);
            self.send_to_owners(messages);
        }
        self.deliver_local(now);
    }

    /// Reserves slots for a waiting request, or refuses it if no replica can serve it in time.
    fn reserve(&mut self, now: Instant, request: &RequestId) {
        let Ok(index) = self.find_waiter(request) else {
            return;
        };
        let meta = self.waiters[index].meta.clone();
        let slot_request = self.waiters[index].slot_request.clone();
        let work = self.expected_work(&meta, &slot_request);
        let regions = self.allowed_regions(&meta.organisation);
        let mut candidates =
            self.replicas
                .candidates(now, &meta.service, &self.identity, &slot_request, &regions);
        candidates.retain(|c| !slot_request.excluded_upstreams.contains(&c.upstream));
        let time_left = meta.deadline.saturating_duration_since(now);
        if let Some(rejection) = early_rejection(&candidates, work, time_left) {
            let expected_wait = Duration::ZERO;
            return self.refuse_now(
                now,
                request,
                RefusalCause {
                    rejection,
                    expected_wait,
                },
            );
        }
        let upstreams = self.choose_upstreams(now, &meta, &slot_request, &candidates, work);
        for upstream in &upstreams {
            let upstream = upstream.clone();
            self.records.add_step(request, Step::Reserved { upstream });
        }
        let reservation = Reservation {
            request: request.clone(),
            holder: self.identity.instance.clone(),
            organisation: meta.organisation.clone(),
            weight: meta.weight,
            rank: meta.rank,
            work,
            prefixes: slot_request.prefixes,
            time_left,
            asked: 0,
        };
        let output = self.holder.reserve(now, reservation, &upstreams);
        self.apply_holder_output(now, output);
    }

    /// Returns the replicas that this instance owns, which the watcher polls.
    fn owned_upstreams(&self) -> Vec<Watched> {
        let owned = self
            .replicas
            .rows()
            .iter()
            .filter(|r| r.owner == self.identity.instance);
        let is_model = |service: &str| {
            self.snapshot
                .service(service)
                .is_some_and(|s| s.kind == ServiceKind::Model)
        };
        owned
            .map(|r| Watched {
                upstream: r.upstream.clone(),
                address: r.address.clone(),
                model: is_model(&r.service),
            })
            .collect()
    }

    /// Chooses the replicas at which a request reserves a slot.
    fn choose_upstreams(
        &mut self,
        now: Instant,
        meta: &Meta,
        slot_request: &SlotRequest,
        candidates: &[Candidate],
        work: Work,
    ) -> Vec<UpstreamId> {
        let route = RouteRequest {
            rank: meta.rank,
            zone: self.identity.zone.clone(),
            time_left: meta.deadline.saturating_duration_since(now),
            work,
            bytes: slot_request.transfer_bytes,
        };
        let lowest_rank = self.lowest_tier_rank();
        choose_replicas(
            now,
            &route,
            candidates,
            lowest_rank,
            &mut self.link_budget,
            &mut self.rng,
        )
        .upstreams
    }

    /// Returns the regions in which the current table allows an organisation's requests.
    pub(super) fn allowed_regions(&self, organisation: &str) -> Regions {
        let row = self.snapshot.table.organisation(organisation);
        row.map_or_else(Regions::all, |o| {
            Regions::named(o.allowed_regions.iter().cloned())
        })
    }

    /// Estimates the work of a request, in tokens.
    fn expected_work(&self, meta: &Meta, slot_request: &SlotRequest) -> Work {
        let Some(max_tokens) = slot_request.max_tokens else {
            return PLAIN_CALL_WORK;
        };
        let decode = self.length_predictor.predict(
            &meta.organisation,
            &meta.service,
            slot_request.prompt_tokens,
            Some(max_tokens),
        );
        Work::new(slot_request.prompt_tokens, decode)
    }
}

/// Returns why no reservation is made: there is no candidate, or the request would miss its
/// deadline even if it started at once.
fn early_rejection(candidates: &[Candidate], work: Work, time_left: Duration) -> Option<Rejection> {
    if candidates.is_empty() {
        return Some(Rejection::Leaving);
    }
    let estimate = Estimate {
        wait: Duration::ZERO,
        service: fastest_service_time(candidates, work).unwrap_or_default(),
    };
    is_unmeetable(time_left, estimate).then_some(Rejection::Late)
}

/// Returns the time from dispatch to the end of the response on the fastest candidate; `None` if
/// the pace of any candidate is unknown.
fn fastest_service_time(candidates: &[Candidate], work: Work) -> Option<Duration> {
    let paces = candidates
        .iter()
        .filter_map(|c| c.digest.and_then(|d| d.pace));
    let known_paces: Vec<Pace> = paces.collect();
    if known_paces.len() < candidates.len() {
        return None;
    }
    known_paces.iter().map(|pace| pace.service_time(work)).min()
}
