//! State of another instance as seen by this one.

use std::sync::Arc;

use tokio::time::Instant;

use crate::id::{Incarnation, InstanceId, ZoneId};

use super::InstanceStatus;
use super::message::{Claim, Health};

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListState {
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
    /// Not listed.
    Absent,
}

/// Another entry instance, from the platform's list and from claims.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) id: InstanceId,
    pub(super) zone: ZoneId,
    pub(super) listed: ListState,
    pub(super) incarnation: Incarnation,
    pub(super) revision: u64,
    pub(super) health: Health,
    pub(super) leaving: bool,
    /// Time of the last message from the instance itself, or time at which watching it began.
    pub(super) last_heard_at: Instant,
    /// Time of the last change of `health`.
    pub(super) health_since: Instant,
}

impl Peer {
    pub(super) fn new(id: InstanceId, zone: ZoneId, now: Instant) -> Self {
        Self {
            id,
            zone,
            listed: ListState::Absent,
            incarnation: 0,
            revision: 0,
            health: Health::Live,
            leaving: false,
            last_heard_at: now,
            health_since: now,
        }
    }

    /// Status from health, claims and the list.
    pub(super) fn status(&self) -> InstanceStatus {
        match self.health {
            Health::Dead => InstanceStatus::Dead,
            _ if self.leaving || self.listed == ListState::Leaving => InstanceStatus::Leaving,
            Health::Suspected => InstanceStatus::Suspected,
            Health::Live => InstanceStatus::Live,
        }
    }

    /// Claim about the instance to pass on to others.
    pub(super) fn claim(&self) -> Claim {
        Claim {
            instance: Arc::clone(&self.id),
            zone: Arc::clone(&self.zone),
            incarnation: self.incarnation,
            revision: self.revision,
            health: self.health,
            leaving: self.leaving,
        }
    }

    /// Sets the health. Becoming live counts as a message from the instance.
    pub(super) fn set_health(&mut self, health: Health, now: Instant) {
        if health == Health::Live {
            self.last_heard_at = now;
        }
        self.health = health;
        self.health_since = now;
    }

    /// Applies a claim if it is newer than the current state; returns whether anything changed.
    ///
    /// A peer's claim that the instance is dead only makes it suspected: after a network partition
    /// heals, each side considers the other dead, and an instance whose messages still arrive here
    /// would be dropped until its refutation arrived, together with the calls that wait for
    /// it. Without a refutation it is dead [`super::DEAD_AFTER`] later.
    pub(super) fn merge_claim(&mut self, claim: &Claim, now: Instant) -> bool {
        let previous = (self.incarnation, self.revision, self.health);
        let health = claim.health.min(Health::Suspected);
        let is_newer = (claim.incarnation, claim.revision, health) > previous;
        let leaving = match claim.incarnation.cmp(&self.incarnation) {
            std::cmp::Ordering::Less => self.leaving,
            std::cmp::Ordering::Equal => self.leaving || claim.leaving,
            std::cmp::Ordering::Greater => claim.leaving,
        };
        let changed = is_newer || leaving != self.leaving;
        self.leaving = leaving;
        if is_newer {
            self.incarnation = claim.incarnation;
            self.revision = claim.revision;
            if self.health != health {
                self.set_health(health, now);
            }
        }
        changed
    }
}
