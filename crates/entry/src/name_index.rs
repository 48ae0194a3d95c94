//! Names by the hash that identifies them in messages between instances.

use std::sync::Arc;

use kingcupfield_decisions::id::{NameHash, name_hash};

/// Names, sorted by hash.
#[derive(Debug, Default)]
pub struct NameIndex {
    entries: Vec<(NameHash, Arc<str>)>,
}

impl NameIndex {
    /// Creates an index of these names.
    pub fn new<'a, I>(names: I) -> Self
    where
        I: IntoIterator<Item = &'a Arc<str>>,
    {
        let mut entries: Vec<_> = names.into_iter().map(entry).collect();
        entries.sort_unstable();
        entries.dedup();
        Self { entries }
    }

    /// The name with this hash.
    pub fn get(&self, hash: NameHash) -> Option<&Arc<str>> {
        let index = self.entries.binary_search_by(|(h, _)| h.cmp(&hash)).ok()?;
        Some(&self.entries[index].1)
    }

    /// Adds a name, if it is not contained yet.
    pub fn insert(&mut self, name: &Arc<str>) {
        let entry = entry(name);
        if let Err(index) = self.entries.binary_search(&entry) {
            self.entries.insert(index, entry);
        }
    }

    /// Removes a name.
    pub fn remove(&mut self, name: &Arc<str>) {
        if let Ok(index) = self.entries.binary_search(&entry(name)) {
            self.entries.remove(index);
        }
    }
}

fn entry(name: &Arc<str>) -> (NameHash, Arc<str>) {
    (name_hash(name), Arc::clone(name))
}
