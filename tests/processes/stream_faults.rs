//! Streams break in the middle, chunks are lost, sent twice or belong to another request, and an
//! answer ends as if it were complete. Callers notice nothing: the rest is fetched from where the
//! answer stood, on the same engine.

use serde_json::json;
use yare::parameterized;

use crate::checks::{check, check_none_cut};
use crate::fleet::{Fleet, FleetConfig};
use crate::load::{Load, LoadConfig};

#[parameterized(
    broken = { "break", 21 },
    cut_short = { "end_short", 22 },
    crossed = { "cross", 23 },
    duplicated = { "duplicate", 24 },
    skipped = { "skip", 25 },
)]
#[test_macro(tokio::test)]
async fn answers_stay_whole(fault: &str, seed: u64) {
    let fleet = Fleet::start(FleetConfig::small()).await;
    let faults = json!({"stream": {"kind": fault, "after": 3, "times": 60}});
    for engine in fleet.engines() {
        fleet.upstream_faults(engine, &faults).await;
    }
    let load = Load::start(&fleet, LoadConfig::new(seed));
    load.wait_for_complete(200).await;
    let records = load.stop().await;
    check(&records, &fleet.runs().await);
    check_none_cut(&records);
}
