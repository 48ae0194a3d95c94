//! What one instance knows about another.

use std::sync::Arc;

use tokio::time::Instant;

use crate::id::{Incarnation, InstanceId, ZoneId};

use super::InstanceStatus;
use super::message::{Claim, Health};

/// What the platform's list says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listed {
    /// It stands there as live.
    Live,
    /// It stands there as leaving.
    Leaving,
    /// It does not stand there.
    Absent,
}

/// Another entry instance.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) id: InstanceId,
    pub(super) zone: ZoneId,
    pub(super) listed: Listed,
    pub(super) incarnation: Incarnation,
    pub(super) word: u64,
    pub(super) health: Health,
    pub(super) leaving: bool,
    /// When it was last heard directly, or when the watch over it began.
    pub(super) heard: Instant,
    /// When its health last changed.
    pub(super) since: Instant,
}

impl Peer {
    pub(super) fn new(id: InstanceId, zone: ZoneId, now: Instant) -> Self {
        Self {
            id,
            zone,
            listed: Listed::Absent,
            incarnation: 0,
            word: 0,
            health: Health::Live,
            leaving: false,
            heard: now,
            since: now,
        }
    }

    pub(super) fn standing(&self) -> InstanceStatus {
        match self.health {
            Health::Dead => InstanceStatus::Dead,
            _ if self.leaving || self.listed == Listed::Leaving => InstanceStatus::Leaving,
            Health::Suspected => InstanceStatus::Suspected,
            Health::Live => InstanceStatus::Live,
        }
    }

    pub(super) fn claim(&self) -> Claim {
        Claim {
            instance: Arc::clone(&self.id),
            zone: Arc::clone(&self.zone),
            incarnation: self.incarnation,
            revision: self.word,
            health: self.health,
            leaving: self.leaving,
        }
    }

    pub(super) fn set_health(&mut self, health: Health, now: Instant) {
        if health == Health::Live {
            self.heard = now;
        }
        self.health = health;
        self.since = now;
    }

    /// Takes a claim over if it is newer; tells whether anything changed.
    ///
    /// A death that somebody else tells of only makes a suspect: after a healed cut each side
    /// holds the other dead, and an instance that is heard here all the time would be dropped,
    /// with the calls that wait on it, until its refutation came. Dead it is [`super::DEAD_AFTER`]
    /// later, unless it refutes.
    pub(super) fn join(&mut self, claim: &Claim, now: Instant) -> bool {
        let held = (self.incarnation, self.word, self.health);
        let health = claim.health.min(Health::Suspected);
        let newer = (claim.incarnation, claim.revision, health) > held;
        let leaving = match claim.incarnation.cmp(&self.incarnation) {
            std::cmp::Ordering::Less => self.leaving,
            std::cmp::Ordering::Equal => self.leaving || claim.leaving,
            std::cmp::Ordering::Greater => claim.leaving,
        };
        let changed = newer || leaving != self.leaving;
        self.leaving = leaving;
        if newer {
            self.incarnation = claim.incarnation;
            self.word = claim.revision;
            if self.health != health {
                self.set_health(health, now);
            }
        }
        changed
    }
}
