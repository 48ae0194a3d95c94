//! Settings that change while the process runs.
//!
//! The file may change with a signal or without one. What can change in place does; the rest is
//! named in the log and holds from the next start. A file that can't be used changes nothing.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::Signal;
use tokio::time::interval;

use crate::log::Priority;
use crate::node::Node;
use crate::settings::Settings;

/// How often the file is looked at without a signal: a change of settings may wait for seconds, and
/// a look costs one call to the system.
const LOOK: Duration = Duration::from_secs(5);

/// Takes changed settings until the process ends.
pub async fn run(node: Rc<Node>, path: PathBuf, mut hup: Signal) {
    let mut looks = interval(LOOK);
    let mut seen = modified(&path);
    loop {
        let signalled = tokio::select! {
            told = hup.recv() => told.is_some(),
            _ = looks.tick() => false,
        };
        let now = modified(&path);
        if signalled || now != seen {
            seen = now;
            reload(&node, &path);
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

fn reload(node: &Node, path: &Path) {
    let cfg = match Settings::read(path) {
        Ok(cfg) => cfg,
        Err(e) => {
            let reason = e.to_string();
            node.log.line(
                Priority::High,
                format_args!("event=reload changed=false reason={reason:?}"),
            );
            return;
        }
    };
    let changed = node.settings().differences(&cfg);
    let (now, at_start): (Vec<&str>, Vec<&str>) = changed
        .iter()
        .partition(|field| Settings::RELOADABLE.contains(field));
    node.adjust(&cfg);
    node.log.line(
        Priority::High,
        format_args!(
            "event=reload changed={} in_force={} at_next_start={}",
            !changed.is_empty(),
            now.join(","),
            at_start.join(","),
        ),
    );
}
