//! An instance is paused by its machine for five seconds and wakes up, still acting on what it
//! knew before. Callers that wait on it get their answers late, or a refusal that is true; a grant
//! that lapsed meanwhile must not be used.

use std::time::Duration;

use tokio::time::sleep;

use crate::checks::check;
use crate::fleet::{Fleet, FleetConfig};
use crate::load::{Load, LoadConfig};

/// Length of the pause, longer than every lease.
const PAUSE: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_paused_instance_breaks_no_promise_when_it_wakes() {
    let fleet = Fleet::start(FleetConfig::seven()).await;
    let load = Load::start(&fleet, LoadConfig::new(12));
    load.wait_for_complete(100).await;
    let paused = &fleet.entries[0];
    paused.process.pause();
    sleep(PAUSE).await;
    paused.process.wake();
    load.wait_for_complete_in_zone(paused.zone, 100).await;
    let records = load.stop().await;
    check(&records, &fleet.runs().await);
}
