//! What a relay gathers before it sends.

use std::net::Ipv4Addr;

use kingcupfield_decisions::remote_load::ReplicaLoad;
use kingcupfield_entry::outbox::{DigestBatch, Outbox, datagrams};
use kingcupfield_entry::peers::{Digest, PeerMessage};
use yare::parameterized;

fn address(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn digest(seq: u32, loads: usize) -> Digest {
    let load = |replica| ReplicaLoad {
        replica,
        running: 1,
        prompt: 500,
    };
    Digest {
        incarnation: 1,
        seq,
        loads: (0..loads as u32).map(load).collect(),
        ..Digest::default()
    }
}

/// An instance has news several times before its relay sends. The zone is told the latest once; how fast
/// replicas are, which only some news tell, is not lost between them.
#[test]
fn the_latest_news_of_an_instance_are_told_once() {
    let mut outbox = Outbox::default();
    let mut full = digest(1, 1);
    full.steps = vec![(9, 7000)];
    full.time_ms = Some(5);
    outbox.add_for_all_zones(address(1), full);
    outbox.add_for_all_zones(address(1), digest(2, 3));
    for gathered in [
        outbox.take_own_zone(),
        outbox.take_near_zones(),
        outbox.take_far_zones(),
    ] {
        let [(from, news)] = &gathered[..] else {
            panic!("{gathered:?}");
        };
        assert_eq!((*from, news.seq, news.loads.len()), (address(1), 2, 3));
        assert_eq!((&news.steps[..], news.time_ms), (&[(9, 7000)][..], Some(5)));
    }
    assert!(!outbox.has_own_zone());
}

/// News of another zone are for this one alone. Sent on to a third zone, they would go round for good.
#[test]
fn news_of_another_zone_stay_in_this_one() {
    let mut outbox = Outbox::default();
    outbox.add_for_own_zone(address(1), digest(1, 1));
    assert!(outbox.has_own_zone());
    assert_eq!(
        outbox.take_near_zones().len() + outbox.take_far_zones().len(),
        0
    );
    assert_eq!(outbox.take_own_zone().len(), 1);
}

struct Size {
    instances: u8,
    loads: usize,
}

/// A relay of a large zone has more news than a datagram holds that links pass whole. In pieces, each of
/// them would be lost with any of its pieces.
#[parameterized(
    nobody = { Size { instances: 0, loads: 0 } },
    one = { Size { instances: 1, loads: 4 } },
    a_dozen = { Size { instances: 12, loads: 4 } },
    fifty = { Size { instances: 50, loads: 8 } },
)]
fn news_are_divided_into_datagrams(size: Size) {
    let news = |at| (address(at), digest(u32::from(at) + 1_000_000, size.loads));
    let gathered: DigestBatch = (0..size.instances).map(news).collect();
    let datagrams = datagrams(gathered.clone());
    assert!(
        !datagrams.is_empty(),
        "one without news tells that a relay lives"
    );
    let told = datagrams.iter().flatten().map(|(from, _)| *from);
    assert!(told.eq(gathered.iter().map(|(from, _)| *from)));
    for datagram in datagrams {
        let bytes = rmp_serde::to_vec(&PeerMessage::Relayed(datagram)).expect("it is encoded");
        assert!(bytes.len() <= 1400, "{} bytes", bytes.len());
    }
}
