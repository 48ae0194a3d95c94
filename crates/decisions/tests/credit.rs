//! Limits of organisations over a fleet whose instances mint credit and collect it from each other.

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
mod given;

use given::{ORGANISATION, SMALL, SPAN, TOLERANCE};

const COST: f64 = 4_000.0;
/// How long a request may wait for credit.
const PATIENCE: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(20);

/// A fleet of one zone; `heard` are those whose messages come.
fn roster(now: Instant, size: u32, heard: &[InstanceAddress]) -> FleetView {
    FleetView {
        zones: vec![Zone {
            name: 1,
            distance: Distance::SameZone,
            size,
            members: heard.to_vec(),
        }],
        accrues_since: Some(now),
    }
}

/// An instance that is alone and mints since `now`.
fn alone(now: Instant) -> Ledger {
    let mut ledger = Ledger::new(1, 1);
    ledger.set_bounds(SPAN, TOLERANCE);
    ledger.set_fleet(now, &roster(now, 1, &[]));
    ledger
}

/// A request of the usual cost and a class.
fn ask(class: u32) -> Charge {
    Charge {
        cost: COST,
        priority_class: class,
        max_wait: PATIENCE,
    }
}

/// What an instance that is alone decides in the end.
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

/// What is granted of the verdicts that have come.
fn granted_cost(ledger: &mut Ledger) -> f64 {
    let verdicts = ledger.take_verdicts();
    COST * verdicts.iter().filter(|v| granted(v.1)).count() as f64
}

/// What is granted at once until the first request that is not.
fn spend_all(ledger: &mut Ledger, now: Instant) -> f64 {
    let mut spent = 0.0;
    loop {
        ledger.request(now, ORGANISATION, SMALL, ask(0));
        let cost = granted_cost(ledger);
        if cost <= 0.0 {
            return spent;
        }
        spent += cost;
    }
}

struct Case {
    instances: u32,
    /// Requests of the organisation a second at each instance.
    rate: u32,
    /// Time that a message takes.
    way: Duration,
    /// Whether the instances hear each other.
    cut: bool,
}

fn admitted(case: &Case) -> Vec<(Instant, f64)> {
    let start = Instant::now();
    let all: Vec<InstanceAddress> = (0..case.instances).collect();
    let mut fleet: Vec<Ledger> = all.iter().map(|m| Ledger::new(*m, 1)).collect();
    let mut on_the_way: Vec<(Instant, InstanceAddress, InstanceAddress, Message)> = Vec::new();
    let each = Duration::from_secs(1) / case.rate;
    let mut admitted = Vec::new();
    for step in 0..1200 {
        let now = start + STEP * step;
        let due = (STEP * step).as_millis() / each.as_millis();
        let before = (STEP * step.saturating_sub(1)).as_millis() / each.as_millis();
        while let Some(first) = on_the_way.iter().position(|(at, ..)| *at <= now) {
            let (_, from, to, message) = on_the_way.remove(first);
            fleet[to as usize].on_message(now, from, message, Some(SMALL));
        }
        for (own, ledger) in all.iter().zip(&mut fleet) {
            let heard: Vec<InstanceAddress> = all.iter().copied().filter(|m| m != own).collect();
            let heard = if case.cut { &[] } else { &heard[..] };
            ledger.set_bounds(SPAN, TOLERANCE);
            ledger.set_fleet(now, &roster(start, case.instances, heard));
            if due != before {
                ledger.request(now, ORGANISATION, SMALL, ask(0));
            }
            ledger.on_tick(now);
            let granted = ledger.take_verdicts().into_iter().filter(|v| granted(v.1));
            admitted.extend(granted.map(|_| (now, COST)));
            let sent = ledger.take_messages().into_iter();
            on_the_way.extend(sent.map(|(to, message)| (now + case.way, *own, to, message)));
        }
    }
    admitted
}

/// One organisation sends many times its limit through all instances at once. What runs in any
/// eight seconds stays within a quarter of the limit; if each instance counted for itself the
/// organisation would get its limit seven times and the others' drafts would be late.
#[parameterized(
    heard_at_once = { Case { instances: 7, rate: 10, way: Duration::ZERO, cut: false } },
    heard_late = { Case { instances: 7, rate: 10, way: Duration::from_millis(40), cut: false } },
    each_cut_off = { Case { instances: 7, rate: 10, way: Duration::ZERO, cut: true } },
    many_instances = { Case { instances: 40, rate: 2, way: Duration::from_millis(20), cut: false } },
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
        "only {all} of the limit was given out"
    );
}

/// An organisation beyond its limit sends urgent drafts and cheap briefs in equal parts. The
/// drafts go first; without that a planner is refused beside a brief that nobody waits for.
#[test]
fn urgent_work_goes_first_within_a_limit() {
    let start = Instant::now();
    let mut ledger = alone(start);
    let mut admitted = [0.0; 2];
    for step in 0..1000 {
        let now = start + STEP * step;
        for (at, class) in [(1, 4), (0, 0)] {
            ledger.request(now, ORGANISATION, SMALL, ask(class));
            while !ledger.is_idle() {
                ledger.on_tick(now + Duration::from_millis(300));
            }
            admitted[at] += granted_cost(&mut ledger);
        }
    }
    assert!(admitted[0] > admitted[1] * 3.0, "{admitted:?}");
}

/// All instances of a rolling restart start with nothing. With full buckets a hot organisation would
/// get its burst once more at each of them.
#[test]
fn a_started_instance_has_no_credit() {
    let now = Instant::now();
    let mut ledger = alone(now);
    assert!(spend_all(&mut ledger, now) <= 0.0);
    let soon = now + Duration::from_millis(300);
    ledger.on_tick(soon);
    let spent = granted_cost(&mut ledger) + spend_all(&mut ledger, soon);
    assert!(spent <= SMALL.rate * 0.3 * 1.2, "{spent}");
}

/// An organisation is silent for a while and then sends five seconds' worth of its limit at once, as
/// a shop does when its doors open. It is within its limit over any eight seconds, so nothing is
/// refused; with a bucket of the burst alone two thirds of it were, at replicas that stood idle.
#[test]
fn what_was_not_used_may_be_used_within_the_span() {
    let start = Instant::now();
    let mut ledger = alone(start);
    let spent = spend_all(&mut ledger, start + SPAN);
    assert!(spent >= SMALL.rate * 5.0 - COST, "{spent}");
}

/// All instances are killed while an organisation spends all that it may, and start again within the
/// second. Nobody is left who knows what was spent. If each gave out the whole span at once, the
/// organisation would have spent it twice in the span, and the others' work would wait behind it.
#[test]
fn a_fleet_that_starts_anew_gives_out_the_bucket_only() {
    let start = Instant::now();
    let mut ledger = alone(start);
    let mut spent = 0.0;
    for step in 0..1000 {
        let now = start + Duration::from_millis(step);
        ledger.request(now, ORGANISATION, SMALL, ask(0));
        spent += granted_cost(&mut ledger);
    }
    assert!(
        spent <= SMALL.burst + SMALL.rate,
        "{spent} in the first second"
    );
}

/// A request that is refused is told when it would pass, and passes then. A caller that was sent
/// away for the whole span would come back seconds too late.
#[test]
fn a_refused_request_passes_when_it_was_told_to_come_back() {
    let start = Instant::now();
    let now = start + SPAN;
    let mut ledger = alone(start);
    let large = Charge {
        cost: COST * 10.0,
        priority_class: 0,
        max_wait: PATIENCE,
    };
    let wait_ms = loop {
        match decide(&mut ledger, now, large) {
            Verdict::Denied { wait_ms, .. } => break wait_ms,
            Verdict::Granted { .. } => {}
            Verdict::Unanswered => panic!("it decides itself"),
        }
    };
    assert!(wait_ms <= SPAN.as_millis() as u32, "{wait_ms}");
    let back = now + Duration::from_millis(u64::from(wait_ms) + 300);
    assert!(granted(decide(&mut ledger, back, large)));
}

/// An organisation beyond its limit sends reports that take all of it, and orders of a few tokens
/// beside them. The orders pass while anything is left: they take nothing from the reports, and a
/// refused order is a customer sent away for nothing.
#[test]
fn a_cheap_request_leaves_nothing_to_others() {
    let start = Instant::now();
    let now = start + SPAN + Duration::from_millis(123);
    let mut ledger = alone(start);
    spend_all(&mut ledger, now);
    while !ledger.is_idle() {
        ledger.on_tick(now + Duration::from_millis(300));
    }
    ledger.take_verdicts();
    let order = Charge {
        cost: 200.0,
        priority_class: 8,
        max_wait: PATIENCE,
    };
    let then = now + Duration::from_millis(305);
    assert!(granted(decide(&mut ledger, then, order)));
}

/// Drafts of an organisation beyond its limit wait for credit, and take all that is minted. Confirmations of
/// a hundredth of their cost, of a lesser tier, are served beside them; behind the drafts they were refused
/// four times as often as before limits were credit.
#[test]
fn cheap_requests_do_not_wait_behind_large_ones() {
    let start = Instant::now();
    let mut ledger = alone(start);
    let (mut cheap, mut served) = (Vec::new(), 0);
    for step in 0..500 {
        let now = start + STEP * step;
        ledger.request(now, ORGANISATION, SMALL, ask(0));
        let charge = Charge {
            cost: 200.0,
            priority_class: 8,
            max_wait: PATIENCE,
        };
        cheap.push(ledger.request(now, ORGANISATION, SMALL, charge));
        ledger.on_tick(now);
        for (number, verdict) in ledger.take_verdicts() {
            served += usize::from(granted(verdict) && cheap.contains(&number));
        }
    }
    assert!(served >= 490, "{served} of 500");
}

/// Under load, requests are charged, wait for two seconds and are refused; what they were charged is
/// given back. Requests in their place use it. If it outlived the credit that was taken, an
/// organisation would have its limit once more some seconds later.
#[test]
fn what_was_given_back_is_not_given_out_twice() {
    let start = Instant::now();
    let now = start + SPAN;
    let mut ledger = alone(start);
    let pace = Accrual::new(SMALL, SPAN, TOLERANCE);
    let refused = spend_all(&mut ledger, now);
    let lot = Batch {
        expires: now + pace.lifetime / 2,
        amount: refused,
    };
    let then = now + pace.lifetime / 4;
    ledger.refund(then, ORGANISATION, lot);
    let used = spend_all(&mut ledger, then);
    assert!(used >= refused - COST, "{used} of {refused}");
    ledger.refund(then, ORGANISATION, lot);
    let after = spend_all(&mut ledger, now + pace.lifetime / 2 + STEP);
    let minted = pace.rate * pace.lifetime.as_secs_f64() / 2.0;
    assert!(after <= minted, "{after} after it expired");
    assert!(used + after <= pace.max_spend(SPAN), "{used} and {after}");
}

/// An organisation has spent its limit through another instance when its first caller connects here,
/// as after a restart of its own or when the balancer moves it. What this instance gave away is gone;
/// else each instance that it comes to would give it the whole limit once more.
#[test]
fn what_was_collected_is_not_given_out_here() {
    let start = Instant::now();
    let mut ledger = alone(start);
    let now = start + SPAN;
    let collect = Message::Collect {
        number: 5,
        organisation: ORGANISATION,
    };
    for (from, time) in [(2, SPAN), (3, Duration::ZERO)] {
        ledger.on_message(now, from, collect.clone(), None);
        let given = ledger.take_messages();
        let [(to, Message::Credit(credit))] = &given[..] else {
            panic!("{given:?}");
        };
        assert_eq!(*to, from);
        assert_eq!(credit.time_us, time.as_micros() as u64);
        assert_eq!(credit.lots, []);
    }
    assert!(spend_all(&mut ledger, now) <= 0.0);
}

/// Credit that comes late, three times, unasked for or with impossible figures. What is taken up too
/// late would be spent in a span in which it was not minted, and what is taken up twice was minted once.
#[parameterized(
    in_time = { Duration::from_millis(50), 0, true },
    late = { Duration::from_millis(300), 0, false },
    unasked = { Duration::from_millis(50), 1, false },
)]
fn credit_counts_once_and_in_time(after: Duration, other: u64, counts: bool) {
    let start = Instant::now();
    let now = start + SPAN;
    let keeper = |own: InstanceAddress| {
        let mut ledger = Ledger::new(own, 1);
        ledger.set_bounds(SPAN, TOLERANCE);
        ledger.set_fleet(start, &roster(start, 2, &[99]));
        (ledger.coordinator(now, ORGANISATION) == own).then_some(ledger)
    };
    let mut ledger = (1..50).find_map(keeper).expect("one of them is the keeper");
    spend_all(&mut ledger, now);
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
    let got = granted_cost(&mut ledger) + spend_all(&mut ledger, then);
    let half = Accrual::new(SMALL, SPAN, TOLERANCE).rate / 2.0;
    let own = half * after.as_secs_f64();
    let most = if counts { half } else { 0.0 };
    // What was left of before the collection is less than one request.
    assert!(got <= most + own + COST, "{got} of {most} and {own}");
    assert!(got >= most - COST, "{got} of {most} and {own}");
}

/// Half of a zone leaves. What those that stay have minted before is worth what it was; by the new
/// number they would mint once more what the leavers gave away.
#[test]
fn a_zone_that_shrinks_mints_no_more_for_the_past() {
    let start = Instant::now();
    let mut ledger = Ledger::new(1, 1);
    ledger.set_bounds(SPAN, TOLERANCE);
    ledger.set_fleet(start, &roster(start, 10, &[]));
    let now = start + Duration::from_secs(4);
    ledger.set_fleet(now, &roster(start, 5, &[]));
    let spent = spend_all(&mut ledger, now);
    let tenth = Accrual::new(SMALL, SPAN, TOLERANCE).rate * 4.0 / 10.0;
    assert!(spent <= tenth, "{spent} of {tenth}");
    assert!(spent >= tenth - COST, "{spent} of {tenth}");
}

/// A keeper is killed while requests ask it. They are answered by another instance within the time that
/// a request may wait, and the dead one is passed over afterwards.
#[test]
fn a_dead_keeper_is_replaced() {
    let start = Instant::now();
    let others: Vec<InstanceAddress> = (100..103).collect();
    let mut ledger = Ledger::new(1, 1);
    ledger.set_bounds(SPAN, TOLERANCE);
    let mut roster = roster(start, 4, &others);
    roster.accrues_since = None;
    ledger.set_fleet(start, &roster);
    let dead = ledger.coordinator(start, ORGANISATION);
    let number = ledger.request(start, ORGANISATION, SMALL, ask(0));
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

    /// Whatever an operator tolerates, no span gets more than that, and a burst passes after a rest
    /// where that much is minted in a span.
    #[test]
    fn no_span_passes_what_is_tolerated(
        rate in 0.0..1e6_f64, burst in 0.0..1e6_f64, part in 0.0..1.0_f64, fixed in 0.0..1e6_f64, span_s in 1.0..60.0_f64,
    ) {
        let span = Duration::from_secs_f64(span_s);
        let limit = Limit { rate, burst };
        let pace = Accrual::new(limit, span, Tolerance { part, fixed });
        let tolerated = limit.allowance(span) * (1.0 + part) + fixed;
        prop_assert!(pace.max_spend(span) <= tolerated * (1.0 + 1e-6) + 1e-3);
        let holds = burst.min(pace.rate * span_s);
        prop_assert!(pace.max_stock() >= holds * (1.0 - 1e-6) - 1e-3, "{} of {holds}", pace.max_stock());
    }
}
