//! Bodies of callers that are received into memory that an account allows.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use futures::{Stream, StreamExt as _};
use http_body::Frame;
use http_body_util::StreamBody;
use kingcupfield_decisions::id::Rank;
use kingcupfield_transfer::account::Account;
use kingcupfield_transfer::caller_body::{BodyError, BodyLimits, CallerBody, receive};
use tokio::time::sleep;
use yare::parameterized;

const MAX_BYTES: usize = 100_000;
const MAX_TIME: Duration = Duration::from_secs(10);
const MEMORY: usize = 1_000_000;

/// Chunks of a body, with a pause before each.
fn chunks(count: usize, bytes: usize, pause: Duration) -> impl Stream<Item = Bytes> + Unpin {
    Box::pin(stream::iter(0..count).then(move |_| async move {
        sleep(pause).await;
        Bytes::from(vec![b'x'; bytes])
    }))
}

async fn receive_chunks<S>(account: &Account, chunks: S) -> Result<CallerBody, BodyError>
where
    S: Stream<Item = Bytes> + Unpin,
{
    let frames = chunks.map(|data| Ok::<_, Infallible>(Frame::data(data)));
    let mut body = StreamBody::new(frames);
    let limits = BodyLimits::new(MAX_BYTES, MAX_TIME);
    receive(&mut body, limits, account.open(1)).await
}

struct Case {
    count: usize,
    bytes: usize,
}

/// Guards against small chunks that cost more memory than their bytes, and against memory that stays counted.
#[parameterized(
    empty = { Case { count: 0, bytes: 0 } },
    one_chunk = { Case { count: 1, bytes: MAX_BYTES } },
    small_chunks = { Case { count: MAX_BYTES / 100, bytes: 100 } },
    single_bytes = { Case { count: MAX_BYTES, bytes: 1 } },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_body_counts_by_its_bytes_until_it_is_dropped(case: Case) {
    let account = Account::new(MEMORY);
    let len = case.count * case.bytes;
    let received = receive_chunks(&account, chunks(case.count, case.bytes, Duration::ZERO)).await;
    let body = received.expect("a body within the limits");
    assert_eq!(body.bytes.len(), len);
    assert!(account.held() >= len, "{}", account.held());
    assert!(account.held() <= len * 4 / 3, "{}", account.held());
    let copy = body.bytes.clone();
    drop(body);
    assert!(account.held() >= len, "a copy counts");
    drop(copy);
    assert_eq!(account.held(), 0);
}

/// Guards against a body that is refused on a machine that has just room for it.
#[parameterized(
    one_chunk = { Case { count: 1, bytes: MAX_BYTES } },
    small_chunks = { Case { count: MAX_BYTES / 100, bytes: 100 } },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn the_largest_body_is_received(case: Case) {
    let memory = (1..2 * MEMORY).find(|memory| Account::new(*memory).max_body_bytes() >= MAX_BYTES);
    let account = Account::new(memory.expect("enough memory"));
    let received = receive_chunks(&account, chunks(case.count, case.bytes, Duration::ZERO)).await;
    received.expect("room for one body");
}

struct RefusedCase {
    memory: usize,
    count: usize,
    bytes: usize,
    pause: Duration,
    expected: fn(&BodyError) -> bool,
}

/// Guards against bodies over a limit that are accepted, or whose memory stays counted.
#[parameterized(
    too_large = { RefusedCase { memory: MEMORY, count: 2, bytes: MAX_BYTES, pause: Duration::ZERO, expected: |e| matches!(e, BodyError::TooLarge { .. }) } },
    too_slow = { RefusedCase { memory: MEMORY, count: 100, bytes: 10, pause: Duration::from_secs(1), expected: |e| matches!(e, BodyError::TimedOut) } },
    no_memory = { RefusedCase { memory: 80_000, count: 100, bytes: 1000, pause: Duration::ZERO, expected: |e| matches!(e, BodyError::OutOfMemory(_)) } },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_body_over_a_limit_is_refused(case: RefusedCase) {
    let account = Account::new(case.memory);
    let received = receive_chunks(&account, chunks(case.count, case.bytes, case.pause)).await;
    let error = received.expect_err("a refusal");
    assert!((case.expected)(&error), "{error:?}");
    assert_eq!(account.held(), 0);
}

/// Guards against a request that is sent although another one was given its memory.
#[tokio::test(start_paused = true)]
async fn what_gave_way_is_not_sent() {
    const HIGH: Rank = 0;
    let account = Account::new(200_000);
    let low = receive_chunks(&account, chunks(1, MAX_BYTES, Duration::ZERO)).await;
    let low = low.expect("room");
    let high = account.open(HIGH);
    high.grow(MAX_BYTES).expect("the lower tier gives way");
    low.claim.clone().evicted().await;
    assert!(!low.claim.on_send());
    assert_eq!(account.refused().evicted, 1);
}
