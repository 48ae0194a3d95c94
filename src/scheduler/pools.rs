//! Load shedding for each service: the lowest rank that is admitted (the shed level).
//!
//! Every instance of a zone is a member of the level of each service; one instance of the zone
//! owns the level and sets it for all members. Rank 0 is the highest tier.

use kingcupfield_decisions::id::{InstanceId, Rank, ServiceId};
use kingcupfield_decisions::ownership::owner;
use kingcupfield_decisions::retries::RetryAfter;
use kingcupfield_decisions::shedding::{
    LevelMember, LevelMessage, LevelOwner, ToLevelMember, ToLevelOwner,
};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{LocalMessage, Outgoing, RefusalCause, Scheduler, WaitingRequest};
use crate::message::PeerMessage;
use kingcupfield_decisions::slots::Rejection;
use std::time::Duration;

/// Shed state of one service in this instance's zone.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) service: ServiceId,
    /// This instance's state as a member of the level.
    pub(super) level_member: LevelMember,
    /// Computes the retry delay of refused callers.
    pub(super) retry_after: RetryAfter,
    /// The owner's state, if this instance owns the level.
    level_owner: Option<LevelOwner>,
    /// Rank of the lowest tier of the table, at which nothing is shed.
    lowest_tier_rank: Rank,
}

impl Pool {
    fn new(service: ServiceId, lowest_tier_rank: Rank) -> Self {
        Self {
            service,
            level_member: LevelMember::new(lowest_tier_rank),
            retry_after: RetryAfter::new(),
            level_owner: None,
            lowest_tier_rank,
        }
    }

    /// Returns the pool's state for the diagnostic dump.
    pub(super) fn dump(&self, now: Instant) -> Value {
        json!({
            "service": &*self.service,
            "lowest_rank": self.level_member.lowest_rank(now),
            "owns_level": self.level_owner.is_some(),
        })
    }
}

impl Scheduler {
    /// Returns the lowest rank that the pool of `service` admits.
    pub(super) fn lowest_admitted_rank(&self, now: Instant, service: &ServiceId) -> Rank {
        match self.find_pool(service) {
            Ok(index) => self.pools[index].level_member.lowest_rank(now),
            Err(_) => Rank::MAX,
        }
    }

    /// Returns the pool of `service`, which is created if it is missing.
    pub(super) fn pool_mut(&mut self, service: &ServiceId) -> &mut Pool {
        let index = self.ensure_pool(service);
        &mut self.pools[index]
    }

    /// Returns the index of the pool of `service`, which is created if it is missing.
    pub(super) fn ensure_pool(&mut self, service: &ServiceId) -> usize {
        match self.find_pool(service) {
            Ok(index) => index,
            Err(index) => {
                let pool = Pool::new(service.clone(), self.lowest_tier_rank());
                self.pools.insert(index, pool);
                index
            }
        }
    }

    /// Removes a request from the waiting requests of its pool.
    pub(super) fn remove_from_pool(&mut self, waiter: &WaitingRequest) {
        let rank = waiter.meta.rank;
        let request = waiter.request.clone();
        self.pool_mut(&waiter.meta.service)
            .level_member
            .remove_waiting(&request, rank);
    }

    /// Handles a member's message to the owner of a level, and becomes the owner if needed.
    pub(super) fn on_to_level_owner(
        &mut self,
        now: Instant,
        from: &InstanceId,
        service: &ServiceId,
        message: &ToLevelOwner,
    ) {
        let members = self.view.live(&self.identity.zone).to_vec();
        let lowest_tier_rank = self.lowest_tier_rank();
        let pool = self.pool_mut(service);
        let mut messages = Vec::new();
        if pool.level_owner.is_none() {
            let mut level_owner = LevelOwner::new(lowest_tier_rank);
            messages.extend(level_owner.set_members(now, members));
            pool.level_owner = Some(level_owner);
        }
        if let Some(level_owner) = &mut pool.level_owner {
            messages.extend(level_owner.on_message(now, from, message));
        }
        self.send_to_level_members(service, messages);
    }

    /// Handles a level owner's message, and refuses the waiting requests below the new level.
    pub(super) fn on_to_level_member(
        &mut self,
        now: Instant,
        service: &ServiceId,
        message: &ToLevelMember,
    ) {
        let shed_requests = self.pool_mut(service).level_member.on_message(now, message);
        for request in shed_requests {
            self.refuse_now(
                now,
                &request,
                RefusalCause {
                    rejection: Rejection::Shed,
                    expected_wait: Duration::ZERO,
                },
            );
        }
        self.send_to_level_owner(service);
        self.retry_refusals(now);
    }

    /// Advances the timers of owned levels and sends pending messages to level owners.
    pub(super) fn tick_pools(&mut self, now: Instant) {
        for index in 0..self.pools.len() {
            let service = self.pools[index].service.clone();
            let messages = self.pools[index]
                .level_owner
                .as_mut()
                .map(|level_owner| level_owner.on_tick(now));
            self.send_to_level_members(&service, messages.unwrap_or_default());
            self.send_to_level_owner(&service);
        }
    }

    /// Applies a changed table or membership, and drops the levels that other instances now own.
    pub(super) fn refresh_pools(&mut self, now: Instant) {
        let lowest_tier_rank = self.lowest_tier_rank();
        let members = self.view.live(&self.identity.zone).to_vec();
        for index in 0..self.pools.len() {
            let service = self.pools[index].service.clone();
            if self.pools[index].lowest_tier_rank != lowest_tier_rank {
                self.reset_pool(index, lowest_tier_rank);
            }
            if self.level_owner_of(&service) != self.identity.instance {
                self.pools[index].level_owner = None;
            }
            let messages = self.pools[index]
                .level_owner
                .as_mut()
                .map(|level_owner| level_owner.set_members(now, members.clone()));
            self.send_to_level_members(&service, messages.unwrap_or_default());
        }
    }

    /// Sends the pending messages of this instance to the owner of the level of `service`.
    pub(super) fn send_to_level_owner(&mut self, service: &ServiceId) {
        let outgoing = self.pool_mut(service).level_member.take_outgoing();
        if outgoing.is_empty() {
            return;
        }
        let to = self.level_owner_of(service);
        for message in outgoing {
            let service = service.clone();
            if to == self.identity.instance {
                let from = to.clone();
                self.local_messages.push_back(LocalMessage::LevelOwner {
                    from,
                    service,
                    message,
                });
            } else {
                let message = PeerMessage::ToLevelOwner { service, message };
                self.outgoing.push(Outgoing {
                    to: to.clone(),
                    message,
                });
            }
        }
    }

    /// Replaces a pool after a change of the table's tiers: the new one admits every rank, and the
    /// waiting requests are added to it again.
    fn reset_pool(&mut self, index: usize, lowest_tier_rank: Rank) {
        let service = self.pools[index].service.clone();
        let mut pool = Pool::new(service.clone(), lowest_tier_rank);
        for waiter in self.waiters.iter().filter(|w| w.meta.service == service) {
            pool.level_member
                .add_waiting(&waiter.request, waiter.meta.rank);
        }
        self.pools[index] = pool;
    }

    /// Sends a level owner's messages to the members of its level.
    fn send_to_level_members(&mut self, service: &ServiceId, messages: Vec<LevelMessage>) {
        for LevelMessage { to, message } in messages {
            let service = service.clone();
            if to == self.identity.instance {
                self.local_messages
                    .push_back(LocalMessage::LevelMember { service, message });
            } else {
                self.outgoing.push(Outgoing {
                    to,
                    message: PeerMessage::ToLevelMember { service, message },
                });
            }
        }
    }

    /// Returns the instance of this zone that owns the level of `service`.
    fn level_owner_of(&self, service: &ServiceId) -> InstanceId {
        let key = format!("level/{service}");
        let owner = owner(&key, self.view.live(&self.identity.zone));
        owner.unwrap_or(&self.identity.instance).clone()
    }

    /// Returns the rank of the lowest tier of the table, the largest number.
    pub(super) fn lowest_tier_rank(&self) -> Rank {
        self.snapshot
            .table
            .tiers
            .iter()
            .map(|t| t.rank)
            .max()
            .unwrap_or(0)
    }

    /// Index of the pool of `service`, or where to insert it.
    fn find_pool(&self, service: &ServiceId) -> Result<usize, usize> {
        self.pools.binary_search_by(|p| p.service.cmp(service))
    }
}
