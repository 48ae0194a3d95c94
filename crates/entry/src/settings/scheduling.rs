//! Settings of the optional parts of the scheduling.

use std::time::Duration;

use kingcupfield_decisions::scheduling::{
    FairOrderOptions, LoadReportOptions, SchedulingOptions, WarmUpOptions,
};
use serde::Deserialize;

use super::{SettingsError, invalid};

/// Optional parts of the scheduling; a part whose field is absent is off.
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SchedulingSettings {
    /// Order between organisations of the same rank and tier.
    pub fair_order: Option<FairOrderSettings>,
    /// Use of the load figures in responses of replicas.
    pub load_reports: Option<LoadReportSettings>,
    /// Bound on the requests at replicas that have just started or recovered.
    pub warm_up: Option<WarmUpSettings>,
}

/// Order between organisations.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FairOrderSettings {
    /// Seconds in which the recorded use of an organisation falls by half, from 0.1 to 60.
    pub half_life_s: f64,
}

/// Use of load figures.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReportSettings {
    /// Milliseconds in which the weight of a figure falls by half, from 10 to 10,000.
    pub half_life_ms: f64,
}

/// Bound on the requests at replicas that have just started or recovered.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmUpSettings {
    /// Ratio of a replica's response time to that of its peers from which it counts as slow, from 1.2
    /// to 10.
    pub slow_ratio: f64,
}

impl SchedulingSettings {
    /// The options of the dispatcher.
    pub fn options(&self) -> SchedulingOptions {
        SchedulingOptions {
            fair_order: self.fair_order.map(|s| FairOrderOptions {
                half_life: Duration::from_secs_f64(s.half_life_s),
            }),
            load_reports: self.load_reports.map(|s| LoadReportOptions {
                half_life: Duration::from_secs_f64(s.half_life_ms / 1e3),
            }),
            warm_up: self.warm_up.map(|s| WarmUpOptions {
                slow_ratio: s.slow_ratio,
            }),
        }
    }

    /// Checks the ranges of all values.
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        let fields = [
            (
                "scheduling.fair_order.half_life_s",
                self.fair_order.map(|s| s.half_life_s),
                0.1..=60.0,
            ),
            (
                "scheduling.load_reports.half_life_ms",
                self.load_reports.map(|s| s.half_life_ms),
                10.0..=10_000.0,
            ),
            (
                "scheduling.warm_up.slow_ratio",
                self.warm_up.map(|s| s.slow_ratio),
                1.2..=10.0,
            ),
        ];
        for (field, value, range) in fields {
            if let Some(value) = value.filter(|v| !range.contains(v)) {
                let (min, max) = range.into_inner();
                return invalid(field, &format!("must be from {min} to {max}, is {value}"));
            }
        }
        Ok(())
    }
}
