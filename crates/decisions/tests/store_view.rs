//! Published entries merged from the store and from peers.

use kingcupfield_decisions::store_view::{Entry, StoreView};
use yare::parameterized;

fn entry(key: &str, revision: u64, value: Option<&str>) -> Entry {
    Entry {
        key: key.to_owned(),
        revision,
        value: value.map(|v| v.as_bytes().to_vec()),
    }
}

fn value<'a>(known: &'a StoreView, key: &str) -> Option<&'a str> {
    let entry = known.entries().iter().find(|e| e.key == key)?;
    entry
        .value
        .as_deref()
        .and_then(|v| std::str::from_utf8(v).ok())
}

struct Case {
    /// A change that comes late: from a slow answer of the store or from a peer that is behind.
    late: Entry,
    /// What is known afterwards.
    table: Option<&'static str>,
    replica: Option<&'static str>,
}

/// A peer that hears the store fetches first, then the store's own slow answer arrives with an
/// older table. If the older one won, callers with new keys would be refused again, and a replica
/// that has left would get work.
#[parameterized(
    an_older_table = { Case { late: entry("table", 4, Some("old")), table: Some("new"), replica: None } },
    an_older_replica = { Case { late: entry("replica", 6, Some("up")), table: Some("new"), replica: None } },
    a_newer_replica = { Case { late: entry("replica", 9, Some("back")), table: Some("new"), replica: Some("back") } },
    the_same_again = { Case { late: entry("table", 7, Some("other")), table: Some("new"), replica: None } },
)]
fn a_late_change_never_wins(case: Case) {
    let mut known = StoreView::new();
    known.apply_list(
        5,
        vec![
            entry("table", 3, Some("first")),
            entry("replica", 2, Some("up")),
        ],
    );
    known.apply_changes(
        8,
        vec![entry("table", 7, Some("new")), entry("replica", 8, None)],
    );
    known.apply_changes(6, vec![case.late]);
    assert_eq!(value(&known, "table"), case.table);
    assert_eq!(value(&known, "replica"), case.replica);
    assert!(known.complete_up_to() >= 8);
}

/// The store drops its history and a new list is read. What the list lacks is gone, but an entry
/// that a peer told of after the list was made must stay, or a replica that has just come would be
/// without work until its next change.
#[test]
fn a_list_removes_what_it_lacks_but_nothing_later() {
    let mut known = StoreView::new();
    known.apply_list(
        5,
        vec![entry("left", 2, Some("up")), entry("stays", 3, Some("up"))],
    );
    known.apply_changes(9, vec![entry("came", 9, Some("up"))]);
    let changed = known.apply_list(8, vec![entry("stays", 3, Some("up"))]);
    assert_eq!(changed, ["left"]);
    assert_eq!(value(&known, "left"), None);
    assert_eq!(value(&known, "stays"), Some("up"));
    assert_eq!(value(&known, "came"), Some("up"));
    assert_eq!(known.complete_up_to(), 9);
}
