//! Determines which instances are live, from the platform's lagging list and from observations of
//! peers.
//!
//! Load pattern: crashes, pauses and network partitions while the list is stale. Relying on the
//! list alone, an instance would keep reserving slots at a dead owner until the list is updated, or
//! would drop all its peers when the list comes back empty.
//!
//! Each instance watches [`WATCHED_NEIGHBOURS`] neighbours in the ring of its zone (at distances 1,
//! 2 and 4) and relays changes to the neighbours at all distances that are powers of two, so that a
//! change reaches a zone of N instances in about log2 N hops without every instance contacting
//! every other. An instance that doesn't respond is suspected. Unless it refutes the suspicion by a
//! claim of a higher revision, all instances consider it dead after [`DEAD_AFTER`]. A restarted
//! instance has a higher incarnation and counts as a new one. Two instances of each zone also watch
//! two of each other zone.
//!
//! The views of instances may differ for a moment. No guarantee depends on their agreement; see the
//! design notes on idempotency keys and on ownership.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::id::{Incarnation, InstanceId, UpstreamId, Version, ZoneId};
use crate::values::{Instances, Role, State};

pub use message::{Claim, Envelope, Health, LeavingUpstream, MembershipMessage};
use peer::{ListState, Peer};
use upstreams::Upstreams;

mod message;
mod peer;
mod relay;
mod upstreams;

/// Interval between heartbeats to a watched neighbour.
///
/// Three neighbours twice a second, with replies, are about 12 messages per second of 150 to 400
/// bytes: a third of the 9 KB/s that a node may spend on control messages.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a message after which a neighbour is suspected: three heartbeats in a row were
/// lost.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1500);

/// Time for a suspected instance to refute the suspicion. In a zone of the target size the messages
/// take log2 66 = 7 hops there and as many back, each well under 50 ms.
pub const DEAD_AFTER: Duration = Duration::from_secs(1);

/// Interval of heartbeats to an instance that is considered dead but still listed. They reconnect
/// the two sides of a healed partition, which consider each other dead.
pub const DEAD_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a dead or departed instance is remembered after the list has dropped it.
pub const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Neighbours that each instance watches. With three, one may fail at the same time as its watcher.
pub const WATCHED_NEIGHBOURS: usize = 3;

/// Instances of each zone that exchange messages with the other zones.
pub const BRIDGES_PER_ZONE: usize = 2;

/// Instances of each zone that long-poll the platform; the others poll rarely and are updated by
/// peers.
pub const PLATFORM_READERS_PER_ZONE: usize = 2;

/// Largest number of entry instances to remember, three times the number expected within two years.
pub const MAX_PEERS: usize = 1024;

/// Largest number of claims in one heartbeat; the others follow in rotation.
pub const MAX_CLAIMS_PER_HEARTBEAT: usize = 2;

/// The live instances of one zone, sorted.
#[derive(Debug)]
struct ZoneView {
    zone: ZoneId,
    live_instances: Vec<InstanceId>,
}

/// View of one instance: all entry instances, and the upstreams that are shutting down.
#[derive(Debug)]
pub struct Membership {
    own_id: InstanceId,
    incarnation: Incarnation,
    zone: ZoneId,
    /// Revision of this instance's claim about itself.
    revision: u64,
    leaving: bool,
    /// Whether a claim showed a later incarnation of this instance.
    superseded: bool,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Sorted by zone.
    views: Vec<ZoneView>,
    /// Increases with each change of `views`.
    generation: u64,
    upstreams: Upstreams,
    last_tick_at: Instant,
    last_heartbeat_at: Instant,
    last_dead_probe_at: Instant,
    /// Rotates the claims in heartbeats and the dead peers that are probed.
    heartbeat_count: usize,
}

impl Membership {
    /// Creates the view of instance `own_id`, which knows no other instance yet.
    pub fn new(own_id: InstanceId, incarnation: Incarnation, zone: ZoneId, now: Instant) -> Self {
        let mut membership = Self {
            own_id,
            incarnation,
            zone,
            revision: 0,
            leaving: false,
            superseded: false,
            peers: Vec::new(),
            views: Vec::new(),
            generation: 0,
            upstreams: Upstreams::default(),
            last_tick_at: now,
            last_heartbeat_at: now,
            last_dead_probe_at: now,
            heartbeat_count: 0,
        };
        membership.update_live_instances();
        membership
    }

    /// Merges a new version of the list and returns the messages to send.
    ///
    /// An instance missing from the list stays while peers report it: the list lags, and a
    /// truncated one must not take down a working deployment.
    pub fn on_instance_list(
        &mut self,
        now: Instant,
        version: Version,
        list: &Instances,
    ) -> Vec<Envelope> {
        for peer in &mut self.peers {
            peer.listed = ListState::Absent;
        }
        for instance in list.instances.iter().filter(|i| i.role == Role::Entry) {
            if instance.instance == self.own_id {
                continue;
            }
            if let Some(peer) =
                self.find_or_insert_peer(now, &instance.instance, &instance.availability_zone)
            {
                peer.zone = Arc::clone(&instance.availability_zone);
                peer.listed = match instance.state {
                    State::Live => ListState::Live,
                    State::Leaving => ListState::Leaving,
                };
            }
        }
        // No message was ever received about these, and the list no longer contains them either.
        self.peers
            .retain(|p| p.listed != ListState::Absent || p.incarnation > 0);
        let reports = self.upstreams.on_instance_list(now, version, list);
        self.update_live_instances();
        self.relay_leaving_upstreams(reports)
    }

    /// Processes a replica's report of its own shutdown and returns the messages to send.
    pub fn on_upstream_leaving(&mut self, now: Instant, upstream: &UpstreamId) -> Vec<Envelope> {
        let report = self.upstreams.on_replica_report(now, upstream);
        self.relay_leaving_upstreams(report.into_iter().collect())
    }

    /// Starts the shutdown of this instance and returns the messages that announce it.
    pub fn leave(&mut self) -> Vec<Envelope> {
        if self.leaving {
            return Vec::new();
        }
        self.leaving = true;
        self.revision += 1;
        self.update_live_instances();
        let claim = self.own_claim();
        self.relay(&MembershipMessage::Leaving(claim), None)
    }

    /// Sends due heartbeats, suspects unresponsive neighbours, declares suspects dead and forgets
    /// old peers. To be called at least every [`HEARTBEAT_INTERVAL`]; returns the messages to send.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Envelope> {
        if now.duration_since(self.last_tick_at) >= SUSPECT_AFTER {
            // This process itself was paused: all peers seem unresponsive, and it would declare its
            // whole zone dead. Restart the timeouts instead.
            for peer in &mut self.peers {
                peer.last_heard_at = now;
                peer.health_since = now;
            }
        }
        self.last_tick_at = now;
        let mut out = self.suspect_silent_neighbours(now);
        self.expire(now);
        if now.duration_since(self.last_heartbeat_at) >= HEARTBEAT_INTERVAL {
            self.last_heartbeat_at = now;
            out.extend(self.heartbeats());
        }
        if now.duration_since(self.last_dead_probe_at) >= DEAD_PROBE_INTERVAL {
            self.last_dead_probe_at = now;
            out.extend(self.dead_peer_probe());
        }
        self.update_live_instances();
        out
    }

    /// Time at which [`Self::on_tick`] next has a heartbeat to send.
    pub fn next_tick_at(&self) -> Instant {
        self.last_heartbeat_at + HEARTBEAT_INTERVAL
    }

    /// Live instances of a zone, sorted, among which the owners of keys are chosen. Suspected
    /// instances are included, those that are shutting down are not.
    pub fn live_instances(&self, zone: &str) -> &[InstanceId] {
        self.views
            .binary_search_by(|v| (*v.zone).cmp(zone))
            .map_or(&[], |i| &self.views[i].live_instances)
    }

    /// Zones with at least one live instance, sorted.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.views.iter().map(|v| &v.zone)
    }

    /// Counter that increases with each change of [`Self::live_instances`], to recompute owners
    /// only then.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Status of an instance; `None` if it is unknown.
    pub fn status(&self, instance: &str) -> Option<InstanceStatus> {
        if *instance == *self.own_id {
            let leaving = self.leaving.then_some(InstanceStatus::Leaving);
            return Some(leaving.unwrap_or(InstanceStatus::Live));
        }
        self.peer(instance).map(Peer::status)
    }

    /// Latest known incarnation of an instance; `None` if it is only known from the list, or
    /// unknown.
    pub fn incarnation(&self, instance: &str) -> Option<Incarnation> {
        if *instance == *self.own_id {
            return Some(self.incarnation);
        }
        self.peer(instance)
            .map(|p| p.incarnation)
            .filter(|i| *i > 0)
    }

    /// Whether a successor runs under this instance's name, so that this process should exit.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Names of the upstreams that are shutting down, as reported by the list, the upstream itself
    /// or a peer; sorted.
    pub fn leaving_upstreams(&self) -> &[UpstreamId] {
        self.upstreams.leaving()
    }

    /// Whether this instance is one of the few in its zone that long-poll the platform.
    pub fn reads_platform(&self) -> bool {
        self.rank()
            .is_some_and(|rank| rank < PLATFORM_READERS_PER_ZONE)
    }

    /// Position among the live instances of the zone; `None` during shutdown.
    fn rank(&self) -> Option<usize> {
        self.live_instances(&self.zone)
            .binary_search(&self.own_id)
            .ok()
    }

    fn peer(&self, instance: &str) -> Option<&Peer> {
        self.position(instance).ok().map(|i| &self.peers[i])
    }

    fn position(&self, instance: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|p| (*p.id).cmp(instance))
    }

    /// Finds a peer or inserts it; `None` if there are too many.
    fn find_or_insert_peer(
        &mut self,
        now: Instant,
        id: &InstanceId,
        zone: &ZoneId,
    ) -> Option<&mut Peer> {
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

    /// Suspects watched instances that sent nothing for [`SUSPECT_AFTER`].
    fn suspect_silent_neighbours(&mut self, now: Instant) -> Vec<Envelope> {
        let mut out = Vec::new();
        for id in self.watched_instances() {
            let Ok(i) = self.position(&id) else { continue };
            let peer = &mut self.peers[i];
            let is_silent = now.duration_since(peer.last_heard_at) >= SUSPECT_AFTER;
            if is_silent && peer.health == Health::Live {
                peer.set_health(Health::Suspected, now);
                let message = MembershipMessage::Suspect(peer.claim());
                out.extend(self.relay(&message, None));
                out.push(Envelope { to: id, message });
            }
        }
        out
    }

    /// Declares suspects dead, and forgets dead or departed peers that are no longer listed.
    fn expire(&mut self, now: Instant) {
        self.upstreams.expire(now);
        for peer in &mut self.peers {
            let suspected_for = now.duration_since(peer.health_since);
            if peer.health == Health::Suspected && suspected_for >= DEAD_AFTER {
                peer.set_health(Health::Dead, now);
            }
        }
        self.peers.retain(|p| {
            let is_gone = p.health == Health::Dead || p.leaving;
            let is_old = now.duration_since(p.health_since.max(p.last_heard_at)) >= FORGET_AFTER;
            !(p.listed == ListState::Absent && is_gone && is_old)
        });
    }

    /// Recomputes the live instances from the peers and updates the generation if they changed.
    fn update_live_instances(&mut self) {
        let mut members = self
            .peers
            .iter()
            .filter(|p| p.status().accepts_work())
            .map(|p| (&p.zone, &p.id))
            .collect::<Vec<_>>();
        if !self.leaving {
            members.push((&self.zone, &self.own_id));
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
        let unchanged = views.len() == self.views.len()
            && (views.iter().zip(&self.views))
                .all(|(a, b)| a.zone == b.zone && a.live_instances == b.live_instances);
        if !unchanged {
            self.views = views;
            self.generation += 1;
        }
    }
}

/// Status of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceStatus {
    /// It is responsive and accepts work.
    Live,
    /// It doesn't respond and has not refuted the suspicion yet; it still counts as live.
    Suspected,
    /// It is shutting down and only finishes its requests.
    Leaving,
    /// It has failed or is unreachable from here.
    Dead,
}

impl InstanceStatus {
    /// Whether new requests may be sent to the instance.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspected)
    }
}

/// Ranks at distances that are powers of two from `rank`, on a ring of `size` instances.
fn ring_neighbours(rank: usize, size: usize) -> impl Iterator<Item = usize> {
    (0..usize::BITS)
        .map(|power| 1_usize << power)
        .take_while(move |distance| *distance < size)
        .map(move |distance| (rank + distance) % size)
}
