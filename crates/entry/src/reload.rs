//! Reloads the settings while the process runs.
//!
//! The file may change with a SIGHUP or without one. Settings that can change in a running process
//! are applied; the others are logged and take effect at the next start. An invalid file changes
//! nothing.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::Signal;
use tokio::sync::Mutex;
use tokio::time::interval;

use crate::log::Priority;
use crate::node::Node;
use crate::settings::Settings;

/// Interval at which the modification time of the file is checked: a change of settings may wait
/// for seconds, and a check costs one system call.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Applies changed settings until the process ends.
pub async fn run(node: Rc<Node>, path: PathBuf, hup: Rc<Mutex<Signal>>) {
    let mut hup = hup.lock().await;
    let mut checks = interval(CHECK_INTERVAL);
    let mut applied_mtime = mtime(&path);
    loop {
        let signalled = tokio::select! {
            signal = hup.recv() => signal.is_some(),
            _ = checks.tick() => false,
        };
        let current_mtime = mtime(&path);
        if signalled || current_mtime != applied_mtime {
            applied_mtime = current_mtime;
            reload(&node, &path);
        }
    }
}

/// Modification time of the file, `None` if it can't be read.
fn mtime(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Reads the settings file and applies what has changed.
fn reload(node: &Node, path: &Path) {
    let cfg = match Settings::read(path) {
        Ok(cfg) => cfg,
        Err(e) => {
            let reason = e.to_string();
            node.log.line(
                Priority::State,
                format_args!("event=reload changed=false reason={reason:?}"),
            );
            return;
        }
    };
    let changed = node.settings().differences(&cfg);
    let (in_force, at_next_start): (Vec<&str>, Vec<&str>) = changed
        .iter()
        .partition(|field| Settings::RELOADABLE.contains(field));
    node.apply_settings(&cfg);
    node.refresh_replicas();
    node.log.line(
        Priority::State,
        format_args!(
            "event=reload changed={} in_force={} at_next_start={}",
            !changed.is_empty(),
            in_force.join(","),
            at_next_start.join(","),
        ),
    );
}
