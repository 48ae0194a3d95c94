//! Limits of organisations over a fleet whose instances tell each other what they spent.

use std::time::Duration;

use kingcupfield_decisions::allowance::{Allowances, Charge, Fleet, Limit, Told};
use kingcupfield_decisions::id::OrganisationId;
use tokio::time::Instant;
use yare::parameterized;

const LIMIT: Limit = Limit {
    rate: 47_000.0,
    burst: 65_000.0,
};
const COST: f64 = 4_000.0;
const STEP: Duration = Duration::from_millis(20);
/// Span over which the users count.
const WINDOW: Duration = Duration::from_secs(8);

/// One instance that knows of no other.
fn alone(now: Instant) -> Fleet {
    Fleet {
        part: 1.0,
        instances: 1,
        confirmed: now,
    }
}

struct Case {
    instances: usize,
    /// Requests of the organisation a second at each instance.
    rate: u32,
    /// Time between two reports of an instance.
    report: Duration,
    /// Whether the instances hear each other.
    cut: bool,
}

fn admitted(case: &Case) -> Vec<(Instant, f64)> {
    let organisation: OrganisationId = "hot".into();
    let start = Instant::now();
    let mut fleet: Vec<Allowances> = (0..case.instances)
        .map(|_| Allowances::new(start, WINDOW))
        .collect();
    let mut unreported = vec![0.0; case.instances];
    let part = if case.cut {
        1.0 / case.instances as f64
    } else {
        1.0
    };
    let each = Duration::from_secs(1) / case.rate;
    let mut fleet_seen = Fleet {
        part,
        instances: case.instances,
        ..alone(start)
    };
    let mut admitted = Vec::new();
    let mut step = 0;
    while STEP * step < Duration::from_secs(24) {
        let now = start + STEP * step;
        if case.cut {
            fleet_seen = Fleet { part, ..alone(now) };
        }
        for (at, allowances) in fleet.iter_mut().enumerate() {
            let due = (STEP * step).as_millis() / each.as_millis();
            let before = (STEP * step.saturating_sub(1)).as_millis() / each.as_millis();
            if due != before
                && allowances
                    .take(now, &organisation, LIMIT, &fleet_seen, ask(0))
                    .is_ok()
            {
                admitted.push((now, COST));
                unreported[at] += COST;
            }
        }
        if !case.cut
            && (STEP * step)
                .as_millis()
                .is_multiple_of(case.report.as_millis())
        {
            report(now, &mut fleet, &mut unreported, &organisation);
            fleet_seen.confirmed = now;
        }
        step += 1;
    }
    admitted
}

/// A request of the usual cost and a class.
fn ask(class: u32) -> Charge {
    Charge {
        cost: COST,
        class,
        luck: 0.5,
    }
}

fn report(
    now: Instant,
    fleet: &mut [Allowances],
    unreported: &mut [f64],
    organisation: &OrganisationId,
) {
    for (from, unreported) in unreported.iter_mut().enumerate() {
        let spent = std::mem::take(unreported);
        for (to, allowances) in fleet.iter_mut().enumerate() {
            if to != from {
                allowances.on_spent_elsewhere(now, organisation, LIMIT, spent);
            }
        }
    }
}

/// One organisation sends many times its limit through all instances at once. What runs in any
/// eight seconds stays within a quarter of the limit; if each instance counted for itself the
/// organisation would get its limit seven times and the others' drafts would be late.
#[parameterized(
    heard_at_once = { Case { instances: 7, rate: 10, report: Duration::from_millis(100), cut: false } },
    heard_late = { Case { instances: 7, rate: 10, report: Duration::from_millis(600), cut: false } },
    each_cut_off = { Case { instances: 7, rate: 10, report: Duration::from_millis(100), cut: true } },
    many_instances = { Case { instances: 40, rate: 2, report: Duration::from_millis(400), cut: false } },
)]
fn a_hot_organisation_keeps_to_its_limit(case: Case) {
    let admitted = admitted(&case);
    let bound = (LIMIT.rate * WINDOW.as_secs_f64() + LIMIT.burst) * 1.25 + 190_000.0;
    for (from, _) in &admitted {
        let spent: f64 = admitted
            .iter()
            .filter(|(at, _)| at >= from && *at < *from + WINDOW)
            .map(|(_, cost)| cost)
            .sum();
        assert!(spent <= bound, "{spent} in a window, {bound} allowed");
    }
    let all: f64 = admitted.iter().map(|(_, cost)| cost).sum();
    assert!(
        all > LIMIT.rate * 24.0 * 0.7,
        "only {all} of the limit was given out"
    );
}

/// An organisation beyond its limit sends urgent drafts and cheap briefs in equal parts. The
/// drafts go first; without that a planner is refused beside a brief that nobody waits for.
#[test]
fn urgent_work_goes_first_within_a_limit() {
    let organisation: OrganisationId = "hot".into();
    let start = Instant::now();
    let mut allowances = Allowances::new(start, WINDOW);
    let mut admitted = [0_u32; 2];
    for step in 0..1000 {
        let now = start + STEP * step;
        for (at, class) in [(1, 4), (0, 0)] {
            let taken = allowances.take(now, &organisation, LIMIT, &alone(now), ask(class));
            admitted[at] += u32::from(taken.is_ok());
        }
    }
    assert!(admitted[0] > admitted[1] * 3, "{admitted:?}");
}

/// All instances of a rolling restart start with what their peers say is left. With full buckets
/// a hot organisation would get its burst once more at each of them.
#[test]
fn a_started_instance_takes_its_peers_word() {
    let organisation: OrganisationId = "hot".into();
    let now = Instant::now();
    let mut allowances = Allowances::new(now, WINDOW);
    let whole = LIMIT.rate * WINDOW.as_secs_f64() + LIMIT.burst;
    let told = Told {
        whole: whole + 10_000.0,
        late: whole,
    };
    allowances.adopt(now, &organisation, LIMIT, told, true);
    let taken = allowances.take(now, &organisation, LIMIT, &alone(now), ask(0));
    let wait = taken.expect_err("nothing is left");
    assert!((0.2..1.0).contains(&wait), "{wait}");
}

/// An organisation is silent for a while and then sends five seconds' worth of its limit at once, as
/// a shop does when its doors open. It is within its limit over any eight seconds, so nothing is
/// refused; with a bucket of the burst alone two thirds of it were, at replicas that stood idle.
#[test]
fn what_was_not_used_may_be_used_within_the_span() {
    let organisation: OrganisationId = "shop".into();
    let start = Instant::now();
    let mut allowances = Allowances::new(start, WINDOW);
    let opening = start + WINDOW;
    let asked = ((LIMIT.rate * 5.0) / COST) as u32;
    for step in 0..asked {
        let taken = allowances.take(opening, &organisation, LIMIT, &alone(opening), ask(0));
        assert_eq!(taken, Ok(()), "request {step} of {asked}");
    }
}

/// All instances are killed while an organisation spends all that it may, and start again within the
/// second. Nobody is left who knows what was spent. If each gave out the whole span at once, the
/// organisation would have spent it twice in the span, and the others' work would wait behind it.
#[test]
fn a_fleet_that_starts_anew_gives_out_the_bucket_only() {
    let organisation: OrganisationId = "hot".into();
    let start = Instant::now();
    let mut allowances = Allowances::new(start, WINDOW);
    let mut spent = 0.0;
    for step in 0..1000 {
        let now = start + Duration::from_millis(step);
        let taken = allowances.take(now, &organisation, LIMIT, &alone(now), ask(0));
        spent += if taken.is_ok() { COST } else { 0.0 };
    }
    assert!(
        spent <= LIMIT.burst + LIMIT.rate,
        "{spent} in the first second"
    );
}

/// A request that is refused is told when it would pass, and passes then. A caller that was sent
/// away for the whole span would come back seconds too late.
#[test]
fn a_refused_request_passes_when_it_was_told_to_come_back() {
    let organisation: OrganisationId = "hot".into();
    let start = Instant::now() + WINDOW;
    let mut allowances = Allowances::new(start - WINDOW, WINDOW);
    let wait = loop {
        if let Err(wait) = allowances.take(start, &organisation, LIMIT, &alone(start), ask(0)) {
            break wait;
        }
    };
    assert!(wait <= WINDOW.as_secs_f64(), "{wait}");
    let back = start + Duration::from_secs_f64(wait) + Duration::from_millis(1);
    let taken = allowances.take(back, &organisation, LIMIT, &alone(back), ask(0));
    assert_eq!(taken, Ok(()));
}

/// An organisation beyond its limit sends reports that take all of it, and orders of a few tokens
/// beside them. The orders pass while anything is left: they take nothing from the reports, and a
/// refused order is a customer sent away for nothing.
#[test]
fn a_cheap_request_leaves_nothing_to_others() {
    let organisation: OrganisationId = "hot".into();
    let start = Instant::now() + WINDOW;
    let mut allowances = Allowances::new(start - WINDOW, WINDOW);
    while allowances
        .take(start, &organisation, LIMIT, &alone(start), ask(0))
        .is_ok()
    {}
    let order = Charge {
        cost: 200.0,
        class: 8,
        luck: 0.5,
    };
    let taken = allowances.take(start, &organisation, LIMIT, &alone(start), order);
    assert_eq!(taken, Ok(()));
}

/// Under load, requests are charged, wait for two seconds and are refused; what they were charged is
/// given back. Requests in their place use it. If the gain outlasted the cost that it cancels, an
/// organisation would have its limit once more some seconds later.
#[test]
fn what_was_given_back_is_not_given_out_twice() {
    let organisation: OrganisationId = "hot".into();
    let start = Instant::now() + WINDOW;
    let mut allowances = Allowances::new(start - WINDOW, WINDOW);
    let fill = |allowances: &mut Allowances, now| {
        let taken = || {
            allowances
                .take(now, &organisation, LIMIT, &alone(now), ask(0))
                .is_ok()
        };
        std::iter::repeat_with(taken).take_while(|t| *t).count() as f64 * COST
    };
    let refused = fill(&mut allowances, start);
    allowances.on_spent_elsewhere(start + WINDOW / 4, &organisation, LIMIT, COST);
    allowances.give_back(start, &organisation, refused);
    let later = start + WINDOW / 2;
    let used = fill(&mut allowances, later);
    let after = fill(&mut allowances, start + WINDOW + Duration::from_millis(1));
    let whole = LIMIT.rate * WINDOW.as_secs_f64() + LIMIT.burst;
    assert!(used + after <= whole, "{used} and {after} of {whole}");
}

/// An organisation has spent its limit through other instances when its first caller connects here,
/// as after a restart of its own or when the balancer moves it. What others told before counts; else
/// each instance that it comes to would give it the whole limit once more.
#[test]
fn what_was_spent_elsewhere_counts_before_the_first_request() {
    let organisation: OrganisationId = "moved".into();
    let start = Instant::now();
    let now = start + WINDOW * 2;
    let mut allowances = Allowances::new(start, WINDOW);
    let whole = LIMIT.rate * WINDOW.as_secs_f64() + LIMIT.burst;
    allowances.on_spent_elsewhere(now, &organisation, LIMIT, whole);
    let taken = allowances.take(now, &organisation, LIMIT, &alone(now), ask(0));
    assert!(taken.is_err(), "{taken:?}");
}
