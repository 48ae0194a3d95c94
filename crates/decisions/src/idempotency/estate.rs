//! What a leaver leaves to its heir beside ended keys: the right to dispatch its unused ones, and
//! its memory as a witness.
//!
//! Load pattern: rolling restarts. Without an estate every key that a leaver issued or witnessed
//! and nobody used yet ends as "not run", and its caller has to fetch another: 375 of 5,949 calls
//! in the test of a rolling restart, about three in ten bookings.
//!
//! Never two may dispatch or permit: the leaver gives the right up before the estate is sent, and
//! names every key that it used, which the heir never dispatches. A lost estate ends like a dead
//! instance.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::{Incarnation, InstanceId, Sequence};

use super::{
    CallAttempt, EndedKeysHandover, IssuerReply, Key, KeyId, KeyIssuer, RECORD_RETENTION,
    UseDecision, Witness, WitnessMemory, WitnessReply, WitnessRequest,
};

/// Estates that one instance holds; at 160 restarts a day each instance has one for a few minutes.
pub const MAX_HANDOVERS: usize = 64;

/// The right to dispatch what one life of an instance issued and nobody used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DispatchRights {
    /// The leaver.
    pub issuer: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Age of that life when it was handed over; keys count their age by it.
    pub age: Duration,
    /// Keys that were used, which the heir must not dispatch; sorted.
    pub used: Vec<Sequence>,
}

/// The memory of a witness that left, under its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessHandover {
    /// The leaver.
    pub instance: InstanceId,
    /// Its memory.
    pub memory: WitnessMemory,
}

/// A witness that left, at its heir.
#[derive(Debug)]
pub struct WitnessSuccessor {
    instance: InstanceId,
    witness: Witness,
    since: Instant,
}

/// One estate at its heir.
#[derive(Debug)]
pub struct IssuerSuccessor {
    keys: KeyIssuer,
    issuer: InstanceId,
    used: Vec<Sequence>,
    since: Instant,
}

impl IssuerSuccessor {
    /// Takes over `estate` now.
    pub fn new(estate: DispatchRights, now: Instant) -> Self {
        let issuer = estate.issuer.clone();
        let keys = KeyIssuer::new(estate.issuer, estate.incarnation, now).with_age(estate.age);
        Self {
            keys,
            issuer,
            used: estate.used,
            since: now,
        }
    }

    /// Whether it is the same estate as `other`, which then came a second time: taking it again
    /// would forget what was used since.
    pub fn is_same_handover(&self, other: &DispatchRights) -> bool {
        self.issuer == other.issuer && self.keys.incarnation() == other.incarnation
    }

    /// Whether `key` belongs to this estate.
    pub fn covers(&self, key: &Key) -> bool {
        self.covers_id(&key.id())
    }

    /// Whether the key of this identity belongs to this estate.
    pub fn covers_id(&self, key: &KeyId) -> bool {
        self.issuer == key.issuer && self.keys.incarnation() == key.incarnation
    }

    /// Takes a call whose key belongs to this estate.
    pub fn on_use(&mut self, now: Instant, key: &Key, call: CallAttempt) -> UseDecision {
        if self.used.binary_search(&key.sequence).is_ok() {
            return UseDecision::Answer(IssuerReply::NotHere);
        }
        self.keys.on_use(now, key, call)
    }

    /// The machine that a first use runs through.
    pub fn issuer(&mut self) -> &mut KeyIssuer {
        &mut self.keys
    }

    /// Whether no key of it can be used any more.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.duration_since(self.since) >= RECORD_RETENTION
    }

    /// Passes the estate on, as this heir leaves too.
    pub fn hand_over(&mut self, now: Instant, successor: &InstanceId) -> KeysHandover {
        let mut estate = self.keys.hand_over_rights(now, successor);
        estate.used.append(&mut self.used);
        estate.used.sort_unstable();
        KeysHandover {
            rights: estate,
            ended: self.keys.hand_over_ended(successor),
        }
    }
}

/// An estate and the keys of it that ended.
#[derive(Debug)]
pub struct KeysHandover {
    /// The unused keys.
    pub rights: DispatchRights,
    /// The ended ones.
    pub ended: EndedKeysHandover,
}

impl WitnessSuccessor {
    /// Takes over `estate` now.
    pub fn new(estate: WitnessHandover, now: Instant) -> Self {
        let witness = Witness::from_memory(estate.memory, now);
        Self {
            instance: estate.instance,
            witness,
            since: now,
        }
    }

    /// Whether it is the same memory as `other`, which then came a second time.
    pub fn is_same_handover(&self, other: &WitnessHandover) -> bool {
        self.instance == other.instance && self.witness.incarnation() == other.memory.incarnation()
    }

    /// Whether it stands for `instance`.
    pub fn replaces(&self, instance: &InstanceId) -> bool {
        self.instance == *instance
    }

    /// Answers in place of the leaver, if `message` is for its life; else "lost".
    pub fn on_message(&mut self, now: Instant, message: &WitnessRequest) -> WitnessReply {
        self.witness.on_message(now, message)
    }

    /// Whether no key that names it can be used any more.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.duration_since(self.since) >= RECORD_RETENTION
    }

    /// Passes the memory on, as this heir leaves too.
    pub fn hand_over(&mut self, now: Instant) -> WitnessHandover {
        WitnessHandover {
            instance: self.instance.clone(),
            memory: self.witness.hand_over(now),
        }
    }
}
