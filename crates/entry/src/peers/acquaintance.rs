//! Whether an instance that started has found the others, and who is in its zone.

use std::time::Duration;

use kingcupfield_decisions::credit::{Distance, Roster, Zone};
use kingcupfield_decisions::id::{Member, ShortName};
use tokio::time::Instant;

use super::{FORGOTTEN, Peer, Peers};

/// An instance that starts finds the others within this time: some messages to another region and back.
const GATHERING: Duration = Duration::from_millis(500);

/// It has found all once none was new for this long.
const SETTLED: Duration = Duration::from_millis(300);

/// The same for the others of its zone, which are told of at once.
const GATHERING_HOME: Duration = Duration::from_millis(300);

const SETTLED_HOME: Duration = Duration::from_millis(200);

/// An instance that hears another one this soon after its start has not been alone.
const MET_AT_ONCE: Duration = Duration::from_millis(1200);

/// Those of its zone know it after this time from when it heard the first one, if they hear it at all.
const ACQUAINTED: Duration = Duration::from_secs(2);

/// After this it stops to wait, as in a fleet that grows.
const GATHERED: Duration = Duration::from_secs(3);

impl Peers {
    /// The fleet as far as credit of limits goes by it.
    pub fn roster(&mut self, now: Instant) -> Roster {
        if self.mints_since.is_none() && self.are_acquainted(now) {
            self.mints_since = Some(self.first_minted(now));
        }
        Roster {
            zones: self.roster_zones(now),
            mints_since: self.mints_since,
        }
    }

    /// From when on the time of this instance counts, once it is acquainted.
    ///
    /// If all have just started, nobody has minted yet. One that was alone for long, or is introduced by
    /// one that has its share, may not claim what others had meanwhile.
    fn first_minted(&self, now: Instant) -> Instant {
        let met = self.met.unwrap_or(now);
        let alone = met.saturating_duration_since(self.started);
        if self.introduced_home || alone >= MET_AT_ONCE {
            return now;
        }
        self.started
    }

    fn roster_zones(&self, now: Instant) -> Vec<Zone> {
        let zone = |(name, distance): &(ShortName, Distance)| Zone {
            name: *name,
            distance: *distance,
            size: u32::from(*distance == Distance::Home),
            members: Vec::new(),
        };
        let mut zones: Vec<Zone> = self.zones.iter().map(zone).collect();
        let mut told = vec![0; zones.len()];
        for peer in &self.others {
            let Some(at) = zones.iter().position(|z| z.name == peer.digest.zone) else {
                continue;
            };
            zones[at].size += 1;
            if peer.is_fresh(now) {
                told[at] = u32::from(peer.digest.zone_size).max(told[at]);
                zones[at].members.push(peer.address.to_bits());
            }
        }
        for (zone, told) in zones.iter_mut().zip(told) {
            zone.size = zone.size.max(told);
        }
        zones
    }

    /// How many instances of the own zone are known, with this one and the silent ones.
    pub fn zone_size(&self) -> usize {
        let home = self.zones[0].0;
        let there = self.others.iter().filter(|p| p.digest.zone == home);
        there.count() + 1
    }

    /// The instances of the own zone that are known, with this one and the silent ones.
    pub fn zone_members(&self) -> Vec<Member> {
        let home = self.zones[0].0;
        let there = self.others.iter().filter(|p| p.digest.zone == home);
        let members = there.map(|p| p.address.to_bits());
        members.chain([self.own.to_bits()]).collect()
    }

    /// Whether this instance has found those of its zone, and they know as many as it hears there.
    ///
    /// Before that each of a fleet that starts anew would take the share of one among few. One that hears
    /// nobody may be cut off from a fleet that has its share already; after the time in which the
    /// others would have forgotten it, it is alone.
    fn are_acquainted(&mut self, now: Instant) -> bool {
        if self.live_count(now) == 1 {
            self.met = None;
            return !self.has_contacts || self.age(now) >= FORGOTTEN;
        }
        let met = *self.met.get_or_insert(now);
        let age = now.saturating_duration_since(met);
        if age >= ACQUAINTED {
            return true;
        }
        let home = self.zones[0].0;
        let there = |p: &&Peer| p.is_fresh(now) && p.digest.zone == home;
        let heard = self.others.iter().filter(there).count() + 1;
        let since = now.saturating_duration_since(self.learned_home);
        let found = age >= GATHERING_HOME && since >= SETTLED_HOME;
        // One that hears nobody of its zone has not been found yet, or is the only one there.
        if heard == 1 || !self.introduced_home && !found {
            return false;
        }
        let mut there = self.others.iter().filter(there);
        there.all(|p| usize::from(p.digest.zone_size) >= heard)
    }

    /// Whether this instance knows the others, and those of its zone know it.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.mints_since.is_some() && !self.is_gathering(now)
    }

    /// Whether this instance has not found the others yet.
    fn is_gathering(&self, now: Instant) -> bool {
        let age = self.age(now);
        let since = now.saturating_duration_since(self.learned);
        !self.introduced
            && self.has_contacts
            && age < GATHERED
            && (age < GATHERING || since < SETTLED)
    }
}
