//! What instances tell each other of organisations' spending, and what they make of it.

use kingcupfield_decisions::allowance::{Allowances, Limit};
use kingcupfield_decisions::id::{OrganisationId, ShortName, short_name};
use tokio::time::Instant;

use crate::hearing::LEARNS_LEVELS;
use crate::peers::{Digest, Nearness, Peers};

/// What each nearness was told last.
#[derive(Debug, Default)]
pub struct Teller {
    told: [Vec<(ShortName, u64)>; 3],
}

impl Teller {
    /// Writes into a message what has been spent since the last one, or everything.
    pub fn fill(
        &mut self,
        now: Instant,
        peers: &Peers,
        allowances: &Allowances,
        nearness: Nearness,
        full: bool,
        digest: &mut Digest,
    ) {
        let spent = totals(allowances);
        let told = std::mem::replace(&mut self.told[nearness as usize], spent.clone());
        digest.spent = spent;
        if full {
            if peers.age(now) > LEARNS_LEVELS {
                digest.levels = levels(allowances);
            }
        } else {
            digest.spent.retain(|s| !told.contains(s));
        }
    }
}

/// Counts what another instance told; `find` knows the organisations of the table.
pub fn hear<F>(
    now: Instant,
    peers: &Peers,
    allowances: &mut Allowances,
    spent: &[(ShortName, u64)],
    levels: &[(ShortName, i64)],
    find: F,
) where
    F: Fn(ShortName) -> Option<(OrganisationId, Limit)>,
{
    for (name, cost) in spent {
        if let Some((organisation, limit)) = find(*name) {
            allowances.on_spent_elsewhere(now, &organisation, limit, *cost as f64);
        }
    }
    if peers.age(now) >= LEARNS_LEVELS {
        return;
    }
    for (name, level) in levels {
        if let Some((organisation, limit)) = find(*name) {
            allowances.adopt(now, &organisation, limit, *level as f64);
        }
    }
}

fn totals(allowances: &Allowances) -> Vec<(ShortName, u64)> {
    let spent = allowances.spent();
    spent
        .map(|(name, spent)| (short_name(name), spent.max(0.0) as u64))
        .collect()
}

fn levels(allowances: &Allowances) -> Vec<(ShortName, i64)> {
    let levels = allowances.levels();
    levels
        .map(|(name, level)| (short_name(name), level as i64))
        .collect()
}
