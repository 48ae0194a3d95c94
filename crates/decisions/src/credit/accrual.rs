//! Rate at which the credit of a limit accrues, and its lifetime.

use std::time::Duration;

use super::GRANT_VALIDITY;

/// Rate limit of an organisation, in the unit that requests are charged in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Burst in units: unspent allowance that may be saved up.
    pub burst: f64,
}

impl Limit {
    /// Units that the limit allows within any `span`.
    pub fn allowance(&self, span: Duration) -> f64 {
        self.rate * span.as_secs_f64() + self.burst
    }
}

/// How far an organisation may exceed its limit over the span, as set by the operator.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tolerance {
    /// Fraction of the allowance over the span.
    pub part: f64,
    /// Additional amount, in the unit of the limit.
    pub fixed: f64,
}

/// Accrual of the credit of one limit over the whole fleet.
///
/// Credit that accrues within a span, or within one lifetime before it, can be spent in that span.
/// Rate and lifetime are chosen such that their product covers the burst of the limit, while no
/// span exceeds the allowance plus the tolerance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Accrual {
    /// Units per second that accrue in the whole fleet.
    pub rate: f64,
    /// Time after which an accrued unit expires.
    pub lifetime: Duration,
}

impl Accrual {
    /// Computes the accrual that enforces `limit` in every `span`, up to the tolerance.
    pub fn new(limit: Limit, span: Duration, tolerance: Tolerance) -> Self {
        let allowance = limit.allowance(span);
        let tolerated = allowance * (1.0 + tolerance.part) + tolerance.fixed;
        let usable_s = (span + GRANT_VALIDITY).as_secs_f64();
        let average_rate = allowance / span.as_secs_f64();
        let rate = average_rate
            .min((tolerated - limit.burst) / usable_s)
            .max(0.0);
        if rate <= 0.0 {
            return Self {
                rate: 0.0,
                lifetime: Duration::ZERO,
            };
        }
        let lifetime_s = (tolerated / rate - usable_s).clamp(0.0, span.as_secs_f64());
        Self {
            rate,
            lifetime: Duration::from_secs_f64(lifetime_s),
        }
    }

    /// Largest number of unexpired units at any time.
    pub fn max_stock(&self) -> f64 {
        self.rate * self.lifetime.as_secs_f64()
    }

    /// Largest number of units that can be spent in any `span`.
    pub fn max_spend(&self, span: Duration) -> f64 {
        self.rate * (span + self.lifetime + GRANT_VALIDITY).as_secs_f64()
    }
}
