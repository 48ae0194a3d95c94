//! Where credit of an organisation can be collected, and how much is likely there.

use std::time::Duration;

use tokio::time::Instant;

use super::MessageNumber;
use super::accrual::Accrual;
use super::fleet_view::{Distance, FleetView, Zone};
use super::running_time::RunningTime;
use crate::id::{Member, ShortName};

/// Time that the answer to a collection may take, by distance.
const TRAVEL: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(150),
    Duration::from_millis(250),
];

/// Shortest time between two collections from one instance, by distance.
const GAP: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(100),
    Duration::from_millis(250),
];

/// Time in which a zone that gave little is expected to give again.
const YIELD_BACK: Duration = Duration::from_secs(4);

/// Weight of one answer in what a zone is expected to give.
const YIELD_WEIGHT: f64 = 0.3;

/// What an account has to know of its instance.
#[derive(Debug, Clone)]
pub(super) struct Context<'a> {
    pub(super) roster: &'a FleetView,
    pub(super) mint: &'a RunningTime,
    /// Since when others are known.
    pub(super) since: Instant,
}

impl Context<'_> {
    pub(super) fn zones(&self) -> f64 {
        self.roster.zones.len().max(1) as f64
    }

    /// Units that some running time of an instance is worth, in a zone of `size` instances.
    pub(super) fn worth(&self, pace: Accrual, time: Duration, size: u32) -> f64 {
        pace.rate * time.as_secs_f64() / (self.zones() * f64::from(size.max(1)))
    }
}

/// A collection that was not answered yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Collection {
    number: MessageNumber,
    from: Member,
    pub(super) sent: Instant,
    pub(super) expected: f64,
    distance: Distance,
}

impl Collection {
    fn is_due(&self, now: Instant) -> bool {
        now < self.sent + TRAVEL[self.distance as usize]
    }
}

/// What a zone gave of what was expected.
#[derive(Debug, Clone, Copy)]
struct Yield {
    zone: ShortName,
    part: f64,
    at: Instant,
}

/// Where credit is, in units.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stock {
    /// At hand and on its way here.
    pub(super) here: f64,
    /// Not collected yet in the own zone.
    pub(super) home: f64,
    /// Not collected yet in the other zones.
    pub(super) abroad: f64,
}

/// The instances that were asked for credit of one organisation.
#[derive(Debug, Clone, Default)]
pub(super) struct Sources {
    /// When each was asked last, by instance.
    asked: Vec<(Member, Instant)>,
    collections: Vec<Collection>,
    yields: Vec<Yield>,
}

impl Sources {
    /// Forgets collections whose answers would come too late.
    pub(super) fn forget_late(&mut self, now: Instant) {
        self.collections.retain(|c| c.is_due(now));
    }

    /// Forgets instances that are not heard any more.
    pub(super) fn keep_members(&mut self, roster: &FleetView) {
        self.asked.retain(|(m, _)| roster.has(*m));
    }

    /// Where credit is, with `level` at hand.
    pub(super) fn stock(&self, now: Instant, cx: &Context<'_>, pace: Accrual, level: f64) -> Stock {
        let on_the_way: f64 = self.collections.iter().map(|c| c.expected).sum();
        let mut stock = Stock {
            here: level + on_the_way,
            home: 0.0,
            abroad: 0.0,
        };
        for zone in &cx.roster.zones {
            let part = self.yields_of(now, zone.name);
            let members = zone.members.iter();
            let expected = members.map(|m| self.expected(now, cx, pace, zone, *m));
            let sum = expected.sum::<f64>() * part;
            match zone.distance {
                Distance::SameZone => stock.home += sum,
                _ => stock.abroad += sum,
            }
        }
        stock
    }

    /// Instances from which `wanted` units can be expected, the nearest first and of those the ones that
    /// were not asked for longest.
    pub(super) fn choose(
        &self,
        now: Instant,
        cx: &Context<'_>,
        pace: Accrual,
        wanted: f64,
    ) -> Vec<Member> {
        let mut chosen = Vec::new();
        let mut left = wanted;
        for zone in &cx.roster.zones {
            let gap = GAP[zone.distance as usize];
            let part = self.yields_of(now, zone.name);
            let members = zone.members.iter().map(|m| (self.asked_at(*m), *m));
            let mut members: Vec<_> = members
                .filter(|(asked, _)| asked.is_none_or(|at| at + gap <= now))
                .collect();
            members.sort_unstable();
            for (_, member) in members {
                if left <= 0.0 {
                    return chosen;
                }
                left -= self.expected(now, cx, pace, zone, member) * part;
                chosen.push(member);
            }
        }
        chosen
    }

    /// Notes that an instance is asked.
    pub(super) fn on_sent(
        &mut self,
        now: Instant,
        cx: &Context<'_>,
        pace: Accrual,
        from: Member,
        number: MessageNumber,
    ) {
        let Some(zone) = cx.roster.zone_of(from) else {
            return;
        };
        let part = self.yields_of(now, zone.name);
        self.collections.push(Collection {
            number,
            from,
            sent: now,
            expected: self.expected(now, cx, pace, zone, from) * part,
            distance: zone.distance,
        });
        match self.asked.binary_search_by_key(&from, |(m, _)| *m) {
            Ok(at) => self.asked[at].1 = now,
            Err(at) => self.asked.insert(at, (from, now)),
        }
    }

    /// The collection that an instance answers, if it still counts. It counts once.
    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        from: Member,
        number: MessageNumber,
    ) -> Option<Collection> {
        let is_it = |c: &Collection| c.number == number && c.from == from;
        let at = self.collections.iter().position(is_it)?;
        let collection = self.collections.swap_remove(at);
        collection.is_due(now).then_some(collection)
    }

    /// Learns from what came how much to expect of a zone.
    pub(super) fn on_yield(&mut self, now: Instant, zone: ShortName, got: f64, expected: f64) {
        let before = self.yields_of(now, zone);
        if expected <= 0.0 {
            return;
        }
        // What was expected had been multiplied by the yield already.
        let seen = (got / expected * before).clamp(0.0, 1.0);
        let part = before + (seen - before) * YIELD_WEIGHT;
        self.yields.retain(|y| y.zone != zone);
        self.yields.push(Yield {
            zone,
            part,
            at: now,
        });
    }

    /// What an instance has minted since it was asked last, if nobody else asked it.
    fn expected(
        &self,
        now: Instant,
        cx: &Context<'_>,
        pace: Accrual,
        zone: &Zone,
        member: Member,
    ) -> f64 {
        let since = self
            .asked_at(member)
            .map_or(cx.since, |at| at.max(cx.since));
        let passed = now.saturating_duration_since(since).min(pace.lifetime);
        cx.worth(pace, passed, zone.size)
    }

    fn asked_at(&self, member: Member) -> Option<Instant> {
        let found = self.asked.binary_search_by_key(&member, |(m, _)| *m);
        found.ok().map(|at| self.asked[at].1)
    }

    fn yields_of(&self, now: Instant, zone: ShortName) -> f64 {
        let Some(seen) = self.yields.iter().find(|y| y.zone == zone) else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(seen.at).as_secs_f64();
        let back = (passed / YIELD_BACK.as_secs_f64()).min(1.0);
        seen.part + (1.0 - seen.part) * back
    }
}
