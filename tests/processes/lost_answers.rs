//! A booking takes effect and its answer is lost on the way back. The caller is told that the
//! outcome is unknown, never that it was not run; sending the same key again books nothing twice.

use serde_json::json;
use yare::parameterized;

use crate::checks::check;
use crate::fleet::{Fleet, FleetConfig};
use crate::load::{Load, LoadConfig, Record, Requested};
use crate::process::wait_for;

fn unknown(records: &[Record]) -> usize {
    let bookings = records
        .iter()
        .filter(|record| matches!(record.requested, Requested::Booking { .. }));
    let replies = bookings.filter_map(|record| record.reply.as_ref());
    replies
        .filter(|reply| reply.ran() != "no" && reply.status != 200)
        .count()
}

#[parameterized(
    never_comes = { "lose_answer", 31 },
    breaks_off = { "break_answer", 32 },
)]
#[test_macro(tokio::test)]
async fn a_booking_whose_answer_is_lost_is_not_made_twice(fault: &str, seed: u64) {
    let fleet = Fleet::start(FleetConfig::small()).await;
    for service in fleet.services() {
        fleet
            .upstream_faults(service, &json!({ fault: true }))
            .await;
    }
    let load = Load::start(&fleet, LoadConfig::new(seed).with_timeout_ms(2_000));
    wait_for("bookings without an answer", async || {
        unknown(&load.records()) >= 20
    })
    .await;
    for service in fleet.services() {
        fleet.upstream_faults(service, &json!({})).await;
    }
    load.wait_for_complete(100).await;
    let records = load.stop().await;
    check(&records, &fleet.runs().await);
}
