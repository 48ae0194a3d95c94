//! Longer random schedules of the same worlds, beyond what can be explored.

use kingcupfield_spec::Model;
use kingcupfield_spec::configuration::{self, SpreadModel};
use kingcupfield_spec::idempotency::{self, KeyModel};
use kingcupfield_spec::shedding::{self, ShedModel};
use kingcupfield_spec::slots::{self, SlotModel};
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// Schedules for each world.
const SCHEDULES: u32 = 10_000;

/// Most actions of one schedule.
const LENGTH: usize = 150;

/// Lets the chosen actions happen one after the other; fails with the way to a broken promise.
fn walk<M>(mut model: M, choices: &[u16]) -> Result<(), TestCaseError>
where
    M: Model,
{
    let mut trace = Vec::new();
    for choice in choices {
        let actions = model.actions();
        let Some(action) = actions.get(usize::from(*choice) % actions.len().max(1)) else {
            break;
        };
        model.apply(action);
        trace.push(format!("{action:?}"));
        if let Some(promise) = model.broken() {
            return Err(TestCaseError::fail(format!("{promise}: {trace:#?}")));
        }
    }
    Ok(())
}

/// Runs the schedules of one world from a fixed seed.
fn run<M, F>(start: F) -> Result<(), String>
where
    M: Model,
    F: Fn() -> M,
{
    let config = Config {
        cases: SCHEDULES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&vec(any::<u16>(), 0..LENGTH), |choices| {
            walk(start(), &choices)
        })
        .map_err(|e| e.to_string())
}

#[test]
fn keys_under_three_calls_and_six_faults() {
    let bounds = idempotency::Bounds {
        calls: 3,
        faults: 6,
    };
    assert_eq!(
        run(|| KeyModel::new(idempotency::Variant::Unmodified, bounds)),
        Ok(())
    );
}

#[test]
fn slots_under_six_faults_and_eight_steps_of_time() {
    let bounds = slots::Bounds {
        steps: 8,
        faults: 6,
    };
    assert_eq!(
        run(|| SlotModel::new(slots::Variant::Unmodified, bounds)),
        Ok(())
    );
}

#[test]
fn levels_under_four_pauses_and_ten_steps_of_time() {
    assert_eq!(
        run(|| ShedModel::new(shedding::Variant::Whole, 10, 4)),
        Ok(())
    );
}

#[test]
fn configuration_under_five_restarts() {
    assert_eq!(
        run(|| SpreadModel::new(configuration::Variant::Whole, 5)),
        Ok(())
    );
}

/// The schedules must be able to fail.
#[test]
fn a_world_without_its_safeguard_fails_in_a_random_schedule() {
    let bounds = idempotency::Bounds {
        calls: 3,
        faults: 6,
    };
    let broken = run(|| KeyModel::new(idempotency::Variant::NoWitness, bounds));
    assert!(broken.is_err_and(|e| e.contains("ran")));
}
