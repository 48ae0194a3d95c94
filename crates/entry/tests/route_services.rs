//! Which service of a route gets a request that takes up a stream.

use std::time::Duration;

use kingcupfield_decisions::id::name_hash;
use kingcupfield_decisions::regions::Regions;
use kingcupfield_decisions::software_versions::StreamOrigin;
use kingcupfield_entry::admission::pick_service;
use kingcupfield_entry::table::{CallerLimits, Route, RouteKind, Table};
use yare::parameterized;

/// Picks of each case: a random choice would show.
const PICKS: usize = 50;

fn route(services: &[(&str, u32)]) -> Route {
    let targets = services
        .iter()
        .map(|(name, weight)| ((*name).into(), *weight));
    Route {
        name: "drafts".into(),
        host: "h.example".to_owned(),
        prefix: "/draft/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(8),
        latency_objective: Duration::from_secs(1),
        max_event_gap: Duration::from_millis(300),
        rank: 0,
        targets: targets.collect(),
        max_attempts: 2,
        public: false,
        regions: Regions::all(),
    }
}

/// The rest of a stream came from another service of a split route, or from the one to which the route had moved.
#[parameterized(
    only_service = { &[("a", 1)], "a", Some("a") },
    split = { &[("a", 1), ("b", 9)], "a", Some("a") },
    split_without_weight = { &[("a", 0), ("b", 1)], "a", Some("a") },
    moved = { &[("b", 1)], "a", None },
)]
fn a_stream_stays_at_the_service_that_began_it(
    services: &[(&str, u32)],
    began_at: &str,
    expected: Option<&str>,
) {
    let origin = StreamOrigin {
        service: name_hash(began_at),
        version: 1,
    };
    for _ in 0..PICKS {
        let picked = pick_service(&route(services), Some(origin));
        assert_eq!(picked.as_deref(), expected);
    }
}

/// A route that moved to another service, or was split, counted as unmoved.
#[parameterized(
    same = { &[("a", 1)], &[("a", 1)], true },
    other_weights = { &[("a", 1), ("b", 9)], &[("b", 1), ("a", 1)], true },
    moved = { &[("a", 1)], &[("b", 1)], false },
    split = { &[("a", 1)], &[("a", 1), ("b", 1)], false },
    joined = { &[("a", 1), ("b", 1)], &[("b", 1)], false },
)]
fn a_route_moves_when_its_services_change(
    before: &[(&str, u32)],
    after: &[(&str, u32)],
    is_same: bool,
) {
    assert_eq!(route(before).has_same_services(&route(after)), is_same);
}

/// The streams of a route that was carved out of another one would have gone on at its own service.
#[parameterized(
    same = { "/draft/", Some("a") },
    carved_out = { "/draft/long/", Some("a") },
    new = { "/notes/", None },
)]
fn a_route_follows_the_one_that_served_its_requests(prefix: &str, expected: Option<&str>) {
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 100_000,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let other = Route {
        prefix: "/a-first/".to_owned(),
        ..route(&[("c", 1)])
    };
    let older = Table::new(1, limits, vec![other, route(&[("a", 1)])], Vec::new(), None);
    let newer = Route {
        prefix: prefix.to_owned(),
        ..route(&[("b", 1)])
    };
    let before = older.route_before(&newer);
    assert_eq!(before.map(|r| &*r.targets[0].0), expected);
}
