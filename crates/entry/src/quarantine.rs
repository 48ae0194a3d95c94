//! Refuses requests of which replicas crash, and tells the other instances of crashes and completions.
//!
//! Crashes are rare, so each instance tells all others at once. What several crashes have in common is
//! repeated to random instances for as long as it is remembered, for those that were away or lost a message.

mod message;
mod upkeep;

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use kingcupfield_decisions::crash_suspects::{CrashReport, Quarantine};
use kingcupfield_decisions::fingerprint::{self, Fingerprint};
use kingcupfield_decisions::id::ServiceId;
use tokio::time::{Instant, sleep};

use crate::age::time_before;
use crate::gossip;
use crate::log::Priority;
use crate::node::Node;
use crate::peers::PeerMessage;
use crate::refusal::{Refusal, RefusalKind};
use crate::tasks;

pub use message::{CrashMessage, CrashNews, completed_messages, crashed_messages};
pub use upkeep::Upkeep;

/// Shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for which crashes are collected before they are told: many replicas may crash together.
const COLLECT_TIME: Duration = Duration::from_millis(3);

/// Most parts of a prompt that are compared with those of other requests.
const MAX_PROMPT_PARTS: usize = 256;

/// What a request has in common with others, as far as replicas may crash of it.
pub fn fingerprints(
    node: &Node,
    service: &ServiceId,
    head: &Parts,
    body: &[u8],
) -> Vec<Fingerprint> {
    let method = head.method.as_str().as_bytes();
    let path = head.uri.path_and_query();
    let path = path.map_or(&b""[..], |path| path.as_str().as_bytes());
    let mut fields = node.protocol.work_headers(head);
    fields.extend([method, path, body]);
    let parts = node.protocol.prompt_parts(head).into_iter();
    let parts = parts.map(|part| fingerprint::of_prompt_part(service, part));
    let whole = fingerprint::of_request(service, fields);
    parts.take(MAX_PROMPT_PARTS).chain([whole]).collect()
}

/// Refuses a request that is quarantined and that this instance may not try either.
pub fn check(node: &Node, service: &ServiceId, head: &Parts, body: &[u8]) -> Result<(), Refusal> {
    if node.crash_suspects.borrow().is_empty() {
        return Ok(());
    }
    let fingerprints = fingerprints(node, service, head, body);
    let quarantine = node.crash_suspects.borrow().quarantine(&fingerprints);
    match quarantine {
        Some(quarantine) if !is_trial_due(node, &quarantine) => Err(refusal(&quarantine)),
        _ => Ok(()),
    }
}

/// Like [`check`], for a request that is sent if it is not refused. If it is the trial of what is
/// quarantined, no other one is sent until its end.
pub fn check_before_send(node: &Node, fingerprints: &[Fingerprint]) -> Result<(), Refusal> {
    let quarantine = node.crash_suspects.borrow().quarantine(fingerprints);
    let Some(quarantine) = quarantine else {
        return Ok(());
    };
    if is_trial_due(node, &quarantine) {
        let now = Instant::now();
        let mut suspects = node.crash_suspects.borrow_mut();
        if suspects.begin_trial(now, quarantine.fingerprint) {
            node.log.line(
                Priority::State,
                format_args!(
                    "event=quarantine_trial fingerprint={:x} crashes={}",
                    quarantine.fingerprint, quarantine.crashes
                ),
            );
            return Ok(());
        }
    }
    Err(refusal(&quarantine))
}

/// Whether the time for a trial by this instance has come.
fn is_trial_due(node: &Node, quarantine: &Quarantine) -> bool {
    let now = Instant::now();
    let own = node.settings().address().to_bits();
    let peers = node.peers.borrow();
    let others = peers.live(now).map(|p| p.address.to_bits());
    quarantine.may_try(now, own, others)
}

/// The refusal of a request that no replica has run.
fn refusal(quarantine: &Quarantine) -> Refusal {
    let reason = format!(
        "{} replicas crashed while they ran requests with fingerprint {:x}",
        quarantine.crashes, quarantine.fingerprint
    );
    let retry_after = quarantine
        .trial_at
        .saturating_duration_since(Instant::now());
    Refusal::new(RefusalKind::Quarantined)
        .with_message(reason)
        .with_retry_after(retry_after.max(MIN_RETRY_AFTER))
}

/// Records a crash that this instance has seen, and tells all others.
pub fn on_crash(node: &Rc<Node>, report: &CrashReport) {
    record_crash(node, report);
    let mut untold = node.untold_suspects.borrow_mut();
    if untold.is_empty() {
        tasks::spawn(node, "crash_report", |node| async move {
            sleep(COLLECT_TIME).await;
            tell_crashes(&node);
        });
    }
    untold.extend(report.suspects.iter().map(|s| s.fingerprint));
}

/// Tells all other instances of the crashes that they have not been told of.
fn tell_crashes(node: &Node) {
    let now = Instant::now();
    let mut untold = std::mem::take(&mut *node.untold_suspects.borrow_mut());
    untold.sort_unstable();
    untold.dedup();
    let history = node.crash_suspects.borrow().history(&untold);
    tell_all(node, now, crashed_messages(now, &history));
}

/// Sends messages to all other instances.
fn tell_all<M>(node: &Node, now: Instant, messages: M)
where
    M: IntoIterator<Item = CrashMessage>,
{
    let peers = node.peers.borrow();
    let all: Vec<Ipv4Addr> = peers.all_reachable(now).map(|p| p.address).collect();
    for message in messages {
        gossip::send_to(node, &PeerMessage::Crash(message), &all);
    }
}

/// Records that a request was completed, and tells all others if that clears a suspect.
pub fn on_completed(node: &Node, fingerprints: &[Fingerprint]) {
    let now = Instant::now();
    let cleared = node
        .crash_suspects
        .borrow_mut()
        .on_completed(now, fingerprints);
    if cleared.is_empty() {
        return;
    }
    log_cleared(node, &cleared);
    let completed: Vec<_> = cleared.into_iter().map(|f| (f, now)).collect();
    tell_all(node, now, completed_messages(now, &completed));
}

/// Applies a message of another instance.
pub fn on_message(node: &Node, message: CrashMessage) {
    let now = Instant::now();
    match message {
        CrashMessage::Crashed(news) => {
            for news in news {
                record_crash(node, &news.received(now));
            }
        }
        CrashMessage::Completed(completed) => {
            for (fingerprint, age_ms) in completed {
                let at = time_before(now, Duration::from_millis(age_ms.into()));
                let mut suspects = node.crash_suspects.borrow_mut();
                let cleared = suspects.on_completed(at, &[fingerprint]);
                drop(suspects);
                log_cleared(node, &cleared);
            }
        }
    }
}

fn record_crash(node: &Node, report: &CrashReport) {
    let begun = node.crash_suspects.borrow_mut().on_crash(report);
    for fingerprint in begun {
        node.log.line(
            Priority::State,
            format_args!("event=suspect_recurs fingerprint={fingerprint:x}"),
        );
    }
}

fn log_cleared(node: &Node, cleared: &[Fingerprint]) {
    for fingerprint in cleared {
        node.log.line(
            Priority::Low,
            format_args!("event=suspect_cleared fingerprint={fingerprint:x}"),
        );
    }
}
