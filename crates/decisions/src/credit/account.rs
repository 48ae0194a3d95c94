//! Credit of one organisation at one instance, and the requests that wait for it there.

use std::time::Duration;

use tokio::time::Instant;

use super::accrual::{Accrual, Limit, Tolerance};
use super::batches::{Batch, Batches};
use super::precedence::{Precedence, is_cheap, needed};
use super::sources::{Context, Sources};
use super::{Charge, Credit, MessageNumber, Verdict};
use crate::id::{Member, ShortName};

/// Time over which an organisation's use is averaged.
const USE_OVER: Duration = Duration::from_secs(1);

/// Credit for so much of its use is collected ahead, once less than [`LOW`] of it is at hand.
const AHEAD: Duration = Duration::from_millis(400);
const LOW: Duration = Duration::from_millis(150);

/// Credit for so much of its own zone's use stays with a keeper that another one collects from.
const KEPT_HERE: Duration = Duration::from_secs(1);

/// The most that a request is told to wait, in seconds.
const MOST_WAIT_S: f64 = 60.0;

/// A request that waits for credit.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) member: Member,
    pub(super) number: MessageNumber,
    /// The last of its messages.
    pub(super) tries: u32,
    charge: Charge,
    /// Part of the limit that it leaves to others.
    kept: f64,
    cheap: bool,
    since: Instant,
    until: Instant,
}

/// What is to be sent after a look at the waiting requests.
#[derive(Debug, Clone, Default)]
pub(super) struct Outcome {
    pub(super) verdicts: Vec<(Waiting, Verdict)>,
    pub(super) collect: Vec<Member>,
}

#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) name: ShortName,
    limit: Option<Limit>,
    pace: Accrual,
    pub(super) lots: Batches,
    /// The own time up to here was given away.
    given: Option<Instant>,
    precedence: Precedence,
    /// Units that were granted in a second.
    used: f64,
    used_at: Instant,
    pub(super) sources: Sources,
    pub(super) waiting: Vec<Waiting>,
}

impl Account {
    pub(super) fn new(now: Instant, name: ShortName) -> Self {
        Self {
            name,
            limit: None,
            pace: Accrual::new(
                Limit {
                    rate: 0.0,
                    burst: 0.0,
                },
                Duration::from_secs(1),
                Tolerance::default(),
            ),
            lots: Batches::default(),
            given: None,
            precedence: Precedence::default(),
            used: 0.0,
            used_at: now,
            sources: Sources::default(),
            waiting: Vec::new(),
        }
    }

    /// Takes the limit in force. Credit of a higher one shrinks with it.
    pub(super) fn set_limit(&mut self, limit: Limit, span: Duration, tolerance: Tolerance) {
        let pace = Accrual::new(limit, span, tolerance);
        if self.limit.is_some() && pace.rate < self.pace.rate {
            self.lots.scale(pace.rate / self.pace.rate);
        }
        self.limit = Some(limit);
        self.pace = pace;
    }

    /// Credit of all instances at the most.
    pub(super) fn pace(&self) -> Accrual {
        self.pace
    }

    /// Lets a request wait.
    pub(super) fn wait(
        &mut self,
        now: Instant,
        member: Member,
        number: MessageNumber,
        charge: Charge,
    ) {
        let burst = self.limit.map_or(0.0, |l| l.burst.max(l.rate));
        let kept = self.precedence.kept(&charge, burst, self.pace.max_stock());
        self.waiting.push(Waiting {
            member,
            number,
            tries: 1,
            charge,
            kept,
            cheap: is_cheap(charge.cost, burst),
            since: now,
            until: now + charge.max_wait,
        });
    }

    /// Gives credit to waiting requests as far as there is any, the most urgent first, and refuses
    /// those for which there will be none in time.
    pub(super) fn serve(&mut self, now: Instant, cx: &Context<'_>) -> Outcome {
        let mut outcome = Outcome::default();
        self.take_own(now, cx);
        self.sources.forget_late(now);
        self.waiting
            .sort_by_key(|w| (!w.cheap, w.charge.priority_class, w.since));
        let depth = self.pace.max_stock();
        let home_depth = depth / cx.zones();
        let mut level = self.lots.level(now);
        let stock = self.sources.stock(now, cx, self.pace, level);
        let mut stock_home = stock.here + stock.home;
        let mut reserved = 0.0;
        let mut still = Vec::new();
        for ask in std::mem::take(&mut self.waiting) {
            let cost = ask.charge.cost;
            let leaves_home = stock_home >= needed(cost, ask.kept, home_depth);
            let leaves_all = stock_home + stock.abroad >= needed(cost, ask.kept, depth);
            let lacks = needed(cost, ask.kept, depth) - stock_home - stock.abroad;
            let until = now + Duration::from_secs_f64(self.seconds_until(lacks).min(MOST_WAIT_S));
            let may = leaves_home || leaves_all || until <= ask.until;
            if may
                && level - reserved >= cost
                && let Some(lot) = self.lots.take(now, cost)
            {
                level -= cost;
                stock_home -= cost;
                self.on_use(now, cost);
                let left_ms = lot.left_ms(now);
                outcome.verdicts.push((ask, Verdict::Granted { left_ms }));
            } else if may && now < ask.until {
                reserved += cost;
                stock_home -= cost;
                still.push(ask);
            } else {
                let verdict = Verdict::Denied {
                    wait_ms: until.saturating_duration_since(now).as_millis() as u32,
                    stock: stock_home + stock.abroad,
                };
                outcome.verdicts.push((ask, verdict));
            }
        }
        self.waiting = still;
        let use_now = self.use_at(now);
        let at_hand = level - reserved;
        if reserved > level || at_hand < use_now * LOW.as_secs_f64() {
            let wanted = reserved + use_now * AHEAD.as_secs_f64() - stock.here;
            outcome.collect = self.sources.choose(now, cx, self.pace, wanted);
        }
        outcome
    }

    /// Seconds in which so much is minted.
    fn seconds_until(&self, lacks: f64) -> f64 {
        lacks.max(0.0) / self.pace.rate.max(f64::MIN_POSITIVE)
    }

    fn on_use(&mut self, now: Instant, cost: f64) {
        self.used = self.use_at(now) + cost / USE_OVER.as_secs_f64();
        self.used_at = now;
    }

    fn use_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.used_at);
        self.used * (-passed.as_secs_f64() / USE_OVER.as_secs_f64()).exp()
    }

    /// Collects from this instance itself.
    fn take_own(&mut self, now: Instant, cx: &Context<'_>) {
        let Some((from, size)) = cx.mint.ungiven(now, self.given) else {
            return;
        };
        self.given = Some(now);
        let time = now.saturating_duration_since(from);
        let amount = cx.worth(self.pace, time, size);
        self.lots
            .add_minted(now, (from, now), amount, self.pace.lifetime);
    }

    /// Gives away what this instance has; as a keeper, what its own zone does not need.
    pub(super) fn give(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        number: MessageNumber,
        is_keeper: bool,
    ) -> Credit {
        let kept = if is_keeper {
            self.use_at(now) * KEPT_HERE.as_secs_f64()
        } else {
            0.0
        };
        let spare = if self.waiting.is_empty() {
            self.lots.level(now) - kept
        } else {
            0.0
        };
        let lots = self.lots.hand_over(now, spare);
        let (time, size) = match cx.mint.ungiven(now, self.given) {
            Some((from, size)) => (now.saturating_duration_since(from), size),
            None => (Duration::ZERO, 1),
        };
        self.given = Some(now);
        Credit {
            number,
            organisation: self.name,
            time_us: time.as_micros() as u64,
            size,
            lots: lots.iter().map(|l| (l.left_ms(now), l.amount)).collect(),
        }
    }

    /// Takes up what was collected; each collection brings something once, and not after its time.
    pub(super) fn on_credit(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        from: Member,
        credit: &Credit,
    ) -> bool {
        let Some(collection) = self.sources.on_answer(now, from, credit.number) else {
            return false;
        };
        let zone = cx.roster.zone_of(from);
        let size = zone.map_or(credit.size, |z| z.size.max(credit.size));
        let time = Duration::from_micros(credit.time_us).min(super::running_time::KEEPS);
        let worth = cx.worth(self.pace, time, size);
        let sent = collection.sent;
        let began = sent.checked_sub(time).unwrap_or(sent);
        self.lots
            .add_minted(now, (began, sent), worth, self.pace.lifetime);
        let mut got = worth;
        for (left_ms, amount) in &credit.lots {
            let left = Duration::from_millis(u64::from(*left_ms)).min(self.pace.lifetime);
            let expires = sent + left;
            let amount = if amount.is_finite() {
                amount.max(0.0)
            } else {
                0.0
            };
            got += amount;
            self.lots.add(now, Batch { expires, amount });
        }
        if let Some(zone) = zone {
            self.sources
                .on_yield(now, zone.name, got, collection.expected);
        }
        true
    }
}
