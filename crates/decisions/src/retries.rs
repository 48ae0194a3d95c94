//! Retry-After and the retry budget of an organisation.
//!
//! Load pattern: callers that retry at once and feed an overload. Without this a twofold overload
//! whose callers retry each refusal three times becomes an eightfold one, and callers that were
//! refused together come back together.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

use crate::id::OrganisationId;

/// Shortest advice; below it a retry meets the same burst (bursts last about ten seconds).
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest advice; a person who waits for a draft gives up after about a minute.
pub const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Over this time the refused and the served requests are smoothed.
const SMOOTHING: Duration = Duration::from_secs(5);

/// Refusals for each served request count this much in the advice: callers that were refused
/// should come back at no more than a tenth of the served rate.
const SPREAD: f64 = 10.0;

/// Retries that each first attempt pays for: a tenth, so that retries add at most 10% load.
pub const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// Retries a second that an organisation may make whatever it sends, for small organisations.
pub const RETRIES_PER_S: f64 = 0.5;

/// Most retries that an organisation can save up.
pub const MAX_SAVED_RETRIES: f64 = 10.0;

/// Most organisations whose budget is kept; the design aims at 7,100.
pub const MAX_ORGANISATIONS: usize = 10_000;

/// A count that fades, so that the ratio of two of them tells what happens now.
#[derive(Debug, Default)]
struct Fading {
    amount: f64,
    at: Option<Instant>,
}

impl Fading {
    fn add(&mut self, now: Instant, amount: f64) {
        self.amount = self.get(now) + amount;
        self.at = Some(now);
    }

    fn get(&self, now: Instant) -> f64 {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.amount * (-age.as_secs_f64() / SMOOTHING.as_secs_f64()).exp()
    }
}

/// Advice on when to come back, for one pool at one instance.
#[derive(Debug, Default)]
pub struct RetryAfter {
    refused: Fading,
    served: Fading,
}

impl RetryAfter {
    /// Makes the advice of a pool that has refused nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a request that was dispatched.
    pub fn on_served(&mut self, now: Instant) {
        self.served.add(now, 1.0);
    }

    /// Notes a refusal and says when its caller should come back.
    ///
    /// `wait` is the estimated wait of the refused tier. The advice grows with the refusals for
    /// each served request and is spread over half its length, so that callers do not return
    /// together.
    pub fn on_refused<R>(&mut self, now: Instant, wait: Duration, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        self.refused.add(now, 1.0);
        let pressure = self.refused.get(now) / self.served.get(now).max(1.0);
        let advice =
            wait.min(MAX_RETRY_AFTER) + MIN_RETRY_AFTER.mul_f64(1.0 + SPREAD * pressure.min(10.0));
        let jitter = rng.random_range(1.0..1.5);
        advice
            .mul_f64(jitter)
            .min(MAX_RETRY_AFTER.mul_f64(jitter / 1.5))
    }
}

/// The organisation has used up its retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the organisation's retry budget is spent for {retry_after:?}")]
pub struct RetryBudgetSpent {
    /// Until the next retry is paid for.
    pub retry_after: Duration,
}

/// Retries that one organisation has left.
#[derive(Debug)]
struct Budget {
    organisation: OrganisationId,
    retries: f64,
    at: Instant,
}

/// Retry budgets of the organisations at one instance.
#[derive(Debug, Default)]
pub struct RetryBudget {
    budgets: Vec<Budget>,
}

impl RetryBudget {
    /// Makes full budgets for everybody.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of organisations that are remembered, at most [`MAX_ORGANISATIONS`].
    pub fn len(&self) -> usize {
        self.budgets.len()
    }

    /// Whether no organisation is remembered.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    /// Admits an attempt of `organisation`; `attempt` is 1 for the first.
    pub fn admit(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        attempt: u32,
    ) -> Result<(), RetryBudgetSpent> {
        let at = self.find(now, organisation);
        let budget = &mut self.budgets[at];
        let age = now.saturating_duration_since(budget.at).as_secs_f64();
        budget.at = now;
        budget.retries = (budget.retries + age * RETRIES_PER_S).min(MAX_SAVED_RETRIES);
        if attempt <= 1 {
            budget.retries = (budget.retries + RETRIES_PER_ATTEMPT).min(MAX_SAVED_RETRIES);
            return Ok(());
        }
        if budget.retries >= 1.0 {
            budget.retries -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - budget.retries) / RETRIES_PER_S;
        Err(RetryBudgetSpent {
            retry_after: Duration::from_secs_f64(missing),
        })
    }

    /// Position of the organisation's budget, which is made when it is missing.
    fn find(&mut self, now: Instant, organisation: &OrganisationId) -> usize {
        if let Ok(at) = self.search(organisation) {
            return at;
        }
        if self.budgets.len() >= MAX_ORGANISATIONS {
            self.forget_longest_idle();
        }
        let at = self.search(organisation).unwrap_or_else(|at| at);
        let organisation = OrganisationId::clone(organisation);
        self.budgets.insert(
            at,
            Budget {
                organisation,
                retries: MAX_SAVED_RETRIES,
                at: now,
            },
        );
        at
    }

    fn search(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.budgets
            .binary_search_by(|b| b.organisation.cmp(organisation))
    }

    fn forget_longest_idle(&mut self) {
        let idle = self.budgets.iter().enumerate().min_by_key(|(_, b)| b.at);
        if let Some((at, _)) = idle {
            self.budgets.remove(at);
        }
    }
}
