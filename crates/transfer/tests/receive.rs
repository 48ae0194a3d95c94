//! Transfers over slow, stalled and broken links.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, StreamExt as _};
use http_body::Frame;
use http_body_util::StreamBody;
use kingcupfield_transfer::{MIN_BYTES_PER_S, STALL_TIMEOUT, TransferError, receive};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// Parts of a body, each with the pause before it.
type Parts = Vec<(Duration, usize)>;

fn body(parts: Parts) -> impl http_body::Body<Data = Bytes, Error = Infallible> {
    let frames = stream::iter(parts).then(|(pause, len)| async move {
        sleep(pause).await;
        Ok(Frame::data(Bytes::from(vec![0; len])))
    });
    StreamBody::new(frames)
}

/// So many parts of equal size, sent at a steady speed in bytes per second.
fn steady(parts: usize, part_bytes: usize, bytes_per_s: f64) -> Parts {
    let pause = Duration::from_secs_f64(part_bytes as f64 / bytes_per_s);
    vec![(pause, part_bytes); parts]
}

struct Case {
    parts: Parts,
    max_bytes: usize,
    is_complete: bool,
    /// Longest time until the receiver has the body or gives up.
    max_time: Duration,
}

const MEGABYTE: usize = 1024 * 1024;

/// Guards against transfers that are ended although they make progress, so that a slow link never
/// gets a large value, and against senders that hold a receiver without making any.
#[parameterized(
    fast = { Case { parts: steady(64, MEGABYTE / 64, 25e6), max_bytes: MEGABYTE, is_complete: true, max_time: Duration::from_millis(100) } },
    shared_link = { Case { parts: steady(64, MEGABYTE / 64, 1e5), max_bytes: MEGABYTE, is_complete: true, max_time: Duration::from_secs(11) } },
    late_start = { Case { parts: vec![(Duration::from_millis(900), 10)], max_bytes: 10, is_complete: true, max_time: Duration::from_secs(1) } },
    never_starts = { Case { parts: vec![(Duration::from_mins(1), 10)], max_bytes: 10, is_complete: false, max_time: STALL_TIMEOUT } },
    stalls_after_much = { Case { parts: vec![(Duration::ZERO, MEGABYTE), (Duration::from_mins(1), 1)], max_bytes: 2 * MEGABYTE, is_complete: false, max_time: STALL_TIMEOUT } },
    trickles = { Case { parts: steady(10_000, 1, f64::from(MIN_BYTES_PER_S) / 100.0), max_bytes: MEGABYTE, is_complete: false, max_time: Duration::from_millis(1100) } },
    too_large = { Case { parts: steady(3, 10, 1e6), max_bytes: 29, is_complete: false, max_time: STALL_TIMEOUT } },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_transfer_ends_only_without_progress(case: Case) {
    let sent: usize = case.parts.iter().map(|(_, len)| len).sum();
    let started = Instant::now();
    let result = receive(body(case.parts), case.max_bytes).await;
    assert!(started.elapsed() <= case.max_time + Duration::from_millis(200));
    assert_eq!(result.is_ok(), case.is_complete, "{result:?}");
    if let Ok(received) = result {
        assert_eq!(received.len(), sent);
    }
}

/// The connection breaks in the middle of a body. What was received must not pass for the whole.
#[tokio::test(start_paused = true)]
async fn a_broken_transfer_is_an_error() {
    let frames = [
        Ok(Frame::data(Bytes::from_static(b"half"))),
        Err("connection reset"),
    ];
    let body = StreamBody::new(stream::iter(frames));
    let result = receive(body, 100).await;
    assert!(matches!(result, Err(TransferError::Broken(reason)) if reason == "connection reset"));
}
