//! Two failures at once, as happens on a bad day: each is survived as if it were alone.

use serde_json::json;

use crate::checks::check;
use crate::fleet::{Fleet, FleetConfig};
use crate::load::{Load, LoadConfig};
use crate::relay::Link;

/// The platform is down when an instance dies, so the list goes on naming the dead one. Callers
/// in its zone are served by the others.
#[tokio::test]
async fn an_instance_dies_while_the_platform_is_down() {
    let mut fleet = Fleet::start(FleetConfig::seven()).await;
    fleet.platform_faults(&json!({"down": true})).await;
    let load = Load::start(&fleet, LoadConfig::new(41));
    load.wait_for_complete(100).await;
    let (zone, killed) = (fleet.entries[0].zone, fleet.entries[0].addr);
    fleet.entries[0].process.kill();
    fleet.entries[0].process.ended().await;
    load.remove_address(killed);
    load.wait_for_complete_in_zone(zone, 100).await;
    let records = load.stop().await;
    check(&records, &fleet.runs().await);
}

/// An upstream dies while an instance of the same zone is killed. Callers see the connections to
/// the dead instance break; the other instances and the other engine carry the zone.
#[tokio::test]
async fn an_upstream_and_an_instance_die_together() {
    let mut fleet = Fleet::start(FleetConfig::seven()).await;
    let load = Load::start(&fleet, LoadConfig::new(42).with_max_tokens(48));
    load.wait_for_complete(100).await;
    let (zone, killed) = (fleet.entries[1].zone, fleet.entries[1].addr);
    fleet.upstreams[1].relay.set(Link::Refusing);
    fleet.entries[1].process.kill();
    fleet.entries[1].process.ended().await;
    load.remove_address(killed);
    load.wait_for_complete_in_zone(zone, 100).await;
    let records = load.stop().await;
    check(&records, &fleet.runs().await);
}
