//! A fake of the platform: versioned values that can be read and watched.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::fault_switch::FaultSwitch;
use crate::listener::Listener;

/// Reads and watches that the platform answers in a second, over all readers.
const DEFAULT_RATE_PER_S: u32 = 2_000;
/// How often a watch looks for a newer value.
const WATCH_POLL: Duration = Duration::from_millis(10);
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_mins(1);
/// Versions kept of each value.
const MAX_VERSIONS: usize = 64;

/// Settings of a fake platform.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
}

impl PlatformConfig {
    /// A platform on a free port.
    pub fn new() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        }
    }

    /// Listens on `listen`.
    pub fn with_listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// The faults of a fake platform; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered by 503.
    pub down: bool,
    /// A version is seen this long after it was published, in milliseconds.
    pub lag_ms: u64,
    /// Number of versions by which it lies behind; an older value is served even to a reader
    /// that has a newer one.
    pub versions_behind: usize,
    /// Calls that it answers in a second; the others get 429. `None` is the usual rate.
    pub rate_per_s: Option<u32>,
}

/// Counts of calls, as `GET /journal` prints them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCalls {
    /// Calls that arrived.
    pub calls: u64,
    /// Calls refused because of the rate.
    pub over_rate: u64,
    /// Most calls that arrived in one second.
    pub most_per_s: u32,
}

/// One published version.
#[derive(Debug, Clone)]
struct Published {
    version: u64,
    value: Arc<Value>,
    at: Instant,
}

/// All versions of one value, in the order in which they were published.
#[derive(Debug)]
struct History {
    name: String,
    versions: Vec<Published>,
}

#[derive(Debug)]
struct Store {
    /// Number of times that it was restored from a copy.
    era: u32,
    /// Sorted by name.
    histories: Vec<History>,
    calls: PlatformCalls,
    second: Instant,
    in_second: u32,
}

impl Store {
    fn new() -> Self {
        Self {
            era: 0,
            histories: Vec::new(),
            calls: PlatformCalls::default(),
            second: Instant::now(),
            in_second: 0,
        }
    }

    fn publish(&mut self, name: &str, version: u64, value: Value) {
        let published = Published {
            version,
            value: Arc::new(value),
            at: Instant::now(),
        };
        match self.position(name) {
            Ok(at) => {
                let versions = &mut self.histories[at].versions;
                versions.push(published);
                if versions.len() > MAX_VERSIONS {
                    versions.remove(0);
                }
            }
            Err(at) => {
                let history = History {
                    name: name.to_owned(),
                    versions: vec![published],
                };
                self.histories.insert(at, history);
            }
        }
    }

    /// Loses the latest versions of each value, but for its first one.
    fn restore(&mut self, lost: usize) {
        self.era += 1;
        for history in &mut self.histories {
            let kept = history.versions.len().saturating_sub(lost).max(1);
            history.versions.truncate(kept);
        }
    }

    /// The version that a reader sees now.
    fn seen(&self, name: &str, faults: &PlatformFaults) -> Option<Published> {
        let versions = &self.histories[self.position(name).ok()?].versions;
        let lag = Duration::from_millis(faults.lag_ms);
        let visible = versions
            .iter()
            .rposition(|published| published.at.elapsed() >= lag)?;
        versions
            .get(visible.saturating_sub(faults.versions_behind))
            .cloned()
    }

    /// Counts a call; false when it is over the rate.
    fn count_call(&mut self, faults: &PlatformFaults) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.in_second = 0;
        }
        self.in_second += 1;
        self.calls.calls += 1;
        self.calls.most_per_s = self.calls.most_per_s.max(self.in_second);
        let within = self.in_second <= faults.rate_per_s.unwrap_or(DEFAULT_RATE_PER_S);
        self.calls.over_rate += u64::from(!within);
        within
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.histories
            .binary_search_by(|history| history.name.as_str().cmp(name))
    }
}

#[derive(Debug)]
struct Shared {
    faults: FaultSwitch<PlatformFaults>,
    store: Mutex<Store>,
}

impl Shared {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running fake platform; dropping it stops it.
#[derive(Debug)]
pub struct Platform {
    listener: Listener,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts a platform inside the running tokio runtime; fails when the address can't be bound.
    pub async fn start(cfg: PlatformConfig) -> io::Result<Self> {
        let faults = FaultSwitch::new();
        let shared = Arc::new(Shared {
            faults,
            store: Mutex::new(Store::new()),
        });
        let router = Router::new()
            .route("/v1/values/{name}", get(read))
            .route("/publish/{name}", post(publish))
            .route("/journal", get(journal))
            .route("/faults", get(faults_now).post(set_faults))
            .with_state(Arc::clone(&shared));
        let listener = Listener::start(cfg.listen, router).await?;
        Ok(Self { listener, shared })
    }

    /// Address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Publishes `value` as the latest version of `name`.
    pub fn publish(&self, name: &str, version: u64, value: Value) {
        self.shared.store().publish(name, version, value);
    }

    /// Comes back from a copy that lacks so many of the latest versions of each value.
    pub fn restore(&self, lost: usize) {
        self.shared.store().restore(lost);
    }

    /// Counts of calls.
    pub fn calls(&self) -> PlatformCalls {
        self.shared.store().calls
    }

    /// Its switch of faults.
    pub fn faults(&self) -> FaultSwitch<PlatformFaults> {
        self.shared.faults.clone()
    }
}

/// What a reader has and how long it waits for something newer.
#[derive(Debug, Deserialize)]
struct Watch {
    #[serde(default)]
    version: Option<u64>,
    /// Era of that version, if the reader knows of eras.
    #[serde(default)]
    era: Option<u32>,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    Query(watch): Query<Watch>,
) -> Response {
    let within_rate = shared.store().count_call(&shared.faults.get());
    if !within_rate {
        let retry = [(header::RETRY_AFTER, "1")];
        return (StatusCode::TOO_MANY_REQUESTS, retry, "over the rate").into_response();
    }
    let end = Instant::now() + Duration::from_millis(watch.wait_ms).min(MAX_WAIT);
    loop {
        let faults = shared.faults.get();
        if faults.down {
            return (StatusCode::SERVICE_UNAVAILABLE, "down").into_response();
        }
        let (seen, era) = {
            let store = shared.store();
            (store.seen(&name, &faults), store.era)
        };
        let waited = Instant::now() >= end;
        let is_restored = watch.era.is_some_and(|known| era > known);
        let is_news = |seen: &Published| {
            is_restored || watch.version.is_none_or(|version| seen.version > version)
        };
        match seen {
            Some(seen) if is_news(&seen) => return value(&seen, era),
            Some(seen) if waited => return no_news(&seen, era, watch.version),
            None if waited => return (StatusCode::NOT_FOUND, "no such value").into_response(),
            _ => tokio::time::sleep(WATCH_POLL).await,
        }
    }
}

/// The answer to a watch that ends without anything newer: a platform that lies behind hands out
/// its older value.
fn no_news(seen: &Published, era: u32, version: Option<u64>) -> Response {
    if Some(seen.version) == version {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    value(seen, era)
}

fn value(seen: &Published, era: u32) -> Response {
    Json(json!({"version": seen.version, "era": era, "value": *seen.value})).into_response()
}

/// Version under which a value is published.
#[derive(Debug, Deserialize)]
struct PublishAs {
    version: u64,
}

async fn publish(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    Query(query): Query<PublishAs>,
    Json(value): Json<Value>,
) -> StatusCode {
    shared.store().publish(&name, query.version, value);
    StatusCode::NO_CONTENT
}

async fn journal(State(shared): State<Arc<Shared>>) -> Json<PlatformCalls> {
    Json(shared.store().calls)
}

async fn faults_now(State(shared): State<Arc<Shared>>) -> Json<PlatformFaults> {
    Json(shared.faults.get())
}

async fn set_faults(
    State(shared): State<Arc<Shared>>,
    Json(faults): Json<PlatformFaults>,
) -> StatusCode {
    shared.faults.set(faults);
    StatusCode::NO_CONTENT
}
