//! Which instances live: the platform's lagging list joined with what peers observe.
//!
//! Load pattern: crashes, pauses and cuts while the list is stale. Without this module every
//! instance would go on reserving at a dead owner until the list caught up, or would drop all its
//! peers when the list comes back empty.
//!
//! Each instance watches [`WATCHED`] neighbours of its zone by rank (ring distances 1, 2, 4) and
//! relays what it sees to neighbours at all powers of two, so news crosses a zone of N instances
//! in about log2 N hops and nobody talks to everybody. A silent instance is suspected; it refutes
//! a suspicion with a higher word, else it is dead [`DEAD_AFTER`] later in everybody's view. A
//! restarted instance has a higher incarnation and is a new one. Two instances of each zone also
//! watch two of each other zone.
//!
//! Views may differ for a moment. No promise rests on their agreement; see the design note on
//! idempotency keys and the one on ownership.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{Incarnation, InstanceId, UpstreamId, Version, ZoneId};
use crate::values::{Instances, Role, State};

pub use message::{Claim, Envelope, Health, LeavingUpstream, MembershipMessage};
use peer::{Listed, Peer};
use upstreams::Upstreams;

mod message;
mod peer;
mod relay;
mod upstreams;

/// How often a watched neighbour is greeted.
///
/// Three neighbours, twice a second, with answers: about 12 messages a second of 150 to 400 bytes,
/// a third of the 9 KB/s that a node may spend on control.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a neighbour is suspected: three heartbeats in a row were lost.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);

/// Time that a suspected instance has to refute: the news needs log2 66 = 7 hops there and back
/// in a zone of the target size, each well under 50 ms inside a zone.
pub const DEAD_AFTER: Duration = Duration::from_secs(1);

/// How often one instance that is dead here but still listed is greeted again, so that two sides
/// of a healed cut, which hold each other dead, find together.
pub const DEAD_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a dead or gone instance is remembered once the list has dropped it.
pub const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Neighbours that each instance watches; with three a neighbour may die together with a watcher.
pub const WATCHED_NEIGHBOURS: usize = 3;

/// Instances of each zone that watch instances of the other zones.
pub const BRIDGES_PER_ZONE: usize = 2;

/// Instances of each zone that wait on the platform; the rest poll slowly and hear from peers.
pub const PLATFORM_READERS_PER_ZONE: usize = 2;

/// Most entry instances that are remembered, three times the size expected within two years.
pub const MAX_PEERS: usize = 1024;

/// Most claims in one heartbeat; the rest follow in turn.
pub const MAX_CLAIMS_PER_HEARTBEAT: usize = 2;

/// The live instances of one zone.
#[derive(Debug)]
struct ZoneView {
    zone: ZoneId,
    live_instances: Vec<InstanceId>,
}

/// One instance's view of all entry instances and of the leaving upstreams.
#[derive(Debug)]
pub struct Membership {
    me: InstanceId,
    incarnation: Incarnation,
    zone: ZoneId,
    word: u64,
    leaving: bool,
    superseded: bool,
    peers: Vec<Peer>,
    views: Vec<ZoneView>,
    generation: u64,
    upstreams: Upstreams,
    ticked: Instant,
    greeted: Instant,
    probed: Instant,
    turn: usize,
}

impl Membership {
    /// Makes the view of instance `me`, which knows nobody yet.
    pub fn new(me: InstanceId, incarnation: Incarnation, zone: ZoneId, now: Instant) -> Self {
        let mut membership = Self {
            me,
            incarnation,
            zone,
            word: 0,
            leaving: false,
            superseded: false,
            peers: Vec::new(),
            views: Vec::new(),
            generation: 0,
            upstreams: Upstreams::default(),
            ticked: now,
            greeted: now,
            probed: now,
            turn: 0,
        };
        membership.refresh();
        membership
    }

    /// Joins a list of instances that came into force.
    ///
    /// An instance that the list has dropped stays while peers show it: the list lags, and one
    /// that was cut short must not end a fleet that works.
    pub fn on_instance_list(
        &mut self,
        now: Instant,
        version: Version,
        list: &Instances,
    ) -> Vec<Envelope> {
        for peer in &mut self.peers {
            peer.listed = Listed::Absent;
        }
        for instance in list.instances.iter().filter(|i| i.role == Role::Entry) {
            if instance.instance == self.me {
                continue;
            }
            if let Some(peer) = self.ensure(now, &instance.instance, &instance.availability_zone) {
                peer.zone = Arc::clone(&instance.availability_zone);
                peer.listed = match instance.state {
                    State::Live => Listed::Live,
                    State::Leaving => Listed::Leaving,
                };
            }
        }
        // Never heard of by any peer, so the list was all that spoke for it.
        self.peers
            .retain(|p| p.listed != Listed::Absent || p.incarnation > 0);
        let news = self.upstreams.on_list(now, version, list);
        self.refresh();
        self.tell_upstreams(news)
    }

    /// Notes a replica's own word that it leaves.
    pub fn on_upstream_leaving(&mut self, now: Instant, upstream: &UpstreamId) -> Vec<Envelope> {
        let news = self.upstreams.on_report(now, upstream);
        self.tell_upstreams(news.into_iter().collect())
    }

    /// Announces that this instance leaves.
    pub fn leave(&mut self) -> Vec<Envelope> {
        if self.leaving {
            return Vec::new();
        }
        self.leaving = true;
        self.word += 1;
        self.refresh();
        let claim = self.own_claim();
        self.tell(&MembershipMessage::Leaving(claim), None)
    }

    /// Takes the time: greets, suspects, declares dead, forgets. Call it every
    /// [`HEARTBEAT_EVERY`] or more often.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Envelope> {
        if now.duration_since(self.ticked) >= SUSPECT_AFTER {
            // This process itself was paused: everybody looks silent, and it would declare its
            // whole zone dead. The watch starts anew instead.
            for peer in &mut self.peers {
                peer.heard = now;
                peer.since = now;
            }
        }
        self.ticked = now;
        let mut out = self.suspect_silent(now);
        self.expire(now);
        if now.duration_since(self.greeted) >= HEARTBEAT_INTERVAL {
            self.greeted = now;
            out.extend(self.greet());
        }
        if now.duration_since(self.probed) >= DEAD_PROBE_INTERVAL {
            self.probed = now;
            out.extend(self.probe());
        }
        self.refresh();
        out
    }

    /// When [`Self::on_tick`] has something to do next.
    pub fn next_tick_at(&self) -> Instant {
        self.greeted + HEARTBEAT_INTERVAL
    }

    /// Live instances of a zone, sorted; the ground of ownership. Suspected ones still count,
    /// leaving ones do not.
    pub fn live_instances(&self, zone: &str) -> &[InstanceId] {
        self.views
            .binary_search_by(|v| (*v.zone).cmp(zone))
            .map_or(&[], |i| &self.views[i].live_instances)
    }

    /// Zones with at least one live instance, sorted.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.views.iter().map(|v| &v.zone)
    }

    /// Grows with each change of [`Self::live`], so that owners are computed anew only then.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// What is known about an instance; none if it is unknown.
    pub fn status(&self, instance: &str) -> Option<InstanceStatus> {
        if *instance == *self.me {
            let leaving = self.leaving.then_some(InstanceStatus::Leaving);
            return Some(leaving.unwrap_or(InstanceStatus::Live));
        }
        self.peer(instance).map(Peer::standing)
    }

    /// Latest incarnation that was heard of; none if the instance was never heard of.
    pub fn incarnation(&self, instance: &str) -> Option<Incarnation> {
        if *instance == *self.me {
            return Some(self.incarnation);
        }
        self.peer(instance)
            .map(|p| p.incarnation)
            .filter(|i| *i > 0)
    }

    /// Whether a later process runs under this instance's name; this one should end.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Upstreams that leave by the list's, their own or a peer's word, sorted.
    pub fn leaving_upstreams(&self) -> &[UpstreamId] {
        self.upstreams.leaving()
    }

    /// Whether this instance is one of the few of its zone that wait on the platform.
    pub fn reads_platform(&self) -> bool {
        self.rank()
            .is_some_and(|rank| rank < PLATFORM_READERS_PER_ZONE)
    }

    /// Position among the live instances of the zone; none while leaving.
    fn rank(&self) -> Option<usize> {
        self.live_instances(&self.zone).binary_search(&self.me).ok()
    }

    fn peer(&self, instance: &str) -> Option<&Peer> {
        self.position(instance).ok().map(|i| &self.peers[i])
    }

    fn position(&self, instance: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|p| (*p.id).cmp(instance))
    }

    /// Finds or adds a peer; none when too many are known.
    fn ensure(&mut self, now: Instant, id: &InstanceId, zone: &ZoneId) -> Option<&mut Peer> {
        match self.position(id) {
            Ok(i) => Some(&mut self.peers[i]),
            Err(_) if self.peers.len() >= MAX_PEERS => None,
            Err(i) => {
                let peer = Peer::new(Arc::clone(id), Arc::clone(zone), now);
                self.peers.insert(i, peer);
                Some(&mut self.peers[i])
            }
        }
    }

    fn suspect_silent(&mut self, now: Instant) -> Vec<Envelope> {
        let mut out = Vec::new();
        for id in self.watched() {
            let Ok(i) = self.position(&id) else { continue };
            let peer = &mut self.peers[i];
            let silent = now.duration_since(peer.heard) >= SUSPECT_AFTER;
            if silent && peer.health == Health::Live {
                peer.set_health(Health::Suspected, now);
                let message = MembershipMessage::Suspect(peer.claim());
                out.extend(self.tell(&message, None));
                out.push(Envelope { to: id, message });
            }
        }
        out
    }

    fn expire(&mut self, now: Instant) {
        self.upstreams.expire(now);
        for peer in &mut self.peers {
            let waited = now.duration_since(peer.since);
            if peer.health == Health::Suspected && waited >= DEAD_AFTER {
                peer.set_health(Health::Dead, now);
            }
        }
        self.peers.retain(|p| {
            let gone = p.health == Health::Dead || p.leaving;
            let long = now.duration_since(p.since.max(p.heard)) >= FORGET_AFTER;
            !(p.listed == Listed::Absent && gone && long)
        });
    }

    /// Computes the live instances anew and notes whether they changed.
    fn refresh(&mut self) {
        let mut members = self
            .peers
            .iter()
            .filter(|p| p.standing().accepts_work())
            .map(|p| (&p.zone, &p.id))
            .collect::<Vec<_>>();
        if !self.leaving {
            members.push((&self.zone, &self.me));
        }
        members.sort();
        let mut views: Vec<ZoneView> = Vec::new();
        for (zone, id) in members {
            match views.last_mut() {
                Some(view) if view.zone == *zone => view.live_instances.push(Arc::clone(id)),
                _ => views.push(ZoneView {
                    zone: Arc::clone(zone),
                    live_instances: vec![Arc::clone(id)],
                }),
            }
        }
        let same = views.len() == self.views.len()
            && (views.iter().zip(&self.views))
                .all(|(a, b)| a.zone == b.zone && a.live_instances == b.live_instances);
        if !same {
            self.views = views;
            self.generation += 1;
        }
    }
}

/// What is known about an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceStatus {
    /// It takes work.
    Live,
    /// It was silent and has not refuted yet; it still counts as live.
    Suspected,
    /// It finishes what it has.
    Leaving,
    /// It is gone, or cut off from here.
    Dead,
}

impl InstanceStatus {
    /// Whether new work may go there.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspected)
    }
}

/// Ranks of the zone's neighbours at powers of two, from `rank` on a ring of `size`.
fn fingers(rank: usize, size: usize) -> impl Iterator<Item = usize> {
    (0..usize::BITS)
        .map(|power| 1_usize << power)
        .take_while(move |distance| *distance < size)
        .map(move |distance| (rank + distance) % size)
}
