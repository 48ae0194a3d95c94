//! Order of service, tested by the cost served to each organisation and the waits of short
//! requests.

use std::time::Duration;

use kingcupfield_decisions::fairness::{FairQueue, SizeClass, max_long_slots};
use kingcupfield_decisions::id::Rank;
use kingcupfield_decisions::slots::Reservation;
use kingcupfield_decisions::work::Work;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const SEED: u64 = 4;

struct Job {
    organisation: &'static str,
    weight: u32,
    rank: Rank,
    cost: u64,
}

impl Job {
    fn new(organisation: &'static str, cost: u64) -> Self {
        Self {
            organisation,
            weight: 1,
            rank: 0,
            cost,
        }
    }
}

fn push(queue: &mut FairQueue, number: usize, job: &Job) {
    let reservation = Reservation {
        request: format!("r{number}").into(),
        holder: "entry-1".into(),
        organisation: job.organisation.into(),
        weight: job.weight,
        rank: job.rank,
        work: Work::new(job.cost, 0),
        prefixes: Vec::new(),
        time_left: Duration::from_mins(1),
        asked: 0,
    };
    let prompt = reservation.work.prefill;
    queue.push(reservation, prompt, Instant::now() + Duration::from_mins(1));
}

/// Grants requests until their total cost reaches `total`; returns the cost granted to each
/// organisation.
fn served(queue: &mut FairQueue, organisations: &[&str], total: u64) -> Vec<u64> {
    let mut sums = vec![0; organisations.len()];
    while sums.iter().sum::<u64>() < total {
        let Some(entry) = queue.pop_next(true) else {
            break;
        };
        let name = &*entry.reservation.organisation;
        if let Some(at) = organisations.iter().position(|o| *o == name) {
            sums[at] += entry.reservation.work.cost();
        }
    }
    sums
}

/// One organisation sends twenty times as many requests as the others. In order of arrival the
/// others would wait behind all of them, and the drafts of a small terminal would be late.
#[test]
fn a_hot_organisation_gets_only_its_share() {
    let mut queue = FairQueue::new();
    let mut number = 0;
    for _ in 0..100 {
        for job in [Job::new("b", 100), Job::new("c", 100)] {
            number += 1;
            push(&mut queue, number, &job);
        }
        for _ in 0..20 {
            number += 1;
            push(&mut queue, number, &Job::new("hot", 100));
        }
    }
    let sums = served(&mut queue, &["b", "c", "hot"], 24_000);
    for sum in &sums {
        let gap = sum.abs_diff(8_000);
        assert!(gap * 100 <= 8_000 * 2, "shares {sums:?}");
    }
}

/// Shares depend on weight and cost, not on the number of requests.
#[test]
fn shares_depend_on_weight_and_cost() {
    let mut queue = FairQueue::new();
    for number in 0..2_000 {
        let heavy = number % 2 == 0;
        let job = Job {
            organisation: if heavy { "heavy" } else { "light" },
            weight: if heavy { 3 } else { 1 },
            rank: 0,
            cost: if heavy { 400 } else { 100 },
        };
        push(&mut queue, number, &job);
    }
    let sums = served(&mut queue, &["heavy", "light"], 100_000);
    let ratio = sums[0] as f64 / sums[1] as f64;
    assert!((2.9..3.1).contains(&ratio), "shares {sums:?}");
}

/// The requests of an organisation cost more than estimated. The difference must be charged when
/// they end.
#[test]
fn real_cost_is_charged_at_the_end() {
    let mut queue = FairQueue::new();
    for number in 0..400 {
        let name = if number % 2 == 0 { "modest" } else { "honest" };
        push(&mut queue, number, &Job::new(name, 100));
    }
    let mut grants = [0_u64; 2];
    for _ in 0..100 {
        let entry = queue.pop_next(true).expect("requests wait");
        let charge = FairQueue::charge(&entry.reservation);
        let modest = &*entry.reservation.organisation == "modest";
        grants[usize::from(modest)] += 1;
        let real = if modest { 300 } else { 100 };
        queue.settle(&charge, Work::new(real, 0));
    }
    let [honest, modest] = grants;
    assert!(honest.abs_diff(3 * modest) <= 3, "grants {grants:?}");
}

/// A long request of the highest tier waits for a slot that long ones may hold. No lower tier may
/// be granted meanwhile, or the long request could be refused as late while lower ones are served.
#[test]
fn lower_tiers_do_not_overtake_a_waiting_long_request() {
    let mut queue = FairQueue::new();
    for number in 0..30 {
        push(&mut queue, number, &Job::new("foremen", 10));
        queue.pop_next(true);
    }
    let mut low = Job::new("foremen", 10);
    low.rank = 1;
    push(&mut queue, 30, &low);
    push(&mut queue, 31, &Job::new("planners", 1_000));
    assert!(queue.pop_next(false).is_none());
    let next = queue.pop_next(true).expect("the long one waits");
    assert_eq!((next.reservation.rank, next.size), (0, SizeClass::Long));
    let next = queue.pop_next(false).expect("the short one waits");
    assert_eq!((next.reservation.rank, next.size), (1, SizeClass::Short));
}

#[test]
fn tiers_are_strict() {
    let mut queue = FairQueue::new();
    for number in 0..90 {
        let mut job = Job::new("a", 100);
        job.rank = [2, 0, 1][number % 3];
        push(&mut queue, number, &job);
    }
    let ranks: Vec<_> = std::iter::from_fn(|| queue.pop_next(true))
        .map(|entry| entry.reservation.rank)
        .collect();
    assert_eq!(ranks.len(), 90);
    assert!(ranks.is_sorted(), "{ranks:?}");
}

/// A full queue must evict requests of the organisation that floods it, not of others, and the
/// lowest tier first.
#[test]
fn a_full_queue_evicts_the_lowest_tier_and_the_largest_backlog() {
    let mut queue = FairQueue::new();
    for number in 0..50 {
        push(&mut queue, number, &Job::new("hot", 100));
    }
    push(&mut queue, 50, &Job::new("quiet", 100));
    let last = queue.evict().expect("requests wait");
    assert_eq!(&*last.reservation.request, "r49");
    let mut low = Job::new("quiet", 100);
    low.rank = 1;
    push(&mut queue, 51, &low);
    let last = queue.evict().expect("requests wait");
    assert_eq!(&*last.reservation.request, "r51");
}

/// Slots of a replica. Each is busy for as many time units as the cost of its job.
struct Slots {
    busy_until: Vec<(u64, SizeClass)>,
    slots: u32,
}

/// Waits of short and of long jobs in time units, in order of their grants.
struct Waits {
    short: Vec<u64>,
    long: Vec<u64>,
}

/// Simulates a replica with 8 slots. A short job of cost 10 arrives every 12 time units on average
/// and, with `flood`, a long one of cost 1,000 every 100. With `capped`, long jobs may hold only
/// [`max_long_slots`] slots.
fn run(flood: bool, capped: bool) -> Waits {
    let (slots, end) = (8, 100_000);
    let mut queue = FairQueue::new();
    let mut replica = Slots {
        busy_until: Vec::new(),
        slots,
    };
    let mut waits = Waits {
        short: Vec::new(),
        long: Vec::new(),
    };
    let mut arrived = Vec::new();
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for now in 0..end {
        for (every, cost, name) in [(12, 10, "foremen"), (100, 1_000, "planners")] {
            if rng.random_ratio(1, every) && (cost == 10 || flood) {
                push(&mut queue, arrived.len(), &Job::new(name, cost));
                arrived.push(now);
            }
        }
        replica.busy_until.retain(|(until, _)| *until > now);
        while replica.busy_until.len() < replica.slots as usize {
            let long = replica
                .busy_until
                .iter()
                .filter(|(_, size)| *size == SizeClass::Long);
            let allow_long = !capped || (long.count() as u32) < max_long_slots(replica.slots);
            let Some(entry) = queue.pop_next(allow_long) else {
                break;
            };
            let cost = entry.reservation.work.cost();
            let number: usize = entry.reservation.request[1..].parse().expect("a number");
            let wait = now - arrived[number];
            replica.busy_until.push((now + cost, entry.size));
            if cost == 10 {
                waits.short.push(wait);
            } else {
                waits.long.push(wait);
            }
        }
    }
    waits
}

fn p99(waits: &[u64]) -> u64 {
    let mut sorted = waits.to_vec();
    sorted.sort_unstable();
    sorted[sorted.len() * 99 / 100]
}

/// Long stowage summaries, each a hundred times as costly as a status check, arrive faster than
/// they can be served. If they could hold all slots, every status check would wait until one of
/// them ends.
#[test]
fn short_jobs_do_not_wait_for_long_ones() {
    let alone = run(false, true);
    let with_flood = run(true, true);
    let without_cap = run(true, false);
    let (alone, short) = (p99(&alone.short), p99(&with_flood.short));
    assert!(
        short <= 2 * alone.max(10),
        "p99 {alone} alone, {short} in the flood"
    );
    let uncapped = p99(&without_cap.short);
    assert!(
        uncapped > 4 * short.max(10),
        "the cap changes nothing: {uncapped}, {short}"
    );
    // The long jobs use all of the slots that they may hold, each for a thousand time units.
    let (long, max_long) = (with_flood.long.len(), max_long_slots(8) as usize * 100);
    assert!(
        long * 12 >= max_long * 11,
        "{long} long served of {max_long}"
    );
    println!(
        "short p99 wait: {alone} alone, {short} capped, {uncapped} uncapped; long served: {} capped, {} uncapped",
        with_flood.long.len(),
        without_cap.long.len()
    );
}
