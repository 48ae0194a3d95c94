//! Who calls: authentication by organisation key, tier, deadline and attempt from the headers.

use std::time::Duration;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use kingcupfield_decisions::values::{Organisation, Tier};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::error::{Refusal, RefusalKind};
use crate::fleet::Snapshot;

/// Header that names the tier.
pub const TIER: &str = "kingcup-tier";
/// Header with the caller's patience in milliseconds.
pub const TIMEOUT_MS: &str = "kingcup-timeout-ms";
/// Header with the number of the caller's attempt, from 1.
pub const ATTEMPT: &str = "kingcup-attempt";

/// Patience of a caller that names none: most clients' own timeout.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest patience; a longer one is cut to this.
pub const LONGEST_TIMEOUT: Duration = Duration::from_mins(10);

/// The caller of one request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Its organisation.
    pub organisation: Organisation,
    /// The tier of the request.
    pub tier: Tier,
    /// Its patience.
    pub timeout: Duration,
    /// Number of its attempt, from 1.
    pub attempt: u32,
}

impl Caller {
    /// Authenticates the headers against the table.
    pub fn from_headers(headers: &HeaderMap, snapshot: &Snapshot) -> Result<Self, Refusal> {
        let organisation = authenticate(headers, snapshot)?.clone();
        let tier = tier(headers, snapshot, &organisation)?.clone();
        let timeout = number(headers, TIMEOUT_MS)?.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        let attempt = number(headers, ATTEMPT)?
            .unwrap_or(1)
            .clamp(1, u64::from(u32::MAX));
        Ok(Self {
            organisation,
            tier,
            timeout: timeout.min(LONGEST_TIMEOUT),
            attempt: attempt as u32,
        })
    }
}

/// Finds the organisation whose table row holds the SHA-256 of the key.
///
/// Every hash of the table is compared in constant time, so that neither the time of a match nor
/// of a near match tells anything about the keys.
pub fn authenticate<'a>(
    headers: &HeaderMap,
    snapshot: &'a Snapshot,
) -> Result<&'a Organisation, Refusal> {
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .ok_or_else(|| Refusal::new(RefusalKind::Unauthorized))?;
    let hash = hex::encode(Sha256::digest(key.trim().as_bytes()));
    snapshot
        .organisation_by_key(&hash)
        .ok_or_else(|| Refusal::new(RefusalKind::Unauthorized))
}

/// Compares two hashes in hexadecimal in constant time.
pub fn same_hash(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// The tier that the headers name, or else the highest that the organisation may use.
pub fn tier<'a>(
    headers: &HeaderMap,
    snapshot: &'a Snapshot,
    organisation: &Organisation,
) -> Result<&'a Tier, Refusal> {
    let highest = snapshot.tier(&organisation.max_tier).ok_or_else(|| {
        Refusal::new(RefusalKind::Forbidden)
            .with_message("the organisation's tier is not in the table")
    })?;
    let Some(name) = headers.get(TIER) else {
        return Ok(highest);
    };
    let name = name.to_str().unwrap_or_default();
    let wanted = snapshot.tier(name).ok_or_else(|| {
        Refusal::new(RefusalKind::BadRequest).with_message("Kingcup-Tier: no such tier")
    })?;
    if wanted.rank < highest.rank {
        let message = format!("the organisation may use tier {} and below", highest.tier);
        return Err(Refusal::new(RefusalKind::Forbidden).with_message(message));
    }
    Ok(wanted)
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value
        .to_str()
        .ok()
        .and_then(|v| v.trim().parse().ok())
        .filter(|n| *n > 0);
    number.map(Some).ok_or_else(|| {
        Refusal::new(RefusalKind::BadRequest)
            .with_message(format!("{name}: a whole number above 0 is needed"))
    })
}
