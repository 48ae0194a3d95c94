//! The holders that an owner hears from.

use tokio::time::Instant;

use super::{GRANT_LEASE, HOLDER_TIMEOUT};
use crate::id::{InstanceId, Sequence};

/// Holders known at one replica; the target has 330 entry instances.
const MAX_HOLDERS: usize = 1024;

/// What an owner knows of one holder.
#[derive(Debug, Clone)]
pub(super) struct Seen {
    pub(super) holder: InstanceId,
    /// Latest number that it sent.
    pub(super) asked: Sequence,
    /// When that number came.
    pub(super) heard: Instant,
    /// Number of its latest renewal.
    renewed: Option<Sequence>,
}

impl Seen {
    /// Whether its running slots are taken back.
    pub(super) fn is_lost(&self, now: Instant) -> bool {
        self.heard + HOLDER_TIMEOUT <= now
    }
}

/// The holders, sorted by name.
#[derive(Debug, Clone, Default)]
pub(super) struct SeenHolders {
    seen: Vec<Seen>,
}

impl SeenHolders {
    pub(super) fn get(&self, holder: &InstanceId) -> Option<&Seen> {
        self.position(holder).ok().map(|at| &self.seen[at])
    }

    pub(super) fn remove(&mut self, holder: &InstanceId) {
        if let Ok(at) = self.position(holder) {
            self.seen.remove(at);
        }
    }

    /// Holders that have told what runs for them.
    pub(super) fn renewed(&self) -> usize {
        self.seen
            .iter()
            .filter(|seen| seen.renewed.is_some())
            .count()
    }

    /// Holders that were silent for longer than any lease.
    pub(super) fn silent(&self, now: Instant) -> Vec<Seen> {
        let silent = self.seen.iter().filter(|s| s.heard + GRANT_LEASE <= now);
        silent.cloned().collect()
    }

    /// Notes a number that came with a reservation.
    ///
    /// An older one than known changes nothing: a message that comes late and out of order would
    /// otherwise lengthen a lease that its holder counts from a later number.
    pub(super) fn hear(&mut self, now: Instant, holder: &InstanceId, asked: Sequence) {
        match self.position(holder) {
            Ok(at) if asked > self.seen[at].asked => {
                self.seen[at].asked = asked;
                self.seen[at].heard = now;
            }
            Err(at) if self.seen.len() < MAX_HOLDERS => {
                let seen = Seen {
                    holder: InstanceId::clone(holder),
                    asked,
                    heard: now,
                    renewed: None,
                };
                self.seen.insert(at, seen);
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Notes a renewal and tells whether it is news, neither repeated nor overtaken.
    ///
    /// Its list of what runs would otherwise free the slot of a request dispatched since.
    pub(super) fn renew(&mut self, now: Instant, holder: &InstanceId, asked: Sequence) -> bool {
        self.hear(now, holder, asked);
        let Ok(at) = self.position(holder) else {
            return false;
        };
        let seen = &mut self.seen[at];
        let is_news = asked >= seen.asked && seen.renewed < Some(asked);
        if is_news {
            seen.renewed = Some(asked);
        }
        is_news
    }

    fn position(&self, holder: &InstanceId) -> Result<usize, usize> {
        self.seen.binary_search_by(|seen| seen.holder.cmp(holder))
    }
}
