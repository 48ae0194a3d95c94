//! Lifecycle of one request: it is received, admitted, assigned a slot, sent to a replica and responded
//! to.

mod attempt;
mod origin;
mod refusals;
mod slot_request;
mod terms;

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use kingcupfield_decisions::fingerprint::Fingerprint;
use kingcupfield_decisions::id::{ServiceId, UpstreamId, Version};
use kingcupfield_decisions::software_versions::StreamOrigin;
use kingcupfield_transfer::account::Claim;
use kingcupfield_transfer::connections::RequestInProgress;
use tokio::time::Instant;

use crate::adapter::RequestMeta;
use crate::admission::{
    ArrivedRequest, charge, out_of_memory_refusal, pick_service, read_body, resolve,
};
use crate::crash_watch::{self, BrokenRequest};
use crate::credit::{self, CreditGrant};
use crate::expiry::{Expiry, wait_for_expiry};
use crate::metrics::Phase;
use crate::node::{Node, ProcessState, SlotError, Target};
use crate::quarantine;
use crate::refusal::{Refusal, RefusalKind, RunStatus};
use crate::relay::ResponseBody;
use crate::request_log::{self, UnansweredGuard};
use crate::table::{Organisation, Route, Table, allowed_regions};
use crate::tasks;

use attempt::NextStep;
use origin::{check_version_served, find_origin, no_service};
use refusals::{check_regions, check_time_to_shutdown, unavailable};

/// Longest time a request waits for the first table after a start. The table is read within two
/// tenths of a second if the store or a peer responds.
const MAX_TABLE_WAIT: Duration = Duration::from_millis(600);

/// Longest wait for the first table as a fraction of the caller's timeout, or of [`MAX_TABLE_WAIT`] if
/// the caller sent none.
const MAX_TABLE_WAIT_FRACTION: f64 = 0.25;

/// State of one request while the instance handles it.
#[derive(Debug)]
pub struct RequestContext {
    /// Metadata parsed from the head of the request.
    pub meta: RequestMeta,
    /// Head of the request as received.
    pub head: Parts,
    /// Complete body of the request.
    pub body: Bytes,
    /// Right of the request to be sent, unless memory runs short before.
    pub claim: Claim,
    /// Time at which the head of the request was received.
    pub received: Instant,
    /// Total time for which the machine had been suspended when the request was admitted.
    pub suspended: Duration,
    /// Route that the request was admitted on, with what newer tables have changed of its terms.
    pub route: Rc<Route>,
    /// Version of the table that `route` and `organisation` come from.
    pub table_version: Version,
    /// Organisation that owns the caller's API key.
    pub organisation: Option<Rc<Organisation>>,
    /// Service that the request is dispatched to.
    pub service: ServiceId,
    /// Where the stream began that the request takes up, or whose first event was sent to the caller.
    pub origin: Option<StreamOrigin>,
    /// When the request was last sent to a replica; when it was received, before that.
    pub sent_at: Instant,
    /// What it has in common with others, once that was needed.
    pub fingerprints: OnceCell<Vec<Fingerprint>>,
    /// Replicas that the request was sent to, in order.
    pub tried: Vec<UpstreamId>,
    /// Number of replicas that may have run the request.
    pub runs: u32,
    /// Time from `received` to the latest assignment of a slot.
    pub waited: Duration,
    /// Credit that was charged to the organisation.
    pub charge: CreditGrant,
}

/// Handles one request of a caller, from its head to the head of the response.
pub async fn serve(
    node: Rc<Node>,
    progress: &RequestInProgress,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    node.active_requests.set(node.active_requests.get() + 1);
    node.accepted_requests.set(node.accepted_requests.get() + 1);
    let active = ActiveGuard(Rc::clone(&node));
    let received = Instant::now();
    let (head, body) = req.into_parts();
    let meta = node.protocol.parse_request(&head);
    let arrived = tokio::select! {
        arrived = read_body(&node, &head, &meta, body) => arrived,
        () = progress.closing() => Err(unavailable("too many connections, and the body arrives too slowly")),
        () = node.response_deadline_reached() => Err(unavailable("this instance shuts down before the body is complete")),
    };
    progress.on_arrived();
    let result = match arrived {
        Ok(arrived) => {
            // While the body arrives, the request takes no memory for what follows.
            let admitted = Box::pin(admit_and_run(
                &node,
                received,
                head,
                meta.clone(),
                arrived,
                active,
            ));
            let run = tasks::catch_panic(admitted).await;
            run.unwrap_or_else(|reason| Err(failure(&node, &reason)))
        }
        Err(refusal) => Err(refusal),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refusal_response(&node, &meta, received, &refusal),
    };
    if node.process_state() != ProcessState::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Builds the refusal of a request at which this instance failed. It may have run.
fn failure(node: &Node, reason: &str) -> Refusal {
    tasks::log_failure(node, "request", reason);
    Refusal::new(RefusalKind::Unknown)
        .with_message("this instance failed while it handled the request")
}

/// Counts a request as active until it is dropped.
#[derive(Debug)]
pub struct ActiveGuard(Rc<Node>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}

/// Checks a complete request against the table and the organisation's limit, then runs it.
async fn admit_and_run(
    node: &Rc<Node>,
    received: Instant,
    head: Parts,
    meta: RequestMeta,
    arrived: ArrivedRequest,
    active: ActiveGuard,
) -> Result<Response<ResponseBody>, Refusal> {
    let table = wait_for_table(node, &meta).await?;
    let ArrivedRequest { body, resolved } = arrived;
    let resolved = match resolved {
        Some(resolved) if resolved.is_of(&table) => resolved,
        _ => resolve(&table, &head, &meta)?,
    };
    let (route, organisation) = (resolved.route, resolved.organisation);
    if meta.attempt_id.is_empty() {
        return Err(
            Refusal::new(RefusalKind::BadRequest).with_message("the request has no attempt id")
        );
    }
    let origin = find_origin(node, &meta, &route).await?;
    let service = pick_service(&route, origin).ok_or_else(|| no_service(&route, origin))?;
    check_version_served(node, &service, origin)?;
    check_regions(&route, organisation.as_deref())?;
    let regions = allowed_regions(&route, organisation.as_deref());
    check_time_to_shutdown(node, &service, &regions, &meta)?;
    quarantine::check(node, &service, &head, &body.bytes)?;
    let charge = charge(node, organisation.as_deref(), &route, &service, &meta).await?;
    node.retry_budget
        .borrow_mut()
        .on_request(Instant::now(), &service);
    let ctx = RequestContext {
        meta,
        head,
        body: body.bytes,
        claim: body.claim,
        received,
        suspended: node.suspend_detector.total_suspended(),
        route,
        table_version: table.version,
        organisation,
        service,
        origin,
        sent_at: received,
        fingerprints: OnceCell::new(),
        tried: Vec::new(),
        runs: 0,
        waited: Duration::ZERO,
        charge,
    };
    ctx.run(Rc::clone(node), active).await
}

/// Returns the table in force, or waits for the first one while the instance starts.
async fn wait_for_table(node: &Node, meta: &RequestMeta) -> Result<Rc<Table>, Refusal> {
    let mut version = node.version_tx.subscribe();
    let max_wait = meta
        .timeout
        .unwrap_or(MAX_TABLE_WAIT)
        .mul_f64(MAX_TABLE_WAIT_FRACTION);
    let mut wait_expired = std::pin::pin!(tokio::time::sleep(MAX_TABLE_WAIT.min(max_wait)));
    loop {
        if let Some(table) = node.table() {
            return Ok(table);
        }
        tokio::select! {
            _ = version.changed() => {}
            () = &mut wait_expired => return Err(unavailable("no table received yet")),
            () = node.response_deadline_reached() => return Err(unavailable("this instance shuts down and has received no table")),
        }
    }
}

/// Builds the response for a refusal and logs it.
fn refusal_response(
    node: &Node,
    meta: &RequestMeta,
    received: Instant,
    refusal: &Refusal,
) -> Response<ResponseBody> {
    request_log::log_refused(node, meta, received, refusal);
    let (status, headers) = node
        .protocol
        .refusal_response(Some(&meta.attempt_id), refusal);
    let mut response = Response::new(ResponseBody::complete(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl RequestContext {
    /// Runs the request. If the task is dropped before a response exists, the log shows that the caller
    /// disconnected or that the end of the process cut the request off.
    async fn run(
        mut self,
        node: Rc<Node>,
        active: ActiveGuard,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut unanswered = UnansweredGuard::new(&node, &self.meta.attempt_id, self.received);
        let result = self.dispatch(&node, active, &mut unanswered).await;
        unanswered.end();
        result
    }

    /// Waits for a slot and sends the request, once per retry, until a response or refusal exists.
    async fn dispatch(
        &mut self,
        node: &Rc<Node>,
        active: ActiveGuard,
        unanswered: &mut UnansweredGuard,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut active = Some(active);
        let mut claim = self.claim.clone();
        loop {
            unanswered.replica = None;
            let acquired = tokio::select! {
                acquired = node.acquire_slot(self.job(node)) => acquired.map_err(|e| match e {
                    SlotError::TimedOut => Expiry::RouteTimeout,
                    SlotError::ShuttingDown => Expiry::Shutdown,
                }),
                expiry = wait_for_expiry(node, &self.route, self.received) => Err(expiry),
                () = claim.evicted(), if self.tried.is_empty() => return Err(self.eviction_refusal(node)),
                () = self.terms_changed(node) => {
                    self.recheck(node)?;
                    continue;
                }
            };
            let slot = match acquired {
                Ok(slot) => slot,
                Err(Expiry::RouteTimeout) => return Err(self.no_slot_refusal(node)),
                Err(Expiry::Shutdown) => return Err(self.shutdown_refusal(node)),
            };
            self.waited = self.received.elapsed();
            node.metrics.observe(Phase::Queued, self.waited);
            self.recheck(node)?;
            let Some(target) = self.target(node, &slot) else {
                continue;
            };
            self.check_quarantine(node)?;
            if self.tried.is_empty() && !claim.on_send() {
                return Err(self.eviction_refusal(node));
            }
            request_log::log_sent(node, self, &target, &slot);
            unanswered.replica = Some(slot.upstream.clone());
            match self.send(node, &target, slot, &mut active).await {
                NextStep::Respond(response) => return Ok(*response),
                NextStep::Refuse(refusal) => return Err(refusal),
                NextStep::Retry => self.crash_checked(node, &target).await,
            }
        }
    }

    /// What the request has in common with others, as far as replicas may crash of it.
    fn fingerprints(&self, node: &Node) -> &[Fingerprint] {
        self.fingerprints
            .get_or_init(|| quarantine::fingerprints(node, &self.service, &self.head, &self.body))
    }

    /// Records that the request broke off at a replica, which may have crashed of it.
    ///
    /// `first_event_at` is when the first event of the replica's response arrived.
    pub fn on_broken(&self, node: &Rc<Node>, target: &Rc<Target>, first_event_at: Option<Instant>) {
        let request = BrokenRequest {
            attempt_id: self.meta.attempt_id.clone(),
            fingerprints: self.fingerprints(node).to_vec(),
            sent_at: self.sent_at,
            first_event_at,
        };
        crash_watch::on_broken(node, target, request);
    }

    /// Records that a replica has answered the request completely.
    pub fn on_completed(&self, node: &Node) {
        if !node.crash_suspects.borrow().is_empty() {
            quarantine::on_completed(node, self.fingerprints(node));
        }
    }

    /// Waits until it is known whether the replica has crashed at which the request broke off, if that may
    /// decide that the request is not sent again.
    pub async fn crash_checked(&self, node: &Node, target: &Target) {
        let may_decide = {
            let suspects = node.crash_suspects.borrow();
            !suspects.is_empty() && suspects.is_near_quarantine(self.fingerprints(node))
        };
        if may_decide {
            node.crash_watch.checked(target).await;
        }
    }

    /// Refuses a request that is about to be sent and is quarantined. One that a replica may have run is not
    /// refused as one that has not.
    pub fn check_quarantine(&self, node: &Node) -> Result<(), Refusal> {
        if node.crash_suspects.borrow().is_empty() {
            return Ok(());
        }
        let checked = quarantine::check_before_send(node, self.fingerprints(node));
        checked.map_err(|refusal| {
            if self.runs == 0 {
                self.refund(node);
                return refusal;
            }
            Refusal::new(RefusalKind::UpstreamBroke)
                .with_ran(RunStatus::Unknown)
                .with_message(refusal.message)
        })
    }

    /// Refuses a request that gave way to one of a higher tier before it was sent.
    fn eviction_refusal(&self, node: &Node) -> Refusal {
        self.refund(node);
        out_of_memory_refusal("memory is short, and a higher tier needs it".to_owned())
    }

    /// Refunds the credit of a request that no replica has run.
    fn refund(&self, node: &Node) {
        if let Some(organisation) = &self.organisation {
            credit::refund(node, organisation, &self.charge);
        }
    }

    /// Time left until the caller's timeout or the route's, whichever is shorter. Time for which the
    /// machine was suspended counts as elapsed.
    pub fn time_left(&self, node: &Node) -> Duration {
        let suspended = node
            .suspend_detector
            .total_suspended()
            .saturating_sub(self.suspended);
        let elapsed = self.received.elapsed() + suspended;
        let timeout = self.meta.timeout.unwrap_or(self.route.timeout);
        timeout.min(self.route.timeout).saturating_sub(elapsed)
    }
}

/// Builds a response without a body.
pub fn empty_response(status: http::StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
