//! The parsed entries of the directory.

use std::time::Duration;

use kingcupfield_decisions::id::{UpstreamId, ZoneId};
use kingcupfield_decisions::store_view::{Entry, Revision};
use tokio::time::Instant;

use crate::adapter::ParsedEntry;
use crate::large_values::LargeValues;
use crate::log::Priority;
use crate::node::Node;
use crate::replica::PublishedReplica;

/// Time for which a replica stays in use after its entry lapsed while the store had failed: a live
/// replica writes its entry again within two seconds of the store's return.
pub(super) const LAPSED_REPLICA_GRACE: Duration = Duration::from_millis(2300);

/// Time after a failed call in which an entry may have lapsed because of the store, while its
/// replica is alive.
const STORE_FAILURE_WINDOW: Duration = Duration::from_secs(4);

/// Result of the last parse of a directory entry; only a replica or a drained zone sets its field.
#[derive(Debug)]
struct ReadEntry {
    key: String,
    revision: Revision,
    replica: Option<PublishedReplica>,
    /// The zone that the entry drains.
    drained_zone: Option<ZoneId>,
    /// Time until which a lapsed replica stays in use.
    in_use_until: Option<Instant>,
}

/// The parsed directory entries, and the state of reading them.
#[derive(Debug, Default)]
pub struct DirectoryReader {
    /// Sorted by key.
    entries: Vec<ReadEntry>,
    /// When a call to the store last failed, here or at the peer that sent the entries.
    pub(super) store_failed_at: Option<Instant>,
    /// Whether a task that gets entries from a peer is running.
    pub(super) peer_sync_scheduled: bool,
    /// Whether a task that gets large entries from a peer is running.
    pub(super) large_fetch_running: bool,
    /// Large values as they are sent to peers.
    pub large_values: LargeValues,
}

/// What a change of the directory concerns.
#[derive(Debug, Default)]
pub(super) struct Changes {
    /// Replicas whose entries have changed, before and after the change.
    pub(super) replicas: Vec<UpstreamId>,
    /// Whether the entry of a drained zone has changed.
    pub(super) drained_zones: bool,
    /// Whether a replica's entry lapsed while the store had failed.
    pub(super) any_lapsed: bool,
}

impl DirectoryReader {
    /// Whether a call to the store failed within the last seconds, as seen here or by the peer that
    /// sent the entries.
    pub fn store_failed_recently(&self) -> bool {
        self.store_failed_at
            .is_some_and(|at| at.elapsed() < STORE_FAILURE_WINDOW)
    }

    /// Parses an entry if its revision is new, and applies it.
    pub(super) fn apply_entry(
        &mut self,
        node: &Node,
        now: Instant,
        entry: &Entry,
        store_failed: bool,
        changes: &mut Changes,
    ) {
        let found = self.entries.binary_search_by(|r| r.key.cmp(&entry.key));
        if found.is_ok_and(|index| self.entries[index].revision >= entry.revision) {
            return;
        }
        let previous = found
            .ok()
            .and_then(|index| self.entries[index].replica.take());
        let was_drained = found.is_ok_and(|i| self.entries[i].drained_zone.is_some());
        let previous_id = previous.as_ref().map(|p| p.id.clone());
        let mut updated = ReadEntry {
            key: entry.key.clone(),
            revision: entry.revision,
            replica: None,
            drained_zone: None,
            in_use_until: None,
        };
        match &entry.value {
            Some(value) => updated.apply_value(node, value, previous.as_ref()),
            None => apply_lapse(node, now, previous, store_failed, &mut updated),
        }
        let updated_id = updated.replica.as_ref().map(|r| r.id.clone());
        changes.replicas.extend(previous_id);
        changes.replicas.extend(updated_id);
        changes.drained_zones |= was_drained || updated.drained_zone.is_some();
        changes.any_lapsed |= updated.in_use_until.is_some();
        match found {
            Ok(index) => self.entries[index] = updated,
            Err(index) => self.entries.insert(index, updated),
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
        self.entries.iter().filter_map(|r| r.replica.as_ref())
    }

    /// Removes the lapsed replicas whose grace time is over, and returns their ids.
    pub(super) fn end_grace(&mut self, now: Instant) -> Vec<UpstreamId> {
        let mut ended = Vec::new();
        for entry in &mut self.entries {
            if entry.in_use_until.is_some_and(|deadline| now >= deadline) {
                entry.in_use_until = None;
                ended.extend(entry.replica.take().map(|r| r.id));
            }
        }
        ended
    }
}

/// Applies the removal of an entry; its replica stays in use for a while if the store has failed.
fn apply_lapse(
    node: &Node,
    now: Instant,
    previous: Option<PublishedReplica>,
    store_failed: bool,
    entry: &mut ReadEntry,
) {
    let Some(replica) = previous else {
        return;
    };
    let id: &UpstreamId = &replica.id;
    if !replica.leaving {
        node.metrics.count_expired_replica();
    }
    node.log.line(
        Priority::High,
        format_args!("event=replica_gone replica={id} store_trouble={store_failed}"),
    );
    if store_failed && !replica.leaving {
        entry.replica = Some(replica);
        entry.in_use_until = Some(now + LAPSED_REPLICA_GRACE);
    }
}

impl ReadEntry {
    /// Parses the value of the entry and applies it.
    fn apply_value(&mut self, node: &Node, value: &[u8], previous: Option<&PublishedReplica>) {
        let key = &self.key;
        match node.directory_client.parse_entry(key, value) {
            ParsedEntry::Table(table) => node.set_table(table),
            ParsedEntry::Replica(replica) => {
                // A cold replica publishes its remaining cold time periodically.
                if previous.is_none_or(|p| !p.differs_only_in_cold_until(&replica)) {
                    log_replica(node, &replica);
                }
                self.replica = Some(replica);
            }
            ParsedEntry::DrainedZone(zone) => self.drained_zone = Some(zone),
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

/// Logs a new or changed replica.
fn log_replica(node: &Node, replica: &PublishedReplica) {
    let cold_ms = replica.remaining_cold_time().as_millis();
    node.log.line(
        Priority::High,
        format_args!(
            "event=replica replica={} service={} address={} zone={} born={} leaving={} cold_ms={cold_ms}",
            replica.id,
            replica.service,
            replica.address,
            replica.zone,
            replica.start_unix_ms,
            replica.leaving,
        ),
    );
}
