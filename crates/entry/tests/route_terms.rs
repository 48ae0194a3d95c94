//! Terms of a request in progress after a newer table has changed its route.

use kingcupfield_decisions::regions::Regions;
use kingcupfield_entry::table::{Route, RouteKind};
use std::time::Duration;
use yare::parameterized;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const SINGLE_STREAM: RouteKind = RouteKind::Stream { resumable: false };

fn route(kind: RouteKind, max_attempts: u32, timeout_s: u64) -> Route {
    Route {
        name: format!("r{timeout_s}").into(),
        host: "h.example".to_owned(),
        prefix: "/book/".to_owned(),
        kind,
        timeout: Duration::from_secs(timeout_s),
        latency_objective: Duration::from_millis(100 * timeout_s),
        max_event_gap: Duration::ZERO,
        rank: 0,
        targets: Vec::new(),
        max_attempts,
        public: false,
        regions: Regions::all(),
    }
}

/// A booking that waited became a request of an idempotent route, and was run by two replicas.
#[parameterized(
    same = { RouteKind::NonIdempotent, RouteKind::NonIdempotent, RouteKind::NonIdempotent },
    booking_made_idempotent = { RouteKind::NonIdempotent, RouteKind::Idempotent, RouteKind::NonIdempotent },
    booking_made_a_stream = { RouteKind::NonIdempotent, RESUMABLE, RouteKind::NonIdempotent },
    stream_made_resumable = { SINGLE_STREAM, RESUMABLE, SINGLE_STREAM },
    stream_made_idempotent = { SINGLE_STREAM, RouteKind::Idempotent, SINGLE_STREAM },
    no_longer_idempotent = { RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::NonIdempotent },
    no_longer_resumable = { RESUMABLE, SINGLE_STREAM, SINGLE_STREAM },
    resumable_made_a_booking = { RESUMABLE, RouteKind::NonIdempotent, SINGLE_STREAM },
    idempotent_made_a_stream = { RouteKind::Idempotent, RESUMABLE, RouteKind::Idempotent },
)]
fn a_request_gets_no_new_permission(admitted: RouteKind, newer: RouteKind, expected: RouteKind) {
    assert_eq!(
        route(admitted, 1, 2).narrowed_by(&route(newer, 1, 2)).kind,
        expected
    );
}

/// A request that waited took over attempts and objective of a newer table, and was given up for another replica.
#[test]
fn only_time_limit_and_restrictions_are_taken_over() {
    let admitted = route(RouteKind::Idempotent, 2, 4);
    for (newer_attempts, attempts) in [(1, 1), (2, 2), (5, 2)] {
        let newer = route(RouteKind::Idempotent, newer_attempts, 8);
        let terms = admitted.narrowed_by(&newer);
        assert_eq!(terms.max_attempts, attempts);
        assert_eq!(terms.timeout, newer.timeout);
        assert_eq!(terms.latency_objective, admitted.latency_objective);
        assert_eq!(terms.name, admitted.name);
    }
}
