//! How often digests of an instance's state pass from one part of the fleet to another.
//!
//! Load pattern: zones of any size. Intervals that grow with a zone spare its instances messages,
//! but from some size on a live instance of another region counts as silent between two digests:
//! its load is dropped and added again, and the instances log and recompute this all the time.

use std::time::Duration;

/// Interval of digests while nothing changes, and of all digests to the other cells of a zone.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// Interval at which a relay sends digests to another zone of the region.
pub const NEAR_ZONE: Duration = Duration::from_millis(100);

/// Interval at which a relay sends digests to a zone of another region.
pub const FAR_ZONE: Duration = Duration::from_millis(400);

/// Interval at which due digests are looked for.
pub const CHECK: Duration = Duration::from_millis(100);

/// Time for which a relay collects digests of its zone, per pair of instances there: each instance
/// is both a source and a receiver.
const COLLECT_TIME_PER_PAIR: Duration = Duration::from_micros(40);

/// Shortest and longest time for which a relay collects digests of its zone.
pub const MIN_COLLECT_TIME: Duration = Duration::from_millis(4);
const MAX_COLLECT_TIME: Duration = Duration::from_millis(200);

/// Time for which a relay of a zone with this many instances collects digests.
pub fn collect_time(zone_size: usize) -> Duration {
    let size = u32::try_from(zone_size).unwrap_or(u32::MAX);
    let per_pair = COLLECT_TIME_PER_PAIR.saturating_mul(size.saturating_mul(size));
    per_pair.clamp(MIN_COLLECT_TIME, MAX_COLLECT_TIME)
}

/// Longest time between two digests of a live instance at an instance of another region, of a zone
/// of `zone_size`, if no message is lost.
pub fn max_digest_interval(zone_size: usize) -> Duration {
    HEARTBEAT + CHECK + FAR_ZONE + CHECK + collect_time(zone_size)
}
