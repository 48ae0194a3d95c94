//! Where streams began, and which instances record it.

use std::time::Duration;

use kingcupfield_decisions::id::InstanceAddress;
use kingcupfield_decisions::software_versions::StreamOrigin;
use kingcupfield_decisions::stream_records::{
    ASKED, HOLDERS, StreamRecords, choose_holders, stream_key,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::time::Instant;
use yare::parameterized;

const V1: StreamOrigin = StreamOrigin {
    service: 7,
    version: 1,
};
const V2: StreamOrigin = StreamOrigin {
    service: 7,
    version: 2,
};

/// Streams that each case of the choice of holders looks at.
const STREAMS: usize = 2000;

/// Instances of which some are killed, and others are not known to the instance that asks.
struct Losses {
    instances: u32,
    killed_share: f64,
    unknown_share: f64,
    /// Least share of the streams of killed instances that an instance in touch has to find.
    found_share: f64,
}

/// Instances that took streams up did not find their records after many instances were killed at once.
#[parameterized(
    one_of_seven = { Losses { instances: 7, killed_share: 0.15, unknown_share: 0.0, found_share: 0.99 } },
    most_of_seven = { Losses { instances: 7, killed_share: 0.6, unknown_share: 0.0, found_share: 0.5 } },
    most_of_79 = { Losses { instances: 79, killed_share: 0.6, unknown_share: 0.0, found_share: 0.5 } },
    most_of_584 = { Losses { instances: 584, killed_share: 0.6, unknown_share: 0.0, found_share: 0.5 } },
    new_instances = { Losses { instances: 79, killed_share: 0.1, unknown_share: 0.2, found_share: 0.9 } },
)]
fn streams_of_killed_instances_are_found(losses: Losses) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut chance = |share: f64| rand::RngExt::random_bool(&mut rng, share);
    let killed: Vec<InstanceAddress> = (0..losses.instances)
        .filter(|_| chance(losses.killed_share))
        .collect();
    let unknown: Vec<InstanceAddress> = (0..losses.instances)
        .filter(|_| chance(losses.unknown_share))
        .collect();
    let origin = *killed.first().expect("an instance that was killed");
    let is_found = |n: &usize| {
        let key = stream_key(&format!("attempt-{n}"));
        let others = (0..losses.instances).filter(|i| *i != origin);
        let known = (0..losses.instances).filter(|i| !unknown.contains(i));
        let holders = choose_holders(key, others, HOLDERS);
        let asked = choose_holders(key, known, ASKED);
        holders
            .iter()
            .any(|h| asked.contains(h) && !killed.contains(h))
    };
    let found = (0..STREAMS).filter(is_found).count();
    let share = found as f64 / STREAMS as f64;
    assert!(share >= losses.found_share, "{share}");
}

/// The records of all streams went to the same few instances.
#[parameterized(
    seven = { 7 },
    large = { 584 },
)]
fn records_are_spread_evenly(instances: u32) {
    let mut counts = vec![0; instances as usize];
    for n in 0..STREAMS * 10 {
        let key = stream_key(&format!("attempt-{n}"));
        for holder in choose_holders(key, 0..instances, HOLDERS) {
            counts[holder as usize] += 1;
        }
    }
    let mean = (STREAMS * 10 * HOLDERS) as f64 / f64::from(instances);
    let most = f64::from(*counts.iter().max().expect("instances"));
    assert!(most < mean * 2.0, "{most} at one, {mean} in the mean");
}

#[test]
fn small_fleets_choose_all_members() {
    assert!(choose_holders(1, std::iter::empty(), HOLDERS).is_empty());
    assert_eq!(choose_holders(1, 5..6, HOLDERS), [5]);
    assert_eq!(choose_holders(1, 0..3, HOLDERS).len(), 3);
}

/// A late message of another instance changed where a stream had begun.
#[test]
fn a_stream_keeps_its_origin() {
    let now = Instant::now();
    let mut records = StreamRecords::new();
    records.begin(now, 1, V1);
    records.learn(now, 1, V2);
    records.begin(now, 1, V2);
    assert_eq!(records.origin(1), Some(V1));
    assert_eq!(records.len(), 1);
}

/// What becomes of a stream, and whether it is still announced and known.
struct Course {
    events: fn(&mut StreamRecords, Instant),
    is_refreshed: bool,
    is_told_if_new: bool,
    is_known_later: bool,
}

/// Streams that can't be taken up any more were kept, or broken ones were forgotten at once.
#[parameterized(
    relayed = { Course { events: |r, t| r.begin(t, 1, V1), is_refreshed: true, is_told_if_new: true, is_known_later: true } },
    broken = { Course {
        events: |r, t| { r.begin(t, 1, V1); r.on_broken(t, 1); },
        is_refreshed: false,
        is_told_if_new: true,
        is_known_later: false,
    } },
    complete = { Course {
        events: |r, t| { r.begin(t, 1, V1); r.on_complete(1); },
        is_refreshed: false,
        is_told_if_new: false,
        is_known_later: false,
    } },
    elsewhere = { Course { events: |r, t| r.learn(t, 1, V1), is_refreshed: false, is_told_if_new: false, is_known_later: false } },
    taken_up = { Course {
        events: |r, t| { r.learn(t, 1, V1); r.begin(t, 1, V1); },
        is_refreshed: true,
        is_told_if_new: true,
        is_known_later: true,
    } },
)]
fn streams_are_announced_while_they_may_be_taken_up(course: Course) {
    let now = Instant::now();
    let mut records = StreamRecords::new();
    (course.events)(&mut records, now);
    let counts = [records.own(false).count(), records.own(true).count()];
    assert_eq!(
        counts.map(|count| count == 1),
        [course.is_refreshed, course.is_told_if_new]
    );
    records.remove_older(now + Duration::from_mins(1));
    assert_eq!(records.origin(1).is_some(), course.is_known_later);
}
