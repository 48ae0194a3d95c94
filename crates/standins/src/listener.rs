//! The socket of a fake and the tasks that live as long as it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::DefaultBodyLimit;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::serve::ListenerExt;
use futures::{StreamExt, stream};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// Largest request body that a fake reads, in bytes.
const MAX_BODY: usize = 32 * 1024 * 1024;

/// Time for what was written to leave before the connection breaks; hyper drops what it holds.
const FLUSH: Duration = Duration::from_millis(5);

/// The error that breaks a connection in the middle of a body.
pub(crate) async fn broken() -> io::Error {
    tokio::time::sleep(FLUSH).await;
    io::Error::from(io::ErrorKind::ConnectionReset)
}

/// A body that breaks after `piece`.
pub(crate) fn broken_body(piece: Bytes) -> Body {
    let pieces = stream::iter([Ok(piece)]);
    Body::from_stream(pieces.chain(stream::once(async { Err(broken().await) })))
}

/// A refusal of a request that does not run, with the rest that it asks for in `Retry-After`.
pub(crate) fn refusal(status: u16, retry_after_s: Option<f64>) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut refusal = (status, "refused by a fault").into_response();
    let rest = retry_after_s.and_then(|s| HeaderValue::from_str(&s.to_string()).ok());
    if let Some(rest) = rest {
        refusal.headers_mut().insert(header::RETRY_AFTER, rest);
    }
    refusal
}

/// A listening fake; dropping it stops the listening and the background tasks.
#[derive(Debug)]
pub(crate) struct Listener {
    addr: SocketAddr,
    tasks: Vec<AbortHandle>,
}

impl Listener {
    /// Binds `addr` and serves `router` on it.
    pub(crate) async fn start(addr: SocketAddr, router: Router) -> io::Result<Self> {
        let socket = TcpListener::bind(addr).await?;
        let addr = socket.local_addr()?;
        let socket = socket.tap_io(|stream| {
            stream.set_nodelay(true).ok();
        });
        let router = router.layer(DefaultBodyLimit::max(MAX_BODY));
        let task = tokio::spawn(async move {
            axum::serve(socket, router).await.ok();
        });
        Ok(Self {
            addr,
            tasks: vec![task.abort_handle()],
        })
    }

    /// Adds a background task that ends with the listener.
    pub(crate) fn with_task(mut self, task: AbortHandle) -> Self {
        self.tasks.push(task);
        self
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
