//! Retry advice and retry budgets.

use std::time::Duration;

use kingcupfield_decisions::id::OrganisationId;
use kingcupfield_decisions::retries::{
    MAX_ORGANISATIONS, MAX_RETRY_AFTER, MAX_SAVED_RETRIES, MIN_RETRY_AFTER, RetryAfter, RetryBudget,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// A hundred callers are refused at the same time. With the same advice they would come back
/// together.
#[test]
fn advice_is_spread() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut advice: Vec<Duration> = (0..100)
        .map(|_| RetryAfter::new().on_refused(Instant::now(), Duration::ZERO, &mut rng))
        .collect();
    advice.sort();
    advice.dedup();
    assert!(advice.len() > 90);
    assert!(advice[0] >= MIN_RETRY_AFTER && advice[advice.len() - 1] <= MAX_RETRY_AFTER);
}

/// The overload grows. If the advice stayed the same, the returning callers would sustain the
/// overload.
#[test]
fn advice_grows_with_pressure() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut advice = |refused: u32| {
        let mut retry_after = RetryAfter::new();
        for _ in 0..100 {
            retry_after.on_served(now);
        }
        (0..refused)
            .map(|_| retry_after.on_refused(now, Duration::ZERO, &mut rng))
            .max()
    };
    assert!(advice(300) > advice(100));
    assert!(advice(100) > advice(1));
    assert!(advice(100_000) <= Some(MAX_RETRY_AFTER));
}

/// Callers retry each refusal at once. Without a budget their retries would multiply the overload.
#[test]
fn retries_add_a_tenth_at_most() {
    let mut now = Instant::now();
    let mut budget = RetryBudget::new();
    let organisation = OrganisationId::from("lotus");
    let mut retries = 0;
    for _ in 0..1000 {
        now += SECOND / 100;
        assert!(budget.admit(now, &organisation, 1).is_ok());
        for attempt in 2..5 {
            retries += u32::from(budget.admit(now, &organisation, attempt).is_ok());
        }
    }
    assert!(
        (100..=100 + MAX_SAVED_RETRIES as u32 + 5).contains(&retries),
        "{retries}"
    );
}

/// An organisation has spent its budget and is advised when to retry. A retry at that time must be
/// admitted.
#[test]
fn an_advised_retry_is_admitted() {
    let now = Instant::now();
    let mut budget = RetryBudget::new();
    let organisation = OrganisationId::from("lotus");
    let spent = (0..100).find_map(|_| budget.admit(now, &organisation, 2).err());
    let retry_after = spent.expect("the budget ends").retry_after;
    assert_eq!(budget.admit(now + retry_after, &organisation, 2), Ok(()));
    assert!(budget.admit(now + retry_after, &organisation, 2).is_err());
    assert_eq!(budget.admit(now, &"other".into(), 2), Ok(()));
}

/// Requests name more and more organisations. The memory of the instance must not grow with each.
#[test]
fn tracked_organisations_are_bounded() {
    let start = Instant::now();
    let mut budget = RetryBudget::new();
    for n in 0..MAX_ORGANISATIONS + 10 {
        let now = start + Duration::from_millis(n as u64);
        budget
            .admit(now, &format!("organisation-{n}").into(), 1)
            .expect("a first attempt");
    }
    assert_eq!(budget.len(), MAX_ORGANISATIONS);
}
