//! A platform that comes back from a copy: versions of its list are given out again.

use std::sync::Arc;
use std::time::Duration;

use kingcupfield::fleet::Snapshot;
use kingcupfield::instance::Instance;
use kingcupfield::members::View;
use kingcupfield_decisions::configuration::ValueName;
use kingcupfield_standins::platform::{Platform, PlatformConfig};
use serde_json::{Value, json};
use tokio::time::timeout;

#[path = "support/instance.rs"]
mod instance;

/// Longest time until a change is in force that operators accept.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(3);

/// List of the instance and of upstreams with their states.
fn list(upstreams: &[(&str, &str)]) -> Value {
    let mut rows = vec![
        json!({"instance": "a", "role": "entry", "availability_zone": "z", "region": "r",
        "address": "127.0.0.1:9", "rpc_address": "127.0.0.1:9", "state": "live"}),
    ];
    rows.extend(upstreams.iter().map(|(name, state)| {
        json!({"instance": name, "role": "upstream", "service": "booking", "availability_zone": "z",
            "region": "r", "address": "127.0.0.1:9", "state": state})
    }));
    json!({"instances": rows})
}

fn table(requests_per_s: u32) -> Value {
    json!({"tiers": [{"tier": "urgent", "rank": 0, "weight": 1}],
        "organisations": [{"organisation": "o", "weight": 1, "max_tier": "urgent",
            "key_sha256": [format!("{:064x}", 1)], "requests_per_s": requests_per_s}]})
}

/// Whether a snapshot that meets the condition comes into force in time.
async fn comes_into_force<F>(instance: &Instance, condition: F) -> bool
where
    F: FnMut(&Arc<Snapshot>) -> bool,
{
    let mut snapshots = instance.shared().fleet.watch();
    timeout(MAX_CHANGE_TIME, snapshots.wait_for(condition))
        .await
        .is_ok()
}

/// Guards against a list that is ignored because its version was given out before, by a platform that was restored
/// from a copy. What was in force must not go back with the copy: neither the table, nor the word that an
/// upstream leaves.
#[tokio::test]
async fn a_list_after_a_restore_comes_into_force() {
    let platform = Platform::start(PlatformConfig::new())
        .await
        .expect("a platform");
    platform.publish(
        "services",
        1,
        json!({"services": [{"service": "booking", "kind": "plain"}]}),
    );
    platform.publish("table", 1, table(10));
    platform.publish("table", 2, table(20));
    platform.publish("instances", 1, list(&[("u-1", "live")]));
    platform.publish("instances", 2, list(&[("u-1", "leaving")]));
    platform.publish("instances", 3, list(&[("u-1", "leaving"), ("u-3", "live")]));
    let instance =
        instance::start("platform-restored", json!({"platform": [platform.addr()]})).await;
    assert!(comes_into_force(&instance, |s| s.instances.instance("u-3").is_some()).await);
    let mut view = instance.shared().members.watch();
    let leaves = |view: &Arc<View>| view.is_leaving(&"u-1".into());
    assert!(
        timeout(MAX_CHANGE_TIME, view.wait_for(leaves))
            .await
            .is_ok()
    );

    platform.restore(2);
    platform.publish("instances", 2, list(&[("u-1", "live"), ("u-2", "live")]));
    assert!(comes_into_force(&instance, |s| s.instances.instance("u-2").is_some()).await);
    let fleet = &instance.shared().fleet;
    assert_eq!(fleet.version(ValueName::Table), Some(2), "the table stays");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(leaves(&view.borrow()), "u-1 still leaves");
}
