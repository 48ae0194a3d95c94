//! The instances that can be asked for credit, as one instance sees the fleet.

use std::cmp::Reverse;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{InstanceAddress, NameHash};

/// Distance of a zone from this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The zone of this instance.
    SameZone,
    /// Another zone of the same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// The instances of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Hash of the name of the zone.
    pub name: NameHash,
    /// Distance of the zone from this instance.
    pub distance: Distance,
    /// Number of instances in the zone, including unreachable ones.
    pub size: u32,
    /// Reachable instances of the zone, without this one.
    pub members: Vec<InstanceAddress>,
}

/// The fleet as one instance sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Zones ordered by distance; the first one is the zone of this instance.
    pub zones: Vec<Zone>,
    /// Time since which this instance accrues credit; not before it and the other instances of its
    /// zone have discovered each other.
    pub accrues_since: Option<Instant>,
}

impl FleetView {
    /// Number of instances in the own zone, including unreachable ones and this one.
    pub fn zone_size(&self) -> u32 {
        self.zones.first().map_or(1, |z| z.size)
    }

    /// Whether `member` is a reachable instance of any zone.
    pub(super) fn is_reachable(&self, member: InstanceAddress) -> bool {
        let has_member = |z: &Zone| z.members.contains(&member);
        self.zones.iter().any(has_member)
    }

    /// The zone of a reachable instance.
    pub(super) fn zone_of(&self, member: InstanceAddress) -> Option<&Zone> {
        self.zones.iter().find(|z| z.members.contains(&member))
    }

    /// Selects the credit coordinator of `organisation` among the instances of the own zone that
    /// are `usable`, by rendezvous hashing.
    ///
    /// Instances that disagree about the coordinator ask different ones, which is slower but
    /// equally safe.
    pub(super) fn coordinator<F>(
        &self,
        organisation: NameHash,
        own: InstanceAddress,
        usable: F,
    ) -> InstanceAddress
    where
        F: Fn(InstanceAddress) -> bool,
    {
        let home = self.zones.first().map_or(&[][..], |z| &z.members);
        let others = home.iter().copied().filter(|m| usable(*m));
        let ranked = others.chain(self.accrues_since.map(|_| own));
        let rank =
            |m: &InstanceAddress| xxh3_64_with_seed(&m.to_be_bytes(), u64::from(organisation));
        ranked.min_by_key(|m| Reverse(rank(m))).unwrap_or(own)
    }
}
