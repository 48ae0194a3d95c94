//! The directory as one instance tells it to another that is behind.

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

/// Longest time that a peer may take to send the directory: two round trips between regions and
/// the time of a large table over a slow link.
const FETCH: Duration = Duration::from_millis(1200);

/// Largest directory that is taken from a peer.
const MAX_SNAPSHOT: usize = 16 * 1024 * 1024;

/// Path at which an instance tells what it knows of the directory.
pub const SNAPSHOT_PATH: &str = "/directory";

/// What an instance tells of the directory, to one that knows it up to a revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision up to which it is complete.
    pub upto: u64,
    /// Whether the store has failed calls lately, so that entries may have lapsed by its own trouble.
    pub store_trouble: bool,
    /// Entries that changed since, also the removed ones.
    pub entries: Vec<Entry>,
}

/// Asks a peer for what it knows of the directory.
pub async fn fetch(peer: SocketAddr, after: Revision) -> std::io::Result<Snapshot> {
    timeout(FETCH, fetch_now(peer, after))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
}

async fn fetch_now(peer: SocketAddr, after: Revision) -> std::io::Result<Snapshot> {
    let stream = TcpStream::connect(peer).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::task::spawn_local(async move {
        // Errors reach the call below.
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
    let body = Limited::new(response.into_body(), MAX_SNAPSHOT)
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    rmp_serde::from_slice(&body).map_err(std::io::Error::other)
}
