//! What instances tell each other of organisations' spending, and what they make of it.

use std::time::Duration;

use kingcupfield_decisions::allowance::{Allowances, Limit, Told};
use kingcupfield_decisions::id::{OrganisationId, ShortName, short_name};
use tokio::time::Instant;

use crate::peers::{Digest, LEARNS, Nearness, Peers};

/// A peer has to have seen this much more to know better: those that started at about the same time only
/// assume the same.
const OLDER: Duration = Duration::from_secs(1);

/// How much a message tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Telling {
    /// What has changed.
    Change,
    /// That the instance lives, and once more what has changed lately.
    Heartbeat,
    /// Everything.
    Full,
}

type Totals = Vec<(ShortName, u64)>;

/// What each nearness was told.
#[derive(Debug, Default)]
pub struct Teller {
    last: [Totals; 3],
    /// With the last heartbeat.
    beat: [Totals; 3],
}

impl Teller {
    /// Writes into a message what has been spent since the last one, or everything.
    ///
    /// A change is told again with the next heartbeat: a message that is lost would otherwise be made up
    /// for by the next one that tells everything, and the others would spend the same meanwhile.
    pub fn fill(
        &mut self,
        now: Instant,
        peers: &Peers,
        allowances: &Allowances,
        nearness: Nearness,
        telling: Telling,
        digest: &mut Digest,
    ) {
        let at = nearness as usize;
        let place = (digest.zone, digest.region);
        digest.hears = peers.fresh(now) as u16;
        digest.oldest_ms = peers.oldest_of(now, place, nearness).as_millis() as u16;
        digest.spent = totals(allowances);
        match telling {
            Telling::Change => {
                let told = std::mem::replace(&mut self.last[at], digest.spent.clone());
                digest.spent.retain(|s| !told.contains(s));
            }
            Telling::Heartbeat => {
                let told = std::mem::replace(&mut self.beat[at], digest.spent.clone());
                digest.spent.retain(|s| !told.contains(s));
            }
            Telling::Full => {
                let sees = allowances.sees(now);
                digest.known = known(now, allowances);
                digest.sees_ms = sees.as_millis() as u32;
                digest.informed = sees == allowances.span();
            }
        }
    }
}

/// What another instance takes organisations to have spent.
#[derive(Debug, Clone, Default)]
pub struct Known {
    /// By organisation: within the span, and within its later half.
    pub spent: Vec<(ShortName, u64, u64)>,
    /// For how long it has seen that.
    pub sees: Duration,
    /// Whether nothing of it is assumed.
    pub informed: bool,
}

impl Known {
    /// Reads it from a message.
    pub fn of(digest: &Digest) -> Self {
        Self {
            spent: digest.known.clone(),
            sees: Duration::from_millis(u64::from(digest.sees_ms)),
            informed: digest.informed,
        }
    }
}

/// Counts what another instance told; `find` knows the organisations of the table.
pub fn hear<F>(
    now: Instant,
    peers: &Peers,
    allowances: &mut Allowances,
    spent: &[(ShortName, u64)],
    known: &Known,
    find: F,
) where
    F: Fn(ShortName) -> Option<(OrganisationId, Limit)>,
{
    for (name, cost) in spent {
        if let Some((organisation, limit)) = find(*name) {
            allowances.on_spent_elsewhere(now, &organisation, limit, *cost as f64);
        }
    }
    let age = peers.age(now);
    if age >= LEARNS || known.sees < age + OLDER {
        return;
    }
    for (name, whole, late) in &known.spent {
        let told = Told {
            whole: *whole as f64,
            late: *late as f64,
        };
        if let Some((organisation, limit)) = find(*name) {
            allowances.adopt(now, &organisation, limit, told, known.informed);
        }
    }
}

fn totals(allowances: &Allowances) -> Vec<(ShortName, u64)> {
    let spent = allowances.spent();
    spent
        .map(|(name, spent)| (short_name(name), spent.max(0.0) as u64))
        .collect()
}

fn known(now: Instant, allowances: &Allowances) -> Vec<(ShortName, u64, u64)> {
    let known = allowances.all_known(now);
    known
        .map(|(name, told)| (short_name(name), told.whole as u64, told.late as u64))
        .collect()
}
