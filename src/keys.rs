//! The keys service: issuer and witness of idempotency keys at one instance.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use kingcupfield_decisions::id::{Incarnation, InstanceId, OrganisationId, UpstreamId};
use kingcupfield_decisions::idempotency::{
    CallAttempt, DispatchRights, EndedKeyRecord, IssuerReply, IssuerSuccessor, Key, KeyError,
    KeyId, KeyIssuer, KeyOutcome, KeyPhase, KeysHandover, MAX_HANDOVERS, NotRun, Permission,
    Secret, StoredResponse, UseDecision, Witness, WitnessHandover, WitnessId, WitnessReply,
    WitnessRequest, WitnessSuccessor,
};
use serde_json::{Value, json};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::calls::KeyReply;
use crate::members::View;

/// Name of the service in the kernel.
pub const KEYS: &str = "keys";

/// How often what may be forgotten is forgotten.
const EXPIRE_EVERY: Duration = Duration::from_secs(10);

/// What became of a call under way; `None` until it ended.
pub type Ended = watch::Receiver<Option<KeyReply>>;

#[derive(Debug)]
struct UnderWay {
    key: KeyId,
    ended: Ended,
}

/// Why keys were not issued or taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeysError {
    /// The instance has given its own up and is about to end.
    #[error("this instance has given up its keys")]
    GivenUp,
    /// The key can't be written.
    #[error(transparent)]
    Key(#[from] KeyError),
}

/// Whether first uses of keys still run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Door {
    Open,
    /// First uses wait; what was let in before still runs.
    Closing,
    /// First uses wait until the keys have arrived at the successor; nothing runs here any more.
    GivenUp,
    /// First uses are told where the keys are, or that they did not run.
    Shut,
}

#[derive(Debug)]
struct State {
    me: InstanceId,
    door: watch::Sender<Door>,
    issuer: KeyIssuer,
    witness: Witness,
    heirs: Vec<IssuerSuccessor>,
    witness_heirs: Vec<WitnessSuccessor>,
    under_way: Vec<UnderWay>,
}

/// Everything that a leaver leaves to its successor.
#[derive(Debug)]
pub struct Legacy {
    /// Keys, its own and those that were left to it.
    pub inheritances: Vec<KeysHandover>,
    /// What it knew as a witness, and what witnesses left to it.
    pub witnesses: Vec<WitnessHandover>,
}

/// What a call with a key meets here.
#[derive(Debug)]
pub enum Met {
    /// It is the first: run it and tell the end through the sender.
    First(watch::Sender<Option<KeyReply>>, Ended),
    /// The same call is under way.
    Join(Ended),
    /// It would be the first, and this instance is about to leave: use the key again after that.
    Held(Left),
    /// Answer at once.
    Answer(IssuerReply),
}

/// Tells when the keys of an instance that leaves are where they will be.
#[derive(Debug)]
pub struct Left(watch::Receiver<Door>);

impl Left {
    /// Waits until the instance has handed its keys over, or given them up.
    pub async fn left(mut self) {
        // An error means that the service is gone, and no key is left with it either.
        self.0.wait_for(|door| *door == Door::Shut).await.ok();
    }
}

/// Handle of the service; clones share it.
#[derive(Debug, Clone)]
pub struct Keys {
    me: InstanceId,
    secret: Secret,
    state: Arc<Mutex<State>>,
}

impl Keys {
    /// Makes the service of this life of an instance.
    pub fn new(me: InstanceId, incarnation: Incarnation, secret: Secret, now: Instant) -> Self {
        let state = State {
            me: me.clone(),
            door: watch::Sender::new(Door::Open),
            issuer: KeyIssuer::new(me.clone(), incarnation, now),
            witness: Witness::new(incarnation),
            heirs: Vec::new(),
            witness_heirs: Vec::new(),
            under_way: Vec::new(),
        };
        Self {
            me,
            secret,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Issues a key with a witness among the live instances of `zone`, or of another zone if this
    /// instance is alone there: a cut-off instance still issues keys.
    pub fn issue(
        &self,
        organisation: &OrganisationId,
        zone: &str,
        view: &View,
    ) -> Result<String, KeysError> {
        let mut state = self.lock();
        state.check_kept()?;
        let near = state.issuer.next_witness(view.live(zone));
        let far = || {
            view.live
                .iter()
                .find_map(|z| state.issuer.next_witness(&z.instances))
        };
        let witness = near.or_else(far).and_then(|instance| {
            let incarnation = view.incarnation(instance)?;
            Some(WitnessId {
                instance: instance.clone(),
                incarnation,
            })
        });
        let key = state
            .issuer
            .issue(Instant::now(), organisation.clone(), witness);
        Ok(key.encode(&self.secret)?)
    }

    /// Reads the text of a key that `organisation` sent.
    pub fn decode(&self, text: &str, organisation: &str) -> Result<Key, KeyError> {
        Key::decode(text, &self.secret, organisation)
    }

    /// Takes a call whose key was checked.
    pub fn on_use(&self, key: &Key, call: CallAttempt) -> Met {
        let now = Instant::now();
        let mut state = self.lock();
        let waits = matches!(state.door(), Door::Closing | Door::GivenUp);
        if waits && state.is_first_use(key) {
            return Met::Held(Left(state.door.subscribe()));
        }
        let used = match state.heirs.iter_mut().find(|heir| heir.covers(key)) {
            // What ended before the leaver left is known from its records.
            Some(heir) => match heir.on_use(now, key, call.clone()) {
                UseDecision::Answer(IssuerReply::NotHere) => state.issuer.on_use(now, key, call),
                used => used,
            },
            None => state.issuer.on_use(now, key, call),
        };
        let id = key.id();
        match used {
            UseDecision::Answer(answer) => Met::Answer(answer),
            UseDecision::Join => match state.under_way.iter().find(|u| u.key == id) {
                Some(under_way) => Met::Join(under_way.ended.clone()),
                None => Met::Answer(IssuerReply::Outcome(KeyOutcome::Unknown { upstream: None })),
            },
            // Nobody took the keys over, and the process is about to end.
            UseDecision::First if state.door() == Door::Shut => {
                let outcome = state.give_up(&id, NotRun::Leaving);
                let outcome = outcome.unwrap_or(KeyOutcome::NotRun(NotRun::Leaving));
                Met::Answer(IssuerReply::Outcome(outcome))
            }
            UseDecision::First => {
                let (tx, ended) = watch::channel(None);
                state.under_way.push(UnderWay {
                    key: id,
                    ended: ended.clone(),
                });
                Met::First(tx, ended)
            }
        }
    }

    /// Asks for the right to dispatch to `upstream`.
    pub fn ask(&self, key: &KeyId, upstream: &UpstreamId) -> Permission {
        match self.lock().machine(key) {
            Some(issuer) => issuer.request_permission(Instant::now(), key.sequence, upstream),
            None => Permission::NotRun(NotRun::Leaving),
        }
    }

    /// Takes the witness's answer, `None` if none came.
    pub fn on_answer(&self, key: &KeyId, answer: Option<&WitnessReply>) -> Result<(), NotRun> {
        let mut state = self.lock();
        let issuer = state.machine(key).ok_or(NotRun::Leaving)?;
        issuer.on_witness_reply(key.sequence, answer)
    }

    /// Takes the right to send the first byte now.
    pub fn dispatch(&self, key: &KeyId) -> Result<UpstreamId, NotRun> {
        let mut state = self.lock();
        let issuer = state.machine(key).ok_or(NotRun::Leaving)?;
        issuer.dispatch(Instant::now(), key.sequence)
    }

    /// Notes how a dispatched call ended; `None` when nobody knows.
    pub fn finish(&self, key: &KeyId, answer: Option<StoredResponse>) -> Option<KeyOutcome> {
        let mut state = self.lock();
        state.end(key);
        state.machine(key)?.finish(key.sequence, answer)
    }

    /// Notes that not one byte of a dispatched call went out.
    pub fn not_sent(&self, key: &KeyId) -> Option<KeyOutcome> {
        let mut state = self.lock();
        state.end(key);
        state.machine(key)?.on_not_sent(key.sequence)
    }

    /// Gives up a call that was not dispatched.
    pub fn give_up(&self, key: &KeyId, why: NotRun) -> Option<KeyOutcome> {
        let mut state = self.lock();
        state.end(key);
        state.give_up(key, why)
    }

    /// Ends a first use for which nobody was asked; tells what to answer to it.
    pub fn refuse(&self, key: &KeyId) -> Option<IssuerReply> {
        let mut state = self.lock();
        state.end(key);
        state.machine(key)?.refuse(key.sequence)
    }

    /// Answers as the witness `witness`, which is this instance or one whose memory it took over.
    pub fn on_witness(&self, witness: &InstanceId, message: &WitnessRequest) -> WitnessReply {
        let now = Instant::now();
        let mut state = self.lock();
        if *witness == self.me {
            let answer = state.witness.on_message(now, message);
            if answer != WitnessReply::Lost {
                return answer;
            }
        }
        // A former life under this name may have left its memory here too.
        let heirs = state
            .witness_heirs
            .iter_mut()
            .filter(|heir| heir.replaces(witness));
        let mut answers = heirs.map(|heir| heir.on_message(now, message));
        answers
            .find(|answer| *answer != WitnessReply::Lost)
            .unwrap_or(WitnessReply::Lost)
    }

    /// What became of a key, if this instance knows.
    pub fn look_up(&self, key: &KeyId) -> IssuerReply {
        match self.lock().issuer.adopted_outcome(Instant::now(), key) {
            Some(outcome) => IssuerReply::Outcome(outcome),
            None => IssuerReply::NotHere,
        }
    }

    /// Takes the records of a leaver.
    pub fn adopt(&self, records: &[EndedKeyRecord]) -> Result<(), KeysError> {
        let mut state = self.lock();
        state.check_kept()?;
        state.issuer.adopt(Instant::now(), records);
        Ok(())
    }

    /// Takes the unused keys of a leaver.
    pub fn inherit(&self, estate: DispatchRights) -> Result<(), KeysError> {
        let now = Instant::now();
        let mut state = self.lock();
        state.check_kept()?;
        state.heirs.retain(|heir| !heir.is_expired(now));
        let held = state
            .heirs
            .iter()
            .any(|heir| heir.is_same_handover(&estate));
        if !held && state.heirs.len() < MAX_HANDOVERS {
            state.heirs.push(IssuerSuccessor::new(estate, now));
        }
        Ok(())
    }

    /// Takes the memory of a witness that left.
    pub fn inherit_witness(&self, estate: WitnessHandover) -> Result<(), KeysError> {
        let now = Instant::now();
        let mut state = self.lock();
        state.check_kept()?;
        state.witness_heirs.retain(|heir| !heir.is_expired(now));
        let held = state
            .witness_heirs
            .iter()
            .any(|heir| heir.is_same_handover(&estate));
        if !held && state.witness_heirs.len() < MAX_HANDOVERS {
            state.witness_heirs.push(WitnessSuccessor::new(estate, now));
        }
        Ok(())
    }

    /// Calls under way here.
    pub fn under_way(&self) -> usize {
        self.lock().under_way.len()
    }

    /// Lets no further first use in: from now on the number of calls under way only falls.
    pub fn close(&self) {
        self.lock().door.send_replace(Door::Closing);
    }

    /// Tells what waits where the keys are, or that it did not run when nobody took them over;
    /// from now on this instance dispatches nothing.
    pub fn shut(&self) {
        self.lock().door.send_replace(Door::Shut);
    }

    /// Gives everything up for `successor`; from now on this instance dispatches and permits
    /// nothing, whether or not what is returned arrives. [`Self::shut`] follows.
    pub fn leave(&self, successor: &InstanceId) -> Legacy {
        let now = Instant::now();
        let mut state = self.lock();
        state.door.send_replace(Door::GivenUp);
        let own = KeysHandover {
            rights: state.issuer.hand_over_rights(now, successor),
            ended: state.issuer.hand_over_ended(successor),
        };
        let mut inheritances = vec![own];
        inheritances.extend(
            state
                .heirs
                .iter_mut()
                .map(|heir| heir.hand_over(now, successor)),
        );
        state.heirs.clear();
        let memory = state.witness.hand_over(now);
        let mut witnesses = vec![WitnessHandover {
            instance: self.me.clone(),
            memory,
        }];
        witnesses.extend(
            state
                .witness_heirs
                .iter_mut()
                .map(|heir| heir.hand_over(now)),
        );
        state.witness_heirs.clear();
        Legacy {
            inheritances,
            witnesses,
        }
    }

    /// Task of the service: forgets what may be forgotten.
    pub async fn run(self) {
        let mut ticks = interval(EXPIRE_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.lock().issuer.expire(Instant::now());
        }
    }

    /// State for the dump.
    pub fn dump(&self) -> Value {
        let state = self.lock();
        json!({
            "keys": state.issuer.len(),
            "witnessed": state.witness.len(),
            "under_way": state.under_way.len(),
            "estates": state.heirs.len(),
            "witness_estates": state.witness_heirs.len(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the keys panics")
    }
}

impl State {
    fn door(&self) -> Door {
        *self.door.borrow()
    }

    /// Refuses what would be lost with the process, as whoever sends it keeps no copy.
    fn check_kept(&self) -> Result<(), KeysError> {
        match self.door() {
            Door::Open | Door::Closing => Ok(()),
            Door::GivenUp | Door::Shut => Err(KeysError::GivenUp),
        }
    }

    /// Whether a call with `key` would be queued here.
    fn is_first_use(&mut self, key: &Key) -> bool {
        let issuer = self.machine(&key.id());
        issuer.is_some_and(|issuer| {
            let phase = issuer.phase(key.sequence);
            matches!(phase, None | Some(KeyPhase::Refused))
        })
    }

    fn give_up(&mut self, key: &KeyId, why: NotRun) -> Option<KeyOutcome> {
        self.machine(key)?.abandon(key.sequence, why)
    }

    fn end(&mut self, key: &KeyId) {
        self.under_way.retain(|u| u.key != *key);
    }

    /// The machine that alone may dispatch `key` here.
    fn machine(&mut self, key: &KeyId) -> Option<&mut KeyIssuer> {
        if key.issuer == self.me && key.incarnation == self.issuer.incarnation() {
            return Some(&mut self.issuer);
        }
        let heir = self.heirs.iter_mut().find(|heir| heir.covers_id(key));
        heir.map(IssuerSuccessor::issuer)
    }
}
