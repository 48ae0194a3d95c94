//! Explores every state of the model of one request and two instances that both act as owner.

use kingcupfield_spec::explore;
use kingcupfield_spec::slots::{Bounds, SlotModel, Variant};
use yare::parameterized;

/// Limit on explored states, above the size of the model; an exploration that reaches it is not
/// complete.
const MAX_STATES: usize = 120_000;

#[parameterized(
    three_faults = { 0, 3, 20_000 },
    time_passes = { 2, 0, 10_000 },
    a_fault_and_half_a_lease = { 1, 1, 12_000 },
)]
fn no_state_dispatches_twice_late_or_after_a_refusal(
    steps: usize,
    faults: usize,
    min_states: usize,
) {
    let explored = explore(
        SlotModel::new(Variant::Unmodified, Bounds { steps, faults }),
        MAX_STATES,
    );
    println!("slots, {steps} steps of time, {faults} faults: {explored}");
    if let Some(broken) = &explored.broken {
        panic!("{broken}");
    }
    assert!(explored.complete && explored.states >= min_states);
}

#[parameterized(
    no_lease = { Variant::NoLease, 2, 0 },
    no_holder = { Variant::NoHolder, 0, 2 },
)]
fn without_its_safeguard_a_guarantee_is_broken(variant: Variant, steps: usize, faults: usize) {
    let explored = explore(
        SlotModel::new(variant, Bounds { steps, faults }),
        MAX_STATES,
    );
    let broken = explored.broken.expect("the check can fail");
    println!("{variant:?}: {broken}");
}
