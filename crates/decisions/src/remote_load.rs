//! What the other instances have at each replica, kept as sums.
//!
//! Load pattern: sixty instances that tell each other of each change, before a hundred and more
//! replicas. Adding all words up anew at each message took seven tenths of an instance's processor
//! time, so that small machines fell behind in everything else, the operator's table included. Here
//! a message changes the sums of the replicas that it names and no others.

use serde::{Deserialize, Serialize};

use crate::id::NameHash;

/// What an instance has at one replica.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// The replica.
    pub replica: NameHash,
    /// Requests of the instance there.
    pub running: u16,
    /// Their prompt tokens that are still to be read.
    pub prompt: u32,
}

/// What all other instances have at one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TotalLoad {
    /// Requests there.
    pub running: u32,
    /// Their prompt tokens that are still to be read.
    pub prompt: u64,
}

/// Sums by replica, and which of them have changed since somebody looked.
#[derive(Debug, Default)]
pub struct RemoteLoad {
    sums: Vec<(NameHash, TotalLoad)>,
    changed: Vec<NameHash>,
}

impl RemoteLoad {
    /// Nobody has anything anywhere.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces what one instance had by what it has. Most of it stays from message to message.
    pub fn replace(&mut self, before: &[ReplicaLoad], after: &[ReplicaLoad]) {
        for load in before.iter().filter(|l| !after.contains(l)) {
            let sum = self.change(load.replica);
            sum.running -= u32::from(load.running);
            sum.prompt -= u64::from(load.prompt);
        }
        for load in after.iter().filter(|l| !before.contains(l)) {
            let sum = self.change(load.replica);
            sum.running += u32::from(load.running);
            sum.prompt += u64::from(load.prompt);
        }
    }

    /// What the others have at a replica.
    pub fn get(&self, replica: NameHash) -> TotalLoad {
        let found = self.sums.binary_search_by(|(r, _)| r.cmp(&replica));
        found.map_or_else(|_| TotalLoad::default(), |at| self.sums[at].1)
    }

    /// All replicas at which the others have or had something.
    pub fn totals(&self) -> &[(NameHash, TotalLoad)] {
        &self.sums
    }

    /// The replicas whose sums have changed since the last call.
    pub fn take_changed(&mut self) -> Vec<NameHash> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    fn change(&mut self, replica: NameHash) -> &mut TotalLoad {
        self.changed.push(replica);
        let found = self.sums.binary_search_by(|(r, _)| r.cmp(&replica));
        let at = found.unwrap_or_else(|at| {
            self.sums.insert(at, (replica, TotalLoad::default()));
            at
        });
        &mut self.sums[at].1
    }
}
