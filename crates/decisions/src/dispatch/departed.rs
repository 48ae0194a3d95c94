//! What replicas have said about themselves, kept for a while after they are no longer published.
//!
//! The entries of replicas expire while the store is down and come back when it returns. A replica that
//! was forgotten in between would get requests as if it had said nothing.

use std::time::Duration;

use tokio::time::Instant;

use super::upstream::Upstream;
use crate::id::UpstreamId;
use crate::replica_limit::ReplicaLimit;
use crate::rest::Rest;

/// Time for which a replica that is no longer published is remembered: longer than the store is down.
const RETENTION: Duration = Duration::from_mins(10);

/// Replicas that are remembered; beyond it the one that departed first is forgotten.
const MAX_REMEMBERED: usize = 1024;

/// What is remembered of one replica.
#[derive(Debug)]
struct Entry {
    departed_at: Instant,
    id: UpstreamId,
    incarnation: u64,
    limit: ReplicaLimit,
    said_leaving: bool,
    rest: Rest,
}

/// Replicas that are no longer published, in the order of their departure.
#[derive(Debug, Default)]
pub(super) struct Departed {
    entries: Vec<Entry>,
}

impl Departed {
    /// Remembers a replica that is no longer published.
    pub(super) fn add(&mut self, now: Instant, upstream: Upstream) {
        self.entries
            .retain(|e| now < e.departed_at + RETENTION && e.id != upstream.replica.id);
        if self.entries.len() >= MAX_REMEMBERED {
            self.entries.remove(0);
        }
        self.entries.push(Entry {
            departed_at: now,
            id: upstream.replica.id,
            incarnation: upstream.replica.incarnation,
            limit: upstream.limit,
            said_leaving: upstream.said_leaving,
            rest: upstream.rest,
        });
    }

    /// Gives what is remembered to a replica that is published again, if it is the same incarnation.
    pub(super) fn restore(&mut self, upstream: &mut Upstream) {
        let is_same = |e: &Entry| {
            e.id == upstream.replica.id && e.incarnation == upstream.replica.incarnation
        };
        let Some(index) = self.entries.iter().position(is_same) else {
            return;
        };
        let entry = self.entries.remove(index);
        upstream.limit = entry.limit;
        upstream.said_leaving = entry.said_leaving;
        upstream.rest = entry.rest;
    }
}
