//! The client's commands on a running fleet of real processes.

#![expect(dead_code, reason = "the support serves other test programs too")]

use std::process::{Command, Output};

use kingcupfield::explain::Explanation;
use serde_json::{Value, json};

#[path = "support/caller.rs"]
mod caller;
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/machine_limits.rs"]
mod machine_limits;
#[path = "support/process.rs"]
mod process;
#[path = "support/relay.rs"]
mod relay;

use caller::{Call, Reply};
use fleet::{BOOKINGS, Fleet, FleetConfig, MODEL, Organisation, key_of, organisation};
use process::wait_for;

const PROMPT: &str = "why does the lashing of bay nine take so long";

fn kingcup(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_kingcup"))
        .args(args)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("the client starts")
}

/// Runs the client beside the fleet, whose tasks go on meanwhile.
async fn client(args: Vec<String>) -> Output {
    let run = move || kingcup(&args.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(run).await.expect("no panic")
}

fn text(output: &Output) -> String {
    let all = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8(all).expect("UTF-8")
}

fn admins(fleet: &Fleet) -> Vec<String> {
    fleet.entries.iter().map(|e| e.admin.to_string()).collect()
}

async fn on_all(fleet: &Fleet, words: &[&str]) -> Output {
    let mut args: Vec<_> = words.iter().map(|w| (*w).to_owned()).collect();
    args.extend(admins(fleet));
    client(args).await
}

fn chat(organisation: &str) -> Call {
    Call::chat(MODEL, PROMPT, 8, true).with_key(&key_of(organisation))
}

async fn send(fleet: &Fleet, call: &Call) -> Reply {
    let reply = fleet.caller.call(fleet.entries[0].addr, call).await;
    reply.expect("an answer")
}

async fn explain(fleet: &Fleet, reply: &Reply) -> (Explanation, String) {
    let id = reply.request_id().to_owned();
    assert!(!id.is_empty(), "{}", reply.body);
    let mut explanation = None;
    // The answer may reach its caller a moment before its instance notes how the request ended.
    wait_for("the end of the request is noted", async || {
        let json = on_all(fleet, &["explain", "--json", &id]).await;
        let told: Explanation = serde_json::from_slice(&json.stdout).expect("JSON");
        let ended = told.outcome != "running";
        explanation = ended.then_some(told);
        ended
    })
    .await;
    let explanation = explanation.expect("waited for");
    (explanation, text(&on_all(fleet, &["explain", &id]).await))
}

#[tokio::test(flavor = "multi_thread")]
async fn status_dump_and_drain_show_and_steer_the_fleet() {
    let fleet = Fleet::start(FleetConfig::small()).await;
    assert_eq!(send(&fleet, &chat("terminal-a")).await.status, 200);

    let ready = on_all(&fleet, &["status", "--ready"]).await;
    assert_eq!(ready.status.code(), Some(0), "{}", text(&ready));
    let status = text(&ready);
    for words in ["north-sea-1", "north-sea-2", "ready", "urgent", "answered"] {
        assert!(status.contains(words), "{words} in {status}");
    }
    let dump = client(vec!["dump".to_owned(), admins(&fleet)[1].clone()]).await;
    let dump: Value = serde_json::from_slice(&dump.stdout).expect("JSON");
    assert_eq!(dump["instance"]["instance"], "north-sea-2");
    assert!(
        !dump.to_string().contains(&key_of("terminal-a")),
        "no key in a dump"
    );

    let admin = admins(&fleet)[0].clone();
    let drain = client(vec!["drain".to_owned(), admin]).await;
    assert_eq!(drain.status.code(), Some(0), "{}", text(&drain));
    wait_for("the drained instance is not ready", async || {
        let status = on_all(&fleet, &["status", "--ready"]).await;
        status.status.code() == Some(1)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn status_names_an_address_that_gives_none() {
    let fleet = Fleet::start(FleetConfig::small()).await;
    fleet.entries[1].process.kill();
    wait_for("one address gives no status", async || {
        let status = on_all(&fleet, &["status"]).await;
        let gone = format!("no status from {}", fleet.entries[1].admin);
        status.status.code() == Some(1) && text(&status).contains(&gone)
    })
    .await;
}

// An organisation sends more than its own limit. Its caller reads 429 and asks why, although the
// fleet is idle.
#[tokio::test(flavor = "multi_thread")]
async fn explain_tells_a_limit() {
    let limited = Organisation {
        limits: json!({"requests_per_s": 1.0}),
        ..organisation("limited")
    };
    let fleet = Fleet::start(FleetConfig::small().with_organisation(limited)).await;
    let mut refused = None;
    wait_for("the limit refuses", async || {
        let reply = send(&fleet, &chat("limited")).await;
        let is_limit = reply.status == 429;
        refused = is_limit.then_some(reply);
        is_limit
    })
    .await;
    let (explanation, words) = explain(&fleet, &refused.expect("waited for")).await;
    assert_eq!(explanation.refusal(), Some("limited"), "{words}");
    assert!(
        words.contains("the organisation used up its own limit"),
        "{words}"
    );
    assert!(words.contains("it did not run and never will"), "{words}");
}

// All engines stand still and the caller's patience is short. The caller reads 504, and the
// operator must not be told that the caller went away.
#[tokio::test(flavor = "multi_thread")]
async fn explain_tells_a_deadline() {
    let fleet = Fleet::start(FleetConfig::small()).await;
    for engine in fleet.engines() {
        fleet.upstream_faults(engine, &json!({"stall": true})).await;
    }
    let call = chat("terminal-a").with_header("kingcup-timeout-ms", "300");
    let reply = send(&fleet, &call).await;
    assert_eq!(reply.status, 504, "{}", reply.body);
    let (explanation, words) = explain(&fleet, &reply).await;
    assert_eq!(explanation.outcome, "late", "{words}");
    assert!(
        words.contains("the caller's deadline passed while it ran"),
        "{words}"
    );
}

// The engines answer every request with an error. The caller reads 502, and the operator has to
// know which replica to look at.
#[tokio::test(flavor = "multi_thread")]
async fn explain_tells_an_upstream_failure() {
    let fleet = Fleet::start(FleetConfig::small()).await;
    for engine in fleet.engines() {
        fleet.upstream_faults(engine, &json!({"status": 500})).await;
    }
    let reply = send(&fleet, &chat("terminal-a")).await;
    assert_eq!(reply.status, 502, "{}", reply.body);
    let (explanation, words) = explain(&fleet, &reply).await;
    assert_eq!(explanation.outcome, "broken", "{words}");
    assert!(
        words.contains("dispatched to north-sea-drafting-"),
        "{words}"
    );
    assert!(words.contains("the upstream broke: "), "{words}");
    assert!(
        words.contains("next: look at the replica named above"),
        "{words}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_of_an_unknown_request_says_where_to_ask() {
    let fleet = Fleet::start(FleetConfig::small()).await;
    let output = on_all(&fleet, &["explain", "north-sea-1.0.1"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(
        text(&output).contains("no instance asked remembers"),
        "{}",
        text(&output)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn load_reports_what_the_callers_received() {
    let fleet = Fleet::start(FleetConfig::small()).await;
    let mix = json!({
        "phases": [{"seconds": 2.0, "rate": 20.0}],
        "jobs": [
            {"job": "draft", "service": MODEL, "tier": "urgent", "weight": 3, "timeout_ms": 60000,
             "prompt_words": 20, "max_tokens": 4},
            {"job": "booking", "service": "booking", "tier": "normal", "weight": 1,
             "timeout_ms": 60000, "call": "POST /bookings", "non_idempotent": true},
        ],
        "senders": [{"organisation": "terminal-a", "key": key_of("terminal-a"), "weight": 1}],
    });
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let (file, svg) = (dir.join("fleet-mix.json"), dir.join("fleet-load.svg"));
    std::fs::write(&file, mix.to_string()).expect("the mix");
    let path = |p: &std::path::Path| p.to_str().expect("UTF-8").to_owned();
    let mut args = vec![
        "load".to_owned(),
        "--json".to_owned(),
        "--mix".to_owned(),
        path(&file),
    ];
    args.extend(["--svg".to_owned(), path(&svg)]);
    args.extend(fleet.entries.iter().map(|e| e.addr.to_string()));
    let output = client(args).await;
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    for tier in report["tiers"].as_array().expect("tiers") {
        assert!(tier["sent"].as_u64() > Some(0), "{report}");
        assert_eq!(tier["good"], tier["sent"], "{report}");
    }
    assert!(svg.exists(), "{}", text(&output));
    let booked = fleet
        .runs()
        .await
        .iter()
        .filter(|r| r.service == "booking")
        .count();
    let job = |name: &str| {
        let jobs = report["jobs"].as_array().expect("jobs");
        jobs.iter()
            .find(|j| j["name"] == name)
            .map(|j| j["sent"].clone())
    };
    assert_eq!(
        job("booking"),
        Some(json!(booked)),
        "{BOOKINGS} once for each call"
    );
}
