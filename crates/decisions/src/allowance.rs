//! Limits of organisations over the fleet, from what each instance says that it has spent.
//!
//! Load pattern: one organisation that sends many times its usual through all instances at once.
//! Without counts of the others each instance would admit the whole limit; with a fixed part an
//! organisation whose connections end at one instance would be refused far below its limit.
//!
//! Each instance keeps the whole bucket and takes from it what it spends and what the others
//! report. While some are silent they may be cut off and spending, so only the part of those that
//! are heard is filled in: each side of a cut keeps to its share, and the sum stays at the limit.

use tokio::time::Instant;

use crate::id::OrganisationId;

/// A limit of an organisation, in the unit that it is charged in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units that may be saved up.
    pub burst: f64,
}

/// The part of the burst that a new bucket holds: what was spent before a start is not known. The
/// instances of a fleet that starts at once hear each other within some tenths of a second.
const FIRST_PART: f64 = 0.6;

/// What a request leaves in the bucket for each more urgent tier: an organisation beyond its limit
/// gets its urgent work done first, as at a replica that is full.
const KEPT_BY_TIER: f64 = 0.25;

/// Tiers for which something is kept.
const MOST_TIERS: u32 = 3;

/// Part of the bucket below which a request is so cheap that nothing is kept from it.
const CHEAP: f64 = 0.01;

/// How many seconds of the rate a bucket may lie in debt by late reports of the others: the span
/// over which the users count, so that what was spent too much at first is made up for in it.
const MOST_DEBT_S: f64 = 8.0;

#[derive(Debug)]
struct Bucket {
    organisation: OrganisationId,
    limit: Limit,
    level: f64,
    at: Instant,
    spent: f64,
}

impl Bucket {
    fn fill(&mut self, now: Instant, part: f64) {
        let seconds = now.saturating_duration_since(self.at).as_secs_f64();
        let top = self.limit.burst.max(self.limit.rate) * part;
        self.at = now;
        if self.level < top {
            self.level = (self.level + seconds * self.limit.rate * part).min(top);
        }
    }
}

/// The buckets of all organisations at one instance.
#[derive(Debug, Default)]
pub struct Allowances {
    buckets: Vec<Bucket>,
}

impl Allowances {
    /// Knows no organisation yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes `cost` units of the organisation, or says after how many seconds they are there.
    ///
    /// `part` is the share of the known instances that are heard now, from 0 to 1; `tier` is 0 for
    /// the most urgent requests.
    pub fn take(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        limit: Limit,
        part: f64,
        tier: u32,
        cost: f64,
    ) -> Result<(), f64> {
        let bucket = self.bucket(now, organisation, limit);
        bucket.fill(now, part);
        // A request larger than the whole bucket would never pass, though it is within the rate
        // over time: it passes once the bucket is full and leaves it in debt.
        let top = limit.burst.max(limit.rate) * part;
        let kept = if cost < top * CHEAP {
            0.0
        } else {
            top * KEPT_BY_TIER * f64::from(tier.min(MOST_TIERS))
        };
        let wanted = cost.min(top * 0.9 - kept) + kept;
        if bucket.level < wanted {
            return Err((wanted - bucket.level) / (limit.rate * part).max(f64::MIN_POSITIVE));
        }
        bucket.level -= cost;
        bucket.spent += cost;
        Ok(())
    }

    /// Gives back what a request was charged that never ran.
    pub fn give_back(&mut self, organisation: &OrganisationId, cost: f64) {
        if let Some(bucket) = self.find(organisation) {
            bucket.level += cost;
            bucket.spent -= cost;
        }
    }

    /// Takes off what another instance has spent since its last report.
    pub fn on_spent_elsewhere(&mut self, organisation: &OrganisationId, cost: f64) {
        if let Some(bucket) = self.find(organisation) {
            let debt = -bucket.limit.rate * MOST_DEBT_S;
            bucket.level = (bucket.level - cost).max(debt.min(bucket.level));
        }
    }

    /// Takes a peer's word on what is left, at an instance that started just now.
    ///
    /// Without it each instance of a rolling restart would begin with a full bucket, and an
    /// organisation far beyond its limit would spend it once more at each.
    pub fn adopt(&mut self, now: Instant, organisation: &OrganisationId, limit: Limit, level: f64) {
        let bucket = self.bucket(now, organisation, limit);
        bucket.level = bucket.level.min(level);
    }

    /// What is left of each organisation's limit, as this instance sees it.
    pub fn levels(&self) -> impl Iterator<Item = (&OrganisationId, f64)> {
        self.buckets.iter().map(|b| (&b.organisation, b.level))
    }

    /// What is left of one organisation's limit, as this instance sees it.
    pub fn level(&self, organisation: &OrganisationId) -> f64 {
        let found = self
            .buckets
            .binary_search_by(|b| b.organisation.cmp(organisation));
        found.map_or(0.0, |at| self.buckets[at].level)
    }

    /// What this instance has spent of each organisation since it started.
    pub fn spent(&self) -> impl Iterator<Item = (&OrganisationId, f64)> {
        self.buckets.iter().map(|b| (&b.organisation, b.spent))
    }

    fn find(&mut self, organisation: &OrganisationId) -> Option<&mut Bucket> {
        let at = self
            .buckets
            .binary_search_by(|b| b.organisation.cmp(organisation))
            .ok()?;
        Some(&mut self.buckets[at])
    }

    fn bucket(&mut self, now: Instant, organisation: &OrganisationId, limit: Limit) -> &mut Bucket {
        let found = self
            .buckets
            .binary_search_by(|b| b.organisation.cmp(organisation));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let bucket = Bucket {
                    organisation: organisation.clone(),
                    limit,
                    level: limit.burst.max(limit.rate) * FIRST_PART,
                    at: now,
                    spent: 0.0,
                };
                self.buckets.insert(at, bucket);
                at
            }
        };
        let bucket = &mut self.buckets[at];
        bucket.limit = limit;
        let top = limit.burst.max(limit.rate);
        bucket.level = bucket.level.min(top);
        bucket
    }
}
