//! Published values that pass between instances and from the platform over slow links.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use kingcupfield::connector::Connector;
use kingcupfield::instance::Instance;
use kingcupfield_decisions::configuration::ValueName;
use kingcupfield_standins::platform::{Platform, PlatformConfig};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use relay::{Link, Relay};

#[path = "support/instance.rs"]
mod instance;
#[path = "support/relay.rs"]
mod relay;

/// Rows of a table of a megabyte, which takes four seconds over [`LINK_BYTES_PER_S`], and more in base64.
const ROWS: usize = 5400;

/// Speed of a slow link: 2 Mbit/s.
const LINK_BYTES_PER_S: u32 = 250_000;

/// Longest time until an instance behind such a link has the table.
const MAX_START_TIME: Duration = Duration::from_secs(10);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn table(rows: usize) -> Value {
    let row = |n: usize| {
        json!({"organisation": format!("o-{n}"), "weight": 1, "max_tier": "urgent",
            "key_sha256": [format!("{n:064x}")], "requests_per_s": 50, "tokens_per_s": 20000, "max_running": 40})
    };
    let organisations: Vec<Value> = (0..rows).map(row).collect();
    json!({"tiers": [{"tier": "urgent", "rank": 0, "weight": 1}], "organisations": organisations})
}

/// List of the first instance alone.
fn instances(rpc: SocketAddr) -> Value {
    json!({"instances": [{"instance": "a", "role": "entry", "availability_zone": "z", "region": "r",
        "address": "127.0.0.1:9", "rpc_address": rpc.to_string(), "state": "live"}]})
}

/// Guards against a starting instance that never gets a large table from a contact: the answer had a fixed
/// time, however large it was.
#[tokio::test]
async fn a_starting_instance_gets_a_large_table_over_a_slow_link() {
    let platform = Platform::start(PlatformConfig::new())
        .await
        .expect("a platform");
    let reader_rpc = free_address();
    let to_reader = Relay::start(reader_rpc).await;
    to_reader.set(Link::Slow(LINK_BYTES_PER_S));
    platform.publish("table", 1, table(ROWS));
    platform.publish("services", 1, json!({"services": []}));
    platform.publish("instances", 1, instances(to_reader.addr()));
    let differences = json!({"rpc_listen": reader_rpc, "platform": [platform.addr()]});
    let reader = instance::start("slow-links", differences).await;
    assert!(has_table(&reader).await, "the first one reads it");
    let differences = json!({"instance": "b", "peers": [to_reader.addr()]});
    let starting = instance::start("slow-links", differences).await;
    assert!(has_table(&starting).await);
}

/// Waits until an instance has the table in force, at most [`MAX_START_TIME`].
async fn has_table(instance: &Instance) -> bool {
    let until = Instant::now() + MAX_START_TIME;
    while instance.shared().fleet.version(ValueName::Table).is_none() {
        if Instant::now() >= until {
            return false;
        }
        sleep(Duration::from_millis(50)).await;
    }
    true
}

/// Guards against a large value that is never read from the platform: its transfer took longer than the
/// time for the call.
#[tokio::test]
async fn a_large_answer_is_read_over_a_slow_link() {
    let platform = Platform::start(PlatformConfig::new())
        .await
        .expect("a platform");
    platform.publish("table", 1, table(ROWS));
    let relay = Relay::start(platform.addr()).await;
    relay.set(Link::Slow(LINK_BYTES_PER_S));
    let uri = format!("http://{}/v1/values/table", relay.addr());
    let req = http::Request::get(uri).body(http_body_util::Full::default());
    let connector = Connector::new();
    let answer = connector.fetch(
        req.expect("a request"),
        2 * 1024 * 1024,
        Duration::from_millis(500),
    );
    let body = answer.await.expect("an answer").into_body();
    assert!(serde_json::from_slice::<Value>(&body).is_ok());
}
