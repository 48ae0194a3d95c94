//! Relays of a zone and the receivers of updates.

use std::time::Duration;

use kingcupfield_decisions::cells::OwnCell;
use kingcupfield_decisions::fanout::{
    MAX_FULL_MESH, Relays, choose_relays, relay_by_turn, relay_of,
};
use kingcupfield_decisions::id::InstanceAddress;
use tokio::time::Instant;
use yare::parameterized;

struct Zone {
    members: u32,
    relays: usize,
}

/// A zone of any size must be served by few relays, each of which serves about a dozen instances.
#[parameterized(
    one = { Zone { members: 1, relays: 1 } },
    three = { Zone { members: 3, relays: 1 } },
    twelve = { Zone { members: 12, relays: 1 } },
    fifty = { Zone { members: 50, relays: 5 } },
    two_hundred = { Zone { members: 200, relays: 17 } },
)]
fn a_zone_has_few_relays(case: Zone) {
    let members: Vec<InstanceAddress> = (0..case.members).collect();
    let relays = choose_relays(&members);
    assert_eq!(relays.len(), case.relays);
    let served_count = |relay: &InstanceAddress| {
        let served = members
            .iter()
            .filter(|m| relay_of(**m, &relays) == Some(*relay));
        served.count()
    };
    let max_served = relays.iter().map(served_count).max();
    assert!(max_served <= Some(case.members.div_ceil(case.relays as u32) as usize * 2));
    assert!(relays.iter().all(|r| relay_of(*r, &relays) == Some(*r)));
}

/// One instance of fifty dies. Instances that it did not serve must keep their relays. If all of
/// them changed, a zone would send everything twice for a moment at each restart.
#[test]
fn few_instances_change_their_relay_when_one_dies() {
    let members: Vec<InstanceAddress> = (0..50).collect();
    let before = choose_relays(&members);
    let dead = before[0];
    let rest: Vec<InstanceAddress> = members.iter().copied().filter(|m| *m != dead).collect();
    let after = choose_relays(&rest);
    let moved = rest.iter().filter(|m| {
        let relay = relay_of(**m, &before);
        relay != Some(dead) && relay != relay_of(**m, &after)
    });
    // Instances that the new relay serves in addition to those of the dead one.
    assert!(moved.count() <= rest.len() / 4);
}

/// Without known members there is no relay.
#[test]
fn an_empty_zone_has_no_relay() {
    assert_eq!(relay_of(1, &choose_relays(&[])), None);
}

/// The relay of a zone is paused. The instances that it serves must use another one before the rest
/// of the fleet considers them silent, which is after 2.5 seconds, and must return to it once it
/// sends again.
#[test]
fn a_silent_relay_is_excluded_for_a_while() {
    let start = Instant::now();
    let members: Vec<InstanceAddress> = (0..8).collect();
    let first_relay = choose_relays(&members)[0];
    let own = members[usize::from(first_relay == 0)];
    let reachable: Vec<InstanceAddress> = members.iter().copied().filter(|m| *m != own).collect();
    let mut relays = Relays::default();
    let sent_at_start = |_| Some(start);
    assert!(
        relays
            .update(start, own, &reachable, sent_at_start)
            .is_empty()
    );
    assert_eq!(relays.relay_for(own), Some(first_relay));
    let later = start + Duration::from_millis(800);
    assert!(
        relays
            .update(later, own, &reachable, sent_at_start)
            .is_empty()
    );
    let detected = start + Duration::from_secs(1);
    assert_eq!(
        relays.update(detected, own, &reachable, sent_at_start),
        [first_relay]
    );
    assert!(
        relays
            .relay_for(own)
            .is_some_and(|relay| relay != first_relay)
    );
    assert!(!relays.contains(first_relay));
    let resumed = detected + Duration::from_millis(3100);
    relays.update(resumed, own, &reachable, |_| Some(resumed));
    assert_eq!(relays.relay_for(own), Some(first_relay));
}

/// An instance that is a relay itself receives no messages of its own. It must not exclude itself.
#[test]
fn a_relay_does_not_exclude_itself() {
    let start = Instant::now();
    let mut relays = Relays::default();
    for second in 0..5 {
        let now = start + Duration::from_secs(second);
        assert!(relays.update(now, 1, &[], |_| None).is_empty());
        assert_eq!(relays.relay_for(1), Some(1));
    }
}

/// A relay announces that it is leaving. From then on it is no relay, but it must not be reported
/// as silent, or operators would search the log for a fault that never occurred.
#[test]
fn a_relay_that_left_is_not_reported_as_silent() {
    let start = Instant::now();
    let members: Vec<InstanceAddress> = (0..8).collect();
    let first_relay = choose_relays(&members)[0];
    let own = members[usize::from(first_relay == 0)];
    let reachable: Vec<InstanceAddress> = members.iter().copied().filter(|m| *m != own).collect();
    let mut relays = Relays::default();
    relays.update(start, own, &reachable, |_| Some(start));
    let rest: Vec<InstanceAddress> = reachable
        .iter()
        .copied()
        .filter(|m| *m != first_relay)
        .collect();
    let later = start + Duration::from_secs(2);
    let silent = relays.update(later, own, &rest, |m| (m != first_relay).then_some(later));
    assert!(silent.is_empty(), "{silent:?}");
    assert!(!relays.contains(first_relay));
}

struct FullMeshCase {
    members: u32,
    /// Whether each instance sends to all others.
    full_mesh: bool,
}

/// In a small zone updates must reach each instance by exactly one path. With a second hop a free
/// slot is already taken when the update arrives, and duplicates cause duplicate work. In a large
/// zone only the cell receives all of them, and relays those that they forward.
#[parameterized(
    two = { FullMeshCase { members: 2, full_mesh: true } },
    fifteen = { FullMeshCase { members: 15, full_mesh: true } },
    largest_small = { FullMeshCase { members: MAX_FULL_MESH as u32, full_mesh: true } },
    fifty = { FullMeshCase { members: 50, full_mesh: false } },
)]
fn a_small_zone_is_a_full_mesh(case: FullMeshCase) {
    let now = Instant::now();
    let members: Vec<InstanceAddress> = (0..case.members).collect();
    for own in &members {
        let others: Vec<InstanceAddress> = members.iter().copied().filter(|m| m != own).collect();
        let cell = OwnCell::new(*own, &members).members(&members);
        let cell: Vec<InstanceAddress> = cell.into_iter().filter(|m| m != own).collect();
        let mut relays = Relays::default();
        relays.update(now, *own, &others, |_| Some(now));
        let receivers = relays.receivers(*own, &cell, true);
        assert_eq!(receivers.relay.is_none(), relays.contains(*own));
        let mut receivers_of_own: Vec<InstanceAddress> = receivers
            .neighbours
            .into_iter()
            .chain(receivers.relay)
            .collect();
        receivers_of_own.sort_unstable();
        assert_eq!(receivers_of_own == others, case.full_mesh);
        assert!(receivers_of_own.windows(2).all(|pair| pair[0] < pair[1]));
        assert!(receivers_of_own.len() <= MAX_FULL_MESH);
        let mut cell = cell;
        cell.sort_unstable();
        let unforwarded = relays.receivers(*own, &cell, false);
        assert_eq!((unforwarded.relay, unforwarded.neighbours), (None, cell));
    }
}

/// The relays of five zones send to those of a sixth. If they all chose the same two, these would
/// forward the digests of the whole fleet and saturate their links.
#[parameterized(
    small = { 24 },
    hundred = { 100 },
    two_hundred = { 200 },
    thousand = { 1000 },
)]
fn batches_from_other_zones_are_spread_over_the_relays(zone_size: u32) {
    let zone = |index: u32| -> Vec<InstanceAddress> {
        let members: Vec<InstanceAddress> = (0..zone_size).map(|i| (index << 16) + i).collect();
        choose_relays(&members)
    };
    let receivers = zone(0);
    let mut received = vec![0; receivers.len()];
    for sender in (1..6).flat_map(zone) {
        for turn in 0..2 {
            let receiver = relay_by_turn(sender, &receivers, turn);
            let index = receivers.iter().position(|r| Some(*r) == receiver);
            received[index.expect("a relay of the zone")] += 1;
        }
    }
    // Each of the five zones has as many relays, which send two batches each.
    let mean = 5 * 2;
    assert!(received.iter().all(|n| *n <= mean * 5 / 2), "{received:?}");
}
