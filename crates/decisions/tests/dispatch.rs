//! Which request goes next and where, judged by what is placed.

use std::time::Duration;

use kingcupfield_decisions::cold::ColdLimit;
use kingcupfield_decisions::dispatch::{Competitor, Dispatcher, Job, JobId, Outcome, Replica};
use kingcupfield_decisions::regions::Regions;
use tokio::time::Instant;
use yare::parameterized;

const SLOTS: u32 = 6;

fn replica(id: &str, round_trip: u64) -> Replica {
    Replica {
        id: id.into(),
        incarnation: 1,
        service: "drafting".into(),
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
        regions: Regions::all(),
        prompt_tokens: 2000.0,
        expected_output_tokens: 120.0,
        max_event_gap: Duration::from_millis(300),
        tried_replicas: Vec::new(),
        salt: id,
    }
}

fn learn_step(dispatch: &mut Dispatcher, now: Instant, id: &str, step_ms: u64) {
    for _ in 0..10 {
        dispatch.on_events(now, &id.into(), 1, Duration::from_millis(step_ms * 2));
    }
}

fn fill(dispatch: &mut Dispatcher, now: Instant, requests: u64) {
    for id in 0..requests {
        dispatch.enqueue(job(1000 + id, 0, now));
    }
    dispatch.assign(now);
}

struct Order {
    /// Tiers of the waiting requests, in order of arrival, and whether each is late by now.
    waiting: Vec<(u32, bool)>,
    /// Which of them get the places that come free, one after the other.
    expected: Vec<JobId>,
}

/// A burst fills all engines and work of all tiers waits. Urgent work goes first, and a request
/// whose objective has passed stands behind the next tier's that can still be on time, but before
/// the tier after that; else a planner's late draft would hold up rotas that are not late yet.
#[parameterized(
    urgent_first = { Order { waiting: vec![(2, false), (1, false), (0, false)], expected: vec![2, 1, 0] } },
    in_order_within_a_tier = { Order { waiting: vec![(1, false), (1, false)], expected: vec![0, 1] } },
    late_behind_next_tier = { Order { waiting: vec![(0, true), (1, false)], expected: vec![1, 0] } },
    late_before_lowest = { Order { waiting: vec![(2, false), (0, true)], expected: vec![1, 0] } },
)]
fn places_go_in_the_right_order(case: Order) {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("a", 0)]);
    fill(&mut dispatch, now, u64::from(SLOTS) + 1);
    for (id, (tier, late)) in case.waiting.iter().enumerate() {
        let mut job = job(id as JobId, *tier, now + Duration::from_millis(id as u64));
        if *late {
            job.slo_deadline = now;
        }
        dispatch.enqueue(job);
    }
    let mut order = Vec::new();
    for ended in 0..case.expected.len() as u64 {
        let later = now + Duration::from_millis(10 + ended);
        dispatch.on_end(later, &"a".into(), 1000 + ended, Outcome::Served);
        order.extend(dispatch.assign(later).into_iter().map(|p| p.job));
    }
    assert_eq!(order, case.expected);
}

struct Choice {
    /// Milliseconds a token step of the replicas `a` and `b`.
    steps: [u64; 2],
    /// Requests that others have there.
    elsewhere: [u32; 2],
    prompt: f64,
    output: f64,
    expected: &'static str,
}

/// Two thirds of the engines are four times as fast as the rest. Sent by numbers alone, a long
/// prompt stops the streams of a slow engine for longer than their callers bear, and a long answer
/// ends after its deadline there.
#[parameterized(
    faster_when_equal = { Choice { steps: [5, 23], elsewhere: [0, 0], prompt: 1000.0, output: 100.0, expected: "a" } },
    slow_when_fast_is_full = { Choice { steps: [5, 23], elsewhere: [7, 0], prompt: 1000.0, output: 100.0, expected: "b" } },
    less_loaded_when_equal = { Choice { steps: [5, 5], elsewhere: [6, 2], prompt: 1000.0, output: 100.0, expected: "b" } },
    long_prompt_to_fast = { Choice { steps: [23, 5], elsewhere: [2, 6], prompt: 30_000.0, output: 100.0, expected: "b" } },
    long_answer_to_fast = { Choice { steps: [23, 5], elsewhere: [0, 6], prompt: 500.0, output: 900.0, expected: "b" } },
)]
fn a_request_goes_where_it_is_served_best(case: Choice) {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("a", 0), replica("b", 0)]);
    for (at, id) in ["a", "b"].into_iter().enumerate() {
        learn_step(&mut dispatch, now, id, case.steps[at]);
        dispatch.update_remote_load(&id.into(), case.elsewhere[at], 0.0);
    }
    let mut job = job(1, 0, now);
    job.prompt_tokens = case.prompt;
    job.expected_output_tokens = case.output;
    dispatch.enqueue(job);
    let placed = dispatch.assign(now);
    assert_eq!(&*placed[0].upstream, case.expected);
}

/// A crashed replica stays listed for seconds, and each request that is sent there costs its caller
/// the time of a connection. After the first failure it is left alone, then tried by one request
/// at a time, and it is used again as soon as that one is answered.
#[test]
fn an_unreachable_replica_is_tried_by_one_at_a_time() {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("a", 0), replica("b", 0)]);
    // The other one works and is full, so that nobody is spared by trying the failed one early.
    dispatch.update_remote_load(&"b".into(), SLOTS + 1, 0.0);
    dispatch.enqueue(job(1, 0, now));
    assert_eq!(dispatch.assign(now).len(), 1);
    dispatch.on_end(now, &"a".into(), 1, Outcome::Unreachable);
    dispatch.enqueue(job(2, 0, now));
    dispatch.enqueue(job(3, 0, now));
    assert!(dispatch.assign(now + Duration::from_millis(500)).is_empty());
    let later = now + Duration::from_millis(1100);
    assert_eq!(dispatch.assign(later).len(), 1);
    dispatch.on_first_event(later, &"a".into(), 2);
    assert_eq!(dispatch.assign(later).len(), 1);
}

/// A replica takes requests and answers none. Its requests can't be told from slow ones at first;
/// once it has brought nothing for a second it gets no more.
#[test]
fn a_silent_replica_gets_no_more_work() {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("a", 0), replica("b", 120)]);
    dispatch.enqueue(job(1, 0, now));
    assert_eq!(&*dispatch.assign(now)[0].upstream, "a");
    let later = now + Duration::from_secs(2);
    assert!(dispatch.is_unresponsive(later, &"a".into()));
    dispatch.enqueue(job(2, 0, later));
    assert_eq!(&*dispatch.assign(later)[0].upstream, "b");
}

/// All slots of a replica are taken by other instances' requests, and one of ours stands behind
/// them. It hears nothing for a second because it waits its turn. Taken for a sign of death, it
/// would be abandoned and run again elsewhere, and under load each instance would do so at replica
/// after replica.
#[test]
fn a_request_behind_others_is_no_sign_of_silence() {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("a", 0)]);
    dispatch.update_remote_load(&"a".into(), SLOTS, 0.0);
    dispatch.enqueue(job(1, 0, now));
    assert_eq!(dispatch.assign(now).len(), 1);
    let id = "a".into();
    assert!(!dispatch.is_unresponsive(now + Duration::from_millis(1500), &id));
    assert!(dispatch.is_unresponsive(now + Duration::from_secs(4), &id));
}

/// A replica that is leaving finishes what it has and gets nothing new, though its entry is there.
#[test]
fn a_leaving_replica_gets_nothing_new() {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    let mut leaving = replica("a", 0);
    leaving.usable = false;
    dispatch.update_replicas(Instant::now(), &[leaving]);
    dispatch.enqueue(job(1, 0, now));
    assert!(dispatch.assign(now).is_empty());
    assert_eq!(dispatch.take_timed_out(now + Duration::from_secs(4)), [1]);
}

/// A replica is killed and starts again under its name. What was learned and counted of its former
/// life says nothing of the new one.
#[test]
fn a_new_life_starts_without_load() {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("a", 0)]);
    fill(&mut dispatch, now, 20);
    let mut again = replica("a", 0);
    again.incarnation = 2;
    dispatch.update_replicas(Instant::now(), &[again]);
    assert_eq!(dispatch.assign(now).len(), SLOTS as usize + 1);
}

const DRAFTING: &str = "drafting";

/// An instance of a zone at which one request waits before a full replica.
fn waiting(key: u32, tier: u32, now: Instant, news: Duration) -> Dispatcher {
    let mut dispatch = Dispatcher::new().with_address(key);
    dispatch.update_replicas(
        Instant::now(),
        &[Replica {
            propagation_delay: news,
            ..replica("a", 0)
        }],
    );
    dispatch.update_remote_load(&"a".into(), SLOTS + 1, 0.0);
    dispatch.enqueue(job(1, tier, now));
    assert!(dispatch.assign(now).is_empty());
    dispatch
}

fn contender(key: u32, tier: u32) -> Competitor {
    Competitor {
        service: DRAFTING.into(),
        address: key,
        class: (1, tier * 2),
    }
}

/// A burst fills an engine and requests wait at ten instances of a zone. When a place comes free
/// all hear of it at once. If all took it, nine requests would stand inside a full engine, where
/// the most urgent can't be served first any more.
#[test]
fn a_free_place_is_taken_by_one_instance() {
    let now = Instant::now();
    let keys = 0..10;
    let mut takers = 0;
    for key in keys.clone() {
        let mut dispatch = waiting(key, 0, now, Duration::ZERO);
        let others = keys.clone().filter(|k| *k != key);
        dispatch.update_competitors(others.map(|k| contender(k, 0)).collect());
        dispatch.update_remote_load(&"a".into(), SLOTS, 0.0);
        takers += dispatch.assign(now).len();
        // Whoever should have taken it may be gone: a moment later it is anybody's.
        if dispatch.waiting_count() == 1 {
            assert_eq!(dispatch.assign(now + Duration::from_millis(20)).len(), 1);
        }
    }
    assert_eq!(takers, 1);
}

struct Elsewhere {
    /// Tier of the request that waits here.
    own: u32,
    /// Tier of what waits at another instance of the zone.
    other: u32,
    /// Whether the request takes a free place, at most of all moments.
    takes: bool,
}

/// A cheap request waits here and an urgent one at the next instance. The place that comes free is
/// the urgent one's, or planners wait behind briefs that happened to come in elsewhere.
#[parameterized(
    urgent_elsewhere = { Elsewhere { own: 2, other: 0, takes: false } },
    urgent_here = { Elsewhere { own: 0, other: 2, takes: true } },
)]
fn a_free_place_is_the_most_urgent_requests(case: Elsewhere) {
    let now = Instant::now();
    let mut taken = 0;
    for salt in 0..100 {
        let mut dispatch = waiting(1, 0, now, Duration::ZERO);
        dispatch.cancel(1);
        dispatch.enqueue(Job {
            salt: salt * 10,
            ..job(2, case.own, now)
        });
        dispatch.update_competitors(vec![contender(2, case.other)]);
        dispatch.update_remote_load(&"a".into(), 0, 0.0);
        dispatch.assign(now);
        dispatch.assign(now + Duration::from_millis(20));
        taken += 1 - dispatch.waiting_count();
    }
    // A fifth of the time a request goes by its own instance's queue, so that nothing starves.
    assert_eq!(taken > 60, case.takes, "{taken} of 100");
    assert!(taken >= 15, "{taken} of 100");
}

/// A place comes free in another zone, whose instances hear of it at once while this one hears
/// late. It is left to them for as long as news takes, and taken when nobody there wanted it.
#[test]
fn a_place_in_another_zone_is_left_to_that_zone_first() {
    let now = Instant::now();
    let mut dispatch = waiting(1, 0, now, Duration::from_millis(100));
    dispatch.update_remote_load(&"a".into(), SLOTS, 0.0);
    assert!(dispatch.assign(now).is_empty());
    assert!(dispatch.assign(now + Duration::from_millis(90)).is_empty());
    assert_eq!(dispatch.assign(now + Duration::from_millis(110)).len(), 1);
}

struct Return {
    /// Whether another replica serves meanwhile.
    other: bool,
    /// Whether the failed one is tried half a second after its last failure.
    tried: bool,
}

/// All replicas of a service were out of reach for a while and are back. Each was left alone for
/// longer with each failure; if that held for all at once, callers would be refused for seconds
/// after the trouble is over, with nobody to send them to.
#[parameterized(
    nobody_else = { Return { other: false, tried: true } },
    another_serves = { Return { other: true, tried: false } },
)]
fn a_failed_replica_is_tried_sooner_when_there_is_no_other(case: Return) {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    let mut replicas = vec![replica("a", 0)];
    if case.other {
        replicas.push(replica("b", 200));
    }
    dispatch.update_replicas(Instant::now(), &replicas);
    let id = "a".into();
    for n in 0..4 {
        dispatch.on_end(now, &id, n, Outcome::Unreachable);
    }
    dispatch.enqueue(job(9, 0, now));
    let placed = dispatch.assign(now + Duration::from_millis(600));
    let at: Vec<&str> = placed.iter().map(|p| &*p.upstream).collect();
    assert_eq!(at == ["a"], case.tried, "{at:?}");
    assert_eq!(at == ["b"], case.other, "{at:?}");
}

struct Sizes {
    /// Tier, prompt tokens and output tokens of the waiting requests, in order of arrival.
    waiting: Vec<(u32, f64, f64)>,
    /// Which of them get the places that come free, one after the other.
    expected: Vec<JobId>,
}

/// Work beyond what the engines can do waits for ten seconds, in requests whose lengths differ a
/// hundredfold. A report that would hold a place for seconds stands behind a check that needs a
/// twentieth of that, also one of the next tier; in order of arrival ten callers would wait for
/// one. Among requests of usual length the tiers decide, so that a draft never yields to a brief.
#[parameterized(
    long_behind_short_of_its_tier = { Sizes { waiting: vec![(0, 30_000.0, 900.0), (0, 300.0, 10.0)], expected: vec![1, 0] } },
    long_behind_short_of_the_next = { Sizes { waiting: vec![(0, 30_000.0, 900.0), (1, 300.0, 10.0)], expected: vec![1, 0] } },
    long_before_late_lowest = { Sizes { waiting: vec![(2, 9_000.0, 400.0), (0, 9_000.0, 400.0)], expected: vec![1, 0] } },
    usual_before_short_of_lower = { Sizes { waiting: vec![(2, 300.0, 10.0), (0, 2_000.0, 120.0)], expected: vec![1, 0] } },
    equals_in_order = { Sizes { waiting: vec![(1, 2_000.0, 120.0), (1, 2_000.0, 120.0)], expected: vec![0, 1] } },
)]
fn short_requests_go_before_long_ones(case: Sizes) {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("a", 0)]);
    fill(&mut dispatch, now, u64::from(SLOTS) + 1);
    for (id, (tier, prompt, output)) in case.waiting.iter().enumerate() {
        let mut job = job(id as JobId, *tier, now + Duration::from_millis(id as u64));
        (job.prompt_tokens, job.expected_output_tokens) = (*prompt, *output);
        dispatch.enqueue(job);
    }
    let mut order = Vec::new();
    for ended in 0..case.expected.len() as u64 {
        let later = now + Duration::from_millis(10 + ended);
        dispatch.on_end(later, &"a".into(), 1000 + ended, Outcome::Served);
        order.extend(dispatch.assign(later).into_iter().map(|p| p.job));
    }
    assert_eq!(order, case.expected);
}

struct Engine {
    /// Milliseconds a step.
    step: f64,
    /// Prompt tokens a millisecond.
    reads: f64,
    /// Milliseconds before a first event beside the prompt.
    first: f64,
}

/// A customer's engines read prompts two and a half times as slowly, beside their steps, as those
/// of the customer before. Judged by figures of the latter, a long prompt looks cheap at a slow
/// engine and its caller's first word comes late. What first events show is used instead.
#[parameterized(
    large_steps = { Engine { step: 7.0, reads: 62.0, first: 120.0 } },
    small_steps = { Engine { step: 3.5, reads: 48.0, first: 14.0 } },
    slow_reader = { Engine { step: 10.0, reads: 8.0, first: 40.0 } },
)]
fn the_reading_of_prompts_is_learned(engine: Engine) {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("a", 0)]);
    for _ in 0..10 {
        let gap = Duration::from_secs_f64(engine.step * 2.0 / 1e3);
        dispatch.on_events(now, &"a".into(), 1, gap);
    }
    let mut at = now;
    for id in 0..64 {
        let mut job = job(id, 0, at);
        job.prompt_tokens = 200.0 + 150.0 * id as f64;
        // Every eighth one is held up by a prompt that is not known here.
        let unseen = if id % 8 == 0 { 300.0 } else { 0.0 };
        let first_ms = engine.first + job.prompt_tokens / engine.reads + unseen;
        dispatch.enqueue(job);
        assert_eq!(dispatch.assign(at).len(), 1);
        at += Duration::from_secs_f64(first_ms / 1e3);
        dispatch.on_first_event(at, &"a".into(), id);
        dispatch.on_end(at, &"a".into(), id, Outcome::Served);
    }
    let mut job = job(100, 0, at);
    job.prompt_tokens = 4000.0;
    dispatch.enqueue(job);
    let cost_ms = dispatch.assign_preferring_connected(at, |_| true)[0]
        .details
        .cost_ms;
    let expected = engine.first + 4000.0 / engine.reads;
    let off = (cost_ms - expected).abs() / expected;
    assert!(
        off < 0.15,
        "{cost_ms:.0} ms reckoned, {expected:.0} ms needed"
    );
}

struct Long {
    /// Tokens that the answer likely has.
    output: f64,
    /// Whether the fast replica can't be reached.
    fast_is_dead: bool,
    expected: Option<&'static str>,
}

/// All fast engines are full and a slow one has a place. A long answer begun there would hold the
/// place until its caller's deadline and be lost all the same, with the callers that wait for the
/// place. It waits for a fast engine; where none works, a late try is better than none.
#[parameterized(
    long_answer_waits = { Long { output: 900.0, fast_is_dead: false, expected: None } },
    short_answer_goes = { Long { output: 100.0, fast_is_dead: false, expected: Some("slow") } },
    long_answer_goes_where_no_other_works = { Long { output: 900.0, fast_is_dead: true, expected: Some("slow") } },
)]
fn a_long_answer_is_not_begun_where_it_cannot_end(case: Long) {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("fast", 0), replica("slow", 0)]);
    learn_step(&mut dispatch, now, "fast", 5);
    learn_step(&mut dispatch, now, "slow", 23);
    let later = now + Duration::from_secs(2);
    if case.fast_is_dead {
        dispatch.on_peer_unreachable(later, &"fast".into());
    } else {
        dispatch.update_remote_load(&"fast".into(), SLOTS + 1, 0.0);
    }
    let mut long = job(1, 0, later);
    long.expected_output_tokens = case.output;
    dispatch.enqueue(long);
    let placed = dispatch.assign(later);
    let at = placed.first().map(|p| p.upstream.to_string());
    assert_eq!(at.as_deref(), case.expected);
}

/// Callers of an engine tell no token counts, so all prompts count as empty. Nothing can be learned
/// of how it reads them; a reading drawn from them anyway would make every cost not a number, and
/// all requests would go to the same replica.
#[test]
fn nothing_is_learned_from_prompts_of_unknown_length() {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("a", 0)]);
    learn_step(&mut dispatch, now, "a", 5);
    for id in 0..32 {
        let mut job = job(id, 0, now);
        job.prompt_tokens = 0.0;
        dispatch.enqueue(job);
        let at = now + Duration::from_millis(id);
        assert!(
            dispatch.assign(at)[0].details.cost_ms.is_finite(),
            "request {id}"
        );
        dispatch.on_first_event(at, &"a".into(), id);
        dispatch.on_end(at, &"a".into(), id, Outcome::Served);
    }
}

struct Ends {
    /// Milliseconds a token step of the replicas `a` and `b`.
    steps: [u64; 2],
    left: Duration,
    output: f64,
    expected: bool,
}

/// An instance that is about to end is asked for a stream. One that no replica ends in time would
/// be cut in its middle, and its caller would have waited for nothing; one that some replica ends
/// is not to be refused because another one is slow.
#[parameterized(
    short = { Ends { steps: [5, 23], left: Duration::from_secs(4), output: 100.0, expected: true } },
    long_for_the_slow_one = { Ends { steps: [5, 23], left: Duration::from_secs(4), output: 200.0, expected: true } },
    long_for_both = { Ends { steps: [5, 23], left: Duration::from_secs(4), output: 700.0, expected: false } },
    all_slow = { Ends { steps: [23, 23], left: Duration::from_secs(4), output: 200.0, expected: false } },
    no_time = { Ends { steps: [5, 23], left: Duration::ZERO, output: 1.0, expected: false } },
)]
fn an_answer_is_begun_where_a_replica_can_end_it(case: Ends) {
    let now = Instant::now();
    let mut dispatch = Dispatcher::new();
    dispatch.update_replicas(Instant::now(), &[replica("a", 0), replica("b", 0)]);
    learn_step(&mut dispatch, now, "a", case.steps[0]);
    learn_step(&mut dispatch, now, "b", case.steps[1]);
    let ends = dispatch.can_finish_within(case.left, &"drafting".into(), 1000.0, case.output);
    assert_eq!(ends, case.expected);
}

/// The replicas `home` in the region north and `away` in the region south.
fn two_regions() -> Dispatcher {
    let mut dispatch = Dispatcher::new();
    let away = Replica {
        region: "south".into(),
        ..replica("away", 60)
    };
    dispatch.update_replicas(Instant::now(), &[away, replica("home", 0)]);
    dispatch
}

fn bound_to(region: &str, now: Instant) -> Job {
    Job {
        regions: Regions::named([region.into()]),
        ..job(9, 0, now)
    }
}

struct Home {
    /// What befalls the replica in the region to which the request is bound.
    befalls: fn(&mut Dispatcher, Instant),
    /// Whether the request gets a place there all the same.
    placed: bool,
}

/// A request that is bound to a region goes to no other one, whatever happens at home.
#[parameterized(
    nothing = { Home { befalls: |_, _| (), placed: true } },
    full = { Home { befalls: |d, _| d.update_remote_load(&"home".into(), SLOTS + 1, 0.0), placed: false } },
    unreachable = { Home { befalls: |d, now| d.on_end(now, &"home".into(), 1, Outcome::Unreachable), placed: false } },
    gone = { Home { befalls: |d, _| d.update_replicas(Instant::now(), &[Replica { region: "south".into(), ..replica("away", 60) }]), placed: false } },
    leaving = { Home { befalls: |d, _| d.update_replicas(Instant::now(), &[Replica { usable: false, ..replica("home", 0) }, Replica { region: "south".into(), ..replica("away", 60) }]), placed: false } },
)]
fn a_request_stays_in_its_regions(case: Home) {
    let now = Instant::now();
    let mut dispatch = two_regions();
    (case.befalls)(&mut dispatch, now);
    dispatch.enqueue(bound_to("north", now));
    let placed = dispatch.assign(now);
    let homes: Vec<&str> = placed.iter().map(|p| &*p.upstream).collect();
    assert_eq!(homes, if case.placed { vec!["home"] } else { vec![] });
}

/// The only replica of a request's region was out of reach for a while, and those of other regions
/// serve: it is tried again as soon as if there were no others.
#[test]
fn a_failed_replica_is_tried_sooner_when_it_is_the_only_one_allowed() {
    let now = Instant::now();
    let mut dispatch = two_regions();
    for n in 0..4 {
        dispatch.on_end(now, &"home".into(), n, Outcome::Unreachable);
    }
    dispatch.enqueue(bound_to("north", now));
    let placed = dispatch.assign(now + Duration::from_millis(600));
    assert_eq!(placed.len(), 1);
}

/// Replicas of regions where a request may not be served are told apart from those that are full.
#[test]
fn the_standing_of_a_bound_request_tells_the_replicas_of_other_regions() {
    let now = Instant::now();
    let mut dispatch = two_regions();
    dispatch.update_remote_load(&"home".into(), SLOTS + 1, 0.0);
    let standing =
        dispatch.availability(now, &"drafting".into(), &Regions::named(["north".into()]));
    assert_eq!(
        (standing.usable, standing.region_not_allowed, standing.full),
        (2, 1, 1)
    );
}

/// What a cold replica of these tests bears.
const BEARABLE: ColdLimit = ColdLimit {
    requests_per_s: 5.6,
    tolerated_per_s: 13.4,
};

/// A replica of the zone of `members` that is cold for three seconds, as the instance `key` sees
/// it.
fn cold(now: Instant, key: u32, members: Option<Vec<u32>>) -> Dispatcher {
    let mut dispatch = Dispatcher::new().with_address(key);
    dispatch.update_members(now, members);
    let cold = Replica {
        slots: 100,
        cold_until: Some(now + Duration::from_secs(3)),
        cold_limit: Some(BEARABLE),
        ..replica("a", 0)
    };
    dispatch.update_replicas(now, &[cold]);
    dispatch
}

/// Work waits at all instances of a zone while a replica is cold. It gets what it bears, from the
/// one instance through which it is reached; before, each filled it and it crashed.
#[test]
fn a_cold_replica_gets_what_it_bears_from_a_whole_zone() {
    let now = Instant::now();
    let members: Vec<u32> = (1..=13).collect();
    let mut zone: Vec<Dispatcher> = members
        .iter()
        .map(|key| cold(now, *key, Some(members.clone())))
        .collect();
    let mut given = [0; 4];
    for ms in (0..4000).step_by(20) {
        for dispatch in &mut zone {
            let at = now + Duration::from_millis(ms);
            let mut urgent = job(ms, 0, at);
            urgent.queue_deadline = at + Duration::from_secs(9);
            dispatch.enqueue(urgent);
            for placed in dispatch.assign(at) {
                given[(ms / 1000) as usize] += 1;
                dispatch.on_end(at, &placed.upstream, placed.job, Outcome::Served);
            }
        }
    }
    assert_eq!(given[..3], [5, 5, 5]);
    assert!(given[3] > 100, "it is open once it is warm: {}", given[3]);
}

struct Closed {
    members: Option<Vec<u32>>,
    /// Whether the replica stands in the zone of the instance.
    home: bool,
}

/// An instance that does not know its zone, or is of another zone, sends nothing to a cold replica.
#[parameterized(
    knows_nobody = { Closed { members: None, home: true } },
    of_another_zone = { Closed { members: Some(vec![7]), home: false } },
)]
fn a_cold_replica_is_closed_to_others(case: Closed) {
    let now = Instant::now();
    let mut dispatch = cold(now, 7, case.members);
    let away = Replica {
        in_own_zone: case.home,
        cold_until: Some(now + Duration::from_secs(3)),
        cold_limit: Some(BEARABLE),
        ..replica("a", 0)
    };
    dispatch.update_replicas(
        now,
        &[Replica {
            incarnation: 2,
            ..away
        }],
    );
    dispatch.enqueue(job(1, 0, now));
    assert!(dispatch.assign(now + Duration::from_secs(2)).is_empty());
    let standing = dispatch.availability(now, &"drafting".into(), &Regions::all());
    assert_eq!((standing.cold_not_designated, standing.ejected), (1, 0));
    assert_eq!(dispatch.assign(now + Duration::from_secs(3)).len(), 1);
}
