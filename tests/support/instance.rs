//! Instances in the process of the test.

use std::fs;
use std::path::PathBuf;

use kingcupfield::instance::Instance;
use kingcupfield::settings::Settings;
use serde_json::{Value, json};

/// Secret that the instances of a test share.
pub const SECRET: &str = "a secret of tests, long enough to sign keys";

/// Starts an instance, whose files are named after the `test`. Its settings are those of instance `a` on free
/// ports, before a platform that is down, but for the fields of `differences`.
pub async fn start(test: &str, differences: Value) -> Instance {
    let mut settings = json!({
        "instance": "a", "availability_zone": "z", "region": "r", "listen": "127.0.0.1:0",
        "admin_listen": "127.0.0.1:0", "rpc_listen": "127.0.0.1:0", "platform": ["127.0.0.1:9"],
        "key_secret_file": "secret.key",
    });
    if let Value::Object(differences) = differences {
        for (field, value) in differences {
            settings[field] = value;
        }
    }
    let name = settings["instance"].as_str().expect("a name");
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{test}-{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    fs::write(dir.join("secret.key"), SECRET).expect("the secret");
    let path = dir.join("settings.json");
    fs::write(&path, settings.to_string()).expect("the settings");
    let cfg = Settings::read(&path).expect("valid settings");
    Instance::start(&cfg).await.expect("an instance")
}
