//! Every state of the world of one idempotency key.

use kingcupfield_spec::explore;
use kingcupfield_spec::idempotency::{Bounds, KeyModel, Variant};
use yare::parameterized;

/// More states than this model has; an exploration that stops here is not complete.
const MOST: usize = 1_000_000;

#[parameterized(
    one_call_with_three_faults = { 1, 3, 70_000 },
    two_calls_with_one_fault = { 2, 1, 240_000 },
)]
fn no_state_of_the_key_breaks_a_promise(calls: usize, faults: usize, least: usize) {
    let explored = explore(
        KeyModel::new(Variant::Unmodified, Bounds { calls, faults }),
        MOST,
    );
    println!("idempotency key, {calls} calls, {faults} faults: {explored}");
    if let Some(broken) = &explored.broken {
        panic!("{broken}");
    }
    assert!(explored.complete && explored.states >= least);
}

#[parameterized(
    no_witness = { Variant::NoWitness, 2, 0 },
    no_incarnation = { Variant::NoIncarnation, 2, 1 },
    no_memory = { Variant::NoMemory, 2, 0 },
    no_deadline = { Variant::NoDeadline, 1, 0 },
    hashed_owner = { Variant::HashedOwner, 2, 0 },
)]
fn without_its_safeguard_a_promise_breaks(variant: Variant, calls: usize, faults: usize) {
    let explored = explore(KeyModel::new(variant, Bounds { calls, faults }), MOST);
    let broken = explored.broken.expect("the check can fail");
    println!("{variant:?}: {broken}");
}
