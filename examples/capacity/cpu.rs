//! Processor time by thread name and resident memory, as the kernel counts them.

use std::fs;
use std::time::Duration;

/// Ticks a second in which Linux tells processor times to programs.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a page.
const PAGE: u64 = 4096;

/// Processor time that threads of this name have used.
pub fn of_threads(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let stats = tasks
        .filter_map(Result::ok)
        .filter_map(|t| fs::read_to_string(t.path().join("stat")).ok());
    let ticks: u64 = stats.filter_map(|stat| ticks(&stat, name)).sum();
    Duration::from_secs_f64(ticks as f64 / TICKS_PER_S)
}

/// Resident memory of the process in bytes.
pub fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

// The name stands in brackets; user and system time are the 12th and 13th field after it.
fn ticks(stat: &str, name: &str) -> Option<u64> {
    let (head, rest) = stat.rsplit_once(") ")?;
    if head.split_once('(')?.1 != name {
        return None;
    }
    let mut fields = rest.split(' ').skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}
