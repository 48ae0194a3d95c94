//! The parsed entries of the directory.

use std::fmt;
use std::time::Duration;

use kingcupfield_decisions::awaited_revision::AwaitedRevision;
use kingcupfield_decisions::id::{UpstreamId, ZoneId};
use kingcupfield_decisions::software_versions::{StreamOrigin, VersionHistory};
use kingcupfield_decisions::store_outage::StoreOutage;
use kingcupfield_decisions::store_view::{Entry, Revision, era_of, number_of};
use tokio::time::Instant;

use crate::adapter::ParsedEntry;
use crate::large_values::LargeValues;
use crate::log::Priority;
use crate::node::Node;
use crate::replica::PublishedReplica;
use crate::stream_origin;
use crate::tasks;

use super::Source;

/// Time for which a replica stays in use after its entry lapsed while the store had failed: a live
/// replica writes its entry again within two seconds of the store's return.
const LAPSED_REPLICA_GRACE: Duration = Duration::from_millis(2300);

/// Time for which what was known before the store was restored goes before its copy: a replica that was removed
/// stays out of use, as the entry of one that is gone has lapsed by then, and a zone stays drained, as the
/// operator writes its entry again.
const RESTORE_GRACE: Duration = Duration::from_secs(5);

/// Time after a failed call in which an entry may have lapsed because of the store, while its
/// replica is alive.
const STORE_FAILURE_WINDOW: Duration = Duration::from_secs(4);

/// Result of the last parse of a directory entry; only a replica or a drained zone sets its field.
#[derive(Debug, Default)]
struct ReadEntry {
    key: String,
    revision: Revision,
    replica: Option<PublishedReplica>,
    /// The zone that the entry drains.
    drained_zone: Option<ZoneId>,
    /// Time until which what a lapsed entry described stays in force.
    in_force_until: Option<Instant>,
    /// The replica that the entry described when it was removed.
    removed: Option<RemovedReplica>,
    /// Time until which the replica stays out of use.
    in_doubt_until: Option<Instant>,
}

/// A replica whose entry was removed.
#[derive(Debug, Clone, Copy)]
struct RemovedReplica {
    /// Start of its process in Unix milliseconds.
    start_unix_ms: u64,
    /// Revision of its last entry.
    revision: Revision,
}

impl RemovedReplica {
    /// Whether an entry of a restored store may be one from before the removal. The copy has no later one than
    /// the last, but numbers up to it may also have been given out again since.
    fn may_be_copied(&self, replica: &PublishedReplica, revision: Revision) -> bool {
        replica.start_unix_ms == self.start_unix_ms
            && number_of(revision) <= number_of(self.revision)
    }
}

/// The parsed directory entries, and the state of reading them.
#[derive(Debug, Default)]
pub struct DirectoryReader {
    /// Sorted by key.
    entries: Vec<ReadEntry>,
    /// When a call to the store last failed, here or at the peer that sent the entries.
    pub(super) store_failed_at: Option<Instant>,
    /// When a store that was restored from a copy was first heard of.
    pub(super) store_restored_at: Option<Instant>,
    /// Whether the store was out of reach for all instances.
    store_outage: StoreOutage,
    /// What other instances have announced and is missing here, but for large entries.
    pub(super) awaited: AwaitedRevision,
    /// The same of large entries.
    pub(super) awaited_large: AwaitedRevision,
    /// Whether a task that gets entries from a peer is running.
    pub(super) peer_sync_scheduled: bool,
    /// Number of fetches from peers that failed since one was completed in the usual time.
    pub(super) sync_failures: u32,
    /// Whether a task that gets large entries from a peer is running.
    pub(super) large_fetch_running: bool,
    /// Large values as they are sent to peers.
    pub large_values: LargeValues,
}

/// Entries that have arrived, and what decides how they are applied.
#[derive(Debug)]
pub(super) struct Update<'a> {
    node: &'a Node,
    now: Instant,
    /// Whether a call to the store failed within the last seconds.
    store_failed: bool,
    source: Source,
    /// Time since another instance announced the change that is awaited here.
    heard: Option<Duration>,
}

impl<'a> Update<'a> {
    /// Creates an update of what `reader` holds.
    pub(super) fn new(node: &'a Node, reader: &DirectoryReader, source: Source) -> Self {
        let now = Instant::now();
        Self {
            node,
            now,
            store_failed: reader.store_failed_recently(),
            source,
            heard: reader.awaited.waited(now),
        }
    }

    /// Logs a change that the entry of this revision brings; `event` is the event with its pairs.
    fn log(&self, event: fmt::Arguments<'_>, revision: Revision) {
        let heard = self.heard.map(|heard| heard.as_millis().to_string());
        self.node.log.line(
            Priority::State,
            format_args!(
                "{event} rev={} source={} heard_ms={}",
                number_of(revision),
                self.source,
                heard.as_deref().unwrap_or("-"),
            ),
        );
    }
}

/// What a change of the directory concerns.
#[derive(Debug, Default)]
pub(super) struct Changes {
    /// Replicas whose entries have changed, before and after the change.
    pub(super) replicas: Vec<UpstreamId>,
    /// Whether the entry of a drained zone has changed.
    pub(super) drained_zones: bool,
    /// Whether an entry was removed that was never seen here: it may have described a replica.
    pub(super) unseen_removed: bool,
    /// Grace times that have begun, each one once.
    pub(super) graces: Vec<Duration>,
}

impl Changes {
    fn add_grace(&mut self, grace: Duration) {
        if !self.graces.contains(&grace) {
            self.graces.push(grace);
        }
    }
}

impl DirectoryReader {
    /// Whether entries may be missing because of the store: it was restored within the last seconds, or calls
    /// failed here or at the peer that sent the entries, and it has served nobody meanwhile. If it served others,
    /// it served the replicas as well, and one whose entry was removed has left.
    pub fn store_failed_recently(&self) -> bool {
        let is_recent =
            |at: Option<Instant>| at.is_some_and(|at| at.elapsed() < STORE_FAILURE_WINDOW);
        let is_out_of_reach = self.store_outage.is_recent(Instant::now());
        is_recent(self.store_restored_at) || is_recent(self.store_failed_at) && is_out_of_reach
    }

    /// Records a response of the store to this instance or another one.
    pub fn on_store_response(&mut self, at: Instant) {
        self.store_outage.on_response(at);
    }

    /// Time since another instance announced the change that is awaited here.
    pub fn awaited_for(&self, now: Instant) -> Option<Duration> {
        self.awaited.waited(now)
    }

    /// Parses an entry if its revision is new, and applies it.
    pub(super) fn apply_entry(
        &mut self,
        update: &Update<'_>,
        entry: &Entry,
        changes: &mut Changes,
    ) {
        let now = update.now;
        let found = self.entries.binary_search_by(|r| r.key.cmp(&entry.key));
        if found.is_ok_and(|index| self.entries[index].revision >= entry.revision) {
            return;
        }
        let mut previous = match found {
            Ok(index) => std::mem::replace(&mut self.entries[index], ReadEntry::new(entry)),
            Err(index) => {
                self.entries.insert(index, ReadEntry::new(entry));
                ReadEntry::default()
            }
        };
        changes.drained_zones |= previous.drained_zone.is_some();
        changes.replicas.extend(previous.replica_id());
        let origin_before = previous.origin();
        let is_unseen = previous.revision == 0 && entry.value.is_none();
        let (Ok(index) | Err(index)) = found;
        let updated = &mut self.entries[index];
        match &entry.value {
            Some(value) => updated.apply_value(update, value, &previous),
            None => updated.apply_lapse(update, &mut previous),
        }
        changes.drained_zones |= updated.drained_zone.is_some();
        changes.replicas.extend(updated.replica_id());
        changes.unseen_removed |= is_unseen;
        let origin = updated.origin();
        let mut versions = update.node.versions.borrow_mut();
        versions.on_replica(now, origin_before, origin);
        drop(versions);
        let graces = [updated.in_force_until, updated.in_doubt_until];
        for until in graces.into_iter().flatten() {
            changes.add_grace(until - now);
        }
    }

    /// The zones that entries drain.
    pub(super) fn drained_zones(&self) -> Vec<ZoneId> {
        self.entries
            .iter()
            .filter_map(|r| r.drained_zone.clone())
            .collect()
    }

    /// The replicas in use, including lapsed ones within their grace time.
    pub(super) fn replicas(&self) -> impl Iterator<Item = &PublishedReplica> {
        let in_use = self.entries.iter().filter(|r| r.in_doubt_until.is_none());
        in_use.filter_map(|r| r.replica.as_ref())
    }

    /// Ends the grace times that are over, and returns what has changed.
    pub(super) fn end_grace(&mut self, now: Instant, versions: &mut VersionHistory) -> Changes {
        let mut ended = Changes::default();
        for entry in &mut self.entries {
            if entry.in_force_until.is_some_and(|until| now >= until) {
                entry.in_force_until = None;
                ended.drained_zones |= entry.drained_zone.take().is_some();
                let origin = entry.origin();
                versions.on_replica(now, origin, None);
                ended.replicas.extend(entry.replica.take().map(|r| r.id));
            }
            if entry.in_doubt_until.is_some_and(|until| now >= until) {
                entry.in_doubt_until = None;
                ended.replicas.extend(entry.replica_id());
            }
        }
        ended
    }
}

impl ReadEntry {
    /// Creates the result for an entry that has not been parsed.
    fn new(entry: &Entry) -> Self {
        Self {
            key: entry.key.clone(),
            revision: entry.revision,
            ..Self::default()
        }
    }

    /// Where streams of the entry's replica begin.
    fn origin(&self) -> Option<StreamOrigin> {
        self.replica.as_ref().map(stream_origin::origin_of)
    }

    fn replica_id(&self) -> Option<UpstreamId> {
        self.replica.as_ref().map(|r| r.id.clone())
    }

    /// Parses the value of the entry and applies it.
    fn apply_value(&mut self, update: &Update<'_>, value: &[u8], previous: &Self) {
        let (node, now) = (update.node, update.now);
        let key = &self.key;
        // A fault of the parser costs this entry, not the others of its response.
        let parsed = tasks::catch_panic_in(|| node.directory_client.parse_entry(key, value));
        let parsed = parsed.unwrap_or_else(|reason| {
            tasks::log_failure(node, "parser", &reason);
            ParsedEntry::InvalidReplica(reason)
        });
        match parsed {
            ParsedEntry::Table(table) => node.set_table(table),
            ParsedEntry::Replica(replica) => {
                // A cold replica publishes its remaining cold time periodically.
                let known = previous.replica.as_ref();
                if known.is_none_or(|p| !p.differs_only_in_cold_until(&replica)) {
                    log_replica(update, &replica, self.revision);
                }
                let is_restored = era_of(self.revision) > era_of(previous.revision);
                let removed = previous.removed.filter(|_| is_restored);
                if removed.is_some_and(|r| r.may_be_copied(&replica, self.revision)) {
                    self.in_doubt_until = Some(now + RESTORE_GRACE);
                }
                self.replica = Some(replica);
            }
            ParsedEntry::DrainedZone(zone) => self.drained_zone = Some(zone),
            ParsedEntry::InvalidReplica(reason) => node.log.line(
                Priority::State,
                format_args!("event=replica_unreadable key={key:?} reason={reason:?}"),
            ),
            ParsedEntry::InvalidTable(reason) => node.log.line(
                Priority::State,
                format_args!("event=table_unreadable reason={reason:?}"),
            ),
            ParsedEntry::Other => {}
        }
    }

    /// Applies the removal of the entry. If the store has failed, its replica stays in use for a while; if it was
    /// restored, its zone stays drained.
    fn apply_lapse(&mut self, update: &Update<'_>, previous: &mut Self) {
        let (now, store_failed) = (update.now, update.store_failed);
        self.removed = previous.removed;
        if let Some(replica) = previous.replica.take() {
            let id = &replica.id;
            if !replica.leaving {
                update.node.metrics.count_expired_replica();
            }
            update.log(
                format_args!("event=replica_gone replica={id} store_trouble={store_failed}"),
                self.revision,
            );
            self.removed = Some(RemovedReplica {
                start_unix_ms: replica.start_unix_ms,
                revision: previous.revision,
            });
            if store_failed && !replica.leaving {
                self.replica = Some(replica);
                self.in_force_until = Some(now + LAPSED_REPLICA_GRACE);
            }
        }
        let is_restored = era_of(self.revision) > era_of(previous.revision);
        if is_restored && previous.drained_zone.is_some() {
            self.drained_zone = previous.drained_zone.take();
            self.in_force_until = Some(now + RESTORE_GRACE);
        }
    }
}

/// Logs a new or changed replica.
fn log_replica(update: &Update<'_>, replica: &PublishedReplica, revision: Revision) {
    let cold_ms = replica.remaining_cold_time().as_millis();
    update.log(
        format_args!(
            "event=replica replica={} service={} version={} address={} zone={} born={} leaving={} cold_ms={cold_ms}",
            replica.id,
            replica.service,
            replica.software_version,
            replica.address,
            replica.zone,
            replica.start_unix_ms,
            replica.leaving,
        ),
        revision,
    );
}
