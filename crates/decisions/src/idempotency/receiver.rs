//! State machine of one call with a key at the instance that received it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, InstanceId, UpstreamId};

use super::{Key, KeyOutcome, KeySuccessor, NotRun, WitnessReply, WitnessRequest};

/// Reply of a key's issuer to a call that was forwarded to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum IssuerReply {
    /// The outcome of the call.
    Outcome(KeyOutcome),
    /// The call did not run, as it was shed or exceeded a limit; the key may be used again.
    Refused,
    /// The records were handed over to another instance.
    Moved {
        /// The instance that holds the records now.
        successor: InstanceId,
    },
    /// Another incarnation issued the key, or this instance has no record of it.
    NotHere,
}

/// Next action of the instance that received the call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReceiverStep {
    /// Forward the call to the key's issuer.
    Forward {
        /// The issuer.
        to: InstanceId,
    },
    /// Look up the outcome of the key at the successor of its issuer; this never dispatches the
    /// call.
    LookUp {
        /// The successor.
        to: InstanceId,
    },
    /// Ask the witness to close the key.
    Close {
        /// The instance that runs the witness.
        to: InstanceId,
        /// A [`WitnessRequest::Close`].
        message: WitnessRequest,
    },
    /// Send the outcome to the caller.
    Answer(KeyOutcome),
    /// Refuse the call; it did not run, and the key may be used again.
    Refuse,
}

/// Which reply the call waits for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum ReceiverState {
    /// That of the issuer.
    Issuer,
    /// A successor that the issuer named; if it has no record, the witness decides.
    Successor,
    /// That of the witness, which was asked to close the key.
    Witness,
    /// A successor that the witness named; if it has no record, the outcome is unknown.
    Forwarded { upstream: UpstreamId },
    /// None; the caller was answered.
    Answered,
}

/// One call with a key at the instance that received it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Receiver {
    key: Key,
    state: ReceiverState,
}

impl Receiver {
    /// Starts the call; its key was verified.
    ///
    /// `latest_incarnation` is the latest incarnation of the issuer that this instance has seen. If
    /// it is later than the key's, the issuer has restarted and the witness is asked at once.
    pub fn start(key: Key, latest_incarnation: Option<Incarnation>) -> StartedReceiver {
        let mut receiver = Self {
            key,
            state: ReceiverState::Issuer,
        };
        let step = if latest_incarnation.is_some_and(|latest| latest > receiver.key.incarnation) {
            receiver.close_at_witness()
        } else {
            ReceiverStep::Forward {
                to: Arc::clone(&receiver.key.issuer),
            }
        };
        StartedReceiver { receiver, step }
    }

    /// Handles the reply of the issuer or of a successor.
    pub fn on_issuer_reply(&mut self, reply: IssuerReply) -> Option<ReceiverStep> {
        match (&self.state, reply) {
            (
                ReceiverState::Issuer | ReceiverState::Successor | ReceiverState::Forwarded { .. },
                IssuerReply::Outcome(outcome),
            ) => Some(self.end_with(outcome)),
            (ReceiverState::Issuer, IssuerReply::Refused) => {
                self.state = ReceiverState::Answered;
                Some(ReceiverStep::Refuse)
            }
            (ReceiverState::Issuer, IssuerReply::Moved { successor }) => {
                self.state = ReceiverState::Successor;
                Some(ReceiverStep::LookUp { to: successor })
            }
            (ReceiverState::Witness | ReceiverState::Answered, _) => None,
            _ => Some(self.on_no_reply()),
        }
    }

    /// Handles the reply of the witness.
    pub fn on_witness_reply(&mut self, reply: WitnessReply) -> Option<ReceiverStep> {
        if self.state != ReceiverState::Witness {
            return None;
        }
        Some(match reply {
            WitnessReply::Closed => self.end_with(KeyOutcome::NotRun(NotRun::Closed)),
            WitnessReply::MayHaveRun { upstream } => self.end_with(KeyOutcome::Unknown {
                upstream: Some(upstream),
            }),
            WitnessReply::Forwarded(KeySuccessor { instance, upstream }) => {
                self.state = ReceiverState::Forwarded { upstream };
                ReceiverStep::LookUp { to: instance }
            }
            WitnessReply::Permitted
            | WitnessReply::Repeated
            | WitnessReply::Lost
            | WitnessReply::Noted => self.end_with(KeyOutcome::Unknown { upstream: None }),
        })
    }

    /// The instance whose reply the call waits for is unreachable or did not reply in time.
    pub fn on_unreachable(&mut self) -> Option<ReceiverStep> {
        (self.state != ReceiverState::Answered).then(|| self.on_no_reply())
    }

    fn on_no_reply(&mut self) -> ReceiverStep {
        match &self.state {
            ReceiverState::Issuer | ReceiverState::Successor => self.close_at_witness(),
            ReceiverState::Forwarded { upstream } => {
                let upstream = Some(Arc::clone(upstream));
                self.end_with(KeyOutcome::Unknown { upstream })
            }
            ReceiverState::Witness | ReceiverState::Answered => {
                self.end_with(KeyOutcome::Unknown { upstream: None })
            }
        }
    }

    fn close_at_witness(&mut self) -> ReceiverStep {
        let Some(witness) = &self.key.witness else {
            return self.end_with(KeyOutcome::Unknown { upstream: None });
        };
        self.state = ReceiverState::Witness;
        ReceiverStep::Close {
            to: Arc::clone(&witness.instance),
            message: WitnessRequest::Close {
                key: self.key.id(),
                witness: witness.incarnation,
            },
        }
    }

    fn end_with(&mut self, outcome: KeyOutcome) -> ReceiverStep {
        self.state = ReceiverState::Answered;
        ReceiverStep::Answer(outcome)
    }
}

/// A started call and its first step.
#[derive(Debug)]
pub struct StartedReceiver {
    /// The call.
    pub receiver: Receiver,
    /// The first step.
    pub step: ReceiverStep,
}
