//! Divides a zone into cells: few instances with few replicas that only they use at first.
//!
//! Load pattern: a hundred instances before five hundred replicas of a zone. If each chose among
//! all replicas, each would have to know at once what every other one sends: the messages that one
//! receives would grow with the zone, and all would choose the same replica until the next message.
//! In a cell, a replica's load is known to the few instances that share it. The replicas of other
//! cells are used when the own ones have no room.
//!
//! Members and replicas are ordered by hash and cut into parts of equal size, so each instance
//! computes the same cells without a message. One more or less moves one member across each cut.

use xxhash_rust::xxh3::xxh3_64;

use crate::fanout::MAX_FULL_MESH;
use crate::id::{InstanceAddress, UpstreamId};

/// Number of cells of a zone with this many instances.
pub fn cell_count(instances: usize) -> usize {
    instances.div_ceil(MAX_FULL_MESH).max(1)
}

/// The cells of one zone, as one of its instances sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnCell {
    /// Number of cells.
    count: usize,
    /// Which of them is the own one.
    index: usize,
}

impl Default for OwnCell {
    /// The whole zone as one cell.
    fn default() -> Self {
        Self { count: 1, index: 0 }
    }
}

impl OwnCell {
    /// The cell of `own` among the members of its zone; all of the zone if it is not among them.
    pub fn new(own: InstanceAddress, members: &[InstanceAddress]) -> Self {
        let ranked = rank_members(members);
        match ranked.iter().position(|m| *m == own) {
            Some(position) => {
                let count = cell_count(ranked.len());
                Self {
                    count,
                    index: cell_at(position, ranked.len(), count),
                }
            }
            None => Self::default(),
        }
    }

    /// Whether the cell is the whole zone.
    pub fn is_whole_zone(self) -> bool {
        self.count == 1
    }

    /// The members of the cell.
    pub fn members(self, members: &[InstanceAddress]) -> Vec<InstanceAddress> {
        let ranked = rank_members(members);
        let len = ranked.len();
        let positions = ranked.into_iter().enumerate();
        positions
            .filter(|(position, _)| cell_at(*position, len, self.count) == self.index)
            .map(|(_, member)| member)
            .collect()
    }

    /// For each replica of one service in the zone, whether it belongs to the cell. A service with
    /// fewer replicas than cells has one in several of them.
    pub fn contains_replicas(self, replicas: &[&UpstreamId]) -> Vec<bool> {
        let mut ranked: Vec<usize> = (0..replicas.len()).collect();
        ranked.sort_by_key(|i| (xxh3_64(replicas[*i].as_bytes()), *i));
        let mut in_cell = vec![false; replicas.len()];
        let len = replicas.len();
        for (position, replica) in ranked.into_iter().enumerate() {
            in_cell[replica] = if len >= self.count {
                cell_at(position, len, self.count) == self.index
            } else {
                cell_at(self.index, self.count, len) == position
            };
        }
        in_cell
    }
}

/// The members in the order in which cells are cut.
fn rank_members(members: &[InstanceAddress]) -> Vec<InstanceAddress> {
    let mut ranked = members.to_vec();
    ranked.sort_unstable_by_key(|m| (xxh3_64(&m.to_be_bytes()), *m));
    ranked.dedup();
    ranked
}

/// Which of `count` parts of equal size the position belongs to.
fn cell_at(position: usize, len: usize, count: usize) -> usize {
    position * count / len
}
