//! Limits of organisations in a fleet whose instances accrue credit and collect it from each other.

use std::time::Duration;

use kingcupfield_decisions::credit::{
    Accrual, Batch, Charge, Credit, Distance, FleetView, GRANT_VALIDITY, Ledger, Limit, Message,
    Tolerance, Verdict, Zone,
};
use kingcupfield_decisions::id::InstanceAddress;
use proptest::prelude::*;
use tokio::time::Instant;
use yare::parameterized;

#[expect(dead_code, reason = "the support serves other test programs too")]
#[path = "support/limits.rs"]
mod limit_fixtures;

use limit_fixtures::{ORGANISATION, SMALL, SPAN, TOLERANCE};

/// Cost of a common request in units.
const COST: f64 = 4_000.0;
/// How long a request may wait for credit.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Time step of the simulations.
const STEP: Duration = Duration::from_millis(20);

/// A fleet of one zone with `size` instances, of which `reachable` are reachable.
fn fleet_view(now: Instant, size: u32, reachable: &[InstanceAddress]) -> FleetView {
    FleetView {
        zones: vec![Zone {
            name: 1,
            distance: Distance::SameZone,
            size,
            members: reachable.to_vec(),
        }],
        accrues_since: Some(now),
    }
}

/// Ledger of the only instance of a fleet, which accrues credit since `now`.
fn single_instance(now: Instant) -> Ledger {
    let mut ledger = Ledger::new(1, 1);
    ledger.set_bounds(SPAN, TOLERANCE);
    ledger.set_fleet(now, &fleet_view(now, 1, &[]));
    ledger
}

/// Charge of a request of common cost with a priority class.
fn charge(priority_class: u32) -> Charge {
    Charge {
        cost: COST,
        priority_class,
        max_wait: MAX_WAIT,
    }
}

/// Requests credit from a ledger that decides alone, and waits for the verdict.
fn decide(ledger: &mut Ledger, now: Instant, charge: Charge) -> Verdict {
    ledger.request(now, ORGANISATION, SMALL, charge);
    let mut later = now;
    while !ledger.is_idle() {
        later += Duration::from_millis(10);
        ledger.on_tick(later);
    }
    let verdicts = ledger.take_verdicts();
    verdicts.last().expect("it was decided").1
}

fn granted(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Granted { .. })
}

/// Total cost of the granted requests among the pending verdicts.
fn granted_cost(ledger: &mut Ledger) -> f64 {
    let verdicts = ledger.take_verdicts();
    COST * verdicts.iter().filter(|v| granted(v.1)).count() as f64
}

/// Requests credit until the first request that is not granted at once; returns the granted cost.
fn spend_available(ledger: &mut Ledger, now: Instant) -> f64 {
    let mut spent = 0.0;
    loop {
        ledger.request(now, ORGANISATION, SMALL, charge(0));
        let cost = granted_cost(ledger);
        if cost <= 0.0 {
            return spent;
        }
        spent += cost;
    }
}

struct Case {
    instances: u32,
    /// Requests of the organisation per second at each instance.
    rate: u32,
    /// Propagation delay of a message.
    delay: Duration,
    /// Whether the instances are partitioned from each other.
    partitioned: bool,
}

/// Simulates a fleet for 24 s; returns when each request was granted, and its cost.
fn admitted(case: &Case) -> Vec<(Instant, f64)> {
    let start = Instant::now();
    let all: Vec<InstanceAddress> = (0..case.instances).collect();
    let mut fleet: Vec<Ledger> = all.iter().map(|m| Ledger::new(*m, 1)).collect();
    let mut in_transit: Vec<(Instant, InstanceAddress, InstanceAddress, Message)> = Vec::new();
    let each = Duration::from_secs(1) / case.rate;
    let mut admitted = Vec::new();
    for step in 0..1200 {
        let now = start + STEP * step;
        let due = (STEP * step).as_millis() / each.as_millis();
        let before = (STEP * step.saturating_sub(1)).as_millis() / each.as_millis();
        while let Some(first) = in_transit.iter().position(|(at, ..)| *at <= now) {
            let (_, from, to, message) = in_transit.remove(first);
            fleet[to as usize].on_message(now, from, message, Some(SMALL));
        }
        for (own, ledger) in all.iter().zip(&mut fleet) {
            let reachable: Vec<InstanceAddress> =
                all.iter().copied().filter(|m| m != own).collect();
            let reachable = if case.partitioned {
                &[]
            } else {
                &reachable[..]
            };
            ledger.set_bounds(SPAN, TOLERANCE);
            ledger.set_fleet(now, &fleet_view(start, case.instances, reachable));
            if due != before {
                ledger.request(now, ORGANISATION, SMALL, charge(0));
            }
            ledger.on_tick(now);
            let granted = ledger.take_verdicts().into_iter().filter(|v| granted(v.1));
            admitted.extend(granted.map(|_| (now, COST)));
            let sent = ledger.take_messages().into_iter();
            in_transit.extend(sent.map(|(to, message)| (now + case.delay, *own, to, message)));
        }
    }
    admitted
}

/// One organisation sends many times its limit through all instances at once. In any eight seconds
/// its admitted cost must not exceed the limit by more than a quarter. If each instance counted
/// alone, the organisation would get its limit seven times and the drafts of others would be late.
#[parameterized(
    no_delay = { Case { instances: 7, rate: 10, delay: Duration::ZERO, partitioned: false } },
    delayed = { Case { instances: 7, rate: 10, delay: Duration::from_millis(40), partitioned: false } },
    partitioned = { Case { instances: 7, rate: 10, delay: Duration::ZERO, partitioned: true } },
    many_instances = { Case { instances: 40, rate: 2, delay: Duration::from_millis(20), partitioned: false } },
)]
fn a_hot_organisation_keeps_to_its_limit(case: Case) {
    let admitted = admitted(&case);
    let bound = (SMALL.rate * SPAN.as_secs_f64() + SMALL.burst) * 1.25 + 190_000.0;
    for (from, _) in &admitted {
        let spent: f64 = admitted
            .iter()
            .filter(|(at, _)| at >= from && *at < *from + SPAN)
            .map(|(_, cost)| cost)
            .sum();
        assert!(spent <= bound, "{spent} in a window, {bound} allowed");
    }
    let all: f64 = admitted.iter().map(|(_, cost)| cost).sum();
    assert!(
        all > SMALL.rate * 24.0 * 0.7,
        "only {all} of the limit was granted"
    );
}

/// An organisation beyond its limit sends as many urgent drafts as cheap briefs. Drafts must be
/// granted first. Otherwise a planner is refused while a brief that nobody waits for is served.
#[test]
fn urgent_requests_are_granted_first_within_a_limit() {
    let start = Instant::now();
    let mut ledger = single_instance(start);
    let mut admitted = [0.0; 2];
    for step in 0..1000 {
        let now = start + STEP * step;
        for (at, class) in [(1, 4), (0, 0)] {
            ledger.request(now, ORGANISATION, SMALL, charge(class));
            while !ledger.is_idle() {
                ledger.on_tick(now + Duration::from_millis(300));
            }
            admitted[at] += granted_cost(&mut ledger);
        }
    }
    assert!(admitted[0] > admitted[1] * 3.0, "{admitted:?}");
}

/// In a rolling restart every instance must start without credit. With full buckets a hot
/// organisation would get its burst once more at each instance.
#[test]
fn a_started_instance_has_no_credit() {
    let now = Instant::now();
    let mut ledger = single_instance(now);
    assert!(spend_available(&mut ledger, now) <= 0.0);
    let soon = now + Duration::from_millis(300);
    ledger.on_tick(soon);
    let spent = granted_cost(&mut ledger) + spend_available(&mut ledger, soon);
    assert!(spent <= SMALL.rate * 0.3 * 1.2, "{spent}");
}

/// An organisation is idle for a while and then sends five seconds' worth of its limit at once, as
/// a shop does when it opens. It stays within its limit over any eight seconds, so nothing may be
/// refused. With a bucket of the burst alone, two thirds were refused while replicas were idle.
#[test]
fn unused_credit_can_be_spent_later_in_the_span() {
    let start = Instant::now();
    let mut ledger = single_instance(start);
    let spent = spend_available(&mut ledger, start + SPAN);
    assert!(spent >= SMALL.rate * 5.0 - COST, "{spent}");
}

/// All instances are killed while an organisation uses its full limit, and restart within a second.
/// No instance remembers what was spent. If they granted the allowance of a whole span at once, the
/// organisation would spend it twice in the span, and requests of others would wait behind it.
#[test]
fn a_restarted_fleet_grants_at_most_the_burst_and_one_second() {
    let start = Instant::now();
    let mut ledger = single_instance(start);
    let mut spent = 0.0;
    for step in 0..1000 {
        let now = start + Duration::from_millis(step);
        ledger.request(now, ORGANISATION, SMALL, charge(0));
        spent += granted_cost(&mut ledger);
    }
    assert!(
        spent <= SMALL.burst + SMALL.rate,
        "{spent} in the first second"
    );
}

/// A denied request must be granted after the advised wait. If the advice were a whole span, the
/// caller would come back seconds too late.
#[test]
fn a_denied_request_is_granted_after_the_advised_wait() {
    let start = Instant::now();
    let now = start + SPAN;
    let mut ledger = single_instance(start);
    let large = Charge {
        cost: COST * 10.0,
        priority_class: 0,
        max_wait: MAX_WAIT,
    };
    let wait_ms = loop {
        match decide(&mut ledger, now, large) {
            Verdict::Denied { wait_ms, .. } => break wait_ms,
            Verdict::Granted { .. } => {}
            Verdict::Unanswered => panic!("the instance decides itself"),
        }
    };
    assert!(wait_ms <= SPAN.as_millis() as u32, "{wait_ms}");
    let retry = now + Duration::from_millis(u64::from(wait_ms) + 300);
    assert!(granted(decide(&mut ledger, retry, large)));
}

/// An organisation beyond its limit sends reports that use all of it, and orders of a few tokens.
/// Orders must be granted while any credit is left: they take practically nothing from the reports,
/// and a refused order turns a customer away needlessly.
#[test]
fn a_cheap_request_reserves_nothing_for_others() {
    let start = Instant::now();
    let now = start + SPAN + Duration::from_millis(123);
    let mut ledger = single_instance(start);
    spend_available(&mut ledger, now);
    while !ledger.is_idle() {
        ledger.on_tick(now + Duration::from_millis(300));
    }
    ledger.take_verdicts();
    let order = Charge {
        cost: 200.0,
        priority_class: 8,
        max_wait: MAX_WAIT,
    };
    let then = now + Duration::from_millis(305);
    assert!(granted(decide(&mut ledger, then, order)));
}

/// Drafts of an organisation beyond its limit wait for credit and use all that accrues.
/// Confirmations of a hundredth of their cost and a lower tier must be served at the same time.
/// When they waited behind the drafts, they were refused four times as often as before limits were
/// enforced with credit.
#[test]
fn cheap_requests_do_not_wait_behind_large_ones() {
    let start = Instant::now();
    let mut ledger = single_instance(start);
    let (mut cheap, mut served) = (Vec::new(), 0);
    for step in 0..500 {
        let now = start + STEP * step;
        ledger.request(now, ORGANISATION, SMALL, charge(0));
        let charge = Charge {
            cost: 200.0,
            priority_class: 8,
            max_wait: MAX_WAIT,
        };
        cheap.push(ledger.request(now, ORGANISATION, SMALL, charge));
        ledger.on_tick(now);
        for (number, verdict) in ledger.take_verdicts() {
            served += usize::from(granted(verdict) && cheap.contains(&number));
        }
    }
    assert!(served >= 490, "{served} of 500");
}

/// Under load, requests are charged, wait for two seconds and are refused; their credit is refunded
/// and used by other requests. If the refund outlived the original credit, the organisation would
/// get its limit once more some seconds later.
#[test]
fn refunded_credit_is_not_granted_twice() {
    let start = Instant::now();
    let now = start + SPAN;
    let mut ledger = single_instance(start);
    let accrual = Accrual::new(SMALL, SPAN, TOLERANCE);
    let refused = spend_available(&mut ledger, now);
    let batch = Batch {
        expires: now + accrual.lifetime / 2,
        amount: refused,
    };
    let then = now + accrual.lifetime / 4;
    ledger.refund(then, ORGANISATION, batch);
    let used = spend_available(&mut ledger, then);
    assert!(used >= refused - COST, "{used} of {refused}");
    ledger.refund(then, ORGANISATION, batch);
    let after = spend_available(&mut ledger, now + accrual.lifetime / 2 + STEP);
    let accrued = accrual.rate * accrual.lifetime.as_secs_f64() / 2.0;
    assert!(after <= accrued, "{after} after it expired");
    assert!(
        used + after <= accrual.max_spend(SPAN),
        "{used} and {after}"
    );
}

/// An organisation has spent its limit through another instance when its first caller connects to
/// this one, as after a restart of the caller or when the load balancer moves it. Credit that was
/// collected from this instance must be gone, or each further instance would grant the whole limit
/// once more.
#[test]
fn collected_credit_is_not_granted_here() {
    let start = Instant::now();
    let mut ledger = single_instance(start);
    let now = start + SPAN;
    let collect = Message::Collect {
        number: 5,
        organisation: ORGANISATION,
    };
    for (from, time) in [(2, SPAN), (3, Duration::ZERO)] {
        ledger.on_message(now, from, collect.clone(), None);
        let sent = ledger.take_messages();
        let [(to, Message::Credit(credit))] = &sent[..] else {
            panic!("{sent:?}");
        };
        assert_eq!(*to, from);
        assert_eq!(credit.time_us, time.as_micros() as u64);
        assert_eq!(credit.lots, []);
    }
    assert!(spend_available(&mut ledger, now) <= 0.0);
}

/// Credit arrives late, three times, unasked for or with impossible amounts. Late credit would be
/// spent in a span in which it did not accrue, and repeated credit accrued only once.
#[parameterized(
    in_time = { Duration::from_millis(50), 0, true },
    late = { Duration::from_millis(300), 0, false },
    unasked = { Duration::from_millis(50), 1, false },
)]
fn credit_counts_once_and_in_time(after: Duration, other: u64, counts: bool) {
    let start = Instant::now();
    let now = start + SPAN;
    let coordinator = |own: InstanceAddress| {
        let mut ledger = Ledger::new(own, 1);
        ledger.set_bounds(SPAN, TOLERANCE);
        ledger.set_fleet(start, &fleet_view(start, 2, &[99]));
        (ledger.coordinator(now, ORGANISATION) == own).then_some(ledger)
    };
    let mut ledger = (1..50)
        .find_map(coordinator)
        .expect("one of them is the coordinator");
    spend_available(&mut ledger, now);
    let sent = ledger.take_messages();
    let Some((99, Message::Collect { number, .. })) = sent.last() else {
        panic!("{sent:?}");
    };
    let credit = Credit {
        number: *number + other,
        organisation: ORGANISATION,
        time_us: 1_000_000,
        size: 2,
        lots: vec![(u32::MAX, f64::NAN), (1, -5e9)],
    };
    let then = now + after;
    for _ in 0..3 {
        ledger.on_message(then, 99, Message::Credit(credit.clone()), None);
    }
    let granted = granted_cost(&mut ledger) + spend_available(&mut ledger, then);
    let half = Accrual::new(SMALL, SPAN, TOLERANCE).rate / 2.0;
    let own = half * after.as_secs_f64();
    let collected = if counts { half } else { 0.0 };
    // The credit left before the collection is less than one request.
    assert!(
        granted <= collected + own + COST,
        "{granted} of {collected} and {own}"
    );
    assert!(
        granted >= collected - COST,
        "{granted} of {collected} and {own}"
    );
}

/// Half of a zone leaves. The earlier running time of the remaining instances must keep its worth.
/// Valued by the new size, it would accrue again what the departed instances gave away.
#[test]
fn a_shrunk_zone_accrues_no_more_for_the_past() {
    let start = Instant::now();
    let mut ledger = Ledger::new(1, 1);
    ledger.set_bounds(SPAN, TOLERANCE);
    ledger.set_fleet(start, &fleet_view(start, 10, &[]));
    let now = start + Duration::from_secs(4);
    ledger.set_fleet(now, &fleet_view(start, 5, &[]));
    let spent = spend_available(&mut ledger, now);
    let tenth = Accrual::new(SMALL, SPAN, TOLERANCE).rate * 4.0 / 10.0;
    assert!(spent <= tenth, "{spent} of {tenth}");
    assert!(spent >= tenth - COST, "{spent} of {tenth}");
}

/// A coordinator is killed while requests wait for it. Another instance must answer them within the
/// time that a request may wait, and the dead one must no longer be chosen.
#[test]
fn a_dead_coordinator_is_replaced() {
    let start = Instant::now();
    let others: Vec<InstanceAddress> = (100..103).collect();
    let mut ledger = Ledger::new(1, 1);
    ledger.set_bounds(SPAN, TOLERANCE);
    let mut view = fleet_view(start, 4, &others);
    view.accrues_since = None;
    ledger.set_fleet(start, &view);
    let dead = ledger.coordinator(start, ORGANISATION);
    let number = ledger.request(start, ORGANISATION, SMALL, charge(0));
    let mut next = None;
    let mut now = start;
    while now < start + GRANT_VALIDITY && next.is_none() {
        now += Duration::from_millis(10);
        ledger.on_tick(now);
        let mut asked = ledger.take_messages().into_iter().map(|(to, _)| to);
        next = asked.next_back().filter(|to| *to != dead);
    }
    let next = next.expect("another one is asked in time");
    assert_ne!(ledger.coordinator(now, ORGANISATION), dead);
    let verdict = Verdict::Granted { left_ms: 100 };
    ledger.on_message(
        now,
        next,
        Message::Verdict {
            number,
            tries: 3,
            verdict,
        },
        None,
    );
    assert_eq!(ledger.take_verdicts(), [(number, verdict)]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::with_cases(2000) })]

    /// With any tolerance, no span exceeds it, and a burst is granted after an idle time if that
    /// much accrues in a span.
    #[test]
    fn no_span_exceeds_the_tolerance(
        rate in 0.0..1e6_f64, burst in 0.0..1e6_f64, part in 0.0..1.0_f64, fixed in 0.0..1e6_f64, span_s in 1.0..60.0_f64,
    ) {
        let span = Duration::from_secs_f64(span_s);
        let limit = Limit { rate, burst };
        let accrual = Accrual::new(limit, span, Tolerance { part, fixed });
        let tolerated = limit.allowance(span) * (1.0 + part) + fixed;
        prop_assert!(accrual.max_spend(span) <= tolerated * (1.0 + 1e-6) + 1e-3);
        let burst_in_span = burst.min(accrual.rate * span_s);
        prop_assert!(accrual.max_stock() >= burst_in_span * (1.0 - 1e-6) - 1e-3, "{} of {burst_in_span}", accrual.max_stock());
    }
}
