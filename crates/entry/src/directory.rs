//! Keeps up with the published directory, through the store or through peers.
//!
//! The store may refuse this instance alone, fall silent on an open connection, answer late or
//! drop its history. A watch that brings nothing is therefore ended after a few seconds, and an
//! instance whose peers are ahead takes what they know.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::id::{UpstreamId, ZoneId, short_name};
use kingcupfield_decisions::known::{Entry, Revision};
use rand::RngExt as _;
use tokio::time::{Instant, sleep, sleep_until};

use crate::adapter::{DirectoryError, Listing, ParsedEntry};
use crate::log::Priority;
use crate::node::Node;
use crate::replica::Published;
use crate::snapshot;

/// Longest time that one watch waits. Each call is paid for; a store that fell silent on an open
/// connection is noticed only after this, and the users' bounds hold again four seconds after its
/// return.
const WATCH: Duration = Duration::from_millis(4200);

/// Longest time that a watch waits after a call that failed: one that hangs on a silent store would
/// outlast the store's return by seconds.
const PROBE: Duration = Duration::from_millis(200);

/// Shortest and longest pause after a call that failed: long enough for a store that counts its
/// calls, short enough to keep the operator's bound of three seconds on changes.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_millis(900),
];

/// A replica whose entry lapsed while the store was away is used on for this long: it writes
/// itself anew within two seconds of the store's return if it lives.
const RETURNS_WITHIN: Duration = Duration::from_millis(2300);

/// A call that failed this lately means that entries may have lapsed by the store's own trouble.
const TROUBLE: Duration = Duration::from_secs(4);

/// Pause after a watch that brought something: what changes meanwhile comes with one call instead of
/// many, at a fiftieth of the operator's bound of three seconds.
const COLLECT: Duration = Duration::from_millis(60);

/// How long an instance that is no first contact waits for a peer's word before it reads the store
/// itself, when the whole fleet starts for the first time: it would read the store sixty times over.
/// At any other start callers wait already, and the wait costs 0.01 of the worth of a heavy day.
const HEARS_PEERS: Duration = Duration::from_millis(700);

/// Shortest time between two lists of the whole directory: a sixth of the operator's bound of three
/// seconds, so that history that is lost twice is still caught up with in time.
const LIST_AGAIN: Duration = Duration::from_millis(500);

/// How often an instance looks whether it has to read the store itself.
const READER_CHECK: Duration = Duration::from_millis(200);

/// Pause between two calls to peers for the directory.
const ASK_PAUSE: Duration = Duration::from_millis(30);

#[derive(Debug)]
struct Read {
    key: String,
    revision: Revision,
    replica: Option<Published>,
    /// The zone that the entry wants emptied.
    emptied: Option<ZoneId>,
    /// Until when a lapsed replica is used on.
    fading: Option<Instant>,
}

/// What was read of the entries so far.
#[derive(Debug, Default)]
pub struct Reader {
    read: Vec<Read>,
    failed_at: Option<Instant>,
    asking: bool,
}

/// Follows the store until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut failures = 0;
    wait_for_peers(&node).await;
    loop {
        let Err(e) = follow(&node, &mut failures).await;
        node.reader.borrow_mut().failed_at = Some(Instant::now());
        failures += 1;
        if failures == 1 || failures % 16 == 0 {
            let reason = e.to_string();
            node.log.line(
                Priority::High,
                format_args!("event=directory_lost failures={failures} reason={reason:?}"),
            );
        }
        if node.table().is_none() {
            ask_peers_later(&node, Duration::ZERO);
        }
        let pause = PAUSES[failures.min(PAUSES.len()) - 1];
        sleep(pause.mul_f64(rand::rng().random_range(0.7..1.3))).await;
    }
}

/// Waits at the start until a peer has told the directory, or for a moment.
async fn wait_for_peers(node: &Node) {
    let cfg = node.settings();
    let until = Instant::now() + HEARS_PEERS;
    let waits = cfg.first_start && !cfg.is_contact();
    while waits && node.known.borrow().upto() == 0 && Instant::now() < until {
        sleep(ASK_PAUSE).await;
    }
}

/// Reads everything once and then each change; ends with the first failure.
async fn follow(node: &Rc<Node>, failures: &mut usize) -> Result<Infallible, DirectoryError> {
    let mut listed = Instant::now();
    loop {
        while !node.reads() {
            sleep(READER_CHECK).await;
        }
        let after = node.known.borrow().upto();
        if after == 0 || node.relist.get() {
            listed = Instant::now();
            let listing = node.directory_client.list().await?;
            node.relist.set(false);
            regained(node, failures);
            take_list(node, listing);
            continue;
        }
        let wait = if *failures > 0 { PROBE } else { WATCH };
        let listing = tokio::select! {
            listing = node.directory_client.watch(after, wait) => listing,
            () = node.reread.notified() => {
                // The process stood still: what it was told meanwhile may be lost.
                node.relist.set(true);
                continue;
            }
        };
        match listing {
            Ok(listing) => {
                regained(node, failures);
                if take_changes(node, listing) {
                    sleep(COLLECT).await;
                }
            }
            Err(DirectoryError::HistoryCompacted) => {
                node.log
                    .line(Priority::High, format_args!("event=directory_history_gone"));
                node.relist.set(true);
                // A store that forgets what it has just listed would be listed in a loop.
                sleep_until(listed + LIST_AGAIN).await;
            }
            Err(e) => return Err(e),
        }
    }
}

/// Notes an answer of the store, and tells of it after failures.
fn regained(node: &Node, failures: &mut usize) {
    node.on_store_answer();
    if *failures > 0 {
        node.log.line(
            Priority::High,
            format_args!("event=directory_regained failures={failures}"),
        );
    }
    *failures = 0;
}

fn take_list(node: &Rc<Node>, listing: Listing) {
    let entries = listing.entries.len();
    let changed = node
        .known
        .borrow_mut()
        .take_list(listing.revision, listing.entries);
    node.log.line(
        Priority::High,
        format_args!(
            "event=directory_list upto={} entries={entries} changed={}",
            listing.revision,
            changed.len()
        ),
    );
    apply(node);
}

/// Returns whether there was any change.
fn take_changes(node: &Rc<Node>, listing: Listing) -> bool {
    let changed = node
        .known
        .borrow_mut()
        .take_changes(listing.revision, listing.entries);
    if !changed.is_empty() {
        apply(node);
        node.changed.notify_one();
    }
    !changed.is_empty()
}

/// Asks a peer after a while, if it is still ahead or nothing is known here.
pub fn ask_peers_later(node: &Rc<Node>, after: Duration) {
    if std::mem::replace(&mut node.reader.borrow_mut().asking, true) {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        sleep(after).await;
        ask_peers(&node).await;
        sleep(ASK_PAUSE).await;
        node.reader.borrow_mut().asking = false;
    });
}

async fn ask_peers(node: &Rc<Node>) {
    let upto = node.known.borrow().upto();
    let cfg = node.settings();
    let place = (short_name(&cfg.availability_zone), short_name(&cfg.region));
    let salt = rand::rng().random();
    let ahead = node
        .peers
        .borrow()
        .ahead(Instant::now(), upto, place, salt)
        .map(|p| p.address);
    let Some(address) = ahead else {
        return;
    };
    let peer = SocketAddr::from((address, node.settings().peer_listen.port()));
    match snapshot::fetch(peer, upto).await {
        Ok(snapshot) => {
            node.log.line(
                Priority::High,
                format_args!(
                    "event=directory_from_peer peer={peer} upto={} before={upto}",
                    snapshot.upto
                ),
            );
            if snapshot.store_trouble {
                node.reader.borrow_mut().failed_at = Some(Instant::now());
            }
            take_snapshot(node, snapshot.upto, snapshot.entries);
        }
        Err(e) => node.log.line(
            Priority::High,
            format_args!(
                "event=peer_unreachable peer={peer} reason={:?}",
                e.to_string()
            ),
        ),
    }
}

fn take_snapshot(node: &Rc<Node>, upto: Revision, entries: Vec<Entry>) {
    if upto <= node.known.borrow().upto() {
        return;
    }
    node.known.borrow_mut().take_changes(upto, entries);
    apply(node);
    node.changed.notify_one();
}

/// Puts what is known into force.
pub fn apply(node: &Rc<Node>) {
    let now = Instant::now();
    let mut lapsing = false;
    {
        let known = node.known.borrow();
        let mut reader = node.reader.borrow_mut();
        let trouble = reader.in_trouble();
        for entry in known.entries() {
            reader.take(node, now, entry, trouble);
        }
        lapsing |= reader.read.iter().any(|r| r.fading.is_some());
    }
    // Before the replicas, whose use depends on it.
    let emptied = node.reader.borrow().emptied();
    node.set_emptied(now, emptied);
    let replicas = node.reader.borrow_mut().replicas(now);
    node.set_replicas(replicas);
    if lapsing {
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            sleep(RETURNS_WITHIN).await;
            let replicas = node.reader.borrow_mut().replicas(Instant::now());
            node.set_replicas(replicas);
        });
    }
}

impl Reader {
    /// Whether a call to the store has failed lately.
    pub fn in_trouble(&self) -> bool {
        self.failed_at.is_some_and(|at| at.elapsed() < TROUBLE)
    }

    fn take(&mut self, node: &Node, now: Instant, entry: &Entry, trouble: bool) {
        let found = self.read.binary_search_by(|r| r.key.cmp(&entry.key));
        if found.is_ok_and(|at| self.read[at].revision >= entry.revision) {
            return;
        }
        let before = found.ok().and_then(|at| self.read[at].replica.take());
        let mut read = Read {
            key: entry.key.clone(),
            revision: entry.revision,
            replica: None,
            emptied: None,
            fading: None,
        };
        match &entry.value {
            Some(value) => read.take(node, value, before.as_ref()),
            None => lapse(node, now, before, trouble, &mut read),
        }
        match found {
            Ok(at) => self.read[at] = read,
            Err(at) => self.read.insert(at, read),
        }
    }

    fn emptied(&self) -> Vec<ZoneId> {
        self.read.iter().filter_map(|r| r.emptied.clone()).collect()
    }

    fn replicas(&mut self, now: Instant) -> Vec<Published> {
        for read in &mut self.read {
            if read.fading.is_some_and(|until| now >= until) {
                read.fading = None;
                read.replica = None;
            }
        }
        self.read.iter().filter_map(|r| r.replica.clone()).collect()
    }
}

fn lapse(node: &Node, now: Instant, before: Option<Published>, trouble: bool, read: &mut Read) {
    let Some(replica) = before else {
        return;
    };
    let id: &UpstreamId = &replica.id;
    if !replica.leaving {
        node.metrics.count_expired_replica();
    }
    node.log.line(
        Priority::High,
        format_args!("event=replica_gone replica={id} store_trouble={trouble}"),
    );
    if trouble && !replica.leaving {
        read.replica = Some(replica);
        read.fading = Some(now + RETURNS_WITHIN);
    }
}

impl Read {
    /// Takes what the entry means.
    fn take(&mut self, node: &Node, value: &[u8], before: Option<&Published>) {
        let key = &self.key;
        match node.directory_client.parse_entry(key, value) {
            ParsedEntry::Table(table) => node.set_table(table),
            ParsedEntry::Replica(replica) => {
                // A cold replica tells again and again how long it stays so.
                if before.is_none_or(|b| !b.differs_in_warmth_alone(&replica)) {
                    tell_replica(node, &replica);
                }
                self.replica = Some(replica);
            }
            ParsedEntry::DrainedZone(zone) => self.emptied = Some(zone),
            ParsedEntry::InvalidReplica(reason) => node.log.line(
                Priority::High,
                format_args!("event=replica_unreadable key={key:?} reason={reason:?}"),
            ),
            ParsedEntry::InvalidTable(reason) => node.log.line(
                Priority::High,
                format_args!("event=table_unreadable reason={reason:?}"),
            ),
            ParsedEntry::Other => {}
        }
    }
}

fn tell_replica(node: &Node, replica: &Published) {
    let cold_ms = replica.cold_for().as_millis();
    node.log.line(
        Priority::High,
        format_args!(
            "event=replica replica={} service={} address={} zone={} born={} leaving={} cold_ms={cold_ms}",
            replica.id,
            replica.service,
            replica.address,
            replica.zone,
            replica.born,
            replica.leaving,
        ),
    );
}
