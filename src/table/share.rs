//! Who gets which share of a tier when all organisations wait in it.
//!
//! Tiers go in strict order, so a tier's share is whatever the tiers above it leave. Inside a
//! tier the share of an organisation is its weight over the weights of all that may use the tier.

use kingcupfield_decisions::id::{OrganisationId, TierId};
use kingcupfield_decisions::values::{Organisation, Table, Tier};
use serde::Serialize;

/// Share of one organisation in one tier at full load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TierShare {
    /// The tier.
    pub tier: TierId,
    /// Part of the capacity that reaches the tier, 0 to 1; `None` when the tier is closed to it.
    #[serde(rename = "part")]
    pub fraction: Option<f64>,
}

/// One organisation's shares, highest tier first.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OrganisationShares {
    /// The organisation.
    pub organisation: OrganisationId,
    /// One for each tier.
    pub tiers: Vec<TierShare>,
}

/// The tiers, highest first.
pub fn sorted_tiers(table: &Table) -> Vec<&Tier> {
    let mut tiers: Vec<_> = table.tiers.iter().collect();
    tiers.sort_by_key(|t| t.rank);
    tiers
}

/// Every organisation's shares, in the order of the table.
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

fn total_weight(table: &Table, tier: &Tier) -> u64 {
    let allowed = |o: &&Organisation| may_use_tier(table, o, tier);
    let organisations = table.organisations.iter().filter(allowed);
    organisations.map(|o| u64::from(o.weight)).sum()
}

fn may_use_tier(table: &Table, organisation: &Organisation, tier: &Tier) -> bool {
    let max_tier = table.tiers.iter().find(|t| t.tier == organisation.max_tier);
    max_tier.is_some_and(|max_tier| tier.rank >= max_tier.rank)
}
