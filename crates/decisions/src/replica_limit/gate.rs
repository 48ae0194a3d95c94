//! Counts the requests of one instance to one replica, and holds them to its share of the limit.

use std::collections::VecDeque;

use tokio::time::Instant;

use super::share::{MAX_WINDOW, Position, quota, window};

/// Requests remembered for one replica.
const MAX_REMEMBERED: usize = 4096;

/// Former positions that are kept apart; beyond them the later ones are joined.
const MAX_FORMER: usize = 8;

/// A position that this instance had until a later one replaced it.
#[derive(Debug, Clone, Copy)]
struct Former {
    position: Option<Position>,
    until: Instant,
}

/// Counts the requests that this instance sends to one replica, and limits them to its share.
#[derive(Debug, Clone, Default)]
pub struct LimitGate {
    /// Position in the fleet as known now; `None` while this instance has no share.
    position: Option<Position>,
    /// Former positions, the oldest first.
    former: Vec<Former>,
    /// Times of the requests sent within the longest window.
    sent_at: VecDeque<Instant>,
}

impl LimitGate {
    /// Sets the position. A larger share takes effect a window later: until then the requests of an
    /// instance that had it before are still counted.
    pub fn set_position(&mut self, now: Instant, position: Option<Position>) {
        self.former.retain(|f| now < f.until + MAX_WINDOW);
        if self.position == position {
            return;
        }
        let replaced = Former {
            position: self.position,
            until: now,
        };
        self.position = position;
        if self.former.len() < MAX_FORMER {
            self.former.push(replaced);
            return;
        }
        let last = &mut self.former[MAX_FORMER - 1];
        last.position = worse(last.position, replaced.position);
        last.until = now;
    }

    /// Whether another request may be sent now under a limit of `per_s`.
    pub fn admits(&self, now: Instant, per_s: f64) -> bool {
        let window = window(per_s);
        let recent = self.sent_at.iter().rev();
        let recent = recent.take_while(|at| now < **at + window).count();
        let former = self.former.iter().filter(|f| now < f.until + window);
        let position = former.fold(self.position, |p, f| worse(p, f.position));
        let share = position.map_or(0, |p| p.share(quota(per_s)));
        (recent as u32) < share
    }

    /// Records a request to the replica, even while it has no limit, because it may name one at any
    /// moment.
    pub fn on_dispatch(&mut self, now: Instant) {
        let is_counted = |at: &Instant| now < *at + MAX_WINDOW;
        while self.sent_at.front().is_some_and(|at| !is_counted(at))
            || self.sent_at.len() >= MAX_REMEMBERED
        {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }
}

/// The worse of two positions; having none is the worst.
fn worse(a: Option<Position>, b: Option<Position>) -> Option<Position> {
    a.zip(b).map(|(a, b)| a.worse(b))
}
