//! How fast credit of a limit is minted, and how long it lives.

use std::time::Duration;

use super::GRANT_VALIDITY;

/// A limit of an organisation, in the unit that it is charged in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units that may be saved up.
    pub burst: f64,
}

impl Limit {
    /// Units that may be spent in a span.
    pub fn allowance(&self, span: Duration) -> f64 {
        self.rate * span.as_secs_f64() + self.burst
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

/// Credit of one limit over the whole fleet.
///
/// What is minted in a span and the lives before it may be spent in that span. So rate and life are
/// chosen such that their product holds the limit's burst and no span passes what is tolerated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Accrual {
    /// Units that the fleet mints in a second.
    pub rate: f64,
    /// Time after which a unit is worthless.
    pub lifetime: Duration,
}

impl Accrual {
    /// Credit by which a limit holds in every span, with what is tolerated.
    pub fn new(limit: Limit, span: Duration, tolerance: Tolerance) -> Self {
        let counted = limit.allowance(span);
        let tolerated = counted * (1.0 + tolerance.part) + tolerance.fixed;
        let in_use = (span + GRANT_VALIDITY).as_secs_f64();
        let even = counted / span.as_secs_f64();
        let rate = even.min((tolerated - limit.burst) / in_use).max(0.0);
        if rate <= 0.0 {
            return Self {
                rate: 0.0,
                lifetime: Duration::ZERO,
            };
        }
        let life = (tolerated / rate - in_use).clamp(0.0, span.as_secs_f64());
        Self {
            rate,
            lifetime: Duration::from_secs_f64(life),
        }
    }

    /// The most credit that there is at any time.
    pub fn max_stock(&self) -> f64 {
        self.rate * self.lifetime.as_secs_f64()
    }

    /// The most that is spent in any span.
    pub fn max_spend(&self, span: Duration) -> f64 {
        self.rate * (span + self.lifetime + GRANT_VALIDITY).as_secs_f64()
    }
}
