//! The shed level of each pool: this instance's side, and the owner's where it is the owner.

use kingcupfield_decisions::id::{InstanceId, Rank, ServiceId};
use kingcupfield_decisions::ownership::owner;
use kingcupfield_decisions::retries::RetryAfter;
use kingcupfield_decisions::shedding::{
    LevelMember, LevelMessage, LevelOwner, ToLevelMember, ToLevelOwner,
};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{GivenUp, Local, Outgoing, Scheduler, Waiter};
use crate::message::PeerMessage;
use kingcupfield_decisions::slots::Rejection;
use std::time::Duration;

/// The replicas of one service in this instance's zone.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) service: ServiceId,
    pub(super) member: LevelMember,
    pub(super) retry: RetryAfter,
    level: Option<LevelOwner>,
    bottom: Rank,
}

impl Pool {
    fn new(service: ServiceId, bottom: Rank) -> Self {
        Self {
            service,
            member: LevelMember::new(bottom),
            retry: RetryAfter::new(),
            level: None,
            bottom,
        }
    }

    pub(super) fn dump(&self, now: Instant) -> Value {
        json!({
            "service": &*self.service,
            "lowest_rank": self.member.lowest_rank(now),
            "owns_level": self.level.is_some(),
        })
    }
}

impl Scheduler {
    /// Lowest rank that the pool of `service` admits.
    pub(super) fn level_of(&self, now: Instant, service: &ServiceId) -> Rank {
        match self.pool_at(service) {
            Ok(at) => self.pools[at].member.lowest_rank(now),
            Err(_) => Rank::MAX,
        }
    }

    pub(super) fn pool_mut(&mut self, service: &ServiceId) -> &mut Pool {
        let at = self.ensure_pool(service);
        &mut self.pools[at]
    }

    /// Position of the pool of `service`, which is made when it is missing.
    pub(super) fn ensure_pool(&mut self, service: &ServiceId) -> usize {
        match self.pool_at(service) {
            Ok(at) => at,
            Err(at) => {
                let pool = Pool::new(service.clone(), self.bottom());
                self.pools.insert(at, pool);
                at
            }
        }
    }

    pub(super) fn leave_pool(&mut self, waiter: &Waiter) {
        let rank = waiter.meta.rank;
        let request = waiter.request.clone();
        self.pool_mut(&waiter.meta.service)
            .member
            .remove_waiting(&request, rank);
    }

    pub(super) fn on_to_level_owner(
        &mut self,
        now: Instant,
        from: &InstanceId,
        service: &ServiceId,
        message: &ToLevelOwner,
    ) {
        let members = self.view.live(&self.me.zone).to_vec();
        let bottom = self.bottom();
        let pool = self.pool_mut(service);
        let mut sends = Vec::new();
        if pool.level.is_none() {
            let mut level = LevelOwner::new(bottom);
            sends.extend(level.set_members(now, members));
            pool.level = Some(level);
        }
        if let Some(level) = &mut pool.level {
            sends.extend(level.on_message(now, from, message));
        }
        self.send_levels(service, sends);
    }

    pub(super) fn on_to_level_member(
        &mut self,
        now: Instant,
        service: &ServiceId,
        message: &ToLevelMember,
    ) {
        let below = self.pool_mut(service).member.on_message(now, message);
        for request in below {
            self.refuse_now(
                now,
                &request,
                GivenUp {
                    why: Rejection::Shed,
                    wait: Duration::ZERO,
                },
            );
        }
        self.flush_level(service);
        self.retry_refusals(now);
    }

    pub(super) fn tick_pools(&mut self, now: Instant) {
        for at in 0..self.pools.len() {
            let service = self.pools[at].service.clone();
            let sends = self.pools[at]
                .level
                .as_mut()
                .map(|level| level.on_tick(now));
            self.send_levels(&service, sends.unwrap_or_default());
            self.flush_level(&service);
        }
    }

    /// Takes changed values or membership: levels that others own by now are dropped.
    pub(super) fn refresh_pools(&mut self, now: Instant) {
        let bottom = self.bottom();
        let members = self.view.live(&self.me.zone).to_vec();
        for at in 0..self.pools.len() {
            let service = self.pools[at].service.clone();
            if self.pools[at].bottom != bottom {
                self.restart_pool(at, bottom);
            }
            if self.level_owner(&service) != self.me.instance {
                self.pools[at].level = None;
            }
            let sends = self.pools[at]
                .level
                .as_mut()
                .map(|level| level.set_members(now, members.clone()));
            self.send_levels(&service, sends.unwrap_or_default());
        }
    }

    /// Sends what the member has for its level's owner.
    pub(super) fn flush_level(&mut self, service: &ServiceId) {
        let outgoing = self.pool_mut(service).member.take_outgoing();
        if outgoing.is_empty() {
            return;
        }
        let to = self.level_owner(service);
        for message in outgoing {
            let service = service.clone();
            if to == self.me.instance {
                let from = to.clone();
                self.local.push_back(Local::LevelOwner {
                    from,
                    service,
                    message,
                });
            } else {
                let message = PeerMessage::ToLevelOwner { service, message };
                self.out.push(Outgoing {
                    to: to.clone(),
                    message,
                });
            }
        }
    }

    /// The table's tiers changed: the level starts open and the waiting ones are noted again.
    fn restart_pool(&mut self, at: usize, bottom: Rank) {
        let service = self.pools[at].service.clone();
        let mut pool = Pool::new(service.clone(), bottom);
        for waiter in self.waiters.iter().filter(|w| w.meta.service == service) {
            pool.member.add_waiting(&waiter.request, waiter.meta.rank);
        }
        self.pools[at] = pool;
    }

    fn send_levels(&mut self, service: &ServiceId, sends: Vec<LevelMessage>) {
        for LevelMessage { to, message } in sends {
            let service = service.clone();
            if to == self.me.instance {
                self.local
                    .push_back(Local::LevelMember { service, message });
            } else {
                self.out.push(Outgoing {
                    to,
                    message: PeerMessage::ToLevelMember { service, message },
                });
            }
        }
    }

    fn level_owner(&self, service: &ServiceId) -> InstanceId {
        let key = format!("level/{service}");
        let owner = owner(&key, self.view.live(&self.me.zone));
        owner.unwrap_or(&self.me.instance).clone()
    }

    /// Rank of the lowest tier of the table.
    pub(super) fn bottom(&self) -> Rank {
        self.snapshot
            .table
            .tiers
            .iter()
            .map(|t| t.rank)
            .max()
            .unwrap_or(0)
    }

    fn pool_at(&self, service: &ServiceId) -> Result<usize, usize> {
        self.pools.binary_search_by(|p| p.service.cmp(service))
    }
}
