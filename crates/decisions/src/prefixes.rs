//! What each replica's prefix cache probably holds.
//!
//! Load pattern: prompts that share long prefixes, cache events that come late and with gaps.
//! Without it every replica prefills the same long prompt again; with the events alone the first
//! seconds of a hot prefix would be spread over all replicas, since the events come after them.
//!
//! The estimate starts from what was granted and is corrected by the events. A gap in their
//! numbers is taken to have been an eviction of everything not stored since: a prefix wrongly
//! thought to be absent costs one look elsewhere, one wrongly thought present costs its prefill.

use crate::id::{PrefixHash, Sequence, Tokens};
use crate::work::Work;

/// Prefixes remembered for one replica; 16 bytes each.
///
/// A cache of 4,096 prefixes holds more than the brief's engines do, at 64 KB for a replica.
pub const MAX_PREFIXES: usize = 4096;

/// What a cache event says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The replica holds the prefix now.
    Stored,
    /// The replica dropped the prefix.
    Evicted,
}

/// One event of a replica's cache feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Position in the feed; a jump means lost events.
    pub seq: Sequence,
    /// What happened.
    pub change: CacheChange,
    /// The prefix.
    pub prefix: PrefixHash,
}

/// One remembered prefix and when it was last used, counted in uses.
#[derive(Debug, Clone, Copy)]
struct Cached {
    prefix: PrefixHash,
    used: u64,
}

/// Bounded estimate of one replica's prefix cache.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    entries: Vec<Cached>,
    capacity: usize,
    uses: u64,
    last_seq: Option<Sequence>,
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self::new()
    }
}

impl PrefixCache {
    /// Makes an empty estimate.
    pub fn new() -> Self {
        Self {
            entries: Vec::new(),
            capacity: MAX_PREFIXES,
            uses: 0,
            last_seq: None,
        }
    }

    /// Sets how many prefixes are remembered, where the replica's cache is known to be smaller.
    pub fn with_capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity.clamp(1, MAX_PREFIXES);
        self
    }

    /// Remembered prefixes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of leading `prefixes` that the replica probably holds.
    pub fn cached(&self, prefixes: &[PrefixHash]) -> usize {
        prefixes
            .iter()
            .take_while(|prefix| self.position(**prefix).is_ok())
            .count()
    }

    /// Work that is left of `work` when the cached part of `prefixes` is not prefilled again.
    ///
    /// The prefixes stand at even distances in the prompt, so the cached part is their share.
    pub fn uncached_work(&self, work: Work, prefixes: &[PrefixHash]) -> Work {
        let cached = self.cached(prefixes) as u64;
        Work::new(
            left_to_prefill(work.prefill, cached, prefixes.len() as u64),
            work.decode,
        )
    }

    /// Notes that a request with these `prefixes` goes to the replica.
    pub fn on_grant(&mut self, prefixes: &[PrefixHash]) {
        for prefix in prefixes {
            self.touch(*prefix);
        }
    }

    /// Notes an event of the feed; an old or repeated one changes nothing.
    pub fn on_event(&mut self, event: CacheEvent) {
        if self.last_seq.is_some_and(|last| event.seq <= last) {
            return;
        }
        if self.last_seq.is_some_and(|last| event.seq > last + 1) {
            self.entries.clear();
        }
        self.last_seq = Some(event.seq);
        match event.change {
            CacheChange::Stored => self.touch(event.prefix),
            CacheChange::Evicted => self.forget(event.prefix),
        }
    }

    fn position(&self, prefix: PrefixHash) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&prefix, |cached| cached.prefix)
    }

    fn touch(&mut self, prefix: PrefixHash) {
        self.uses += 1;
        let used = self.uses;
        match self.position(prefix) {
            Ok(i) => self.entries[i].used = used,
            Err(i) => {
                self.entries.insert(i, Cached { prefix, used });
                self.trim();
            }
        }
    }

    fn forget(&mut self, prefix: PrefixHash) {
        if let Ok(i) = self.position(prefix) {
            self.entries.remove(i);
        }
    }

    /// Drops the eighth used longest ago when full, so that the scan is paid once in many uses.
    fn trim(&mut self) {
        if self.entries.len() <= self.capacity {
            return;
        }
        let mut used: Vec<_> = self.entries.iter().map(|cached| cached.used).collect();
        let (_, oldest_kept, _) = used.select_nth_unstable((self.capacity / 8).max(1));
        let oldest_kept = *oldest_kept;
        self.entries.retain(|cached| cached.used >= oldest_kept);
    }
}

/// Prompt tokens left when `cached` of `all` evenly spaced prefixes need no prefill.
fn left_to_prefill(prefill: Tokens, cached: u64, all: u64) -> Tokens {
    if all == 0 {
        return prefill;
    }
    prefill - prefill.saturating_mul(cached) / all
}
