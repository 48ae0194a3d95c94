//! The prefix cache of a fake engine: whole blocks, the least recently used evicted first.

use std::cmp::Reverse;

use crate::prompt::BLOCK_WORDS;

/// One block, named by the hash of the prefix that it ends.
#[derive(Debug, Clone, Copy)]
struct Block {
    prefix: u64,
    last_used: u64,
    depth: usize,
}

/// What the cache did to make room and to store a prompt.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct CacheChange {
    /// Prefixes stored, the shortest first.
    pub(crate) stored: Vec<u64>,
    /// Prefixes evicted.
    pub(crate) evicted: Vec<u64>,
}

/// Blocks sorted by prefix.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    blocks: Vec<Block>,
    capacity: usize,
    clock: u64,
}

impl PrefixCache {
    /// A cache of `kv_total` tokens.
    pub(crate) fn new(kv_total: u64) -> Self {
        Self {
            blocks: Vec::new(),
            capacity: kv_total as usize / BLOCK_WORDS,
            clock: 0,
        }
    }

    /// Tokens held.
    pub(crate) fn tokens(&self) -> u64 {
        (self.blocks.len() * BLOCK_WORDS) as u64
    }

    /// Tokens of the longest cached prefix of a prompt with these prefixes.
    pub(crate) fn cached_tokens(&self, prefixes: &[u64]) -> u64 {
        let blocks = prefixes
            .iter()
            .take_while(|prefix| self.position(**prefix).is_ok())
            .count();
        (blocks * BLOCK_WORDS) as u64
    }

    /// Stores a processed prompt, or marks it used.
    pub(crate) fn store(&mut self, prefixes: &[u64]) -> CacheChange {
        self.clock += 1;
        let mut change = CacheChange::default();
        for (depth, &prefix) in prefixes.iter().take(self.capacity).enumerate() {
            match self.position(prefix) {
                Ok(at) => self.blocks[at].last_used = self.clock,
                Err(at) => {
                    let block = Block {
                        prefix,
                        last_used: self.clock,
                        depth,
                    };
                    self.blocks.insert(at, block);
                    change.stored.push(prefix);
                }
            }
        }
        while self.blocks.len() > self.capacity {
            change.evicted.push(self.evict());
        }
        change
    }

    /// Takes out the least recently used block, the deepest of its prompt first: a block whose
    /// shorter prefix is gone can't be found any more.
    fn evict(&mut self) -> u64 {
        let oldest = self
            .blocks
            .iter()
            .enumerate()
            .min_by_key(|(_, block)| (block.last_used, Reverse(block.depth)))
            .map_or(0, |(at, _)| at);
        self.blocks.remove(oldest).prefix
    }

    fn position(&self, prefix: u64) -> Result<usize, usize> {
        self.blocks
            .binary_search_by_key(&prefix, |block| block.prefix)
    }
}
