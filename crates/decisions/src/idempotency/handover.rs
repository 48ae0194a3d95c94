//! Handover of ended keys from a leaving issuer to its successor.
//!
//! Only the outcomes of ended keys are sent, never a right to dispatch: a message that arrives late
//! or twice can't make a second process dispatch. The leaving instance removes the records before
//! it sends them; if the message is lost, the keys end like those of a crashed issuer.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::id::InstanceId;

use super::{
    KeyId, KeyIssuer, KeyOutcome, MAX_RECORDS, RECORD_RETENTION, WitnessId, WitnessRequest,
};

/// Maximum number of records in one message.
pub const MAX_RECORDS_PER_MESSAGE: usize = 128;

/// The outcome of a key that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndedKeyRecord {
    /// The key.
    pub key: KeyId,
    /// The witness of the key, needed if the successor hands the record over again.
    pub witness: Option<WitnessId>,
    /// The result of the call.
    pub outcome: KeyOutcome,
}

/// A record that another issuer handed over to this instance.
#[derive(Debug, Clone, Hash)]
pub(super) struct AdoptedRecord {
    record: EndedKeyRecord,
    pub(super) adopted_at: Instant,
}

/// Tells a witness which instance holds the records of some keys from now on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardNotice {
    /// The instance that runs the witness.
    pub to: InstanceId,
    /// A [`WitnessRequest::Forward`].
    pub message: WitnessRequest,
}

/// The messages of a leaving instance about its ended keys.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct EndedKeysHandover {
    /// Messages for the successor, each of at most [`MAX_RECORDS_PER_MESSAGE`] records.
    pub records: Vec<Vec<EndedKeyRecord>>,
    /// Notices for the witnesses, to be sent after the successor has acknowledged the records.
    pub notices: Vec<ForwardNotice>,
}

impl KeyIssuer {
    /// Removes all records and returns the messages that hand them over to `successor`.
    ///
    /// From now on this instance dispatches no key. Called when no call is queued or running; a
    /// call that still is ends as "not run" if it is queued and as "unknown" if it runs.
    pub fn hand_over_ended(&mut self, successor: &InstanceId) -> EndedKeysHandover {
        self.successor = Some(Arc::clone(successor));
        let adopted = std::mem::take(&mut self.adopted);
        let mut records = adopted
            .into_iter()
            .map(|adopted| adopted.record)
            .collect::<Vec<_>>();
        records.extend(self.remove_all().into_iter().map(|ended| EndedKeyRecord {
            key: ended.key.id(),
            witness: ended.key.witness,
            outcome: ended.outcome,
        }));
        EndedKeysHandover {
            notices: forward_notices(&records, successor),
            records: records
                .chunks(MAX_RECORDS_PER_MESSAGE)
                .map(<[_]>::to_vec)
                .collect(),
        }
    }

    /// Stores records that a leaving instance handed over; existing records are not overwritten.
    pub fn adopt(&mut self, now: Instant, records: &[EndedKeyRecord]) {
        for record in records.iter().take(MAX_RECORDS_PER_MESSAGE) {
            let found = self.find_adopted(&record.key);
            if let (Err(i), true) = (found, self.adopted.len() < MAX_RECORDS) {
                let adopted = AdoptedRecord {
                    record: record.clone(),
                    adopted_at: now,
                };
                self.adopted.insert(i, adopted);
            }
        }
    }

    /// Outcome of a key whose record was handed over to this instance, if it is not older than
    /// [`RECORD_RETENTION`].
    pub fn adopted_outcome(&self, now: Instant, key: &KeyId) -> Option<KeyOutcome> {
        let i = self.find_adopted(key).ok()?;
        let adopted = &self.adopted[i];
        let fresh = now.duration_since(adopted.adopted_at) < RECORD_RETENTION;
        fresh.then(|| adopted.record.outcome.clone())
    }

    fn find_adopted(&self, key: &KeyId) -> Result<usize, usize> {
        self.adopted
            .binary_search_by(|adopted| adopted.record.key.cmp(key))
    }
}

fn forward_notices(records: &[EndedKeyRecord], successor: &InstanceId) -> Vec<ForwardNotice> {
    let mut witnessed = records
        .iter()
        .filter_map(|record| {
            record
                .witness
                .as_ref()
                .map(|witness| (witness, &record.key))
        })
        .collect::<Vec<_>>();
    witnessed.sort_by_key(|(witness, key)| (&witness.instance, witness.incarnation, *key));
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
