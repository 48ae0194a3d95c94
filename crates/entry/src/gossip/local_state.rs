//! What an instance has to tell of itself.

use std::net::Ipv4Addr;

use kingcupfield_decisions::dispatch::Class;
use kingcupfield_decisions::elsewhere::Load;
use kingcupfield_decisions::id::{ShortName, short_name};
use tokio::time::Instant;

use crate::node::{Node, ProcessState};

/// What others need to know at once when it changes.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct News {
    pub(super) loads: Vec<Load>,
    pub(super) waiting: Vec<(ShortName, Class)>,
    pub(super) upto: u64,
    pub(super) zone_size: u16,
    pub(super) leaving: bool,
}

pub(super) fn own_news(node: &Node) -> News {
    News {
        loads: own_loads(node),
        waiting: own_waiting(node),
        upto: node.directory.borrow().upto(),
        zone_size: node.peers.borrow().zone_size() as u16,
        leaving: node.process_state() >= ProcessState::Closing,
    }
}

pub(super) fn own_unreachable(node: &Node) -> Vec<ShortName> {
    let now = Instant::now();
    let dispatch = node.dispatch.borrow();
    dispatch.unreachable(now).map(|id| short_name(id)).collect()
}

fn own_loads(node: &Node) -> Vec<Load> {
    node.dispatch
        .borrow()
        .own_load()
        .filter(|(_, running, _, _)| *running > 0)
        .map(|(id, running, prompt, _)| Load {
            replica: short_name(id),
            running: running as u16,
            prompt: prompt as u32,
        })
        .collect()
}

fn own_waiting(node: &Node) -> Vec<(ShortName, Class)> {
    let urgent = node.dispatch.borrow().urgent(Instant::now());
    let short = urgent
        .into_iter()
        .map(|(service, class)| (short_name(&service), class));
    short.collect()
}

pub(super) fn own_steps(node: &Node) -> Vec<(u32, u32)> {
    node.dispatch
        .borrow()
        .own_load()
        .filter_map(|(id, _, _, step)| Some((short_name(id), (step? * 1000.0) as u32)))
        .collect()
}

pub(super) fn fresh_members(node: &Node) -> Vec<(ShortName, Vec<Ipv4Addr>)> {
    let now = Instant::now();
    let peers = node.peers.borrow();
    let fresh = peers.all().iter().filter(|p| p.is_live(now));
    let mut by_zone: Vec<(ShortName, Vec<Ipv4Addr>)> = Vec::new();
    for peer in fresh {
        let zone = peer.digest.zone;
        match by_zone.binary_search_by_key(&zone, |(name, _)| *name) {
            Ok(at) => by_zone[at].1.push(peer.address),
            Err(at) => by_zone.insert(at, (zone, vec![peer.address])),
        }
    }
    by_zone
}
