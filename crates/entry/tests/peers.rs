//! What instances believe of each other, from messages that come, are lost or repeat.

use std::net::Ipv4Addr;
use std::time::Duration;

use kingcupfield_decisions::credit::Distance;
use kingcupfield_decisions::remote_load::{ReplicaLoad, TotalLoad};
use kingcupfield_entry::peers::{Digest, Nearness, PeerMessage, Peers};
use proptest::prelude::*;
use tokio::time::Instant;
use yare::parameterized;

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 5);

fn address(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn digest(incarnation: u64) -> Digest {
    Digest {
        incarnation,
        zone: 1,
        region: 1,
        store_age_ms: Some(100),
        zone_size: 1,
        loads: vec![ReplicaLoad {
            replica: 4,
            running: 3,
            prompt: 500,
        }],
        ..Digest::default()
    }
}

/// A zone is cut off. What its instances had running is soon no longer counted, but they keep
/// their share of the limits, as they may be spending it.
#[test]
fn a_silent_peer_keeps_its_share_but_not_its_load() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true).with_zones([(1, Distance::SameZone)]);
    peers.on_digest(now, address(1), digest(1));
    peers.on_digest(now, address(2), digest(1));
    let load = |running, prompt| TotalLoad { running, prompt };
    assert_eq!(peers.load_at(4), load(6, 1000));
    let later = now + Duration::from_secs(3);
    peers.on_digest(later, address(2), digest(1));
    assert_eq!(peers.load_at(4), load(3, 500));
    assert_eq!(peers.take_changed_loads(), [4]);
    let home = &mut peers.roster(later).zones[0];
    assert_eq!((home.size, home.members.len()), (3, 1));
    peers.remove_gone(now + Duration::from_secs(61));
    assert_eq!(peers.instance_count(), 2);
}

/// An instance starts behind a cut and hears nobody. It mints nothing, as the others may have its share,
/// unless it has no contacts at all and is alone for good, or they would have forgotten it.
#[parameterized(
    behind_a_cut = { true, Duration::from_secs(10), false },
    alone = { false, Duration::ZERO, true },
    forgotten = { true, Duration::from_secs(61), true },
)]
fn an_instance_that_hears_nobody_does_not_mint(contacts: bool, after: Duration, mints: bool) {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, contacts).with_zones([(1, Distance::SameZone)]);
    assert_eq!(peers.roster(now + after).accrues_since.is_some(), mints);
}

/// An instance started behind a cut and heard nobody for seconds. When the cut heals it hears one after the
/// other; it neither takes itself for the only one of its zone nor claims the time behind the cut. Ten
/// that did so passed a limit by the share of their zone for two seconds.
#[test]
fn an_instance_claims_nothing_of_the_time_behind_a_cut() {
    let start = Instant::now();
    let mut peers = Peers::new(start, OWN, true).with_zones([(1, Distance::SameZone)]);
    let healed = start + Duration::from_secs(10);
    assert_eq!(peers.roster(healed).accrues_since, None);
    let mut elsewhere = digest(1);
    elsewhere.zone = 2;
    peers.on_digest(healed, address(9), elsewhere);
    assert_eq!(peers.roster(healed).accrues_since, None);
    let now = healed + Duration::from_millis(500);
    let mut near = digest(1);
    near.zone_size = 2;
    peers.on_digest(healed, address(1), near);
    assert_eq!(peers.roster(now).accrues_since, Some(now));
}

/// A fleet starts at once. Each instance mints once those of its zone know as many as it does: one that
/// knows few would take the share of one among few, and all together would pass each limit.
#[test]
fn an_instance_mints_once_its_zone_knows_it() {
    let start = Instant::now();
    let mut peers = Peers::new(start, OWN, true).with_zones([(1, Distance::SameZone)]);
    let now = start + Duration::from_secs(1);
    let mut elsewhere = digest(1);
    elsewhere.zone = 2;
    peers.on_digest(start, address(9), elsewhere);
    assert_eq!(peers.roster(start).accrues_since, None);
    assert_eq!(
        peers.roster(now).accrues_since,
        None,
        "it hears nobody of its zone"
    );
    peers.on_digest(start, address(1), digest(1));
    assert_eq!(
        peers.roster(now).accrues_since,
        None,
        "the other one knows itself alone"
    );
    let mut knows = digest(1);
    knows.zone_size = 2;
    peers.on_digest(now, address(1), knows);
    assert!(peers.roster(now).accrues_since.is_some());
    assert_eq!(peers.roster(now).zone_size(), 2);
    peers.on_digest(now, address(2), digest(1));
    assert!(
        peers.roster(now).accrues_since.is_some(),
        "it goes on when another one joins"
    );
    assert_eq!(peers.roster(now).zone_size(), 3);
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
        let mut digest = digest(1);
        digest.zone = *zone;
        digest.store_age_ms = *age;
        peers.on_digest(now, address(*last), digest);
    }
    assert_eq!(
        peers.reads_store(now, 1, Duration::from_secs(5)),
        case.reads
    );
}

/// A fleet starts at once. Whoever is heard for the first time is told everything, once, so that
/// all know each other after a few round trips and no message goes back and forth for good.
#[test]
fn new_instances_are_greeted_once() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true).with_zones([(1, Distance::SameZone)]);
    let mut first = digest(1);
    first.members = vec![(1, vec![address(7), OWN])];
    assert_eq!(
        peers.on_digest(now, address(1), first).greet,
        [address(7), address(1)]
    );
    assert_eq!(peers.on_digest(now, address(1), digest(1)).greet.len(), 0);
    peers.record_greeting(now, address(7));
    assert_eq!(peers.on_digest(now, address(7), digest(1)).greet.len(), 0);
    assert_eq!(peers.all()[0].nearness(1, 1), Nearness::Zone);
    assert_eq!(peers.all()[0].nearness(2, 1), Nearness::Region);
    assert_eq!(peers.all()[0].nearness(2, 2), Nearness::Far);
}

/// An instance of another zone names this one as its first contact. It is told everything once; others of
/// that zone are heard through relays, as three hundred that greet each other do nothing else for seconds.
#[test]
fn those_of_other_zones_are_greeted_if_they_ask() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true)
        .with_zones([(7, Distance::SameZone), (1, Distance::OtherRegion)]);
    let mut asks = digest(1);
    asks.greeting = true;
    asks.members = vec![(1, vec![address(3)])];
    assert_eq!(peers.on_digest(now, address(1), asks).greet, [address(1)]);
    assert!(peers.on_digest(now, address(2), digest(1)).greet.is_empty());
    assert_eq!(
        peers.reachable(now, 1),
        [address(1), address(2), address(3)]
    );
    let later = now + Duration::from_secs(3);
    assert!(peers.reachable(later, 1).is_empty());
}

/// News of an instance come through two relays, and the older ones last. Taken up, they would show load
/// that has gone, and a replica would stand idle until the next news.
#[test]
fn older_news_of_an_instance_do_not_replace_newer_ones() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true);
    let news = |incarnation, seq, running| {
        let mut digest = digest(incarnation);
        digest.seq = seq;
        digest.loads[0].running = running;
        digest
    };
    peers.on_digest(now, address(1), news(1, 5, 2));
    peers.on_digest(now, address(1), news(1, 4, 9));
    assert_eq!(peers.load_at(4).running, 2);
    peers.on_digest(now, address(1), news(2, 1, 1));
    assert_eq!(peers.load_at(4).running, 1);
}

/// A leaving instance says so and is forgotten at once, with its load and its share.
#[test]
fn a_leaving_peer_is_forgotten() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true);
    peers.on_digest(now, address(1), digest(1));
    let mut last = digest(1);
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
        if let Ok(PeerMessage::Digest(digest, _)) = rmp_serde::from_slice(&bytes) {
            peers.on_digest(now, address(1), *digest);
        }
        prop_assert!(peers.instance_count() >= 1);
    }
}

/// One instance dies and the others go on talking. Who reads the logs later looks for the moment at
/// which it was given up; a message from another instance came first most times, and the line that
/// tells it was never written.
#[test]
fn a_message_from_one_tells_that_another_fell_silent() {
    let start = Instant::now();
    let mut peers = Peers::new(start, OWN, true);
    peers.on_digest(start, address(1), digest(1));
    peers.on_digest(start, address(2), digest(1));
    let later = start + Duration::from_secs(5);
    let heard = peers.on_digest(later, address(2), digest(1));
    assert!(heard.silent.contains(&address(1)), "{:?}", heard.silent);
    assert_eq!(peers.drop_silent(later), Vec::<Ipv4Addr>::new());
}
