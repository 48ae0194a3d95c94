//! Calls with idempotency keys through the issuer, the witness and the receiving instance.

use std::time::Duration;

use kingcupfield_decisions::idempotency::{
    CallAttempt, IssuerReply, KEY_LIFETIME, Key, KeyId, KeyIssuer, KeyOutcome, MAX_CALLS_PER_KEY,
    MAX_RECORDS_PER_ORGANISATION, NotRun, Permission, RECORD_RETENTION, Receiver, ReceiverStep,
    StoredResponse, UseDecision, Witness, WitnessId, WitnessReply, WitnessRequest,
};
use tokio::time::Instant;
use yare::parameterized;

const TIME_TO_DEADLINE: Duration = Duration::from_secs(10);

/// One issuer and one witness; the tests pass the messages between them.
struct Harness {
    now: Instant,
    issuer: KeyIssuer,
    witness: Witness,
    attempts: usize,
}

impl Harness {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            issuer: KeyIssuer::new("issuer".into(), 1, now),
            witness: Witness::new(7),
            attempts: 0,
        }
    }

    fn issue(&mut self) -> Key {
        let witness = WitnessId {
            instance: "witness".into(),
            incarnation: 7,
        };
        self.issuer.issue(self.now, "org".into(), Some(witness))
    }

    /// The caller's next attempt; each has its own request identifier.
    fn next_attempt(&mut self) -> CallAttempt {
        self.attempts += 1;
        CallAttempt {
            id: self.attempts.to_string().into(),
            hash: 1,
            deadline: self.now + TIME_TO_DEADLINE,
        }
    }

    fn use_key(&mut self, key: &Key) -> UseDecision {
        let call = self.next_attempt();
        self.issuer.on_use(self.now, key, call)
    }

    fn request_permission(&mut self, key: &Key) -> WitnessRequest {
        match self
            .issuer
            .request_permission(self.now, key.sequence, &"replica".into())
        {
            Permission::AskWitness { message, .. } => message,
            other => panic!("expected a request to the witness, got {other:?}"),
        }
    }

    fn permit(&mut self, key: &Key) -> Result<(), NotRun> {
        let message = self.request_permission(key);
        let answer = self.witness.on_message(self.now, &message);
        self.issuer.on_witness_reply(key.sequence, Some(&answer))
    }

    fn run_to_end(&mut self, key: &Key) -> KeyOutcome {
        assert_eq!(self.use_key(key), UseDecision::First);
        self.permit(key).expect("permitted");
        self.issuer
            .dispatch(self.now, key.sequence)
            .expect("in time");
        self.issuer
            .finish(key.sequence, Some(response(3)))
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

fn response(len: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: None,
        body: vec![b'x'; len],
    }
}

fn not_run(why: NotRun) -> UseDecision {
    UseDecision::Answer(IssuerReply::Outcome(KeyOutcome::NotRun(why)))
}

/// A caller's connection breaks and the booking is sent again. It must run once, and both calls
/// must get the same response.
#[test]
fn a_repeated_call_gets_the_response_of_the_first() {
    let mut harness = Harness::new();
    let key = harness.issue();
    assert_eq!(harness.use_key(&key), UseDecision::First);
    assert_eq!(harness.use_key(&key), UseDecision::Join);
    harness.permit(&key).expect("permitted");
    assert_eq!(
        harness
            .issuer
            .dispatch(harness.now, key.sequence)
            .as_deref(),
        Ok("replica")
    );
    assert!(
        harness.issuer.dispatch(harness.now, key.sequence).is_err(),
        "a key is dispatched once"
    );
    assert_eq!(harness.use_key(&key), UseDecision::Join);
    let outcome = harness
        .issuer
        .finish(key.sequence, Some(response(3)))
        .expect("running");
    assert_eq!(
        harness.use_key(&key),
        UseDecision::Answer(IssuerReply::Outcome(outcome))
    );
    assert!(matches!(
        harness.close(&key),
        WitnessReply::MayHaveRun { .. }
    ));
}

/// The issuer is paused while another instance closes the key and answers "not run". When the
/// issuer resumes, it must learn that before it sends the first byte.
#[test]
fn a_closed_key_never_runs() {
    let mut harness = Harness::new();
    let key = harness.issue();
    assert_eq!(harness.use_key(&key), UseDecision::First);
    assert_eq!(harness.close(&key), WitnessReply::Closed);
    assert_eq!(harness.permit(&key), Err(NotRun::Closed));
    assert_eq!(
        harness.issuer.dispatch(harness.now, key.sequence),
        Err(NotRun::Closed)
    );
    assert_eq!(harness.use_key(&key), not_run(NotRun::Closed));
}

/// The network duplicates the permission request and reorders the replies.
#[parameterized(in_order = { true }, reordered = { false })]
fn a_duplicate_permission_request_permits_at_most_one_dispatch(in_order: bool) {
    let mut harness = Harness::new();
    let key = harness.issue();
    harness.use_key(&key);
    let message = harness.request_permission(&key);
    let mut replies = [
        harness.witness.on_message(harness.now, &message),
        harness.witness.on_message(harness.now, &message),
    ];
    assert_eq!(replies, [WitnessReply::Permitted, WitnessReply::Repeated]);
    if !in_order {
        replies.reverse();
    }
    let accepted = replies.map(|reply| {
        harness
            .issuer
            .on_witness_reply(key.sequence, Some(&reply))
            .is_ok()
    });
    assert_eq!(accepted, [in_order, in_order]);
    let rights = (0..3)
        .filter(|_| harness.issuer.dispatch(harness.now, key.sequence).is_ok())
        .count();
    assert_eq!(rights, usize::from(in_order));
}

/// The witness is unreachable, has restarted, or its reply was lost.
#[parameterized(
    unreachable = { None },
    restarted = { Some(WitnessReply::Lost) },
    repeated = { Some(WitnessReply::Repeated) },
)]
fn without_a_permission_the_issuer_abandons_the_key(reply: Option<WitnessReply>) {
    let mut harness = Harness::new();
    let key = harness.issue();
    harness.use_key(&key);
    harness.request_permission(&key);
    let refused = harness
        .issuer
        .on_witness_reply(key.sequence, reply.as_ref());
    assert_eq!(refused, Err(NotRun::NoWitness));
    // The permission arrives after the key was abandoned.
    let late = harness
        .issuer
        .on_witness_reply(key.sequence, Some(&WitnessReply::Permitted));
    assert_eq!(late, Err(NotRun::NoWitness));
    assert!(harness.issuer.dispatch(harness.now, key.sequence).is_err());
}

/// The issuer is paused between the permission and the first byte, and resumes after the caller
/// gave up.
#[parameterized(
    in_time = { TIME_TO_DEADLINE.mul_f32(0.99), None },
    late = { TIME_TO_DEADLINE, Some(NotRun::Late) },
    much_later = { KEY_LIFETIME, Some(NotRun::Late) },
)]
fn a_permission_is_valid_until_the_deadline(pause: Duration, expected: Option<NotRun>) {
    let mut harness = Harness::new();
    let key = harness.issue();
    harness.use_key(&key);
    harness.permit(&key).expect("permitted");
    let dispatched = harness.issuer.dispatch(harness.now + pause, key.sequence);
    assert_eq!(dispatched.err(), expected);
}

/// A key is used for the first time long after its issue; "not run" is answered only while that is
/// certain.
#[parameterized(
    fresh = { KEY_LIFETIME.mul_f32(0.99), UseDecision::First },
    expired = { KEY_LIFETIME, not_run(NotRun::Expired) },
    record_dropped = { RECORD_RETENTION, UseDecision::Answer(IssuerReply::Outcome(KeyOutcome::Unknown { upstream: None })) },
)]
fn an_unused_key_expires(age: Duration, expected: UseDecision) {
    let mut harness = Harness::new();
    let key = harness.issue();
    harness.now += age;
    assert_eq!(harness.use_key(&key), expected);
}

/// A booking that ran is retried half an hour later. Its records have been dropped, so no instance
/// may answer "not run".
#[test]
fn a_key_without_a_record_is_never_answered_not_run() {
    let mut harness = Harness::new();
    let unused = harness.issue();
    let key = harness.issue();
    harness.run_to_end(&key);
    harness.now += RECORD_RETENTION;
    let unknown = UseDecision::Answer(IssuerReply::Outcome(KeyOutcome::Unknown { upstream: None }));
    assert_eq!(harness.use_key(&key), unknown);
    assert_eq!(harness.close(&key), WitnessReply::Lost);
    assert_eq!(
        harness.close(&unused),
        WitnessReply::Lost,
        "older than a dropped record"
    );
    assert!(harness.issuer.is_empty() && harness.witness.is_empty());
    let later = harness.issue();
    assert_eq!(harness.close(&later), WitnessReply::Closed);
}

/// A call is shed before the witness was asked, so the caller may use the key again. A duplicate of
/// the refused message must not run later.
#[test]
fn a_shed_call_leaves_the_key_usable_for_the_next_one() {
    let mut harness = Harness::new();
    let key = harness.issue();
    let shed = harness.next_attempt();
    let arrive = |harness: &mut Harness| harness.issuer.on_use(harness.now, &key, shed.clone());
    assert_eq!(arrive(&mut harness), UseDecision::First);
    assert_eq!(
        harness.issuer.refuse(key.sequence),
        Some(IssuerReply::Refused)
    );
    assert_eq!(
        arrive(&mut harness),
        UseDecision::Answer(IssuerReply::Refused)
    );
    assert_eq!(harness.use_key(&key), UseDecision::First);
    assert_eq!(arrive(&mut harness), UseDecision::Join);
    harness.permit(&key).expect("permitted");
    assert_eq!(
        harness.issuer.refuse(key.sequence),
        None,
        "the witness was asked already"
    );
}

/// A caller retries a shed booking without end; the number of recorded attempts stays bounded.
#[test]
fn a_key_that_is_shed_too_often_is_abandoned() {
    let mut harness = Harness::new();
    let key = harness.issue();
    let mut tries = 0;
    while harness.use_key(&key) == UseDecision::First {
        tries += 1;
        harness.issuer.refuse(key.sequence);
    }
    assert_eq!(tries, MAX_CALLS_PER_KEY);
    assert_eq!(harness.use_key(&key), not_run(NotRun::Full));
}

#[test]
fn one_key_carries_one_call() {
    let mut harness = Harness::new();
    let key = harness.issue();
    harness.run_to_end(&key);
    let other = CallAttempt {
        id: "other".into(),
        hash: 2,
        deadline: harness.now + TIME_TO_DEADLINE,
    };
    assert_eq!(
        harness.issuer.on_use(harness.now, &key, other),
        not_run(NotRun::Mismatch)
    );
}

/// One organisation uses keys without end. The others must still be able to use theirs, and records
/// of calls that ran must not be dropped to make room.
#[test]
fn records_are_bounded_and_none_is_dropped_early() {
    let mut harness = Harness::new();
    let keys = (0..=MAX_RECORDS_PER_ORGANISATION)
        .map(|_| harness.issue())
        .collect::<Vec<_>>();
    for key in &keys[..MAX_RECORDS_PER_ORGANISATION] {
        assert_eq!(harness.use_key(key), UseDecision::First);
    }
    assert_eq!(
        harness.use_key(&keys[MAX_RECORDS_PER_ORGANISATION]),
        not_run(NotRun::Full)
    );
    assert_eq!(harness.use_key(&keys[0]), UseDecision::Join);
    let other = harness.issuer.issue(harness.now, "other".into(), None);
    assert_eq!(harness.use_key(&other), UseDecision::First);
}

#[test]
fn old_responses_are_dropped_and_outcomes_stay() {
    let mut harness = Harness::new();
    let keys = (0..100).map(|_| harness.issue()).collect::<Vec<_>>();
    for key in &keys {
        assert_eq!(harness.use_key(key), UseDecision::First);
        harness.permit(key).expect("permitted");
        harness
            .issuer
            .dispatch(harness.now, key.sequence)
            .expect("in time");
        harness.issuer.finish(key.sequence, Some(response(60_000)));
    }
    let has_response = |harness: &mut Harness, key| match harness.use_key(key) {
        UseDecision::Answer(IssuerReply::Outcome(KeyOutcome::Ran { answer, .. })) => {
            answer.is_some()
        }
        other => panic!("it ran, yet {other:?}"),
    };
    assert!(!has_response(&mut harness, &keys[0]));
    assert!(has_response(&mut harness, &keys[99]));
}

/// An instance is replaced during a rolling restart. The outcomes of its ended keys are available
/// at its successor, also when the handover arrives twice.
#[test]
fn a_leaving_instances_outcomes_are_found_at_its_successor() {
    let mut harness = Harness::new();
    let key = harness.issue();
    let fresh = harness.issue();
    let outcome = harness.run_to_end(&key);
    let handover = harness.issuer.hand_over_ended(&"successor".into());
    let mut successor = KeyIssuer::new("successor".into(), 5, harness.now);
    for _ in 0..2 {
        successor.adopt(harness.now, &handover.records[0]);
    }
    harness
        .witness
        .on_message(harness.now, &handover.notices[0].message);
    let moved = UseDecision::Answer(IssuerReply::Moved {
        successor: "successor".into(),
    });
    assert_eq!(harness.use_key(&key), moved);
    assert_eq!(
        harness.use_key(&fresh),
        moved,
        "an instance that handed its keys over dispatches nothing"
    );

    let mut receiver = Receiver::start(key.clone(), None).receiver;
    assert!(matches!(
        receiver.on_unreachable(),
        Some(ReceiverStep::Close { .. })
    ));
    let forwarded = harness.close(&key);
    assert_eq!(
        receiver.on_witness_reply(forwarded),
        Some(ReceiverStep::LookUp {
            to: "successor".into()
        })
    );
    let found = successor
        .adopted_outcome(harness.now, &key.id())
        .expect("handed over");
    assert_eq!(
        receiver.on_issuer_reply(IssuerReply::Outcome(found)),
        Some(ReceiverStep::Answer(outcome))
    );
    assert_eq!(harness.close(&fresh), WitnessReply::Closed);
}

/// What a receiving instance answers when the key's issuer is unreachable.
#[parameterized(
    closed = { Some(WitnessReply::Closed), KeyOutcome::NotRun(NotRun::Closed) },
    permitted = { Some(WitnessReply::MayHaveRun { upstream: "r".into() }), KeyOutcome::Unknown { upstream: Some("r".into()) } },
    restarted = { Some(WitnessReply::Lost), KeyOutcome::Unknown { upstream: None } },
    witness_unreachable = { None, KeyOutcome::Unknown { upstream: None } },
    unexpected_reply = { Some(WitnessReply::Permitted), KeyOutcome::Unknown { upstream: None } },
)]
fn an_unreachable_issuer_ends_as_not_run_or_unknown(
    reply: Option<WitnessReply>,
    expected: KeyOutcome,
) {
    let mut harness = Harness::new();
    for known_dead in [false, true] {
        let started = Receiver::start(harness.issue(), known_dead.then_some(2));
        let mut receiver = started.receiver;
        let step = if known_dead {
            Some(started.step)
        } else {
            receiver.on_unreachable()
        };
        assert!(matches!(step, Some(ReceiverStep::Close { .. })));
        let step = match reply.clone() {
            Some(reply) => receiver.on_witness_reply(reply),
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
    let mut harness = Harness::new();
    let key = harness.issuer.issue(harness.now, "org".into(), None);
    assert_eq!(harness.use_key(&key), UseDecision::First);
    assert_eq!(
        harness
            .issuer
            .request_permission(harness.now, key.sequence, &"replica".into()),
        Permission::Granted
    );
    let mut receiver = Receiver::start(key, None).receiver;
    let unknown = ReceiverStep::Answer(KeyOutcome::Unknown { upstream: None });
    assert_eq!(receiver.on_unreachable(), Some(unknown));
}

#[test]
fn a_witness_of_another_incarnation_permits_and_closes_nothing() {
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
    let mut harness = Harness::new();
    let live = ["a".into(), "issuer".into(), "z".into()];
    let mut chosen = Vec::new();
    for _ in 0..4 {
        chosen.push(
            harness
                .issuer
                .next_witness(&live)
                .expect("others live")
                .to_string(),
        );
        harness.issue();
    }
    assert_eq!(chosen, ["a", "z", "a", "z"]);
    assert_eq!(harness.issuer.next_witness(&live[1..2]), None);
}
