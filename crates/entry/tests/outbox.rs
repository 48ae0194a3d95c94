//! The digests that a relay collects before it sends them.

use std::net::Ipv4Addr;

use kingcupfield_decisions::fair_order::with_step;
use kingcupfield_decisions::remote_load::ReplicaLoad;
use kingcupfield_entry::outbox::{DigestBatch, Outbox, datagrams};
use kingcupfield_entry::peers::{Digest, PeerMessage, ReplicaSpeedReport};
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

/// An instance changes several times before its relay sends. The relay must send only the latest
/// digest, but keep the step times and the usage, which only some digests contain.
#[test]
fn only_the_latest_digest_of_an_instance_is_sent() {
    let mut outbox = Outbox::default();
    let mut full = digest(1, 1);
    full.steps = vec![(9, 7000)];
    full.time_ms = Some(5);
    full.reports.usage = vec![(7, 250.0)];
    outbox.add_for_all_zones(address(1), full);
    outbox.add_for_all_zones(address(1), digest(2, 3));
    for batch in [
        outbox.take_own_zone(),
        outbox.take_near_zones(),
        outbox.take_far_zones(),
    ] {
        let [(from, latest)] = &batch[..] else {
            panic!("{batch:?}");
        };
        assert_eq!((*from, latest.seq, latest.loads.len()), (address(1), 2, 3));
        assert_eq!(
            (&latest.steps[..], latest.time_ms),
            (&[(9, 7000)][..], Some(5))
        );
        assert_eq!(latest.reports.usage, [(7, 250.0)]);
    }
    assert!(!outbox.has_own_zone());
}

/// Each figure of a replica's speed is in one digest. If a later digest replaced it, no other zone would
/// get it; an earlier figure must not replace a later one of the same replica. Other regions get none: they
/// would arrive too late.
#[test]
fn the_speeds_of_replaced_digests_are_sent() {
    let with_speeds = |seq, speeds: &[(u32, u16)]| {
        let mut digest = digest(seq, 1);
        let report = |(replica, percent)| ReplicaSpeedReport {
            replica,
            incarnation: 1,
            percent,
            age_ms: 3,
        };
        digest.reports.speeds = speeds.iter().copied().map(report).collect();
        digest
    };
    let mut outbox = Outbox::default();
    outbox.add_for_all_zones(address(1), with_speeds(1, &[(7, 100), (8, 100)]));
    outbox.add_for_all_zones(address(1), with_speeds(2, &[(7, 500)]));
    let batch = outbox.take_own_zone();
    let speeds = batch[0].1.reports.speeds.iter();
    let speeds: Vec<_> = speeds.map(|s| (s.replica, s.percent)).collect();
    assert_eq!(speeds, [(7, 500), (8, 100)]);
    let others = [outbox.take_near_zones(), outbox.take_far_zones()];
    assert!(
        others
            .iter()
            .all(|batch| batch[0].1.reports.speeds.is_empty())
    );
}

/// Digests of another zone must be forwarded to the own zone alone. Forwarded to a third zone, they
/// would circulate forever.
#[test]
fn digests_of_another_zone_are_sent_to_the_own_zone_alone() {
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
    /// Services with waiting requests, which have a step of usage.
    waiting: u32,
    /// Organisations whose usage is reported.
    usage: u32,
}

/// A relay of a large zone has more digests than fit into a datagram that links carry without
/// fragmentation. A fragmented datagram is lost if any of its fragments is.
#[parameterized(
    nobody = { Size { instances: 0, loads: 0, waiting: 0, usage: 0 } },
    one = { Size { instances: 1, loads: 4, waiting: 0, usage: 0 } },
    a_dozen = { Size { instances: 12, loads: 4, waiting: 0, usage: 0 } },
    fifty = { Size { instances: 50, loads: 8, waiting: 0, usage: 0 } },
    fifty_with_waiting_requests = { Size { instances: 50, loads: 0, waiting: 26, usage: 0 } },
    fifty_with_usage = { Size { instances: 50, loads: 0, waiting: 0, usage: 32 } },
)]
fn digests_are_split_into_datagrams(size: Size) {
    let entry = |last| {
        let mut digest = digest(u32::from(last) + 1_000_000, size.loads);
        let service = |i| (u32::MAX - i, with_step((1, 2), 30));
        digest.waiting = (0..size.waiting).map(service).collect();
        digest.reports.usage = (0..size.usage).map(|i| (u32::MAX - i, 250.0)).collect();
        (address(last), digest)
    };
    let batch: DigestBatch = (0..size.instances).map(entry).collect();
    let datagrams = datagrams(batch.clone());
    assert!(
        !datagrams.is_empty(),
        "an empty datagram shows that the relay is alive"
    );
    let sent = datagrams.iter().flatten().map(|(from, _)| *from);
    assert!(sent.eq(batch.iter().map(|(from, _)| *from)));
    for datagram in datagrams {
        let bytes =
            rmp_serde::to_vec(&PeerMessage::Relayed(datagram)).expect("the message is encoded");
        assert!(bytes.len() <= 1400, "{} bytes", bytes.len());
    }
}
