//! Advice on when to retry (`Retry-After`), and the retry budget of each organisation.
//!
//! Load pattern: callers that retry at once and thereby increase an overload. Without this a
//! twofold overload whose callers retry each refusal three times becomes an eightfold one, and
//! callers that were refused together come back together.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::id::OrganisationId;

/// Shortest advice. A retry that comes earlier meets the same burst, as bursts last about ten
/// seconds.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest advice. A person who waits for a draft gives up after about a minute.
pub const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Time constant over which the numbers of refused and served requests are smoothed.
const RATE_SMOOTHING: Duration = Duration::from_secs(5);

/// Factor by which refusals per served request lengthen the advice: refused callers should come
/// back at no more than a tenth of the served rate.
const SPREAD_FACTOR: f64 = 10.0;

/// Retries that each first attempt adds to the budget: a tenth, so retries add at most 10% load.
pub const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// Retries per second that are added to the budget of each organisation, for organisations that
/// send little.
pub const RETRIES_PER_S: f64 = 0.5;

/// Most retries that a budget can hold.
pub const MAX_SAVED_RETRIES: f64 = 10.0;

/// Most organisations whose budget is tracked. Deployments are designed for 7,100.
pub const MAX_ORGANISATIONS: usize = 10_000;

/// Count that decays exponentially, so that the ratio of two of them reflects recent requests.
#[derive(Debug, Default)]
struct DecayingCount {
    amount: f64,
    updated: Option<Instant>,
}

impl DecayingCount {
    fn add(&mut self, now: Instant, amount: f64) {
        self.amount = self.get(now) + amount;
        self.updated = Some(now);
    }

    fn get(&self, now: Instant) -> f64 {
        let age = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.amount * (-age.as_secs_f64() / RATE_SMOOTHING.as_secs_f64()).exp()
    }
}

/// Advice on when to retry, for one pool at one instance.
#[derive(Debug, Default)]
pub struct RetryAfter {
    refused: DecayingCount,
    served: DecayingCount,
}

impl RetryAfter {
    /// Creates the advice for a pool that has refused nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that was dispatched.
    pub fn on_served(&mut self, now: Instant) {
        self.served.add(now, 1.0);
    }

    /// Records a refusal and returns after what time its caller should retry.
    ///
    /// `wait` is the estimated wait of the refused tier. The advice grows with the number of
    /// refusals per served request. It is lengthened by a random factor of up to one and a half, so
    /// that callers do not return together.
    pub fn on_refused<R>(&mut self, now: Instant, wait: Duration, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        self.refused.add(now, 1.0);
        let pressure = self.refused.get(now) / self.served.get(now).max(1.0);
        let advice = wait.min(MAX_RETRY_AFTER)
            + MIN_RETRY_AFTER.mul_f64(1.0 + SPREAD_FACTOR * pressure.min(10.0));
        let jitter = rng.random_range(1.0..1.5);
        advice
            .mul_f64(jitter)
            .min(MAX_RETRY_AFTER.mul_f64(jitter / 1.5))
    }
}

/// The organisation has spent its retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("organisation retry budget spent, retry after {retry_after:?}")]
pub struct RetryBudgetSpent {
    /// Time until the budget allows the next retry.
    pub retry_after: Duration,
}

/// Retry budget of one organisation.
#[derive(Debug)]
struct Budget {
    organisation: OrganisationId,
    retries: f64,
    updated: Instant,
}

/// Retry budgets of the organisations at one instance.
#[derive(Debug, Default)]
pub struct RetryBudget {
    budgets: Vec<Budget>,
}

impl RetryBudget {
    /// Creates full budgets for all organisations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of tracked organisations, at most [`MAX_ORGANISATIONS`].
    pub fn len(&self) -> usize {
        self.budgets.len()
    }

    /// Whether no organisation is tracked.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    /// Admits an attempt of `organisation`, or refuses a retry that exceeds its budget. `attempt`
    /// is 1 for the first attempt of a request.
    pub fn admit(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        attempt: u32,
    ) -> Result<(), RetryBudgetSpent> {
        let index = self.budget_index(now, organisation);
        let budget = &mut self.budgets[index];
        let age_s = now.saturating_duration_since(budget.updated).as_secs_f64();
        budget.updated = now;
        budget.retries = (budget.retries + age_s * RETRIES_PER_S).min(MAX_SAVED_RETRIES);
        if attempt <= 1 {
            budget.retries = (budget.retries + RETRIES_PER_ATTEMPT).min(MAX_SAVED_RETRIES);
            return Ok(());
        }
        if budget.retries >= 1.0 {
            budget.retries -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - budget.retries) / RETRIES_PER_S;
        Err(RetryBudgetSpent {
            retry_after: Duration::from_secs_f64(wait_s),
        })
    }

    /// Index of the budget of `organisation`, which is created if missing.
    fn budget_index(&mut self, now: Instant, organisation: &OrganisationId) -> usize {
        if let Ok(index) = self.search(organisation) {
            return index;
        }
        if self.budgets.len() >= MAX_ORGANISATIONS {
            self.evict_least_recent();
        }
        let index = self.search(organisation).unwrap_or_else(|free| free);
        let organisation = OrganisationId::clone(organisation);
        self.budgets.insert(
            index,
            Budget {
                organisation,
                retries: MAX_SAVED_RETRIES,
                updated: now,
            },
        );
        index
    }

    fn search(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.budgets
            .binary_search_by(|b| b.organisation.cmp(organisation))
    }

    fn evict_least_recent(&mut self) {
        let least_recent = self
            .budgets
            .iter()
            .enumerate()
            .min_by_key(|(_, b)| b.updated);
        if let Some((index, _)) = least_recent {
            self.budgets.remove(index);
        }
    }
}
