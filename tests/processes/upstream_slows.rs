//! An engine slows down to a twentieth of its speed without a word, and its load report shows
//! nothing. Callers notice a few slow answers; then the work goes to the other engine.

use serde_json::json;

use crate::checks::{check, check_none_cut};
use crate::fleet::{Fleet, FleetConfig, MODEL};
use crate::load::{Load, LoadConfig};

#[tokio::test]
async fn a_slow_engine_gets_little_new_work() {
    let fleet = Fleet::start(FleetConfig::small()).await;
    let load = Load::start(&fleet, LoadConfig::new(19));
    load.wait_for_complete(200).await;
    let slow = fleet.upstreams[0].name.clone();
    fleet
        .upstream_faults(&fleet.upstreams[0], &json!({"slowdown": 20.0}))
        .await;
    load.wait_for_complete(200).await;
    let before = fleet.runs().await.len();
    load.wait_for_complete(300).await;
    let records = load.stop().await;
    let runs = fleet.runs().await;
    let later: Vec<_> = runs.iter().filter(|ran| ran.service == MODEL).collect();
    let mut by_time = later.clone();
    by_time.sort_by_key(|ran| ran.run.at_ms);
    let last = &by_time[by_time.len() - (runs.len() - before).min(200)..];
    let at_slow = last.iter().filter(|ran| ran.upstream == slow).count();
    assert!(
        at_slow * 5 < last.len(),
        "{at_slow} of {} went to the slow engine",
        last.len()
    );
    check(&records, &runs);
    check_none_cut(&records);
}
