//! Gets the history of the software versions from another instance after a start, or after changes may have
//! been missed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::software_versions::HistoryReport;
use kingcupfield_decisions::store_view::Revision;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::log::Priority;
use crate::node::Node;
use crate::snapshot;
use crate::tasks;

/// HTTP path at which an instance serves its history.
pub const HISTORY_PATH: &str = "/versions";

/// Pause after the first question for the history; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between two questions: after a kill of all instances nobody knows more.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// The history of an instance, and the directory revision up to which it is complete.
#[derive(Debug, Serialize, Deserialize)]
pub struct History {
    /// Revision of the directory.
    upto: Revision,
    report: HistoryReport,
}

impl History {
    /// The history of this instance.
    pub fn new(node: &Node) -> Self {
        Self {
            upto: node.directory.borrow().complete_up_to(),
            report: node.versions.borrow().report(Instant::now()),
        }
    }
}

/// When an instance whose history is incomplete asks another one for it.
#[derive(Debug)]
pub(super) struct HistorySync {
    next_at: Instant,
    pause: Duration,
}

impl HistorySync {
    /// Creates the state of an instance that has asked nobody.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            next_at: now,
            pause: FIRST_PAUSE,
        }
    }

    /// Starts a task that gets the history of another instance, if it is due.
    pub(super) fn check(&mut self, node: &Rc<Node>, now: Instant) {
        let is_complete = node.versions.borrow().is_complete(now);
        let is_empty = node.directory.borrow().complete_up_to() == 0;
        if is_complete || is_empty {
            self.pause = FIRST_PAUSE;
            return;
        }
        if now < self.next_at {
            return;
        }
        self.next_at = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        tasks::spawn(node, "history", |node| async move { fetch(&node).await });
    }
}

/// Gets the history of a random instance, and adds it if that instance has seen all that this one may have
/// missed.
async fn fetch(node: &Node) {
    let now = Instant::now();
    let cfg = node.settings();
    let Some(peer) = node.peers.borrow().random_live(now, rand::random()) else {
        return;
    };
    let peer = SocketAddr::from((peer, cfg.peer_listen.port()));
    let missed_up_to = node.history_missed_up_to.get();
    let history: History = match snapshot::fetch_message(peer, HISTORY_PATH).await {
        Ok(history) => history,
        Err(e) => {
            let reason = e.to_string();
            return node.log.line(
                Priority::State,
                format_args!("event=peer_unreachable peer={peer} reason={reason:?}"),
            );
        }
    };
    // More may have been missed while the response was on its way.
    let covers = history.upto >= missed_up_to && node.history_missed_up_to.get() == missed_up_to;
    let reaches_further = covers
        && node
            .versions
            .borrow_mut()
            .add(Instant::now(), &history.report);
    if reaches_further {
        let is_complete = node.versions.borrow().is_complete(Instant::now());
        node.log.line(
            Priority::State,
            format_args!("event=version_history peer={peer} complete={is_complete}"),
        );
    }
}
