//! State of a witness: records of keys that other instances issued.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::{Incarnation, InstanceId, Sequence, UpstreamId};

use super::{KeyId, KeySuccessor, MAX_RECORDS, RECORD_RETENTION};

/// Maximum number of entries for dropped records, one per issuer incarnation; at 160 restarts a day
/// enough for about three weeks.
pub const MAX_ISSUER_INCARNATIONS: usize = 4_096;

/// Incarnation of a witness that handed its records over. No key names it, as incarnations are
/// numbered by start time.
const NO_INCARNATION: Incarnation = 0;

/// Request to a witness. The field `witness` is the incarnation that the key names.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WitnessRequest {
    /// The issuer asks for permission to dispatch; sent once for each key.
    Permit {
        /// The key.
        key: KeyId,
        /// Incarnation of the witness.
        witness: Incarnation,
        /// The upstream that will get the call.
        upstream: UpstreamId,
    },
    /// An instance that received a call can't reach the issuer.
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
        /// The instance that holds the records from now on.
        successor: InstanceId,
    },
}

/// Reply of a witness.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WitnessReply {
    /// The issuer may dispatch; sent once for each key.
    Permitted,
    /// The key had been permitted before.
    Repeated,
    /// The key is closed and will never be permitted.
    Closed,
    /// The key was permitted and can't be closed.
    MayHaveRun {
        /// The upstream for which the key was permitted.
        upstream: UpstreamId,
    },
    /// The key was permitted and its record was handed over.
    Forwarded(KeySuccessor),
    /// This witness can't tell: it is another incarnation than the key names, the record may have
    /// been dropped, or there is no room.
    Lost,
    /// A [`WitnessRequest::Forward`] was applied.
    Noted,
}

/// What the witness answered for a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum WitnessedState {
    Permitted { upstream: UpstreamId },
    Closed,
    Forwarded(KeySuccessor),
}

/// A key that was permitted or closed.
#[derive(Debug, Clone, Hash)]
struct WitnessRecord {
    key: KeyId,
    state: WitnessedState,
    recorded_at: Instant,
}

/// The records of a witness in a handover.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessSnapshot {
    incarnation: Incarnation,
    records: Vec<HandedOverRecord>,
    forgotten: Vec<ForgottenRange>,
    floor: Incarnation,
}

impl WitnessSnapshot {
    /// The incarnation of the witness.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

/// A record in a snapshot, with its age instead of its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct HandedOverRecord {
    key: KeyId,
    state: WitnessedState,
    age: Duration,
}

/// The highest sequence among the dropped records of one issuer incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct ForgottenRange {
    issuer: InstanceId,
    incarnation: Incarnation,
    up_to: Sequence,
}

/// Keys that one incarnation of an instance has permitted or closed as a witness.
#[derive(Debug, Clone, Hash)]
pub struct Witness {
    incarnation: Incarnation,
    records: Vec<WitnessRecord>,
    forgotten: Vec<ForgottenRange>,
    /// Highest incarnation whose entry was removed from `forgotten`; an issuer incarnation up to it
    /// without an entry may have had dropped records.
    floor: Incarnation,
}

impl Witness {
    /// Creates the empty state of a new incarnation.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            records: Vec::new(),
            forgotten: Vec::new(),
            floor: 0,
        }
    }

    /// Handles a request of an issuer or of an instance that received a call.
    pub fn on_message(&mut self, now: Instant, message: &WitnessRequest) -> WitnessReply {
        self.forget_expired(now);
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

    /// Removes all records for a handover. From now on every request is answered "lost".
    pub fn hand_over(&mut self, now: Instant) -> WitnessSnapshot {
        let former = std::mem::replace(self, Self::new(NO_INCARNATION));
        let records = former.records.into_iter().map(|r| HandedOverRecord {
            age: now.duration_since(r.recorded_at),
            key: r.key,
            state: r.state,
        });
        WitnessSnapshot {
            incarnation: former.incarnation,
            records: records.collect(),
            forgotten: former.forgotten,
            floor: former.floor,
        }
    }

    /// The incarnation that keys name.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Restores the state of a witness from its handover.
    pub fn from_snapshot(snapshot: WitnessSnapshot, now: Instant) -> Self {
        let records = snapshot.records.into_iter().map(|r| WitnessRecord {
            // If the clock doesn't reach back that far, the record is kept longer, never shorter.
            recorded_at: now.checked_sub(r.age).unwrap_or(now),
            key: r.key,
            state: r.state,
        });
        let mut witness = Self {
            incarnation: snapshot.incarnation,
            records: records.collect(),
            forgotten: snapshot.forgotten,
            floor: snapshot.floor,
        };
        witness.records.sort_by(|a, b| a.key.cmp(&b.key));
        witness
    }

    /// Number of records, for the state dump.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
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
                WitnessedState::Closed => WitnessReply::Closed,
                WitnessedState::Permitted { .. } | WitnessedState::Forwarded(_) => {
                    WitnessReply::Repeated
                }
            },
            Err(_) if witness != self.incarnation || !self.can_record(key) => WitnessReply::Lost,
            Err(i) => {
                let upstream = Arc::clone(upstream);
                self.insert(i, now, key, WitnessedState::Permitted { upstream });
                WitnessReply::Permitted
            }
        }
    }

    fn close(&mut self, now: Instant, key: &KeyId, witness: Incarnation) -> WitnessReply {
        match self.find(key) {
            Ok(i) => match &self.records[i].state {
                WitnessedState::Closed => WitnessReply::Closed,
                WitnessedState::Permitted { upstream } => WitnessReply::MayHaveRun {
                    upstream: Arc::clone(upstream),
                },
                WitnessedState::Forwarded(successor) => WitnessReply::Forwarded(successor.clone()),
            },
            // An earlier incarnation, or this one before it dropped the record, may have permitted
            // the key.
            Err(_) if witness != self.incarnation || !self.can_record(key) => WitnessReply::Lost,
            Err(i) => {
                self.insert(i, now, key, WitnessedState::Closed);
                WitnessReply::Closed
            }
        }
    }

    fn forward(&mut self, key: &KeyId, successor: &InstanceId) {
        let Ok(i) = self.find(key) else { return };
        let state = &mut self.records[i].state;
        let upstream = match state {
            WitnessedState::Permitted { upstream } => Arc::clone(upstream),
            WitnessedState::Forwarded(s) => Arc::clone(&s.upstream),
            WitnessedState::Closed => return,
        };
        *state = WitnessedState::Forwarded(KeySuccessor {
            instance: Arc::clone(successor),
            upstream,
        });
    }

    fn find(&self, key: &KeyId) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.key.cmp(key))
    }

    fn insert(&mut self, i: usize, now: Instant, key: &KeyId, state: WitnessedState) {
        let record = WitnessRecord {
            key: key.clone(),
            state,
            recorded_at: now,
        };
        self.records.insert(i, record);
    }

    /// Whether a key without a record certainly never had one, and there is room for a record.
    ///
    /// Sequences ascend in order of issue, so every key up to a dropped one is at least as old:
    /// older than [`RECORD_RETENTION`], which is longer than its issuer may dispatch it. Closing
    /// such a key would report a booking as "not run" that ran before its record was dropped.
    fn can_record(&self, key: &KeyId) -> bool {
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

    fn forget_expired(&mut self, now: Instant) {
        let old = |r: &WitnessRecord| now.duration_since(r.recorded_at) >= RECORD_RETENTION;
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
                let entry = ForgottenRange {
                    issuer: Arc::clone(&key.issuer),
                    incarnation: key.incarnation,
                    up_to: key.sequence,
                };
                self.forgotten.insert(i, entry);
            }
        }
        if self.forgotten.len() > MAX_ISSUER_INCARNATIONS {
            let oldest = (0..self.forgotten.len())
                .min_by_key(|i| self.forgotten[*i].incarnation)
                .unwrap_or_default();
            self.floor = self.floor.max(self.forgotten.remove(oldest).incarnation);
        }
    }
}
