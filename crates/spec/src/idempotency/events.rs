//! What may happen in the world of one key, and how much of it.

use kingcupfield_decisions::idempotency::{IssuerReply, WitnessReply};

/// How much may happen in one world. All of it at once is beyond reach, so several worlds are
/// explored, each rich in one respect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Calls that the caller sends, up to three.
    pub calls: usize,
    /// Crashes, restarts of the witness, hand-overs and repeated messages, together.
    pub faults: usize,
}

/// A safeguard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Variant {
    /// Everything as designed.
    Whole,
    /// A receiving instance that can't reach the issuer says "not run" without asking.
    NoWitness,
    /// A restarted witness does not check which life the key names.
    NoIncarnation,
    /// The witness forgets without a trace what it permitted.
    NoMemory,
    /// A paused issuer does not look at the clock before the first byte.
    NoDeadline,
    /// The key's owner is whoever a receiving instance thinks lives, as with keys that callers
    /// choose and that are hashed to an owner.
    HashedOwner,
}

/// A message under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Packet {
    /// A call to the issuer.
    Call {
        /// Its number.
        call: usize,
    },
    /// The issuer's answer to a call.
    Answer {
        /// The call's number.
        call: usize,
        /// What the issuer says.
        answer: IssuerReply,
    },
    /// The issuer's question to the witness.
    Permit,
    /// The witness's answer to the issuer.
    Permission {
        /// What the witness says.
        answer: WitnessReply,
    },
    /// A receiving instance's wish to close the key.
    Close {
        /// Number of the call that waits for it.
        call: usize,
    },
    /// The witness's answer to a receiving instance.
    Closing {
        /// The call's number.
        call: usize,
        /// What the witness says.
        answer: WitnessReply,
    },
    /// The leaver's records.
    HandOver,
    /// The leaver's word to the witness.
    Forward,
}

/// What the caller knows of one of its calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Told {
    /// Not sent.
    Nothing,
    /// Sent.
    Waits,
    /// The connection broke.
    Broken,
    /// It was refused as not run, by a word about this call alone.
    Refused,
    /// It was told that the key never runs.
    NeverRuns,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// What may happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The caller sends the call (again).
    Send(usize),
    /// A message arrives.
    Deliver(Packet),
    /// A message arrives and will arrive again.
    Repeat(Packet),
    /// A receiving instance waits no longer.
    WaitEnds(usize),
    /// The issuer has a slot and asks the witness.
    Ask,
    /// The issuer waits no longer for the witness.
    WitnessWaitEnds,
    /// The issuer sheds the call before it asked.
    Shed,
    /// The first byte goes out.
    Dispatch,
    /// The upstream has answered.
    Finish,
    /// The stream broke for good.
    Break,
    /// The issuer's process dies.
    Crash,
    /// It comes back as a new life.
    Restart,
    /// The witness restarts as a new life.
    RestartWitness,
    /// The issuer leaves gracefully.
    Leave,
    /// Time passes.
    Pass,
}
