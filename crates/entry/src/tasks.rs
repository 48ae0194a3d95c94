//! Tasks of an instance: what happens if one of them panics, or ends before the process does.
//!
//! The runtime drops a task that panics and goes on without it. An instance that lost the task that follows
//! the directory would keep its old view and still look sound, so every panic is logged and counted.

use std::any::Any;
use std::cell::RefCell;
use std::panic::{self, AssertUnwindSafe};
use std::rc::Rc;

use futures::FutureExt as _;
use tokio::task::{JoinHandle, spawn_local};

use crate::log::Priority;
use crate::node::Node;

/// Name of a task in logs and metrics.
pub type TaskName = &'static str;

thread_local! {
    /// Message and place of the last panic of this thread.
    static LAST_PANIC: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// Keeps the message and place of each panic for the log, beside printing it to standard error.
pub fn record_panics() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        LAST_PANIC.set(Some(info.to_string()));
        print(info);
    }));
}

/// The last panic of this thread as text; `payload` is what it panicked with.
fn panic_text(payload: &(dyn Any + Send)) -> String {
    let message = || {
        let text = payload.downcast_ref::<&str>().map(ToString::to_string);
        text.or_else(|| payload.downcast_ref::<String>().cloned())
    };
    let recorded = LAST_PANIC.take();
    recorded
        .or_else(message)
        .unwrap_or_else(|| "panicked".to_owned())
}

/// Completes with the output of a future, or with a text if it panics.
pub async fn catch_panic<F>(future: F) -> Result<F::Output, String>
where
    F: Future,
{
    let caught = AssertUnwindSafe(future).catch_unwind().await;
    caught.map_err(|payload| panic_text(&*payload))
}

/// Starts a task; a panic is logged.
pub fn spawn<S, F>(node: &Rc<Node>, name: TaskName, start: S) -> JoinHandle<()>
where
    S: FnOnce(Rc<Node>) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let node = Rc::clone(node);
    spawn_local(async move {
        if let Err(reason) = catch_panic(start(Rc::clone(&node))).await {
            log_failure(&node, name, &reason);
        }
    })
}

/// Logs and counts a task that panicked or ended too soon.
pub fn log_failure(node: &Node, name: TaskName, reason: &str) {
    node.metrics.count_task_failure(name);
    node.log.line(
        Priority::State,
        format_args!("event=task_failed task={name} reason={reason:?}"),
    );
}
