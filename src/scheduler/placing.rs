//! Where a request is reserved, and what happens when fleet or membership change.

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

use super::{Decision, GivenUp, PLAIN_CALL_WORK, Scheduler, SlotRequest, Waiter};
use crate::error::{Refusal, RefusalKind};
use crate::fleet::Snapshot;
use crate::members::View;
use crate::record::Step;
use crate::request::Meta;
use crate::watcher::Watched;

impl Scheduler {
    /// Lets a request wait for a grant; the decision comes through `decision`.
    pub fn acquire(
        &mut self,
        now: Instant,
        meta: Arc<Meta>,
        need: SlotRequest,
        decision: Decision,
    ) {
        let rank = meta.rank;
        if !self.pool_mut(&meta.service).member.admits(now, rank) {
            let after = self.retry_after(now, &meta.service, Duration::ZERO);
            decision
                .send(Err(Refusal::new(RefusalKind::Shed).with_retry_after(after)))
                .ok();
            return;
        }
        let request = meta.request.clone();
        let Err(at) = self.waiter_at(&request) else {
            decision.send(Err(Refusal::new(RefusalKind::Unknown))).ok();
            return;
        };
        if !self
            .pool_mut(&meta.service)
            .member
            .add_waiting(&request, rank)
        {
            let after = self.retry_after(now, &meta.service, Duration::ZERO);
            decision
                .send(Err(Refusal::new(RefusalKind::Shed).with_retry_after(after)))
                .ok();
            return;
        }
        let waiter = Waiter {
            request: request.clone(),
            meta,
            need,
            decision,
            given_up: None,
        };
        self.waiters.insert(at, waiter);
        self.place(now, &request);
        self.settle(now);
    }

    /// Takes changed values.
    pub fn on_fleet(&mut self, now: Instant, snapshot: Arc<Snapshot>) {
        self.snapshot = snapshot;
        self.refresh(now);
    }

    /// Takes changed membership.
    pub fn on_view(&mut self, now: Instant, view: Arc<View>) {
        let before = std::mem::replace(&mut self.view, view);
        let gone: Vec<InstanceId> = before
            .live
            .iter()
            .flat_map(|z| &z.instances)
            .filter(|i| !self.view.is_live(i))
            .cloned()
            .collect();
        self.refresh(now);
        self.free_holders(now, &gone);
        self.settle(now);
    }

    /// Reserves again after all owners said that their replicas leave.
    pub(super) fn place_again(&mut self, now: Instant, request: &RequestId) {
        let sends = self.holder.withdraw(request);
        self.send_asks(sends);
        self.place(now, request);
    }

    fn refresh(&mut self, now: Instant) {
        let changed = self.replicas.refresh(&self.me, &self.snapshot, &self.view);
        self.refresh_owned(now);
        self.refresh_pools(now);
        self.watched = Some(self.watched_now());
        for upstream in changed {
            let sends = self.holder.on_owner_changed(now, &upstream);
            self.send_asks(sends);
        }
        self.settle(now);
    }

    fn place(&mut self, now: Instant, request: &RequestId) {
        let Ok(at) = self.waiter_at(request) else {
            return;
        };
        let meta = self.waiters[at].meta.clone();
        let need = self.waiters[at].need.clone();
        let work = self.expected_work(&meta, &need);
        let regions = self.regions(&meta.organisation);
        let mut candidates =
            self.replicas
                .candidates(now, &meta.service, &self.me, &need, &regions);
        candidates.retain(|c| !need.excluded.contains(&c.upstream));
        let time_left = meta.deadline.saturating_duration_since(now);
        if let Some(why) = why_not(&candidates, work, time_left) {
            let wait = Duration::ZERO;
            return self.refuse_now(now, request, GivenUp { why, wait });
        }
        let upstreams = self.choose(now, &meta, &need, &candidates, work);
        for upstream in &upstreams {
            let upstream = upstream.clone();
            self.records.add(request, Step::Reserved { upstream });
        }
        let reservation = Reservation {
            request: request.clone(),
            holder: self.me.instance.clone(),
            organisation: meta.organisation.clone(),
            weight: meta.weight,
            rank: meta.rank,
            work,
            prefixes: need.prefixes,
            time_left,
            asked: 0,
        };
        let reply = self.holder.reserve(now, reservation, &upstreams);
        self.apply(now, reply);
    }

    fn watched_now(&self) -> Vec<Watched> {
        let mine = self
            .replicas
            .rows()
            .iter()
            .filter(|r| r.owner == self.me.instance);
        let is_model = |service: &str| {
            self.snapshot
                .service(service)
                .is_some_and(|s| s.kind == ServiceKind::Model)
        };
        mine.map(|r| Watched {
            upstream: r.upstream.clone(),
            address: r.address.clone(),
            model: is_model(&r.service),
        })
        .collect()
    }

    fn choose(
        &mut self,
        now: Instant,
        meta: &Meta,
        need: &SlotRequest,
        candidates: &[Candidate],
        work: Work,
    ) -> Vec<UpstreamId> {
        let route = RouteRequest {
            rank: meta.rank,
            zone: self.me.zone.clone(),
            time_left: meta.deadline.saturating_duration_since(now),
            work,
            bytes: need.bytes,
        };
        let lowest = self.bottom();
        choose_replicas(
            now,
            &route,
            candidates,
            lowest,
            &mut self.link,
            &mut self.rng,
        )
        .upstreams
    }

    /// Where an organisation's requests may be served, by the table in force.
    pub(super) fn regions(&self, organisation: &str) -> Regions {
        let listed = self.snapshot.table.organisation(organisation);
        listed.map_or_else(Regions::all, |o| {
            Regions::named(o.allowed_regions.iter().cloned())
        })
    }

    fn expected_work(&self, meta: &Meta, need: &SlotRequest) -> Work {
        let Some(max_tokens) = need.max_tokens else {
            return PLAIN_CALL_WORK;
        };
        let decode = self.lengths.predict(
            &meta.organisation,
            &meta.service,
            need.prompt,
            Some(max_tokens),
        );
        Work::new(need.prompt, decode)
    }
}

/// Why no candidate is worth a reservation: there is none, or even at once it would end too late.
fn why_not(candidates: &[Candidate], work: Work, time_left: Duration) -> Option<Rejection> {
    if candidates.is_empty() {
        return Some(Rejection::Leaving);
    }
    let estimate = Estimate {
        wait: Duration::ZERO,
        service: best_service(candidates, work).unwrap_or_default(),
    };
    is_unmeetable(time_left, estimate).then_some(Rejection::Late)
}

/// Time from dispatch to the end of the answer on the fastest candidate whose pace is known.
fn best_service(candidates: &[Candidate], work: Work) -> Option<Duration> {
    let paces = candidates
        .iter()
        .filter_map(|c| c.digest.and_then(|d| d.pace));
    let known: Vec<Pace> = paces.collect();
    if known.len() < candidates.len() {
        return None;
    }
    known.iter().map(|pace| pace.service_time(work)).min()
}
