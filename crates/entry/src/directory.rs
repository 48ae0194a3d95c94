//! Follows the published directory, through the store or through peers.
//!
//! The store may refuse this instance alone, go silent on an open connection, answer late or drop
//! its history. A watch without a response is therefore ended after a few seconds, and an instance
//! whose peers have a newer revision gets the entries from them.
//!
//! Load pattern: replicas leave while the operator writes a table of a megabyte, before instances whose
//! links carry less than that in a second. Small changes are read beside a large value, and never wait for
//! it.

mod beside_large;
mod confirmation;
mod peer_sync;
mod reader;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::id::UpstreamId;
use kingcupfield_decisions::store_view::{Entry, Revision, StoreView, era_of, number_of};
use rand::RngExt as _;
use tokio::time::{Instant, sleep, sleep_until};

use crate::adapter::{DirectoryError, Listing};
use crate::log::Priority;
use crate::node::Node;
use crate::replica::PublishedReplica;
use crate::table::Table;
use crate::tasks;

use beside_large::{SmallEntries, receive};
use peer_sync::MIN_PEER_REQUEST_INTERVAL;
use reader::{Changes, Update};

pub use confirmation::{Confirmations, catch_up};
pub use peer_sync::{forget_announced, is_behind, record_announced, schedule_peer_sync};
pub use reader::DirectoryReader;

/// Maximum duration of one watch. Each call is billed, but a store that goes silent on an open connection
/// is noticed only after this and the time for which the client waits for a late response. Until then the
/// other instances rely on this one, so both together leave half of the operator's bound of three
/// seconds to the instance that takes over.
const MAX_WATCH: Duration = Duration::from_secs(1);

/// Maximum duration of a watch after a call that failed: one that hangs on a silent store would
/// outlast the store's return by seconds.
const MAX_WATCH_AFTER_FAILURE: Duration = Duration::from_millis(200);

/// Pauses after calls that failed, by the number of failures in a row: long enough for a store that
/// limits its call rate, short enough to keep the operator's bound of three seconds on changes.
const RETRY_PAUSES: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_millis(900),
];

/// The same on an instance that receives nothing from other instances: it is likely to be cut off from
/// the store as well, and gets the directory from them as soon as it is not.
const ISOLATED_RETRY_PAUSES: [Duration; 2] =
    [Duration::from_millis(900), Duration::from_millis(1800)];

/// Pause after a watch that returned changes: the changes made meanwhile come with one call instead
/// of many, at a fiftieth of the operator's bound of three seconds.
const PAUSE_AFTER_CHANGES: Duration = Duration::from_millis(60);

/// Time for which an instance that is not a configured contact waits for entries from a peer before
/// it reads the store itself, when the whole fleet starts for the first time: otherwise each
/// instance would read the whole directory from the store.
const PEER_HEAD_START: Duration = Duration::from_millis(700);

/// Time for which an instance waits for the first digest of a peer at any other start, when callers
/// are waiting already: with it, the instance knows whether it has to read the store at all.
const FIRST_DIGEST_WAIT: Duration = Duration::from_millis(150);

/// Time without any entry after which an instance reads the store, even if others are to read it:
/// it may reach the store and not their snapshots.
const MAX_TIME_WITHOUT_ENTRIES: Duration = Duration::from_secs(2);

/// Time for which an instance waits for a change that its peers have announced before it reads the store
/// itself: they may be stuck, or cut off from it in one direction. Half of the operator's bound of three
/// seconds is left for the call.
const MAX_PEER_SYNC_TIME: Duration = Duration::from_millis(1200);

/// Minimum interval of full listings: a sixth of the operator's bound of three seconds, so that an
/// instance still catches up in time if the history is lost twice.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which an instance checks whether it has to read the store itself.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Most replicas that are updated one by one; more of them, as in a list, are replaced at once.
const MAX_SINGLE_UPDATES: usize = 32;

/// Time from the announcement of a change by another instance to its arrival here from which on it is
/// logged as late: a third of the operator's bound of three seconds.
const LATE_CHANGE: Duration = Duration::from_secs(1);

/// Where entries came from, as logged.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// The store.
    Store,
    /// Another instance.
    Peer(SocketAddr),
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Peer(peer) => write!(f, "{peer}"),
        }
    }
}

/// Revision up to which something is complete, as logged.
struct Upto(Revision);

impl std::fmt::Display for Upto {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "upto={} era={}", number_of(self.0), era_of(self.0))
    }
}

/// Follows the directory until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut failures = 0;
    reapply(&node);
    wait_for_peers(&node).await;
    loop {
        let Err(e) = follow(&node, &mut failures).await;
        node.directory_reader.borrow_mut().store_failed_at = Some(Instant::now());
        node.record_store_failure();
        failures += 1;
        if failures == 1 || failures % 16 == 0 {
            let reason = e.to_string();
            let store_age_ms = node.store_age().unwrap_or_default().as_millis();
            node.log.line(
                Priority::State,
                format_args!(
                    "event=directory_lost failures={failures} store_age_ms={store_age_ms} reason={reason:?}"
                ),
            );
        }
        if node.table().is_none() {
            schedule_peer_sync(&node, Duration::ZERO);
        }
        let pause = retry_pause(&node, failures);
        sleep(pause.mul_f64(rand::rng().random_range(0.7..1.3))).await;
    }
}

/// Pause after a call to the store that failed, as the last of `failures` in a row.
fn retry_pause(node: &Node, failures: usize) -> Duration {
    let is_isolated =
        node.settings().has_other_contacts() && node.peers.borrow().live_count(Instant::now()) == 1;
    let pauses: &[Duration] = if is_isolated {
        &ISOLATED_RETRY_PAUSES
    } else {
        &RETRY_PAUSES
    };
    pauses[failures.min(pauses.len()) - 1]
}

/// Waits until it is known whether peers have the directory: at the first start of the fleet until
/// one has sent it, otherwise until the first digest.
async fn wait_for_peers(node: &Node) {
    let cfg = node.settings();
    if !cfg.has_other_contacts() {
        return;
    }
    let is_first_start = cfg.first_start && !cfg.is_contact();
    let max_wait = if is_first_start {
        PEER_HEAD_START
    } else {
        FIRST_DIGEST_WAIT
    };
    let is_informed = || {
        node.directory.borrow().complete_up_to() > 0
            || !is_first_start && node.peers.borrow().live_count(Instant::now()) > 1
    };
    let deadline = Instant::now() + max_wait;
    while !is_informed() && Instant::now() < deadline {
        sleep(MIN_PEER_REQUEST_INTERVAL).await;
    }
}

/// Whether this instance has to read the store now: it is one of the few that do, or it does not get from
/// its peers what they have.
fn has_to_read(node: &Node) -> bool {
    let now = Instant::now();
    let is_empty = node.directory.borrow().complete_up_to() == 0;
    let reader = node.directory_reader.borrow();
    let awaited_large = reader.awaited_large.waited(now);
    let awaited_large = awaited_large.filter(|_| !reader.large_fetch_running);
    let awaited = reader.awaited_for(now).max(awaited_large);
    node.reads_store()
        || is_empty && node.peers.borrow().uptime(now) >= MAX_TIME_WITHOUT_ENTRIES
        || awaited.is_some_and(|waited| waited >= MAX_PEER_SYNC_TIME)
}

/// Lists the directory once and then watches for changes; returns at the first failure.
async fn follow(node: &Rc<Node>, failures: &mut usize) -> Result<Infallible, DirectoryError> {
    let mut listed_at = Instant::now();
    loop {
        while !has_to_read(node) {
            sleep(READER_CHECK_INTERVAL).await;
        }
        let after = node.directory.borrow().complete_up_to();
        if after == 0 || node.needs_full_list.get() {
            listed_at = Instant::now();
            list(node, failures).await?;
            continue;
        }
        let max_wait = if *failures > 0 {
            MAX_WATCH_AFTER_FAILURE
        } else {
            MAX_WATCH
        };
        let listing = tokio::select! {
            listing = watch(node, after, max_wait) => listing,
            () = node.resync_wakeup.notified() => {
                // The machine was suspended: changes that were sent meanwhile may be lost.
                node.needs_full_list.set(true);
                continue;
            }
        };
        match listing {
            Ok(listing) => {
                record_store_response(node, failures);
                if apply_changes(node, listing) {
                    sleep(PAUSE_AFTER_CHANGES).await;
                }
            }
            Err(DirectoryError::HistoryCompacted) => {
                node.log.line(
                    Priority::State,
                    format_args!("event=directory_history_gone"),
                );
                node.needs_full_list.set(true);
                // A store whose history ends before its own listing would otherwise be listed in a
                // tight loop.
                sleep_until(listed_at + MIN_LIST_INTERVAL).await;
            }
            Err(e) => return Err(e),
        }
    }
}

/// Waits for changes and receives them.
async fn watch(
    node: &Rc<Node>,
    after: Revision,
    max_wait: Duration,
) -> Result<Listing, DirectoryError> {
    let transfer = node.directory_client.watch(after, max_wait).await?;
    receive(node, transfer, SmallEntries::Watched).await
}

/// Lists the directory.
async fn list(node: &Rc<Node>, failures: &mut usize) -> Result<(), DirectoryError> {
    let transfer = node.directory_client.list().await?;
    let listing = receive(node, transfer, SmallEntries::Listed).await?;
    node.needs_full_list.set(false);
    record_store_response(node, failures);
    apply_list(node, listing);
    Ok(())
}

/// Records a response of the store, and logs it if the previous calls failed.
fn record_store_response(node: &Node, failures: &mut usize) {
    node.record_store_response();
    if *failures > 0 {
        node.log.line(
            Priority::State,
            format_args!("event=directory_regained failures={failures}"),
        );
    }
    *failures = 0;
}

/// Applies a full listing of the directory.
fn apply_list(node: &Rc<Node>, listing: Listing) {
    let is_first = node.directory.borrow().complete_up_to() == 0;
    apply_listing(node, listing, "all", is_first, StoreView::apply_list);
}

/// Applies a listing of the small entries of the directory.
fn apply_small_list(node: &Rc<Node>, listing: Listing) {
    let is_first = node.directory.borrow().small_up_to() == 0;
    apply_listing(
        node,
        listing,
        "small",
        is_first,
        StoreView::apply_small_list,
    );
}

/// Applies a listing to the view by `apply` and passes on what it has changed. `part` names it in the log;
/// `is_first` says whether nothing of it was known before.
fn apply_listing<F>(node: &Rc<Node>, mut listing: Listing, part: &str, is_first: bool, apply: F)
where
    F: FnOnce(&mut StoreView, Revision, Vec<Entry>) -> Vec<String>,
{
    prepare_era(node, listing.revision, &mut listing.entries);
    let upto = Upto(listing.revision);
    let entries = listing.entries.len();
    let mut view = node.directory.borrow_mut();
    let changed = apply(&mut view, listing.revision, listing.entries);
    drop(view);
    // Replicas that came and went since the last response are not in the list.
    if !is_first || !node.settings().first_start {
        node.record_missed_changes();
    }
    node.log.line(
        Priority::State,
        format_args!(
            "event=directory_list {upto} part={part} entries={entries} changed={}",
            changed.len()
        ),
    );
    apply_directory(node, &changed, Source::Store);
    // Also if nothing has changed: the revision may have, and with it what peers ask for.
    node.state_changed.notify_one();
}

/// Applies a listing of changes; returns whether anything changed.
fn apply_changes(node: &Rc<Node>, listing: Listing) -> bool {
    let changed = node
        .directory
        .borrow_mut()
        .apply_changes(listing.revision, listing.entries);
    if changed.is_empty() {
        // Most watches end without a change.
        record_arrival(node, Source::Store);
        return false;
    }
    apply_directory(node, &changed, Source::Store);
    node.state_changed.notify_one();
    true
}

/// Applies a listing of changes that has all but the large ones; returns whether anything changed.
fn apply_small_changes(node: &Rc<Node>, listing: Listing) -> bool {
    let mut view = node.directory.borrow_mut();
    let large_upto = view.large_up_to();
    let changed = view.apply_small_changes(listing.revision, large_upto, listing.entries);
    drop(view);
    if changed.is_empty() {
        record_arrival(node, Source::Store);
        return false;
    }
    apply_directory(node, &changed, Source::Store);
    node.state_changed.notify_one();
    true
}

/// Records that the awaited changes have arrived, and logs those that were late.
fn record_arrival(node: &Node, source: Source) {
    let now = Instant::now();
    let view = node.directory.borrow();
    let (small_upto, large_upto) = (view.small_up_to(), view.large_up_to());
    drop(view);
    let mut reader = node.directory_reader.borrow_mut();
    let small = reader.awaited.on_known(now, small_upto);
    let large = reader.awaited_large.on_known(now, large_upto);
    drop(reader);
    if let Some(waited) = small {
        node.metrics.observe_directory_lag(waited);
    }
    let parts = [("small", small_upto, small), ("large", large_upto, large)];
    for (part, upto, waited) in parts {
        let Some(waited) = waited.filter(|waited| *waited >= LATE_CHANGE) else {
            continue;
        };
        let heard_ms = waited.as_millis();
        node.log.line(
            Priority::State,
            format_args!(
                "event=directory_late {} part={part} source={source} heard_ms={heard_ms}",
                Upto(upto)
            ),
        );
    }
}

/// Prepares entries that are complete up to `upto` for the view. If the store has been restored since,
/// none of them returns an entry to an earlier state, and what is missing may be about to be written
/// again.
fn prepare_era(node: &Node, upto: Revision, entries: &mut [Entry]) {
    let view = node.directory.borrow();
    let known_era = era_of(view.small_up_to());
    if view.small_up_to() > 0 && era_of(upto) > known_era {
        node.directory_reader.borrow_mut().store_restored_at = Some(Instant::now());
        node.log.line(
            Priority::State,
            format_args!(
                "event=store_restored era={} before={known_era}",
                era_of(upto)
            ),
        );
    }
    // The large entries may still be those of the era before.
    if era_of(upto) > era_of(view.complete_up_to()) {
        keep_later_states(node, &view, entries);
    }
}

/// Keeps the known values of entries that the copy of a restored store would return to an earlier state;
/// returns how many.
fn keep_later_states(node: &Node, view: &StoreView, entries: &mut [Entry]) -> usize {
    let client = &node.directory_client;
    view.keep_later_states(entries, |key, value, than| {
        client.is_earlier_state(key, value, than)
    })
}

/// Parses the entries that have changed, and passes the table, the drained zones and the replicas
/// to the node.
fn apply_directory(node: &Rc<Node>, keys: &[String], source: Source) {
    let old_table = node.table();
    let mut changes = Changes::default();
    {
        let directory = node.directory.borrow();
        let mut reader = node.directory_reader.borrow_mut();
        let update = Update::new(node, &reader, source);
        for entry in keys.iter().filter_map(|key| directory.entry(key)) {
            reader.apply_entry(&update, entry, &mut changes);
        }
    }
    record_arrival(node, source);
    if changes.unseen_removed {
        node.record_missed_changes();
    }
    let has_other_services = has_other_services(old_table, node.table());
    for grace in std::mem::take(&mut changes.graces) {
        schedule_grace_end(node, grace);
    }
    publish_changes(node, changes, has_other_services);
}

/// Applies all known entries again. A task that failed may have left some of a response aside.
fn reapply(node: &Rc<Node>) {
    if node.directory.borrow().complete_up_to() == 0 {
        return;
    }
    let view = node.directory.borrow();
    let keys: Vec<String> = view.entries().iter().map(|e| e.key.clone()).collect();
    drop(view);
    apply_directory(node, &keys, Source::Store);
    let reader = node.directory_reader.borrow();
    let everything = Changes {
        replicas: reader.replicas().map(|r| r.id.clone()).collect(),
        drained_zones: true,
        ..Changes::default()
    };
    drop(reader);
    publish_changes(node, everything, true);
}

/// Passes what has changed to the node.
fn publish_changes(node: &Node, changes: Changes, has_other_services: bool) {
    // Set before the replicas, which are usable only outside of drained zones.
    if changes.drained_zones {
        let drained_zones = node.directory_reader.borrow().drained_zones();
        node.set_drained_zones(Instant::now(), drained_zones);
    }
    update_replicas(node, changes.replicas);
    // What a replica may get depends on its service in the table and on the drained zones.
    if changes.drained_zones || has_other_services {
        node.refresh_replicas();
    }
    if node.directory.borrow().complete_up_to() > 0 {
        node.replicas_known.set(true);
    }
    node.assign_slots();
}

/// Starts a task that after `grace` applies the ends of grace times.
fn schedule_grace_end(node: &Rc<Node>, grace: Duration) {
    tasks::spawn(node, "grace", move |node| async move {
        sleep(grace).await;
        let ended = {
            let mut versions = node.versions.borrow_mut();
            let mut reader = node.directory_reader.borrow_mut();
            reader.end_grace(Instant::now(), &mut versions)
        };
        publish_changes(&node, ended, false);
    });
}

/// Whether two tables, if there are any, describe different services.
fn has_other_services(old: Option<Rc<Table>>, new: Option<Rc<Table>>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => !old.has_same_services(&new),
        (old, new) => old.is_some() || new.is_some(),
    }
}

/// Passes the state of the replicas with these ids to the node.
fn update_replicas(node: &Node, mut ids: Vec<UpstreamId>) {
    ids.sort_unstable();
    ids.dedup();
    let reader = node.directory_reader.borrow();
    if ids.len() > MAX_SINGLE_UPDATES {
        let replicas: Vec<PublishedReplica> = reader.replicas().cloned().collect();
        drop(reader);
        node.set_replicas(replicas);
        return;
    }
    let mut published: Vec<Option<PublishedReplica>> = vec![None; ids.len()];
    for replica in reader.replicas() {
        if let Ok(index) = ids.binary_search(&replica.id) {
            published[index] = Some(replica.clone());
        }
    }
    drop(reader);
    for (id, published) in ids.iter().zip(published) {
        node.update_replica(id, published);
    }
}
