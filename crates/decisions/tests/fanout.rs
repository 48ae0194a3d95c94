//! Who passes news on in a zone.

use std::time::Duration;

use kingcupfield_decisions::fanout::{MAX_FULL_MESH, Relays, choose_relays, relay_of};
use kingcupfield_decisions::id::InstanceAddress;
use tokio::time::Instant;
use yare::parameterized;

struct Zone {
    members: u32,
    relays: usize,
}

/// A zone of any size is served by few relays, each by about a dozen instances; two instances need one.
#[parameterized(
    alone = { Zone { members: 1, relays: 1 } },
    three = { Zone { members: 3, relays: 1 } },
    twelve = { Zone { members: 12, relays: 1 } },
    fifty = { Zone { members: 50, relays: 5 } },
    two_hundred = { Zone { members: 200, relays: 17 } },
)]
fn a_zone_has_few_relays(case: Zone) {
    let members: Vec<InstanceAddress> = (0..case.members).collect();
    let relays = choose_relays(&members);
    assert_eq!(relays.len(), case.relays);
    let served = |relay: &InstanceAddress| {
        let served = members
            .iter()
            .filter(|m| relay_of(**m, &relays) == Some(*relay));
        served.count()
    };
    let most = relays.iter().map(served).max();
    assert!(most <= Some(case.members.div_ceil(case.relays as u32) as usize * 2));
    assert!(relays.iter().all(|r| relay_of(*r, &relays) == Some(*r)));
}

/// One instance of fifty dies. Those that it did not serve keep their relays: if all changed them, a zone
/// would send everything twice for a moment at each restart.
#[test]
fn few_change_their_relay_when_one_leaves() {
    let members: Vec<InstanceAddress> = (0..50).collect();
    let before = choose_relays(&members);
    let dead = before[0];
    let rest: Vec<InstanceAddress> = members.iter().copied().filter(|m| *m != dead).collect();
    let after = choose_relays(&rest);
    let moved = rest.iter().filter(|m| {
        let relay = relay_of(**m, &before);
        relay != Some(dead) && relay != relay_of(**m, &after)
    });
    // Those that the new relay takes over beside the dead one's.
    assert!(moved.count() <= rest.len() / 4);
}

/// Nobody is known: there is no relay to ask.
#[test]
fn nobody_has_no_relay() {
    assert_eq!(relay_of(1, &choose_relays(&[])), None);
}

/// The relay of a zone stands still. Whoever it serves tells another one before the rest of the fleet takes
/// them for silent, which is after 2.5 seconds, and comes back to it once it sends again.
#[test]
fn a_relay_that_sends_nothing_is_passed_over_for_a_while() {
    let start = Instant::now();
    let members: Vec<InstanceAddress> = (0..8).collect();
    let first = choose_relays(&members)[0];
    let own = members[usize::from(first == 0)];
    let heard: Vec<InstanceAddress> = members.iter().copied().filter(|m| *m != own).collect();
    let mut seen = Relays::default();
    let still = |_| Some(start);
    assert!(seen.update(start, own, &heard, still).is_empty());
    assert_eq!(seen.relay_for(own), Some(first));
    let later = start + Duration::from_millis(800);
    assert!(seen.update(later, own, &heard, still).is_empty());
    let lost = start + Duration::from_secs(1);
    assert_eq!(seen.update(lost, own, &heard, still), [first]);
    assert!(seen.relay_for(own).is_some_and(|relay| relay != first));
    assert!(!seen.contains(first));
    let back = lost + Duration::from_millis(3100);
    seen.update(back, own, &heard, |_| Some(back));
    assert_eq!(seen.relay_for(own), Some(first));
}

/// An instance that is a relay itself hears nothing of its own. It does not pass itself over.
#[test]
fn a_relay_does_not_pass_itself_over() {
    let start = Instant::now();
    let mut seen = Relays::default();
    for second in 0..5 {
        let now = start + Duration::from_secs(second);
        assert!(seen.update(now, 1, &[], |_| None).is_empty());
        assert_eq!(seen.relay_for(1), Some(1));
    }
}

/// A relay says that it ends. It is no relay from then on, and not one that sends nothing: the log would send
/// who reads it after a fault that was none.
#[test]
fn a_relay_that_left_is_not_lost() {
    let start = Instant::now();
    let members: Vec<InstanceAddress> = (0..8).collect();
    let first = choose_relays(&members)[0];
    let own = members[usize::from(first == 0)];
    let heard: Vec<InstanceAddress> = members.iter().copied().filter(|m| *m != own).collect();
    let mut seen = Relays::default();
    seen.update(start, own, &heard, |_| Some(start));
    let rest: Vec<InstanceAddress> = heard.iter().copied().filter(|m| *m != first).collect();
    let later = start + Duration::from_secs(2);
    let lost = seen.update(later, own, &rest, |m| (m != first).then_some(later));
    assert!(lost.is_empty(), "{lost:?}");
    assert!(!seen.contains(first));
}

struct Told {
    members: u32,
    /// Whether each tells each.
    directly: bool,
}

/// In a small zone news reach each instance by one way, once: with two ways the place that came free is given
/// away before, and who hears twice does the work twice. A large zone is told by relays alone.
#[parameterized(
    two = { Told { members: 2, directly: true } },
    fifteen = { Told { members: 15, directly: true } },
    largest_small = { Told { members: MAX_FULL_MESH as u32, directly: true } },
    fifty = { Told { members: 50, directly: false } },
)]
fn a_small_zone_is_told_directly(case: Told) {
    let now = Instant::now();
    let members: Vec<InstanceAddress> = (0..case.members).collect();
    for own in &members {
        let others: Vec<InstanceAddress> = members.iter().copied().filter(|m| m != own).collect();
        let mut seen = Relays::default();
        seen.update(now, *own, &others, |_| Some(now));
        let receivers = seen.receivers(*own, &others);
        assert_eq!(receivers.relay.is_none(), seen.contains(*own));
        let neighbours = receivers.neighbours.clone().unwrap_or_default();
        assert_eq!(receivers.neighbours.is_some(), case.directly);
        let mut told: Vec<InstanceAddress> =
            neighbours.into_iter().chain(receivers.relay).collect();
        told.sort_unstable();
        if case.directly {
            assert_eq!(told, others);
        }
    }
}
