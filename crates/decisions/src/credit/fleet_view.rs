//! Who can be asked for credit, as one instance sees the fleet.

use std::cmp::Reverse;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{Member, ShortName};

/// How far a zone is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The instance's own zone.
    SameZone,
    /// Another zone of the region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// The instances of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Its name.
    pub name: ShortName,
    /// How far it is.
    pub distance: Distance,
    /// How many instances it has, with those that are silent now.
    pub size: u32,
    /// Those that are heard, without the instance itself.
    pub members: Vec<Member>,
}

/// The fleet as one instance sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Zones, the nearest first. The own one comes first.
    pub zones: Vec<Zone>,
    /// Since when the instance may mint; not before it and its zone know each other.
    pub accrues_since: Option<Instant>,
}

impl FleetView {
    /// Instances of the own zone, with the silent ones and this one.
    pub fn zone_size(&self) -> u32 {
        self.zones.first().map_or(1, |z| z.size)
    }

    /// Whether an instance of any zone is heard.
    pub(super) fn has(&self, member: Member) -> bool {
        let has = |z: &Zone| z.members.contains(&member);
        self.zones.iter().any(has)
    }

    /// The zone of an instance.
    pub(super) fn zone_of(&self, member: Member) -> Option<&Zone> {
        self.zones.iter().find(|z| z.members.contains(&member))
    }

    /// The keeper of an organisation, by rendezvous hashing over the instances of the own zone.
    ///
    /// Instances that disagree about it ask two of them, which is slower and not less safe.
    pub(super) fn coordinator<F>(&self, organisation: ShortName, own: Member, usable: F) -> Member
    where
        F: Fn(Member) -> bool,
    {
        let home = self.zones.first().map_or(&[][..], |z| &z.members);
        let others = home.iter().copied().filter(|m| usable(*m));
        let ranked = others.chain(self.accrues_since.map(|_| own));
        let rank = |m: &Member| xxh3_64_with_seed(&m.to_be_bytes(), u64::from(organisation));
        ranked.min_by_key(|m| Reverse(rank(m))).unwrap_or(own)
    }
}
