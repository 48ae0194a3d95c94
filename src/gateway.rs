//! The callers' HTTP: routes, limits on every input, and answers for what no handler sees.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, HttpBody};
use axum::extract::{DefaultBodyLimit, Path, Request, State};
use axum::http::header::{AUTHORIZATION, CONNECTION};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, Method, Uri, Version};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::Response;
use axum::routing::{any, get, post};
use bytes::Bytes;
use http_body_util::Full;
use kingcupfield_decisions::id::Rank;
use kingcupfield_decisions::idempotency::KEY_LIFETIME;
use kingcupfield_transfer::caller_body::{self, BodyError, BodyLimits};
use kingcupfield_transfer::connections::RequestInProgress;
use serde_json::json;

use crate::caller::{authenticate, tier};
use crate::completion;
use crate::error::{Refusal, RefusalKind};
use crate::issue;
use crate::plain::{self, PlainCall};
use crate::reply::{Head, refused, respond};
use crate::shared::{Shared, instance_of};

/// Largest body of a call: the longest prompts of both firms are below 100 KB; a megabyte is
/// refused.
pub const BODY_LIMIT: usize = 512 * 1024;

/// Of a body over the limit this much more is read and dropped; a caller that sends still more is
/// cut off.
const DISCARD_LIMIT: usize = 8 * 1024 * 1024;

/// A body that takes longer to arrive is given up, so that slow senders hold no memory for long.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest record of a request at another instance.
const STATUS_LIMIT: usize = 64 * 1024;

/// How long another instance may take to find a record; it answers from memory.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes the routes for callers.
pub fn router(shared: Shared) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(completions))
        .route("/v1/completions", post(completions))
        .route("/v1/services/{service}/{*path}", any(plain_call))
        .route("/v1/idempotency-keys", post(issue_key))
        .route("/v1/requests/{id}", get(request_status))
        .fallback(not_found)
        .method_not_allowed_fallback(not_found)
        .layer(DefaultBodyLimit::disable())
        .layer(from_fn_with_state(shared.clone(), end_when_leaving))
        .with_state(shared)
}

/// Lets each answer of a leaving instance end its connection.
///
/// The instance closes idle connections when it ends. A request that is on its way on one at that
/// moment gets no answer, and its caller can't tell whether it ran; a caller that was told sends
/// its next request elsewhere. HTTP/2 tells callers by itself which requests it still takes.
async fn end_when_leaving(State(shared): State<Shared>, req: Request, next: Next) -> Response {
    let tells = req.version() <= Version::HTTP_11;
    let mut rsp = next.run(req).await;
    if tells && shared.is_leaving() {
        let close = HeaderValue::from_static("close");
        rsp.headers_mut().insert(CONNECTION, close);
    }
    rsp
}

async fn completions(State(shared): State<Shared>, req: Request) -> Response {
    let path = req.uri().path().to_owned();
    let (parts, body) = req.into_parts();
    let id = shared.next_request();
    match authenticated_body(&shared, &parts, body).await {
        Ok(body) => completion::handle(shared, id, path, parts.headers, body).await,
        Err(refusal) => refused(&id, &refusal),
    }
}

async fn plain_call(
    State(shared): State<Shared>,
    Path(service_and_path): Path<ServiceAndPath>,
    req: Request,
) -> Response {
    let (parts, body) = req.into_parts();
    let id = shared.next_request();
    let body = match authenticated_body(&shared, &parts, body).await {
        Ok(body) => body,
        Err(refusal) => return refused(&id, &refusal),
    };
    let call = PlainCall {
        service: service_and_path.service,
        method: parts.method,
        path: path_at_replica(&parts.uri),
        headers: parts.headers,
        body,
    };
    plain::handle(shared, id, call).await
}

#[derive(Debug, serde::Deserialize)]
struct ServiceAndPath {
    service: String,
}

/// The caller's path after `/v1/services/{service}`, as written, with the query.
fn path_at_replica(uri: &Uri) -> String {
    let path = uri.path().splitn(5, '/').nth(4).unwrap_or_default();
    match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    }
}

async fn issue_key(State(shared): State<Shared>, headers: HeaderMap) -> Response {
    let id = shared.next_request();
    let organisation = match authenticate(&headers, &shared.fleet.snapshot()) {
        Ok(organisation) => organisation.organisation.clone(),
        Err(refusal) => return refused(&id, &refusal),
    };
    match issue::issue(&shared, organisation).await {
        Ok(key) => respond(
            &id,
            Head::Made(json!({"idempotency_key": key, "expires_in_s": KEY_LIFETIME.as_secs()})),
        ),
        Err(refusal) => refused(&id, &refusal),
    }
}

async fn request_status(
    State(shared): State<Shared>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Response {
    let snapshot = shared.fleet.snapshot();
    let organisation = match authenticate(&headers, &snapshot) {
        Ok(organisation) => organisation,
        Err(refusal) => return refused(&shared.next_request(), &refusal),
    };
    let own = shared
        .records
        .get(&id)
        .filter(|r| r.organisation == organisation.organisation);
    if let Some(record) = own {
        let body = serde_json::to_value(&record).expect("a record is JSON");
        return respond(&shared.next_request(), Head::Made(body));
    }
    if let Some(answer) = status_elsewhere(&shared, &id, &headers).await {
        return answer;
    }
    let refusal = Refusal::new(RefusalKind::NotFound)
        .with_message("no such request of this organisation is remembered");
    refused(&shared.next_request(), &refusal)
}

/// Asks the instance that received the request, as the balancer may send its caller anywhere.
///
/// That instance finds its own name in the id and asks nobody further.
async fn status_elsewhere(shared: &Shared, id: &str, headers: &HeaderMap) -> Option<Response> {
    let other = instance_of(id).filter(|name| **name != *shared.instance)?;
    let address = shared.fleet.snapshot().entry(other)?.address.clone();
    let key = headers.get(AUTHORIZATION)?;
    let uri = format!("http://{address}/v1/requests/{id}");
    let req = Request::get(uri).header(AUTHORIZATION, key);
    let req = req.body(Full::<Bytes>::default()).ok()?;
    let answer = shared.connector.fetch(req, STATUS_LIMIT, STATUS_TIMEOUT);
    let (parts, body) = answer.await.ok()?.into_parts();
    Some(Response::from_parts(parts, Body::from(body)))
}

async fn not_found(State(shared): State<Shared>, method: Method, uri: Uri) -> Response {
    let message = format!("no {method} {}", uri.path());
    let refusal = Refusal::new(RefusalKind::NotFound).with_message(message);
    refused(&shared.next_request(), &refusal)
}

/// Reads the body only of callers that the table knows, so that strangers cost no memory.
async fn authenticated_body(
    shared: &Shared,
    parts: &Parts,
    mut body: Body,
) -> Result<Bytes, Refusal> {
    let snapshot = shared.fleet.snapshot();
    let organisation = authenticate(&parts.headers, &snapshot)?;
    let rank = tier(&parts.headers, &snapshot, organisation).map_or(Rank::MAX, |t| t.rank);
    let hold = shared.memory.open(rank);
    let limits = BodyLimits::new(BODY_LIMIT, BODY_TIMEOUT);
    let received = tokio::select! {
        received = caller_body::receive(&mut body, limits, hold) => received,
        () = connection_closing(parts) => Err(BodyError::Evicted),
    };
    match received {
        Ok(received) if received.claim.on_send() => Ok(received.bytes),
        Ok(_) => Err(body_refusal(&BodyError::Evicted)),
        Err(e) => {
            if matches!(e, BodyError::TooLarge { .. }) {
                discard(&mut body).await;
            }
            Err(body_refusal(&e))
        }
    }
}

/// Completes when the connection of a request is to be closed.
async fn connection_closing(parts: &Parts) {
    match parts.extensions.get::<Arc<RequestInProgress>>() {
        Some(progress) => progress.closing().await,
        None => std::future::pending().await,
    }
}

fn body_refusal(e: &BodyError) -> Refusal {
    let kind = match e {
        BodyError::TooLarge { .. } => RefusalKind::TooLarge,
        BodyError::TimedOut | BodyError::Broken(_) => RefusalKind::BadRequest,
        BodyError::OutOfMemory(_) | BodyError::Evicted => RefusalKind::Unavailable,
    };
    Refusal::new(kind).with_message(e.to_string())
}

/// Reads and drops the rest of a body that is refused for its size.
async fn discard(body: &mut Body) {
    // The connection of a body that is larger than what is dropped is cut off in any case.
    if body.size_hint().lower() > DISCARD_LIMIT as u64 {
        return;
    }
    caller_body::discard(body, BodyLimits::new(DISCARD_LIMIT, BODY_TIMEOUT)).await;
}
