//! Logs on standard output: one line of key=value pairs for each event, bounded and never blocking.
//!
//! A reader of standard output that stands still must delay no request, so lines go through a
//! short queue to a thread of their own, and what does not fit is counted. Under load lines beyond
//! a budget are counted too: failures and changes of belief have their own, larger budget.

use std::cell::RefCell;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Lines of ordinary outcomes a second; one costs about 20 microseconds of a small machine.
const ORDINARY_A_SECOND: u32 = 40;

/// Lines of failures and changes a second.
const NOTABLE_A_SECOND: u32 = 200;

/// Lines are collected for this long, so that the writing thread wakes rarely.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Batches that may wait for a reader that stands still.
const BATCHES: usize = 8;

/// How long the end of a process waits for its last lines to be written.
const LAST_LINES: Duration = Duration::from_millis(50);

/// How much a line matters when there are too many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// An ordinary outcome.
    Low,
    /// A failure, a refusal or a change of what the instance believes.
    High,
}

#[derive(Debug)]
struct State {
    buf: String,
    second: Instant,
    ordinary: u32,
    notable: u32,
    dropped: u64,
}

/// The log of one process.
#[derive(Debug)]
pub struct Log {
    state: RefCell<State>,
    tx: RefCell<Option<SyncSender<String>>>,
    /// Disconnected once the writing thread has written all and ended.
    written: Receiver<()>,
}

impl Log {
    /// Starts the writing thread.
    pub fn new() -> Self {
        let (tx, rx) = sync_channel::<String>(BATCHES);
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
            ordinary: 0,
            notable: 0,
            dropped: 0,
        };
        Self {
            state: RefCell::new(state),
            tx: RefCell::new(Some(tx)),
            written,
        }
    }

    /// Writes one event.
    pub fn line(&self, priority: Priority, pairs: fmt::Arguments<'_>) {
        let mut state = self.state.borrow_mut();
        if !state.admits(priority) {
            state.dropped += 1;
            return;
        }
        let _ = writeln!(state.buf, "time_ms={} {pairs}", unix_time_ms());
    }

    /// Hands the collected lines to the writing thread; returns how many were left out since the
    /// last call.
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

    /// Writes what is left and waits until it is written, but not for a reader that stands still.
    ///
    /// Nothing is written after it.
    pub fn close(&self) {
        self.flush();
        self.tx.replace(None);
        // Whether the lines were written or the reader stands still, the process ends now.
        let _ = self.written.recv_timeout(LAST_LINES);
    }
}

impl Default for Log {
    fn default() -> Self {
        Self::new()
    }
}

/// Time of day in milliseconds; it may differ between machines.
pub fn unix_time_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis()
}

impl State {
    fn admits(&mut self, priority: Priority) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.ordinary = 0;
            self.notable = 0;
        }
        let (used, most) = match priority {
            Priority::Low => (&mut self.ordinary, ORDINARY_A_SECOND),
            Priority::High => (&mut self.notable, NOTABLE_A_SECOND),
        };
        *used += 1;
        *used <= most
    }
}
