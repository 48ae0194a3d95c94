//! Relays that forward messages in an availability zone, instead of a full mesh.
//!
//! Load pattern: hundreds of instances, each of which sends updates ten times a second. If every
//! instance sent to all, a zone of fifty would receive 2,500 datagrams for each update per second
//! and instance, and small machines would do nothing else.
//!
//! Each instance sends every update to the others of its [cell](crate::cells), which is all of a
//! small zone: a slot that becomes free is taken within milliseconds, and a message that takes two
//! hops arrives too late. To the other cells and zones it sends less often, through one relay, which
//! collects the updates of a dozen instances and forwards them together.
//!
//! All instances compute the relays from the members that they know. An instance with a different
//! view may send to one that is not a relay, which forwards the update all the same.

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::InstanceAddress;

/// Number of instances that one relay serves.
const INSTANCES_PER_RELAY: usize = 12;

/// Largest number of instances that form a full mesh: messages grow with the square of their number.
pub const MAX_FULL_MESH: usize = 24;

/// A relay that has sent nothing for [`SILENT_AFTER`] is not chosen for [`EXCLUDED_FOR`]. That is
/// detected before any instance that it serves counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(900);
const EXCLUDED_FOR: Duration = Duration::from_secs(3);

/// Relays of the own zone, as one instance sees them.
#[derive(Debug, Default)]
pub struct Relays {
    /// Current relays, and the time since which each is one.
    relays_since: Vec<(InstanceAddress, Instant)>,
    /// Instances that must not become relays, and the time until which that applies.
    excluded: Vec<(InstanceAddress, Instant)>,
}

impl Relays {
    /// Recomputes the relays. `reachable` are the other reachable members of the zone; `sent_at`
    /// returns when a member last sent a message of its own. Returns the relays that have fallen
    /// silent, which are excluded from now on.
    pub fn update<F>(
        &mut self,
        now: Instant,
        own: InstanceAddress,
        reachable: &[InstanceAddress],
        sent_at: F,
    ) -> Vec<InstanceAddress>
    where
        F: Fn(InstanceAddress) -> Option<Instant>,
    {
        self.excluded.retain(|(_, until)| *until > now);
        let silent: Vec<InstanceAddress> = self
            .relays_since
            .iter()
            .filter(|(relay, since)| {
                let sent = sent_at(*relay).map_or(*since, |at| at.max(*since));
                reachable.contains(relay) && now.saturating_duration_since(sent) >= SILENT_AFTER
            })
            .map(|(relay, _)| *relay)
            .collect();
        let until = silent.iter().map(|relay| (*relay, now + EXCLUDED_FOR));
        self.excluded.extend(until);
        let is_excluded = |m: &InstanceAddress| self.excluded.iter().any(|(p, _)| p == m);
        let mut members: Vec<InstanceAddress> = reachable
            .iter()
            .copied()
            .filter(|m| !is_excluded(m))
            .collect();
        members.push(own);
        let before = std::mem::take(&mut self.relays_since);
        let since = |relay| before.iter().find(|(r, _)| *r == relay).map(|(_, at)| *at);
        let relays_since = choose_relays(&members).into_iter();
        self.relays_since = relays_since.map(|r| (r, since(r).unwrap_or(now))).collect();
        silent
    }

    /// Whether an instance is a relay.
    pub fn contains(&self, member: InstanceAddress) -> bool {
        self.relays_since.iter().any(|(r, _)| *r == member)
    }

    /// Returns the instances that `own` sends a digest to. `cell` are the other reachable instances of
    /// its cell; the relay is among the receivers if `is_news` for the other cells and zones.
    pub fn receivers(
        &self,
        own: InstanceAddress,
        cell: &[InstanceAddress],
        is_news: bool,
    ) -> Receivers {
        let relay = self.relay_for(own).filter(|relay| is_news && *relay != own);
        let neighbours = cell.iter().copied().filter(|m| Some(*m) != relay);
        Receivers {
            relay,
            neighbours: neighbours.collect(),
        }
    }

    /// The relay that serves a member.
    pub fn relay_for(&self, member: InstanceAddress) -> Option<InstanceAddress> {
        let relays: Vec<InstanceAddress> = self.relays_since.iter().map(|(r, _)| *r).collect();
        relay_of(member, &relays)
    }
}

/// Instances to which an instance sends a digest, each of them once.
#[derive(Debug, PartialEq, Eq)]
pub struct Receivers {
    /// The relay, which forwards the digest; `None` if there is nothing to forward, or if the instance is
    /// its own relay.
    pub relay: Option<InstanceAddress>,
    /// The other instances of the cell.
    pub neighbours: Vec<InstanceAddress>,
}

/// Selects the relays among the members of a zone, by rank.
pub fn choose_relays(members: &[InstanceAddress]) -> Vec<InstanceAddress> {
    let mut ranked = members.to_vec();
    ranked.sort_unstable_by_key(|m| Reverse((rank(*m, 0), *m)));
    ranked.dedup();
    ranked.truncate(members.len().div_ceil(INSTANCES_PER_RELAY));
    ranked
}

/// The relay that serves a member.
pub fn relay_of(member: InstanceAddress, relays: &[InstanceAddress]) -> Option<InstanceAddress> {
    let own = relays.iter().find(|r| **r == member);
    let ranked = relays
        .iter()
        .max_by_key(|r| (rank(**r, u64::from(member) + 1), **r));
    own.or(ranked).copied()
}

/// The relay of another zone to which a relay sends its batch number `turn`.
///
/// It takes turns between two, so that a dead one does not lose all batches, and each sender has two
/// of its own: if all sent to the same ones, the load of these would grow with the square of the
/// fleet.
pub fn relay_by_turn(
    sender: InstanceAddress,
    relays: &[InstanceAddress],
    turn: u64,
) -> Option<InstanceAddress> {
    let mut ranked = relays.to_vec();
    ranked.sort_unstable_by_key(|r| Reverse((rank(*r, u64::from(sender) + 1), *r)));
    ranked.truncate(2);
    let turns = ranked.len().max(1) as u64;
    ranked.get((turn % turns) as usize).copied()
}

fn rank(member: InstanceAddress, seed: u64) -> u64 {
    xxh3_64_with_seed(&member.to_be_bytes(), seed)
}
