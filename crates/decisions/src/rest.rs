//! Times for which an upstream wants no requests of this instance.
//!
//! Load pattern: an upstream is overloaded or in trouble, turns requests away and says for how long it
//! wants none. An instance that took each refusal for a lack of room would ask again within a fraction of
//! a second, with each request that it has; the upstream would have to refuse them instead of
//! recovering, and the requests would lose time and retries there.

use std::time::Duration;

use tokio::time::Instant;

use crate::id::UpstreamId;

/// Longest time for which an upstream can ask for no requests, in seconds.
pub const MAX_REST_S: f64 = 3600.0;

/// The rest of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rest {
    until: Option<Instant>,
}

impl Rest {
    /// Starts or prolongs the rest. Each refusal asks for its own, so a shorter one doesn't end a
    /// longer.
    pub fn ask(&mut self, now: Instant, rest: Duration) {
        self.until = self.until.max(Some(now + rest));
    }

    /// Whether the upstream wants no request now.
    pub fn holds(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// The rests of several upstreams.
#[derive(Debug, Default)]
pub struct Rests {
    /// Sorted by upstream.
    rests: Vec<(UpstreamId, Rest)>,
}

impl Rests {
    /// Starts or prolongs the rest of an upstream.
    pub fn ask(&mut self, now: Instant, upstream: &UpstreamId, rest: Duration) {
        self.rests.retain(|(_, rest)| rest.holds(now));
        let found = self.rests.binary_search_by(|(id, _)| id.cmp(upstream));
        let index = found.unwrap_or_else(|index| {
            self.rests
                .insert(index, (upstream.clone(), Rest::default()));
            index
        });
        self.rests[index].1.ask(now, rest);
    }

    /// The upstreams that want no request now.
    pub fn resting(&self, now: Instant) -> Vec<UpstreamId> {
        let resting = self.rests.iter().filter(|(_, rest)| rest.holds(now));
        resting.map(|(id, _)| id.clone()).collect()
    }

    /// Whether an upstream wants no request now.
    pub fn holds(&self, now: Instant, upstream: &UpstreamId) -> bool {
        let found = self.rests.binary_search_by(|(id, _)| id.cmp(upstream));
        found.is_ok_and(|index| self.rests[index].1.holds(now))
    }
}
