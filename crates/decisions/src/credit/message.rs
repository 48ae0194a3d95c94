//! Messages between instances about credit.

use serde::{Deserialize, Serialize};

use crate::id::NameHash;

/// Number of a request or collection, unique per sender and across its restarts.
pub type MessageNumber = u64;

/// A message about credit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a coordinator: asks for credit for a request.
    Ask {
        /// Number of the request at the sender.
        number: MessageNumber,
        /// Organisation whose limit the request counts towards.
        organisation: NameHash,
        /// Cost in units of the limit.
        cost: f64,
        /// Priority class, lower first.
        class: u32,
        /// Milliseconds for which the request may still wait.
        patience_ms: u32,
        /// Number of messages sent for this request, including this one.
        tries: u32,
    },
    /// From a coordinator: the request is queued there; a verdict follows.
    Held {
        /// Number of the request.
        number: MessageNumber,
    },
    /// From a coordinator: the decision on a request.
    Verdict {
        /// Number of the request.
        number: MessageNumber,
        /// `tries` of the last message that the coordinator had received for the request.
        tries: u32,
        /// The decision.
        verdict: Verdict,
    },
    /// From a coordinator: asks for the receiver's spare credit of an organisation.
    Collect {
        /// Number of the collection at the sender.
        number: MessageNumber,
        /// Organisation whose credit is collected.
        organisation: NameHash,
    },
    /// To a coordinator: credit that the sender has given away.
    Credit(Credit),
}

/// Credit that an instance gives to a coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Credit {
    /// Number of the answered collection.
    pub number: MessageNumber,
    /// Organisation whose credit this is.
    pub organisation: NameHash,
    /// Microseconds of the sender's running time that had not been given away before.
    pub time_us: u64,
    /// Largest size of the sender's zone that it observed during that time.
    pub size: u32,
    /// Batches that the sender held: milliseconds until expiry, and units.
    pub lots: Vec<(u32, f64)>,
}

/// A coordinator's decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may run if it starts within [`super::GRANT_VALIDITY`] after the answered message.
    Granted {
        /// Milliseconds until the granted credit expires.
        left_ms: u32,
    },
    /// The request may not run.
    Denied {
        /// Milliseconds after which enough credit will have accrued for the request.
        wait_ms: u32,
        /// Units that the coordinator estimated to be available, in its zone and in others.
        stock: f64,
    },
    /// No coordinator answered in time.
    Unanswered,
}
