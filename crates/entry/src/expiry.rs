//! How long a request may take here.

use std::rc::Rc;

use tokio::time::{Instant, sleep_until};

use crate::node::Node;
use crate::table::Route;

/// What ends the time of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expiry {
    /// The route's time is over.
    RouteTimeout,
    /// The process ends.
    Shutdown,
}

/// Ends when the route's time is over, by what the table says at that moment, or when the process has
/// just time left to answer: a caller whose connection is closed instead knows neither whether its
/// request ran nor when to come back.
pub async fn wait_for_expiry(node: &Rc<Node>, route: &Route, received: Instant) -> Expiry {
    let mut version = node.version.subscribe();
    let mut last_answers = std::pin::pin!(node.last_answers());
    loop {
        let timeout = node
            .table()
            .and_then(|t| t.route(&route.host, &route.prefix).map(|r| r.timeout))
            .unwrap_or(route.timeout);
        tokio::select! {
            () = sleep_until(received + timeout) => return Expiry::RouteTimeout,
            () = &mut last_answers => return Expiry::Shutdown,
            _ = version.changed() => {}
        }
    }
}
