//! A call with an idempotency key at the key's issuer, which alone may dispatch it.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kingcupfield_decisions::idempotency::{
    CallAttempt, IssuerReply, Key, KeyOutcome, NotRun, Permission, StoredResponse,
};
use kingcupfield_decisions::slots;
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};
use xxhash_rust::xxh3::Xxh3;

use crate::admission::admit;
use crate::calls::{KeyReply, KeyedCall, KeyedRefusal};
use crate::connector::ExchangeError;
use crate::error::{Refusal, RefusalKind};
use crate::keyed::ask_witness;
use crate::keys::Met;
use crate::limits::Admission;
use crate::request::{Dispatched, Meta, NotSent, Received, Request, Waiting};
use crate::scheduler::PLAIN_CALL_WORK;
use crate::shared::Shared;
use crate::slots::{Grant, SlotRequest};
use crate::upstream::{IDEMPOTENCY_KEY, Upstream};

/// How long after the caller's deadline the answer of a dispatched call is still waited for: a
/// retry with the same key gets it, instead of "unknown".
const PATIENCE: Duration = Duration::from_secs(30);

/// Largest answer that is passed on.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// Runs the call if its key was not used yet; else waits for the call under way, or answers.
pub async fn run(shared: &Shared, key: &Key, keyed: &KeyedCall) -> KeyReply {
    let deadline = Instant::now() + keyed.time_left;
    let call = CallAttempt {
        id: keyed.request.clone(),
        hash: hash_of(keyed),
        deadline,
    };
    let mut ended = loop {
        match shared.keys.on_use(key, call.clone()) {
            Met::Answer(answer) => return KeyReply::Issuer(answer),
            Met::Held(left) => left.left().await,
            Met::Join(ended) => break ended,
            Met::First(tx, ended) => {
                let first = FirstUse {
                    shared: shared.clone(),
                    key: key.clone(),
                    keyed: keyed.clone(),
                    deadline,
                };
                // In a task of its own: a caller that goes away must not cut a booking in the
                // middle.
                tokio::spawn(first.run(tx));
                break ended;
            }
        }
    };
    let unknown = || KeyReply::Issuer(IssuerReply::Outcome(KeyOutcome::Unknown { upstream: None }));
    let reply = match ended.wait_for(Option::is_some).await {
        Ok(reply) => reply.clone(),
        Err(_) => None,
    };
    reply.unwrap_or_else(unknown)
}

/// Hash over what makes two calls the same.
fn hash_of(keyed: &KeyedCall) -> u64 {
    let mut hash = Xxh3::new();
    for part in [&*keyed.service, &keyed.method, &keyed.path, &keyed.body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.digest()
}

/// The first use of a key.
struct FirstUse {
    shared: Shared,
    key: Key,
    keyed: KeyedCall,
    deadline: Instant,
}

impl FirstUse {
    async fn run(self, tx: watch::Sender<Option<KeyReply>>) {
        let reply = self.reply().await;
        tx.send_replace(Some(reply));
    }

    async fn reply(&self) -> KeyReply {
        let request = self.request();
        let (waiting, grant, _admission) = match self.queue(request).await {
            Ok(queued) => queued,
            Err(refusal) => {
                return match self.shared.keys.refuse(&self.key.id()) {
                    Some(IssuerReply::Refused) | None => {
                        KeyReply::Refused(KeyedRefusal::new(&refusal))
                    }
                    Some(answer) => KeyReply::Issuer(answer),
                };
            }
        };
        if let Err(why) = self.permit(&grant).await {
            return self.give_up(waiting, why);
        }
        let upstream = Upstream::new(grant.address.clone(), self.shared.connector.clone());
        // From here to the first byte nothing waits: the last check of deadline and right.
        if let Err(why) = self.shared.keys.dispatch(&self.key.id()) {
            return self.give_up(waiting, why);
        }
        let dispatched = waiting.dispatch(grant.upstream.clone());
        self.exchange(dispatched, &upstream, grant).await
    }

    fn request(&self) -> Request<Received> {
        let keyed = &self.keyed;
        let meta = Meta {
            request: keyed.request.clone(),
            organisation: keyed.organisation.clone(),
            weight: keyed.weight,
            tier: keyed.tier.clone(),
            rank: keyed.rank,
            service: keyed.service.clone(),
            received: Instant::now(),
            deadline: self.deadline,
            attempt: keyed.attempt,
        };
        Request::new(
            meta,
            self.shared.records.clone(),
            self.shared.metrics.clone(),
        )
    }

    async fn queue(
        &self,
        request: Request<Received>,
    ) -> Result<(Request<Waiting>, Grant, Admission), Refusal> {
        let admission = match admit(&self.shared, request.meta(), 0) {
            Ok(admission) => admission,
            Err(refusal) => return Err(request.refuse(refusal).into_refusal()),
        };
        let waiting = request.admit();
        let meta = Arc::clone(waiting.meta());
        let granted = timeout_at(self.deadline, self.acquire(&meta)).await;
        match granted.unwrap_or_else(|_| Err(Refusal::new(RefusalKind::Deadline))) {
            Ok(grant) => Ok((waiting, grant, admission)),
            Err(refusal) => Err(waiting.refuse(refusal).into_refusal()),
        }
    }

    /// Waits for a slot at a replica that doesn't rest.
    async fn acquire(&self, meta: &Arc<Meta>) -> Result<Grant, Refusal> {
        loop {
            let need = SlotRequest::plain_call(self.keyed.body.len() as u64)
                .with_excluded(self.shared.rests.resting());
            let grant = self.shared.slots.acquire(meta, need).await?;
            if !self.shared.rests.holds(&grant.upstream) {
                return Ok(grant);
            }
        }
    }

    /// Asks the witness, once.
    async fn permit(&self, grant: &Grant) -> Result<(), NotRun> {
        match self.shared.keys.ask(&self.key.id(), &grant.upstream) {
            Permission::Granted => Ok(()),
            Permission::NotRun(why) => Err(why),
            Permission::AskWitness { to, message } => {
                let answer = ask_witness(&self.shared, &to, message).await;
                self.shared
                    .keys
                    .on_answer(&self.key.id(), answer.as_ref())?;
                if grant.is_valid() {
                    Ok(())
                } else {
                    Err(NotRun::Late)
                }
            }
        }
    }

    fn give_up(&self, waiting: Request<Waiting>, why: NotRun) -> KeyReply {
        let outcome = self.shared.keys.give_up(&self.key.id(), why);
        let refusal =
            Refusal::new(RefusalKind::Unavailable).with_message(format!("key given up: {why:?}"));
        waiting.refuse(refusal);
        KeyReply::Issuer(IssuerReply::Outcome(
            outcome.unwrap_or(KeyOutcome::NotRun(why)),
        ))
    }

    async fn exchange(
        &self,
        dispatched: Request<Dispatched>,
        upstream: &Upstream,
        grant: Grant,
    ) -> KeyReply {
        let started = dispatched.state().at;
        let answer = self.call(upstream, &grant).await;
        let took = started.elapsed();
        let outcome = match answer {
            Ok(answer) => {
                dispatched.first_token();
                dispatched.answered();
                self.shared.keys.finish(&self.key.id(), Some(answer))
            }
            Err(e) => self.broke(dispatched, &e),
        };
        let whole = matches!(outcome, Some(KeyOutcome::Ran { .. }));
        let first_token = whole.then_some(took);
        grant.finish(slots::RequestOutcome {
            whole,
            first_token,
            between_tokens: None,
            work: PLAIN_CALL_WORK,
        });
        let outcome = outcome.unwrap_or(KeyOutcome::Unknown { upstream: None });
        KeyReply::Issuer(IssuerReply::Outcome(outcome))
    }

    fn broke(&self, dispatched: Request<Dispatched>, e: &ExchangeError) -> Option<KeyOutcome> {
        let Some(proof) = NotSent::from_error(e) else {
            dispatched.broke(e.to_string());
            return self.shared.keys.finish(&self.key.id(), None);
        };
        let refusal = Refusal::new(RefusalKind::Unavailable).with_message(e.to_string());
        dispatched.not_sent(proof).refuse(refusal);
        self.shared.keys.not_sent(&self.key.id())
    }

    async fn call(
        &self,
        upstream: &Upstream,
        grant: &Grant,
    ) -> Result<StoredResponse, ExchangeError> {
        let keyed = &self.keyed;
        let method = Method::from_bytes(keyed.method.as_bytes())
            .map_err(|e| ExchangeError::NotSent(e.to_string()))?;
        let body = STANDARD
            .decode(&keyed.body)
            .map_err(|e| ExchangeError::NotSent(e.to_string()))?;
        let headers = self.headers();
        let sent = upstream.call(
            method,
            &keyed.path,
            &keyed.request,
            &headers,
            Bytes::from(body),
        );
        let exchange = async {
            let answer = sent.await?;
            // The call may have run all the same, so the answer goes to the caller.
            self.shared.rests.on_response(&grant.upstream, &answer);
            whole_answer(answer).await
        };
        let patience = keyed.time_left + PATIENCE;
        timeout(patience, exchange)
            .await
            .unwrap_or(Err(ExchangeError::Timeout))
    }

    fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&self.keyed.key) {
            headers.insert(IDEMPOTENCY_KEY, value);
        }
        let content_type = self
            .keyed
            .content_type
            .as_deref()
            .map(HeaderValue::from_str);
        if let Some(Ok(value)) = content_type {
            headers.insert(CONTENT_TYPE, value);
        }
        headers
    }
}

async fn whole_answer(rsp: Response<Incoming>) -> Result<StoredResponse, ExchangeError> {
    let (parts, body) = rsp.into_parts();
    let body = Limited::new(body, ANSWER_LIMIT).collect().await;
    let body = body
        .map_err(|e| ExchangeError::Broke(e.to_string()))?
        .to_bytes();
    let content_type = parts
        .headers
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok());
    Ok(StoredResponse {
        status: parts.status.as_u16(),
        content_type: content_type.map(str::to_owned),
        body: body.to_vec(),
    })
}
