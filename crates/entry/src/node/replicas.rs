//! Passes the published replicas to the dispatcher: their zone, their distance, and whether they
//! may get requests.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::dispatch::{Competitor, PriorityClass, Replica};
use kingcupfield_decisions::id::{NameHash, RegionId, UpstreamId, ZoneId, name_hash};
use kingcupfield_decisions::remote_load::TotalLoad;
use tokio::time::Instant;

use super::Node;
use crate::gossip;
use crate::log::Priority;
use crate::name_index::NameIndex;
use crate::pool::ConnectionPool;
use crate::replica::PublishedReplica;
use crate::table::ColdStart;

/// Round-trip time between availability zones of a region.
const ZONE_RTT: Duration = Duration::from_millis(2);

/// Round-trip time between regions.
const REGION_RTT: Duration = Duration::from_millis(60);

/// Cost of the bytes of a request that crosses zones of a region, expressed as time: users pay for
/// them by volume.
const ZONE_TRANSFER_COST: Duration = Duration::from_millis(30);

/// The same for requests that cross regions.
const REGION_TRANSFER_COST: Duration = Duration::from_millis(60);

/// A published replica and the connections to it.
#[derive(Debug)]
pub struct Target {
    /// The replica's entry in the directory.
    pub published: PublishedReplica,
    /// Idle connections to the replica.
    pub pool: Rc<ConnectionPool>,
}

impl Target {
    /// Creates the target of a published replica. It keeps the connections of `old` if that is the
    /// same process.
    fn new(published: PublishedReplica, old: Option<&Self>) -> Self {
        let same = old.filter(|old| is_same_incarnation(old, &published));
        Self {
            pool: same.map_or_else(Rc::default, |old| Rc::clone(&old.pool)),
            published,
        }
    }
}

impl Node {
    /// Sets the drained zones, whose replicas get no new requests, and logs each change.
    pub fn set_drained_zones(&self, now: Instant, zones: Vec<ZoneId>) {
        let change = self.drained_zones.borrow_mut().update(now, zones);
        for (zones, event) in [
            (change.drained, "zone_emptied"),
            (change.restored, "zone_refilled"),
        ] {
            for zone in zones {
                self.log
                    .line(Priority::State, format_args!("event={event} zone={zone}"));
            }
        }
    }

    /// Replaces the published replicas, including those that only finish requests in progress.
    pub fn set_replicas(&self, published: Vec<PublishedReplica>) {
        let mut targets = Vec::with_capacity(published.len());
        for replica in published {
            let old = self.target(&replica.id);
            targets.push(match old {
                Some(old) if old.published == replica => old,
                old => Rc::new(Target::new(replica, old.as_deref())),
            });
        }
        targets.sort_by(|a, b| a.published.id.cmp(&b.published.id));
        let ids = targets.iter().map(|t| &t.published.id);
        *self.replicas_by_hash.borrow_mut() = NameIndex::new(ids);
        let services = targets.iter().map(|t| &t.published.service);
        *self.services.borrow_mut() = NameIndex::new(services);
        *self.targets.borrow_mut() = targets;
        self.refresh_replicas();
        for (name, sum) in self.peers.borrow().loads() {
            self.set_remote_load(*name, *sum);
        }
        self.assign_slots();
    }

    /// Applies a change of one published replica: a new or changed one, or `None` with the id of one
    /// that is no longer published.
    ///
    /// A release replaces thousands of replicas one after the other, so the others are not copied.
    pub fn update_replica(&self, id: &UpstreamId, published: Option<PublishedReplica>) {
        let now = Instant::now();
        let mut targets = self.targets.borrow_mut();
        let found = targets.binary_search_by(|t| t.published.id.cmp(id));
        let Some(published) = published else {
            if let Ok(index) = found {
                targets.remove(index);
            }
            drop(targets);
            self.replicas_by_hash.borrow_mut().remove(id);
            self.dispatch.borrow_mut().remove_replica(now, id);
            return;
        };
        let old = found.ok().map(|index| &*targets[index]);
        let target = Rc::new(Target::new(published, old));
        let replica = self.dispatch_replica(&target.published);
        match found {
            Ok(index) => targets[index] = target,
            Err(index) => targets.insert(index, target),
        }
        drop(targets);
        self.update_dispatcher_clock();
        self.dispatch.borrow_mut().update_replica(now, &replica);
        self.replicas_by_hash.borrow_mut().insert(id);
        self.services.borrow_mut().insert(&replica.service);
        let name = name_hash(id);
        let load = self.peers.borrow().load_at(name);
        self.set_remote_load(name, load);
    }

    /// Passes all replicas to the dispatcher again, after a change of them or of the table.
    pub fn refresh_replicas(&self) {
        let replicas: Vec<Replica> = self
            .targets
            .borrow()
            .iter()
            .map(|t| self.dispatch_replica(&t.published))
            .collect();
        let now = Instant::now();
        self.update_dispatcher_clock();
        self.dispatch.borrow_mut().update_replicas(now, &replicas);
    }

    /// The replica with this name hash, which identifies it in messages between instances.
    pub fn replica_by_name_hash(&self, name: NameHash) -> Option<UpstreamId> {
        self.replicas_by_hash.borrow().get(name).cloned()
    }

    /// Passes the total load that the other instances have at a replica to the dispatcher.
    pub fn set_remote_load(&self, name: NameHash, sum: TotalLoad) {
        if let Some(id) = self.replica_by_name_hash(name) {
            let pending_prompt_tokens = sum.pending_prompt_tokens as f64;
            let mut dispatch = self.dispatch.borrow_mut();
            dispatch.update_remote_load(&id, sum.running, pending_prompt_tokens);
        }
    }

    /// Passes the requests that wait at the other instances of the cell to the dispatcher: instance,
    /// service and most urgent class.
    pub fn set_competitors<I>(&self, waiting: I)
    where
        I: Iterator<Item = (Ipv4Addr, NameHash, PriorityClass)>,
    {
        let services = self.services.borrow();
        let competitors = waiting.filter_map(|(address, service, class)| {
            Some(Competitor {
                service: services.get(service)?.clone(),
                address: address.to_bits(),
                class,
            })
        });
        let competitors = competitors.collect();
        self.dispatch.borrow_mut().update_competitors(competitors);
    }

    /// The replica with this id.
    pub fn target(&self, id: &UpstreamId) -> Option<Rc<Target>> {
        let targets = self.targets.borrow();
        let index = targets.binary_search_by(|t| t.published.id.cmp(id)).ok()?;
        Some(Rc::clone(&targets[index]))
    }

    /// Whether a replica may get requests by what is known now: the same process is still published, has not
    /// said that it leaves, and its zone is not drained.
    pub fn is_in_use(&self, target: &Target) -> bool {
        let published = &target.published;
        let Some(current) = self.target(&published.id) else {
            return false;
        };
        is_same_incarnation(target, &current.published)
            && !current.published.leaving
            && !self.drained_zones.borrow().contains(&published.zone)
            && !self.dispatch.borrow().has_said_leaving(&published.id)
    }

    /// All published replicas, sorted by id.
    pub fn targets(&self) -> Vec<Rc<Target>> {
        self.targets.borrow().clone()
    }

    /// Describes a published replica to the dispatcher.
    fn dispatch_replica(&self, published: &PublishedReplica) -> Replica {
        let table = self.table();
        let service = table.as_ref().and_then(|t| t.service(&published.service));
        let tokens_per_event = service.and_then(|s| s.tokens_per_event);
        let cold = service.and_then(|s| s.cold);
        let cfg = self.settings();
        Replica {
            id: published.id.clone(),
            incarnation: published.start_unix_ms,
            service: published.service.clone(),
            software_version: name_hash(&published.software_version),
            region: self.region_of(&published.zone),
            slots: published.slots,
            weighted_round_trip: self.weighted_rtt(&published.zone),
            network_round_trip: self.rtt(&published.zone),
            propagation_delay: gossip::propagation_delay(self, &published.zone),
            is_engine: tokens_per_event.is_some(),
            tokens_per_event: tokens_per_event.unwrap_or(1),
            usable: !published.leaving && !self.drained_zones.borrow().contains(&published.zone),
            in_own_zone: published.zone == cfg.availability_zone,
            cold_until: self.cold_until(published, cold),
            cold_limit: cold.map(|cold| cfg.cold_rate(cold.requests_per_s)),
        }
    }

    /// End of a replica's cold period: as published, or, if later, one cold period after its zone
    /// came back from being drained.
    fn cold_until(&self, published: &PublishedReplica, cold: Option<ColdStart>) -> Option<Instant> {
        let restored_at = self.drained_zones.borrow().restored_at(&published.zone);
        let cold_after_restore = restored_at.zip(cold).map(|(at, cold)| at + cold.duration);
        published.cold_until.max(cold_after_restore)
    }

    /// The region of a zone; an empty region, which no list of regions contains, if the settings
    /// don't name the zone.
    pub fn region_of(&self, zone: &str) -> RegionId {
        let cfg = self.settings();
        cfg.regions_by_zone.get(zone).map_or("", |r| r).into()
    }

    /// Round-trip time to a zone plus the transfer cost expressed as time.
    pub fn weighted_rtt(&self, zone: &str) -> Duration {
        match self.rtt(zone) {
            Duration::ZERO => Duration::ZERO,
            REGION_RTT => REGION_RTT + REGION_TRANSFER_COST,
            rtt => rtt + ZONE_TRANSFER_COST,
        }
    }

    /// Round-trip time to a zone.
    pub fn rtt(&self, zone: &str) -> Duration {
        let cfg = self.settings();
        if zone == &*cfg.availability_zone {
            return Duration::ZERO;
        }
        let region = cfg.regions_by_zone.get(zone);
        if region.is_some_and(|r| **r == *cfg.region) {
            return ZONE_RTT;
        }
        REGION_RTT
    }
}

/// Whether a published replica is the same process as a target, so that its connections stay
/// usable.
fn is_same_incarnation(target: &Target, replica: &PublishedReplica) -> bool {
    target.published.start_unix_ms == replica.start_unix_ms
        && target.published.address == replica.address
}
