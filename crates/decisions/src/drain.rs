//! Graceful shutdown of an instance, and draining of an upstream that leaves.
//!
//! Load pattern: rolling restarts under load. Without this module a stopped instance cuts its open
//! streams and the requests that the load balancer still sends it, and an upstream that leaves gets
//! work that it will not finish.
//!
//! The states are types: code in which a drained instance accepts a request, or a serving one ends,
//! doesn't compile.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which an instance still accepts requests after it announced that it leaves.
///
/// The load balancer polls readiness about once a second and needs two failures; a reservation of a
/// peer may be under way for a lease. Recently issued idempotency keys are used in this time.
pub const LEAVE_GRACE: Duration = Duration::from_secs(5);

/// Maximum time for which a leaving instance waits for its last stream. After that the platform
/// would kill the process anyway, and a clean handover is worth more than a stuck stream.
pub const DRAIN_TIMEOUT: Duration = Duration::from_mins(10);

/// State of an instance that is ready and accepts requests.
#[derive(Debug)]
pub struct Serving;

/// State of an instance that reports not ready, announces that it leaves, and still serves the
/// requests that arrive.
#[derive(Debug)]
pub struct Leaving {
    since: Instant,
}

/// State of an instance whose last request has ended; it hands over its records and exits.
#[derive(Debug)]
pub struct Drained {
    /// Number of requests cut off because [`DRAIN_TIMEOUT`] passed; 0 after a clean shutdown.
    pub aborted: usize,
}

/// Number of unfinished requests at a leaving instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Requests of callers that are waiting, running or streaming.
    pub requests: usize,
    /// Calls that peers forwarded to this instance and whose response they await.
    pub forwarded: usize,
}

impl InFlight {
    fn total(self) -> usize {
        self.requests + self.forwarded
    }
}

/// Lifecycle of an entry instance.
#[derive(Debug)]
pub struct InstanceLifecycle<S> {
    state: S,
}

impl InstanceLifecycle<Serving> {
    /// Creates the lifecycle of an instance that has started.
    pub fn new() -> Self {
        Self { state: Serving }
    }

    /// Starts leaving, on SIGTERM, on `POST /drain` or when the published list marks this instance
    /// as leaving. The caller reports not ready and announces the leaving.
    pub fn leave(self, now: Instant) -> InstanceLifecycle<Leaving> {
        InstanceLifecycle {
            state: Leaving { since: now },
        }
    }
}

impl Default for InstanceLifecycle<Serving> {
    fn default() -> Self {
        Self::new()
    }
}

impl InstanceLifecycle<Leaving> {
    /// Ends when nothing is unfinished and no new request is expected, or when the timeout passed.
    ///
    /// # Errors
    /// Returns itself while it must continue.
    pub fn try_end(
        self,
        now: Instant,
        in_flight: InFlight,
    ) -> Result<InstanceLifecycle<Drained>, Self> {
        let leaving_for = now.duration_since(self.state.since);
        let idle = in_flight.total() == 0 && leaving_for >= LEAVE_GRACE;
        if idle || leaving_for >= DRAIN_TIMEOUT {
            let aborted = in_flight.total();
            return Ok(InstanceLifecycle {
                state: Drained { aborted },
            });
        }
        Err(self)
    }

    /// Latest time at which [`Self::try_end`] should be called again even if no request has ended.
    pub fn next_check(&self, now: Instant) -> Instant {
        let grace_end = self.state.since + LEAVE_GRACE;
        if now < grace_end {
            grace_end
        } else {
            self.state.since + DRAIN_TIMEOUT
        }
    }
}

impl InstanceLifecycle<Drained> {
    /// Number of requests cut off; 0 after a clean shutdown.
    pub fn aborted(&self) -> usize {
        self.state.aborted
    }
}

/// Lifecycle of an upstream at its owner.
///
/// Independent of the published list: the upstream leaves with the first message that says so, from
/// the list, from itself or from a peer, see [`crate::membership::Membership::leaving_upstreams`].
#[derive(Debug)]
pub struct ReplicaLifecycle<S> {
    running: usize,
    state: S,
}

impl ReplicaLifecycle<Serving> {
    /// Creates the lifecycle of a replica that accepts work.
    pub fn new() -> Self {
        Self {
            running: 0,
            state: Serving,
        }
    }

    /// Counts a request that was sent to the replica; only a serving replica has this method.
    pub fn on_request_started(&mut self) {
        self.running += 1;
    }

    /// Counts the end of a request.
    pub fn on_request_finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Starts leaving; from now on nothing can be sent to the replica.
    pub fn leave(self, now: Instant) -> ReplicaLifecycle<Leaving> {
        ReplicaLifecycle {
            running: self.running,
            state: Leaving { since: now },
        }
    }
}

impl Default for ReplicaLifecycle<Serving> {
    fn default() -> Self {
        Self::new()
    }
}

impl ReplicaLifecycle<Leaving> {
    /// Counts the end of a request.
    pub fn on_request_finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Whether the last request has ended and connections to the replica may be closed.
    pub fn is_drained(&self) -> bool {
        self.running == 0
    }

    /// Time since the replica started to leave.
    pub fn leaving_for(&self, now: Instant) -> Duration {
        now.duration_since(self.state.since)
    }

    /// Handles a replica that a later published list marks as serving again.
    pub fn return_to_service(self) -> ReplicaLifecycle<Serving> {
        ReplicaLifecycle {
            running: self.running,
            state: Serving,
        }
    }
}
