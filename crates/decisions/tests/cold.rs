//! Requests admitted to cold replicas by one gate, and the designated instances of a zone.

use std::time::Duration;

use kingcupfield_decisions::cold::{
    COUNTING_WINDOW, ColdGate, ColdLimit, MAX_SIMULTANEOUS_SENDERS, designated_instance,
};
use kingcupfield_decisions::id::{InstanceAddress, UpstreamId};
use rand::prelude::*;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use yare::parameterized;

struct Limits {
    requests_per_s: f64,
    tolerated_per_s: f64,
    expected: u32,
}

/// An instance may send what a replica can take, and at most half of what the operator tolerates.
#[parameterized(
    capacity_is_less = { Limits { requests_per_s: 5.6, tolerated_per_s: 13.4, expected: 5 } },
    tolerated_is_less = { Limits { requests_per_s: 5.6, tolerated_per_s: 6.0, expected: 3 } },
    nothing = { Limits { requests_per_s: 0.4, tolerated_per_s: 0.4, expected: 0 } },
    below_nothing = { Limits { requests_per_s: -1.0, tolerated_per_s: 4.0, expected: 0 } },
)]
fn a_limit_leaves_room_for_a_second_sender(case: Limits) {
    let limit = ColdLimit {
        requests_per_s: case.requests_per_s,
        tolerated_per_s: case.tolerated_per_s,
    };
    assert_eq!(limit.per_instance_limit(), case.expected);
    assert!(
        f64::from(limit.per_instance_limit() * MAX_SIMULTANEOUS_SENDERS)
            <= case.tolerated_per_s.max(0.0)
    );
}

/// Largest number of times within one window.
fn max_in_a_window(mut times: Vec<Instant>) -> usize {
    times.sort_unstable();
    let within = |from: &Instant| {
        times
            .iter()
            .filter(|t| *t >= from && **t < *from + COUNTING_WINDOW)
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Requests wait all the time. A gate that counted by full seconds would admit twice its limit
/// around the turn of a second.
#[test]
fn a_gate_admits_no_more_than_its_limit_in_any_window() {
    let start = Instant::now();
    let mut gate = ColdGate::new(start, true);
    let mut dispatched = Vec::new();
    for ms in (0..5000).step_by(7) {
        let now = start + Duration::from_millis(ms);
        if gate.admits(now, 5) {
            gate.on_dispatch(now);
            dispatched.push(now);
        }
    }
    assert_eq!(max_in_a_window(dispatched.clone()), 5);
    assert!(dispatched.len() >= 24, "{} of 25", dispatched.len());
}

struct Designation {
    /// Milliseconds, and whether the instance is designated from then on.
    changes: &'static [(u64, bool)],
    asked_at: u64,
    admits: bool,
}

/// The previously designated instance may have used its limit just now, so a new one waits for a
/// window.
#[parameterized(
    never = { Designation { changes: &[], asked_at: 5000, admits: false } },
    just_now = { Designation { changes: &[(100, true)], asked_at: 1050, admits: false } },
    for_a_window = { Designation { changes: &[(100, true)], asked_at: 1100, admits: true } },
    confirmed = { Designation { changes: &[(100, true), (900, true)], asked_at: 1100, admits: true } },
    no_longer = { Designation { changes: &[(100, true), (1200, false)], asked_at: 1300, admits: false } },
    once_more = { Designation { changes: &[(100, true), (1200, false), (1300, true)], asked_at: 2000, admits: false } },
)]
fn a_newly_designated_instance_waits(case: Designation) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut gate = ColdGate::new(start, false);
    for (ms, is_designated) in case.changes {
        gate.set_designated(at(*ms), *is_designated);
    }
    assert_eq!(gate.admits(at(case.asked_at), 5), case.admits);
}

/// Instances know different parts of their zone. Of two that know each other, at most one is
/// designated; otherwise each restart would add another sender.
#[test]
fn two_that_know_each_other_are_not_both_designated() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for n in 0..2000 {
        let replica: UpstreamId = format!("i-{n}").into();
        let all: Vec<InstanceAddress> = (0..14).map(|_| rng.random()).collect();
        let (first, second) = (all[0], all[1]);
        let mut known = |own: InstanceAddress, other: InstanceAddress| {
            let mut members: Vec<InstanceAddress> =
                all[2..].iter().copied().filter(|_| rng.random()).collect();
            members.extend([own, other]);
            members.shuffle(&mut rng);
            members
        };
        let by_first = designated_instance(&replica, &known(first, second)) == Some(first);
        let by_second = designated_instance(&replica, &known(second, first)) == Some(second);
        assert!(!(by_first && by_second));
    }
}

/// With fifteen replicas in a zone, most instances are designated for one.
#[test]
fn designations_are_spread_over_the_zone() {
    let members: Vec<InstanceAddress> = (1..=13).collect();
    let replicas = (0..15).map(|n| UpstreamId::from(format!("i-{n}")));
    let mut designated: Vec<InstanceAddress> = replicas
        .filter_map(|r| designated_instance(&r, &members))
        .collect();
    designated.sort_unstable();
    designated.dedup();
    assert!(designated.len() >= 6, "{} keepers", designated.len());
    assert_eq!(designated_instance(&"i-0".into(), &[]), None);
}
