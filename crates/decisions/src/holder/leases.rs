//! Send times of sequence numbers, from which the leases of grants are counted.

use std::time::Duration;

use tokio::time::Instant;

use crate::id::{Incarnation, Sequence};
use crate::slots::GRANT_LEASE;

/// Time for which a sequence number is used again; leases are shorter by as much.
const SEQUENCE_REUSE: Duration = Duration::from_millis(10);

/// A sequence number and the time at which it was first sent.
#[derive(Debug, Clone, Copy)]
struct SentSequence {
    sequence: Sequence,
    sent_at: Instant,
}

/// Sequence numbers of the last [`GRANT_LEASE`], ascending; at most one for each [`SEQUENCE_REUSE`]
/// and for each renewal.
#[derive(Debug, Clone)]
pub(super) struct Leases {
    sent: Vec<SentSequence>,
    last_sequence: Sequence,
}

impl Leases {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self {
            sent: Vec::new(),
            last_sequence: incarnation,
        }
    }

    /// Sequence number for a message that is sent now; may be that of an earlier message.
    pub(super) fn current_sequence(&mut self, now: Instant) -> Sequence {
        match self.sent.last() {
            Some(last) if now < last.sent_at + SEQUENCE_REUSE => last.sequence,
            _ => self.next_sequence(now),
        }
    }

    /// New sequence number for a message that is sent now.
    pub(super) fn next_sequence(&mut self, now: Instant) -> Sequence {
        self.sent.retain(|sent| now < sent.sent_at + GRANT_LEASE);
        self.last_sequence += 1;
        self.sent.push(SentSequence {
            sequence: self.last_sequence,
            sent_at: now,
        });
        self.last_sequence
    }

    /// When the number was first sent; `None` if that is longer ago than any lease.
    pub(super) fn sent_at(&self, sequence: Sequence) -> Option<Instant> {
        let found = self
            .sent
            .binary_search_by_key(&sequence, |sent| sent.sequence);
        found.ok().map(|i| self.sent[i].sent_at)
    }
}
