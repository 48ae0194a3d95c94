//! Acceptance, refusal and exchange of published values.

use std::time::Duration;

use kingcupfield_decisions::configuration::{
    Accepted, Configuration, ConfigurationMessage, Rejected, Row, START_WAIT, Source, ValueName,
};
use serde_json::{Value, json};
use tokio::time::Instant;
use yare::parameterized;

fn table(weight: u32) -> Value {
    json!({"tiers": [{"tier": "normal", "rank": 1, "weight": 3}, {"tier": "urgent", "rank": 0, "weight": 8}],
           "organisations": [
               {"organisation": "terminal-b", "weight": weight, "max_tier": "normal", "later_field": 1},
               {"organisation": "terminal-a", "weight": 2, "max_tier": "urgent", "key_sha256": ["AB".repeat(32)]}]})
}

fn services() -> Value {
    json!({"services": [{"service": "drafting", "kind": "model"},
                        {"service": "booking", "kind": "plain", "non_idempotent": ["POST /bookings"]}]})
}

fn entry(instance: &str) -> Value {
    json!({"instance": instance, "role": "entry", "availability_zone": "z", "region": "r",
           "address": "127.0.0.1:1", "rpc_address": "127.0.0.1:2", "state": "live"})
}

fn upstream(instance: &str) -> Value {
    json!({"instance": instance, "role": "upstream", "availability_zone": "z", "region": "r",
           "address": "127.0.0.1:3", "service": "drafting", "state": "live"})
}

fn instances(list: &[Value]) -> Value {
    json!({ "instances": list })
}

/// Configuration that has version 5 of all values in force.
fn started() -> Configuration {
    let mut cfg = Configuration::new(Instant::now());
    cfg.offer(ValueName::Table, 5, &table(1)).expect("valid");
    cfg.offer(ValueName::Services, 5, &services())
        .expect("valid");
    let list = instances(&[upstream("u1"), entry("e2"), entry("e1")]);
    cfg.offer(ValueName::Instances, 5, &list).expect("valid");
    cfg
}

/// A platform replica that was restored from an old copy answers with last week's table. If it were
/// accepted, a limit that the operator had lifted would apply again.
#[test]
fn an_older_version_is_refused() {
    let mut cfg = started();
    assert_eq!(
        cfg.offer(ValueName::Table, 5, &table(1)),
        Ok(Accepted::Unchanged(5))
    );
    assert_eq!(
        cfg.offer(ValueName::Table, 9, &table(4)),
        Ok(Accepted::Applied(9))
    );
    let older = Rejected::Older {
        held: 9,
        offered: 8,
    };
    assert_eq!(cfg.offer(ValueName::Table, 8, &table(1)), Err(older));
    let conflict = Err(Rejected::Conflict { version: 9 });
    assert_eq!(cfg.offer(ValueName::Table, 9, &table(1)), conflict);
    assert_eq!(
        cfg.table()
            .unwrap()
            .organisation("terminal-b")
            .unwrap()
            .weight,
        4
    );
}

/// An operator saves a table with several bad cells. No part of it may come into force, and all
/// faults must be reported together, so that one edit can correct them.
#[test]
fn a_faulty_table_is_refused_with_all_faults() {
    let mut cfg = started();
    let faulty = json!({"tiers": [{"tier": "urgent", "rank": 1, "weight": 0}, {"tier": "urgent", "rank": 1, "weight": 1}],
        "organisations": [
            {"organisation": "", "weight": 1, "max_tier": "urgent", "requests_per_s": -1.0, "tokens_per_s": 0.0, "max_running": 0},
            {"organisation": "b", "weight": 0, "max_tier": "gold", "key_sha256": ["secret"]}]});
    let Err(Rejected::Faulty { faults }) = cfg.offer(ValueName::Table, 6, &faulty) else {
        panic!("a faulty table came into force");
    };
    let found = faults.iter().map(|f| (f.row, f.column)).collect::<Vec<_>>();
    let expected = [
        (Row::EntireValue, "rank"),
        (Row::Tier(1), "weight"),
        (Row::Tier(2), "tier"),
        (Row::Tier(2), "rank"),
        (Row::Organisation(1), "organisation"),
        (Row::Organisation(1), "requests_per_s"),
        (Row::Organisation(1), "tokens_per_s"),
        (Row::Organisation(1), "max_running"),
        (Row::Organisation(2), "weight"),
        (Row::Organisation(2), "max_tier"),
        (Row::Organisation(2), "key_sha256"),
    ];
    assert_eq!(found, expected);
    assert!(faults.iter().all(|f| !f.to_string().contains("secret")));
    assert_eq!(cfg.version(ValueName::Table).unwrap().version, 5);
}

#[parameterized(
    not_an_object = { ValueName::Table, json!([]) },
    null = { ValueName::Table, Value::Null },
    no_tiers = { ValueName::Table, json!({"tiers": [], "organisations": []}) },
    wrong_type = { ValueName::Table, json!({"tiers": "x", "organisations": []}) },
    negative_rank = { ValueName::Table, json!({"tiers": [{"tier": "a", "rank": -1, "weight": 1}], "organisations": []}) },
    huge_rank = { ValueName::Table, json!({"tiers": [{"tier": "a", "rank": 256, "weight": 1}], "organisations": []}) },
    key_of_two = { ValueName::Table, json!({"tiers": [{"tier": "a", "rank": 0, "weight": 1}], "organisations": [
        {"organisation": "a", "weight": 1, "max_tier": "a", "key_sha256": ["ab".repeat(32)]},
        {"organisation": "b", "weight": 1, "max_tier": "a", "key_sha256": ["AB".repeat(32)]}]}) },
    service_twice = { ValueName::Services, json!({"services": [{"service": "a", "kind": "plain"}, {"service": "a", "kind": "plain"}]}) },
    unknown_kind = { ValueName::Services, json!({"services": [{"service": "a", "kind": "other"}]}) },
    call_without_method = { ValueName::Services, json!({"services": [{"service": "a", "kind": "plain", "non_idempotent": ["/x"]}]}) },
    call_with_extra_word = { ValueName::Services, json!({"services": [{"service": "a", "kind": "plain", "non_idempotent": ["POST /x y"]}]}) },
    instance_twice = { ValueName::Instances, instances(&[entry("a"), entry("a"), upstream("u")]) },
    no_entry = { ValueName::Instances, instances(&[upstream("u")]) },
    no_upstream = { ValueName::Instances, instances(&[entry("a")]) },
    empty = { ValueName::Instances, instances(&[]) },
    scheme = { ValueName::Instances, json!({"instances": [{"instance": "a", "role": "entry", "availability_zone": "z", "region": "r",
        "address": "http://127.0.0.1:1", "rpc_address": "127.0.0.1:2", "state": "live"}]}) },
)]
fn malformed_values_are_refused(name: ValueName, value: Value) {
    let mut cfg = started();
    let rejected = cfg.offer(name, 6, &value).expect_err("malformed");
    assert!(rejected.is_alarm() && !rejected.to_string().is_empty());
    assert_eq!(cfg.version(name).unwrap().version, 5);
}

#[test]
fn lookups_find_rows_by_name() {
    let cfg = started();
    let table = cfg.table().unwrap();
    assert_eq!(table.rank("normal"), Some(1));
    assert_eq!(&*table.lowest_tier().unwrap().tier, "normal");
    let hashes = table.key_hashes();
    assert_eq!(hashes[0].sha256, "ab".repeat(32));
    assert_eq!(&*hashes[0].organisation.organisation, "terminal-a");
    assert!(table.organisation("nobody").is_none());
    let list = cfg.instances().unwrap();
    let entries = list.entries("z").map(|i| &*i.instance).collect::<Vec<_>>();
    assert_eq!(entries, ["e1", "e2"]);
    assert_eq!(list.upstreams("drafting", "z").count(), 1);
    assert_eq!(list.upstreams("drafting", "y").count(), 0);
}

#[parameterized(
    exact = { "POST", "/bookings", true },
    below = { "POST", "/bookings/7", true },
    slash = { "POST", "/bookings/", true },
    query = { "POST", "/bookings?x=1", true },
    other_method = { "GET", "/bookings", false },
    longer_name = { "POST", "/bookings-list", false },
)]
fn non_idempotent_calls_are_recognised(method: &str, path: &str, expected: bool) {
    let services = started().services().unwrap();
    let booking = services.service("booking").unwrap();
    assert_eq!(booking.is_non_idempotent(method, path), expected);
}

/// An instance starts while the only platform replica that answers is a week behind, and a peer has
/// newer values. The instance must not serve any caller by the old table.
#[test]
fn a_starting_instance_uses_the_highest_version_of_platform_and_peers() {
    let now = Instant::now();
    let mut peer = started();
    peer.offer(ValueName::Table, 7, &table(9)).expect("valid");
    peer.record_answer(Source::Peer);
    for name in ValueName::ALL {
        peer.record_answer(Source::Platform(name));
    }
    assert!(peer.is_ready(now));

    let mut cfg = started();
    for name in ValueName::ALL {
        cfg.record_answer(Source::Platform(name));
    }
    assert!(!cfg.is_ready(now), "no peer has answered yet");
    let answer = peer.on_message(&cfg.announcement());
    for message in &answer.send {
        cfg.on_message(message);
    }
    assert!(cfg.is_ready(now));
    assert_eq!(cfg.version(ValueName::Table).unwrap().version, 7);
}

#[parameterized(
    platform_alone = { true, false },
    peer_alone = { false, true },
)]
fn a_start_ignores_a_source_that_does_not_answer(platform: bool, peer: bool) {
    let now = Instant::now();
    let mut cfg = started();
    if platform {
        for name in ValueName::ALL {
            cfg.record_answer(Source::Platform(name));
        }
    }
    if peer {
        cfg.record_answer(Source::Peer);
    }
    assert!(!cfg.is_ready(now + START_WAIT / 2));
    assert!(cfg.is_ready(now + START_WAIT + Duration::from_millis(1)));
}

#[test]
fn an_instance_without_any_answer_is_not_ready() {
    let mut cfg = started();
    assert!(!cfg.is_ready(Instant::now() + START_WAIT * 10));
}

/// Two peers have different contents under one version, for example after a restored platform was
/// edited again. They would differ forever, so this must raise an alarm.
#[test]
fn different_contents_under_one_version_raise_an_alarm() {
    let mut ours = started();
    let mut theirs = Configuration::new(Instant::now());
    theirs.offer(ValueName::Table, 5, &table(2)).expect("valid");
    let reply = ours.on_message(&theirs.announcement());
    assert_eq!(reply.rejected, Some(Rejected::Conflict { version: 5 }));
}

/// Only one instance can reach the platform. The others must receive an edit from it, including
/// fields that they do not know.
#[test]
fn a_value_is_sent_to_peers_with_unknown_fields() {
    let mut ahead = started();
    let mut behind = started();
    ahead.offer(ValueName::Table, 6, &table(7)).expect("valid");
    let question = behind.on_message(&ahead.announcement());
    assert_eq!(
        question.send[0],
        ConfigurationMessage::Ask {
            names: vec![ValueName::Table]
        }
    );
    let answer = ahead.on_message(&question.send[0]);
    let text = serde_json::to_string(&answer.send[0]).unwrap();
    assert!(text.contains("later_field"));
    let reply = behind.on_message(&serde_json::from_str(&text).unwrap());
    assert_eq!(reply.in_force, Some(ValueName::Table));
    assert_eq!(behind.versions(), ahead.versions());
}

#[parameterized(
    empty = { "" },
    null = { "null" },
    unknown_kind = { r#"{"shout":{}}"# },
    unknown_name = { r#"{"ask":{"names":["secrets"]}}"# },
    missing_version = { r#"{"give":{"name":"table","value":{}}}"# },
    version_is_text = { r#"{"give":{"name":"table","version":"7","value":{}}}"# },
    negative_version = { r#"{"give":{"name":"table","version":-1,"value":{}}}"# },
    cut = { r#"{"announce":{"versions":[{"name":"table""# },
    extra_field = { r#"{"announce":{"versions":[],"ready":true,"answer":false,"x":1}}"# },
)]
fn malformed_messages_are_refused_by_the_decoder(text: &str) {
    assert!(serde_json::from_str::<ConfigurationMessage>(text).is_err());
}
