//! The fleet's budget for sending a request to one more replica.
//!
//! Load pattern: replicas that fail or refuse many requests at once. Without a budget each failure
//! becomes a second request just when capacity is short, and the overload feeds itself.
//!
//! Nobody counts for the whole fleet. Each instance spends a part of its own requests, which is
//! safe if all others do the same, and an equal share of the fixed allowance.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::ServiceId;

/// Part of the budget that is spent; the rest covers instances that disagree on their number and
/// requests that stand at the edge of the window.
const SAFE_PART: f64 = 0.6;

/// The operator's bounds on repeats.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamRetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Span over which both are counted.
    pub window: Duration,
    /// Repeats in a window beside the ratio, for all instances together.
    pub extra: f64,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// Repeats that one instance may still send, by service.
#[derive(Debug)]
pub struct UpstreamRetryBudget {
    bounds: UpstreamRetryBounds,
    services: Vec<(ServiceId, Counts)>,
}

impl UpstreamRetryBudget {
    /// Makes the budget of an instance that has seen nothing yet.
    pub fn new(bounds: UpstreamRetryBounds) -> Self {
        Self {
            bounds,
            services: Vec::new(),
        }
    }

    /// Takes other bounds from the operator; what was spent stays spent.
    pub fn set_bounds(&mut self, bounds: UpstreamRetryBounds) {
        self.bounds = bounds;
    }

    /// Notes a request that a caller sent for the service.
    pub fn on_request(&mut self, now: Instant, service: &ServiceId) {
        let window = self.bounds.window;
        let counts = self.counts(service);
        forget(&mut counts.requests, now, window);
        counts.requests.push_back(now);
    }

    /// Takes one repeat from the budget, if there is one; `instances` share the fixed part.
    pub fn try_spend(&mut self, now: Instant, service: &ServiceId, instances: usize) -> bool {
        let bounds = self.bounds;
        let counts = self.counts(service);
        forget(&mut counts.requests, now, bounds.window);
        forget(&mut counts.repeats, now, bounds.window);
        let own = counts.requests.len() as f64 * bounds.ratio;
        let share = bounds.extra / instances.max(1) as f64;
        let allowed = (own + share) * SAFE_PART;
        if counts.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    fn counts(&mut self, service: &ServiceId) -> &mut Counts {
        let at = match self.services.binary_search_by(|(id, _)| id.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.services
                    .insert(at, (service.clone(), Counts::default()));
                at
            }
        };
        &mut self.services[at].1
    }
}

fn forget(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|at| *at + window <= now) {
        times.pop_front();
    }
}
