//! What instances believe of each other, from messages that come, are lost or repeat.

use std::net::Ipv4Addr;
use std::time::Duration;

use kingcupfield_decisions::elsewhere::{Load, Sum};
use kingcupfield_entry::peers::{Digest, Nearness, Peers};
use proptest::prelude::*;
use tokio::time::Instant;
use yare::parameterized;

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 5);

fn address(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn digest(incarnation: u64, spent: u64) -> Digest {
    Digest {
        incarnation,
        zone: 1,
        region: 1,
        store_age_ms: Some(100),
        spent: vec![(9, spent)],
        loads: vec![Load {
            replica: 4,
            running: 3,
            prompt: 500,
        }],
        ..Digest::default()
    }
}

struct Spending {
    /// Incarnation and total of each message.
    messages: &'static [(u64, u64)],
    /// What is new in the last of them.
    expected: u64,
}

/// Messages are lost, repeated or come from an instance that was killed and counts from nothing
/// again. Counted wrongly, an organisation would be refused below its limit or served beyond it.
#[parameterized(
    grows = { Spending { messages: &[(1, 100), (1, 150)], expected: 50 } },
    repeated = { Spending { messages: &[(1, 100), (1, 150), (1, 150)], expected: 0 } },
    one_lost = { Spending { messages: &[(1, 100), (1, 300)], expected: 200 } },
    restarted = { Spending { messages: &[(1, 100), (2, 30)], expected: 30 } },
    first_word = { Spending { messages: &[(1, 5000)], expected: 0 } },
)]
fn spending_is_counted_once(case: Spending) {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true);
    let mut last = 0;
    for (incarnation, total) in case.messages {
        let heard = peers.on_digest(now, address(1), digest(*incarnation, *total));
        last = heard.spent.iter().map(|(_, more)| more).sum();
    }
    assert_eq!(last, case.expected);
}

/// A zone is cut off. What its instances had running is soon no longer counted, but they keep
/// their share of the limits, as they may be spending it.
#[test]
fn a_silent_peer_keeps_its_share_but_not_its_load() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true);
    peers.on_digest(now, address(1), digest(1, 0));
    peers.on_digest(now, address(2), digest(1, 0));
    let load = |running, prompt| Sum { running, prompt };
    assert_eq!(peers.load_at(4), load(6, 1000));
    let later = now + Duration::from_secs(3);
    peers.on_digest(later, address(2), digest(1, 0));
    assert_eq!(peers.load_at(4), load(3, 500));
    assert_eq!(peers.take_changed_loads(), [4]);
    assert!((peers.part(later) - 2.0 / 3.0).abs() < 1e-9);
    peers.forget(now + Duration::from_secs(61));
    assert_eq!(peers.known(), 2);
}

/// An instance starts behind a cut and hears nobody. It takes the share of one among several,
/// unless it has no contacts at all and is alone for good.
#[test]
fn an_instance_that_hears_nobody_does_not_take_everything() {
    let now = Instant::now();
    assert!(Peers::new(now, OWN, true).part(now) < 0.2);
    assert!((Peers::new(now, OWN, false).part(now) - 1.0).abs() < 1e-9);
}

struct Readers {
    /// Address, zone and the time in milliseconds since the store answered it.
    others: &'static [(u8, u32, Option<u32>)],
    reads: bool,
}

/// Each call to the store is paid for, so few instances read it. When those that did are cut off
/// from the store, refused or dead, another has to take over, or all would keep old tables.
#[parameterized(
    alone = { Readers { others: &[], reads: true } },
    first_of_its_zone = { Readers { others: &[(1, 2, Some(10)), (2, 2, Some(10)), (9, 1, Some(10))], reads: true } },
    behind_two = { Readers { others: &[(1, 1, Some(10)), (2, 2, Some(10))], reads: false } },
    one_of_the_first_two = { Readers { others: &[(1, 1, Some(10))], reads: true } },
    the_others_are_refused = { Readers { others: &[(1, 1, Some(9000)), (2, 2, Some(9000))], reads: true } },
    the_others_never_read = { Readers { others: &[(1, 1, None), (2, 2, None)], reads: true } },
)]
fn few_read_the_store(case: Readers) {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true);
    for (last, zone, age) in case.others {
        let mut digest = digest(1, 0);
        digest.zone = *zone;
        digest.store_age_ms = *age;
        peers.on_digest(now, address(*last), digest);
    }
    assert_eq!(peers.reads(now, 1, Duration::from_secs(5)), case.reads);
}

/// A fleet starts at once. Whoever is heard for the first time is told everything, once, so that
/// all know each other after a few round trips and no message goes back and forth for good.
#[test]
fn new_instances_are_greeted_once() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true);
    let mut first = digest(1, 0);
    first.members = vec![address(7), OWN];
    assert_eq!(
        peers.on_digest(now, address(1), first).greet,
        [address(7), address(1)]
    );
    assert_eq!(
        peers.on_digest(now, address(1), digest(1, 0)).greet.len(),
        0
    );
    peers.on_told(now, address(7));
    assert_eq!(
        peers.on_digest(now, address(7), digest(1, 0)).greet.len(),
        0
    );
    assert_eq!(peers.all()[0].nearness(1, 1), Nearness::Zone);
    assert_eq!(peers.all()[0].nearness(2, 1), Nearness::Region);
    assert_eq!(peers.all()[0].nearness(2, 2), Nearness::Far);
}

/// A leaving instance says so and is forgotten at once, with its load and its share.
#[test]
fn a_leaving_peer_is_forgotten() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true);
    peers.on_digest(now, address(1), digest(1, 0));
    let mut last = digest(1, 0);
    last.leaving = true;
    peers.on_digest(now, address(1), last);
    assert!(peers.all().is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::with_cases(2000) })]

    /// Any datagram is a message or refused; neither ends the process.
    #[test]
    fn any_datagram_is_survived(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let now = Instant::now();
        let mut peers = Peers::new(now, OWN, true);
        if let Ok(digest) = rmp_serde::from_slice::<Digest>(&bytes) {
            peers.on_digest(now, address(1), digest);
        }
        prop_assert!(peers.known() >= 1);
    }
}

/// One instance dies and the others go on talking. Who reads the logs later looks for the moment at
/// which it was given up; a message from another instance came first most times, and the line that
/// tells it was never written.
#[test]
fn a_message_from_one_tells_that_another_fell_silent() {
    let start = Instant::now();
    let mut peers = Peers::new(start, OWN, true);
    peers.on_digest(start, address(1), digest(1, 0));
    peers.on_digest(start, address(2), digest(1, 0));
    let later = start + Duration::from_secs(5);
    let heard = peers.on_digest(later, address(2), digest(1, 0));
    assert!(heard.silent.contains(&address(1)), "{:?}", heard.silent);
    assert_eq!(peers.silence(later), Vec::<Ipv4Addr>::new());
}
