//! Expiry of a request: the route's timeout or the shutdown of the process.

use std::rc::Rc;

use tokio::time::{Instant, sleep_until};

use crate::node::Node;
use crate::table::Route;

/// Limit at which the time of a request expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expiry {
    /// The route's timeout, counted from the receipt of the request.
    RouteTimeout,
    /// The time at which a process that shuts down sends its last responses.
    Shutdown,
}

/// Completes when the route's timeout in the table in force has passed, or when a process that shuts
/// down has just enough time left to respond. The timeout of a removed route stays in force. If its connection were closed instead, the caller would
/// know neither whether its request ran nor when to retry.
pub async fn wait_for_expiry(node: &Rc<Node>, route: &Route, received: Instant) -> Expiry {
    let mut version = node.version_tx.subscribe();
    let mut response_deadline = std::pin::pin!(node.response_deadline_reached());
    loop {
        let timeout = node
            .table()
            .and_then(|t| t.same_route(route).map(|r| r.timeout))
            .unwrap_or(route.timeout);
        tokio::select! {
            () = sleep_until(received + timeout) => return Expiry::RouteTimeout,
            () = &mut response_deadline => return Expiry::Shutdown,
            _ = version.changed() => {}
        }
    }
}
