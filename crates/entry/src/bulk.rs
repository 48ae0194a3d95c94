//! Sends large entries to other instances, one at a time and at a pace that leaves room on the link.
//!
//! Load pattern: the first instance of a zone that has a new table is asked for it by all others. If it sent
//! the table to all of them at once, none would have it soon, and small changes and callers' data would wait
//! in the queue of its link.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::{Instant, sleep_until, timeout};

/// Body of a response to a peer.
pub type PeerBody = UnsyncBoxBody<Bytes, Infallible>;

/// Share of the link's speed for these transfers; the rest is for callers' data and small changes.
const LINK_SHARE: f64 = 0.5;

/// Interval at which parts of a body are sent.
const PACE_INTERVAL: Duration = Duration::from_millis(10);

/// Longest wait for the end of the transfer before. Below the time for which peers wait for the head of a
/// response.
const MAX_WAIT: Duration = Duration::from_millis(800);

/// Multiple of its usual time, beside [`MIN_TRANSFER_TIME`], for which a transfer holds back the next one.
const MAX_SLOWNESS: u32 = 2;

/// Time that each transfer may take.
const MIN_TRANSFER_TIME: Duration = Duration::from_millis(300);

/// Transfers of large entries.
#[derive(Debug)]
pub struct BulkSender {
    transfers: Arc<Semaphore>,
}

impl BulkSender {
    /// Creates a sender without a transfer in progress.
    pub fn new() -> Self {
        Self {
            transfers: Arc::new(Semaphore::new(1)),
        }
    }

    /// Waits until a transfer may begin; `None` if those before it take too long.
    pub async fn begin(&self) -> Option<Transfer> {
        let waiting = Arc::clone(&self.transfers).acquire_owned();
        let permit = timeout(MAX_WAIT, waiting).await.ok()?.ok()?;
        Some(Transfer { permit })
    }
}

impl Default for BulkSender {
    fn default() -> Self {
        Self::new()
    }
}

/// A transfer that may begin.
#[derive(Debug)]
pub struct Transfer {
    permit: OwnedSemaphorePermit,
}

impl Transfer {
    /// Creates a body that is sent at the pace of a link that carries `link_bytes_per_s`. The next transfer
    /// may begin when the body is dropped, or after a receiver has taken too long.
    pub fn into_body(self, bytes: Bytes, link_bytes_per_s: f64) -> PeerBody {
        let bytes_per_s = link_bytes_per_s * LINK_SHARE;
        let usual_time = Duration::from_secs_f64(bytes.len() as f64 / bytes_per_s);
        let in_progress = self.hold(usual_time * MAX_SLOWNESS + MIN_TRANSFER_TIME);
        let part_bytes = (bytes_per_s * PACE_INTERVAL.as_secs_f64()) as usize;
        let start = (bytes, Instant::now(), in_progress);
        let parts = stream::unfold(start, move |(mut rest, due, in_progress)| async move {
            if rest.is_empty() {
                return None;
            }
            sleep_until(due).await;
            let part = rest.split_to(part_bytes.clamp(1, rest.len()));
            let next = due.max(Instant::now()) + PACE_INTERVAL;
            Some((Ok(Frame::data(part)), (rest, next, in_progress)))
        });
        StreamBody::new(parts).boxed_unsync()
    }

    /// Holds other transfers back until the result is dropped, at most for `max_time`: the body of a receiver
    /// that stands still is kept for as long as its connection.
    fn hold(self, max_time: Duration) -> oneshot::Sender<()> {
        let (tx, rx) = oneshot::channel();
        tokio::task::spawn_local(async move {
            // Either the time is over or the sender was dropped.
            let _ = timeout(max_time, rx).await;
            drop(self.permit);
        });
        tx
    }
}
