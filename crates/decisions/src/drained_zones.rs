//! Availability zones that the operator has drained: their replicas receive no new requests.
//!
//! Load pattern: a sixth of all slots disappears at once, and comes back at once with cold
//! replicas. A zone is drained while the operator lists it, whatever its replicas publish
//! meanwhile. Requests that run there continue.

use tokio::time::Instant;

use crate::id::ZoneId;

/// The drained zones, and the times at which zones were put back into use.
#[derive(Debug, Default)]
pub struct DrainedZones {
    /// Sorted by name.
    drained: Vec<ZoneId>,
    /// Time at which each zone was last put back into use, sorted by zone.
    restored: Vec<(ZoneId, Instant)>,
}

/// Difference between two lists of drained zones.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Zones that became drained.
    pub drained: Vec<ZoneId>,
    /// Zones that were put back into use.
    pub restored: Vec<ZoneId>,
}

impl DrainedZones {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list of drained zones and returns what changed.
    pub fn update<I>(&mut self, now: Instant, zones: I) -> Change
    where
        I: IntoIterator<Item = ZoneId>,
    {
        let mut zones: Vec<ZoneId> = zones.into_iter().collect();
        zones.sort_unstable();
        zones.dedup();
        let missing_from = |list: &[ZoneId], zones: &[ZoneId]| -> Vec<ZoneId> {
            let missing = zones.iter().filter(|z| list.binary_search(z).is_err());
            missing.cloned().collect()
        };
        let change = Change {
            drained: missing_from(&self.drained, &zones),
            restored: missing_from(&zones, &self.drained),
        };
        self.drained = zones;
        for zone in &change.restored {
            self.record_restored(now, zone);
        }
        change
    }

    /// Whether the zone is drained.
    pub fn contains(&self, zone: &str) -> bool {
        self.drained.binary_search_by(|z| (**z).cmp(zone)).is_ok()
    }

    /// All drained zones, sorted by name.
    pub fn all(&self) -> &[ZoneId] {
        &self.drained
    }

    /// Time at which the zone was last put back into use; what its replicas cached before may be
    /// lost.
    pub fn restored_at(&self, zone: &str) -> Option<Instant> {
        let i = self.restored.binary_search_by(|(z, _)| (**z).cmp(zone));
        i.ok().map(|i| self.restored[i].1)
    }

    fn record_restored(&mut self, now: Instant, zone: &ZoneId) {
        match self.restored.binary_search_by(|(z, _)| z.cmp(zone)) {
            Ok(i) => self.restored[i].1 = now,
            Err(i) => self.restored.insert(i, (zone.clone(), now)),
        }
    }
}
