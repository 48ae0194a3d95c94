//! An engine answers 503 with `Retry-After`: it turns requests away and wants rest.

use std::time::Duration;

use kingcupfield_standins::journal::TurnedAway;
use serde_json::json;
use tokio::time::sleep;

use crate::checks::check;
use crate::fleet::{Fleet, FleetConfig};
use crate::load::{Load, LoadConfig, Requested};

/// Rest that the engine asks for, in seconds.
const REST_S: f64 = 3.0;

/// Time after a refusal in which requests that are under way may still arrive.
const UNDER_WAY_MS: u64 = 500;

/// Requests tolerated from one instance in a rest.
const TOLERATED_IN_REST: usize = 2;

/// Name of the instance that made a request id.
fn instance_of(request_id: &str) -> &str {
    request_id.rsplitn(3, '.').last().unwrap_or_default()
}

/// Largest number of requests of one instance within a rest that the engine had asked it for.
fn most_in_a_rest(turned_away: &[TurnedAway]) -> usize {
    let in_rest_of = |refused: &TurnedAway| {
        let rest = refused.at_ms + UNDER_WAY_MS..refused.at_ms + (REST_S * 1000.0) as u64;
        let same = turned_away.iter().filter(|other| {
            instance_of(&other.request_id) == instance_of(&refused.request_id)
                && rest.contains(&other.at_ms)
        });
        same.count()
    };
    turned_away.iter().map(in_rest_of).max().unwrap_or(0)
}

/// An engine turns all requests away and asks for rest. If instances kept sending, it would get more
/// work while it needs rest, and drafts that never ran would be reported as failed although other
/// engines are free.
#[tokio::test]
async fn an_engine_that_asks_for_rest_gets_it_and_no_draft_fails() {
    let fleet = Fleet::start(FleetConfig::seven()).await;
    let load = Load::start(&fleet, LoadConfig::new(35));
    load.wait_for_complete(100).await;
    let resting = fleet.engines()[0];
    let refuse = json!({"status": 503, "retry_after_s": REST_S});
    fleet.upstream_faults(resting, &refuse).await;
    sleep(Duration::from_secs_f64(REST_S * 2.5)).await;
    let runs_before = fleet.journal(resting).await.runs.len();
    fleet.upstream_faults(resting, &json!({})).await;
    sleep(Duration::from_secs_f64(REST_S * 2.0)).await;
    let records = load.stop().await;
    let journal = fleet.journal(resting).await;
    assert!(
        !journal.turned_away.is_empty(),
        "the engine refused nothing"
    );
    let most = most_in_a_rest(&journal.turned_away);
    assert!(most <= TOLERATED_IN_REST, "{most} requests in a rest");
    let failed = records.iter().filter(|record| {
        let is_chat = matches!(record.requested, Requested::Chat { .. });
        is_chat && !record.appears_complete()
    });
    assert_eq!(failed.count(), 0, "drafts failed while others are free");
    assert!(journal.runs.len() > runs_before, "no work after the rest");
    check(&records, &fleet.runs().await);
}
