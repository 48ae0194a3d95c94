//! One idempotency key: its issuer, its witness, a second instance and a caller that retries.
//!
//! The caller sends the same call up to three times, once at the issuer and twice at the second
//! instance, whenever it likes. The issuer may crash, restart as a new life, be paused, or leave
//! and hand over to the second instance; the witness may restart; any wait may end too early; one
//! message is delivered twice; the clock may pass deadline, expiry and the witness's memory.

use std::time::Duration;

use kingcupfield_decisions::idempotency::{
    CallAttempt, EndedKeyRecord, IssuerReply, KEY_LIFETIME, Key, KeyIssuer, KeyOutcome, KeyPhase,
    NotRun, Permission, RECORD_RETENTION, Receiver, ReceiverStep, StoredResponse, UseDecision,
    Witness, WitnessId, WitnessReply, WitnessRequest,
};
use tokio::time::Instant;

use crate::Model;
use crate::explore::hash_of;

use events::Told;
pub use events::{Action, Bounds, Packet, Variant};

mod events;

/// The caller's patience.
const DEADLINE: Duration = Duration::from_secs(10);

/// Times at which something changes by time alone: issue, after the deadline of a call sent at
/// once, after the key's expiry, after the witness forgot.
const TIMES: [Duration; 4] = [
    Duration::ZERO,
    DEADLINE,
    KEY_LIFETIME,
    RECORD_RETENTION
        .saturating_add(DEADLINE)
        .saturating_add(DEADLINE),
];

/// Most calls that the caller sends: the first at the issuer, the others at the second instance.
const CALLS: usize = 3;

/// The world of one key.
#[derive(Debug, Clone, Hash)]
pub struct KeyModel {
    variant: Variant,
    bounds: Bounds,
    start: Instant,
    time: usize,
    key: Key,
    issuer: Option<KeyIssuer>,
    restarted: bool,
    witness: Witness,
    witness_restarted: bool,
    /// The second instance's own memory, into which a leaver hands over.
    second: KeyIssuer,
    handed: Vec<EndedKeyRecord>,
    forward: Option<WitnessRequest>,
    receivers: [Option<Receiver>; CALLS],
    /// Calls that wait for an answer of the issuer.
    joined: Vec<usize>,
    told: [Told; CALLS],
    packets: Vec<Packet>,
    /// When the issuer took the call that it queued; the deadline counts from there.
    taken: usize,
    runs: usize,
    late: bool,
}

impl KeyModel {
    /// Makes the world in which the key was just issued.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        let start = Instant::now();
        let mut issuer = KeyIssuer::new("issuer".into(), 1, start);
        let witness = WitnessId {
            instance: "witness".into(),
            incarnation: 7,
        };
        let witness = (variant != Variant::HashedOwner).then_some(witness);
        let key = issuer.issue(start, "org".into(), witness);
        Self {
            variant,
            bounds,
            start,
            time: 0,
            key,
            issuer: Some(issuer),
            restarted: false,
            witness: Witness::new(7),
            witness_restarted: false,
            second: KeyIssuer::new("second".into(), 3, start),
            handed: Vec::new(),
            forward: None,
            receivers: [const { None }; CALLS],
            joined: Vec::new(),
            told: [const { Told::Nothing }; CALLS],
            packets: Vec::new(),
            taken: 0,
            runs: 0,
            late: false,
        }
    }

    fn now(&self) -> Instant {
        self.start + TIMES[self.time]
    }

    fn post(&mut self, packet: Packet) {
        let at = (self.packets).partition_point(|p| hash_of(p) < hash_of(&packet));
        self.packets.insert(at, packet);
    }

    fn send(&mut self, call: usize) {
        self.told[call] = Told::Waits;
        if call == 0 {
            self.post(Packet::Call { call });
            return;
        }
        let started = Receiver::start(self.key.clone(), None);
        self.receivers[call] = Some(started.receiver);
        self.step(call, started.step);
    }

    fn step(&mut self, call: usize, step: ReceiverStep) {
        match step {
            ReceiverStep::Forward { .. } => self.post(Packet::Call { call }),
            ReceiverStep::LookUp { .. } => {
                let known = self.second.adopted_outcome(self.now(), &self.key.id());
                let answer = known.map_or(IssuerReply::NotHere, IssuerReply::Outcome);
                self.answer(call, answer);
            }
            ReceiverStep::Close { .. } if self.variant == Variant::NoWitness => {
                self.tell(call, &KeyOutcome::NotRun(NotRun::Closed));
            }
            ReceiverStep::Close { .. } => self.post(Packet::Close { call }),
            ReceiverStep::Answer(outcome) => self.tell(call, &outcome),
            ReceiverStep::Refuse => self.told[call] = Told::Refused,
        }
    }

    fn answer(&mut self, call: usize, answer: IssuerReply) {
        if let Some(receiver) = &mut self.receivers[call] {
            if let Some(step) = receiver.on_issuer_reply(answer) {
                self.step(call, step);
            }
            return;
        }
        match answer {
            IssuerReply::Outcome(outcome) => self.tell(call, &outcome),
            IssuerReply::Refused => self.told[call] = Told::Refused,
            IssuerReply::Moved { .. } | IssuerReply::NotHere => self.told[call] = Told::Broken,
        }
    }

    fn tell(&mut self, call: usize, outcome: &KeyOutcome) {
        if self.told[call] != Told::Waits {
            return;
        }
        self.told[call] = match outcome {
            KeyOutcome::Ran { .. } => Told::Ran,
            KeyOutcome::Unknown { .. } => Told::Unknown,
            KeyOutcome::NotRun(NotRun::Late | NotRun::Full | NotRun::Mismatch) => Told::Refused,
            KeyOutcome::NotRun(_) => Told::NeverRuns,
        };
    }

    fn call_arrives(&mut self, call: usize) {
        let (now, key) = (self.now(), self.key.clone());
        let Some(issuer) = &mut self.issuer else {
            return;
        };
        let terms = CallAttempt {
            id: call.to_string().into(),
            hash: 1,
            deadline: now + DEADLINE,
        };
        match issuer.on_use(now, &key, terms) {
            UseDecision::First => {
                self.taken = self.time;
                self.joined.push(call);
            }
            UseDecision::Join => self.joined.push(call),
            UseDecision::Answer(answer) => self.post(Packet::Answer { call, answer }),
        }
    }

    /// Answers everybody who waits for the issuer.
    fn answer_joined(&mut self, answer: &IssuerReply) {
        for call in std::mem::take(&mut self.joined) {
            let answer = answer.clone();
            self.post(Packet::Answer { call, answer });
        }
    }

    fn not_run(&mut self, why: NotRun) {
        self.answer_joined(&IssuerReply::Outcome(KeyOutcome::NotRun(why)));
    }

    fn ask(&mut self) {
        let (now, sequence) = (self.now(), self.key.sequence);
        let Some(issuer) = &mut self.issuer else {
            return;
        };
        match issuer.request_permission(now, sequence, &"replica".into()) {
            Permission::AskWitness { .. } => self.post(Packet::Permit),
            Permission::Granted => {}
            Permission::NotRun(why) => self.not_run(why),
        }
    }

    fn permission_arrives(&mut self, answer: Option<&WitnessReply>) {
        let sequence = self.key.sequence;
        let Some(issuer) = &mut self.issuer else {
            return;
        };
        if let Err(why) = issuer.on_witness_reply(sequence, answer) {
            self.not_run(why);
        }
    }

    fn dispatch(&mut self) {
        let now = if self.variant == Variant::NoDeadline {
            self.start
        } else {
            self.now()
        };
        let sequence = self.key.sequence;
        let Some(issuer) = &mut self.issuer else {
            return;
        };
        match issuer.dispatch(now, sequence) {
            Ok(_) => {
                self.runs += 1;
                self.late |= self.time > self.taken;
            }
            Err(why) => self.not_run(why),
        }
    }

    fn finish(&mut self, answer: Option<StoredResponse>) {
        let sequence = self.key.sequence;
        let outcome = self
            .issuer
            .as_mut()
            .and_then(|issuer| issuer.finish(sequence, answer));
        if let Some(outcome) = outcome {
            self.answer_joined(&IssuerReply::Outcome(outcome));
        }
    }

    fn shed(&mut self) {
        let sequence = self.key.sequence;
        let answer = self.issuer.as_mut().and_then(|i| i.refuse(sequence));
        if let Some(answer) = answer {
            self.answer_joined(&answer);
        }
    }

    fn crash(&mut self) {
        self.issuer = None;
        self.joined.clear();
        if self.told[0] == Told::Waits {
            self.told[0] = Told::Broken;
        }
    }

    fn leave(&mut self) {
        let Some(issuer) = &mut self.issuer else {
            return;
        };
        let handed = issuer.hand_over_ended(&"second".into());
        self.handed = handed.records.into_iter().flatten().collect();
        self.forward = handed.notices.into_iter().next().map(|f| f.message);
        let ended = self.handed.first().map(|h| h.outcome.clone());
        if let Some(outcome) = ended {
            self.answer_joined(&IssuerReply::Outcome(outcome));
            self.post(Packet::HandOver);
            self.post(Packet::Forward);
        }
    }

    fn ask_witness(&mut self, message: &WitnessRequest) -> WitnessReply {
        let now = self.now();
        self.witness.on_message(now, message)
    }

    fn incarnation(&self) -> u64 {
        match self.variant {
            Variant::NoIncarnation if self.witness_restarted => 8,
            _ => 7,
        }
    }

    fn deliver(&mut self, packet: &Packet) {
        match packet {
            Packet::Call { call } => self.call_arrives(*call),
            Packet::Answer { call, answer } => self.answer(*call, answer.clone()),
            Packet::Permit => {
                let message = WitnessRequest::Permit {
                    key: self.key.id(),
                    witness: self.incarnation(),
                    upstream: "replica".into(),
                };
                let answer = self.ask_witness(&message);
                self.post(Packet::Permission { answer });
            }
            Packet::Permission { answer } => self.permission_arrives(Some(answer)),
            Packet::Close { call } => {
                let message = WitnessRequest::Close {
                    key: self.key.id(),
                    witness: self.incarnation(),
                };
                let answer = self.ask_witness(&message);
                self.post(Packet::Closing {
                    call: *call,
                    answer,
                });
            }
            Packet::Closing { call, answer } => {
                let step = self.receivers[*call]
                    .as_mut()
                    .and_then(|r| r.on_witness_reply(answer.clone()));
                if let Some(step) = step {
                    self.step(*call, step);
                }
            }
            Packet::HandOver => {
                let (now, handed) = (self.now(), self.handed.clone());
                self.second.adopt(now, &handed);
            }
            Packet::Forward => {
                if let Some(message) = self.forward.clone() {
                    self.ask_witness(&message);
                }
            }
        }
    }

    fn take(&mut self, packet: &Packet, again: bool) {
        if again {
            self.bounds.faults -= 1;
        } else if let Some(at) = self.packets.iter().position(|p| p == packet) {
            self.packets.remove(at);
        }
        self.deliver(packet);
    }

    fn wait_ends(&mut self, call: usize) {
        if self.variant == Variant::HashedOwner {
            // It takes itself for the owner now.
            self.runs += 1;
            self.told[call] = Told::Ran;
            return;
        }
        let step = self.receivers[call]
            .as_mut()
            .and_then(Receiver::on_unreachable);
        if let Some(step) = step {
            self.step(call, step);
        }
    }

    fn issuer_actions(&self, actions: &mut Vec<Action>) {
        if self.issuer.is_none() {
            if !self.restarted {
                actions.push(Action::Restart);
            }
            return;
        }
        if self.bounds.faults > 0 {
            actions.push(Action::Crash);
            if self.handed.is_empty() && self.phase().is_some() {
                actions.push(Action::Leave);
            }
        }
        match self.phase() {
            Some(KeyPhase::Waiting) => actions.extend([Action::Shed, Action::Ask]),
            Some(KeyPhase::Asking) => actions.push(Action::WitnessWaitEnds),
            Some(KeyPhase::Permitted) => actions.push(Action::Dispatch),
            Some(KeyPhase::Running) => actions.extend([Action::Finish, Action::Break]),
            Some(KeyPhase::Refused | KeyPhase::Done) | None => {}
        }
    }

    fn phase(&self) -> Option<KeyPhase> {
        let issuer = self.issuer.as_ref()?;
        if issuer.incarnation() != self.key.incarnation {
            return None;
        }
        issuer.phase(self.key.sequence)
    }

    /// Drops what can't change anything any more, so that fewer states differ.
    fn prune(&mut self) {
        for call in 0..CALLS {
            if self.told[call] != Told::Waits {
                self.receivers[call] = None;
            }
        }
        let asking = self.phase() == Some(KeyPhase::Asking);
        let waits = self.told.clone().map(|t| t == Told::Waits);
        self.packets.retain(|packet| match packet {
            Packet::Answer { call, .. } | Packet::Closing { call, .. } => waits[*call],
            Packet::Permission { .. } => asking,
            _ => true,
        });
        self.joined.retain(|call| waits[*call]);
    }
}

impl Model for KeyModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for call in 0..self.bounds.calls {
            // The second call at one instance goes out after the first there.
            let next = call < 2 || self.told[call - 1] != Told::Nothing;
            if self.told[call] == Told::Nothing && next {
                actions.push(Action::Send(call));
            }
            if self.receivers[call].is_some() && self.told[call] == Told::Waits {
                actions.push(Action::WaitEnds(call));
            }
        }
        let mut packets = self.packets.clone();
        packets.dedup();
        for packet in packets {
            if self.bounds.faults > 0 {
                actions.push(Action::Repeat(packet.clone()));
            }
            actions.push(Action::Deliver(packet));
        }
        self.issuer_actions(&mut actions);
        if !self.witness_restarted && self.bounds.faults > 0 {
            actions.push(Action::RestartWitness);
        }
        if self.time + 1 < TIMES.len() {
            actions.push(Action::Pass);
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Send(call) => self.send(*call),
            Action::Deliver(packet) => self.take(packet, false),
            Action::Repeat(packet) => self.take(packet, true),
            Action::WaitEnds(call) => self.wait_ends(*call),
            Action::Ask => self.ask(),
            Action::WitnessWaitEnds => self.permission_arrives(None),
            Action::Shed => self.shed(),
            Action::Dispatch => self.dispatch(),
            Action::Finish => self.finish(Some(StoredResponse {
                status: 201,
                content_type: None,
                body: Vec::new(),
            })),
            Action::Break => self.finish(None),
            Action::Crash => {
                self.bounds.faults -= 1;
                self.crash();
            }
            Action::Restart => {
                self.restarted = true;
                self.issuer = Some(KeyIssuer::new("issuer".into(), 2, self.now()));
            }
            Action::RestartWitness => {
                self.bounds.faults -= 1;
                self.witness_restarted = true;
                self.witness = Witness::new(8);
            }
            Action::Leave => {
                self.bounds.faults -= 1;
                self.leave();
            }
            Action::Pass => {
                self.time += 1;
                if self.variant == Variant::NoMemory && self.time == TIMES.len() - 1 {
                    self.witness = Witness::new(7);
                }
            }
        }
        self.prune();
    }

    fn fingerprint(&self) -> u128 {
        hash_of(self)
    }

    fn broken(&self) -> Option<&'static str> {
        let ran = self.runs > 0;
        let sent = self.told.iter().filter(|t| **t != Told::Nothing);
        let mut told = sent.clone();
        if self.runs > 1 {
            Some("a non-idempotent call ran twice")
        } else if ran && self.told.contains(&Told::NeverRuns) {
            Some("a call that was told \"not run\" ran")
        } else if ran && told.all(|t| *t == Told::Refused) {
            Some("every call was refused as \"not run\" and one ran")
        } else if !ran && self.told.contains(&Told::Ran) {
            Some("a call was told that it ran and did not")
        } else if self.late {
            Some("a call was dispatched after its caller's deadline")
        } else {
            None
        }
    }
}
