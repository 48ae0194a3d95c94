//! Every state of one request between two owners who disagree.

use kingcupfield_spec::explore;
use kingcupfield_spec::slots::{Bounds, SlotModel, Variant};
use yare::parameterized;

/// More states than this model has; an exploration that stops here is not complete.
const MOST: usize = 120_000;

#[parameterized(
    three_faults = { 0, 3, 20_000 },
    time_passes = { 2, 0, 10_000 },
    a_fault_and_half_a_lease = { 1, 1, 12_000 },
)]
fn no_state_dispatches_twice_late_or_after_a_refusal(steps: usize, faults: usize, least: usize) {
    let explored = explore(
        SlotModel::new(Variant::Unmodified, Bounds { steps, faults }),
        MOST,
    );
    println!("slots, {steps} steps of time, {faults} faults: {explored}");
    if let Some(broken) = &explored.broken {
        panic!("{broken}");
    }
    assert!(explored.complete && explored.states >= least);
}

#[parameterized(
    no_lease = { Variant::NoLease, 2, 0 },
    no_holder = { Variant::NoHolder, 0, 2 },
)]
fn without_its_safeguard_a_promise_breaks(variant: Variant, steps: usize, faults: usize) {
    let explored = explore(SlotModel::new(variant, Bounds { steps, faults }), MOST);
    let broken = explored.broken.expect("the check can fail");
    println!("{variant:?}: {broken}");
}
