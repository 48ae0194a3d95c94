//! A fake plain service: every call has an effect, which is journaled.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::engine::LoadReport;
use crate::fault_switch::FaultSwitch;
use crate::journal::{Journal, JournalView, Outcome, Run, epoch_ms};
use crate::listener::{Listener, broken_body, refusal};

/// Settings of a fake plain service.
#[derive(Debug, Clone)]
pub struct PlainServiceConfig {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time that a call takes.
    pub service_time: Duration,
}

impl PlainServiceConfig {
    /// A service on a free port whose calls take 2 ms.
    pub fn new() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            service_time: Duration::from_millis(2),
        }
    }

    /// Listens on `listen`.
    pub fn with_listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Takes `service_time` for each call.
    pub fn with_service_time(mut self, service_time: Duration) -> Self {
        self.service_time = service_time;
        self
    }
}

impl Default for PlainServiceConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// The faults of a fake plain service; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainServiceFaults {
    /// Time added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Calls are refused with this status and have no effect.
    pub status: Option<u16>,
    /// Seconds of rest that these refusals ask for in `Retry-After`.
    pub retry_after_s: Option<f64>,
    /// The call has its effect and its answer never comes.
    pub lose_answer: bool,
    /// The call has its effect and the connection breaks within the answer.
    pub break_answer: bool,
    /// The load report says that the replica is leaving.
    pub leaving: bool,
}

/// The answer to a call, which shows whose call it was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// Value of `X-Request-Id`.
    pub request_id: String,
    /// `METHOD /path` as it arrived.
    pub call: String,
    /// The body as it arrived.
    pub echo: String,
    /// Position of the effect in the journal.
    pub effect: usize,
}

#[derive(Debug)]
struct Shared {
    cfg: PlainServiceConfig,
    faults: FaultSwitch<PlainServiceFaults>,
    journal: Journal,
    running: AtomicUsize,
}

/// A running fake plain service; dropping it stops it.
#[derive(Debug)]
pub struct PlainService {
    listener: Listener,
    shared: Arc<Shared>,
}

impl PlainService {
    /// Starts a service inside the running tokio runtime; fails when the address can't be bound.
    pub async fn start(cfg: PlainServiceConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            cfg,
            faults: FaultSwitch::new(),
            journal: Journal::new(),
            running: AtomicUsize::new(0),
        });
        let router = Router::new()
            .route("/load", get(load))
            .route("/journal", get(journal))
            .route("/faults", get(faults).post(set_faults))
            .fallback(call)
            .with_state(Arc::clone(&shared));
        let listener = Listener::start(shared.cfg.listen, router).await?;
        Ok(Self { listener, shared })
    }

    /// Address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// The effects that calls had.
    pub fn journal(&self) -> Journal {
        self.shared.journal.clone()
    }

    /// Its switch of faults.
    pub fn faults(&self) -> FaultSwitch<PlainServiceFaults> {
        self.shared.faults.clone()
    }
}

async fn call(
    State(shared): State<Arc<Shared>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let header = |name: &str| headers.get(name)?.to_str().ok().map(str::to_owned);
    let Some(request_id) = header("x-request-id") else {
        return (StatusCode::BAD_REQUEST, "X-Request-Id is missing").into_response();
    };
    let faults = shared.faults.get();
    if let Some(status) = faults.status {
        shared.journal.turn_away(&request_id);
        return refusal(status, faults.retry_after_s);
    }
    let call = format!("{method} {}", uri.path());
    let effect = shared.journal.push(Run {
        request_id: request_id.clone(),
        at_ms: epoch_ms(),
        call: Some(call.clone()),
        idempotency_key: header("idempotency-key"),
        ..Run::default()
    });
    shared.running.fetch_add(1, Ordering::Relaxed);
    tokio::time::sleep(shared.cfg.service_time + Duration::from_millis(faults.slow_ms)).await;
    shared.running.fetch_sub(1, Ordering::Relaxed);
    shared
        .journal
        .update(effect, |run| run.outcome = Outcome::Finished);
    let echo = String::from_utf8_lossy(&body).into_owned();
    answer(
        &faults,
        PlainAnswer {
            request_id,
            call,
            echo,
            effect,
        },
    )
    .await
}

async fn answer(faults: &PlainServiceFaults, answer: PlainAnswer) -> Response {
    if faults.lose_answer {
        std::future::pending::<()>().await;
    }
    if faults.break_answer {
        return broken_body(Bytes::from_static(b"{\"request_id\":")).into_response();
    }
    Json(json!(answer)).into_response()
}

async fn load(State(shared): State<Arc<Shared>>) -> Json<LoadReport> {
    Json(LoadReport {
        at_ms: epoch_ms(),
        running: shared.running.load(Ordering::Relaxed),
        leaving: shared.faults.get().leaving,
        ..LoadReport::default()
    })
}

async fn journal(State(shared): State<Arc<Shared>>) -> Json<JournalView> {
    Json(shared.journal.view())
}

async fn faults(State(shared): State<Arc<Shared>>) -> Json<PlainServiceFaults> {
    Json(shared.faults.get())
}

async fn set_faults(
    State(shared): State<Arc<Shared>>,
    Json(faults): Json<PlainServiceFaults>,
) -> StatusCode {
    shared.faults.set(faults);
    StatusCode::NO_CONTENT
}
