//! Who passes messages on in an availability zone, so that not each instance sends to each.
//!
//! Load pattern: three hundred instances, each of which has news ten times a second. Sent to all, a
//! zone of fifty takes 2,500 datagrams for each of its requests a second and instance, and small machines do nothing
//! else. Here an instance tells one relay, which gathers the news of a dozen and sends them on together.
//!
//! In a small zone each tells each, and the relay passes on to the other zones alone: a place that comes free is
//! taken within some milliseconds, and a message that takes two ways comes too late for that.
//!
//! All compute the same relays from the members that they know. Those that disagree send to an
//! instance that does not expect it and passes the news on all the same.

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::InstanceAddress;

/// Instances that one relay serves.
const SERVED: usize = 12;

/// Most instances of a zone in which each tells each: messages grow with the square of their number.
pub const MAX_FULL_MESH: usize = 24;

/// A relay that was not heard for this long is passed over, and for how long: before anybody that it
/// serves counts as silent.
const LOST: Duration = Duration::from_millis(900);
const PASSED_OVER: Duration = Duration::from_secs(3);

/// The relays of its zone, as one instance sees them.
#[derive(Debug, Default)]
pub struct Relays {
    /// With since when each is one.
    chosen: Vec<(InstanceAddress, Instant)>,
    /// With until when.
    passed_over: Vec<(InstanceAddress, Instant)>,
}

impl Relays {
    /// Looks who the relays are now; `heard` are the other members of the zone, `sent_at` tells when one
    /// sent something itself last. Returns those of
    /// them that send nothing although they are relays.
    pub fn update<F>(
        &mut self,
        now: Instant,
        own: InstanceAddress,
        heard: &[InstanceAddress],
        sent_at: F,
    ) -> Vec<InstanceAddress>
    where
        F: Fn(InstanceAddress) -> Option<Instant>,
    {
        self.passed_over.retain(|(_, until)| *until > now);
        let lost: Vec<InstanceAddress> = self
            .chosen
            .iter()
            .filter(|(relay, since)| {
                let sent = sent_at(*relay).map_or(*since, |at| at.max(*since));
                heard.contains(relay) && now.saturating_duration_since(sent) >= LOST
            })
            .map(|(relay, _)| *relay)
            .collect();
        let until = lost.iter().map(|relay| (*relay, now + PASSED_OVER));
        self.passed_over.extend(until);
        let passed = |m: &InstanceAddress| self.passed_over.iter().any(|(p, _)| p == m);
        let mut members: Vec<InstanceAddress> =
            heard.iter().copied().filter(|m| !passed(m)).collect();
        members.push(own);
        let before = std::mem::take(&mut self.chosen);
        let since = |relay| before.iter().find(|(r, _)| *r == relay).map(|(_, at)| *at);
        let chosen = choose_relays(&members).into_iter();
        self.chosen = chosen.map(|r| (r, since(r).unwrap_or(now))).collect();
        lost
    }

    /// Whether an instance is one of them.
    pub fn contains(&self, member: InstanceAddress) -> bool {
        self.chosen.iter().any(|(r, _)| *r == member)
    }

    /// Whom an instance tells, `others` being the rest of its zone.
    pub fn receivers(&self, own: InstanceAddress, others: &[InstanceAddress]) -> Receivers {
        let relay = self.relay_for(own).filter(|relay| *relay != own);
        let is_small = others.len() < MAX_FULL_MESH;
        let neighbours = others.iter().copied().filter(|m| Some(*m) != relay);
        Receivers {
            relay,
            neighbours: is_small.then(|| neighbours.collect()),
        }
    }

    /// The one that serves a member.
    pub fn relay_for(&self, member: InstanceAddress) -> Option<InstanceAddress> {
        let relays: Vec<InstanceAddress> = self.chosen.iter().map(|(r, _)| *r).collect();
        relay_of(member, &relays)
    }
}

/// Whom an instance tells how it stands.
#[derive(Debug, PartialEq, Eq)]
pub struct Receivers {
    /// Its relay; none if it is its own.
    pub relay: Option<InstanceAddress>,
    /// The rest of a small zone; none if the relay is to tell the zone.
    pub neighbours: Option<Vec<InstanceAddress>>,
}

/// The relays of a zone with these members, the first in rank first.
pub fn choose_relays(members: &[InstanceAddress]) -> Vec<InstanceAddress> {
    let mut ranked = members.to_vec();
    ranked.sort_unstable_by_key(|m| Reverse((rank(*m, 0), *m)));
    ranked.dedup();
    ranked.truncate(members.len().div_ceil(SERVED));
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

fn rank(member: InstanceAddress, seed: u64) -> u64 {
    xxh3_64_with_seed(&member.to_be_bytes(), seed)
}
