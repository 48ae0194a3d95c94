//! Exchanges with upstreams: completions, resumption, cancellation and plain calls.

use std::time::Duration;

use bytes::Bytes;
use http::header::{ACCEPT, CONTENT_TYPE};
use http::{HeaderMap, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use kingcupfield_decisions::id::{RequestId, Sequence};

use crate::connector::{Connector, ExchangeError, SendBody};

/// Header with the id of the request.
pub const X_REQUEST_ID: &str = "x-request-id";

/// Header with the idempotency key of a call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A cancellation that takes longer is given up; the engine then finishes in vain.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer to a cancellation.
const CANCEL_LIMIT: usize = 4096;

/// One upstream replica at its address.
#[derive(Debug, Clone)]
pub struct Upstream {
    address: String,
    connector: Connector,
}

impl Upstream {
    /// Makes the upstream at `address` (`IP:port`).
    pub fn new(address: String, connector: Connector) -> Self {
        Self { address, connector }
    }

    /// Starts a completion; `path` is that of the caller.
    pub async fn complete(
        &self,
        path: &str,
        request: &RequestId,
        body: Bytes,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let req = self
            .request(Method::POST, path, request)
            .header(CONTENT_TYPE, "application/json")
            .header(ACCEPT, "text/event-stream");
        self.send(req, body).await
    }

    /// Resumes the stream of `request` at the chunk `from`.
    pub async fn resume(
        &self,
        request: &RequestId,
        from: Sequence,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let path = format!("/streams/{request}?from={from}");
        let req = self
            .request(Method::GET, &path, request)
            .header(ACCEPT, "text/event-stream");
        self.send(req, Bytes::new()).await
    }

    /// Cancels the stream of `request`.
    pub async fn cancel(&self, request: &RequestId) -> Result<(), ExchangeError> {
        let path = format!("/streams/{request}");
        let req = self.request(Method::DELETE, &path, request);
        let req = build(req, Bytes::new())?;
        self.connector
            .fetch(req, CANCEL_LIMIT, CANCEL_TIMEOUT)
            .await
            .map(drop)
    }

    /// Makes a plain call.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        request: &RequestId,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let mut req = self.request(method, path, request);
        for (name, value) in headers {
            req = req.header(name, value);
        }
        self.send(req, body).await
    }

    fn request(&self, method: Method, path: &str, request: &RequestId) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(X_REQUEST_ID, &**request)
    }

    async fn send(
        &self,
        req: http::request::Builder,
        body: Bytes,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.connector.send(build(req, body)?).await
    }
}

fn build(req: http::request::Builder, body: Bytes) -> Result<Request<SendBody>, ExchangeError> {
    req.body(Full::new(body))
        .map_err(|e| ExchangeError::NotSent(e.to_string()))
}
