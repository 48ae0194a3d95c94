//! An instance is killed while requests wait on it. Its callers see their connections break and
//! send again elsewhere; nobody else notices, and no booking is made twice.

use crate::checks::check;
use crate::fleet::{Fleet, FleetConfig};
use crate::load::{Load, LoadConfig};

#[tokio::test]
async fn a_killed_instance_loses_only_what_waited_on_it() {
    let mut fleet = Fleet::start(FleetConfig::seven()).await;
    let load = Load::start(&fleet, LoadConfig::new(11));
    load.wait_for_complete(100).await;
    let killed = fleet.entries[0].addr;
    fleet.entries[0].process.kill();
    fleet.entries[0].process.ended().await;
    load.wait_for_complete(100).await;
    load.remove_address(killed);
    fleet.entries[0].state = None;
    fleet.publish_instances().await;
    load.wait_for_complete_in_zone("north-sea", 100).await;
    let records = load.stop().await;
    check(&records, &fleet.runs().await);
}
