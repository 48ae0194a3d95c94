//! Forgets old crashes, and repeats the others to instances that may have missed them.

use std::time::Duration;

use rand::RngExt as _;
use tokio::time::Instant;

use super::message::{CrashMessage, completed_messages, crashed_messages};
use crate::age::time_before;
use crate::gossip;
use crate::node::Node;
use crate::peers::PeerMessage;

/// Interval at which an instance repeats what it knows to others.
const REMINDER_INTERVAL: Duration = Duration::from_secs(1);

/// Instances that get each reminder. One that missed everything hears of it within three seconds in 99.7 of
/// 100 cases.
const REMINDED_INSTANCES: usize = 2;

/// Age up to which completions are part of reminders.
const COMPLETION_MEMORY: Duration = Duration::from_secs(30);

/// Most datagrams of one reminder to one instance.
const DATAGRAMS_PER_REMINDER: usize = 8;

/// What an instance does about crashes beside requests.
#[derive(Debug)]
pub struct Upkeep {
    checked_at: Instant,
}

impl Upkeep {
    /// Creates the state of an instance that starts.
    pub fn new(now: Instant) -> Self {
        Self { checked_at: now }
    }

    /// Forgets what is old and reminds other instances of the rest, if that is due.
    pub fn check(&mut self, node: &Node) {
        let now = Instant::now();
        let is_due = now.saturating_duration_since(self.checked_at) >= REMINDER_INTERVAL;
        if !is_due || node.crash_suspects.borrow().is_empty() {
            return;
        }
        self.checked_at = now;
        node.crash_suspects.borrow_mut().expire(now);
        let messages: Vec<PeerMessage> = reminders(node, now)
            .into_iter()
            .map(PeerMessage::Crash)
            .take(DATAGRAMS_PER_REMINDER)
            .collect();
        for _ in 0..REMINDED_INSTANCES {
            let receiver = node.peers.borrow().random_live(now, rand::rng().random());
            for message in &messages {
                gossip::send_to(node, message, receiver.as_slice());
            }
        }
    }
}

/// Messages with what several crashes have in common, and with what was cleared lately.
fn reminders(node: &Node, now: Instant) -> Vec<CrashMessage> {
    let suspects = node.crash_suspects.borrow();
    let since = time_before(now, COMPLETION_MEMORY);
    let mut messages = crashed_messages(now, &suspects.reports());
    messages.extend(completed_messages(now, &suspects.cleared_since(since)));
    messages
}
