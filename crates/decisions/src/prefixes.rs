//! Estimate of the contents of each replica's prefix cache.
//!
//! Load pattern: prompts that share long prefixes, and cache events that arrive late and with gaps.
//! Without an estimate, every replica would process the same long prompt again. With the events
//! alone, requests in the first seconds of a popular prefix would spread over all replicas, as its
//! events arrive later.
//!
//! The estimate assumes that granted requests fill the cache and corrects this from the events. A
//! gap in their sequence numbers counts as an eviction of everything stored before: a prefix
//! wrongly presumed absent costs a choice of another replica, one wrongly presumed present costs
//! its prefill.

use crate::id::{PrefixHash, Sequence, Tokens};
use crate::work::Work;

/// Prefixes remembered per replica, at 16 bytes each.
///
/// 4,096 prefixes, which is 64 KB per replica, are more than the cache of the engines in use can
/// hold.
pub const MAX_PREFIXES: usize = 4096;

/// Kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// The replica stored the prefix.
    Stored,
    /// The replica evicted the prefix.
    Evicted,
}

/// Event from a replica's cache feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// Position in the feed; a jump means that events were lost.
    pub seq: Sequence,
    /// Kind of the event.
    pub change: CacheChange,
    /// Hash of the prefix that was stored or evicted.
    pub prefix: PrefixHash,
}

/// A remembered prefix and the use count at its last use.
#[derive(Debug, Clone, Copy)]
struct Entry {
    prefix: PrefixHash,
    last_used: u64,
}

/// Bounded estimate of the prefixes in one replica's cache.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    entries: Vec<Entry>,
    capacity: usize,
    use_count: u64,
    last_seq: Option<Sequence>,
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self::new()
    }
}

impl PrefixCache {
    /// Creates an empty estimate.
    pub fn new() -> Self {
        Self {
            entries: Vec::new(),
            capacity: MAX_PREFIXES,
            use_count: 0,
            last_seq: None,
        }
    }

    /// Sets the number of prefixes to remember, for a replica whose cache is known to be smaller.
    pub fn with_capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity.clamp(1, MAX_PREFIXES);
        self
    }

    /// Number of remembered prefixes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of leading `prefixes` that are probably in the cache.
    pub fn cached(&self, prefixes: &[PrefixHash]) -> usize {
        prefixes
            .iter()
            .take_while(|prefix| self.position(**prefix).is_ok())
            .count()
    }

    /// Returns `work` without the prefill of the part of the prompt that is probably cached.
    ///
    /// The prefixes end at regular distances in the prompt, so their cached share is that of the
    /// prompt.
    pub fn uncached_work(&self, work: Work, prefixes: &[PrefixHash]) -> Work {
        let cached_prefixes = self.cached(prefixes) as u64;
        Work::new(
            uncached_tokens(work.prefill, cached_prefixes, prefixes.len() as u64),
            work.decode,
        )
    }

    /// Records that a request with these `prefixes` was granted a slot at the replica.
    pub fn on_grant(&mut self, prefixes: &[PrefixHash]) {
        for prefix in prefixes {
            self.mark_used(*prefix);
        }
    }

    /// Records an event of the feed; old and repeated events are ignored.
    pub fn on_event(&mut self, event: CacheEvent) {
        if self.last_seq.is_some_and(|last| event.seq <= last) {
            return;
        }
        if self.last_seq.is_some_and(|last| event.seq > last + 1) {
            self.entries.clear();
        }
        self.last_seq = Some(event.seq);
        match event.change {
            CacheChange::Stored => self.mark_used(event.prefix),
            CacheChange::Evicted => self.remove(event.prefix),
        }
    }

    fn position(&self, prefix: PrefixHash) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&prefix, |entry| entry.prefix)
    }

    fn mark_used(&mut self, prefix: PrefixHash) {
        self.use_count += 1;
        let last_used = self.use_count;
        match self.position(prefix) {
            Ok(i) => self.entries[i].last_used = last_used,
            Err(i) => {
                self.entries.insert(i, Entry { prefix, last_used });
                self.evict_least_recently_used();
            }
        }
    }

    fn remove(&mut self, prefix: PrefixHash) {
        if let Ok(i) = self.position(prefix) {
            self.entries.remove(i);
        }
    }

    /// When full, evicts the least recently used eighth at once, so that the scan is rarely needed.
    fn evict_least_recently_used(&mut self) {
        if self.entries.len() <= self.capacity {
            return;
        }
        let mut last_uses: Vec<_> = self.entries.iter().map(|entry| entry.last_used).collect();
        let (_, oldest_use_kept, _) = last_uses.select_nth_unstable((self.capacity / 8).max(1));
        let oldest_use_kept = *oldest_use_kept;
        self.entries
            .retain(|entry| entry.last_used >= oldest_use_kept);
    }
}

/// Prompt tokens left to process when `cached_prefixes` of `all_prefixes` at regular distances are
/// cached.
fn uncached_tokens(prompt_tokens: Tokens, cached_prefixes: u64, all_prefixes: u64) -> Tokens {
    if all_prefixes == 0 {
        return prompt_tokens;
    }
    prompt_tokens - prompt_tokens.saturating_mul(cached_prefixes) / all_prefixes
}
