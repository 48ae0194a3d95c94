//! One attempt to send a request to one replica, up to the head of its response.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use kingcupfield_decisions::dispatch::Outcome;
use tokio::time::Instant;

use crate::adapter::ResponseClass;
use crate::node::{Node, Target};
use crate::pool::{self, Connection};

/// Maximum idle time of a reused connection for requests that must not be retried: a replica may
/// drop an idle connection without notice, and it is then unknown whether the request ran.
const MAX_IDLE_UNRETRYABLE: Duration = Duration::from_millis(1500);

/// Maximum size in bytes of a response that is read completely before it is sent to the caller.
const MAX_BUFFERED_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Bytes for which each part of such a response counts beside its own: the time that small parts take.
const FRAME_COST_BYTES: usize = 64;

/// Why an attempt ended without a response of the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// The request was not sent.
    NotSent,
    /// The replica announced that it leaves, or was removed, before the request was sent.
    Withdrawn,
    /// The replica reported that it has no free slot and did not run the request.
    Full,
    /// A different replica responded, and did not run the request.
    WrongReplica,
    /// The replica reported that it did not run the request.
    NotExecuted,
    /// The connection was closed as soon as the request had arrived, as by a replica that has died;
    /// it may have run.
    Dropped,
    /// The connection broke or the response was incomplete; the request may have run.
    Broken,
    /// The attempt was abandoned because the replica stalled or was slow, and a retry replaces it;
    /// the request may have run.
    Abandoned,
    /// The response belongs to another request or lacks required fields; this request may have run.
    InvalidResponse,
}

impl SendFailure {
    /// Name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Withdrawn => "withdrawn",
            Self::Full => "full",
            Self::WrongReplica => "another",
            Self::NotExecuted => "not_run",
            Self::Dropped => "dropped",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
            Self::InvalidResponse => "foreign",
        }
    }

    /// Whether the replica may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::Dropped | Self::Broken | Self::Abandoned | Self::InvalidResponse
        )
    }

    /// Whether the connection ended while the replica may have run the request.
    pub fn broke_connection(self) -> bool {
        matches!(self, Self::Dropped | Self::Broken)
    }

    /// How the dispatcher should count the failure for the replica.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotSent | Self::WrongReplica | Self::Dropped => Outcome::Unreachable,
            Self::Full => Outcome::Full,
            Self::NotExecuted | Self::Withdrawn => Outcome::Unknown,
            Self::Broken | Self::Abandoned | Self::InvalidResponse => Outcome::Failed,
        }
    }
}

/// A replica's response, with the head received and the body still to be read.
#[derive(Debug)]
pub struct ReplicaResponse {
    /// Status and header fields.
    pub head: http::response::Parts,
    /// Body, not read yet.
    pub body: Incoming,
    /// Connection that carries the response.
    pub connection: Connection,
}

/// Sends a request to the target and waits for the head of the response.
///
/// `id` identifies the attempt. Method and URI are those of `head`; `fields` are the header fields
/// that the replica gets.
pub async fn send(
    node: &Node,
    target: &Rc<Target>,
    id: &str,
    head: &Parts,
    fields: HeaderMap,
    body: Bytes,
    retryable: bool,
) -> Result<ReplicaResponse, SendFailure> {
    let max_idle = if retryable {
        Duration::MAX
    } else {
        MAX_IDLE_UNRETRYABLE
    };
    loop {
        let idle = target.pool.take_idle(Instant::now(), max_idle);
        let is_reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => pool::connect(target.published.address)
                .await
                .map_err(|_| SendFailure::NotSent)?,
        };
        // The replica was chosen before the connection was opened.
        if !node.is_in_use(target) {
            return Err(SendFailure::Withdrawn);
        }
        let req = build_request(head, fields.clone(), body.clone());
        let sent_at = node.suspend_aware_now();
        match connection.sender.try_send_request(req).await {
            Ok(response) => {
                connection.progress.record();
                return on_response(node, target, id, sent_at, response, connection);
            }
            // A reused connection was closed before anything was written: try the next one.
            Err(mut e) => match e.take_message() {
                Some(_) if is_reused => {}
                Some(_) => return Err(SendFailure::NotSent),
                None => return Err(SendFailure::Broken),
            },
        }
    }
}

/// Whether a response tells where its body ends. Without that the end of the connection is the end of the
/// body, whatever has ended it.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads the body of a response on `connection` to its end.
pub async fn read_body(connection: &Connection, mut body: Incoming) -> Result<Bytes, SendFailure> {
    let mut buf = BytesMut::new();
    let mut frames = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| SendFailure::Broken)?;
        connection.progress.record();
        frames += 1;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() + frames * FRAME_COST_BYTES > MAX_BUFFERED_BODY_BYTES {
            return Err(SendFailure::Broken);
        }
    }
    Ok(buf.freeze())
}

/// Records what the replica states in the head of its response, and turns the head into the response
/// or a failure.
fn on_response(
    node: &Node,
    target: &Target,
    id: &str,
    sent_at: Instant,
    response: Response<Incoming>,
    connection: Connection,
) -> Result<ReplicaResponse, SendFailure> {
    let (head, body) = response.into_parts();
    let class = node.protocol.classify_response(id, &head);
    node.on_response_head(&target.published, id, sent_at, class, &head);
    match class {
        ResponseClass::Executed => Ok(ReplicaResponse {
            head,
            body,
            connection,
        }),
        ResponseClass::AtCapacity => Err(SendFailure::Full),
        ResponseClass::WrongReplica => Err(SendFailure::WrongReplica),
        ResponseClass::NotExecuted => Err(SendFailure::NotExecuted),
        ResponseClass::Invalid => Err(SendFailure::InvalidResponse),
    }
}

/// Builds the request to the replica from the caller's method and URI.
fn build_request(head: &Parts, fields: HeaderMap, body: Bytes) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = head.uri.clone();
    *req.headers_mut() = fields;
    req
}
