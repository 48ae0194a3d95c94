//! Open connections of callers, how far each has come, and which one is closed when there are too many.
//!
//! Load pattern: clients that open connections and send nothing, or the beginning of a head or a body. Each
//! takes a descriptor and some memory, and without a limit none is left for peers, replicas and the store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kingcupfield_decisions::caller_memory::OutOfMemory;
use kingcupfield_decisions::id::Rank;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::account::{Account, Hold};

/// A connection that has sent nothing for this long may be closed in favour of a new one.
const MIN_QUIET: Duration = Duration::from_secs(1);

/// Bytes of a head that are not counted: those that fit into the first buffer of a connection.
const UNCOUNTED_HEAD_BYTES: usize = 8 * 1024;

/// Memory of a head for each of its bytes, as its buffer grows by doubling.
const MEMORY_PER_HEAD_BYTE: usize = 2;

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

/// How far a connection has come.
#[derive(Debug)]
struct Progress {
    /// Requests whose body arrives.
    arriving: usize,
    /// Requests that are served.
    serving: usize,
    /// Whether it has carried a complete request.
    has_served: bool,
    /// Whether it carries several requests at a time, whose heads the protocol limits.
    is_multiplexed: bool,
    /// Whether written bytes wait for the caller to read.
    is_write_pending: bool,
    /// When something last arrived, or a response was last completed.
    at: Instant,
    /// Bytes of a head that is not complete.
    head_bytes: usize,
    /// Memory of a large head.
    head_hold: Option<Hold>,
}

/// An open connection of a caller.
#[derive(Debug)]
pub struct CallerConnection {
    id: u64,
    progress: Mutex<Progress>,
    /// Set when the connection is to be closed.
    closing: watch::Sender<Option<CloseReason>>,
}

impl CallerConnection {
    /// Counts bytes that have arrived. Fails if they belong to a head for which there is no memory.
    pub fn on_read(self: &Arc<Self>, account: &Account, bytes: usize) -> Result<(), OutOfMemory> {
        let mut progress = self.progress();
        progress.at = Instant::now();
        if progress.is_multiplexed || progress.is_in_request() {
            return Ok(());
        }
        let before = progress.head_bytes;
        progress.head_bytes = before + bytes;
        if progress.head_bytes <= UNCOUNTED_HEAD_BYTES {
            return Ok(());
        }
        let counted = progress.head_bytes - before.max(UNCOUNTED_HEAD_BYTES);
        let hold = progress
            .head_hold
            .get_or_insert_with(|| self.open_head_hold(account));
        let grown = hold.grow(counted * MEMORY_PER_HEAD_BYTE);
        drop(progress);
        if grown.is_err() {
            self.close(CloseReason::Memory);
        }
        grown
    }

    /// Opens the entry of a head, whose tier is not known yet; the connection is closed if it gives way.
    fn open_head_hold(self: &Arc<Self>, account: &Account) -> Hold {
        let hold = account.open(Rank::MAX);
        let mut evicted = hold.subscribe();
        let connection = Arc::clone(self);
        tokio::spawn(async move {
            if evicted.wait_for(|evicted| *evicted).await.is_ok() {
                connection.close(CloseReason::Memory);
            }
        });
        hold
    }

    /// Notes that the connection carries several requests at a time.
    pub fn set_multiplexed(&self) {
        self.progress().is_multiplexed = true;
    }

    /// Notes that the head of a request is complete and its body arrives.
    pub fn begin_request(self: &Arc<Self>) -> RequestInProgress {
        let mut progress = self.progress();
        progress.arriving += 1;
        progress.head_bytes = 0;
        let hold = progress.head_hold.take();
        drop(progress);
        drop(hold);
        RequestInProgress {
            connection: Arc::clone(self),
            is_arriving: AtomicBool::new(true),
        }
    }

    /// Notes whether written bytes wait for the caller to read.
    pub fn set_write_pending(&self, pending: bool) {
        self.progress().is_write_pending = pending;
    }

    /// Whether the beginning of a head has arrived, and not its end.
    pub fn is_in_head(&self) -> bool {
        self.progress().head_bytes > 0
    }

    /// Whether no request is on its way or served, so that nothing is lost when the connection is closed.
    pub fn is_between_requests(&self) -> bool {
        !self.progress().is_in_request()
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
    pub async fn closing(&self) {
        // The sender lives as long as this connection.
        let _ = self.closing.subscribe().wait_for(Option::is_some).await;
    }

    /// When it made progress, if it may be closed in favour of a new connection; those that have carried a
    /// request come later.
    fn expendable_since(&self, now: Instant) -> Option<(bool, Instant)> {
        let progress = self.progress();
        let is_expendable = progress.serving == 0
            && !progress.is_write_pending
            && self.closing.borrow().is_none()
            && now.saturating_duration_since(progress.at) >= MIN_QUIET;
        is_expendable.then_some((progress.has_served, progress.at))
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Progress {
    fn is_in_request(&self) -> bool {
        self.arriving + self.serving > 0
    }
}

/// A request on a connection, until its response was passed to the connection.
#[derive(Debug)]
pub struct RequestInProgress {
    connection: Arc<CallerConnection>,
    /// Whether its body arrives.
    is_arriving: AtomicBool,
}

impl RequestInProgress {
    /// Notes that the request has arrived completely, or that its body is not needed.
    pub fn on_arrived(&self) {
        if !self.is_arriving.swap(false, Ordering::Relaxed) {
            return;
        }
        let mut progress = self.connection.progress();
        progress.arriving -= 1;
        progress.serving += 1;
        progress.has_served = true;
    }

    /// Completes when the connection is to be closed.
    pub async fn closing(&self) {
        self.connection.closing().await;
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let mut progress = self.connection.progress();
        progress.at = Instant::now();
        if *self.is_arriving.get_mut() {
            progress.arriving -= 1;
        } else {
            progress.serving -= 1;
        }
    }
}

/// All open connections of callers.
#[derive(Debug)]
pub struct CallerConnections {
    max: usize,
    open: Mutex<Open>,
}

#[derive(Debug, Default)]
struct Open {
    next_id: u64,
    /// Sorted by id.
    connections: Vec<Arc<CallerConnection>>,
}

impl CallerConnections {
    /// Creates a list of at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            open: Mutex::default(),
        }
    }

    /// Most connections that are open at a time.
    pub fn max(&self) -> usize {
        self.max
    }

    /// Whether another connection may be accepted. If not, the connection that has made no progress for longest
    /// is asked to close; those that never carried a request come first.
    pub fn make_room(&self) -> bool {
        let open = self.open();
        if open.connections.len() < self.max {
            return true;
        }
        let now = Instant::now();
        let expendable = open.connections.iter();
        let expendable = expendable.filter_map(|c| Some((c.expendable_since(now)?, c)));
        if let Some((_, oldest)) = expendable.min_by_key(|(since, _)| *since) {
            oldest.close(CloseReason::TooMany);
        }
        false
    }

    /// Adds a connection that was accepted.
    pub fn add(&self) -> Arc<CallerConnection> {
        let mut open = self.open();
        let id = open.next_id;
        open.next_id += 1;
        let connection = Arc::new(CallerConnection {
            id,
            progress: Mutex::new(Progress {
                arriving: 0,
                serving: 0,
                has_served: false,
                is_multiplexed: false,
                is_write_pending: false,
                at: Instant::now(),
                head_bytes: 0,
                head_hold: None,
            }),
            closing: watch::Sender::new(None),
        });
        open.connections.push(Arc::clone(&connection));
        connection
    }

    /// Removes a connection that has ended. Returns why it was closed if its caller did not close it.
    pub fn remove(&self, connection: &CallerConnection) -> Option<CloseReason> {
        let mut open = self.open();
        if let Ok(at) = open
            .connections
            .binary_search_by_key(&connection.id, |c| c.id)
        {
            open.connections.remove(at);
        }
        *connection.closing.borrow()
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
