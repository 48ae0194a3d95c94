//! Directory snapshots, which an instance sends to another with an older revision.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kingcupfield_decisions::store_view::{Entry, Revision};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum time to get all entries from a peer: two round trips between regions and the transfer of
/// a large table over a slow link.
const FULL_FETCH_TIMEOUT: Duration = Duration::from_millis(1200);

/// Maximum time to get the latest changes from a peer. They are few, so that one which takes longer
/// is stuck, and another one is asked.
const CHANGES_FETCH_TIMEOUT: Duration = Duration::from_millis(500);

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
    let max_time = if after == 0 {
        FULL_FETCH_TIMEOUT
    } else {
        CHANGES_FETCH_TIMEOUT
    };
    timeout(max_time, fetch_without_timeout(peer, after))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
}

async fn fetch_without_timeout(peer: SocketAddr, after: Revision) -> std::io::Result<Snapshot> {
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
    let response = sender
        .send_request(req)
        .await
        .map_err(std::io::Error::other)?;
    let body = Limited::new(response.into_body(), MAX_SNAPSHOT_BYTES)
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    rmp_serde::from_slice(&body).map_err(std::io::Error::other)
}
