//! Tells a few instances where the streams of this one began.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::id::{NameHash, StreamKey};
use kingcupfield_decisions::software_versions::StreamOrigin;
use tokio::time::{Instant, interval};

use super::must_announce;
use crate::node::Node;
use crate::peers::{PeerMessage, StreamMessage};

/// Interval at which it is checked whether the streams of a service have to be announced.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which streams in progress are announced again: holders may have stopped or fallen silent, and
/// datagrams may be lost.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Most streams in one datagram, so that it is not divided on the link.
const STREAMS_PER_DATAGRAM: usize = 64;

/// A stream and where it began.
type Stream = (StreamKey, StreamOrigin);

/// Announces streams until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    let mut announced = Vec::new();
    let mut refreshed_at = Instant::now();
    let mut ticks = interval(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let lifetime = node.versions.borrow().stream_lifetime();
        if let Some(oldest) = now.checked_sub(lifetime) {
            node.streams.borrow_mut().remove_older(oldest);
        }
        let before = std::mem::replace(&mut announced, announced_services(&node));
        let is_due = now.saturating_duration_since(refreshed_at) >= REFRESH_INTERVAL;
        if is_due {
            refreshed_at = now;
        }
        let is_new = |service: &NameHash| !before.contains(service);
        let streams = node.streams.borrow();
        // Streams that broke before are told once, as soon as the service needs it.
        let broken = streams
            .own(true)
            .filter(|(_, o)| announced.contains(&o.service) && is_new(&o.service));
        let relayed = streams
            .own(false)
            .filter(|(_, o)| is_due && announced.contains(&o.service) && !is_new(&o.service));
        let all: Vec<Stream> = broken.chain(relayed).collect();
        drop(streams);
        announce(&node, &all);
    }
}

/// The services of own streams that have to be announced.
fn announced_services(node: &Node) -> Vec<NameHash> {
    let streams = node.streams.borrow();
    let mut services: Vec<NameHash> = streams.own(true).map(|(_, o)| o.service).collect();
    drop(streams);
    services.sort_unstable();
    services.dedup();
    services.retain(|service| must_announce(node, *service));
    services
}

/// Announces one stream.
pub(super) fn announce_one(node: &Node, key: StreamKey, origin: StreamOrigin) {
    announce(node, &[(key, origin)]);
}

/// Sends streams to the instances that record them, in as few datagrams as possible.
fn announce(node: &Node, streams: &[Stream]) {
    let now = Instant::now();
    let mut by_holder: Vec<(Ipv4Addr, Vec<Stream>)> = Vec::new();
    for stream in streams {
        for holder in node.peers.borrow().stream_holders(now, stream.0) {
            match by_holder.binary_search_by_key(&holder, |(h, _)| *h) {
                Ok(index) => by_holder[index].1.push(*stream),
                Err(index) => by_holder.insert(index, (holder, vec![*stream])),
            }
        }
    }
    for (holder, streams) in by_holder {
        for part in streams.chunks(STREAMS_PER_DATAGRAM) {
            send(node, holder, StreamMessage::Begun(part.to_vec()));
        }
    }
}

/// Sends a message about streams to another instance.
pub(super) fn send(node: &Node, to: Ipv4Addr, message: StreamMessage) {
    let Ok(bytes) = rmp_serde::to_vec(&PeerMessage::Stream(message)) else {
        return;
    };
    let to = SocketAddr::from((to, node.settings().peer_port));
    node.send_queue.push_urgent(bytes.into(), to);
}
