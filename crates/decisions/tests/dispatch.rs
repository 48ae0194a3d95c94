//! The order in which the dispatcher assigns requests, and the replicas it chooses.

use std::time::Duration;

use kingcupfield_decisions::cold::ColdLimit;
use kingcupfield_decisions::dispatch::{
    Competitor, Dispatcher, Job, JobId, Outcome, Replica, ResponseSize,
};
use kingcupfield_decisions::regions::Regions;
use tokio::time::Instant;
use yare::parameterized;

const SLOTS: u32 = 6;

fn replica(id: &str, round_trip: u64) -> Replica {
    Replica {
        id: id.into(),
        incarnation: 1,
        service: "drafting".into(),
        software_version: 1,
        region: "north".into(),
        slots: SLOTS,
        weighted_round_trip: Duration::from_millis(round_trip),
        network_round_trip: Duration::from_millis(round_trip),
        propagation_delay: Duration::ZERO,
        is_engine: true,
        tokens_per_event: 2,
        usable: true,
        in_own_zone: round_trip == 0,
        cold_until: None,
        cold_limit: None,
    }
}

fn job(id: JobId, tier: u32, now: Instant) -> Job {
    Job {
        id,
        priority: (1, tier),
        received_at: now,
        slo_deadline: now + Duration::from_millis(1200),
        deadline: now + Duration::from_secs(15),
        queue_deadline: now + Duration::from_secs(4),
        service: "drafting".into(),
        software_version: None,
        regions: Regions::all(),
        size: ResponseSize {
            prompt_tokens: 2000.0,
            expected_output_tokens: 120.0,
            max_output_tokens: None,
        },
        max_event_gap: Duration::from_millis(300),
        tried_replicas: Vec::new(),
        may_repeat: true,
        usage: None,
        salt: id,
    }
}

fn learn_step(dispatcher: &mut Dispatcher, now: Instant, id: &str, step_ms: u64) {
    for _ in 0..10 {
        dispatcher.on_events(now, &id.into(), 1, Duration::from_millis(step_ms * 2));
    }
}

fn fill(dispatcher: &mut Dispatcher, now: Instant, requests: u64) {
    for id in 0..requests {
        dispatcher.enqueue(job(1000 + id, 0, now));
    }
    dispatcher.assign(now);
}

struct Order {
    /// Tiers of the waiting requests, in order of arrival, and whether each is late by now.
    waiting: Vec<(u32, bool)>,
    /// Identifiers of the requests that are assigned as slots become free, in this order.
    expected: Vec<JobId>,
}

/// A burst fills all engines, and requests of all tiers wait. A higher tier goes first. A request
/// that has missed its latency objective goes behind those of the next tier that can still meet
/// theirs, but before the tier after that; otherwise a planner's late draft would delay rotas that
/// are on time.
#[parameterized(
    urgent_first = { Order { waiting: vec![(2, false), (1, false), (0, false)], expected: vec![2, 1, 0] } },
    in_order_within_a_tier = { Order { waiting: vec![(1, false), (1, false)], expected: vec![0, 1] } },
    late_behind_next_tier = { Order { waiting: vec![(0, true), (1, false)], expected: vec![1, 0] } },
    late_before_lowest = { Order { waiting: vec![(2, false), (0, true)], expected: vec![1, 0] } },
)]
fn slots_go_to_the_highest_priority(case: Order) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("a", 0)]);
    fill(&mut dispatcher, now, u64::from(SLOTS) + 1);
    for (id, (tier, late)) in case.waiting.iter().enumerate() {
        let mut job = job(id as JobId, *tier, now + Duration::from_millis(id as u64));
        if *late {
            job.slo_deadline = now;
        }
        dispatcher.enqueue(job);
    }
    let mut order = Vec::new();
    for ended in 0..case.expected.len() as u64 {
        let later = now + Duration::from_millis(10 + ended);
        dispatcher.on_end(later, &"a".into(), 1000 + ended, Outcome::Served);
        order.extend(dispatcher.assign(later).into_iter().map(|p| p.job));
    }
    assert_eq!(order, case.expected);
}

struct Choice {
    /// Milliseconds per step of the replicas `a` and `b`.
    steps_ms: [u64; 2],
    /// Requests that other instances have running at these replicas.
    remote_running: [u32; 2],
    prompt_tokens: f64,
    output_tokens: f64,
    expected: &'static str,
}

/// Two thirds of the engines are four times as fast as the others. If only the number of requests
/// counted, a long prompt would stall the streams of a slow engine beyond their acceptable gap, and
/// a long response would miss its deadline there.
#[parameterized(
    faster_when_equal = { Choice { steps_ms: [5, 23], remote_running: [0, 0], prompt_tokens: 1000.0, output_tokens: 100.0, expected: "a" } },
    slow_when_fast_is_full = { Choice { steps_ms: [5, 23], remote_running: [7, 0], prompt_tokens: 1000.0, output_tokens: 100.0, expected: "b" } },
    less_loaded_when_equal = { Choice { steps_ms: [5, 5], remote_running: [6, 2], prompt_tokens: 1000.0, output_tokens: 100.0, expected: "b" } },
    long_prompt_to_fast = { Choice { steps_ms: [23, 5], remote_running: [2, 6], prompt_tokens: 30_000.0, output_tokens: 100.0, expected: "b" } },
    long_answer_to_fast = { Choice { steps_ms: [23, 5], remote_running: [0, 6], prompt_tokens: 500.0, output_tokens: 900.0, expected: "b" } },
)]
fn a_request_goes_where_it_is_served_best(case: Choice) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("a", 0), replica("b", 0)]);
    for (i, id) in ["a", "b"].into_iter().enumerate() {
        learn_step(&mut dispatcher, now, id, case.steps_ms[i]);
        dispatcher.update_remote_load(&id.into(), case.remote_running[i], 0.0);
    }
    let mut job = job(1, 0, now);
    job.size.prompt_tokens = case.prompt_tokens;
    job.size.expected_output_tokens = case.output_tokens;
    dispatcher.enqueue(job);
    let assignments = dispatcher.assign(now);
    assert_eq!(&*assignments[0].upstream, case.expected);
}

/// A crashed replica stays listed for seconds, and each request sent to it costs its caller the
/// time of a connection. After the first failure it is in backoff, then probed by one request at a
/// time, and used again as soon as one gets a response.
#[test]
fn an_unreachable_replica_is_tried_by_one_at_a_time() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("a", 0), replica("b", 0)]);
    // The other replica works and is full. While one works, the failed one isn't retried early.
    dispatcher.update_remote_load(&"b".into(), SLOTS + 1, 0.0);
    dispatcher.enqueue(job(1, 0, now));
    assert_eq!(dispatcher.assign(now).len(), 1);
    dispatcher.on_end(now, &"a".into(), 1, Outcome::Unreachable);
    dispatcher.enqueue(job(2, 0, now));
    dispatcher.enqueue(job(3, 0, now));
    assert!(
        dispatcher
            .assign(now + Duration::from_millis(500))
            .is_empty()
    );
    let later = now + Duration::from_millis(1100);
    assert_eq!(dispatcher.assign(later).len(), 1);
    dispatcher.on_first_event(later, &"a".into(), 2);
    assert_eq!(dispatcher.assign(later).len(), 1);
}

/// A replica accepts requests and responds to none. At first it can't be told from a slow one;
/// after a second without any response it gets no more requests.
#[test]
fn an_unresponsive_replica_gets_no_more_requests() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("a", 0), replica("b", 120)]);
    dispatcher.enqueue(job(1, 0, now));
    assert_eq!(&*dispatcher.assign(now)[0].upstream, "a");
    let later = now + Duration::from_secs(2);
    assert!(dispatcher.is_unresponsive(later, &"a".into()));
    dispatcher.enqueue(job(2, 0, later));
    assert_eq!(&*dispatcher.assign(later)[0].upstream, "b");
}

/// All slots of a replica are in use by other instances, and one request of this instance is queued
/// there. It gets no response for a second because it waits for a slot. If that counted as a
/// failure, the request would be retried on another replica, and under load each instance would do
/// the same at one replica after the other.
#[test]
fn a_queued_request_does_not_make_its_replica_unresponsive() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("a", 0)]);
    dispatcher.update_remote_load(&"a".into(), SLOTS, 0.0);
    dispatcher.enqueue(job(1, 0, now));
    assert_eq!(dispatcher.assign(now).len(), 1);
    let id = "a".into();
    assert!(!dispatcher.is_unresponsive(now + Duration::from_millis(1500), &id));
    assert!(dispatcher.is_unresponsive(now + Duration::from_secs(4), &id));
}

/// A replica that is shutting down finishes its requests but gets no new ones while it is still
/// listed.
#[test]
fn a_leaving_replica_gets_nothing_new() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    let mut leaving = replica("a", 0);
    leaving.usable = false;
    dispatcher.update_replicas(Instant::now(), &[leaving]);
    dispatcher.enqueue(job(1, 0, now));
    assert!(dispatcher.assign(now).is_empty());
    assert_eq!(dispatcher.take_timed_out(now + Duration::from_secs(4)), [1]);
}

/// A replica is killed and restarts under its name. What was learned and counted about its previous
/// incarnation doesn't apply to the new one.
#[test]
fn a_restarted_replica_starts_without_load() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("a", 0)]);
    fill(&mut dispatcher, now, 20);
    let mut restarted = replica("a", 0);
    restarted.incarnation = 2;
    dispatcher.update_replicas(Instant::now(), &[restarted]);
    assert_eq!(dispatcher.assign(now).len(), SLOTS as usize + 1);
}

const DRAFTING: &str = "drafting";

/// An instance at which one request waits while the only replica is full.
fn waiting(address: u32, tier: u32, now: Instant, propagation_delay: Duration) -> Dispatcher {
    let mut dispatcher = Dispatcher::new().with_address(address);
    dispatcher.update_replicas(
        Instant::now(),
        &[Replica {
            propagation_delay,
            ..replica("a", 0)
        }],
    );
    dispatcher.update_remote_load(&"a".into(), SLOTS + 1, 0.0);
    dispatcher.enqueue(job(1, tier, now));
    assert!(dispatcher.assign(now).is_empty());
    dispatcher
}

fn competitor(address: u32, tier: u32) -> Competitor {
    Competitor {
        service: DRAFTING.into(),
        address,
        class: (1, tier * 2),
    }
}

/// A burst fills an engine, and requests wait at ten instances of a zone. When a slot becomes free,
/// all of them learn it at once. If all used it, nine requests would queue inside a full engine,
/// where the one with the highest priority can't be served first.
#[test]
fn one_instance_claims_a_free_slot() {
    let now = Instant::now();
    let addresses = 0..10;
    let mut assigned = 0;
    for address in addresses.clone() {
        let mut dispatcher = waiting(address, 0, now, Duration::ZERO);
        let others = addresses.clone().filter(|k| *k != address);
        dispatcher.update_competitors(others.map(|k| competitor(k, 0)).collect());
        dispatcher.update_remote_load(&"a".into(), SLOTS, 0.0);
        assigned += dispatcher.assign(now).len();
        // The entitled instance may have failed: a moment later any instance may use the slot.
        if dispatcher.waiting_count() == 1 {
            assert_eq!(dispatcher.assign(now + Duration::from_millis(20)).len(), 1);
        }
    }
    assert_eq!(assigned, 1);
}

struct Queues {
    /// Tier of the request at this instance.
    own_tier: u32,
    /// Highest tier that waits at another instance of the zone.
    other_tier: u32,
    /// Whether the request is assigned to a free slot, at most times.
    is_assigned: bool,
}

/// A low-priority request waits here and a high-priority one at another instance. The free slot is
/// for the latter; otherwise planners wait behind briefs that happened to arrive at another
/// instance.
#[parameterized(
    urgent_elsewhere = { Queues { own_tier: 2, other_tier: 0, is_assigned: false } },
    urgent_here = { Queues { own_tier: 0, other_tier: 2, is_assigned: true } },
)]
fn a_free_slot_goes_to_the_highest_priority(case: Queues) {
    let now = Instant::now();
    let mut assigned = 0;
    for salt in 0..100 {
        let mut dispatcher = waiting(1, 0, now, Duration::ZERO);
        dispatcher.cancel(1);
        dispatcher.enqueue(Job {
            salt: salt * 10,
            ..job(2, case.own_tier, now)
        });
        dispatcher.update_competitors(vec![competitor(2, case.other_tier)]);
        dispatcher.update_remote_load(&"a".into(), 0, 0.0);
        dispatcher.assign(now);
        dispatcher.assign(now + Duration::from_millis(20));
        assigned += 1 - dispatcher.waiting_count();
    }
    // A fifth of the time a request ignores the other instances, to prevent starvation.
    assert_eq!(assigned > 60, case.is_assigned, "{assigned} of 100");
    assert!(assigned >= 15, "{assigned} of 100");
}

/// A slot becomes free in another zone, whose instances learn it at once, while this one learns it
/// late. It is left to them for the propagation delay, and used if none of them needed it.
#[test]
fn a_free_slot_is_left_to_its_own_zone_first() {
    let now = Instant::now();
    let mut dispatcher = waiting(1, 0, now, Duration::from_millis(100));
    dispatcher.update_remote_load(&"a".into(), SLOTS, 0.0);
    assert!(dispatcher.assign(now).is_empty());
    assert!(
        dispatcher
            .assign(now + Duration::from_millis(90))
            .is_empty()
    );
    assert_eq!(dispatcher.assign(now + Duration::from_millis(110)).len(), 1);
}

struct Recovery {
    /// Whether another replica serves requests meanwhile.
    has_other: bool,
    /// Whether the failed replica is retried half a second after its last failure.
    is_retried: bool,
}

/// All replicas of a service were unreachable for a while and are back. Each has a backoff that
/// grew with every failure. If it applied to all of them at once, callers would be rejected for
/// seconds after the outage, although nothing else could serve them.
#[parameterized(
    no_other_replica = { Recovery { has_other: false, is_retried: true } },
    another_serves = { Recovery { has_other: true, is_retried: false } },
)]
fn a_failed_replica_is_tried_sooner_when_there_is_no_other(case: Recovery) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    let mut replicas = vec![replica("a", 0)];
    if case.has_other {
        replicas.push(replica("b", 200));
    }
    dispatcher.update_replicas(Instant::now(), &replicas);
    let id = "a".into();
    for n in 0..4 {
        dispatcher.on_end(now, &id, n, Outcome::Unreachable);
    }
    dispatcher.enqueue(job(9, 0, now));
    let assignments = dispatcher.assign(now + Duration::from_millis(600));
    let chosen: Vec<&str> = assignments.iter().map(|p| &*p.upstream).collect();
    assert_eq!(chosen == ["a"], case.is_retried, "{chosen:?}");
    assert_eq!(chosen == ["b"], case.has_other, "{chosen:?}");
}

struct Sizes {
    /// Tier, prompt tokens and output tokens of the waiting requests, in order of arrival.
    waiting: Vec<(u32, f64, f64)>,
    /// Identifiers of the requests that are assigned as slots become free, in this order.
    expected: Vec<JobId>,
}

/// An overload lasts ten seconds, with requests whose lengths differ a hundredfold. A report that
/// would hold a slot for seconds goes behind a check that needs a twentieth of that, even one of
/// the next tier; in order of arrival, ten callers would wait for one. Among requests of usual
/// length the tiers decide, so that a draft never goes before a brief.
#[parameterized(
    long_behind_short_of_its_tier = { Sizes { waiting: vec![(0, 30_000.0, 900.0), (0, 300.0, 10.0)], expected: vec![1, 0] } },
    long_behind_short_of_the_next = { Sizes { waiting: vec![(0, 30_000.0, 900.0), (1, 300.0, 10.0)], expected: vec![1, 0] } },
    long_before_late_lowest = { Sizes { waiting: vec![(2, 9_000.0, 400.0), (0, 9_000.0, 400.0)], expected: vec![1, 0] } },
    usual_before_short_of_lower = { Sizes { waiting: vec![(2, 300.0, 10.0), (0, 2_000.0, 120.0)], expected: vec![1, 0] } },
    equals_in_order = { Sizes { waiting: vec![(1, 2_000.0, 120.0), (1, 2_000.0, 120.0)], expected: vec![0, 1] } },
)]
fn short_requests_go_before_long_ones(case: Sizes) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("a", 0)]);
    fill(&mut dispatcher, now, u64::from(SLOTS) + 1);
    for (id, (tier, prompt, output)) in case.waiting.iter().enumerate() {
        let mut job = job(id as JobId, *tier, now + Duration::from_millis(id as u64));
        (job.size.prompt_tokens, job.size.expected_output_tokens) = (*prompt, *output);
        dispatcher.enqueue(job);
    }
    let mut order = Vec::new();
    for ended in 0..case.expected.len() as u64 {
        let later = now + Duration::from_millis(10 + ended);
        dispatcher.on_end(later, &"a".into(), 1000 + ended, Outcome::Served);
        order.extend(dispatcher.assign(later).into_iter().map(|p| p.job));
    }
    assert_eq!(order, case.expected);
}

struct Engine {
    /// Milliseconds per step.
    step_ms: f64,
    /// Prompt tokens processed per millisecond.
    prompt_rate: f64,
    /// Milliseconds until the first event, besides those for the prompt.
    first_event_ms: f64,
}

/// The engines of one customer process prompts two and a half times as slowly, relative to their
/// steps, as those of another. With the figures of the latter, a long prompt looks cheap at a slow
/// engine and its first token arrives late. The times of first events are used instead.
#[parameterized(
    large_steps = { Engine { step_ms: 7.0, prompt_rate: 62.0, first_event_ms: 120.0 } },
    small_steps = { Engine { step_ms: 3.5, prompt_rate: 48.0, first_event_ms: 14.0 } },
    slow_reader = { Engine { step_ms: 10.0, prompt_rate: 8.0, first_event_ms: 40.0 } },
)]
fn prompt_cost_is_learned(engine: Engine) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("a", 0)]);
    for _ in 0..10 {
        let gap = Duration::from_secs_f64(engine.step_ms * 2.0 / 1e3);
        dispatcher.on_events(now, &"a".into(), 1, gap);
    }
    let mut at = now;
    for id in 0..64 {
        let mut job = job(id, 0, at);
        job.size.prompt_tokens = 200.0 + 150.0 * id as f64;
        // Every eighth request is delayed by a prompt that this instance doesn't know of.
        let delay_ms = if id % 8 == 0 { 300.0 } else { 0.0 };
        let first_ms =
            engine.first_event_ms + job.size.prompt_tokens / engine.prompt_rate + delay_ms;
        dispatcher.enqueue(job);
        assert_eq!(dispatcher.assign(at).len(), 1);
        at += Duration::from_secs_f64(first_ms / 1e3);
        dispatcher.on_first_event(at, &"a".into(), id);
        dispatcher.on_end(at, &"a".into(), id, Outcome::Served);
    }
    let mut job = job(100, 0, at);
    job.size.prompt_tokens = 4000.0;
    dispatcher.enqueue(job);
    let cost_ms = dispatcher.assign_preferring_connected(at, |_| true)[0]
        .details
        .cost_ms;
    let expected = engine.first_event_ms + 4000.0 / engine.prompt_rate;
    let error = (cost_ms - expected).abs() / expected;
    assert!(
        error < 0.15,
        "{cost_ms:.0} ms estimated, {expected:.0} ms needed"
    );
}

struct Long {
    /// Expected tokens in the response.
    output_tokens: f64,
    /// Whether the fast replica is unreachable.
    fast_is_dead: bool,
    expected: Option<&'static str>,
}

/// All fast engines are full and a slow one has a free slot. A long response started there would
/// hold the slot until its caller's deadline and be lost all the same, along with the callers that
/// wait for the slot. It waits for a fast engine; if none works, a late attempt is better than
/// none.
#[parameterized(
    long_answer_waits = { Long { output_tokens: 900.0, fast_is_dead: false, expected: None } },
    short_answer_goes = { Long { output_tokens: 100.0, fast_is_dead: false, expected: Some("slow") } },
    long_answer_goes_where_no_other_works = { Long { output_tokens: 900.0, fast_is_dead: true, expected: Some("slow") } },
)]
fn a_long_response_is_not_started_where_it_cannot_finish(case: Long) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("fast", 0), replica("slow", 0)]);
    learn_step(&mut dispatcher, now, "fast", 5);
    learn_step(&mut dispatcher, now, "slow", 23);
    let later = now + Duration::from_secs(2);
    if case.fast_is_dead {
        dispatcher.on_peer_unreachable(later, &"fast".into());
    } else {
        dispatcher.update_remote_load(&"fast".into(), SLOTS + 1, 0.0);
    }
    let mut long = job(1, 0, later);
    long.size.expected_output_tokens = case.output_tokens;
    dispatcher.enqueue(long);
    let assignments = dispatcher.assign(later);
    let chosen = assignments.first().map(|p| p.upstream.to_string());
    assert_eq!(chosen.as_deref(), case.expected);
}

/// Callers of an engine send no token counts, so all prompts have length 0. Nothing can be learned
/// about the prompt cost; a fit to these samples would make every cost NaN, and all requests would
/// go to the same replica.
#[test]
fn prompt_cost_is_not_learned_from_unknown_lengths() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("a", 0)]);
    learn_step(&mut dispatcher, now, "a", 5);
    for id in 0..32 {
        let mut job = job(id, 0, now);
        job.size.prompt_tokens = 0.0;
        dispatcher.enqueue(job);
        let at = now + Duration::from_millis(id);
        assert!(
            dispatcher.assign(at)[0].details.cost_ms.is_finite(),
            "request {id}"
        );
        dispatcher.on_first_event(at, &"a".into(), id);
        dispatcher.on_end(at, &"a".into(), id, Outcome::Served);
    }
}

struct Shutdown {
    /// Milliseconds per step of the replicas `a` and `b`.
    steps_ms: [u64; 2],
    time_left: Duration,
    output_tokens: f64,
    expected: bool,
}

/// An instance that is about to shut down receives a request for a stream. One that no replica
/// finishes in time would be cut off, after its caller waited for nothing; one that some replica
/// finishes must not be rejected because another replica is slow.
#[parameterized(
    short = { Shutdown { steps_ms: [5, 23], time_left: Duration::from_secs(4), output_tokens: 100.0, expected: true } },
    long_for_the_slow_one = { Shutdown { steps_ms: [5, 23], time_left: Duration::from_secs(4), output_tokens: 200.0, expected: true } },
    long_for_both = { Shutdown { steps_ms: [5, 23], time_left: Duration::from_secs(4), output_tokens: 700.0, expected: false } },
    all_slow = { Shutdown { steps_ms: [23, 23], time_left: Duration::from_secs(4), output_tokens: 200.0, expected: false } },
    no_time = { Shutdown { steps_ms: [5, 23], time_left: Duration::ZERO, output_tokens: 1.0, expected: false } },
)]
fn a_stream_is_accepted_if_a_replica_can_finish_it(case: Shutdown) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(Instant::now(), &[replica("a", 0), replica("b", 0)]);
    learn_step(&mut dispatcher, now, "a", case.steps_ms[0]);
    learn_step(&mut dispatcher, now, "b", case.steps_ms[1]);
    dispatcher.set_finish_by(now + case.time_left);
    let size = ResponseSize {
        prompt_tokens: 1000.0,
        expected_output_tokens: case.output_tokens,
        max_output_tokens: None,
    };
    let can_finish = dispatcher.can_finish(now, &"drafting".into(), &Regions::all(), &size);
    assert_eq!(can_finish, case.expected);
}

/// The replicas `home` in region north and `away` in region south.
fn two_regions() -> Dispatcher {
    let mut dispatcher = Dispatcher::new();
    let away = Replica {
        software_version: 1,
        region: "south".into(),
        ..replica("away", 60)
    };
    dispatcher.update_replicas(Instant::now(), &[away, replica("home", 0)]);
    dispatcher
}

fn bound_to(region: &str, now: Instant) -> Job {
    Job {
        regions: Regions::named([region.into()]),
        ..job(9, 0, now)
    }
}

struct OwnRegion {
    /// What happens to the replica in the request's region.
    event: fn(&mut Dispatcher, Instant),
    /// Whether the request is still assigned to that replica.
    is_assigned: bool,
}

/// A request restricted to a region goes to no other region, whatever happens to the replicas
/// there.
#[parameterized(
    nothing = { OwnRegion { event: |_, _| (), is_assigned: true } },
    full = { OwnRegion { event: |d, _| d.update_remote_load(&"home".into(), SLOTS + 1, 0.0), is_assigned: false } },
    unreachable = { OwnRegion { event: |d, now| d.on_end(now, &"home".into(), 1, Outcome::Unreachable), is_assigned: false } },
    gone = { OwnRegion { event: |d, _| d.update_replicas(Instant::now(), &[Replica { region: "south".into(), ..replica("away", 60) }]), is_assigned: false } },
    leaving = { OwnRegion { event: |d, _| d.update_replicas(Instant::now(), &[Replica { usable: false, ..replica("home", 0) }, Replica { region: "south".into(), ..replica("away", 60) }]), is_assigned: false } },
)]
fn a_request_stays_in_its_regions(case: OwnRegion) {
    let now = Instant::now();
    let mut dispatcher = two_regions();
    (case.event)(&mut dispatcher, now);
    dispatcher.enqueue(bound_to("north", now));
    let assignments = dispatcher.assign(now);
    let chosen: Vec<&str> = assignments.iter().map(|p| &*p.upstream).collect();
    assert_eq!(
        chosen,
        if case.is_assigned {
            vec!["home"]
        } else {
            vec![]
        }
    );
}

/// The only replica in a request's region was unreachable for a while, and those of other regions
/// work. It is retried as early as if there were no others.
#[test]
fn a_failed_replica_is_tried_sooner_when_it_is_the_only_one_allowed() {
    let now = Instant::now();
    let mut dispatcher = two_regions();
    for n in 0..4 {
        dispatcher.on_end(now, &"home".into(), n, Outcome::Unreachable);
    }
    dispatcher.enqueue(bound_to("north", now));
    let assignments = dispatcher.assign(now + Duration::from_millis(600));
    assert_eq!(assignments.len(), 1);
}

/// Replicas in regions where a request may not be processed are counted separately from full ones.
#[test]
fn availability_counts_replicas_of_other_regions_separately() {
    let now = Instant::now();
    let mut dispatcher = two_regions();
    dispatcher.update_remote_load(&"home".into(), SLOTS + 1, 0.0);
    let availability =
        dispatcher.availability(now, &"drafting".into(), &Regions::named(["north".into()]));
    assert_eq!(
        (
            availability.usable,
            availability.region_not_allowed,
            availability.full
        ),
        (2, 1, 1)
    );
}

/// Limit of the cold replicas in these tests.
const COLD_LIMIT: ColdLimit = ColdLimit {
    requests_per_s: 5.6,
    tolerated_per_s: 13.4,
};

/// Dispatcher of the instance `address`, with a replica in the zone of `members` that is cold for
/// three seconds.
fn cold(now: Instant, address: u32, members: Option<Vec<u32>>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new().with_address(address);
    dispatcher.update_members(now, members);
    let cold = Replica {
        slots: 100,
        cold_until: Some(now + Duration::from_secs(3)),
        cold_limit: Some(COLD_LIMIT),
        ..replica("a", 0)
    };
    dispatcher.update_replicas(now, &[cold]);
    dispatcher
}

/// Requests wait at all instances of a zone while a replica is cold. It gets as many as its limit
/// permits, from the one designated instance; if every instance filled it, it would crash.
#[test]
fn a_whole_zone_respects_the_limit_of_a_cold_replica() {
    let now = Instant::now();
    let members: Vec<u32> = (1..=13).collect();
    let mut zone: Vec<Dispatcher> = members
        .iter()
        .map(|address| cold(now, *address, Some(members.clone())))
        .collect();
    let mut assigned = [0; 4];
    for ms in (0..4000).step_by(20) {
        for dispatcher in &mut zone {
            let at = now + Duration::from_millis(ms);
            let mut job = job(ms, 0, at);
            job.queue_deadline = at + Duration::from_secs(9);
            dispatcher.enqueue(job);
            for assignment in dispatcher.assign(at) {
                assigned[(ms / 1000) as usize] += 1;
                dispatcher.on_end(at, &assignment.upstream, assignment.job, Outcome::Served);
            }
        }
    }
    assert_eq!(assigned[..3], [5, 5, 5]);
    assert!(
        assigned[3] > 100,
        "it is open once it is warm: {}",
        assigned[3]
    );
}

struct Instance {
    members: Option<Vec<u32>>,
    /// Whether the replica is in the instance's zone.
    in_own_zone: bool,
}

/// An instance that doesn't know its zone, or is in another zone, sends nothing to a cold replica.
#[parameterized(
    knows_nobody = { Instance { members: None, in_own_zone: true } },
    of_another_zone = { Instance { members: Some(vec![7]), in_own_zone: false } },
)]
fn only_known_instances_of_its_zone_send_to_a_cold_replica(case: Instance) {
    let now = Instant::now();
    let mut dispatcher = cold(now, 7, case.members);
    let restarted = Replica {
        in_own_zone: case.in_own_zone,
        cold_until: Some(now + Duration::from_secs(3)),
        cold_limit: Some(COLD_LIMIT),
        ..replica("a", 0)
    };
    dispatcher.update_replicas(
        now,
        &[Replica {
            incarnation: 2,
            ..restarted
        }],
    );
    dispatcher.enqueue(job(1, 0, now));
    assert!(dispatcher.assign(now + Duration::from_secs(2)).is_empty());
    let availability = dispatcher.availability(now, &"drafting".into(), &Regions::all());
    assert_eq!(
        (availability.cold_not_designated, availability.ejected),
        (1, 0)
    );
    assert_eq!(dispatcher.assign(now + Duration::from_secs(3)).len(), 1);
}

/// The rest of a stream was sent to a replica of another software version than the one that began it.
#[parameterized(
    same = { Some(2), true },
    other = { Some(3), false },
    any = { None, true },
)]
fn a_request_gets_only_replicas_of_the_version_that_it_needs(
    needed: Option<u32>,
    is_assigned: bool,
) {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    let replica = Replica {
        software_version: 2,
        ..replica("a", 0)
    };
    dispatcher.update_replicas(now, &[replica]);
    dispatcher.enqueue(Job {
        software_version: needed,
        ..job(1, 0, now)
    });
    assert_eq!(dispatcher.assign(now).len(), usize::from(is_assigned));
    let service = "drafting".into();
    assert!(dispatcher.serves_version(&service, 2, &[]));
    assert!(!dispatcher.serves_version(&service, 2, &["a".into()]));
    assert!(!dispatcher.serves_version(&service, 3, &[]));
}
