//! The life of one request: received, admitted, placed, sent, answered.

mod placing;
mod refusing;
mod sending;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use kingcupfield_decisions::id::{ServiceId, UpstreamId};
use tokio::time::Instant;

use crate::adapter::RequestMeta;
use crate::admission::{charge, pick_service, read_body, resolve};
use crate::credit::{self, Charged};
use crate::expiry::{Expiry, wait_for_expiry};
use crate::metrics::Phase;
use crate::node::{Node, Stage};
use crate::refusal::{Refusal, RefusalKind};
use crate::relay::Body;
use crate::request_log::{self, UnansweredGuard};
use crate::table::{Organisation, Route, Table};

use refusing::{check_end, check_regions, unavailable};
use sending::Next;

/// Longest time that a request waits for the first table: a start reads it in two tenths of a second,
/// where the store or a peer answers. Also as a part of the caller's time.
const FOR_TABLE: Duration = Duration::from_millis(600);
const FOR_TABLE_PART: f64 = 0.25;

/// One request and what was decided of it.
#[derive(Debug)]
pub struct RequestContext {
    /// The caller's attempt.
    pub meta: RequestMeta,
    /// Head of the request.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// When it had come in.
    pub received: Instant,
    /// Time for which the machine had been suspended by then.
    pub suspended: Duration,
    /// The route in force when it was admitted.
    pub route: Rc<Route>,
    /// Who sent it.
    pub organisation: Option<Rc<Organisation>>,
    /// The service that it goes to.
    pub service: ServiceId,
    /// Replicas that were tried.
    pub tried: Vec<UpstreamId>,
    /// Replicas that may have run it.
    pub runs: u32,
    /// How long it waited for its last place.
    pub waited: Duration,
    /// What it was charged.
    pub charge: Charged,
}

/// Answers one request of a caller.
pub async fn serve(node: Rc<Node>, req: Request<Incoming>) -> Response<Body> {
    node.active.set(node.active.get() + 1);
    node.taken.set(node.taken.get() + 1);
    let active = ActiveGuard(Rc::clone(&node));
    let received = Instant::now();
    let (head, body) = req.into_parts();
    let meta = node.protocol.parse_request(&head);
    let body = tokio::select! {
        body = read_body(&node, body) => body,
        () = node.last_answers() => Err(unavailable("this instance ends before the body came in")),
    };
    let result = match body {
        Ok(body) => admitted(&node, received, head, meta.clone(), body, active).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refuse(&node, &meta, received, &refusal),
    };
    if node.stage() != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Counts a request for as long as it is answered.
#[derive(Debug)]
pub struct ActiveGuard(Rc<Node>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

async fn admitted(
    node: &Rc<Node>,
    received: Instant,
    head: Parts,
    meta: RequestMeta,
    body: Bytes,
    active: ActiveGuard,
) -> Result<Response<Body>, Refusal> {
    let table = wait_for_table(node, &meta).await?;
    let (route, organisation) = resolve(&table, &head, &meta)?;
    if meta.attempt_id.is_empty() {
        return Err(Refusal::new(RefusalKind::BadRequest).with_message("the request has no id"));
    }
    let service =
        pick_service(&route).ok_or_else(|| unavailable("the route leads to no service"))?;
    check_end(node, &service, &meta)?;
    check_regions(&route, organisation.as_deref())?;
    let charge = charge(node, organisation.as_deref(), &route, &service, &meta).await?;
    node.repeats
        .borrow_mut()
        .on_request(Instant::now(), &service);
    let ctx = RequestContext {
        meta,
        head,
        body,
        received,
        suspended: node.clock.suspended(),
        route,
        organisation,
        service,
        tried: Vec::new(),
        runs: 0,
        waited: Duration::ZERO,
        charge,
    };
    ctx.run(Rc::clone(node), active).await
}

/// The table; a request that comes while the instance starts waits a moment for it.
async fn wait_for_table(node: &Node, meta: &RequestMeta) -> Result<Rc<Table>, Refusal> {
    let mut version = node.version.subscribe();
    let patience = meta.timeout.unwrap_or(FOR_TABLE).mul_f64(FOR_TABLE_PART);
    let mut over = std::pin::pin!(tokio::time::sleep(FOR_TABLE.min(patience)));
    loop {
        if let Some(table) = node.table() {
            return Ok(table);
        }
        tokio::select! {
            _ = version.changed() => {}
            () = &mut over => return Err(unavailable("no table is known yet")),
            () = node.last_answers() => return Err(unavailable("this instance ends and knows no table")),
        }
    }
}

/// Makes the answer of a refusal and tells the log of it.
fn refuse(node: &Node, meta: &RequestMeta, received: Instant, refusal: &Refusal) -> Response<Body> {
    request_log::log_refused(node, meta, received, refusal);
    let (status, fields) = node
        .protocol
        .refusal_response(Some(&meta.attempt_id), refusal);
    let mut response = Response::new(Body::whole(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = fields;
    response
}

impl RequestContext {
    async fn run(mut self, node: Rc<Node>, active: ActiveGuard) -> Result<Response<Body>, Refusal> {
        let mut unanswered = UnansweredGuard::new(&node, &self.meta.attempt_id, self.received);
        let result = self.run_watched(&node, active, &mut unanswered).await;
        unanswered.end();
        result
    }

    async fn run_watched(
        &mut self,
        node: &Rc<Node>,
        active: ActiveGuard,
        unanswered: &mut UnansweredGuard,
    ) -> Result<Response<Body>, Refusal> {
        let mut active = Some(active);
        loop {
            unanswered.replica = None;
            let placed = tokio::select! {
                placed = node.place(self.job(node)) => placed.map_err(|_| Expiry::RouteTimeout),
                over = wait_for_expiry(node, &self.route, self.received) => Err(over),
                () = self.bound_elsewhere(node) => {
                    self.recheck(node)?;
                    continue;
                }
            };
            let place = match placed {
                Ok(place) => place,
                Err(Expiry::RouteTimeout) => return Err(self.give_up(node)),
                Err(Expiry::Shutdown) => return Err(self.ends_with_process(node)),
            };
            self.waited = self.received.elapsed();
            node.metrics.observe(Phase::Queued, self.waited);
            self.recheck(node)?;
            let Some(target) = self.target(node, &place) else {
                continue;
            };
            request_log::log_sent(node, self, &place);
            unanswered.replica = Some(place.upstream.clone());
            match self.send(node, &target, place, &mut active).await {
                Next::Answer(response) => return Ok(*response),
                Next::Refuse(refusal) => return Err(refusal),
                Next::Again => {}
            }
        }
    }

    fn uncharge(&self, node: &Node) {
        if let Some(organisation) = &self.organisation {
            credit::give_back(node, organisation, &self.charge);
        }
    }

    /// Time that the caller still waits, counting the time that the machine stood still.
    pub fn time_left(&self, node: &Node) -> Duration {
        let slept = node.clock.suspended().saturating_sub(self.suspended);
        let passed = self.received.elapsed() + slept;
        let deadline = self.meta.timeout.unwrap_or(self.route.timeout);
        deadline.min(self.route.timeout).saturating_sub(passed)
    }
}

/// An answer without content.
pub fn empty_response(status: http::StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
