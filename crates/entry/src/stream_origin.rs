//! At which software version a stream began that a caller takes up again.
//!
//! While one version of a service serves alone, it began every stream, and nothing is said about single
//! streams. An instance that takes one up then only asks the store whether that still holds. While there are
//! several versions, or this can't be known, each instance tells a few others where its streams began.
//!
//! A stream whose version is unknown is refused as not run: what another version writes would not fit to what
//! the caller has.

mod announcer;
mod history;
mod query;

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::id::{NameHash, StreamKey, name_hash};
use kingcupfield_decisions::software_versions::StreamOrigin;
use kingcupfield_decisions::stream_records::stream_key;
use tokio::time::Instant;

use crate::adapter::RequestMeta;
use crate::directory;
use crate::log::Priority;
use crate::node::{Node, ProcessState, STORE_SILENCE_TIMEOUT};
use crate::replica::PublishedReplica;
use crate::table::Route;

use announcer::{Announcer, announce_one};
use history::HistorySync;

pub use history::{HISTORY_PATH, History};
pub use query::{Queries, on_message};

/// Interval at which it is checked what has to be announced, and whether the history is complete.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// How it is known where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// This instance relayed it, or another one told it.
    Recorded,
    /// There was only one version.
    SoleVersion,
    /// Another instance answered.
    Peer,
    /// It is not known.
    None,
}

impl Evidence {
    /// Name in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::SoleVersion => "sole_version",
            Self::Peer => "peer",
            Self::None => "unknown",
        }
    }
}

/// Where streams begin that a replica begins.
pub fn origin_of(replica: &PublishedReplica) -> StreamOrigin {
    StreamOrigin {
        service: name_hash(&replica.service),
        version: name_hash(&replica.software_version),
    }
}

/// Key of the stream that a request begins or takes up.
pub fn key_of(meta: &RequestMeta) -> StreamKey {
    let is_resumption = meta.last_event_id.is_some();
    let resumed = meta.resumed_attempt_id.as_ref();
    stream_key(
        resumed
            .filter(|_| is_resumption)
            .unwrap_or(&meta.attempt_id),
    )
}

/// What an instance does about streams and versions beside requests.
#[derive(Debug)]
pub struct Upkeep {
    checked_at: Instant,
    announcer: Announcer,
    history_sync: HistorySync,
}

impl Upkeep {
    /// Creates the state of an instance that starts.
    pub fn new(now: Instant) -> Self {
        Self {
            checked_at: now,
            announcer: Announcer::new(now),
            history_sync: HistorySync::new(now),
        }
    }

    /// Announces streams and completes the history of the versions, as far as that is due.
    pub fn check(&mut self, node: &Rc<Node>) {
        let now = Instant::now();
        if now.saturating_duration_since(self.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        self.announcer.check(node, now);
        self.history_sync.check(node, now);
    }
}

/// Records that the first event of a stream is about to be sent to the caller.
pub fn on_first_event(node: &Node, key: StreamKey, origin: StreamOrigin) {
    node.streams.borrow_mut().begin(Instant::now(), key, origin);
    if must_announce(node, origin.service) {
        announce_one(node, key, origin);
    }
}

/// Finds out where the stream began that a request takes up on a route; `None` if it is not known.
pub async fn find_out(node: &Rc<Node>, meta: &RequestMeta, route: &Route) -> Option<StreamOrigin> {
    let started = Instant::now();
    let (evidence, origin) = search(node, meta, route).await;
    node.metrics.count_resumption(evidence.as_str());
    node.log.line(
        Priority::High,
        format_args!(
            "event=stream_origin id={} resumes={} version={} evidence={} after_ms={}",
            meta.attempt_id,
            meta.resumed_attempt_id.as_deref().unwrap_or("-"),
            VersionName(node, origin),
            evidence.as_str(),
            started.elapsed().as_millis(),
        ),
    );
    origin
}

/// Looks for the origin of a stream: here, by the versions of the route's service, at other instances.
async fn search(
    node: &Rc<Node>,
    meta: &RequestMeta,
    route: &Route,
) -> (Evidence, Option<StreamOrigin>) {
    let key = key_of(meta);
    if let Some(origin) = node.streams.borrow().origin(key) {
        return (Evidence::Recorded, Some(origin));
    }
    // A route that leads to several services leaves open which of them began the stream.
    let service = match &route.targets[..] {
        [(service, _)] => Some(name_hash(service)),
        _ => None,
    };
    if let Some(service) = service
        && let Some(origin) = confirmed_sole_origin(node, service).await
    {
        return (Evidence::SoleVersion, Some(origin));
    }
    match query::ask(node, key, service.unwrap_or_default()).await {
        Some(origin) => (Evidence::Peer, Some(origin)),
        None => (Evidence::None, None),
    }
}

/// The only origin that streams of a service can have, according to the store as of now.
///
/// Another instance may have seen a new version that this one has not, and may have begun the stream
/// there. It can have learned of it from the store alone, so the store is asked.
async fn confirmed_sole_origin(node: &Rc<Node>, service: NameHash) -> Option<StreamOrigin> {
    let sole_version = || {
        let versions = node.versions.borrow();
        versions.sole_version(Instant::now(), service)
    };
    sole_version()?;
    if !directory::catch_up(node).await {
        return None;
    }
    let version = sole_version()?;
    Some(StreamOrigin { service, version })
}

/// Whether streams of a service have to be announced: another instance could not tell otherwise where they
/// began.
fn must_announce(node: &Node, service: NameHash) -> bool {
    let now = Instant::now();
    let sole_version = node.versions.borrow().sole_version(now, service);
    let shares_route = node
        .table()
        .is_some_and(|table| table.shares_resumable_route(service));
    sole_version.is_none()
        || shares_route
        || node.process_state() != ProcessState::Serving
        || !hears_store(node, now)
}

/// Whether the store has responded to any instance lately, as far as this one knows.
fn hears_store(node: &Node, now: Instant) -> bool {
    let peers = node.peers.borrow();
    let heard_by_peer = peers.store_responded_at();
    let age = heard_by_peer.map(|at| now.saturating_duration_since(at));
    let ages = [node.reported_store_age(), age];
    ages.into_iter()
        .flatten()
        .any(|age| age < STORE_SILENCE_TIMEOUT)
}

/// Name of the version of an origin, as a replica publishes it; its hash if none does, `-` without an origin.
struct VersionName<'a>(&'a Node, Option<StreamOrigin>);

impl fmt::Display for VersionName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(origin) = self.1 else {
            return f.write_str("-");
        };
        let targets = self.0.targets();
        let found = targets.iter().find(|t| origin_of(&t.published) == origin);
        match found {
            Some(target) => f.write_str(&target.published.software_version),
            None => write!(f, "{:x}", origin.version),
        }
    }
}
