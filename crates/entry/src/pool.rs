//! Idle connections to one replica.
//!
//! Connections are a replica's scarce resource and take time to open, so they are reused, but only
//! while they have been idle for a short time: a replica closes idle connections, and a request
//! written to a connection that is being closed may or may not have run.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::progress_io::{Progress, ProgressIo};

/// Maximum time to open a connection: two round trips between regions and a margin.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// Fraction of a replica's announced idle timeout for which an idle connection is reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Time for which an idle connection is reused if the replica announces no timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(700);

/// Maximum time for which an idle connection is reused, whatever the replica announces.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// An open connection, which carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has carried an earlier request.
    pub reused: bool,
    /// Progress of the response that is being received.
    pub progress: Progress,
    /// Task that drives the connection.
    task: AbortHandle,
    /// Whether the connection is kept when dropped; otherwise it is closed.
    reusable: bool,
}

impl Connection {
    /// Marks the connection as reusable; otherwise it is closed when dropped.
    pub fn mark_reusable(&mut self) {
        self.reusable = true;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The replica cancels the request when the connection closes, so it is closed at once, even
        // with a half-written request.
        if !self.reusable {
            self.task.abort();
        }
    }
}

/// A connection in the pool, with the time from which it must not be reused.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    reuse_until: Instant,
    idle_since: Instant,
}

/// The idle connections of one replica.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes and returns the connection that became idle last, unless it has been idle for longer
    /// than `max_idle`.
    pub fn take_idle(&self, now: Instant, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut candidate) = idle.pop() {
            let usable = now < candidate.reuse_until && candidate.connection.sender.is_ready();
            if !usable {
                candidate.connection.reusable = false;
                continue;
            }
            if now.saturating_duration_since(candidate.idle_since) > max_idle {
                idle.push(candidate);
                return None;
            }
            candidate.connection.reusable = false;
            candidate.connection.reused = true;
            return Some(candidate.connection);
        }
        None
    }

    /// Whether an idle connection can be reused now.
    pub fn has_idle(&self, now: Instant) -> bool {
        let idle = self.idle.borrow();
        idle.iter()
            .any(|idle| now < idle.reuse_until && idle.connection.sender.is_ready())
    }

    /// Puts a connection back after a complete response, if the response allows it.
    pub fn put_back(&self, now: Instant, mut connection: Connection, response_head: &HeaderMap) {
        if has_connection_close(response_head) || connection.sender.is_closed() {
            return;
        }
        connection.mark_reusable();
        let reuse_until = now + idle_time(response_head);
        self.idle.borrow_mut().push(IdleConnection {
            connection,
            reuse_until,
            idle_since: now,
        });
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self, now: Instant) {
        self.idle
            .borrow_mut()
            .retain(|idle| now < idle.reuse_until && !idle.connection.sender.is_closed());
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Opens a new connection to a replica.
pub async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let progress = Progress::default();
    let io = ProgressIo::new(stream, progress.clone());
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(io))
        .await
        .map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // Errors are returned by the request that uses the connection.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        reused: false,
        progress,
        task: task.abort_handle(),
        reusable: false,
    })
}

/// Whether the response announces that the replica closes the connection.
fn has_connection_close(response_head: &HeaderMap) -> bool {
    response_head
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.split(',').any(|t| t.trim().eq_ignore_ascii_case("close")))
}

/// Time for which the connection may be reused after the response.
fn idle_time(response_head: &HeaderMap) -> Duration {
    let announced_s = response_head
        .get("keep-alive")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| {
            v.split(',')
                .find_map(|p| p.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
        });
    match announced_s {
        Some(seconds) => Duration::from_secs(seconds)
            .mul_f64(IDLE_TIMEOUT_FRACTION)
            .min(MAX_IDLE_TIME),
        None => DEFAULT_IDLE_TIME,
    }
}
