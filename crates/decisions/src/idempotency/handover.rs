//! What a leaving issuer leaves to a successor.
//!
//! Only ended keys are handed over, never a right to dispatch: a message that comes late or twice
//! then can't make a second process dispatch. The records are gone from the leaver before they
//! are sent; if the message is lost, its keys end like those of a dead issuer.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::InstanceId;

use super::{
    KeyId, KeyIssuer, KeyOutcome, MAX_RECORDS, RECORD_RETENTION, WitnessId, WitnessRequest,
};

/// Most records in one message.
pub const MAX_HANDED: usize = 128;

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndedKeyRecord {
    /// The key.
    pub key: KeyId,
    /// Its witness, for a further hand-over.
    pub witness: Option<WitnessId>,
    /// What became of it.
    pub outcome: KeyOutcome,
}

/// A record that another issuer left here.
#[derive(Debug, Clone, Hash)]
pub(super) struct Adopted {
    handed: EndedKeyRecord,
    pub(super) since: Instant,
}

/// Forwarding word for one witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardNotice {
    /// The witness.
    pub to: InstanceId,
    /// The message.
    pub message: WitnessRequest,
}

/// Everything that a leaver sends.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct EndedKeysHandover {
    /// Messages for the successor, each of at most [`MAX_HANDED`] records.
    pub records: Vec<Vec<EndedKeyRecord>>,
    /// Words for the witnesses, to be sent once the successor has acknowledged.
    pub notices: Vec<ForwardNotice>,
}

impl KeyIssuer {
    /// Hands everything over; from now on this instance dispatches no key. Call it when nothing
    /// waits and nothing runs any more: what still does is given up as "not run" or "unknown".
    pub fn hand_over_ended(&mut self, successor: &InstanceId) -> EndedKeysHandover {
        self.successor = Some(Arc::clone(successor));
        let adopted = std::mem::take(&mut self.adopted);
        let mut records = adopted.into_iter().map(|a| a.handed).collect::<Vec<_>>();
        records.extend(self.take_ended().into_iter().map(|ended| EndedKeyRecord {
            key: ended.key.id(),
            witness: ended.key.witness,
            outcome: ended.outcome,
        }));
        EndedKeysHandover {
            notices: forwardings(&records, successor),
            records: records.chunks(MAX_HANDED).map(<[_]>::to_vec).collect(),
        }
    }

    /// Takes records that a leaver handed over; one that is known already stays as it is.
    pub fn adopt(&mut self, now: Instant, records: &[EndedKeyRecord]) {
        for handed in records.iter().take(MAX_HANDED) {
            let found = self.find_adopted(&handed.key);
            if let (Err(i), true) = (found, self.adopted.len() < MAX_RECORDS) {
                let adopted = Adopted {
                    handed: handed.clone(),
                    since: now,
                };
                self.adopted.insert(i, adopted);
            }
        }
    }

    /// What became of a key of a leaver, if it was handed over to this instance.
    pub fn adopted_outcome(&self, now: Instant, key: &KeyId) -> Option<KeyOutcome> {
        let i = self.find_adopted(key).ok()?;
        let adopted = &self.adopted[i];
        let fresh = now.duration_since(adopted.since) < RECORD_RETENTION;
        fresh.then(|| adopted.handed.outcome.clone())
    }

    fn find_adopted(&self, key: &KeyId) -> Result<usize, usize> {
        self.adopted.binary_search_by(|a| a.handed.key.cmp(key))
    }
}

fn forwardings(records: &[EndedKeyRecord], successor: &InstanceId) -> Vec<ForwardNotice> {
    let mut witnessed = records
        .iter()
        .filter_map(|r| r.witness.as_ref().map(|w| (w, &r.key)))
        .collect::<Vec<_>>();
    witnessed.sort_by_key(|(w, key)| (&w.instance, w.incarnation, *key));
    witnessed
        .chunk_by(|(a, _), (b, _)| a == b)
        .map(|group| ForwardNotice {
            to: Arc::clone(&group[0].0.instance),
            message: WitnessRequest::Forward {
                keys: group.iter().map(|(_, key)| (*key).clone()).collect(),
                witness: group[0].0.incarnation,
                successor: Arc::clone(successor),
            },
        })
        .collect()
}
