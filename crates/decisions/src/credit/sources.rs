//! Instances from which credit of an organisation can be collected, and estimates of how much they
//! have.

use std::time::Duration;

use tokio::time::Instant;

use super::MessageNumber;
use super::accrual::Accrual;
use super::fleet_view::{Distance, FleetView, Zone};
use super::running_time::RunningTime;
use crate::id::{InstanceAddress, NameHash};

/// Time within which a collection must be answered, indexed by [`Distance`].
const ANSWER_TIMEOUT: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(150),
    Duration::from_millis(250),
];

/// Shortest time between two collections from one instance, indexed by [`Distance`].
const MIN_COLLECT_INTERVAL: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(250),
];

/// Time in which the expected yield of a zone recovers to the full amount.
const YIELD_RECOVERY: Duration = Duration::from_secs(4);

/// Weight of one answer in the moving average of the yield of a zone.
const YIELD_SMOOTHING: f64 = 0.3;

/// State of the instance that an account needs for its decisions.
#[derive(Debug, Clone)]
pub(super) struct AccountContext<'a> {
    pub(super) fleet: &'a FleetView,
    pub(super) running_time: &'a RunningTime,
    /// Time at which this instance first knew another one.
    pub(super) others_known_since: Instant,
}

impl AccountContext<'_> {
    /// Number of zones, at least 1.
    pub(super) fn zones(&self) -> f64 {
        self.fleet.zones.len().max(1) as f64
    }

    /// Units that `time` of an instance's running time is worth in a zone of `size` instances.
    pub(super) fn worth(&self, accrual: Accrual, time: Duration, size: u32) -> f64 {
        accrual.rate * time.as_secs_f64() / (self.zones() * f64::from(size.max(1)))
    }
}

/// A collection that is not answered yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingCollection {
    number: MessageNumber,
    from: InstanceAddress,
    /// When the collection was sent.
    pub(super) sent: Instant,
    /// Units that the answer is expected to bring.
    pub(super) expected_amount: f64,
    distance: Distance,
}

impl PendingCollection {
    /// Whether an answer that arrives now still counts.
    fn is_in_time(&self, now: Instant) -> bool {
        now < self.sent + ANSWER_TIMEOUT[self.distance as usize]
    }
}

/// Measured yield of a zone: the fraction of the expected credit that it delivered.
#[derive(Debug, Clone, Copy)]
struct ZoneYield {
    zone: NameHash,
    /// Delivered fraction, from 0 to 1.
    part: f64,
    measured: Instant,
}

/// Estimated credit of an organisation in units, by location.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stock {
    /// Held by this instance, or expected from pending collections.
    pub(super) held_or_pending: f64,
    /// Not collected yet, at instances of the own zone.
    pub(super) own_zone: f64,
    /// Not collected yet, at instances of other zones.
    pub(super) other_zones: f64,
}

/// Collections of the credit of one organisation.
#[derive(Debug, Clone, Default)]
pub(super) struct Sources {
    /// When each instance was last asked; sorted by instance.
    last_asked: Vec<(InstanceAddress, Instant)>,
    collections: Vec<PendingCollection>,
    yields: Vec<ZoneYield>,
}

impl Sources {
    /// Drops collections whose answers would arrive too late.
    pub(super) fn drop_expired(&mut self, now: Instant) {
        self.collections.retain(|c| c.is_in_time(now));
    }

    /// Forgets when instances that are no longer reachable were asked.
    pub(super) fn retain_reachable(&mut self, fleet: &FleetView) {
        self.last_asked.retain(|(m, _)| fleet.is_reachable(*m));
    }

    /// Estimates where credit is, with `held` units held by this instance.
    pub(super) fn stock(
        &self,
        now: Instant,
        cx: &AccountContext<'_>,
        accrual: Accrual,
        held: f64,
    ) -> Stock {
        let pending: f64 = self.collections.iter().map(|c| c.expected_amount).sum();
        let mut stock = Stock {
            held_or_pending: held + pending,
            own_zone: 0.0,
            other_zones: 0.0,
        };
        for zone in &cx.fleet.zones {
            let yield_part = self.zone_yield(now, zone.name);
            let members = zone.members.iter();
            let amounts = members.map(|m| self.expected_amount(now, cx, accrual, zone, *m));
            let sum = amounts.sum::<f64>() * yield_part;
            match zone.distance {
                Distance::SameZone => stock.own_zone += sum,
                _ => stock.other_zones += sum,
            }
        }
        stock
    }

    /// Selects instances to collect `wanted_amount` units from: the nearest first, among equally
    /// near ones those that were asked longest ago.
    pub(super) fn choose(
        &self,
        now: Instant,
        cx: &AccountContext<'_>,
        accrual: Accrual,
        wanted_amount: f64,
    ) -> Vec<InstanceAddress> {
        let mut chosen = Vec::new();
        let mut remaining = wanted_amount;
        for zone in &cx.fleet.zones {
            let interval = MIN_COLLECT_INTERVAL[zone.distance as usize];
            let yield_part = self.zone_yield(now, zone.name);
            let members = zone.members.iter().map(|m| (self.last_asked_at(*m), *m));
            let mut members: Vec<_> = members
                .filter(|(last_asked, _)| last_asked.is_none_or(|at| at + interval <= now))
                .collect();
            members.sort_unstable();
            for (_, member) in members {
                if remaining <= 0.0 {
                    return chosen;
                }
                remaining -= self.expected_amount(now, cx, accrual, zone, member) * yield_part;
                chosen.push(member);
            }
        }
        chosen
    }

    /// Records that a collection was sent to instance `from`.
    pub(super) fn record_sent(
        &mut self,
        now: Instant,
        cx: &AccountContext<'_>,
        accrual: Accrual,
        from: InstanceAddress,
        number: MessageNumber,
    ) {
        let Some(zone) = cx.fleet.zone_of(from) else {
            return;
        };
        let yield_part = self.zone_yield(now, zone.name);
        self.collections.push(PendingCollection {
            number,
            from,
            sent: now,
            expected_amount: self.expected_amount(now, cx, accrual, zone, from) * yield_part,
            distance: zone.distance,
        });
        match self.last_asked.binary_search_by_key(&from, |(m, _)| *m) {
            Ok(i) => self.last_asked[i].1 = now,
            Err(i) => self.last_asked.insert(i, (from, now)),
        }
    }

    /// Removes and returns the collection that an answer belongs to. Returns `None` if it was
    /// answered already or the answer is too late.
    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        from: InstanceAddress,
        number: MessageNumber,
    ) -> Option<PendingCollection> {
        let answers = |c: &PendingCollection| c.number == number && c.from == from;
        let i = self.collections.iter().position(answers)?;
        let collection = self.collections.swap_remove(i);
        collection.is_in_time(now).then_some(collection)
    }

    /// Updates the yield of a zone after an answer that brought `received` of `expected_amount`
    /// units.
    pub(super) fn record_yield(
        &mut self,
        now: Instant,
        zone: NameHash,
        received: f64,
        expected_amount: f64,
    ) {
        let before = self.zone_yield(now, zone);
        if expected_amount <= 0.0 {
            return;
        }
        // The expected amount already includes the yield.
        let measured = (received / expected_amount * before).clamp(0.0, 1.0);
        let part = before + (measured - before) * YIELD_SMOOTHING;
        self.yields.retain(|y| y.zone != zone);
        self.yields.push(ZoneYield {
            zone,
            part,
            measured: now,
        });
    }

    /// Units that `member` has accrued since it was last asked, if no other instance has asked it.
    fn expected_amount(
        &self,
        now: Instant,
        cx: &AccountContext<'_>,
        accrual: Accrual,
        zone: &Zone,
        member: InstanceAddress,
    ) -> f64 {
        let accrued_since = self
            .last_asked_at(member)
            .map_or(cx.others_known_since, |at| at.max(cx.others_known_since));
        let passed = now
            .saturating_duration_since(accrued_since)
            .min(accrual.lifetime);
        cx.worth(accrual, passed, zone.size)
    }

    fn last_asked_at(&self, member: InstanceAddress) -> Option<Instant> {
        let found = self.last_asked.binary_search_by_key(&member, |(m, _)| *m);
        found.ok().map(|i| self.last_asked[i].1)
    }

    /// Fraction of the expected credit that the zone is assumed to deliver now.
    fn zone_yield(&self, now: Instant, zone: NameHash) -> f64 {
        let Some(last) = self.yields.iter().find(|y| y.zone == zone) else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(last.measured).as_secs_f64();
        let recovered = (passed / YIELD_RECOVERY.as_secs_f64()).min(1.0);
        last.part + (1.0 - last.part) * recovered
    }
}
