//! A call with an idempotency key at the instance where it came in.

use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, StatusCode};
use kingcupfield_decisions::id::{InstanceId, RequestId, ServiceId};
use kingcupfield_decisions::idempotency::{
    IssuerReply, Key, KeyError, KeyOutcome, NotRun, Receiver, ReceiverStep, StartedReceiver,
    StoredResponse, WitnessReply, WitnessRequest,
};
use tokio::time::{Instant, sleep_until, timeout};

use crate::caller::Caller;
use crate::calls::{KeyQuestion, KeyReply, KeyedCall, KeyedRefusal};
use crate::error::{Refusal, RefusalKind, RunStatus};
use crate::issue::heirs;
use crate::keyed_run;
use crate::plain::PlainCall;
use crate::reply::{self, Head};
use crate::shared::Shared;
use crate::upstream::IDEMPOTENCY_KEY;

/// How long a witness or a successor may take: they answer from memory, over a slow link between
/// regions in some tens of milliseconds.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);

/// How long after the deadline the issuer's own refusal may still be under way.
const REFUSAL_WITHIN: Duration = Duration::from_millis(250);

/// Runs or replays a call whose caller was authenticated.
pub async fn handle(
    shared: Shared,
    id: RequestId,
    call: PlainCall,
    caller: Caller,
    service: ServiceId,
    received: Instant,
) -> Response {
    let head = match decode(&shared, &call.headers, &caller) {
        Err(refusal) => Head::Refused(refusal),
        Ok(key) => {
            let keyed = keyed_call(&id, &call, &caller, service);
            let deadline = received + caller.timeout;
            let follow = Follow {
                shared,
                keyed,
                deadline,
                refusal: None,
            };
            follow.run(key).await
        }
    };
    reply::respond(&id, head)
}

fn decode(shared: &Shared, headers: &HeaderMap, caller: &Caller) -> Result<Key, Refusal> {
    let text = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let organisation = &caller.organisation.organisation;
    shared.keys.decode(text, organisation).map_err(|e| {
        let kind = match e {
            KeyError::OtherOrganisation | KeyError::Forged => RefusalKind::Forbidden,
            KeyError::TooLong
            | KeyError::Malformed
            | KeyError::Truncated
            | KeyError::ShortSecret => RefusalKind::BadRequest,
        };
        Refusal::new(kind).with_message(format!("Idempotency-Key: {e}"))
    })
}

fn keyed_call(id: &RequestId, call: &PlainCall, caller: &Caller, service: ServiceId) -> KeyedCall {
    let text = |name: &str| {
        call.headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned)
    };
    KeyedCall {
        request: id.clone(),
        key: text(IDEMPOTENCY_KEY).unwrap_or_default(),
        organisation: caller.organisation.organisation.clone(),
        weight: caller.organisation.weight,
        tier: caller.tier.tier.clone(),
        rank: caller.tier.rank,
        attempt: caller.attempt,
        service,
        method: call.method.to_string(),
        path: call.path.clone(),
        content_type: text(CONTENT_TYPE.as_str()),
        body: STANDARD.encode(&call.body),
        time_left: caller.timeout,
    }
}

/// Follows one call from instance to instance until it has an answer.
struct Follow {
    shared: Shared,
    keyed: KeyedCall,
    deadline: Instant,
    refusal: Option<KeyedRefusal>,
}

impl Follow {
    async fn run(mut self, key: Key) -> Head {
        let known = self.shared.members.view().incarnation(&key.issuer);
        let StartedReceiver {
            mut receiver,
            mut step,
        } = Receiver::start(key.clone(), known);
        loop {
            step = match step {
                ReceiverStep::Forward { to } => {
                    let answer = self.forward(&to, &key).await;
                    let next = match answer {
                        Forwarded::Answer(answer) => receiver.on_issuer_reply(answer),
                        Forwarded::Unreachable => receiver.on_unreachable(),
                        Forwarded::Late => return Head::Refused(still_running()),
                    };
                    next.unwrap_or_else(|| self.lost(&mut receiver))
                }
                ReceiverStep::LookUp { to } => {
                    let answer = self.look_up(&to, &key).await;
                    let next = match answer {
                        Some(answer) => receiver.on_issuer_reply(answer),
                        None => receiver.on_unreachable(),
                    };
                    next.unwrap_or_else(|| self.lost(&mut receiver))
                }
                ReceiverStep::Close { to, message } => {
                    if let Some(head) = self.try_heirs(&key).await {
                        return head;
                    }
                    let answer = ask_witness(&self.shared, &to, message).await;
                    let next = match answer {
                        Some(answer) => receiver.on_witness_reply(answer),
                        None => receiver.on_unreachable(),
                    };
                    next.unwrap_or_else(|| self.lost(&mut receiver))
                }
                ReceiverStep::Answer(outcome) => return head_of(outcome),
                ReceiverStep::Refuse => return self.refused(),
            };
        }
    }

    async fn forward(&mut self, to: &InstanceId, key: &Key) -> Forwarded {
        self.keyed.time_left = self.deadline.saturating_duration_since(Instant::now());
        let reply = if *to == self.shared.instance {
            let local = keyed_run::run(&self.shared, key, &self.keyed);
            tokio::select! {
                biased;
                reply = local => Some(reply),
                () = sleep_until(self.deadline) => return Forwarded::Late,
            }
        } else {
            let question = KeyQuestion::Call(Box::new(self.keyed.clone()));
            let asked = self.shared.calls.ask(to, question);
            tokio::select! {
                reply = asked => reply.ok(),
                () = self.shared.members.gone(to) => None,
                // A paused issuer would take the call from its socket when it wakes and book long
                // after the caller gave up: the key is closed at its witness instead.
                () = sleep_until(self.deadline + REFUSAL_WITHIN) => None,
            }
        };
        match reply {
            Some(KeyReply::Issuer(answer)) => Forwarded::Answer(answer),
            Some(KeyReply::Refused(refusal)) => {
                self.refusal = Some(refusal);
                Forwarded::Answer(IssuerReply::Refused)
            }
            _ => Forwarded::Unreachable,
        }
    }

    /// Passes the call on to an heir of the issuer, if one took its unused keys over.
    ///
    /// Only a leaver that gave its own right up has an heir; without one nothing happens here.
    async fn try_heirs(&mut self, key: &Key) -> Option<Head> {
        for heir in heirs(&self.shared, &key.issuer) {
            match self.forward(&heir, key).await {
                Forwarded::Answer(IssuerReply::Outcome(outcome)) => return Some(head_of(outcome)),
                Forwarded::Answer(IssuerReply::Refused) => return Some(self.refused()),
                Forwarded::Answer(IssuerReply::Moved { .. } | IssuerReply::NotHere)
                | Forwarded::Unreachable => {}
                Forwarded::Late => return Some(Head::Refused(still_running())),
            }
        }
        None
    }

    fn refused(&self) -> Head {
        let refusal = self.refusal.clone().map(KeyedRefusal::into_refusal);
        Head::Refused(refusal.unwrap_or_else(|| Refusal::new(RefusalKind::Unavailable)))
    }

    async fn look_up(&self, to: &InstanceId, key: &Key) -> Option<IssuerReply> {
        if *to == self.shared.instance {
            return Some(self.shared.keys.look_up(&key.id()));
        }
        let asked = self.shared.calls.ask(to, KeyQuestion::LookUp(key.id()));
        match timeout(ANSWER_WITHIN, asked).await {
            Ok(Ok(KeyReply::Issuer(answer))) => Some(answer),
            _ => None,
        }
    }

    /// The receiver had no next step for an answer that did not fit.
    fn lost(&self, receiver: &mut Receiver) -> ReceiverStep {
        log::warn!("event=key_answer_unexpected request={}", self.keyed.request);
        let unknown = ReceiverStep::Answer(KeyOutcome::Unknown { upstream: None });
        receiver.on_unreachable().unwrap_or(unknown)
    }
}

enum Forwarded {
    Answer(IssuerReply),
    Unreachable,
    Late,
}

/// Asks a witness, which may be this instance, or the heirs of one that has left.
///
/// A witness that left can tell nothing any more, so its heir may answer in its place; one that
/// is merely out of reach has no heir, and whoever is asked says that it is lost.
pub async fn ask_witness(
    shared: &Shared,
    to: &InstanceId,
    message: WitnessRequest,
) -> Option<WitnessReply> {
    let mut answer = ask_one_witness(shared, to, to, &message).await;
    if answer.as_ref().is_some_and(|a| *a != WitnessReply::Lost) {
        return answer;
    }
    for heir in heirs(shared, to) {
        let inherited = ask_one_witness(shared, &heir, to, &message).await;
        if inherited.as_ref().is_some_and(|a| *a != WitnessReply::Lost) {
            return inherited;
        }
        answer = answer.or(inherited);
    }
    answer
}

async fn ask_one_witness(
    shared: &Shared,
    asked: &InstanceId,
    witness: &InstanceId,
    message: &WitnessRequest,
) -> Option<WitnessReply> {
    if *asked == shared.instance {
        return Some(shared.keys.on_witness(witness, message));
    }
    let question = KeyQuestion::Witness {
        witness: witness.clone(),
        message: message.clone(),
    };
    match timeout(ANSWER_WITHIN, shared.calls.ask(asked, question)).await {
        Ok(Ok(KeyReply::Witness(answer))) => Some(answer),
        _ => None,
    }
}

fn still_running() -> Refusal {
    let message = "the deadline passed while the call was under way; ask again with the same key";
    Refusal::new(RefusalKind::Unknown).with_message(message)
}

fn head_of(outcome: KeyOutcome) -> Head {
    match outcome {
        KeyOutcome::Ran {
            answer: Some(answer),
            ..
        } => Head::Stream(replay(answer)),
        KeyOutcome::Ran {
            upstream,
            answer: None,
        } => {
            let message = format!("it ran once at {upstream}; its answer is no longer kept");
            Head::Refused(
                Refusal::new(RefusalKind::KeyConflict)
                    .with_message(message)
                    .with_ran(RunStatus::Yes),
            )
        }
        KeyOutcome::NotRun(why) => Head::Refused(not_run(why)),
        KeyOutcome::Unknown { upstream } => {
            let place = upstream.map_or("an upstream".to_owned(), |u| format!("upstream {u}"));
            let message =
                format!("it may have run at {place}; it will not run again under this key");
            Head::Refused(Refusal::new(RefusalKind::Unknown).with_message(message))
        }
    }
}

fn not_run(why: NotRun) -> Refusal {
    match why {
        NotRun::Late => Refusal::new(RefusalKind::Deadline),
        NotRun::Expired => conflict("the key has expired; get a new one"),
        NotRun::Mismatch => conflict("the key was used for another call"),
        NotRun::Closed => {
            unavailable("the key's instance could not be reached; the key is closed, get a new one")
        }
        NotRun::NoWitness => {
            unavailable("the key's witness could not be reached; the key is closed, get a new one")
        }
        NotRun::Full => unavailable("too many keys are remembered"),
        NotRun::Leaving => unavailable("the key's instance left; get a new one"),
        NotRun::NotSent => {
            unavailable("the upstream could not be connected; the key is closed, get a new one")
        }
    }
}

fn conflict(message: &str) -> Refusal {
    Refusal::new(RefusalKind::KeyConflict).with_message(message)
}

fn unavailable(message: &str) -> Refusal {
    Refusal::new(RefusalKind::Unavailable).with_message(message)
}

fn replay(answer: StoredResponse) -> Response {
    let mut rsp = Response::new(Body::from(answer.body));
    *rsp.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(value) = answer
        .content_type
        .and_then(|t| HeaderValue::from_str(&t).ok())
    {
        rsp.headers_mut().insert(CONTENT_TYPE, value);
    }
    rsp
}
