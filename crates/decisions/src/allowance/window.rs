//! What an organisation has spent within the operator's span, as one instance sees it.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::Limit;

/// Where an instance has a part of an organisation's spending from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// It admitted the requests itself.
    Own,
    /// Another instance told.
    Heard,
}

/// What an instance takes an organisation to have spent within the operator's span, by where it has
/// that from.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spent {
    /// Admitted here.
    pub own: f64,
    /// Told by other instances.
    pub heard: f64,
    /// Before this instance started, as far as that may still be within the span.
    pub before: f64,
}

impl Spent {
    /// All of it.
    pub fn sum(&self) -> f64 {
        self.own + self.heard + self.before
    }

    fn of(&mut self, source: Source) -> &mut f64 {
        match source {
            Source::Own => &mut self.own,
            Source::Heard => &mut self.heard,
        }
    }
}

/// What an organisation has spent, anywhere, in the span over which the operator counts.
#[derive(Debug, Default)]
pub(super) struct Window {
    costs: VecDeque<(Instant, Source, f64)>,
    /// What is within the span, but for what was spent before the start.
    pub(super) spent: Spent,
}

impl Window {
    pub(super) fn push(&mut self, now: Instant, source: Source, cost: f64) {
        self.costs.push_back((now, source, cost));
        *self.spent.of(source) += cost;
    }

    /// Takes back what was counted at `charged`. Counted as a gain of now, it would outlast the cost
    /// that it cancels, and the organisation could spend it once more.
    pub(super) fn take_back(&mut self, charged: Instant, cost: f64) {
        let after = self.costs.partition_point(|(at, _, _)| *at <= charged);
        let own = |(_, source, _): &(Instant, Source, f64)| *source == Source::Own;
        if let Some(at) = self.costs.iter().take(after).rposition(own) {
            self.costs[at].2 -= cost;
            self.spent.own -= cost;
        }
    }

    /// What was spent here after `since`.
    pub(super) fn own_after(&self, since: Instant) -> f64 {
        let late = self.costs.iter().rev().take_while(|(at, _, _)| *at > since);
        let own = late.filter(|(_, source, _)| *source == Source::Own);
        own.map(|(_, _, cost)| cost).sum()
    }

    /// What was spent after `since`.
    pub(super) fn after(&self, since: Instant) -> f64 {
        let late = self.costs.iter().rev().take_while(|(at, _, _)| *at > since);
        late.map(|(_, _, cost)| cost).sum()
    }

    pub(super) fn forget(&mut self, now: Instant, span: Duration) {
        while let Some((at, source, cost)) = self.costs.front().copied() {
            if at + span > now {
                return;
            }
            self.costs.pop_front();
            *self.spent.of(source) -= cost;
        }
    }

    /// After how many seconds `excess` has left the window.
    pub(super) fn seconds_to_lose(&self, now: Instant, span: Duration, excess: f64) -> f64 {
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

/// By how much the operator bears that an organisation passes its limit over the span.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tolerance {
    /// As a part of it.
    pub part: f64,
    /// Beside that, in the unit of the limit.
    pub fixed: f64,
}

/// Part of the tolerance that a fleet gives out that was killed whole, as nobody knows what was spent
/// before. The rest is left to news that come late: each instance may have requests of which the others
/// have not heard, so a large fleet keeps more of it.
const AT_START: f64 = 0.45;
const AT_START_OF_FEW: f64 = 0.85;

/// So many instances are few.
const FEW: f64 = 8.0;

/// How much a fleet of so many instances is one of few, from 0 to 1.
pub(super) fn few(fleet: f64) -> f64 {
    (FEW / fleet.max(1.0)).min(1.0).powi(2)
}

/// What was spent before an instance started, or before it was told of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Before {
    at: Instant,
    /// What was told of it, if anybody did.
    told: Option<Told>,
    tolerance: Tolerance,
}

/// What an instance tells a started one that an organisation has spent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Told {
    /// Within the span.
    pub whole: f64,
    /// Within its later half: the rest has left the span when half of it has passed.
    pub late: f64,
}

impl Before {
    /// Nobody has told yet.
    pub(super) fn unknown(at: Instant, tolerance: Tolerance) -> Self {
        Self {
            at,
            told: None,
            tolerance,
        }
    }

    /// It was at most that.
    pub(super) fn told(at: Instant, told: Told) -> Self {
        Self {
            at,
            told: Some(told),
            tolerance: Tolerance::default(),
        }
    }

    /// How much of it may still be within the span.
    ///
    /// All of it may have been spent at the last moment, but only as fast as a limit allows: a rush, and
    /// the rate before. So what leaves the span is known though nobody saw it, and the organisations of
    /// a fleet that was killed whole need not be refused until a span has passed.
    pub(super) fn left(&self, now: Instant, limit: &Limit, span: Duration, fleet: f64) -> f64 {
        let passed = now.saturating_duration_since(self.at);
        let Some(rest) = span.checked_sub(passed).filter(|r| !r.is_zero()) else {
            return 0.0;
        };
        let whole = limit.over(span);
        let fastest = (limit.rush(span) + limit.rate * rest.as_secs_f64()).min(whole);
        match self.told {
            Some(told) if passed * 2 >= span => told.late.min(fastest),
            Some(told) => told.whole.min(fastest),
            None => {
                let borne = whole * self.tolerance.part + self.tolerance.fixed;
                let part = AT_START + (AT_START_OF_FEW - AT_START) * few(fleet);
                (fastest - borne * part).max(0.0)
            }
        }
    }
}
