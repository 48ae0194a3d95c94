//! Graceful shutdown as a state machine whose stages only advance: leaving, closing, shut, ended.
//!
//! If the process ended as soon as it found no active request, a request that arrived between that
//! check and the end would be lost: its replica has run it, and its caller gets no response. The
//! listener is therefore closed before the last check. From then on no connection is accepted, so the
//! number of open connections can only fall, and once it is zero nothing can be lost, however long the
//! rest of the shutdown takes. The check counts connections instead of requests, because a connection
//! is counted from its acceptance until the last byte of its response is passed to the system.

use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::log::Priority;
use crate::node::{Node, ProcessState};

/// Time from the stop signal to the close of idle connections. The load balancer needs two failed
/// readiness checks, one second apart, to stop sending requests.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2600);

/// Shortest time from the close of idle connections to that of the listener, for requests that the
/// load balancer sent just before it detected the stop.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(300);

/// The listener is closed at the latest this long before the process is killed, even if callers still
/// connect.
const SHUT_BEFORE_KILL: Duration = Duration::from_millis(750);

/// The instance refuses requests that have no response this long before the kill, so that time
/// remains to write the refusals.
const LAST_RESPONSES_BEFORE_KILL: Duration = Duration::from_millis(650);

/// The process ends at the latest this long before it is killed.
const END_BEFORE_KILL: Duration = Duration::from_millis(450);

// No connection is accepted after the last responses, which are written before the process ends.
const _: () = assert!(SHUT_BEFORE_KILL.as_millis() > LAST_RESPONSES_BEFORE_KILL.as_millis());
const _: () = assert!(LAST_RESPONSES_BEFORE_KILL.as_millis() > END_BEFORE_KILL.as_millis());

/// Stage in which the process reports that it is not ready and still serves all requests.
#[derive(Debug)]
pub struct Leaving;

/// Stage in which idle connections are closed and each new connection serves one request.
#[derive(Debug)]
pub struct Closing;

/// Stage in which the listener is closed and open connections are completed.
#[derive(Debug)]
pub struct Shut;

/// A shutdown in stage `S`.
#[derive(Debug)]
pub struct Shutdown<S> {
    node: Rc<Node>,
    /// Time at which the stop signal was received.
    started: Instant,
    /// Time from the stop signal to the kill, from the settings in force at the signal.
    grace: Duration,
    stage: PhantomData<S>,
}

impl Shutdown<Leaving> {
    /// Starts the shutdown.
    pub fn new(node: &Rc<Node>) -> Self {
        let started = Instant::now();
        let shutdown = Self {
            node: Rc::clone(node),
            started,
            grace: node.settings().grace(),
            stage: PhantomData,
        };
        log_stage(node, format_args!("event=stopping"));
        let last_responses = shutdown.before_kill(LAST_RESPONSES_BEFORE_KILL);
        node.response_deadline.set(Some(last_responses));
        node.dispatch.borrow_mut().set_finish_by(last_responses);
        node.process_state.send_replace(ProcessState::Leaving);
        shutdown
    }

    /// Waits until the load balancer has detected the stop, then closes idle connections.
    pub async fn close(self) -> Shutdown<Closing> {
        let detected = self.started + BALANCER_DETECTION_TIME;
        sleep_until(detected.min(self.before_kill(SHUT_BEFORE_KILL))).await;
        log_stage(&self.node, format_args!("event=closing"));
        self.node.dispatch.borrow_mut().set_closing();
        self.enter(ProcessState::Closing)
    }
}

impl Shutdown<Closing> {
    /// Closes the listener once no caller is connected, at the latest [`SHUT_BEFORE_KILL`] before the
    /// kill.
    ///
    /// `accepting` is the task that accepts connections; it completes after the last one.
    pub async fn shut(self, accepting: JoinHandle<()>) -> Shutdown<Shut> {
        let latest = self.before_kill(SHUT_BEFORE_KILL);
        sleep_until((Instant::now() + LISTENER_CLOSE_DELAY).min(latest)).await;
        self.wait_for_callers(latest).await;
        let shutdown = self.enter(ProcessState::Shut);
        if let Err(e) = accepting.await {
            log_stage(
                &shutdown.node,
                format_args!("event=accepting_failed reason={e:?}"),
            );
        }
        log_stage(&shutdown.node, format_args!("event=shut"));
        shutdown
    }
}

impl Shutdown<Shut> {
    /// Waits until the last connection has ended, at the latest [`END_BEFORE_KILL`] before the kill.
    pub async fn end(self) {
        self.wait_for_callers(self.before_kill(END_BEFORE_KILL))
            .await;
        // A connection that lacks only the rest of its response counts as cut as well.
        let cut = *self.node.open_connections.borrow();
        log_stage(&self.node, format_args!("event=stopped cut={cut}"));
    }
}

impl<S> Shutdown<S> {
    /// Waits until no caller is connected, at the latest until `latest`.
    async fn wait_for_callers(&self, latest: Instant) {
        let mut connections = self.node.open_connections.subscribe();
        // After a timeout the remaining connections are cut, and the log has their number.
        let _ = timeout_at(latest, connections.wait_for(|open| *open == 0)).await;
    }

    /// Returns the time that lies `margin` before the kill.
    fn before_kill(&self, margin: Duration) -> Instant {
        self.started + self.grace.saturating_sub(margin)
    }

    /// Advances to the next stage and notifies all tasks.
    fn enter<N>(self, stage: ProcessState) -> Shutdown<N> {
        self.node.process_state.send_replace(stage);
        Shutdown {
            node: self.node,
            started: self.started,
            grace: self.grace,
            stage: PhantomData,
        }
    }
}

/// Logs an event of the shutdown with the numbers of active requests, open connections and requests
/// received since the start.
fn log_stage(node: &Node, event: std::fmt::Arguments<'_>) {
    node.log.line(
        Priority::State,
        format_args!(
            "{event} active={} connections={} taken={}",
            node.active_requests.get(),
            *node.open_connections.borrow(),
            node.accepted_requests.get(),
        ),
    );
}
