//! Credit at hand, by when it expires.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Batches that expire within this time of each other are one, which expires with the first.
const GRID: Duration = Duration::from_millis(100);

/// Credit that expires at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Batch {
    /// When it is worthless.
    pub expires: Instant,
    /// Units.
    pub amount: f64,
}

impl Batch {
    /// Milliseconds until it expires.
    pub(super) fn left_ms(&self, now: Instant) -> u32 {
        self.expires.saturating_duration_since(now).as_millis() as u32
    }
}

/// Batches, the first to expire in front.
#[derive(Debug, Clone, Default)]
pub(super) struct Batches {
    lots: VecDeque<Batch>,
}

impl Batches {
    /// Units at hand.
    pub(super) fn level(&self, now: Instant) -> f64 {
        let valid = self.lots.iter().filter(|l| l.expires > now);
        valid.map(|l| l.amount).sum()
    }

    /// Takes up a lot.
    pub(super) fn add(&mut self, now: Instant, lot: Batch) {
        while self.lots.front().is_some_and(|l| l.expires <= now) {
            self.lots.pop_front();
        }
        if lot.expires <= now || lot.amount <= 0.0 {
            return;
        }
        let at = self.lots.partition_point(|l| l.expires <= lot.expires);
        let before = at.checked_sub(1).and_then(|at| self.lots.get_mut(at));
        if let Some(before) = before
            && lot.expires - before.expires < GRID
        {
            before.amount += lot.amount;
            return;
        }
        self.lots.insert(at, lot);
    }

    /// Takes up what was minted evenly between two times and lives for a while from then.
    pub(super) fn add_minted(
        &mut self,
        now: Instant,
        (from, to): (Instant, Instant),
        amount: f64,
        life: Duration,
    ) {
        let whole = to.saturating_duration_since(from);
        let slices = whole.as_nanos().div_ceil(GRID.as_nanos()).max(1) as u32;
        for slice in 0..slices {
            let begins = from + whole * slice / slices;
            self.add(
                now,
                Batch {
                    expires: begins + life,
                    amount: amount / f64::from(slices),
                },
            );
        }
    }

    /// Takes `cost` out, the first to expire first; returns a lot of that size that expires with the
    /// first unit, or nothing if there is not enough.
    pub(super) fn take(&mut self, now: Instant, cost: f64) -> Option<Batch> {
        if cost > self.level(now) {
            return None;
        }
        while self.lots.front().is_some_and(|l| l.expires <= now) {
            self.lots.pop_front();
        }
        let expires = self.lots.front().map_or(now, |l| l.expires);
        let mut rest = cost;
        while let Some(first) = self.lots.front_mut() {
            if first.amount > rest {
                first.amount -= rest;
                break;
            }
            rest -= first.amount;
            self.lots.pop_front();
        }
        Some(Batch {
            expires,
            amount: cost,
        })
    }

    /// Hands over up to `most` units, the last to expire first.
    pub(super) fn hand_over(&mut self, now: Instant, most: f64) -> Vec<Batch> {
        let mut left = most;
        let mut given = Vec::new();
        while left > 0.0
            && let Some(mut last) = self.lots.pop_back()
        {
            if last.amount > left {
                let kept = last.amount - left;
                self.lots.push_back(Batch {
                    amount: kept,
                    ..last
                });
                last.amount = left;
            }
            left -= last.amount;
            if last.expires > now {
                given.push(last);
            }
        }
        given
    }

    /// Shrinks all lots to a part.
    pub(super) fn scale(&mut self, part: f64) {
        for lot in &mut self.lots {
            lot.amount *= part;
        }
    }
}
