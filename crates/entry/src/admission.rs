//! Admission of a request: its body size, route, API key and its organisation's limit.

use std::rc::Rc;
use std::time::Duration;

use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use kingcupfield_decisions::credit::{Charge, Verdict};
use kingcupfield_decisions::id::{Rank, ServiceId, name_hash};
use kingcupfield_decisions::software_versions::StreamOrigin;
use kingcupfield_transfer::caller_body::{self, BodyError, BodyLimits, CallerBody};
use rand::RngExt as _;

use crate::adapter::RequestMeta;
use crate::credit::{self, CreditDenial, CreditGrant};
use crate::node::Node;
use crate::refusal::{Refusal, RefusalKind};
use crate::table::{Organisation, Route, Table};

/// Retry delay given while the instance has no table yet or shuts down: another instance handles the
/// retry.
pub const SHORT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest wait for credit, as a fraction of the route's latency objective.
const MAX_CREDIT_WAIT_FRACTION: f64 = 0.5;

/// Longest wait for credit.
const MAX_CREDIT_WAIT: Duration = Duration::from_millis(600);

/// Longest time from the head of a request to the end of its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Size limit in bytes of a request body while no table has been received.
const DEFAULT_MAX_BODY_BYTES: usize = 1 << 20;

/// Route and organisation of a request in one table.
#[derive(Debug)]
pub struct Resolved {
    table: Rc<Table>,
    /// Route of the request.
    pub route: Rc<Route>,
    /// Organisation that owns the caller's API key.
    pub organisation: Option<Rc<Organisation>>,
}

/// A request whose body is complete.
#[derive(Debug)]
pub struct ArrivedRequest {
    /// Its body.
    pub body: CallerBody,
    /// Route and organisation in the table that was in force when its head was received; `None` without a table.
    pub resolved: Option<Resolved>,
}

/// Reads the body of a request, within the size limit of the table, [`BODY_TIMEOUT`] and the memory for callers.
/// The body of a request that its head gets refused is read and dropped.
pub async fn read_body(
    node: &Node,
    head: &Parts,
    meta: &RequestMeta,
    mut body: Incoming,
) -> Result<ArrivedRequest, Refusal> {
    let table = node.table();
    let max_bytes = max_body_bytes(node, table.as_deref());
    let limits = BodyLimits::new(max_bytes, BODY_TIMEOUT);
    let resolved = table.as_ref().map(|t| resolve(t, head, meta)).transpose();
    let resolved = match resolved {
        Ok(resolved) => resolved,
        Err(refusal) => {
            let hold = node.caller_memory.open(Rank::MAX);
            caller_body::discard_held(&mut body, limits, hold).await;
            return Err(match node.table() {
                Some(newest) if table.is_none_or(|t| !Rc::ptr_eq(&t, &newest)) => {
                    refusal_by_table(&newest, head, meta)
                }
                _ => refusal,
            });
        }
    };
    let rank = resolved.as_ref().map_or(Rank::MAX, Resolved::rank);
    let hold = node.caller_memory.open(rank);
    let received = caller_body::receive(&mut body, limits, hold).await;
    let body = received.map_err(|e| body_refusal(&e))?;
    Ok(ArrivedRequest { body, resolved })
}

/// Size limit in bytes of a body: that of the table, or less on a machine that can't hold such a body.
fn max_body_bytes(node: &Node, table: Option<&Table>) -> usize {
    let max_bytes = table.map_or(DEFAULT_MAX_BODY_BYTES, |t| t.limits.body_bytes);
    max_bytes.min(node.caller_memory.max_body_bytes())
}

impl Resolved {
    /// Whether it comes from this table.
    pub fn is_of(&self, table: &Rc<Table>) -> bool {
        Rc::ptr_eq(&self.table, table)
    }

    /// Priority rank of the request.
    fn rank(&self) -> Rank {
        let rank = self.route.rank_for(self.organisation.as_deref());
        Rank::try_from(rank).unwrap_or(Rank::MAX)
    }
}

/// The refusal of a request whose body was dropped, after a newer table came into force.
fn refusal_by_table(table: &Rc<Table>, head: &Parts, meta: &RequestMeta) -> Refusal {
    match resolve(table, head, meta) {
        Ok(_) => Refusal::new(RefusalKind::Unavailable)
            .with_message("the route or key came into force while the body arrived")
            .with_retry_after(SHORT_RETRY_AFTER),
        Err(refusal) => refusal,
    }
}

/// Builds the refusal of a request whose body was not received.
fn body_refusal(error: &BodyError) -> Refusal {
    match error {
        BodyError::TooLarge { .. } => Refusal::new(RefusalKind::TooLarge),
        BodyError::TimedOut | BodyError::Broken(_) => {
            Refusal::new(RefusalKind::BadRequest).with_message("the body is incomplete")
        }
        BodyError::OutOfMemory(_) | BodyError::Evicted => out_of_memory_refusal(error.to_string()),
    }
}

/// Builds the refusal of a request for which there is no memory. A retry reaches another instance.
pub fn out_of_memory_refusal(reason: String) -> Refusal {
    Refusal::new(RefusalKind::Unavailable)
        .with_message(reason)
        .with_retry_after(SHORT_RETRY_AFTER)
}

/// Finds the route of a request by host and path, and the organisation that owns its API key.
pub fn resolve(table: &Rc<Table>, head: &Parts, meta: &RequestMeta) -> Result<Resolved, Refusal> {
    let route = find_route(table, head)?;
    let organisation = authorise(table, route, meta)?;
    Ok(Resolved {
        table: Rc::clone(table),
        route: Rc::clone(route),
        organisation,
    })
}

/// Finds the route of a request by host and path.
pub fn find_route<'a>(table: &'a Table, head: &Parts) -> Result<&'a Rc<Route>, Refusal> {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|h| h.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    table.route(host, head.uri.path()).ok_or_else(|| {
        let reason = format!("no route for {host:?} {:?}", head.uri.path());
        Refusal::new(RefusalKind::NotFound).with_message(reason)
    })
}

/// Finds the organisation that owns the API key of a request; refuses the request if its route needs a key and it
/// has none of the table.
pub fn authorise(
    table: &Table,
    route: &Route,
    meta: &RequestMeta,
) -> Result<Option<Rc<Organisation>>, Refusal> {
    let organisation = meta.api_key.as_deref().and_then(|k| table.organisation(k));
    if table.requires_key() && !route.public && organisation.is_none() {
        let reason = match meta.api_key {
            Some(_) => "the API key is not in the table",
            None => "no API key",
        };
        return Err(Refusal::new(RefusalKind::Unauthorized).with_message(reason));
    }
    Ok(organisation.cloned())
}

/// Picks one of the services of a route: the one that began the stream which the request takes up, or else a
/// random one in proportion to their weights.
pub fn pick_service(route: &Route, origin: Option<StreamOrigin>) -> Option<ServiceId> {
    if let Some(origin) = origin {
        let mut services = route.targets.iter().map(|(service, _)| service);
        return services.find(|s| name_hash(s) == origin.service).cloned();
    }
    let total: u64 = route
        .targets
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    if total == 0 {
        return route.targets.first().map(|(service, _)| service.clone());
    }
    let mut remaining = rand::rng().random_range(0..total);
    for (service, weight) in &route.targets {
        if remaining < u64::from(*weight) {
            return Some(service.clone());
        }
        remaining -= u64::from(*weight);
    }
    None
}

/// Charges the cost of a request against its organisation's limit; waits for credit if necessary.
pub async fn charge(
    node: &Node,
    organisation: Option<&Organisation>,
    route: &Route,
    service: &ServiceId,
    meta: &RequestMeta,
) -> Result<CreditGrant, Refusal> {
    let Some(organisation) = organisation else {
        return Ok(CreditGrant::default());
    };
    let Some(limit) = organisation.limit else {
        return Ok(CreditGrant::default());
    };
    let charge = Charge {
        cost: cost(organisation, meta),
        priority_class: priority_class(node, route, service, meta),
        max_wait: route
            .latency_objective
            .mul_f64(MAX_CREDIT_WAIT_FRACTION)
            .min(MAX_CREDIT_WAIT),
    };
    let charged = credit::charge(node, organisation, limit, charge).await;
    charged.map_err(|denial| credit_refusal(node, organisation, route, charge, denial))
}

/// Builds the refusal of a request that was granted no credit.
fn credit_refusal(
    node: &Node,
    organisation: &Organisation,
    route: &Route,
    charge: Charge,
    denial: CreditDenial,
) -> Refusal {
    let CreditDenial {
        verdict,
        waited,
        coordinator,
    } = denial;
    let request = format!(
        "limit of {}: {:.0} requested in tier {}, class {}; coordinator {coordinator}, waited {} ms",
        organisation.name,
        charge.cost,
        route.rank,
        charge.priority_class,
        waited.as_millis(),
    );
    let Verdict::Denied { wait_ms, stock } = verdict else {
        return Refusal::new(RefusalKind::Unavailable)
            .with_message(format!("{request}, no response"))
            .with_retry_after(SHORT_RETRY_AFTER);
    };
    let accrual = node
        .credit_ledger
        .borrow()
        .accrual(name_hash(&organisation.name));
    let max_stock = accrual.map_or(0.0, |p| p.max_stock());
    let zone_size = node.peers.borrow().zone_size();
    let reason = format!(
        "{request}, {stock:.0} of at most {max_stock:.0} available, {zone_size} known instances in the zone",
    );
    over_limit_refusal(f64::from(wait_ms) / 1000.0, reason)
}

/// Returns the cost of a request in the unit of its organisation's limit: tokens, or 1 per request.
fn cost(organisation: &Organisation, meta: &RequestMeta) -> f64 {
    if !organisation.limit_in_tokens {
        return 1.0;
    }
    let tokens = match (meta.prompt_tokens, meta.max_output_tokens) {
        (None, None) => organisation.default_tokens,
        (p, o) => p.unwrap_or(0).saturating_add(o.unwrap_or(0)),
    };
    f64::from(tokens)
}

/// Builds the refusal of a request for which credit is expected after `wait_s` seconds. The retry delay
/// has random jitter so that callers do not retry all at once.
fn over_limit_refusal(wait_s: f64, reason: String) -> Refusal {
    let retry_after_s = wait_s.clamp(0.2, 10.0) * rand::rng().random_range(1.0..1.3);
    Refusal::new(RefusalKind::Limited)
        .with_message(reason)
        .with_retry_after(Duration::from_secs_f64(retry_after_s))
}

/// Returns the priority class of a request on arrival, in half tiers: twice the rank of its tier plus
/// its demotion for size.
fn priority_class(node: &Node, route: &Route, service: &ServiceId, meta: &RequestMeta) -> u32 {
    let prompt_tokens = f64::from(meta.prompt_tokens.unwrap_or(0));
    let demotion = node.dispatch.borrow().size_demotion(
        service,
        prompt_tokens,
        meta.estimated_output_tokens(),
    );
    route.rank.saturating_mul(2).saturating_add(demotion)
}
