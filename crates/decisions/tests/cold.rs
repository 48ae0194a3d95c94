//! What cold replicas get, from one gate and from a fleet.

use std::time::Duration;

use kingcupfield_decisions::cold::{
    COUNTING_WINDOW, ColdGate, ColdLimit, MAX_SIMULTANEOUS_SENDERS, designated_instance,
};
use kingcupfield_decisions::id::{InstanceAddress, UpstreamId};
use rand::prelude::*;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use yare::parameterized;

struct Share {
    per_s: f64,
    tolerated: f64,
    expected: u32,
}

/// A keeper's share is what a replica bears, and half of what the operator tolerates at most.
#[parameterized(
    bears_less = { Share { per_s: 5.6, tolerated: 13.4, expected: 5 } },
    tolerated_is_less = { Share { per_s: 5.6, tolerated: 6.0, expected: 3 } },
    nothing = { Share { per_s: 0.4, tolerated: 0.4, expected: 0 } },
    below_nothing = { Share { per_s: -1.0, tolerated: 4.0, expected: 0 } },
)]
fn a_share_leaves_room_for_a_second_keeper(case: Share) {
    let bearable = ColdLimit {
        requests_per_s: case.per_s,
        tolerated_per_s: case.tolerated,
    };
    assert_eq!(bearable.per_instance_limit(), case.expected);
    assert!(
        f64::from(bearable.per_instance_limit() * MAX_SIMULTANEOUS_SENDERS)
            <= case.tolerated.max(0.0)
    );
}

/// Most of the times that lie within one span of each other.
fn most_in_a_span(mut times: Vec<Instant>) -> usize {
    times.sort_unstable();
    let within = |from: &Instant| {
        times
            .iter()
            .filter(|t| *t >= from && **t < *from + COUNTING_WINDOW)
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Work waits all the time. A gate that counted by whole seconds would let two shares through at
/// the turn of a second.
#[test]
fn a_gate_gives_no_more_than_its_share_in_any_span() {
    let start = Instant::now();
    let mut gate = ColdGate::new(start, true);
    let mut given = Vec::new();
    for ms in (0..5000).step_by(7) {
        let now = start + Duration::from_millis(ms);
        if gate.admits(now, 5) {
            gate.on_dispatch(now);
            given.push(now);
        }
    }
    assert_eq!(most_in_a_span(given.clone()), 5);
    assert!(given.len() >= 24, "{} of 25", given.len());
}

struct Keeping {
    /// Milliseconds, and whether the instance is the keeper from then on.
    changes: &'static [(u64, bool)],
    asked_at: u64,
    admits: bool,
}

/// The keeper before may have sent its share just now, so that a new one waits for a span.
#[parameterized(
    never = { Keeping { changes: &[], asked_at: 5000, admits: false } },
    just_now = { Keeping { changes: &[(100, true)], asked_at: 1050, admits: false } },
    for_a_span = { Keeping { changes: &[(100, true)], asked_at: 1100, admits: true } },
    told_again = { Keeping { changes: &[(100, true), (900, true)], asked_at: 1100, admits: true } },
    no_longer = { Keeping { changes: &[(100, true), (1200, false)], asked_at: 1300, admits: false } },
    once_more = { Keeping { changes: &[(100, true), (1200, false), (1300, true)], asked_at: 2000, admits: false } },
)]
fn a_new_keeper_waits(case: Keeping) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut gate = ColdGate::new(start, false);
    for (ms, keeps) in case.changes {
        gate.set_designated(at(*ms), *keeps);
    }
    assert_eq!(gate.admits(at(case.asked_at), 5), case.admits);
}

/// Instances know differing parts of their zone. Two that know each other never both take
/// themselves for the keeper; if they could, each restart would add a keeper.
#[test]
fn two_that_know_each_other_are_not_both_keepers() {
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

/// Fifteen replicas of a zone are shared out so that most instances keep one.
#[test]
fn keepers_are_spread_over_the_zone() {
    let members: Vec<InstanceAddress> = (1..=13).collect();
    let replicas = (0..15).map(|n| UpstreamId::from(format!("i-{n}")));
    let mut keepers: Vec<InstanceAddress> = replicas
        .filter_map(|r| designated_instance(&r, &members))
        .collect();
    keepers.sort_unstable();
    keepers.dedup();
    assert!(keepers.len() >= 6, "{} keepers", keepers.len());
    assert_eq!(designated_instance(&"i-0".into(), &[]), None);
}
