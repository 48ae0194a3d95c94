//! Receives the messages of other instances and applies them.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::id::{NameHash, name_hash};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::credit;
use crate::directory;
use crate::log::{self, Priority};
use crate::node::Node;
use crate::peers::{Digest, ForwardScope, PeerMessage};
use crate::quarantine;
use crate::stream_origin;

/// Delay before a peer with a newer directory revision is asked, on an instance that reads the
/// store: within it the store usually returns the same change.
const STORE_HEAD_START: Duration = Duration::from_millis(250);

/// Delay before a peer further away than another one is asked: of another cell, zone or region.
/// Within it the change usually arrives nearer. If all asked at once, the few that have it would
/// serve the whole fleet, over the expensive links between regions.
const NEARER_HEAD_START: Duration = Duration::from_millis(250);

/// Receives and applies datagrams until the process ends.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; 64 * 1024];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let SocketAddr::V4(from) = from else {
            continue;
        };
        let sender = *from.ip();
        node.peers
            .borrow_mut()
            .record_datagram(Instant::now(), sender);
        match PeerMessage::decode(&buf[..len]) {
            Ok(PeerMessage::Digest(digest, scope)) => {
                on_direct_digest(&node, sender, *digest, scope);
            }
            Ok(PeerMessage::Relayed(digests)) => on_relayed(&node, sender, digests),
            Ok(PeerMessage::Credit(message)) => credit::on_message(&node, *from.ip(), message),
            Ok(PeerMessage::Stream(message)) => stream_origin::on_message(&node, sender, message),
            Ok(PeerMessage::Crash(message)) => quarantine::on_message(&node, message),
            Err(e) => node.log.line(
                Priority::High,
                format_args!("event=peer_message_bad from={from} reason={e:?}"),
            ),
        }
    }
}

/// Applies a digest that came from the instance itself, and queues it for the instances to which
/// `scope` asks this relay to forward it.
fn on_direct_digest(node: &Rc<Node>, from: Ipv4Addr, digest: Digest, scope: ForwardScope) {
    if scope != ForwardScope::Nobody {
        node.outbox.borrow_mut().add(from, digest.clone(), scope);
    }
    // What goes to other zones alone is sent at their intervals.
    if scope == ForwardScope::AllZones {
        node.outbox_wakeup.notify_one();
    }
    apply_digest(node, from, digest);
    update_dispatcher(node);
}

/// Applies the digests that a relay has collected; those from another zone are queued for this
/// zone.
fn on_relayed(node: &Rc<Node>, sender: Ipv4Addr, digests: Vec<(Ipv4Addr, Digest)>) {
    let zone = name_hash(&node.settings().availability_zone);
    let from_other_zone = !node.peers.borrow().is_in_zone(sender, zone);
    for (from, digest) in digests {
        if from_other_zone && digest.zone != zone {
            node.outbox
                .borrow_mut()
                .add_for_own_zone(from, digest.clone());
            node.outbox_wakeup.notify_one();
        }
        apply_digest(node, from, digest);
    }
    update_dispatcher(node);
}

/// Applies a digest: records the sender's state, logs what has changed, and starts a directory sync
/// if the sender has a newer revision.
fn apply_digest(node: &Rc<Node>, from: Ipv4Addr, digest: Digest) {
    let now = Instant::now();
    let announced = digest.announced();
    let steps = digest.steps.clone();
    let unreachable = digest.unreachable.clone();
    let time_ms = digest.time_ms;
    let is_leaving = digest.leaving;
    let mut reports = digest.reports.clone();
    let effects = node.peers.borrow_mut().on_digest(now, from, digest);
    on_silent(node, &effects.silent);
    if let Some(at) = node.peers.borrow().store_responded_at() {
        node.directory_reader.borrow_mut().on_store_response(at);
    }
    if effects.is_list_full {
        node.log.line(
            Priority::High,
            format_args!("event=peer_list_full from={from}"),
        );
    }
    if effects.is_new {
        node.log.line(
            Priority::State,
            format_args!("event=peer_heard peer={from}"),
        );
    }
    if let Some(time_ms) = time_ms {
        log_clock_offset(node, from, time_ms);
    }
    if !effects.greet.is_empty() {
        node.greeting_targets.borrow_mut().extend(effects.greet);
        node.greeting_wakeup.notify_one();
    }
    apply_step_times(node, &steps);
    apply_unreachable(node, &unreachable);
    // The age of a figure counts from its first arrival. In a copy or a late digest it would seem newer.
    if !effects.is_applied {
        reports.speeds.clear();
    }
    node.on_peer_reports(from, &reports);
    // The usage of an instance that is not listed would never be removed.
    if effects.is_applied {
        node.on_peer_usage(from, &reports.usage);
    }
    if is_leaving {
        node.remove_peer_usage(&[from]);
    }
    if directory::is_behind(node, announced) {
        directory::record_announced(node, announced);
        directory::schedule_peer_sync(node, sync_delay(node, from));
    }
}

/// Delay before the directory is updated from peers, after `from` has reported a newer revision.
fn sync_delay(node: &Node, from: Ipv4Addr) -> Duration {
    if node.reads_store() {
        return STORE_HEAD_START;
    }
    let is_empty = node.directory.borrow().complete_up_to() == 0;
    let peers = node.peers.borrow();
    if is_empty || !peers.is_zone_divided() || peers.is_in_cell(from) {
        return Duration::ZERO;
    }
    let cfg = node.settings();
    let location = (name_hash(&cfg.availability_zone), name_hash(&cfg.region));
    let distance = peers.nearness_of(from, location) as u32;
    let turn = u32::from(!peers.is_first_in_cell());
    NEARER_HEAD_START * (distance + turn)
}

/// Updates the dispatcher with the new load, and assigns the slots that this has freed.
fn update_dispatcher(node: &Node) {
    apply_loads(node);
    apply_waiting(node);
    node.assign_slots();
}

/// Logs the instances that have fallen silent, and removes those that are gone, with what only they have
/// announced.
pub fn expire_silent(node: &Node) {
    let now = Instant::now();
    let silent = node.peers.borrow_mut().drop_silent(now);
    on_silent(node, &silent);
    node.peers.borrow_mut().remove_gone(now);
    directory::forget_announced(node);
}

/// Drops what instances reported that have fallen silent, and logs them.
fn on_silent(node: &Node, silent: &[Ipv4Addr]) {
    node.remove_peer_usage(silent);
    for peer in silent {
        node.log.line(
            Priority::State,
            format_args!("event=peer_silent peer={peer}"),
        );
    }
}

/// Logs how far another instance's clock differs, for readers who merge several logs.
fn log_clock_offset(node: &Node, from: Ipv4Addr, time_ms: u64) {
    let own_ms = u64::try_from(log::unix_time_ms()).unwrap_or(u64::MAX);
    let ahead_ms = time_ms.cast_signed().saturating_sub(own_ms.cast_signed());
    if node.peers.borrow_mut().record_clock_offset(from, ahead_ms) {
        node.log.line(
            Priority::High,
            format_args!("event=peer_clock peer={from} ahead_ms={ahead_ms}"),
        );
    }
}

/// Reports to the dispatcher the replicas that another instance failed to reach.
fn apply_unreachable(node: &Node, unreachable: &[NameHash]) {
    let now = Instant::now();
    for name in unreachable {
        if let Some(id) = node.replica_by_name_hash(*name) {
            node.dispatch.borrow_mut().on_peer_unreachable(now, &id);
        }
    }
}

/// Passes step times that another instance has measured to the dispatcher.
fn apply_step_times(node: &Node, step_times: &[(NameHash, u32)]) {
    for (name, step_us) in step_times {
        if let Some(id) = node.replica_by_name_hash(*name) {
            let step_ms = f64::from(*step_us) / 1000.0;
            node.dispatch.borrow_mut().on_peer_step_time(&id, step_ms);
        }
    }
}

/// Passes the changes of the other instances' load to the dispatcher.
pub fn apply_loads(node: &Node) {
    let changed = node.peers.borrow_mut().take_changed_loads();
    for name in changed {
        let sum = node.peers.borrow().load_at(name);
        node.set_remote_load(name, sum);
    }
}

/// Passes the requests that wait at the other instances of the cell to the dispatcher.
pub fn apply_waiting(node: &Node) {
    let peers = node.peers.borrow();
    node.set_competitors(peers.waiting_in_cell(Instant::now()));
}
