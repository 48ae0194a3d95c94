//! The end of a process, in stages that only lead onward: it leaves, closes, listens no more, ends.
//!
//! A process that looked whether it has no request, and ended then, would drop the request that came
//! between the look and the end: its replica has run it, and its caller gets no answer. So the listener
//! is closed before the last look. From then on nothing comes in, the number of open connections only
//! falls, and a zero stays true: nothing is left that could be lost, however long the rest takes.
//! Connections are counted from the moment they are accepted until the last byte of their answer is
//! handed to the system, which requests are not.

use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::log::Priority;
use crate::node::{Node, Stage};

/// How long connections stay open after the order to stop: the balancer notices after two of its
/// questions, a second apart.
const BALANCER_NOTICES: Duration = Duration::from_millis(2600);

/// How long the listener stays open at least after idle connections were closed, for what the balancer
/// sent just before it noticed.
const LAST_COMERS: Duration = Duration::from_millis(300);

/// The listener is closed this long before the process would be killed, though callers still come.
const SHUT_BEFORE_KILL: Duration = Duration::from_millis(750);

/// Requests that have no answer by then get the instance's own, and time to write it is left.
const ANSWERED_BEFORE_KILL: Duration = Duration::from_millis(650);

/// The process ends this long before it would be killed.
const ENDS_BEFORE_KILL: Duration = Duration::from_millis(450);

// Nothing comes in after the last answers, and they are written before the end.
const _: () = assert!(SHUT_BEFORE_KILL.as_millis() > ANSWERED_BEFORE_KILL.as_millis());
const _: () = assert!(ANSWERED_BEFORE_KILL.as_millis() > ENDS_BEFORE_KILL.as_millis());

/// Says that it is not ready, and still answers what comes.
#[derive(Debug)]
pub struct Leaving;

/// Has closed its idle connections, and answers one request on each new one.
#[derive(Debug)]
pub struct Closing;

/// Takes no connection any more.
#[derive(Debug)]
pub struct Shut;

/// A process that was told to stop.
#[derive(Debug)]
pub struct Stop<S> {
    node: Rc<Node>,
    began: Instant,
    /// Time from the order to the kill, as the settings said when the order came.
    grace: Duration,
    stage: PhantomData<S>,
}

impl Stop<Leaving> {
    /// Begins to stop.
    pub fn new(node: &Rc<Node>) -> Self {
        let began = Instant::now();
        let stop = Self {
            node: Rc::clone(node),
            began,
            grace: node.settings().grace(),
            stage: PhantomData,
        };
        tell(node, format_args!("event=stopping"));
        node.answers_by
            .set(Some(stop.before_kill(ANSWERED_BEFORE_KILL)));
        node.stage.send_replace(Stage::Leaving);
        stop
    }

    /// Closes idle connections once the balancer has noticed.
    pub async fn close(self) -> Stop<Closing> {
        let noticed = self.began + BALANCER_NOTICES;
        sleep_until(noticed.min(self.before_kill(SHUT_BEFORE_KILL))).await;
        tell(&self.node, format_args!("event=closing"));
        self.enter(Stage::Closing)
    }
}

impl Stop<Closing> {
    /// Closes the listener as soon as no caller has a connection, or when time is running out.
    ///
    /// `accepting` ends when the last connection was accepted.
    pub async fn shut(self, accepting: JoinHandle<()>) -> Stop<Shut> {
        let latest = self.before_kill(SHUT_BEFORE_KILL);
        sleep_until((Instant::now() + LAST_COMERS).min(latest)).await;
        self.wait_for_callers(latest).await;
        let stop = self.enter(Stage::Shut);
        if let Err(e) = accepting.await {
            tell(
                &stop.node,
                format_args!("event=accepting_failed reason={e:?}"),
            );
        }
        tell(&stop.node, format_args!("event=shut"));
        stop
    }
}

impl Stop<Shut> {
    /// Ends when the last connection has ended.
    pub async fn end(self) {
        self.wait_for_callers(self.before_kill(ENDS_BEFORE_KILL))
            .await;
        // A connection counts that has all but the rest of its answer: that is cut too.
        let cut = *self.node.connections.borrow();
        tell(&self.node, format_args!("event=stopped cut={cut}"));
    }
}

impl<S> Stop<S> {
    /// Waits until no caller has a connection, but not beyond `latest`.
    async fn wait_for_callers(&self, latest: Instant) {
        let mut connections = self.node.connections.subscribe();
        // Beyond that time what is left is cut, which the log tells.
        let _ = timeout_at(latest, connections.wait_for(|open| *open == 0)).await;
    }

    fn before_kill(&self, margin: Duration) -> Instant {
        self.began + self.grace.saturating_sub(margin)
    }

    fn enter<N>(self, stage: Stage) -> Stop<N> {
        self.node.stage.send_replace(stage);
        Stop {
            node: self.node,
            began: self.began,
            grace: self.grace,
            stage: PhantomData,
        }
    }
}

/// Tells the log of a stage, with what the process has of its callers.
fn tell(node: &Node, event: std::fmt::Arguments<'_>) {
    node.log.line(
        Priority::High,
        format_args!(
            "{event} active={} connections={} taken={}",
            node.active.get(),
            *node.connections.borrow(),
            node.taken.get(),
        ),
    );
}
