//! The other instances, their load and their spending.
//!
//! Each instance sends all others its load at each replica, the instances that it knows and the
//! directory revision that it has reached. There is no consensus: a message replaces the one
//! before, and the last state of a silent instance is forgotten after a while.

mod cell;
mod digest;
mod discovery;
mod peer;
mod store_readers;

use std::net::Ipv4Addr;
use std::time::Duration;

use kingcupfield_decisions::credit::Distance;
use kingcupfield_decisions::directory_sync::Announced;
use kingcupfield_decisions::dispatch::PriorityClass;
use kingcupfield_decisions::id::{InstanceAddress, NameHash, StreamKey};
use kingcupfield_decisions::remote_load::{RemoteLoad, TotalLoad};
use kingcupfield_decisions::stream_records::{self, ASKED, HOLDERS};
use tokio::time::Instant;

use cell::Cell;

pub use digest::{
    Digest, ForwardScope, PeerMessage, ReplicaLimitReport, ReplicaPaceReport, ReplicaSpeedReport,
    Reports, StreamMessage,
};
pub use peer::{Nearness, Peer};

/// Time without a digest after which an instance may be partitioned: its load is no longer counted,
/// and its share of the organisations' limits stays reserved for it. Three intervals of the slowest
/// messages.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time without a digest after which an instance is considered gone: longer than any network
/// partition that users see, so that the two sides of a partition never spend the same share.
const FORGET_TIMEOUT: Duration = Duration::from_mins(1);

/// Time for which a peer that did not send directory entries is asked only if no other has them.
const SYNC_FAILURE_PAUSE: Duration = Duration::from_secs(3);

/// Minimum interval of greetings, messages with the complete state, to an instance whose first
/// digest has arrived.
const GREETING_COOLDOWN: Duration = Duration::from_millis(500);

/// Number of instances assumed until the first digest arrives: the size of the largest fleets
/// today. An instance that starts behind a partition then spends only its own share.
const ASSUMED_INSTANCES: usize = 64;

/// An estimate of the difference between two clocks is logged again if it is better, that is larger,
/// by this many milliseconds: the log lines that are ordered by it lie some milliseconds apart.
const CLOCK_GAIN_TO_LOG_MS: i64 = 20;

/// An estimate that is worse by this, in milliseconds, is logged as well: messages are delayed by
/// less, so the clock was set back.
const CLOCK_LOSS_TO_LOG_MS: i64 = 1000;

/// Most instances that are remembered, twice those of the largest fleet that is planned for.
const MAX_INSTANCES: usize = 20_000;

/// Effects of a digest, for the caller to act on.
#[derive(Debug, Default)]
pub struct DigestEffects {
    /// Whether the sender is new, restarted, or back after a silence.
    pub is_new: bool,
    /// Instances to which a greeting should be sent at once.
    pub greet: Vec<Ipv4Addr>,
    /// Instances that have fallen silent since the last check.
    pub silent: Vec<Ipv4Addr>,
    /// Whether instances were left out because too many are known.
    pub is_list_full: bool,
    /// Whether the digest has replaced the last one of its sender and is newer. False for copies and
    /// for digests that arrive late.
    pub is_applied: bool,
}

/// An instance that announced its shutdown.
#[derive(Debug)]
struct LeavingPeer {
    address: Ipv4Addr,
    incarnation: u64,
    removed_at: Instant,
}

/// The other instances, sorted by address.
#[derive(Debug)]
pub struct Peers {
    /// Address of this instance.
    own: Ipv4Addr,
    /// The zones of the deployment with their distance, the own zone first.
    zones: Vec<(NameHash, Distance)>,
    /// Whether the settings name other instances to contact.
    has_contacts: bool,
    /// The cell of this instance in its zone.
    cell: Cell,
    /// Sorted by address.
    others: Vec<Peer>,
    /// Instances that have shut down, kept so that late digests don't add them again.
    leaving: Vec<LeavingPeer>,
    /// Sum of the load that live instances report, by replica.
    remote_load: RemoteLoad,
    /// When this instance started.
    started: Instant,
    /// When an instance of any zone was last added.
    last_added: Instant,
    /// When an instance of the own zone was last added.
    last_added_in_zone: Instant,
    /// Whether an instance that knows the whole fleet has sent its member list.
    got_full_list: bool,
    /// Whether an instance of the own zone that knows the whole fleet has sent its member list.
    got_full_list_in_zone: bool,
    /// Since when there has always been a live instance besides this one; `None` if there is none.
    connected_since: Option<Instant>,
    /// Since when this instance accrues credit; `None` while it may not.
    accruing_since: Option<Instant>,
    /// No instance can fall silent before this, so that not every message has to check all of them.
    next_silence_check: Instant,
    /// Latest response of the store to another instance that is known here.
    store_responded_at: Option<Instant>,
}

impl Peers {
    /// Creates the view of an instance that has received no digest. `has_contacts` says whether the
    /// settings name other instances to contact.
    pub fn new(now: Instant, own: Ipv4Addr, has_contacts: bool) -> Self {
        Self {
            own,
            zones: vec![(NameHash::default(), Distance::SameZone)],
            has_contacts,
            cell: Cell::default(),
            others: Vec::new(),
            leaving: Vec::new(),
            remote_load: RemoteLoad::new(),
            started: now,
            last_added: now,
            last_added_in_zone: now,
            got_full_list: false,
            got_full_list_in_zone: false,
            connected_since: None,
            accruing_since: None,
            next_silence_check: now,
            store_responded_at: None,
        }
    }

    /// Sets the zones of the deployment with their distance.
    #[must_use]
    pub fn with_zones<I>(mut self, zones: I) -> Self
    where
        I: IntoIterator<Item = (NameHash, Distance)>,
    {
        self.zones = zones.into_iter().collect();
        self.zones
            .sort_unstable_by_key(|(name, distance)| (*distance, *name));
        self
    }

    /// The other instances that are known, sorted by address.
    pub fn all(&self) -> &[Peer] {
        &self.others
    }

    /// Index of an instance in `others`, or the index at which to insert it.
    fn index_of(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.others.binary_search_by_key(&address, |p| p.address)
    }

    /// Records a datagram that came from the instance itself, not through a relay.
    pub fn record_datagram(&mut self, now: Instant, address: Ipv4Addr) {
        if let Ok(index) = self.index_of(address) {
            self.others[index].last_datagram_at = Some(now);
        }
    }

    /// Whether an instance is known to belong to a zone.
    pub fn is_in_zone(&self, address: Ipv4Addr, zone: NameHash) -> bool {
        let index = self.index_of(address);
        index.is_ok_and(|index| self.others[index].digest.zone == zone)
    }

    /// When the last datagram from the instance itself arrived.
    pub fn last_datagram_at(&self, address: Ipv4Addr) -> Option<Instant> {
        self.others[self.index_of(address).ok()?].last_datagram_at
    }

    /// The instances of a zone that are live, or became known a short time ago.
    pub fn reachable(&self, now: Instant, zone: NameHash) -> Vec<Ipv4Addr> {
        let in_zone = self.all_reachable(now).filter(|p| p.digest.zone == zone);
        in_zone.map(|p| p.address).collect()
    }

    /// The instances of all zones that are live, or became known a short time ago.
    pub fn all_reachable(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.others.iter().filter(move |p| p.is_reachable(now))
    }

    /// The other live instances.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.others.iter().filter(move |p| p.is_live(now))
    }

    /// Number of known instances, including this one.
    pub fn instance_count(&self) -> usize {
        let count = self.others.len() + 1;
        if count == 1 && self.has_contacts {
            return ASSUMED_INSTANCES;
        }
        count
    }

    /// Number of live instances, including this one.
    pub fn live_count(&self, now: Instant) -> usize {
        self.live(now).count() + 1
    }

    /// Age of the oldest last report among the live instances, which bounds the age of the remote
    /// load.
    pub fn max_report_age(&self, now: Instant) -> Duration {
        let oldest = self.live(now).filter_map(|p| p.last_digest_at).min();
        oldest.map_or(Duration::ZERO, |digest_at| {
            now.saturating_duration_since(digest_at)
        })
    }

    /// Adds an instance by its address.
    ///
    /// Returns whether it was not known before.
    pub fn add(&mut self, now: Instant, address: Ipv4Addr, zone: NameHash) -> bool {
        if address == self.own {
            return false;
        }
        if self.others.len() >= MAX_INSTANCES {
            return false;
        }
        if let Err(index) = self.index_of(address) {
            let peer = Peer {
                address,
                last_digest_at: None,
                added_at: now,
                last_datagram_at: None,
                last_greeting_at: None,
                sync_failed_at: None,
                digest: Digest {
                    zone,
                    ..Digest::default()
                },
                logged_offset_ms: None,
                counted: false,
            };
            self.others.insert(index, peer);
            self.last_added = now;
            if zone == self.zones[0].0 {
                self.last_added_in_zone = now;
            }
            return true;
        }
        false
    }

    /// Records that a greeting was sent to an instance.
    pub fn record_greeting(&mut self, now: Instant, address: Ipv4Addr) {
        if let Ok(index) = self.index_of(address) {
            self.others[index].last_greeting_at = Some(now);
        }
    }

    /// Records that an instance did not send directory entries that it was asked for.
    pub fn record_sync_failure(&mut self, now: Instant, address: Ipv4Addr) {
        if let Ok(index) = self.index_of(address) {
            self.others[index].sync_failed_at = Some(now);
        }
    }

    /// Applies a digest of another instance, received directly or through a relay.
    pub fn on_digest(&mut self, now: Instant, from: Ipv4Addr, mut digest: Digest) -> DigestEffects {
        if from == self.own {
            return DigestEffects::default();
        }
        let mut greet = Vec::new();
        self.got_full_list |= digest.settled;
        self.got_full_list_in_zone |= digest.settled && digest.zone == self.zones[0].0;
        for (zone, members) in std::mem::take(&mut digest.members) {
            for member in members {
                // Instances of other zones learn of this instance through relays.
                if self.add(now, member, zone) && zone == self.zones[0].0 {
                    greet.push(member);
                }
            }
        }
        if digest.leaving || self.has_left(from, digest.incarnation) {
            self.remove_leaving(now, from, digest.incarnation);
            return DigestEffects::default();
        }
        self.add(now, from, digest.zone);
        let is_list_full = self.others.len() >= MAX_INSTANCES;
        let Ok(index) = self.index_of(from) else {
            return DigestEffects {
                is_list_full,
                ..DigestEffects::default()
            };
        };
        let silent = self.drop_silent(now);
        let own_zone = self.zones[0].0;
        let peer = &mut self.others[index];
        let same_incarnation = peer.digest.incarnation == digest.incarnation;
        if same_incarnation && peer.last_digest_at.is_some() && digest.seq < peer.digest.seq {
            return DigestEffects {
                greet,
                silent,
                ..DigestEffects::default()
            };
        }
        let is_copy =
            same_incarnation && peer.last_digest_at.is_some() && digest.seq == peer.digest.seq;
        let is_new = !same_incarnation || !peer.is_live(now);
        if same_incarnation {
            digest.upto = digest.upto.max(peer.digest.upto);
            // Only some messages tell it.
            digest.small_upto = digest.small_upto.max(peer.digest.small_upto);
        }
        peer.count_load(&mut self.remote_load, &digest.loads);
        peer.digest = digest;
        peer.last_digest_at = Some(now);
        let store_responded_at = peer.store_age().and_then(|age| now.checked_sub(age));
        self.store_responded_at = self.store_responded_at.max(store_responded_at);
        let recently_greeted = peer
            .last_greeting_at
            .is_some_and(|at| now.saturating_duration_since(at) < GREETING_COOLDOWN);
        if is_new && !recently_greeted && (peer.digest.zone == own_zone || peer.digest.greeting) {
            greet.push(from);
        }
        DigestEffects {
            is_new,
            greet,
            silent,
            is_list_full,
            is_applied: !is_copy,
        }
    }

    /// Whether this incarnation of an instance has announced its shutdown.
    fn has_left(&self, address: Ipv4Addr, incarnation: u64) -> bool {
        let same = |peer: &LeavingPeer| peer.address == address && peer.incarnation == incarnation;
        self.leaving.iter().any(same)
    }

    /// Removes an instance that shuts down, with its share and its load. Late messages of the same
    /// incarnation don't add it again.
    fn remove_leaving(&mut self, now: Instant, from: Ipv4Addr, incarnation: u64) {
        if self.has_left(from, incarnation) {
            return;
        }
        self.leaving.retain(|peer| peer.address != from);
        self.leaving.push(LeavingPeer {
            address: from,
            incarnation,
            removed_at: now,
        });
        if let Ok(index) = self.index_of(from) {
            let mut peer = self.others.remove(index);
            peer.uncount_load(&mut self.remote_load);
        }
    }

    /// Stops counting the load of instances that have fallen silent, and returns their addresses.
    pub fn drop_silent(&mut self, now: Instant) -> Vec<Ipv4Addr> {
        let mut silent = Vec::new();
        if now < self.next_silence_check {
            return silent;
        }
        let mut next = now + SILENCE_TIMEOUT;
        for peer in self.others.iter_mut().filter(|p| p.counted) {
            if peer.is_live(now) {
                next = next.min(peer.last_digest_at.map_or(next, |at| at + SILENCE_TIMEOUT));
            } else {
                peer.uncount_load(&mut self.remote_load);
                silent.push(peer.address);
            }
        }
        self.next_silence_check = next;
        silent
    }

    /// Records by how many milliseconds an instance's clock is ahead; returns whether the estimate
    /// has changed enough to be logged.
    pub fn record_clock_offset(&mut self, from: Ipv4Addr, ahead_ms: i64) -> bool {
        let Ok(index) = self.index_of(from) else {
            return false;
        };
        let logged_ms = &mut self.others[index].logged_offset_ms;
        // A delayed message makes the other clock look late, so only a better estimate counts, or
        // one that is so much worse that the clock was set back.
        let should_log = logged_ms.is_none_or(|logged_ms| {
            ahead_ms >= logged_ms + CLOCK_GAIN_TO_LOG_MS
                || ahead_ms <= logged_ms - CLOCK_LOSS_TO_LOG_MS
        });
        if should_log {
            *logged_ms = Some(ahead_ms);
        }
        should_log
    }

    /// Removes the instances that have been silent for too long.
    pub fn remove_gone(&mut self, now: Instant) {
        self.others.retain(|p| !p.is_gone(now));
        let is_gone =
            |peer: &LeavingPeer| now.saturating_duration_since(peer.removed_at) >= FORGET_TIMEOUT;
        self.leaving.retain(|peer| !is_gone(peer));
    }

    /// Requests that wait at the live instances of the own cell: the instance, the service and its
    /// most urgent class.
    pub fn waiting_in_cell(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Ipv4Addr, NameHash, PriorityClass)> {
        let live = self.in_cell().filter(move |p| p.is_live(now));
        live.flat_map(|p| {
            let waiting = p.digest.waiting.iter();
            waiting.map(|(service, class)| (p.address, *service, *class))
        })
    }

    /// Load of the other instances at a replica.
    pub fn load_at(&self, replica: NameHash) -> TotalLoad {
        self.remote_load.get(replica)
    }

    /// Load of the other instances by replica, including replicas whose load has fallen to zero.
    pub fn loads(&self) -> &[(NameHash, TotalLoad)] {
        self.remote_load.totals()
    }

    /// Returns the replicas whose remote load has changed since the last call.
    pub fn take_changed_loads(&mut self) -> Vec<NameHash> {
        self.remote_load.take_changed()
    }

    /// Distance of an instance from this one, whose zone and region are `location`.
    pub fn nearness_of(&self, address: Ipv4Addr, location: (NameHash, NameHash)) -> Nearness {
        let index = self.index_of(address);
        index.map_or(Nearness::OtherRegion, |index| {
            self.others[index].nearness(location.0, location.1)
        })
    }

    /// Picks a peer to get newer directory entries from: one of the nearest whose announcement fulfils
    /// `is_wanted`, chosen by `salt`, which is random. `location` is the zone and the region of this
    /// instance. One that has just failed to send entries is picked only if all of them have: it may go
    /// on announcing its revision for as long as it is stuck.
    ///
    /// If all instances asked the one with the highest revision, they would ask the same one at the
    /// same time, and a large table occupies a small machine's link for a tenth of a second per
    /// request.
    pub fn pick_sync_peer<F>(
        &self,
        now: Instant,
        is_wanted: F,
        location: (NameHash, NameHash),
        salt: u64,
    ) -> Option<&Peer>
    where
        F: Fn(Announced) -> bool,
    {
        let (zone, region) = location;
        let is_ahead = |p: &&Peer| p.is_live(now) && is_wanted(p.announced());
        let nearness = |p: &Peer| {
            let is_outside = !self.is_in_cell(p.address);
            let nearness = p.nearness(zone, region) as u8;
            (p.failed_to_sync(now), is_outside, nearness)
        };
        let nearest = self.others.iter().filter(is_ahead).map(nearness).min()?;
        let candidates: Vec<&Peer> = self
            .others
            .iter()
            .filter(is_ahead)
            .filter(|p| nearness(p) == nearest)
            .collect();
        Some(candidates[salt as usize % candidates.len()])
    }

    /// Whether the announcement of a known instance, live or silent, fulfils `is_wanted`.
    pub fn has_announced<F>(&self, is_wanted: F) -> bool
    where
        F: Fn(Announced) -> bool,
    {
        self.others.iter().any(|p| is_wanted(p.announced()))
    }

    /// What an instance has announced of the directory.
    pub fn announced_by(&self, address: Ipv4Addr) -> Option<Announced> {
        let index = self.index_of(address).ok()?;
        Some(self.others[index].announced())
    }

    /// All known instances, including this one and the silent ones; `None` while discovery of the fleet
    /// is going on.
    pub fn fleet_members(&self, now: Instant) -> Option<Vec<InstanceAddress>> {
        let others = self.others.iter().map(|p| p.address.to_bits());
        self.is_settled(now)
            .then(|| others.chain([self.own.to_bits()]).collect())
    }

    /// The instances that record a stream which this instance relays.
    pub fn stream_holders(&self, now: Instant, key: StreamKey) -> Vec<Ipv4Addr> {
        let reachable = self.all_reachable(now).map(|p| p.address.to_bits());
        let holders = stream_records::choose_holders(key, reachable, HOLDERS);
        holders.into_iter().map(Ipv4Addr::from_bits).collect()
    }

    /// The instances that are asked for a stream. Silent ones are among them: another instance may have
    /// chosen them before they fell silent, and only this one may not hear them.
    pub fn asked_for_stream(&self, key: StreamKey) -> Vec<Ipv4Addr> {
        let all = self.others.iter().map(|p| p.address.to_bits());
        let asked = stream_records::choose_holders(key, all, ASKED);
        asked.into_iter().map(Ipv4Addr::from_bits).collect()
    }

    /// A random live instance, chosen by `salt`.
    pub fn random_live(&self, now: Instant, salt: u64) -> Option<Ipv4Addr> {
        let live: Vec<&Peer> = self.live(now).collect();
        let index = (salt as usize).checked_rem(live.len())?;
        Some(live[index].address)
    }

    /// Latest response of the store to another instance that is known here.
    pub fn store_responded_at(&self) -> Option<Instant> {
        self.store_responded_at
    }

    /// Time since the start of this instance.
    pub fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }
}
