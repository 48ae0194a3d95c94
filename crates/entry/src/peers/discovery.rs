//! Discovery of the other instances after a start, and the size and members of the zones.

use std::time::Duration;

use kingcupfield_decisions::credit::{Distance, FleetView, Zone};
use kingcupfield_decisions::id::{InstanceAddress, NameHash};
use tokio::time::Instant;

use super::{FORGET_TIMEOUT, Peer, Peers};

/// Minimum time for discovery of the fleet: several round trips to another region.
const MIN_DISCOVERY: Duration = Duration::from_millis(500);

/// Discovery of the fleet is complete once no instance was added for this long.
const DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Minimum time from the first digest for discovery of the own zone, whose instances send each other
/// greetings at once.
const MIN_ZONE_DISCOVERY: Duration = Duration::from_millis(300);

/// Discovery of the own zone is complete once no instance was added to it for this long.
const ZONE_DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(200);

/// An instance that receives its first digest within this time after its start was not isolated.
const ISOLATION_THRESHOLD: Duration = Duration::from_millis(1200);

/// Discovery of the own zone ends this long after the first digest: the other instances have added
/// this one by then, if its messages arrive at all.
const ZONE_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Discovery of the fleet ends after this at the latest: a growing fleet may never be quiet for
/// long enough.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);

impl Peers {
    /// The zones, their sizes and members, as needed to share the credit of limits.
    pub fn fleet_view(&mut self, now: Instant) -> FleetView {
        if self.accruing_since.is_none() && self.is_zone_discovered(now) {
            self.accruing_since = Some(self.accrual_start(now));
        }
        FleetView {
            zones: self.zone_views(now),
            accrues_since: self.accruing_since,
        }
    }

    /// Time from which this instance accrues credit, once discovery of its zone is complete.
    ///
    /// If all instances have just started, none has accrued credit yet, and the time since the start
    /// counts. An instance that was isolated for long, or got its member list from one that has its
    /// share already, must not accrue credit for a time for which the others have accrued it.
    fn accrual_start(&self, now: Instant) -> Instant {
        let first_digest_at = self.connected_since.unwrap_or(now);
        let isolated_for = first_digest_at.saturating_duration_since(self.started);
        if self.got_full_list_in_zone || isolated_for >= ISOLATION_THRESHOLD {
            return now;
        }
        self.started
    }

    /// The zones of the deployment with their live members. The size of a zone is the number of its
    /// known instances, or the largest size that a live member reports, if that is larger.
    fn zone_views(&self, now: Instant) -> Vec<Zone> {
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
        let own_zone = self.zones[0].0;
        let in_zone = self.others.iter().filter(|p| p.digest.zone == own_zone);
        in_zone.count() + 1
    }

    /// The known instances of the own zone, including this one and the silent ones.
    pub fn zone_members(&self) -> Vec<InstanceAddress> {
        let own_zone = self.zones[0].0;
        let in_zone = self.others.iter().filter(|p| p.digest.zone == own_zone);
        let members = in_zone.map(|p| p.address.to_bits());
        members.chain([self.own.to_bits()]).collect()
    }

    /// Whether discovery of the own zone is complete: this instance has found the others there, and
    /// each of them knows at least as many instances of the zone as are live here.
    ///
    /// Otherwise each instance of a fleet that starts would claim the credit share of a small fleet. An
    /// instance that receives no digest may be partitioned from a fleet that holds its share
    /// already; after the time in which the others would have removed it, it counts as the only
    /// one.
    fn is_zone_discovered(&mut self, now: Instant) -> bool {
        if self.live_count(now) == 1 {
            self.connected_since = None;
            return !self.has_contacts || self.uptime(now) >= FORGET_TIMEOUT;
        }
        let connected_since = *self.connected_since.get_or_insert(now);
        let connected_for = now.saturating_duration_since(connected_since);
        if connected_for >= ZONE_DISCOVERY_TIMEOUT {
            return true;
        }
        let own_zone = self.zones[0].0;
        let in_zone = |p: &&Peer| p.is_live(now) && p.digest.zone == own_zone;
        let live_in_zone = self.others.iter().filter(in_zone).count() + 1;
        let quiet_for = now.saturating_duration_since(self.last_added_in_zone);
        let found = connected_for >= MIN_ZONE_DISCOVERY && quiet_for >= ZONE_DISCOVERY_QUIET_PERIOD;
        // Without a live instance of the own zone, this one has not been found yet, or is the only
        // one there.
        if live_in_zone == 1 || !self.got_full_list_in_zone && !found {
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
        let uptime = self.uptime(now);
        let quiet_for = now.saturating_duration_since(self.last_added);
        !self.got_full_list
            && self.has_contacts
            && uptime < DISCOVERY_TIMEOUT
            && (uptime < MIN_DISCOVERY || quiet_for < DISCOVERY_QUIET_PERIOD)
    }
}
