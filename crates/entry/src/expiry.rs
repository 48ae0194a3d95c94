//! How long a request may take here.

use std::rc::Rc;

use tokio::time::{Instant, sleep_until};

use crate::node::Node;
use crate::table::Route;

/// What ends the time of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Over {
    /// The route's time is over.
    Route,
    /// The process ends.
    Process,
}

/// Ends when the route's time is over, by what the table says at that moment, or when the process has
/// just time left to answer: a caller whose connection is closed instead knows neither whether its
/// request ran nor when to come back.
pub async fn time_over(node: &Rc<Node>, route: &Route, received: Instant) -> Over {
    let mut version = node.version.subscribe();
    let mut last_answers = std::pin::pin!(node.last_answers());
    loop {
        let timeout = node
            .table()
            .and_then(|t| t.route(&route.host, &route.prefix).map(|r| r.timeout))
            .unwrap_or(route.timeout);
        tokio::select! {
            () = sleep_until(received + timeout) => return Over::Route,
            () = &mut last_answers => return Over::Process,
            _ = version.changed() => {}
        }
    }
}
