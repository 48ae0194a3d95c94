//! Directory entries fetched from a peer.

use std::time::Duration;

use kingcupfield_entry::snapshot;
use tokio::net::TcpListener;
use tokio::time::Instant;
use yare::parameterized;

struct StuckPeer {
    /// Revision that the instance has.
    after: u64,
    max_time: Duration,
}

/// A peer accepts connections and responds to nothing. The instance must ask another one before the
/// operator's bounds on a change have passed, and soon if it lacks only the latest changes.
#[parameterized(
    all_entries = { StuckPeer { after: 0, max_time: Duration::from_millis(1500) } },
    latest_changes = { StuckPeer { after: 7, max_time: Duration::from_millis(800) } },
)]
#[test_macro(tokio::test)]
async fn a_stuck_peer_is_given_up(case: StuckPeer) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let peer = listener.local_addr().expect("an address");
    let local = tokio::task::LocalSet::new();
    let started = Instant::now();
    let result = local.run_until(snapshot::fetch(peer, case.after)).await;
    assert!(result.is_err());
    assert!(
        started.elapsed() <= case.max_time,
        "{:?}",
        started.elapsed()
    );
}
