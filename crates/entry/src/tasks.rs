//! Tasks of an instance: what happens if one of them panics, or ends before the process does.
//!
//! The runtime drops a task that panics and goes on without it. An instance that lost the task that follows
//! the directory would keep its old view and still look sound, so every end is logged and counted. A task that
//! the instance depends on is started again, and the instance is not ready until it runs.

use std::any::Any;
use std::cell::RefCell;
use std::panic::{self, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use tokio::task::{JoinError, JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::log::Priority;
use crate::node::{Node, ProcessState};

/// Name of a task in logs and metrics.
pub type TaskName = &'static str;

/// Pause before a task that has ended is started again, so that one that panics at once leaves processor
/// time to the others.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a task that was started again has to run until the instance is ready again.
const STABLE_TIME: Duration = Duration::from_secs(2);

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

/// Calls a function; returns a text if it panics.
pub fn catch_panic_in<F, T>(function: F) -> Result<T, String>
where
    F: FnOnce() -> T,
{
    panic::catch_unwind(AssertUnwindSafe(function)).map_err(|payload| panic_text(&*payload))
}

/// Starts a task that does one thing and ends; a panic is logged.
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

/// Runs a task until the instance has closed its listener, and starts it again if it ends before. The
/// instance is not ready while the task does not run.
pub async fn supervise<S, F>(node: Rc<Node>, name: TaskName, start: S)
where
    S: Fn(Rc<Node>) -> F,
    F: Future<Output = ()> + 'static,
{
    // Held from a failure until the task has run for a while again.
    let mut _outage = None;
    loop {
        let mut task = spawn_local(start(Rc::clone(&node)));
        let ended = if let Ok(ended) = timeout(STABLE_TIME, &mut task).await {
            ended
        } else {
            _outage = None;
            task.await
        };
        if ended.is_ok() && node.process_state() >= ProcessState::Shut {
            return;
        }
        log_failure(&node, name, &end_text(ended));
        _outage = Some(Outage::new(&node));
        sleep(RESTART_PAUSE).await;
    }
}

/// Why a task has ended.
fn end_text(ended: Result<(), JoinError>) -> String {
    match ended.map_err(JoinError::try_into_panic) {
        Ok(()) => "ended".to_owned(),
        Err(Ok(payload)) => panic_text(&*payload),
        Err(Err(e)) => e.to_string(),
    }
}

/// Logs and counts a task that panicked or ended too soon.
pub fn log_failure(node: &Node, name: TaskName, reason: &str) {
    node.metrics.count_task_failure(name);
    node.log.line(
        Priority::State,
        format_args!("event=task_failed task={name} reason={reason:?}"),
    );
}

/// Keeps the instance from being ready until it is dropped.
#[derive(Debug)]
struct Outage(Rc<Node>);

impl Outage {
    fn new(node: &Rc<Node>) -> Self {
        node.failed_tasks.set(node.failed_tasks.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for Outage {
    fn drop(&mut self) {
        self.0.failed_tasks.set(self.0.failed_tasks.get() - 1);
    }
}
