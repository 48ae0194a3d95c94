//! What an instance makes of the others' messages.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::id::{ShortName, short_name};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::credit;
use crate::directory;
use crate::log::{self, Priority};
use crate::node::Node;
use crate::peers::{Digest, PeerMessage, Reach};

/// How long the directory may take to tell what a peer already knows, before the peer is asked.
const BEHIND: Duration = Duration::from_millis(250);

/// Takes messages until the process ends.
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
        node.peers.borrow_mut().on_sent(Instant::now(), sender);
        match rmp_serde::from_slice::<PeerMessage>(&buf[..len]) {
            Ok(PeerMessage::Digest(digest, reach)) => on_direct(&node, sender, *digest, reach),
            Ok(PeerMessage::Relayed(digests)) => on_relayed(&node, sender, digests),
            Ok(PeerMessage::Credit(message)) => credit::receive(&node, *from.ip(), message),
            Err(e) => node.log.line(
                Priority::High,
                format_args!("event=peer_message_bad from={from} reason={e:?}"),
            ),
        }
    }
}

/// Takes what an instance says of itself, and gathers it for those who are to have it.
fn on_direct(node: &Rc<Node>, from: Ipv4Addr, digest: Digest, reach: Reach) {
    match reach {
        Reach::Receiver => {}
        Reach::Beyond => node.outbox.borrow_mut().add_away(from, digest.clone()),
        Reach::All => {
            node.outbox.borrow_mut().add_home(from, digest.clone());
            node.gathered.notify_one();
        }
    }
    on_digest(node, from, digest);
    act(node);
}

/// Takes what a relay has gathered; what comes from another zone is gathered for this one.
fn on_relayed(node: &Rc<Node>, sender: Ipv4Addr, digests: Vec<(Ipv4Addr, Digest)>) {
    let zone = short_name(&node.settings().availability_zone);
    let by_foreigner = !node.peers.borrow().is_of(sender, zone);
    for (from, digest) in digests {
        if by_foreigner && digest.zone != zone {
            node.outbox.borrow_mut().add_foreign(from, digest.clone());
            node.gathered.notify_one();
        }
        on_digest(node, from, digest);
    }
    act(node);
}

fn on_digest(node: &Rc<Node>, from: Ipv4Addr, digest: Digest) {
    let now = Instant::now();
    let upto = digest.upto;
    let steps = digest.steps.clone();
    let unreachable = digest.unreachable.clone();
    let time_ms = digest.time_ms;
    let heard = node.peers.borrow_mut().on_digest(now, from, digest);
    tell_silent(node, &heard.silent);
    if heard.is_new {
        node.log
            .line(Priority::High, format_args!("event=peer_heard peer={from}"));
    }
    if let Some(time_ms) = time_ms {
        take_clock(node, from, time_ms);
    }
    if !heard.greet.is_empty() {
        node.greet.borrow_mut().extend(heard.greet);
        node.greeting.notify_one();
    }
    take_steps(node, &steps);
    take_unreachable(node, &unreachable);
    if upto > node.known.borrow().upto() {
        let pause = if node.reads() { BEHIND } else { Duration::ZERO };
        directory::ask_peers_later(node, pause);
    }
}

/// Does what has become possible by the news.
fn act(node: &Node) {
    take_loads(node);
    take_waiting(node);
    node.pump();
}

/// Tells of the instances that have fallen silent, and forgets those that are gone.
pub fn notice_silence(node: &Node) {
    let now = Instant::now();
    let silent = node.peers.borrow_mut().silence(now);
    tell_silent(node, &silent);
    node.peers.borrow_mut().forget(now);
}

fn tell_silent(node: &Node, silent: &[Ipv4Addr]) {
    for peer in silent {
        node.log.line(
            Priority::High,
            format_args!("event=peer_silent peer={peer}"),
        );
    }
}

/// Tells how another instance's time of day differs, which those need who read several logs.
fn take_clock(node: &Node, from: Ipv4Addr, time_ms: u64) {
    let own = u64::try_from(log::unix_time_ms()).unwrap_or(u64::MAX);
    let ahead_ms = time_ms.cast_signed().saturating_sub(own.cast_signed());
    if node.peers.borrow_mut().on_clock(from, ahead_ms) {
        node.log.line(
            Priority::High,
            format_args!("event=peer_clock peer={from} ahead_ms={ahead_ms}"),
        );
    }
}

fn take_unreachable(node: &Node, unreachable: &[ShortName]) {
    let now = Instant::now();
    for name in unreachable {
        if let Some(id) = node.replica_by_short_name(*name) {
            node.dispatch.borrow_mut().hint_unreachable(now, &id);
        }
    }
}

fn take_steps(node: &Node, steps: &[(ShortName, u32)]) {
    for (name, us) in steps {
        if let Some(id) = node.replica_by_short_name(*name) {
            let step_ms = f64::from(*us) / 1000.0;
            node.dispatch.borrow_mut().hint_step(&id, step_ms);
        }
    }
}

/// Takes the changes of what the others have at replicas.
pub fn take_loads(node: &Node) {
    let changed = node.peers.borrow_mut().take_changed_loads();
    for name in changed {
        let sum = node.peers.borrow().load_at(name);
        node.set_elsewhere(name, sum);
    }
}

/// Takes what waits at the other instances of the zone.
pub fn take_waiting(node: &Node) {
    let zone = short_name(&node.settings().availability_zone);
    let peers = node.peers.borrow();
    node.set_contenders(peers.waiting(Instant::now(), zone));
}
