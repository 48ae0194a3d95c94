//! The published replicas as the dispatcher gets them: where they stand, how far, and whether they may get work.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::dispatch::{Class, Contender, Replica};
use kingcupfield_decisions::elsewhere::Sum;
use kingcupfield_decisions::id::{RegionId, ShortName, UpstreamId, ZoneId, short_name};
use tokio::time::Instant;

use super::Node;
use crate::gossip;
use crate::log::Priority;
use crate::pool::Pool;
use crate::replica::Published;
use crate::table::ColdStart;

/// Time of a message there and back between availability zones of a region.
const TRAVEL_ZONE: Duration = Duration::from_millis(2);

/// Time of a message there and back between regions.
const TRAVEL_REGION: Duration = Duration::from_millis(60);

/// What the bytes of a request that cross zones or regions cost the users, counted as time: they pay
/// for them by volume.
const ZONE_COST: Duration = Duration::from_millis(30);

const REGION_COST: Duration = Duration::from_millis(60);

/// A replica that requests can be sent to.
#[derive(Debug)]
pub struct Target {
    /// What is published of it.
    pub published: Published,
    /// Kept connections to it.
    pub pool: Rc<Pool>,
}

impl Node {
    /// Takes the zones whose replicas are to get nothing new.
    pub fn set_emptied(&self, now: Instant, zones: Vec<ZoneId>) {
        let change = self.emptied.borrow_mut().set(now, zones);
        for (zones, event) in [
            (change.emptied, "zone_emptied"),
            (change.refilled, "zone_refilled"),
        ] {
            for zone in zones {
                self.log
                    .line(Priority::High, format_args!("event={event} zone={zone}"));
            }
        }
    }

    /// Takes the published replicas that may get work or finish it.
    pub fn set_replicas(&self, published: Vec<Published>) {
        let mut targets = Vec::with_capacity(published.len());
        for replica in published {
            let old = self.target(&replica.id).filter(|t| same_life(t, &replica));
            targets.push(match old {
                Some(old) if old.published == replica => old,
                old => Rc::new(Target {
                    published: replica,
                    pool: old.map_or_else(Rc::default, |old| Rc::clone(&old.pool)),
                }),
            });
        }
        targets.sort_by(|a, b| a.published.id.cmp(&b.published.id));
        let ids = targets.iter().map(|t| &t.published.id);
        let mut short_names: Vec<_> = ids.map(|id| (short_name(id), id.clone())).collect();
        short_names.sort_unstable();
        let services = targets.iter().map(|t| &t.published.service);
        let mut services: Vec<_> = services.map(|s| (short_name(s), s.clone())).collect();
        services.sort_unstable();
        services.dedup();
        *self.services.borrow_mut() = services;
        *self.targets.borrow_mut() = targets;
        *self.short_names.borrow_mut() = short_names;
        self.refresh_replicas();
        for (name, sum) in self.peers.borrow().loads() {
            self.set_elsewhere(*name, *sum);
        }
        self.pump();
    }

    /// Tells the dispatcher of the replicas anew, after a change of them or of the table.
    pub fn refresh_replicas(&self) {
        let replicas: Vec<Replica> = self
            .targets
            .borrow()
            .iter()
            .map(|t| self.replica(&t.published))
            .collect();
        let now = Instant::now();
        self.dispatch.borrow_mut().set_replicas(now, &replicas);
    }

    /// The replica that peers mean by a short name.
    pub fn replica_by_short_name(&self, name: ShortName) -> Option<UpstreamId> {
        let names = self.short_names.borrow();
        let at = names.binary_search_by(|(short, _)| short.cmp(&name)).ok()?;
        Some(names[at].1.clone())
    }

    /// Takes what the other instances have at a replica.
    pub fn set_elsewhere(&self, name: ShortName, sum: Sum) {
        if let Some(id) = self.replica_by_short_name(name) {
            let prompt = sum.prompt as f64;
            let mut dispatch = self.dispatch.borrow_mut();
            dispatch.set_elsewhere(&id, sum.running, prompt);
        }
    }

    /// Takes what waits at the other instances of the zone.
    pub fn set_contenders<I>(&self, waiting: I)
    where
        I: Iterator<Item = (Ipv4Addr, ShortName, Class)>,
    {
        let services = self.services.borrow();
        let contenders = waiting.filter_map(|(address, service, class)| {
            let found = services.binary_search_by(|(short, _)| short.cmp(&service));
            Some(Contender {
                service: services[found.ok()?].1.clone(),
                key: address.to_bits(),
                class,
            })
        });
        let contenders = contenders.collect();
        self.dispatch.borrow_mut().set_contenders(contenders);
    }

    /// A replica by its name.
    pub fn target(&self, id: &UpstreamId) -> Option<Rc<Target>> {
        let targets = self.targets.borrow();
        let at = targets.binary_search_by(|t| t.published.id.cmp(id)).ok()?;
        Some(Rc::clone(&targets[at]))
    }

    /// All replicas.
    pub fn targets(&self) -> Vec<Rc<Target>> {
        self.targets.borrow().clone()
    }

    fn replica(&self, published: &Published) -> Replica {
        let table = self.table();
        let service = table.as_ref().and_then(|t| t.service(&published.service));
        let tokens_per_event = service.and_then(|s| s.tokens_per_event);
        let cold = service.and_then(|s| s.cold);
        let cfg = self.settings();
        Replica {
            id: published.id.clone(),
            born: published.born,
            service: published.service.clone(),
            region: self.region_of(&published.zone),
            slots: published.slots,
            round_trip: self.round_trip(&published.zone),
            travel: self.travel(&published.zone),
            news: gossip::news(self, &published.zone),
            engine: tokens_per_event.is_some(),
            tokens_per_event: tokens_per_event.unwrap_or(1),
            usable: !published.leaving && !self.emptied.borrow().has(&published.zone),
            home: published.zone == cfg.availability_zone,
            cold_until: self.cold_until(published, cold),
            bearable: cold.map(|cold| cfg.cold_rate(cold.per_s)),
        }
    }

    /// Until when a replica is cold: as it says, or as one must be taken to be whose zone was emptied.
    fn cold_until(&self, published: &Published, cold: Option<ColdStart>) -> Option<Instant> {
        let refilled = self.emptied.borrow().refilled_at(&published.zone);
        let since = refilled.zip(cold).map(|(at, cold)| at + cold.lasts);
        published.cold_until.max(since)
    }

    /// The region of a zone; of one that the settings don't name, a region that is in no list.
    pub fn region_of(&self, zone: &str) -> RegionId {
        let cfg = self.settings();
        cfg.regions_by_zone.get(zone).map_or("", |r| r).into()
    }

    /// Time of a message to a zone and back, with what the way costs the users counted as time.
    pub fn round_trip(&self, zone: &str) -> Duration {
        match self.travel(zone) {
            Duration::ZERO => Duration::ZERO,
            TRAVEL_REGION => TRAVEL_REGION + REGION_COST,
            travel => travel + ZONE_COST,
        }
    }

    /// Time of a message to a zone and back.
    pub fn travel(&self, zone: &str) -> Duration {
        let cfg = self.settings();
        if zone == &*cfg.availability_zone {
            return Duration::ZERO;
        }
        let region = cfg.regions_by_zone.get(zone);
        if region.is_some_and(|r| **r == *cfg.region) {
            return TRAVEL_ZONE;
        }
        TRAVEL_REGION
    }
}

fn same_life(target: &Target, replica: &Published) -> bool {
    target.published.born == replica.born && target.published.address == replica.address
}
