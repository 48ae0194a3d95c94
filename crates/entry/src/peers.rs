//! The other instances, and what they say of their load and spending.
//!
//! Each instance tells all others what it has at each replica, what it has spent for each
//! organisation and up to which revision it knows the directory. Nothing is agreed on: a message
//! replaces the one before, and what a silent instance said last is forgotten after a while.

use std::net::Ipv4Addr;
use std::time::Duration;

use kingcupfield_decisions::allowance::Fleet;
use kingcupfield_decisions::dispatch::Class;
use kingcupfield_decisions::elsewhere::{Elsewhere, Load, Sum};
use kingcupfield_decisions::id::ShortName;
use kingcupfield_decisions::known::Revision;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// An instance that was not heard for this long may be cut off: its load is no longer counted,
/// and its share of the organisations' limits is left to it. Three of the slowest messages.
pub const SILENT: Duration = Duration::from_millis(2500);

/// An instance that was not heard for this long is gone: longer than any cut that the users see,
/// so that the two sides of a cut never spend the same share.
const FORGOTTEN: Duration = Duration::from_mins(1);

/// An instance that was told everything this lately is not told again when its first word comes.
const GREETED: Duration = Duration::from_millis(500);

/// For this long after its start an instance takes its peers' word on what was spent before.
pub const LEARNS: Duration = Duration::from_secs(2);

/// Instances that are assumed while none was ever heard: as many as the largest fleets have today. An
/// instance that starts behind a cut then spends its share alone.
const ASSUMED: usize = 64;

/// A reading of the difference between two clocks that is better by this is told again: the lines
/// that are put in order by it lie some milliseconds apart.
const CLOCK_NEWS_MS: i64 = 20;

/// A reading that is worse by this is told as well: messages are held up for less.
const CLOCK_SET_BACK_MS: i64 = 1000;

/// An instance that starts finds the others within this time: some messages to another region and back.
const GATHERING: Duration = Duration::from_millis(500);

/// It has found all once none was new for this long.
const SETTLED: Duration = Duration::from_millis(300);

/// After this it stops to wait, as in a fleet that grows.
const GATHERED: Duration = Duration::from_secs(3);

/// Part of the others that need not have heard: fewer than a zone of a small fleet, which a cut takes.
const UNCONFIRMED: f64 = 0.25;

/// What a message and its answer may take between regions, with a margin.
const TRAVEL: Duration = Duration::from_millis(100);

/// Instances that read the store at least, in a fleet of one zone.
const READERS: usize = 2;

/// A message from one instance to another.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Digest {
    /// Distinguishes the lives of the instance.
    pub incarnation: u64,
    /// Revision up to which it knows the directory.
    pub upto: Revision,
    /// Its availability zone.
    pub zone: ShortName,
    /// Its region.
    pub region: ShortName,
    /// Milliseconds since the store last answered it, if it ever did.
    pub store_age_ms: Option<u32>,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Replicas that it could not reach just now.
    pub unreachable: Vec<ShortName>,
    /// Its load at replicas; those that are missing have none.
    pub loads: Vec<Load>,
    /// The most urgent class that waits there, by service; none where nothing waits.
    pub waiting: Vec<(ShortName, Class)>,
    /// What it has spent of organisations since it started; those that are missing have not changed.
    pub spent: Vec<(ShortName, u64)>,
    /// Microseconds a step that it has learned of replicas; not in every message.
    pub steps: Vec<(ShortName, u32)>,
    /// What it takes organisations to have spent within the operator's span and within its later half;
    /// not in every message.
    pub known: Vec<(ShortName, u64, u64)>,
    /// Milliseconds for which it has seen what is spent, up to the operator's span; the rest of `known`
    /// is assumed.
    pub sees_ms: u32,
    /// Whether it has seen all of that span.
    pub informed: bool,
    /// How many instances it hears, with itself.
    pub hears: u16,
    /// Milliseconds since the most silent of those spoke that are as near as the receiver.
    pub oldest_ms: u16,
    /// Instances that it has heard lately; not in every message.
    pub members: Vec<Ipv4Addr>,
    /// Its time of day in milliseconds; not in every message.
    pub time_ms: Option<u64>,
}

/// What is known of one other instance.
#[derive(Debug)]
pub struct Peer {
    /// Its address.
    pub address: Ipv4Addr,
    /// When it was heard last; `None` if it is only known by name.
    pub heard: Option<Instant>,
    /// When it became known.
    pub since: Instant,
    /// When it was told everything last.
    pub told: Option<Instant>,
    /// What it said last.
    pub digest: Digest,
    /// What it has spent of each organisation in this life.
    spent: Vec<(ShortName, u64)>,
    /// It has heard what was told to it up to here.
    confirmed: Instant,
    /// By how many milliseconds its time of day was ahead when that was told last.
    ahead_ms: Option<i64>,
    /// Whether its load is counted: it was heard and has not fallen silent since.
    counted: bool,
}

/// How near another instance is, which decides how often it is told of loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Nearness {
    /// In the same availability zone.
    Zone,
    /// In another zone of the region, or not known yet.
    Region,
    /// In another region.
    Far,
}

impl Peer {
    /// Whether it was heard lately.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|at| now.saturating_duration_since(at) < SILENT)
    }

    /// How near it is to an instance of this zone and region.
    pub fn nearness(&self, zone: ShortName, region: ShortName) -> Nearness {
        if self.heard.is_none() {
            return Nearness::Region;
        }
        if self.digest.zone == zone {
            return Nearness::Zone;
        }
        if self.digest.region == region {
            return Nearness::Region;
        }
        Nearness::Far
    }

    /// Takes totals and returns by how much they have grown.
    fn take_spent(
        &mut self,
        totals: &[(ShortName, u64)],
        first_word: bool,
    ) -> Vec<(ShortName, u64)> {
        let mut more = Vec::new();
        for (name, total) in totals {
            let known = match self.spent.binary_search_by(|(n, _)| n.cmp(name)) {
                Ok(at) => &mut self.spent[at].1,
                Err(at) => {
                    self.spent.insert(at, (*name, 0));
                    &mut self.spent[at].1
                }
            };
            if *total > *known && !first_word {
                more.push((*name, *total - *known));
            }
            *known = *total;
        }
        more
    }

    /// Takes from a message up to when it has heard everything that it was told.
    ///
    /// One that hears fewer than this instance does may not hear this one.
    fn confirm(&mut self, now: Instant, digest: &Digest, fresh: usize) {
        if usize::from(digest.hears) < fresh {
            return;
        }
        let old = Duration::from_millis(u64::from(digest.oldest_ms)) + TRAVEL;
        if let Some(upto) = now.checked_sub(old) {
            self.confirmed = self.confirmed.max(upto);
        }
    }

    /// Counts its load, in place of what was counted before.
    fn count(&mut self, elsewhere: &mut Elsewhere, loads: &[Load]) {
        let before: &[Load] = if self.counted {
            &self.digest.loads
        } else {
            &[]
        };
        elsewhere.replace(before, loads);
        self.counted = true;
    }

    fn count_nothing(&mut self, elsewhere: &mut Elsewhere) {
        self.count(elsewhere, &[]);
        self.counted = false;
    }

    fn is_forgotten(&self, now: Instant) -> bool {
        let last = self.heard.unwrap_or(self.since);
        now.saturating_duration_since(last) >= FORGOTTEN
    }
}

/// What a message changed.
#[derive(Debug, Default)]
pub struct Heard {
    /// Spending that was not known before.
    pub spent: Vec<(ShortName, u64)>,
    /// Whether the instance is new or started anew.
    pub is_new: bool,
    /// Instances that should be told everything at once.
    pub greet: Vec<Ipv4Addr>,
    /// Instances that have fallen silent since the last look.
    pub silent: Vec<Ipv4Addr>,
}

/// The other instances, sorted by address.
#[derive(Debug)]
pub struct Peers {
    own: Ipv4Addr,
    zone: ShortName,
    zones: usize,
    has_contacts: bool,
    others: Vec<Peer>,
    /// Instances that end, which no longer count but still tell what they spend.
    leavers: Vec<Peer>,
    elsewhere: Elsewhere,
    started: Instant,
    /// When another instance became known last.
    learned: Instant,
    /// Whether an instance that knows the fleet has named its members.
    introduced: bool,
    first_start: bool,
}

impl Peers {
    /// Knows nobody yet.
    pub fn new(now: Instant, own: Ipv4Addr, has_contacts: bool) -> Self {
        Self {
            own,
            zone: ShortName::default(),
            zones: 1,
            has_contacts,
            others: Vec::new(),
            leavers: Vec::new(),
            elsewhere: Elsewhere::new(),
            started: now,
            learned: now,
            introduced: false,
            first_start: false,
        }
    }

    /// Tells the zone of this instance and how many there are.
    #[must_use]
    pub fn with_zones(mut self, own: ShortName, zones: usize) -> Self {
        self.zone = own;
        self.zones = zones;
        self
    }

    /// The whole fleet starts for the first time: no caller waits yet.
    #[must_use]
    pub fn with_first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }

    /// The other instances that are known.
    pub fn all(&self) -> &[Peer] {
        &self.others
    }

    /// Number of instances that are known, with this one.
    pub fn known(&self) -> usize {
        let known = self.others.len() + 1;
        if known == 1 && self.has_contacts {
            return ASSUMED;
        }
        known
    }

    /// Number of instances that are heard now, with this one.
    pub fn fresh(&self, now: Instant) -> usize {
        self.others.iter().filter(|p| p.is_fresh(now)).count() + 1
    }

    /// How long ago the most silent of those that are heard spoke last: so old the counts of the
    /// others may be.
    pub fn oldest_word(&self, now: Instant) -> Duration {
        let heard = self.others.iter().filter(|p| p.is_fresh(now));
        let oldest = heard.filter_map(|p| p.heard).min();
        oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// How long ago the most silent of one nearness spoke last.
    pub fn oldest_of(
        &self,
        now: Instant,
        place: (ShortName, ShortName),
        nearness: Nearness,
    ) -> Duration {
        let near = |p: &&Peer| p.is_fresh(now) && p.nearness(place.0, place.1) == nearness;
        let oldest = self
            .others
            .iter()
            .filter(near)
            .filter_map(|p| p.heard)
            .min();
        oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Share of the known instances that are heard now.
    pub fn part(&self, now: Instant) -> f64 {
        let known = self.known().max(self.expected(now));
        self.fresh(now) as f64 / known as f64
    }

    /// How many instances there are if those zones that were never heard have as many as the others.
    ///
    /// The instances of a zone that are restarted while it is cut off find only each other, and would
    /// spend the whole of a limit beside the rest of the fleet.
    fn expected(&self, now: Instant) -> usize {
        if self.first_start || self.age(now) >= FORGOTTEN {
            return 0;
        }
        let heard = self.others.iter().filter(|p| p.heard.is_some());
        let mut zones: Vec<ShortName> = heard.map(|p| p.digest.zone).collect();
        let instances = zones.len() + 1;
        zones.push(self.zone);
        zones.sort_unstable();
        zones.dedup();
        instances * self.zones.max(zones.len()) / zones.len()
    }

    /// What a limit of the whole fleet has to go by at this instance.
    pub fn fleet(&self, now: Instant) -> Fleet {
        if self.is_gathering(now) {
            return Fleet {
                part: 1.0,
                instances: self.fresh(now).max(ASSUMED),
                confirmed: self.started,
            };
        }
        let heard = self.others.iter().filter(|p| p.is_fresh(now));
        let mut confirmed: Vec<Instant> = heard.map(|p| p.confirmed).collect();
        confirmed.sort_unstable();
        let slowest = (confirmed.len() as f64 * UNCONFIRMED) as usize;
        Fleet {
            part: self.part(now),
            instances: self.fresh(now),
            confirmed: confirmed.get(slowest).copied().unwrap_or(now),
        }
    }

    /// Whether this instance has not found the others yet. Each of a fleet that starts anew would take
    /// the share of one among few; until it knows better it is one of the largest fleet.
    fn is_gathering(&self, now: Instant) -> bool {
        let age = self.age(now);
        let since = now.saturating_duration_since(self.learned);
        !self.first_start
            && !self.introduced
            && self.has_contacts
            && age < GATHERED
            && (age < GATHERING || since < SETTLED)
    }

    /// Makes an instance known by its address.
    ///
    /// Returns whether it was not known before.
    pub fn learn(&mut self, now: Instant, address: Ipv4Addr) -> bool {
        if address == self.own {
            return false;
        }
        if let Err(at) = self.others.binary_search_by(|p| p.address.cmp(&address)) {
            let peer = Peer {
                address,
                heard: None,
                since: now,
                told: None,
                digest: Digest::default(),
                spent: Vec::new(),
                confirmed: now,
                ahead_ms: None,
                counted: false,
            };
            self.others.insert(at, peer);
            self.learned = now;
            return true;
        }
        false
    }

    /// Notes that an instance was told everything.
    pub fn on_told(&mut self, now: Instant, address: Ipv4Addr) {
        if let Ok(at) = self.others.binary_search_by(|p| p.address.cmp(&address)) {
            self.others[at].told = Some(now);
        }
    }

    /// Takes a message.
    pub fn on_digest(&mut self, now: Instant, from: Ipv4Addr, mut digest: Digest) -> Heard {
        if from == self.own {
            return Heard::default();
        }
        let mut greet = Vec::new();
        self.introduced |= digest.informed;
        for member in std::mem::take(&mut digest.members) {
            if self.learn(now, member) {
                greet.push(member);
            }
        }
        if digest.leaving || self.has_left(from, digest.incarnation) {
            return self.on_leaver(now, from, &digest);
        }
        self.learn(now, from);
        let Ok(at) = self.others.binary_search_by(|p| p.address.cmp(&from)) else {
            return Heard::default();
        };
        let settled = self.age(now) >= LEARNS;
        let fresh = self.fresh(now);
        let silent = self.silence(now);
        let peer = &mut self.others[at];
        let same_life = peer.digest.incarnation == digest.incarnation;
        let is_new = !same_life || !peer.is_fresh(now);
        // A started instance has what others spent before from their word on the whole; later, an
        // instance that was never heard is new, and all that it spent is of now.
        let first_word = peer.heard.is_none() && !settled;
        if !same_life {
            peer.spent.clear();
        }
        let spent = peer.take_spent(&digest.spent, first_word);
        peer.confirm(now, &digest, fresh);
        digest.upto = digest.upto.max(peer.digest.upto);
        peer.count(&mut self.elsewhere, &digest.loads);
        peer.digest = digest;
        peer.heard = Some(now);
        let told = peer
            .told
            .is_some_and(|at| now.saturating_duration_since(at) < GREETED);
        if is_new && !told {
            greet.push(from);
        }
        Heard {
            spent,
            is_new,
            greet,
            silent,
        }
    }

    fn has_left(&self, address: Ipv4Addr, incarnation: u64) -> bool {
        let same = |p: &Peer| p.address == address && p.digest.incarnation == incarnation;
        self.leavers.iter().any(same)
    }

    /// Takes the word of an instance that ends: it has no share and no load any more, but what it still
    /// admits would be spent once more by the others if it were not counted.
    fn on_leaver(&mut self, now: Instant, from: Ipv4Addr, digest: &Digest) -> Heard {
        if let Ok(at) = self.others.binary_search_by(|p| p.address.cmp(&from)) {
            if self.others[at].digest.incarnation != digest.incarnation
                && self.has_left(from, digest.incarnation)
            {
                return Heard::default();
            }
            let mut leaver = self.others.remove(at);
            leaver.count_nothing(&mut self.elsewhere);
            self.leavers.retain(|p| p.address != from);
            self.leavers.push(leaver);
        }
        let Some(leaver) = self.leavers.iter_mut().find(|p| p.address == from) else {
            return Heard::default();
        };
        leaver.heard = Some(now);
        if leaver.digest.incarnation != digest.incarnation {
            leaver.digest.incarnation = digest.incarnation;
            leaver.spent.clear();
        }
        Heard {
            spent: leaver.take_spent(&digest.spent, false),
            ..Heard::default()
        }
    }

    /// Stops to count the load of instances that have fallen silent, and names them.
    pub fn silence(&mut self, now: Instant) -> Vec<Ipv4Addr> {
        let mut silent = Vec::new();
        for peer in &mut self.others {
            if peer.counted && !peer.is_fresh(now) {
                peer.count_nothing(&mut self.elsewhere);
                silent.push(peer.address);
            }
        }
        silent
    }

    /// Notes by how much an instance's time of day is ahead; returns whether that is news.
    pub fn on_clock(&mut self, from: Ipv4Addr, ahead_ms: i64) -> bool {
        let Ok(at) = self.others.binary_search_by(|p| p.address.cmp(&from)) else {
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
        self.leavers.retain(|p| !p.is_forgotten(now));
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

    /// Number of instances in other regions.
    pub fn far(&self, now: Instant, zone: ShortName, region: ShortName) -> usize {
        let far = |p: &&Peer| p.is_fresh(now) && p.nearness(zone, region) == Nearness::Far;
        self.others.iter().filter(far).count()
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
    pub fn reads(&self, now: Instant, zone: ShortName, lost: Duration) -> bool {
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
