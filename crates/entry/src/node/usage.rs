//! Usage of replicas by organisations, which the instances report to each other.

use std::net::Ipv4Addr;

use kingcupfield_decisions::id::{NameHash, OrganisationId};
use tokio::time::Instant;

use super::Node;

impl Node {
    /// The usage that this instance reports to the others; empty while requests aren't ordered by it.
    pub fn own_usage(&self, now: Instant) -> Vec<(NameHash, f32)> {
        let instances = self.peers.borrow().instance_count();
        self.dispatch.borrow().own_usage(now, instances)
    }

    /// Applies another instance's report of the usage through it.
    pub fn on_peer_usage(&self, from: Ipv4Addr, usage: &[(NameHash, f32)]) {
        if !usage.is_empty() {
            self.dispatch
                .borrow_mut()
                .on_peer_usage(Instant::now(), from.to_bits(), usage);
        }
    }

    /// Removes the reports of instances that have fallen silent or left.
    pub fn remove_peer_usage(&self, peers: &[Ipv4Addr]) {
        let mut dispatch = self.dispatch.borrow_mut();
        for peer in peers {
            dispatch.remove_peer_usage(peer.to_bits());
        }
    }

    /// Usage of at most `max` organisations of the table, the largest first, in tokens per second.
    pub fn largest_usage(&self, now: Instant, max: usize) -> Vec<(OrganisationId, f64)> {
        let Some(table) = self.table() else {
            return Vec::new();
        };
        let dispatch = self.dispatch.borrow();
        let mut usage: Vec<(NameHash, f64)> = dispatch.organisation_usage(now).collect();
        usage.sort_unstable_by(|a, b| b.1.total_cmp(&a.1));
        let named = usage.into_iter().filter_map(|(name, usage)| {
            let organisation = table.organisation_by_name_hash(name)?;
            Some((organisation.name.clone(), usage))
        });
        named.take(max).collect()
    }
}
