//! Idempotency keys: a call with a key runs at most once, and its outcome can be looked up.
//!
//! Load pattern: callers that retry a booking through any instance while instances crash, pause or
//! lose their network. Without this module a retry through another instance books twice, or no
//! instance can say whether the first attempt ran.
//!
//! Each key names two processes (an instance and its incarnation): the *issuer*, the only process
//! that may dispatch the call, and a *witness*. [`KeyIssuer`] is the issuer's state machine: before
//! the first byte of a call is sent it asks the witness once for permission. [`Witness`] permits
//! each key at most once. An instance that received a call and can't reach the issuer asks the
//! witness to close the key. A closed key never runs, so the result is "not run"; a key that was
//! permitted may have run, so the result is "unknown". [`Receiver`] is the state machine of one
//! call at the instance that received it.
//!
//! Safety rests on two facts: only one process can dispatch a key and its state is lost with the
//! process, and the key names the incarnation of its witness, whose records are lost with that
//! incarnation. There is no agreement on membership, no wall clock and no shared store. Two clocks
//! are compared by rate only: a witness keeps records for [`RECORD_RETENTION`], twice the time in
//! which an issuer may dispatch.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, InstanceId, Sequence, UpstreamId};

pub use handover::{EndedKeyRecord, EndedKeysHandover, ForwardNotice};
pub use issuer::{CallAttempt, KeyIssuer, KeyPhase, MAX_CALLS_PER_KEY, Permission, UseDecision};
pub use key::{Key, KeyError, Secret, WitnessId};
pub use outcome::{KeyOutcome, NotRun, StoredResponse};
pub use receiver::{IssuerReply, Receiver, ReceiverStep, StartedReceiver};
pub use successor::{
    DispatchRights, IssuerSuccessor, KeysHandover, MAX_HANDOVERS, WitnessHandover, WitnessSuccessor,
};
pub use witness::{Witness, WitnessReply, WitnessRequest, WitnessSnapshot};

mod handover;
mod issuer;
mod key;
mod outcome;
mod receiver;
mod successor;
mod witness;

/// Time after issue, by the issuer's clock, in which a key may be dispatched.
///
/// Long enough for a user who fills in a form and retries during an outage of minutes.
pub const KEY_LIFETIME: Duration = Duration::from_mins(10);

/// Time for which an issuer, a successor and a witness keep the record of a used key.
///
/// Twice [`KEY_LIFETIME`]: clocks may differ in rate by a factor of two before a witness could drop
/// the record of a key that its issuer may still dispatch.
pub const RECORD_RETENTION: Duration = Duration::from_mins(20);

/// Maximum number of records of one organisation at one issuer; with more, calls with unused keys
/// are refused as "not run". At the target size an instance handles about 2 first uses a second
/// from all organisations together, 2,400 in [`RECORD_RETENTION`].
pub const MAX_RECORDS_PER_ORGANISATION: usize = 2_048;

/// Maximum number of records at one issuer, at one successor and at one witness.
pub const MAX_RECORDS: usize = 16_384;

/// Identity of a key: the incarnation that issued it and its position in that incarnation's
/// sequence.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyId {
    /// The instance that issued the key and alone may dispatch it.
    pub issuer: InstanceId,
    /// The issuer's incarnation.
    pub incarnation: Incarnation,
    /// Position in the sequence of the incarnation, ascending in order of issue.
    pub sequence: Sequence,
}

/// Where to look up a permitted key after its issuer handed over its records.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySuccessor {
    /// The instance that holds the record of the key now.
    pub instance: InstanceId,
    /// The upstream for which the key was permitted.
    pub upstream: UpstreamId,
}
