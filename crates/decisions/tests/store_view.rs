//! View of the published entries, merged from the store and from peers.

use kingcupfield_decisions::store_view::{
    Entry, LARGE_VALUE_BYTES, StoreView, era_of, number_of, revision_in_era,
};
use yare::parameterized;

fn entry(key: &str, revision: u64, value: Option<&str>) -> Entry {
    Entry {
        key: key.to_owned(),
        revision,
        value: value.map(|v| v.as_bytes().to_vec()),
    }
}

fn value<'a>(view: &'a StoreView, key: &str) -> Option<&'a str> {
    let entry = view.entries().iter().find(|e| e.key == key)?;
    entry
        .value
        .as_deref()
        .and_then(|v| std::str::from_utf8(v).ok())
}

struct Case {
    /// A change that arrives late: from a slow answer of the store or from a peer that is behind.
    late: Entry,
    /// Value of the entry `table` afterwards.
    table: Option<&'static str>,
    /// Value of the entry `replica` afterwards.
    replica: Option<&'static str>,
}

/// An update from a peer arrives first, then a slow answer of the store with an older table. If the
/// older one were applied, callers with new keys would be refused again, and a replica that has
/// left would get requests.
#[parameterized(
    an_older_table = { Case { late: entry("table", 4, Some("old")), table: Some("new"), replica: None } },
    an_older_replica = { Case { late: entry("replica", 6, Some("up")), table: Some("new"), replica: None } },
    a_newer_replica = { Case { late: entry("replica", 9, Some("back")), table: Some("new"), replica: Some("back") } },
    the_same_again = { Case { late: entry("table", 7, Some("other")), table: Some("new"), replica: None } },
)]
fn an_older_change_is_never_applied(case: Case) {
    let mut view = StoreView::new();
    view.apply_list(
        5,
        vec![
            entry("table", 3, Some("first")),
            entry("replica", 2, Some("up")),
        ],
    );
    view.apply_changes(
        8,
        vec![entry("table", 7, Some("new")), entry("replica", 8, None)],
    );
    view.apply_changes(6, vec![case.late]);
    assert_eq!(value(&view, "table"), case.table);
    assert_eq!(value(&view, "replica"), case.replica);
    assert!(view.complete_up_to() >= 8);
}

/// The store drops its history and a new list is read. Entries that are not in the list are
/// removed, but an entry that a peer reported with a later revision must stay, or a new replica
/// would get no requests until its next change.
#[test]
fn a_list_removes_missing_entries_but_no_later_ones() {
    let mut view = StoreView::new();
    view.apply_list(
        5,
        vec![entry("left", 2, Some("up")), entry("stays", 3, Some("up"))],
    );
    view.apply_changes(9, vec![entry("came", 9, Some("up"))]);
    let changed = view.apply_list(8, vec![entry("stays", 3, Some("up"))]);
    assert_eq!(changed, ["left"]);
    assert_eq!(value(&view, "left"), None);
    assert_eq!(value(&view, "stays"), Some("up"));
    assert_eq!(value(&view, "came"), Some("up"));
    assert_eq!(view.complete_up_to(), 9);
}

/// The history of the store is lost again and again, and thousands of replicas are listed each time.
/// If each entry were compared with each other one, a small machine would do nothing else.
#[test]
fn a_list_of_many_entries_is_applied_in_time() {
    let entry = |i: u32, revision| Entry {
        key: format!("replicas/{i:06}"),
        revision,
        value: Some(vec![1]),
    };
    let list = |revision| -> Vec<Entry> { (0..100_000).map(|i| entry(i, revision)).collect() };
    let started = std::time::Instant::now();
    let mut view = StoreView::new();
    view.apply_list(1, list(1));
    let changed = view.apply_list(2, list(2).split_off(50_000));
    assert_eq!(changed.len(), 100_000);
    assert!(started.elapsed() < std::time::Duration::from_secs(10));
}

struct PartsCase {
    /// Revisions up to which the small and the large entries of the second exchange are complete.
    small: u64,
    large: u64,
    /// Revision up to which the view is complete then.
    complete: u64,
}

/// Large entries arrive apart from the others. Until both have arrived, the view must not count as
/// complete: the store would not be asked again for what is missing, nor another instance.
#[parameterized(
    both = { PartsCase { small: 9, large: 9, complete: 9 } },
    large_missing = { PartsCase { small: 9, large: 6, complete: 6 } },
    none_left_out_since = { PartsCase { small: 9, large: 3, complete: 5 } },
    older = { PartsCase { small: 4, large: 4, complete: 5 } },
)]
fn a_view_is_complete_once_small_and_large_entries_are(case: PartsCase) {
    let mut view = StoreView::new();
    view.apply_list(5, vec![entry("replica", 2, Some("up"))]);
    let left = vec![entry("replica", 7, None)];
    view.apply_small_changes(case.small, case.large, left);
    assert_eq!(view.complete_up_to(), case.complete);
    assert_eq!(value(&view, "replica"), None);
    view.apply_large_changes(9, vec![entry("table", 8, Some("new"))]);
    assert_eq!(view.complete_up_to(), case.small.max(5));
    assert_eq!(value(&view, "table"), Some("new"));
}

struct RevisionCase {
    era: u32,
    number: u64,
    is_valid: bool,
}

#[parameterized(
    without_era = { RevisionCase { era: 0, number: 41, is_valid: true } },
    restored = { RevisionCase { era: 7, number: 41, is_valid: true } },
    largest = { RevisionCase { era: (1 << 20) - 1, number: (1 << 44) - 1, is_valid: true } },
    era_too_large = { RevisionCase { era: 1 << 20, number: 0, is_valid: false } },
    number_too_large = { RevisionCase { era: 0, number: 1 << 44, is_valid: false } },
)]
fn a_revision_holds_its_era_and_number(case: RevisionCase) {
    let revision = revision_in_era(case.era, case.number);
    assert_eq!(revision.is_some(), case.is_valid);
    if let Some(revision) = revision {
        assert_eq!(
            (era_of(revision), number_of(revision)),
            (case.era, case.number)
        );
    }
}

/// Revision of a change after the store was restored once.
fn restored(number: u64) -> u64 {
    revision_in_era(1, number).expect("a valid revision")
}

struct RestoreCase {
    /// What arrives after the restore, complete up to the fourth change of the new era.
    entries: Vec<Entry>,
    table: Option<&'static str>,
    replica: Option<&'static str>,
}

/// The store is restored from a copy. What was written since counts, although its revisions were given out
/// before, and what is missing was removed.
#[parameterized(
    changed = { RestoreCase { entries: vec![entry("replica", restored(3), Some("left")), entry("table", restored(4), Some("newer"))], table: Some("newer"), replica: Some("left") } },
    unchanged = { RestoreCase { entries: vec![entry("replica", restored(1), Some("up")), entry("table", restored(2), Some("new"))], table: Some("new"), replica: Some("up") } },
    missing = { RestoreCase { entries: vec![entry("table", restored(2), Some("new"))], table: Some("new"), replica: None } },
    earlier_state = { RestoreCase { entries: vec![entry("replica", restored(1), Some("up")), entry("table", restored(2), Some("earlier"))], table: Some("new"), replica: Some("up") } },
)]
fn changes_of_a_new_era_replace_those_before(case: RestoreCase) {
    let mut view = StoreView::new();
    let known = vec![
        entry("replica", 30, Some("up")),
        entry("table", 39, Some("new")),
    ];
    view.apply_list(40, known);
    for list in [true, false] {
        let mut view = view.clone();
        let mut entries = case.entries.clone();
        view.keep_later_states(&mut entries, |_, value, _| value == b"earlier");
        if list {
            view.apply_list(restored(4), entries);
        } else {
            // As a peer sends them.
            view.apply_small_changes(restored(4), restored(4), entries);
        }
        assert_eq!(value(&view, "table"), case.table);
        assert_eq!(value(&view, "replica"), case.replica);
        assert_eq!(view.complete_up_to(), restored(4));
        // An answer from before the restore arrives late.
        view.apply_list(41, vec![entry("replica", 41, Some("late"))]);
        assert_eq!(value(&view, "replica"), case.replica);
    }
}

/// The store is restored, and a peer sends the large table apart. It must not be taken for removed meanwhile,
/// whether it was large before or not.
#[parameterized(
    large_before = { LARGE_VALUE_BYTES },
    small_before = { 10 },
)]
fn a_large_entry_of_a_new_era_is_not_lost(bytes_before: usize) {
    let large = "x".repeat(LARGE_VALUE_BYTES);
    let mut view = StoreView::new();
    view.apply_list(40, vec![entry("table", 39, Some(&large[..bytes_before]))]);
    view.apply_small_changes(restored(9), restored(4), vec![]);
    assert_eq!(view.complete_up_to(), restored(4));
    view.apply_large_changes(restored(9), vec![entry("table", restored(5), Some(&large))]);
    assert_eq!(value(&view, "table"), Some(&*large));
    assert_eq!(view.complete_up_to(), restored(9));
}

/// Guards against a table that is never asked for: it has become small, and what is read apart from large
/// entries seems complete without it.
#[test]
fn an_entry_that_may_be_large_is_not_among_the_small_ones() {
    let mut view = StoreView::new().with_large_keys(&["table"]);
    view.apply_list(5, vec![entry("table", 3, Some("first"))]);
    view.apply_small_changes(9, 5, vec![entry("replica", 9, Some("up"))]);
    assert_eq!(
        (
            view.small_up_to(),
            view.large_up_to(),
            view.complete_up_to()
        ),
        (9, 5, 5)
    );
    assert!(
        view.entry("table")
            .is_some_and(|table| view.is_large(table))
    );
    let removed = view.apply_small_list(12, Vec::new());
    assert_eq!(removed, ["replica"]);
    assert_eq!(value(&view, "table"), Some("first"));
    view.apply_large_changes(8, vec![entry("table", 7, Some("second"))]);
    assert_eq!(value(&view, "table"), Some("second"));
    assert_eq!((view.small_up_to(), view.complete_up_to()), (12, 8));
}
