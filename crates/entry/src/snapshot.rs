//! Directory entries that an instance sends to another with an older revision.
//!
//! Large entries are sent apart from the others, in a second exchange and compressed. Without that a
//! replica's leaving would wait behind a table that takes seconds over a slow link.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kingcupfield_decisions::store_view::{Entry, Revision, StoreView};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::large_values::CompressedEntry;

/// Maximum time until a peer begins to send all entries: two round trips between regions, and time to
/// prepare them on a small machine.
const FULL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Maximum time until a peer begins to send the latest changes. One that takes longer is likely to be stuck,
/// and another one is asked.
pub const CHANGES_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Most doublings of these times after fetches that failed: at a peak of demand all peers are slow,
/// and none would ever be waited for.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

/// Maximum size in bytes of what a peer sends.
pub const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// HTTP path at which an instance serves its entries. The query is the revision that the caller has.
/// With a second one after `&`, large entries after it are left out.
pub const SNAPSHOT_PATH: &str = "/directory";

/// HTTP path at which an instance serves its large entries. The query is the revision up to which the
/// caller has them.
pub const LARGE_ENTRIES_PATH: &str = "/directory/large";

/// Directory entries that changed after the revision that the receiver has.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision up to which the snapshot is complete.
    pub upto: Revision,
    /// Whether calls to the store have failed recently, so that entries may have lapsed because of
    /// the store.
    pub store_trouble: bool,
    /// Entries that changed since that revision, including removed ones.
    pub entries: Vec<Entry>,
    /// Revision up to which no large entry was left out; `None` if none was left out at all, as by
    /// instances that don't send them apart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub large_upto: Option<Revision>,
}

/// Large entries that changed after the revision that the receiver has.
#[derive(Debug, Serialize, Deserialize)]
pub struct LargeEntries {
    /// Revision up to which they are complete.
    pub upto: Revision,
    /// The entries.
    pub entries: Vec<CompressedEntry>,
}

/// Content of a response, and its size.
#[derive(Debug)]
pub struct Fetched<T> {
    /// The content.
    pub content: T,
    /// Size of the body in bytes.
    pub bytes: usize,
}

/// What a caller has and asks to be completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotQuery {
    /// Revision up to which the caller has all entries that are not large.
    pub after: Revision,
    /// Revision up to which it has the large ones; `None` if it gets them with the others, as instances of an
    /// earlier build do.
    pub large_after: Option<Revision>,
}

impl SnapshotQuery {
    /// Parses the query of a request; a part that is not a number asks for all entries.
    pub fn parse(query: &str) -> Self {
        let (after, large_after) = match query.split_once('&') {
            Some((after, large_after)) => (after, Some(large_after)),
            None => (query, None),
        };
        Self {
            after: after.parse().unwrap_or(0),
            large_after: large_after.map(|text| text.parse().unwrap_or(0)),
        }
    }
}

impl Snapshot {
    /// Selects the entries of a view that `query` asks for.
    pub fn new(view: &StoreView, query: SnapshotQuery, store_trouble: bool) -> Self {
        let is_newer = |e: &&Entry| e.revision > query.after;
        let Some(large_after) = query.large_after else {
            return Self {
                upto: view.complete_up_to(),
                store_trouble,
                entries: view.entries().iter().filter(is_newer).cloned().collect(),
                large_upto: None,
            };
        };
        let small = view.entries().iter().filter(|e| !view.is_large(e));
        let left_out = large_entries_after(view, large_after);
        let first_left_out = left_out.map(|e| e.revision).min();
        Self {
            upto: view.small_up_to(),
            store_trouble,
            entries: small.filter(is_newer).cloned().collect(),
            large_upto: Some(first_left_out.map_or(view.large_up_to(), |first| first - 1)),
        }
    }
}

/// The large entries of a view that changed after a revision.
pub fn large_entries_after(view: &StoreView, after: Revision) -> impl Iterator<Item = &Entry> {
    let large = view.entries().iter().filter(|e| view.is_large(e));
    large.filter(move |e| e.revision > after)
}

/// Gets the entries from a peer that changed after the revision `after`, but for the large ones after
/// `large_after`. `failures` is the number of fetches that failed
/// since one was completed in the usual time.
pub async fn fetch(
    peer: SocketAddr,
    after: Revision,
    large_after: Revision,
    failures: u32,
) -> std::io::Result<Fetched<Snapshot>> {
    let max_wait = if after == 0 {
        FULL_RESPONSE_TIMEOUT
    } else {
        CHANGES_RESPONSE_TIMEOUT
    };
    let uri = format!("{SNAPSHOT_PATH}?{after}&{large_after}");
    get(peer, &uri, lengthen(max_wait, failures)).await
}

/// Gets the large entries from a peer that changed after the revision `after`. `failures` is the number of
/// fetches that failed since one was completed in the usual time.
pub async fn fetch_large(
    peer: SocketAddr,
    after: Revision,
    failures: u32,
) -> std::io::Result<Fetched<LargeEntries>> {
    let uri = format!("{LARGE_ENTRIES_PATH}?{after}");
    get(peer, &uri, lengthen(FULL_RESPONSE_TIMEOUT, failures)).await
}

/// Doubles a time for each fetch that failed before.
fn lengthen(max_wait: Duration, failures: u32) -> Duration {
    max_wait * (1 << failures.min(MAX_TIMEOUT_DOUBLINGS))
}

/// Gets a short message from a peer.
pub async fn fetch_message<T>(peer: SocketAddr, path: &str) -> std::io::Result<T>
where
    T: DeserializeOwned,
{
    let fetched = get(peer, path, CHANGES_RESPONSE_TIMEOUT).await?;
    Ok(fetched.content)
}

/// Sends a request, whose response must begin within `max_wait`, and receives the response.
async fn get<T>(peer: SocketAddr, uri: &str, max_wait: Duration) -> std::io::Result<Fetched<T>>
where
    T: DeserializeOwned,
{
    let response = timeout(max_wait, request(peer, uri))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return Err(std::io::ErrorKind::ResourceBusy.into());
    }
    if response.status() != StatusCode::OK {
        let status = response.status();
        return Err(std::io::Error::other(format!("status {status}")));
    }
    let body = kingcupfield_transfer::receive(response.into_body(), MAX_SNAPSHOT_BYTES)
        .await
        .map_err(std::io::Error::other)?;
    let content = rmp_serde::from_slice(&body).map_err(std::io::Error::other)?;
    Ok(Fetched {
        content,
        bytes: body.len(),
    })
}

/// Sends a request and returns the head of the response, with the body still to be received.
async fn request(peer: SocketAddr, uri: &str) -> std::io::Result<Response<Incoming>> {
    let stream = TcpStream::connect(peer).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::task::spawn_local(async move {
        // Errors are returned by `send_request` below.
        let _ = connection.await;
    });
    let mut req = Request::new(Full::<Bytes>::default());
    *req.uri_mut() = uri.parse().map_err(std::io::Error::other)?;
    sender
        .send_request(req)
        .await
        .map_err(std::io::Error::other)
}
