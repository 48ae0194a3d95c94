//! The issuer's memory: the only place from which a key may be dispatched.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{Incarnation, InstanceId, OrganisationId, RequestId, Sequence, UpstreamId};

use super::answer::MAX_ANSWER;
use super::handover::Adopted;
use super::{
    DispatchRights, IssuerReply, KEY_LIFETIME, Key, KeyOutcome, MAX_RECORDS,
    MAX_RECORDS_PER_ORGANISATION, NotRun, RECORD_RETENTION, StoredResponse, WitnessId,
    WitnessReply, WitnessRequest,
};

/// Most bytes of answers kept for replay; the oldest make room.
pub const MAX_ANSWERS: usize = 4 * 1024 * 1024;

/// Most calls of one key that are told apart before its first byte; with more, a refusal ends
/// the key for good.
pub const MAX_CALLS_PER_KEY: usize = 16;

/// A call that arrived with a key, at the key's issuer.
#[derive(Debug, Clone)]
pub struct CallAttempt {
    /// The request, as the receiving instance numbered it. A message that carries a refused call
    /// again is told from the caller's next try by it.
    pub id: RequestId,
    /// Hash over method, path and body, so that one key can't carry two calls.
    pub hash: u64,
    /// The caller's deadline.
    pub deadline: Instant,
}

/// What a call with a key meets at its issuer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UseDecision {
    /// It is the first: queue it, then [`KeyIssuer::request_permission`], [`KeyIssuer::dispatch`], [`KeyIssuer::finish`]; or
    /// [`KeyIssuer::refuse`] it.
    First,
    /// The same call is under way; give this caller its answer when it ends.
    Join,
    /// Answer at once.
    Answer(IssuerReply),
}

/// What a first use needs before it may be dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permission {
    /// Send this to the witness and pass its answer to [`KeyIssuer::on_witness_reply`].
    AskWitness {
        /// The witness.
        to: InstanceId,
        /// The message.
        message: WitnessRequest,
    },
    /// The key names no witness.
    Granted,
    /// It will not run.
    NotRun(NotRun),
}

/// How far a key has come at its issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyPhase {
    /// Its call is queued.
    Waiting,
    /// Its calls so far were refused.
    Refused,
    /// The witness was asked.
    Asking,
    /// It may be dispatched.
    Permitted,
    /// It was dispatched.
    Running,
    /// It ended.
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum State {
    /// Queued; nobody was asked yet.
    Waiting,
    /// Every call so far was refused before anybody was asked; the next one may try.
    Refused,
    /// The witness was asked.
    Asking { upstream: UpstreamId },
    /// The first byte may go out until the deadline.
    Permitted { upstream: UpstreamId },
    /// The first byte went out.
    Running { upstream: UpstreamId },
    /// It ended.
    Done(KeyOutcome),
}

#[derive(Debug, Clone, Hash)]
struct Record {
    key: Key,
    hash: u64,
    /// Deadline of the call that is queued.
    deadline: Instant,
    /// Calls that were told, or will be told, the same as the queued one.
    calls: Vec<RequestId>,
    state: State,
}

/// What one life of an instance knows of the keys that it issued, and what leavers left to it.
#[derive(Debug, Clone, Hash)]
pub struct KeyIssuer {
    me: InstanceId,
    incarnation: Incarnation,
    started: Instant,
    next: Sequence,
    records: Vec<Record>,
    answer_bytes: usize,
    pub(super) adopted: Vec<Adopted>,
    pub(super) successor: Option<InstanceId>,
    /// Age of the life when it was inherited; zero for a life of one's own.
    inherited_age: Duration,
}

impl KeyIssuer {
    /// Makes the memory of a life that begins now.
    pub fn new(me: InstanceId, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            me,
            incarnation,
            started: now,
            next: 0,
            records: Vec::new(),
            answer_bytes: 0,
            adopted: Vec::new(),
            successor: None,
            inherited_age: Duration::ZERO,
        }
    }

    /// Continues a life of `age` that began elsewhere, for an heir.
    pub fn with_age(mut self, age: Duration) -> Self {
        self.inherited_age = age;
        self
    }

    /// Gives up the right to dispatch for `successor` and tells what it may dispatch.
    ///
    /// From now on nothing is dispatched here, whether or not the estate arrives.
    pub fn hand_over_rights(&mut self, now: Instant, successor: &InstanceId) -> DispatchRights {
        self.successor = Some(Arc::clone(successor));
        DispatchRights {
            issuer: Arc::clone(&self.me),
            incarnation: self.incarnation,
            age: self.life(now),
            used: self.records.iter().map(|r| r.key.sequence).collect(),
        }
    }

    /// Age of this life.
    fn life(&self, now: Instant) -> Duration {
        now.duration_since(self.started) + self.inherited_age
    }

    /// Issues a key; nothing is remembered of it until its first use.
    pub fn issue(
        &mut self,
        now: Instant,
        organisation: OrganisationId,
        witness: Option<WitnessId>,
    ) -> Key {
        self.next += 1;
        Key {
            issuer: Arc::clone(&self.me),
            incarnation: self.incarnation,
            witness,
            organisation,
            sequence: self.next,
            issued_ms: now.duration_since(self.started).as_millis() as u64,
        }
    }

    /// The witness for the next key: the other live instances in turn, so that each carries its
    /// part and the loss of one touches few keys. None if this instance is alone.
    pub fn next_witness<'a>(&self, live: &'a [InstanceId]) -> Option<&'a InstanceId> {
        let others = live.iter().filter(|id| **id != self.me).collect::<Vec<_>>();
        let turn = self.next as usize % others.len().max(1);
        others.get(turn).copied()
    }

    /// Takes a call whose key was checked, here or at the instance where it came in.
    pub fn on_use(&mut self, now: Instant, key: &Key, call: CallAttempt) -> UseDecision {
        if key.issuer != self.me || key.incarnation != self.incarnation {
            let outcome = self.adopted_outcome(now, &key.id());
            return UseDecision::Answer(outcome.map_or(IssuerReply::NotHere, IssuerReply::Outcome));
        }
        if let Some(successor) = &self.successor {
            let successor = Arc::clone(successor);
            return UseDecision::Answer(IssuerReply::Moved { successor });
        }
        self.expire(now);
        match self.find(key.sequence) {
            Ok(i) => self.later_use(i, now, call),
            Err(i) => self.first_use(i, now, key, call),
        }
    }

    fn later_use(&mut self, i: usize, now: Instant, call: CallAttempt) -> UseDecision {
        let record = &mut self.records[i];
        if record.hash != call.hash {
            let outcome = KeyOutcome::NotRun(NotRun::Mismatch);
            return UseDecision::Answer(IssuerReply::Outcome(outcome));
        }
        match &record.state {
            State::Done(outcome) => UseDecision::Answer(IssuerReply::Outcome(outcome.clone())),
            // The refusal was, or will be, told as "not run": this very call must not run.
            State::Refused if record.calls.contains(&call.id) => {
                UseDecision::Answer(IssuerReply::Refused)
            }
            State::Refused if call.deadline <= now => {
                let outcome = KeyOutcome::NotRun(NotRun::Late);
                UseDecision::Answer(IssuerReply::Outcome(outcome))
            }
            State::Refused => {
                record.state = State::Waiting;
                record.deadline = call.deadline;
                record.calls.push(call.id);
                UseDecision::First
            }
            _ => {
                if record.calls.len() < MAX_CALLS_PER_KEY && !record.calls.contains(&call.id) {
                    record.calls.push(call.id);
                }
                UseDecision::Join
            }
        }
    }

    fn first_use(&mut self, i: usize, now: Instant, key: &Key, call: CallAttempt) -> UseDecision {
        let age = self.age(now, key);
        let not_run = if age >= RECORD_RETENTION {
            // A record may have stood here and been forgotten.
            let outcome = KeyOutcome::Unknown { upstream: None };
            return UseDecision::Answer(IssuerReply::Outcome(outcome));
        } else if age >= KEY_LIFETIME {
            Some(NotRun::Expired)
        } else if call.deadline <= now {
            Some(NotRun::Late)
        } else if !self.has_room(&key.organisation) {
            Some(NotRun::Full)
        } else {
            None
        };
        if let Some(why) = not_run {
            return UseDecision::Answer(IssuerReply::Outcome(KeyOutcome::NotRun(why)));
        }
        let record = Record {
            key: key.clone(),
            hash: call.hash,
            deadline: call.deadline,
            calls: vec![call.id],
            state: State::Waiting,
        };
        self.records.insert(i, record);
        UseDecision::First
    }

    /// Ends a first use that was not dispatched and for which nobody was asked, such as a shed
    /// one; tells what to answer to it and to all that joined it. The caller may use the key again
    /// for a new call. None once somebody was asked; see [`Self::abandon`].
    pub fn refuse(&mut self, sequence: Sequence) -> Option<IssuerReply> {
        let i = self.find(sequence).ok()?;
        let record = &mut self.records[i];
        if record.state != State::Waiting {
            return None;
        }
        if record.calls.len() >= MAX_CALLS_PER_KEY {
            // A call that was not noted could come again after its refusal and run.
            let why = self.give_up_at(i, NotRun::Full);
            return Some(IssuerReply::Outcome(KeyOutcome::NotRun(why)));
        }
        record.state = State::Refused;
        Some(IssuerReply::Refused)
    }

    /// Asks for the right to dispatch to this upstream; once for each key.
    pub fn request_permission(
        &mut self,
        now: Instant,
        sequence: Sequence,
        upstream: &UpstreamId,
    ) -> Permission {
        let Ok(i) = self.find(sequence) else {
            return Permission::NotRun(NotRun::Expired);
        };
        if let Err(why) = self.in_time(now, i) {
            return Permission::NotRun(self.give_up_at(i, why));
        }
        let record = &mut self.records[i];
        let upstream = Arc::clone(upstream);
        match (&record.state, &record.key.witness) {
            (State::Waiting, None) => {
                record.state = State::Permitted { upstream };
                Permission::Granted
            }
            (State::Waiting, Some(witness)) => {
                let ask = Permission::AskWitness {
                    to: Arc::clone(&witness.instance),
                    message: WitnessRequest::Permit {
                        key: record.key.id(),
                        witness: witness.incarnation,
                        upstream: Arc::clone(&upstream),
                    },
                };
                record.state = State::Asking { upstream };
                ask
            }
            // Asked before: a second permission could never be told from the first.
            _ => Permission::NotRun(self.give_up_at(i, NotRun::NoWitness)),
        }
    }

    /// Takes the witness's answer; none if it could not be reached or has not answered in time.
    ///
    /// # Errors
    /// Why the call will not run. An answer that comes after that changes nothing.
    pub fn on_witness_reply(
        &mut self,
        sequence: Sequence,
        answer: Option<&WitnessReply>,
    ) -> Result<(), NotRun> {
        let i = self.find(sequence).map_err(|_| NotRun::Expired)?;
        let record = &mut self.records[i];
        let State::Asking { upstream } = &record.state else {
            return match &record.state {
                State::Done(KeyOutcome::NotRun(why)) => Err(*why),
                _ => Ok(()),
            };
        };
        match answer {
            Some(WitnessReply::Permitted) => {
                let upstream = Arc::clone(upstream);
                record.state = State::Permitted { upstream };
                Ok(())
            }
            Some(WitnessReply::Closed) => Err(self.give_up_at(i, NotRun::Closed)),
            _ => Err(self.give_up_at(i, NotRun::NoWitness)),
        }
    }

    /// Takes the right to send the first byte now; call it right before. It is given once.
    ///
    /// The process may have been paused since the permission came, so deadline and expiry are
    /// checked here again: a booking must not happen minutes after its foreman gave up.
    ///
    /// # Errors
    /// Why the call will not run.
    pub fn dispatch(&mut self, now: Instant, sequence: Sequence) -> Result<UpstreamId, NotRun> {
        let i = self.find(sequence).map_err(|_| NotRun::Expired)?;
        match self.records[i].state.clone() {
            State::Permitted { upstream } => {
                if let Err(why) = self.in_time(now, i) {
                    return Err(self.give_up_at(i, why));
                }
                self.records[i].state = State::Running {
                    upstream: Arc::clone(&upstream),
                };
                Ok(upstream)
            }
            State::Done(KeyOutcome::NotRun(why)) => Err(why),
            // Never: the first byte went out before, or nobody allowed it.
            _ => Err(NotRun::NoWitness),
        }
    }

    /// Notes how a dispatched call ended, or that it broke and nobody knows.
    pub fn finish(
        &mut self,
        sequence: Sequence,
        answer: Option<StoredResponse>,
    ) -> Option<KeyOutcome> {
        let i = self.find(sequence).ok()?;
        let State::Running { upstream } = &self.records[i].state else {
            return None;
        };
        let upstream = Arc::clone(upstream);
        let outcome = match answer {
            None => KeyOutcome::Unknown {
                upstream: Some(upstream),
            },
            Some(answer) => KeyOutcome::Ran {
                upstream,
                answer: Some(answer),
            },
        };
        self.records[i].state = State::Done(outcome.clone());
        self.keep_answer(i);
        Some(outcome)
    }

    /// Notes that not one byte of a dispatched call went out, as no connection could be made. The
    /// key is given up: the witness has named this upstream and permits no other.
    pub fn on_not_sent(&mut self, sequence: Sequence) -> Option<KeyOutcome> {
        let i = self.find(sequence).ok()?;
        let running = matches!(self.records[i].state, State::Running { .. });
        running.then(|| KeyOutcome::NotRun(self.give_up_at(i, NotRun::NotSent)))
    }

    /// Gives a key up that was not dispatched; it will never run. Does nothing to one that was.
    pub fn abandon(&mut self, sequence: Sequence, why: NotRun) -> Option<KeyOutcome> {
        let i = self.find(sequence).ok()?;
        match &self.records[i].state {
            State::Running { .. } => None,
            State::Done(outcome) => Some(outcome.clone()),
            _ => Some(KeyOutcome::NotRun(self.give_up_at(i, why))),
        }
    }

    /// Forgets what may be forgotten.
    pub fn expire(&mut self, now: Instant) {
        let life = self.life(now);
        let mut freed = 0;
        self.records.retain(|r| {
            let age = life.saturating_sub(r.key.issued());
            let running = matches!(r.state, State::Running { .. });
            let keep = age < RECORD_RETENTION || running;
            freed += if keep { 0 } else { r.state.answer_len() };
            keep
        });
        self.answer_bytes -= freed;
        self.adopted
            .retain(|a| now.duration_since(a.since) < RECORD_RETENTION);
    }

    /// The life of the instance that this memory belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// How far a key has come here; none if it was not used or its record is gone.
    pub fn phase(&self, sequence: Sequence) -> Option<KeyPhase> {
        let i = self.find(sequence).ok()?;
        Some(match self.records[i].state {
            State::Waiting => KeyPhase::Waiting,
            State::Refused => KeyPhase::Refused,
            State::Asking { .. } => KeyPhase::Asking,
            State::Permitted { .. } => KeyPhase::Permitted,
            State::Running { .. } => KeyPhase::Running,
            State::Done(_) => KeyPhase::Done,
        })
    }

    /// Number of keys remembered, for the dump.
    pub fn len(&self) -> usize {
        self.records.len() + self.adopted.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Empties the memory for a hand-over: what has not ended is given up here first.
    pub(super) fn take_ended(&mut self) -> Vec<Ended> {
        for i in 0..self.records.len() {
            match &self.records[i].state {
                State::Done(_) => {}
                State::Running { upstream } => {
                    let upstream = Some(Arc::clone(upstream));
                    self.records[i].state = State::Done(KeyOutcome::Unknown { upstream });
                }
                _ => {
                    self.give_up_at(i, NotRun::Leaving);
                }
            }
        }
        self.answer_bytes = 0;
        std::mem::take(&mut self.records)
            .into_iter()
            .filter_map(|r| match r.state {
                State::Done(outcome) => Some(Ended {
                    key: r.key,
                    outcome,
                }),
                _ => None,
            })
            .collect()
    }

    fn find(&self, sequence: Sequence) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&sequence, |r| r.key.sequence)
    }

    fn age(&self, now: Instant, key: &Key) -> Duration {
        self.life(now).saturating_sub(key.issued())
    }

    fn has_room(&self, organisation: &str) -> bool {
        let records = self.records.iter();
        let own = records.filter(|r| *r.key.organisation == *organisation);
        self.records.len() < MAX_RECORDS && own.count() < MAX_RECORDS_PER_ORGANISATION
    }

    fn in_time(&self, now: Instant, i: usize) -> Result<(), NotRun> {
        let record = &self.records[i];
        if now >= record.deadline {
            Err(NotRun::Late)
        } else if self.age(now, &record.key) >= KEY_LIFETIME {
            Err(NotRun::Expired)
        } else {
            Ok(())
        }
    }

    fn give_up_at(&mut self, i: usize, why: NotRun) -> NotRun {
        self.records[i].state = State::Done(KeyOutcome::NotRun(why));
        why
    }

    /// Counts a new answer and drops bodies, the oldest first, until all fit.
    fn keep_answer(&mut self, i: usize) {
        if self.records[i].state.answer_len() > MAX_ANSWER {
            self.records[i].state.drop_answer();
        }
        self.answer_bytes += self.records[i].state.answer_len();
        for record in &mut self.records {
            if self.answer_bytes <= MAX_ANSWERS {
                break;
            }
            self.answer_bytes -= record.state.answer_len();
            record.state.drop_answer();
        }
    }
}

/// A key that has ended, taken out for a hand-over.
#[derive(Debug)]
pub(super) struct Ended {
    pub(super) key: Key,
    pub(super) outcome: KeyOutcome,
}

impl State {
    fn answer_len(&self) -> usize {
        match self {
            Self::Done(KeyOutcome::Ran {
                answer: Some(answer),
                ..
            }) => answer.body.len(),
            _ => 0,
        }
    }

    fn drop_answer(&mut self) {
        if let Self::Done(KeyOutcome::Ran { answer, .. }) = self {
            *answer = None;
        }
    }
}
