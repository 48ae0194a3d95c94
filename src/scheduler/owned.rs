//! The replicas that this instance owns: their queues of reservations.

use kingcupfield_decisions::id::{InstanceId, UpstreamId};
use kingcupfield_decisions::prefixes::CacheEvent;
use kingcupfield_decisions::slots::{HolderEnvelope, LoadReport, SlotQueue, ToOwner};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{Local, Outgoing, Scheduler};
use crate::message::PeerMessage;

/// One queue.
#[derive(Debug)]
pub(super) struct Owned {
    pub(super) queue: SlotQueue,
    leaving: bool,
}

impl Owned {
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
    /// Whether this instance keeps the queue of `upstream`.
    pub fn owns(&self, upstream: &UpstreamId) -> bool {
        self.owned_at(upstream).is_ok()
    }

    /// Takes a load report of an owned replica.
    pub fn on_load_report(&mut self, now: Instant, upstream: &UpstreamId, report: LoadReport) {
        if let Ok(at) = self.owned_at(upstream) {
            self.owned[at].leaving |= report.leaving;
            let sends = self.owned[at].queue.on_load_report(now, report);
            self.send_to_holders(sends);
            self.settle(now);
        }
    }

    /// Takes a cache event of an owned replica.
    pub fn on_cache_event(&mut self, upstream: &UpstreamId, event: CacheEvent) {
        if let Ok(at) = self.owned_at(upstream) {
            self.owned[at].queue.on_cache_event(event);
        }
    }

    pub(super) fn on_to_owner(
        &mut self,
        now: Instant,
        from: &InstanceId,
        upstream: &UpstreamId,
        message: ToOwner,
    ) {
        let at = match self.owned_at(upstream) {
            Ok(at) => at,
            // Only a reservation makes a queue. The sender may see another membership than this
            // instance; the queue starts cautiously, so that two owners do not fill the replica.
            Err(_) if !matches!(message, ToOwner::Reserve(_)) => return,
            Err(at) => {
                let Some(owned) = self.new_owned(now, upstream) else {
                    return;
                };
                self.owned.insert(at, owned);
                at
            }
        };
        let sends = self.owned[at].queue.on_message(now, from, message);
        self.send_to_holders(sends);
    }

    pub(super) fn tick_owned(&mut self, now: Instant) {
        for at in 0..self.owned.len() {
            let upstream = self.owned[at].queue.upstream().clone();
            if let Some(replica) = self.replicas.get(&upstream) {
                let lowest = self.level_of(now, &replica.service);
                let usual = self
                    .replicas
                    .usual_pace(&replica.service, replica.generation.as_deref());
                self.owned[at].queue.set_usual_pace(usual);
                let sends = self.owned[at].queue.set_lowest_rank(now, lowest);
                self.send_to_holders(sends);
            }
            let sends = self.owned[at].queue.on_tick(now);
            self.send_to_holders(sends);
        }
    }

    /// Drops queues that others own by now, starts those that are this instance's.
    pub(super) fn refresh_owned(&mut self, now: Instant) {
        let mine =
            |upstream: &UpstreamId, s: &Self| s.replicas.owner(upstream) == Some(&s.me.instance);
        let lost: Vec<UpstreamId> = self
            .owned
            .iter()
            .map(|o| o.queue.upstream().clone())
            .filter(|upstream| !mine(upstream, self))
            .collect();
        self.owned.retain(|o| !lost.contains(o.queue.upstream()));
        let owned: Vec<UpstreamId> = self
            .replicas
            .rows()
            .iter()
            .filter(|r| r.owner == self.me.instance)
            .map(|r| r.upstream.clone())
            .collect();
        for upstream in owned {
            self.refresh_one(now, &upstream);
        }
    }

    fn refresh_one(&mut self, now: Instant, upstream: &UpstreamId) {
        let live = self.replicas.get(upstream).is_some_and(|r| r.live);
        match self.owned_at(upstream) {
            Ok(at) if live && self.owned[at].leaving => {
                // It came back under the same name: its queue starts anew.
                if let Some(owned) = self.new_owned(now, upstream) {
                    self.owned[at] = owned;
                }
            }
            Ok(at) if !live && !self.owned[at].leaving => {
                self.owned[at].leaving = true;
                let sends = self.owned[at].queue.set_leaving(now);
                self.send_to_holders(sends);
            }
            Ok(_) => {}
            Err(at) => {
                if let Some(owned) = self.new_owned(now, upstream) {
                    self.owned.insert(at, owned);
                }
            }
        }
    }

    /// Gives back what dead instances held.
    pub(super) fn free_holders(&mut self, now: Instant, gone: &[InstanceId]) {
        for at in 0..self.owned.len() {
            for holder in gone {
                let sends = self.owned[at].queue.on_holder_dead(now, holder);
                self.send_to_holders(sends);
            }
        }
    }

    fn new_owned(&self, now: Instant, upstream: &UpstreamId) -> Option<Owned> {
        let replica = self.replicas.get(upstream)?;
        let neighbours = self.view.live(&replica.zone).len().max(1);
        let mut queue = SlotQueue::new(upstream.clone(), replica.generation.clone(), now)
            .with_zone_size(neighbours);
        let usual = self
            .replicas
            .usual_pace(&replica.service, replica.generation.as_deref());
        if let Some(usual) = usual {
            queue = queue.with_usual_pace(usual);
        }
        if !replica.live {
            queue.set_leaving(now);
        }
        Some(Owned {
            queue,
            leaving: !replica.live,
        })
    }

    fn send_to_holders(&mut self, sends: Vec<HolderEnvelope>) {
        for HolderEnvelope {
            to,
            upstream,
            message,
        } in sends
        {
            if to == self.me.instance {
                self.local.push_back(Local::Holder { upstream, message });
            } else {
                self.out.push(Outgoing {
                    to,
                    message: PeerMessage::ToHolder { upstream, message },
                });
            }
        }
    }

    fn owned_at(&self, upstream: &UpstreamId) -> Result<usize, usize> {
        self.owned
            .binary_search_by(|o| o.queue.upstream().cmp(upstream))
    }
}
