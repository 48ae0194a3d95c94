//! Log on standard output: one line of key=value pairs per event, rate-limited and non-blocking.
//!
//! A stalled reader of standard output must not delay requests. Lines therefore go through a short
//! queue to a writer thread; lines that don't fit are dropped and counted. Lines beyond a budget per
//! second are dropped and counted as well. Failures of requests have a larger budget than successes, and
//! changes of what the instance knows have one of their own: at a peak of demand a line about a replica
//! that is missing could not be told from a change that was not known.

use std::cell::RefCell;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Budget of low-priority lines per second; a line costs about 20 microseconds on a small machine.
const MAX_LOW_PER_SECOND: u32 = 40;

/// Budget of high-priority lines per second.
const MAX_HIGH_PER_SECOND: u32 = 200;

/// Budget of lines about the state of the instance per second: hundreds of replicas that are replaced in
/// one second, and the instances of a large fleet that fall silent at once.
const MAX_STATE_PER_SECOND: u32 = 1000;

/// Interval at which collected lines are passed to the writer thread, so that it wakes rarely.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Number of batches of lines that are queued for the writer thread while the reader stalls.
const MAX_QUEUED_BATCHES: usize = 8;

/// Longest wait at the end of the process for the last lines to be written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Priority of a line when the rate limit is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// A successful outcome.
    Low,
    /// A failure or a refusal.
    High,
    /// A change of the instance's state: of its directory, its peers or its lifecycle.
    State,
}

#[derive(Debug)]
struct Buffer {
    /// Collected lines.
    lines: String,
    /// Start of the current second of the rate limit.
    second: Instant,
    /// Low-priority lines in the current second.
    low: u32,
    /// High-priority lines in the current second.
    high: u32,
    /// Lines about the state in the current second.
    state: u32,
    /// Collected lines about the state.
    collected_state: u64,
    /// Lines dropped since the last flush.
    dropped: u64,
    /// Lines about the state among them.
    dropped_state: u64,
}

/// The log of one process.
#[derive(Debug)]
pub struct Log {
    buffer: RefCell<Buffer>,
    tx: RefCell<Option<SyncSender<String>>>,
    /// Disconnected when the writer thread has written all lines and ended.
    written: Receiver<()>,
}

impl Log {
    /// Creates a log and starts its writer thread.
    pub fn new() -> Self {
        let (tx, rx) = sync_channel::<String>(MAX_QUEUED_BATCHES);
        let (done, written) = sync_channel::<()>(0);
        thread::spawn(move || {
            let _done = done;
            let mut out = std::io::stdout();
            while let Ok(batch) = rx.recv() {
                if out.write_all(batch.as_bytes()).is_err() {
                    return;
                }
                let _ = out.flush();
            }
        });
        let buffer = Buffer {
            lines: String::new(),
            second: Instant::now(),
            low: 0,
            high: 0,
            state: 0,
            collected_state: 0,
            dropped: 0,
            dropped_state: 0,
        };
        Self {
            buffer: RefCell::new(buffer),
            tx: RefCell::new(Some(tx)),
            written,
        }
    }

    /// Adds the line of one event, unless the budget of its priority is used up.
    pub fn line(&self, priority: Priority, pairs: fmt::Arguments<'_>) {
        let mut buffer = self.buffer.borrow_mut();
        let is_state = u64::from(priority == Priority::State);
        if !buffer.admits(priority) {
            buffer.dropped += 1;
            buffer.dropped_state += is_state;
            return;
        }
        buffer.collected_state += is_state;
        let _ = writeln!(buffer.lines, "time_ms={} {pairs}", unix_time_ms());
    }

    /// Passes the collected lines to the writer thread. Returns the number of lines that were dropped
    /// since the last call.
    pub fn flush(&self) -> u64 {
        let mut buffer = self.buffer.borrow_mut();
        let dropped = std::mem::take(&mut buffer.dropped);
        let dropped_state = std::mem::take(&mut buffer.dropped_state);
        if dropped > 0 {
            let _ = writeln!(
                buffer.lines,
                "time_ms={} event=log_dropped lines={dropped} state_lines={dropped_state}",
                unix_time_ms()
            );
        }
        if buffer.lines.is_empty() {
            return dropped;
        }
        let batch = std::mem::take(&mut buffer.lines);
        let lines = batch.lines().count() as u64;
        let state_lines = std::mem::take(&mut buffer.collected_state);
        let sent = self.tx.borrow().as_ref().map(|tx| tx.try_send(batch));
        if !matches!(sent, Some(Ok(()))) {
            buffer.dropped += lines;
            buffer.dropped_state += state_lines;
        }
        dropped
    }

    /// Flushes the log and waits until the lines are written, at most [`CLOSE_TIMEOUT`] so that a
    /// stalled reader does not block the end of the process.
    ///
    /// Lines added later are lost.
    pub fn close(&self) {
        self.flush();
        self.tx.replace(None);
        // The process ends now, whether the lines were written or the reader has stalled.
        let _ = self.written.recv_timeout(CLOSE_TIMEOUT);
    }
}

impl Default for Log {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the Unix time in milliseconds. Clocks may differ between machines.
pub fn unix_time_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
}

impl Buffer {
    /// Counts a line against the budget of its priority; returns false if the budget is used up.
    fn admits(&mut self, priority: Priority) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.low = 0;
            self.high = 0;
            self.state = 0;
        }
        let (used, max) = match priority {
            Priority::Low => (&mut self.low, MAX_LOW_PER_SECOND),
            Priority::High => (&mut self.high, MAX_HIGH_PER_SECOND),
            Priority::State => (&mut self.state, MAX_STATE_PER_SECOND),
        };
        *used += 1;
        *used <= max
    }
}
