//! Limits the requests that a cold replica receives: one that started recently, whose empty caches
//! and unfinished warm-up make it slower than usual.
//!
//! Load pattern: all replicas of a zone restart together, or a release starts new ones, while all
//! instances have requests waiting. A replica that has just started is idle and looks like the best
//! choice to each of them; without a limit it receives ten times the load it can take in its first
//! second, and crashes.
//!
//! **A cold replica receives at most [`MAX_SIMULTANEOUS_SENDERS`] times
//! [`ColdLimit::per_instance_limit`] requests in any second, over all instances**, which is no more
//! than the operator tolerates. This follows from three rules, none of which depends on a message
//! arriving in time:
//!
//! - Only one designated instance sends to the replica: the first by rendezvous hashing among all
//!   known instances of its zone, including those that don't respond. Of two instances that know
//!   each other, at most one considers itself designated.
//! - An instance that has just started, or has just become the designated one, sends nothing for
//!   [`COUNTING_WINDOW`]. One that doesn't know its zone yet, or is shutting down, is never
//!   designated.
//! - The designated instance sends a request only if it sent fewer than its limit within the last
//!   [`COUNTING_WINDOW`].
//!
//! Two instances can therefore only send in the same second if they don't know each other, which
//! takes a network partition with both of them restarted on different sides. The limit allows for
//! both. Without a designated instance a cold replica stays idle until it is warm.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{InstanceAddress, UpstreamId};

/// Sliding window in which the requests to a cold replica are counted.
pub const COUNTING_WINDOW: Duration = Duration::from_secs(1);

/// Instances that may send to the same cold replica within a window: one on each side of a
/// partition.
pub const MAX_SIMULTANEOUS_SENDERS: u32 = 2;

/// Request rate that the cold replicas of a service can take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests per second that a cold replica can process.
    pub requests_per_s: f64,
    /// Most requests per second that the operator tolerates, over all instances.
    pub tolerated_per_s: f64,
}

impl ColdLimit {
    /// Requests that the designated instance may send in any window of a second.
    pub fn per_instance_limit(&self) -> u32 {
        let half = self.tolerated_per_s / f64::from(MAX_SIMULTANEOUS_SENDERS);
        half.min(self.requests_per_s).max(0.0) as u32
    }
}

/// Instance that may send to a cold replica: the one ranked highest among the instances of the
/// zone.
pub fn designated_instance(
    replica: &UpstreamId,
    members: &[InstanceAddress],
) -> Option<InstanceAddress> {
    let rank = |address: &InstanceAddress| {
        (
            xxh3_64_with_seed(replica.as_bytes(), u64::from(*address)),
            *address,
        )
    };
    members.iter().copied().max_by_key(rank)
}

/// Counts the requests that this instance sends to one replica, and limits them while it is cold.
#[derive(Debug, Clone, Default)]
pub struct ColdGate {
    /// Time from which this instance may send; `None` while it isn't the designated one.
    may_send_from: Option<Instant>,
    /// Times of the requests sent within the last window.
    dispatch_times: VecDeque<Instant>,
}

impl ColdGate {
    /// Creates the gate of a replica that has just become known. No instance has sent to it yet, so
    /// a designated one may send at once.
    pub fn new(now: Instant, is_designated: bool) -> Self {
        Self {
            may_send_from: is_designated.then_some(now),
            dispatch_times: VecDeque::new(),
        }
    }

    /// Sets whether this instance is the designated one from now on.
    pub fn set_designated(&mut self, now: Instant, is_designated: bool) {
        self.may_send_from = match (is_designated, self.may_send_from) {
            (false, _) => None,
            (true, None) => Some(now + COUNTING_WINDOW),
            (true, from) => from,
        };
    }

    /// Whether this instance is the designated one, even if it may not send yet.
    pub fn is_designated(&self) -> bool {
        self.may_send_from.is_some()
    }

    /// Whether another request may be sent now, given the `limit` for any window.
    pub fn admits(&self, now: Instant, limit: u32) -> bool {
        let recent = self
            .dispatch_times
            .iter()
            .filter(|at| now < **at + COUNTING_WINDOW);
        let below_limit = (recent.count() as u32) < limit;
        below_limit && self.may_send_from.is_some_and(|from| now >= from)
    }

    /// Records a request to the replica, even if it is warm, because it may become cold at any
    /// moment.
    pub fn on_dispatch(&mut self, now: Instant) {
        while self
            .dispatch_times
            .front()
            .is_some_and(|at| now >= *at + COUNTING_WINDOW)
        {
            self.dispatch_times.pop_front();
        }
        self.dispatch_times.push_back(now);
    }
}
