//! Tells a few instances where the streams of this one began.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use kingcupfield_decisions::id::{NameHash, StreamKey};
use kingcupfield_decisions::software_versions::StreamOrigin;
use tokio::time::Instant;

use super::must_announce;
use crate::node::Node;
use crate::peers::{PeerMessage, StreamMessage};

/// Interval at which streams in progress are announced again: holders may have stopped or fallen silent, and
/// datagrams may be lost.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Most streams in one datagram, so that it is not divided on the link.
const STREAMS_PER_DATAGRAM: usize = 64;

/// A stream and where it began.
type Stream = (StreamKey, StreamOrigin);

/// Announces the streams of one instance while that is necessary.
#[derive(Debug)]
pub(super) struct Announcer {
    /// Services whose streams are announced.
    announced: Vec<NameHash>,
    refreshed_at: Instant,
}

impl Announcer {
    /// Creates an announcer that has announced nothing.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            announced: Vec::new(),
            refreshed_at: now,
        }
    }

    /// Announces what is due, and forgets the streams that nobody takes up any more.
    pub(super) fn check(&mut self, node: &Node, now: Instant) {
        let memory = node.versions.borrow().memory();
        if let Some(oldest) = now.checked_sub(memory) {
            node.streams.borrow_mut().remove_older(oldest);
        }
        let before = std::mem::replace(&mut self.announced, announced_services(node));
        let is_due = now.saturating_duration_since(self.refreshed_at) >= REFRESH_INTERVAL;
        if is_due {
            self.refreshed_at = now;
        }
        let is_announced = |service: &NameHash| self.announced.contains(service);
        let is_new = |service: &NameHash| !before.contains(service);
        let streams = node.streams.borrow();
        // Streams that broke before are told once, as soon as the service needs it.
        let first_told = streams
            .own(true)
            .filter(|(_, o)| is_announced(&o.service) && is_new(&o.service));
        let refreshed = streams
            .own(false)
            .filter(|(_, o)| is_due && is_announced(&o.service) && !is_new(&o.service));
        let all: Vec<Stream> = first_told.chain(refreshed).collect();
        drop(streams);
        announce(node, &all);
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
