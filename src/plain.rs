//! One call of a plain service from receipt to the last byte.

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use futures::stream;
use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, Method};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use kingcupfield_decisions::id::{RequestId, ServiceId, Tokens};
use kingcupfield_decisions::slots::RequestOutcome;
use kingcupfield_decisions::values::ServiceKind;
use percent_encoding::percent_decode_str;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::attempt::{self, HeadSender, Job, Sent, Unsent};
use crate::caller::{ATTEMPT, Caller, TIER, TIMEOUT_MS};
use crate::connector::ExchangeError;
use crate::error::{Refusal, RefusalKind, RunStatus};
use crate::keyed;
use crate::limits::Admission;
use crate::reply::{self, Head};
use crate::request::{Dispatched, Meta, NotSent, Request, Waiting};
use crate::scheduler::PLAIN_CALL_WORK;
use crate::shared::Shared;
use crate::slots::{Grant, SlotRequest};
use crate::stream::Broken;
use crate::upstream::{IDEMPOTENCY_KEY, Upstream, X_REQUEST_ID};

/// Pieces of an answer that wait for a slow reader.
const READER_BUFFER: usize = 16;

/// Headers that concern one connection, or this system, and are not passed on.
const OWN_HEADERS: [HeaderName; 11] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static(TIER),
    HeaderName::from_static(TIMEOUT_MS),
    HeaderName::from_static(ATTEMPT),
];

/// What a caller asked a plain service.
#[derive(Debug)]
pub struct PlainCall {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: Method,
    /// Path at the replica as the caller wrote it, with the query.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Receives a plain call and answers it.
pub async fn handle(shared: Shared, id: RequestId, call: PlainCall) -> Response {
    let received = Instant::now();
    let (caller, service) = match receive(&shared, &call) {
        Ok(Admissible { caller, service }) => (caller, service),
        Err(refusal) => return reply::refused(&id, &refusal),
    };
    if call.headers.contains_key(IDEMPOTENCY_KEY) {
        return keyed::handle(shared, id, call, caller, service, received).await;
    }
    let meta = Meta::new(&id, &caller, service, received);
    let request = Request::new(meta, shared.records.clone(), shared.metrics.clone());
    let (tx, rx) = oneshot::channel();
    let run = PlainRun {
        call,
        shared: shared.clone(),
    };
    tokio::spawn(async move { attempt::run(&shared, &run, request, tx).await });
    match rx.await {
        Ok(head) => reply::respond(&id, head),
        Err(_) => reply::refused(&id, &Refusal::new(RefusalKind::Unknown)),
    }
}

/// A call of a known caller to a known service, with a key if it needs one.
struct Admissible {
    caller: Caller,
    service: ServiceId,
}

fn receive(shared: &Shared, call: &PlainCall) -> Result<Admissible, Refusal> {
    let snapshot = shared.fleet.snapshot();
    let caller = Caller::from_headers(&call.headers, &snapshot)?;
    let service = snapshot
        .service(&call.service)
        .filter(|s| s.kind == ServiceKind::Plain)
        .ok_or_else(|| {
            Refusal::new(RefusalKind::NotFound)
                .with_message(format!("no service {:?}", call.service))
        })?;
    let keyed = call.headers.contains_key(IDEMPOTENCY_KEY);
    if service.is_non_idempotent(call.method.as_str(), &normal_path(&call.path)) && !keyed {
        return Err(Refusal::new(RefusalKind::KeyRequired));
    }
    Ok(Admissible {
        caller,
        service: service.service.clone(),
    })
}

/// The path as the upstream's router may see it.
///
/// It is decoded and its empty and dot segments removed: a booking written as `/%62ookings/`
/// reaches the same code upstream and must not slip past its key.
fn normal_path(path: &str) -> String {
    let path = path.split('?').next().unwrap_or_default();
    let decoded = percent_decode_str(path).decode_utf8_lossy();
    let mut segments: Vec<&str> = Vec::new();
    for segment in decoded.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            _ => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/"))
}

struct PlainRun {
    shared: Shared,
    call: PlainCall,
}

impl Job for PlainRun {
    fn tokens(&self) -> Tokens {
        0
    }

    fn need(&self) -> SlotRequest {
        SlotRequest::plain_call(self.call.body.len() as u64)
    }

    async fn dispatch(
        &self,
        waiting: Request<Waiting>,
        grant: Grant,
        head: HeadSender,
        _: &mut Admission,
    ) -> Sent {
        let upstream = Upstream::new(grant.address.clone(), self.shared.connector.clone());
        let dispatched = waiting.dispatch(grant.upstream.clone());
        let id = dispatched.meta().request.clone();
        let deadline = dispatched.meta().deadline;
        let started = dispatched.state().at;
        let headers = passed_on(&self.call.headers);
        let answer = tokio::select! {
            answer = upstream.call(self.call.method.clone(), &self.call.path, &id, &headers, self.call.body.clone()) => answer,
            () = sleep_until(deadline) => Err(ExchangeError::Timeout),
        };
        match answer {
            // Only idempotent calls come here, so one that was turned away may go to another replica.
            Ok(rsp) if let Some(rest) = self.shared.rests.on_response(&grant.upstream, &rsp) => {
                let waiting = dispatched.not_sent(NotSent::turned_away(rest));
                Sent::NotSent(Box::new(Unsent { waiting, head }))
            }
            Ok(rsp) => {
                dispatched.first_token();
                let first_token = started.elapsed();
                let whole = self.pass_on(dispatched, rsp, head).await;
                grant.finish(RequestOutcome {
                    whole,
                    first_token: Some(first_token),
                    between_tokens: None,
                    work: PLAIN_CALL_WORK,
                });
                Sent::Done
            }
            Err(e) => {
                grant.finish(RequestOutcome {
                    whole: false,
                    first_token: None,
                    between_tokens: None,
                    work: PLAIN_CALL_WORK,
                });
                if let Some(proof) = NotSent::from_error(&e) {
                    let waiting = dispatched.not_sent(proof);
                    return Sent::NotSent(Box::new(Unsent { waiting, head }));
                }
                let refusal = Refusal::new(RefusalKind::UpstreamBroke)
                    .with_message(e.to_string())
                    .with_ran(RunStatus::Unknown);
                dispatched.broke(e.to_string());
                head.send(Head::Refused(refusal)).ok();
                Sent::Done
            }
        }
    }
}

impl PlainRun {
    /// Passes the answer on; tells whether it was whole.
    async fn pass_on(
        &self,
        dispatched: Request<Dispatched>,
        rsp: http::Response<Incoming>,
        head: oneshot::Sender<Head>,
    ) -> bool {
        let (parts, mut body) = rsp.into_parts();
        let (tx, rx) = mpsc::channel::<Result<Bytes, Broken>>(READER_BUFFER);
        let pieces = stream::unfold(rx, |mut rx| async move { rx.recv().await.map(|p| (p, rx)) });
        let mut answer = Response::new(Body::from_stream(pieces));
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = passed_on(&parts.headers);
        head.send(Head::Stream(answer)).ok();
        while let Some(frame) = body.frame().await {
            let piece = match frame {
                Ok(frame) => frame.into_data().map_err(|_| ()),
                Err(e) => {
                    tx.send(Err(Broken {
                        reason: e.to_string(),
                    }))
                    .await
                    .ok();
                    dispatched.broke(e.to_string());
                    return false;
                }
            };
            let Ok(piece) = piece else { continue };
            if tx.send(Ok(piece)).await.is_err() {
                dispatched.cancelled();
                return true;
            }
        }
        dispatched.answered();
        true
    }
}

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !OWN_HEADERS.contains(name) && name.as_str() != X_REQUEST_ID {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
