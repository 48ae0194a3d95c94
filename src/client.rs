//! A small HTTP client for the callers' and operators' addresses of instances.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

/// An admin answer that takes longer counts as none: it is a look into memory.
pub const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// A dump at the target size is below a tenth of this.
const BODY_LIMIT: usize = 64 * 1024 * 1024;

/// A connect to an instance that is gone must not use up the caller's patience.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why no answer came.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection was made; nothing was sent.
    #[error("{address}: can't connect: {reason}")]
    Connect {
        /// `IP:port`.
        address: String,
        /// The system's reason.
        reason: String,
    },
    /// The connection broke before the whole answer came.
    #[error("{address}: the answer broke off: {reason}")]
    Broken {
        /// `IP:port`.
        address: String,
        /// What happened.
        reason: String,
    },
    /// No answer in time.
    #[error("{address}: no answer within {} ms", after.as_millis())]
    Timeout {
        /// `IP:port`.
        address: String,
        /// How long was waited.
        after: Duration,
    },
    /// The address or path can't be used.
    #[error("{address}: {reason}")]
    Address {
        /// What was given.
        address: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// The client; clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Makes a client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            pool: Pool::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Asks an admin address and reads the whole answer.
    pub async fn ask(
        &self,
        method: Method,
        address: &str,
        path: &str,
    ) -> Result<Answer, ClientError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::default())
            .map_err(|e| ClientError::Address {
                address: address.to_owned(),
                reason: e.to_string(),
            })?;
        let whole = async { read(address, self.send(address, req).await?).await };
        match tokio::time::timeout(ADMIN_TIMEOUT, whole).await {
            Ok(answer) => answer,
            Err(_) => Err(ClientError::Timeout {
                address: address.to_owned(),
                after: ADMIN_TIMEOUT,
            }),
        }
    }

    /// Sends a request and returns as soon as the head of the answer is there.
    pub async fn send(
        &self,
        address: &str,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError> {
        self.pool.request(req).await.map_err(|e| {
            let address = address.to_owned();
            let reason = innermost(&e);
            if e.is_connect() {
                ClientError::Connect { address, reason }
            } else {
                ClientError::Broken { address, reason }
            }
        })
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// Reads the whole body of an answer.
pub async fn read(address: &str, rsp: Response<Incoming>) -> Result<Answer, ClientError> {
    let status = rsp.status();
    let body = Limited::new(rsp.into_body(), BODY_LIMIT).collect().await;
    match body {
        Ok(body) => Ok(Answer {
            status,
            body: body.to_bytes(),
        }),
        Err(e) => Err(ClientError::Broken {
            address: address.to_owned(),
            reason: e.to_string(),
        }),
    }
}

// The outer errors only say that the client failed; the innermost says why.
fn innermost(e: &dyn std::error::Error) -> String {
    let mut e = e;
    while let Some(source) = e.source() {
        e = source;
    }
    e.to_string()
}
