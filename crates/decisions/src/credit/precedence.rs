//! What a request leaves of its organisation's limit for more urgent ones.

use super::Charge;

/// What a request leaves of the limit for each half of a tier by which it stands behind what its
/// organisation usually sends: beyond its limit an organisation gets its urgent and its short
/// requests first. By the tier alone short checks would yield to reports that a customer waits for no
/// longer than for them.
const KEPT_BY_CLASS: f64 = 0.1;

/// The most that a request leaves.
const MOST_KEPT: f64 = 0.5;

/// Part of the burst below which a request is so cheap that it leaves nothing and waits for nobody: an
/// order of 200 tokens takes nothing from a report of 10,000.
const CHEAP: f64 = 0.01;

/// A request that needs more than this part of the limit, with what it leaves, passes once that much is
/// free; else it never would, though it is within the limit over time.
const ENOUGH: f64 = 0.9;

/// Weight of a whole limit's worth of requests in the usual class.
const USUAL_WEIGHT: f64 = 4.0;

/// The most that one request weighs in it.
const MOST_WEIGHT: f64 = 0.5;

/// What an organisation usually asks for.
#[derive(Debug, Clone, Default)]
pub(super) struct Precedence {
    /// Mean class, by cost.
    usual: Option<f64>,
}

impl Precedence {
    /// Notes the class of a request, and returns the part of the limit that it leaves to others.
    pub(super) fn kept(&mut self, charge: &Charge, burst: f64, depth: f64) -> f64 {
        let class = f64::from(charge.priority_class);
        let part = charge.cost / depth.max(f64::MIN_POSITIVE);
        let weight = (part * USUAL_WEIGHT).clamp(0.0, MOST_WEIGHT);
        let usual = self.usual.get_or_insert(class);
        *usual += (class - *usual) * weight;
        let behind = class - *usual;
        if is_cheap(charge.cost, burst) {
            return 0.0;
        }
        (behind * KEPT_BY_CLASS).clamp(0.0, MOST_KEPT)
    }
}

/// Whether a request takes next to nothing of a limit with such a burst.
pub(super) fn is_cheap(cost: f64, burst: f64) -> bool {
    cost < burst * CHEAP
}

/// Units that have to be there for a request that leaves a part to others.
pub(super) fn needed(cost: f64, kept: f64, depth: f64) -> f64 {
    (cost + kept * depth).min((depth * ENOUGH).max(cost))
}
