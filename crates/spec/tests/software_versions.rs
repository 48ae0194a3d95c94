//! Every state of one stream, two instances and two software versions.

use kingcupfield_spec::explore;
use kingcupfield_spec::software_versions::{Bounds, Variant, VersionModel};
use yare::parameterized;

/// More states than these worlds have; an exploration that stops here is not complete.
const MOST: usize = 600_000;

#[parameterized(
    releases = { Bounds { changes: 4, faults: 0, steps: 0 }, 1_000 },
    time = { Bounds { changes: 2, faults: 0, steps: 5 }, 1_000 },
    a_fault = { Bounds { changes: 3, faults: 1, steps: 0 }, 1_000 },
    two_faults = { Bounds { changes: 2, faults: 2, steps: 0 }, 1_000 },
)]
fn no_stream_changes_its_software_version(bounds: Bounds, least: usize) {
    let explored = explore(VersionModel::new(Variant::Whole, bounds), MOST);
    println!("software versions, {bounds:?}: {explored}");
    if let Some(broken) = &explored.broken {
        panic!("{broken}");
    }
    assert!(explored.complete && explored.states >= least, "{explored}");
}

#[parameterized(
    asks_nobody = { Variant::AsksNobody, Bounds { changes: 1, faults: 0, steps: 0 } },
    trusts_lists = { Variant::TrustsLists, Bounds { changes: 2, faults: 2, steps: 0 } },
    forgets_gone_versions = { Variant::ForgetsGoneVersions, Bounds { changes: 2, faults: 1, steps: 0 } },
    forgets_its_restart = { Variant::ForgetsItsRestart, Bounds { changes: 2, faults: 1, steps: 0 } },
    takes_old_histories = { Variant::TakesOldHistories, Bounds { changes: 2, faults: 1, steps: 0 } },
    guesses = { Variant::Guesses, Bounds { changes: 1, faults: 0, steps: 0 } },
)]
fn without_its_safeguard_a_stream_changes_its_version(variant: Variant, bounds: Bounds) {
    let explored = explore(VersionModel::new(variant, bounds), MOST);
    let broken = explored.broken.expect("the check can fail");
    println!("{variant:?}: {broken}");
}
