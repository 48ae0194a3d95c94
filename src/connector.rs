//! The pooled HTTP client towards upstreams, the platform and other instances.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// A connection that cannot be made within this is as good as refused; instances and upstreams of
/// one zone are at most two milliseconds apart, regions some tens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections kept warm for each address.
const IDLE_PER_HOST: usize = 64;

/// Idle connections close after this, before usual servers' 60 s close them under a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Body of a request that we send.
pub type SendBody = Full<Bytes>;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection could be made, so not one byte of the request went out.
    #[error("no connection: {0}")]
    NotSent(String),
    /// It failed later; the other side may have seen the request.
    #[error("{0}")]
    Broke(String),
    /// Nothing came in time; the other side may have seen the request.
    #[error("timeout")]
    Timeout,
}

/// Pooled HTTP client; clones share the pool.
#[derive(Debug, Clone)]
pub struct Connector {
    client: Client<HttpConnector, SendBody>,
}

impl Connector {
    /// Makes a client with an empty pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_PER_HOST)
            .build(connector);
        Self { client }
    }

    /// Sends `req` and returns the head of the answer with its body still to be read.
    ///
    /// The pool sends a request again by itself only when its connection had closed before one
    /// byte of the request was written, so a request goes out at most once.
    pub async fn send(&self, req: Request<SendBody>) -> Result<Response<Incoming>, ExchangeError> {
        self.client.request(req).await.map_err(|e| {
            let text = chain(&e);
            if e.is_connect() {
                ExchangeError::NotSent(text)
            } else {
                ExchangeError::Broke(text)
            }
        })
    }

    /// Sends `req` and reads the whole answer, of at most `limit` bytes. It has to begin within `timeout`
    /// and then takes as long as its transfer makes progress.
    pub async fn fetch(
        &self,
        req: Request<SendBody>,
        limit: usize,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (head, body) = tokio::time::timeout(timeout, self.send(req))
            .await
            .map_err(|_| ExchangeError::Timeout)??
            .into_parts();
        let body = kingcupfield_transfer::receive(body, limit)
            .await
            .map_err(|e| ExchangeError::Broke(e.to_string()))?;
        Ok(Response::from_parts(head, body))
    }
}

impl Default for Connector {
    fn default() -> Self {
        Self::new()
    }
}

fn chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}
