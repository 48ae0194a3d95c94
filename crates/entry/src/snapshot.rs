//! Directory snapshots, which an instance sends to another with an older revision.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kingcupfield_decisions::store_view::{Entry, Revision};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum time until a peer begins to send all entries: two round trips between regions, and time to
/// prepare them on a small machine.
const FULL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Maximum time until a peer begins to send the latest changes. One that takes longer is stuck, and
/// another one is asked.
const CHANGES_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a snapshot in bytes.
const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// HTTP path at which an instance serves its snapshot; the query is the revision that the caller
/// has.
pub const SNAPSHOT_PATH: &str = "/directory";

/// Directory entries that changed after the revision that the receiver has.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision up to which the snapshot is complete.
    pub upto: u64,
    /// Whether calls to the store have failed recently, so that entries may have lapsed because of
    /// the store.
    pub store_trouble: bool,
    /// Entries that changed since that revision, including removed ones.
    pub entries: Vec<Entry>,
}

/// Gets the entries from a peer that changed after the revision `after`.
pub async fn fetch(peer: SocketAddr, after: Revision) -> std::io::Result<Snapshot> {
    let max_wait = if after == 0 {
        FULL_RESPONSE_TIMEOUT
    } else {
        CHANGES_RESPONSE_TIMEOUT
    };
    let response = timeout(max_wait, request(peer, after))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    let body = kingcupfield_transfer::receive(response.into_body(), MAX_SNAPSHOT_BYTES)
        .await
        .map_err(std::io::Error::other)?;
    rmp_serde::from_slice(&body).map_err(std::io::Error::other)
}

/// Requests the entries and returns the head of the response, with the body still to be received.
async fn request(peer: SocketAddr, after: Revision) -> std::io::Result<Response<Incoming>> {
    let stream = TcpStream::connect(peer).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::task::spawn_local(async move {
        // Errors are returned by `send_request` below.
        let _ = connection.await;
    });
    let mut req = Request::new(Full::<Bytes>::default());
    *req.uri_mut() = format!("{SNAPSHOT_PATH}?{after}")
        .parse()
        .map_err(std::io::Error::other)?;
    sender
        .send_request(req)
        .await
        .map_err(std::io::Error::other)
}
