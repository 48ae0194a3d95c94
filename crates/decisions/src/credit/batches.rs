//! Credit held by an instance, in batches ordered by expiry.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Batches that expire within this time of each other are merged; the merged batch expires with the
/// earliest.
const MERGE_WINDOW: Duration = Duration::from_millis(100);

/// Units of credit that expire at the same time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Batch {
    /// Time from which the credit is worthless.
    pub expires: Instant,
    /// Amount in units.
    pub amount: f64,
}

impl Batch {
    /// Milliseconds until the batch expires.
    pub(super) fn left_ms(&self, now: Instant) -> u32 {
        self.expires.saturating_duration_since(now).as_millis() as u32
    }
}

/// Batches in order of expiry, the earliest first.
#[derive(Debug, Clone, Default)]
pub(super) struct Batches {
    batches: VecDeque<Batch>,
}

impl Batches {
    /// Unexpired units.
    pub(super) fn available(&self, now: Instant) -> f64 {
        let valid = self.batches.iter().filter(|b| b.expires > now);
        valid.map(|b| b.amount).sum()
    }

    /// Adds a batch, unless it has expired or is empty, and drops expired ones.
    pub(super) fn add(&mut self, now: Instant, batch: Batch) {
        while self.batches.front().is_some_and(|b| b.expires <= now) {
            self.batches.pop_front();
        }
        if batch.expires <= now || batch.amount <= 0.0 {
            return;
        }
        let index = self.batches.partition_point(|b| b.expires <= batch.expires);
        let before = index.checked_sub(1).and_then(|i| self.batches.get_mut(i));
        if let Some(before) = before
            && batch.expires - before.expires < MERGE_WINDOW
        {
            before.amount += batch.amount;
            return;
        }
        self.batches.insert(index, batch);
    }

    /// Adds `amount` units that accrued evenly between two times and expire `lifetime` after they
    /// accrued.
    pub(super) fn add_accrued(
        &mut self,
        now: Instant,
        (from, to): (Instant, Instant),
        amount: f64,
        lifetime: Duration,
    ) {
        let elapsed = to.saturating_duration_since(from);
        let slices = elapsed.as_nanos().div_ceil(MERGE_WINDOW.as_nanos()).max(1) as u32;
        for slice in 0..slices {
            let accrued_at = from + elapsed * slice / slices;
            self.add(
                now,
                Batch {
                    expires: accrued_at + lifetime,
                    amount: amount / f64::from(slices),
                },
            );
        }
    }

    /// Removes `cost` units, the earliest to expire first. Returns a batch of that amount that
    /// expires with the first of its units, or `None` if there are too few units.
    pub(super) fn withdraw(&mut self, now: Instant, cost: f64) -> Option<Batch> {
        if cost > self.available(now) {
            return None;
        }
        while self.batches.front().is_some_and(|b| b.expires <= now) {
            self.batches.pop_front();
        }
        let expires = self.batches.front().map_or(now, |b| b.expires);
        let mut missing = cost;
        while let Some(first) = self.batches.front_mut() {
            if first.amount > missing {
                first.amount -= missing;
                break;
            }
            missing -= first.amount;
            self.batches.pop_front();
        }
        Some(Batch {
            expires,
            amount: cost,
        })
    }

    /// Removes and returns up to `max_units` units, the last to expire first.
    pub(super) fn drain_latest(&mut self, now: Instant, max_units: f64) -> Vec<Batch> {
        let mut remaining = max_units;
        let mut drained = Vec::new();
        while remaining > 0.0
            && let Some(mut last) = self.batches.pop_back()
        {
            if last.amount > remaining {
                let rest = last.amount - remaining;
                self.batches.push_back(Batch {
                    amount: rest,
                    ..last
                });
                last.amount = remaining;
            }
            remaining -= last.amount;
            if last.expires > now {
                drained.push(last);
            }
        }
        drained
    }

    /// Multiplies the amount of every batch by `factor`.
    pub(super) fn scale(&mut self, factor: f64) {
        for batch in &mut self.batches {
            batch.amount *= factor;
        }
    }
}
