//! Outcome of a call with an idempotency key.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::id::UpstreamId;

/// Maximum size of a response body kept for replay; of a larger response only the outcome is kept.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The upstream's response, replayed to repeated calls with the same key.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: Option<String>,
    /// Body.
    #[serde(serialize_with = "encode", deserialize_with = "decode")]
    pub body: Vec<u8>,
}

// Omits the body: a state dump must not show response data.
impl fmt::Debug for StoredResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status)
            .field("bytes", &self.body.len())
            .finish_non_exhaustive()
    }
}

fn encode<S>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.serialize_str(&STANDARD.encode(body))
}

fn decode<'de, D>(deserializer: D) -> Result<Vec<u8>, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    if text.len() > MAX_RESPONSE_BYTES * 2 {
        return Err(de::Error::custom("the answer is too large"));
    }
    STANDARD.decode(text).map_err(de::Error::custom)
}

/// Why a call did not run. Log lines and messages show these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The caller's deadline passed before the first byte could be sent.
    Late,
    /// The key was not dispatched within [`KEY_LIFETIME`](super::KEY_LIFETIME) of its issue.
    Expired,
    /// The witness closed the key because its issuer was unreachable.
    Closed,
    /// The witness was unreachable, had restarted or had no room for another record.
    NoWitness,
    /// The limit on records was reached.
    Full,
    /// The key was used for a different call before.
    Mismatch,
    /// The issuer left before it dispatched the call.
    Leaving,
    /// The connection to the upstream failed before any byte was sent.
    NotSent,
}

/// Result of the call with a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum KeyOutcome {
    /// The call ran once.
    Ran {
        /// The upstream that ran it.
        upstream: UpstreamId,
        /// Its response; `None` if it was too large or was dropped to make room.
        answer: Option<StoredResponse>,
    },
    /// The call did not run and never will.
    NotRun(NotRun),
    /// The call may have run; it will not run again.
    Unknown {
        /// The upstream that may have run the call, if known.
        upstream: Option<UpstreamId>,
    },
}
