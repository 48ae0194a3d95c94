//! The life of one call with a key at the instance where it came in.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, InstanceId, UpstreamId};

use super::{Key, KeyOutcome, KeySuccessor, NotRun, WitnessReply, WitnessRequest};

/// Answer of a key's issuer to a call that was passed on to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum IssuerReply {
    /// What became of the key.
    Outcome(KeyOutcome),
    /// This call did not run for want of capacity or by a limit; the key may be used again.
    Refused,
    /// The records were handed over.
    Moved {
        /// The instance that knows.
        successor: InstanceId,
    },
    /// Another life of the instance issued the key, or the record was never here.
    NotHere,
}

/// What the receiving instance has to do next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReceiverStep {
    /// Pass the call on to the key's issuer.
    Forward {
        /// The issuer.
        to: InstanceId,
    },
    /// Ask the successor of a leaver what became of the key; never for a dispatch.
    LookUp {
        /// The successor.
        to: InstanceId,
    },
    /// Ask the witness to close the key.
    Close {
        /// The witness.
        to: InstanceId,
        /// The message.
        message: WitnessRequest,
    },
    /// Answer the caller.
    Answer(KeyOutcome),
    /// Refuse the caller; it did not run, and the key may be used again.
    Refuse,
}

/// Whom the call waits for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Issuer,
    /// A successor that the issuer named; if it does not know, the witness decides.
    Successor,
    Witness,
    /// A successor that the witness named; if it does not know, nobody does.
    Forwarded {
        upstream: UpstreamId,
    },
    Answered,
}

/// One call with a key, at the instance where it came in.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Receiver {
    key: Key,
    stage: Stage,
}

impl Receiver {
    /// Begins with a call whose key was checked. `issuer` is the latest incarnation of the
    /// issuer that is known here; a later one than the key's means that the issuer's life ended.
    pub fn start(key: Key, issuer: Option<Incarnation>) -> StartedReceiver {
        let mut receiver = Self {
            key,
            stage: Stage::Issuer,
        };
        let step = if issuer.is_some_and(|known| known > receiver.key.incarnation) {
            receiver.close()
        } else {
            ReceiverStep::Forward {
                to: Arc::clone(&receiver.key.issuer),
            }
        };
        StartedReceiver { receiver, step }
    }

    /// Takes the answer of the issuer or of a successor.
    pub fn on_issuer_reply(&mut self, answer: IssuerReply) -> Option<ReceiverStep> {
        match (&self.stage, answer) {
            (
                Stage::Issuer | Stage::Successor | Stage::Forwarded { .. },
                IssuerReply::Outcome(o),
            ) => Some(self.answer(o)),
            (Stage::Issuer, IssuerReply::Refused) => {
                self.stage = Stage::Answered;
                Some(ReceiverStep::Refuse)
            }
            (Stage::Issuer, IssuerReply::Moved { successor }) => {
                self.stage = Stage::Successor;
                Some(ReceiverStep::LookUp { to: successor })
            }
            (Stage::Witness | Stage::Answered, _) => None,
            _ => Some(self.lost()),
        }
    }

    /// Takes the answer of the witness.
    pub fn on_witness_reply(&mut self, answer: WitnessReply) -> Option<ReceiverStep> {
        if self.stage != Stage::Witness {
            return None;
        }
        Some(match answer {
            WitnessReply::Closed => self.answer(KeyOutcome::NotRun(NotRun::Closed)),
            WitnessReply::MayHaveRun { upstream } => self.answer(KeyOutcome::Unknown {
                upstream: Some(upstream),
            }),
            WitnessReply::Forwarded(KeySuccessor { instance, upstream }) => {
                self.stage = Stage::Forwarded { upstream };
                ReceiverStep::LookUp { to: instance }
            }
            WitnessReply::Permitted
            | WitnessReply::Repeated
            | WitnessReply::Lost
            | WitnessReply::Noted => self.answer(KeyOutcome::Unknown { upstream: None }),
        })
    }

    /// Whoever the call waits for can't be reached or has not answered in time.
    pub fn on_unreachable(&mut self) -> Option<ReceiverStep> {
        (self.stage != Stage::Answered).then(|| self.lost())
    }

    fn lost(&mut self) -> ReceiverStep {
        match &self.stage {
            Stage::Issuer | Stage::Successor => self.close(),
            Stage::Forwarded { upstream } => {
                let upstream = Some(Arc::clone(upstream));
                self.answer(KeyOutcome::Unknown { upstream })
            }
            Stage::Witness | Stage::Answered => self.answer(KeyOutcome::Unknown { upstream: None }),
        }
    }

    fn close(&mut self) -> ReceiverStep {
        let Some(witness) = &self.key.witness else {
            return self.answer(KeyOutcome::Unknown { upstream: None });
        };
        self.stage = Stage::Witness;
        ReceiverStep::Close {
            to: Arc::clone(&witness.instance),
            message: WitnessRequest::Close {
                key: self.key.id(),
                witness: witness.incarnation,
            },
        }
    }

    fn answer(&mut self, outcome: KeyOutcome) -> ReceiverStep {
        self.stage = Stage::Answered;
        ReceiverStep::Answer(outcome)
    }
}

/// A call and its first step.
#[derive(Debug)]
pub struct StartedReceiver {
    /// The call.
    pub receiver: Receiver,
    /// What to do first.
    pub step: ReceiverStep,
}
