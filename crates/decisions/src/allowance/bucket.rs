//! A bucket that fills evenly and may lie in debt.

use tokio::time::Instant;

/// What may be spent just now. Its size and its rate belong to the limit, which may change.
#[derive(Debug)]
pub(super) struct Bucket {
    pub(super) level: f64,
    filled: Instant,
}

impl Bucket {
    pub(super) fn full(now: Instant, size: f64) -> Self {
        Self {
            level: size,
            filled: now,
        }
    }

    pub(super) fn fill(&mut self, now: Instant, rate: f64, size: f64) {
        let seconds = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.level = (self.level + seconds * rate).min(size);
    }

    /// Takes from it. News that come late, as after a cut, put it no deeper into debt than `most`.
    pub(super) fn drain(&mut self, cost: f64, most: f64) {
        self.level = (self.level - cost).max((-most).min(self.level));
    }
}
