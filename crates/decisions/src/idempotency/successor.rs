//! Handover of unused keys and of a witness's records from a leaving instance to its successor.
//!
//! Load pattern: rolling restarts. Without this handover every unused key that a leaving instance
//! issued or witnessed ends as "not run", and its caller has to fetch another: 375 of 5,949 calls
//! in the test of a rolling restart, about three in ten bookings.
//!
//! Two instances never dispatch or permit the same key: the leaving instance gives up the right
//! before it sends the handover and lists every key that it used, which the successor never
//! dispatches. If the handover is lost, the keys end like those of a crashed instance.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::{Incarnation, InstanceId, Sequence};

use super::{
    CallAttempt, EndedKeysHandover, IssuerReply, Key, KeyId, KeyIssuer, RECORD_RETENTION,
    UseDecision, Witness, WitnessReply, WitnessRequest, WitnessSnapshot,
};

/// Maximum number of handovers of each kind that one instance holds; at 160 restarts a day each
/// instance has one for a few minutes.
pub const MAX_HANDOVERS: usize = 64;

/// The right to dispatch the unused keys of one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DispatchRights {
    /// The instance that issued the keys and is leaving.
    pub issuer: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Age of the incarnation at the handover; the age of a key is computed from it.
    pub age: Duration,
    /// Sequences of used keys, which the successor must not dispatch; sorted.
    pub used: Vec<Sequence>,
}

/// The records of a leaving witness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessHandover {
    /// The instance that ran the witness and is leaving.
    pub instance: InstanceId,
    /// Its records.
    pub memory: WitnessSnapshot,
}

/// Answers for a witness that left, from its records.
#[derive(Debug)]
pub struct WitnessSuccessor {
    instance: InstanceId,
    witness: Witness,
    taken_over_at: Instant,
}

/// Dispatches the unused keys of an issuer that left.
#[derive(Debug)]
pub struct IssuerSuccessor {
    keys: KeyIssuer,
    issuer: InstanceId,
    /// Sequences of keys that the issuer used before the takeover, sorted.
    used: Vec<Sequence>,
    taken_over_at: Instant,
}

impl IssuerSuccessor {
    /// Takes over `rights` at `now`.
    pub fn new(rights: DispatchRights, now: Instant) -> Self {
        let issuer = rights.issuer.clone();
        let keys = KeyIssuer::new(rights.issuer, rights.incarnation, now).with_age(rights.age);
        Self {
            keys,
            issuer,
            used: rights.used,
            taken_over_at: now,
        }
    }

    /// Whether `other` is a duplicate of the handover that is already held; applying it again would
    /// drop the records of keys used since.
    pub fn is_same_handover(&self, other: &DispatchRights) -> bool {
        self.issuer == other.issuer && self.keys.incarnation() == other.incarnation
    }

    /// Whether `key` was issued by the incarnation that was taken over.
    pub fn covers(&self, key: &Key) -> bool {
        self.covers_id(&key.id())
    }

    /// Whether the key with this identity was issued by the incarnation that was taken over.
    pub fn covers_id(&self, key: &KeyId) -> bool {
        self.issuer == key.issuer && self.keys.incarnation() == key.incarnation
    }

    /// Handles a call with a key that [`Self::covers`] accepts.
    pub fn on_use(&mut self, now: Instant, key: &Key, call: CallAttempt) -> UseDecision {
        if self.used.binary_search(&key.sequence).is_ok() {
            return UseDecision::Answer(IssuerReply::NotHere);
        }
        self.keys.on_use(now, key, call)
    }

    /// The state machine that dispatches the keys.
    pub fn issuer(&mut self) -> &mut KeyIssuer {
        &mut self.keys
    }

    /// Whether all keys are past the retention of records.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.duration_since(self.taken_over_at) >= RECORD_RETENTION
    }

    /// Hands the keys over again, as this instance leaves too.
    pub fn hand_over(&mut self, now: Instant, successor: &InstanceId) -> KeysHandover {
        let mut rights = self.keys.hand_over_rights(now, successor);
        rights.used.append(&mut self.used);
        rights.used.sort_unstable();
        KeysHandover {
            rights,
            ended: self.keys.hand_over_ended(successor),
        }
    }
}

/// All keys of one incarnation that a leaving instance hands over.
#[derive(Debug)]
pub struct KeysHandover {
    /// The right to dispatch unused keys.
    pub rights: DispatchRights,
    /// The records of ended keys.
    pub ended: EndedKeysHandover,
}

impl WitnessSuccessor {
    /// Takes over the records in `handover` at `now`.
    pub fn new(handover: WitnessHandover, now: Instant) -> Self {
        let witness = Witness::from_snapshot(handover.memory, now);
        Self {
            instance: handover.instance,
            witness,
            taken_over_at: now,
        }
    }

    /// Whether `other` is a duplicate of the handover that is already held.
    pub fn is_same_handover(&self, other: &WitnessHandover) -> bool {
        self.instance == other.instance && self.witness.incarnation() == other.memory.incarnation()
    }

    /// Whether it answers for the witness at `instance`.
    pub fn replaces(&self, instance: &InstanceId) -> bool {
        self.instance == *instance
    }

    /// Handles a message to the witness that left; replies "lost" if it names another incarnation.
    pub fn on_message(&mut self, now: Instant, message: &WitnessRequest) -> WitnessReply {
        self.witness.on_message(now, message)
    }

    /// Whether all keys that name this witness are past the retention of records.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.duration_since(self.taken_over_at) >= RECORD_RETENTION
    }

    /// Hands the records over again, as this instance leaves too.
    pub fn hand_over(&mut self, now: Instant) -> WitnessHandover {
        WitnessHandover {
            instance: self.instance.clone(),
            memory: self.witness.hand_over(now),
        }
    }
}
