//! Limits of the machine that a process runs on, as far as the process can read them.

use std::fs;

/// Smallest number of descriptors of a process that settings may give.
pub const MIN_DESCRIPTORS: u64 = 256;

/// Bytes in a MiB.
const MIB: u64 = 1024 * 1024;

/// Fraction of the memory that may be held for callers' requests.
const CALLER_FRACTION: f64 = 0.25;

/// Descriptors that are kept for files, but at most an eighth of all.
const FILE_DESCRIPTORS: u64 = 200;

/// Fraction of the sockets that is kept for peers, upstreams and the store.
const OWN_SOCKETS_FRACTION: f64 = 0.25;

/// Fraction of the memory that open connections of callers may take beside the bodies.
const CONNECTION_FRACTION: f64 = 0.4;

/// Memory in bytes of a connection with a request: its state, its buffers and what the kernel has received.
const CONNECTION_BYTES: f64 = 64.0 * 1024.0;

/// Limits of the machine or of the process, whichever are lower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Descriptors that the process may have open.
    pub descriptors: u64,
}

/// Limits of a machine that tells none.
const UNKNOWN: Machine = Machine {
    memory_bytes: 256 * MIB,
    descriptors: 1024,
};

impl Machine {
    /// Number of connections of callers that may be open, which both memory and descriptors bound.
    pub fn caller_connections(&self) -> usize {
        let files = FILE_DESCRIPTORS.min(self.descriptors / 8);
        let sockets = (self.descriptors - files) as f64;
        let by_descriptors = sockets * (1.0 - OWN_SOCKETS_FRACTION);
        let by_memory = self.memory_bytes as f64 * CONNECTION_FRACTION / CONNECTION_BYTES;
        by_descriptors.min(by_memory) as usize
    }

    /// Bytes that may be held for callers.
    pub fn caller_bytes(&self) -> usize {
        (self.memory_bytes as f64 * CALLER_FRACTION) as usize
    }

    /// Limits that settings give; those that are unset are read.
    pub fn from_settings(memory_bytes: Option<u64>, descriptors: Option<u64>) -> Self {
        let found = Self::read();
        Self {
            memory_bytes: memory_bytes.unwrap_or(found.memory_bytes),
            descriptors: descriptors.unwrap_or(found.descriptors),
        }
    }

    /// Reads the limits of this process and the memory of its machine.
    pub fn read() -> Self {
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let total = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        Self::parse(&limits, &total)
    }

    /// Takes the limits from the texts of the kernel: `/proc/self/limits` and `/proc/meminfo`.
    pub fn parse(limits: &str, meminfo: &str) -> Self {
        let memory = [
            soft_limit(limits, "Max data size"),
            soft_limit(limits, "Max address space"),
            total_memory(meminfo),
        ];
        let descriptors = soft_limit(limits, "Max open files");
        Self {
            memory_bytes: memory
                .into_iter()
                .flatten()
                .min()
                .unwrap_or(UNKNOWN.memory_bytes),
            descriptors: descriptors.unwrap_or(UNKNOWN.descriptors),
        }
    }
}

/// Soft limit of a resource; `None` if it is unlimited or not told.
fn soft_limit(limits: &str, name: &str) -> Option<u64> {
    let values = limits.lines().find_map(|line| line.strip_prefix(name))?;
    values.split_whitespace().next()?.parse().ok()
}

fn total_memory(meminfo: &str) -> Option<u64> {
    let value = meminfo.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    let kib: u64 = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(1024)
}
