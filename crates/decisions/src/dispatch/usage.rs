//! Order of the waiting requests by the usage of their organisations.

use tokio::time::Instant;

use super::priority::Waiting;
use super::{Competitor, Dispatcher, Job};
use crate::fair_order::{self, JobUsage, Standing, UsageStep};
use crate::id::{InstanceAddress, NameHash, ServiceId};

impl Dispatcher {
    /// Applies the option of the order between organisations.
    pub(super) fn apply_fair_order(&mut self) {
        let half_life = self.options.fair_order.map(|o| o.half_life);
        self.fair_order.set_half_life(half_life);
        let competitors = std::mem::take(&mut self.competitors);
        self.competitors = self.comparable(competitors);
        if half_life.is_none() {
            for w in &mut self.waiting {
                w.step = None;
            }
            self.served_steps.clear();
        }
    }

    /// Computes the steps of new requests, and from time to time those of all.
    pub(super) fn refresh_steps(&mut self, now: Instant) {
        if !self.fair_order.is_on() {
            return;
        }
        let order = &self.fair_order;
        let step = |w: &Waiting| {
            let standing = w.job.usage.and_then(|u| order.standing(now, &u));
            // Requests that were queued before the order was switched on have no usage. They go last, so
            // that they don't precede those of organisations that used little.
            Some(standing.map_or(fair_order::MAX_STEP, |s| s.step))
        };
        if order.are_steps_fresh(now) {
            for w in self.waiting.iter_mut().filter(|w| w.step.is_none()) {
                w.step = step(w);
            }
            return;
        }
        for w in &mut self.waiting {
            w.step = step(w);
        }
        self.fair_order.set_steps_fresh(now);
    }

    /// Records a request that is sent to a replica, and moves the waiting ones of its organisation,
    /// from index `from` on, behind those that now come first.
    pub(super) fn on_work_sent(&mut self, now: Instant, job: &Job, from: usize) {
        let Some(usage) = job.usage.filter(|_| self.fair_order.is_on()) else {
            return;
        };
        let before = self.fair_order.standing(now, &usage).map_or(0, |s| s.step);
        self.set_served_step(&job.service, before);
        self.fair_order.record(now, &usage);
        let step = self.fair_order.standing(now, &usage).map(|s| s.step);
        let mut is_changed = false;
        for w in &mut self.waiting {
            let is_same = w
                .job
                .usage
                .is_some_and(|u| u.organisation == usage.organisation);
            if is_same && w.step != step {
                w.step = step;
                is_changed = true;
            }
        }
        if is_changed {
            self.waiting[from..].sort_by_key(|w| w.order(now));
        }
    }

    fn set_served_step(&mut self, service: &ServiceId, step: UsageStep) {
        match self.served_steps.binary_search_by(|(s, _)| s.cmp(service)) {
            Ok(index) => self.served_steps[index].1 = step,
            Err(index) => self.served_steps.insert(index, (service.clone(), step)),
        }
    }

    /// The competitors with steps if this instance orders by them, without otherwise: instances apply
    /// a change of the option one after the other.
    pub(super) fn comparable(&self, mut competitors: Vec<Competitor>) -> Vec<Competitor> {
        let is_on = self.fair_order.is_on();
        for c in &mut competitors {
            c.class = if is_on {
                fair_order::with_step(c.class, 0)
            } else {
                fair_order::without_step(c.class)
            };
        }
        competitors
    }

    /// Usage and step of a request's organisation; `None` while the order is off.
    pub fn standing(&self, now: Instant, usage: &JobUsage) -> Option<Standing> {
        self.fair_order.standing(now, usage)
    }

    /// Step of the organisation whose request for the service was last sent to a replica.
    pub fn last_served_step(&self, service: &ServiceId) -> Option<UsageStep> {
        let found = self.served_steps.binary_search_by(|(s, _)| s.cmp(service));
        Some(self.served_steps[found.ok()?].1)
    }

    /// The organisations with the most usage through this instance, for its report to the others of
    /// `instances` in all.
    pub fn own_usage(&self, now: Instant, instances: usize) -> Vec<(NameHash, f32)> {
        self.fair_order.own_usage(now, instances)
    }

    /// Applies another instance's report of the usage through it. Relays send an instance its own reports
    /// as well, which are ignored.
    pub fn on_peer_usage(
        &mut self,
        now: Instant,
        address: InstanceAddress,
        usage: &[(NameHash, f32)],
    ) {
        if address != self.own_address {
            self.fair_order.on_peer_usage(now, address, usage);
        }
    }

    /// Removes the report of an instance that has fallen silent or left.
    pub fn remove_peer_usage(&mut self, address: InstanceAddress) {
        self.fair_order.remove_peer(address);
    }

    /// Usage of the organisations through all instances, in units of work per second.
    pub fn organisation_usage(&self, now: Instant) -> impl Iterator<Item = (NameHash, f64)> {
        self.fair_order.usage(now)
    }
}
