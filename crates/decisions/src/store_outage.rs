//! Whether the store was out of reach for all, as far as one instance knows.
//!
//! Load pattern: the store refuses some instances, or leaves their calls unanswered, while it serves the others and the
//! replicas. An entry that is removed meanwhile was not lost by the store: its replica has left.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest time without a response to any instance that counts as an outage. Replicas that write to the store
/// every second or so lose no entry in a shorter one, and instances that take over from others which are refused
/// need less.
const MIN_OUTAGE: Duration = Duration::from_millis(2500);

/// Time after an outage for which entries may be missing because of it: replicas write theirs again within two
/// seconds.
const OUTAGE_AFTERMATH: Duration = Duration::from_secs(4);

/// The last responses of the store to any instance.
#[derive(Debug, Default)]
pub struct StoreOutage {
    /// The latest response, `None` before the first.
    last_response_at: Option<Instant>,
    /// The latest response that followed an outage, or a time of which nothing is known.
    ended_at: Option<Instant>,
}

impl StoreOutage {
    /// Records a response of the store to this instance or another one.
    pub fn on_response(&mut self, at: Instant) {
        let last = self.last_response_at;
        if last.is_some_and(|last| at <= last) {
            return;
        }
        if last.is_none_or(|last| at - last >= MIN_OUTAGE) {
            self.ended_at = Some(at);
        }
        self.last_response_at = Some(at);
    }

    /// Whether an outage goes on or has ended a short time ago.
    pub fn is_recent(&self, now: Instant) -> bool {
        let is_within = |at: Option<Instant>, time| {
            at.is_some_and(|at| now.saturating_duration_since(at) < time)
        };
        !is_within(self.last_response_at, MIN_OUTAGE) || is_within(self.ended_at, OUTAGE_AFTERMATH)
    }
}
