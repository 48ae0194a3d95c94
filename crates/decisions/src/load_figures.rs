//! Load that a replica states about itself in its responses.

use std::ops::RangeInclusive;

/// Valid work times in percent, of replicas and in reports of other instances: work takes some time,
/// and at most a hundred times the usual one.
pub const WORK_TIME_PERCENTS: RangeInclusive<u32> = 1..=10_000;

/// Load of a replica at the moment of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadFigures {
    /// Requests that run there, from all instances.
    pub running: u32,
    /// Requests that wait there for a slot.
    pub waiting: u32,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Time that work takes there at this moment, in percent of the usual time; `None` if the
    /// replica doesn't state it.
    pub work_time_percent: Option<u32>,
}
