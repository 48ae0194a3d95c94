//! Transfers of large entries to other instances.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use kingcupfield_entry::bulk::BulkSender;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// 10 Mbit/s in bytes per second.
const LINK: f64 = 1_250_000.0;

struct PaceCase {
    bytes: usize,
    link_bytes_per_s: f64,
    /// Time that half of the link takes.
    time: Duration,
}

/// Guards against callers and small changes that wait behind a table in the queue of a link.
#[parameterized(
    table = { PaceCase { bytes: 125_000, link_bytes_per_s: LINK, time: Duration::from_millis(200) } },
    largest_table = { PaceCase { bytes: 1_000_000, link_bytes_per_s: LINK, time: Duration::from_millis(1600) } },
    fast_link = { PaceCase { bytes: 1_000_000, link_bytes_per_s: LINK * 20.0, time: Duration::from_millis(80) } },
    nothing = { PaceCase { bytes: 0, link_bytes_per_s: LINK, time: Duration::ZERO } },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_transfer_leaves_half_of_the_link(case: PaceCase) {
    let run = async {
        let sender = BulkSender::new();
        let transfer = sender.begin().await.expect("no other transfer");
        let bytes = Bytes::from(vec![b'x'; case.bytes]);
        let body = transfer.into_body(bytes.clone(), case.link_bytes_per_s);
        let started = Instant::now();
        let received = body.collect().await.expect("a body").to_bytes();
        assert_eq!(received, bytes);
        let elapsed = started.elapsed();
        let slack = Duration::from_millis(20);
        assert!(
            elapsed <= case.time + slack && elapsed + slack >= case.time,
            "{elapsed:?}"
        );
    };
    LocalSet::new().run_until(run).await;
}

/// What the receiver of the first transfer does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Receiver {
    /// It receives the body.
    Reads,
    /// It goes away.
    Leaves,
    /// It keeps its connection open and reads nothing.
    StandsStill,
}

struct QueueCase {
    first: Receiver,
    bytes: usize,
    /// Whether the second transfer may begin while its receiver waits.
    begins: bool,
}

/// Guards against a table that no instance of a zone gets soon, as it is sent to all of them at once, and
/// against one receiver that keeps all others from it.
#[parameterized(
    reads = { QueueCase { first: Receiver::Reads, bytes: 125_000, begins: true } },
    leaves = { QueueCase { first: Receiver::Leaves, bytes: 1_000_000, begins: true } },
    stands_still = { QueueCase { first: Receiver::StandsStill, bytes: 100_000, begins: true } },
    takes_too_long = { QueueCase { first: Receiver::Reads, bytes: 1_000_000, begins: false } },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn transfers_follow_each_other(case: QueueCase) {
    let run = async {
        let sender = BulkSender::new();
        let transfer = sender.begin().await.expect("no other transfer");
        let body = transfer.into_body(Bytes::from(vec![b'x'; case.bytes]), LINK);
        let receiver = tokio::task::spawn_local(async move {
            match case.first {
                Receiver::Reads => drop(body.collect().await),
                Receiver::Leaves => drop(body),
                Receiver::StandsStill => {
                    sleep(Duration::from_mins(1)).await;
                    drop(body);
                }
            }
        });
        sleep(Duration::from_millis(1)).await;
        let second = sender.begin().await;
        assert_eq!(second.is_some(), case.begins);
        receiver.abort();
    };
    LocalSet::new().run_until(run).await;
}
