//! The platform's configuration service goes down or falls back to old versions for long
//! stretches. Callers notice nothing: instances go on with what they last accepted.

use serde_json::json;

use crate::caller::Call;
use crate::checks::{check, check_none_cut};
use crate::fleet::{Entry, Fleet, FleetConfig, MODEL, key_of, organisation, table};
use crate::load::{Load, LoadConfig};
use crate::process::wait_for;

#[tokio::test]
async fn with_the_platform_down_everything_goes_on() {
    let fleet = Fleet::start(FleetConfig::seven()).await;
    fleet.platform_faults(&json!({"down": true})).await;
    let load = Load::start(&fleet, LoadConfig::new(14));
    load.wait_for_complete(400).await;
    let records = load.stop().await;
    check(&records, &fleet.runs().await);
    check_none_cut(&records);
}

/// Whether the instance takes a call with the key of an organisation.
async fn accepts(fleet: &Fleet, entry: usize, organisation: &str) -> bool {
    let call = Call::chat(MODEL, "hello", 1, false).with_key(&key_of(organisation));
    let reply = fleet.caller.call(fleet.entries[entry].addr, &call).await;
    reply.is_some_and(|reply| reply.status == 200)
}

/// Versions of the table that an instance has put into force, in order.
fn tables_in_force(entry: &Entry) -> Vec<u64> {
    let lines = entry.process.lines();
    let of_table = lines
        .iter()
        .filter(|line| line.contains("event=value_in_force") && line.contains("name=table"));
    let version = |line: &String| {
        let pairs = line
            .split_whitespace()
            .filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(name, _)| *name == "version");
        found.expect("a version").1.parse().expect("a number")
    };
    of_table.map(version).collect()
}

/// Whether an instance was offered an older table and refused it.
fn refused_a_table(entry: &Entry) -> bool {
    let lines = entry.process.lines();
    lines
        .iter()
        .any(|line| line.contains("event=value_refused") && line.contains("name=table"))
}

/// A new table is accepted everywhere; then each platform serves the one before it again, as a
/// lagging copy of it does. A caller whose organisation came with the new table stays welcome.
#[tokio::test]
async fn an_accepted_table_does_not_revert_to_an_older_one() {
    let fleet = Fleet::start(FleetConfig::seven()).await;
    let mut organisations = fleet.cfg.organisations.clone();
    organisations.push(organisation("newcomer"));
    fleet.publish("table", &table(&organisations)).await;
    for entry in 0..fleet.entries.len() {
        wait_for("the new table in force", async || {
            accepts(&fleet, entry, "newcomer").await
        })
        .await;
    }
    fleet.platform_faults(&json!({"versions_behind": 1})).await;
    let all_offered = async || fleet.entries.iter().all(offered_again);
    wait_for("every instance was offered the older table", all_offered).await;
    for (at, entry) in fleet.entries.iter().enumerate() {
        let versions = tables_in_force(entry);
        assert!(versions.is_sorted(), "{}: {versions:?}", entry.name);
        assert!(accepts(&fleet, at, "newcomer").await, "{}", entry.name);
    }
}

/// An instance that put the older table into force was offered it, too.
fn offered_again(entry: &Entry) -> bool {
    refused_a_table(entry) || !tables_in_force(entry).is_sorted()
}
