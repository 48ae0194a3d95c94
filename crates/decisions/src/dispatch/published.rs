//! The published replicas of a dispatcher, and which of them belong to the cell of this instance.

use tokio::time::Instant;

use super::Dispatcher;
use super::upstream::{Replica, Upstream};
use crate::cells::OwnCell;
use crate::cold::{self, ColdGate};
use crate::id::{InstanceAddress, ServiceId, UpstreamId};

impl Dispatcher {
    /// Replaces the list of replicas. What was learned about a replica stays while its incarnation
    /// does.
    pub fn update_replicas(&mut self, now: Instant, replicas: &[Replica]) {
        let old = std::mem::take(&mut self.upstreams);
        let ids: Vec<UpstreamId> = old.iter().map(|u| u.replica.id.clone()).collect();
        let mut old: Vec<Option<Upstream>> = old.into_iter().map(Some).collect();
        for replica in replicas {
            let known = ids.binary_search(&replica.id).ok();
            let known = known.and_then(|i| old[i].take());
            let is_restart = known.is_some();
            let same = known.filter(|u| u.replica.incarnation == replica.incarnation);
            let upstream = match same {
                Some(mut known) => {
                    known.replica = replica.clone();
                    known
                }
                None => self.new_upstream(now, replica, is_restart),
            };
            self.upstreams.push(upstream);
        }
        for departed in old.into_iter().flatten() {
            self.departed.add(now, departed);
        }
        self.upstreams
            .sort_by(|a, b| a.replica.id.cmp(&b.replica.id));
        self.active = (0..self.upstreams.len()).collect();
        self.update_cell();
    }

    /// Adds a replica, or replaces what was published about it.
    pub fn update_replica(&mut self, now: Instant, replica: &Replica) {
        let (index, is_restart) = match self.find_index(&replica.id) {
            Ok(index) if self.upstreams[index].replica.incarnation == replica.incarnation => {
                self.upstreams[index].replica = replica.clone();
                return;
            }
            Ok(index) => {
                self.remove_at(now, index);
                (index, true)
            }
            Err(index) => (index, false),
        };
        let upstream = self.new_upstream(now, replica, is_restart);
        self.upstreams.insert(index, upstream);
        for active in self.active.iter_mut().filter(|i| **i >= index) {
            *active += 1;
        }
        self.activate(index);
        if replica.in_own_zone {
            self.update_cell();
        }
    }

    /// Removes a replica that is no longer published.
    pub fn remove_replica(&mut self, now: Instant, replica: &UpstreamId) {
        let Ok(index) = self.find_index(replica) else {
            return;
        };
        let in_own_zone = self.upstreams[index].replica.in_own_zone;
        self.remove_at(now, index);
        if in_own_zone {
            self.update_cell();
        }
    }

    fn remove_at(&mut self, now: Instant, index: usize) {
        let removed = self.upstreams.remove(index);
        self.departed.add(now, removed);
        self.active.retain(|i| *i != index);
        for active in self.active.iter_mut().filter(|i| **i > index) {
            *active -= 1;
        }
    }

    /// Index of a replica, or the index at which to insert it.
    pub(super) fn find_index(&self, replica: &UpstreamId) -> Result<usize, usize> {
        self.upstreams
            .binary_search_by(|u| u.replica.id.cmp(replica))
    }

    /// Creates the state of a replica that has just been published, possibly again; `is_restart` tells
    /// whether it replaces another incarnation.
    fn new_upstream(&mut self, now: Instant, replica: &Replica, is_restart: bool) -> Upstream {
        let cold_gate = ColdGate::new(now, self.is_designated(replica));
        let warm_up = self.new_warm_up(now, replica, is_restart);
        self.keep_new_pace(&replica.id, &warm_up);
        let mut upstream = Upstream::new(replica.clone(), cold_gate, warm_up);
        upstream.is_first_stand_in = self.is_first_stand_in(&replica.id);
        self.departed.restore(&mut upstream);
        let half_life = self.options.load_reports.map(|o| o.half_life);
        upstream.speed.set_half_life(half_life);
        let limit = &mut upstream.limit;
        limit.on_fleet_change(now, &replica.id, &self.fleet);
        upstream
    }

    /// Replaces the list of instances in this zone, which includes this one and those that don't
    /// respond. `None` if the list is unknown or this instance is shutting down.
    pub fn update_members(&mut self, now: Instant, members: Option<Vec<InstanceAddress>>) {
        if self.members == members {
            return;
        }
        self.members = members;
        self.update_cell();
        let designated: Vec<bool> = self
            .upstreams
            .iter()
            .map(|u| self.is_designated(&u.replica))
            .collect();
        for (u, designated) in self.upstreams.iter_mut().zip(designated) {
            u.cold_gate.set_designated(now, designated);
        }
        self.update_stand_ins();
    }

    /// Determines the cell of this instance and the replicas that belong to it.
    fn update_cell(&mut self) {
        self.cell = OwnCell::new(
            self.own_address,
            self.members.as_deref().unwrap_or_default(),
        );
        let in_zone = |u: &&Upstream| u.replica.in_own_zone;
        let services = self.upstreams.iter().filter(in_zone);
        let mut services: Vec<ServiceId> = services.map(|u| u.replica.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            let of_service = |u: &&Upstream| in_zone(u) && u.replica.service == service;
            let ids = self.upstreams.iter().filter(of_service);
            let ids: Vec<&UpstreamId> = ids.map(|u| &u.replica.id).collect();
            let mut in_cell = self.cell.contains_replicas(&ids).into_iter();
            let upstreams = self.upstreams.iter_mut();
            for u in upstreams.filter(|u| of_service(&&**u)) {
                u.in_cell = in_cell.next().unwrap_or_default();
            }
        }
    }

    /// Whether this instance is the one that may send requests to the replica while it is cold.
    fn is_designated(&self, replica: &Replica) -> bool {
        let members = self.members.as_deref().filter(|_| replica.in_own_zone);
        members.is_some_and(|members| {
            cold::designated_instance(&replica.id, members) == Some(self.own_address)
        })
    }
}
