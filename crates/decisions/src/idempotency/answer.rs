//! What became of a call with an idempotency key.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::id::UpstreamId;

/// Largest body that is kept for replay; of a larger answer only the fact remains.
pub const MAX_ANSWER: usize = 64 * 1024;

/// The upstream's answer, as it is replayed to repeated calls.
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

// A dump must not show what callers were told.
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
    if text.len() > MAX_ANSWER * 2 {
        return Err(de::Error::custom("the answer is too large"));
    }
    STANDARD.decode(text).map_err(de::Error::custom)
}

/// Why a call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The caller's deadline had passed before the first byte could go out.
    Late,
    /// The key was not used within its time.
    Expired,
    /// The key was closed, as its issuer could not be reached.
    Closed,
    /// The witness could not be reached, had restarted or had no room.
    NoWitness,
    /// Too many keys are remembered.
    Full,
    /// The key was used for another call before; this one did not run.
    Mismatch,
    /// The issuer left before it came to the call.
    Leaving,
    /// The upstream could not be connected, so not one byte went out.
    NotSent,
}

/// What became of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum KeyOutcome {
    /// It ran once.
    Ran {
        /// The upstream that ran it.
        upstream: UpstreamId,
        /// Its answer; none if it was too large or had to make room.
        answer: Option<StoredResponse>,
    },
    /// It did not run and never will.
    NotRun(NotRun),
    /// It may have run; it will not run again.
    Unknown {
        /// The upstream to ask, if known.
        upstream: Option<UpstreamId>,
    },
}
