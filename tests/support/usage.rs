//! What a process takes of its machine: memory and descriptors.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Interval at which the usage of a process is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which nothing has to arrive until the process counts as settled.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Longest wait until the process has settled.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(30);

/// State of a listening socket in the kernel's table of connections.
const LISTENING: &str = "0A";

/// Highest usage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peak {
    /// Resident memory and bytes that callers have sent and the process has not read, in KiB.
    pub memory_kib: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Reads the usage of a process until it is stopped.
#[derive(Debug)]
pub struct UsageMonitor {
    pid: u32,
    listen: SocketAddr,
    stopped: Arc<AtomicBool>,
    memory_kib: Arc<AtomicU64>,
    descriptors: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl UsageMonitor {
    /// Starts to read the usage of a process whose callers connect to an address.
    pub fn start(pid: u32, listen: SocketAddr) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let memory_kib = Arc::new(AtomicU64::new(0));
        let descriptors = Arc::new(AtomicU64::new(0));
        let (stop, memory, open) = (
            Arc::clone(&stopped),
            Arc::clone(&memory_kib),
            Arc::clone(&descriptors),
        );
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let unread_kib = unread(listen).bytes / 1024;
                memory.fetch_max(status_kib(pid, "VmRSS:") + unread_kib, Ordering::Relaxed);
                open.fetch_max(open_descriptors(pid), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            pid,
            listen,
            stopped,
            memory_kib,
            descriptors,
            thread: Some(thread),
        }
    }

    /// Highest usage until now.
    pub fn peak(&self) -> Peak {
        let sampled = self.memory_kib.load(Ordering::Relaxed);
        Peak {
            memory_kib: sampled.max(status_kib(self.pid, "VmHWM:")),
            descriptors: self.descriptors.load(Ordering::Relaxed),
        }
    }
}

impl UsageMonitor {
    /// Waits until the process has read what has arrived, or reads no more of it for a while.
    pub fn wait_settled(&self) {
        let end = Instant::now() + MAX_SETTLE_TIME;
        let mut last = (unread(self.listen), self.peak());
        let mut unchanged_since = Instant::now();
        while unchanged_since.elapsed() < SETTLE_TIME && Instant::now() < end {
            thread::sleep(SAMPLE_INTERVAL);
            let now = (unread(self.listen), self.peak());
            if now != last {
                unchanged_since = Instant::now();
                last = now;
            }
        }
    }
}

impl Drop for UsageMonitor {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

/// A line of the process's status in KiB; 0 once it has ended.
fn status_kib(pid: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let value = status.lines().find_map(|line| line.strip_prefix(name));
    let digits = value.map(|v| v.trim().trim_end_matches(" kB"));
    digits.and_then(|d| d.parse().ok()).unwrap_or(0)
}

/// Number of open descriptors; 0 once the process has ended.
fn open_descriptors(pid: u32) -> u64 {
    let entries = fs::read_dir(format!("/proc/{pid}/fd"));
    entries.map_or(0, |entries| entries.count() as u64)
}

/// What has arrived for a process and waits in the kernel.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Unread {
    /// Bytes on open connections.
    bytes: u64,
    /// Connections that have not been accepted.
    connections: u64,
}

/// What waits for the process that listens on an IPv4 address.
fn unread(listen: SocketAddr) -> Unread {
    let SocketAddr::V4(address) = listen else {
        return Unread::default();
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let mut unread = Unread::default();
    for line in table.lines() {
        let mut columns = line.split_whitespace().skip(1);
        if columns.next() != Some(&*local) {
            continue;
        }
        let state = columns.nth(1);
        let queue = columns.next().and_then(|queues| queues.split_once(':'));
        let waiting = queue.and_then(|(_, rx)| u64::from_str_radix(rx, 16).ok());
        match state {
            Some(LISTENING) => unread.connections += waiting.unwrap_or(0),
            _ => unread.bytes += waiting.unwrap_or(0),
        }
    }
    unread
}
