//! Limits and request costs for tests of limits.

use std::time::Duration;

use kingcupfield_decisions::credit::{Limit, Tolerance};
use kingcupfield_decisions::id::NameHash;
use rand::{Rng, RngExt as _};

/// Span over which the operator counts usage.
pub const SPAN: Duration = Duration::from_secs(8);

/// How far the operator lets usage exceed a limit.
pub const TOLERANCE: Tolerance = Tolerance {
    part: 0.25,
    fixed: 190_000.0,
};

/// A limit whose allowance over the span is about ten times the largest request.
pub const SMALL: Limit = Limit {
    rate: 47_000.0,
    burst: 65_000.0,
};

/// A limit that allows a hundred requests and more over the span.
pub const LARGE: Limit = Limit {
    rate: 350_000.0,
    burst: 490_000.0,
};

/// Organisation that the limits apply to.
pub const ORGANISATION: NameHash = 7;

/// Largest request, in tokens.
const MAX_COST: f64 = 40_000.0;

/// Units that may be spent in a span, tolerance included.
pub fn allowed(limit: Limit) -> f64 {
    let allowance = limit.rate * SPAN.as_secs_f64() + limit.burst;
    allowance * (1.0 + TOLERANCE.part) + TOLERANCE.fixed
}

/// Random cost of a request: most are small, a few are ten times as large.
pub fn cost<R>(rng: &mut R) -> f64
where
    R: Rng,
{
    let position: f64 = rng.random_range(0.0..1.0);
    (800.0 * (position * 4.0).exp()).min(MAX_COST)
}
