//! One send of a request to one replica, up to the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use kingcupfield_decisions::dispatch::Outcome;
use tokio::time::Instant;

use crate::adapter::{ProtocolAdapter, ResponseClass};
use crate::node::Target;
use crate::pool::{self, Connection};

/// Kept connections are taken for requests that must not be lost only when they are this fresh:
/// a replica may drop an idle connection without notice, and what is sent next is then in doubt.
const FRESH_ENOUGH: Duration = Duration::from_millis(1500);

/// Longest answer that is held whole before the caller gets it.
const MAX_WHOLE: usize = 8 * 1024 * 1024;

/// Why there is no answer of the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing was sent.
    NotSent,
    /// The replica says that it has no room and did not run the request.
    Full,
    /// Another replica answered, which did not run the request.
    WrongReplica,
    /// The replica says that it did not run the request.
    NotRun,
    /// The connection ended as soon as the request had come, as at a replica that has died; it may
    /// have run.
    Dropped,
    /// It may have run.
    Broken,
    /// It was given up here, as the replica brought nothing to anybody, and a repeat is taken for it.
    Abandoned,
    /// What came is not the answer to this request, which may have run.
    Foreign,
}

impl SendFailure {
    /// Name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Full => "full",
            Self::WrongReplica => "another",
            Self::NotRun => "not_run",
            Self::Dropped => "dropped",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
            Self::Foreign => "foreign",
        }
    }

    /// Whether the replica may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::Dropped | Self::Broken | Self::Abandoned | Self::Foreign
        )
    }

    /// What it tells about the replica.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotSent | Self::WrongReplica | Self::Dropped => Outcome::Unreachable,
            Self::Full => Outcome::Full,
            Self::NotRun => Outcome::Unknown,
            Self::Broken | Self::Abandoned | Self::Foreign => Outcome::Failed,
        }
    }
}

/// A replica's answer whose body is still to come.
#[derive(Debug)]
pub struct ReplicaResponse {
    /// Its head.
    pub head: http::response::Parts,
    /// Its body.
    pub body: Incoming,
    /// The connection that brings it.
    pub connection: Connection,
}

/// Sends a request to the target and waits for the head of the answer.
pub async fn send(
    target: &Rc<Target>,
    protocol: &dyn ProtocolAdapter,
    id: &str,
    head: &Parts,
    fields: HeaderMap,
    body: Bytes,
    repeatable: bool,
) -> Result<ReplicaResponse, SendFailure> {
    let fresh = if repeatable {
        Duration::MAX
    } else {
        FRESH_ENOUGH
    };
    loop {
        let kept = target.pool.take_idle(Instant::now(), fresh);
        let was_kept = kept.is_some();
        let mut connection = match kept {
            Some(connection) => connection,
            None => pool::connect(target.published.address)
                .await
                .map_err(|_| SendFailure::NotSent)?,
        };
        let req = request(head, fields.clone(), body.clone());
        match connection.sender.try_send_request(req).await {
            Ok(response) => return judge(protocol, id, response, connection),
            // The connection was closed before anything was written: a new one is tried.
            Err(mut e) => match e.take_message() {
                Some(_) if was_kept => {}
                Some(_) => return Err(SendFailure::NotSent),
                None => return Err(SendFailure::Broken),
            },
        }
    }
}

/// Reads the rest of an answer.
pub async fn read_body(body: Incoming) -> Result<Bytes, SendFailure> {
    let collected = Limited::new(body, MAX_WHOLE).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|_| SendFailure::Broken)
}

fn judge(
    protocol: &dyn ProtocolAdapter,
    id: &str,
    response: Response<Incoming>,
    connection: Connection,
) -> Result<ReplicaResponse, SendFailure> {
    let (head, body) = response.into_parts();
    match protocol.classify_response(id, &head) {
        ResponseClass::Executed => Ok(ReplicaResponse {
            head,
            body,
            connection,
        }),
        ResponseClass::AtCapacity => Err(SendFailure::Full),
        ResponseClass::WrongReplica => Err(SendFailure::WrongReplica),
        ResponseClass::NotExecuted => Err(SendFailure::NotRun),
        ResponseClass::Invalid => Err(SendFailure::Foreign),
    }
}

fn request(head: &Parts, fields: HeaderMap, body: Bytes) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = head.uri.clone();
    *req.headers_mut() = fields;
    req
}
