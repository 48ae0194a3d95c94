//! The crowds, and what holds while they are there; a single large body, while nothing else is sent.

use std::fmt::Write as _;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};
use yare::parameterized;

use crate::caller::Call;
use crate::crowd::{ChunkedEnd, Crowd, Script};
use crate::fleet::{Fleet, FleetConfig, MODEL, key_of};
use crate::machine_limits::MachineLimits;
use crate::usage::UsageMonitor;

/// Largest body in bytes that an instance accepts.
const BODY_BYTES: usize = 512 * 1024;

/// Machine of the instance.
const MACHINE: MachineLimits = MachineLimits {
    memory_kib: 112 * 1024,
    descriptors: 2048,
};

/// Descriptors of a machine whose memory is not short.
const FEW_DESCRIPTORS: u64 = 512;

/// Descriptors that an instance keeps for other things than its callers' connections.
const RESERVED_DESCRIPTORS: u64 = 64;

/// Time for which an ordinary caller repeats its request while it is refused.
const CALLER_PATIENCE: Duration = Duration::from_secs(40);

/// Pause of an ordinary caller before it repeats its request.
const CALLER_PAUSE: Duration = Duration::from_millis(300);

/// Held by a running test.
static TURN: Mutex<()> = Mutex::const_new(());

struct Case {
    clients: usize,
    script: Script,
    organisation: &'static str,
    descriptors: u64,
}

impl Case {
    fn new(clients: usize, script: Script) -> Self {
        Self {
            clients,
            script,
            organisation: "terminal-a",
            descriptors: MACHINE.descriptors,
        }
    }

    fn of_strangers(self) -> Self {
        Self {
            organisation: "nobody",
            ..self
        }
    }

    fn with_descriptors(self, descriptors: u64) -> Self {
        Self {
            descriptors,
            ..self
        }
    }
}

/// Head of a chat completion without its last empty line.
fn head(organisation: &str) -> String {
    let key = key_of(organisation);
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: kingcup\r\nauthorization: Bearer {key}\r\ncontent-type: application/json\r\n"
    )
}

async fn start(descriptors: u64) -> Fleet {
    let limits = MachineLimits {
        descriptors,
        ..MACHINE
    };
    let cfg = FleetConfig {
        zones: vec![("north-sea", 1)],
        limits: Some(limits),
        ..FleetConfig::small()
    };
    Fleet::start(cfg).await
}

/// Whether an ordinary caller, who repeats a request that is refused, gets its answer.
async fn serves_ordinary_caller(fleet: &mut Fleet) -> bool {
    let end = Instant::now() + CALLER_PATIENCE;
    while Instant::now() < end && fleet.entries[0].process.is_running() {
        let call = Call::chat(MODEL, "Draft berth 4.", 4, false).with_key(&key_of("terminal-b"));
        let reply = fleet.caller.call(fleet.entries[0].addr, &call).await;
        if reply.is_some_and(|reply| reply.status == 200 && reply.ended) {
            return true;
        }
        sleep(CALLER_PAUSE).await;
    }
    false
}

/// Guards against clients that end an instance, take more than its machine has or keep it from serving others.
#[parameterized(
    all_but_the_last_byte = { Case::new(400, Script::sized(BODY_BYTES, BODY_BYTES - 1)) },
    whole_bodies = { Case::new(400, Script::sized(BODY_BYTES, BODY_BYTES)) },
    whole_bodies_in_pieces = { Case::new(400, Script::sized_in_pieces(BODY_BYTES, BODY_BYTES, 16 * 1024)) },
    large_chunks = { Case::new(400, Script::chunked(64 * 1024, BODY_BYTES - 1, ChunkedEnd::Open)) },
    chunks_of_one_byte = { Case::new(60, Script::chunked(1, 100_000, ChunkedEnd::Open)) },
    chunks_of_one_byte_with_an_end = { Case::new(60, Script::chunked(1, 100_000, ChunkedEnd::Whole)) },
    unfinished_heads = { Case::new(1200, Script::Head { bytes: 30_000 }) },
    silent_connections = { Case::new(700, Script::Silent).with_descriptors(FEW_DESCRIPTORS) },
    unfinished_bodies_on_all_descriptors = { Case::new(700, Script::sized(BODY_BYTES, 100)).with_descriptors(FEW_DESCRIPTORS) },
    announced_far_over_the_limit = { Case::new(200, Script::sized(1 << 30, 16 << 20)) },
    chunked_far_over_the_limit = { Case::new(200, Script::chunked(64 * 1024, 16 << 20, ChunkedEnd::Open)) },
    strangers = { Case::new(400, Script::sized(BODY_BYTES, BODY_BYTES - 1)).of_strangers() },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_crowd_does_not_end_an_instance_or_keep_it_from_serving(case: Case) {
    let _turn = TURN.lock().await;
    let mut fleet = start(case.descriptors).await;
    let (address, pid) = (fleet.entries[0].addr, fleet.entries[0].process.id());
    assert!(serves_ordinary_caller(&mut fleet).await, "serves in calm");
    let usage = UsageMonitor::start(pid, address);
    let organisation = case.organisation;
    let crowd = Crowd::start(address, case.clients, case.script, true, |_| {
        head(organisation)
    });
    tokio::task::block_in_place(|| {
        crowd.wait_sent();
        usage.wait_settled();
    });
    let is_served = serves_ordinary_caller(&mut fleet).await;
    let process = &mut fleet.entries[0].process;
    assert!(process.is_running(), "{:?}", process.lines().last());
    let peak = usage.peak();
    let bound = MACHINE.memory_kib;
    assert!(peak.memory_kib <= bound, "{peak:?}, at most {bound} KiB");
    let bound = case.descriptors - RESERVED_DESCRIPTORS;
    assert!(peak.descriptors <= bound, "{peak:?}, at most {bound}");
    assert!(is_served, "{:?}", process.lines().last());
}

/// Guards against limits that refuse a legal body because of the form in which it comes.
#[parameterized(
    with_a_length = { None },
    in_one_chunk = { Some(BODY_BYTES) },
    in_chunks_of_64_kib = { Some(64 * 1024) },
    in_chunks_of_100_bytes = { Some(100) },
    in_chunks_of_one_byte = { Some(1) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_body_of_just_the_limit_is_served(chunk: Option<usize>) {
    let _turn = TURN.lock().await;
    let fleet = start(MACHINE.descriptors).await;
    let body = body_of_just_the_limit();
    let head = head("terminal-a");
    let mut text = format!("{head}connection: close\r\n");
    match chunk {
        None => {
            let _ = write!(text, "content-length: {BODY_BYTES}\r\n\r\n{body}");
        }
        Some(chunk) => {
            text.push_str("transfer-encoding: chunked\r\n\r\n");
            for data in body.as_bytes().chunks(chunk) {
                let data_text = String::from_utf8_lossy(data);
                let _ = write!(text, "{:x}\r\n{data_text}\r\n", data.len());
            }
            text.push_str("0\r\n\r\n");
        }
    }
    let mut socket = TcpStream::connect(fleet.entries[0].addr)
        .await
        .expect("a connection");
    socket.write_all(text.as_bytes()).await.expect("it is read");
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.expect("an answer");
    let status = answer.lines().next().unwrap_or_default();
    assert_eq!(status, "HTTP/1.1 200 OK", "{answer:.500}");
}

/// A chat completion whose body is as large as bodies may be.
fn body_of_just_the_limit() -> String {
    let text = |filler: usize| {
        let message = json!({"role": "user", "content": "Draft berth 4."});
        let body = json!({
            "model": MODEL, "messages": [message], "max_tokens": 4, "user": "u".repeat(filler),
        });
        body.to_string()
    };
    let body = text(BODY_BYTES - text(0).len());
    assert_eq!(body.len(), BODY_BYTES);
    body
}
