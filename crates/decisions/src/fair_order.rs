//! Order between organisations of the same rank and tier class, by their recent usage.
//!
//! Load pattern: one organisation sends many times its usual demand, within its limit, while fifteen
//! others send little. In order of arrival the others would be late in the same proportion.
//!
//! Usage is the work sent to replicas through all instances, with exponential decay. It is divided by
//! the organisation's share and quantised, so that small differences don't change the order and the
//! instances rarely disagree on it. Each instance counts its own usage exactly and receives that of the
//! others once a second; an old report goes on decaying.

use std::f64::consts::LN_2;
use std::time::Duration;

use tokio::time::Instant;

use crate::dispatch::PriorityClass;
use crate::id::{InstanceAddress, NameHash};

/// Quantised usage relative to share; the lowest goes first.
pub type UsageStep = u8;

/// Work of a prompt token, in units of usage, is 1; this is the work of an output token.
pub const OUTPUT_TOKEN_WORK: f64 = 10.0;

/// Largest number of organisations that an instance reports to the others.
pub const MAX_REPORTED: usize = 32;

/// Fleet size from which an instance reports fewer organisations, so that the bytes that each instance
/// receives stop growing: 118 instances x 32 entries x 11 bytes are 0.33 Mbit/s.
const FULL_REPORT_INSTANCES: usize = 118;

/// Fewest organisations that an instance of a large fleet reports.
const MIN_REPORTED: usize = 4;

/// Steps for each doubling of usage relative to share.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// Step of an organisation whose usage equals its share; 24 steps below it usage counts as none.
const STEP_AT_SHARE: f64 = 24.0;

/// Largest step, which fits into [`STEP_BITS`].
pub const MAX_STEP: UsageStep = (1 << STEP_BITS) - 1;

/// Bits of the step in a reported class.
const STEP_BITS: u32 = 7;

/// Set in the second number of a class that contains a step.
const STEP_FLAG: u32 = 1 << 31;

/// Largest tier class beside a step.
const MAX_TIER_CLASS: u32 = (STEP_FLAG >> STEP_BITS) - 1;

/// Half-lives after which amounts are converted to a new reference time. They grow by a factor of two
/// for each half-life since the reference time, so that this keeps them well within the range of `f64`.
const MAX_REFERENCE_AGE: f64 = 20.0;

/// Decayed amounts below this, in units of work, are dropped at a conversion.
const NEGLIGIBLE_AMOUNT: f64 = 1e-3;

/// Largest believable usage in a report, in units of work per second: a thousand replicas that process
/// a million units per second each.
const MAX_REPORTED_USAGE: f32 = 1e9;

/// Interval at which the steps of waiting requests are computed again. By decay alone a step falls in
/// half a half-life, which is 50 ms or more.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// What a request counts for its organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobUsage {
    /// Name hash of the organisation.
    pub organisation: NameHash,
    /// Share of the organisation, in units of work per second.
    pub share: f64,
    /// Work of the request: prompt tokens and [`OUTPUT_TOKEN_WORK`] for each expected output token.
    pub work: f64,
}

/// Usage of an organisation at one moment, and the step that follows from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Usage through all instances, in units of work per second.
    pub usage_per_s: f64,
    /// Share of the organisation, in units of work per second.
    pub share: f64,
    /// Step of the organisation.
    pub step: UsageStep,
}

/// Amounts of work of one organisation, relative to the reference time.
#[derive(Debug, Clone, Copy)]
struct Amounts {
    organisation: NameHash,
    /// Work sent by this instance.
    own: f64,
    /// Work sent by all instances.
    total: f64,
}

/// What another instance reported last.
#[derive(Debug)]
struct PeerReport {
    address: InstanceAddress,
    /// Organisations, and their work relative to the reference time.
    amounts: Vec<(NameHash, f64)>,
}

/// Usage of the organisations. It records nothing while it has no half-life.
#[derive(Debug, Default)]
pub struct FairOrder {
    half_life: Option<Duration>,
    /// Time to which amounts refer: one that was added later is larger by a factor of two for each
    /// half-life between, so that all of them decay without being touched.
    reference: Option<Instant>,
    /// Sorted by organisation.
    organisations: Vec<Amounts>,
    /// Sorted by address.
    peers: Vec<PeerReport>,
    /// When the steps of the waiting requests were last computed.
    steps_at: Option<Instant>,
}

impl FairOrder {
    /// Sets the half-life of usage, `None` to switch the order off. A change forgets all usage.
    pub fn set_half_life(&mut self, half_life: Option<Duration>) {
        if self.half_life != half_life {
            *self = Self {
                half_life,
                ..Self::default()
            };
        }
    }

    /// Whether the order is on.
    pub fn is_on(&self) -> bool {
        self.half_life.is_some()
    }

    /// Records that a request of this instance is sent to a replica.
    pub fn record(&mut self, now: Instant, usage: &JobUsage) {
        let Some(weight) = self.advance(now) else {
            return;
        };
        let amounts = self.amounts_mut(usage.organisation);
        amounts.own += usage.work * weight;
        amounts.total += usage.work * weight;
    }

    /// Usage and step of the request's organisation; `None` while the order is off.
    pub fn standing(&self, now: Instant, usage: &JobUsage) -> Option<Standing> {
        let per_amount = self.usage_per_amount(now)?;
        let usage_per_s = self.find(usage.organisation).map_or(0.0, |a| a.total) * per_amount;
        Some(Standing {
            usage_per_s,
            share: usage.share,
            step: step_of(usage_per_s / usage.share),
        })
    }

    /// The organisations with the most usage through this instance, which it reports to the others of
    /// `instances` in all.
    pub fn own_usage(&self, now: Instant, instances: usize) -> Vec<(NameHash, f32)> {
        let Some(per_amount) = self.usage_per_amount(now) else {
            return Vec::new();
        };
        let used = self.organisations.iter();
        let used = used.map(|a| (a.organisation, (a.own * per_amount) as f32));
        let mut used: Vec<(NameHash, f32)> = used.filter(|(_, usage)| *usage > 0.0).collect();
        let count = reported_count(instances);
        if used.len() > count {
            used.select_nth_unstable_by(count, |a, b| b.1.total_cmp(&a.1));
            used.truncate(count);
        }
        used.sort_unstable_by_key(|(organisation, _)| *organisation);
        used
    }

    /// Replaces what another instance reported. An empty report changes nothing: most messages contain
    /// none.
    pub fn on_peer_usage(
        &mut self,
        now: Instant,
        address: InstanceAddress,
        usage: &[(NameHash, f32)],
    ) {
        if usage.is_empty() || self.advance(now).is_none() {
            return;
        }
        let Some(per_amount) = self.usage_per_amount(now) else {
            return;
        };
        self.remove_peer(address);
        let valid = usage.iter().filter(|(_, u)| u.is_finite() && *u > 0.0);
        let amounts: Vec<(NameHash, f64)> = valid
            .take(MAX_REPORTED)
            .map(|(name, u)| (*name, f64::from(u.min(MAX_REPORTED_USAGE)) / per_amount))
            .collect();
        for (organisation, amount) in &amounts {
            self.amounts_mut(*organisation).total += amount;
        }
        let at = self.peers.partition_point(|p| p.address < address);
        self.peers.insert(at, PeerReport { address, amounts });
    }

    /// Removes what another instance reported.
    pub fn remove_peer(&mut self, address: InstanceAddress) {
        let Ok(index) = self.peers.binary_search_by_key(&address, |p| p.address) else {
            return;
        };
        let report = self.peers.remove(index);
        for (organisation, amount) in report.amounts {
            let amounts = self.amounts_mut(organisation);
            // Rounding may leave a little less than the own part.
            amounts.total = (amounts.total - amount).max(amounts.own);
        }
    }

    /// Usage of all organisations through all instances, in units of work per second.
    pub fn usage(&self, now: Instant) -> impl Iterator<Item = (NameHash, f64)> {
        let per_amount = self.usage_per_amount(now).unwrap_or_default();
        let organisations = self.organisations.iter();
        organisations.map(move |a| (a.organisation, a.total * per_amount))
    }

    /// Whether the steps of the waiting requests need not be computed again now.
    pub fn are_steps_fresh(&self, now: Instant) -> bool {
        self.steps_at
            .is_some_and(|at| now.saturating_duration_since(at) < STEP_INTERVAL)
    }

    /// Records that the steps of all waiting requests have been computed.
    pub fn set_steps_fresh(&mut self, now: Instant) {
        self.steps_at = Some(now);
    }

    fn find(&self, organisation: NameHash) -> Option<&Amounts> {
        let found = self
            .organisations
            .binary_search_by_key(&organisation, |a| a.organisation);
        Some(&self.organisations[found.ok()?])
    }

    /// Amounts of an organisation, created if absent.
    fn amounts_mut(&mut self, organisation: NameHash) -> &mut Amounts {
        let found = self
            .organisations
            .binary_search_by_key(&organisation, |a| a.organisation);
        let index = found.unwrap_or_else(|index| {
            let amounts = Amounts {
                organisation,
                own: 0.0,
                total: 0.0,
            };
            self.organisations.insert(index, amounts);
            index
        });
        &mut self.organisations[index]
    }

    /// Half-lives since the reference time; `None` while the order is off.
    fn reference_age(&self, now: Instant) -> Option<f64> {
        let half_life = self.half_life?;
        let age = self.reference.map_or(Duration::ZERO, |reference| {
            now.saturating_duration_since(reference)
        });
        Some(age.as_secs_f64() / half_life.as_secs_f64())
    }

    /// Factor from an amount to usage per second at `now`. With constant usage, the decayed sum of all
    /// work is usage x half-life / ln 2.
    fn usage_per_amount(&self, now: Instant) -> Option<f64> {
        let half_life = self.half_life?;
        Some((-self.reference_age(now)?).exp2() * LN_2 / half_life.as_secs_f64())
    }

    /// Converts the amounts to a new reference time if the present one is old. Returns the amount that
    /// one unit of work at `now` is; `None` while the order is off.
    fn advance(&mut self, now: Instant) -> Option<f64> {
        self.reference.get_or_insert(now);
        let age = self.reference_age(now)?;
        if age <= MAX_REFERENCE_AGE {
            return Some(age.exp2());
        }
        let factor = (-age).exp2();
        for amounts in &mut self.organisations {
            amounts.own *= factor;
            amounts.total *= factor;
        }
        for report in &mut self.peers {
            report.amounts.retain_mut(|(_, amount)| {
                *amount *= factor;
                *amount > NEGLIGIBLE_AMOUNT
            });
        }
        self.peers.retain(|report| !report.amounts.is_empty());
        self.organisations.retain(|a| a.total > NEGLIGIBLE_AMOUNT);
        self.reference = Some(now);
        Some(1.0)
    }
}

/// Number of organisations that one of `instances` reports.
fn reported_count(instances: usize) -> usize {
    let count = MAX_REPORTED * FULL_REPORT_INSTANCES / instances.max(1);
    count.clamp(MIN_REPORTED, MAX_REPORTED)
}

/// Step of an organisation with this ratio of usage to share.
fn step_of(ratio: f64) -> UsageStep {
    // The conversion saturates, and turns the logarithm of 0 into step 0.
    let step = (ratio.log2() * STEPS_PER_DOUBLING).floor() + STEP_AT_SHARE;
    (step as UsageStep).min(MAX_STEP)
}

/// Adds a step to a class, so that classes with steps are ordered by class and then by step. A class
/// that has a step already keeps it.
pub fn with_step(class: PriorityClass, step: UsageStep) -> PriorityClass {
    if class.1 & STEP_FLAG != 0 {
        return class;
    }
    let tier_class = class.1.min(MAX_TIER_CLASS) << STEP_BITS;
    (class.0, STEP_FLAG | tier_class | u32::from(step))
}

/// Removes the step from a class, if it has one.
pub fn without_step(class: PriorityClass) -> PriorityClass {
    if class.1 & STEP_FLAG == 0 {
        return class;
    }
    (class.0, (class.1 & !STEP_FLAG) >> STEP_BITS)
}
