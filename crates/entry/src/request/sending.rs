//! One send of a request: to a replica, through its failures, to its answer.

use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Response};
use kingcupfield_decisions::dispatch::Outcome;
use tokio::time::Instant;

use super::{ActiveGuard, RequestContext};
use crate::adapter::ForwardInfo;
use crate::exchange::{self, Answer, Failure};
use crate::expiry::wait_for_expiry;
use crate::metrics::Phase;
use crate::node::{Node, Place, Target};
use crate::refusal::Refusal;
use crate::relay::{self, Body};
use crate::request_log;

/// How often a request that may be repeated looks whether its replica still brings anything to
/// anybody; a seventh of the shortest objective of the users' streams.
const RESCUE_CHECK: Duration = Duration::from_millis(150);

/// A connection that ends this soon after a request was written, beside the time to open it and to
/// hear of its end, is that of a replica which runs nothing: it fails each request at once, looks idle and draws more. Usual
/// first answers take 60 ms and more.
const AT_ONCE: Duration = Duration::from_millis(25);

/// A request of a plain service that may be repeated waits for this part of its objective before
/// another replica is tried: the rest is enough for a usual answer.
const PLAIN_RESCUE: f64 = 0.6;

/// What to do after one send.
pub(super) enum Next {
    Answer(Box<Response<Body>>),
    Again,
    Refuse(Refusal),
}

impl RequestContext {
    pub(super) async fn send(
        &mut self,
        node: &Rc<Node>,
        target: &Rc<Target>,
        place: Place,
        active: &mut Option<ActiveGuard>,
    ) -> Next {
        if self.time_left(node).is_zero() {
            place.end(Outcome::Unknown);
            return Next::Refuse(self.too_late());
        }
        let at_once = AT_ONCE + node.travel(&target.published.zone) * 2;
        let began = Instant::now();
        let fields = self.forward_headers(node, target, None);
        self.tried.push(place.upstream.clone());
        self.runs += 1;
        let sent = exchange::send(
            target,
            &*node.protocol,
            &self.meta.attempt_id,
            &self.head,
            fields,
            self.body.clone(),
            self.route.kind.repeatable(),
        );
        let sent = tokio::select! {
            sent = sent => sent.map_err(|e| match e {
                Failure::Broken if began.elapsed() < at_once => Failure::Dropped,
                e => e,
            }),
            over = wait_for_expiry(node, &self.route, self.received) => {
                place.end(Outcome::Unknown);
                return Next::Refuse(self.is_over(node, over));
            }
            () = self.rescue(node, &place) => Err(Failure::Abandoned),
        };
        match sent {
            Ok(answer) => self.answered(node, target, place, answer, active).await,
            Err(failure) => self.failed(node, place, failure),
        }
    }

    /// Ends when the request had better be sent to another replica, with a repeat taken for it; never
    /// if it may not. A request that is given up with nothing in its place helps nobody.
    async fn rescue(&self, node: &Node, place: &Place) {
        if !self.route.kind.repeatable() || self.runs >= self.route.attempts {
            return std::future::pending().await;
        }
        let sent = Instant::now();
        loop {
            tokio::time::sleep(RESCUE_CHECK).await;
            let plain = !self.route.kind.is_stream();
            let slow = sent.elapsed() > self.route.objective.mul_f64(PLAIN_RESCUE);
            if (place.is_silent() || (plain && slow)) && self.try_consume_retry(node) {
                return;
            }
        }
    }

    fn failed(&mut self, node: &Node, place: Place, failure: Failure) -> Next {
        request_log::log_send_failed(node, self, &place.upstream, failure);
        place.end(failure.outcome());
        if failure.may_have_run() {
            return if failure == Failure::Abandoned || self.try_consume_retry(node) {
                Next::Again
            } else {
                Next::Refuse(self.broke(failure))
            };
        }
        self.runs -= 1;
        // A connection that could not be made reached no replica, so it draws on no budget.
        if failure == Failure::NotSent || self.consume_retry_budget(node) {
            Next::Again
        } else {
            Next::Refuse(self.give_up(node))
        }
    }

    async fn answered(
        &mut self,
        node: &Rc<Node>,
        target: &Rc<Target>,
        place: Place,
        answer: Answer,
        active: &mut Option<ActiveGuard>,
    ) -> Next {
        if self.route.kind.is_stream() && answer.head.status.is_success() {
            node.metrics
                .observe(Phase::FirstByte, self.received.elapsed());
            let ctx = self.take();
            let active = active.take();
            let response = relay::start(
                Rc::clone(node),
                ctx,
                Rc::clone(target),
                place,
                answer,
                active,
            );
            return Next::Answer(Box::new(response));
        }
        self.answered_whole(node, target, place, answer).await
    }

    /// Passes an answer on that is held until all of it is there.
    async fn answered_whole(
        &mut self,
        node: &Rc<Node>,
        target: &Rc<Target>,
        place: Place,
        answer: Answer,
    ) -> Next {
        let Answer {
            head,
            body,
            connection,
        } = answer;
        let body = tokio::select! {
            body = exchange::whole(body) => body,
            over = wait_for_expiry(node, &self.route, self.received) => {
                return Next::Refuse(self.is_over(node, over));
            }
        };
        let Ok(body) = body else {
            return self.failed(node, place, Failure::Broken);
        };
        target.pool.keep(Instant::now(), connection, &head.headers);
        let failed = head.status.is_server_error();
        place.end(if failed {
            Outcome::Failed
        } else {
            Outcome::Served
        });
        if failed && self.try_consume_retry(node) {
            return Next::Again;
        }
        let first = self.received.elapsed();
        let status = head.status.as_u16();
        request_log::log_answered(
            node,
            self,
            &target.published.id,
            status,
            first,
            Duration::ZERO,
        );
        let mut response = Response::new(Body::whole(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = node.protocol.response_headers(&head);
        Next::Answer(Box::new(response))
    }

    /// Moves this request's life into a relay.
    fn take(&mut self) -> RequestContext {
        RequestContext {
            meta: std::mem::take(&mut self.meta),
            head: self.head.clone(),
            body: self.body.clone(),
            received: self.received,
            suspended: self.suspended,
            route: Rc::clone(&self.route),
            organisation: self.organisation.clone(),
            service: self.service.clone(),
            tried: std::mem::take(&mut self.tried),
            runs: self.runs,
            waited: self.waited,
            charge: self.charge,
        }
    }

    /// Whether one more replica may be tried after one that may have run the request.
    pub fn try_consume_retry(&self, node: &Node) -> bool {
        self.route.kind.repeatable()
            && self.runs < self.route.attempts
            && self.time_left(node) > Duration::from_millis(100)
            && self.consume_retry_budget(node)
    }

    pub(super) fn consume_retry_budget(&self, node: &Node) -> bool {
        let instances = node.peers.borrow().known();
        node.repeats
            .borrow_mut()
            .take(Instant::now(), &self.service, instances)
    }

    /// Head fields for the replica.
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
