//! A whole site is stopped at once: the last instance has nobody to leave its keys to, and
//! instances that are a little behind still pass bookings on to it. A foreman is told that nobody
//! knows whether the crane is booked, though the booking was made and answered.
//!
//! The instance looked whether a booking was under way, saw none, and ended; its door for other
//! instances was open until then. What came in between was passed on to the service, or had just
//! been answered by it, and was cut with the process. And while bookings went on coming there was
//! no such moment: the instance did not end at all, until it was killed with all that it had.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::WsClient;
use kingcupfield::calls::{KEY, KeyQuestion, KeyReply, KeyRequest, KeyedCall};
use kingcupfield::message::PROTOCOL;
use kingcupfield::peers::{PeerToken, connect};
use kingcupfield_decisions::idempotency::{IssuerReply, KeyOutcome};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::sleep;
use yare::parameterized;

use crate::fleet::{BOOKING, Fleet, FleetConfig, SECRET};
use crate::process::{Process, wait_for};

/// Keys that were issued before the stop.
const KEYS: usize = 1_900;
/// Other instances that pass bookings on so rarely that there are moments without one.
const RARELY: Pace = Pace {
    peers: 3,
    max_pause: Duration::from_micros(2_500),
    service_time_ms: "2",
};
/// Other instances that always have a booking under way.
const WITHOUT_END: Pace = Pace {
    peers: 8,
    max_pause: Duration::from_micros(1),
    service_time_ms: "30",
};
/// When the peers begin, shortly before the instance ends.
const AFTER_STOP: Duration = Duration::from_millis(2_500);
/// Patience of a caller.
const TIME_LEFT: Duration = Duration::from_secs(5);

/// How often bookings come.
#[derive(Debug, Clone, Copy)]
struct Pace {
    peers: u64,
    /// Longest pause of a peer between two bookings.
    max_pause: Duration,
    /// Time that the service takes for one.
    service_time_ms: &'static str,
}

/// A booking that an instance passed on, and what it was told.
#[derive(Debug, Clone)]
struct PassedOn {
    key: String,
    answer: Option<KeyReply>,
}

fn booking(key: &str) -> KeyedCall {
    KeyedCall {
        request: key.into(),
        key: key.to_owned(),
        organisation: "terminal-a".into(),
        weight: 1,
        tier: "urgent".into(),
        rank: 0,
        attempt: 1,
        service: BOOKING.into(),
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        content_type: None,
        body: STANDARD.encode("crane 4"),
        time_left: TIME_LEFT,
    }
}

async fn pass_on(client: &WsClient, key: String) -> PassedOn {
    let request = KeyRequest {
        protocol: PROTOCOL,
        question: KeyQuestion::Call(Box::new(booking(&key))),
    };
    let answer = client.request(KEY, rpc_params![&request]).await.ok();
    PassedOn { key, answer }
}

/// Passes bookings on until the connection is gone.
async fn pass_on_until_gone(
    rpc: SocketAddr,
    keys: Arc<Mutex<Vec<String>>>,
    max_pause: Duration,
    mut rng: ChaCha8Rng,
) -> Vec<PassedOn> {
    let token = PeerToken::new(SECRET.as_bytes());
    let client = connect(&token, &rpc.to_string(), TIME_LEFT).await;
    let client = client.expect("a connection");
    let mut all = Vec::new();
    while client.is_connected() {
        let Some(key) = keys.lock().expect("no peer panicked").pop() else {
            break;
        };
        all.push(pass_on(&client, key).await);
        sleep(rng.random_range(Duration::ZERO..max_pause)).await;
    }
    all
}

/// Whether the answer tells that the booking ran.
fn told(answer: Option<&KeyReply>) -> bool {
    let Some(KeyReply::Issuer(IssuerReply::Outcome(outcome))) = answer else {
        return false;
    };
    matches!(outcome, KeyOutcome::Ran { .. })
}

/// Operators read from the log whether a stop cut anything, so its last line must not be lost with
/// the process, and must come after every line of a cut.
async fn left_without_a_cut(process: &Process) {
    let last = |line: &str| line.contains("event=left ");
    wait_for("the last line of the log", async || {
        process.lines().last().is_some_and(|line| last(line))
    })
    .await;
    let cut: Vec<String> = process
        .lines()
        .into_iter()
        .filter(|line| line.contains("_cut "))
        .collect();
    assert!(cut.is_empty(), "{cut:?}");
}

#[parameterized(
    rarely_1 = { RARELY, 81 },
    rarely_2 = { RARELY, 82 },
    rarely_3 = { RARELY, 83 },
    rarely_4 = { RARELY, 84 },
    rarely_5 = { RARELY, 85 },
    rarely_6 = { RARELY, 86 },
    without_end = { WITHOUT_END, 87 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_booking_that_was_made_is_told_to_whoever_passed_it_on(pace: Pace, seed: u64) {
    let mut cfg = FleetConfig::small();
    cfg.zones = vec![("north-sea", 1)];
    cfg.service_args = vec!["--service-time-ms", pace.service_time_ms];
    let mut fleet = Fleet::start(cfg).await;
    let keys = Arc::new(Mutex::new(fleet.issue_keys(KEYS).await));
    fleet.entries[0].process.terminate();
    sleep(AFTER_STOP).await;
    let mut peers = JoinSet::new();
    for number in 0..pace.peers {
        let rng = ChaCha8Rng::seed_from_u64(seed * 1000 + number);
        peers.spawn(pass_on_until_gone(
            fleet.entries[0].rpc,
            Arc::clone(&keys),
            pace.max_pause,
            rng,
        ));
    }
    let passed_on = peers.join_all().await.concat();
    let status = fleet.entries[0].process.ended().await;
    assert!(status.success(), "{status}");
    left_without_a_cut(&fleet.entries[0].process).await;
    let mut ran: Vec<String> = fleet
        .runs()
        .await
        .into_iter()
        .filter_map(|ran| ran.run.idempotency_key)
        .collect();
    ran.sort_unstable();
    let lost: Vec<&str> = passed_on
        .iter()
        .filter(|p| !told(p.answer.as_ref()) && ran.binary_search(&p.key).is_ok())
        .map(|p| p.key.as_str())
        .collect();
    assert!(!ran.is_empty(), "no booking was made");
    let unused = keys.lock().expect("no peer panicked").len();
    assert!(unused > 0, "it did not end while bookings came");
    assert!(lost.is_empty(), "made and not told: {lost:?}");
}
