//! The cell of this instance: the others of its zone that it tells every change of its state.

use std::net::Ipv4Addr;

use kingcupfield_decisions::cells::OwnCell;
use kingcupfield_decisions::id::InstanceAddress;
use tokio::time::Instant;

use super::{Peer, Peers};

/// The own cell, as of the last update.
#[derive(Debug, Default)]
pub(super) struct Cell {
    /// The known members of the zone.
    zone_members: Vec<InstanceAddress>,
    /// Whether the zone has other cells.
    is_part: bool,
    /// Whether this instance is the first of the cell by address.
    is_first: bool,
    /// The other members, sorted by address.
    others: Vec<Ipv4Addr>,
}

impl Peers {
    /// Determines the own cell from the known members of the zone.
    pub fn update_cell(&mut self) {
        let members = self.zone_members();
        if self.cell.zone_members == members {
            return;
        }
        let cell = OwnCell::new(self.own.to_bits(), &members);
        let in_cell = cell.members(&members).into_iter().map(Ipv4Addr::from_bits);
        let mut others: Vec<Ipv4Addr> = in_cell.filter(|m| *m != self.own).collect();
        others.sort_unstable();
        self.cell = Cell {
            zone_members: members,
            is_part: !cell.is_whole_zone(),
            is_first: others.first().is_none_or(|first| self.own < *first),
            others,
        };
    }

    /// Whether the zone is divided into several cells.
    pub fn is_zone_divided(&self) -> bool {
        self.cell.is_part
    }

    /// Whether this instance is the first of its cell.
    pub fn is_first_in_cell(&self) -> bool {
        self.cell.is_first
    }

    /// Whether another instance belongs to the own cell.
    pub fn is_in_cell(&self, address: Ipv4Addr) -> bool {
        self.cell.others.binary_search(&address).is_ok()
    }

    /// The instances of the own cell that are live, or became known a short time ago.
    pub fn reachable_in_cell(&self, now: Instant) -> Vec<Ipv4Addr> {
        let reachable = self.in_cell().filter(|p| p.is_reachable(now));
        reachable.map(|p| p.address).collect()
    }

    /// The other instances of the own cell.
    pub(super) fn in_cell(&self) -> impl Iterator<Item = &Peer> {
        let indices = self.cell.others.iter().map(|a| self.index_of(*a));
        indices.filter_map(|index| Some(&self.others[index.ok()?]))
    }
}
