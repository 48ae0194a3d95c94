//! An upstream is taken out of service, by the platform's list or by its own load report. Its
//! requests end as usual, and after a few seconds it gets no new ones.

use std::time::Duration;

use kingcupfield_standins::journal::epoch_ms;
use serde_json::json;
use tokio::time::sleep;

use crate::checks::{check, check_none_cut};
use crate::fleet::{Fleet, FleetConfig};
use crate::load::{Load, LoadConfig};

/// From then on a leaving upstream gets no new work.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy)]
enum Source {
    List,
    LoadReport,
}

async fn no_new_work(source: Source, seed: u64) {
    let mut fleet = Fleet::start(FleetConfig::seven()).await;
    let load = Load::start(&fleet, LoadConfig::new(seed));
    load.wait_for_complete(100).await;
    let told_ms = epoch_ms();
    match source {
        Source::List => {
            fleet.upstreams[0].state = Some("leaving");
            fleet.publish_instances().await;
        }
        Source::LoadReport => {
            fleet
                .upstream_faults(&fleet.upstreams[0], &json!({"leaving": true}))
                .await;
        }
    }
    let leaving = fleet.upstreams[0].name.clone();
    sleep(NO_NEW_WORK_AFTER).await;
    load.wait_for_complete(200).await;
    let records = load.stop().await;
    let runs = fleet.runs().await;
    let after_ms = told_ms + NO_NEW_WORK_AFTER.as_millis() as u64;
    let mut at_leaver = runs
        .iter()
        .filter(|ran| ran.upstream == leaving)
        .map(|ran| ran.run.at_ms);
    assert!(
        at_leaver.clone().any(|at_ms| at_ms < told_ms),
        "the leaver never worked"
    );
    assert_eq!(
        at_leaver.find(|at_ms| *at_ms > after_ms),
        None,
        "new work at {leaving}"
    );
    check(&records, &runs);
    check_none_cut(&records);
}

#[tokio::test]
async fn a_leaver_on_the_list_gets_no_new_work() {
    no_new_work(Source::List, 16).await;
}

#[tokio::test]
async fn a_leaver_by_its_own_word_gets_no_new_work() {
    no_new_work(Source::LoadReport, 17).await;
}
