//! Which software versions may have begun the streams that callers still take up.
//!
//! Load pattern: a release replaces the replicas of a service one by one, and for seconds or for good several
//! versions serve side by side, while instances are killed or cut off and their callers take up streams at
//! others. What two versions write of one stream doesn't fit together, and no replica checks which version
//! began it.
//!
//! Each instance remembers the versions that it has seen in the directory for as long as a stream may last.
//! While there was only one, every stream of the service began at that one, and nothing has to be known about
//! single streams. What an instance has not seen counts as unknown: after it started, or after a listing that
//! may hide replicas that came and went, it relies on the history of another instance or on none.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::NameHash;

/// Shortest time for which a version that is gone is remembered. Callers take a stream up within their timeout,
/// which is 15 s at most; the rest is for replicas that serve on after their entries were removed, and for
/// instances that learn of it late.
const MIN_MEMORY: Duration = Duration::from_mins(1);

/// The same in terms of the longest timeout of a route, which bounds a single attempt.
const TIMEOUTS_PER_MEMORY: u32 = 4;

/// The service of a replica and the version of its software.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Name hash of the service.
    pub service: NameHash,
    /// Name hash of the software version.
    pub version: NameHash,
}

/// What may have begun streams on the routes of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
enum Source {
    /// Replicas of this version.
    Version(NameHash),
    /// Replicas of another service, to which a route led before.
    OtherService,
}

/// A source of streams, and when it was last in use.
#[derive(Debug, Clone, Copy)]
struct SeenSource {
    service: NameHash,
    source: Source,
    /// Number of replicas in the directory.
    present: u32,
    /// When the last of them was removed, if there are none.
    last_seen: Instant,
}

/// The versions of all services that one instance has seen.
#[derive(Debug, Clone)]
pub struct VersionHistory {
    /// Sorted by service and source.
    seen: Vec<SeenSource>,
    /// Time before which changes may have been missed; `None` if no stream is older than this history.
    missed_until: Option<Instant>,
    /// Time for which a version that is gone is remembered.
    memory: Duration,
}

/// The history of an instance, as it is sent to another one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryReport {
    /// Milliseconds since the time before which changes may have been missed.
    missed_age_ms: Option<u32>,
    /// Service, source and milliseconds since it was last seen.
    seen: Vec<(NameHash, Source, u32)>,
}

impl VersionHistory {
    /// Creates the history of an instance that knows nothing of the time before.
    pub fn new(now: Instant) -> Self {
        Self {
            seen: Vec::new(),
            missed_until: Some(now),
            memory: MIN_MEMORY,
        }
    }

    /// Sets that there was nothing before: the whole fleet starts for the first time.
    pub fn with_first_start(mut self) -> Self {
        self.missed_until = None;
        self
    }

    /// Sets the longest timeout of the routes whose streams can be resumed.
    pub fn set_longest_timeout(&mut self, timeout: Duration) {
        self.memory = timeout.saturating_mul(TIMEOUTS_PER_MEMORY).max(MIN_MEMORY);
    }

    /// Time after which no caller takes up a stream that broke, or whose version is gone.
    pub fn memory(&self) -> Duration {
        self.memory
    }

    /// Records that a replica was published, was removed, or has changed.
    pub fn on_replica(
        &mut self,
        now: Instant,
        before: Option<StreamOrigin>,
        after: Option<StreamOrigin>,
    ) {
        if before == after {
            return;
        }
        if let Some(origin) = before {
            let seen = self.source_mut(now, origin.service, Source::Version(origin.version));
            seen.present = seen.present.saturating_sub(1);
            seen.last_seen = now;
        }
        if let Some(origin) = after {
            let seen = self.source_mut(now, origin.service, Source::Version(origin.version));
            seen.present += 1;
        }
        self.forget_old(now);
    }

    /// Records that a route which led to other services leads to this one.
    pub fn on_moved_route(&mut self, now: Instant, service: NameHash) {
        self.source_mut(now, service, Source::OtherService)
            .last_seen = now;
    }

    /// Records that changes up to now may have been missed.
    pub fn on_missed_changes(&mut self, now: Instant) {
        self.missed_until = Some(now);
    }

    /// Whether nothing was missed that a stream which still lasts may depend on.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.missed_until.is_none_or(|at| self.is_old(now, at))
    }

    /// The only version that may have begun a stream of the service which still lasts; `None` if there may
    /// be several, or it is not known.
    pub fn sole_version(&self, now: Instant, service: NameHash) -> Option<NameHash> {
        if !self.is_complete(now) {
            return None;
        }
        let of_service = self.seen.iter().filter(|s| s.service == service);
        let mut recent = of_service.filter(|s| s.present > 0 || !self.is_old(now, s.last_seen));
        match (recent.next()?.source, recent.next()) {
            (Source::Version(version), None) => Some(version),
            _ => None,
        }
    }

    /// Describes this history to another instance.
    pub fn report(&self, now: Instant) -> HistoryReport {
        let age_ms = |at: Instant| {
            let age = now.saturating_duration_since(at);
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        };
        let last_seen = |s: &SeenSource| if s.present > 0 { now } else { s.last_seen };
        let recent = self.seen.iter().filter(|s| !self.is_old(now, last_seen(s)));
        HistoryReport {
            missed_age_ms: self
                .missed_until
                .filter(|_| !self.is_complete(now))
                .map(age_ms),
            seen: recent
                .map(|s| (s.service, s.source, age_ms(last_seen(s))))
                .collect(),
        }
    }

    /// Adds the history of another instance, which reaches up to what this one has seen itself. Returns
    /// whether it reaches further back.
    pub fn add(&mut self, now: Instant, report: &HistoryReport) -> bool {
        let before = |age_ms: u32| now.checked_sub(Duration::from_millis(u64::from(age_ms)));
        let missed_until = report
            .missed_age_ms
            .map(|age_ms| before(age_ms).unwrap_or(now));
        if self.missed_until <= missed_until {
            return false;
        }
        self.missed_until = missed_until;
        for (service, source, age_ms) in &report.seen {
            let at = before(*age_ms).unwrap_or(now);
            let seen = self.source_mut(at, *service, *source);
            seen.last_seen = seen.last_seen.max(at);
        }
        true
    }

    /// Whether a time is so long ago that no stream depends on it.
    fn is_old(&self, now: Instant, at: Instant) -> bool {
        now.saturating_duration_since(at) >= self.memory
    }

    /// The entry of a source, created if absent.
    fn source_mut(&mut self, at: Instant, service: NameHash, source: Source) -> &mut SeenSource {
        let found = self
            .seen
            .binary_search_by_key(&(service, source), |s| (s.service, s.source));
        let index = found.unwrap_or_else(|index| {
            let seen = SeenSource {
                service,
                source,
                present: 0,
                last_seen: at,
            };
            self.seen.insert(index, seen);
            index
        });
        &mut self.seen[index]
    }

    /// Removes the sources that have not been in use for so long that no stream depends on them.
    fn forget_old(&mut self, now: Instant) {
        let memory = self.memory;
        let is_recent = |s: &SeenSource| now.saturating_duration_since(s.last_seen) < memory;
        self.seen.retain(|s| s.present > 0 || is_recent(s));
    }
}
