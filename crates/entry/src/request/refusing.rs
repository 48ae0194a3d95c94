//! The refusals of a request: why it gets no answer of a replica, and when its caller had better come back.

use std::time::Duration;

use kingcupfield_decisions::id::ServiceId;
use kingcupfield_decisions::regions::Regions;
use rand::RngExt as _;
use tokio::time::Instant;

use super::RequestContext;
use crate::adapter::RequestMeta;
use crate::admission::{COME_BACK_SOON, ends_in_time};
use crate::exchange::Failure;
use crate::expiry::Expiry;
use crate::node::Node;
use crate::refusal::{Refusal, RefusalKind, RunStatus};
use crate::table::{Organisation, Route, regions};

/// Advice on when to come back: bursts last two to five seconds. Callers take a third of the time
/// that they have left at most.
const COME_BACK_S: std::ops::Range<f64> = 2.0..5.0;

/// Refuses a request that may be served nowhere, as its route and its organisation name different regions.
pub(super) fn check_regions(
    route: &Route,
    organisation: Option<&Organisation>,
) -> Result<(), Refusal> {
    if !regions(route, organisation).is_none() {
        return Ok(());
    }
    let reason = format!(
        "no region in common: route {} allows {}, organisation {} allows {}",
        route.name,
        route.regions,
        organisation.map_or("-", |o| &*o.name),
        organisation.map_or_else(Regions::all, |o| o.regions.clone()),
    );
    Err(Refusal::new(RefusalKind::Shed)
        .with_message(reason)
        .with_retry_after(come_back()))
}

/// Advice on when to come back after a refusal for want of room.
pub(super) fn come_back() -> Duration {
    Duration::from_secs_f64(rand::rng().random_range(COME_BACK_S))
}

/// Refuses a request that could not end before the process does.
pub(super) fn check_end(
    node: &Node,
    service: &ServiceId,
    meta: &RequestMeta,
) -> Result<(), Refusal> {
    if ends_in_time(node, service, meta) {
        return Ok(());
    }
    Err(unavailable("this instance ends before the request could"))
}

/// Another instance, or this one a moment later, can serve the request.
pub(super) fn unavailable(reason: &str) -> Refusal {
    Refusal::new(RefusalKind::Unavailable)
        .with_message(reason)
        .with_retry_after(COME_BACK_SOON)
}

impl RequestContext {
    /// The final answer to a request that got no place in time.
    pub(super) fn give_up(&self, node: &Node) -> Refusal {
        if self.runs > 0 {
            return Refusal::new(RefusalKind::UpstreamBroke);
        }
        self.uncharge(node);
        let regions = self.regions();
        let standing = node
            .dispatch
            .borrow()
            .standing(Instant::now(), &self.service, &regions);
        let reason = format!(
            "no room for {} in {} ms in regions {regions}, asked in {}: {} replicas usable, {} of them elsewhere, {} cold, {} left alone, {} full, {} requests waiting, emptied zones [{}]",
            self.service,
            self.received.elapsed().as_millis(),
            node.settings().region,
            standing.usable,
            standing.not_allowed,
            standing.closed,
            standing.left_alone,
            standing.full,
            standing.waiting,
            node.emptied.borrow().all().join(","),
        );
        Refusal::new(RefusalKind::Shed)
            .with_message(reason)
            .with_retry_after(come_back())
    }

    pub(super) fn is_over(&self, node: &Node, over: Expiry) -> Refusal {
        match over {
            Expiry::RouteTimeout => self.too_late(),
            Expiry::Shutdown => self.ends_with_process(node),
        }
    }

    /// The process ends before the request could. Another instance can answer what was not sent.
    pub(super) fn ends_with_process(&self, node: &Node) -> Refusal {
        if self.runs > 0 {
            return Refusal::new(RefusalKind::Deadline)
                .with_ran(RunStatus::Unknown)
                .with_message("this instance ends before the replica has answered");
        }
        self.uncharge(node);
        unavailable("this instance ends before the request had a place")
    }

    pub(super) fn too_late(&self) -> Refusal {
        let ran = if self.runs > 0 {
            RunStatus::Unknown
        } else {
            RunStatus::No
        };
        let reason = format!(
            "the route's {} ms or the caller's {} are over after {} ms",
            self.route.timeout.as_millis(),
            self.meta
                .timeout
                .map_or_else(|| "-".to_owned(), |d| d.as_millis().to_string()),
            self.received.elapsed().as_millis(),
        );
        Refusal::new(RefusalKind::Deadline)
            .with_ran(ran)
            .with_message(reason)
    }

    /// The replica may have run the request, and no other one may try.
    pub(super) fn broke(&self, failure: Failure) -> Refusal {
        let why = if !self.route.kind.repeatable() {
            "the route allows one run"
        } else if self.runs >= self.route.attempts {
            "all runs of the route are used"
        } else {
            "no time or no budget for another run"
        };
        Refusal::new(RefusalKind::UpstreamBroke)
            .with_ran(RunStatus::Unknown)
            .with_message(format!("{}; {why}", failure.as_str()))
    }
}
