//! Kept connections to one replica.
//!
//! Connections are a replica's scarce resource and cost time to open, so they are used again, but
//! only while they are young: a replica closes idle ones, and a request written to a connection
//! that is being closed may or may not have run.

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

/// Longest time to open a connection: two round trips between regions and some.
const CONNECT: Duration = Duration::from_millis(450);

/// Part of a replica's announced idle time for which a connection is used again.
const SAFE_PART: f64 = 0.6;

/// Idle time where the replica announces none.
const UNANNOUNCED: Duration = Duration::from_millis(700);

/// Longest idle time, whatever is announced.
const LONGEST: Duration = Duration::from_secs(20);

/// A connection that can take one request now.
#[derive(Debug)]
pub struct Connection {
    /// Where requests go in.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has served a request before.
    pub reused: bool,
    task: AbortHandle,
    reusable: bool,
}

impl Connection {
    /// Marks the connection as ready for another request; else it is closed when dropped.
    pub fn mark_reusable(&mut self) {
        self.reusable = true;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The replica stops its work when the connection closes, so it closes at once, also with
        // the request half written.
        if !self.reusable {
            self.task.abort();
        }
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
    since: Instant,
}

/// The kept connections of one replica.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<Vec<Idle>>,
}

impl ConnectionPool {
    /// Keeps nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A kept connection that was idle for `fresh` at most.
    pub fn take_idle(&self, now: Instant, fresh: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut kept) = idle.pop() {
            let usable = now < kept.until && kept.connection.sender.is_ready();
            if !usable {
                kept.connection.reusable = false;
                continue;
            }
            if now.saturating_duration_since(kept.since) > fresh {
                idle.push(kept);
                return None;
            }
            kept.connection.reusable = false;
            kept.connection.reused = true;
            return Some(kept.connection);
        }
        None
    }

    /// Whether a kept connection can be taken now.
    pub fn has_idle(&self, now: Instant) -> bool {
        let idle = self.idle.borrow();
        idle.iter()
            .any(|kept| now < kept.until && kept.connection.sender.is_ready())
    }

    /// Keeps a connection after a whole answer, if the answer allows it.
    pub fn put_back(&self, now: Instant, mut connection: Connection, answer: &HeaderMap) {
        if closes(answer) || connection.sender.is_closed() {
            return;
        }
        connection.mark_reusable();
        let until = now + idle_time(answer);
        self.idle.borrow_mut().push(Idle {
            connection,
            until,
            since: now,
        });
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self, now: Instant) {
        self.idle
            .borrow_mut()
            .retain(|kept| now < kept.until && !kept.connection.sender.is_closed());
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Opens a connection.
pub async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = timeout(CONNECT, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // Errors reach the request that stands on the connection.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        reused: false,
        task: task.abort_handle(),
        reusable: false,
    })
}

fn closes(answer: &HeaderMap) -> bool {
    answer
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .any(|v| v.split(',').any(|t| t.trim().eq_ignore_ascii_case("close")))
}

fn idle_time(answer: &HeaderMap) -> Duration {
    let announced = answer
        .get("keep-alive")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| {
            v.split(',')
                .find_map(|p| p.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
        });
    match announced {
        Some(s) => Duration::from_secs(s).mul_f64(SAFE_PART).min(LONGEST),
        None => UNANNOUNCED,
    }
}
