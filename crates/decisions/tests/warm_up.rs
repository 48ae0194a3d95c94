//! Replicas that have just started or recovered, in a fleet without a network.
//!
//! The load keeps the replicas busy by half unless a case says otherwise. The bounds come from the
//! callers: a request is late after 400 ms, and a replica is of use once it has most of the work of its
//! peers.

use std::time::Duration;

use kingcupfield_decisions::dispatch::{
    Competitor, Dispatcher, Job, JobId, Outcome, PriorityClass, Replica,
};
use kingcupfield_decisions::scheduling::{SchedulingOptions, WarmUpOptions};
use kingcupfield_decisions::warm_up::{
    InFlight, PaceReason, PaceReport, Reference, WarmUp, YOUNG_AGE,
};
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

const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];

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
    mean_of(plan, &SEEDS, figure)
}

fn mean_of<F>(plan: &Plan, seeds: &[u64], figure: F) -> f64
where
    F: Fn(&Record) -> f64,
{
    let runs = seeds.iter();
    let runs = runs.map(|seed| figure(&Fleet::run(plan, *seed, 26_000)));
    runs.sum::<f64>() / seeds.len() as f64
}

/// Work of a replica relative to the last four within two seconds from `from_ms`.
fn share(r: &Record, replica: usize, from_ms: u64) -> f64 {
    let work = |i| r.work(i, from_ms, from_ms + 2000);
    work(replica) / ((2..6).map(work).sum::<f64>() / 4.0).max(1.0)
}

/// The lowest share of the first two replicas, each over the seeds.
fn lowest_share(plan: &Plan, from_ms: u64) -> f64 {
    let shares = [0, 1].map(|replica| mean(plan, |r| share(r, replica, from_ms)));
    shares[0].min(shares[1])
}

/// The largest share of the time in which one of the first two replicas exceeds a bound of 1.
fn largest_exceeded(plan: &Plan) -> f64 {
    let exceeded = |replica| mean(plan, |r| r.exceeded(replica, 1, FROM_MS, WELL_MS));
    exceeded(0).max(exceeded(1))
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
    let share = lowest_share(&plan, WELL_MS + 2000);
    let exceeded = largest_exceeded(&plan);
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
    // A replica has 20 requests in 2 s, of which 6 seeds give a mean that is off by up to 0.13.
    let seeds: Vec<u64> = (1..=48).collect();
    let of = |replica| mean_of(&plan, &seeds, |r| share(r, replica, FROM_MS + 500));
    let share = of(0).min(of(1));
    println!("late {late:.3}, share {share:.2}");
    assert!(late < 0.01, "late {late}");
    assert!(share >= 0.9, "share {share}");
}

struct Recovery {
    kind: Kind,
    max_late: MaxLate,
}

enum MaxLate {
    Share(f64),
    /// As many as without the bound, and this share.
    AboveNoBound(f64),
}

/// The times and failures that were learned of a replica in trouble are only renewed by requests, so
/// that it would stay idle after it is well. Nobody knows at first that a replica has become slow, so as
/// many requests are late then as without a bound.
#[parameterized(
    slow = { Recovery { kind: Kind::Slow(6.0), max_late: MaxLate::AboveNoBound(0.01) } },
    failing = { Recovery { kind: Kind::Failing, max_late: MaxLate::Share(0.08) } },
    silent = { Recovery { kind: Kind::Silent, max_late: MaxLate::Share(0.08) } },
    unreachable = { Recovery { kind: Kind::Unreachable, max_late: MaxLate::Share(0.08) } },
)]
fn a_recovered_replica_gets_its_share(case: Recovery) {
    let faults = [0, 1].map(|r| recovered(r, case.kind, false));
    let plan = Plan::new(&faults);
    let late = mean(&plan, |r| r.late(FROM_MS, WELL_MS));
    let share = lowest_share(&plan, WELL_MS + 2000);
    let max_late = match case.max_late {
        MaxLate::Share(max) => max,
        MaxLate::AboveNoBound(max) => {
            let warm_up = false;
            let without = Plan { warm_up, ..plan };
            mean(&without, |r| r.late(FROM_MS, WELL_MS)) + max
        }
    };
    println!("late {late:.3} of {max_late:.3}, share {share:.2}");
    assert!(share >= 0.7, "share {share}");
    assert!(late < max_late, "late {late}");
}

/// A replica that is no longer young recovers, and half of the instances restart during its warm-up:
/// among them are authors of its bound, which the others would then keep for good.
#[test]
fn a_recovered_replica_gets_its_share_after_a_restart_of_instances() {
    let faults = [0, 1].map(|r| recovered(r, Kind::Slow(6.0), false));
    let plan = Plan {
        half_restarts_at_ms: Some(13_500),
        ..Plan::new(&faults)
    };
    let share = lowest_share(&plan, WELL_MS + 2000);
    println!("share {share:.2}");
    assert!(share >= 0.7, "share {share}");
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

/// Every replica is five times slower in a quarter of each 600 ms, because it shares its machine.
fn slow_in_periods() -> Vec<Fault> {
    let periods = (0..40).flat_map(|n| (0..6).map(move |r| (n, r)));
    let fault = |(n, replica): (u64, usize)| {
        let from_ms = n * 600 + replica as u64 * 100;
        Fault {
            from_ms,
            to_ms: from_ms + 150,
            ..recovered(replica, Kind::Slow(5.0), false)
        }
    };
    periods.map(fault).collect()
}

/// What may not fall may be lower by this share, according to the users.
const MAX_FALL: f64 = 0.03;

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
    full_load = { Comparison { change: |p| p.requests_per_s = 110.0, max_cost: MAX_FALL } },
    whole_zone = { Comparison { change: |p| p.faults = (0..6).map(|r| started(r, 6.0)).collect(), max_cost: MAX_FALL } },
    shared_machines = { Comparison { change: |p| (p.faults, p.requests_per_s) = (slow_in_periods(), 35.0), max_cost: 0.01 } },
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
    let mut warm_up = WarmUp::new(1, &"r".into());
    warm_up.on_report(now, case.known, 4);
    warm_up.on_report(now, case.report, 4);
    assert_eq!(warm_up.bound(), case.expected);
}

/// Seconds within which a bound without news has to end.
const MAX_UNCONFIRMED_S: u64 = 10;

/// A bound whose end nobody reports would hold back the replica for good: the designated author of the
/// bound has restarted, and the replica is no longer young.
#[test]
fn a_bound_ends_if_nobody_reports_it() {
    let now = Instant::now();
    let mut warm_up = WarmUp::new(1, &"r".into());
    warm_up.on_report(now, pace(Some(1), 1), 4);
    let later = |s| now + Duration::from_secs(s);
    for s in 0..20 {
        warm_up.on_report(later(s), pace(Some(1), 1), 4);
        warm_up.expire(later(s));
        assert_eq!(warm_up.bound(), Some(1), "reported until {s} s");
    }
    warm_up.expire(later(19 + MAX_UNCONFIRMED_S));
    assert_eq!(warm_up.bound(), None);
}

/// A replica that could not be reached once would otherwise keep its bound for good.
#[test]
fn the_bound_of_a_young_replica_ends_after_a_failure_to_connect() {
    let now = Instant::now();
    let mut warm_up = WarmUp::new(1, &"r".into()).with_age(now, Duration::ZERO);
    warm_up.on_trouble(now, PaceReason::Silent);
    warm_up.expire(now + YOUNG_AGE);
    assert_eq!(warm_up.bound(), None);
}

/// Two instances that miss the end of a bound would otherwise confirm it to each other for good.
#[test]
fn instances_behind_a_one_way_link_do_not_confirm_each_other() {
    let now = Instant::now();
    let mut author = WarmUp::new(1, &"r".into()).with_age(now, Duration::ZERO);
    let reference = Reference {
        peers_ms: Some(50.0),
        slow_ratio: 2.0,
        slots: 4,
    };
    author.on_sample(now, 300.0, &reference);
    let mut designated = WarmUp::new(2, &"r".into());
    for ms in (0..MAX_UNCONFIRMED_S * 1000).step_by(100) {
        let at = now + Duration::from_millis(ms);
        if let Some(report) = author.report(at, false) {
            designated.on_report(at, report, 4);
        }
        if let Some(report) = designated.report(at, true) {
            author.on_report(at, report, 4);
        }
        author.expire(at);
        designated.expire(at);
    }
    assert_eq!((author.bound(), designated.bound()), (None, None));
}

/// A holder that is neither author nor designated is the only one that knows the newest state if the
/// author restarts.
#[test]
fn a_holder_repeats_what_an_outdated_report_missed() {
    let now = Instant::now();
    let mut holder = WarmUp::new(1, &"r".into());
    holder.on_report(now, pace(None, 3), 4);
    assert_eq!(holder.report(now, false), None);
    let later = now + Duration::from_secs(40);
    holder.on_report(later, pace(Some(1), 2), 4);
    assert_eq!(holder.report(later, false), Some(pace(None, 3)));
}

/// The largest number of changes could not be superseded by any other.
#[test]
fn the_largest_number_of_changes_is_superseded() {
    let now = Instant::now();
    let largest = pace(Some(1), u32::MAX);
    let mut peers = [1, 2].map(|address| WarmUp::new(address, &"r".into()));
    for peer in &mut peers {
        peer.on_report(now, largest, 2);
    }
    let reference = Reference {
        peers_ms: Some(50.0),
        slow_ratio: 2.0,
        slots: 2,
    };
    peers[0].on_sample(now, 50.0, &reference);
    let report = peers[0].report(now, false);
    peers[1].on_report(now, report.expect("a report of its author"), 2);
    peers[1].on_report(now, largest, 2);
    assert_eq!(peers.map(|p| p.bound()), [None, None]);
}

/// A message has 64 entries. If they were always the same ones, the bounds of the other replicas would
/// end without a reason, or not be known.
#[test]
fn a_hundred_bounds_are_reported_in_turn() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now, 1, &[1]);
    let replicas: Vec<Replica> = (0..100)
        .map(|r| plain_service::replica(&format!("r-{r}"), 0))
        .collect();
    dispatcher.update_replicas(now, &replicas);
    for r in &replicas {
        dispatcher.on_peer_pace_report(now, &r.id, 0, pace(Some(1), 1));
    }
    let mut reported: Vec<_> = (0..3)
        .flat_map(|s| dispatcher.own_pace_reports_in_turn(now + Duration::from_secs(s), 64))
        .map(|(id, ..)| id)
        .collect();
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported.len(), 100);
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
    let mut warm_up = WarmUp::new(1, &"r".into()).with_age(now, Duration::ZERO);
    warm_up.on_stated_work_time(now, case.stated_percent);
    let reference = Reference {
        peers_ms: case.peers_ms,
        slow_ratio: 2.0,
        slots: 4,
    };
    for (ms, bound) in case.times_ms.iter().zip(case.bounds) {
        warm_up.on_sample(now, *ms, &reference);
        assert_eq!(warm_up.bound(), *bound);
    }
}

/// A settled replica that is compared with its peers at each response costs a sort of their times. One
/// that is not compared when it is well would be taken for slow for good.
#[test]
fn a_settled_replica_is_compared_only_if_it_is_faster() {
    let now = Instant::now();
    let mut warm_up = WarmUp::new(1, &"r".into());
    warm_up.on_report(now, pace(Some(4), 1), 4);
    for _ in 0..10 {
        warm_up.needs_reference(now, 300.0, 2.0);
    }
    let needed = [300.0, 280.0, 400.0, 60.0].map(|ms| warm_up.needs_reference(now, ms, 2.0));
    assert_eq!(needed, [false, false, false, true]);
}

/// The trials of replicas that are permanently slower would be late for good.
#[test]
fn a_settled_replica_is_rarely_tried() {
    let now = Instant::now();
    let mut warm_up = WarmUp::new(1, &"r".into());
    warm_up.on_report(now, pace(Some(4), 1), 4);
    warm_up.on_dispatch(now);
    let load = InFlight {
        own: 0,
        total: 0,
        free_for: Duration::from_secs(1),
        is_known_late: false,
        is_designated: true,
        is_first_stand_in: false,
    };
    let after = |s| warm_up.needs_trial(now + Duration::from_secs(s), load);
    assert_eq!([10, 59, 60].map(after), [false, false, true]);
}

/// A sample that includes no wait for a slot, compared with peers whose times do, would count as normal
/// though the replica is three times slower.
#[test]
fn peers_with_a_queue_are_compared_without_it() {
    let now = Instant::now();
    let mut d = dispatcher(now, 1, &[1]);
    let replica = |id, incarnation| Replica {
        slots: 1,
        ..plain_service::replica(id, incarnation)
    };
    d.update_replicas(now, &[replica("old", 0)]);
    for round in 0..20 {
        let at = now + Duration::from_secs(round);
        for job in [2 * round, 2 * round + 1] {
            d.enqueue(plain_service::job(job, at));
        }
        assert_eq!(d.assign(at).len(), 2);
        for (job, ms) in [(2 * round, 100), (2 * round + 1, 200)] {
            let end = at + Duration::from_millis(ms);
            d.on_end(end, &"old".into(), job, Outcome::Served);
        }
    }
    let at = now + Duration::from_secs(20);
    let start = 1_000_000 + 20_000;
    d.update_replicas(at, &[replica("old", 0), replica("young", start)]);
    d.enqueue(plain_service::job(100, at));
    assert_eq!(d.assign(at)[0].upstream, "young".into());
    let end = at + Duration::from_millis(290);
    d.on_end(end, &"young".into(), 100, Outcome::Served);
    assert_eq!(d.paces().count(), 1);
}

/// A work time that is stated once would hold back the replica for good.
#[parameterized(recent = { 999, Some(1) }, outdated = { 1000, None })]
fn a_stated_work_time_holds_for_a_second(age_ms: u64, expected: Option<u32>) {
    let now = Instant::now();
    let mut warm_up = WarmUp::new(1, &"r".into()).with_age(now, Duration::ZERO);
    warm_up.on_stated_work_time(now, Some(600));
    let reference = Reference {
        peers_ms: Some(50.0),
        slow_ratio: 2.0,
        slots: 4,
    };
    warm_up.on_sample(now + Duration::from_millis(age_ms), 60.0, &reference);
    assert_eq!(warm_up.bound(), expected);
}

/// The bound of a settled replica would be told from none in some places only.
#[test]
fn a_settled_replica_is_shown_with_its_slots() {
    let now = Instant::now();
    let mut warm_up = WarmUp::new(1, &"r".into());
    let change = warm_up.on_report(now, pace(Some(4), 1), 4);
    assert_eq!(change.and_then(|c| c.bound), Some(4));
    assert_eq!(warm_up.shown_bound(), Some(4));
    assert_eq!(warm_up.report(now, true), Some(pace(Some(4), 1)));
    assert_eq!(warm_up.bound(), None);
}

/// Operators would look for a lack of slots where a bound holds replicas back.
#[test]
fn replicas_held_back_by_their_bound_are_counted() {
    let now = Instant::now();
    let mut d = dispatcher(now, 1, &[1]);
    d.update_replicas(now, &[plain_service::replica("young", 999_000)]);
    for job in [1, 2] {
        d.enqueue(plain_service::job(job, now));
    }
    d.assign(now);
    let availability = d.availability(now, &"drafting".into(), &plain_service::job(3, now).regions);
    assert_eq!((availability.full, availability.warming_up), (0, 1));
}

struct Failure {
    share_above_lowest: f64,
    bound: Option<u32>,
}

/// Requests that fail at every replica would otherwise keep all young replicas at one request.
#[parameterized(
    here = { Failure { share_above_lowest: 0.2, bound: Some(1) } },
    everywhere = { Failure { share_above_lowest: 0.0, bound: Some(3) } },
)]
fn failures_of_the_replica_lower_its_bound(case: Failure) {
    let now = Instant::now();
    let mut warm_up = WarmUp::new(1, &"r".into());
    warm_up.on_report(now, pace(Some(3), 1), 4);
    warm_up.on_failure(now, case.share_above_lowest);
    assert_eq!(warm_up.bound(), case.bound);
}

struct StandIn {
    is_known_late: bool,
    free_ms: u64,
    total: u32,
    admits: bool,
}

/// A designated instance without requests would leave the replica idle. If all others tried it at once,
/// a fleet would have a request of each instance there.
#[parameterized(
    at_once = { StandIn { is_known_late: false, free_ms: 0, total: 0, admits: false } },
    after_a_while = { StandIn { is_known_late: false, free_ms: 500, total: 0, admits: true } },
    of_another_zone = { StandIn { is_known_late: true, free_ms: 900, total: 0, admits: false } },
    of_another_zone_after_long = { StandIn { is_known_late: true, free_ms: 1500, total: 0, admits: true } },
    full = { StandIn { is_known_late: false, free_ms: 500, total: 1, admits: false } },
)]
fn others_leave_the_last_place_to_the_designated_instance(case: StandIn) {
    let now = Instant::now();
    let warm_up = WarmUp::new(1, &"r".into()).with_age(now, Duration::ZERO);
    let load = InFlight {
        own: 0,
        total: case.total,
        free_for: Duration::from_millis(case.free_ms),
        is_known_late: case.is_known_late,
        is_designated: false,
        is_first_stand_in: false,
    };
    assert_eq!(warm_up.admits(now, load), case.admits);
}

/// An instance with the options of these tests, for which all replicas are of age 1 s at `now`.
fn dispatcher(now: Instant, address: u32, members: &[u32]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new().with_address(address);
    dispatcher.set_options(SchedulingOptions {
        warm_up: Some(WarmUpOptions { slow_ratio: 2.0 }),
        ..SchedulingOptions::default()
    });
    dispatcher.set_unix_time(now, 1_000_000);
    dispatcher.update_members(now, Some(members.to_vec()));
    dispatcher
}

/// Replicas that have just started in a zone without requests: only the other zone can try them. If all
/// of its instances did, an idle replica would get a request of each at once.
#[test]
fn one_instance_of_another_zone_tries_a_replica() {
    let start = Instant::now();
    let members: Vec<u32> = (11..=20).collect();
    let near = plain_service::replica("near", 0);
    let young = Replica {
        in_own_zone: false,
        propagation_delay: Duration::from_secs(1),
        weighted_round_trip: Duration::from_millis(500),
        ..plain_service::replica("young", 999_000)
    };
    let mut zone: Vec<Dispatcher> = members
        .iter()
        .map(|m| dispatcher(start, *m, &members))
        .collect();
    let mut tried_by = Vec::new();
    for ms in (0..=1600).step_by(100) {
        let now = start + Duration::from_millis(ms);
        for (i, d) in zone.iter_mut().enumerate() {
            if ms == 0 {
                d.update_replicas(now, &[near.clone(), young.clone()]);
            }
            d.enqueue(plain_service::job(ms * 100 + i as u64, now));
            let assigned = d.assign(now);
            if assigned.iter().any(|a| a.upstream == young.id) {
                tried_by.push((ms, i));
            }
            for a in assigned.iter().filter(|a| a.upstream == near.id) {
                d.on_end(now, &near.id, a.job, Outcome::Served);
            }
        }
    }
    println!("tried by {tried_by:?}");
    assert_eq!(tried_by.len(), 1);
    assert!(tried_by[0].0 >= 1000);
}

/// Plain calls to an engine, and streams of one event, have no gaps to measure. Its bound would never end.
#[parameterized(none = { 0, None }, few = { 4, None }, many = { 5, Some(1) })]
fn an_engine_with_few_gaps_loses_its_bound(gaps: u32, expected: Option<u32>) {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now, 1, &[1]);
    let engine = Replica {
        slots: 3,
        is_engine: true,
        ..plain_service::replica("young", 999_000)
    };
    dispatcher.update_replicas(now, &[engine]);
    for job in 0..2 {
        let at = now + Duration::from_millis(job * 400);
        dispatcher.enqueue(plain_service::job(job, at));
        assert_eq!(dispatcher.assign(at).len(), 1);
        for gap in 0..u64::from(gaps) {
            // Slower from gap to gap, so that no sample raises the bound.
            let gap = Duration::from_millis((job * 5 + gap + 1) * 100);
            dispatcher.on_events(at, &"young".into(), 1, gap);
        }
        dispatcher.on_end(at, &"young".into(), job, Outcome::Served);
    }
    let bound = dispatcher.paces().map(|(_, bound)| bound).next();
    assert_eq!(bound, expected);
}

/// A designated instance with a usual replica and a distant one that needs a trial, which gets requests
/// only for that.
fn with_trial(now: Instant) -> Dispatcher {
    let mut d = dispatcher(now, 1, &[1]);
    let young = Replica {
        weighted_round_trip: Duration::from_secs(1),
        ..plain_service::replica("young", 999_000)
    };
    d.update_replicas(now, &[plain_service::replica("old", 0), young]);
    d
}

/// The request for which the trial is used, if any.
fn tried(d: &mut Dispatcher, now: Instant) -> Option<JobId> {
    let assigned = d.assign(now);
    let trial = assigned.iter().find(|a| a.upstream == "young".into());
    trial.map(|a| a.job)
}

/// A trial may be late. The most urgent request must not pay for it while another one waits.
#[test]
fn the_least_urgent_request_is_used_for_a_trial() {
    let now = Instant::now();
    let mut d = with_trial(now);
    for (id, tier) in [(1, 1), (2, 3), (3, 2)] {
        d.enqueue(Job {
            priority: (1, tier),
            ..plain_service::job(id, now)
        });
    }
    assert_eq!(tried(&mut d, now), Some(2));
    assert_eq!(d.waiting_count(), 0);
}

/// A trial would otherwise get ahead of a more urgent request at another instance.
#[parameterized(more_urgent = { (0, 0), None }, less_urgent = { (9, 9), Some(1) })]
fn a_trial_keeps_the_order_between_instances(class: PriorityClass, expected: Option<JobId>) {
    let now = Instant::now();
    let mut d = with_trial(now);
    d.update_competitors(vec![Competitor {
        service: "drafting".into(),
        address: 2,
        class,
    }]);
    d.enqueue(Job {
        salt: 500,
        ..plain_service::job(1, now)
    });
    assert_eq!(tried(&mut d, now), expected);
}

/// The caller would get the failure of a replica that was known to fail.
#[parameterized(repeatable = { true, Some(2) }, not_repeatable = { false, None })]
fn only_a_repeatable_request_tries_a_failing_replica(may_repeat: bool, expected: Option<JobId>) {
    let now = Instant::now();
    let mut d = with_trial(now);
    d.enqueue(plain_service::job(1, now));
    assert_eq!(tried(&mut d, now), Some(1));
    d.on_end(now, &"young".into(), 1, Outcome::Failed);
    let later = now + Duration::from_secs(2);
    d.enqueue(Job {
        may_repeat,
        ..plain_service::job(2, later)
    });
    assert_eq!(tried(&mut d, later), expected);
}

/// The speed of an engine shows in the gaps of its streams, long before they end.
#[test]
fn the_gaps_of_an_engine_set_its_bound() {
    let now = Instant::now();
    let engine = |id, incarnation| Replica {
        slots: 4,
        is_engine: true,
        ..plain_service::replica(id, incarnation)
    };
    let mut dispatcher = dispatcher(now, 1, &[1]);
    dispatcher.update_replicas(now, &[engine("old", 0), engine("young", 999_000)]);
    let mut bound_after = |id: &str, gap_ms| {
        for _ in 0..5 {
            dispatcher.on_events(now, &id.into(), 1, Duration::from_millis(gap_ms));
        }
        dispatcher.paces().map(|(_, bound)| bound).next()
    };
    assert_eq!(bound_after("old", 9), Some(1));
    assert_eq!(bound_after("young", 54), Some(1));
    assert_eq!(bound_after("young", 9), Some(2));
    assert_eq!(bound_after("young", 9), None);
}
