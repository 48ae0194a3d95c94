//! Load that the other instances put on each replica, kept as running totals.
//!
//! Load pattern: sixty instances that send each other every change of their load, with more than a
//! hundred replicas. Recomputing all totals for each message took seven tenths of an instance's CPU
//! time, so that small machines fell behind with all other work, including updates of the
//! operator's table. Here a message only updates the totals of the replicas it changes.

use serde::{Deserialize, Serialize};

use crate::id::NameHash;

/// Load that one instance puts on one replica.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// Hash of the replica's name.
    pub replica: NameHash,
    /// Number of requests that run there.
    pub running: u16,
    /// Prompt tokens of these requests that the replica has yet to process.
    pub prompt: u32,
}

/// Load that all other instances put on one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TotalLoad {
    /// Number of requests that run there.
    pub running: u32,
    /// Prompt tokens of these requests that the replica has yet to process.
    pub pending_prompt_tokens: u64,
}

/// Total load by replica, and the replicas whose total changed since [`RemoteLoad::take_changed`].
#[derive(Debug, Default)]
pub struct RemoteLoad {
    /// Sorted by replica.
    totals: Vec<(NameHash, TotalLoad)>,
    changed: Vec<NameHash>,
}

impl RemoteLoad {
    /// Creates empty totals.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the `previous` load reported by one instance with its `current` one. Entries in
    /// both, which are most of those in consecutive messages, are skipped.
    pub fn replace(&mut self, previous: &[ReplicaLoad], current: &[ReplicaLoad]) {
        for load in previous.iter().filter(|l| !current.contains(l)) {
            let total = self.total_mut(load.replica);
            total.running -= u32::from(load.running);
            total.pending_prompt_tokens -= u64::from(load.prompt);
        }
        for load in current.iter().filter(|l| !previous.contains(l)) {
            let total = self.total_mut(load.replica);
            total.running += u32::from(load.running);
            total.pending_prompt_tokens += u64::from(load.prompt);
        }
    }

    /// Total load at a replica; zero if none was reported.
    pub fn get(&self, replica: NameHash) -> TotalLoad {
        let found = self.totals.binary_search_by(|(r, _)| r.cmp(&replica));
        found.map_or_else(|_| TotalLoad::default(), |i| self.totals[i].1)
    }

    /// Totals of all replicas for which load was ever reported, sorted by replica.
    pub fn totals(&self) -> &[(NameHash, TotalLoad)] {
        &self.totals
    }

    /// Returns the replicas whose totals changed since the last call, sorted, and resets the list.
    pub fn take_changed(&mut self) -> Vec<NameHash> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// Total of a replica, marked as changed; inserted if absent.
    fn total_mut(&mut self, replica: NameHash) -> &mut TotalLoad {
        self.changed.push(replica);
        let found = self.totals.binary_search_by(|(r, _)| r.cmp(&replica));
        let i = found.unwrap_or_else(|i| {
            self.totals.insert(i, (replica, TotalLoad::default()));
            i
        });
        &mut self.totals[i].1
    }
}
