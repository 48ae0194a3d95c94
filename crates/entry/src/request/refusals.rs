//! Refusals of a request: the reason, and when the caller should retry.

use std::time::Duration;

use kingcupfield_decisions::id::ServiceId;
use kingcupfield_decisions::regions::Regions;
use rand::RngExt as _;
use tokio::time::Instant;

use super::RequestContext;
use crate::adapter::RequestMeta;
use crate::admission::SHORT_RETRY_AFTER;
use crate::exchange::SendFailure;
use crate::expiry::Expiry;
use crate::node::Node;
use crate::refusal::{Refusal, RefusalKind, RunStatus};
use crate::table::{Organisation, Route, allowed_regions};

/// Retry delay in seconds after a refusal for lack of capacity: bursts last two to five seconds. Callers
/// wait at most a third of the time that they have left.
const RETRY_AFTER_S: std::ops::Range<f64> = 2.0..5.0;

/// Refuses a request whose route and organisation have no allowed region in common.
pub(super) fn check_regions(
    route: &Route,
    organisation: Option<&Organisation>,
) -> Result<(), Refusal> {
    if !allowed_regions(route, organisation).is_none() {
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
        .with_retry_after(random_retry_delay()))
}

/// Picks a random retry delay for a refusal for lack of capacity.
pub(super) fn random_retry_delay() -> Duration {
    Duration::from_secs_f64(rand::rng().random_range(RETRY_AFTER_S))
}

/// Refuses a request that no replica can complete before the process ends. The load balancer keeps sending requests
/// to a stopping instance where few instances of a zone are ready; another instance can serve them completely. The
/// dispatcher judges the replica that it chooses once more.
pub(super) fn check_time_to_shutdown(
    node: &Node,
    service: &ServiceId,
    regions: &Regions,
    meta: &RequestMeta,
) -> Result<(), Refusal> {
    let dispatch = node.dispatch.borrow();
    if dispatch.can_finish(Instant::now(), service, regions, &meta.response_size()) {
        return Ok(());
    }
    drop(dispatch);
    Err(unavailable(
        "this instance shuts down before the request could complete",
    ))
}

/// Builds a refusal for a request that the caller should retry shortly: another instance, or later
/// this one, can serve it.
pub(super) fn unavailable(reason: &str) -> Refusal {
    Refusal::new(RefusalKind::Unavailable)
        .with_message(reason)
        .with_retry_after(SHORT_RETRY_AFTER)
}

impl RequestContext {
    /// Builds the final refusal of a request that was assigned no slot in time.
    pub(super) fn no_slot_refusal(&self, node: &Node) -> Refusal {
        if self.runs > 0 {
            return Refusal::new(RefusalKind::UpstreamBroke);
        }
        self.refund(node);
        let regions = self.regions();
        let availability =
            node.dispatch
                .borrow()
                .availability(Instant::now(), &self.service, &regions);
        let reason = format!(
            "no room for {} in {} ms in regions {regions}, received in region {}: {} replicas usable, of these {} in other regions, {} cold, {} limited, {} resting, {} in backoff, {} full, {} warming up; {} requests waiting, drained zones [{}]",
            self.service,
            self.received.elapsed().as_millis(),
            node.settings().region,
            availability.usable,
            availability.region_not_allowed,
            availability.cold_not_designated,
            availability.limited,
            availability.resting,
            availability.ejected,
            availability.full,
            availability.warming_up,
            availability.waiting,
            node.drained_zones.borrow().all().join(","),
        );
        let reason = reason + &self.usage_reason(node);
        Refusal::new(RefusalKind::Shed)
            .with_message(reason)
            .with_retry_after(random_retry_delay())
    }

    /// Usage of the organisation, and the step that was served instead, for the refusal of a request that
    /// was assigned no slot; empty while requests aren't ordered by usage.
    fn usage_reason(&self, node: &Node) -> String {
        let dispatch = node.dispatch.borrow();
        let usage = self.usage(node);
        let Some(standing) = usage.and_then(|u| dispatch.standing(Instant::now(), &u)) else {
            return String::new();
        };
        let served_step = dispatch.last_served_step(&self.service);
        format!(
            "; usage {:.0} of share {:.0} tokens per second, step {}, served instead step {}",
            standing.usage_per_s,
            standing.share,
            standing.step,
            served_step.map_or_else(|| "-".to_owned(), |step| step.to_string()),
        )
    }

    /// Builds the refusal of a request that has reached its timeout or the end of the process.
    pub(super) fn expiry_refusal(&self, node: &Node, expiry: Expiry) -> Refusal {
        match expiry {
            Expiry::RouteTimeout => self.timeout_refusal(),
            Expiry::Shutdown => self.shutdown_refusal(node),
        }
    }

    /// Builds the refusal of a request that the end of the process cuts short. Another instance can
    /// serve it if it was not sent to a replica.
    pub(super) fn shutdown_refusal(&self, node: &Node) -> Refusal {
        if self.runs > 0 {
            return Refusal::new(RefusalKind::Deadline)
                .with_ran(RunStatus::Unknown)
                .with_message("this instance shuts down before the replica has responded");
        }
        self.refund(node);
        unavailable("this instance shuts down before the request was assigned a slot")
    }

    /// Builds the refusal of a request whose route's or caller's timeout has expired.
    pub(super) fn timeout_refusal(&self) -> Refusal {
        let ran = if self.runs > 0 {
            RunStatus::Unknown
        } else {
            RunStatus::No
        };
        let reason = format!(
            "route timeout of {} ms or caller timeout of {} ms expired after {} ms",
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

    /// Builds the refusal of a request that a replica may have run and that may not be retried.
    pub(super) fn no_retry_refusal(&self, failure: SendFailure) -> Refusal {
        let reason = if !self.route.kind.is_retryable() {
            "the route allows one run"
        } else if self.runs >= self.route.max_attempts {
            "the route's attempts are used up"
        } else {
            "no time or retry budget for another attempt"
        };
        Refusal::new(RefusalKind::UpstreamBroke)
            .with_ran(RunStatus::Unknown)
            .with_message(format!("{}; {reason}", failure.as_str()))
    }
}
