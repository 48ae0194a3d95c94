//! Uses the library without any process of its own: a platform, an engine and an entry instance
//! in one program, one question, one answer.
//!
//! Run it with `cargo run --example one_instance`.

use std::error::Error;
use std::fs;

use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use kingcupfield::client::Client;
use kingcupfield::instance::Instance;
use kingcupfield::settings::Settings;
use kingcupfield_standins::{Engine, EngineConfig, Platform, PlatformConfig};
use serde_json::{Value, json};

const KEY: &str = "north-sea-terminals-example-key";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let engine = Engine::start(EngineConfig::new()).await?;
    let platform = Platform::start(PlatformConfig::new()).await?;
    let table = fs::read_to_string("examples/harrowgate/table.json")?;
    platform.publish("table", 1, serde_json::from_str(&table)?);
    platform.publish("services", 1, services());
    platform.publish("instances", 1, instances(&engine.addr().to_string()));

    let cfg = settings(&platform.addr().to_string())?;
    let instance = Instance::start(&cfg).await?;
    let client = Client::new();
    let admin = instance.admin_listen().to_string();
    while !client
        .ask(Method::GET, &admin, "/readyz")
        .await?
        .status
        .is_success()
    {
        tokio::task::yield_now().await;
    }

    let address = instance.listen().to_string();
    let body = json!({
        "model": "drafting",
        "max_tokens": 8,
        "messages": [{"role": "user", "content": "Draft the crane schedule of berth 4."}],
    });
    let req = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::from(body.to_string()))?;
    let rsp = client.send(&address, req).await?;
    println!("{} {:?}", rsp.status(), rsp.headers().get("kingcup-ran"));
    let body = rsp.into_body().collect().await?.to_bytes();
    println!("{}", String::from_utf8_lossy(&body));

    instance.drain();
    instance.ended().await?;
    if let Some(dir) = cfg.key_secret_file.parent() {
        fs::remove_dir_all(dir)?;
    }
    Ok(())
}

fn services() -> Value {
    json!({"services": [{"service": "drafting", "kind": "model"}]})
}

fn instances(engine: &str) -> Value {
    let place = json!({"availability_zone": "north-sea", "region": "north-sea", "state": "live"});
    let mut entry = place.clone();
    entry["instance"] = json!("north-sea-1");
    entry["role"] = json!("entry");
    entry["address"] = json!("127.0.0.1:1");
    entry["rpc_address"] = json!("127.0.0.1:1");
    let mut upstream = place;
    upstream["instance"] = json!("drafting-1");
    upstream["role"] = json!("upstream");
    upstream["service"] = json!("drafting");
    upstream["address"] = json!(engine);
    json!({"instances": [entry, upstream]})
}

/// Settings with free ports; a secret file is written beside them.
fn settings(platform: &str) -> Result<Settings, Box<dyn Error>> {
    let dir = std::env::temp_dir().join(format!("one-instance-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    fs::write(dir.join("secret.key"), "only for this example")?;
    let settings = json!({
        "instance": "north-sea-1", "availability_zone": "north-sea", "region": "north-sea",
        "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "rpc_listen": "127.0.0.1:0",
        "platform": [platform], "key_secret_file": "secret.key",
    });
    let file = dir.join("settings.json");
    fs::write(&file, settings.to_string())?;
    Ok(Settings::read(&file)?)
}
