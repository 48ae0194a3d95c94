//! What instances say to each other about credit.

use serde::{Deserialize, Serialize};

use crate::id::ShortName;

/// Tells messages of one sender apart, over its restarts.
pub type MessageNumber = u64;

/// A message about credit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a keeper: a request wants credit.
    Ask {
        /// Number of the request at the sender.
        number: MessageNumber,
        /// Whose limit it counts towards.
        organisation: ShortName,
        /// Units.
        cost: f64,
        /// Its class, lower first.
        class: u32,
        /// Milliseconds for which it may still wait.
        patience_ms: u32,
        /// How often it was asked for, with this message.
        tries: u32,
    },
    /// From a keeper: the request waits there, its verdict follows.
    Held {
        /// Number of the request.
        number: MessageNumber,
    },
    /// From a keeper: the decision on a request.
    Verdict {
        /// Number of the request.
        number: MessageNumber,
        /// The last of its messages that the keeper had by then.
        tries: u32,
        /// What was decided.
        verdict: Verdict,
    },
    /// From a keeper: give what you have of an organisation.
    Collect {
        /// Number of the collection at the sender.
        number: MessageNumber,
        /// Whose credit is wanted.
        organisation: ShortName,
    },
    /// To a keeper: the sender has this no more.
    Credit(Credit),
}

/// What an instance gives to a keeper.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Credit {
    /// Number of the collection that it answers.
    pub number: MessageNumber,
    /// Whose credit it is.
    pub organisation: ShortName,
    /// Microseconds of its running time that it had not given away yet.
    pub time_us: u64,
    /// Largest number of instances of its zone that it knew in that time.
    pub size: u32,
    /// Milliseconds until expiry and units of credit that it held.
    pub lots: Vec<(u32, f64)>,
}

/// What a keeper decides on a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may run, if it starts within [`super::GRANT_VALIDITY`] of the message that was answered.
    Granted {
        /// Milliseconds until the credit that it took expires.
        left_ms: u32,
    },
    /// It may not.
    Denied {
        /// Milliseconds after which it would pass.
        wait_ms: u32,
        /// Units that the keeper took to be there, in its zone and elsewhere.
        stock: f64,
    },
    /// No keeper answered in time.
    Unanswered,
}
