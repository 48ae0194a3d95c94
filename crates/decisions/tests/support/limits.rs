//! Limits and requests that tests of limits go by.

use std::time::Duration;

use kingcupfield_decisions::credit::{Limit, Tolerance};
use kingcupfield_decisions::id::NameHash;
use rand::{Rng, RngExt as _};

/// Span over which the operator counts.
pub const SPAN: Duration = Duration::from_secs(8);

/// What the operator tolerates beyond a limit.
pub const TOLERANCE: Tolerance = Tolerance {
    part: 0.25,
    fixed: 190_000.0,
};

/// A limit of which the largest requests are a tenth, over the span.
pub const SMALL: Limit = Limit {
    rate: 47_000.0,
    burst: 65_000.0,
};

/// A limit of a hundred requests and more, over the span.
pub const LARGE: Limit = Limit {
    rate: 350_000.0,
    burst: 490_000.0,
};

/// Whose limit it is.
pub const ORGANISATION: NameHash = 7;

/// Largest request, in tokens.
const LARGEST: f64 = 40_000.0;

/// What may be spent in a span.
pub fn allowed(limit: Limit) -> f64 {
    let counted = limit.rate * SPAN.as_secs_f64() + limit.burst;
    counted * (1.0 + TOLERANCE.part) + TOLERANCE.fixed
}

/// Requests are mostly small; a few are ten times as large.
pub fn cost<R>(rng: &mut R) -> f64
where
    R: Rng,
{
    let spread: f64 = rng.random_range(0.0..1.0);
    (800.0 * (spread * 4.0).exp()).min(LARGEST)
}
