//! Rate and concurrency limits of organisations, leased by owners to entry instances by demand.
//!
//! Load pattern: an organisation that sends through every instance at once, or through one alone.
//! Without leases an instance either counts only what it sees, and the organisation gets its
//! limit once for each instance, or it gets a fixed fraction, and an organisation whose
//! connections end at one instance gets a seventh of what was agreed.
//!
//! The owner side [`LimitOwner`] keeps one organisation and hands out [`Quota`]s whose sum never
//! passes the zone's share; [`LimitMember`] spends them at one instance.

mod member;
mod owner;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::{OrganisationId, Sequence};

pub use member::{LimitMember, LimitReached, MAX_ORGANISATIONS};
pub use owner::LimitOwner;

/// How long an instance may spend a leased quota, by its own clock, from when it asked.
///
/// The sum may pass the limit for this long after a change of owner, so it is kept short; each
/// active organisation costs an instance one message in [`ASK_INTERVAL`].
pub const QUOTA_LEASE: Duration = Duration::from_secs(3);

/// How often an instance asks for an organisation that is active there.
pub const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// An ask without an answer for this long means that the owner is cut off, dead or paused.
pub const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Unspent rate is kept for this long, so that a burst of a second passes.
pub const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Limits of one organisation over some part of the fleet; nothing means no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Tokens a second, of prompts and answers.
    pub tokens_per_s: Option<f64>,
    /// Requests admitted and unfinished.
    pub running: Option<u32>,
}

impl Quota {
    /// Whether nothing is limited.
    pub fn is_unlimited(&self) -> bool {
        self.requests_per_s.is_none() && self.tokens_per_s.is_none() && self.running.is_none()
    }

    /// The part `part` of `parts` equal parts; running requests that do not divide go to the
    /// first parts, so that the sum is exact.
    pub fn share(&self, part: u32, parts: u32) -> Self {
        let parts = parts.max(1);
        let equal = |rate: f64| rate / f64::from(parts);
        let whole = |n: u32| n / parts + u32::from(part < n % parts);
        Self {
            requests_per_s: self.requests_per_s.map(equal),
            tokens_per_s: self.tokens_per_s.map(equal),
            running: self.running.map(whole),
        }
    }
}

/// A zone's place among the zones of the fleet, by which the fleet's limits are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneShare {
    /// Position of the zone among the zones, from 0.
    pub zone: u32,
    /// Number of zones.
    pub zones: u32,
}

impl ZoneShare {
    /// The only zone.
    pub const SINGLE_ZONE: Self = Self { zone: 0, zones: 1 };

    /// The part of an organisation's `limit` that the zone has.
    ///
    /// Running requests that do not divide go to other zones for each organisation. Rounded down
    /// instead, an organisation with fewer than one for each zone would never be served at all.
    pub fn zone_quota(self, organisation: &OrganisationId, limit: &Quota) -> Quota {
        let first = xxh3_64(organisation.as_bytes()) % u64::from(self.zones.max(1));
        let part = (u64::from(self.zone) + first) % u64::from(self.zones.max(1));
        limit.share(part as u32, self.zones)
    }
}

/// What an instance's callers ask for, whether or not it was admitted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second, smoothed.
    pub requests_per_s: f64,
    /// Tokens a second, smoothed.
    pub tokens_per_s: f64,
    /// Requests that run, and those lately refused because too many run.
    pub running: u32,
}

/// Message from an instance to the owner of an organisation's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToLimitOwner {
    /// Asks for a quota; the instance gives up what it does not get again.
    Ask {
        /// The organisation.
        organisation: OrganisationId,
        /// Number of the ask; it only grows.
        asked: Sequence,
        /// What the instance's callers ask for.
        demand: Demand,
        /// What the instance may spend now, so that a new owner learns it.
        holds: Quota,
    },
}

/// Message from the owner of an organisation's limit to an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ToLimitMember {
    /// The quota that replaces the former one for [`QUOTA_LEASE`].
    Lease {
        /// The organisation.
        organisation: OrganisationId,
        /// The ask that this answers.
        asked: Sequence,
        /// What may be spent.
        quota: Quota,
    },
}
