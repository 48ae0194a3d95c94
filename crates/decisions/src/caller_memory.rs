//! Memory that a process holds for its callers, and who is refused when it runs short.
//!
//! Load pattern: clients that send many large requests at once, or begin them and never send their end.
//! Without a common limit each of them is legal and all together are more than the machine has. Here, every
//! request counts with the bytes that are held for it. When they reach the limit, requests of lower tiers
//! and those that arrive slowest give way; if there are none, the request that needs more is refused. A part
//! of the memory is kept for small requests, so that large ones can't shut them out.

use std::time::Duration;

use tokio::time::Instant;

use crate::id::Rank;

/// Number of an entry; entries are opened in ascending order.
pub type EntryId = u64;

/// Time after which a request that has not arrived completely may give way to another one of its tier.
pub const GRACE: Duration = Duration::from_secs(1);

/// Largest request in bytes that may use the memory kept for small ones.
pub const SMALL_BYTES: usize = 64 * 1024;

/// Fraction of the memory that is kept for small requests.
pub const SMALL_FRACTION: f64 = 0.125;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It has not arrived completely.
    Arriving,
    /// It has arrived and was sent nowhere.
    Waiting,
    /// It may run, so it doesn't give way.
    Sent,
}

/// Bytes that are held for one request.
#[derive(Debug)]
struct Entry {
    id: EntryId,
    rank: Rank,
    state: State,
    bytes: usize,
    opened_at: Instant,
}

impl Entry {
    /// Bytes per second at which the request arrives.
    fn speed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.opened_at);
        self.bytes as f64 / age.as_secs_f64().max(GRACE.as_secs_f64())
    }

    /// Whether the entry gives way to a request of a rank.
    fn yields_to(&self, now: Instant, rank: Rank) -> bool {
        let is_slow = now.saturating_duration_since(self.opened_at) >= GRACE;
        match self.state {
            State::Arriving => self.rank > rank || (self.rank == rank && is_slow),
            State::Waiting => self.rank > rank,
            State::Sent => false,
        }
    }
}

/// The memory is used up, and nothing gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{held} of {limit} bytes are held for other requests")]
pub struct OutOfMemory {
    /// Bytes that are held.
    pub held: usize,
    /// Bytes that may be held for this request and the others.
    pub limit: usize,
}

/// Bytes held for callers, by request.
#[derive(Debug)]
pub struct CallerMemory {
    limit: usize,
    held: usize,
    next_id: EntryId,
    /// Sorted by id.
    entries: Vec<Entry>,
}

impl CallerMemory {
    /// Creates an account in which at most `limit` bytes are held.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            next_id: 0,
            entries: Vec::new(),
        }
    }

    /// Most bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Size in bytes of the largest request for which there is memory while nothing else is held.
    pub fn max_request_bytes(&self) -> usize {
        self.limit_for(usize::MAX)
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Opens the entry of a request that begins to arrive.
    pub fn open(&mut self, now: Instant, rank: Rank) -> EntryId {
        let id = self.next_id;
        self.next_id += 1;
        self.entries.push(Entry {
            id,
            rank,
            state: State::Arriving,
            bytes: 0,
            opened_at: now,
        });
        id
    }

    /// Counts `bytes` more for an entry. Returns the entries that give way; their requests are to be refused
    /// and their entries closed. They no longer count.
    ///
    /// Fails without a change if the memory is used up and too little of it would give way.
    pub fn grow(
        &mut self,
        now: Instant,
        id: EntryId,
        bytes: usize,
    ) -> Result<Vec<EntryId>, OutOfMemory> {
        let Some(at) = self.position(id) else {
            return Err(OutOfMemory {
                held: self.held,
                limit: self.limit,
            });
        };
        let (rank, size) = (self.entries[at].rank, self.entries[at].bytes + bytes);
        let limit = self.limit_for(size);
        let excess = (self.held + bytes).saturating_sub(limit);
        let yielding = self
            .choose_yielding(now, id, rank, excess)
            .ok_or(OutOfMemory {
                held: self.held,
                limit,
            })?;
        for other in &yielding {
            self.close(*other);
        }
        self.force(id, bytes);
        Ok(yielding)
    }

    /// Counts `bytes` more for an entry, also beyond the limit: what is held has no other place.
    pub fn force(&mut self, id: EntryId, bytes: usize) {
        if let Some(at) = self.position(id) {
            self.entries[at].bytes += bytes;
            self.held += bytes;
        }
    }

    /// Counts `bytes` fewer for an entry.
    pub fn shrink(&mut self, id: EntryId, bytes: usize) {
        if let Some(at) = self.position(id) {
            let entry = &mut self.entries[at];
            let freed = bytes.min(entry.bytes);
            entry.bytes -= freed;
            self.held -= freed;
        }
    }

    /// Counts no more than `bytes` for an entry.
    pub fn shrink_to(&mut self, id: EntryId, bytes: usize) {
        if let Some(at) = self.position(id) {
            let unused = self.entries[at].bytes.saturating_sub(bytes);
            self.shrink(id, unused);
        }
    }

    /// Notes that a request has arrived completely.
    pub fn on_complete(&mut self, id: EntryId) {
        if let Some(at) = self.position(id) {
            self.entries[at].state = State::Waiting;
        }
    }

    /// Notes that a request is about to be sent to a replica. Returns false if it has given way before.
    pub fn on_send(&mut self, id: EntryId) -> bool {
        let Some(at) = self.position(id) else {
            return false;
        };
        self.entries[at].state = State::Sent;
        true
    }

    /// Closes an entry, whose bytes are no longer held.
    pub fn close(&mut self, id: EntryId) {
        if let Some(at) = self.position(id) {
            let entry = self.entries.remove(at);
            self.held -= entry.bytes;
        }
    }

    /// Most bytes that may be held once a request of this size is among them.
    fn limit_for(&self, size: usize) -> usize {
        if size <= SMALL_BYTES {
            return self.limit;
        }
        self.limit - (self.limit as f64 * SMALL_FRACTION) as usize
    }

    /// Chooses entries that give way to a request so that `excess` bytes become free: those of the lowest
    /// tier first, and the slowest of a tier. `None` if there are too few.
    fn choose_yielding(
        &self,
        now: Instant,
        id: EntryId,
        rank: Rank,
        excess: usize,
    ) -> Option<Vec<EntryId>> {
        if excess == 0 {
            return Some(Vec::new());
        }
        let others = self.entries.iter().filter(|e| e.id != id && e.bytes > 0);
        let mut candidates: Vec<&Entry> = others.filter(|e| e.yields_to(now, rank)).collect();
        candidates.sort_by(|a, b| {
            let by_rank = b.rank.cmp(&a.rank);
            by_rank.then_with(|| a.speed(now).total_cmp(&b.speed(now)))
        });
        let mut freed = 0;
        let mut chosen = Vec::new();
        for entry in candidates {
            if freed >= excess {
                break;
            }
            freed += entry.bytes;
            chosen.push(entry.id);
        }
        (freed >= excess).then_some(chosen)
    }

    fn position(&self, id: EntryId) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |e| e.id).ok()
    }
}
