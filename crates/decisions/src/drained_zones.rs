//! Availability zones that the operator wants emptied: their replicas get nothing new.
//!
//! Load pattern: a sixth of the places goes at once, and comes back at once with cold replicas. A zone
//! counts as emptied while the operator lists it, whatever is published of its replicas meanwhile. Work
//! that runs there goes on.

use tokio::time::Instant;

use crate::id::ZoneId;

/// The emptied zones, and when zones were taken into use again.
#[derive(Debug, Default)]
pub struct DrainedZones {
    /// Sorted.
    emptied: Vec<ZoneId>,
    /// Sorted by zone.
    refilled: Vec<(ZoneId, Instant)>,
}

/// What a new list of emptied zones changes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Zones that are emptied from now on.
    pub drained: Vec<ZoneId>,
    /// Zones that are in use again.
    pub restored: Vec<ZoneId>,
}

impl DrainedZones {
    /// No zone is emptied.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the zones that are to be empty now.
    pub fn update<I>(&mut self, now: Instant, zones: I) -> Change
    where
        I: IntoIterator<Item = ZoneId>,
    {
        let mut zones: Vec<ZoneId> = zones.into_iter().collect();
        zones.sort_unstable();
        zones.dedup();
        let missing = |from: &[ZoneId], of: &[ZoneId]| -> Vec<ZoneId> {
            let missing = of.iter().filter(|z| from.binary_search(z).is_err());
            missing.cloned().collect()
        };
        let change = Change {
            drained: missing(&self.emptied, &zones),
            restored: missing(&zones, &self.emptied),
        };
        self.emptied = zones;
        for zone in &change.restored {
            self.note_refilled(now, zone);
        }
        change
    }

    /// Whether the replicas of a zone get nothing new.
    pub fn contains(&self, zone: &str) -> bool {
        self.emptied.binary_search_by(|z| (**z).cmp(zone)).is_ok()
    }

    /// The emptied zones, sorted.
    pub fn all(&self) -> &[ZoneId] {
        &self.emptied
    }

    /// When a zone was taken into use again last: what its replicas kept may be gone since.
    pub fn restored_at(&self, zone: &str) -> Option<Instant> {
        let at = self.refilled.binary_search_by(|(z, _)| (**z).cmp(zone));
        at.ok().map(|at| self.refilled[at].1)
    }

    fn note_refilled(&mut self, now: Instant, zone: &ZoneId) {
        match self.refilled.binary_search_by(|(z, _)| z.cmp(zone)) {
            Ok(at) => self.refilled[at].1 = now,
            Err(at) => self.refilled.insert(at, (zone.clone(), now)),
        }
    }
}
