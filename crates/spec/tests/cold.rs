//! Every state of one cold replica before the three instances of its zone.

use kingcupfield_spec::cold::{Bounds, ColdModel, Variant};
use kingcupfield_spec::explore;
use yare::parameterized;

/// More states than these worlds have; an exploration that stops here is not complete.
const MOST: usize = 600_000;

#[parameterized(
    time = { Bounds { steps: 4, requests: 5, faults: 0 }, 20 },
    a_fault = { Bounds { steps: 4, requests: 4, faults: 1 }, 1_000 },
    two_faults = { Bounds { steps: 4, requests: 5, faults: 2 }, 10_000 },
    three_faults = { Bounds { steps: 3, requests: 4, faults: 3 }, 10_000 },
)]
fn no_cold_replica_gets_more_than_is_tolerated(bounds: Bounds, least: usize) {
    let explored = explore(ColdModel::new(Variant::Whole, bounds), MOST);
    println!("cold, {bounds:?}: {explored}");
    if let Some(broken) = &explored.broken {
        panic!("{broken}");
    }
    assert!(explored.complete && explored.states >= least, "{explored}");
}

#[parameterized(
    knows_nobody = { Variant::KnowsNobody, Bounds { steps: 2, requests: 3, faults: 2 } },
    forgets_the_silent = { Variant::ForgetsTheSilent, Bounds { steps: 2, requests: 3, faults: 1 } },
    does_not_wait = { Variant::DoesNotWait, Bounds { steps: 0, requests: 3, faults: 2 } },
    all_keep = { Variant::AllKeep, Bounds { steps: 0, requests: 3, faults: 0 } },
)]
fn without_its_safeguard_a_cold_replica_gets_more(variant: Variant, bounds: Bounds) {
    let explored = explore(ColdModel::new(variant, bounds), MOST);
    let broken = explored.broken.expect("the check can fail");
    println!("{variant:?}: {broken}");
}
