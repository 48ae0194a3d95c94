//! Model of one idempotency key: its issuer, its witness, a second instance and a caller that
//! retries.
//!
//! The caller sends the same call up to three times at any time, once to the issuer and twice to
//! the second instance. The issuer may crash, restart as a new incarnation, be paused, or leave and
//! hand over to the second instance; the witness may restart; any wait for a reply may time out
//! early; one message may be delivered twice; time may pass the deadline, the lifetime of the key
//! and the retention of the witness's records.

use std::time::Duration;

use kingcupfield_decisions::idempotency::{
    CallAttempt, EndedKeyRecord, IssuerReply, KEY_LIFETIME, Key, KeyIssuer, KeyOutcome, KeyPhase,
    NotRun, Permission, RECORD_RETENTION, Receiver, ReceiverStep, StoredResponse, UseDecision,
    Witness, WitnessId, WitnessReply, WitnessRequest,
};
use tokio::time::Instant;

use crate::Model;
use crate::explore::hash_of;

use events::CallResult;
pub use events::{Action, Bounds, Packet, Variant};

mod events;

/// Time from the arrival of a call at the issuer to its deadline.
const TIME_TO_DEADLINE: Duration = Duration::from_secs(10);

/// Times since the issue of the key at which the passing of time alone changes something: the
/// issue, the deadline of a call sent at once, the end of the key's lifetime, the end of the
/// retention of records.
const TIMES: [Duration; 4] = [
    Duration::ZERO,
    TIME_TO_DEADLINE,
    KEY_LIFETIME,
    RECORD_RETENTION
        .saturating_add(TIME_TO_DEADLINE)
        .saturating_add(TIME_TO_DEADLINE),
];

/// Maximum number of calls: the first goes to the issuer, the others to the second instance.
const MAX_CALLS: usize = 3;

/// State of the model.
#[derive(Debug, Clone, Hash)]
pub struct KeyModel {
    variant: Variant,
    bounds: Bounds,
    start: Instant,
    /// Index of the current time in [`TIMES`].
    time_index: usize,
    key: Key,
    /// `None` after a crash.
    issuer: Option<KeyIssuer>,
    restarted: bool,
    witness: Witness,
    witness_restarted: bool,
    /// The second instance's own state, which also stores the records that are handed over to it.
    second_instance: KeyIssuer,
    /// Records that the issuer handed over when it left.
    handed_over: Vec<EndedKeyRecord>,
    /// The issuer's notice to the witness after its handover.
    forward_request: Option<WitnessRequest>,
    /// Calls at the second instance.
    receivers: [Option<Receiver>; MAX_CALLS],
    /// Calls that wait for a reply of the issuer.
    joined_calls: Vec<usize>,
    /// What the caller knows of each call.
    results: [CallResult; MAX_CALLS],
    /// Messages in flight, sorted by hash.
    packets: Vec<Packet>,
    /// Index in [`TIMES`] at which the issuer queued the call; its deadline is counted from there.
    queued_at: usize,
    /// Number of times that the call was dispatched.
    runs: usize,
    /// Whether it was dispatched after its deadline.
    dispatched_late: bool,
}

impl KeyModel {
    /// Creates the state right after the key was issued.
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
            time_index: 0,
            key,
            issuer: Some(issuer),
            restarted: false,
            witness: Witness::new(7),
            witness_restarted: false,
            second_instance: KeyIssuer::new("second".into(), 3, start),
            handed_over: Vec::new(),
            forward_request: None,
            receivers: [const { None }; MAX_CALLS],
            joined_calls: Vec::new(),
            results: [const { CallResult::NotSent }; MAX_CALLS],
            packets: Vec::new(),
            queued_at: 0,
            runs: 0,
            dispatched_late: false,
        }
    }

    fn now(&self) -> Instant {
        self.start + TIMES[self.time_index]
    }

    fn put_in_flight(&mut self, packet: Packet) {
        let at = (self.packets).partition_point(|p| hash_of(p) < hash_of(&packet));
        self.packets.insert(at, packet);
    }

    fn send(&mut self, call: usize) {
        self.results[call] = CallResult::Pending;
        if call == 0 {
            self.put_in_flight(Packet::Call { call });
            return;
        }
        let started = Receiver::start(self.key.clone(), None);
        self.receivers[call] = Some(started.receiver);
        self.step(call, started.step);
    }

    fn step(&mut self, call: usize, step: ReceiverStep) {
        match step {
            ReceiverStep::Forward { .. } => self.put_in_flight(Packet::Call { call }),
            ReceiverStep::LookUp { .. } => {
                let known = self
                    .second_instance
                    .adopted_outcome(self.now(), &self.key.id());
                let reply = known.map_or(IssuerReply::NotHere, IssuerReply::Outcome);
                self.on_issuer_reply(call, reply);
            }
            ReceiverStep::Close { .. } if self.variant == Variant::NoWitness => {
                self.record_outcome(call, &KeyOutcome::NotRun(NotRun::Closed));
            }
            ReceiverStep::Close { .. } => self.put_in_flight(Packet::CloseRequest { call }),
            ReceiverStep::Answer(outcome) => self.record_outcome(call, &outcome),
            ReceiverStep::Refuse => self.results[call] = CallResult::Refused,
        }
    }

    fn on_issuer_reply(&mut self, call: usize, reply: IssuerReply) {
        if let Some(receiver) = &mut self.receivers[call] {
            if let Some(step) = receiver.on_issuer_reply(reply) {
                self.step(call, step);
            }
            return;
        }
        match reply {
            IssuerReply::Outcome(outcome) => self.record_outcome(call, &outcome),
            IssuerReply::Refused => self.results[call] = CallResult::Refused,
            IssuerReply::Moved { .. } | IssuerReply::NotHere => {
                self.results[call] = CallResult::ConnectionBroken;
            }
        }
    }

    fn record_outcome(&mut self, call: usize, outcome: &KeyOutcome) {
        if self.results[call] != CallResult::Pending {
            return;
        }
        self.results[call] = match outcome {
            KeyOutcome::Ran { .. } => CallResult::Ran,
            KeyOutcome::Unknown { .. } => CallResult::Unknown,
            KeyOutcome::NotRun(NotRun::Late | NotRun::Full | NotRun::Mismatch) => {
                CallResult::Refused
            }
            KeyOutcome::NotRun(_) => CallResult::NeverRuns,
        };
    }

    fn on_call(&mut self, call: usize) {
        let (now, key) = (self.now(), self.key.clone());
        let Some(issuer) = &mut self.issuer else {
            return;
        };
        let attempt = CallAttempt {
            id: call.to_string().into(),
            hash: 1,
            deadline: now + TIME_TO_DEADLINE,
        };
        match issuer.on_use(now, &key, attempt) {
            UseDecision::First => {
                self.queued_at = self.time_index;
                self.joined_calls.push(call);
            }
            UseDecision::Join => self.joined_calls.push(call),
            UseDecision::Answer(reply) => self.put_in_flight(Packet::Reply { call, reply }),
        }
    }

    /// Sends the issuer's reply to all calls that wait for it.
    fn reply_to_joined(&mut self, reply: &IssuerReply) {
        for call in std::mem::take(&mut self.joined_calls) {
            let reply = reply.clone();
            self.put_in_flight(Packet::Reply { call, reply });
        }
    }

    fn not_run(&mut self, why: NotRun) {
        self.reply_to_joined(&IssuerReply::Outcome(KeyOutcome::NotRun(why)));
    }

    fn request_permission(&mut self) {
        let (now, sequence) = (self.now(), self.key.sequence);
        let Some(issuer) = &mut self.issuer else {
            return;
        };
        match issuer.request_permission(now, sequence, &"replica".into()) {
            Permission::AskWitness { .. } => self.put_in_flight(Packet::PermitRequest),
            Permission::Granted => {}
            Permission::NotRun(why) => self.not_run(why),
        }
    }

    fn on_permit_reply(&mut self, reply: Option<&WitnessReply>) {
        let sequence = self.key.sequence;
        let Some(issuer) = &mut self.issuer else {
            return;
        };
        if let Err(why) = issuer.on_witness_reply(sequence, reply) {
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
                self.dispatched_late |= self.time_index > self.queued_at;
            }
            Err(why) => self.not_run(why),
        }
    }

    fn finish(&mut self, response: Option<StoredResponse>) {
        let sequence = self.key.sequence;
        let outcome = self
            .issuer
            .as_mut()
            .and_then(|issuer| issuer.finish(sequence, response));
        if let Some(outcome) = outcome {
            self.reply_to_joined(&IssuerReply::Outcome(outcome));
        }
    }

    fn shed(&mut self) {
        let sequence = self.key.sequence;
        let reply = self.issuer.as_mut().and_then(|i| i.refuse(sequence));
        if let Some(reply) = reply {
            self.reply_to_joined(&reply);
        }
    }

    fn crash(&mut self) {
        self.issuer = None;
        self.joined_calls.clear();
        if self.results[0] == CallResult::Pending {
            self.results[0] = CallResult::ConnectionBroken;
        }
    }

    fn leave(&mut self) {
        let Some(issuer) = &mut self.issuer else {
            return;
        };
        let handover = issuer.hand_over_ended(&"second".into());
        self.handed_over = handover.records.into_iter().flatten().collect();
        self.forward_request = handover.notices.into_iter().next().map(|f| f.message);
        let ended = self.handed_over.first().map(|h| h.outcome.clone());
        if let Some(outcome) = ended {
            self.reply_to_joined(&IssuerReply::Outcome(outcome));
            self.put_in_flight(Packet::EndedKeys);
            self.put_in_flight(Packet::ForwardNotice);
        }
    }

    fn send_to_witness(&mut self, message: &WitnessRequest) -> WitnessReply {
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
            Packet::Call { call } => self.on_call(*call),
            Packet::Reply { call, reply } => self.on_issuer_reply(*call, reply.clone()),
            Packet::PermitRequest => {
                let message = WitnessRequest::Permit {
                    key: self.key.id(),
                    witness: self.incarnation(),
                    upstream: "replica".into(),
                };
                let reply = self.send_to_witness(&message);
                self.put_in_flight(Packet::PermitReply { reply });
            }
            Packet::PermitReply { reply } => self.on_permit_reply(Some(reply)),
            Packet::CloseRequest { call } => {
                let message = WitnessRequest::Close {
                    key: self.key.id(),
                    witness: self.incarnation(),
                };
                let reply = self.send_to_witness(&message);
                self.put_in_flight(Packet::CloseReply { call: *call, reply });
            }
            Packet::CloseReply { call, reply } => {
                let step = self.receivers[*call]
                    .as_mut()
                    .and_then(|r| r.on_witness_reply(reply.clone()));
                if let Some(step) = step {
                    self.step(*call, step);
                }
            }
            Packet::EndedKeys => {
                let (now, records) = (self.now(), self.handed_over.clone());
                self.second_instance.adopt(now, &records);
            }
            Packet::ForwardNotice => {
                if let Some(message) = self.forward_request.clone() {
                    self.send_to_witness(&message);
                }
            }
        }
    }

    fn deliver_packet(&mut self, packet: &Packet, again: bool) {
        if again {
            self.bounds.faults -= 1;
        } else if let Some(at) = self.packets.iter().position(|p| p == packet) {
            self.packets.remove(at);
        }
        self.deliver(packet);
    }

    fn on_receiver_timeout(&mut self, call: usize) {
        if self.variant == Variant::HashedOwner {
            // The second instance now acts as the owner of the key.
            self.runs += 1;
            self.results[call] = CallResult::Ran;
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
            if self.handed_over.is_empty() && self.phase().is_some() {
                actions.push(Action::Leave);
            }
        }
        match self.phase() {
            Some(KeyPhase::Waiting) => actions.extend([Action::Shed, Action::RequestPermission]),
            Some(KeyPhase::Asking) => actions.push(Action::WitnessTimeout),
            Some(KeyPhase::Permitted) => actions.push(Action::Dispatch),
            Some(KeyPhase::Running) => actions.extend([Action::Finish, Action::BreakConnection]),
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

    /// Drops what has no further effect, which reduces the number of distinct states.
    fn prune(&mut self) {
        for call in 0..MAX_CALLS {
            if self.results[call] != CallResult::Pending {
                self.receivers[call] = None;
            }
        }
        let asking = self.phase() == Some(KeyPhase::Asking);
        let waits = self.results.clone().map(|t| t == CallResult::Pending);
        self.packets.retain(|packet| match packet {
            Packet::Reply { call, .. } | Packet::CloseReply { call, .. } => waits[*call],
            Packet::PermitReply { .. } => asking,
            _ => true,
        });
        self.joined_calls.retain(|call| waits[*call]);
    }
}

impl Model for KeyModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for call in 0..self.bounds.calls {
            // The second call to the second instance is sent after the first.
            let next = call < 2 || self.results[call - 1] != CallResult::NotSent;
            if self.results[call] == CallResult::NotSent && next {
                actions.push(Action::SendCall(call));
            }
            if self.receivers[call].is_some() && self.results[call] == CallResult::Pending {
                actions.push(Action::ReceiverTimeout(call));
            }
        }
        let mut packets = self.packets.clone();
        packets.dedup();
        for packet in packets {
            if self.bounds.faults > 0 {
                actions.push(Action::Duplicate(packet.clone()));
            }
            actions.push(Action::Deliver(packet));
        }
        self.issuer_actions(&mut actions);
        if !self.witness_restarted && self.bounds.faults > 0 {
            actions.push(Action::RestartWitness);
        }
        if self.time_index + 1 < TIMES.len() {
            actions.push(Action::AdvanceTime);
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::SendCall(call) => self.send(*call),
            Action::Deliver(packet) => self.deliver_packet(packet, false),
            Action::Duplicate(packet) => self.deliver_packet(packet, true),
            Action::ReceiverTimeout(call) => self.on_receiver_timeout(*call),
            Action::RequestPermission => self.request_permission(),
            Action::WitnessTimeout => self.on_permit_reply(None),
            Action::Shed => self.shed(),
            Action::Dispatch => self.dispatch(),
            Action::Finish => self.finish(Some(StoredResponse {
                status: 201,
                content_type: None,
                body: Vec::new(),
            })),
            Action::BreakConnection => self.finish(None),
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
            Action::AdvanceTime => {
                self.time_index += 1;
                if self.variant == Variant::NoDropTracking && self.time_index == TIMES.len() - 1 {
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
        let sent = self.results.iter().filter(|t| **t != CallResult::NotSent);
        let mut sent_results = sent.clone();
        if self.runs > 1 {
            Some("a non-idempotent call ran twice")
        } else if ran && self.results.contains(&CallResult::NeverRuns) {
            Some("a call that was answered \"not run\" ran")
        } else if ran && sent_results.all(|t| *t == CallResult::Refused) {
            Some("every call was refused as \"not run\" and one ran")
        } else if !ran && self.results.contains(&CallResult::Ran) {
            Some("a call was answered as having run and did not run")
        } else if self.dispatched_late {
            Some("a call was dispatched after its caller's deadline")
        } else {
            None
        }
    }
}
