//! Directory entries fetched from a peer.

use std::time::Duration;

use kingcupfield_decisions::store_view::{Entry, LARGE_VALUE_BYTES, StoreView};
use kingcupfield_entry::large_values::{CompressedEntry, LargeValues};
use kingcupfield_entry::snapshot::{self, Snapshot, SnapshotQuery};
use tokio::net::TcpListener;
use tokio::time::Instant;
use yare::parameterized;

struct StuckPeer {
    /// Revision that the instance has.
    after: u64,
    /// Number of fetches that failed before.
    failures: u32,
    /// Time for which the instance waits.
    time: std::ops::Range<Duration>,
}

/// A peer accepts connections and responds to nothing. The instance must ask another one before the
/// operator's bounds on a change have passed, and soon if it lacks only the latest changes. After fetches
/// that failed it waits longer, as peers may all be slow.
#[parameterized(
    all_entries = { StuckPeer { after: 0, failures: 0, time: Duration::ZERO..Duration::from_millis(1500) } },
    latest_changes = { StuckPeer { after: 7, failures: 0, time: Duration::ZERO..Duration::from_millis(800) } },
    latest_changes_after_a_failure = { StuckPeer { after: 7, failures: 1, time: Duration::from_millis(900)..Duration::from_millis(1300) } },
    latest_changes_after_many = { StuckPeer { after: 7, failures: 100, time: Duration::from_millis(1900)..Duration::from_millis(2300) } },
)]
#[test_macro(tokio::test)]
async fn a_stuck_peer_is_given_up(case: StuckPeer) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let peer = listener.local_addr().expect("an address");
    let local = tokio::task::LocalSet::new();
    let started = Instant::now();
    let fetch = snapshot::fetch(peer, case.after, 0, case.failures);
    let result = local.run_until(fetch).await;
    assert!(result.is_err());
    let elapsed = started.elapsed();
    assert!(case.time.contains(&elapsed), "{elapsed:?}");
}

fn entry(key: &str, revision: u64, bytes: usize) -> Entry {
    Entry {
        key: key.to_owned(),
        revision,
        value: Some(vec![b'x'; bytes]),
    }
}

/// View with a replica of revision 3, a table of revision 5 and a replica of revision 8.
fn view() -> StoreView {
    let mut view = StoreView::new();
    let entries = vec![
        entry("replica-1", 3, 100),
        entry("table", 5, LARGE_VALUE_BYTES),
        entry("replica-2", 8, LARGE_VALUE_BYTES - 1),
    ];
    view.apply_list(9, entries);
    view
}

struct QueryCase {
    query: &'static str,
    keys: &'static [&'static str],
    large_upto: Option<u64>,
}

/// An instance asks for what it lacks, also one of an earlier build, which gets large entries with the
/// others. One that is told of too much would never ask for the rest.
#[parameterized(
    earlier_build = { QueryCase { query: "3", keys: &["replica-2", "table"], large_upto: None } },
    earlier_build_all = { QueryCase { query: "", keys: &["replica-1", "replica-2", "table"], large_upto: None } },
    large_left_out = { QueryCase { query: "3&0", keys: &["replica-2"], large_upto: Some(4) } },
    large_known = { QueryCase { query: "3&5", keys: &["replica-2"], large_upto: Some(9) } },
    nothing_new = { QueryCase { query: "9&9", keys: &[], large_upto: Some(9) } },
    unreadable = { QueryCase { query: "x&y", keys: &["replica-1", "replica-2"], large_upto: Some(4) } },
)]
fn a_snapshot_holds_what_is_asked_for(case: QueryCase) {
    let snapshot = Snapshot::new(&view(), SnapshotQuery::parse(case.query), false);
    let keys: Vec<&str> = snapshot.entries.iter().map(|e| &*e.key).collect();
    assert_eq!(keys, case.keys);
    assert_eq!(snapshot.upto, 9);
    assert_eq!(snapshot.large_upto, case.large_upto);
    let bytes = rmp_serde::to_vec(&snapshot).expect("a message");
    let read: Snapshot = rmp_serde::from_slice(&bytes).expect("the same message");
    assert_eq!(read.large_upto, case.large_upto);
}

/// A value passes through several instances. Each must have it unchanged, and none may take the value
/// of an earlier revision for it.
#[test]
fn a_large_value_is_passed_on_unchanged() {
    let first = entry("table", 5, 100_000);
    let mut values = LargeValues::default();
    let compressed = values.get(&first).expect("a compressed value");
    assert!(compressed.value.len() < 1000);
    assert_eq!(compressed.decompress().expect("a value"), first);
    let second = entry("table", 6, 200_000);
    let compressed = values.get(&second).expect("a compressed value");
    assert_eq!(compressed.decompress().expect("a value"), second);
    let mut damaged: CompressedEntry = compressed;
    damaged.value = damaged.value.slice(..damaged.value.len() / 2);
    assert!(damaged.decompress().is_err());
}

/// Guards against a table that an instance never asks for: it is small, and left out of what was read beside a
/// large response of the store.
#[test]
fn a_small_table_is_sent_apart_by_its_key() {
    let mut view = StoreView::new().with_large_keys(&["table"]);
    view.apply_list(5, vec![entry("table", 3, 10)]);
    view.apply_small_changes(9, 5, vec![entry("replica", 9, 10)]);
    let query = |after, upto| SnapshotQuery {
        after,
        large_after: Some(upto),
    };
    let first = Snapshot::new(&view, query(0, 0), false);
    assert_eq!((first.upto, first.large_upto), (9, Some(2)));
    view.apply_large_changes(9, vec![entry("table", 7, 10)]);
    let later = Snapshot::new(&view, query(9, 5), false);
    assert!(later.entries.is_empty());
    assert_eq!(later.large_upto, Some(6));
    let large: Vec<u64> = snapshot::large_entries_after(&view, 5)
        .map(|e| e.revision)
        .collect();
    assert_eq!(large, [7]);
}
