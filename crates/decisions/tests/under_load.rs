//! What callers experience under load, with the simulated engines and seeds of the scenario
//! benchmark.
//!
//! The benchmark compares more policies over more seeds; here each load pattern has one assertion.

#[path = "../benches/scenarios/baseline.rs"]
#[expect(dead_code, reason = "the bench uses the rest")]
mod baseline;
#[path = "../benches/scenarios/engine.rs"]
mod engine;
#[path = "../benches/scenarios/measure.rs"]
mod measure;
#[path = "../benches/scenarios/node.rs"]
mod node;
#[path = "../benches/scenarios/plan.rs"]
#[expect(dead_code, reason = "the bench uses the rest")]
mod plan;
#[path = "../benches/scenarios/world.rs"]
mod world;

use baseline::{Central, Direct, Pick};
use measure::{Figures, measure};
use node::{ALL, Mechanisms, Ours, owner_of_first};
use plan::{HARROWGATE, SCENARIOS, Scenario};
use world::{Net, Policy, run};

/// Fixed seeds of the runs whose mean figures are checked.
const SEEDS: [u64; 3] = [1, 2, 3];

fn scenario(name: &str) -> Scenario {
    let found = SCENARIOS.into_iter().find(|s| s.name == name);
    found.expect("a scenario of that name")
}

fn figures<F>(name: &str, make: F) -> Figures
where
    F: Fn(&Net) -> Box<dyn Policy>,
{
    let once = |seed| {
        let net = Net::new(HARROWGATE, scenario(name), seed, owner_of_first());
        let mut policy = make(&net);
        measure(&run(net, policy.as_mut()))
    };
    Figures::mean(&SEEDS.map(once))
}

fn ours(name: &str) -> Figures {
    figures(name, |net| Box::new(Ours::new(net, ALL)))
}

fn direct(name: &str, pick: Pick) -> Figures {
    figures(name, |net| Box::new(Direct::new(pick, net.engines.len())))
}

fn central(name: &str) -> Figures {
    figures(name, |_| Box::<Central>::default())
}

/// Three times the usual number of requests arrives for ten seconds. Engines process them in order
/// of arrival, so that without scheduling a high-priority caller would wait behind all others and
/// time out.
#[test]
fn a_burst_costs_the_lowest_tier() {
    let (ours, two) = (ours("burst"), direct("burst", Pick::TwoChoices));
    assert!(ours.goodput[0] > 0.95, "{ours:?}");
    assert!(ours.goodput[0] > ours.goodput[2]);
    assert!(ours.weighted > two.weighted + 0.1, "{ours:?} {two:?}");
}

/// One organisation sends six in ten of all requests, through every instance. Requests of the
/// others would be rejected or late because of it.
#[test]
fn a_hot_organisation_does_not_starve_the_others() {
    let merged = Mechanisms {
        fairness: false,
        ..ALL
    };
    let unfair = figures("hot organisation", |net| Box::new(Ours::new(net, merged)));
    let ours = ours("hot organisation");
    assert!(ours.goodput[0] > 0.95, "{ours:?}");
    assert!(ours.others > unfair.others + 0.03, "{ours:?} {unfair:?}");
}

/// Half of all prompts share one long prefix. Spread over all replicas it would be processed again
/// and again; sent to a single replica, its callers would queue there.
#[test]
fn a_hot_prefix_is_reused_and_not_queued_for() {
    let (ours, least) = (
        ours("hot prefix"),
        direct("hot prefix", Pick::LeastReported),
    );
    assert!(ours.goodput[0] > 0.97, "{ours:?}");
    assert!(ours.wasted_k < least.wasted_k * 0.75, "{ours:?} {least:?}");
}

/// A replica silently runs at a tenth of its speed, or stops, while its load report looks idle.
/// Callers sent there wait for a response that comes too late.
#[test]
fn a_slow_upstream_gets_little_more() {
    for name in ["slow upstream", "stalled upstream"] {
        let (ours, least) = (ours(name), direct(name, Pick::LeastReported));
        assert!(ours.after_fault < 10.0, "{name}: {ours:?}");
        assert!(ours.goodput[0] > 0.97, "{name}: {ours:?}");
        assert!(
            ours.weighted > least.weighted + 0.05,
            "{name}: {ours:?} {least:?}"
        );
    }
}

/// A fifth of the requests is a hundred times longer than a status check. Status checks would wait
/// until a translation ends, and the slots would fill with translations.
#[test]
fn short_requests_pass_long_ones() {
    let name = "long among short";
    let (ours, least) = (ours(name), direct(name, Pick::LeastReported));
    assert!(
        ours.short_p99 < least.short_p99 - 0.25,
        "{ours:?} {least:?}"
    );
    assert!(
        ours.goodput[0] > least.goodput[0] + 0.1,
        "{ours:?} {least:?}"
    );
}

/// Twice the load that all engines can process arrives for a minute. In order of arrival every
/// request would wait until its deadline, including those of high priority.
#[test]
fn overload_is_shed_from_the_lowest_tier() {
    let (ours, central) = (ours("overload"), central("overload"));
    let least = direct("overload", Pick::LeastReported);
    assert!(ours.inversions < 1.0, "{ours:?}");
    assert!(
        ours.goodput[0] > 0.9 * central.goodput[0],
        "{ours:?} {central:?}"
    );
    assert!(
        ours.weighted > 0.9 * central.weighted,
        "{ours:?} {central:?}"
    );
    assert!(ours.wasted_k < least.wasted_k / 2.0, "{ours:?} {least:?}");
}
