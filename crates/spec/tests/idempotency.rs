//! Explores every state of the model of one idempotency key.

use kingcupfield_spec::explore;
use kingcupfield_spec::idempotency::{Bounds, KeyModel, Variant};
use yare::parameterized;

/// Limit on explored states, above the size of the model; an exploration that reaches it is not
/// complete.
const MAX_STATES: usize = 1_000_000;

#[parameterized(
    one_call_with_three_faults = { 1, 3, 70_000 },
    two_calls_with_one_fault = { 2, 1, 240_000 },
)]
fn no_state_of_the_key_breaks_a_guarantee(calls: usize, faults: usize, min_states: usize) {
    let explored = explore(
        KeyModel::new(Variant::Unmodified, Bounds { calls, faults }),
        MAX_STATES,
    );
    println!("idempotency key, {calls} calls, {faults} faults: {explored}");
    if let Some(broken) = &explored.broken {
        panic!("{broken}");
    }
    assert!(explored.complete && explored.states >= min_states);
}

#[parameterized(
    no_witness = { Variant::NoWitness, 2, 0 },
    no_incarnation = { Variant::NoIncarnation, 2, 1 },
    no_drop_tracking = { Variant::NoDropTracking, 2, 0 },
    no_deadline = { Variant::NoDeadline, 1, 0 },
    hashed_owner = { Variant::HashedOwner, 2, 0 },
)]
fn without_its_safeguard_a_guarantee_is_broken(variant: Variant, calls: usize, faults: usize) {
    let explored = explore(KeyModel::new(variant, Bounds { calls, faults }), MAX_STATES);
    let broken = explored.broken.expect("the check can fail");
    println!("{variant:?}: {broken}");
}
