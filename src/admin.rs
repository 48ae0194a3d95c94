//! The operators' HTTP on its own address: metrics, dump, health, readiness, explain and drain.

use axum::Router;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode, header::CONTENT_TYPE};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use serde_json::json;
use tokio::sync::watch;

use crate::kernel::Dumps;
use crate::reply::json_response;
use crate::shared::Shared;

/// What the operators' handlers need.
#[derive(Debug, Clone)]
pub struct Admin {
    /// Handles of the instance.
    pub shared: Shared,
    /// State of all services.
    pub dumps: Dumps,
    /// Starts the drain when set to true.
    pub drain: watch::Sender<bool>,
}

/// Makes the routes for operators.
pub fn router(admin: Admin) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/dump", get(dump))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/explain/{request}", get(explain))
        .route("/drain", post(drain))
        .with_state(admin)
}

async fn metrics(State(admin): State<Admin>) -> Response {
    let mut headers = HeaderMap::new();
    headers.insert(
        CONTENT_TYPE,
        "text/plain; version=0.0.4".parse().expect("constant"),
    );
    (headers, admin.shared.metrics.encode()).into_response()
}

async fn dump(State(admin): State<Admin>) -> Response {
    let mut all = admin.dumps.collect().await;
    let shared = &admin.shared;
    all["instance"] = json!({
        "instance": &*shared.instance,
        "availability_zone": &*shared.zone,
        "incarnation": shared.incarnation,
        "leaving": shared.is_leaving(),
    });
    json_response(&all)
}

async fn ready(State(admin): State<Admin>) -> Response {
    let reason = admin.shared.not_ready();
    match reason {
        None => (StatusCode::OK, "ready\n").into_response(),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response(),
    }
}

async fn explain(State(admin): State<Admin>, Path(request): Path<String>) -> Response {
    if let Some(record) = admin.shared.records.get(&request) {
        return json_response(&serde_json::to_value(&record).expect("a record is JSON"));
    }
    let mut rsp = json_response(&json!({"error": "no such request is remembered here"}));
    *rsp.status_mut() = StatusCode::NOT_FOUND;
    rsp
}

async fn drain(State(admin): State<Admin>) -> Response {
    admin.drain.send_replace(true);
    let mut rsp = json_response(&json!({"draining": true}));
    *rsp.status_mut() = StatusCode::ACCEPTED;
    rsp
}
