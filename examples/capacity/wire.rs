//! Bytes of each message between instances as encoded, and what encoding and decoding cost.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcupfield::message::{DigestRow, Envelope, PeerMessage};
use kingcupfield_decisions::pace::Pace;
use kingcupfield_decisions::slots::{
    ReplicaDigest, RequestOutcome, Reservation, ToHolder, ToOwner,
};
use kingcupfield_decisions::work::Work;

const ROUNDS: u32 = 20_000;
const REQUEST: &str = "north-sea-17.1a2390d8ba4.1f3a";
const UPSTREAM: &str = "drafting-117";

struct Row {
    name: &'static str,
    messages: Vec<PeerMessage>,
}

/// Prints bytes and nanoseconds for each kind of message.
pub fn print() -> Result<(), serde_json::Error> {
    println!("wire: one delivery, as sent in the parameters of the call");
    println!(
        "{:<34} {:>8} {:>12} {:>12}",
        "message", "bytes", "encode ns", "decode ns"
    );
    for Row { name, messages } in rows() {
        let text = encoded(&messages)?;
        let encode = per_round(|| black_box(encoded(black_box(&messages))).is_ok());
        let decode = per_round(|| black_box(decoded(black_box(&text))).is_some());
        println!("{name:<34} {:>8} {encode:>12} {decode:>12}", text.len());
    }
    Ok(())
}

fn encoded(messages: &[PeerMessage]) -> Result<String, serde_json::Error> {
    let envelope = Envelope::new(Arc::from("north-sea-17"), 1_796_253_492_000, messages);
    serde_json::to_string(&[&envelope])
}

fn decoded(text: &str) -> Option<Vec<PeerMessage>> {
    let envelopes: Vec<Envelope> = serde_json::from_str(text).ok()?;
    envelopes.first()?.messages().ok()
}

fn per_round<F>(mut round: F) -> u128
where
    F: FnMut() -> bool,
{
    let start = Instant::now();
    let done = (0..ROUNDS).filter(|_| round()).count();
    assert_eq!(done, ROUNDS as usize, "every round works");
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}

fn rows() -> Vec<Row> {
    let row = |name, messages| Row { name, messages };
    let of = |count: usize, message: &PeerMessage| vec![message.clone(); count];
    let (reserve, digest) = (reserve(), digest());
    vec![
        row("empty envelope", Vec::new()),
        row("reserve, 8 prefixes", of(1, &reserve)),
        row("reserve x 16 in one envelope", of(16, &reserve)),
        row(
            "withdraw",
            vec![to_owner(ToOwner::Withdraw {
                request: REQUEST.into(),
            })],
        ),
        row("finished", vec![finished()]),
        row("renew, nothing running", vec![renew(0)]),
        row("renew, 10 running", vec![renew(10)]),
        row("grant", vec![grant()]),
        row(
            "digest of 1 replica",
            vec![PeerMessage::Digests(vec![digest.clone()])],
        ),
        row(
            "digest of 10 replicas",
            vec![PeerMessage::Digests(vec![digest; 10])],
        ),
    ]
}

fn to_owner(message: ToOwner) -> PeerMessage {
    PeerMessage::ToOwner {
        upstream: UPSTREAM.into(),
        message,
    }
}

fn reserve() -> PeerMessage {
    to_owner(ToOwner::Reserve(Reservation {
        request: REQUEST.into(),
        holder: "north-sea-17".into(),
        organisation: "north-sea-terminals".into(),
        weight: 4,
        rank: 0,
        work: Work::new(1_200, 256),
        prefixes: (1..=8).map(|i| u64::MAX / 9 * i).collect(),
        time_left: Duration::from_millis(3_987),
        asked: 12_345,
    }))
}

fn finished() -> PeerMessage {
    to_owner(ToOwner::Finished {
        request: REQUEST.into(),
        outcome: RequestOutcome {
            whole: true,
            first_token: Some(Duration::from_micros(812_345)),
            between_tokens: Some(Duration::from_micros(23_456)),
            work: Work::new(1_200, 240),
        },
    })
}

fn renew(running: usize) -> PeerMessage {
    to_owner(ToOwner::Renew {
        asked: 12_345,
        running: vec![REQUEST.into(); running],
    })
}

fn grant() -> PeerMessage {
    PeerMessage::ToHolder {
        upstream: UPSTREAM.into(),
        message: ToHolder::Grant {
            request: REQUEST.into(),
            asked: 12_345,
            prefill: 1_200,
        },
    }
}

fn digest() -> DigestRow {
    DigestRow {
        upstream: UPSTREAM.into(),
        digest: ReplicaDigest {
            running: 17,
            limit: 32,
            waiting: 4,
            wait: Duration::from_millis(35),
            pace: Some(Pace {
                prefill: Duration::from_micros(151),
                decode: Duration::from_micros(25_123),
            }),
        },
    }
}
