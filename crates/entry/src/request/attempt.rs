//! One attempt of a request: sends it to a replica and handles its failure or response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response};
use hyper::body::Incoming;
use kingcupfield_decisions::dispatch::Outcome;
use tokio::time::Instant;

use super::{ActiveGuard, RequestContext};
use crate::adapter::ForwardInfo;
use crate::crash_watch;
use crate::exchange::{self, ReplicaResponse, SendFailure, is_framed};
use crate::expiry::{Expiry, wait_for_expiry};
use crate::metrics::Phase;
use crate::node::{Node, SlotGuard, Target};
use crate::pool::Connection;
use crate::refusal::Refusal;
use crate::relay::{self, ResponseBody};
use crate::request_log;

/// Interval at which a retryable request checks whether its replica still sends data to any caller: a
/// seventh of the shortest latency objective of the users' streams.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// A connection that ends within this time after the attempt began, plus two round trips for opening it
/// and noticing its end, belongs to a replica that runs nothing. Such a replica fails each request at
/// once, looks idle and attracts more requests. Usual first responses take 60 ms and more.
const IMMEDIATE_FAILURE_TIME: Duration = Duration::from_millis(25);

/// Fraction of the latency objective after which a retryable request without a streamed response is
/// sent to another replica: the remaining time is enough for a usual response.
const PLAIN_RETRY_FRACTION: f64 = 0.6;

/// A request that a replica may have run is sent again only if more than this time is left until its
/// timeout.
const MIN_RETRY_TIME: Duration = Duration::from_millis(100);

/// What to do after one attempt.
pub(super) enum NextStep {
    /// Return the response to the caller.
    Respond(Box<Response<ResponseBody>>),
    /// Wait for another slot and send the request again.
    Retry,
    /// Refuse the request.
    Refuse(Refusal),
}

impl RequestContext {
    /// Sends the request to the replica of its slot and waits for the response.
    pub(super) async fn send(
        &mut self,
        node: &Rc<Node>,
        target: &Rc<Target>,
        slot: SlotGuard,
        active: &mut Option<ActiveGuard>,
    ) -> NextStep {
        if self.time_left(node).is_zero() {
            slot.release(Outcome::Unknown);
            return NextStep::Refuse(self.timeout_refusal());
        }
        let immediate_time = IMMEDIATE_FAILURE_TIME + node.rtt(&target.published.zone) * 2;
        let sent_at = Instant::now();
        self.sent_at = sent_at;
        let headers = self.forward_headers(node, target, None);
        self.tried.push(slot.upstream.clone());
        self.runs += 1;
        let sent = exchange::send(
            node,
            target,
            &self.meta.attempt_id,
            &self.head,
            headers,
            self.body.clone(),
            self.route.kind.is_retryable(),
        );
        let sent = tokio::select! {
            sent = sent => sent.map_err(|e| match e {
                SendFailure::Broken if sent_at.elapsed() < immediate_time => SendFailure::Dropped,
                e => e,
            }),
            expiry = wait_for_expiry(node, &self.route, self.received) => {
                slot.release(Outcome::Unknown);
                return NextStep::Refuse(self.expiry_refusal(node, expiry));
            }
            () = self.wait_for_retry(node, &slot) => Err(SendFailure::Abandoned),
        };
        match sent {
            Ok(response) => self.on_response(node, target, slot, response, active).await,
            Err(failure) => self.on_failure(node, target, slot, failure),
        }
    }

    /// Completes when the request should be sent to another replica, after it has consumed one retry
    /// of the budget; never completes if no retry is allowed, because an attempt is abandoned only in
    /// favour of another one.
    async fn wait_for_retry(&self, node: &Node, slot: &SlotGuard) {
        if !self.route.kind.is_retryable() || self.runs >= self.route.max_attempts {
            return std::future::pending().await;
        }
        let sent_at = Instant::now();
        loop {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
            let is_plain_call = !self.route.kind.is_stream();
            let overdue =
                sent_at.elapsed() > self.route.latency_objective.mul_f64(PLAIN_RETRY_FRACTION);
            if (slot.is_replica_stalled() || (is_plain_call && overdue))
                && self.try_consume_retry(node)
            {
                return;
            }
        }
    }

    /// Handles an attempt without a response: decides between a retry and a refusal.
    fn on_failure(
        &mut self,
        node: &Rc<Node>,
        target: &Rc<Target>,
        slot: SlotGuard,
        failure: SendFailure,
    ) -> NextStep {
        if failure.broke_connection() {
            self.on_broken(node, target, None);
        }
        request_log::log_send_failed(node, self, &slot.upstream, failure);
        slot.release(failure.outcome());
        if failure.may_have_run() {
            return if failure == SendFailure::Abandoned || self.try_consume_retry(node) {
                NextStep::Retry
            } else {
                NextStep::Refuse(self.no_retry_refusal(failure))
            };
        }
        self.runs -= 1;
        // What reached no replica consumes no retry budget.
        let was_sent = !matches!(failure, SendFailure::NotSent | SendFailure::Withdrawn);
        if !was_sent || self.consume_retry_budget(node) {
            NextStep::Retry
        } else {
            NextStep::Refuse(self.no_slot_refusal(node))
        }
    }

    /// Handles the head of a response: a successful stream is relayed, anything else is read to its
    /// end first.
    async fn on_response(
        &mut self,
        node: &Rc<Node>,
        target: &Rc<Target>,
        slot: SlotGuard,
        response: ReplicaResponse,
        active: &mut Option<ActiveGuard>,
    ) -> NextStep {
        if self.route.kind.is_stream() && response.head.status.is_success() {
            node.metrics
                .observe(Phase::FirstByte, self.received.elapsed());
            let ctx = self.take_for_relay();
            let active = active.take();
            let response = relay::start(
                Rc::clone(node),
                ctx,
                Rc::clone(target),
                slot,
                response,
                active,
            );
            return NextStep::Respond(Box::new(response));
        }
        self.respond_buffered(node, target, slot, response).await
    }

    /// Buffers a response until it is complete and returns it to the caller.
    async fn respond_buffered(
        &mut self,
        node: &Rc<Node>,
        target: &Rc<Target>,
        slot: SlotGuard,
        response: ReplicaResponse,
    ) -> NextStep {
        let ReplicaResponse {
            head,
            body,
            connection,
        } = response;
        let body = tokio::select! {
            body = read_whole_body(node, target, &head.headers, &connection, body) => body,
            expiry = wait_for_expiry(node, &self.route, self.received) => {
                slot.release(match expiry {
                    Expiry::RouteTimeout => Outcome::Failed,
                    Expiry::Shutdown => Outcome::Unknown,
                });
                return NextStep::Refuse(self.expiry_refusal(node, expiry));
            }
            () = self.wait_for_retry(node, &slot) => Err(SendFailure::Abandoned),
        };
        let body = match body {
            Ok(body) => body,
            Err(failure) => return self.on_failure(node, target, slot, failure),
        };
        target
            .pool
            .put_back(Instant::now(), connection, &head.headers);
        let failed = head.status.is_server_error();
        slot.release(if failed {
            Outcome::Failed
        } else {
            Outcome::Served
        });
        if head.status.is_success() {
            self.on_completed(node);
        }
        if failed && self.try_consume_retry(node) {
            return NextStep::Retry;
        }
        let first_byte = self.received.elapsed();
        let status = head.status.as_u16();
        request_log::log_answered(
            node,
            self,
            &target.published.id,
            status,
            first_byte,
            Duration::ZERO,
        );
        let mut response = Response::new(ResponseBody::complete(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = node.protocol.response_headers(&head);
        NextStep::Respond(Box::new(response))
    }

    /// Returns the context of this request for the relay that forwards its stream to the caller. The
    /// metadata and the list of tried replicas are moved out of `self`.
    fn take_for_relay(&mut self) -> RequestContext {
        RequestContext {
            meta: std::mem::take(&mut self.meta),
            head: self.head.clone(),
            body: self.body.clone(),
            claim: self.claim.clone(),
            received: self.received,
            suspended: self.suspended,
            route: Rc::clone(&self.route),
            table_version: self.table_version,
            organisation: self.organisation.clone(),
            service: self.service.clone(),
            origin: self.origin,
            sent_at: self.sent_at,
            fingerprints: std::mem::take(&mut self.fingerprints),
            tried: std::mem::take(&mut self.tried),
            runs: self.runs,
            waited: self.waited,
            charge: self.charge,
        }
    }

    /// Consumes one retry of the budget if the request, which a replica may have run, may be sent to
    /// another one. Returns whether it may.
    pub fn try_consume_retry(&self, node: &Node) -> bool {
        self.route.kind.is_retryable()
            && self.runs < self.route.max_attempts
            && self.time_left(node) > MIN_RETRY_TIME
            && self.consume_retry_budget(node)
    }

    /// Consumes one retry of the service's budget; returns false if none is left.
    pub(super) fn consume_retry_budget(&self, node: &Node) -> bool {
        let instances = node.peers.borrow().instance_count();
        node.retry_budget
            .borrow_mut()
            .try_spend(Instant::now(), &self.service, instances)
    }

    /// Builds the headers with which the request is forwarded to a replica.
    pub fn forward_headers(
        &self,
        node: &Node,
        target: &Target,
        last_event_id: Option<&str>,
    ) -> HeaderMap {
        let info = ForwardInfo {
            replica: &target.published.id,
            time_left: Some(self.time_left(node)),
            organisation: self.organisation.as_ref().map(|o| &*o.name),
            last_event_id,
        };
        node.protocol.forward_headers(&self.head, &info)
    }
}

/// Reads a response body to its end; fails if it broke off, or if it has no other end than that of its
/// connection and the replica has crashed.
async fn read_whole_body(
    node: &Node,
    target: &Target,
    headers: &HeaderMap,
    connection: &Connection,
    body: Incoming,
) -> Result<Bytes, SendFailure> {
    let body = exchange::read_body(connection, body).await?;
    if !is_framed(headers) && crash_watch::ended_by_crash(node, target).await {
        return Err(SendFailure::Broken);
    }
    Ok(body)
}
