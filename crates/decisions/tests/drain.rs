//! Graceful shutdown of instances and draining of upstreams.

use std::time::Duration;

use kingcupfield_decisions::drain::{
    DRAIN_TIMEOUT, InFlight, InstanceLifecycle, LEAVE_GRACE, ReplicaLifecycle,
};
use tokio::time::Instant;
use yare::parameterized;

/// An instance is stopped while it has open streams and the load balancer still sends it requests
/// for a moment. No caller may notice: the instance ends only after both.
#[parameterized(
    at_once = { Duration::ZERO, 0, None },
    balancer_still_sends = { LEAVE_GRACE.mul_f32(0.99), 0, None },
    idle = { LEAVE_GRACE, 0, Some(0) },
    a_stream_runs = { LEAVE_GRACE * 3, 1, None },
    a_stream_hangs = { DRAIN_TIMEOUT, 2, Some(2) },
)]
fn an_instance_ends_without_cutting_requests_off(
    after: Duration,
    requests: usize,
    aborted: Option<usize>,
) {
    for in_flight in [
        InFlight {
            requests,
            forwarded: 0,
        },
        InFlight {
            requests: 0,
            forwarded: requests,
        },
    ] {
        let now = Instant::now();
        let ended = InstanceLifecycle::new()
            .leave(now)
            .try_end(now + after, in_flight);
        assert_eq!(ended.ok().map(|drained| drained.aborted()), aborted);
    }
}

#[test]
fn a_leaving_instance_checks_after_the_grace_time_and_at_the_timeout() {
    let now = Instant::now();
    let lifecycle = InstanceLifecycle::new().leave(now);
    assert_eq!(lifecycle.next_check(now), now + LEAVE_GRACE);
    assert_eq!(lifecycle.next_check(now + LEAVE_GRACE), now + DRAIN_TIMEOUT);
}

/// An upstream leaves while it still generates two responses. Both must be complete.
#[test]
fn an_upstream_is_drained_after_its_last_response() {
    let now = Instant::now();
    let mut replica = ReplicaLifecycle::new();
    replica.on_request_started();
    replica.on_request_started();
    let mut leaving = replica.leave(now);
    leaving.on_request_finished();
    assert!(!leaving.is_drained());
    leaving.on_request_finished();
    assert!(leaving.is_drained());
    assert_eq!(leaving.leaving_for(now + LEAVE_GRACE), LEAVE_GRACE);
    leaving.return_to_service().on_request_started();
}
