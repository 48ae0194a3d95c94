//! What one entry instance knows and does, shared by its tasks.

mod places;
mod replicas;

use std::cell::{Cell, OnceCell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::credit::{Ledger, Number, Verdict as CreditVerdict};
use kingcupfield_decisions::dispatch::{Dispatch, JobId};
use kingcupfield_decisions::emptied::EmptiedZones;
use kingcupfield_decisions::id::{ServiceId, ShortName, UpstreamId, short_name};
use kingcupfield_decisions::known::Known;
use kingcupfield_decisions::repeats::Repeats;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::adapter::{DirectoryClient, ProtocolAdapter};
use crate::clock::Clock;
use crate::credit;
use crate::directory::Reader;
use crate::log::{Log, Priority};
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::table::Table;

use places::Verdict;
pub use places::{NoPlace, Place};
pub use replicas::Target;

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

/// Everything that the tasks of an instance share.
pub struct Node {
    cfg: RefCell<Rc<Settings>>,
    /// Words of callers and upstreams.
    pub protocol: Rc<dyn ProtocolAdapter>,
    /// The published directory.
    pub directory_client: Rc<dyn DirectoryClient>,
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
    pub fn new(
        cfg: Settings,
        protocol: Rc<dyn ProtocolAdapter>,
        directory_client: Rc<dyn DirectoryClient>,
    ) -> Rc<Self> {
        let now = Instant::now();
        let mut ledger = Ledger::new(cfg.address().to_bits(), rand::random());
        ledger.set_bounds(cfg.limit_window(), cfg.credit_tolerance());
        Rc::new(Self {
            protocol,
            directory_client,
            log: Log::new(),
            clock: Clock::new(),
            metrics: Metrics::new(),
            ledger: RefCell::new(ledger),
            verdicts: RefCell::new(Vec::new()),
            credit_waits: Notify::new(),
            peer_socket: OnceCell::new(),
            repeats: RefCell::new(Repeats::new(cfg.retry_bounds())),
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
        cfg.apply_reloadable(newer);
        self.repeats.borrow_mut().set_bounds(cfg.retry_bounds());
        let mut ledger = self.ledger.borrow_mut();
        ledger.set_bounds(cfg.limit_window(), cfg.credit_tolerance());
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
            Priority::High,
            format_args!("event=table version={version} before={held}"),
        );
        *self.table.borrow_mut() = Some(table);
        self.version.send_replace(version);
    }

    /// A number for a new request.
    pub fn new_job(&self) -> JobId {
        let id = self.next_job.get();
        self.next_job.set(id + 1);
        id
    }
}
