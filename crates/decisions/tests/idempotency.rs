//! Idempotency keys: issuer, witness and receiving instance, call by call.

use std::time::Duration;

use kingcupfield_decisions::idempotency::{
    CallAttempt, IssuerReply, KEY_LIFETIME, Key, KeyId, KeyIssuer, KeyOutcome, MAX_CALLS_PER_KEY,
    MAX_RECORDS_PER_ORGANISATION, NotRun, Permission, RECORD_RETENTION, Receiver, ReceiverStep,
    StoredResponse, UseDecision, Witness, WitnessId, WitnessReply, WitnessRequest,
};
use tokio::time::Instant;
use yare::parameterized;

const DEADLINE: Duration = Duration::from_secs(10);

/// One issuer and one witness, with messages passed by hand.
struct Pair {
    now: Instant,
    keys: KeyIssuer,
    witness: Witness,
    calls: usize,
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            keys: KeyIssuer::new("issuer".into(), 1, now),
            witness: Witness::new(7),
            calls: 0,
        }
    }

    fn issue(&mut self) -> Key {
        let witness = WitnessId {
            instance: "witness".into(),
            incarnation: 7,
        };
        self.keys.issue(self.now, "org".into(), Some(witness))
    }

    /// The caller's next try; each has a number of its own.
    fn call(&mut self) -> CallAttempt {
        self.calls += 1;
        CallAttempt {
            id: self.calls.to_string().into(),
            hash: 1,
            deadline: self.now + DEADLINE,
        }
    }

    fn use_key(&mut self, key: &Key) -> UseDecision {
        let call = self.call();
        self.keys.on_use(self.now, key, call)
    }

    fn ask(&mut self, key: &Key) -> WitnessRequest {
        match self
            .keys
            .request_permission(self.now, key.sequence, &"replica".into())
        {
            Permission::AskWitness { message, .. } => message,
            other => panic!("expected a question to the witness, got {other:?}"),
        }
    }

    fn permit(&mut self, key: &Key) -> Result<(), NotRun> {
        let message = self.ask(key);
        let answer = self.witness.on_message(self.now, &message);
        self.keys.on_witness_reply(key.sequence, Some(&answer))
    }

    fn run(&mut self, key: &Key) -> KeyOutcome {
        assert_eq!(self.use_key(key), UseDecision::First);
        self.permit(key).expect("permitted");
        self.keys.dispatch(self.now, key.sequence).expect("in time");
        self.keys
            .finish(key.sequence, Some(answer(3)))
            .expect("running")
    }

    fn close(&mut self, key: &Key) -> WitnessReply {
        let message = WitnessRequest::Close {
            key: key.id(),
            witness: 7,
        };
        self.witness.on_message(self.now, &message)
    }
}

fn answer(len: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: None,
        body: vec![b'x'; len],
    }
}

fn not_run(why: NotRun) -> UseDecision {
    UseDecision::Answer(IssuerReply::Outcome(KeyOutcome::NotRun(why)))
}

/// A foreman's connection breaks and he sends the booking again. It must be booked once, and both
/// calls must hear the same answer.
#[test]
fn a_repeated_call_gets_the_first_ones_answer() {
    let mut pair = Pair::new();
    let key = pair.issue();
    assert_eq!(pair.use_key(&key), UseDecision::First);
    assert_eq!(pair.use_key(&key), UseDecision::Join);
    pair.permit(&key).expect("permitted");
    assert_eq!(
        pair.keys.dispatch(pair.now, key.sequence).as_deref(),
        Ok("replica")
    );
    assert!(
        pair.keys.dispatch(pair.now, key.sequence).is_err(),
        "the right is given once"
    );
    assert_eq!(pair.use_key(&key), UseDecision::Join);
    let outcome = pair
        .keys
        .finish(key.sequence, Some(answer(3)))
        .expect("running");
    assert_eq!(
        pair.use_key(&key),
        UseDecision::Answer(IssuerReply::Outcome(outcome))
    );
    assert!(matches!(pair.close(&key), WitnessReply::MayHaveRun { .. }));
}

/// The issuer was paused while another instance closed the key and told the caller "not run".
/// When the issuer wakes it must find that out before the first byte.
#[test]
fn a_closed_key_never_runs() {
    let mut pair = Pair::new();
    let key = pair.issue();
    assert_eq!(pair.use_key(&key), UseDecision::First);
    assert_eq!(pair.close(&key), WitnessReply::Closed);
    assert_eq!(pair.permit(&key), Err(NotRun::Closed));
    assert_eq!(
        pair.keys.dispatch(pair.now, key.sequence),
        Err(NotRun::Closed)
    );
    assert_eq!(pair.use_key(&key), not_run(NotRun::Closed));
}

/// The network repeats the question and delivers the answers in the wrong order.
#[parameterized(in_order = { true }, crossed = { false })]
fn a_repeated_question_gives_one_right_at_most(in_order: bool) {
    let mut pair = Pair::new();
    let key = pair.issue();
    pair.use_key(&key);
    let message = pair.ask(&key);
    let mut answers = [
        pair.witness.on_message(pair.now, &message),
        pair.witness.on_message(pair.now, &message),
    ];
    assert_eq!(answers, [WitnessReply::Permitted, WitnessReply::Repeated]);
    if !in_order {
        answers.reverse();
    }
    let heard = answers.map(|a| pair.keys.on_witness_reply(key.sequence, Some(&a)).is_ok());
    assert_eq!(heard, [in_order, in_order]);
    let rights = (0..3)
        .filter(|_| pair.keys.dispatch(pair.now, key.sequence).is_ok())
        .count();
    assert_eq!(rights, usize::from(in_order));
}

/// The witness can't be reached, has restarted, or its answer was lost.
#[parameterized(
    unreachable = { None },
    restarted = { Some(WitnessReply::Lost) },
    repeated = { Some(WitnessReply::Repeated) },
)]
fn without_a_permission_the_issuer_gives_the_key_up(heard: Option<WitnessReply>) {
    let mut pair = Pair::new();
    let key = pair.issue();
    pair.use_key(&key);
    pair.ask(&key);
    let refused = pair.keys.on_witness_reply(key.sequence, heard.as_ref());
    assert_eq!(refused, Err(NotRun::NoWitness));
    // The permission comes after all, too late.
    let late = pair
        .keys
        .on_witness_reply(key.sequence, Some(&WitnessReply::Permitted));
    assert_eq!(late, Err(NotRun::NoWitness));
    assert!(pair.keys.dispatch(pair.now, key.sequence).is_err());
}

/// The issuer is paused between the permission and the first byte, and wakes after the foreman
/// has gone home.
#[parameterized(
    in_time = { DEADLINE.mul_f32(0.99), None },
    late = { DEADLINE, Some(NotRun::Late) },
    much_later = { KEY_LIFETIME, Some(NotRun::Late) },
)]
fn the_right_to_dispatch_ends_with_the_deadline(pause: Duration, expected: Option<NotRun>) {
    let mut pair = Pair::new();
    let key = pair.issue();
    pair.use_key(&key);
    pair.permit(&key).expect("permitted");
    let dispatched = pair.keys.dispatch(pair.now + pause, key.sequence);
    assert_eq!(dispatched.err(), expected);
}

/// A key lies unused for too long; "not run" is said only while that is certain.
#[parameterized(
    fresh = { KEY_LIFETIME.mul_f32(0.99), UseDecision::First },
    expired = { KEY_LIFETIME, not_run(NotRun::Expired) },
    forgotten = { RECORD_RETENTION, UseDecision::Answer(IssuerReply::Outcome(KeyOutcome::Unknown { upstream: None })) },
)]
fn an_unused_key_lapses(age: Duration, expected: UseDecision) {
    let mut pair = Pair::new();
    let key = pair.issue();
    pair.now += age;
    assert_eq!(pair.use_key(&key), expected);
}

/// A booking that ran is retried half an hour later. Nobody remembers it, so nobody may say that
/// it did not run.
#[test]
fn a_forgotten_key_is_never_called_not_run() {
    let mut pair = Pair::new();
    let unused = pair.issue();
    let key = pair.issue();
    pair.run(&key);
    pair.now += RECORD_RETENTION;
    let unknown = UseDecision::Answer(IssuerReply::Outcome(KeyOutcome::Unknown { upstream: None }));
    assert_eq!(pair.use_key(&key), unknown);
    assert_eq!(pair.close(&key), WitnessReply::Lost);
    assert_eq!(
        pair.close(&unused),
        WitnessReply::Lost,
        "older than a forgotten one"
    );
    assert!(pair.keys.is_empty() && pair.witness.is_empty());
    let later = pair.issue();
    assert_eq!(pair.close(&later), WitnessReply::Closed);
}

/// A request is shed before anybody was asked: the caller may use the key again. The refused
/// call itself, delivered a second time by the network, must not run after all.
#[test]
fn a_shed_call_leaves_the_key_usable_for_the_next_one() {
    let mut pair = Pair::new();
    let key = pair.issue();
    let shed = pair.call();
    let arrive = |pair: &mut Pair| pair.keys.on_use(pair.now, &key, shed.clone());
    assert_eq!(arrive(&mut pair), UseDecision::First);
    assert_eq!(pair.keys.refuse(key.sequence), Some(IssuerReply::Refused));
    assert_eq!(arrive(&mut pair), UseDecision::Answer(IssuerReply::Refused));
    assert_eq!(pair.use_key(&key), UseDecision::First);
    assert_eq!(arrive(&mut pair), UseDecision::Join);
    pair.permit(&key).expect("permitted");
    assert_eq!(
        pair.keys.refuse(key.sequence),
        None,
        "too late to take that back"
    );
}

/// A caller retries a shed booking without end; what is remembered of its calls stays bounded.
#[test]
fn a_key_that_is_shed_too_often_is_given_up() {
    let mut pair = Pair::new();
    let key = pair.issue();
    let mut tries = 0;
    while pair.use_key(&key) == UseDecision::First {
        tries += 1;
        pair.keys.refuse(key.sequence);
    }
    assert_eq!(tries, MAX_CALLS_PER_KEY);
    assert_eq!(pair.use_key(&key), not_run(NotRun::Full));
}

#[test]
fn one_key_carries_one_call() {
    let mut pair = Pair::new();
    let key = pair.issue();
    pair.run(&key);
    let other = CallAttempt {
        id: "other".into(),
        hash: 2,
        deadline: pair.now + DEADLINE,
    };
    assert_eq!(
        pair.keys.on_use(pair.now, &key, other),
        not_run(NotRun::Mismatch)
    );
}

/// One organisation uses keys without end; the others must still get theirs, and what ran must
/// not be forgotten to make room.
#[test]
fn records_are_bounded_and_none_is_forgotten_early() {
    let mut pair = Pair::new();
    let keys = (0..=MAX_RECORDS_PER_ORGANISATION)
        .map(|_| pair.issue())
        .collect::<Vec<_>>();
    for key in &keys[..MAX_RECORDS_PER_ORGANISATION] {
        assert_eq!(pair.use_key(key), UseDecision::First);
    }
    assert_eq!(
        pair.use_key(&keys[MAX_RECORDS_PER_ORGANISATION]),
        not_run(NotRun::Full)
    );
    assert_eq!(pair.use_key(&keys[0]), UseDecision::Join);
    let other = pair.keys.issue(pair.now, "other".into(), None);
    assert_eq!(pair.use_key(&other), UseDecision::First);
}

#[test]
fn answers_make_room_and_the_fact_remains() {
    let mut pair = Pair::new();
    let keys = (0..100).map(|_| pair.issue()).collect::<Vec<_>>();
    for key in &keys {
        assert_eq!(pair.use_key(key), UseDecision::First);
        pair.permit(key).expect("permitted");
        pair.keys.dispatch(pair.now, key.sequence).expect("in time");
        pair.keys.finish(key.sequence, Some(answer(60_000)));
    }
    let held = |pair: &mut Pair, key| match pair.use_key(key) {
        UseDecision::Answer(IssuerReply::Outcome(KeyOutcome::Ran { answer, .. })) => {
            answer.is_some()
        }
        other => panic!("it ran, yet {other:?}"),
    };
    assert!(!held(&mut pair, &keys[0]));
    assert!(held(&mut pair, &keys[99]));
}

/// An instance is replaced during a rolling restart. Its finished bookings can still be asked
/// for, through its successor, also when the hand-over arrives twice.
#[test]
fn a_leavers_outcomes_are_found_at_its_successor() {
    let mut pair = Pair::new();
    let key = pair.issue();
    let fresh = pair.issue();
    let outcome = pair.run(&key);
    let handed = pair.keys.hand_over_ended(&"successor".into());
    let mut successor = KeyIssuer::new("successor".into(), 5, pair.now);
    for _ in 0..2 {
        successor.adopt(pair.now, &handed.records[0]);
    }
    pair.witness
        .on_message(pair.now, &handed.notices[0].message);
    let moved = UseDecision::Answer(IssuerReply::Moved {
        successor: "successor".into(),
    });
    assert_eq!(pair.use_key(&key), moved);
    assert_eq!(
        pair.use_key(&fresh),
        moved,
        "a leaver that handed over dispatches nothing"
    );

    let mut receiver = Receiver::start(key.clone(), None).receiver;
    assert!(matches!(
        receiver.on_unreachable(),
        Some(ReceiverStep::Close { .. })
    ));
    let forwarded = pair.close(&key);
    assert_eq!(
        receiver.on_witness_reply(forwarded),
        Some(ReceiverStep::LookUp {
            to: "successor".into()
        })
    );
    let found = successor
        .adopted_outcome(pair.now, &key.id())
        .expect("handed over");
    assert_eq!(
        receiver.on_issuer_reply(IssuerReply::Outcome(found)),
        Some(ReceiverStep::Answer(outcome))
    );
    assert_eq!(pair.close(&fresh), WitnessReply::Closed);
}

/// What a receiving instance tells its caller when the key's issuer can't be reached.
#[parameterized(
    closed = { Some(WitnessReply::Closed), KeyOutcome::NotRun(NotRun::Closed) },
    permitted = { Some(WitnessReply::MayHaveRun { upstream: "r".into() }), KeyOutcome::Unknown { upstream: Some("r".into()) } },
    restarted = { Some(WitnessReply::Lost), KeyOutcome::Unknown { upstream: None } },
    gone_too = { None, KeyOutcome::Unknown { upstream: None } },
    nonsense = { Some(WitnessReply::Permitted), KeyOutcome::Unknown { upstream: None } },
)]
fn an_unreachable_issuer_ends_in_the_truth(heard: Option<WitnessReply>, expected: KeyOutcome) {
    let mut pair = Pair::new();
    for known_dead in [false, true] {
        let started = Receiver::start(pair.issue(), known_dead.then_some(2));
        let mut receiver = started.receiver;
        let step = if known_dead {
            Some(started.step)
        } else {
            receiver.on_unreachable()
        };
        assert!(matches!(step, Some(ReceiverStep::Close { .. })));
        let step = match heard.clone() {
            Some(heard) => receiver.on_witness_reply(heard),
            None => receiver.on_unreachable(),
        };
        assert_eq!(step, Some(ReceiverStep::Answer(expected.clone())));
        assert_eq!(
            receiver.on_issuer_reply(IssuerReply::Refused),
            None,
            "answered already"
        );
    }
}

#[test]
fn a_key_without_a_witness_ends_unknown_when_its_issuer_is_gone() {
    let mut pair = Pair::new();
    let key = pair.keys.issue(pair.now, "org".into(), None);
    assert_eq!(pair.use_key(&key), UseDecision::First);
    assert_eq!(
        pair.keys
            .request_permission(pair.now, key.sequence, &"replica".into()),
        Permission::Granted
    );
    let mut receiver = Receiver::start(key, None).receiver;
    let unknown = ReceiverStep::Answer(KeyOutcome::Unknown { upstream: None });
    assert_eq!(receiver.on_unreachable(), Some(unknown));
}

#[test]
fn a_witness_of_another_life_promises_nothing() {
    let mut witness = Witness::new(8);
    let key = KeyId {
        issuer: "i".into(),
        incarnation: 1,
        sequence: 1,
    };
    let now = Instant::now();
    let permit = WitnessRequest::Permit {
        key: key.clone(),
        witness: 7,
        upstream: "r".into(),
    };
    assert_eq!(witness.on_message(now, &permit), WitnessReply::Lost);
    let close = WitnessRequest::Close { key, witness: 7 };
    assert_eq!(witness.on_message(now, &close), WitnessReply::Lost);
    assert!(witness.is_empty());
}

#[test]
fn witnesses_are_chosen_in_turn_and_never_the_issuer_itself() {
    let mut pair = Pair::new();
    let live = ["a".into(), "issuer".into(), "z".into()];
    let mut chosen = Vec::new();
    for _ in 0..4 {
        chosen.push(
            pair.keys
                .next_witness(&live)
                .expect("others live")
                .to_string(),
        );
        pair.issue();
    }
    assert_eq!(chosen, ["a", "z", "a", "z"]);
    assert_eq!(pair.keys.next_witness(&live[1..2]), None);
}
