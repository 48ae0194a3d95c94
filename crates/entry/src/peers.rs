//! The other instances, and what they say of their load and spending.
//!
//! Each instance tells all others what it has at each replica, whom it knows and up to which revision
//! it knows the directory. Nothing is agreed on: a message replaces the one before, and what a silent
//! instance said last is forgotten after a while.

mod acquaintance;
mod digest;
mod peer;

use std::net::Ipv4Addr;
use std::time::Duration;

use kingcupfield_decisions::credit::Distance;
use kingcupfield_decisions::dispatch::Class;
use kingcupfield_decisions::elsewhere::{Elsewhere, Sum};
use kingcupfield_decisions::id::ShortName;
use kingcupfield_decisions::known::Revision;
use tokio::time::Instant;

pub use digest::{Digest, PeerMessage, Reach};
pub use peer::{Nearness, Peer};

/// An instance that was not heard for this long may be cut off: its load is no longer counted, and
/// its share of the organisations' limits is left to it. Three of the slowest messages.
pub const SILENT: Duration = Duration::from_millis(2500);

/// An instance that was not heard for this long is gone: longer than any cut that the users see,
/// so that the two sides of a cut never spend the same share.
const FORGOTTEN: Duration = Duration::from_mins(1);

/// An instance that was told everything this lately is not told again when it is heard first.
const GREETED: Duration = Duration::from_millis(500);

/// Instances that are assumed while none was ever heard: as many as the largest fleets have today. An
/// instance that starts behind a cut then spends its share alone.
const ASSUMED: usize = 64;

/// A reading of the difference between two clocks that is better by this is told again: the lines
/// that are put in order by it lie some milliseconds apart.
const CLOCK_NEWS_MS: i64 = 20;

/// A reading that is worse by this is told as well: messages are held up for less.
const CLOCK_SET_BACK_MS: i64 = 1000;

/// Instances that read the store at least, in a fleet of one zone.
const READERS: usize = 2;

/// What a message changed.
#[derive(Debug, Default)]
pub struct Heard {
    /// Whether the instance is new or started anew.
    pub is_new: bool,
    /// Instances that should be told everything at once.
    pub greet: Vec<Ipv4Addr>,
    /// Instances that have fallen silent since the last look.
    pub silent: Vec<Ipv4Addr>,
}

/// An instance that said that it ends.
#[derive(Debug)]
struct Leaver {
    address: Ipv4Addr,
    incarnation: u64,
    since: Instant,
}

/// The other instances, sorted by address.
#[derive(Debug)]
pub struct Peers {
    own: Ipv4Addr,
    /// The zones of the deployment, the own one first, then by distance.
    zones: Vec<(ShortName, Distance)>,
    has_contacts: bool,
    others: Vec<Peer>,
    leavers: Vec<Leaver>,
    elsewhere: Elsewhere,
    started: Instant,
    /// When another instance became known last, and one of the own zone.
    learned: Instant,
    learned_home: Instant,
    /// Whether an instance that knows the fleet has named its members, and whether one of the own
    /// zone has.
    introduced: bool,
    introduced_home: bool,
    /// Since when it hears others.
    met: Option<Instant>,
    /// Since when this instance mints credit.
    mints_since: Option<Instant>,
    /// No instance falls silent before this, so that not each message has to look at all of them.
    none_silent_before: Instant,
}

impl Peers {
    /// Knows nobody yet.
    pub fn new(now: Instant, own: Ipv4Addr, has_contacts: bool) -> Self {
        Self {
            own,
            zones: vec![(ShortName::default(), Distance::Home)],
            has_contacts,
            others: Vec::new(),
            leavers: Vec::new(),
            elsewhere: Elsewhere::new(),
            started: now,
            learned: now,
            learned_home: now,
            introduced: false,
            introduced_home: false,
            met: None,
            mints_since: None,
            none_silent_before: now,
        }
    }

    /// Tells the zones of the deployment, with how far they are.
    #[must_use]
    pub fn with_zones<I>(mut self, zones: I) -> Self
    where
        I: IntoIterator<Item = (ShortName, Distance)>,
    {
        self.zones = zones.into_iter().collect();
        self.zones.sort_unstable_by_key(|(name, far)| (*far, *name));
        self
    }

    /// The other instances that are known.
    pub fn all(&self) -> &[Peer] {
        &self.others
    }

    /// Where an instance stands among the others, or where it would.
    fn position(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.others.binary_search_by_key(&address, |p| p.address)
    }

    /// Notes that an instance sent something itself.
    pub fn on_sent(&mut self, now: Instant, address: Ipv4Addr) {
        if let Ok(at) = self.position(address) {
            self.others[at].sent = Some(now);
        }
    }

    /// Whether an instance is known to be of a zone.
    pub fn is_of(&self, address: Ipv4Addr, zone: ShortName) -> bool {
        let at = self.position(address);
        at.is_ok_and(|at| self.others[at].digest.zone == zone)
    }

    /// When an instance sent something itself last.
    pub fn sent_at(&self, address: Ipv4Addr) -> Option<Instant> {
        self.others[self.position(address).ok()?].sent
    }

    /// The instances of a zone that are heard, or have just become known.
    pub fn reachable(&self, now: Instant, zone: ShortName) -> Vec<Ipv4Addr> {
        let is_new = |p: &Peer| now.saturating_duration_since(p.since) < SILENT;
        let there = self.others.iter().filter(|p| p.digest.zone == zone);
        let reachable = there.filter(|p| p.is_fresh(now) || p.heard.is_none() && is_new(p));
        reachable.map(|p| p.address).collect()
    }

    /// Number of instances that are known, with this one.
    pub fn instance_count(&self) -> usize {
        let known = self.others.len() + 1;
        if known == 1 && self.has_contacts {
            return ASSUMED;
        }
        known
    }

    /// Number of instances that are heard now, with this one.
    pub fn live_count(&self, now: Instant) -> usize {
        self.others.iter().filter(|p| p.is_fresh(now)).count() + 1
    }

    /// How long ago the most silent of those that are heard spoke last: so old the counts of the
    /// others may be.
    pub fn max_report_age(&self, now: Instant) -> Duration {
        let heard = self.others.iter().filter(|p| p.is_fresh(now));
        let oldest = heard.filter_map(|p| p.heard).min();
        oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Makes an instance known by its address.
    ///
    /// Returns whether it was not known before.
    pub fn learn(&mut self, now: Instant, address: Ipv4Addr, zone: ShortName) -> bool {
        if address == self.own {
            return false;
        }
        if let Err(at) = self.position(address) {
            let peer = Peer {
                address,
                heard: None,
                since: now,
                sent: None,
                told: None,
                digest: Digest {
                    zone,
                    ..Digest::default()
                },
                ahead_ms: None,
                counted: false,
            };
            self.others.insert(at, peer);
            self.learned = now;
            if zone == self.zones[0].0 {
                self.learned_home = now;
            }
            return true;
        }
        false
    }

    /// Notes that an instance was told everything.
    pub fn on_told(&mut self, now: Instant, address: Ipv4Addr) {
        if let Ok(at) = self.position(address) {
            self.others[at].told = Some(now);
        }
    }

    /// Takes a message.
    pub fn on_digest(&mut self, now: Instant, from: Ipv4Addr, mut digest: Digest) -> Heard {
        if from == self.own {
            return Heard::default();
        }
        let mut greet = Vec::new();
        self.introduced |= digest.settled;
        self.introduced_home |= digest.settled && digest.zone == self.zones[0].0;
        for (zone, members) in std::mem::take(&mut digest.members) {
            for member in members {
                // Those of other zones hear of this instance through relays.
                if self.learn(now, member, zone) && zone == self.zones[0].0 {
                    greet.push(member);
                }
            }
        }
        if digest.leaving || self.has_left(from, digest.incarnation) {
            self.on_leaver(now, from, digest.incarnation);
            return Heard::default();
        }
        self.learn(now, from, digest.zone);
        let Ok(at) = self.position(from) else {
            return Heard::default();
        };
        let silent = self.silence(now);
        let home = self.zones[0].0;
        let peer = &mut self.others[at];
        let same_life = peer.digest.incarnation == digest.incarnation;
        if same_life && peer.heard.is_some() && digest.seq < peer.digest.seq {
            return Heard {
                greet,
                silent,
                ..Heard::default()
            };
        }
        let is_new = !same_life || !peer.is_fresh(now);
        digest.upto = digest.upto.max(peer.digest.upto);
        peer.count(&mut self.elsewhere, &digest.loads);
        peer.digest = digest;
        peer.heard = Some(now);
        let told = peer
            .told
            .is_some_and(|at| now.saturating_duration_since(at) < GREETED);
        if is_new && !told && (peer.digest.zone == home || peer.digest.greeting) {
            greet.push(from);
        }
        Heard {
            is_new,
            greet,
            silent,
        }
    }

    fn has_left(&self, address: Ipv4Addr, incarnation: u64) -> bool {
        let same = |l: &Leaver| l.address == address && l.incarnation == incarnation;
        self.leavers.iter().any(same)
    }

    /// Notes that an instance ends: it has no share and no load any more. Late messages of
    /// the same life don't bring it back.
    fn on_leaver(&mut self, now: Instant, from: Ipv4Addr, incarnation: u64) {
        if self.has_left(from, incarnation) {
            return;
        }
        self.leavers.retain(|l| l.address != from);
        self.leavers.push(Leaver {
            address: from,
            incarnation,
            since: now,
        });
        if let Ok(at) = self.position(from) {
            let mut leaver = self.others.remove(at);
            leaver.count_nothing(&mut self.elsewhere);
        }
    }

    /// Stops to count the load of instances that have fallen silent, and names them.
    pub fn silence(&mut self, now: Instant) -> Vec<Ipv4Addr> {
        let mut silent = Vec::new();
        if now < self.none_silent_before {
            return silent;
        }
        let mut next = now + SILENT;
        for peer in self.others.iter_mut().filter(|p| p.counted) {
            if peer.is_fresh(now) {
                next = next.min(peer.heard.map_or(next, |at| at + SILENT));
            } else {
                peer.count_nothing(&mut self.elsewhere);
                silent.push(peer.address);
            }
        }
        self.none_silent_before = next;
        silent
    }

    /// Notes by how much an instance's time of day is ahead; returns whether that is news.
    pub fn on_clock(&mut self, from: Ipv4Addr, ahead_ms: i64) -> bool {
        let Ok(at) = self.position(from) else {
            return false;
        };
        let told = &mut self.others[at].ahead_ms;
        // A message that was held up makes the other clock look late, so only a better reading is
        // news, or a clock that was set back by far.
        let news = told.is_none_or(|told| {
            ahead_ms >= told + CLOCK_NEWS_MS || ahead_ms <= told - CLOCK_SET_BACK_MS
        });
        if news {
            *told = Some(ahead_ms);
        }
        news
    }

    /// Forgets the instances that are gone.
    pub fn forget(&mut self, now: Instant) {
        self.others.retain(|p| !p.is_forgotten(now));
        let is_gone = |l: &Leaver| now.saturating_duration_since(l.since) >= FORGOTTEN;
        self.leavers.retain(|l| !is_gone(l));
    }

    /// What waits at the others of a zone: the instance, the service, the most urgent class.
    pub fn waiting(
        &self,
        now: Instant,
        zone: ShortName,
    ) -> impl Iterator<Item = (Ipv4Addr, ShortName, Class)> {
        let near = move |p: &&Peer| p.is_fresh(now) && p.digest.zone == zone;
        self.others.iter().filter(near).flat_map(|p| {
            let waiting = p.digest.waiting.iter();
            waiting.map(|(service, class)| (p.address, *service, *class))
        })
    }

    /// What the others have at a replica.
    pub fn load_at(&self, replica: ShortName) -> Sum {
        self.elsewhere.at(replica)
    }

    /// All replicas at which the others have or had something.
    pub fn loads(&self) -> &[(ShortName, Sum)] {
        self.elsewhere.all()
    }

    /// The replicas at which the others' load has changed since the last call.
    pub fn take_changed_loads(&mut self) -> Vec<ShortName> {
        self.elsewhere.take_changed()
    }

    /// An instance that knows the directory further than `upto`: one of the nearest, which one by
    /// `salt`, the asker's own.
    ///
    /// A fleet that asked the one that is furthest ahead would ask the same one all at once, and a
    /// large table takes a small machine's link a tenth of a second for each asker.
    pub fn ahead(
        &self,
        now: Instant,
        upto: Revision,
        place: (ShortName, ShortName),
        salt: u64,
    ) -> Option<&Peer> {
        let (zone, region) = place;
        let ahead = |p: &&Peer| p.is_fresh(now) && p.digest.upto > upto;
        let nearness = |p: &Peer| p.nearness(zone, region) as u8;
        let nearest = self.others.iter().filter(ahead).map(nearness).min()?;
        let candidates: Vec<&Peer> = self
            .others
            .iter()
            .filter(ahead)
            .filter(|p| nearness(p) == nearest)
            .collect();
        Some(candidates[salt as usize % candidates.len()])
    }

    /// Whether this instance is one of the few that read the store, so that the others need not.
    ///
    /// The first of each zone reads, and the first two of all. Whoever hears nobody that reads, reads.
    pub fn reads_store(&self, now: Instant, zone: ShortName, lost: Duration) -> bool {
        let mut before_in_zone = 0;
        let mut before_in_all = 0;
        let mut served = 0;
        for peer in self.others.iter().filter(|p| p.is_fresh(now)) {
            let age = peer
                .digest
                .store_age_ms
                .map(|ms| Duration::from_millis(u64::from(ms)));
            if age.is_none_or(|age| age > lost) {
                continue;
            }
            served += 1;
            if peer.address < self.own {
                before_in_all += 1;
                before_in_zone += usize::from(peer.digest.zone == zone);
            }
        }
        served == 0 || before_in_zone == 0 || before_in_all < READERS
    }

    /// How long this instance has run.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }
}
