//! An upstream dies in the middle of its streams. Callers that had part of an answer are told that
//! it broke and is not whole; the others are served elsewhere, and nothing is run a second time.

use crate::checks::check;
use crate::fleet::{Fleet, FleetConfig};
use crate::load::{Load, LoadConfig};
use crate::relay::Link;

#[tokio::test]
async fn a_dead_upstream_costs_only_the_streams_that_it_had() {
    let fleet = Fleet::start(FleetConfig::seven()).await;
    let load = Load::start(&fleet, LoadConfig::new(18).with_max_tokens(64));
    load.wait_for_complete(100).await;
    let dead = &fleet.upstreams[0];
    dead.relay.set(Link::Refusing);
    load.wait_for_complete_in_zone(dead.zone, 100).await;
    let lost_at_once = failed(&load);
    load.wait_for_complete_in_zone(dead.zone, 100).await;
    let lost_later = failed(&load) - lost_at_once;
    assert!(
        lost_later <= lost_at_once.max(5),
        "{lost_later} failed after the first 100 answers"
    );
    let records = load.stop().await;
    check(&records, &fleet.runs().await);
}

fn failed(load: &Load) -> usize {
    load.records()
        .iter()
        .filter(|record| !record.appears_complete())
        .count()
}
