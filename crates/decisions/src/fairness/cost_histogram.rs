//! Classification of costs as long, relative to recent arrivals.

/// Number of cost classes, each twice as large as the previous one; 2^40 prefill tokens exceed any
/// request.
const COST_CLASSES: usize = 40;

/// A cost is long if it is this many doublings above a common short one, i.e. eight times as large.
const LONG_DOUBLINGS: usize = 3;

/// At least one in this many recent arrivals must be short before a cost counts as long.
const MIN_SHORT_ONE_IN: u32 = 20;

/// All counts are halved when their sum reaches this number, so that only recent arrivals count.
const HALVE_AT: u32 = 512;

/// Number of recorded arrivals below which nothing counts as long.
const MIN_ARRIVALS: u32 = 20;

/// Decayed histogram of the costs of recent arrivals.
#[derive(Debug, Clone)]
pub(super) struct CostHistogram {
    counts: [u32; COST_CLASSES],
    total: u32,
}

impl CostHistogram {
    pub(super) fn new() -> Self {
        Self {
            counts: [0; COST_CLASSES],
            total: 0,
        }
    }

    /// Records the cost of an arrival.
    pub(super) fn add(&mut self, cost: u64) {
        self.counts[cost_class(cost)] += 1;
        self.total += 1;
        if self.total >= HALVE_AT {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Whether enough recent arrivals were at least eight times cheaper than `cost`.
    pub(super) fn is_long(&self, cost: u64) -> bool {
        let Some(short) = cost_class(cost).checked_sub(LONG_DOUBLINGS) else {
            return false;
        };
        let shorter: u32 = self.counts[..=short].iter().sum();
        self.total >= MIN_ARRIVALS && shorter * MIN_SHORT_ONE_IN >= self.total
    }
}

fn cost_class(cost: u64) -> usize {
    (cost.max(1).ilog2() as usize).min(COST_CLASSES - 1)
}
