//! Cells of a zone: their size, what a change of the members moves, and where requests go.

use std::time::Duration;

use kingcupfield_decisions::cells::OwnCell;
use kingcupfield_decisions::dispatch::{Dispatcher, Job, Outcome, Replica, ResponseSize};
use kingcupfield_decisions::fanout::MAX_FULL_MESH;
use kingcupfield_decisions::id::{InstanceAddress, UpstreamId};
use tokio::time::Instant;
use yare::parameterized;

#[path = "support/plain_service.rs"]
mod plain_service;

struct Zone {
    instances: u32,
    replicas: usize,
    /// Most replicas of a service in one cell.
    max_cell_replicas: usize,
}

fn replicas(count: usize) -> Vec<UpstreamId> {
    (0..count).map(|i| format!("replica-{i}").into()).collect()
}

/// The number of instances that share a replica must not grow with the zone, or the messages about
/// its load would; and each replica must belong to a cell, or it would idle.
#[parameterized(
    small = { Zone { instances: 7, replicas: 12, max_cell_replicas: 12 } },
    full_mesh = { Zone { instances: 24, replicas: 40, max_cell_replicas: 40 } },
    two_cells = { Zone { instances: 25, replicas: 40, max_cell_replicas: 20 } },
    hundred = { Zone { instances: 100, replicas: 495, max_cell_replicas: 99 } },
    two_hundred = { Zone { instances: 200, replicas: 1000, max_cell_replicas: 112 } },
    fewer_replicas_than_cells = { Zone { instances: 200, replicas: 3, max_cell_replicas: 1 } },
)]
fn cells_are_small_and_cover_the_zone(zone: Zone) {
    let members: Vec<InstanceAddress> = (0..zone.instances).map(|i| 0x0a01_0000 + i).collect();
    let ids = replicas(zone.replicas);
    let ids: Vec<&UpstreamId> = ids.iter().collect();
    let mut covered = vec![false; ids.len()];
    for own in &members {
        let cell = OwnCell::new(*own, &members);
        let in_cell = cell.members(&members);
        assert!(in_cell.len() <= MAX_FULL_MESH && in_cell.contains(own));
        assert_eq!(cell.is_whole_zone(), members.len() <= MAX_FULL_MESH);
        assert_eq!(cell.is_whole_zone(), in_cell.len() == members.len());
        for member in &in_cell {
            assert_eq!(OwnCell::new(*member, &members), cell);
        }
        let has = cell.contains_replicas(&ids);
        let size = has.iter().filter(|h| **h).count();
        assert!(size >= 1 && size <= zone.max_cell_replicas, "{size}");
        for (covered, has) in covered.iter_mut().zip(has) {
            *covered |= has;
        }
    }
    assert!(covered.iter().all(|c| *c));
}

/// One instance of a hundred starts or ends. Few others may change their cell: each of them loses
/// what it knows of its replicas and its connections to them.
#[test]
fn few_instances_change_their_cell_when_one_ends() {
    let members: Vec<InstanceAddress> = (0..100).collect();
    let rest: Vec<InstanceAddress> = members.iter().copied().filter(|m| *m != 17).collect();
    let moved = rest
        .iter()
        .filter(|m| OwnCell::new(**m, &members) != OwnCell::new(**m, &rest))
        .count();
    assert!(moved <= 4, "{moved} moved");
}

/// An instance that does not know its zone yet uses all replicas.
#[test]
fn an_unknown_zone_is_one_cell() {
    let ids = replicas(30);
    let ids: Vec<&UpstreamId> = ids.iter().collect();
    let cell = OwnCell::new(1, &[]);
    assert!(cell.is_whole_zone());
    assert!(cell.contains_replicas(&ids).into_iter().all(|has| has));
}

fn replica(id: &UpstreamId) -> Replica {
    Replica {
        slots: 4,
        is_engine: true,
        tokens_per_event: 7,
        ..plain_service::replica(id, 1)
    }
}

fn job(id: u64, now: Instant) -> Job {
    Job {
        priority: (1, 0),
        slo_deadline: now + Duration::from_millis(1200),
        size: ResponseSize {
            prompt_tokens: 2000.0,
            expected_output_tokens: 120.0,
            max_output_tokens: None,
        },
        max_event_gap: Duration::from_millis(600),
        salt: id.wrapping_mul(0x9E37_79B9_7F4A_7C15),
        ..plain_service::job(id, now)
    }
}

/// The dispatchers of all instances of a zone, which know its members and replicas.
fn zone(now: Instant, members: &[InstanceAddress], replicas: &[UpstreamId]) -> Vec<Dispatcher> {
    let replicas: Vec<Replica> = replicas.iter().map(replica).collect();
    let dispatcher = |own: &InstanceAddress| {
        let mut dispatcher = Dispatcher::new().with_address(*own);
        dispatcher.update_replicas(now, &replicas);
        dispatcher.update_members(now, Some(members.to_vec()));
        dispatcher.update_room(now);
        dispatcher
    };
    members.iter().map(dispatcher).collect()
}

struct Herd {
    instances: u32,
    replicas: usize,
}

/// One replica is known to be the fastest, and a request arrives at each instance before any can
/// tell the others where its own went. The requests that one replica gets must not grow with the
/// zone: they would wait there while others idle.
#[parameterized(
    small = { Herd { instances: 24, replicas: 120 } },
    large = { Herd { instances: 100, replicas: 500 } },
    twice_as_large = { Herd { instances: 200, replicas: 1000 } },
)]
fn simultaneous_requests_to_one_replica_do_not_grow_with_the_zone(herd: Herd) {
    let now = Instant::now();
    let members: Vec<InstanceAddress> = (0..herd.instances).collect();
    let ids = replicas(herd.replicas);
    let mut received = vec![0; ids.len()];
    for mut dispatcher in zone(now, &members, &ids) {
        for _ in 0..10 {
            dispatcher.on_events(now, &ids[3], 1, Duration::from_millis(28));
        }
        dispatcher.enqueue(job(u64::from(herd.instances), now));
        for assignment in dispatcher.assign(now) {
            let index = ids.iter().position(|id| *id == assignment.upstream);
            received[index.expect("a replica of the zone")] += 1;
        }
    }
    assert_eq!(received.iter().sum::<u32>(), herd.instances);
    assert!(received.iter().max() <= Some(&(MAX_FULL_MESH as u32)));
}

/// All replicas look alike, as after a start, and a request arrives at each instance of a zone at
/// once. If all instances preferred the same replica, it would get one request of each.
#[test]
fn simultaneous_requests_to_equal_replicas_are_spread() {
    let now = Instant::now();
    let members: Vec<InstanceAddress> = (0..100).collect();
    let ids = replicas(500);
    let mut chosen = Vec::new();
    for (id, mut dispatcher) in zone(now, &members, &ids).into_iter().enumerate() {
        dispatcher.enqueue(job(id as u64, now));
        chosen.extend(dispatcher.assign(now).into_iter().map(|a| a.upstream));
    }
    chosen.sort_unstable();
    chosen.dedup();
    let count = chosen.len();
    assert!(count >= 70, "{count} replicas for 100 requests");
}

/// All replicas of a cell are full or leave. Its requests must reach those of other cells at once.
#[test]
fn requests_leave_a_cell_without_room() {
    let now = Instant::now();
    let members: Vec<InstanceAddress> = (0..100).collect();
    let ids = replicas(500);
    let later = now + Duration::from_secs(2);
    let dispatcher = &mut zone(now, &members, &ids)[0];
    for id in 0..400 {
        dispatcher.enqueue(job(id, later));
    }
    let assigned = dispatcher.assign(later);
    assert_eq!(assigned.len(), 400);
    assert_eq!(dispatcher.waiting_count(), 0);
    for assignment in &assigned {
        dispatcher.on_end(later, &assignment.upstream, assignment.job, Outcome::Served);
    }
    let mut cell: Vec<&UpstreamId> = assigned.iter().map(|a| &a.upstream).collect();
    cell.sort_unstable();
    cell.dedup();
    assert!(cell.len() > 60, "{} replicas were used", cell.len());
}

/// Replicas of a zone by name and incarnation.
type Published = &'static [(&'static str, u64)];

struct Release {
    before: Published,
    after: Published,
}

/// Replicas are published, replaced and removed one by one. A request must go where it would go if
/// all of them had been published at once.
#[parameterized(
    added = { Release { before: &[("b", 1)], after: &[("a", 1), ("b", 1), ("c", 1)] } },
    removed = { Release { before: &[("a", 1), ("b", 1), ("c", 1)], after: &[("a", 1), ("c", 1)] } },
    restarted = { Release { before: &[("a", 1), ("b", 1)], after: &[("a", 1), ("b", 2)] } },
    replaced = { Release { before: &[("a", 1), ("b", 1)], after: &[("c", 1), ("d", 1)] } },
)]
fn single_changes_have_the_effect_of_a_new_list(release: Release) {
    let now = Instant::now();
    let of = |(id, incarnation): &(&str, u64)| Replica {
        incarnation: *incarnation,
        ..replica(&(*id).into())
    };
    let list = |published: Published| -> Vec<Replica> { published.iter().map(of).collect() };
    let (before, after) = (list(release.before), list(release.after));
    let loaded = |replicas: &[Replica]| {
        let mut dispatcher = Dispatcher::new().with_address(1);
        dispatcher.update_replicas(now, replicas);
        dispatcher.enqueue(job(0, now));
        dispatcher.assign(now);
        dispatcher.update_room(now);
        dispatcher
    };
    let mut at_once = loaded(&before);
    at_once.update_replicas(now, &after);
    let mut one_by_one = loaded(&before);
    for gone in before.iter().filter(|b| after.iter().all(|a| a.id != b.id)) {
        one_by_one.remove_replica(now, &gone.id);
    }
    for replica in after.iter().rev() {
        one_by_one.update_replica(now, replica);
    }
    let results = [&mut at_once, &mut one_by_one].map(|dispatcher| {
        let load: Vec<(UpstreamId, u32)> = dispatcher
            .own_load()
            .map(|(id, running, _)| (id.clone(), running))
            .collect();
        for id in 1..30 {
            dispatcher.enqueue(job(id, now));
        }
        (load, dispatcher.assign(now))
    });
    assert_eq!(results[0], results[1]);
}

/// Peers report step times of thousands of replicas. An instance must report only those that it
/// measured itself: if each repeated what it had heard, digests would grow with the fleet.
#[test]
fn only_measured_step_times_are_reported() {
    let now = Instant::now();
    let ids = replicas(1000);
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(now, &ids.iter().map(replica).collect::<Vec<_>>());
    for id in &ids {
        dispatcher.on_peer_step_time(id, 5.0);
    }
    assert_eq!(dispatcher.own_step_times().count(), 0);
    dispatcher.on_events(now, &ids[7], 1, Duration::from_millis(28));
    let reported: Vec<&UpstreamId> = dispatcher.own_step_times().map(|(id, _)| id).collect();
    assert_eq!(reported, [&ids[7]]);
}
