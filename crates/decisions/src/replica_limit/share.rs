//! The part of a replica's limit that one instance may use.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{InstanceAddress, UpstreamId};

/// Shortest window in which requests are counted: the operators' span of four seconds, and half a
/// second by which requests may take longer to arrive than others.
pub const MIN_WINDOW: Duration = Duration::from_millis(4500);

/// Longest window, for limits below one request within it. A replica that accepts nothing gets one
/// request in it all the same: only a response can tell that the limit has ended.
pub const MAX_WINDOW: Duration = Duration::from_secs(30);

/// The operators' span in seconds, in which they count the requests to a limited replica.
const TOLERATED_SPAN_S: f64 = 4.0;

/// Factor by which the operators tolerate more than the limit.
const TOLERATED_FACTOR: f64 = 1.5;

/// Requests that they tolerate beyond that in one span.
const TOLERATED_EXTRA: f64 = 5.0;

/// Parts of the fleet that may use the limit without knowing of each other: the two sides of a
/// partition, if instances have started behind it.
const MAX_UNKNOWN_PARTS: f64 = 2.0;

/// Window in which the requests under a limit are counted.
pub fn window(per_s: f64) -> Duration {
    let one_request = Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(MAX_WINDOW);
    one_request.clamp(MIN_WINDOW, MAX_WINDOW)
}

/// Requests that all instances that know each other may send in any [`window`].
pub fn quota(per_s: f64) -> u32 {
    let named = per_s * window(per_s).as_secs_f64();
    let tolerated = per_s * TOLERATED_SPAN_S * TOLERATED_FACTOR + TOLERATED_EXTRA;
    (named.min(tolerated / MAX_UNKNOWN_PARTS) as u32).max(1)
}

/// Place of an instance in the order in which the instances share the limit of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Number of instances before this one.
    rank: u32,
    /// Number of all instances.
    members: u32,
}

impl Position {
    /// Finds the position of `own` among the members of the fleet, by rendezvous hashing, so that
    /// different replicas are shared in different orders. `None` if it is no member.
    pub fn of(
        own: InstanceAddress,
        members: &[InstanceAddress],
        replica: &UpstreamId,
    ) -> Option<Self> {
        if !members.contains(&own) {
            return None;
        }
        let key = |address: InstanceAddress| {
            let hash = xxh3_64_with_seed(replica.as_bytes(), u64::from(address));
            (hash, address)
        };
        let own_key = key(own);
        let before = members.iter().filter(|m| key(**m) < own_key).count();
        Some(Self {
            rank: before as u32,
            members: members.len() as u32,
        })
    }

    /// Requests of a quota that belong to the instance. The shares of all positions add up to the
    /// quota; where it is smaller than the fleet, the first ones have one each.
    pub fn share(self, quota: u32) -> u32 {
        quota.saturating_sub(self.rank).div_ceil(self.members)
    }

    /// A position whose share is no larger than that of either one, for any quota.
    pub fn worse(self, other: Self) -> Self {
        Self {
            rank: self.rank.max(other.rank),
            members: self.members.max(other.members),
        }
    }
}
