//! Which replicas an instance that shuts down sends requests to.

use std::time::Duration;

use kingcupfield_decisions::dispatch::{Dispatcher, Job, Replica, ResponseSize};
use kingcupfield_decisions::regions::Regions;
use tokio::time::Instant;
use yare::parameterized;

/// Requests that a replica runs concurrently.
const SLOTS: u32 = 6;

/// State of the engines `a` and `b`, and a stream that is requested of an instance that shuts down.
struct LateStream {
    /// Measured milliseconds per step; `None` without measurements.
    steps_ms: [Option<u64>; 2],
    /// Requests that other instances run there.
    running: [u32; 2],
    prompt_tokens: f64,
    /// Expected and largest number of output tokens.
    output_tokens: [f64; 2],
    time_left: Duration,
    /// Whether the instance closes its connections already.
    is_closing: bool,
    /// The engine that gets the request.
    chosen: Option<&'static str>,
    /// Whether the request is refused at once; otherwise it waits, unless it is sent.
    is_refused: bool,
}

const USUAL: LateStream = LateStream {
    steps_ms: [Some(5), Some(23)],
    running: [0, 0],
    prompt_tokens: 53_200.0,
    output_tokens: [80.0, 80.0],
    time_left: Duration::from_millis(3700),
    is_closing: false,
    chosen: None,
    is_refused: false,
};

fn dispatcher(case: &LateStream, now: Instant) -> Dispatcher {
    let replica = |id: &str| Replica {
        id: id.into(),
        incarnation: 1,
        service: "drafting".into(),
        software_version: 1,
        region: "north".into(),
        slots: SLOTS,
        weighted_round_trip: Duration::ZERO,
        network_round_trip: Duration::ZERO,
        propagation_delay: Duration::ZERO,
        is_engine: true,
        tokens_per_event: 2,
        usable: true,
        in_own_zone: true,
        cold_until: None,
        cold_limit: None,
    };
    let mut dispatcher = Dispatcher::new();
    dispatcher.update_replicas(now, &[replica("a"), replica("b")]);
    for (id, (step_ms, running)) in ["a", "b"]
        .iter()
        .zip(case.steps_ms.iter().zip(case.running))
    {
        let id = (*id).into();
        for gap in step_ms.iter().map(|ms| Duration::from_millis(ms * 2)) {
            for _ in 0..10 {
                dispatcher.on_events(now, &id, 1, gap);
            }
        }
        dispatcher.update_remote_load(&id, running, 0.0);
    }
    dispatcher
}

fn job(case: &LateStream, now: Instant) -> Job {
    Job {
        id: 1,
        priority: (1, 1),
        received_at: now,
        slo_deadline: now + Duration::from_millis(1200),
        deadline: now + Duration::from_secs(15),
        queue_deadline: now + Duration::from_secs(4),
        service: "drafting".into(),
        software_version: None,
        regions: Regions::all(),
        size: ResponseSize {
            prompt_tokens: case.prompt_tokens,
            expected_output_tokens: case.output_tokens[0],
            max_output_tokens: Some(case.output_tokens[1]),
        },
        max_event_gap: Duration::from_millis(300),
        tried_replicas: Vec::new(),
        may_repeat: false,
        usage: None,
        salt: 1,
    }
}

/// Streams were sent to a replica that could not complete them before the instance ended, because another one could
/// have, and were cut off midway.
#[parameterized(
    fast_has_room = { LateStream { chosen: Some("a"), ..USUAL } },
    fast_is_full = { LateStream { running: [6, 0], ..USUAL } },
    fast_is_full_and_slow_unknown = { LateStream { steps_ms: [Some(5), None], running: [7, 0], ..USUAL } },
    fast_leaves_a_wait = { LateStream { running: [6, 6], ..USUAL } },
    nothing_is_known = { LateStream { steps_ms: [None, None], is_refused: true, ..USUAL } },
    all_are_slow = { LateStream { steps_ms: [Some(23), Some(23)], is_refused: true, ..USUAL } },
    short_for_the_slow_one = { LateStream { running: [6, 0], prompt_tokens: 500.0, output_tokens: [60.0, 60.0], chosen: Some("b"), ..USUAL } },
    short_for_an_unknown_one = { LateStream { steps_ms: [None, None], prompt_tokens: 500.0, output_tokens: [20.0, 20.0], chosen: Some("a"), ..USUAL } },
    may_be_longer_than_expected = { LateStream { running: [6, 0], prompt_tokens: 500.0, output_tokens: [60.0, 400.0], ..USUAL } },
    is_as_long_as_permitted = { LateStream { running: [6, 0], prompt_tokens: 500.0, output_tokens: [80.0, 60.0], chosen: Some("b"), ..USUAL } },
    early = { LateStream { running: [6, 0], time_left: Duration::from_secs(13), chosen: Some("b"), ..USUAL } },
    closing = { LateStream { is_closing: true, is_refused: true, ..USUAL } },
    short_while_closing = { LateStream { is_closing: true, prompt_tokens: 500.0, output_tokens: [20.0, 20.0], chosen: Some("a"), ..USUAL } },
    may_be_long_while_closing = { LateStream { is_closing: true, prompt_tokens: 500.0, output_tokens: [20.0, 200.0], is_refused: true, ..USUAL } },
)]
fn a_late_stream_is_sent_where_it_can_be_completed(case: LateStream) {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&case, now);
    dispatcher.set_finish_by(now + case.time_left);
    if case.is_closing {
        dispatcher.set_closing();
    }
    dispatcher.enqueue(job(&case, now));
    let assigned = dispatcher.assign(now);
    let chosen = assigned.first().map(|a| &*a.upstream);
    assert_eq!(chosen, case.chosen);
    let refused = dispatcher.take_unfinishable(now);
    assert_eq!(!refused.is_empty(), case.is_refused);
}

/// A stream waited for a full replica until the end of the process, though its caller could have gone elsewhere.
#[test]
fn a_stream_that_waits_is_refused_once_it_is_too_late() {
    let now = Instant::now();
    let case = LateStream {
        running: [6, 6],
        ..USUAL
    };
    let mut dispatcher = dispatcher(&case, now);
    dispatcher.enqueue(job(&case, now));
    assert!(
        dispatcher.take_unfinishable(now).is_empty(),
        "the instance goes on"
    );
    dispatcher.set_finish_by(now + case.time_left);
    assert!(
        dispatcher.take_unfinishable(now).is_empty(),
        "the fast engine may become free"
    );
    let late = now + Duration::from_secs(2);
    assert_eq!(dispatcher.take_unfinishable(late), [1]);
    assert_eq!(dispatcher.waiting_count(), 0);
}

/// An instance that goes on sends a stream to a slow replica rather than let it wait.
#[test]
fn an_instance_that_goes_on_uses_slow_replicas() {
    let now = Instant::now();
    let case = LateStream {
        running: [7, 0],
        ..USUAL
    };
    let mut dispatcher = dispatcher(&case, now);
    dispatcher.enqueue(job(&case, now));
    assert_eq!(&*dispatcher.assign(now)[0].upstream, "b");
}
