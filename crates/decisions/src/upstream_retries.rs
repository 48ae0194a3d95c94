//! The fleet's budget for retrying a request at another replica.
//!
//! Load pattern: replicas that fail or refuse many requests at once. Without a budget each failure
//! becomes a second request just when capacity is short, and the overload feeds itself.
//!
//! No instance counts for the whole fleet. Each instance spends a fraction of its own requests,
//! which is safe if all others do the same, and an equal share of the fixed allowance.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::ServiceId;

/// Part of the budget that is used. The rest covers instances that disagree on their number, and
/// requests at the edge of the window.
const USABLE_PART: f64 = 0.6;

/// Bounds on retries, as set by the operator.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamRetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Window over which requests and retries are counted.
    pub window: Duration,
    /// Additional retries in a window, for all instances together.
    pub extra: f64,
}

/// Arrival times of the requests and send times of the retries of one service within the window.
#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Retry budget of one instance, for each service.
#[derive(Debug)]
pub struct UpstreamRetryBudget {
    bounds: UpstreamRetryBounds,
    services: Vec<(ServiceId, Counts)>,
}

impl UpstreamRetryBudget {
    /// Creates the budget of an instance that has received no requests yet.
    pub fn new(bounds: UpstreamRetryBounds) -> Self {
        Self {
            bounds,
            services: Vec::new(),
        }
    }

    /// Changes the bounds; retries that were already spent still count.
    pub fn set_bounds(&mut self, bounds: UpstreamRetryBounds) {
        self.bounds = bounds;
    }

    /// Records a request that a caller sent for the service.
    pub fn on_request(&mut self, now: Instant, service: &ServiceId) {
        let window = self.bounds.window;
        let counts = self.counts(service);
        drop_old(&mut counts.requests, now, window);
        counts.requests.push_back(now);
    }

    /// Spends one retry and returns `true`, or returns `false` if the budget is exhausted. The
    /// fixed allowance is divided by `instances`.
    pub fn try_spend(&mut self, now: Instant, service: &ServiceId, instances: usize) -> bool {
        let bounds = self.bounds;
        let counts = self.counts(service);
        drop_old(&mut counts.requests, now, bounds.window);
        drop_old(&mut counts.retries, now, bounds.window);
        let from_requests = counts.requests.len() as f64 * bounds.ratio;
        let share = bounds.extra / instances.max(1) as f64;
        let allowed = (from_requests + share) * USABLE_PART;
        if counts.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    fn counts(&mut self, service: &ServiceId) -> &mut Counts {
        let index = match self.services.binary_search_by(|(id, _)| id.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                self.services
                    .insert(index, (service.clone(), Counts::default()));
                index
            }
        };
        &mut self.services[index].1
    }
}

fn drop_old(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|at| *at + window <= now) {
        times.pop_front();
    }
}
