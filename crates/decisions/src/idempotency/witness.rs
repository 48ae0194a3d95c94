//! The witness's memory of keys that others issued.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::{Incarnation, InstanceId, Sequence, UpstreamId};

use super::{KeyId, KeySuccessor, MAX_RECORDS, RECORD_RETENTION};

/// Most issuers whose forgotten keys are told apart; at 160 restarts a day about three weeks.
pub const MAX_ISSUERS: usize = 4_096;

/// Incarnation of a witness that gave its memory away; no key names it, as lives are numbered by
/// the time of their start.
const NOBODY: Incarnation = 0;

/// Message to a witness. `witness` is the incarnation that the key names.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WitnessRequest {
    /// The issuer asks whether it may dispatch; asked once for each key.
    Permit {
        /// The key.
        key: KeyId,
        /// Incarnation of the witness.
        witness: Incarnation,
        /// Where the issuer will send the call.
        upstream: UpstreamId,
    },
    /// A receiving instance can't reach the issuer.
    Close {
        /// The key.
        key: KeyId,
        /// Incarnation of the witness.
        witness: Incarnation,
    },
    /// A leaving issuer has handed its records over.
    Forward {
        /// The keys.
        keys: Vec<KeyId>,
        /// Incarnation of the witness.
        witness: Incarnation,
        /// The instance that knows from now on.
        successor: InstanceId,
    },
}

/// Answer of a witness.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WitnessReply {
    /// The issuer may dispatch; said once for each key.
    Permitted,
    /// The key was permitted before.
    Repeated,
    /// The key is closed and will never be permitted.
    Closed,
    /// The key was permitted and can't be closed.
    MayHaveRun {
        /// Where the issuer was to send the call.
        upstream: UpstreamId,
    },
    /// The key was permitted and its record handed over.
    Forwarded(KeySuccessor),
    /// This incarnation can't tell: it is not the one named, has forgotten or has no room.
    Lost,
    /// A forwarding word was taken.
    Noted,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum State {
    Permitted { upstream: UpstreamId },
    Closed,
    Forwarded(KeySuccessor),
}

#[derive(Debug, Clone, Hash)]
struct Record {
    key: KeyId,
    state: State,
    since: Instant,
}

/// The memory of a witness as it crosses to an heir.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessMemory {
    incarnation: Incarnation,
    records: Vec<Witnessed>,
    forgotten: Vec<Forgotten>,
    floor: Incarnation,
}

impl WitnessMemory {
    /// The life that it belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Witnessed {
    key: KeyId,
    state: State,
    age: Duration,
}

/// The highest sequence of one issuer's life whose record was forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Forgotten {
    issuer: InstanceId,
    incarnation: Incarnation,
    up_to: Sequence,
}

/// What this incarnation of an instance has permitted and closed.
#[derive(Debug, Clone, Hash)]
pub struct Witness {
    incarnation: Incarnation,
    records: Vec<Record>,
    forgotten: Vec<Forgotten>,
    /// Lives of issuers up to this number without an entry in `forgotten` may have been dropped
    /// from it.
    floor: Incarnation,
}

impl Witness {
    /// Makes the empty memory of a life that begins.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            records: Vec::new(),
            forgotten: Vec::new(),
            floor: 0,
        }
    }

    /// Answers an issuer, a receiving instance or a leaver.
    pub fn on_message(&mut self, now: Instant, message: &WitnessRequest) -> WitnessReply {
        self.expire(now);
        match message {
            WitnessRequest::Permit {
                key,
                witness,
                upstream,
            } => self.permit(now, key, *witness, upstream),
            WitnessRequest::Close { key, witness } => self.close(now, key, *witness),
            WitnessRequest::Forward {
                keys,
                witness,
                successor,
            } => {
                if *witness != self.incarnation {
                    return WitnessReply::Lost;
                }
                for key in keys {
                    self.forward(key, successor);
                }
                WitnessReply::Noted
            }
        }
    }

    /// Gives the whole memory away: from now on this witness can tell nothing.
    pub fn hand_over(&mut self, now: Instant) -> WitnessMemory {
        let left = std::mem::replace(self, Self::new(NOBODY));
        let records = left.records.into_iter().map(|r| Witnessed {
            age: now.duration_since(r.since),
            key: r.key,
            state: r.state,
        });
        WitnessMemory {
            incarnation: left.incarnation,
            records: records.collect(),
            forgotten: left.forgotten,
            floor: left.floor,
        }
    }

    /// The life that keys name.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Continues the life of a witness that left.
    pub fn from_memory(memory: WitnessMemory, now: Instant) -> Self {
        let records = memory.records.into_iter().map(|r| Record {
            // Where the clock does not reach back so far the record is kept longer, never shorter.
            since: now.checked_sub(r.age).unwrap_or(now),
            key: r.key,
            state: r.state,
        });
        let mut witness = Self {
            incarnation: memory.incarnation,
            records: records.collect(),
            forgotten: memory.forgotten,
            floor: memory.floor,
        };
        witness.records.sort_by(|a, b| a.key.cmp(&b.key));
        witness
    }

    /// Number of keys remembered, for the dump.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn permit(
        &mut self,
        now: Instant,
        key: &KeyId,
        witness: Incarnation,
        upstream: &UpstreamId,
    ) -> WitnessReply {
        match self.find(key) {
            Ok(i) => match self.records[i].state {
                State::Closed => WitnessReply::Closed,
                State::Permitted { .. } | State::Forwarded(_) => WitnessReply::Repeated,
            },
            Err(_) if witness != self.incarnation || !self.can_remember(key) => WitnessReply::Lost,
            Err(i) => {
                let upstream = Arc::clone(upstream);
                self.insert(i, now, key, State::Permitted { upstream });
                WitnessReply::Permitted
            }
        }
    }

    fn close(&mut self, now: Instant, key: &KeyId, witness: Incarnation) -> WitnessReply {
        match self.find(key) {
            Ok(i) => match &self.records[i].state {
                State::Closed => WitnessReply::Closed,
                State::Permitted { upstream } => WitnessReply::MayHaveRun {
                    upstream: Arc::clone(upstream),
                },
                State::Forwarded(successor) => WitnessReply::Forwarded(successor.clone()),
            },
            // A former life, or this one before it forgot, may have permitted it.
            Err(_) if witness != self.incarnation || !self.can_remember(key) => WitnessReply::Lost,
            Err(i) => {
                self.insert(i, now, key, State::Closed);
                WitnessReply::Closed
            }
        }
    }

    fn forward(&mut self, key: &KeyId, successor: &InstanceId) {
        let Ok(i) = self.find(key) else { return };
        let state = &mut self.records[i].state;
        let upstream = match state {
            State::Permitted { upstream } => Arc::clone(upstream),
            State::Forwarded(s) => Arc::clone(&s.upstream),
            State::Closed => return,
        };
        *state = State::Forwarded(KeySuccessor {
            instance: Arc::clone(successor),
            upstream,
        });
    }

    fn find(&self, key: &KeyId) -> Result<usize, usize> {
        self.records.binary_search_by(|r| r.key.cmp(key))
    }

    fn insert(&mut self, i: usize, now: Instant, key: &KeyId, state: State) {
        let record = Record {
            key: key.clone(),
            state,
            since: now,
        };
        self.records.insert(i, record);
    }

    /// Whether a key without a record surely never had one, and there is room for one.
    ///
    /// Sequences grow in order of issue, so every key up to a forgotten one is at least as old:
    /// past [`RECORD_RETENTION`], longer than its issuer may dispatch it. Answering "closed" for such a key
    /// would call a booking "not run" that ran before it was forgotten.
    fn can_remember(&self, key: &KeyId) -> bool {
        let fresh = match self.find_forgotten(&key.issuer, key.incarnation) {
            Ok(i) => key.sequence > self.forgotten[i].up_to,
            Err(_) => key.incarnation > self.floor,
        };
        fresh && self.records.len() < MAX_RECORDS
    }

    fn find_forgotten(&self, issuer: &str, incarnation: Incarnation) -> Result<usize, usize> {
        self.forgotten
            .binary_search_by(|f| (&*f.issuer, f.incarnation).cmp(&(issuer, incarnation)))
    }

    fn expire(&mut self, now: Instant) {
        let old = |r: &Record| now.duration_since(r.since) >= RECORD_RETENTION;
        if !self.records.iter().any(old) {
            return;
        }
        let (gone, kept) = std::mem::take(&mut self.records).into_iter().partition(old);
        self.records = kept;
        for record in gone {
            self.forget(&record.key);
        }
    }

    fn forget(&mut self, key: &KeyId) {
        match self.find_forgotten(&key.issuer, key.incarnation) {
            Ok(i) => {
                let up_to = &mut self.forgotten[i].up_to;
                *up_to = key.sequence.max(*up_to);
            }
            Err(i) => {
                let entry = Forgotten {
                    issuer: Arc::clone(&key.issuer),
                    incarnation: key.incarnation,
                    up_to: key.sequence,
                };
                self.forgotten.insert(i, entry);
            }
        }
        if self.forgotten.len() > MAX_ISSUERS {
            let oldest = (0..self.forgotten.len())
                .min_by_key(|i| self.forgotten[*i].incarnation)
                .unwrap_or_default();
            self.floor = self.floor.max(self.forgotten.remove(oldest).incarnation);
        }
    }
}
