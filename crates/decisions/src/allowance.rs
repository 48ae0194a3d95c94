//! Limits of organisations over the fleet, from what each instance says that it has spent.
//!
//! Load pattern: one organisation that sends many times its usual through all instances at once.
//! Without counts of the others each instance would admit the whole limit; with a fixed part an
//! organisation whose connections end at one instance would be refused far below its limit.
//!
//! A request passes if a bucket of the size of the burst holds it, which fills at the rate. That
//! alone refuses an organisation that was silent for seconds what it was owed in them: at opticians
//! whose reports take up to three quarters of a bucket, 42 of 1,630 requests of a calm day. What the
//! bucket lacks therefore passes as well while the organisation stays within what the operator
//! counts, its rate times a span and its burst in any such span, less a part that is kept for the
//! more urgent and the shorter of its requests.
//!
//! Each instance keeps the whole account and counts what it spends and what the others report.
//! While some are silent they may be cut off and spending, so only the part of those that are heard
//! may be spent: each side of a cut keeps to its share, and the sum stays at the limit.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::OrganisationId;

/// A limit of an organisation, in the unit that it is charged in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units that may be saved up.
    pub burst: f64,
}

impl Limit {
    /// Units that a bucket holds: a second's worth at least.
    fn bucket(&self) -> f64 {
        self.burst.max(self.rate)
    }

    /// Units that may be spent in a span.
    fn over(&self, span: Duration) -> f64 {
        self.rate * span.as_secs_f64() + self.burst
    }
}

/// A request that is to be charged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge {
    /// What it takes of the limit.
    pub cost: f64,
    /// Its place in the order of service, in halves of a tier: its tier, and its size beside those
    /// of its service.
    pub class: u32,
}

/// The part of the burst that a new bucket holds: what was spent before a start is not known. The
/// instances of a fleet that starts at once hear each other within some tenths of a second.
const FIRST_PART: f64 = 0.6;

/// What a request leaves of the limit for each half of a tier by which it stands behind what its
/// organisation usually sends: beyond its limit an organisation gets its urgent and its short
/// requests first, as at a replica that is full. Between 0.05 and 0.2 nothing measurable changes;
/// with 0 the users' calm days lose 0.02 of their worth, and with the tier alone in place of the
/// class opticians lose 0.04, whose short checks then yield to reports that a customer waits for
/// no longer than for them.
const KEPT_BY_CLASS: f64 = 0.1;

/// Part of the bucket below which a request is so cheap that it leaves nothing: an order of 200 tokens
/// takes nothing from a report of 10,000.
const CHEAP: f64 = 0.01;

/// The most that a request leaves.
const MOST_KEPT: f64 = 0.5;

/// Weight of a whole limit's worth of requests in the usual class.
const USUAL_WEIGHT: f64 = 4.0;

/// The most that one request weighs in it.
const MOST_WEIGHT: f64 = 0.5;

/// How many seconds of the rate a bucket may lie in debt by late reports of the others: about the
/// span over which the users count, so that what was spent too much at first is made up for in it.
const MOST_DEBT_S: f64 = 8.0;

/// A request that needs more than this part of the limit passes once that much is free; else it
/// never would, though it is within the rate over time.
const ENOUGH: f64 = 0.9;

/// Where an instance has a part of an organisation's spending from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It admitted the requests itself.
    Own,
    /// Another instance told.
    Heard,
    /// Nobody told: it is what may have been spent before this instance started.
    Assumed,
}

/// What an instance takes an organisation to have spent within the operator's span, by where it has
/// that from.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spent {
    /// Admitted here.
    pub own: f64,
    /// Told by other instances.
    pub heard: f64,
    /// Assumed for the time before this instance started.
    pub assumed: f64,
}

impl Spent {
    fn sum(&self) -> f64 {
        self.own + self.heard + self.assumed
    }

    fn of(&mut self, source: Source) -> &mut f64 {
        match source {
            Source::Own => &mut self.own,
            Source::Heard => &mut self.heard,
            Source::Assumed => &mut self.assumed,
        }
    }
}

/// What an organisation has spent, anywhere, in the span over which the operator counts.
#[derive(Debug, Default)]
struct Window {
    costs: VecDeque<(Instant, Source, f64)>,
    spent: Spent,
}

impl Window {
    fn push(&mut self, now: Instant, source: Source, cost: f64) {
        self.costs.push_back((now, source, cost));
        *self.spent.of(source) += cost;
    }

    /// Takes back what was counted at `charged`. Counted as a gain of now, it would outlast the cost
    /// that it cancels, and the organisation could spend it once more.
    fn take_back(&mut self, charged: Instant, cost: f64) {
        let after = self.costs.partition_point(|(at, _, _)| *at <= charged);
        let own = |(_, source, _): &(Instant, Source, f64)| *source == Source::Own;
        if let Some(at) = self.costs.iter().take(after).rposition(own) {
            self.costs[at].2 -= cost;
            self.spent.own -= cost;
        }
    }

    fn forget(&mut self, now: Instant, span: Duration) {
        while let Some((at, source, cost)) = self.costs.front().copied() {
            if at + span > now {
                return;
            }
            self.costs.pop_front();
            *self.spent.of(source) -= cost;
        }
    }

    /// After how many seconds `excess` has left the window.
    fn seconds_to_lose(&self, now: Instant, span: Duration, excess: f64) -> f64 {
        let mut lost = 0.0;
        for (at, _, cost) in &self.costs {
            lost += cost;
            if lost >= excess {
                return (*at + span).saturating_duration_since(now).as_secs_f64();
            }
        }
        span.as_secs_f64()
    }
}

#[derive(Debug)]
struct Account {
    organisation: OrganisationId,
    limit: Limit,
    /// What the bucket holds, and since when.
    level: f64,
    filled: Instant,
    window: Window,
    /// What this instance has spent since it started.
    spent: f64,
    /// Mean class of what is asked for, by cost.
    usual_class: f64,
}

impl Account {
    fn fill(&mut self, now: Instant, part: f64) {
        let seconds = now.saturating_duration_since(self.filled).as_secs_f64();
        let top = self.limit.bucket() * part;
        self.filled = now;
        if self.level < top {
            self.level = (self.level + seconds * self.limit.rate * part).min(top);
        }
    }

    /// By how much the bucket lacks a request, of which `kept` is to be left.
    fn lacks(&self, cost: f64, kept: f64, part: f64) -> f64 {
        let top = self.limit.bucket() * part;
        (cost + kept * top).min(top * ENOUGH) - self.level
    }

    /// By how much a request would pass the limit over the span, of which `kept` is to be left.
    fn exceeds(&self, cost: f64, kept: f64, whole: f64) -> f64 {
        self.window.spent.sum() + (cost + kept * whole).min(whole * ENOUGH) - whole
    }

    /// Notes the class of a request, and returns the part of the limit that it leaves to others.
    fn kept_from(&mut self, charge: &Charge, whole: f64) -> f64 {
        let class = f64::from(charge.class);
        let weight = (charge.cost / whole * USUAL_WEIGHT).clamp(0.0, MOST_WEIGHT);
        self.usual_class += (class - self.usual_class) * weight;
        if charge.cost < self.limit.bucket() * CHEAP {
            return 0.0;
        }
        ((class - self.usual_class) * KEPT_BY_CLASS).clamp(0.0, MOST_KEPT)
    }
}

/// The accounts of all organisations at one instance.
#[derive(Debug)]
pub struct Allowances {
    accounts: Vec<Account>,
    span: Duration,
    started: Instant,
}

impl Allowances {
    /// Knows no organisation yet; `span` is the time over which the operator counts.
    pub fn new(now: Instant, span: Duration) -> Self {
        Self {
            accounts: Vec::new(),
            span,
            started: now,
        }
    }

    /// Takes another span from the operator; what was spent stays spent.
    pub fn set_span(&mut self, span: Duration) {
        self.span = span;
    }

    /// Charges a request to the organisation, or says after how many seconds it would pass.
    ///
    /// `part` is the share of the known instances that are heard now, from 0 to 1.
    pub fn take(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        limit: Limit,
        part: f64,
        charge: Charge,
    ) -> Result<(), f64> {
        let span = self.span;
        let account = self.account(now, organisation, limit);
        account.fill(now, part);
        let kept = account.kept_from(&charge, limit.over(span));
        let lacks = account.lacks(charge.cost, kept, part);
        let exceeds = account.exceeds(charge.cost, kept, limit.over(span) * part);
        if lacks > 0.0 && exceeds > 0.0 {
            let filled = lacks / (limit.rate * part).max(f64::MIN_POSITIVE);
            return Err(filled.min(account.window.seconds_to_lose(now, span, exceeds)));
        }
        account.level -= charge.cost;
        account.spent += charge.cost;
        account.window.push(now, Source::Own, charge.cost);
        Ok(())
    }

    /// Gives back what a request was charged, at the time `charged`, that never ran.
    pub fn give_back(&mut self, charged: Instant, organisation: &OrganisationId, cost: f64) {
        if let Some(account) = self.find(organisation) {
            account.level += cost;
            account.spent -= cost;
            account.window.take_back(charged, cost);
        }
    }

    /// Counts what another instance has spent since its last report, also of an organisation that
    /// has sent nothing here yet: its first request here would find the whole limit unspent.
    pub fn on_spent_elsewhere(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        limit: Limit,
        cost: f64,
    ) {
        let account = self.account(now, organisation, limit);
        let debt = -limit.rate * MOST_DEBT_S;
        account.level = (account.level - cost).max(debt.min(account.level));
        account.window.push(now, Source::Heard, cost);
    }

    /// Takes a peer's word on what the bucket holds, at an instance that started just now.
    ///
    /// Without it each instance of a rolling restart would begin with a full bucket, and an
    /// organisation far beyond its limit would spend it once more at each.
    pub fn adopt(&mut self, now: Instant, organisation: &OrganisationId, limit: Limit, level: f64) {
        let account = self.account(now, organisation, limit);
        account.level = account.level.min(level);
    }

    /// What each organisation's bucket holds, as this instance sees it.
    pub fn levels(&self) -> impl Iterator<Item = (&OrganisationId, f64)> {
        self.accounts.iter().map(|a| (&a.organisation, a.level))
    }

    /// What one organisation has left, as this instance sees it: in its bucket, and of its limit
    /// over the span.
    pub fn left(&self, organisation: &OrganisationId) -> (f64, f64) {
        let found = self
            .accounts
            .binary_search_by(|a| a.organisation.cmp(organisation));
        found.map_or((0.0, 0.0), |at| {
            let account = &self.accounts[at];
            let whole = account.limit.over(self.span);
            (account.level, whole - account.window.spent.sum())
        })
    }

    /// What one organisation has spent within the span, as far as this instance knows.
    pub fn known(&self, organisation: &OrganisationId) -> Spent {
        let found = self
            .accounts
            .binary_search_by(|a| a.organisation.cmp(organisation));
        found.map_or(Spent::default(), |at| self.accounts[at].window.spent)
    }

    /// What this instance has spent of each organisation since it started.
    pub fn spent(&self) -> impl Iterator<Item = (&OrganisationId, f64)> {
        self.accounts.iter().map(|a| (&a.organisation, a.spent))
    }

    fn find(&mut self, organisation: &OrganisationId) -> Option<&mut Account> {
        let at = self
            .accounts
            .binary_search_by(|a| a.organisation.cmp(organisation))
            .ok()?;
        Some(&mut self.accounts[at])
    }

    fn account(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        limit: Limit,
    ) -> &mut Account {
        let (started, span) = (self.started, self.span);
        let found = self
            .accounts
            .binary_search_by(|a| a.organisation.cmp(organisation));
        let at = found.unwrap_or_else(|at| {
            // Until one span has passed since the start, only the bucket counts.
            let mut window = Window::default();
            window.push(started, Source::Assumed, limit.over(span));
            let account = Account {
                organisation: organisation.clone(),
                limit,
                level: limit.bucket() * FIRST_PART,
                filled: now,
                window,
                spent: 0.0,
                usual_class: 0.0,
            };
            self.accounts.insert(at, account);
            at
        });
        let account = &mut self.accounts[at];
        account.limit = limit;
        account.level = account.level.min(limit.bucket());
        account.window.forget(now, span);
        account
    }
}
