//! Discovery of the other instances after a start, and the members of the own zone.

use std::time::Duration;

use kingcupfield_decisions::credit::{Distance, FleetView, Zone};
use kingcupfield_decisions::id::{InstanceAddress, NameHash};
use tokio::time::Instant;

use super::{FORGET_TIMEOUT, Peer, Peers};

/// Minimum time for discovery of the fleet: several round trips to another region.
const MIN_DISCOVERY: Duration = Duration::from_millis(500);

/// Discovery of the fleet is complete once no instance was added for this long.
const DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Minimum time for discovery of the own zone, whose instances learn of each other at once.
const MIN_HOME_DISCOVERY: Duration = Duration::from_millis(300);

/// The same for the own zone as `DISCOVERY_QUIET_PERIOD` for the fleet.
const HOME_DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(200);

/// An instance that hears another one this soon after its start was not isolated before.
const ISOLATION_THRESHOLD: Duration = Duration::from_millis(1200);

/// The instances of its zone know this one at this time after the first message, if they can hear
/// it at all.
const HOME_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Discovery of the fleet ends after this at the latest: a growing fleet may never be quiet for
/// long enough.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);

impl Peers {
    /// The zones, their sizes and members, as needed to share the credit of limits.
    pub fn roster(&mut self, now: Instant) -> FleetView {
        if self.accruing_since.is_none() && self.is_home_discovered(now) {
            self.accruing_since = Some(self.accrual_start(now));
        }
        FleetView {
            zones: self.roster_zones(now),
            accrues_since: self.accruing_since,
        }
    }

    /// Time from which this instance accrues credit, once discovery of its zone is complete.
    ///
    /// If all have just started, nobody has accrued any yet. An instance that was isolated for
    /// long, or got its member list from one that has its share already, must not claim what others
    /// had meanwhile.
    fn accrual_start(&self, now: Instant) -> Instant {
        let first_heard = self.hearing_since.unwrap_or(now);
        let isolated = first_heard.saturating_duration_since(self.started);
        if self.got_full_home_list || isolated >= ISOLATION_THRESHOLD {
            return now;
        }
        self.started
    }

    fn roster_zones(&self, now: Instant) -> Vec<Zone> {
        let zone = |(name, distance): &(NameHash, Distance)| Zone {
            name: *name,
            distance: *distance,
            size: u32::from(*distance == Distance::SameZone),
            members: Vec::new(),
        };
        let mut zones: Vec<Zone> = self.zones.iter().map(zone).collect();
        let mut reported_sizes = vec![0; zones.len()];
        for peer in &self.others {
            let Some(index) = zones.iter().position(|z| z.name == peer.digest.zone) else {
                continue;
            };
            zones[index].size += 1;
            if peer.is_live(now) {
                reported_sizes[index] = u32::from(peer.digest.zone_size).max(reported_sizes[index]);
                zones[index].members.push(peer.address.to_bits());
            }
        }
        for (zone, reported) in zones.iter_mut().zip(reported_sizes) {
            zone.size = zone.size.max(reported);
        }
        zones
    }

    /// Number of known instances of the own zone, including this one and the silent ones.
    pub fn zone_size(&self) -> usize {
        let home = self.zones[0].0;
        let in_zone = self.others.iter().filter(|p| p.digest.zone == home);
        in_zone.count() + 1
    }

    /// The known instances of the own zone, including this one and the silent ones.
    pub fn zone_members(&self) -> Vec<InstanceAddress> {
        let home = self.zones[0].0;
        let in_zone = self.others.iter().filter(|p| p.digest.zone == home);
        let members = in_zone.map(|p| p.address.to_bits());
        members.chain([self.own.to_bits()]).collect()
    }

    /// Whether discovery of the own zone is complete: this instance has found the others there, and
    /// they know at least as many as it hears.
    ///
    /// Otherwise each instance of a fleet that starts would take a share as if there were few. An
    /// instance that hears nobody may be partitioned from a fleet that holds its share already;
    /// after the time in which the others would have forgotten it, it counts as the only one.
    fn is_home_discovered(&mut self, now: Instant) -> bool {
        if self.live_count(now) == 1 {
            self.hearing_since = None;
            return !self.has_contacts || self.age(now) >= FORGET_TIMEOUT;
        }
        let hearing_since = *self.hearing_since.get_or_insert(now);
        let hearing_for = now.saturating_duration_since(hearing_since);
        if hearing_for >= HOME_DISCOVERY_TIMEOUT {
            return true;
        }
        let home = self.zones[0].0;
        let in_zone = |p: &&Peer| p.is_live(now) && p.digest.zone == home;
        let live_in_zone = self.others.iter().filter(in_zone).count() + 1;
        let quiet = now.saturating_duration_since(self.last_added_home);
        let found = hearing_for >= MIN_HOME_DISCOVERY && quiet >= HOME_DISCOVERY_QUIET_PERIOD;
        // An instance that hears nobody of its zone has not been found yet, or is the only one
        // there.
        if live_in_zone == 1 || !self.got_full_home_list && !found {
            return false;
        }
        let mut in_zone = self.others.iter().filter(in_zone);
        in_zone.all(|p| usize::from(p.digest.zone_size) >= live_in_zone)
    }

    /// Whether discovery of the fleet and of the own zone is complete.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.accruing_since.is_some() && !self.is_discovering(now)
    }

    /// Whether discovery of the fleet is still going on.
    fn is_discovering(&self, now: Instant) -> bool {
        let age = self.age(now);
        let quiet = now.saturating_duration_since(self.last_added);
        !self.got_full_list
            && self.has_contacts
            && age < DISCOVERY_TIMEOUT
            && (age < MIN_DISCOVERY || quiet < DISCOVERY_QUIET_PERIOD)
    }
}
