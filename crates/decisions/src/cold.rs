//! How many requests a cold replica gets.
//!
//! Load pattern: replicas of a zone come back together, or a release starts new ones, while all instances
//! have work that waits. A replica that has just started is empty and looks best to each of them; without
//! a bound it gets ten times what it bears in its first second, and crashes.
//!
//! **A cold replica gets at most [`KEEPERS`] times [`Bearable::share`] requests in any second, over all
//! instances**, which is no more than the operator tolerates. It follows from three facts, of which none
//! depends on a message that comes in time:
//!
//! - Only its keeper sends to it: the first by rendezvous hashing among all instances of its zone that
//!   are known, silent ones too. Two instances that know each other never both take themselves for it.
//! - An instance that has just started, or just become the keeper, sends nothing for [`SPAN`]; one that does not know
//!   its zone yet, or ends, is no keeper.
//! - A keeper gives a place there only if it gave fewer than the share in the last [`SPAN`].
//!
//! So only instances that don't know of each other may send in the same second: the two sides of a cut
//! behind which both were restarted. The share leaves room for both. Without a keeper a cold replica
//! stays idle until it is warm.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{InstanceAddress, UpstreamId};

/// The time over which requests to a cold replica are counted.
pub const COUNTING_WINDOW: Duration = Duration::from_secs(1);

/// Keepers of one replica that may act in the same span: one on each side of a cut.
pub const MAX_SIMULTANEOUS_SENDERS: u32 = 2;

/// What replicas of a service bear while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Most requests in a second that the operator tolerates, over all instances.
    pub tolerated_per_s: f64,
}

impl ColdLimit {
    /// Requests that one keeper may send in any second.
    pub fn per_instance_limit(&self) -> u32 {
        let half = self.tolerated_per_s / f64::from(MAX_SIMULTANEOUS_SENDERS);
        half.min(self.requests_per_s).max(0.0) as u32
    }
}

/// The instance through which a cold replica is reached, among those of its zone.
pub fn designated_instance(
    replica: &UpstreamId,
    members: &[InstanceAddress],
) -> Option<InstanceAddress> {
    let rank = |m: &InstanceAddress| (xxh3_64_with_seed(replica.as_bytes(), u64::from(*m)), *m);
    members.iter().copied().max_by_key(rank)
}

/// What one instance sends to one replica while it is cold.
#[derive(Debug, Clone, Default)]
pub struct ColdGate {
    /// From when on this instance may act as the keeper, if it is the one.
    keeps_from: Option<Instant>,
    /// Places given in the last span.
    given: VecDeque<Instant>,
}

impl ColdGate {
    /// The gate of a replica that has just become known, to which nobody has sent anything.
    pub fn new(now: Instant, keeps: bool) -> Self {
        Self {
            keeps_from: keeps.then_some(now),
            given: VecDeque::new(),
        }
    }

    /// Takes whether this instance is the keeper now.
    pub fn set_designated(&mut self, now: Instant, keeps: bool) {
        self.keeps_from = match (keeps, self.keeps_from) {
            (false, _) => None,
            (true, None) => Some(now + COUNTING_WINDOW),
            (true, since) => since,
        };
    }

    /// Whether this instance may ever send there while the replica is cold, as things stand.
    pub fn is_designated(&self) -> bool {
        self.keeps_from.is_some()
    }

    /// Whether one more place may be given now, `share` being the most in any span.
    pub fn admits(&self, now: Instant, share: u32) -> bool {
        let recent = self.given.iter().filter(|at| now < **at + COUNTING_WINDOW);
        let free = (recent.count() as u32) < share;
        free && self.keeps_from.is_some_and(|from| now >= from)
    }

    /// Notes a place that was given, also while the replica was warm: it may turn cold at any moment.
    pub fn on_dispatch(&mut self, now: Instant) {
        while self
            .given
            .front()
            .is_some_and(|at| now >= *at + COUNTING_WINDOW)
        {
            self.given.pop_front();
        }
        self.given.push_back(now);
    }
}
