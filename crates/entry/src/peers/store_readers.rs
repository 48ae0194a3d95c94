//! Which instances read the store: few, however many there are, as each call is billed.

use std::time::Duration;

use kingcupfield_decisions::id::NameHash;
use tokio::time::Instant;

use super::Peers;
use crate::node::STORE_SILENCE_TIMEOUT;

/// Number of instances of the whole fleet that read the store, also if all are in one zone.
const MIN_STORE_READERS: usize = 2;

/// Number of instances of a zone that try to read the store at once while none of them has a
/// response: the store may refuse some of them.
const STORE_CANDIDATES: usize = 4;

/// Time in which [`STORE_CANDIDATES`] doubles after [`STORE_SILENCE_TIMEOUT`].
const STORE_CANDIDATES_DOUBLING: Duration = Duration::from_millis(250);

/// Most doublings of [`STORE_CANDIDATES`], enough for any fleet.
const MAX_DOUBLINGS: u128 = 16;

/// Live instances with a lower address than this one.
#[derive(Debug, Default)]
struct LowerInstances {
    all: usize,
    /// Those with a recent response of the store.
    readers: usize,
}

impl LowerInstances {
    fn add(&mut self, is_reader: bool) {
        self.all += 1;
        self.readers += usize::from(is_reader);
    }
}

impl Peers {
    /// Whether this instance is one of the few that read the store, so that the others need not.
    ///
    /// The first instance of each zone by address reads it, and the first two of the fleet. An
    /// instance whose calls fail counts as one that does not read. Without a reader the first few
    /// of the zone and of the fleet read, however many instances there are. Only if nobody has had a
    /// response for [`STORE_SILENCE_TIMEOUT`], their number grows with time: the first ones may be refused
    /// while the store serves others.
    pub fn reads_store(&self, now: Instant, zone: NameHash, max_store_age: Duration) -> bool {
        let candidates = self.store_candidates(now);
        let mut lower_in_zone = LowerInstances::default();
        let mut lower_in_fleet = LowerInstances::default();
        for peer in self.live(now) {
            if peer.address >= self.own {
                break;
            }
            let is_reader = peer.store_age().is_some_and(|age| age <= max_store_age);
            lower_in_fleet.add(is_reader);
            if peer.digest.zone == zone {
                lower_in_zone.add(is_reader);
            }
        }
        let is_needed = |lower: &LowerInstances, readers| {
            lower.readers < readers && lower.all < candidates.max(readers)
        };
        is_needed(&lower_in_zone, 1) || is_needed(&lower_in_fleet, MIN_STORE_READERS)
    }

    /// How many instances of a zone may try to read the store while none of them has a response.
    fn store_candidates(&self, now: Instant) -> usize {
        let responded_at = self.store_responded_at.unwrap_or(self.started);
        let overdue = now
            .saturating_duration_since(responded_at)
            .saturating_sub(STORE_SILENCE_TIMEOUT);
        let doublings = overdue.as_millis() / STORE_CANDIDATES_DOUBLING.as_millis();
        STORE_CANDIDATES.saturating_mul(1 << doublings.min(MAX_DOUBLINGS))
    }
}
