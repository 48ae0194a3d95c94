//! State of an issuer: its keys can be dispatched only through this state machine.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{Incarnation, InstanceId, OrganisationId, RequestId, Sequence, UpstreamId};

use super::handover::AdoptedRecord;
use super::outcome::MAX_RESPONSE_BYTES;
use super::{
    DispatchRights, IssuerReply, KEY_LIFETIME, Key, KeyOutcome, MAX_RECORDS,
    MAX_RECORDS_PER_ORGANISATION, NotRun, RECORD_RETENTION, StoredResponse, WitnessId,
    WitnessReply, WitnessRequest,
};

/// Maximum total size of the response bodies kept for replay; the oldest are dropped first.
pub const MAX_TOTAL_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of calls recorded for one key before its first byte is sent; with more, a refusal
/// ends the key.
pub const MAX_CALLS_PER_KEY: usize = 16;

/// One call with a key, as it arrives at the issuer of the key.
#[derive(Debug, Clone)]
pub struct CallAttempt {
    /// Identifier that the receiving instance gave the request. It distinguishes a duplicate of a
    /// refused message from the caller's next attempt.
    pub id: RequestId,
    /// Hash of method, path and body; a second call with the same key must have the same hash.
    pub hash: u64,
    /// Latest time at which the call may be dispatched.
    pub deadline: Instant,
}

/// What the issuer does with a call that has a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UseDecision {
    /// The first call with this key: queue it, then call [`KeyIssuer::request_permission`],
    /// [`KeyIssuer::dispatch`] and [`KeyIssuer::finish`], or [`KeyIssuer::refuse`].
    First,
    /// The same call is already queued or running; its response is sent to this caller too.
    Join,
    /// Send this reply at once.
    Answer(IssuerReply),
}

/// Result of a request for permission to dispatch a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permission {
    /// Send this message to the witness and pass its reply to [`KeyIssuer::on_witness_reply`].
    AskWitness {
        /// The instance that runs the witness.
        to: InstanceId,
        /// A [`WitnessRequest::Permit`].
        message: WitnessRequest,
    },
    /// The key has no witness and may be dispatched.
    Granted,
    /// The call will not run, for this reason.
    NotRun(NotRun),
}

/// Progress of a key at its issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyPhase {
    /// A call is queued; the witness has not been asked.
    Waiting,
    /// All calls so far were refused; the next call may run.
    Refused,
    /// The witness was asked and has not replied.
    Asking,
    /// The call may be dispatched.
    Permitted,
    /// The call was dispatched and has not ended.
    Running,
    /// The outcome of the key is final.
    Done,
}

/// State of a used key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum KeyState {
    /// A call is queued; the witness has not been asked.
    Waiting,
    /// Every call so far was refused before the witness was asked; the next call may run.
    Refused,
    /// The witness was asked and has not replied.
    Asking { upstream: UpstreamId },
    /// The first byte may be sent until the deadline.
    Permitted { upstream: UpstreamId },
    /// The first byte was sent.
    Running { upstream: UpstreamId },
    /// The outcome is final.
    Done(KeyOutcome),
}

/// A used key.
#[derive(Debug, Clone, Hash)]
struct KeyRecord {
    key: Key,
    /// Hash of the method, path and body of the first call.
    hash: u64,
    /// Deadline of the queued call.
    deadline: Instant,
    /// Calls that get the same response as the queued one.
    attempts: Vec<RequestId>,
    state: KeyState,
}

/// Keys that one incarnation issued, and records that other instances handed over to it.
#[derive(Debug, Clone, Hash)]
pub struct KeyIssuer {
    instance: InstanceId,
    incarnation: Incarnation,
    /// Start of the incarnation, or of the takeover at a successor.
    started_at: Instant,
    /// Sequence of the key that was issued last.
    last_sequence: Sequence,
    /// Used keys, sorted by sequence.
    records: Vec<KeyRecord>,
    /// Total size of the stored response bodies.
    response_bytes: usize,
    /// Records that leaving instances handed over, sorted by key.
    pub(super) adopted: Vec<AdoptedRecord>,
    /// Set once the keys were handed over; from then on nothing is dispatched here.
    pub(super) successor: Option<InstanceId>,
    /// Age of the incarnation when a successor took it over; zero at the incarnation itself.
    age_at_takeover: Duration,
}

impl KeyIssuer {
    /// Creates the state of an incarnation that starts now.
    pub fn new(instance: InstanceId, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            instance,
            incarnation,
            started_at: now,
            last_sequence: 0,
            records: Vec::new(),
            response_bytes: 0,
            adopted: Vec::new(),
            successor: None,
            age_at_takeover: Duration::ZERO,
        }
    }

    /// Sets the age of the incarnation at the time of its takeover, for a successor.
    pub fn with_age(mut self, age: Duration) -> Self {
        self.age_at_takeover = age;
        self
    }

    /// Gives up the right to dispatch and returns what `successor` needs to dispatch unused keys.
    ///
    /// From now on nothing is dispatched here, even if the returned message is lost.
    pub fn hand_over_rights(&mut self, now: Instant, successor: &InstanceId) -> DispatchRights {
        self.successor = Some(Arc::clone(successor));
        DispatchRights {
            issuer: Arc::clone(&self.instance),
            incarnation: self.incarnation,
            age: self.incarnation_age(now),
            used: self
                .records
                .iter()
                .map(|record| record.key.sequence)
                .collect(),
        }
    }

    /// Time since the incarnation started, at whichever instance.
    fn incarnation_age(&self, now: Instant) -> Duration {
        now.duration_since(self.started_at) + self.age_at_takeover
    }

    /// Issues a key. No record is stored before the first call with it.
    pub fn issue(
        &mut self,
        now: Instant,
        organisation: OrganisationId,
        witness: Option<WitnessId>,
    ) -> Key {
        self.last_sequence += 1;
        Key {
            issuer: Arc::clone(&self.instance),
            incarnation: self.incarnation,
            witness,
            organisation,
            sequence: self.last_sequence,
            issued_ms: now.duration_since(self.started_at).as_millis() as u64,
        }
    }

    /// The witness for the next key: the other live instances in turn, which spreads the load and
    /// limits how many keys depend on one witness. `None` if no other instance is live.
    pub fn next_witness<'a>(&self, live: &'a [InstanceId]) -> Option<&'a InstanceId> {
        let others = live
            .iter()
            .filter(|id| **id != self.instance)
            .collect::<Vec<_>>();
        let turn = self.last_sequence as usize % others.len().max(1);
        others.get(turn).copied()
    }

    /// Handles a call whose key was verified here or at the instance that received the call.
    pub fn on_use(&mut self, now: Instant, key: &Key, call: CallAttempt) -> UseDecision {
        if key.issuer != self.instance || key.incarnation != self.incarnation {
            let outcome = self.adopted_outcome(now, &key.id());
            return UseDecision::Answer(outcome.map_or(IssuerReply::NotHere, IssuerReply::Outcome));
        }
        if let Some(successor) = &self.successor {
            let successor = Arc::clone(successor);
            return UseDecision::Answer(IssuerReply::Moved { successor });
        }
        self.expire(now);
        match self.find(key.sequence) {
            Ok(i) => self.on_repeated_use(i, now, call),
            Err(i) => self.on_first_use(i, now, key, call),
        }
    }

    fn on_repeated_use(&mut self, i: usize, now: Instant, call: CallAttempt) -> UseDecision {
        let record = &mut self.records[i];
        if record.hash != call.hash {
            let outcome = KeyOutcome::NotRun(NotRun::Mismatch);
            return UseDecision::Answer(IssuerReply::Outcome(outcome));
        }
        match &record.state {
            KeyState::Done(outcome) => UseDecision::Answer(IssuerReply::Outcome(outcome.clone())),
            // This call was or will be answered "not run", so it must not run when it arrives
            // again.
            KeyState::Refused if record.attempts.contains(&call.id) => {
                UseDecision::Answer(IssuerReply::Refused)
            }
            KeyState::Refused if call.deadline <= now => {
                let outcome = KeyOutcome::NotRun(NotRun::Late);
                UseDecision::Answer(IssuerReply::Outcome(outcome))
            }
            KeyState::Refused => {
                record.state = KeyState::Waiting;
                record.deadline = call.deadline;
                record.attempts.push(call.id);
                UseDecision::First
            }
            _ => {
                if record.attempts.len() < MAX_CALLS_PER_KEY && !record.attempts.contains(&call.id)
                {
                    record.attempts.push(call.id);
                }
                UseDecision::Join
            }
        }
    }

    fn on_first_use(
        &mut self,
        i: usize,
        now: Instant,
        key: &Key,
        call: CallAttempt,
    ) -> UseDecision {
        let age = self.key_age(now, key);
        let not_run = if age >= RECORD_RETENTION {
            // The key may have had a record that was dropped.
            let outcome = KeyOutcome::Unknown { upstream: None };
            return UseDecision::Answer(IssuerReply::Outcome(outcome));
        } else if age >= KEY_LIFETIME {
            Some(NotRun::Expired)
        } else if call.deadline <= now {
            Some(NotRun::Late)
        } else if !self.has_capacity(&key.organisation) {
            Some(NotRun::Full)
        } else {
            None
        };
        if let Some(reason) = not_run {
            return UseDecision::Answer(IssuerReply::Outcome(KeyOutcome::NotRun(reason)));
        }
        let record = KeyRecord {
            key: key.clone(),
            hash: call.hash,
            deadline: call.deadline,
            attempts: vec![call.id],
            state: KeyState::Waiting,
        };
        self.records.insert(i, record);
        UseDecision::First
    }

    /// Refuses a queued call before the witness was asked, for example when it is shed.
    ///
    /// Returns the reply for this call and for all that wait for its response. The caller may use
    /// the key again for a new call. `None` once the witness was asked; see [`Self::abandon`].
    pub fn refuse(&mut self, sequence: Sequence) -> Option<IssuerReply> {
        let i = self.find(sequence).ok()?;
        let record = &mut self.records[i];
        if record.state != KeyState::Waiting {
            return None;
        }
        if record.attempts.len() >= MAX_CALLS_PER_KEY {
            // A call that was not recorded could arrive again after its refusal and run.
            let reason = self.abandon_at(i, NotRun::Full);
            return Some(IssuerReply::Outcome(KeyOutcome::NotRun(reason)));
        }
        record.state = KeyState::Refused;
        Some(IssuerReply::Refused)
    }

    /// Requests permission to dispatch a queued call to `upstream`; asked once for each key.
    pub fn request_permission(
        &mut self,
        now: Instant,
        sequence: Sequence,
        upstream: &UpstreamId,
    ) -> Permission {
        let Ok(i) = self.find(sequence) else {
            return Permission::NotRun(NotRun::Expired);
        };
        if let Err(reason) = self.check_time_limits(now, i) {
            return Permission::NotRun(self.abandon_at(i, reason));
        }
        let record = &mut self.records[i];
        let upstream = Arc::clone(upstream);
        match (&record.state, &record.key.witness) {
            (KeyState::Waiting, None) => {
                record.state = KeyState::Permitted { upstream };
                Permission::Granted
            }
            (KeyState::Waiting, Some(witness)) => {
                let permission = Permission::AskWitness {
                    to: Arc::clone(&witness.instance),
                    message: WitnessRequest::Permit {
                        key: record.key.id(),
                        witness: witness.incarnation,
                        upstream: Arc::clone(&upstream),
                    },
                };
                record.state = KeyState::Asking { upstream };
                permission
            }
            // Already asked: the replies to two requests could not be told apart.
            _ => Permission::NotRun(self.abandon_at(i, NotRun::NoWitness)),
        }
    }

    /// Handles the reply of the witness; `None` if it is unreachable or did not reply in time.
    ///
    /// # Errors
    /// Why the call will not run. A reply that arrives after that is ignored.
    pub fn on_witness_reply(
        &mut self,
        sequence: Sequence,
        reply: Option<&WitnessReply>,
    ) -> Result<(), NotRun> {
        let i = self.find(sequence).map_err(|_| NotRun::Expired)?;
        let record = &mut self.records[i];
        let KeyState::Asking { upstream } = &record.state else {
            return match &record.state {
                KeyState::Done(KeyOutcome::NotRun(reason)) => Err(*reason),
                _ => Ok(()),
            };
        };
        match reply {
            Some(WitnessReply::Permitted) => {
                let upstream = Arc::clone(upstream);
                record.state = KeyState::Permitted { upstream };
                Ok(())
            }
            Some(WitnessReply::Closed) => Err(self.abandon_at(i, NotRun::Closed)),
            _ => Err(self.abandon_at(i, NotRun::NoWitness)),
        }
    }

    /// Claims the right to send the first byte; called right before it is sent. Succeeds once.
    ///
    /// Deadline and expiry are checked again because the process may have been paused since it got
    /// the permission: a booking must not be made minutes after its caller gave up.
    ///
    /// # Errors
    /// Why the call will not run.
    pub fn dispatch(&mut self, now: Instant, sequence: Sequence) -> Result<UpstreamId, NotRun> {
        let i = self.find(sequence).map_err(|_| NotRun::Expired)?;
        match self.records[i].state.clone() {
            KeyState::Permitted { upstream } => {
                if let Err(reason) = self.check_time_limits(now, i) {
                    return Err(self.abandon_at(i, reason));
                }
                self.records[i].state = KeyState::Running {
                    upstream: Arc::clone(&upstream),
                };
                Ok(upstream)
            }
            KeyState::Done(KeyOutcome::NotRun(reason)) => Err(reason),
            // The first byte was sent before, or the call has no permission.
            _ => Err(NotRun::NoWitness),
        }
    }

    /// Records how a dispatched call ended; `None` if the connection broke and the result is
    /// unknown.
    pub fn finish(
        &mut self,
        sequence: Sequence,
        response: Option<StoredResponse>,
    ) -> Option<KeyOutcome> {
        let i = self.find(sequence).ok()?;
        let KeyState::Running { upstream } = &self.records[i].state else {
            return None;
        };
        let upstream = Arc::clone(upstream);
        let outcome = match response {
            None => KeyOutcome::Unknown {
                upstream: Some(upstream),
            },
            Some(response) => KeyOutcome::Ran {
                upstream,
                answer: Some(response),
            },
        };
        self.records[i].state = KeyState::Done(outcome.clone());
        self.limit_stored_responses(i);
        Some(outcome)
    }

    /// Records that no byte of a dispatched call was sent, as the connection could not be opened.
    ///
    /// The key ends here: the witness has permitted it for this upstream and permits no other.
    pub fn on_not_sent(&mut self, sequence: Sequence) -> Option<KeyOutcome> {
        let i = self.find(sequence).ok()?;
        let running = matches!(self.records[i].state, KeyState::Running { .. });
        running.then(|| KeyOutcome::NotRun(self.abandon_at(i, NotRun::NotSent)))
    }

    /// Ends a key that was not dispatched, which then never runs. Returns the outcome of a key that
    /// ended already, and `None` for one that is running.
    pub fn abandon(&mut self, sequence: Sequence, reason: NotRun) -> Option<KeyOutcome> {
        let i = self.find(sequence).ok()?;
        match &self.records[i].state {
            KeyState::Running { .. } => None,
            KeyState::Done(outcome) => Some(outcome.clone()),
            _ => Some(KeyOutcome::NotRun(self.abandon_at(i, reason))),
        }
    }

    /// Drops records that are older than [`RECORD_RETENTION`], except those of running calls.
    pub fn expire(&mut self, now: Instant) {
        let incarnation_age = self.incarnation_age(now);
        let mut freed = 0;
        self.records.retain(|r| {
            let age = incarnation_age.saturating_sub(r.key.issued());
            let running = matches!(r.state, KeyState::Running { .. });
            let keep = age < RECORD_RETENTION || running;
            freed += if keep { 0 } else { r.state.response_len() };
            keep
        });
        self.response_bytes -= freed;
        self.adopted
            .retain(|a| now.duration_since(a.adopted_at) < RECORD_RETENTION);
    }

    /// The incarnation that issued the keys.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Progress of a key; `None` if it was not used or its record was dropped.
    pub fn phase(&self, sequence: Sequence) -> Option<KeyPhase> {
        let i = self.find(sequence).ok()?;
        Some(match self.records[i].state {
            KeyState::Waiting => KeyPhase::Waiting,
            KeyState::Refused => KeyPhase::Refused,
            KeyState::Asking { .. } => KeyPhase::Asking,
            KeyState::Permitted { .. } => KeyPhase::Permitted,
            KeyState::Running { .. } => KeyPhase::Running,
            KeyState::Done(_) => KeyPhase::Done,
        })
    }

    /// Number of records, for the state dump.
    pub fn len(&self) -> usize {
        self.records.len() + self.adopted.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes all records for a handover and ends the keys that have not ended.
    pub(super) fn remove_all(&mut self) -> Vec<EndedKey> {
        for i in 0..self.records.len() {
            match &self.records[i].state {
                KeyState::Done(_) => {}
                KeyState::Running { upstream } => {
                    let upstream = Some(Arc::clone(upstream));
                    self.records[i].state = KeyState::Done(KeyOutcome::Unknown { upstream });
                }
                _ => {
                    self.abandon_at(i, NotRun::Leaving);
                }
            }
        }
        self.response_bytes = 0;
        std::mem::take(&mut self.records)
            .into_iter()
            .filter_map(|r| match r.state {
                KeyState::Done(outcome) => Some(EndedKey {
                    key: r.key,
                    outcome,
                }),
                _ => None,
            })
            .collect()
    }

    fn find(&self, sequence: Sequence) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&sequence, |record| record.key.sequence)
    }

    fn key_age(&self, now: Instant, key: &Key) -> Duration {
        self.incarnation_age(now).saturating_sub(key.issued())
    }

    fn has_capacity(&self, organisation: &str) -> bool {
        let records = self.records.iter();
        let own = records.filter(|r| *r.key.organisation == *organisation);
        self.records.len() < MAX_RECORDS && own.count() < MAX_RECORDS_PER_ORGANISATION
    }

    fn check_time_limits(&self, now: Instant, i: usize) -> Result<(), NotRun> {
        let record = &self.records[i];
        if now >= record.deadline {
            Err(NotRun::Late)
        } else if self.key_age(now, &record.key) >= KEY_LIFETIME {
            Err(NotRun::Expired)
        } else {
            Ok(())
        }
    }

    fn abandon_at(&mut self, i: usize, reason: NotRun) -> NotRun {
        self.records[i].state = KeyState::Done(KeyOutcome::NotRun(reason));
        reason
    }

    /// Enforces the limits on the size of one stored response body and of all together, dropping
    /// the oldest bodies first.
    fn limit_stored_responses(&mut self, i: usize) {
        if self.records[i].state.response_len() > MAX_RESPONSE_BYTES {
            self.records[i].state.drop_response();
        }
        self.response_bytes += self.records[i].state.response_len();
        for record in &mut self.records {
            if self.response_bytes <= MAX_TOTAL_RESPONSE_BYTES {
                break;
            }
            self.response_bytes -= record.state.response_len();
            record.state.drop_response();
        }
    }
}

/// A key and its final outcome, removed from the issuer for a handover.
#[derive(Debug)]
pub(super) struct EndedKey {
    pub(super) key: Key,
    pub(super) outcome: KeyOutcome,
}

impl KeyState {
    fn response_len(&self) -> usize {
        match self {
            Self::Done(KeyOutcome::Ran {
                answer: Some(answer),
                ..
            }) => answer.body.len(),
            _ => 0,
        }
    }

    fn drop_response(&mut self) {
        if let Self::Done(KeyOutcome::Ran { answer, .. }) = self {
            *answer = None;
        }
    }
}
