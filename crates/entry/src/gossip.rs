//! Messages between instances: load and spending by datagrams, the directory by a call.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kingcupfield_decisions::known::Entry;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{Instant, interval, timeout};

use crate::directory;
use crate::log::Weight;
use crate::node::{Node, Stage};
use crate::peers::{Digest, Load, short_name};

/// Time between messages in a small fleet while the load changes: a place at a replica is held
/// for about a second, so a count is a tenth of that old.
const SHORTEST: Duration = Duration::from_millis(100);

/// Instances for each of which the time grows, so that a large fleet does not drown in messages.
const SMALL_FLEET: usize = 10;

/// Time between messages at rest.
const AT_REST: Duration = Duration::from_secs(1);

/// How long the directory may take to tell what a peer already knows, before the peer is asked.
const BEHIND: Duration = Duration::from_millis(250);

/// Longest time that a peer may take to send the directory: two round trips between regions and
/// the time of a large table over a slow link.
const FETCH: Duration = Duration::from_millis(1200);

/// Largest directory that is taken from a peer.
const MAX_SNAPSHOT: usize = 16 * 1024 * 1024;

/// Path at which an instance tells what it knows of the directory.
pub const SNAPSHOT_PATH: &str = "/directory";

/// What an instance tells of the directory.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision up to which it is complete.
    pub upto: u64,
    /// All entries, also the removed ones.
    pub entries: Vec<Entry>,
}

/// Sends and receives until the process ends.
pub async fn run(node: Rc<Node>, socket: UdpSocket, incarnation: u64) {
    let socket = Rc::new(socket);
    tokio::task::spawn_local(receive(Rc::clone(&node), Rc::clone(&socket)));
    let mut sender = Sender {
        incarnation,
        last_loads: Vec::new(),
        full_at: None,
    };
    let mut ticks = interval(SHORTEST);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut tick = 0_usize;
    loop {
        ticks.tick().await;
        tick += 1;
        node.peers.borrow_mut().forget(Instant::now());
        take_loads(&node);
        sender.send(&node, &socket, tick);
    }
}

struct Sender {
    incarnation: u64,
    last_loads: Vec<Load>,
    full_at: Option<Instant>,
}

impl Sender {
    fn send(&mut self, node: &Node, socket: &UdpSocket, tick: usize) {
        let now = Instant::now();
        let known = node.peers.borrow().all().len() + 1;
        let every = known.div_ceil(SMALL_FLEET);
        let full = self
            .full_at
            .is_none_or(|at| now.saturating_duration_since(at) >= AT_REST);
        if !tick.is_multiple_of(every) && !full {
            return;
        }
        let loads = own_loads(node);
        if !full && loads == self.last_loads {
            return;
        }
        let digest = self.digest(node, loads, full);
        let Ok(message) = rmp_serde::to_vec(&digest) else {
            return;
        };
        self.last_loads = digest.loads;
        if full {
            self.full_at = Some(now);
        }
        for address in receivers(node, now, full) {
            let to = SocketAddr::from((address, node.cfg.peer_port));
            // A message that can't be sent now is replaced by the next one.
            let _ = socket.try_send_to(&message, to);
        }
    }

    fn digest(&self, node: &Node, loads: Vec<Load>, full: bool) -> Digest {
        let mut digest = Digest {
            incarnation: self.incarnation,
            upto: node.known.borrow().upto(),
            leaving: node.stage() == Stage::Closing,
            loads,
            spent: node
                .allowances
                .borrow()
                .spent()
                .map(|(name, spent)| (short_name(name), spent))
                .collect(),
            ..Digest::default()
        };
        if full {
            digest.steps = own_steps(node);
            digest.members = fresh_members(node);
        }
        digest
    }
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

fn own_steps(node: &Node) -> Vec<(u32, u32)> {
    node.dispatch
        .borrow()
        .own_load()
        .filter_map(|(id, _, _, step)| Some((short_name(id), (step? * 1000.0) as u32)))
        .collect()
}

fn fresh_members(node: &Node) -> Vec<Ipv4Addr> {
    let now = Instant::now();
    let peers = node.peers.borrow();
    let fresh = peers.all().iter().filter(|p| p.is_fresh(now));
    fresh.map(|p| p.address).collect()
}

/// Those that are heard, and now and then those that are not, with the first contacts.
fn receivers(node: &Node, now: Instant, full: bool) -> Vec<Ipv4Addr> {
    let peers = node.peers.borrow();
    let mut to: Vec<Ipv4Addr> = peers
        .all()
        .iter()
        .filter(|p| full || p.is_fresh(now))
        .map(|p| p.address)
        .collect();
    if full || to.is_empty() {
        for contact in &node.cfg.contacts {
            if let SocketAddr::V4(a) = contact {
                to.push(*a.ip());
            }
        }
    }
    to.sort_unstable();
    to.dedup();
    to.retain(|a| *a != node.cfg.address());
    to
}

async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; 64 * 1024];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let SocketAddr::V4(from) = from else {
            continue;
        };
        match rmp_serde::from_slice::<Digest>(&buf[..len]) {
            Ok(digest) => on_digest(&node, *from.ip(), digest),
            Err(e) => node.log.line(
                Weight::Notable,
                format_args!("event=peer_message_bad from={from} reason={e:?}"),
            ),
        }
    }
}

fn on_digest(node: &Rc<Node>, from: Ipv4Addr, digest: Digest) {
    let now = Instant::now();
    let upto = digest.upto;
    let steps = digest.steps.clone();
    let heard = node.peers.borrow_mut().on_digest(now, from, digest);
    if heard.is_new {
        node.log.line(
            Weight::Notable,
            format_args!("event=peer_heard peer={from}"),
        );
    }
    if let Some(table) = node.table() {
        for (name, cost) in heard.spent {
            if let Some(organisation) = table.organisation_by_short_name(name) {
                node.allowances
                    .borrow_mut()
                    .on_spent_elsewhere(organisation, cost);
            }
        }
    }
    take_steps(node, &steps);
    take_loads(node);
    node.pump();
    if upto > node.known.borrow().upto() {
        directory::ask_peers_later(node, BEHIND);
    }
}

fn take_steps(node: &Node, steps: &[(u32, u32)]) {
    for target in node.targets() {
        let name = short_name(&target.published.id);
        if let Some((_, us)) = steps.iter().find(|(n, _)| *n == name) {
            let step_ms = f64::from(*us) / 1000.0;
            node.dispatch
                .borrow_mut()
                .hint_step(&target.published.id, step_ms);
        }
    }
}

fn take_loads(node: &Node) {
    let now = Instant::now();
    for target in node.targets() {
        let name = short_name(&target.published.id);
        let (running, prompt) = node.peers.borrow().load_at(now, name);
        node.dispatch
            .borrow_mut()
            .set_elsewhere(&target.published.id, running, prompt);
    }
}

/// Asks a peer for what it knows of the directory.
pub async fn fetch(peer: SocketAddr) -> std::io::Result<Snapshot> {
    timeout(FETCH, fetch_now(peer))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
}

async fn fetch_now(peer: SocketAddr) -> std::io::Result<Snapshot> {
    let stream = TcpStream::connect(peer).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::task::spawn_local(async move {
        // Errors reach the call below.
        let _ = connection.await;
    });
    let mut req = Request::new(Full::<Bytes>::default());
    *req.uri_mut() = http::Uri::from_static(SNAPSHOT_PATH);
    let response = sender
        .send_request(req)
        .await
        .map_err(std::io::Error::other)?;
    let body = Limited::new(response.into_body(), MAX_SNAPSHOT)
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    rmp_serde::from_slice(&body).map_err(std::io::Error::other)
}
