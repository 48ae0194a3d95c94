//! The replicas at whose owners a request makes reservations.

use std::time::Duration;

use kingcupfield_decisions::id::{Rank, Tokens};
use kingcupfield_decisions::pace::Pace;
use kingcupfield_decisions::routing::{Candidate, LinkBudget, RouteRequest, choose_replicas};
use kingcupfield_decisions::slots::ReplicaDigest;
use kingcupfield_decisions::work::Work;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use yare::parameterized;

const LOWEST_RANK: Rank = 2;

/// A thousand tokens take about a second to prefill.
const PACE: Pace = Pace {
    prefill: Duration::from_micros(880),
    decode: Duration::ZERO,
};

fn candidate(upstream: &str, zone: &str, wait_ms: u64, cached_tokens: Tokens) -> Candidate {
    let waiting = u32::from(wait_ms > 0);
    let wait = Duration::from_millis(wait_ms);
    Candidate {
        upstream: upstream.into(),
        owner: "entry-1".into(),
        zone: zone.into(),
        digest: Some(ReplicaDigest {
            running: 8 * waiting,
            limit: 8,
            waiting,
            wait,
            pace: None,
        }),
        digest_age: Duration::ZERO,
        cached_tokens,
        pace: PACE,
        round_trip: Duration::ZERO,
    }
}

fn request(time_left_ms: u64, rank: Rank) -> RouteRequest {
    RouteRequest {
        rank,
        zone: "baltic".into(),
        time_left: Duration::from_millis(time_left_ms),
        work: Work::new(1000, 0),
        bytes: 5000,
    }
}

/// Waits in ms and cached tokens of the own zone's replicas, and the wait in ms in the other zone.
#[derive(Debug)]
struct Case {
    own: [(u64, Tokens); 3],
    other_wait_ms: u64,
    rank: Rank,
    time_left_ms: u64,
    link_bytes_per_s: f64,
}

const CASE: Case = Case {
    own: [(0, 0), (100, 0), (200, 0)],
    other_wait_ms: 0,
    rank: 1,
    time_left_ms: 10_000,
    link_bytes_per_s: 1e6,
};

#[parameterized(
    least_waits = { CASE, &["a", "b"] },
    prefix_saves_more = { Case { own: [(0, 0), (100, 0), (200, 900)], ..CASE }, &["c", "a"] },
    prefix_costs_more = { Case { own: [(0, 0), (100, 0), (8000, 900)], ..CASE }, &["a", "b", "c"] },
    prefix_is_late = { Case { own: [(0, 0), (100, 0), (9500, 400)], ..CASE }, &["a", "b"] },
    full_here = { Case { own: [(9500, 0); 3], ..CASE }, &["z"] },
    lowest_tier_stays = { Case { own: [(9300, 0), (9500, 0), (9700, 0)], rank: 2, ..CASE }, &["a", "b"] },
    full_everywhere = { Case { own: [(9300, 0), (9500, 0), (9700, 0)], other_wait_ms: 50, ..CASE }, &["a", "b"] },
    link_is_spent = { Case { own: [(9300, 0), (9500, 0), (9700, 0)], link_bytes_per_s: 1.0, ..CASE }, &["a", "b"] },
)]
fn chosen(case: Case, expected: &[&str]) {
    let names = ["a", "b", "c"];
    let own = case
        .own
        .iter()
        .zip(names)
        .map(|(c, name)| candidate(name, "baltic", c.0, c.1));
    let mut candidates: Vec<Candidate> = own.collect();
    candidates.push(candidate("z", "iberia", case.other_wait_ms, 0));
    let mut link = LinkBudget::new(case.link_bytes_per_s);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let req = request(case.time_left_ms, case.rank);
    let choice = choose_replicas(
        Instant::now(),
        &req,
        &candidates,
        LOWEST_RANK,
        &mut link,
        &mut rng,
    );
    let chosen: Vec<&str> = choice.upstreams.iter().map(|u| &**u).collect();
    assert_eq!(chosen, expected);
    assert_eq!(choice.remote, expected == ["z"]);
}

/// A zone has no replica of a service. Its callers would be rejected although other zones have
/// room.
#[test]
fn a_zone_without_replicas_uses_the_others() {
    let candidates = [candidate("z", "iberia", 500, 0)];
    let mut link = LinkBudget::new(0.0);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let req = request(10_000, LOWEST_RANK);
    let choice = choose_replicas(
        Instant::now(),
        &req,
        &candidates,
        LOWEST_RANK,
        &mut link,
        &mut rng,
    );
    assert_eq!(choice.upstreams, vec!["z".into()]);
}

/// All instances have the same digests. If each chose the first of the equals, one replica would
/// receive a whole burst.
#[test]
fn equals_are_chosen_at_random() {
    let candidates = [
        candidate("a", "baltic", 0, 0),
        candidate("b", "baltic", 0, 0),
        candidate("c", "baltic", 0, 0),
    ];
    let mut link = LinkBudget::new(0.0);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let req = request(10_000, 0);
    let mut firsts = [0; 3];
    for _ in 0..300 {
        let choice = choose_replicas(
            Instant::now(),
            &req,
            &candidates,
            LOWEST_RANK,
            &mut link,
            &mut rng,
        );
        let i = candidates
            .iter()
            .position(|c| c.upstream == choice.upstreams[0]);
        firsts[i.expect("a candidate")] += 1;
    }
    assert!(firsts.iter().all(|n| (70..=130).contains(n)), "{firsts:?}");
}
