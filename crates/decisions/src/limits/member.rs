//! Instance side of the limits of all organisations.

use std::time::Duration;

use tokio::time::Instant;

use crate::id::{InstanceId, OrganisationId, Sequence, Tokens};
use crate::limits::owner::time_to_refill;
use crate::limits::{
    ASK_INTERVAL, ASK_TIMEOUT, BURST_WINDOW, Demand, QUOTA_LEASE, Quota, ToLimitMember,
    ToLimitOwner, ZoneShare,
};
use crate::values::Organisation;

/// Maximum number of organisations that an instance tracks. Deployments are designed for 7,100.
pub const MAX_ORGANISATIONS: usize = 10_000;

/// Time constant over which demand is smoothed; as long as the interval of the asks that report it.
const DEMAND_SMOOTHING: Duration = Duration::from_secs(1);

/// The organisation has reached its limit at this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("organisation limit reached, retry after {retry_after:?}")]
pub struct LimitReached {
    /// Time until the next request may be admitted.
    pub retry_after: Duration,
}

/// Token bucket whose level may become negative, so that a request larger than the depth can pass.
#[derive(Debug)]
struct Bucket {
    /// Available units; negative after a request that was larger than the level.
    level: f64,
}

impl Bucket {
    fn fill(&mut self, rate: f64, age: Duration, depth: f64) {
        self.level = (self.level + rate * age.as_secs_f64()).min(depth);
    }
}

/// State of one organisation at this instance.
#[derive(Debug)]
struct Account {
    organisation: OrganisationId,
    /// Fleet-wide limit, from the table.
    limit: Quota,
    /// Quota of the last lease, valid until `leased_until`.
    leased: Option<Quota>,
    leased_until: Instant,
    /// Bucket of requests.
    requests: Bucket,
    /// Bucket of tokens.
    tokens: Bucket,
    /// Number of admitted requests that have not ended.
    running: u32,
    /// Requests refused since the last ask because too many run.
    refused_over_running: u32,
    /// Smoothed demand in requests per second.
    demand_requests: f64,
    /// Smoothed demand in tokens per second.
    demand_tokens: f64,
    /// When the demand and the buckets were last updated.
    updated: Instant,
    last_ask: Option<Instant>,
    /// Number of the last ask.
    ask_number: Sequence,
    /// Whether a request arrived or the limit changed since the last ask.
    active: bool,
}

/// Admits requests within the quotas of all organisations at one instance.
#[derive(Debug)]
pub struct LimitMember {
    accounts: Vec<Account>,
    /// Index of this instance among the listed instances of its zone.
    instance_index: u32,
    /// Number of listed instances of the zone.
    instance_count: u32,
    zone: ZoneShare,
}

impl LimitMember {
    /// Creates the state of the instance with index `instance_index` of `instance_count` in `zone`,
    /// without organisations.
    pub fn new(zone: ZoneShare, instance_index: u32, instance_count: u32) -> Self {
        Self {
            accounts: Vec::new(),
            instance_index,
            instance_count: instance_count.max(1),
            zone,
        }
    }

    /// Updates the listed entry instances of the zone and the position of the zone.
    pub fn set_zone(&mut self, zone: ZoneShare, own: &InstanceId, instances: &[InstanceId]) {
        let before = instances.iter().filter(|i| *i < own).count();
        self.instance_index = before as u32;
        self.instance_count = instances.len().max(1) as u32;
        self.zone = zone;
    }

    /// Applies a changed table: new limits take effect at once; running requests and bucket levels
    /// are kept.
    pub fn set_limits(&mut self, now: Instant, organisations: &[Organisation]) {
        self.accounts.retain(|a| {
            a.running > 0
                || organisations
                    .iter()
                    .any(|o| o.organisation == a.organisation)
        });
        for published in organisations.iter().take(MAX_ORGANISATIONS) {
            let limit = Quota {
                requests_per_s: published.requests_per_s,
                tokens_per_s: published.tokens_per_s,
                running: published.max_running,
            };
            match self.search(&published.organisation) {
                Ok(index) => self.accounts[index].set_limit(now, limit),
                Err(index) => {
                    let organisation = OrganisationId::clone(&published.organisation);
                    self.accounts
                        .insert(index, Account::new(now, organisation, limit));
                }
            }
        }
    }

    /// Admits a request of `organisation` that is expected to use `tokens`.
    ///
    /// An organisation that is not in the table has no limit here; authentication refuses it.
    pub fn admit(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        tokens: Tokens,
    ) -> Result<(), LimitReached> {
        let Ok(index) = self.search(organisation) else {
            return Ok(());
        };
        let fallback = self.fallback_quota(&self.accounts[index]);
        self.accounts[index].admit(now, fallback, tokens)
    }

    /// Ends an admitted request and replaces the `charged` tokens by the tokens that it `used`.
    pub fn finish(&mut self, organisation: &OrganisationId, charged: Tokens, used: Tokens) {
        if let Ok(index) = self.search(organisation) {
            let account = &mut self.accounts[index];
            account.running = account.running.saturating_sub(1);
            account.tokens.level += charged as f64 - used as f64;
        }
    }

    /// Returns the asks that are due: one for each organisation that has a limit and was active
    /// since its last ask.
    pub fn on_tick(&mut self, now: Instant) -> Vec<ToLimitOwner> {
        let fallback = |account: &Account| self.fallback_quota(account);
        let due: Vec<usize> = (0..self.accounts.len())
            .filter(|i| self.accounts[*i].is_ask_due(now))
            .collect();
        let holds: Vec<Quota> = due
            .iter()
            .map(|i| self.accounts[*i].quota(now, fallback(&self.accounts[*i])))
            .collect();
        due.into_iter()
            .zip(holds)
            .map(|(i, holds)| self.accounts[i].ask(now, holds))
            .collect()
    }

    /// Applies a lease. Its validity starts when the ask was sent.
    pub fn on_message(&mut self, now: Instant, message: &ToLimitMember) {
        let ToLimitMember::Lease {
            organisation,
            asked,
            quota,
        } = message;
        if let Ok(index) = self.search(organisation) {
            self.accounts[index].on_lease(now, *asked, *quota);
        }
    }

    /// Number of requests of `organisation` that were admitted here and have not ended.
    pub fn running(&self, organisation: &OrganisationId) -> u32 {
        self.search(organisation)
            .map_or(0, |i| self.accounts[i].running)
    }

    fn search(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|a| a.organisation.cmp(organisation))
    }

    /// Quota that needs no coordination: an equal share for each listed instance of the zone.
    fn fallback_quota(&self, account: &Account) -> Quota {
        let zone = self.zone.zone_quota(&account.organisation, &account.limit);
        zone.share(self.instance_index, self.instance_count)
    }
}

impl Account {
    fn new(now: Instant, organisation: OrganisationId, limit: Quota) -> Self {
        Self {
            organisation,
            limit,
            leased: None,
            leased_until: now,
            requests: Bucket { level: 1.0 },
            tokens: Bucket { level: 1.0 },
            running: 0,
            refused_over_running: 0,
            demand_requests: 0.0,
            demand_tokens: 0.0,
            updated: now,
            last_ask: None,
            ask_number: 0,
            active: false,
        }
    }

    /// Changes the limit and scales the lease with it, so that a changed table takes effect before
    /// the next lease.
    fn set_limit(&mut self, now: Instant, limit: Quota) {
        if self.limit == limit {
            return;
        }
        let previous = std::mem::replace(&mut self.limit, limit);
        self.leased = self.leased.map(|leased| Quota {
            requests_per_s: scale(
                leased.requests_per_s,
                previous.requests_per_s,
                limit.requests_per_s,
            ),
            tokens_per_s: scale(
                leased.tokens_per_s,
                previous.tokens_per_s,
                limit.tokens_per_s,
            ),
            running: scale(
                leased.running.map(f64::from),
                previous.running.map(f64::from),
                limit.running.map(f64::from),
            )
            .map(|running| running as u32),
        });
        if self
            .leased
            .is_some_and(|leased| lacks_limit(&leased, &limit))
        {
            self.leased = None;
        }
        self.last_ask = None;
        self.active = true;
        self.updated = self.updated.max(now);
    }

    /// Quota in force.
    ///
    /// Without a lease it is the fallback, also before the first answer: the first requests of an
    /// organisation don't wait for a message to the owner.
    fn quota(&self, now: Instant, fallback: Quota) -> Quota {
        match self.leased {
            Some(leased) if now < self.leased_until => leased,
            _ => fallback,
        }
    }

    fn admit(&mut self, now: Instant, fallback: Quota, tokens: Tokens) -> Result<(), LimitReached> {
        let age = now.saturating_duration_since(self.updated);
        self.updated = now;
        self.active = true;
        self.record_demand(age, tokens);
        let quota = self.quota(now, fallback);
        self.fill(&quota, age);
        if let Some(retry_after) = self.time_until_admission(&quota) {
            return Err(LimitReached { retry_after });
        }
        self.requests.level -= 1.0;
        self.tokens.level -= tokens as f64;
        self.running += 1;
        Ok(())
    }

    fn record_demand(&mut self, age: Duration, tokens: Tokens) {
        let decay = (-age.as_secs_f64() / DEMAND_SMOOTHING.as_secs_f64()).exp();
        let weight = 1.0 / DEMAND_SMOOTHING.as_secs_f64();
        self.demand_requests = self.demand_requests * decay + weight;
        self.demand_tokens = self.demand_tokens * decay + tokens as f64 * weight;
    }

    /// Refills the buckets for the time `age` since the last update.
    fn fill(&mut self, quota: &Quota, age: Duration) {
        if let Some(rate) = quota.requests_per_s {
            let depth = (rate * BURST_WINDOW.as_secs_f64()).max(1.0);
            self.requests.fill(rate, age, depth);
        }
        if let Some(rate) = quota.tokens_per_s {
            let depth = (rate * BURST_WINDOW.as_secs_f64()).max(1.0);
            self.tokens.fill(rate, age, depth);
        }
    }

    /// Time until a request may be admitted, or `None` if it may be admitted now.
    fn time_until_admission(&mut self, quota: &Quota) -> Option<Duration> {
        if quota.running.is_some_and(|max| self.running >= max) {
            self.refused_over_running += 1;
            return Some(ASK_INTERVAL);
        }
        if let Some(rate) = quota.requests_per_s.filter(|_| self.requests.level < 1.0) {
            return Some(time_to_refill(1.0 - self.requests.level, rate));
        }
        if let Some(rate) = quota.tokens_per_s.filter(|_| self.tokens.level < 1.0) {
            return Some(time_to_refill(1.0 - self.tokens.level, rate));
        }
        None
    }

    fn is_ask_due(&self, now: Instant) -> bool {
        let active = self.active || self.running > 0;
        let interval_passed = self
            .last_ask
            .is_none_or(|at| now.saturating_duration_since(at) >= ASK_INTERVAL);
        !self.limit.is_unlimited() && active && interval_passed
    }

    fn ask(&mut self, now: Instant, holds: Quota) -> ToLimitOwner {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay = (-age / DEMAND_SMOOTHING.as_secs_f64()).exp();
        let demand = Demand {
            requests_per_s: self.demand_requests * decay,
            tokens_per_s: self.demand_tokens * decay,
            running: self.running + self.refused_over_running,
        };
        self.refused_over_running = 0;
        self.active = false;
        self.ask_number += 1;
        self.last_ask = Some(now);
        let organisation = OrganisationId::clone(&self.organisation);
        ToLimitOwner::Ask {
            organisation,
            asked: self.ask_number,
            demand,
            holds,
        }
    }

    /// Applies a lease. An answer to an older ask is dropped, as its validity would be counted from
    /// the wrong time.
    fn on_lease(&mut self, now: Instant, asked: Sequence, quota: Quota) {
        let Some(asked_at) = self.last_ask.filter(|_| asked == self.ask_number) else {
            return;
        };
        if now.saturating_duration_since(asked_at) > ASK_TIMEOUT || lacks_limit(&quota, &self.limit)
        {
            return;
        }
        self.leased = Some(quota);
        self.leased_until = asked_at + QUOTA_LEASE;
    }
}

/// Whether `quota` leaves something unlimited that `limit` limits; it was then computed from an
/// older table.
fn lacks_limit(quota: &Quota, limit: &Quota) -> bool {
    let lacks = |quota: bool, limit: bool| limit && !quota;
    lacks(
        quota.requests_per_s.is_some(),
        limit.requests_per_s.is_some(),
    ) || lacks(quota.tokens_per_s.is_some(), limit.tokens_per_s.is_some())
        || lacks(quota.running.is_some(), limit.running.is_some())
}

/// Scales a leased value by the ratio of the new to the old limit.
fn scale(leased: Option<f64>, old: Option<f64>, new: Option<f64>) -> Option<f64> {
    let new = new?;
    let old = old.filter(|old| *old > 0.0)?;
    Some(leased? * new / old)
}
