//! Relays a stream of events to the caller, and resumes it at another replica where the route
//! allows it.
//!
//! A replica may stop in the middle of an event. Of a resumable stream only complete events are
//! relayed, so that the rest from another replica continues it; of other streams all bytes are
//! relayed at once. A stream that breaks closes the caller's connection, so that it never looks
//! complete.

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
use kingcupfield_decisions::id::StreamKey;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::crash_watch;
use crate::events::EventScanner;
use crate::exchange::{self, ReplicaResponse, is_framed};
use crate::expiry::{Expiry, wait_for_expiry};
use crate::metrics::Phase;
use crate::node::{Node, SlotGuard, Target};
use crate::pool::Connection;
use crate::request::{ActiveGuard, RequestContext};
use crate::request_log;
use crate::stream_origin;
use crate::tasks;

/// Number of chunks that are buffered for a slow caller before reading from the replica stops.
const CHANNEL_CHUNKS: usize = 8;

/// Largest event of a resumable stream in bytes, which is held back until it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A resumable stream without an event for this many times its maximum event gap is resumed at
/// another replica: its caller disconnects after eight.
const STALL_GAPS: f64 = 5.0;

/// Lower bound of a route's maximum event gap when stalls are detected.
const MIN_EVENT_GAP: Duration = Duration::from_millis(200);

/// The stream broke, and the caller's connection is closed.
#[derive(Debug, thiserror::Error)]
#[error("stream broke before its end")]
pub struct StreamBroken;

/// Body of a response to a caller: complete, or relayed as it arrives.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body; `None` once it was read, or if it is empty.
    Complete(Option<Bytes>),
    /// Events relayed from a replica.
    Streamed(RelayedStream),
}

/// The caller's end of a relayed stream.
///
/// A closed channel alone doesn't complete the response: a relay that was dropped, or that ended
/// while the channel was full because its caller reads slowly, would leave a stream that looks
/// complete.
#[derive(Debug)]
pub struct RelayedStream {
    rx: mpsc::Receiver<Bytes>,
    /// Set once the relay has sent the complete stream to the channel.
    complete: Rc<Cell<bool>>,
}

impl RelayedStream {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        self.rx.poll_recv(cx).map(|chunk| match chunk {
            Some(chunk) => Some(Ok(Frame::data(chunk))),
            None if self.complete.get() => None,
            None => Some(Err(StreamBroken)),
        })
    }
}

impl ResponseBody {
    /// Creates a body from all of its bytes.
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

/// Starts a task that relays a stream, and returns the response to the caller.
///
/// `active` counts the request as active until the task ends.
pub fn start(
    node: Rc<Node>,
    ctx: RequestContext,
    target: Rc<Target>,
    slot: SlotGuard,
    replica_response: ReplicaResponse,
    active: Option<ActiveGuard>,
) -> Response<ResponseBody> {
    let (tx, rx) = mpsc::channel(CHANNEL_CHUNKS);
    let complete = Rc::new(Cell::new(false));
    let relayed = RelayedStream {
        rx,
        complete: Rc::clone(&complete),
    };
    let mut response = Response::new(ResponseBody::Streamed(relayed));
    *response.status_mut() = replica_response.head.status;
    *response.headers_mut() = node.protocol.response_headers(&replica_response.head);
    let attempt = Attempt {
        target,
        slot,
        connection: replica_response.connection,
        body: replica_response.body,
        head: replica_response.head,
    };
    let relay = Relay {
        node,
        key: stream_origin::key_of(&ctx.meta),
        is_recorded: false,
        ctx,
        tx,
        complete,
        scanner: EventScanner::new(),
        partial_event: BytesMut::new(),
        relayed_events: 0,
        last_event_at: Instant::now(),
        first_pending: true,
        first_event_at: None,
        time_to_first_event: Duration::ZERO,
        longest_gap: Duration::ZERO,
        end_logged: false,
    };
    tasks::spawn(&relay.node.clone(), "relay", |_| async move {
        relay.run(attempt).await;
        drop(active);
    });
    response
}

/// An attempt to run the request at one replica, whose response is being relayed.
struct Attempt {
    target: Rc<Target>,
    slot: SlotGuard,
    connection: Connection,
    body: Incoming,
    head: http::response::Parts,
}

/// How the relay of one attempt ended.
enum AttemptEnd {
    /// The replica ended the response, not inside of an event.
    Complete,
    /// The replica ended it inside of an event, or the connection broke.
    Broken,
    /// No event came for too long.
    Stalled,
    /// The caller disconnected.
    CallerGone,
    /// The route's timeout or the end of a shutdown was reached.
    Expired(Expiry),
}

/// Relays the stream of one request from replicas to the caller.
struct Relay {
    node: Rc<Node>,
    ctx: RequestContext,
    tx: mpsc::Sender<Bytes>,
    /// Shared with [`RelayedStream`]; set once the stream is complete.
    complete: Rc<Cell<bool>>,
    scanner: EventScanner,
    /// Key of the stream.
    key: StreamKey,
    /// Whether it is recorded where the stream began.
    is_recorded: bool,
    /// Start of an event whose end has not arrived yet, if the stream is resumable.
    partial_event: BytesMut,
    /// Number of events that have arrived, of all attempts.
    relayed_events: u32,
    /// When the last event arrived, or the current attempt was sent if that was later.
    last_event_at: Instant,
    /// Whether no event of the current attempt has arrived yet.
    first_pending: bool,
    /// When the first event of the current attempt arrived.
    first_event_at: Option<Instant>,
    /// Time from the arrival of the request to the first event.
    time_to_first_event: Duration,
    /// Longest time between two events of the stream.
    longest_gap: Duration,
    /// Whether the end of the stream has been logged.
    end_logged: bool,
}

impl Drop for Relay {
    /// A process that terminates drops the streams that it still relays.
    fn drop(&mut self) {
        if !self.end_logged {
            self.log("cut", "-");
        }
        let mut streams = self.node.streams.borrow_mut();
        if self.complete.get() {
            streams.on_complete(self.key);
        } else {
            streams.on_broken(Instant::now(), self.key);
        }
    }
}

impl Relay {
    /// Relays the stream, and marks its end as logged.
    async fn run(mut self, attempt: Attempt) {
        self.relay_to_end(attempt).await;
        self.end_logged = true;
    }

    /// Relays the attempt, and further ones while the stream breaks and can be resumed.
    async fn relay_to_end(&mut self, mut attempt: Attempt) {
        loop {
            let end = self.relay_attempt(&mut attempt).await;
            let replica = attempt.slot.upstream.clone();
            match end {
                AttemptEnd::Complete => return self.on_complete(attempt),
                AttemptEnd::CallerGone => {
                    self.log("caller_gone", &replica);
                    return;
                }
                AttemptEnd::Expired(expiry) => {
                    let how = match expiry {
                        Expiry::RouteTimeout => "timed_out",
                        Expiry::Shutdown => "cut",
                    };
                    self.log(how, &replica);
                    return;
                }
                AttemptEnd::Broken => {
                    self.ctx
                        .on_broken(&self.node, &attempt.target, self.first_event_at);
                }
                AttemptEnd::Stalled => {}
            }
            self.log("broke_off", &replica);
            drop(attempt.connection);
            drop(attempt.body);
            attempt.slot.release(Outcome::Failed);
            let (node, route) = (Rc::clone(&self.node), Rc::clone(&self.ctx.route));
            let expired = wait_for_expiry(&node, &route, self.ctx.received);
            self.ctx.crash_checked(&node, &attempt.target).await;
            let next = tokio::select! {
                next = self.resume() => next,
                _ = expired => None,
            };
            let Some(next) = next else {
                return;
            };
            attempt = next;
        }
    }

    /// Ends the response to the caller after the replica has ended its own.
    fn on_complete(&self, attempt: Attempt) {
        let Attempt {
            target,
            slot,
            connection,
            head,
            ..
        } = attempt;
        self.complete.set(true);
        target
            .pool
            .put_back(Instant::now(), connection, &head.headers);
        let replica = slot.upstream.clone();
        slot.release(Outcome::Served);
        self.ctx.on_completed(&self.node);
        let status = head.status.as_u16();
        let (first, gap) = (self.time_to_first_event, self.longest_gap);
        request_log::log_answered(&self.node, &self.ctx, &replica, status, first, gap);
    }

    /// Logs how the stream ended, broke or was resumed, with the last event that was relayed.
    fn log(&self, how: &'static str, replica: &str) {
        let last_event = self.scanner.last_event_id();
        request_log::log_stream_ended(&self.node, &self.ctx, replica, how, last_event);
    }

    /// Relays the response of one attempt until it ends.
    async fn relay_attempt(&mut self, attempt: &mut Attempt) -> AttemptEnd {
        let node = Rc::clone(&self.node);
        let route = Rc::clone(&self.ctx.route);
        let received = self.ctx.received;
        let mut expired = std::pin::pin!(wait_for_expiry(&node, &route, received));
        loop {
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => return AttemptEnd::CallerGone,
                frame = attempt.body.frame() => frame,
                expired = &mut expired => return AttemptEnd::Expired(expired),
                () = self.stalled() => return AttemptEnd::Stalled,
            };
            let chunk = match frame {
                None if self.is_cut_short(attempt).await => return AttemptEnd::Broken,
                None => return AttemptEnd::Complete,
                Some(Err(_)) => return AttemptEnd::Broken,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            attempt.connection.progress.record();
            let complete = self.scan(attempt, chunk);
            if self.partial_event.len() > MAX_EVENT_BYTES {
                return AttemptEnd::Broken;
            }
            if let Some(chunk) = complete {
                let arrived = Instant::now();
                tokio::select! {
                    sent = self.tx.send(chunk) => {
                        if sent.is_err() {
                            return AttemptEnd::CallerGone;
                        }
                        node.metrics.observe(Phase::Relay, arrived.elapsed());
                    }
                    expired = &mut expired => return AttemptEnd::Expired(expired),
                }
            }
        }
    }

    /// Whether a response that has ended is only the beginning of one. The end of the connection is the end of
    /// a response that tells no other, also if the replica crashed.
    async fn is_cut_short(&self, attempt: &Attempt) -> bool {
        if self.scanner.in_partial_event() {
            return true;
        }
        if is_framed(&attempt.head.headers) {
            return false;
        }
        let is_resumption =
            self.scanner.last_event_id().is_some() || self.ctx.meta.last_event_id.is_some();
        let has_no_event = self.first_pending && !is_resumption;
        has_no_event || crash_watch::ended_by_crash(&self.node, &attempt.target).await
    }

    /// Counts a chunk's events and returns the bytes that can be sent to the caller now.
    fn scan(&mut self, attempt: &Attempt, chunk: Bytes) -> Option<Bytes> {
        let found = self.scanner.read(&chunk);
        let now = Instant::now();
        if found.events > 0 {
            self.relayed_events = self.relayed_events.saturating_add(found.events);
            self.record_origin(attempt);
            if self.first_pending {
                attempt.slot.on_first_event();
                self.first_event_at = Some(now);
                if self.time_to_first_event.is_zero() {
                    self.time_to_first_event = self.ctx.received.elapsed();
                }
            } else {
                self.longest_gap = self.longest_gap.max(now - self.last_event_at);
                attempt
                    .slot
                    .on_events(found.events, now - self.last_event_at);
            }
            self.first_pending = false;
            self.last_event_at = now;
        }
        if !self.ctx.route.kind.is_retryable() {
            return Some(chunk).filter(|c| !c.is_empty());
        }
        if found.complete_bytes == 0 {
            self.partial_event.extend_from_slice(&chunk);
            return None;
        }
        let complete = chunk.slice(..found.complete_bytes);
        let rest = chunk.slice(found.complete_bytes..);
        if self.partial_event.is_empty() {
            self.partial_event.extend_from_slice(&rest);
            return Some(complete);
        }
        self.partial_event.extend_from_slice(&complete);
        let out = std::mem::take(&mut self.partial_event).freeze();
        self.partial_event.extend_from_slice(&rest);
        Some(out)
    }

    /// Records where a resumable stream began, with its first event.
    fn record_origin(&mut self, attempt: &Attempt) {
        if self.is_recorded || !self.ctx.route.kind.is_retryable() {
            return;
        }
        self.is_recorded = true;
        let origin = stream_origin::origin_of(&attempt.target.published);
        self.ctx.origin = Some(origin);
        stream_origin::on_first_event(&self.node, self.key, origin);
    }

    /// Completes when a resumable stream has had no event for too long.
    async fn stalled(&self) {
        if !self.ctx.route.kind.is_retryable() || self.ctx.runs >= self.ctx.route.max_attempts {
            return std::future::pending().await;
        }
        let max_gap = self.ctx.route.max_event_gap.max(MIN_EVENT_GAP);
        tokio::time::sleep_until(self.last_event_at + max_gap.mul_f64(STALL_GAPS)).await;
    }

    /// Resumes the stream at another replica. Returns `None` if that is no longer possible.
    async fn resume(&mut self) -> Option<Attempt> {
        self.partial_event.clear();
        self.scanner.discard_partial_event();
        loop {
            if self.tx.is_closed()
                || !self.ctx.is_version_served(&self.node)
                || self.ctx.check_quarantine(&self.node).is_err()
                || !self.ctx.try_consume_retry(&self.node)
            {
                return None;
            }
            let (slot, target) = self
                .ctx
                .acquire_slot_for_resume(&self.node, self.relayed_events)
                .await?;
            self.ctx.tried.push(slot.upstream.clone());
            self.ctx.sent_at = Instant::now();
            self.ctx.runs += 1;
            let last_event = self.scanner.last_event_id().map(str::to_owned);
            let last_event = last_event.or_else(|| self.ctx.meta.last_event_id.clone());
            let fields = self
                .ctx
                .forward_headers(&self.node, &target, last_event.as_deref());
            let sending = exchange::send(
                &self.node,
                &target,
                &self.ctx.meta.attempt_id,
                &self.ctx.head,
                fields,
                self.ctx.body.clone(),
                true,
            );
            let response = tokio::select! {
                response = sending => response,
                () = self.tx.closed() => return None,
            };
            self.last_event_at = Instant::now();
            self.first_pending = true;
            self.first_event_at = None;
            match response {
                Ok(response) if response.head.status.is_success() => {
                    self.log("resumed", &slot.upstream);
                    return Some(Attempt {
                        target,
                        slot,
                        connection: response.connection,
                        body: response.body,
                        head: response.head,
                    });
                }
                Ok(_) => slot.release(Outcome::Failed),
                Err(e) => {
                    if e.broke_connection() {
                        self.ctx.on_broken(&self.node, &target, None);
                    }
                    if !e.may_have_run() {
                        self.ctx.runs -= 1;
                    }
                    slot.release(e.outcome());
                }
            }
        }
    }
}
