//! View of an instance on the others when messages arrive late, are lost or are duplicated.

use std::net::Ipv4Addr;
use std::ops::Range;
use std::time::Duration;

use kingcupfield_decisions::credit::Distance;
use kingcupfield_decisions::digest_timing;
use kingcupfield_decisions::directory_sync::Announced;
use kingcupfield_decisions::fanout::MAX_FULL_MESH;
use kingcupfield_decisions::momentary_speed::{MomentarySpeed, WorkTime};
use kingcupfield_decisions::remote_load::{ReplicaLoad, TotalLoad};
use kingcupfield_entry::peers::{
    Digest, DigestEffects, Nearness, PeerMessage, Peers, SILENCE_TIMEOUT,
};
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

/// A zone is partitioned. The load of its instances is soon no longer counted, but they keep their
/// share of the limits, as they may be spending it.
#[test]
fn a_silent_peer_keeps_its_share_but_not_its_load() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true).with_zones([(1, Distance::SameZone)]);
    peers.on_digest(now, address(1), digest(1));
    peers.on_digest(now, address(2), digest(1));
    let load = |running, pending_prompt_tokens| TotalLoad {
        running,
        pending_prompt_tokens,
    };
    assert_eq!(peers.load_at(4), load(6, 1000));
    let later = now + Duration::from_secs(3);
    peers.on_digest(later, address(2), digest(1));
    assert_eq!(peers.load_at(4), load(3, 500));
    assert_eq!(peers.take_changed_loads(), [4]);
    let own_zone = &mut peers.fleet_view(later).zones[0];
    assert_eq!((own_zone.size, own_zone.members.len()), (3, 1));
    peers.remove_gone(now + Duration::from_secs(61));
    assert_eq!(peers.instance_count(), 2);
}

/// An instance starts behind a partition and receives no digest. It must accrue no credit, as the
/// others may hold its share, unless it has no contacts at all and is the only one for good, or the
/// others must have removed it by now.
#[parameterized(
    behind_a_partition = { true, Duration::from_secs(10), false },
    alone = { false, Duration::ZERO, true },
    removed_by_now = { true, Duration::from_secs(61), true },
)]
fn an_instance_without_peers_accrues_no_credit(has_contacts: bool, after: Duration, accrues: bool) {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, has_contacts).with_zones([(1, Distance::SameZone)]);
    assert_eq!(
        peers.fleet_view(now + after).accrues_since.is_some(),
        accrues
    );
}

/// An instance started behind a partition and received no digest for seconds. When the partition
/// heals, digests of the others arrive one by one; the instance must neither take itself for the
/// only one of its zone nor claim credit for the time behind the partition. Ten instances that did
/// so exceeded a limit by the share of their zone for two seconds.
#[test]
fn an_instance_claims_no_credit_for_the_time_behind_a_partition() {
    let start = Instant::now();
    let mut peers = Peers::new(start, OWN, true).with_zones([(1, Distance::SameZone)]);
    let healed = start + Duration::from_secs(10);
    assert_eq!(peers.fleet_view(healed).accrues_since, None);
    let mut other_zone = digest(1);
    other_zone.zone = 2;
    peers.on_digest(healed, address(9), other_zone);
    assert_eq!(peers.fleet_view(healed).accrues_since, None);
    let now = healed + Duration::from_millis(500);
    let mut same_zone = digest(1);
    same_zone.zone_size = 2;
    peers.on_digest(healed, address(1), same_zone);
    assert_eq!(peers.fleet_view(now).accrues_since, Some(now));
}

/// A fleet starts at once. An instance accrues credit only once the others of its zone know as many
/// instances as it does: one that knows few would take a share as if there were few, and all
/// together would exceed each limit.
#[test]
fn an_instance_accrues_credit_once_its_zone_knows_it() {
    let start = Instant::now();
    let mut peers = Peers::new(start, OWN, true).with_zones([(1, Distance::SameZone)]);
    let now = start + Duration::from_secs(1);
    let mut other_zone = digest(1);
    other_zone.zone = 2;
    peers.on_digest(start, address(9), other_zone);
    assert_eq!(peers.fleet_view(start).accrues_since, None);
    assert_eq!(
        peers.fleet_view(now).accrues_since,
        None,
        "it has received no digest of its zone"
    );
    peers.on_digest(start, address(1), digest(1));
    assert_eq!(
        peers.fleet_view(now).accrues_since,
        None,
        "the other one knows only itself"
    );
    let mut knows_two = digest(1);
    knows_two.zone_size = 2;
    peers.on_digest(now, address(1), knows_two);
    assert!(peers.fleet_view(now).accrues_since.is_some());
    assert_eq!(peers.fleet_view(now).zone_size(), 2);
    peers.on_digest(now, address(2), digest(1));
    assert!(
        peers.fleet_view(now).accrues_since.is_some(),
        "it goes on accruing when another one joins"
    );
    assert_eq!(peers.fleet_view(now).zone_size(), 3);
}

struct Readers {
    /// Last byte of the address, zone, and milliseconds since the last response of the store.
    others: &'static [(u8, u32, Option<u32>)],
    reads: bool,
}

/// Each call to the store is billed, so few instances read it. When those lose the store, are
/// refused or die, another has to take over, or all would keep an outdated table.
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
    for (last_byte, zone, store_age_ms) in case.others {
        let mut digest = digest(1);
        digest.zone = *zone;
        digest.store_age_ms = *store_age_ms;
        peers.on_digest(now, address(*last_byte), digest);
    }
    assert_eq!(
        peers.reads_store(now, 1, Duration::from_secs(5)),
        case.reads
    );
}

/// Zones of a fleet and of one twice and ten times its size.
const ZONE_SIZES: [usize; 5] = [7, 24, 100, 200, 1000];

/// Digests of another region arrive late in a large fleet. If they came less often than instances
/// are given up, all would count each other as silent and as live again all the time.
#[test]
fn digests_arrive_in_time_in_zones_of_any_size() {
    for zone_size in ZONE_SIZES {
        let interval = digest_timing::max_digest_interval(zone_size);
        assert!(interval < SILENCE_TIMEOUT, "{zone_size}: {interval:?}");
    }
}

/// A change of an instance's load is sent to each of its cell at once. If the receivers grew with
/// the zone, the messages of a fleet would grow with its square.
#[test]
fn receivers_of_each_change_do_not_grow_with_the_zone() {
    for zone_size in ZONE_SIZES {
        let now = Instant::now();
        let member = |i: usize| Ipv4Addr::from(0x0a00_0000 + i as u32);
        let mut peers = Peers::new(now, member(0), true).with_zones([(1, Distance::SameZone)]);
        for other in 1..zone_size {
            peers.on_digest(now, member(other), digest(1));
        }
        peers.update_cell();
        let receivers = peers.reachable_in_cell(now);
        assert_eq!(peers.is_zone_divided(), zone_size > MAX_FULL_MESH);
        assert!(receivers.len() < MAX_FULL_MESH.min(zone_size + 1));
        assert!(receivers.len() >= (zone_size - 1).min(MAX_FULL_MESH / 2 - 1));
        assert!(receivers.iter().all(|r| peers.is_in_cell(*r)));
    }
}

/// A broken message lists instances that don't exist, again and again. The list must not grow without
/// bound, and those that are known stay.
#[test]
fn the_list_of_instances_is_bounded() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true).with_zones([(1, Distance::SameZone)]);
    peers.on_digest(now, address(1), digest(1));
    let mut effects = DigestEffects::default();
    for part in 0..10_u32 {
        let mut broken = digest(1);
        let member = |i: u32| Ipv4Addr::from(0x0b00_0000 + part * 10_000 + i);
        broken.members = vec![(1, (0..10_000).map(member).collect())];
        effects = peers.on_digest(now, address(1), broken);
    }
    assert!(effects.is_list_full);
    assert!(peers.instance_count() <= 20_001);
    assert!(peers.last_datagram_at(address(1)).is_none() && peers.live_count(now) == 2);
}

/// Instances of a zone by what they report of the store, and the number of them that read it.
struct Fleet {
    instances: u8,
    /// Milliseconds since the last response of the store to each of them.
    store_age_ms: Option<u32>,
    /// Time since their start.
    after: Duration,
    readers: Range<usize>,
}

/// The store fails for all instances of a zone, or has answered none of them yet. If all of them
/// read it at once, the calls would grow with the fleet; if none did, nobody would see it return.
#[parameterized(
    small_zone_starts = { Fleet { instances: 20, store_age_ms: None, after: Duration::ZERO, readers: 2..5 } },
    large_zone_starts = { Fleet { instances: 200, store_age_ms: None, after: Duration::ZERO, readers: 2..5 } },
    small_zone_has_lost_it = { Fleet { instances: 20, store_age_ms: None, after: Duration::from_secs(4), readers: 2..5 } },
    large_zone_has_lost_it = { Fleet { instances: 200, store_age_ms: None, after: Duration::from_secs(4), readers: 2..5 } },
    all_have_responses = { Fleet { instances: 200, store_age_ms: Some(10), after: Duration::ZERO, readers: 2..3 } },
    the_first_are_refused_for_long = { Fleet { instances: 200, store_age_ms: None, after: Duration::from_secs(9), readers: 200..201 } },
)]
fn the_number_of_store_readers_does_not_grow_with_the_zone(case: Fleet) {
    let start = Instant::now();
    let now = start + case.after;
    let reads = |own: u8| {
        let mut peers = Peers::new(start, address(own), true);
        for other in (0..case.instances).filter(|other| *other != own) {
            let mut digest = digest(1);
            digest.store_age_ms = case.store_age_ms;
            peers.on_digest(now, address(other), digest);
        }
        peers.reads_store(now, 1, Duration::from_secs(5))
    };
    let readers = (0..case.instances).filter(|own| reads(*own)).count();
    assert!(case.readers.contains(&readers), "{readers} read the store");
}

/// A fleet starts at once. An instance whose first digest arrives is greeted once, so that all know
/// each other after a few round trips and no message goes back and forth forever.
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
    assert_eq!(peers.all()[0].nearness(1, 1), Nearness::SameZone);
    assert_eq!(peers.all()[0].nearness(2, 1), Nearness::SameRegion);
    assert_eq!(peers.all()[0].nearness(2, 2), Nearness::OtherRegion);
}

/// An instance of another zone has this one as a contact. It is greeted once; digests of the other
/// instances of that zone come through relays, as three hundred instances that greet each other do
/// nothing else for seconds.
#[test]
fn instances_of_other_zones_are_greeted_on_request() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true)
        .with_zones([(7, Distance::SameZone), (1, Distance::OtherRegion)]);
    let mut greeting = digest(1);
    greeting.greeting = true;
    greeting.members = vec![(1, vec![address(3)])];
    assert_eq!(
        peers.on_digest(now, address(1), greeting).greet,
        [address(1)]
    );
    assert!(peers.on_digest(now, address(2), digest(1)).greet.is_empty());
    assert_eq!(
        peers.reachable(now, 1),
        [address(1), address(2), address(3)]
    );
    let later = now + Duration::from_secs(3);
    assert!(peers.reachable(later, 1).is_empty());
}

/// Digests of an instance arrive through two relays, an older one last. If it were applied, it
/// would show load that is gone, and a replica would stay idle until the next digest.
#[test]
fn older_digests_of_an_instance_do_not_replace_newer_ones() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true);
    let digest_with = |incarnation, seq, running| {
        let mut digest = digest(incarnation);
        digest.seq = seq;
        digest.loads[0].running = running;
        digest
    };
    peers.on_digest(now, address(1), digest_with(1, 5, 2));
    peers.on_digest(now, address(1), digest_with(1, 4, 9));
    assert_eq!(peers.load_at(4).running, 2);
    peers.on_digest(now, address(1), digest_with(2, 1, 1));
    assert_eq!(peers.load_at(4).running, 1);
}

/// Two relays pass on a report of a replica's speed. If the second copy were applied, it would be taken
/// for newer than a figure that this instance got in between.
#[test]
fn copies_of_a_report_of_speed_replace_no_newer_figure() {
    let start = Instant::now();
    let mut peers = Peers::new(start, OWN, true);
    let mut speed = MomentarySpeed::default();
    speed.set_half_life(Some(Duration::from_millis(250)));
    let report = |seq| Digest { seq, ..digest(1) };
    for (ms, seq, is_applied) in [(0, 5, true), (20, 5, false), (30, 4, false), (40, 6, true)] {
        let now = start + Duration::from_millis(ms);
        let effects = peers.on_digest(now, address(1), report(seq));
        assert_eq!(effects.is_applied, is_applied, "{seq} after {ms} ms");
        if effects.is_applied {
            let (percent, stated_at) = (500, now);
            speed.on_peer_figure(WorkTime { percent, stated_at });
        }
        let percent = speed.newest().map(|figure| figure.percent);
        assert_eq!(percent, Some(if is_applied { 500 } else { 100 }));
        speed.on_own_figure(now + Duration::from_millis(1), 100);
    }
    assert!(peers.on_digest(start, address(1), digest(2)).is_applied);
}

/// An instance that announces its shutdown is removed at once, with its load and its share.
#[test]
fn a_leaving_peer_is_removed() {
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

    /// Any datagram is either decoded or refused; neither ends the process.
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

/// One instance dies and the others go on sending. The log must contain the moment at which it was
/// considered silent; it did not if a message of another instance was what triggered the check.
#[test]
fn a_message_of_one_peer_reports_another_as_silent() {
    let start = Instant::now();
    let mut peers = Peers::new(start, OWN, true);
    peers.on_digest(start, address(1), digest(1));
    peers.on_digest(start, address(2), digest(1));
    let later = start + Duration::from_secs(5);
    let effects = peers.on_digest(later, address(2), digest(1));
    assert!(effects.silent.contains(&address(1)), "{:?}", effects.silent);
    assert_eq!(peers.drop_silent(later), Vec::<Ipv4Addr>::new());
}

/// Guards against instances that ask a restarted peer for entries again and again: its revision from before
/// the restart counted, although it has none of the entries yet.
#[test]
fn a_restarted_peer_counts_as_behind_until_it_says_otherwise() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true).with_zones([(1, Distance::SameZone)]);
    let with_upto = |incarnation, seq, upto| Digest {
        seq,
        upto,
        ..digest(incarnation)
    };
    let is_wanted = |announced: Announced| announced.upto > 30;
    let is_ahead = |peers: &Peers| {
        let picked = peers.pick_sync_peer(now, is_wanted, (1, 1), 0);
        picked.is_some()
    };
    peers.on_digest(now, address(1), with_upto(1, 1, 40));
    assert!(is_ahead(&peers));
    peers.on_digest(now, address(1), with_upto(2, 1, 0));
    assert!(!is_ahead(&peers));
    peers.on_digest(now, address(1), with_upto(2, 2, 41));
    assert!(is_ahead(&peers));
}

/// What an instance reports beside its state is removed when it falls silent or leaves. A report of a
/// digest that is not applied would stay for good.
#[test]
fn only_the_newest_digest_of_a_listed_instance_is_applied() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true).with_zones([(1, Distance::SameZone)]);
    let mut is_applied = |from, seq, leaving| {
        let digest = Digest {
            seq,
            leaving,
            ..digest(1)
        };
        peers.on_digest(now, from, digest).is_applied
    };
    assert!(!is_applied(OWN, 1, false));
    assert!(is_applied(address(1), 7, false));
    assert!(!is_applied(address(1), 6, false));
    assert!(is_applied(address(1), 8, false));
    assert!(!is_applied(address(1), 9, true));
    assert!(!is_applied(address(1), 10, false));
}

struct SyncCase {
    /// Zones and regions of the peers that announce the revision, by the last byte of their address.
    peers: &'static [(u8, u32, u32)],
    /// Those that failed to send it, and how many seconds ago.
    failed: &'static [(u8, u64)],
    /// Those that may be asked.
    asked: &'static [u8],
}

/// Guards against an instance that asks the same peer again and again, as the nearest one announces a change
/// and does not send it.
#[parameterized(
    nearest = { SyncCase { peers: &[(1, 1, 1), (2, 1, 1), (3, 2, 1)], failed: &[], asked: &[1, 2] } },
    one_has_failed = { SyncCase { peers: &[(1, 1, 1), (2, 1, 1), (3, 2, 1)], failed: &[(1, 0)], asked: &[2] } },
    all_of_the_zone_have_failed = { SyncCase { peers: &[(1, 1, 1), (2, 2, 1), (3, 3, 3)], failed: &[(1, 0)], asked: &[2] } },
    only_other_regions_have_not = { SyncCase { peers: &[(1, 1, 1), (2, 2, 1), (3, 3, 3)], failed: &[(1, 0), (2, 0)], asked: &[3] } },
    all_have_failed = { SyncCase { peers: &[(1, 1, 1), (3, 3, 3)], failed: &[(1, 0), (3, 0)], asked: &[1] } },
    failed_long_ago = { SyncCase { peers: &[(1, 1, 1), (3, 3, 3)], failed: &[(1, 4)], asked: &[1] } },
)]
fn a_peer_that_has_failed_to_send_changes_is_asked_last(case: SyncCase) {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    let mut peers = Peers::new(start, OWN, true).with_zones([(1, Distance::SameZone)]);
    for (last_byte, zone, region) in case.peers {
        let mut ahead = digest(1);
        (ahead.zone, ahead.region, ahead.upto) = (*zone, *region, 9);
        peers.on_digest(now, address(*last_byte), ahead);
    }
    for (last_byte, ago_s) in case.failed {
        let failed_at = now - Duration::from_secs(*ago_s);
        peers.record_sync_failure(failed_at, address(*last_byte));
    }
    let picked = |salt| {
        peers
            .pick_sync_peer(now, |announced| announced.upto > 8, (1, 1), salt)
            .map(|p| p.address)
    };
    let mut picked: Vec<Ipv4Addr> = (0..10).filter_map(picked).collect();
    picked.sort_unstable();
    picked.dedup();
    let asked: Vec<Ipv4Addr> = case.asked.iter().map(|byte| address(*byte)).collect();
    assert_eq!(picked, asked);
}

/// Guards against instances that read the store for good: what was announced by a peer that is gone, or has
/// started again with less, is not waited for.
#[test]
fn what_nobody_announces_any_more_is_not_awaited() {
    let now = Instant::now();
    let mut peers = Peers::new(now, OWN, true).with_zones([(1, Distance::SameZone)]);
    let mut ahead = digest(1);
    ahead.upto = 9;
    peers.on_digest(now, address(1), ahead.clone());
    peers.on_digest(now, address(2), ahead);
    let has_announced_above = |peers: &Peers, upto| peers.has_announced(|a| a.upto > upto);
    assert!(has_announced_above(&peers, 8) && !has_announced_above(&peers, 9));
    peers.on_digest(now, address(1), digest(2));
    assert!(has_announced_above(&peers, 8));
    peers.remove_gone(now + Duration::from_secs(61));
    assert!(!has_announced_above(&peers, 0));
}
