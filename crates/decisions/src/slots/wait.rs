//! Estimate of the time until a newly queued request gets a slot.

use std::time::Duration;

/// Time until `slots` slots have done the `waiting` work; they are in use by requests that end
/// after `ends_in`.
///
/// The slots that become free first do the waiting work, so one long request among short ones
/// doesn't make the wait long. Slots that are not in use are free now; slots in use above the limit
/// don't count.
pub(super) fn expected_wait(
    mut ends_in: Vec<Duration>,
    slots: usize,
    waiting: Duration,
) -> Duration {
    let in_use = ends_in.len();
    ends_in.resize(in_use.max(slots), Duration::ZERO);
    ends_in.sort_unstable();
    let ends_in = &ends_in[in_use.saturating_sub(slots)..];
    let mut work_done = Duration::ZERO;
    for (n, pair) in ends_in.windows(2).enumerate() {
        let free_slots = n as u32 + 1;
        let step = pair[1].saturating_sub(pair[0]).saturating_mul(free_slots);
        if work_done.saturating_add(step) >= waiting {
            return pair[0] + waiting.saturating_sub(work_done) / free_slots;
        }
        work_done += step;
    }
    let last = ends_in.last().copied().unwrap_or_default();
    last.saturating_add(waiting.saturating_sub(work_done) / ends_in.len().max(1) as u32)
}

#[cfg(test)]
mod tests {
    use super::*;
    use yare::parameterized;

    #[parameterized(
        free = { &[9], 2, 0, 0 },
        first_end = { &[9, 2], 2, 0, 2 },
        queue_before_it = { &[9, 2], 2, 3, 5 },
        both_slots_share = { &[9, 2], 2, 9, 10 },
        limit_fell = { &[9, 2], 1, 0, 9 },
        nothing_runs = { &[], 2, 6, 3 },
    )]
    fn waits(ends_in: &[u64], slots: usize, waiting: u64, expected_s: u64) {
        let ends_in = ends_in.iter().copied().map(Duration::from_secs).collect();
        let wait = expected_wait(ends_in, slots, Duration::from_secs(waiting));
        assert_eq!(wait, Duration::from_secs(expected_s));
    }
}
