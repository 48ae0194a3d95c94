//! Whether a request is taken at all: its size, route, key, and its organisation's limit.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::request::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kingcupfield_decisions::credit::{Charge, Verdict};
use kingcupfield_decisions::id::{ServiceId, short_name};
use rand::RngExt as _;
use tokio::time::Instant;

use crate::adapter::RequestMeta;
use crate::credit::{self, Charged, Uncharged};
use crate::node::{Node, Stage};
use crate::refusal::{Refusal, RefusalKind};
use crate::table::{Organisation, Route, Table};

/// Advice where the instance knows no table yet or ends: another one answers the next try.
pub const SHORT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time of a token at a slow replica that is full, and of everything else of a request.
const SLOW_TOKEN: Duration = Duration::from_millis(30);
const SLOW_REST: Duration = Duration::from_secs(1);

/// Time of everything but reading and generating.
const REST: Duration = Duration::from_millis(500);

/// A request waits for this part of its objective for credit of its organisation, at most.
const FOR_CREDIT: f64 = 0.5;
const MOST_FOR_CREDIT: Duration = Duration::from_millis(600);

/// Longest time for the body of a request to come in.
const BODY: Duration = Duration::from_secs(10);

/// Reads the body of a request.
pub async fn read_body(node: &Node, body: Incoming) -> Result<Bytes, Refusal> {
    let most = node.table().map_or(1 << 20, |t| t.limits.body_bytes);
    let collected = tokio::time::timeout(BODY, Limited::new(body, most).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::new(RefusalKind::TooLarge))
        }
        _ => {
            Err(Refusal::new(RefusalKind::BadRequest)
                .with_message("the body did not come in whole"))
        }
    }
}

/// Whether the request can end before the process does.
///
/// The balancer goes on sending where few instances of a zone are ready. A stream that is begun
/// shortly before the end would be cut off; another instance can serve it whole. While the instance
/// leaves, the pace that is learned of the replicas decides; once it closes, nothing may be cut, so
/// a slow replica must be able to end it too.
pub fn completes_before_shutdown(node: &Node, service: &ServiceId, meta: &RequestMeta) -> bool {
    let Some(end) = node.answers_by.get() else {
        return true;
    };
    let left = end.saturating_duration_since(Instant::now());
    let slow = SLOW_REST + SLOW_TOKEN * meta.max_output_tokens.unwrap_or(0);
    if node.stage() >= Stage::Closing && slow >= left {
        return false;
    }
    let left = left.saturating_sub(REST);
    let prompt = f64::from(meta.prompt_tokens.unwrap_or(0));
    let dispatch = node.dispatch.borrow();
    dispatch.could_end(left, service, prompt, meta.estimated_output_tokens())
}

/// Finds the route and the organisation of a request in the table.
pub fn resolve(
    table: &Table,
    head: &Parts,
    meta: &RequestMeta,
) -> Result<(Rc<Route>, Option<Rc<Organisation>>), Refusal> {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|h| h.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    let route = table.route(host, head.uri.path()).ok_or_else(|| {
        let reason = format!("no route for {host:?} {:?}", head.uri.path());
        Refusal::new(RefusalKind::NotFound).with_message(reason)
    })?;
    let organisation = meta.api_key.as_deref().and_then(|k| table.organisation(k));
    if table.keyed() && !route.public && organisation.is_none() {
        let reason = match meta.api_key {
            Some(_) => "the table has no such key",
            None => "no key",
        };
        return Err(Refusal::new(RefusalKind::Unauthorized).with_message(reason));
    }
    Ok((Rc::clone(route), organisation.cloned()))
}

/// Picks one of the services of a route, by their weights.
pub fn pick_service(route: &Route) -> Option<ServiceId> {
    let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return route.targets.first().map(|(service, _)| service.clone());
    }
    let mut at = rand::rng().random_range(0..total);
    for (service, weight) in &route.targets {
        if at < *weight {
            return Some(service.clone());
        }
        at -= weight;
    }
    None
}

/// Takes a request's cost from its organisation's limit.
pub async fn charge(
    node: &Node,
    organisation: Option<&Organisation>,
    route: &Route,
    service: &ServiceId,
    meta: &RequestMeta,
) -> Result<Charged, Refusal> {
    let Some(organisation) = organisation else {
        return Ok(Charged::default());
    };
    let Some(limit) = organisation.limit else {
        return Ok(Charged::default());
    };
    let charge = Charge {
        cost: cost(organisation, meta),
        class: class(node, route, service, meta),
        patience: route.objective.mul_f64(FOR_CREDIT).min(MOST_FOR_CREDIT),
    };
    let taken = credit::take(node, organisation, limit, charge).await;
    taken.map_err(|uncharged| refuse(node, organisation, route, charge, uncharged))
}

/// The refusal of a request that got no credit.
fn refuse(
    node: &Node,
    organisation: &Organisation,
    route: &Route,
    charge: Charge,
    uncharged: Uncharged,
) -> Refusal {
    let Uncharged {
        verdict,
        waited,
        keeper,
    } = uncharged;
    let wanted = format!(
        "limit of {}: {:.0} wanted in tier {}, class {}; keeper {keeper}, waited {} ms",
        organisation.name,
        charge.cost,
        route.rank,
        charge.class,
        waited.as_millis(),
    );
    let Verdict::Denied { wait_ms, stock } = verdict else {
        return Refusal::new(RefusalKind::Unavailable)
            .with_message(format!("{wanted}, no answer"))
            .with_retry_after(SHORT_RETRY_AFTER);
    };
    let pace = node.ledger.borrow().pace(short_name(&organisation.name));
    let depth = pace.map_or(0.0, |p| p.depth());
    let size = node.peers.borrow().zone_size();
    let reason = format!(
        "{wanted}, {stock:.0} of at most {depth:.0} there, {size} instances known in the zone",
    );
    limited(f64::from(wait_ms) / 1000.0, reason)
}

/// What a request takes of its organisation's limit.
fn cost(organisation: &Organisation, meta: &RequestMeta) -> f64 {
    if !organisation.in_tokens {
        return 1.0;
    }
    let tokens = match (meta.prompt_tokens, meta.max_output_tokens) {
        (None, None) => organisation.plain_tokens,
        (p, o) => p.unwrap_or(0).saturating_add(o.unwrap_or(0)),
    };
    f64::from(tokens)
}

/// Refuses a request that would pass after `seconds`.
fn limited(seconds: f64, reason: String) -> Refusal {
    let after = seconds.clamp(0.2, 10.0) * rand::rng().random_range(1.0..1.3);
    Refusal::new(RefusalKind::Limited)
        .with_message(reason)
        .with_retry_after(Duration::from_secs_f64(after))
}

/// Place of a request in the order of service, in halves of a tier, before it waits.
fn class(node: &Node, route: &Route, service: &ServiceId, meta: &RequestMeta) -> u32 {
    let prompt = f64::from(meta.prompt_tokens.unwrap_or(0));
    let setback = node
        .dispatch
        .borrow()
        .setback(service, prompt, meta.estimated_output_tokens());
    route.rank * 2 + setback
}
