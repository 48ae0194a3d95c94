//! Open connections of callers, how far each has come, and which one is closed when there are too many.
//!
//! Load pattern: clients that open connections and send nothing, or the beginning of a head or a body. Each
//! takes a descriptor and some memory, and without a limit none is left for peers, replicas and the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::caller_memory::OutOfMemory;
use kingcupfield_decisions::id::Rank;
use kingcupfield_transfer::account::{Account, Hold};
use kingcupfield_transfer::machine::Machine;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::metrics::Metrics;

/// Descriptors that the system keeps for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Fraction of the sockets that is kept for peers, replicas and the store.
const OWN_FRACTION: f64 = 0.25;

/// A connection that has sent nothing for this long may be closed in favour of a new one.
const MIN_QUIET: Duration = Duration::from_secs(1);

/// Bytes of a head that are not counted: those that fit into the first buffer of a connection.
const UNCOUNTED_HEAD_BYTES: usize = 8 * 1024;

/// Memory of a head for each of its bytes, as its buffer grows by doubling.
const MEMORY_PER_HEAD_BYTE: usize = 2;

/// Number of callers' connections that a machine bears.
pub fn max_connections(machine: Machine) -> usize {
    let files = FILE_DESCRIPTORS.min(machine.descriptors / 8);
    let sockets = (machine.descriptors - files) as f64;
    (sockets * (1.0 - OWN_FRACTION)) as usize
}

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// A head arrives.
    Head,
    /// A body arrives.
    Body,
    /// A complete request is served.
    Serving,
}

/// Why a connection is closed before its caller closes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// There are too many connections.
    TooMany,
    /// Memory is short.
    Memory,
    /// The head took too long.
    SlowHead,
    /// The caller does not read its answer.
    UnreadAnswer,
}

impl CloseReason {
    /// Name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooMany => "too_many",
            Self::Memory => "memory",
            Self::SlowHead => "slow_head",
            Self::UnreadAnswer => "unread_answer",
        }
    }
}

/// An open connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    id: u64,
    phase: Cell<Phase>,
    /// Whether it has carried a complete request.
    has_served: Cell<bool>,
    /// When something last arrived, or a response was last completed.
    progress_at: Cell<Instant>,
    /// Whether written bytes wait for the caller to read.
    is_write_pending: Cell<bool>,
    head_bytes: Cell<usize>,
    /// Memory of a large head.
    head_hold: RefCell<Option<Hold>>,
    /// Set when the connection is to be closed.
    closing: watch::Sender<Option<CloseReason>>,
}

impl CallerConnection {
    /// Counts bytes that have arrived. Fails if they belong to a head for which there is no memory.
    pub fn on_read(self: &Rc<Self>, account: &Account, bytes: usize) -> Result<(), OutOfMemory> {
        self.progress_at.set(Instant::now());
        match self.phase.get() {
            Phase::Body | Phase::Serving => return Ok(()),
            Phase::Idle => self.phase.set(Phase::Head),
            Phase::Head => {}
        }
        let before = self.head_bytes.get();
        let now = before + bytes;
        self.head_bytes.set(now);
        if now <= UNCOUNTED_HEAD_BYTES {
            return Ok(());
        }
        let counted = now - before.max(UNCOUNTED_HEAD_BYTES);
        let mut hold = self.head_hold.borrow_mut();
        let hold = hold.get_or_insert_with(|| self.open_head_hold(account));
        let grown = hold.grow(counted * MEMORY_PER_HEAD_BYTE);
        if grown.is_err() {
            self.close(CloseReason::Memory);
        }
        grown
    }

    /// Opens the entry of a head, whose tier is not known yet; the connection is closed if it gives way.
    fn open_head_hold(self: &Rc<Self>, account: &Account) -> Hold {
        let hold = account.open(Rank::MAX);
        let mut evicted = hold.subscribe();
        let connection = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if evicted.wait_for(|evicted| *evicted).await.is_ok() {
                connection.close(CloseReason::Memory);
            }
        });
        hold
    }

    /// Notes that the head of a request is complete and its body arrives.
    pub fn on_head(&self) {
        self.phase.set(Phase::Body);
        self.head_bytes.set(0);
        self.head_hold.take();
    }

    /// Notes that a request has arrived completely, or that its body is not needed.
    pub fn on_request(&self) {
        self.phase.set(Phase::Serving);
        self.has_served.set(true);
    }

    /// Notes that the response was passed to the connection.
    pub fn on_response_end(&self) {
        self.progress_at.set(Instant::now());
        self.phase.set(Phase::Idle);
    }

    /// Notes whether written bytes wait for the caller to read.
    pub fn set_write_pending(&self, pending: bool) {
        self.is_write_pending.set(pending);
    }

    /// Whether the beginning of a head has arrived, and not its end.
    pub fn is_in_head(&self) -> bool {
        self.phase.get() == Phase::Head
    }

    /// Whether no request is on its way or served, so that nothing is lost when the connection is closed.
    pub fn is_between_requests(&self) -> bool {
        matches!(self.phase.get(), Phase::Idle | Phase::Head)
    }

    /// Requests that the connection be closed.
    pub fn close(&self, reason: CloseReason) {
        self.closing.send_if_modified(|closing| {
            let is_first = closing.is_none();
            closing.get_or_insert(reason);
            is_first
        });
    }

    /// Completes when the connection is to be closed.
    pub async fn closing(&self) -> CloseReason {
        let mut closing = self.closing.subscribe();
        let reason = closing.wait_for(Option::is_some).await;
        reason.ok().and_then(|r| *r).unwrap_or(CloseReason::TooMany)
    }

    /// Whether it may be closed in favour of a new connection.
    fn is_expendable(&self, now: Instant) -> bool {
        self.phase.get() != Phase::Serving
            && !self.is_write_pending.get()
            && self.closing.borrow().is_none()
            && now.saturating_duration_since(self.progress_at.get()) >= MIN_QUIET
    }
}

/// All open connections of callers.
#[derive(Debug)]
pub struct CallerConnections {
    max: usize,
    next_id: Cell<u64>,
    /// Sorted by id.
    open: RefCell<Vec<Rc<CallerConnection>>>,
}

impl CallerConnections {
    /// Creates a list of at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            next_id: Cell::new(0),
            open: RefCell::default(),
        }
    }

    /// Most connections that are open at a time.
    pub fn max(&self) -> usize {
        self.max
    }

    /// Whether another connection may be accepted. If not, the connection that has made no progress for longest
    /// is asked to close; those that never carried a request come first.
    pub fn make_room(&self) -> bool {
        let open = self.open.borrow();
        if open.len() < self.max {
            return true;
        }
        let now = Instant::now();
        let expendable = open.iter().filter(|c| c.is_expendable(now));
        if let Some(oldest) = expendable.min_by_key(|c| (c.has_served.get(), c.progress_at.get())) {
            oldest.close(CloseReason::TooMany);
        }
        false
    }

    /// Adds a connection that was accepted.
    pub fn add(&self) -> Rc<CallerConnection> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(CallerConnection {
            id,
            phase: Cell::new(Phase::Idle),
            has_served: Cell::new(false),
            progress_at: Cell::new(Instant::now()),
            is_write_pending: Cell::new(false),
            head_bytes: Cell::new(0),
            head_hold: RefCell::new(None),
            closing: watch::Sender::new(None),
        });
        self.open.borrow_mut().push(Rc::clone(&connection));
        connection
    }

    /// Removes a connection that has ended, and counts why if it was closed early.
    pub fn remove(&self, connection: &CallerConnection, metrics: &Metrics) {
        let mut open = self.open.borrow_mut();
        if let Ok(at) = open.binary_search_by_key(&connection.id, |c| c.id) {
            open.remove(at);
        }
        if let Some(reason) = *connection.closing.borrow() {
            metrics.count_closed_connection(reason.as_str());
        }
    }
}
