//! The HTTP face of a fake engine.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures::stream;
use serde::Deserialize;
use tokio::time::Instant;

use crate::engine::completion::Completion;
use crate::engine::faults::{EngineFaults, StreamFault, StreamFaultKind};
use crate::engine::job::Job;
use crate::engine::shared::{LoadReport, Shared};
use crate::engine::stream::{Reader, foreign_id, whole_answer};
use crate::journal::{JournalView, Outcome};
use crate::listener::{broken_body, refusal};

/// How often a reader of cache events looks for new ones.
const EVENT_POLL: Duration = Duration::from_millis(20);

/// Position from which a feed is read.
#[derive(Debug, Deserialize)]
struct From {
    #[serde(default)]
    from: u64,
}

pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/completions", post(completion))
        .route("/streams/{id}", get(resume).delete(cancel))
        .route("/load", get(load))
        .route("/cache/events", get(cache_events))
        .route("/journal", get(journal))
        .route("/faults", get(faults).post(set_faults))
        .with_state(shared)
}

async fn chat(State(shared): State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    run(&shared, &headers, &body, true).await
}

async fn completion(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    run(&shared, &headers, &body, false).await
}

async fn run(shared: &Arc<Shared>, headers: &HeaderMap, body: &[u8], chat: bool) -> Response {
    let Some(request_id) = headers.get("x-request-id").and_then(|id| id.to_str().ok()) else {
        return (StatusCode::BAD_REQUEST, "X-Request-Id is missing").into_response();
    };
    let req: Completion = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(e) => return (StatusCode::BAD_REQUEST, e.to_string()).into_response(),
    };
    let faults = shared.faults.get();
    if let Some(status) = faults.status {
        shared.journal.turn_away(request_id);
        return refusal(status, faults.retry_after_s);
    }
    let job = shared.accept(request_id, &req, chat);
    let fault = shared.faults.lock().take_stream_fault();
    if req.stream {
        return event_stream(Reader::new(job, 0, fault).into_body());
    }
    unstreamed(shared, &job, fault).await
}

/// Waits for the end and answers in one piece.
async fn unstreamed(shared: &Shared, job: &Job, fault: Option<StreamFault>) -> Response {
    let mut rx = job.progress.subscribe();
    rx.wait_for(|progress| progress.outcome != Outcome::Running)
        .await
        .ok();
    if job.cancelled() {
        return (StatusCode::GONE, "cancelled").into_response();
    }
    let id = match fault.map(|fault| fault.kind) {
        Some(StreamFaultKind::Cross) => foreign_id(),
        _ => &job.request_id,
    };
    let cached_tokens = shared
        .journal
        .get(job.run)
        .map_or(0, |run| run.cached_tokens);
    let answer = whole_answer(job, id, cached_tokens).to_string();
    let json = [(header::CONTENT_TYPE, "application/json")];
    match fault.map(|fault| fault.kind) {
        Some(StreamFaultKind::Break | StreamFaultKind::EndShort) => {
            let half = answer[..answer.len() / 2].to_owned();
            (json, broken_body(Bytes::from(half))).into_response()
        }
        _ => (json, answer).into_response(),
    }
}

async fn resume(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    Query(query): Query<From>,
) -> Response {
    let Some(job) = shared.batch().stream(&id) else {
        return (StatusCode::NOT_FOUND, "no such stream").into_response();
    };
    let fault = shared.faults.lock().take_stream_fault();
    event_stream(Reader::new(job, query.from, fault).into_body())
}

async fn cancel(State(shared): State<Arc<Shared>>, Path(id): Path<String>) -> StatusCode {
    match shared.batch().stream(&id) {
        Some(job) => {
            shared.cancel(&job);
            StatusCode::NO_CONTENT
        }
        None => StatusCode::NOT_FOUND,
    }
}

async fn load(State(shared): State<Arc<Shared>>) -> Json<LoadReport> {
    Json(*shared.report.borrow())
}

async fn cache_events(State(shared): State<Arc<Shared>>, Query(query): Query<From>) -> Response {
    let events = stream::unfold((shared, query.from), |(shared, from)| async move {
        loop {
            let until = Instant::now().checked_sub(shared.cfg.cache_event_delay);
            let event = until.and_then(|until| shared.batch().events.next(from, until));
            if let Some(event) = event {
                let data = serde_json::to_string(&event).unwrap_or_default();
                let chunk = Bytes::from(format!("id: {}\ndata: {data}\n\n", event.seq));
                return Some((Ok::<_, io::Error>(chunk), (shared, event.seq + 1)));
            }
            tokio::time::sleep(EVENT_POLL).await;
        }
    });
    event_stream(Body::from_stream(events))
}

async fn journal(State(shared): State<Arc<Shared>>) -> Json<JournalView> {
    Json(shared.journal.view())
}

async fn faults(State(shared): State<Arc<Shared>>) -> Json<EngineFaults> {
    Json(shared.faults.get())
}

async fn set_faults(
    State(shared): State<Arc<Shared>>,
    Json(faults): Json<EngineFaults>,
) -> StatusCode {
    shared.faults.set(faults);
    StatusCode::NO_CONTENT
}

fn event_stream(body: Body) -> Response {
    (
        [
            (header::CONTENT_TYPE, "text/event-stream"),
            (header::CACHE_CONTROL, "no-cache"),
        ],
        body,
    )
        .into_response()
}
