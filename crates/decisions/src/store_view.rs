//! Published entries as one instance knows them, merged from the store and from peers.
//!
//! Load pattern: a store that refuses some instances while it serves others, drops its history or
//! answers late. Without a merge by revision an instance that hears from a peer and later from a
//! slow answer of the store would go back to an older configuration, or give work to a replica
//! that has left.

/// Revision of the store; it grows with each change.
pub type Revision = u64;

/// One key and its last change.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Name of the entry.
    pub key: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// What it holds; `None` once it was removed.
    pub value: Option<Vec<u8>>,
}

/// All entries, sorted by key, and the revision up to which they are complete.
#[derive(Debug, Clone, Default)]
pub struct StoreView {
    upto: Revision,
    entries: Vec<Entry>,
}

impl StoreView {
    /// Knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision up to which nothing is missing; 0 before the first list.
    pub fn complete_up_to(&self) -> Revision {
        self.upto
    }

    /// All entries, also the removed ones, sorted by key.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Takes a whole list that is complete up to `upto`; returns the keys that changed.
    ///
    /// What the list lacks was removed by then, unless it is known to have changed later.
    pub fn apply_list(&mut self, upto: Revision, list: Vec<Entry>) -> Vec<String> {
        let mut changed = Vec::new();
        for entry in &mut self.entries {
            let listed = list.iter().any(|e| e.key == entry.key);
            if !listed && entry.value.is_some() && entry.revision <= upto {
                entry.value = None;
                entry.revision = upto;
                changed.push(entry.key.clone());
            }
        }
        changed.extend(self.apply_changes(upto, list));
        changed
    }

    /// Takes changes that follow what is known, up to `upto`; returns the keys that changed.
    pub fn apply_changes(&mut self, upto: Revision, entries: Vec<Entry>) -> Vec<String> {
        let mut changed = Vec::new();
        for entry in entries {
            if self.apply(entry.clone()) {
                changed.push(entry.key);
            }
        }
        self.upto = self.upto.max(upto);
        changed
    }

    fn apply(&mut self, change: Entry) -> bool {
        match self.entries.binary_search_by(|e| e.key.cmp(&change.key)) {
            Ok(at) if self.entries[at].revision >= change.revision => false,
            Ok(at) => {
                self.entries[at] = change;
                true
            }
            Err(at) => {
                self.entries.insert(at, change);
                true
            }
        }
    }
}
