//! Owner side of one organisation's limit in one availability zone.

use std::time::Duration;

use tokio::time::Instant;

use crate::id::{InstanceId, OrganisationId};
use crate::limits::{Demand, QUOTA_LEASE, Quota, ToLimitMember, ToLimitOwner};

/// Maximum number of instances of a zone that can hold a quota. Zones are designed for 66 instances.
const MAX_HOLDERS: usize = 1_000;

/// The quota and demand of one instance.
#[derive(Debug)]
struct Holder {
    instance: InstanceId,
    /// Demand that it reported last.
    demand: Demand,
    /// Quota leased to it, or that it held when it first asked.
    quota: Quota,
    leased_until: Instant,
}

/// Leases one organisation's share of the zone to the zone's instances by demand.
#[derive(Debug)]
pub struct LimitOwner {
    /// The share of the zone.
    share: Quota,
    /// Sorted by instance.
    holders: Vec<Holder>,
    /// Number of listed instances of the zone.
    listed: u32,
    /// Number of listed instances that are reachable.
    reachable: u32,
    /// When the last lease of a previous owner has expired.
    previous_leases_until: Instant,
}

impl LimitOwner {
    /// Creates an owner that leases the zone's `share` to `instances` instances.
    ///
    /// A previous owner may have leased all of it. Until those leases have expired, the new owner
    /// leases an instance no more than an equal part, or the quota that it still holds if that is
    /// less.
    pub fn new(now: Instant, share: Quota, instances: u32) -> Self {
        Self {
            share,
            holders: Vec::new(),
            listed: instances.max(1),
            reachable: instances.max(1),
            previous_leases_until: now + QUOTA_LEASE,
        }
    }

    /// Changes the share of the zone, starting with the next lease.
    pub fn set_share(&mut self, share: Quota) {
        self.share = share;
    }

    /// Sets the number of listed instances of the zone and how many of them are reachable.
    ///
    /// An unreachable instance keeps using its equal part, which must not be leased to others.
    pub fn set_instances(&mut self, listed: u32, reachable: u32) {
        self.listed = listed.max(1);
        self.reachable = reachable.clamp(1, self.listed);
    }

    /// Answers an ask with a lease, unless [`MAX_HOLDERS`] other instances hold one.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: &ToLimitOwner,
    ) -> Option<ToLimitMember> {
        let ToLimitOwner::Ask {
            organisation,
            asked,
            demand,
            holds,
        } = message;
        self.holders
            .retain(|h| h.leased_until > now || h.instance == *from);
        let index = self.holder_index(now, from, *demand, *holds)?;
        let quota = self.quota_for(now, index);
        let holder = &mut self.holders[index];
        holder.quota = quota;
        holder.leased_until = now + QUOTA_LEASE;
        let organisation = OrganisationId::clone(organisation);
        Some(ToLimitMember::Lease {
            organisation,
            asked: *asked,
            quota,
        })
    }

    fn holder_index(
        &mut self,
        now: Instant,
        from: &InstanceId,
        demand: Demand,
        holds: Quota,
    ) -> Option<usize> {
        match self.holders.binary_search_by(|h| h.instance.cmp(from)) {
            Ok(index) => {
                self.holders[index].demand = demand;
                Some(index)
            }
            Err(_) if self.holders.len() >= MAX_HOLDERS => None,
            Err(index) => {
                let instance = InstanceId::clone(from);
                let leased_until = now + QUOTA_LEASE;
                self.holders.insert(
                    index,
                    Holder {
                        instance,
                        demand,
                        quota: holds,
                        leased_until,
                    },
                );
                Some(index)
            }
        }
    }

    fn quota_for(&self, now: Instant, index: usize) -> Quota {
        let reachable_part = self.reachable as f64 / self.listed as f64;
        Quota {
            requests_per_s: self.share.requests_per_s.map(|rate| {
                let demand = |h: &Holder| h.demand.requests_per_s;
                let held = |h: &Holder| h.quota.requests_per_s.unwrap_or(0.0);
                self.divide(now, index, rate * reachable_part, demand, held)
            }),
            tokens_per_s: self.share.tokens_per_s.map(|rate| {
                let demand = |h: &Holder| h.demand.tokens_per_s;
                let held = |h: &Holder| h.quota.tokens_per_s.unwrap_or(0.0);
                self.divide(now, index, rate * reachable_part, demand, held)
            }),
            running: self.share.running.map(|running| {
                let demand = |h: &Holder| h.demand.running as f64;
                let held = |h: &Holder| h.quota.running.unwrap_or(0) as f64;
                let total = (running as f64 * reachable_part).floor();
                let unleased = self.unleased(now, index, total, held);
                (self
                    .divide(now, index, total, demand, held)
                    .ceil()
                    .min(unleased)) as u32
            }),
        }
    }

    /// Quota of the holder at `index` out of `total`: its max-min fair share by demand, but no more
    /// than the unexpired leases of the others leave.
    fn divide<D, H>(&self, now: Instant, index: usize, total: f64, demand: D, held: H) -> f64
    where
        D: Fn(&Holder) -> f64,
        H: Fn(&Holder) -> f64,
    {
        let mut demands: Vec<f64> = self.holders.iter().map(&demand).collect();
        let own = demand(&self.holders[index]);
        let wanted = max_min(&mut demands, own, total, self.reachable as usize);
        let quota = wanted.min(self.unleased(now, index, total, held));
        if now < self.previous_leases_until {
            return quota.min(total / self.reachable as f64);
        }
        quota
    }

    /// Part of `total` that is not leased to other holders.
    fn unleased<H>(&self, now: Instant, index: usize, total: f64, held: H) -> f64
    where
        H: Fn(&Holder) -> f64,
    {
        let others = self
            .holders
            .iter()
            .enumerate()
            .filter(|(i, h)| *i != index && h.leased_until > now);
        (total - others.map(|(_, h)| held(h)).sum::<f64>()).max(0.0)
    }
}

/// Max-min fair share of the demand `own` among `demands`. Capacity beyond all demands is split
/// evenly over all `reachable` instances.
///
/// If it were split only over the instances that asked, the first one would lease all of it, and
/// for the time of that lease every other instance would refuse an organisation far below its
/// limit.
fn max_min(demands: &mut [f64], own: f64, total: f64, reachable: usize) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut remaining = total;
    let mut remaining_demands = demands.len();
    for demand in demands.iter() {
        let fair_share = remaining / remaining_demands as f64;
        if *demand >= fair_share {
            return own.min(fair_share);
        }
        remaining -= demand;
        remaining_demands -= 1;
    }
    own + remaining / demands.len().max(reachable) as f64
}

/// Time in which `amount` units accrue at `rate` units per second, at most 60 s.
pub(super) fn time_to_refill(amount: f64, rate: f64) -> Duration {
    const MAX_S: f64 = 60.0;
    if rate <= 0.0 {
        return Duration::from_secs_f64(MAX_S);
    }
    Duration::from_secs_f64((amount / rate).clamp(0.0, MAX_S))
}
