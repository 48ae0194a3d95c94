//! Computes each organisation's share of a tier's capacity when all organisations have requests
//! queued in that tier.
//!
//! Tiers are served in strict priority order: a tier receives the capacity that the tiers above it
//! leave unused. Within a tier, an organisation's share is its weight divided by the total weight
//! of the organisations that may use the tier.

use kingcupfield_decisions::id::{OrganisationId, TierId};
use kingcupfield_decisions::values::{Organisation, Table, Tier};
use serde::Serialize;

/// Share of one organisation in one tier when all organisations have requests queued there.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TierShare {
    /// Tier that the share is of.
    pub tier: TierId,
    /// Fraction (0 to 1) of the capacity available to the tier; `None` if the organisation may not
    /// use the tier.
    #[serde(rename = "part")]
    pub fraction: Option<f64>,
}

/// Shares of one organisation in all tiers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OrganisationShares {
    /// Organisation that the shares belong to.
    pub organisation: OrganisationId,
    /// One share per tier, highest priority first.
    pub tiers: Vec<TierShare>,
}

/// Returns the tiers, highest priority (lowest rank) first.
pub fn sorted_tiers(table: &Table) -> Vec<&Tier> {
    let mut tiers: Vec<_> = table.tiers.iter().collect();
    tiers.sort_by_key(|t| t.rank);
    tiers
}

/// Computes the shares of all organisations, in the order of the table.
pub fn compute_shares(table: &Table) -> Vec<OrganisationShares> {
    let tiers = sorted_tiers(table);
    let total_weights: Vec<u64> = tiers.iter().map(|t| total_weight(table, t)).collect();
    let organisation_shares = |organisation: &Organisation| {
        let tier_share = |(tier, total): (&&Tier, &u64)| TierShare {
            tier: tier.tier.clone(),
            fraction: (may_use_tier(table, organisation, tier) && *total > 0)
                .then(|| f64::from(organisation.weight) / *total as f64),
        };
        OrganisationShares {
            organisation: organisation.organisation.clone(),
            tiers: tiers.iter().zip(&total_weights).map(tier_share).collect(),
        }
    };
    table
        .organisations
        .iter()
        .map(organisation_shares)
        .collect()
}

// Sums the weights of the organisations that may use a tier.
fn total_weight(table: &Table, tier: &Tier) -> u64 {
    let allowed = |o: &&Organisation| may_use_tier(table, o, tier);
    let organisations = table.organisations.iter().filter(allowed);
    organisations.map(|o| u64::from(o.weight)).sum()
}

// An organisation may use its `max_tier` and the tiers of lower priority.
fn may_use_tier(table: &Table, organisation: &Organisation, tier: &Tier) -> bool {
    let max_tier = table.tiers.iter().find(|t| t.tier == organisation.max_tier);
    max_tier.is_some_and(|max_tier| tier.rank >= max_tier.rank)
}
