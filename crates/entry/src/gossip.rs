//! Exchange of state between the instances.
//!
//! An instance sends each change of its state to every instance of its cell, which is all of a
//! small zone, and to the zone's relay that is responsible for it; in a divided zone only news and
//! heartbeats go to the relay. A relay collects digests for a moment and sends them to its zone, and
//! less often to a relay of each other zone, which forwards them to its own zone.

mod local_state;

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::digest_timing::{self, FAR_ZONE, HEARTBEAT, NEAR_ZONE};
use kingcupfield_decisions::fanout::{self, Receivers, Relays};
use kingcupfield_decisions::id::{InstanceAddress, NameHash, name_hash};
use rand::RngExt as _;
use tokio::net::UdpSocket;
use tokio::time::{Instant, interval, sleep, sleep_until};

use crate::credit;
use crate::log::{self, Priority};
use crate::node::Node;
use crate::outbox::{self, DigestBatch};
use crate::peers::{Digest, ForwardScope, PeerMessage, Reports};
use crate::quarantine;
use crate::receiver;
use crate::send_queue::BUDGET_INTERVAL;
use crate::stream_origin;

use local_state::{LocalState, live_members, local_state, local_step_times, unreachable_replicas};

/// Minimum time between two messages of an instance about itself.
const MIN_STATE_INTERVAL: Duration = Duration::from_millis(4);

/// Interval of messages to the configured contacts until discovery of the zone is complete: after
/// all instances were killed, they start some tenths of a second apart, and no organisation has
/// credit until then.
const CONTACT_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of messages that include the speed of the replicas, which changes slowly.
const FULL_STATE_INTERVAL: Duration = Duration::from_secs(8);

/// Shortest time between two messages that include the usage of organisations: in each message it
/// would take most of a link of 10 Mbit/s, and a second is short against the half-life of usage.
const USAGE_INTERVAL: Duration = HEARTBEAT;

/// Longest time between two messages of a relay to its zone, also if it has nothing to forward.
const RELAY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time for which digests for other zones are held back while the send queue is congested; a
/// fraction of the time after which a silent instance is dropped.
const MAX_CONGESTION_DELAY: Duration = Duration::from_millis(800);

/// Sends the state of this instance to the others, and what it relays, until the process ends.
///
/// `incarnation` is greater for each start of the process.
pub async fn run(node: Rc<Node>, incarnation: u64) {
    let mut sender = Sender::new(&node, incarnation);
    let mut streams = stream_origin::Upkeep::new(Instant::now());
    let mut quarantines = quarantine::Upkeep::new(Instant::now());
    let mut ticks = interval(digest_timing::CHECK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let own_zone_due = sender.own_zone_due(&node);
        let state_due = sender.state_due;
        tokio::select! {
            _ = ticks.tick() => {
                receiver::expire_silent(&node);
                update_cell(&node);
                credit::update_fleet_view(&node);
                receiver::apply_loads(&node);
                receiver::apply_waiting(&node);
                node.dispatch.borrow_mut().update_room(Instant::now());
                node.assign_slots();
                node.log_pace_changes(format_args!(""));
                sender.tick(&node);
                streams.check(&node);
                quarantines.check(&node);
            }
            () = node.greeting_wakeup.notified() => sender.greet(&node),
            () = node.state_changed.notified(), if state_due.is_none() => {
                sender.state_due = Some(Instant::now());
            }
            () = sleep_until(state_due.unwrap_or_else(Instant::now)), if state_due.is_some() => {
                if sender.send_change(&node) {
                    sleep(MIN_STATE_INTERVAL).await;
                }
            }
            () = node.outbox_wakeup.notified() => {}
            () = sleep_until(own_zone_due.unwrap_or_else(Instant::now)), if own_zone_due.is_some() => {
                sender.flush_own_zone(&node);
            }
        }
    }
}

/// Sends the messages to other instances until the process ends.
pub async fn send_queued(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let link_bytes_per_s = node.settings().link_bytes_per_s();
    node.send_queue.run(&socket, link_bytes_per_s).await;
}

/// Determines the cell of this instance, and how late the load of replicas is known if that changes.
fn update_cell(node: &Node) {
    let was_divided = node.peers.borrow().is_zone_divided();
    node.peers.borrow_mut().update_cell();
    if node.peers.borrow().is_zone_divided() != was_divided {
        node.refresh_replicas();
    }
}

/// How much of its state an instance sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StateKind {
    /// The current state, only if it has changed.
    Change,
    /// The current state, also if it has not changed.
    Heartbeat,
    /// The current state, the speed of the replicas and the clock.
    Full,
    /// All of `Full`, and the known instances; a receiver that has just learned of the sender
    /// answers with its own greeting.
    Greeting,
}

/// Sends the digests of this instance, and those that it collects as a relay.
struct Sender {
    own_address: Ipv4Addr,
    incarnation: u64,
    zone: NameHash,
    region: NameHash,
    /// Sequence number of the last digest.
    seq: u32,
    /// State at the last message to the cell, to detect changes.
    last_sent: LocalState,
    /// State at the last message to the other cells and zones.
    last_news: LocalState,
    /// When this instance last sent its state to the other cells and zones.
    news_sent_at: Option<Instant>,
    /// When the step times and the clock were last included.
    full_state_sent_at: Option<Instant>,
    /// When the usage of organisations was last included.
    usage_sent_at: Option<Instant>,
    /// When greetings were last sent to the configured contacts.
    contacts_sent_at: Option<Instant>,
    /// When a change of the state is to be sent; `None` if there is none.
    state_due: Option<Instant>,
    /// When collected digests were last sent to the zone.
    own_zone_sent_at: Instant,
    /// When digests were last sent to the other zones of the region.
    near_zones_sent_at: Instant,
    /// When digests were last sent to the other regions.
    far_zones_sent_at: Instant,
    /// Relays of the own zone.
    relays: Relays,
}

impl Sender {
    fn new(node: &Node, incarnation: u64) -> Self {
        let cfg = node.settings();
        let now = Instant::now();
        Self {
            own_address: cfg.address(),
            incarnation,
            zone: name_hash(&cfg.availability_zone),
            region: name_hash(&cfg.region),
            seq: 0,
            last_sent: LocalState::default(),
            last_news: LocalState::default(),
            news_sent_at: None,
            full_state_sent_at: None,
            usage_sent_at: None,
            contacts_sent_at: None,
            state_due: None,
            own_zone_sent_at: now,
            near_zones_sent_at: now,
            far_zones_sent_at: now,
            relays: Relays::default(),
        }
    }

    /// Sends the messages that are due at a periodic check.
    fn tick(&mut self, node: &Node) {
        let now = Instant::now();
        if has_passed(now, self.full_state_sent_at, FULL_STATE_INTERVAL) {
            self.full_state_sent_at = Some(now);
            self.send_state(node, StateKind::Full);
            self.greet_relays(node);
        } else if has_passed(now, self.news_sent_at, HEARTBEAT) {
            self.send_state(node, StateKind::Heartbeat);
        } else if !node.send_queue.is_congested() {
            self.send_state(node, StateKind::Change);
        }
        let accrues_credit = node.credit_ledger.borrow().accrues();
        let contact_interval = if accrues_credit {
            HEARTBEAT
        } else {
            CONTACT_INTERVAL
        };
        if has_passed(now, self.contacts_sent_at, contact_interval) {
            self.contacts_sent_at = Some(now);
            self.greet_contacts(node);
        }
        if self.is_relay()
            && now.saturating_duration_since(self.own_zone_sent_at) >= RELAY_HEARTBEAT_INTERVAL
        {
            self.flush_own_zone(node);
        }
        let is_due = |sent_at: Instant, interval| {
            let elapsed = now.saturating_duration_since(sent_at);
            elapsed >= interval
                && (!node.send_queue.is_congested() || elapsed >= MAX_CONGESTION_DELAY)
        };
        if is_due(self.near_zones_sent_at, NEAR_ZONE) {
            self.near_zones_sent_at = now;
            let collected = node.outbox.borrow_mut().take_near_zones();
            self.send_cross_zone(node, collected, true);
        }
        if is_due(self.far_zones_sent_at, FAR_ZONE) {
            self.far_zones_sent_at = now;
            let collected = node.outbox.borrow_mut().take_far_zones();
            self.send_cross_zone(node, collected, false);
        }
    }

    /// Sends a change of the state, unless the send queue is congested: then it is due again when the
    /// queue may send more, with what has changed until then. Returns whether it was sent.
    fn send_change(&mut self, node: &Node) -> bool {
        if node.send_queue.is_congested() {
            self.state_due = Some(Instant::now() + BUDGET_INTERVAL);
            return false;
        }
        self.state_due = None;
        self.send_state(node, StateKind::Change);
        true
    }

    /// Sends the state of this instance to its cell, and, if it is due, to the other cells and zones.
    fn send_state(&mut self, node: &Node, kind: StateKind) {
        let now = Instant::now();
        let state = local_state(node);
        if kind == StateKind::Change && state == self.last_sent {
            return;
        }
        self.last_sent.clone_from(&state);
        let is_divided = node.peers.borrow().is_zone_divided();
        let is_news = !is_divided || kind != StateKind::Change || state.is_news(&self.last_news);
        if is_news {
            self.last_news.clone_from(&self.last_sent);
            self.news_sent_at = Some(now);
            self.update_relays(node, now);
        }
        let cell = node.peers.borrow().reachable_in_cell(now);
        let cell: Vec<InstanceAddress> = cell.iter().map(|a| a.to_bits()).collect();
        let own = self.own_address.to_bits();
        let receivers = self.relays.receivers(own, &cell, is_news);
        let scope = match (is_news, is_divided) {
            (false, _) => ForwardScope::Nobody,
            (true, true) => ForwardScope::AllZones,
            (true, false) => ForwardScope::OtherZones,
        };
        let mut digest = self.build_digest(node, state, kind);
        if is_news && has_passed(now, self.usage_sent_at, USAGE_INTERVAL) {
            self.usage_sent_at = Some(now);
            digest.reports.usage = node.own_usage(now);
        }
        self.send_digest(node, digest, receivers, scope);
    }

    /// Sends a digest of this instance to its receivers, and queues it for those that `scope` names if
    /// this instance is its own relay.
    fn send_digest(&self, node: &Node, digest: Digest, receivers: Receivers, scope: ForwardScope) {
        let digest = Box::new(digest);
        let to: Vec<Ipv4Addr> = receivers
            .neighbours
            .into_iter()
            .map(Ipv4Addr::from_bits)
            .collect();
        let message = PeerMessage::Digest(digest.clone(), ForwardScope::Nobody);
        send_to(node, &message, &to);
        if let Some(relay) = receivers.relay {
            let message = PeerMessage::Digest(digest, scope);
            send_to(node, &message, &[Ipv4Addr::from_bits(relay)]);
            return;
        }
        node.outbox
            .borrow_mut()
            .add(self.own_address, *digest, scope);
    }

    /// Determines the relays of the zone. One that doesn't send although it is a relay is passed
    /// over.
    fn update_relays(&mut self, node: &Node, now: Instant) {
        let peers = node.peers.borrow();
        let in_zone = peers.live(now).filter(|p| p.digest.zone == self.zone);
        let live: Vec<InstanceAddress> = in_zone.map(|p| p.address.to_bits()).collect();
        let sent_at = |member: InstanceAddress| peers.last_datagram_at(Ipv4Addr::from_bits(member));
        let lost = self
            .relays
            .update(now, self.own_address.to_bits(), &live, sent_at);
        for relay in lost.into_iter().map(Ipv4Addr::from_bits) {
            node.log.line(
                Priority::State,
                format_args!("event=relay_passed_over peer={relay}"),
            );
        }
    }

    /// Whether this instance is a relay of its zone.
    fn is_relay(&self) -> bool {
        self.relays.contains(self.own_address.to_bits())
    }

    /// When the collected digests are due to be sent to the zone; `None` if there are none.
    fn own_zone_due(&self, node: &Node) -> Option<Instant> {
        if !node.outbox.borrow().has_own_zone() {
            return None;
        }
        let zone_size = node.peers.borrow().zone_size();
        let due = self.own_zone_sent_at + digest_timing::collect_time(zone_size);
        if !node.send_queue.is_congested() {
            return Some(due);
        }
        let latest = self.own_zone_sent_at + RELAY_HEARTBEAT_INTERVAL;
        Some(due.max(latest.min(Instant::now() + BUDGET_INTERVAL)))
    }

    /// Sends the collected digests to all instances of the zone.
    fn flush_own_zone(&mut self, node: &Node) {
        let now = Instant::now();
        self.own_zone_sent_at = now;
        let collected = node.outbox.borrow_mut().take_own_zone();
        let to = node.peers.borrow().reachable(now, self.zone);
        send_collected(node, collected, &to);
    }

    /// Sends the collected digests to a relay of each other zone, either in this region or outside
    /// of it.
    fn send_cross_zone(&self, node: &Node, collected: DigestBatch, same_region: bool) {
        if collected.is_empty() {
            return;
        }
        let own = self.own_address.to_bits();
        let turn = rand::rng().random();
        let zones = self
            .other_zones(node)
            .into_iter()
            .filter(|(_, in_region)| *in_region == same_region);
        let relays =
            zones.filter_map(|(zone, _)| fanout::relay_by_turn(own, &relays_of(node, zone), turn));
        let to: Vec<Ipv4Addr> = relays.map(Ipv4Addr::from_bits).collect();
        send_collected(node, collected, &to);
    }

    /// The other zones, and whether each is in the region of this instance.
    fn other_zones(&self, node: &Node) -> Vec<(NameHash, bool)> {
        let cfg = node.settings();
        let zones = cfg.regions_by_zone.iter();
        zones
            .map(|(zone, region)| (name_hash(zone), *region == *cfg.region))
            .filter(|(zone, _)| *zone != self.zone)
            .collect()
    }

    /// Sends greetings to instances that have just become known: a fleet that starts at once is
    /// complete after a few round trips instead of some seconds.
    fn greet(&mut self, node: &Node) {
        let now = Instant::now();
        let to = std::mem::take(&mut *node.greeting_targets.borrow_mut());
        for address in &to {
            node.peers.borrow_mut().record_greeting(now, *address);
        }
        self.send_greeting(node, &to);
    }

    /// Sends greetings to the configured contacts that are not live.
    fn greet_contacts(&mut self, node: &Node) {
        let now = Instant::now();
        let cfg = node.settings();
        let contacts = cfg.contacts.iter().filter_map(|c| match c {
            SocketAddr::V4(a) => Some(*a.ip()),
            SocketAddr::V6(_) => None,
        });
        let peers = node.peers.borrow();
        let is_live = |a: Ipv4Addr| peers.live(now).any(|p| p.address == a);
        let to: Vec<Ipv4Addr> = contacts
            .filter(|a| *a != self.own_address && !is_live(*a))
            .collect();
        drop(peers);
        if to.is_empty() {
            return;
        }
        self.send_greeting(node, &to);
    }

    /// As a relay, sends greetings to the relays of other zones: two parts of the fleet that have
    /// found only themselves would not find each other.
    fn greet_relays(&mut self, node: &Node) {
        if !self.is_relay() {
            return;
        }
        let own_address = self.own_address.to_bits();
        let relay = |zone| fanout::relay_of(own_address, &relays_of(node, zone));
        let relays = self
            .other_zones(node)
            .into_iter()
            .filter_map(|(zone, _)| relay(zone));
        let to: Vec<Ipv4Addr> = relays.map(Ipv4Addr::from_bits).collect();
        self.send_greeting(node, &to);
    }

    /// Sends the complete state to each of the receivers.
    fn send_greeting(&mut self, node: &Node, to: &[Ipv4Addr]) {
        let digest = self.build_digest(node, local_state(node), StateKind::Greeting);
        let message = PeerMessage::Digest(Box::new(digest), ForwardScope::Nobody);
        send_to(node, &message, to);
    }

    /// Builds the next digest of this instance.
    fn build_digest(&mut self, node: &Node, state: LocalState, kind: StateKind) -> Digest {
        let now = Instant::now();
        self.seq = self.seq.wrapping_add(1);
        let mut digest = Digest {
            incarnation: self.incarnation,
            seq: self.seq,
            zone: self.zone,
            region: self.region,
            upto: state.upto,
            store_age_ms: node.reported_store_age().map(|age| age.as_millis() as u32),
            leaving: state.leaving,
            zone_size: state.zone_size,
            unreachable: unreachable_replicas(node),
            loads: state.loads,
            waiting: state.waiting,
            reports: Reports {
                paces: state.paces,
                ..node.reports()
            },
            ..Digest::default()
        };
        let is_full = matches!(kind, StateKind::Full | StateKind::Greeting);
        if is_full || state.small_upto != state.upto {
            digest.small_upto = Some(state.small_upto);
        }
        if is_full {
            digest.steps = local_step_times(node);
            digest.time_ms = u64::try_from(log::unix_time_ms()).ok();
        }
        if kind == StateKind::Greeting {
            digest.greeting = true;
            digest.members = live_members(node);
            digest.settled = node.peers.borrow().is_settled(now);
            digest.reports.usage = node.own_usage(now);
        } else {
            // Each figure is reported once. A greeting reaches few instances and would take it from
            // the others.
            digest.reports.speeds = node.take_speed_reports();
        }
        digest
    }
}

/// Whether an interval has passed since `sent_at`; true if nothing was sent yet.
fn has_passed(now: Instant, sent_at: Option<Instant>, interval: Duration) -> bool {
    sent_at.is_none_or(|sent_at| now.saturating_duration_since(sent_at) >= interval)
}

/// The relays of a zone, derived from its reachable instances.
fn relays_of(node: &Node, zone: NameHash) -> Vec<InstanceAddress> {
    let reachable = node.peers.borrow().reachable(Instant::now(), zone);
    let reachable: Vec<InstanceAddress> = reachable.iter().map(|a| a.to_bits()).collect();
    fanout::choose_relays(&reachable)
}

/// Sends collected digests to each of the receivers, in as few datagrams as possible.
fn send_collected(node: &Node, collected: DigestBatch, to: &[Ipv4Addr]) {
    for datagram in outbox::datagrams(collected) {
        send_to(node, &PeerMessage::Relayed(datagram), to);
    }
}

/// Sends a message to each of the receivers.
pub fn send_to(node: &Node, message: &PeerMessage, to: &[Ipv4Addr]) {
    if to.is_empty() {
        return;
    }
    let Ok(bytes) = message.encode() else {
        return;
    };
    let bytes: Rc<[u8]> = bytes.into();
    let port = node.settings().peer_port;
    for address in to {
        node.send_queue
            .push(Rc::clone(&bytes), SocketAddr::from((*address, port)));
    }
}

/// Time until a change of a replica's load in a zone reaches this instance.
pub fn propagation_delay(node: &Node, zone: &str) -> Duration {
    let cfg = node.settings();
    if zone == &*cfg.availability_zone {
        return Duration::ZERO;
    }
    let region = cfg.regions_by_zone.get(zone);
    let interval = if region.is_some_and(|r| **r == *cfg.region) {
        NEAR_ZONE
    } else {
        FAR_ZONE
    };
    // The instances of a divided zone send changes to the other zones with their heartbeats only.
    if node.peers.borrow().is_zone_divided() {
        return interval + HEARTBEAT;
    }
    interval
}
