//! Replicas that have just started or recovered, in a fleet without a network.
//!
//! The load keeps the replicas busy by half unless a case says otherwise. The bounds come from the
//! callers: a request is late after 400 ms, and a replica is of use once it has most of the work of its
//! peers.

use std::time::Duration;

use kingcupfield_decisions::warm_up::{PaceReason, PaceReport, Reference, WarmUp};
use tokio::time::Instant;
use yare::parameterized;

#[path = "support/plain_service.rs"]
mod plain_service;
#[path = "support/warm_up_fleet.rs"]
mod warm_up_fleet;

use warm_up_fleet::{Fault, Fleet, Kind, Plan, Record};

/// Begin of the faults, and the usual end of a warm-up.
const FROM_MS: u64 = 10_000;
const WELL_MS: u64 = 14_000;

const SEEDS: [u64; 4] = [1, 2, 3, 4];

fn started(replica: usize, factor: f64) -> Fault {
    recovered(replica, Kind::Slow(factor), true)
}

fn recovered(replica: usize, kind: Kind, restarts: bool) -> Fault {
    Fault {
        replica,
        kind,
        from_ms: FROM_MS,
        to_ms: WELL_MS,
        restarts,
    }
}

fn two_started(factor: f64) -> Plan {
    Plan::new(&[started(0, factor), started(1, factor)])
}

/// Mean of a figure over the seeds.
fn mean<F>(plan: &Plan, figure: F) -> f64
where
    F: Fn(&Record) -> f64,
{
    let runs = SEEDS.map(|seed| figure(&Fleet::run(plan, seed, 26_000)));
    runs.iter().sum::<f64>() / runs.len() as f64
}

/// Work of the first replicas relative to the last four within two seconds from `from_ms`.
fn share(r: &Record, first: usize, from_ms: u64) -> f64 {
    let work = |i| r.work(i, from_ms, from_ms + 2000);
    let mean = |of: std::ops::Range<usize>| {
        let count = of.len() as f64;
        of.map(work).sum::<f64>() / count
    };
    mean(0..first) / mean(2..6).max(1.0)
}

struct Warming {
    change: fn(&mut Plan),
    max_late: f64,
    min_share: f64,
    /// Largest share of the time with more than one request at a replica that warms up.
    max_exceeded: f64,
}

/// Two of six replicas start and need six times as long for 4 s. Without a bound, a tenth of all
/// requests are late in that time, and both are idle long after they are well. Neither may come back if
/// messages are late or lost, instances restart, or a replica starts again in its warm-up.
#[parameterized(
    alone = { Warming { change: |_| {}, max_late: 0.08, min_share: 0.7, max_exceeded: 0.01 } },
    half_of_the_instances_restart = { Warming { change: |p| p.half_restarts_at_ms = Some(12_000), max_late: 0.08, min_share: 0.7, max_exceeded: 0.01 } },
    late_messages = { Warming { change: |p| p.digests = (400, 0.0), max_late: 0.08, min_share: 0.7, max_exceeded: 0.1 } },
    lost_messages = { Warming { change: |p| p.digests = (100, 0.3), max_late: 0.08, min_share: 0.7, max_exceeded: 0.1 } },
    crash_in_the_warm_up = { Warming { change: |p| p.faults = vec![Fault { from_ms: 8000, to_ms: FROM_MS, ..started(0, 6.0) }, started(0, 6.0), started(1, 6.0)], max_late: 0.08, min_share: 0.7, max_exceeded: 0.01 } },
)]
fn warming_replicas_get_little_and_then_their_share(case: Warming) {
    let mut plan = two_started(6.0);
    (case.change)(&mut plan);
    let late = mean(&plan, |r| r.late(FROM_MS, WELL_MS));
    let share = mean(&plan, |r| share(r, 2, WELL_MS + 2000));
    let exceeded = mean(&plan, |r| r.exceeded(0, 1, FROM_MS, WELL_MS));
    println!("late {late:.3}, share {share:.2}, exceeded {exceeded:.3}");
    assert!(late < case.max_late, "late {late}");
    assert!(share >= case.min_share, "share {share}");
    assert!(exceeded <= case.max_exceeded, "exceeded {exceeded}");
}

/// A replica that is well from its start would idle while it is bounded.
#[test]
fn a_replica_at_full_speed_loses_nothing() {
    let plan = two_started(1.0);
    let late = mean(&plan, |r| r.late(FROM_MS, WELL_MS));
    let share = mean(&plan, |r| share(r, 2, FROM_MS + 500));
    println!("late {late:.3}, share {share:.2}");
    assert!(late < 0.01, "late {late}");
    assert!(share >= 0.9, "share {share}");
}

struct Recovery {
    kind: Kind,
    max_late: f64,
}

/// The times and failures that were learned of a replica in trouble are only renewed by requests, so
/// that it would stay idle after it is well. Nobody knows at first that a replica has become slow, so a
/// tenth of the requests is late then, as without a bound.
#[parameterized(
    slow = { Recovery { kind: Kind::Slow(6.0), max_late: 0.1 } },
    failing = { Recovery { kind: Kind::Failing, max_late: 0.08 } },
    silent = { Recovery { kind: Kind::Silent, max_late: 0.08 } },
    unreachable = { Recovery { kind: Kind::Unreachable, max_late: 0.08 } },
)]
fn a_recovered_replica_gets_its_share(case: Recovery) {
    let faults = [0, 1].map(|r| recovered(r, case.kind, false));
    let plan = Plan::new(&faults);
    let late = mean(&plan, |r| r.late(FROM_MS, WELL_MS));
    let share = mean(&plan, |r| share(r, 2, WELL_MS + 2000));
    println!("late {late:.3}, share {share:.2}");
    assert!(share >= 0.7, "share {share}");
    assert!(late < case.max_late, "late {late}");
}

/// A third of the replicas is always 4.4 times slower. One that starts again must not stay bounded, as
/// its slots are needed.
#[test]
fn a_permanently_slow_replica_is_not_bounded_for_good() {
    let plan = Plan {
        always_slow: (2, 4.4),
        requests_per_s: 85.0,
        ..Plan::new(&[started(0, 1.0)])
    };
    let share = mean(&plan, |r| {
        r.work(0, 18_000, 26_000) / r.work(1, 18_000, 26_000).max(1.0)
    });
    println!("share {share:.2}");
    assert!(share >= 0.7, "share {share}");
}

struct Comparison {
    change: fn(&mut Plan),
    max_cost: f64,
}

/// With little load each trial is a large part of it, with full load no slot may stay unused, and if a
/// whole zone warms up there is no peer to compare with. In none of these may the bound cost more than
/// it saves, except for the slots that stay unused until the first response of each replica of a zone,
/// or while a slow replica has one request: they could have served 13 to 18 of 480 to 880 requests.
#[parameterized(
    little_load = { Comparison { change: |p| p.requests_per_s = 6.0, max_cost: 0.01 } },
    full_load = { Comparison { change: |p| p.requests_per_s = 110.0, max_cost: 0.02 } },
    whole_zone = { Comparison { change: |p| p.faults = (0..6).map(|r| started(r, 6.0)).collect(), max_cost: 0.03 } },
    whole_zone_at_full_speed = { Comparison { change: |p| p.faults = (0..6).map(|r| started(r, 1.0)).collect(), max_cost: 0.01 } },
)]
fn the_bound_costs_no_more_than_it_saves(case: Comparison) {
    let mut with = two_started(6.0);
    (case.change)(&mut with);
    let without = Plan {
        warm_up: false,
        ..with.clone()
    };
    let late = |plan| mean(plan, |r| r.late(FROM_MS, WELL_MS + 4000));
    let (with, without) = (late(&with), late(&without));
    println!("late {with:.3}, without a bound {without:.3}");
    assert!(with <= without + case.max_cost, "{with}, without {without}");
}

struct Ordered {
    known: PaceReport,
    report: PaceReport,
    expected: Option<u32>,
}

fn pace(bound: Option<u32>, change: u32) -> PaceReport {
    PaceReport { bound, change }
}

/// Digests overtake each other. An outdated bound would hold back a replica that is well.
#[parameterized(
    newer = { Ordered { known: pace(Some(1), 3), report: pace(None, 4), expected: None } },
    older = { Ordered { known: pace(None, 3), report: pace(Some(1), 2), expected: None } },
    tie = { Ordered { known: pace(Some(2), 3), report: pace(Some(1), 3), expected: Some(1) } },
    tie_that_is_larger = { Ordered { known: pace(Some(1), 3), report: pace(None, 3), expected: Some(1) } },
    invalid = { Ordered { known: pace(None, 3), report: pace(Some(0), 4), expected: Some(1) } },
    settled = { Ordered { known: pace(Some(1), 3), report: pace(Some(4), 4), expected: None } },
)]
fn the_newest_bound_holds(case: Ordered) {
    let now = Instant::now();
    let mut warm_up = WarmUp::new(1, &"r".into(), true);
    warm_up.on_report(now, case.known, 4);
    warm_up.on_report(now, case.report, 4);
    assert_eq!(warm_up.bound(), case.expected);
}

struct Response {
    peers_ms: Option<f64>,
    stated_percent: Option<u32>,
    times_ms: &'static [f64],
    bounds: &'static [Option<u32>],
}

/// A bound that is raised by slow responses lets a replica have requests that will be late; one that is
/// not raised by normal responses holds back a replica that is well.
#[parameterized(
    well_at_once = { Response { peers_ms: Some(50.0), stated_percent: None, times_ms: &[60.0], bounds: &[None] } },
    slow_then_well = { Response { peers_ms: Some(50.0), stated_percent: None, times_ms: &[300.0, 300.0, 60.0, 60.0], bounds: &[Some(1), Some(1), Some(2), None] } },
    states_that_it_is_slow = { Response { peers_ms: Some(50.0), stated_percent: Some(600), times_ms: &[60.0], bounds: &[Some(1)] } },
    without_peers = { Response { peers_ms: None, stated_percent: None, times_ms: &[300.0, 300.0, 300.0], bounds: &[Some(2), Some(3), None] } },
    overloaded_without_peers = { Response { peers_ms: None, stated_percent: None, times_ms: &[300.0, 300.0, 900.0], bounds: &[Some(2), Some(3), Some(1)] } },
)]
fn responses_set_the_bound(case: Response) {
    let now = Instant::now();
    let mut warm_up = WarmUp::new(1, &"r".into(), true).with_age(now, Duration::ZERO);
    warm_up.on_stated_work_time(case.stated_percent);
    let reference = Reference {
        peers_ms: case.peers_ms,
        slow_ratio: 2.0,
        slots: 4,
    };
    for (ms, bound) in case.times_ms.iter().zip(case.bounds) {
        warm_up.on_sample(now, *ms, &reference);
        assert_eq!(warm_up.bound(), *bound);
    }
    let failed = warm_up.on_trouble(now, PaceReason::Failed);
    assert!(failed.is_none_or(|c| c.bound == Some(1)));
}
