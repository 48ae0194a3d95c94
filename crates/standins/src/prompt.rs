//! Prompts, the hashes of their prefixes and the answer that belongs to each.
//!
//! A token is a word between white space. The answer is derived from the prompt alone, so that a
//! caller can tell the answer to its own prompt from any other.

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Words of a prompt in one block of the prefix cache.
pub const BLOCK_WORDS: usize = 16;
/// Length limit of an answer whose request names none, in tokens.
pub const DEFAULT_MAX_TOKENS: u64 = 16;
/// Seed of the hash that picks the length of an answer.
const LENGTH_SEED: u64 = u64::MAX;

/// Number of tokens of a text.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// Hash of each prefix that ends at a whole block, the shortest first; each covers all words
/// before it.
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let mut hash = Xxh3::new();
    let mut hashes = Vec::new();
    for (i, word) in text.split_whitespace().enumerate() {
        hash.update(word.as_bytes());
        hash.update(b" ");
        if (i + 1) % BLOCK_WORDS == 0 {
            hashes.push(hash.digest());
        }
    }
    hashes
}

/// A prefix hash as cache events spell it.
pub fn prefix_name(hash: u64) -> String {
    format!("{hash:016x}")
}

/// The answer that an engine gives to a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    prompt: u64,
    tokens: u64,
}

impl Answer {
    /// The answer to `prompt` under the caller's `max_tokens`: between half of it and all of it.
    pub fn new(prompt: &str, max_tokens: Option<u64>) -> Self {
        let most = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
        let least = most.div_ceil(2);
        let spread = xxh3_64_with_seed(prompt.as_bytes(), LENGTH_SEED) % (most - least + 1);
        Self {
            prompt: xxh3_64_with_seed(prompt.as_bytes(), 0),
            tokens: least + spread,
        }
    }

    /// Length in tokens, at least one.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The token at `position`, with the space that ends it.
    pub fn token(&self, position: u64) -> String {
        let token = xxh3_64_with_seed(&position.to_le_bytes(), self.prompt);
        format!("{:08x} ", token as u32)
    }

    /// The whole text.
    pub fn text(&self) -> String {
        (0..self.tokens)
            .map(|position| self.token(position))
            .collect()
    }
}

/// The whole text that an engine answers to `prompt`.
pub fn expected_text(prompt: &str, max_tokens: Option<u64>) -> String {
    Answer::new(prompt, max_tokens).text()
}
