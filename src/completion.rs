//! One completion from receipt to the last chunk.

use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use futures::stream;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kingcupfield_decisions::id::{RequestId, Tokens};
use kingcupfield_decisions::slots::RequestOutcome;
use kingcupfield_decisions::values::ServiceKind;
use kingcupfield_decisions::work::Work;
use serde_json::{Value, json};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::attempt::{self, HeadSender, Job, Sent, Unsent};
use crate::caller::Caller;
use crate::error::{Refusal, RefusalKind, RunStatus};
use crate::limits::Admission;
use crate::prompt::Prompt;
use crate::record::Step;
use crate::reply::{self, Head};
use crate::request::{Dispatched, Meta, NotSent, Received, Request, Waiting};
use crate::shared::Shared;
use crate::slots::{Grant, SlotRequest, failed_outcome};
use crate::stream::{AnswerStream, Broken};
use crate::upstream::Upstream;

/// Chunks that wait for a slow reader; then its own stream is no longer read, nobody else's.
const READER_BUFFER: usize = 32;

/// Bytes of an answer's token as it crosses a link, with its event.
const BYTES_PER_TOKEN: u64 = 200;

/// Of an error answer's body this much is passed on.
const ERROR_LIMIT: usize = 2048;

/// Size in bytes from which a body counts as large.
const LARGE_BODY_BYTES: usize = 64 * 1024;

/// Held while a large body is parsed.
static PARSE_TURN: Semaphore = Semaphore::const_new(1);

type Chunks = mpsc::Sender<Result<Bytes, Broken>>;

/// A completion on its way.
#[derive(Debug)]
pub struct Completion {
    shared: Shared,
    path: String,
    prompt: Prompt,
    body: Bytes,
}

/// Receives a completion and answers it.
pub async fn handle(
    shared: Shared,
    id: RequestId,
    path: String,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let received = Instant::now();
    let parsed = {
        // A parsed body takes several times its size, so that large ones are parsed one at a time.
        let _turn = match body.len() {
            LARGE_BODY_BYTES.. => PARSE_TURN.acquire().await.ok(),
            _ => None,
        };
        receive(&shared, &id, path, &headers, &body, received)
    };
    drop(body);
    match parsed {
        Err(refusal) => reply::refused(&id, &refusal),
        Ok((completion, request)) => {
            let (tx, rx) = oneshot::channel();
            tokio::spawn(async move { attempt::run(&shared, &completion, request, tx).await });
            match rx.await {
                Ok(head) => reply::respond(&id, head),
                Err(_) => reply::refused(&id, &Refusal::new(RefusalKind::Unknown)),
            }
        }
    }
}

fn receive(
    shared: &Shared,
    id: &RequestId,
    path: String,
    headers: &HeaderMap,
    body: &Bytes,
    received: Instant,
) -> Result<(Completion, Request<Received>), Refusal> {
    let snapshot = shared.fleet.snapshot();
    let caller = Caller::from_headers(headers, &snapshot)?;
    let mut value: Value = serde_json::from_slice(body).map_err(|e| {
        Refusal::new(RefusalKind::BadRequest).with_message(format!("the body is not JSON: {e}"))
    })?;
    let prompt = Prompt::parse(&value)?;
    let service = snapshot
        .service(&prompt.model)
        .filter(|s| s.kind == ServiceKind::Model)
        .ok_or_else(|| {
            Refusal::new(RefusalKind::NotFound).with_message(format!("no model {:?}", prompt.model))
        })?;
    let meta = Meta::new(id, &caller, service.service.clone(), received);
    value["stream"] = json!(true);
    let body = shared.memory.hold_bytes(value.to_string().into_bytes());
    let request = Request::new(meta, shared.records.clone(), shared.metrics.clone());
    Ok((
        Completion {
            shared: shared.clone(),
            path,
            prompt,
            body,
        },
        request,
    ))
}

impl Job for Completion {
    fn tokens(&self) -> Tokens {
        self.prompt.tokens + self.prompt.max_tokens
    }

    fn need(&self) -> SlotRequest {
        let bytes = self.body.len() as u64 + self.prompt.max_tokens * BYTES_PER_TOKEN;
        SlotRequest::completion(self.prompt.tokens, self.prompt.max_tokens, bytes)
            .with_prefixes(self.prompt.prefixes.clone())
    }

    async fn dispatch(
        &self,
        waiting: Request<Waiting>,
        grant: Grant,
        head: HeadSender,
        admission: &mut Admission,
    ) -> Sent {
        let upstream = Upstream::new(grant.address.clone(), self.shared.connector.clone());
        let dispatched = waiting.dispatch(grant.upstream.clone());
        let id = dispatched.meta().request.clone();
        let answer = upstream.complete(&self.path, &id, self.body.clone()).await;
        let stream = AnswerStream::new(upstream.clone(), grant.upstream.clone(), id, &self.shared);
        let stream = match answer {
            Ok(rsp) if rsp.status() == StatusCode::OK => stream.with_body(rsp.into_body()),
            Ok(rsp) if let Some(rest) = self.shared.rests.on_response(&grant.upstream, &rsp) => {
                let waiting = dispatched.not_sent(NotSent::turned_away(rest));
                return Sent::NotSent(Box::new(Unsent { waiting, head }));
            }
            Ok(rsp) => {
                let refusal = upstream_error(rsp.status(), rsp.into_body()).await;
                dispatched.broke(refusal.message.clone());
                head.send(Head::Refused(refusal)).ok();
                return Sent::Done;
            }
            Err(e) => match NotSent::from_error(&e) {
                Some(proof) => {
                    grant.finish(failed_outcome());
                    let waiting = dispatched.not_sent(proof);
                    return Sent::NotSent(Box::new(Unsent { waiting, head }));
                }
                None => stream.with_break(e.to_string()),
            },
        };
        let run = Run::new(dispatched, self.prompt.tokens);
        let stream = if self.prompt.stream {
            stream
        } else {
            stream.with_text()
        };
        let outcome = self.follow(run, stream, &upstream, head, &grant).await;
        admission.set_used(outcome.work.prefill + outcome.work.decode);
        grant.finish(outcome);
        Sent::Done
    }
}

impl Completion {
    async fn follow(
        &self,
        mut run: Run,
        mut stream: AnswerStream,
        upstream: &Upstream,
        mut head: oneshot::Sender<Head>,
        grant: &Grant,
    ) -> RequestOutcome {
        let first = tokio::select! {
            chunk = stream.next() => chunk,
            () = head.closed() => return self.cancel(run, upstream, "caller_gone").await,
            () = sleep_until(run.deadline()) => {
                head.send(Head::Refused(late())).ok();
                return self.cancel(run, upstream, "deadline").await;
            }
        };
        run.first_token(&mut stream, grant);
        if !self.prompt.stream {
            return self.collect(run, stream, first, upstream, head).await;
        }
        let (tx, rx) = mpsc::channel(READER_BUFFER);
        match first {
            Some(Err(broken)) => {
                head.send(Head::Refused(broke(&broken))).ok();
                run.broke(&stream, broken)
            }
            Some(Ok(chunk)) => {
                head.send(Head::Stream(event_stream(rx))).ok();
                tx.send(Ok(chunk)).await.ok();
                self.pump(run, stream, upstream, tx).await
            }
            None => {
                head.send(Head::Stream(event_stream(rx))).ok();
                tx.send(Ok(done())).await.ok();
                run.answered(&stream)
            }
        }
    }

    async fn pump(
        &self,
        run: Run,
        mut stream: AnswerStream,
        upstream: &Upstream,
        tx: Chunks,
    ) -> RequestOutcome {
        loop {
            let chunk = tokio::select! {
                chunk = stream.next() => chunk,
                () = tx.closed() => return self.cancel(run, upstream, "caller_gone").await,
                () = sleep_until(run.deadline()) => {
                    tx.send(Err(Broken { reason: "the deadline passed".to_owned() })).await.ok();
                    return self.cancel(run, upstream, "deadline").await;
                }
            };
            run.note_resumed(&mut stream);
            match chunk {
                Some(Ok(chunk)) => {
                    if tx.send(Ok(chunk)).await.is_err() {
                        return self.cancel(run, upstream, "caller_gone").await;
                    }
                }
                Some(Err(broken)) => {
                    let error = Broken {
                        reason: broken.reason.clone(),
                    };
                    tx.send(Err(error)).await.ok();
                    return run.broke(&stream, broken);
                }
                None => {
                    if tx.send(Ok(done())).await.is_err() {
                        return self.cancel(run, upstream, "caller_gone").await;
                    }
                    return run.answered(&stream);
                }
            }
        }
    }

    async fn collect(
        &self,
        run: Run,
        mut stream: AnswerStream,
        first: Option<Result<Bytes, Broken>>,
        upstream: &Upstream,
        mut head: oneshot::Sender<Head>,
    ) -> RequestOutcome {
        let mut chunk = first;
        loop {
            match chunk {
                Some(Ok(_)) => {}
                Some(Err(broken)) => {
                    head.send(Head::Refused(broke(&broken))).ok();
                    return run.broke(&stream, broken);
                }
                None => break,
            }
            chunk = tokio::select! {
                chunk = stream.next() => chunk,
                () = head.closed() => return self.cancel(run, upstream, "caller_gone").await,
                () = sleep_until(run.deadline()) => {
                    head.send(Head::Refused(late())).ok();
                    return self.cancel(run, upstream, "deadline").await;
                }
            };
            run.note_resumed(&mut stream);
        }
        let decoded = stream.passed();
        let id = run.request.meta().request.clone();
        let outcome = run.answered(&stream);
        let text = stream.into_text();
        let body = reply::completion_body(&self.path, &id, &self.prompt, decoded, &text);
        head.send(Head::Json(body)).ok();
        outcome
    }

    /// Cancels the stream upstream and counts its prefill as wasted.
    async fn cancel(&self, run: Run, upstream: &Upstream, reason: &str) -> RequestOutcome {
        let id = run.request.meta().request.clone();
        if let Err(e) = upstream.cancel(&id).await {
            log::debug!(
                "event=cancel_failed request={id} reason={}",
                crate::logging::quote_value(e)
            );
        }
        let wasted = self
            .shared
            .metrics
            .wasted_prefill
            .with_label_values(&[reason]);
        wasted.inc_by(self.prompt.tokens);
        run.cancelled(reason == "deadline")
    }
}

/// A dispatched completion with the times that the owner of the replica wants to know.
struct Run {
    request: Request<Dispatched>,
    prefill: u64,
    started: Instant,
    first_token: Option<Duration>,
}

impl Run {
    fn new(request: Request<Dispatched>, prefill: u64) -> Self {
        let started = request.state().at;
        Self {
            request,
            prefill,
            started,
            first_token: None,
        }
    }

    fn deadline(&self) -> Instant {
        self.request.meta().deadline
    }

    fn first_token(&mut self, stream: &mut AnswerStream, grant: &Grant) {
        self.note_resumed(stream);
        if stream.passed() > 0 {
            let took = self.started.elapsed();
            grant.report_first_token(took);
            self.first_token = Some(took);
            self.request.first_token();
        }
    }

    fn note_resumed(&self, stream: &mut AnswerStream) {
        if let Some(from) = stream.take_resumed() {
            self.request.note(Step::Resumed { from });
        }
    }

    fn outcome(&self, whole: bool, decoded: u64) -> RequestOutcome {
        let after_first = self
            .first_token
            .map(|t| self.started.elapsed().saturating_sub(t));
        let gaps = u32::try_from(decoded.saturating_sub(1)).unwrap_or(u32::MAX);
        RequestOutcome {
            whole,
            first_token: self.first_token,
            between_tokens: after_first.filter(|_| gaps > 0).map(|t| t / gaps),
            work: Work::new(self.prefill, decoded),
        }
    }

    fn answered(self, stream: &AnswerStream) -> RequestOutcome {
        let outcome = self.outcome(true, stream.passed());
        self.request.answered();
        outcome
    }

    fn broke(self, stream: &AnswerStream, broken: Broken) -> RequestOutcome {
        let outcome = self.outcome(false, stream.passed());
        self.request.broke(broken.reason);
        outcome
    }

    /// A caller that went away, or whose deadline passed while tokens still came, says nothing of
    /// the replica. A deadline that passed before the first token does.
    fn cancelled(self, late: bool) -> RequestOutcome {
        let silent = self.first_token.is_none();
        let outcome = self.outcome(!(late && silent), 0);
        if late {
            self.request.late();
        } else {
            self.request.cancelled();
        }
        outcome
    }
}

fn event_stream(rx: mpsc::Receiver<Result<Bytes, Broken>>) -> Response {
    let chunks = stream::unfold(rx, |mut rx| async move { rx.recv().await.map(|c| (c, rx)) });
    Response::builder()
        .header(CONTENT_TYPE, "text/event-stream")
        .header(CACHE_CONTROL, "no-cache")
        .body(Body::from_stream(chunks))
        .expect("constant headers")
}

fn done() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

fn late() -> Refusal {
    Refusal::new(RefusalKind::Deadline)
        .with_message("the deadline passed while it ran")
        .with_ran(RunStatus::Yes)
}

fn broke(broken: &Broken) -> Refusal {
    Refusal::new(RefusalKind::UpstreamBroke).with_message(broken.reason.clone())
}

/// An engine that answers with an error has seen the request: it counts as run.
async fn upstream_error(status: StatusCode, body: Incoming) -> Refusal {
    let kind = if status.is_client_error() {
        RefusalKind::BadRequest
    } else {
        RefusalKind::UpstreamBroke
    };
    let text = Limited::new(body, ERROR_LIMIT)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let message = format!(
        "the upstream answered {status}: {}",
        String::from_utf8_lossy(&text)
    );
    Refusal::new(kind)
        .with_message(message)
        .with_ran(RunStatus::Yes)
}
