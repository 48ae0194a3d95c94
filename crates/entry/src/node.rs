//! What one entry instance knows and does, shared by its tasks.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::credit::{Ledger, Number, Verdict as CreditVerdict};
use kingcupfield_decisions::dispatch::{
    Class, Contender, Dispatch, Job, JobId, Outcome, Replica, Why,
};
use kingcupfield_decisions::elsewhere::Sum;
use kingcupfield_decisions::emptied::EmptiedZones;
use kingcupfield_decisions::id::{RegionId, ServiceId, ShortName, UpstreamId, ZoneId, short_name};
use kingcupfield_decisions::known::Known;
use kingcupfield_decisions::repeats::Repeats;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::clock::Clock;
use crate::credit;
use crate::directory::Reader;
use crate::gossip;
use crate::log::{Log, Weight};
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::port::{Dialect, Source};
use crate::replica::Published;
use crate::settings::Settings;
use crate::table::{ColdStart, Table};

/// Time of a message there and back between availability zones of a region.
const TRAVEL_ZONE: Duration = Duration::from_millis(2);

/// Time of a message there and back between regions.
const TRAVEL_REGION: Duration = Duration::from_millis(60);

/// What the bytes of a request that cross zones or regions cost the users, counted as time: they pay
/// for them by volume.
const ZONE_COST: Duration = Duration::from_millis(30);
const REGION_COST: Duration = Duration::from_millis(60);

/// An instance that the store has not answered for this long does not count as one that reads it: a
/// watch waits for four seconds at most.
const STORE_LOST: Duration = Duration::from_millis(5500);

/// Where a process stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It takes connections and requests.
    Serving,
    /// It says that it is not ready, and still answers what comes.
    Leaving,
    /// It closes connections as they become idle.
    Closing,
    /// It takes no connection any more, and answers what it has.
    Shut,
    /// It does nothing any more; what it still has is cut.
    Ended,
}

/// A replica that requests can be sent to.
#[derive(Debug)]
pub struct Target {
    /// What is published of it.
    pub published: Published,
    /// Kept connections to it.
    pub pool: Rc<Pool>,
}

/// Why a waiting request got no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPlace {
    /// No replica had room in time.
    GivenUp,
}

type Verdict = Result<(UpstreamId, Why), NoPlace>;

/// Everything that the tasks of an instance share.
pub struct Node {
    cfg: RefCell<Rc<Settings>>,
    /// Words of callers and upstreams.
    pub dialect: Rc<dyn Dialect>,
    /// The published directory.
    pub source: Rc<dyn Source>,
    /// Its log.
    pub log: Log,
    /// Notices suspension.
    pub clock: Clock,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Credit of organisations' limits.
    pub ledger: RefCell<Ledger>,
    /// Requests that wait for credit.
    pub verdicts: RefCell<Vec<(Number, oneshot::Sender<CreditVerdict>)>>,
    /// Wakes the timer of requests that wait for credit.
    pub credit_waits: Notify,
    /// Sends to the other instances.
    pub peer_socket: OnceCell<Rc<UdpSocket>>,
    /// Budget for repeats.
    pub repeats: RefCell<Repeats>,
    /// Published entries.
    pub known: RefCell<Known>,
    /// The other instances.
    pub peers: RefCell<Peers>,
    /// Zones whose replicas get nothing new.
    pub emptied: RefCell<EmptiedZones>,
    /// Waiting requests and the load of replicas.
    pub dispatch: RefCell<Dispatch>,
    /// Wakes the reader of the directory.
    pub reread: Notify,
    /// Instances that are to be told everything at once.
    pub greet: RefCell<Vec<Ipv4Addr>>,
    /// Wakes the sender of messages to new instances.
    pub greeting: Notify,
    /// Wakes the sender of news of this instance.
    pub changed: Notify,
    /// News that this instance passes on.
    pub outbox: RefCell<Outbox>,
    /// Wakes the sender of what is passed on.
    pub gathered: Notify,
    /// Whether the directory is to be read whole.
    pub relist: Cell<bool>,
    /// What was read of the directory.
    pub reader: RefCell<Reader>,
    /// Where the process stands in its life.
    pub stage: watch::Sender<Stage>,
    /// The table's version, for those that wait for a change.
    pub version: watch::Sender<u64>,
    /// When the last answers are given, once the process was told to stop.
    pub answers_by: Cell<Option<Instant>>,
    /// Requests being answered.
    pub active: Cell<usize>,
    /// Connections of callers that are open, from their acceptance until all is written.
    pub connections: watch::Sender<usize>,
    /// Requests that were taken from callers since the start.
    pub taken: Cell<u64>,
    /// Wakes the timer of waiting requests.
    pub waiting: Notify,
    store_answered: Cell<Option<Instant>>,
    table: RefCell<Option<Rc<Table>>>,
    targets: RefCell<Vec<Rc<Target>>>,
    /// Replicas by their short names.
    short_names: RefCell<Vec<(ShortName, UpstreamId)>>,
    /// Services by their short names.
    services: RefCell<Vec<(ShortName, ServiceId)>>,
    waiters: RefCell<Vec<(JobId, oneshot::Sender<Verdict>)>>,
    next_job: Cell<JobId>,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node")
            .field("cfg", &self.cfg)
            .finish_non_exhaustive()
    }
}

impl Node {
    /// Makes an instance that knows nothing yet.
    pub fn new(cfg: Settings, dialect: Rc<dyn Dialect>, source: Rc<dyn Source>) -> Rc<Self> {
        let now = Instant::now();
        let mut ledger = Ledger::new(cfg.address().to_bits(), rand::random());
        ledger.set_bounds(cfg.limit_window(), cfg.tolerance());
        Rc::new(Self {
            dialect,
            source,
            log: Log::new(),
            clock: Clock::new(),
            metrics: Metrics::new(),
            ledger: RefCell::new(ledger),
            verdicts: RefCell::new(Vec::new()),
            credit_waits: Notify::new(),
            peer_socket: OnceCell::new(),
            repeats: RefCell::new(Repeats::new(cfg.repeat_bounds())),
            known: RefCell::new(Known::new()),
            peers: RefCell::new(
                Peers::new(now, cfg.address(), cfg.has_other_contacts())
                    .with_zones(credit::zones(&cfg)),
            ),
            dispatch: RefCell::new(Dispatch::new().with_key(cfg.address().to_bits())),
            emptied: RefCell::new(EmptiedZones::new()),
            reread: Notify::new(),
            greet: RefCell::new(Vec::new()),
            greeting: Notify::new(),
            changed: Notify::new(),
            outbox: RefCell::new(Outbox::default()),
            gathered: Notify::new(),
            relist: Cell::new(false),
            store_answered: Cell::new(None),
            reader: RefCell::new(Reader::default()),
            stage: watch::Sender::new(Stage::Serving),
            version: watch::Sender::new(0),
            answers_by: Cell::new(None),
            active: Cell::new(0),
            connections: watch::Sender::new(0),
            taken: Cell::new(0),
            waiting: Notify::new(),
            table: RefCell::new(None),
            targets: RefCell::new(Vec::new()),
            short_names: RefCell::new(Vec::new()),
            services: RefCell::new(Vec::new()),
            waiters: RefCell::new(Vec::new()),
            next_job: Cell::new(1),
            cfg: RefCell::new(Rc::new(cfg)),
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.cfg.borrow())
    }

    /// Takes from newer settings what takes effect while the process runs.
    pub fn adjust(&self, newer: &Settings) {
        let mut cfg = Settings::clone(&self.settings());
        cfg.adjust(newer);
        self.repeats.borrow_mut().set_bounds(cfg.repeat_bounds());
        let mut ledger = self.ledger.borrow_mut();
        ledger.set_bounds(cfg.limit_window(), cfg.tolerance());
        drop(ledger);
        *self.cfg.borrow_mut() = Rc::new(cfg);
    }

    /// The table in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Version of the table in force, 0 while there is none.
    pub fn table_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |t| t.version)
    }

    /// Where the process stands in its life.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Ends when the process has just time left to answer; never while it was not told to stop.
    pub async fn last_answers(&self) {
        let mut stage = self.stage.subscribe();
        loop {
            if let Some(at) = self.answers_by.get() {
                return sleep_until(at).await;
            }
            if stage.changed().await.is_err() {
                return;
            }
        }
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.table.borrow().is_some()
    }

    /// Notes that the store answered.
    pub fn on_store_answer(&self) {
        self.store_answered.set(Some(Instant::now()));
    }

    /// How long ago the store answered last, if it ever did.
    pub fn store_age(&self) -> Option<Duration> {
        self.store_answered.get().map(|at| at.elapsed())
    }

    /// Whether this instance reads the store itself.
    pub fn reads(&self) -> bool {
        let zone = short_name(&self.settings().availability_zone);
        self.peers.borrow().reads(Instant::now(), zone, STORE_LOST)
    }

    /// Puts a newer table in force; an older one is ignored.
    pub fn set_table(&self, table: Rc<Table>) {
        let held = self.table_version();
        if held >= table.version && held != 0 {
            return;
        }
        let version = table.version;
        self.log.line(
            Weight::Notable,
            format_args!("event=table version={version} before={held}"),
        );
        *self.table.borrow_mut() = Some(table);
        self.version.send_replace(version);
    }

    /// Takes the zones whose replicas are to get nothing new.
    pub fn set_emptied(&self, now: Instant, zones: Vec<ZoneId>) {
        let change = self.emptied.borrow_mut().set(now, zones);
        for (zones, event) in [
            (change.emptied, "zone_emptied"),
            (change.refilled, "zone_refilled"),
        ] {
            for zone in zones {
                self.log
                    .line(Weight::Notable, format_args!("event={event} zone={zone}"));
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

    /// A number for a new request.
    pub fn new_job(&self) -> JobId {
        let id = self.next_job.get();
        self.next_job.set(id + 1);
        id
    }

    /// Waits until a replica has a place for the request.
    pub async fn place(self: &Rc<Self>, job: Job) -> Result<Place, NoPlace> {
        let id = job.id;
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().push((id, tx));
        self.dispatch.borrow_mut().enqueue(job);
        let mut waiting = Waiting {
            node: Rc::clone(self),
            job: id,
            rx,
        };
        self.pump();
        self.waiting.notify_one();
        // The others leave free places to it if it is urgent.
        self.changed.notify_one();
        let verdict = (&mut waiting.rx).await.unwrap_or(Err(NoPlace::GivenUp));
        verdict.map(|(upstream, why)| Place {
            node: Rc::clone(self),
            upstream,
            why,
            job: id,
            ended: false,
        })
    }

    /// Gives places to waiting requests, as far as there are any.
    pub fn pump(&self) {
        let now = Instant::now();
        loop {
            let warm = |id: &UpstreamId| self.target(id).is_some_and(|t| t.pool.is_warm(now));
            let placed = self.dispatch.borrow_mut().place_warm(now, warm);
            if !placed.is_empty() {
                self.changed.notify_one();
            }
            let mut lost = Vec::new();
            for p in placed {
                if !self.tell(p.job, Ok((p.upstream.clone(), p.why))) {
                    lost.push(p);
                }
            }
            if lost.is_empty() {
                return;
            }
            // Their callers went away meanwhile, so the places are free again.
            for p in lost {
                self.end(&p.upstream, p.job, Outcome::Unknown);
            }
        }
    }

    /// Gives up the waiting requests whose time is over.
    pub fn give_up(&self) {
        let gone = self.dispatch.borrow_mut().give_up(Instant::now());
        for job in gone {
            self.tell(job, Err(NoPlace::GivenUp));
        }
    }

    fn tell(&self, job: JobId, verdict: Verdict) -> bool {
        let mut waiters = self.waiters.borrow_mut();
        let Some(at) = waiters.iter().position(|(id, _)| *id == job) else {
            return false;
        };
        let (_, tx) = waiters.swap_remove(at);
        tx.send(verdict).is_ok()
    }

    fn end(&self, upstream: &UpstreamId, job: JobId, outcome: Outcome) {
        self.dispatch
            .borrow_mut()
            .on_end(Instant::now(), upstream, job, outcome);
        self.changed.notify_one();
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
            bearable: cold.map(|cold| cfg.bearable(cold.per_s)),
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

/// Takes a waiting request out again when its caller goes away.
#[derive(Debug)]
struct Waiting {
    node: Rc<Node>,
    job: JobId,
    rx: oneshot::Receiver<Verdict>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.node
            .waiters
            .borrow_mut()
            .retain(|(id, _)| *id != self.job);
        self.node.dispatch.borrow_mut().withdraw(self.job);
        // A place that was given but not taken would stay occupied for good.
        if let Ok(Ok((upstream, _))) = self.rx.try_recv() {
            self.node.end(&upstream, self.job, Outcome::Unknown);
            self.node.pump();
        }
    }
}

/// A place at a replica, held until the request has ended there.
#[derive(Debug)]
pub struct Place {
    node: Rc<Node>,
    /// The replica.
    pub upstream: UpstreamId,
    /// What decided for it.
    pub why: Why,
    job: JobId,
    ended: bool,
}

impl Place {
    /// Notes that the replica has begun to answer.
    pub fn on_first(&self) {
        let mut dispatch = self.node.dispatch.borrow_mut();
        dispatch.on_first(Instant::now(), &self.upstream, self.job);
        self.node.changed.notify_one();
    }

    /// Notes events of the stream, and the time since the ones before.
    pub fn on_events(&self, events: u32, gap: Duration) {
        let mut dispatch = self.node.dispatch.borrow_mut();
        dispatch.on_events(Instant::now(), &self.upstream, events, gap);
    }

    /// Whether the replica brings nothing to anybody here.
    pub fn is_silent(&self) -> bool {
        self.node
            .dispatch
            .borrow()
            .is_silent(Instant::now(), &self.upstream)
    }

    /// Frees the place.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.node.end(&self.upstream, self.job, outcome);
        self.node.pump();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.ended {
            self.node.end(&self.upstream, self.job, Outcome::Unknown);
            self.node.pump();
        }
    }
}
