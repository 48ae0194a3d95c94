//! Gets newer directory entries from peers.

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::awaited_revision::AwaitedRevision;
use kingcupfield_decisions::directory_sync::{Announced, Known};
use kingcupfield_decisions::id::name_hash;
use kingcupfield_decisions::store_view::{Entry, Revision, number_of};
use rand::RngExt as _;
use tokio::time::{Instant, sleep};

use crate::large_values::CompressedEntry;
use crate::log::Priority;
use crate::node::Node;
use crate::snapshot::{self, CHANGES_RESPONSE_TIMEOUT, LargeEntries, Snapshot};
use crate::tasks;

use super::{DirectoryReader, Source, Upto, apply_directory, keep_later_states, prepare_era};

/// Minimum interval of directory requests to peers.
pub(super) const MIN_PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// What this instance lacks, compared with what peers have announced. Large entries that are on their way
/// count as known.
fn known(node: &Node) -> Known {
    let view = node.directory.borrow();
    let is_on_its_way = node.directory_reader.borrow().large_fetch_running;
    Known {
        small_upto: view.small_up_to(),
        large_upto: view.large_up_to(),
        asks_for_large: !is_on_its_way,
    }
}

/// Whether a peer that announces this has entries that are worth asking for.
pub fn is_behind(node: &Node, announced: Announced) -> bool {
    known(node).is_behind(announced)
}

/// Records that another instance has announced entries that are missing here.
pub fn record_announced(node: &Node, announced: Announced) {
    let now = Instant::now();
    let known = known(node);
    let mut reader = node.directory_reader.borrow_mut();
    if announced.small_upto > known.small_upto {
        reader.awaited.on_announced(now, announced.small_upto);
    }
    if announced.upto > known.large_upto {
        reader.awaited_large.on_announced(now, announced.upto);
    }
}

/// Stops waiting for what no known instance announces any more: one that announced it has started again, or
/// is gone for good.
pub fn forget_announced(node: &Node) {
    let known = known(node);
    let peers = node.peers.borrow();
    let mut reader = node.directory_reader.borrow_mut();
    if !peers.has_announced(|announced| announced.small_upto > known.small_upto) {
        reader.awaited = AwaitedRevision::default();
    }
    if !peers.has_announced(|announced| announced.upto > known.large_upto) {
        reader.awaited_large = AwaitedRevision::default();
    }
}

/// Starts a task that after `delay` gets newer entries from a peer, if one has a higher revision by
/// then. At most one such task runs at a time.
pub fn schedule_peer_sync(node: &Rc<Node>, delay: Duration) {
    if std::mem::replace(
        &mut node.directory_reader.borrow_mut().peer_sync_scheduled,
        true,
    ) {
        return;
    }
    tasks::spawn(node, "peer_sync", move |node| async move {
        let _running = Running::new(&node, |reader| reader.peer_sync_scheduled = false);
        sleep(delay).await;
        sync_from_peer(&node).await;
        sleep(MIN_PEER_REQUEST_INTERVAL).await;
    });
}

/// A task of which one may run at a time. Its end is recorded when this is dropped, also by a panic: the next
/// task would never start otherwise.
struct Running {
    node: Rc<Node>,
    end: fn(&mut DirectoryReader),
}

impl Running {
    fn new(node: &Rc<Node>, end: fn(&mut DirectoryReader)) -> Self {
        Self {
            node: Rc::clone(node),
            end,
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        (self.end)(&mut self.node.directory_reader.borrow_mut());
    }
}

/// Gets newer entries from a peer, if one has a higher revision.
async fn sync_from_peer(node: &Rc<Node>) {
    let known = known(node);
    let Some(peer) = pick_peer(node, |announced| known.is_behind(announced)) else {
        return;
    };
    let (after, large_after) = (known.small_upto_for(peer.announced), known.large_upto);
    let peer = peer.address;
    let failures = node.directory_reader.borrow().sync_failures;
    let started = Instant::now();
    match snapshot::fetch(peer, after, large_after, failures).await {
        Ok(fetched) => {
            let upto = fetched.content.upto;
            on_fetched(node, peer, "changes", upto, fetched.bytes, started);
            apply_snapshot(node, peer, fetched.content);
            sync_large_entries(node, peer);
        }
        Err(e) => on_sync_failed(node, peer, &e),
    }
}

/// Starts to get large entries that are missing, from the peer that has just sent the small ones or from
/// another one that has them.
fn sync_large_entries(node: &Rc<Node>, asked: SocketAddr) {
    let large_upto = node.directory.borrow().large_up_to();
    if !node.directory.borrow().lacks_large_entries() {
        return;
    }
    let peer = pick_peer(node, |announced| {
        // Peers of an earlier build count a large entry that has become small with the small ones, so
        // these must have been asked for first.
        announced.upto > large_upto && announced.is_split
    });
    let has_large = |peer: SocketAddr| {
        let IpAddr::V4(address) = peer.ip() else {
            return false;
        };
        let peers = node.peers.borrow();
        peers
            .announced_by(address)
            .is_some_and(|a| a.upto > large_upto)
    };
    if has_large(asked) {
        start_large_fetch(node, asked);
    } else if let Some(peer) = peer {
        start_large_fetch(node, peer.address);
    }
}

/// A peer to ask, and what it has announced.
struct SyncPeer {
    address: SocketAddr,
    announced: Announced,
}

/// Picks a peer by what it has announced.
fn pick_peer<F>(node: &Node, is_wanted: F) -> Option<SyncPeer>
where
    F: Fn(Announced) -> bool,
{
    let cfg = node.settings();
    let location = (name_hash(&cfg.availability_zone), name_hash(&cfg.region));
    let salt = rand::rng().random();
    let peers = node.peers.borrow();
    let peer = peers.pick_sync_peer(Instant::now(), is_wanted, location, salt)?;
    Some(SyncPeer {
        address: SocketAddr::from((peer.address, cfg.peer_listen.port())),
        announced: peer.announced(),
    })
}

/// Starts a task that gets the large entries that are missing here. At most one such task runs at a
/// time; the other changes go on arriving meanwhile.
fn start_large_fetch(node: &Rc<Node>, peer: SocketAddr) {
    if std::mem::replace(
        &mut node.directory_reader.borrow_mut().large_fetch_running,
        true,
    ) {
        return;
    }
    tasks::spawn(node, "large_fetch", move |node| async move {
        let running = Running::new(&node, |reader| reader.large_fetch_running = false);
        let after = node.directory.borrow().large_up_to();
        let failures = node.directory_reader.borrow().sync_failures;
        let started = Instant::now();
        match snapshot::fetch_large(peer, after, failures).await {
            Ok(fetched) => {
                let upto = fetched.content.upto;
                on_fetched(&node, peer, "large", upto, fetched.bytes, started);
                apply_large_entries(&node, peer, fetched.content);
            }
            Err(e) if e.kind() == ErrorKind::ResourceBusy => on_peer_busy(&node, peer, started),
            Err(e) => on_sync_failed(&node, peer, &e),
        }
        drop(running);
        // More may have been changed meanwhile, or the fetch may have failed.
        schedule_peer_sync(&node, Duration::ZERO);
    });
}

/// Applies the entries that a peer has sent.
fn apply_snapshot(node: &Rc<Node>, peer: SocketAddr, mut snapshot: Snapshot) {
    prepare_era(node, snapshot.upto, &mut snapshot.entries);
    if snapshot.store_trouble {
        node.directory_reader.borrow_mut().store_failed_at = Some(Instant::now());
    }
    let large_upto = snapshot.large_upto.unwrap_or(snapshot.upto);
    let is_first = node.directory.borrow().small_up_to() == 0;
    let changed = node.directory.borrow_mut().apply_small_changes(
        snapshot.upto,
        large_upto,
        snapshot.entries,
    );
    if is_first && !node.settings().first_start {
        node.record_missed_changes();
    }
    apply_directory(node, &changed, Source::Peer(peer));
    node.state_changed.notify_one();
}

/// Applies the large entries that a peer has sent. If one can't be read, none counts as received.
fn apply_large_entries(node: &Rc<Node>, peer: SocketAddr, large: LargeEntries) {
    let decompressed = large.entries.iter().map(CompressedEntry::decompress);
    let mut entries = match decompressed.collect::<std::io::Result<Vec<Entry>>>() {
        Ok(entries) => entries,
        Err(e) => return on_sync_failed(node, peer, &e),
    };
    let mut view = node.directory.borrow_mut();
    let is_unchanged = keep_later_states(node, &view, &mut entries) == 0;
    let changed = view.apply_large_changes(large.upto, entries);
    drop(view);
    if is_unchanged {
        let mut reader = node.directory_reader.borrow_mut();
        for entry in large.entries {
            reader.large_values.insert(entry);
        }
    }
    apply_directory(node, &changed, Source::Peer(peer));
    node.state_changed.notify_one();
}

/// Records and logs what a peer has sent.
fn on_fetched(
    node: &Node,
    peer: SocketAddr,
    part: &str,
    upto: Revision,
    bytes: usize,
    started: Instant,
) {
    let elapsed = started.elapsed();
    // A peer that was slow would be given up again if the next fetch waited less.
    if elapsed < CHANGES_RESPONSE_TIMEOUT {
        node.directory_reader.borrow_mut().sync_failures = 0;
    }
    let before = number_of(node.directory.borrow().complete_up_to());
    let upto = Upto(upto);
    let ms = elapsed.as_millis();
    node.log.line(
        Priority::State,
        format_args!(
            "event=directory_from_peer peer={peer} {upto} before={before} part={part} bytes={bytes} ms={ms}"
        ),
    );
}

/// Logs that a peer has no room for another transfer. It is asked again, or another one that has the same
/// by then.
fn on_peer_busy(node: &Node, peer: SocketAddr, started: Instant) {
    let ms = started.elapsed().as_millis();
    node.log.line(
        Priority::State,
        format_args!("event=peer_busy peer={peer} ms={ms}"),
    );
}

/// Records and logs that a peer did not send what it was asked for.
fn on_sync_failed(node: &Node, peer: SocketAddr, e: &std::io::Error) {
    node.directory_reader.borrow_mut().sync_failures += 1;
    if let IpAddr::V4(address) = peer.ip() {
        let mut peers = node.peers.borrow_mut();
        peers.record_sync_failure(Instant::now(), address);
    }
    let reason = e.to_string();
    node.log.line(
        Priority::State,
        format_args!("event=peer_unreachable peer={peer} reason={reason:?}"),
    );
}
