//! The feed of cache events, late and with gaps.

use std::collections::VecDeque;

use serde::Serialize;
use tokio::time::Instant;

use crate::engine::cache::CacheChange;
use crate::prompt::prefix_name;

/// Events kept for readers that come late.
const MAX_EVENTS: usize = 16 * 1024;

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Op {
    Stored,
    Evicted,
}

/// One event.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) seq: u64,
    pub(crate) op: Op,
    pub(crate) prefix: String,
    #[serde(skip)]
    pub(crate) at: Instant,
}

/// The last events, in order.
#[derive(Debug, Default)]
pub(crate) struct CacheEvents {
    events: VecDeque<CacheEvent>,
    next_seq: u64,
    gap: u64,
}

impl CacheEvents {
    /// A feed that loses one event in `gap`.
    pub(crate) fn new(gap: u64) -> Self {
        Self {
            gap,
            ..Self::default()
        }
    }

    pub(crate) fn record(&mut self, change: &CacheChange, now: Instant) {
        for &prefix in &change.evicted {
            self.push(Op::Evicted, prefix, now);
        }
        for &prefix in &change.stored {
            self.push(Op::Stored, prefix, now);
        }
    }

    /// The first event at or after `from` that is old enough to be sent.
    pub(crate) fn next(&self, from: u64, until: Instant) -> Option<CacheEvent> {
        let at = self.events.partition_point(|event| event.seq < from);
        self.events
            .get(at)
            .filter(|event| event.at <= until)
            .cloned()
    }

    fn push(&mut self, op: Op, prefix: u64, at: Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        let lost = self.gap > 0 && seq % self.gap == self.gap - 1;
        if lost {
            return;
        }
        self.events.push_back(CacheEvent {
            seq,
            op,
            prefix: prefix_name(prefix),
            at,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
