//! The holders that send messages to the owner of a replica.

use tokio::time::Instant;

use super::{GRANT_LEASE, HOLDER_TIMEOUT};
use crate::id::{InstanceId, Sequence};

/// Maximum number of holders at one replica; the target size is 330 entry instances.
const MAX_KNOWN_HOLDERS: usize = 1024;

/// State of one holder at the owner.
#[derive(Debug, Clone)]
pub(super) struct KnownHolder {
    pub(super) holder: InstanceId,
    /// Latest sequence number that it sent.
    pub(super) last_sequence: Sequence,
    /// When that number arrived.
    pub(super) last_sequence_at: Instant,
    /// Sequence number of its latest renewal.
    last_renewal: Option<Sequence>,
}

impl KnownHolder {
    /// Whether the slots of its running requests are freed.
    pub(super) fn has_timed_out(&self, now: Instant) -> bool {
        self.last_sequence_at + HOLDER_TIMEOUT <= now
    }
}

/// The holders, sorted by instance.
#[derive(Debug, Clone, Default)]
pub(super) struct KnownHolders {
    holders: Vec<KnownHolder>,
}

impl KnownHolders {
    pub(super) fn get(&self, holder: &InstanceId) -> Option<&KnownHolder> {
        self.position(holder).ok().map(|i| &self.holders[i])
    }

    pub(super) fn remove(&mut self, holder: &InstanceId) {
        if let Ok(i) = self.position(holder) {
            self.holders.remove(i);
        }
    }

    /// Number of holders that have reported their running requests.
    pub(super) fn renewed_count(&self) -> usize {
        self.holders
            .iter()
            .filter(|known| known.last_renewal.is_some())
            .count()
    }

    /// Holders without a new sequence number for longer than any lease.
    pub(super) fn lease_expired(&self, now: Instant) -> Vec<KnownHolder> {
        let expired = self
            .holders
            .iter()
            .filter(|known| known.last_sequence_at + GRANT_LEASE <= now);
        expired.cloned().collect()
    }

    /// Records the sequence number of a reservation.
    ///
    /// An older number than the latest one is ignored: a message that arrives late and out of order
    /// would otherwise extend a lease that its holder counts from a later number.
    pub(super) fn record_sequence(&mut self, now: Instant, holder: &InstanceId, asked: Sequence) {
        match self.position(holder) {
            Ok(i) if asked > self.holders[i].last_sequence => {
                self.holders[i].last_sequence = asked;
                self.holders[i].last_sequence_at = now;
            }
            Err(i) if self.holders.len() < MAX_KNOWN_HOLDERS => {
                let known = KnownHolder {
                    holder: InstanceId::clone(holder),
                    last_sequence: asked,
                    last_sequence_at: now,
                    last_renewal: None,
                };
                self.holders.insert(i, known);
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Records a renewal; false if it is a duplicate or was overtaken by a later message.
    ///
    /// The list of running requests in such a renewal would free the slot of a request that was
    /// dispatched since.
    pub(super) fn record_renewal(
        &mut self,
        now: Instant,
        holder: &InstanceId,
        asked: Sequence,
    ) -> bool {
        self.record_sequence(now, holder, asked);
        let Ok(i) = self.position(holder) else {
            return false;
        };
        let known = &mut self.holders[i];
        let is_newer = asked >= known.last_sequence && known.last_renewal < Some(asked);
        if is_newer {
            known.last_renewal = Some(asked);
        }
        is_newer
    }

    fn position(&self, holder: &InstanceId) -> Result<usize, usize> {
        self.holders
            .binary_search_by(|known| known.holder.cmp(holder))
    }
}
