//! Credit of one organisation at one instance, and the requests that wait for it there.

use std::time::Duration;

use tokio::time::Instant;

use super::accrual::{Accrual, Limit, Tolerance};
use super::batches::{Batch, Batches};
use super::precedence::{Precedence, is_cheap, needed_stock};
use super::sources::{AccountContext, Sources};
use super::{Charge, Credit, MessageNumber, Verdict};
use crate::id::{InstanceAddress, NameHash};

/// Time constant over which the usage of an organisation is averaged.
const USAGE_SMOOTHING: Duration = Duration::from_secs(1);

/// A collection fetches enough credit for this much time of the current usage.
const COLLECT_AHEAD: Duration = Duration::from_millis(400);

/// A collection starts when the free credit covers less than this much time of the current usage.
const COLLECT_BELOW: Duration = Duration::from_millis(150);

/// A coordinator keeps credit for this much of its own zone's usage when another coordinator
/// collects from it.
const COORDINATOR_RESERVE: Duration = Duration::from_secs(1);

/// Longest wait in seconds that a denied request is advised.
const MAX_WAIT_S: f64 = 60.0;

/// A request that waits for credit.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    /// Instance that sent the request; possibly this one.
    pub(super) member: InstanceAddress,
    /// Number of the request at that instance.
    pub(super) number: MessageNumber,
    /// Highest `tries` of the messages received for the request.
    pub(super) tries: u32,
    charge: Charge,
    /// Part of the limit that the request leaves unused for more urgent ones.
    reserved_part: f64,
    /// Whether the request is cheap enough to be served before all others.
    cheap: bool,
    /// When the request was queued here.
    queued: Instant,
    /// Time from which it is denied unless there is enough credit.
    deadline: Instant,
}

/// Verdicts and collections to send after serving the waiting requests.
#[derive(Debug, Clone, Default)]
pub(super) struct Outcome {
    pub(super) verdicts: Vec<(Waiting, Verdict)>,
    /// Instances to collect credit from.
    pub(super) collect: Vec<InstanceAddress>,
}

/// Credit account of one organisation.
#[derive(Debug, Clone)]
pub(super) struct Account {
    /// Hash of the name of the organisation.
    pub(super) name: NameHash,
    limit: Option<Limit>,
    accrual: Accrual,
    pub(super) batches: Batches,
    /// Running time of this instance before this time has been given away.
    given_until: Option<Instant>,
    precedence: Precedence,
    /// Averaged usage in units per second, as of `usage_updated`.
    usage: f64,
    usage_updated: Instant,
    pub(super) sources: Sources,
    pub(super) waiting: Vec<Waiting>,
}

impl Account {
    pub(super) fn new(now: Instant, name: NameHash) -> Self {
        Self {
            name,
            limit: None,
            accrual: Accrual::new(
                Limit {
                    rate: 0.0,
                    burst: 0.0,
                },
                Duration::from_secs(1),
                Tolerance::default(),
            ),
            batches: Batches::default(),
            given_until: None,
            precedence: Precedence::default(),
            usage: 0.0,
            usage_updated: now,
            sources: Sources::default(),
            waiting: Vec::new(),
        }
    }

    /// Applies the limit that is in force. If the rate falls, held credit shrinks in proportion.
    pub(super) fn set_limit(&mut self, limit: Limit, span: Duration, tolerance: Tolerance) {
        let accrual = Accrual::new(limit, span, tolerance);
        if self.limit.is_some() && accrual.rate < self.accrual.rate {
            self.batches.scale(accrual.rate / self.accrual.rate);
        }
        self.limit = Some(limit);
        self.accrual = accrual;
    }

    /// Accrual of the limit over the whole fleet.
    pub(super) fn accrual(&self) -> Accrual {
        self.accrual
    }

    /// Queues a request until [`Account::serve`] decides on it.
    pub(super) fn add_waiting(
        &mut self,
        now: Instant,
        member: InstanceAddress,
        number: MessageNumber,
        charge: Charge,
    ) {
        let burst = self.limit.map_or(0.0, |l| l.burst.max(l.rate));
        let reserved_part = self
            .precedence
            .update(&charge, burst, self.accrual.max_stock());
        self.waiting.push(Waiting {
            member,
            number,
            tries: 1,
            charge,
            reserved_part,
            cheap: is_cheap(charge.cost, burst),
            queued: now,
            deadline: now + charge.max_wait,
        });
    }

    /// Grants credit to waiting requests as far as it suffices, the most urgent first, and denies
    /// requests for which there will not be enough in time.
    pub(super) fn serve(&mut self, now: Instant, cx: &AccountContext<'_>) -> Outcome {
        let mut outcome = Outcome::default();
        self.accrue_own(now, cx);
        self.sources.drop_expired(now);
        self.waiting
            .sort_by_key(|w| (!w.cheap, w.charge.priority_class, w.queued));
        let max_stock = self.accrual.max_stock();
        let max_stock_own_zone = max_stock / cx.zones();
        let mut held = self.batches.available(now);
        let stock = self.sources.stock(now, cx, self.accrual, held);
        let mut stock_own_zone = stock.held_or_pending + stock.own_zone;
        let mut reserved = 0.0;
        let mut still_waiting = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let cost = waiting.charge.cost;
            let own_zone_suffices =
                stock_own_zone >= needed_stock(cost, waiting.reserved_part, max_stock_own_zone);
            let all_zones_suffice = stock_own_zone + stock.other_zones
                >= needed_stock(cost, waiting.reserved_part, max_stock);
            let missing = needed_stock(cost, waiting.reserved_part, max_stock)
                - stock_own_zone
                - stock.other_zones;
            let enough_at =
                now + Duration::from_secs_f64(self.seconds_to_accrue(missing).min(MAX_WAIT_S));
            let eligible = own_zone_suffices || all_zones_suffice || enough_at <= waiting.deadline;
            if eligible
                && held - reserved >= cost
                && let Some(batch) = self.batches.withdraw(now, cost)
            {
                held -= cost;
                stock_own_zone -= cost;
                self.record_usage(now, cost);
                let left_ms = batch.left_ms(now);
                outcome
                    .verdicts
                    .push((waiting, Verdict::Granted { left_ms }));
            } else if eligible && now < waiting.deadline {
                reserved += cost;
                stock_own_zone -= cost;
                still_waiting.push(waiting);
            } else {
                let verdict = Verdict::Denied {
                    wait_ms: enough_at.saturating_duration_since(now).as_millis() as u32,
                    stock: stock_own_zone + stock.other_zones,
                };
                outcome.verdicts.push((waiting, verdict));
            }
        }
        self.waiting = still_waiting;
        let usage = self.usage_rate(now);
        let unreserved = held - reserved;
        if reserved > held || unreserved < usage * COLLECT_BELOW.as_secs_f64() {
            let wanted_amount =
                reserved + usage * COLLECT_AHEAD.as_secs_f64() - stock.held_or_pending;
            outcome.collect = self.sources.choose(now, cx, self.accrual, wanted_amount);
        }
        outcome
    }

    /// Seconds until `missing` units have accrued in the fleet.
    fn seconds_to_accrue(&self, missing: f64) -> f64 {
        missing.max(0.0) / self.accrual.rate.max(f64::MIN_POSITIVE)
    }

    /// Adds a granted cost to the averaged usage.
    fn record_usage(&mut self, now: Instant, cost: f64) {
        self.usage = self.usage_rate(now) + cost / USAGE_SMOOTHING.as_secs_f64();
        self.usage_updated = now;
    }

    /// Averaged usage in units per second at `now`.
    fn usage_rate(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.usage_updated);
        self.usage * (-passed.as_secs_f64() / USAGE_SMOOTHING.as_secs_f64()).exp()
    }

    /// Turns the running time of this instance into credit.
    fn accrue_own(&mut self, now: Instant, cx: &AccountContext<'_>) {
        let Some((from, size)) = cx.running_time.available(now, self.given_until) else {
            return;
        };
        self.given_until = Some(now);
        let time = now.saturating_duration_since(from);
        let amount = cx.worth(self.accrual, time, size);
        self.batches
            .add_accrued(now, (from, now), amount, self.accrual.lifetime);
    }

    /// Gives away the credit of this instance; a coordinator keeps what its own zone needs.
    pub(super) fn give_away(
        &mut self,
        now: Instant,
        cx: &AccountContext<'_>,
        number: MessageNumber,
        is_coordinator: bool,
    ) -> Credit {
        let reserve = if is_coordinator {
            self.usage_rate(now) * COORDINATOR_RESERVE.as_secs_f64()
        } else {
            0.0
        };
        let spare = if self.waiting.is_empty() {
            self.batches.available(now) - reserve
        } else {
            0.0
        };
        let batches = self.batches.drain_latest(now, spare);
        let (time, size) = match cx.running_time.available(now, self.given_until) {
            Some((from, size)) => (now.saturating_duration_since(from), size),
            None => (Duration::ZERO, 1),
        };
        self.given_until = Some(now);
        Credit {
            number,
            organisation: self.name,
            time_us: time.as_micros() as u64,
            size,
            lots: batches.iter().map(|b| (b.left_ms(now), b.amount)).collect(),
        }
    }

    /// Adds the credit from an answered collection. Returns `false` if the collection was answered
    /// before or the answer is too late.
    pub(super) fn on_credit(
        &mut self,
        now: Instant,
        cx: &AccountContext<'_>,
        from: InstanceAddress,
        credit: &Credit,
    ) -> bool {
        let Some(collection) = self.sources.on_answer(now, from, credit.number) else {
            return false;
        };
        let zone = cx.fleet.zone_of(from);
        let size = zone.map_or(credit.size, |z| z.size.max(credit.size));
        let time = Duration::from_micros(credit.time_us).min(super::running_time::MAX_AGE);
        let accrued = cx.worth(self.accrual, time, size);
        let sent = collection.sent;
        let accrued_from = sent.checked_sub(time).unwrap_or(sent);
        self.batches
            .add_accrued(now, (accrued_from, sent), accrued, self.accrual.lifetime);
        let mut received = accrued;
        for (left_ms, amount) in &credit.lots {
            let left = Duration::from_millis(u64::from(*left_ms)).min(self.accrual.lifetime);
            let expires = sent + left;
            let amount = if amount.is_finite() {
                amount.max(0.0)
            } else {
                0.0
            };
            received += amount;
            self.batches.add(now, Batch { expires, amount });
        }
        if let Some(zone) = zone {
            self.sources
                .record_yield(now, zone.name, received, collection.expected_amount);
        }
        true
    }
}
