//! Optional parts of the scheduling that a deployment's settings switch on.

use std::time::Duration;

/// Options of the dispatcher; a part whose option is `None` is off.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SchedulingOptions {
    /// Order between organisations of the same rank and tier.
    pub fair_order: Option<FairOrderOptions>,
    /// Use of the load figures in responses of replicas.
    pub load_reports: Option<LoadReportOptions>,
    /// Bound on the requests at replicas that have just started or recovered.
    pub warm_up: Option<WarmUpOptions>,
}

/// Options of the order between organisations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairOrderOptions {
    /// Time in which the recorded use of an organisation falls by half.
    pub half_life: Duration,
}

/// Options of the use of load figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReportOptions {
    /// Time in which the weight of a figure falls by half.
    pub half_life: Duration,
}

/// Options of the bound on requests at replicas that have just started or recovered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpOptions {
    /// Ratio of a replica's response time to that of its peers from which it counts as slow.
    pub slow_ratio: f64,
}
