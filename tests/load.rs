//! Tests of the load generator: schedule, open loop, counting and reading of responses.

use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use axum::routing::{get, post};
use futures::StreamExt;
use kingcupfield::load::call::PlannedCall;
use kingcupfield::load::mix::{Job, Mix, Phase, Sender};
use kingcupfield::load::{Arrivals, CallOutcome, CallResult, Caller, Report, Tally, plot, runner};
use tokio::time::{Instant, sleep_until};
use yare::parameterized;

const SEED: u64 = 7;

fn job(name: &str, tier: &str, weight: u32) -> Job {
    Job {
        job: name.to_owned(),
        service: "drafting".into(),
        tier: tier.into(),
        weight,
        timeout_ms: 500,
        call: None,
        non_idempotent: false,
        prompt_words: 20,
        shared_words: 8,
        max_tokens: 4,
    }
}

fn mix() -> Mix {
    Mix {
        phases: vec![
            Phase {
                seconds: 2.0,
                rate: 100.0,
            },
            Phase {
                seconds: 1.0,
                rate: 400.0,
            },
        ],
        jobs: vec![job("draft", "urgent", 3), job("long", "batch", 1)],
        senders: vec![Sender {
            organisation: "terminal-a".into(),
            key: "secret".to_owned(),
            weight: 1,
        }],
    }
}

fn complete(scheduled: Instant) -> CallResult {
    CallResult {
        outcome: CallOutcome::Complete,
        first_token: Some(scheduled.elapsed()),
        total: scheduled.elapsed(),
        tokens: 4,
    }
}

#[test]
fn one_seed_gives_one_plan_with_the_rates_and_weights_of_the_mix() {
    let mix = mix();
    let schedule: Vec<_> = Arrivals::new(&mix, SEED).collect();
    assert!(
        schedule
            .iter()
            .eq(Arrivals::new(&mix, SEED).collect::<Vec<_>>().iter())
    );
    assert!(
        schedule
            .iter()
            .ne(Arrivals::new(&mix, SEED + 1).collect::<Vec<_>>().iter())
    );
    assert!(schedule.is_sorted_by_key(|a| a.at));

    let before = schedule
        .iter()
        .filter(|a| a.at < Duration::from_secs(2))
        .count();
    let drafts = schedule.iter().filter(|a| a.job.job == "draft").count();
    // Bounds at four standard deviations of the Poisson and the binomial count.
    assert!((144..=256).contains(&before), "{before} of 200");
    assert!(
        (320..=480).contains(&(schedule.len() - before)),
        "{} of 400",
        schedule.len() - before
    );
    assert!(
        drafts.abs_diff(schedule.len() * 3 / 4) <= 43,
        "{drafts} of {}",
        schedule.len()
    );
}

// Guards against coordinated omission: the server stalls for one second and then responds to all
// waiting requests at once. Callers that arrive during the stall wait up to a second each; a closed
// loop would send one request and record one slow response.
#[tokio::test(start_paused = true)]
async fn waits_behind_a_standstill_are_all_recorded() {
    let mix = mix().with_phase(100.0, Duration::from_secs(3));
    let start = Instant::now();
    let stall = start + Duration::from_secs(1)..start + Duration::from_secs(2);
    let call = |_: &_, scheduled: Instant| {
        let stall = stall.clone();
        async move {
            if stall.contains(&Instant::now()) {
                sleep_until(stall.end).await;
            }
            complete(scheduled)
        }
    };
    let tally = runner::run(Arrivals::new(&mix, SEED), call, |_, _| {}).await;
    let report = Report::new(&tally, SEED);

    let in_stall = Arrivals::new(&mix, SEED)
        .filter(|a| a.at.as_secs() == 1)
        .count() as u64;
    let late: u64 = report.tiers.iter().map(|t| t.late).sum();
    let good: u64 = report.tiers.iter().map(|t| t.good).sum();
    assert_eq!(late + good, Arrivals::new(&mix, SEED).count() as u64);
    // Calls that arrive in the first half of the stall wait longer than the timeout of 500 ms.
    assert!(
        late > in_stall / 3 && late < in_stall,
        "{late} of {in_stall}"
    );
    assert!(report.tiers.iter().all(|t| t.whole.max_ms > 900.0));
    assert!(
        report
            .tiers
            .iter()
            .all(|t| t.seconds[1].good < t.seconds[1].sent)
    );
    assert!(
        report
            .tiers
            .iter()
            .all(|t| t.seconds[2].good == t.seconds[2].sent)
    );
}

struct CountCase {
    outcome: CallOutcome,
    total_ms: u64,
    good: u64,
    late: u64,
    refused: u64,
    foreign: u64,
}

#[parameterized(
    in_time = {
        CountCase {
            outcome: CallOutcome::Complete,
            total_ms: 500, good: 1, late: 0, refused: 0, foreign: 0,
        }
    },
    too_late = {
        CountCase {
            outcome: CallOutcome::Complete,
            total_ms: 501, good: 0, late: 1, refused: 0, foreign: 0,
        }
    },
    refused = {
        CountCase {
            outcome: CallOutcome::Refused { kind: "shed".to_owned(), ran: "no".to_owned() },
            total_ms: 1, good: 0, late: 0, refused: 1, foreign: 0,
        }
    },
    foreign = {
        CountCase {
            outcome: CallOutcome::WrongRequest,
            total_ms: 1, good: 0, late: 0, refused: 0, foreign: 1,
        }
    },
)]
fn an_ending_is_counted_for_what_the_caller_got(case: CountCase) {
    let mix = mix();
    let arrival = Arrivals::new(&mix, SEED).next().expect("an arrival");
    let mut tally = Tally::new();
    tally.record_arrival(&arrival, Duration::ZERO);
    let key = tally.count_key(&arrival);
    let result = CallResult {
        outcome: case.outcome,
        first_token: None,
        total: Duration::from_millis(case.total_ms),
        tokens: 0,
    };
    tally.record_end(key, &result);
    let report = Report::new(&tally, SEED);
    let tier = &report.tiers[0];
    assert_eq!((tier.sent, tier.good, tier.late), (1, case.good, case.late));
    let refused: u64 = tier.refused.iter().map(|r| r.count).sum();
    assert_eq!((refused, tier.foreign), (case.refused, case.foreign));
    assert_eq!(tier.seconds[0].good, case.good);
}

/// Starts a server that responds to every completion with `body` and the request ID `r-1`.
///
/// With `broken` the connection breaks after the body. Returns the server's address.
async fn serve(status: u16, body: &'static str, broken: bool) -> String {
    let respond = move || async move {
        let mut parts = vec![Ok(body)];
        if broken {
            parts.push(Err(std::io::Error::other("cut")));
        }
        // Yielding before each part sends the response headers before the connection breaks.
        let parts = futures::stream::iter(parts).then(|part| async {
            tokio::task::yield_now().await;
            part
        });
        Response::builder()
            .status(status)
            .header("kingcup-request-id", "r-1")
            .header("kingcup-ran", "no")
            .body(Body::from_stream(parts))
            .expect("a response")
    };
    let router = Router::new()
        .route("/v1/chat/completions", post(respond))
        .route("/healthz", get(|| async { "ok" }));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

struct ResponseCase {
    status: u16,
    body: &'static str,
    broken: bool,
    outcome: CallOutcome,
}

impl ResponseCase {
    fn new(status: u16, body: &'static str, outcome: CallOutcome) -> Self {
        Self {
            status,
            body,
            broken: false,
            outcome,
        }
    }
}

fn refused(kind: &str) -> CallOutcome {
    CallOutcome::Refused {
        kind: kind.to_owned(),
        ran: "no".to_owned(),
    }
}

#[parameterized(
    whole = {
        ResponseCase::new(200, "data: {\"id\":\"r-1\"}\n\ndata: [DONE]\n\n", CallOutcome::Complete)
    },
    short = { ResponseCase::new(200, "data: {\"id\":\"r-1\"}\n\n", CallOutcome::Truncated) },
    foreign = {
        ResponseCase::new(
            200,
            "data: {\"id\":\"r-2\"}\n\ndata: [DONE]\n\n",
            CallOutcome::WrongRequest,
        )
    },
    no_json = { ResponseCase::new(200, "data: {\n\ndata: [DONE]\n\n", CallOutcome::WrongRequest) },
    refusal = { ResponseCase::new(503, "{\"error\":{\"kind\":\"shed\"}}", refused("shed")) },
    bare_status = { ResponseCase::new(500, "oops", refused("500")) },
    cut = {
        ResponseCase {
            broken: true,
            ..ResponseCase::new(200, "data: {\"id\":\"r-1\"}\n\n", CallOutcome::ConnectionBroken)
        }
    },
)]
#[test_macro(tokio::test)]
async fn an_answer_is_read_to_its_end(case: ResponseCase) {
    let address = serve(case.status, case.body, case.broken).await;
    let mix = mix();
    let arrival = Arrivals::new(&mix, SEED).next().expect("an arrival");
    let call = PlannedCall::new(&arrival, SEED);
    let result = Caller::new(vec![address]).call(call, Instant::now()).await;
    assert_eq!(result.outcome, case.outcome);
}

#[tokio::test]
async fn an_address_without_a_listener_is_unreachable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    drop(listener);
    let mix = mix();
    let arrival = Arrivals::new(&mix, SEED).next().expect("an arrival");
    let call = PlannedCall::new(&arrival, SEED);
    let result = Caller::new(vec![address]).call(call, Instant::now()).await;
    assert_eq!(result.outcome, CallOutcome::Unreachable);
}

#[test]
fn prompts_share_their_first_words_and_differ_after() {
    let mix = mix();
    let prompts: Vec<_> = Arrivals::new(&mix, SEED)
        .filter(|a| a.job.job == "draft")
        .take(2)
        .map(|a| PlannedCall::new(&a, SEED).prompt())
        .collect();
    let words = |i: usize| prompts[i].split(' ').collect::<Vec<_>>();
    let same = words(0)
        .iter()
        .zip(words(1))
        .take_while(|(a, b)| **a == *b)
        .count();
    assert_eq!((same, words(0).len()), (8, 20));
}

#[test]
fn the_picture_names_every_tier() {
    let mix = mix();
    let mut tally = Tally::new();
    for arrival in Arrivals::new(&mix, SEED) {
        tally.record_arrival(&arrival, Duration::ZERO);
    }
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("load.svg");
    plot::plot(&Report::new(&tally, SEED), &path).expect("the picture is drawn");
    let svg = std::fs::read_to_string(&path).expect("the picture is there");
    assert!(svg.starts_with("<svg") && svg.contains("urgent") && svg.contains("batch"));
}

#[parameterized(harrowgate = { "harrowgate" }, lotus = { "lotus" })]
fn example_mixes_are_valid(firm: &str) {
    let path = format!("examples/{firm}/load.json");
    let mix = Mix::read(path.as_ref()).expect("valid");
    assert!(mix.jobs.iter().any(|j| j.non_idempotent));
}
