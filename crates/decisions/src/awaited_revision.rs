//! Revision of the directory that other instances have announced and that has not arrived here yet.
//!
//! Load pattern: replicas leave while some instances are slow, suspended or cut off. An instance that knows
//! of a change and can't get it is late, however healthy it looks otherwise.

use std::time::Duration;

use tokio::time::Instant;

use crate::store_view::Revision;

/// A revision, and when it was first announced.
#[derive(Debug, Clone, Copy)]
struct Announced {
    revision: Revision,
    at: Instant,
}

/// The announced revisions that are missing here.
#[derive(Debug, Default)]
pub struct AwaitedRevision {
    /// The one that was announced first.
    first: Option<Announced>,
    /// The highest one.
    highest: Option<Announced>,
}

impl AwaitedRevision {
    /// Records that another instance has announced a revision above the known one.
    pub fn on_announced(&mut self, now: Instant, revision: Revision) {
        let announced = Announced { revision, at: now };
        if self.highest.is_none_or(|h| h.revision < revision) {
            self.highest = Some(announced);
        }
        self.first.get_or_insert(announced);
    }

    /// Records that everything up to `known` has arrived. Returns the time since the announcement of the
    /// revision that was awaited, if that was among it.
    pub fn on_known(&mut self, now: Instant, known: Revision) -> Option<Duration> {
        let arrived = self.first.take_if(|first| first.revision <= known)?;
        self.first = self.highest.filter(|highest| highest.revision > known);
        if self.first.is_none() {
            self.highest = None;
        }
        Some(now.saturating_duration_since(arrived.at))
    }

    /// Time since the announcement of the revision that is awaited; `None` if none is.
    pub fn waited(&self, now: Instant) -> Option<Duration> {
        self.first
            .map(|first| now.saturating_duration_since(first.at))
    }
}
