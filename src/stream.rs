//! Follows one answer over as many connections as it takes, and passes each chunk once, in order.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures::{Stream, StreamExt};
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kingcupfield_decisions::id::{RequestId, UpstreamId};
use tokio::time::sleep;

use crate::answer::{AnswerChecker, CollectedText, Verdict};
use crate::connector::ExchangeError;
use crate::metrics::Metrics;
use crate::rests::Rests;
use crate::shared::Shared;
use crate::upstream::Upstream;

/// Resumptions without a new chunk between them before the answer counts as broken.
const MAX_FRUITLESS: u32 = 5;

/// Pause before the second resumption without a new chunk; it doubles each time, so that all five
/// together span 0.75 s, longer than an engine needs to drop a broken connection.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Largest stream of one connection, against an upstream that never ends.
const STREAM_LIMIT: usize = 256 * 1024 * 1024;

type Events = Pin<Box<dyn Stream<Item = Result<Event, String>> + Send>>;

/// Why an answer ended early.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct Broken {
    /// What happened.
    pub reason: String,
}

/// One answer of a model engine.
pub struct AnswerStream {
    upstream: Upstream,
    upstream_id: UpstreamId,
    rests: Rests,
    request: RequestId,
    checker: AnswerChecker,
    metrics: Metrics,
    events: Option<Events>,
    fruitless: u32,
    last_reason: String,
    resumed_from: Option<u64>,
}

impl std::fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AnswerStream")
            .field("checker", &self.checker)
            .finish_non_exhaustive()
    }
}

impl AnswerStream {
    /// Follows the answer to `request` at `upstream`, which is called `upstream_id`; not yet connected.
    pub fn new(
        upstream: Upstream,
        upstream_id: UpstreamId,
        request: RequestId,
        shared: &Shared,
    ) -> Self {
        let checker = AnswerChecker::new(request.clone());
        Self {
            upstream,
            upstream_id,
            rests: shared.rests.clone(),
            metrics: shared.metrics.clone(),
            request,
            checker,
            events: None,
            fruitless: 0,
            last_reason: String::new(),
            resumed_from: None,
        }
    }

    /// Also collects the text.
    pub fn with_text(mut self) -> Self {
        self.checker = self.checker.with_text();
        self
    }

    /// Starts with the body of the first answer.
    pub fn with_body(mut self, body: Incoming) -> Self {
        self.events = Some(events(body));
        self
    }

    /// Starts without a body: the first connection broke after the request went out.
    pub fn with_break(mut self, reason: String) -> Self {
        self.last_reason = reason;
        self
    }

    /// Chunks that passed.
    pub fn passed(&self) -> u64 {
        self.checker.passed()
    }

    /// Where the stream was last resumed since the previous call, if it was.
    pub fn take_resumed(&mut self) -> Option<u64> {
        self.resumed_from.take()
    }

    /// The collected text.
    pub fn into_text(self) -> CollectedText {
        self.checker.into_text()
    }

    /// The next chunk, `None` after a whole answer, or why the answer can't be had whole.
    pub async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            if self.events.is_none()
                && let Err(broken) = self.resume().await
            {
                return Some(Err(broken));
            }
            let Some(events) = &mut self.events else {
                continue;
            };
            match events.next().await {
                None => self.disconnect("ended early"),
                Some(Err(reason)) => self.disconnect(&reason),
                Some(Ok(event)) => match self.checker.check(&event) {
                    Verdict::Pass => {
                        self.fruitless = 0;
                        return Some(Ok(encode(&event)));
                    }
                    Verdict::Done => return None,
                    Verdict::Duplicate => self.bad_chunk("duplicate"),
                    Verdict::Gap => self.reject("gap"),
                    Verdict::Foreign => self.reject("foreign"),
                    Verdict::Malformed => self.reject("malformed"),
                    Verdict::Short => self.reject("short"),
                },
            }
        }
    }

    async fn resume(&mut self) -> Result<(), Broken> {
        while self.fruitless < MAX_FRUITLESS {
            if self.fruitless > 0 {
                sleep(FIRST_PAUSE * 2_u32.pow(self.fruitless - 1)).await;
            }
            self.fruitless += 1;
            let from = self.checker.next();
            match self.upstream.resume(&self.request, from).await {
                Ok(rsp) if rsp.status() == StatusCode::OK => {
                    self.metrics.resumed_streams.inc();
                    self.resumed_from = Some(from);
                    self.events = Some(events(rsp.into_body()));
                    return Ok(());
                }
                Ok(rsp) if rsp.status() == StatusCode::NOT_FOUND => {
                    return Err(self.broken("the upstream no longer knows the stream"));
                }
                Ok(rsp) => {
                    self.last_reason = format!("resume: status {}", rsp.status());
                    // Only this upstream has the stream, so it is asked again after its rest.
                    if let Some(rest) = self.rests.on_response(&self.upstream_id, &rsp) {
                        sleep(rest).await;
                    }
                }
                Err(ExchangeError::NotSent(e) | ExchangeError::Broke(e)) => self.last_reason = e,
                Err(ExchangeError::Timeout) => "timeout".clone_into(&mut self.last_reason),
            }
        }
        Err(self.broken("the stream could not be resumed"))
    }

    fn broken(&self, what: &str) -> Broken {
        Broken {
            reason: format!(
                "{what} at chunk {}: {}",
                self.checker.next(),
                self.last_reason
            ),
        }
    }

    fn bad_chunk(&self, reason: &str) {
        self.metrics
            .dropped_chunks
            .with_label_values(&[reason])
            .inc();
    }

    fn reject(&mut self, reason: &str) {
        self.bad_chunk(reason);
        self.disconnect(reason);
    }

    /// Drops the connection: after a wrong chunk nothing on it can be trusted.
    fn disconnect(&mut self, reason: &str) {
        reason.clone_into(&mut self.last_reason);
        self.events = None;
    }
}

fn events(body: Incoming) -> Events {
    let data = Limited::new(body, STREAM_LIMIT).into_data_stream();
    Box::pin(data.eventsource().map(|e| e.map_err(|e| e.to_string())))
}

fn encode(event: &Event) -> Bytes {
    Bytes::from(format!("id: {}\ndata: {}\n\n", event.id, event.data))
}
