//! Part of an organisation's limit that its less urgent requests leave to more urgent ones.

use super::Charge;

/// Part of the limit that a request leaves unused for each half tier by which it is less urgent
/// than the organisation's usual class.
///
/// Beyond its limit an organisation thus gets its urgent and its short requests served first. By
/// tier alone, short checks would yield to reports, although a customer waits no longer for such a
/// report than for a check.
const RESERVED_PART_PER_CLASS: f64 = 0.1;

/// Largest part of the limit that a request leaves unused.
const MAX_RESERVED_PART: f64 = 0.5;

/// Part of the burst below which a request is cheap: it leaves nothing unused and is served before
/// all other requests. An order of 200 tokens takes practically nothing from a report of 10,000.
const CHEAP_PART_OF_BURST: f64 = 0.01;

/// Part of the largest possible stock at which a request is granted even if its cost and the part
/// that it has to leave unused add up to more. Such a request could otherwise never be granted,
/// although it is within the limit over time.
const MAX_NEEDED_PART: f64 = 0.9;

/// Weight in the usual class of requests that together cost the largest possible stock.
const USUAL_CLASS_WEIGHT: f64 = 4.0;

/// Largest weight of a single request in the usual class.
const MAX_REQUEST_WEIGHT: f64 = 0.5;

/// Usual priority class of an organisation's requests.
#[derive(Debug, Clone, Default)]
pub(super) struct Precedence {
    /// Moving average of the class, weighted by cost; `None` before the first request.
    usual_class: Option<f64>,
}

impl Precedence {
    /// Adds the request to the usual class and returns the part of the limit that it leaves unused.
    /// `max_stock` is the largest stock in units that the limit can have.
    pub(super) fn update(&mut self, charge: &Charge, burst: f64, max_stock: f64) -> f64 {
        let class = f64::from(charge.priority_class);
        let part = charge.cost / max_stock.max(f64::MIN_POSITIVE);
        let weight = (part * USUAL_CLASS_WEIGHT).clamp(0.0, MAX_REQUEST_WEIGHT);
        let usual_class = self.usual_class.get_or_insert(class);
        *usual_class += (class - *usual_class) * weight;
        let classes_below = class - *usual_class;
        if is_cheap(charge.cost, burst) {
            return 0.0;
        }
        (classes_below * RESERVED_PART_PER_CLASS).clamp(0.0, MAX_RESERVED_PART)
    }
}

/// Whether a request costs only a negligible part of the burst.
pub(super) fn is_cheap(cost: f64, burst: f64) -> bool {
    cost < burst * CHEAP_PART_OF_BURST
}

/// Stock in units that must be available for a request that leaves `reserved_part` of `max_stock`
/// unused.
pub(super) fn needed_stock(cost: f64, reserved_part: f64, max_stock: f64) -> f64 {
    (cost + reserved_part * max_stock).min((max_stock * MAX_NEEDED_PART).max(cost))
}
