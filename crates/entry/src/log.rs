//! Log on standard output: one line of key=value pairs per event, rate-limited and non-blocking.
//!
//! A stalled reader of standard output must not delay requests. Lines therefore go through a short
//! queue to a writer thread; lines that don't fit are dropped and counted. Lines beyond a budget per
//! second are dropped and counted as well; failures and state changes have a larger budget of their
//! own.

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
    /// A failure, a refusal or a change of the instance's state.
    High,
}

#[derive(Debug)]
struct State {
    /// Collected lines.
    buf: String,
    /// Start of the current second of the rate limit.
    second: Instant,
    /// Low-priority lines in the current second.
    low: u32,
    /// High-priority lines in the current second.
    high: u32,
    /// Lines dropped since the last flush.
    dropped: u64,
}

/// The log of one process.
#[derive(Debug)]
pub struct Log {
    state: RefCell<State>,
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
        let state = State {
            buf: String::new(),
            second: Instant::now(),
            low: 0,
            high: 0,
            dropped: 0,
        };
        Self {
            state: RefCell::new(state),
            tx: RefCell::new(Some(tx)),
            written,
        }
    }

    /// Adds the line of one event, unless the budget of its priority is used up.
    pub fn line(&self, priority: Priority, pairs: fmt::Arguments<'_>) {
        let mut state = self.state.borrow_mut();
        if !state.admits(priority) {
            state.dropped += 1;
            return;
        }
        let _ = writeln!(state.buf, "time_ms={} {pairs}", unix_time_ms());
    }

    /// Passes the collected lines to the writer thread. Returns the number of lines that were dropped
    /// since the last call.
    pub fn flush(&self) -> u64 {
        let mut state = self.state.borrow_mut();
        let dropped = std::mem::take(&mut state.dropped);
        if dropped > 0 {
            let _ = writeln!(
                state.buf,
                "time_ms={} event=log_dropped lines={dropped}",
                unix_time_ms()
            );
        }
        if state.buf.is_empty() {
            return dropped;
        }
        let batch = std::mem::take(&mut state.buf);
        let lines = batch.lines().count() as u64;
        let sent = self.tx.borrow().as_ref().map(|tx| tx.try_send(batch));
        if !matches!(sent, Some(Ok(()))) {
            state.dropped += lines;
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

impl State {
    /// Counts a line against the budget of its priority; returns false if the budget is used up.
    fn admits(&mut self, priority: Priority) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.low = 0;
            self.high = 0;
        }
        let (used, max) = match priority {
            Priority::Low => (&mut self.low, MAX_LOW_PER_SECOND),
            Priority::High => (&mut self.high, MAX_HIGH_PER_SECOND),
        };
        *used += 1;
        *used <= max
    }
}
