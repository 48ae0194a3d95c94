//! Passes a stream of events on as they come, and resumes it elsewhere where the route allows it.
//!
//! A replica may stop in the middle of an event. Of a stream that may be resumed only whole events
//! are passed on, so that the rest from another replica fits; of any other the bytes pass at once.
//! A stream that is not finished ends by closing the caller's connection, never as if complete.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use kingcupfield_decisions::dispatch::Outcome;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::events::EventScanner;
use crate::exchange::{self, ReplicaResponse};
use crate::expiry::{Expiry, wait_for_expiry};
use crate::metrics::Phase;
use crate::node::{Node, SlotGuard, Target};
use crate::pool::Connection;
use crate::request::{ActiveGuard, RequestContext};
use crate::request_log;

/// Chunks that may wait for a slow caller before the replica is made to wait.
const CHUNKS: usize = 8;

/// A resumable stream that pauses for this many of its longest pauses is taken up elsewhere: its
/// caller leaves after eight.
const STUCK_PAUSES: f64 = 5.0;

/// The stream broke off; the caller's connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("the stream broke off")]
pub struct StreamBroken;

/// Body of an answer: whole, or passed on as it comes.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it.
    Complete(Option<Bytes>),
    /// What a relay passes on.
    Streamed(RelayedStream),
}

/// The caller's end of a relay.
///
/// The end of the channel alone doesn't end the answer: a relay that was dropped, or ended while the
/// channel was full because its caller reads slowly, would leave a stream that looks complete.
#[derive(Debug)]
pub struct RelayedStream {
    rx: mpsc::Receiver<Bytes>,
    /// Set once the relay has passed everything on.
    whole: Rc<Cell<bool>>,
}

impl RelayedStream {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        self.rx.poll_recv(cx).map(|chunk| match chunk {
            Some(chunk) => Some(Ok(Frame::data(chunk))),
            None if self.whole.get() => None,
            None => Some(Err(StreamBroken)),
        })
    }
}

impl ResponseBody {
    /// A body that is there as a whole.
    pub fn complete(bytes: Bytes) -> Self {
        Self::Complete(Some(bytes).filter(|b| !b.is_empty()))
    }
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Streamed(relayed) => relayed.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Complete(bytes) => {
                hyper::body::SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Streamed(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// Starts to pass a stream on.
pub fn start(
    node: Rc<Node>,
    ctx: RequestContext,
    target: Rc<Target>,
    place: SlotGuard,
    answer: ReplicaResponse,
    active: Option<ActiveGuard>,
) -> Response<ResponseBody> {
    let (tx, rx) = mpsc::channel(CHUNKS);
    let whole = Rc::new(Cell::new(false));
    let relayed = RelayedStream {
        rx,
        whole: Rc::clone(&whole),
    };
    let mut response = Response::new(ResponseBody::Streamed(relayed));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = node.protocol.response_headers(&answer.head);
    let run = Run {
        target,
        place,
        connection: answer.connection,
        body: answer.body,
        head: answer.head,
    };
    let relay = Relay {
        node,
        ctx,
        tx,
        whole,
        scanner: EventScanner::new(),
        held: BytesMut::new(),
        last: Instant::now(),
        first: true,
        first_after: Duration::ZERO,
        longest_pause: Duration::ZERO,
        told: false,
    };
    tokio::task::spawn_local(async move {
        relay.pass(run).await;
        drop(active);
    });
    response
}

/// A run of the request at one replica.
struct Run {
    target: Rc<Target>,
    place: SlotGuard,
    connection: Connection,
    body: Incoming,
    head: http::response::Parts,
}

/// How passing a run on ended.
enum End {
    Complete,
    Broken,
    CallerGone,
    Expired(Expiry),
}

struct Relay {
    node: Rc<Node>,
    ctx: RequestContext,
    tx: mpsc::Sender<Bytes>,
    /// Tells the caller's end that nothing is missing.
    whole: Rc<Cell<bool>>,
    scanner: EventScanner,
    held: BytesMut,
    last: Instant,
    first: bool,
    /// When the first event had come, from the request's arrival.
    first_after: Duration,
    /// Longest time between two events.
    longest_pause: Duration,
    /// Whether the log was told how the stream ended.
    told: bool,
}

impl Drop for Relay {
    /// A process that ends drops the streams that it still passes on.
    fn drop(&mut self) {
        if !self.told {
            self.log("cut", "-");
        }
    }
}

impl Relay {
    async fn pass(mut self, run: Run) {
        self.pass_to_end(run).await;
        self.told = true;
    }

    async fn pass_to_end(&mut self, mut run: Run) {
        loop {
            let end = self.pass_run(&mut run).await;
            let replica = run.place.upstream.clone();
            match end {
                End::Complete => {
                    self.whole.set(true);
                    run.target
                        .pool
                        .put_back(Instant::now(), run.connection, &run.head.headers);
                    run.place.release(Outcome::Served);
                    let status = run.head.status.as_u16();
                    let (first, pause) = (self.first_after, self.longest_pause);
                    request_log::log_answered(
                        &self.node, &self.ctx, &replica, status, first, pause,
                    );
                    return;
                }
                End::CallerGone => {
                    self.log("caller_gone", &replica);
                    return;
                }
                End::Expired(over) => {
                    let how = match over {
                        Expiry::RouteTimeout => "timed_out",
                        Expiry::Shutdown => "cut",
                    };
                    self.log(how, &replica);
                    return;
                }
                End::Broken => {}
            }
            self.log("broke_off", &replica);
            drop(run.connection);
            drop(run.body);
            run.place.release(Outcome::Failed);
            let (node, route) = (Rc::clone(&self.node), Rc::clone(&self.ctx.route));
            let over = wait_for_expiry(&node, &route, self.ctx.received);
            let next = tokio::select! {
                next = self.resume() => next,
                _ = over => None,
            };
            let Some(next) = next else {
                return;
            };
            run = next;
        }
    }

    fn log(&self, how: &'static str, replica: &str) {
        let last_event = self.scanner.last_event_id();
        request_log::log_stream_ended(&self.node, &self.ctx, replica, how, last_event);
    }

    async fn pass_run(&mut self, run: &mut Run) -> End {
        let node = Rc::clone(&self.node);
        let route = Rc::clone(&self.ctx.route);
        let received = self.ctx.received;
        let mut over = std::pin::pin!(wait_for_expiry(&node, &route, received));
        loop {
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => return End::CallerGone,
                frame = run.body.frame() => frame,
                over = &mut over => return End::Expired(over),
                () = self.stuck() => return End::Broken,
            };
            let chunk = match frame {
                None if self.scanner.in_partial_event() => return End::Broken,
                None => return End::Complete,
                Some(Err(_)) => return End::Broken,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if let Some(chunk) = self.take(run, chunk) {
                let came = Instant::now();
                tokio::select! {
                    sent = self.tx.send(chunk) => {
                        if sent.is_err() {
                            return End::CallerGone;
                        }
                        node.metrics.observe(Phase::Relay, came.elapsed());
                    }
                    over = &mut over => return End::Expired(over),
                }
            }
        }
    }

    /// Reads a chunk's events and returns what goes to the caller now.
    fn take(&mut self, run: &Run, chunk: Bytes) -> Option<Bytes> {
        let found = self.scanner.read(&chunk);
        let now = Instant::now();
        if found.events > 0 {
            if self.first {
                run.place.on_first_event();
                if self.first_after.is_zero() {
                    self.first_after = self.ctx.received.elapsed();
                }
            } else {
                self.longest_pause = self.longest_pause.max(now - self.last);
                run.place.on_events(found.events, now - self.last);
            }
            self.first = false;
            self.last = now;
        }
        if !self.ctx.route.kind.is_retryable() {
            return Some(chunk).filter(|c| !c.is_empty());
        }
        if found.complete_bytes == 0 {
            self.held.extend_from_slice(&chunk);
            return None;
        }
        let whole = chunk.slice(..found.complete_bytes);
        let rest = chunk.slice(found.complete_bytes..);
        if self.held.is_empty() {
            self.held.extend_from_slice(&rest);
            return Some(whole);
        }
        self.held.extend_from_slice(&whole);
        let out = std::mem::take(&mut self.held).freeze();
        self.held.extend_from_slice(&rest);
        Some(out)
    }

    /// Ends when a stream that may be resumed has brought nothing for too long.
    async fn stuck(&self) {
        if !self.ctx.route.kind.is_retryable() || self.ctx.runs >= self.ctx.route.max_attempts {
            return std::future::pending().await;
        }
        let pause = self.ctx.route.max_event_gap.max(Duration::from_millis(200));
        tokio::time::sleep_until(self.last + pause.mul_f64(STUCK_PAUSES)).await;
    }

    /// Runs the rest of the stream at another replica.
    async fn resume(&mut self) -> Option<Run> {
        self.held.clear();
        self.scanner.discard_partial_event();
        loop {
            if self.tx.is_closed() || !self.ctx.try_consume_retry(&self.node) {
                return None;
            }
            let (place, target) = self.ctx.acquire_slot_for_resume(&self.node).await?;
            self.ctx.tried.push(place.upstream.clone());
            self.ctx.runs += 1;
            let after = self.scanner.last_event_id().map(str::to_owned);
            let after = after.or_else(|| self.ctx.meta.last_event_id.clone());
            let fields = self
                .ctx
                .forward_headers(&self.node, &target, after.as_deref());
            let sent = exchange::send(
                &target,
                &*self.node.protocol,
                &self.ctx.meta.attempt_id,
                &self.ctx.head,
                fields,
                self.ctx.body.clone(),
                true,
            );
            let answer = tokio::select! {
                answer = sent => answer,
                () = self.tx.closed() => return None,
            };
            self.last = Instant::now();
            self.first = true;
            match answer {
                Ok(answer) if answer.head.status.is_success() => {
                    self.log("resumed", &place.upstream);
                    return Some(Run {
                        target,
                        place,
                        connection: answer.connection,
                        body: answer.body,
                        head: answer.head,
                    });
                }
                Ok(_) => place.release(Outcome::Failed),
                Err(e) => {
                    if !e.may_have_run() {
                        self.ctx.runs -= 1;
                    }
                    place.release(e.outcome());
                }
            }
        }
    }
}
