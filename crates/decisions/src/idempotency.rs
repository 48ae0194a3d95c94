//! Idempotency keys with an issuer, a witness and closing.
//!
//! Load pattern: callers that retry a booking anywhere while instances crash, pause or are cut
//! off. Without this module a retry through another instance books twice, or nobody can say
//! whether the first try ran.
//!
//! A key names one process (instance and incarnation) that alone may dispatch it, the *issuer*,
//! and another, the *witness*. [`KeyIssuer`] is the issuer's state: before the first byte of a call
//! goes out it asks the witness once for permission. [`Witness`] answers yes once for each key,
//! or closes it for a receiving instance that can't reach the issuer: a closed key never runs, so
//! "not run" is true; a permitted one may have run, so the answer is "unknown". [`Receiver`] is
//! the life of one call at whatever instance it came in.
//!
//! What this rests on: one process holds the right to dispatch and its memory ends with it; the
//! witness's memory ends with its incarnation, which the key names. No agreement on membership,
//! no wall clock, no shared store. Two clocks are compared by rate only: a witness remembers for
//! [`RECORD_RETENTION`], twice the time in which an issuer may dispatch.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, InstanceId, Sequence, UpstreamId};

pub use answer::{KeyOutcome, NotRun, StoredResponse};
pub use estate::{
    DispatchRights, IssuerSuccessor, KeysHandover, MAX_HANDOVERS, WitnessHandover, WitnessSuccessor,
};
pub use handover::{EndedKeyRecord, EndedKeysHandover, ForwardNotice};
pub use issuer::{CallAttempt, KeyIssuer, KeyPhase, MAX_CALLS_PER_KEY, Permission, UseDecision};
pub use key::{Key, KeyError, Secret, WitnessId};
pub use receiver::{IssuerReply, Receiver, ReceiverStep, StartedReceiver};
pub use witness::{Witness, WitnessMemory, WitnessReply, WitnessRequest};

mod answer;
mod estate;
mod handover;
mod issuer;
mod key;
mod receiver;
mod witness;

/// How long after its issue a key may be dispatched, by the issuer's clock.
///
/// Long enough for a foreman who fills a form and retries over an outage of minutes.
pub const KEY_LIFETIME: Duration = Duration::from_mins(10);

/// How long an issuer, a successor and a witness remember a used key.
///
/// Twice [`KEY_LIFETIME`], so that clocks may differ in rate by a factor of two before a witness could
/// forget a key that its issuer still may dispatch.
pub const RECORD_RETENTION: Duration = Duration::from_mins(20);

/// Most keys that one organisation may have used at one issuer and not yet forgotten; beyond it
/// first uses are refused as "not run". At the target size an instance sees about 2 first uses a
/// second from all organisations together, 2,400 in [`RECORD_RETENTION`].
pub const MAX_RECORDS_PER_ORGANISATION: usize = 2_048;

/// Most records of one issuer, of one successor and of one witness.
pub const MAX_RECORDS: usize = 16_384;

/// Identity of a key: who issued it in which life, and the position in that life's sequence.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyId {
    /// The instance that alone may dispatch it.
    pub issuer: InstanceId,
    /// The issuer's incarnation.
    pub incarnation: Incarnation,
    /// Position in the issuer's sequence, in order of issue.
    pub sequence: Sequence,
}

/// What a witness was told about a permitted key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySuccessor {
    /// The instance that took over what became of the key.
    pub instance: InstanceId,
    /// The upstream that the key was permitted for.
    pub upstream: UpstreamId,
}
