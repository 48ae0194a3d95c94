//! Which software version may have begun the streams that callers take up.

use std::time::Duration;

use kingcupfield_decisions::id::NameHash;
use kingcupfield_decisions::software_versions::{StreamOrigin, VersionHistory};
use tokio::time::Instant;
use yare::parameterized;

const SERVICE: NameHash = 7;
const OTHER_SERVICE: NameHash = 8;
const V1: StreamOrigin = of_version(1);
const V2: StreamOrigin = of_version(2);

/// Longer than any stream lasts.
const LONG: Duration = Duration::from_secs(61);

const fn of_version(version: NameHash) -> StreamOrigin {
    StreamOrigin {
        service: SERVICE,
        version,
    }
}

fn first_start(now: Instant) -> VersionHistory {
    VersionHistory::new(now).with_first_start()
}

/// What happens to the versions of a service, and after it how long until a caller takes a stream up.
struct Case {
    events: fn(&mut VersionHistory, Instant),
    later: Duration,
    sole_version: Option<NameHash>,
}

fn publish(history: &mut VersionHistory, now: Instant, origin: StreamOrigin) {
    history.on_replica(now, None, Some(origin));
}

fn remove(history: &mut VersionHistory, now: Instant, origin: StreamOrigin) {
    history.on_replica(now, Some(origin), None);
}

/// A stream that began at a version which is gone, or which this instance never saw, would go on at another.
#[parameterized(
    nothing_known = { Case { events: |_, _| {}, later: Duration::ZERO, sole_version: None } },
    one_version = { Case { events: |h, t| publish(h, t, V1), later: Duration::ZERO, sole_version: Some(1) } },
    two_replicas = { Case {
        events: |h, t| { publish(h, t, V1); publish(h, t, V1); remove(h, t, V1); },
        later: LONG,
        sole_version: Some(1),
    } },
    two_versions = { Case { events: |h, t| { publish(h, t, V1); publish(h, t, V2); }, later: LONG, sole_version: None } },
    replaced_just_now = { Case {
        events: |h, t| { publish(h, t, V1); publish(h, t, V2); remove(h, t, V1); },
        later: Duration::from_secs(15),
        sole_version: None,
    } },
    replaced_long_ago = { Case {
        events: |h, t| { publish(h, t, V1); publish(h, t, V2); remove(h, t, V1); },
        later: LONG,
        sole_version: Some(2),
    } },
    restarted_as_another_version = { Case {
        events: |h, t| { publish(h, t, V1); h.on_replica(t, Some(V1), Some(V2)); },
        later: Duration::from_secs(15),
        sole_version: None,
    } },
    all_gone_just_now = { Case {
        events: |h, t| { publish(h, t, V1); remove(h, t, V1); },
        later: Duration::from_secs(15),
        sole_version: Some(1),
    } },
    other_service = { Case {
        events: |h, t| { publish(h, t, V1); publish(h, t, StreamOrigin { service: OTHER_SERVICE, version: 2 }); },
        later: Duration::ZERO,
        sole_version: Some(1),
    } },
    changes_missed = { Case {
        events: |h, t| { publish(h, t, V1); h.on_missed_changes(t); },
        later: Duration::from_secs(15),
        sole_version: None,
    } },
    changes_missed_long_ago = { Case {
        events: |h, t| { publish(h, t, V1); h.on_missed_changes(t); },
        later: LONG,
        sole_version: Some(1),
    } },
    route_moved = { Case {
        events: |h, t| { publish(h, t, V1); h.on_moved_route(t, SERVICE); },
        later: Duration::from_secs(15),
        sole_version: None,
    } },
    route_moved_long_ago = { Case {
        events: |h, t| { publish(h, t, V1); h.on_moved_route(t, SERVICE); },
        later: LONG,
        sole_version: Some(1),
    } },
    long_timeouts = { Case {
        events: |h, t| {
            h.set_longest_timeout(Duration::from_secs(30));
            publish(h, t, V1);
            publish(h, t, V2);
            remove(h, t, V1);
        },
        later: LONG,
        sole_version: None,
    } },
)]
fn only_a_version_that_alone_may_have_begun_a_stream_is_named(case: Case) {
    let now = Instant::now();
    let mut history = first_start(now);
    (case.events)(&mut history, now);
    assert_eq!(
        history.sole_version(now + case.later, SERVICE),
        case.sole_version
    );
}

/// An instance that has just started named the versions that it saw, though others had come and gone before.
#[test]
fn a_restarted_instance_knows_nothing_until_another_tells_it() {
    let now = Instant::now();
    let mut restarted = VersionHistory::new(now);
    publish(&mut restarted, now, V1);
    assert_eq!(restarted.sole_version(now, SERVICE), None);
    let mut older = first_start(now);
    publish(&mut older, now, V1);
    assert!(restarted.add(now, &older.report(now)));
    assert_eq!(restarted.sole_version(now, SERVICE), Some(1));
}

/// A version that went before the restart of an instance was not in what it learned from another one.
#[test]
fn a_restarted_instance_learns_of_versions_that_are_gone() {
    let now = Instant::now();
    let mut older = first_start(now);
    publish(&mut older, now, V1);
    publish(&mut older, now, V2);
    remove(&mut older, now, V1);
    let later = now + Duration::from_secs(20);
    let mut restarted = VersionHistory::new(later);
    publish(&mut restarted, later, V2);
    assert!(restarted.add(later, &older.report(later)));
    assert_eq!(restarted.sole_version(later, SERVICE), None);
    assert_eq!(restarted.sole_version(now + LONG, SERVICE), Some(2));
}

/// Two instances that had both just started took each other's word for what neither had seen.
#[test]
fn instances_without_a_history_give_none_to_each_other() {
    let now = Instant::now();
    let mut a = VersionHistory::new(now);
    let b = VersionHistory::new(now);
    publish(&mut a, now, V1);
    assert!(!a.add(now, &b.report(now)));
    assert_eq!(a.sole_version(now, SERVICE), None);
}

/// The age of a gap in the history of another instance was lost, if the machine had started after it.
#[test]
fn a_gap_before_the_start_of_the_machine_stays_a_gap() {
    let now = Instant::now();
    let day = Duration::from_hours(24);
    let new = || {
        let mut history = VersionHistory::new(now);
        history.set_longest_timeout(day * 10);
        publish(&mut history, now, V1);
        history
    };
    let report = new().report(now + day * 20);
    let mut history = new();
    history.add(now, &report);
    assert_eq!(history.sole_version(now, SERVICE), None);
}
