//! Events in the model of one key, and their bounds.

use kingcupfield_decisions::idempotency::{IssuerReply, WitnessReply};

/// Maximum number of events in one exploration. All combined exceed what can be explored, so
/// several explorations each allow many of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Number of calls that the caller sends, up to three.
    pub calls: usize,
    /// Number of crashes, restarts of the witness, handovers and duplicate messages, together.
    pub faults: usize,
}

/// The protocol, or the protocol without one of its safeguards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Variant {
    /// The protocol as designed.
    Unmodified,
    /// An instance that can't reach the issuer answers "not run" without asking the witness.
    NoWitness,
    /// A restarted witness doesn't check which incarnation the key names.
    NoIncarnation,
    /// The witness drops records of permitted keys without remembering that it did.
    NoDropTracking,
    /// A paused issuer doesn't check the deadline before the first byte.
    NoDeadline,
    /// Each instance acts as owner of the key if it believes the others dead, as with keys that
    /// callers choose and that are hashed to an owner.
    HashedOwner,
}

/// A message in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Packet {
    /// A call, sent to the issuer.
    Call {
        /// Index of the call.
        call: usize,
    },
    /// The issuer's reply to a call.
    Reply {
        /// Index of the call.
        call: usize,
        /// The reply.
        reply: IssuerReply,
    },
    /// The issuer's request for permission, sent to the witness.
    PermitRequest,
    /// The witness's reply to the issuer.
    PermitReply {
        /// The reply.
        reply: WitnessReply,
    },
    /// A receiving instance's request to close the key, sent to the witness.
    CloseRequest {
        /// Index of the call that waits for the reply.
        call: usize,
    },
    /// The witness's reply to a receiving instance.
    CloseReply {
        /// Index of the call.
        call: usize,
        /// The reply.
        reply: WitnessReply,
    },
    /// Records of ended keys from the leaving issuer.
    EndedKeys,
    /// The leaving issuer's notice to the witness.
    ForwardNotice,
}

/// What the caller knows of one of its calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum CallResult {
    /// The call was not sent.
    NotSent,
    /// The call was sent and has no answer.
    Pending,
    /// The connection broke.
    ConnectionBroken,
    /// The call was refused as "not run"; the key may still run.
    Refused,
    /// The answer was that the key never runs.
    NeverRuns,
    /// The answer was that the call ran.
    Ran,
    /// The answer was that the call may have run.
    Unknown,
}

/// An event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The caller sends the call.
    SendCall(usize),
    /// A message arrives.
    Deliver(Packet),
    /// A message arrives and stays in flight.
    Duplicate(Packet),
    /// A receiving instance stops waiting for a reply.
    ReceiverTimeout(usize),
    /// The issuer has a slot for the call and asks the witness.
    RequestPermission,
    /// The issuer stops waiting for the witness.
    WitnessTimeout,
    /// The issuer sheds the call before it asks the witness.
    Shed,
    /// The issuer sends the first byte to the upstream.
    Dispatch,
    /// The upstream's response is complete.
    Finish,
    /// The connection to the upstream breaks and the result is unknown.
    BreakConnection,
    /// The issuer's process crashes.
    Crash,
    /// The issuer restarts as a new incarnation.
    Restart,
    /// The witness restarts as a new incarnation.
    RestartWitness,
    /// The issuer leaves gracefully.
    Leave,
    /// Time advances to the next of the model's times.
    AdvanceTime,
}
