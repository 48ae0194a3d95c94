//! Log lines and metrics of a request: one line per decision, with the request's id, the values that
//! the decision was based on and their age.
//!
//! A line about a failure contains its cause, because lines about successful steps are the first to
//! be dropped under load.

use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::fair_order::Standing;
use kingcupfield_decisions::id::UpstreamId;
use tokio::time::Instant;

use crate::adapter::RequestMeta;
use crate::exchange::SendFailure;
use crate::log::Priority;
use crate::metrics::Phase;
use crate::node::{Node, ProcessState, SlotGuard, Target};
use crate::refusal::Refusal;
use crate::request::RequestContext;

/// Logs that a request was assigned a slot and is sent to a replica.
pub fn log_sent(node: &Node, ctx: &RequestContext, target: &Target, slot: &SlotGuard) {
    let selection = slot.selection;
    let organisation = ctx.organisation.as_ref().map_or("-", |o| &*o.name);
    let work_time = work_time_fields(node, slot);
    node.log.line(
        Priority::Low,
        format_args!(
            "event=sent id={} replica={} service={} version={} resumes={} last_event={:?} route={} organisation={organisation} table={} wait_ms={} left_ms={} expected_ms={:.0} try={} cost_ms={:.0} with_room={} own={} elsewhere={} elsewhere_age_ms={} cold={} limit={} credit_ms={} keeper={}{}{work_time}",
            ctx.meta.attempt_id,
            slot.upstream,
            ctx.service,
            target.published.software_version,
            ctx.meta.resumed_attempt_id.as_deref().unwrap_or("-"),
            ctx.meta.last_event_id,
            ctx.route.name,
            node.table_version(),
            ctx.waited.as_millis(),
            ctx.time_to_deadline(node).as_millis(),
            selection.expected_ms,
            ctx.tried.len() + 1,
            selection.cost_ms,
            selection.replicas_with_room,
            selection.own_running,
            selection.remote_running,
            node.peers.borrow().max_report_age(Instant::now()).as_millis(),
            selection.is_cold,
            selection.limit_per_s.map_or("-".to_owned(), |l| l.to_string()),
            ctx.charge.waited.as_millis(),
            ctx.charge.coordinator.map_or("-".to_owned(), |k| k.to_string()),
            selection.usage.map_or_else(String::new, usage_fields),
        ),
    );
}

/// Fields for the stated work time of the chosen replica, where load figures are used.
fn work_time_fields(node: &Node, slot: &SlotGuard) -> String {
    if node.settings().scheduling.load_reports.is_none() {
        return String::new();
    }
    slot.selection.work_time.map_or_else(
        || " work_time=- work_time_age_ms=-".to_owned(),
        |(percent, age)| format!(" work_time={percent} work_time_age_ms={}", age.as_millis()),
    )
}

/// Fields of a log line about the usage of the request's organisation.
fn usage_fields(standing: Standing) -> String {
    format!(
        " usage={:.0} share={:.0} step={}",
        standing.usage_per_s, standing.share, standing.step
    )
}

/// Logs an attempt that ended without a response from the replica.
pub fn log_send_failed(
    node: &Node,
    ctx: &RequestContext,
    replica: &UpstreamId,
    failure: SendFailure,
) {
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

/// Logs a refusal: the instance responds itself.
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

/// Logs a response that was sent to the caller completely.
///
/// `first_byte` is the time from the receipt of the request to the first byte of the response body,
/// `max_event_gap` the longest time between two events.
pub fn log_answered(
    node: &Node,
    ctx: &RequestContext,
    replica: &str,
    status: u16,
    first_byte: Duration,
    max_event_gap: Duration,
) {
    let total = ctx.received.elapsed();
    node.metrics.observe(Phase::Complete, total);
    node.metrics.count_outcome("answered");
    // Callers report the failures of replicas, so their lines must not be dropped.
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
            first_byte.as_millis(),
            max_event_gap.as_millis(),
            total.as_millis(),
            ctx.meta.prompt_tokens.unwrap_or(0),
            ctx.meta.expected_output_tokens.unwrap_or(0),
        ),
    );
}

/// Logs a stream that ended before it was complete, or that was resumed at another replica.
///
/// `last_event_id` is the id of the last complete event.
pub fn log_stream_ended(
    node: &Node,
    ctx: &RequestContext,
    replica: &str,
    outcome: &'static str,
    last_event_id: Option<&str>,
) {
    node.metrics.count_outcome(outcome);
    let target = node.target(&replica.into());
    let version = target.map_or_else(|| "-".into(), |t| t.published.software_version.clone());
    node.log.line(
        Priority::High,
        format_args!(
            "event=stream_ended id={} how={outcome} replica={replica} version={version} route={} timeout_ms={} table={} after_ms={} runs={} last_event={last_event_id:?}",
            ctx.meta.attempt_id,
            ctx.route.name,
            ctx.route.timeout.as_millis(),
            node.table_version(),
            ctx.received.elapsed().as_millis(),
            ctx.runs,
        ),
    );
}

/// Logs a request whose task is dropped before it has a response: the caller closed its connection, or
/// the process ended.
#[derive(Debug)]
pub struct UnansweredGuard {
    node: Rc<Node>,
    id: String,
    received: Instant,
    /// Replica that the request was last sent to, if any.
    pub replica: Option<UpstreamId>,
    completed: bool,
}

impl UnansweredGuard {
    /// Creates a guard that logs the request when it is dropped, unless [`Self::end`] was called.
    pub fn new(node: &Rc<Node>, id: &str, received: Instant) -> Self {
        Self {
            node: Rc::clone(node),
            id: id.to_owned(),
            received,
            replica: None,
            completed: false,
        }
    }

    /// Ends the guard without a log line: the request has a response.
    pub fn end(mut self) {
        self.completed = true;
    }
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        if self.completed {
            return;
        }
        // Tasks are also dropped when the process ends; their callers are still connected then.
        let event = match self.node.process_state() {
            _ if std::thread::panicking() => "failed",
            ProcessState::Ended => "cut",
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
