//! What replicas say about themselves: limits and how the instances share them, that
//! they leave, and that they want rest.

use std::time::Duration;

use kingcupfield_decisions::dispatch::{Dispatcher, JobId, Outcome, Replica};
use kingcupfield_decisions::replica_limit::{KnownLimit, LimitReport, Position, quota, window};
use proptest::prelude::*;
use tokio::time::Instant;
use yare::parameterized;

#[path = "support/plain_service.rs"]
mod plain_service;

use plain_service::{job, replica};

/// Own address of the instance under test.
const OWN: u32 = 7;

/// Milliseconds after the start of a test: when a request was sent, when its response arrived, and the
/// limit that it named.
type Report = (u64, u64, Option<f64>);

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn limit_report(start: Instant, (sent, received, per_s): Report) -> LimitReport {
    LimitReport {
        per_s,
        earliest: at(start, sent),
        latest: at(start, received),
    }
}

struct OrderCase {
    /// Reports of this instance, in the order in which they arrive.
    own: &'static [Report],
    /// Reports of another instance, which arrive later.
    peer: &'static [Report],
    expected: Option<f64>,
}

/// Responses overtake each other. If the word of an older response replaced a newer one, a replica
/// would get more than it takes, or nothing for as long as no other response arrives.
#[parameterized(
    named = { OrderCase { own: &[(0, 10, Some(2.0))], peer: &[], expected: Some(2.0) } },
    changed = { OrderCase { own: &[(0, 10, Some(2.0)), (20, 30, Some(5.0))], peer: &[], expected: Some(5.0) } },
    ended = { OrderCase { own: &[(0, 10, Some(2.0)), (20, 30, None)], peer: &[], expected: None } },
    none_sent_before = { OrderCase { own: &[(0, 10, Some(2.0)), (5, 30, None)], peer: &[], expected: Some(2.0) } },
    higher_sent_before = { OrderCase { own: &[(0, 10, Some(2.0)), (5, 30, Some(5.0))], peer: &[], expected: Some(2.0) } },
    lower_sent_before = { OrderCase { own: &[(0, 10, Some(5.0)), (5, 30, Some(2.0))], peer: &[], expected: Some(2.0) } },
    newer_after_overlap = { OrderCase { own: &[(0, 10, Some(2.0)), (5, 30, Some(5.0)), (15, 40, Some(5.0))], peer: &[], expected: Some(5.0) } },
    named_again = { OrderCase { own: &[(0, 10, Some(2.0)), (20, 30, None), (40, 50, Some(3.0))], peer: &[], expected: Some(3.0) } },
    named_by_peer = { OrderCase { own: &[], peer: &[(0, 10, Some(2.0))], expected: Some(2.0) } },
    ended_at_peer = { OrderCase { own: &[(0, 10, Some(2.0))], peer: &[(20, 30, None)], expected: None } },
    older_of_peer = { OrderCase { own: &[(0, 10, Some(2.0)), (20, 30, None)], peer: &[(0, 15, Some(2.0))], expected: None } },
    newer_of_peer = { OrderCase { own: &[(0, 10, Some(2.0)), (20, 30, None)], peer: &[(25, 35, Some(4.0))], expected: Some(4.0) } },
)]
fn an_older_report_does_not_replace_a_newer_one(case: OrderCase) {
    let start = Instant::now();
    let mut known = KnownLimit::default();
    for report in case.own {
        known.on_own_report(limit_report(start, *report));
    }
    for report in case.peer {
        known.on_peer_report(limit_report(start, *report));
    }
    assert_eq!(known.per_s(at(start, 100), Duration::ZERO), case.expected);
}

/// Limits that no instance confirms any more end after a while, so that a replica is not lost for good
/// when those that have a share of its limit get no requests.
#[test]
fn an_unconfirmed_limit_ends() {
    let start = Instant::now();
    let mut known = KnownLimit::default();
    known.on_own_report(limit_report(start, (0, 10, Some(2.0))));
    let patience = Duration::from_secs(5);
    assert_eq!(known.per_s(at(start, 60_000), patience), Some(2.0));
    assert_eq!(known.per_s(at(start, 65_011), patience), None);
}

struct QuotaCase {
    per_s: f64,
    window_ms: u64,
    quota: u32,
}

/// The quota is no more than the limit, and one request where that would be none: only a response can
/// tell that the limit has ended.
#[parameterized(
    none = { QuotaCase { per_s: 0.0, window_ms: 30_000, quota: 1 } },
    rare = { QuotaCase { per_s: 0.1, window_ms: 10_000, quota: 1 } },
    one = { QuotaCase { per_s: 1.0, window_ms: 4_500, quota: 4 } },
    few = { QuotaCase { per_s: 2.3, window_ms: 4_500, quota: 9 } },
    many = { QuotaCase { per_s: 100.0, window_ms: 4_500, quota: 302 } },
)]
fn a_quota_is_within_the_limit(case: QuotaCase) {
    assert_eq!(window(case.per_s), Duration::from_millis(case.window_ms));
    assert_eq!(quota(case.per_s), case.quota);
}

proptest! {
    /// The shares of a fleet add up to the quota, however large the fleet is, and no share grows when an
    /// instance joins.
    #[test]
    fn shares_add_up_to_the_quota(members in prop::collection::btree_set(0..10_000_u32, 1..300), quota in 1..400_u32) {
        let members: Vec<u32> = members.into_iter().collect();
        let share = |own: u32, members: &[u32]| {
            Position::of(own, members, &"r".into()).map_or(0, |p| p.share(quota))
        };
        let shares = members.iter().map(|own| share(*own, &members));
        prop_assert_eq!(shares.sum::<u32>(), quota);
        let fewer = &members[..members.len() - 1];
        for own in fewer {
            prop_assert!(share(*own, &members) <= share(*own, fewer));
        }
    }

    /// Two parts of a fleet that don't know each other keep within what the operators tolerate.
    #[test]
    fn two_quotas_are_tolerated(per_s in 0.0..500.0_f64) {
        let tolerated = per_s * 4.0 * 1.5 + 5.0;
        prop_assert!(f64::from(quota(per_s)) * 2.0 <= tolerated);
    }
}

/// A single instance and its replicas, the first of which names a limit.
struct Single {
    dispatcher: Dispatcher,
    start: Instant,
    next_job: JobId,
}

impl Single {
    /// An instance that has known for a minute that it is the only one.
    fn new(replicas: &[Replica]) -> Self {
        let start = Instant::now();
        let mut dispatcher = Dispatcher::new().with_address(OWN);
        dispatcher.update_fleet(start, Some(vec![OWN]));
        dispatcher.update_replicas(start, replicas);
        Self {
            dispatcher,
            start: start + Duration::from_mins(1),
            next_job: 1,
        }
    }

    fn report(&mut self, incarnation: u64, report: Report) {
        let report = limit_report(self.start, report);
        self.dispatcher
            .on_own_limit_report(&"a".into(), incarnation, report);
    }

    /// Sends as many of `count` requests as possible; returns how many go to the first replica and how
    /// many to others.
    fn send(&mut self, ms: u64, count: u64) -> (usize, usize) {
        let now = at(self.start, ms);
        for _ in 0..count {
            self.dispatcher.enqueue(job(self.next_job, now));
            self.next_job += 1;
        }
        let assigned = self.dispatcher.assign(now);
        for a in &assigned {
            self.dispatcher
                .on_end(now, &a.upstream, a.job, Outcome::Served);
        }
        for id in 0..self.next_job {
            self.dispatcher.cancel(id);
        }
        let first = assigned.iter().filter(|a| &*a.upstream == "a").count();
        (first, assigned.len() - first)
    }
}

/// A replica that has used up its limit must not keep requests from others that are free.
#[test]
fn requests_go_to_other_replicas_while_the_limit_is_used_up() {
    let mut single = Single::new(&[replica("a", 1), replica("b", 1)]);
    single.report(1, (0, 10, Some(1.0)));
    let (first, others) = single.send(20, 50);
    assert_eq!(first + others, 50);
    assert!(first <= 4, "{first}");
    let (first, others) = single.send(1000, 50);
    assert_eq!(first + others, 50);
    assert!(first <= 4, "{first}");
}

/// A limit below one request in a window still lets a request through from time to time, and its end is
/// noticed by the response.
#[test]
fn a_replica_that_accepts_nothing_is_asked_again_rarely() {
    let mut single = Single::new(&[replica("a", 1)]);
    single.report(1, (0, 10, Some(0.0)));
    assert_eq!(single.send(20, 5), (1, 0));
    assert_eq!(single.send(29_000, 5), (0, 0));
    assert_eq!(single.send(31_000, 5), (1, 0));
    single.report(1, (31_000, 31_010, None));
    assert_eq!(single.send(31_020, 5), (5, 0));
}

/// The same replica id starts again: the limit of its predecessor does not bind it, and late words of the
/// predecessor are not taken for its own.
#[test]
fn a_restarted_replica_has_no_limit() {
    let mut single = Single::new(&[replica("a", 1)]);
    single.report(1, (0, 10, Some(1.0)));
    assert_eq!(single.send(20, 10), (4, 0));
    let now = at(single.start, 100);
    single.dispatcher.update_replicas(now, &[replica("a", 2)]);
    single.report(1, (90, 110, Some(1.0)));
    assert_eq!(single.send(120, 10), (10, 0));
}

/// The store is down and a replica's entry expires, and comes back a moment later. The limit and the
/// requests that count towards it still hold.
#[test]
fn a_limit_outlives_a_missing_entry() {
    let mut single = Single::new(&[replica("a", 1)]);
    single.report(1, (0, 10, Some(1.0)));
    assert_eq!(single.send(20, 10), (4, 0));
    let (gone, back) = (at(single.start, 100), at(single.start, 1000));
    single.dispatcher.update_replicas(gone, &[]);
    single.dispatcher.update_replicas(back, &[replica("a", 1)]);
    assert_eq!(single.send(1100, 10), (0, 0));
}

/// Requests that were sent before the replica named its limit count towards it.
#[test]
fn earlier_requests_count_towards_a_new_limit() {
    let mut single = Single::new(&[replica("a", 1)]);
    assert_eq!(single.send(0, 10), (10, 0));
    single.report(1, (0, 10, Some(1.0)));
    assert_eq!(single.send(2000, 10), (0, 0));
    assert_eq!(single.send(4600, 10), (4, 0));
}

/// An instance has just started, shuts down or was suspended: the others may use the whole limit, so it
/// must send nothing to the replica until it knows the fleet and they have counted it.
#[test]
fn an_instance_without_a_place_in_the_fleet_has_no_share() {
    let mut single = Single::new(&[replica("a", 1)]);
    single.report(1, (0, 10, Some(1.0)));
    let (woken, known) = (at(single.start, 100), at(single.start, 200));
    single
        .dispatcher
        .on_suspension(woken, Duration::from_secs(90));
    assert_eq!(single.send(150, 10), (0, 0));
    single.dispatcher.update_fleet(known, Some(vec![OWN]));
    assert_eq!(single.send(300, 10), (0, 0));
    assert_eq!(single.send(4700, 10), (4, 0));
}

/// Other instances leave, so that the share of this one grows. It grows a window later, as what they
/// sent before still counts.
#[test]
fn a_larger_share_takes_effect_a_window_later() {
    let mut single = Single::new(&[replica("a", 1)]);
    let all: Vec<u32> = (0..8).collect();
    single.dispatcher.update_fleet(single.start, Some(all));
    single.report(1, (0, 10, Some(4.0)));
    let before = single.send(4600, 100).0;
    assert!((1..=2).contains(&before), "{before}");
    let now = at(single.start, 4700);
    single.dispatcher.update_fleet(now, Some(vec![OWN]));
    assert_eq!(single.send(4800, 100), (0, 0));
    assert_eq!(single.send(9300, 100), (14, 0));
}

/// A replica says that it shuts down while the store that would tell is down. It gets nothing more, also
/// after its entry was missing for a moment, until it starts again; late words of its predecessor do not
/// count.
#[test]
fn a_replica_that_says_it_leaves_is_excluded_until_it_restarts() {
    let mut single = Single::new(&[replica("a", 1), replica("b", 1)]);
    assert!(single.dispatcher.on_said_leaving(&"a".into(), 1));
    assert!(!single.dispatcher.on_said_leaving(&"a".into(), 1));
    assert_eq!(single.send(0, 20), (0, 20));
    let (gone, back) = (at(single.start, 100), at(single.start, 1000));
    single.dispatcher.update_replicas(gone, &[replica("b", 1)]);
    let both = [replica("a", 1), replica("b", 1)];
    single.dispatcher.update_replicas(back, &both);
    assert_eq!(single.send(1100, 20), (0, 20));
    let now = at(single.start, 1200);
    single.dispatcher.update_replicas(now, &[replica("a", 2)]);
    assert!(!single.dispatcher.on_said_leaving(&"a".into(), 1));
    assert_eq!(single.send(1300, 20), (20, 0));
}

struct RestsCase {
    /// Rests that the replica asks for: milliseconds after the start, and their length.
    rests: &'static [(u64, u64)],
    /// When a request is tried.
    tried_ms: u64,
    sent: bool,
}

/// A replica turns requests away and asks for rest. A backoff of its own length, or a shorter rest that it
/// asks for later, must not end the time that it wants.
#[parameterized(
    within = { RestsCase { rests: &[(0, 3000)], tried_ms: 2999, sent: false } },
    after = { RestsCase { rests: &[(0, 3000)], tried_ms: 3000, sent: true } },
    fraction = { RestsCase { rests: &[(0, 400)], tried_ms: 399, sent: false } },
    after_fraction = { RestsCase { rests: &[(0, 400)], tried_ms: 400, sent: true } },
    asked_again = { RestsCase { rests: &[(0, 3000), (2000, 3000)], tried_ms: 4999, sent: false } },
    shorter_later = { RestsCase { rests: &[(0, 3000), (100, 500)], tried_ms: 2999, sent: false } },
)]
fn a_replica_gets_the_rest_that_it_asks_for(case: RestsCase) {
    let mut single = Single::new(&[replica("a", 1)]);
    assert_eq!(single.send(0, 1), (1, 0));
    for (from, rest) in case.rests {
        let (now, rest) = (at(single.start, *from), Duration::from_millis(*rest));
        let full = Outcome::Full;
        single.dispatcher.on_end(now, &"a".into(), 1, full);
        single.dispatcher.on_rest(now, &"a".into(), 1, rest);
    }
    let sent = usize::from(case.sent);
    assert_eq!(single.send(case.tried_ms, 1), (sent, 0));
}

/// A rest outlives a missing directory entry and ends with the incarnation that asked for it.
#[test]
fn a_rest_belongs_to_one_incarnation() {
    let mut single = Single::new(&[replica("a", 1)]);
    let rest = Duration::from_mins(1);
    single
        .dispatcher
        .on_rest(single.start, &"a".into(), 1, rest);
    let times = [100, 200, 300].map(|ms| at(single.start, ms));
    single.dispatcher.update_replicas(times[0], &[]);
    single
        .dispatcher
        .update_replicas(times[1], &[replica("a", 1)]);
    assert_eq!(single.send(250, 5), (0, 0));
    single
        .dispatcher
        .update_replicas(times[2], &[replica("a", 2)]);
    assert_eq!(single.send(350, 5), (5, 0));
}

/// All other replicas back off after failures. A resting one is no last resort.
#[test]
fn a_resting_replica_is_no_last_resort() {
    let mut single = Single::new(&[replica("a", 1)]);
    let now = single.start;
    assert_eq!(single.send(0, 1), (1, 0));
    single
        .dispatcher
        .on_end(now, &"a".into(), 1, Outcome::Unreachable);
    single
        .dispatcher
        .on_rest(now, &"a".into(), 1, Duration::from_secs(10));
    assert_eq!(single.send(5000, 5), (0, 0));
    assert!(single.send(10_000, 5).0 > 0);
}
