//! Receives a large response of the store, and reads small changes beside it.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::store_view::number_of;
use tokio::time::{Instant, sleep, timeout};

use super::{PAUSE_AFTER_CHANGES, Upto, apply_small_changes, apply_small_list};
use crate::adapter::{DirectoryError, Listing, Transfer};
use crate::log::Priority;
use crate::node::Node;

/// Time in which most large responses arrive, so that no further call is needed.
const HEAD_START: Duration = Duration::from_millis(100);

/// Wait of a call for small changes: what it does not wait for is read at this interval.
const SMALL_WATCH: Duration = Duration::from_millis(250);

/// Pause after a call for small changes that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How small entries are read beside a large response at first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SmallEntries {
    /// What has changed since the known revision.
    Watched,
    /// All of them: the changes since the known revision are not to be had.
    Listed,
}

/// Receives a response. Small changes are applied meanwhile if it takes long.
pub(super) async fn receive(
    node: &Rc<Node>,
    transfer: Transfer<'_>,
    small: SmallEntries,
) -> Result<Listing, DirectoryError> {
    let mut listing = transfer.listing;
    if !transfer.is_large {
        return listing.await;
    }
    let started = Instant::now();
    let received = if let Ok(received) = timeout(HEAD_START, &mut listing).await {
        received
    } else {
        tokio::select! {
            received = &mut listing => received,
            never = follow_small(node, small) => match never {},
        }
    };
    log_received(node, received.as_ref(), started);
    received
}

/// Applies small changes as the store tells them.
async fn follow_small(node: &Rc<Node>, mut next: SmallEntries) -> Infallible {
    loop {
        let read = match next {
            SmallEntries::Watched => watch_small(node).await,
            SmallEntries::Listed => list_small(node).await,
        };
        match read {
            Ok(has_changed) => {
                next = SmallEntries::Watched;
                if has_changed {
                    sleep(PAUSE_AFTER_CHANGES).await;
                }
            }
            Err(DirectoryError::HistoryCompacted) => {
                next = SmallEntries::Listed;
                sleep(RETRY_PAUSE).await;
            }
            Err(e) => {
                let reason = e.to_string();
                node.log.line(
                    Priority::State,
                    format_args!("event=directory_lost part=small reason={reason:?}"),
                );
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Waits for small changes and applies them; returns whether there were any.
async fn watch_small(node: &Rc<Node>) -> Result<bool, DirectoryError> {
    let after = node.directory.borrow().small_up_to();
    let listing = node
        .directory_client
        .watch_small(after, SMALL_WATCH)
        .await?;
    node.record_store_response();
    Ok(apply_small_changes(node, listing))
}

/// Lists the small entries and applies them; returns whether there may be changes.
async fn list_small(node: &Rc<Node>) -> Result<bool, DirectoryError> {
    let listing = node.directory_client.list_small().await?;
    node.record_store_response();
    apply_small_list(node, listing);
    Ok(true)
}

/// Logs a large response, and the time from its head to its end.
fn log_received(node: &Node, received: Result<&Listing, &DirectoryError>, started: Instant) {
    let ms = started.elapsed().as_millis();
    let upto = received.map_or(0, |listing| listing.revision);
    let bytes: usize = received.map_or(0, |listing| {
        let values = listing.entries.iter().filter_map(|e| e.value.as_ref());
        values.map(Vec::len).sum()
    });
    let small = number_of(node.directory.borrow().small_up_to());
    node.log.line(
        Priority::State,
        format_args!(
            "event=directory_from_store {} small={small} bytes={bytes} ms={ms}",
            Upto(upto)
        ),
    );
}
