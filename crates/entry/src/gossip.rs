//! What an instance tells the others of itself, and passes on of others.
//!
//! News go to each of a small zone, and to the relay of the zone that serves this instance. A relay sends what it has
//! gathered to its zone after a moment, and less often to a relay of each other zone, which sends it on to its own.

mod own;

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::fanout::{self, Receivers, Relays};
use kingcupfield_decisions::id::{Member, ShortName, short_name};
use tokio::net::UdpSocket;
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::credit;
use crate::hearing;
use crate::log::{self, Priority};
use crate::node::Node;
use crate::outbox::{self, Gathered};
use crate::peers::{Digest, Peer, PeerMessage, Reach};

use own::{News, fresh_members, own_news, own_steps, own_unreachable};

/// Time between two looks at everything.
const TICK: Duration = Duration::from_millis(100);

/// Shortest time between two messages of an instance about itself.
const OWN_GAP: Duration = Duration::from_millis(4);

/// Time for which a relay gathers news of its zone for each pair of instances there: as many have news as
/// have to be told.
const GATHERS_FOR_EACH: Duration = Duration::from_micros(40);

/// Longest time for which a relay gathers.
const GATHERS: Duration = Duration::from_millis(100);

/// Time between news to another zone of the region, and to one of another region; longer where a zone
/// has more than [`fanout::SMALL`] instances, each of which has to be told.
const NEAR_GAP: Duration = Duration::from_millis(100);
const FAR_GAP: Duration = Duration::from_millis(400);

/// Time between messages at rest.
const AT_REST: Duration = Duration::from_secs(1);

/// Time between messages to first contacts until the zone is found: after a kill of all, instances come up
/// some tenths of a second apart, and no organisation has credit before.
const UNTIL_FOUND: Duration = Duration::from_millis(200);

/// Time between messages that tell how fast replicas are, which changes slowly.
const FULL: Duration = Duration::from_secs(8);

/// Longest time between two messages of a relay to its zone.
const RELAY_AT_REST: Duration = Duration::from_millis(300);

/// Sends and receives until the process ends.
pub async fn run(node: Rc<Node>, socket: UdpSocket, incarnation: u64) {
    let socket = Rc::new(socket);
    // Set once, as there is one exchange with the peers in a process.
    let _ = node.peer_socket.set(Rc::clone(&socket));
    tokio::task::spawn_local(credit::run(Rc::clone(&node)));
    tokio::task::spawn_local(hearing::receive(Rc::clone(&node), Rc::clone(&socket)));
    let mut sender = Sender::new(&node, incarnation);
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let due = sender.due(&node);
        tokio::select! {
            _ = ticks.tick() => {
                hearing::notice_silence(&node);
                credit::see_fleet(&node);
                hearing::take_loads(&node);
                hearing::take_waiting(&node);
                node.pump();
                sender.tick(&node, &socket);
            }
            () = node.greeting.notified() => sender.greet(&node, &socket),
            () = node.changed.notified() => {
                sender.tell(&node, &socket, Telling::Change);
                sleep(OWN_GAP).await;
            }
            () = node.gathered.notified() => {}
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                sender.send_home(&node, &socket);
            }
        }
    }
}

/// How much an instance tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Telling {
    /// What has changed, if anything has.
    Change,
    /// That it lives.
    Heartbeat,
    /// How fast replicas are as well.
    Full,
    /// Whom it knows as well.
    Greeting,
}

struct Sender {
    own: Ipv4Addr,
    incarnation: u64,
    zone: ShortName,
    region: ShortName,
    seq: u32,
    last: News,
    told_at: Option<Instant>,
    full_at: Option<Instant>,
    contacts_at: Option<Instant>,
    home_at: Instant,
    near_at: Instant,
    far_at: Instant,
    relays: Relays,
}

impl Sender {
    fn new(node: &Node, incarnation: u64) -> Self {
        let cfg = node.settings();
        let now = Instant::now();
        Self {
            own: cfg.address(),
            incarnation,
            zone: short_name(&cfg.availability_zone),
            region: short_name(&cfg.region),
            seq: 0,
            last: News::default(),
            told_at: None,
            full_at: None,
            contacts_at: None,
            home_at: now,
            near_at: now,
            far_at: now,
            relays: Relays::default(),
        }
    }

    fn tick(&mut self, node: &Node, socket: &UdpSocket) {
        let now = Instant::now();
        let past =
            |at: Option<Instant>, gap| at.is_none_or(|at| now.saturating_duration_since(at) >= gap);
        if past(self.full_at, FULL) {
            self.full_at = Some(now);
            self.tell(node, socket, Telling::Full);
            self.greet_relays(node, socket);
        } else if past(self.told_at, AT_REST) {
            self.tell(node, socket, Telling::Heartbeat);
        } else {
            self.tell(node, socket, Telling::Change);
        }
        let knows_fleet = node.ledger.borrow().mints();
        let gap = if knows_fleet { AT_REST } else { UNTIL_FOUND };
        if past(self.contacts_at, gap) {
            self.contacts_at = Some(now);
            self.greet_contacts(node, socket);
        }
        if self.is_relay() && now.saturating_duration_since(self.home_at) >= RELAY_AT_REST {
            self.send_home(node, socket);
        }
        if now.saturating_duration_since(self.near_at) >= away_gap(node, NEAR_GAP) {
            self.near_at = now;
            let gathered = node.outbox.borrow_mut().take_near();
            self.send_away(node, socket, gathered, true);
        }
        if now.saturating_duration_since(self.far_at) >= away_gap(node, FAR_GAP) {
            self.far_at = now;
            let gathered = node.outbox.borrow_mut().take_far();
            self.send_away(node, socket, gathered, false);
        }
    }

    /// Tells the zone and the relay how this instance stands.
    fn tell(&mut self, node: &Node, socket: &UdpSocket, telling: Telling) {
        let now = Instant::now();
        let news = own_news(node);
        if telling == Telling::Change && news == self.last {
            return;
        }
        self.last.clone_from(&news);
        self.told_at = Some(now);
        let digest = self.digest(node, news, telling);
        self.see_relays(node, now);
        let others = node.peers.borrow().reachable(now, self.zone);
        let others: Vec<Member> = others.iter().map(|a| a.to_bits()).collect();
        let receivers = self.relays.receivers(self.own.to_bits(), &others);
        self.send_digest(node, socket, digest, receivers);
    }

    fn send_digest(&self, node: &Node, socket: &UdpSocket, digest: Digest, receivers: Receivers) {
        let reach = match receivers.neighbours {
            Some(_) => Reach::Beyond,
            None => Reach::All,
        };
        let digest = Box::new(digest);
        if let Some(neighbours) = receivers.neighbours {
            let to: Vec<Ipv4Addr> = neighbours.into_iter().map(Ipv4Addr::from_bits).collect();
            let message = PeerMessage::Digest(digest.clone(), Reach::Receiver);
            send_to(node, socket, &message, &to);
        }
        if let Some(relay) = receivers.relay {
            let message = PeerMessage::Digest(digest, reach);
            send_to(node, socket, &message, &[Ipv4Addr::from_bits(relay)]);
            return;
        }
        let mut outbox = node.outbox.borrow_mut();
        match reach {
            Reach::All => outbox.add_home(self.own, *digest),
            Reach::Beyond | Reach::Receiver => outbox.add_away(self.own, *digest),
        }
    }

    /// Looks who the relays of the zone are. One that does not send although it is one is passed over.
    fn see_relays(&mut self, node: &Node, now: Instant) {
        let peers = node.peers.borrow();
        let there = |p: &&Peer| p.is_fresh(now) && p.digest.zone == self.zone;
        let heard = peers.all().iter().filter(there);
        let heard: Vec<Member> = heard.map(|p| p.address.to_bits()).collect();
        let sent_at = |m: Member| peers.sent_at(Ipv4Addr::from_bits(m));
        let lost = self.relays.see(now, self.own.to_bits(), &heard, sent_at);
        for relay in lost.into_iter().map(Ipv4Addr::from_bits) {
            node.log.line(
                Priority::High,
                format_args!("event=relay_passed_over peer={relay}"),
            );
        }
    }

    fn is_relay(&self) -> bool {
        self.relays.has(self.own.to_bits())
    }

    /// When news are to be sent to the zone, if there are any.
    fn due(&self, node: &Node) -> Option<Instant> {
        if !node.outbox.borrow().has_home() {
            return None;
        }
        let members = node.peers.borrow().zone_size() as u32;
        let gathers = (GATHERS_FOR_EACH * members.saturating_mul(members)).min(GATHERS);
        Some(self.home_at + gathers.max(OWN_GAP))
    }

    /// Sends what was gathered to all of the zone.
    fn send_home(&mut self, node: &Node, socket: &UdpSocket) {
        let now = Instant::now();
        self.home_at = now;
        let gathered = node.outbox.borrow_mut().take_home();
        let to = node.peers.borrow().reachable(now, self.zone);
        send_gathered(node, socket, gathered, &to);
    }

    /// Sends what was gathered to a relay of each zone of the region, or of each zone beyond it.
    fn send_away(&self, node: &Node, socket: &UdpSocket, gathered: Gathered, near: bool) {
        if gathered.is_empty() {
            return;
        }
        // By turns, so that a dead one does not take all.
        let turn = self.seq as usize;
        let by_turns = |relays: &[Member]| relays.get(turn % relays.len().clamp(1, 2)).copied();
        let there = self
            .other_zones(node)
            .into_iter()
            .filter(|(_, is_near)| *is_near == near);
        let relays = there.filter_map(|(zone, _)| by_turns(&relays_of(node, zone)));
        let to: Vec<Ipv4Addr> = relays.map(Ipv4Addr::from_bits).collect();
        send_gathered(node, socket, gathered, &to);
    }

    /// The other zones, and whether each is of this region.
    fn other_zones(&self, node: &Node) -> Vec<(ShortName, bool)> {
        let cfg = node.settings();
        let zones = cfg.regions_by_zone.iter();
        zones
            .map(|(zone, region)| (short_name(zone), *region == *cfg.region))
            .filter(|(zone, _)| *zone != self.zone)
            .collect()
    }

    /// Tells everything to instances that have just become known: a fleet that starts at once is
    /// whole after a few round trips instead of some seconds.
    fn greet(&mut self, node: &Node, socket: &UdpSocket) {
        let now = Instant::now();
        let to = std::mem::take(&mut *node.greet.borrow_mut());
        for address in &to {
            node.peers.borrow_mut().on_told(now, *address);
        }
        let digest = self.digest(node, own_news(node), Telling::Greeting);
        send_to(
            node,
            socket,
            &PeerMessage::Digest(Box::new(digest), Reach::Receiver),
            &to,
        );
    }

    /// Tells everything to the first contacts, as long as they are not heard.
    fn greet_contacts(&mut self, node: &Node, socket: &UdpSocket) {
        let now = Instant::now();
        let cfg = node.settings();
        let contacts = cfg.contacts.iter().filter_map(|c| match c {
            SocketAddr::V4(a) => Some(*a.ip()),
            SocketAddr::V6(_) => None,
        });
        let peers = node.peers.borrow();
        let heard = |a: Ipv4Addr| {
            let mut all = peers.all().iter();
            all.any(|p| p.address == a && p.is_fresh(now))
        };
        let to: Vec<Ipv4Addr> = contacts.filter(|a| *a != self.own && !heard(*a)).collect();
        drop(peers);
        if to.is_empty() {
            return;
        }
        let digest = self.digest(node, own_news(node), Telling::Greeting);
        send_to(
            node,
            socket,
            &PeerMessage::Digest(Box::new(digest), Reach::Receiver),
            &to,
        );
    }

    /// As a relay, tells those of other zones whom this instance knows: two that have found only
    /// different parts of the fleet would not find the rest.
    fn greet_relays(&mut self, node: &Node, socket: &UdpSocket) {
        if !self.is_relay() {
            return;
        }
        let own = self.own.to_bits();
        let relay = |zone| fanout::relay_of(own, &relays_of(node, zone));
        let relays = self
            .other_zones(node)
            .into_iter()
            .filter_map(|(zone, _)| relay(zone));
        let to: Vec<Ipv4Addr> = relays.map(Ipv4Addr::from_bits).collect();
        let digest = self.digest(node, own_news(node), Telling::Greeting);
        send_to(
            node,
            socket,
            &PeerMessage::Digest(Box::new(digest), Reach::Receiver),
            &to,
        );
    }

    fn digest(&mut self, node: &Node, news: News, telling: Telling) -> Digest {
        let now = Instant::now();
        self.seq = self.seq.wrapping_add(1);
        let mut digest = Digest {
            incarnation: self.incarnation,
            seq: self.seq,
            zone: self.zone,
            region: self.region,
            upto: news.upto,
            store_age_ms: node.store_age().map(|age| age.as_millis() as u32),
            leaving: news.leaving,
            zone_size: news.zone_size,
            unreachable: own_unreachable(node),
            loads: news.loads,
            waiting: news.waiting,
            ..Digest::default()
        };
        if matches!(telling, Telling::Full | Telling::Greeting) {
            digest.steps = own_steps(node);
            digest.time_ms = u64::try_from(log::unix_time_ms()).ok();
        }
        if telling == Telling::Greeting {
            digest.greeting = true;
            digest.members = fresh_members(node);
            digest.settled = node.peers.borrow().is_settled(now);
        }
        digest
    }
}

/// The relays of a zone, by those of it that can be reached.
fn relays_of(node: &Node, zone: ShortName) -> Vec<Member> {
    let there = node.peers.borrow().reachable(Instant::now(), zone);
    let there: Vec<Member> = there.iter().map(|a| a.to_bits()).collect();
    fanout::relays(&there)
}

fn send_gathered(node: &Node, socket: &UdpSocket, gathered: Gathered, to: &[Ipv4Addr]) {
    for datagram in outbox::datagrams(gathered) {
        send_to(node, socket, &PeerMessage::Relayed(datagram), to);
    }
}

fn send_to(node: &Node, socket: &UdpSocket, message: &PeerMessage, to: &[Ipv4Addr]) {
    if to.is_empty() {
        return;
    }
    let Ok(bytes) = rmp_serde::to_vec(message) else {
        return;
    };
    for address in to {
        let to = SocketAddr::from((*address, node.settings().peer_port));
        // A message that can't be sent now is replaced by the next one.
        let _ = socket.try_send_to(&bytes, to);
    }
}

/// Time in which a change of a replica's load in a zone comes round to this instance.
pub fn news(node: &Node, zone: &str) -> Duration {
    let cfg = node.settings();
    if zone == &*cfg.availability_zone {
        return Duration::ZERO;
    }
    let region = cfg.regions_by_zone.get(zone);
    if region.is_some_and(|r| **r == *cfg.region) {
        return away_gap(node, NEAR_GAP);
    }
    away_gap(node, FAR_GAP)
}

/// Time between news to other zones, in a zone as large as this one.
fn away_gap(node: &Node, gap: Duration) -> Duration {
    let members = node.peers.borrow().zone_size() as u32;
    let small = fanout::SMALL as u32;
    gap * members.max(small) / small
}
