//! What the log tells of a request: one line for each decision on it, with its id, what decided it
//! and how old that was.
//!
//! Lines of failures carry their cause themselves, because the lines of what went well before are
//! the first that are left out under load.

use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::id::UpstreamId;
use tokio::time::Instant;

use crate::adapter::RequestMeta;
use crate::exchange::Failure;
use crate::log::Priority;
use crate::metrics::Phase;
use crate::node::{Node, Place, Stage};
use crate::refusal::Refusal;
use crate::request::RequestContext;

/// A request was given a place and goes to a replica.
pub fn log_sent(node: &Node, ctx: &RequestContext, place: &Place) {
    let why = place.why;
    let organisation = ctx.organisation.as_ref().map_or("-", |o| &*o.name);
    node.log.line(
        Priority::Low,
        format_args!(
            "event=sent id={} replica={} service={} route={} organisation={organisation} table={} wait_ms={} try={} cost_ms={:.0} with_room={} own={} elsewhere={} elsewhere_age_ms={} cold={} credit_ms={} keeper={}",
            ctx.meta.attempt_id,
            place.upstream,
            ctx.service,
            ctx.route.name,
            node.table_version(),
            ctx.waited.as_millis(),
            ctx.tried.len() + 1,
            why.cost_ms,
            why.with_room,
            why.own,
            why.elsewhere,
            node.peers.borrow().oldest_word(Instant::now()).as_millis(),
            why.cold,
            ctx.charge.waited.as_millis(),
            ctx.charge.keeper.map_or("-".to_owned(), |k| k.to_string()),
        ),
    );
}

/// A send brought no answer of the replica.
pub fn log_send_failed(node: &Node, ctx: &RequestContext, replica: &UpstreamId, failure: Failure) {
    node.metrics.count_outcome(failure.as_str());
    node.log.line(
        Priority::High,
        format_args!(
            "event=send_failed id={} replica={replica} how={} runs={} after_ms={}",
            ctx.meta.attempt_id,
            failure.as_str(),
            ctx.runs,
            ctx.received.elapsed().as_millis(),
        ),
    );
}

/// The instance gives its own answer.
pub fn log_refused(node: &Node, meta: &RequestMeta, received: Instant, refusal: &Refusal) {
    let kind = refusal.kind.error_response().name;
    node.metrics.count_outcome(kind);
    node.log.line(
        Priority::High,
        format_args!(
            "event=refused id={} kind={kind} ran={} retry_after_ms={} after_ms={} table={} reason={:?}",
            meta.attempt_id,
            refusal.ran.as_str(),
            refusal.retry_after.unwrap_or_default().as_millis(),
            received.elapsed().as_millis(),
            node.table_version(),
            refusal.message,
        ),
    );
}

/// A replica's answer went out whole.
///
/// `first` is when the first byte of its body had come, `pause` the longest time between two events.
pub fn log_answered(
    node: &Node,
    ctx: &RequestContext,
    replica: &str,
    status: u16,
    first: Duration,
    pause: Duration,
) {
    let whole = ctx.received.elapsed();
    node.metrics.observe(Phase::Complete, whole);
    node.metrics.count_outcome("answered");
    // A replica's own failure is what its caller complains about.
    let priority = if status >= 500 {
        Priority::High
    } else {
        Priority::Low
    };
    node.log.line(
        priority,
        format_args!(
            "event=answered id={} replica={replica} status={status} runs={} route={} wait_ms={} first_ms={} pause_ms={} whole_ms={} prompt={} likely={}",
            ctx.meta.attempt_id,
            ctx.runs,
            ctx.route.name,
            ctx.waited.as_millis(),
            first.as_millis(),
            pause.as_millis(),
            whole.as_millis(),
            ctx.meta.prompt_tokens.unwrap_or(0),
            ctx.meta.expected_output_tokens.unwrap_or(0),
        ),
    );
}

/// A stream did not end whole at a replica, or goes on at another one.
pub fn log_stream_ended(
    node: &Node,
    ctx: &RequestContext,
    replica: &str,
    how: &'static str,
    last_event: Option<&str>,
) {
    node.metrics.count_outcome(how);
    node.log.line(
        Priority::High,
        format_args!(
            "event=stream_ended id={} how={how} replica={replica} after_ms={} runs={} last_event={last_event:?}",
            ctx.meta.attempt_id,
            ctx.received.elapsed().as_millis(),
            ctx.runs,
        ),
    );
}

/// Notices that a caller closes its connection before it was answered, or that the process ends: the
/// task that answers it is dropped then, in the middle of whatever it waits for.
#[derive(Debug)]
pub struct UnansweredGuard {
    node: Rc<Node>,
    id: String,
    received: Instant,
    /// Where the request stands, if it was sent.
    pub replica: Option<UpstreamId>,
    answered: bool,
}

impl UnansweredGuard {
    /// Starts to watch.
    pub fn new(node: &Rc<Node>, id: &str, received: Instant) -> Self {
        Self {
            node: Rc::clone(node),
            id: id.to_owned(),
            received,
            replica: None,
            answered: false,
        }
    }

    /// The request has its answer.
    pub fn end(mut self) {
        self.answered = true;
    }
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        // The tasks of a process that ends are dropped as well, and their callers have not left.
        let event = match self.node.stage() {
            Stage::Ended => "cut",
            _ => "caller_left",
        };
        self.node.metrics.count_outcome(event);
        let replica = self.replica.as_deref().unwrap_or("-");
        self.node.log.line(
            Priority::High,
            format_args!(
                "event={event} id={} replica={replica} after_ms={}",
                self.id,
                self.received.elapsed().as_millis(),
            ),
        );
    }
}
