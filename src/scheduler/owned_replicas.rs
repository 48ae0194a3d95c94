//! The replicas that this instance owns, each with its queue of reservations.

use kingcupfield_decisions::id::{InstanceId, UpstreamId};
use kingcupfield_decisions::prefixes::CacheEvent;
use kingcupfield_decisions::slots::{HolderEnvelope, LoadReport, SlotQueue, ToOwner};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{LocalMessage, Outgoing, Scheduler};
use crate::message::PeerMessage;

/// A replica that this instance owns.
#[derive(Debug)]
pub(super) struct OwnedReplica {
    pub(super) queue: SlotQueue,
    /// Whether the replica accepts no further requests.
    leaving: bool,
}

impl OwnedReplica {
    /// Returns the replica's state for the diagnostic dump.
    pub(super) fn dump(&self, now: Instant) -> Value {
        json!({
            "upstream": &**self.queue.upstream(),
            "health": format!("{:?}", self.queue.health()),
            "leaving": self.leaving,
            "digest": self.queue.digest(now),
        })
    }
}

impl Scheduler {
    /// Whether this instance has the queue of `upstream`.
    pub fn owns(&self, upstream: &UpstreamId) -> bool {
        self.find_owned(upstream).is_ok()
    }

    /// Handles a load report of an owned replica; ignores those of other replicas.
    pub fn on_load_report(&mut self, now: Instant, upstream: &UpstreamId, report: LoadReport) {
        if let Ok(index) = self.find_owned(upstream) {
            self.owned[index].leaving |= report.leaving;
            let messages = self.owned[index].queue.on_load_report(now, report);
            self.send_to_holders(messages);
            self.deliver_local(now);
        }
    }

    /// Handles a prefix cache event of an owned replica; ignores those of other replicas.
    pub fn on_cache_event(&mut self, upstream: &UpstreamId, event: CacheEvent) {
        if let Ok(index) = self.find_owned(upstream) {
            self.owned[index].queue.on_cache_event(event);
        }
    }

    /// Handles a holder's message to the owner of `upstream`.
    pub(super) fn on_to_owner(
        &mut self,
        now: Instant,
        from: &InstanceId,
        upstream: &UpstreamId,
        message: ToOwner,
    ) {
        let index = match self.find_owned(upstream) {
            Ok(index) => index,
            // Only a reservation creates a queue. The sender's view of the membership may differ
            // from this instance's, so that two instances own the replica; a new queue starts
            // with few slots, which keeps the two from overloading the replica.
            Err(_) if !matches!(message, ToOwner::Reserve(_)) => return,
            Err(index) => {
                let Some(owned) = self.new_owned_replica(now, upstream) else {
                    return;
                };
                self.owned.insert(index, owned);
                index
            }
        };
        let messages = self.owned[index].queue.on_message(now, from, message);
        self.send_to_holders(messages);
    }

    /// Updates the pace and the shed level of each owned queue and advances its timers.
    pub(super) fn tick_owned(&mut self, now: Instant) {
        for index in 0..self.owned.len() {
            let upstream = self.owned[index].queue.upstream().clone();
            if let Some(replica) = self.replicas.get(&upstream) {
                let lowest_rank = self.lowest_admitted_rank(now, &replica.service);
                let median = self
                    .replicas
                    .median_pace(&replica.service, replica.generation.as_deref());
                self.owned[index].queue.set_usual_pace(median);
                let messages = self.owned[index].queue.set_lowest_rank(now, lowest_rank);
                self.send_to_holders(messages);
            }
            let messages = self.owned[index].queue.on_tick(now);
            self.send_to_holders(messages);
        }
    }

    /// Drops the queues of replicas that other instances now own, and creates those of replicas
    /// that this instance now owns.
    pub(super) fn refresh_owned(&mut self, now: Instant) {
        let is_owned = |upstream: &UpstreamId, scheduler: &Self| {
            scheduler.replicas.owner(upstream) == Some(&scheduler.identity.instance)
        };
        let moved_away: Vec<UpstreamId> = self
            .owned
            .iter()
            .map(|replica| replica.queue.upstream().clone())
            .filter(|upstream| !is_owned(upstream, self))
            .collect();
        self.owned
            .retain(|replica| !moved_away.contains(replica.queue.upstream()));
        let owned_upstreams: Vec<UpstreamId> = self
            .replicas
            .rows()
            .iter()
            .filter(|r| r.owner == self.identity.instance)
            .map(|r| r.upstream.clone())
            .collect();
        for upstream in owned_upstreams {
            self.refresh_owned_replica(now, &upstream);
        }
    }

    /// Creates or restarts the queue of one owned replica, or marks it as leaving.
    fn refresh_owned_replica(&mut self, now: Instant, upstream: &UpstreamId) {
        let live = self.replicas.get(upstream).is_some_and(|r| r.live);
        match self.find_owned(upstream) {
            Ok(index) if live && self.owned[index].leaving => {
                // The replica came back under the same name: its queue is created again.
                if let Some(owned) = self.new_owned_replica(now, upstream) {
                    self.owned[index] = owned;
                }
            }
            Ok(index) if !live && !self.owned[index].leaving => {
                self.owned[index].leaving = true;
                let messages = self.owned[index].queue.set_leaving(now);
                self.send_to_holders(messages);
            }
            Ok(_) => {}
            Err(index) => {
                if let Some(owned) = self.new_owned_replica(now, upstream) {
                    self.owned.insert(index, owned);
                }
            }
        }
    }

    /// Releases the slots and reservations of dead instances in all owned queues.
    pub(super) fn release_dead_holders(&mut self, now: Instant, dead: &[InstanceId]) {
        for index in 0..self.owned.len() {
            for holder in dead {
                let messages = self.owned[index].queue.on_holder_dead(now, holder);
                self.send_to_holders(messages);
            }
        }
    }

    /// Creates the queue of a replica; `None` if the replica is not listed.
    fn new_owned_replica(&self, now: Instant, upstream: &UpstreamId) -> Option<OwnedReplica> {
        let replica = self.replicas.get(upstream)?;
        let zone_size = self.view.live(&replica.zone).len().max(1);
        let mut queue = SlotQueue::new(upstream.clone(), replica.generation.clone(), now)
            .with_zone_size(zone_size);
        let median = self
            .replicas
            .median_pace(&replica.service, replica.generation.as_deref());
        if let Some(median) = median {
            queue = queue.with_usual_pace(median);
        }
        if !replica.live {
            queue.set_leaving(now);
        }
        Some(OwnedReplica {
            queue,
            leaving: !replica.live,
        })
    }

    /// Sends messages to the holders of requests, this instance among them.
    fn send_to_holders(&mut self, messages: Vec<HolderEnvelope>) {
        for HolderEnvelope {
            to,
            upstream,
            message,
        } in messages
        {
            if to == self.identity.instance {
                self.local_messages
                    .push_back(LocalMessage::Holder { upstream, message });
            } else {
                self.outgoing.push(Outgoing {
                    to,
                    message: PeerMessage::ToHolder { upstream, message },
                });
            }
        }
    }

    /// Index of an owned replica, or where to insert it.
    fn find_owned(&self, upstream: &UpstreamId) -> Result<usize, usize> {
        self.owned
            .binary_search_by(|replica| replica.queue.upstream().cmp(upstream))
    }
}
