//! Reads from the store which small entries have changed until now, for decisions that must not rest on an old view.

use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::store_view::{Revision, era_of};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::apply_small_changes;
use crate::adapter::{DirectoryError, Listing};
use crate::node::Node;
use crate::tasks;

/// Longest wait of the store for a change: none, in the smallest unit of the store's protocol.
const NO_WAIT: Duration = Duration::from_millis(1);

/// Timeout of each call. Callers whose streams broke wait for the result.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between two calls, in which requests collect that share the next one.
const PAUSE: Duration = Duration::from_millis(50);

/// Those that wait for the store's confirmation.
#[derive(Debug, Default)]
pub struct Confirmations {
    waiting: Vec<oneshot::Sender<bool>>,
    /// Whether a task that calls the store is running.
    running: bool,
}

impl Confirmations {
    /// Adds one that waits; returns whether the task has to be started.
    fn add(&mut self, tx: oneshot::Sender<bool>) -> bool {
        self.waiting.push(tx);
        !std::mem::replace(&mut self.running, true)
    }
}

/// Reads all changes up to now from the store; returns whether it has responded. Those that call this at
/// the same time share a call, which begins after the last of them has called.
pub async fn catch_up(node: &Rc<Node>) -> bool {
    let (tx, rx) = oneshot::channel();
    let starts = node.confirmations.borrow_mut().add(tx);
    if starts {
        tasks::spawn(node, "confirmation", confirm_all);
    }
    rx.await.unwrap_or(false)
}

/// Ends the task that calls the store when it is dropped, also by a panic. Those that wait are told that
/// nothing is confirmed.
struct Ending(Rc<Node>);

impl Drop for Ending {
    fn drop(&mut self) {
        *self.0.confirmations.borrow_mut() = Confirmations::default();
    }
}

/// Calls the store until nobody waits.
async fn confirm_all(node: Rc<Node>) {
    let _ending = Ending(Rc::clone(&node));
    loop {
        let waiting = std::mem::take(&mut node.confirmations.borrow_mut().waiting);
        if waiting.is_empty() {
            return;
        }
        let is_confirmed = read_changes(&node).await;
        for tx in waiting {
            // A caller that has left needs no result.
            let _ = tx.send(is_confirmed);
        }
        sleep(PAUSE).await;
    }
}

/// Reads the changes after `known`, apart from a large value if there is one among them.
async fn small_changes(node: &Node, known: Revision) -> Result<Listing, DirectoryError> {
    let client = &node.directory_client;
    let changes = client.watch(known, NO_WAIT).await?;
    if changes.is_large {
        return client.watch_small(known, NO_WAIT).await;
    }
    changes.listing.await
}

/// Reads the changes since the revision that is known, if there are any; returns whether all are known then.
async fn read_changes(node: &Rc<Node>) -> bool {
    let current = node.directory_client.current_revision();
    let Ok(Ok(current)) = timeout(CALL_TIMEOUT, current).await else {
        return false;
    };
    let known = node.directory.borrow().small_up_to();
    if known == 0 || era_of(known) != era_of(current) {
        return false;
    }
    if known >= current {
        return true;
    }
    match timeout(CALL_TIMEOUT, small_changes(node, known)).await {
        Ok(Ok(listing)) => {
            apply_small_changes(node, listing);
            node.directory.borrow().small_up_to() >= current
        }
        Ok(Err(DirectoryError::HistoryCompacted)) => {
            node.needs_full_list.set(true);
            node.resync_wakeup.notify_one();
            false
        }
        Ok(Err(_)) | Err(_) => false,
    }
}
