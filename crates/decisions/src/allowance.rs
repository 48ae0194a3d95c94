//! Limits of organisations over the fleet, from what each instance says that it has spent.
//!
//! Load pattern: one organisation that sends many times its usual through all instances at once.
//! Without counts of the others each instance would admit the whole limit; with a fixed part an
//! organisation whose connections end at one instance would be refused far below its limit.
//!
//! A request passes if its organisation stays within what the operator counts, its rate times a span
//! and its burst in any such span, less a part that is kept for the more urgent and the shorter of
//! its requests. A bucket of the burst beside that would refuse an organisation that was silent for
//! seconds what it was owed in them.
//!
//! Each instance keeps the whole account: what it spends, what the others report, and what may have been
//! spent before it started. Three things keep the sum of all instances at the limit though their news
//! are late:
//!
//! - While some instances are silent they may be cut off and spending, so only the part of those that
//!   are heard may be spent: each side of a cut keeps to its share.
//! - Until the others have heard of what an instance spends, it spends no more than its share of what is
//!   left. Else each instance of a large fleet would spend the whole remainder between two messages.
//! - An instance that starts takes its peers' word on what was spent. Where nobody knows, as after a
//!   kill of all, most of the limit counts as spent for one span.

use std::time::Duration;

use tokio::time::Instant;

use crate::id::OrganisationId;

mod bucket;
mod window;

use bucket::Bucket;
use window::{Before, Source, Window, few};
pub use window::{Spent, Told, Tolerance};

/// A limit of an organisation, in the unit that it is charged in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units that may be saved up.
    pub burst: f64,
}

impl Limit {
    /// Units that come at once in ordinary use: a second's worth at least.
    fn burst(&self) -> f64 {
        self.burst.max(self.rate)
    }

    /// Units that may come at once.
    fn rush(&self, span: Duration) -> f64 {
        (self.over(span) * RUSH).max(self.burst())
    }

    /// Units that may be spent in a span.
    pub fn over(&self, span: Duration) -> f64 {
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
    /// An even draw from 0 to 1, for what instances can't agree on in time.
    pub luck: f64,
}

/// What an instance knows of the others when it admits a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fleet {
    /// Share of the known instances that are heard now, from 0 to 1.
    pub part: f64,
    /// How many are heard now, with this one.
    pub instances: usize,
    /// All of them have heard what this instance spent up to here.
    pub confirmed: Instant,
}

/// Part of a limit over a span that may come at once. With all of it, nothing could be said of when it was
/// spent before a kill of the whole fleet, and everybody would be refused for a span after it.
const RUSH: f64 = 0.55;

/// Part of what is left that the instances may spend untold, in equal shares.
const UNTOLD_EQUAL: f64 = 0.75;

/// The same, in the shares in which they spent last, in limits: an organisation whose connections end
/// at few instances would wait there for news of what the others don't spend.
const UNTOLD_BY_USE: f64 = 0.5;

/// How many shares an instance may spend untold while news are fresh: requests come in lumps, and not
/// at all instances at the same time.
const AHEAD: f64 = 4.0;

/// The same after a start, when what was spent before is only assumed.
const AHEAD_AT_START: f64 = 1.5;
const AHEAD_AT_START_OF_FEW: f64 = 2.5;

/// News older than this may be those of a cut.
const LATE: Duration = Duration::from_millis(1800);

/// When to come back to an instance that waits for the others' word: until the next of their messages.
const TOLD_S: f64 = 0.5;

/// When to come back while what is left is kept for others.
const KEPT_S: f64 = 1.0;

/// When to come back to an instance that only assumes what was spent: another one may know better.
const ELSEWHERE_S: f64 = 0.8;

/// What a request leaves of the limit for each half of a tier by which it stands behind what its
/// organisation usually sends: beyond its limit an organisation gets its urgent and its short
/// requests first, as at a replica that is full. By the tier alone short checks would yield to reports
/// that a customer waits for no longer than for them.
const KEPT_BY_CLASS: f64 = 0.1;

/// Part of the burst below which a request is so cheap that it leaves nothing: an order of 200 tokens
/// takes nothing from a report of 10,000.
const CHEAP: f64 = 0.01;

/// The most that a request leaves.
const MOST_KEPT: f64 = 0.5;

/// Weight of a whole limit's worth of requests in the usual class.
const USUAL_WEIGHT: f64 = 4.0;

/// The most that one request weighs in it.
const MOST_WEIGHT: f64 = 0.5;

/// A request that needs more than this part of the limit, with what it leaves, passes once that much is
/// free; else it never would, though it is within the limit over time.
const ENOUGH: f64 = 0.9;

#[derive(Debug)]
struct Account {
    organisation: OrganisationId,
    limit: Limit,
    /// What may come at once.
    rush: Bucket,
    /// What may come in ordinary use, behind which requests are kept back for others.
    usual: Bucket,
    window: Window,
    before: Before,
    /// Whether all that was spent within the span is known, by own sight or from a peer.
    informed: bool,
    /// What this instance has spent since it started.
    spent: f64,
    /// Instances that are known, by the last request.
    fleet: f64,
    /// Mean class of what is asked for, by cost.
    usual_class: Option<f64>,
}

impl Account {
    fn fill(&mut self, now: Instant, span: Duration) {
        let limit = self.limit;
        self.rush.fill(now, limit.rate, limit.rush(span));
        self.usual.fill(now, limit.rate, limit.burst());
    }

    fn drain(&mut self, cost: f64, span: Duration) {
        let most_debt = self.limit.over(span);
        self.rush.drain(cost, most_debt);
        self.usual.drain(cost, most_debt);
    }

    /// What is within the span, as far as this instance knows.
    fn spent(&self, now: Instant, span: Duration) -> Spent {
        Spent {
            before: self.before.left(now, &self.limit, span, self.fleet),
            ..self.window.spent
        }
    }

    /// Whether a request leaves the part `kept` to others, either of ordinary use or of the span.
    ///
    /// Both together would refuse requests that stand far behind for seconds after a rush that is over.
    fn leaves(&self, cost: f64, kept: f64, left: f64, free: f64) -> bool {
        let burst = self.limit.burst();
        let of_burst = (cost + kept * burst).min(burst * ENOUGH);
        let of_span = (cost + kept * free).min(free * ENOUGH);
        of_burst <= self.usual.level.min(left) || of_span <= left
    }

    /// Whether the others have to hear of earlier requests before one more passes.
    ///
    /// The request itself does not count: in a large fleet a share is smaller than many requests. After
    /// a start, when little is given out, one request at each instance would be too much; so many of them
    /// pass as the shares of all hold.
    fn waits_for_news(
        &self,
        now: Instant,
        charge: &Charge,
        (left, whole): (f64, f64),
        fleet: &Fleet,
    ) -> bool {
        let untold = self.window.own_after(fleet.confirmed);
        let use_here = self.window.spent.own / whole;
        let part = UNTOLD_EQUAL / fleet.instances as f64 + UNTOLD_BY_USE * use_here;
        let share = (left + untold) * part;
        let age = now.saturating_duration_since(fleet.confirmed);
        if self.informed {
            let ahead = if age < LATE { AHEAD } else { 1.0 };
            return untold > share * ahead;
        }
        let ahead = AHEAD_AT_START + (AHEAD_AT_START_OF_FEW - AHEAD_AT_START) * few(self.fleet);
        let rest = share * ahead - untold;
        charge.luck * charge.cost > rest
    }

    /// Notes the class of a request, and returns the part of the limit that it leaves to others.
    fn kept_from(&mut self, charge: &Charge, whole: f64) -> f64 {
        let class = f64::from(charge.class);
        let weight = (charge.cost / whole * USUAL_WEIGHT).clamp(0.0, MOST_WEIGHT);
        let usual = self.usual_class.get_or_insert(class);
        *usual += (class - *usual) * weight;
        let behind = class - *usual;
        if charge.cost < self.limit.burst() * CHEAP {
            return 0.0;
        }
        (behind * KEPT_BY_CLASS).clamp(0.0, MOST_KEPT)
    }
}

/// The accounts of all organisations at one instance.
#[derive(Debug)]
pub struct Allowances {
    accounts: Vec<Account>,
    span: Duration,
    started: Instant,
    /// Whether nothing can have been spent before the start.
    first_start: bool,
    tolerance: Tolerance,
}

impl Allowances {
    /// Knows no organisation yet; `span` is the time over which the operator counts.
    pub fn new(now: Instant, span: Duration) -> Self {
        Self {
            accounts: Vec::new(),
            span,
            started: now,
            first_start: false,
            tolerance: Tolerance::default(),
        }
    }

    /// The whole fleet starts for the first time, so that nothing was spent before.
    #[must_use]
    pub fn with_first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }

    /// Takes from the operator by how much a limit may be passed where nobody knows what was spent.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// For how long this instance has seen what is spent, a span at most; all of one if nothing can have
    /// been spent before its start.
    pub fn sees(&self, now: Instant) -> Duration {
        if self.first_start {
            return self.span;
        }
        now.saturating_duration_since(self.started).min(self.span)
    }

    /// The time over which the operator counts.
    pub fn span(&self) -> Duration {
        self.span
    }

    /// Takes another span from the operator; what was spent stays spent.
    pub fn set_span(&mut self, span: Duration) {
        self.span = span;
    }

    /// Charges a request to the organisation, or says after how many seconds it would pass.
    pub fn take(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        limit: Limit,
        fleet: &Fleet,
        charge: Charge,
    ) -> Result<(), f64> {
        let span = self.span;
        let account = self.account(now, organisation, limit);
        account.fill(now, span);
        account.fleet = fleet.instances as f64 / fleet.part.max(f64::MIN_POSITIVE);
        let kept = account.kept_from(&charge, limit.over(span));
        let whole = limit.over(span) * fleet.part;
        let spent = account.spent(now, span);
        let left = whole - spent.sum();
        let lacks = charge.cost.min(limit.rush(span) * ENOUGH) - account.rush.level;
        let exceeds = charge.cost - left;
        if lacks > 0.0 || exceeds > 0.0 {
            let filled = lacks.max(0.0) / limit.rate.max(f64::MIN_POSITIVE);
            let lost = account.window.seconds_to_lose(now, span, exceeds);
            let wait = filled.max(lost);
            return Err(if spent.before > 0.0 {
                wait.min(ELSEWHERE_S)
            } else {
                wait
            });
        }
        let free = (whole - spent.before).max(0.0);
        if !account.leaves(charge.cost, kept, left, free) {
            return Err(KEPT_S);
        }
        if account.waits_for_news(now, &charge, (left, whole), fleet) {
            return Err(TOLD_S);
        }
        account.drain(charge.cost, span);
        account.spent += charge.cost;
        account.window.push(now, Source::Own, charge.cost);
        Ok(())
    }

    /// Gives back what a request was charged, at the time `charged`, that never ran.
    pub fn give_back(&mut self, charged: Instant, organisation: &OrganisationId, cost: f64) {
        if let Some(account) = self.find(organisation) {
            account.rush.level += cost;
            account.usual.level += cost;
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
        let span = self.span;
        let account = self.account(now, organisation, limit);
        account.fill(now, span);
        account.drain(cost, span);
        account.window.push(now, Source::Heard, cost);
    }

    /// Takes a peer's word on what was spent in all, while this instance has just started.
    ///
    /// The first word of a peer that is `informed` replaces what is assumed; else of several words the
    /// highest counts. Without it an instance of a rolling restart would refuse an organisation that is
    /// far within its limit, or give out once more what others have spent.
    pub fn adopt(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        limit: Limit,
        told: Told,
        informed: bool,
    ) {
        let span = self.span;
        let account = self.account(now, organisation, limit);
        let counted = account.spent(now, span);
        let missing = told.whole - counted.own - counted.heard;
        let first = informed && !account.informed;
        // Who only assumes must not add to what is known: in a rolling restart each would add to the one
        // before it.
        let weighs = informed || !account.informed;
        if first || weighs && missing > counted.before {
            let whole = missing.max(0.0);
            let late = told.late.min(whole);
            account.before = Before::told(now, Told { whole, late });
        }
        account.informed |= informed;
    }

    /// What each organisation has spent within the span, as far as this instance knows.
    pub fn all_known(&self, now: Instant) -> impl Iterator<Item = (&OrganisationId, Told)> {
        self.accounts.iter().map(move |a| {
            let spent = a.spent(now, self.span);
            let half = now.checked_sub(self.span / 2);
            let late = half.map_or(spent.own + spent.heard, |half| a.window.after(half));
            let told = Told {
                whole: spent.sum(),
                late: late + spent.before,
            };
            (&a.organisation, told)
        })
    }

    /// What one organisation has spent within the span, as far as this instance knows.
    pub fn known(&self, now: Instant, organisation: &OrganisationId) -> Spent {
        let found = self.position(organisation);
        found.map_or(Spent::default(), |at| {
            self.accounts[at].spent(now, self.span)
        })
    }

    /// What this instance has spent of each organisation since it started.
    pub fn spent(&self) -> impl Iterator<Item = (&OrganisationId, f64)> {
        self.accounts.iter().map(|a| (&a.organisation, a.spent))
    }

    fn find(&mut self, organisation: &OrganisationId) -> Option<&mut Account> {
        let at = self.position(organisation).ok()?;
        Some(&mut self.accounts[at])
    }

    /// Where an organisation's account stands, or where it would.
    fn position(&self, organisation: &OrganisationId) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|a| a.organisation.cmp(organisation))
    }

    fn account(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        limit: Limit,
    ) -> &mut Account {
        let (started, span, first_start) = (self.started, self.span, self.first_start);
        let at = self.position(organisation).unwrap_or_else(|at| {
            let before = if first_start {
                Before::told(started, Told::default())
            } else {
                Before::unknown(started, self.tolerance)
            };
            let account = Account {
                organisation: organisation.clone(),
                limit,
                rush: Bucket::full(now, limit.rush(span)),
                usual: Bucket::full(now, limit.burst()),
                window: Window::default(),
                before,
                informed: first_start,
                spent: 0.0,
                fleet: f64::MAX,
                usual_class: None,
            };
            self.accounts.insert(at, account);
            at
        });
        let account = &mut self.accounts[at];
        account.limit = limit;
        account.informed |= now.saturating_duration_since(started) >= span;
        account.window.forget(now, span);
        account
    }
}
