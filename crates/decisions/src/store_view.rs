//! View of the published store entries at one instance, merged from the store and from peers.
//!
//! Load pattern: a store that refuses some instances while it serves others, drops its history or
//! answers late. Without a merge by revision, an instance that receives an update from a peer and
//! then a slow answer from the store would return to an older configuration, or send requests to a
//! replica that has left.
//!
//! A store that is restored from a copy begins a new era, in which it gives out revisions again. The
//! entries of the new era replace those of the eras before, except that nothing returns to an earlier
//! state: what is missing in the copy is about to be written again.

/// Position of a change in the history of the store: the era in the upper bits and the number of the
/// change in the lower ones, so that every change of a later era is greater.
pub type Revision = u64;

/// Number of times that the store has been restored from a copy.
pub type Era = u32;

/// Number of lower bits of a [`Revision`] for the number of the change. At a million changes a second they
/// last for half a year, at the rate of today's stores for centuries.
const NUMBER_BITS: u32 = 44;

/// Creates the revision of a change by its number within an era; `None` if one of them is too large.
pub fn revision_in_era(era: Era, number: u64) -> Option<Revision> {
    let fits = u64::from(era) < 1 << (u64::BITS - NUMBER_BITS) && number < 1 << NUMBER_BITS;
    fits.then(|| u64::from(era) << NUMBER_BITS | number)
}

/// Era of a revision.
pub fn era_of(revision: Revision) -> Era {
    (revision >> NUMBER_BITS) as Era
}

/// Number of a change within its era.
pub fn number_of(revision: Revision) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}

/// A key of the store with its last change.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Key of the entry.
    pub key: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// Value of the entry; `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

impl Entry {
    /// Whether the value is so large that instances exchange it apart from the others: its transfer
    /// takes long, and small changes must not wait for it.
    pub fn is_large(&self) -> bool {
        let value = self.value.as_ref();
        value.is_some_and(|value| value.len() >= LARGE_VALUE_BYTES)
    }
}

/// Smallest size in bytes of a large value: at 10 Mbit/s it takes 13 ms.
pub const LARGE_VALUE_BYTES: usize = 16 * 1024;

/// Whether an entry is large, by its size or as one of `large_keys`.
fn is_large_among(large_keys: &[&str], entry: &Entry) -> bool {
    let has_large_key = large_keys.contains(&&*entry.key);
    entry.is_large() || entry.value.is_some() && has_large_key
}

/// All known entries, and the revisions up to which they are complete.
#[derive(Debug, Clone, Default)]
pub struct StoreView {
    /// Revision up to which the entries that are not large are complete.
    small_upto: Revision,
    /// Revision up to which the large entries are complete.
    large_upto: Revision,
    /// Sorted by key.
    entries: Vec<Entry>,
    /// Keys whose values count as large whatever their size.
    large_keys: &'static [&'static str],
}

impl StoreView {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the keys that count as large whatever the size of their values. What is read apart from them is
    /// complete without them.
    #[must_use]
    pub fn with_large_keys(mut self, keys: &'static [&'static str]) -> Self {
        self.large_keys = keys;
        self
    }

    /// Whether instances exchange an entry apart from the others.
    pub fn is_large(&self, entry: &Entry) -> bool {
        is_large_among(self.large_keys, entry)
    }

    /// Revision up to which the view is complete; 0 before the first list.
    pub fn complete_up_to(&self) -> Revision {
        self.small_upto.min(self.large_upto)
    }

    /// Revision up to which the entries that are not large are complete.
    pub fn small_up_to(&self) -> Revision {
        self.small_upto
    }

    /// Revision up to which the large entries are complete.
    pub fn large_up_to(&self) -> Revision {
        self.large_upto
    }

    /// Whether large entries are missing that belong to the known ones.
    pub fn lacks_large_entries(&self) -> bool {
        self.large_upto < self.small_upto
    }

    /// All entries, including removed ones, sorted by key.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The entry with this key, which may have been removed.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        let index = self.entries.binary_search_by(|e| (*e.key).cmp(key)).ok()?;
        Some(&self.entries[index])
    }

    /// Replaces the values of `entries` that would return an entry of an earlier era to an earlier state by
    /// the known ones; returns how many. `is_earlier` says so of a key, its value and the known value.
    pub fn keep_later_states<F>(&self, entries: &mut [Entry], is_earlier: F) -> usize
    where
        F: Fn(&str, &[u8], &[u8]) -> bool,
    {
        let mut kept = 0;
        for entry in entries {
            let known = self
                .entry(&entry.key)
                .filter(|known| era_of(known.revision) < era_of(entry.revision));
            let known_value = known.and_then(|known| known.value.as_ref());
            if let (Some(value), Some(known_value)) = (&entry.value, known_value)
                && is_earlier(&entry.key, value, known_value)
            {
                entry.value = Some(known_value.clone());
                kept += 1;
            }
        }
        kept
    }

    /// Applies a list that is complete up to revision `upto`; returns the keys that changed.
    ///
    /// An entry that is not in the list was removed by then, unless a later change of it is known.
    pub fn apply_list(&mut self, upto: Revision, list: Vec<Entry>) -> Vec<String> {
        let was_removed = |e: &Entry| e.value.is_some() && e.revision <= upto;
        let mut changed = self.remove_unlisted(upto, &list, was_removed);
        changed.extend(self.apply_changes(upto, list));
        changed
    }

    /// Applies a list of the entries that are not large, which is complete up to revision `upto`; returns
    /// the keys that changed.
    pub fn apply_small_list(&mut self, upto: Revision, list: Vec<Entry>) -> Vec<String> {
        let large_keys = self.large_keys;
        let was_removed =
            |e: &Entry| e.value.is_some() && e.revision <= upto && !is_large_among(large_keys, e);
        let mut changed = self.remove_unlisted(upto, &list, was_removed);
        self.small_upto = self.small_upto.max(upto);
        changed.extend(self.apply_all(list));
        changed
    }

    /// Applies changes that follow the view and are complete up to revision `upto`; returns the
    /// keys that changed.
    pub fn apply_changes(&mut self, upto: Revision, entries: Vec<Entry>) -> Vec<String> {
        self.small_upto = self.small_upto.max(upto);
        self.large_upto = self.large_upto.max(upto);
        self.apply_all(entries)
    }

    /// Applies changes that are complete up to revision `upto` but for large entries, of which none up
    /// to revision `large_upto` was left out; returns the keys that changed.
    pub fn apply_small_changes(
        &mut self,
        upto: Revision,
        large_upto: Revision,
        entries: Vec<Entry>,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        if era_of(upto) > era_of(self.small_upto) {
            // The removal precedes all changes of the era.
            let era_start = u64::from(era_of(upto)) << NUMBER_BITS;
            let large_keys = self.large_keys;
            let was_removed = |e: &Entry| !is_large_among(large_keys, e) && e.revision < era_start;
            changed = self.remove_unlisted(era_start, &entries, was_removed);
        }
        self.small_upto = self.small_upto.max(upto);
        self.large_upto = self.large_upto.max(large_upto);
        changed.extend(self.apply_all(entries));
        changed
    }

    /// Removes, as of revision `at`, the entries that are not in `listed` and fulfil `was_removed`; returns
    /// the keys of those that had a value.
    fn remove_unlisted<F>(&mut self, at: Revision, listed: &[Entry], was_removed: F) -> Vec<String>
    where
        F: Fn(&Entry) -> bool,
    {
        let mut listed: Vec<&str> = listed.iter().map(|e| &*e.key).collect();
        listed.sort_unstable();
        let mut removed = Vec::new();
        for entry in &mut self.entries {
            let is_listed = listed.binary_search(&&*entry.key).is_ok();
            if is_listed || !was_removed(entry) {
                continue;
            }
            entry.revision = at;
            if entry.value.take().is_some() {
                removed.push(entry.key.clone());
            }
        }
        removed
    }

    /// Applies the changes of large entries, which are complete up to revision `upto`; returns the keys
    /// that changed.
    pub fn apply_large_changes(&mut self, upto: Revision, entries: Vec<Entry>) -> Vec<String> {
        self.large_upto = self.large_upto.max(upto);
        self.apply_all(entries)
    }

    fn apply_all(&mut self, entries: Vec<Entry>) -> Vec<String> {
        let mut changed = Vec::new();
        for entry in entries {
            let key = entry.key.clone();
            if self.apply(entry) {
                changed.push(key);
            }
        }
        changed
    }

    /// Applies a change unless a change of the same or a later revision is known. Returns whether
    /// it was applied.
    fn apply(&mut self, change: Entry) -> bool {
        match self.entries.binary_search_by(|e| e.key.cmp(&change.key)) {
            Ok(i) if self.entries[i].revision >= change.revision => false,
            Ok(i) => {
                self.entries[i] = change;
                true
            }
            Err(i) => {
                self.entries.insert(i, change);
                true
            }
        }
    }
}
