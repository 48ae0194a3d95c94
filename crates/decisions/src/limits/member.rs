//! An instance's side of the organisations' limits.

use std::time::Duration;

use tokio::time::Instant;

use crate::id::{InstanceId, OrganisationId, Sequence, Tokens};
use crate::limits::owner::time_for;
use crate::limits::{
    ASK_INTERVAL, ASK_TIMEOUT, BURST_WINDOW, Demand, QUOTA_LEASE, Quota, ToLimitMember,
    ToLimitOwner, ZoneShare,
};
use crate::values::Organisation;

/// Most organisations that an instance keeps; the design aims at 7,100.
pub const MAX_ORGANISATIONS: usize = 10_000;

/// Demand is smoothed over this time; as long as the ask that reports it.
const SMOOTHING: Duration = Duration::from_secs(1);

/// The organisation has used what this instance may give it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the organisation's limit is reached for {retry_after:?}")]
pub struct LimitReached {
    /// When the next request may pass.
    pub retry_after: Duration,
}

/// A rate limit that may go into debt once, so that a request larger than a second's rate passes.
#[derive(Debug)]
struct Bucket {
    level: f64,
}

impl Bucket {
    fn fill(&mut self, rate: f64, age: Duration, depth: f64) {
        self.level = (self.level + rate * age.as_secs_f64()).min(depth);
    }
}

/// What an instance knows of one organisation.
#[derive(Debug)]
struct Account {
    organisation: OrganisationId,
    /// The fleet's limit, from the table.
    limit: Quota,
    leased: Option<Quota>,
    leased_until: Instant,
    requests: Bucket,
    tokens: Bucket,
    running: u32,
    /// Refused since the last ask because too many run.
    turned_away: u32,
    demand_requests: f64,
    demand_tokens: f64,
    at: Instant,
    asked: Option<Instant>,
    number: Sequence,
    active: bool,
}

/// Spends the quotas of all organisations at one instance.
#[derive(Debug)]
pub struct LimitMember {
    accounts: Vec<Account>,
    /// Position of this instance among the zone's, and their number.
    part: u32,
    parts: u32,
    zone: ZoneShare,
}

impl LimitMember {
    /// Makes the side of instance number `part` of `parts` in `zone`.
    pub fn new(zone: ZoneShare, part: u32, parts: u32) -> Self {
        Self {
            accounts: Vec::new(),
            part,
            parts: parts.max(1),
            zone,
        }
    }

    /// Takes the zone's last known entry instances and the zone's share.
    pub fn set_zone(&mut self, zone: ZoneShare, own: &InstanceId, instances: &[InstanceId]) {
        let before = instances.iter().filter(|i| *i < own).count();
        self.part = before as u32;
        self.parts = instances.len().max(1) as u32;
        self.zone = zone;
    }

    /// Takes a changed table: new limits hold at once, running requests and debts stay counted.
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
                Ok(at) => self.accounts[at].set_limit(now, limit),
                Err(at) => {
                    let organisation = OrganisationId::clone(&published.organisation);
                    self.accounts
                        .insert(at, Account::new(now, organisation, limit));
                }
            }
        }
    }

    /// Admits a request of `organisation` that is expected to use `tokens`.
    ///
    /// An organisation that the table does not name has no limit here; authentication is where it
    /// is turned away.
    pub fn admit(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        tokens: Tokens,
    ) -> Result<(), LimitReached> {
        let Ok(at) = self.search(organisation) else {
            return Ok(());
        };
        let fallback = self.fallback(at);
        self.accounts[at].admit(now, fallback, tokens)
    }

    /// Ends an admitted request and corrects the tokens it was charged.
    pub fn finish(&mut self, organisation: &OrganisationId, charged: Tokens, used: Tokens) {
        if let Ok(at) = self.search(organisation) {
            let account = &mut self.accounts[at];
            account.running = account.running.saturating_sub(1);
            account.tokens.level += charged as f64 - used as f64;
        }
    }

    /// The asks that are due: organisations with a limit that were active since the last one.
    pub fn on_tick(&mut self, now: Instant) -> Vec<ToLimitOwner> {
        let fallback = |account: &Account| self.fallback_of(account);
        let due: Vec<usize> = (0..self.accounts.len())
            .filter(|at| self.accounts[*at].is_due(now))
            .collect();
        let holds: Vec<Quota> = due
            .iter()
            .map(|at| self.accounts[*at].quota(now, fallback(&self.accounts[*at])))
            .collect();
        due.into_iter()
            .zip(holds)
            .map(|(at, holds)| self.accounts[at].ask(now, holds))
            .collect()
    }

    /// Takes a lease; it is valid from when it was asked for.
    pub fn on_message(&mut self, now: Instant, message: &ToLimitMember) {
        let ToLimitMember::Lease {
            organisation,
            asked,
            quota,
        } = message;
        if let Ok(at) = self.search(organisation) {
            self.accounts[at].on_lease(now, *asked, *quota);
        }
    }

    /// Requests of `organisation` that were admitted here and have not ended.
    pub fn running(&self, organisation: &OrganisationId) -> u32 {
        self.search(organisation)
            .map_or(0, |at| self.accounts[at].running)
    }

    fn search(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|a| a.organisation.cmp(organisation))
    }

    fn fallback(&self, at: usize) -> Quota {
        self.fallback_of(&self.accounts[at])
    }

    /// The part that is safe alone: the zone's share over its last known instances.
    fn fallback_of(&self, account: &Account) -> Quota {
        let zone = self.zone.zone_quota(&account.organisation, &account.limit);
        zone.share(self.part, self.parts)
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
            turned_away: 0,
            demand_requests: 0.0,
            demand_tokens: 0.0,
            at: now,
            asked: None,
            number: 0,
            active: false,
        }
    }

    /// Scales a lease with its limit, so that a changed table holds before the next lease.
    fn set_limit(&mut self, now: Instant, limit: Quota) {
        if self.limit == limit {
            return;
        }
        let old = std::mem::replace(&mut self.limit, limit);
        self.leased = self.leased.map(|leased| Quota {
            requests_per_s: scale(
                leased.requests_per_s,
                old.requests_per_s,
                limit.requests_per_s,
            ),
            tokens_per_s: scale(leased.tokens_per_s, old.tokens_per_s, limit.tokens_per_s),
            running: scale(
                leased.running.map(f64::from),
                old.running.map(f64::from),
                limit.running.map(f64::from),
            )
            .map(|running| running as u32),
        });
        if self.leased.is_some_and(|leased| lacks(&leased, &limit)) {
            self.leased = None;
        }
        self.asked = None;
        self.active = true;
        self.at = self.at.max(now);
    }

    /// What may be spent now.
    ///
    /// Without a lease the safe part holds, also before the first answer: an organisation's first
    /// requests are not held up by a message to the owner.
    fn quota(&self, now: Instant, fallback: Quota) -> Quota {
        match self.leased {
            Some(leased) if now < self.leased_until => leased,
            _ => fallback,
        }
    }

    fn admit(&mut self, now: Instant, fallback: Quota, tokens: Tokens) -> Result<(), LimitReached> {
        let age = now.saturating_duration_since(self.at);
        self.at = now;
        self.active = true;
        self.note_demand(age, tokens);
        let quota = self.quota(now, fallback);
        self.fill(&quota, age);
        if let Some(retry_after) = self.missing(&quota) {
            return Err(LimitReached { retry_after });
        }
        self.requests.level -= 1.0;
        self.tokens.level -= tokens as f64;
        self.running += 1;
        Ok(())
    }

    fn note_demand(&mut self, age: Duration, tokens: Tokens) {
        let kept = (-age.as_secs_f64() / SMOOTHING.as_secs_f64()).exp();
        let weight = 1.0 / SMOOTHING.as_secs_f64();
        self.demand_requests = self.demand_requests * kept + weight;
        self.demand_tokens = self.demand_tokens * kept + tokens as f64 * weight;
    }

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

    /// Time until a request may pass, if it may not pass now.
    fn missing(&mut self, quota: &Quota) -> Option<Duration> {
        if quota.running.is_some_and(|most| self.running >= most) {
            self.turned_away += 1;
            return Some(ASK_INTERVAL);
        }
        if let Some(rate) = quota.requests_per_s.filter(|_| self.requests.level < 1.0) {
            return Some(time_for(1.0 - self.requests.level, rate));
        }
        if let Some(rate) = quota.tokens_per_s.filter(|_| self.tokens.level < 1.0) {
            return Some(time_for(1.0 - self.tokens.level, rate));
        }
        None
    }

    fn is_due(&self, now: Instant) -> bool {
        let active = self.active || self.running > 0;
        let rested = self
            .asked
            .is_none_or(|at| now.saturating_duration_since(at) >= ASK_INTERVAL);
        !self.limit.is_unlimited() && active && rested
    }

    fn ask(&mut self, now: Instant, holds: Quota) -> ToLimitOwner {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-age / SMOOTHING.as_secs_f64()).exp();
        let demand = Demand {
            requests_per_s: self.demand_requests * kept,
            tokens_per_s: self.demand_tokens * kept,
            running: self.running + self.turned_away,
        };
        self.turned_away = 0;
        self.active = false;
        self.number += 1;
        self.asked = Some(now);
        let organisation = OrganisationId::clone(&self.organisation);
        ToLimitOwner::Ask {
            organisation,
            asked: self.number,
            demand,
            holds,
        }
    }

    /// An answer to an older ask is dropped: its lease would be counted from the wrong moment.
    fn on_lease(&mut self, now: Instant, asked: Sequence, quota: Quota) {
        let Some(at) = self.asked.filter(|_| asked == self.number) else {
            return;
        };
        if now.saturating_duration_since(at) > ASK_TIMEOUT || lacks(&quota, &self.limit) {
            return;
        }
        self.leased = Some(quota);
        self.leased_until = at + QUOTA_LEASE;
    }
}

/// Whether `quota` leaves open what `limit` limits: it was made from an older table.
fn lacks(quota: &Quota, limit: &Quota) -> bool {
    let lacks = |quota: bool, limit: bool| limit && !quota;
    lacks(
        quota.requests_per_s.is_some(),
        limit.requests_per_s.is_some(),
    ) || lacks(quota.tokens_per_s.is_some(), limit.tokens_per_s.is_some())
        || lacks(quota.running.is_some(), limit.running.is_some())
}

fn scale(leased: Option<f64>, old: Option<f64>, new: Option<f64>) -> Option<f64> {
    let new = new?;
    let old = old.filter(|old| *old > 0.0)?;
    Some(leased? * new / old)
}
