//! Expected work of a request, the basis for charging it and for estimating waits.

use serde::{Deserialize, Serialize};

use crate::id::Tokens;

/// Expected work of one request, in tokens. A plain request counts as a few decode tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens that are not cached yet.
    pub prefill: Tokens,
    /// Tokens expected in the response.
    pub decode: Tokens,
}

/// Cost of a decoded token in units of a prefilled token.
///
/// Prefill processes a whole prompt in a few steps, decode takes one step per token. The engines of
/// both firms prefill about eight times as many tokens per second as they decode for one stream.
pub const DECODE_TOKEN_COST: u64 = 8;

impl Work {
    /// Creates the work of a request with `prefill` uncached prompt tokens and `decode` expected
    /// tokens.
    pub fn new(prefill: Tokens, decode: Tokens) -> Self {
        Self { prefill, decode }
    }

    /// Cost in units of a prefilled token, the common measure for fairness and waits.
    pub fn cost(self) -> u64 {
        self.prefill
            .saturating_add(self.decode.saturating_mul(DECODE_TOKEN_COST))
    }
}
