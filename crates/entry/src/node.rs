//! State of one entry instance, shared by its tasks.

mod caller_limits;
mod load_figures;
mod paces;
mod replicas;
mod slots;
mod statements;
mod usage;
mod versions;

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::crash_suspects::CrashSuspects;
use kingcupfield_decisions::credit::{Ledger, MessageNumber, Verdict as CreditVerdict};
use kingcupfield_decisions::dispatch::{Dispatcher, JobId};
use kingcupfield_decisions::drained_zones::DrainedZones;
use kingcupfield_decisions::fingerprint::Fingerprint;
use kingcupfield_decisions::id::name_hash;
use kingcupfield_decisions::software_versions::VersionHistory;
use kingcupfield_decisions::store_view::{Revision, StoreView};
use kingcupfield_decisions::stream_records::StreamRecords;
use kingcupfield_decisions::upstream_retries::UpstreamRetryBudget;
use kingcupfield_transfer::account::{Account, Refused};
use kingcupfield_transfer::connections::CallerConnections;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::adapter::{DirectoryClient, ProtocolAdapter};
use crate::bulk::BulkSender;
use crate::clock::SuspendDetector;
use crate::crash_watch::CrashWatch;
use crate::credit;
use crate::directory::{Confirmations, DirectoryReader};
use crate::log::{Log, Priority};
use crate::metrics::Metrics;
use crate::name_index::NameIndex;
use crate::outbox::Outbox;
use crate::peers::Peers;
use crate::send_queue::SendQueue;
use crate::settings::Settings;
use crate::stream_origin::Queries;
use crate::table::Table;

pub use load_figures::MAX_SPEED_REPORTS;
pub use replicas::Target;
use slots::SlotResult;
pub use slots::{SlotError, SlotGuard};

/// Maximum age of the last store response of an instance that counts as a reader of the store.
/// A watch waits for one second at most, so a healthy reader stays below this.
pub const STORE_RESPONSE_MAX_AGE: Duration = Duration::from_secs(2);

/// Time without a response to any known instance after which the store counts as silent for all of them:
/// longer than usual outages.
pub const STORE_SILENCE_TIMEOUT: Duration = Duration::from_millis(5500);

/// Lifecycle state of a process, in the order in which it passes through them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessState {
    /// Accepts connections and requests.
    Serving,
    /// Reports not ready, and still accepts and answers requests.
    Leaving,
    /// Closes connections as they become idle.
    Closing,
    /// Accepts no new connections, and finishes the requests in progress.
    Shut,
    /// Terminated; requests still in progress are dropped.
    Ended,
}

/// State shared by all tasks of an instance; they run on one thread.
pub struct Node {
    /// Settings in force.
    cfg: RefCell<Rc<Settings>>,
    /// Translates between the wire protocol and the types of this crate.
    pub protocol: Rc<dyn ProtocolAdapter>,
    /// Client of the store that publishes the directory.
    pub directory_client: Rc<dyn DirectoryClient>,
    /// Log of this instance.
    pub log: Log,
    /// Detects suspension of the machine.
    pub suspend_detector: SuspendDetector,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    /// Credit of the organisations' limits.
    pub credit_ledger: RefCell<Ledger>,
    /// Requests that wait for a credit decision, by credit request number.
    pub credit_waiters: RefCell<Vec<(MessageNumber, oneshot::Sender<CreditVerdict>)>>,
    /// Wakes the task that times out requests waiting for credit.
    pub credit_wakeup: Notify,
    /// Messages to other instances that are to be sent.
    pub send_queue: SendQueue,
    /// Requests that broke off lately, and whether their replicas crashed.
    pub crash_watch: CrashWatch,
    /// What is known of the requests of which replicas crashed.
    pub crash_suspects: RefCell<CrashSuspects>,
    /// Suspects of crashes that the other instances have not been told of.
    pub untold_suspects: RefCell<Vec<Fingerprint>>,
    /// Transfers of large entries to other instances.
    pub bulk_sender: BulkSender,
    /// Budget for retries.
    pub retry_budget: RefCell<UpstreamRetryBudget>,
    /// Latest known entry of each directory key.
    pub directory: RefCell<StoreView>,
    /// The other instances, their load and their spending.
    pub peers: RefCell<Peers>,
    /// Drained zones, whose replicas get no new requests.
    pub drained_zones: RefCell<DrainedZones>,
    /// Waiting requests and the load of the replicas.
    pub dispatch: RefCell<Dispatcher>,
    /// Wakes the directory reader after a suspension of the machine, to list the directory again.
    pub resync_wakeup: Notify,
    /// Instances to which a greeting, a message with the complete state, is sent at once.
    pub greeting_targets: RefCell<Vec<Ipv4Addr>>,
    /// Wakes the gossip task when `greeting_targets` grows.
    pub greeting_wakeup: Notify,
    /// Wakes the gossip task when the state of this instance has changed.
    pub state_changed: Notify,
    /// Digests of other instances that this instance forwards as a relay.
    pub outbox: RefCell<Outbox>,
    /// Wakes the gossip task when the outbox grows.
    pub outbox_wakeup: Notify,
    /// Whether the next read of the store must be a full listing.
    pub needs_full_list: Cell<bool>,
    /// Parsed directory entries, and when the store last failed.
    pub directory_reader: RefCell<DirectoryReader>,
    /// Requests that wait until the store has confirmed what is known of it.
    pub confirmations: RefCell<Confirmations>,
    /// Software versions that may have begun streams.
    pub versions: RefCell<VersionHistory>,
    /// Directory revision up to which changes may have been missed in `versions`.
    pub history_missed_up_to: Cell<Revision>,
    /// Where streams began, of this instance and of others that told it.
    pub streams: RefCell<StreamRecords>,
    /// Questions to other instances about where streams began.
    pub stream_queries: RefCell<Queries>,
    /// Lifecycle state of the process.
    pub process_state: watch::Sender<ProcessState>,
    /// Version of the table in force, for tasks that wait for a change.
    pub version_tx: watch::Sender<u64>,
    /// Time at which a process that shuts down sends its last responses; set when shutdown begins.
    pub response_deadline: Cell<Option<Instant>>,
    /// Number of requests being answered.
    pub active_requests: Cell<usize>,
    /// Memory that is held for callers.
    pub caller_memory: Account,
    /// Open connections of callers.
    pub caller_connections: CallerConnections,
    /// Requests refused for want of memory, as they were logged last.
    logged_refusals: Cell<Refused>,
    /// Number of open caller connections, from their acceptance until all is written.
    pub open_connections: watch::Sender<usize>,
    /// Number of requests accepted from callers since the start.
    pub accepted_requests: Cell<u64>,
    /// Number of tasks that the instance depends on and that don't run.
    pub failed_tasks: Cell<usize>,
    /// Whether the replicas of the directory were passed to the dispatcher.
    pub replicas_known: Cell<bool>,
    /// Wakes the task that expires waiting requests when a request starts to wait.
    pub queue_wakeup: Notify,
    /// When the store last responded.
    last_store_response: Cell<Option<Instant>>,
    /// Whether the last call to the store failed.
    store_failing: Cell<bool>,
    /// Table in force.
    table: RefCell<Option<Rc<Table>>>,
    /// Published replicas, sorted by id.
    targets: RefCell<Vec<Rc<Target>>>,
    /// Ids of the published replicas.
    replicas_by_hash: RefCell<NameIndex>,
    /// Services of the published replicas.
    services: RefCell<NameIndex>,
    /// Requests that wait for a concurrency slot.
    slot_waiters: RefCell<Vec<(JobId, oneshot::Sender<SlotResult>)>>,
    /// Id of the next request.
    next_job_id: Cell<JobId>,
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node")
            .field("cfg", &self.cfg)
            .finish_non_exhaustive()
    }
}

impl Node {
    /// Creates the state of an instance that has read neither the directory nor any message.
    pub fn new(
        cfg: Settings,
        protocol: Rc<dyn ProtocolAdapter>,
        directory_client: Rc<dyn DirectoryClient>,
    ) -> Rc<Self> {
        let now = Instant::now();
        let large_keys = directory_client.large_keys();
        let machine = cfg.machine();
        let versions = VersionHistory::new(now);
        let versions = if cfg.first_start {
            versions.with_first_start()
        } else {
            versions
        };
        let mut ledger = Ledger::new(cfg.address().to_bits(), rand::random());
        ledger.set_bounds(cfg.limit_window(), cfg.credit_tolerance());
        let mut dispatcher = Dispatcher::new().with_address(cfg.address().to_bits());
        dispatcher.set_options(cfg.scheduling.options());
        Rc::new(Self {
            protocol,
            directory_client,
            log: Log::new(),
            suspend_detector: SuspendDetector::new(),
            metrics: Metrics::new(),
            credit_ledger: RefCell::new(ledger),
            credit_waiters: RefCell::new(Vec::new()),
            credit_wakeup: Notify::new(),
            send_queue: SendQueue::default(),
            crash_watch: CrashWatch::default(),
            crash_suspects: RefCell::default(),
            untold_suspects: RefCell::default(),
            bulk_sender: BulkSender::new(),
            retry_budget: RefCell::new(UpstreamRetryBudget::new(cfg.retry_bounds())),
            directory: RefCell::new(StoreView::new().with_large_keys(large_keys)),
            peers: RefCell::new(
                Peers::new(now, cfg.address(), cfg.has_other_contacts())
                    .with_zones(credit::zone_distances(&cfg)),
            ),
            dispatch: RefCell::new(dispatcher),
            drained_zones: RefCell::new(DrainedZones::new()),
            resync_wakeup: Notify::new(),
            greeting_targets: RefCell::new(Vec::new()),
            greeting_wakeup: Notify::new(),
            state_changed: Notify::new(),
            outbox: RefCell::new(Outbox::default()),
            outbox_wakeup: Notify::new(),
            needs_full_list: Cell::new(false),
            last_store_response: Cell::new(None),
            store_failing: Cell::new(false),
            directory_reader: RefCell::new(DirectoryReader::default()),
            confirmations: RefCell::default(),
            versions: RefCell::new(versions),
            history_missed_up_to: Cell::new(0),
            streams: RefCell::new(StreamRecords::new()),
            stream_queries: RefCell::default(),
            process_state: watch::Sender::new(ProcessState::Serving),
            version_tx: watch::Sender::new(0),
            response_deadline: Cell::new(None),
            active_requests: Cell::new(0),
            caller_memory: Account::new(machine.caller_bytes()),
            caller_connections: CallerConnections::new(machine.caller_connections()),
            logged_refusals: Cell::default(),
            open_connections: watch::Sender::new(0),
            accepted_requests: Cell::new(0),
            failed_tasks: Cell::new(0),
            replicas_known: Cell::new(false),
            queue_wakeup: Notify::new(),
            table: RefCell::new(None),
            targets: RefCell::new(Vec::new()),
            replicas_by_hash: RefCell::default(),
            services: RefCell::default(),
            slot_waiters: RefCell::new(Vec::new()),
            next_job_id: Cell::new(1),
            cfg: RefCell::new(Rc::new(cfg)),
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.cfg.borrow())
    }

    /// Applies the reloadable fields of `newer`; the other fields keep their values.
    pub fn apply_settings(&self, newer: &Settings) {
        let mut cfg = Settings::clone(&self.settings());
        cfg.apply_reloadable(newer);
        self.retry_budget
            .borrow_mut()
            .set_bounds(cfg.retry_bounds());
        let mut ledger = self.credit_ledger.borrow_mut();
        ledger.set_bounds(cfg.limit_window(), cfg.credit_tolerance());
        drop(ledger);
        self.dispatch
            .borrow_mut()
            .set_options(cfg.scheduling.options());
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

    /// Lifecycle state of the process.
    pub fn process_state(&self) -> ProcessState {
        *self.process_state.borrow()
    }

    /// Completes when a process that shuts down has just enough time left to respond; never before
    /// shutdown has begun.
    pub async fn response_deadline_reached(&self) {
        let mut state_rx = self.process_state.subscribe();
        loop {
            if let Some(deadline) = self.response_deadline.get() {
                return sleep_until(deadline).await;
            }
            if state_rx.changed().await.is_err() {
                return;
            }
        }
    }

    /// Whether load balancers may send callers here: not shutting down, a table and replicas are known, and
    /// all tasks run.
    pub fn is_ready(&self) -> bool {
        self.process_state() == ProcessState::Serving
            && self.table.borrow().is_some()
            && self.replicas_known.get()
            && self.failed_tasks.get() == 0
    }

    /// Records that the store has just responded.
    pub fn record_store_response(&self) {
        let now = Instant::now();
        self.last_store_response.set(Some(now));
        self.store_failing.set(false);
        self.directory_reader.borrow_mut().on_store_response(now);
    }

    /// Records that a call to the store has failed, and tells the other instances, so that one of
    /// them reads it instead.
    pub fn record_store_failure(&self) {
        if !self.store_failing.replace(true) {
            self.state_changed.notify_one();
        }
    }

    /// Time since the last response of the store as reported to the other instances: `None` before
    /// the first response, and since a call failed.
    pub fn reported_store_age(&self) -> Option<Duration> {
        self.store_age().filter(|_| !self.store_failing.get())
    }

    /// Time since the last response of the store, `None` before the first.
    pub fn store_age(&self) -> Option<Duration> {
        self.last_store_response.get().map(|at| at.elapsed())
    }

    /// Whether this instance is one of those that read the store; the others get the directory from
    /// peers.
    pub fn reads_store(&self) -> bool {
        let zone = name_hash(&self.settings().availability_zone);
        self.peers
            .borrow()
            .reads_store(Instant::now(), zone, STORE_RESPONSE_MAX_AGE)
    }

    /// Puts a newer table in force; an older one is ignored.
    pub fn set_table(&self, table: Rc<Table>) {
        let current = self.table_version();
        if current >= table.version && current != 0 {
            return;
        }
        let version = table.version;
        self.record_moved_routes(&table);
        self.log.line(
            Priority::State,
            format_args!("event=table version={version} before={current}"),
        );
        self.check_body_limit(table.limits.body_bytes);
        *self.table.borrow_mut() = Some(table);
        self.version_tx.send_replace(version);
    }

    /// Returns a number for a new request, unique in this process.
    pub fn next_job_id(&self) -> JobId {
        let id = self.next_job_id.get();
        self.next_job_id.set(id + 1);
        id
    }
}
