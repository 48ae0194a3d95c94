//! Rate and concurrency limits of organisations, leased by owners to entry instances by demand.
//!
//! Load pattern: an organisation sends through every instance at once, or through one alone.
//! Without leases there are two ways to enforce its limit. If each instance counts only the
//! requests that it receives, the organisation gets its limit once per instance. If each instance
//! gets a fixed fraction, an organisation whose connections all end at one of seven instances gets
//! a seventh of its limit.
//!
//! The owner side, [`LimitOwner`], manages the limit of one organisation in one zone. It leases
//! [`Quota`]s whose sum never exceeds the zone's share. The instance side, [`LimitMember`], admits
//! requests within its leased quota.

mod member;
mod owner;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::{OrganisationId, Sequence};

pub use member::{LimitMember, LimitReached, MAX_ORGANISATIONS};
pub use owner::LimitOwner;

/// How long an instance may use a leased quota, by its own clock, starting from when it asked.
///
/// The sum of the quotas may exceed the limit for this long after a change of owner, so the lease
/// is short. Each active organisation costs an instance one message per [`ASK_INTERVAL`].
pub const QUOTA_LEASE: Duration = Duration::from_secs(3);

/// How often an instance asks for a quota of an organisation that is active there.
pub const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// If an ask is not answered within this time, the owner is unreachable, dead or paused.
pub const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Depth of the token buckets, as the time over which unspent rate is saved: a burst of one second
/// passes.
pub const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Limits of one organisation over some part of the fleet; `None` means unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second.
    pub requests_per_s: Option<f64>,
    /// Tokens per second, of prompts and answers.
    pub tokens_per_s: Option<f64>,
    /// Concurrent requests: admitted and unfinished.
    pub running: Option<u32>,
}

impl Quota {
    /// Whether none of the three is limited.
    pub fn is_unlimited(&self) -> bool {
        self.requests_per_s.is_none() && self.tokens_per_s.is_none() && self.running.is_none()
    }

    /// Share number `index` of `count` equal shares. A remainder of running requests goes to the
    /// first shares, one each, so that the sum is exact.
    pub fn share(&self, index: u32, count: u32) -> Self {
        let count = count.max(1);
        let equal = |rate: f64| rate / f64::from(count);
        let integral = |n: u32| n / count + u32::from(index < n % count);
        Self {
            requests_per_s: self.requests_per_s.map(equal),
            tokens_per_s: self.tokens_per_s.map(equal),
            running: self.running.map(integral),
        }
    }
}

/// Position of a zone among the zones of the fleet, which share the fleet's limits equally.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneShare {
    /// Index of the zone, from 0.
    pub zone: u32,
    /// Number of zones.
    pub zones: u32,
}

impl ZoneShare {
    /// Position of the zone in a fleet of one zone.
    pub const SINGLE_ZONE: Self = Self { zone: 0, zones: 1 };

    /// The zone's share of the fleet-wide `limit` of an organisation.
    ///
    /// Which zones get the remainder of running requests depends on the organisation. If shares
    /// were rounded down instead, an organisation with a limit below one running request per zone
    /// would never be served.
    pub fn zone_quota(self, organisation: &OrganisationId, limit: &Quota) -> Quota {
        let first = xxh3_64(organisation.as_bytes()) % u64::from(self.zones.max(1));
        let index = (u64::from(self.zone) + first) % u64::from(self.zones.max(1));
        limit.share(index as u32, self.zones)
    }
}

/// Load that an instance's callers offer, including requests that were not admitted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests per second, smoothed.
    pub requests_per_s: f64,
    /// Tokens per second, smoothed.
    pub tokens_per_s: f64,
    /// Running requests, and requests refused since the last ask because too many run.
    pub running: u32,
}

/// Message from an instance to the owner of an organisation's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToLimitOwner {
    /// Asks for a quota, which replaces the one that the instance has.
    Ask {
        /// The organisation.
        organisation: OrganisationId,
        /// Number of the ask; increases with each ask.
        asked: Sequence,
        /// Load that the instance's callers offer.
        demand: Demand,
        /// Quota that the instance may use now; a new owner learns it from here.
        holds: Quota,
    },
}

/// Message from the owner of an organisation's limit to an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToLimitMember {
    /// Leases a quota for [`QUOTA_LEASE`], which replaces the previous one.
    Lease {
        /// The organisation.
        organisation: OrganisationId,
        /// Number of the answered ask.
        asked: Sequence,
        /// The leased quota.
        quota: Quota,
    },
}
