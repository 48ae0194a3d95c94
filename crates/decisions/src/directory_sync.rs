//! Which entries of the directory an instance asks another one for.
//!
//! Load pattern: a replica leaves while a large table is on its way through the fleet. Instances that
//! have the small change and not the table yet announce both apart, so that nobody waits for the table
//! to learn of the replica.

use crate::store_view::Revision;

/// What another instance has announced to have.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announced {
    /// Revision up to which it has all entries.
    pub upto: Revision,
    /// Revision up to which it has the entries that are not large.
    pub small_upto: Revision,
    /// Whether it announces both apart, which instances of an earlier build don't.
    pub is_split: bool,
}

/// What this instance has.
#[derive(Debug, Clone, Copy)]
pub struct Known {
    /// Revision up to which it has the entries that are not large.
    pub small_upto: Revision,
    /// Revision up to which it has the large ones.
    pub large_upto: Revision,
    /// Whether large entries that are missing are to be asked for.
    pub asks_for_large: bool,
}

impl Known {
    /// Whether another instance has entries that are to be asked for.
    pub fn is_behind(&self, announced: Announced) -> bool {
        announced.small_upto > self.small_upto
            || self.asks_for_large && announced.upto > self.large_upto
    }

    /// Revision after which small entries are asked for. An instance of an earlier build tells large entries
    /// by their size alone: one that has become small would be left out if it were asked for later ones only.
    pub fn small_upto_for(&self, announced: Announced) -> Revision {
        if announced.is_split {
            self.small_upto
        } else {
            self.small_upto.min(self.large_upto)
        }
    }
}
