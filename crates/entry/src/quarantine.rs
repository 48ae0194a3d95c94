//! Refuses requests of which replicas crash, and tells the other instances of crashes and completions.
//!
//! Crashes are rare, so each instance tells all others at once. What several crashes have in common is
//! repeated to random instances for as long as it is remembered, for those that were away or lost a message.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use http::request::Parts;
use kingcupfield_decisions::crash_suspects::{Crash, CrashReport, Quarantine, Suspect};
use kingcupfield_decisions::fingerprint::{self, Fingerprint};
use kingcupfield_decisions::id::{NameHash, ServiceId};
use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::log::Priority;
use crate::node::Node;
use crate::peers::PeerMessage;
use crate::refusal::{Refusal, RefusalKind};

/// Interval at which instances repeat what they know to others.
const REMINDER_INTERVAL: Duration = Duration::from_secs(1);

/// Instances that get each reminder. One that missed everything hears of it within three seconds in 99.7 of
/// 100 cases.
const REMINDED_INSTANCES: usize = 2;

/// Age up to which completions are part of reminders.
const COMPLETION_MEMORY: Duration = Duration::from_secs(30);

/// Time for which crashes are collected before they are told: many replicas may crash together.
const COLLECT_TIME: Duration = Duration::from_millis(3);

/// Most fingerprints in one datagram, so that it is not divided on the link.
const FINGERPRINTS_PER_DATAGRAM: usize = 100;

/// Most parts of a prompt that are compared with those of other requests.
const MAX_PROMPT_PARTS: usize = 256;

/// Most datagrams of one reminder to one instance.
const DATAGRAMS_PER_REMINDER: usize = 8;

/// A message about crashes of replicas.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CrashMessage {
    /// Replicas crashed while they ran these requests.
    Crashed(Vec<CrashNews>),
    /// Requests were completed that have these fingerprints, each with its age in milliseconds.
    Completed(Vec<(Fingerprint, u32)>),
}

/// A crash as one instance tells it to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CrashNews {
    /// Name hash of the replica.
    replica: NameHash,
    /// Start of the replica in Unix milliseconds.
    incarnation: u64,
    /// Milliseconds since the crash.
    age_ms: u32,
    /// What the requests have in common with others that the replica was running for the sender; for how many
    /// milliseconds the latest of them had been running; and whether a response had been arriving for a while.
    suspects: Vec<(Fingerprint, u32, bool)>,
}

impl CrashNews {
    fn new(now: Instant, report: &CrashReport) -> Self {
        let suspects = report.suspects.iter();
        let suspects = suspects.map(|s| (s.fingerprint, millis(s.ran_for), s.has_written));
        Self {
            replica: report.crash.replica,
            incarnation: report.crash.incarnation,
            age_ms: age_ms(now, report.crash.at),
            suspects: suspects.collect(),
        }
    }

    fn received(self, now: Instant) -> CrashReport {
        let suspects = self.suspects.into_iter();
        let suspects = suspects.map(|(fingerprint, ran_ms, has_written)| Suspect {
            fingerprint,
            has_written,
            ran_for: Duration::from_millis(u64::from(ran_ms)),
        });
        CrashReport {
            crash: Crash {
                replica: self.replica,
                incarnation: self.incarnation,
                at: time_before(now, self.age_ms),
            },
            suspects: suspects.collect(),
        }
    }
}

fn age_ms(now: Instant, at: Instant) -> u32 {
    millis(now.saturating_duration_since(at))
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn time_before(now: Instant, age_ms: u32) -> Instant {
    let age = Duration::from_millis(u64::from(age_ms));
    now.checked_sub(age).unwrap_or(now)
}

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
    match quarantine(node, &fingerprints) {
        Some(quarantine) if !is_trial_due(node, &quarantine) => Err(refusal(&quarantine)),
        _ => Ok(()),
    }
}

/// Like [`check`], for a request that is sent if it is not refused. If it is the trial of what is
/// quarantined, no other one is sent until its end.
pub fn check_before_send(node: &Node, fingerprints: &[Fingerprint]) -> Result<(), Refusal> {
    let Some(quarantine) = quarantine(node, fingerprints) else {
        return Ok(());
    };
    if is_trial_due(node, &quarantine) {
        let now = Instant::now();
        let mut suspects = node.crash_suspects.borrow_mut();
        if suspects.begin_trial(now, quarantine.fingerprint) {
            node.log.line(
                Priority::High,
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

fn quarantine(node: &Node, fingerprints: &[Fingerprint]) -> Option<Quarantine> {
    let suspects = node.crash_suspects.borrow();
    suspects.quarantine(Instant::now(), fingerprints)
}

/// Whether the time for a trial by this instance has come.
fn is_trial_due(node: &Node, quarantine: &Quarantine) -> bool {
    let others = node.peers.borrow().live(Instant::now());
    let own = node.settings().address().to_bits();
    quarantine.may_try(own, others.into_iter().map(Ipv4Addr::to_bits))
}

/// The refusal of a request that no replica has run.
fn refusal(quarantine: &Quarantine) -> Refusal {
    let reason = format!(
        "{} replicas crashed while they ran requests with fingerprint {:x}",
        quarantine.crashes, quarantine.fingerprint
    );
    Refusal::new(RefusalKind::Quarantined)
        .with_message(reason)
        .with_retry_after(quarantine.retry_after.max(REMINDER_INTERVAL))
}

/// Records a crash that this instance has seen, and tells all others.
pub fn on_crash(node: &Rc<Node>, report: &CrashReport) {
    record_crash(node, report);
    let mut untold = node.untold_suspects.borrow_mut();
    if untold.is_empty() {
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
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
    let all = node.peers.borrow().all_reachable(now);
    for message in crashed_messages(now, &history) {
        send(node, &all, &message);
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
    let completed = cleared.into_iter().map(|f| (f, 0)).collect();
    let all = node.peers.borrow().all_reachable(now);
    send(node, &all, &CrashMessage::Completed(completed));
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
                let mut suspects = node.crash_suspects.borrow_mut();
                let cleared = suspects.on_completed(time_before(now, age_ms), &[fingerprint]);
                drop(suspects);
                log_cleared(node, &cleared);
            }
        }
    }
}

fn record_crash(node: &Node, report: &CrashReport) {
    let mut suspects = node.crash_suspects.borrow_mut();
    let before = suspects.recurring_fingerprints().to_vec();
    suspects.on_crash(report);
    let recurring = suspects.recurring_fingerprints().iter().copied();
    let begun: Vec<Fingerprint> = recurring.filter(|f| !before.contains(f)).collect();
    drop(suspects);
    for fingerprint in begun {
        node.log.line(
            Priority::High,
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

/// What an instance does about crashes beside requests.
#[derive(Debug)]
pub struct Upkeep {
    checked_at: Instant,
}

impl Upkeep {
    /// Creates the state of an instance that starts.
    pub fn new(now: Instant) -> Self {
        Self { checked_at: now }
    }

    /// Forgets what is old and reminds other instances of the rest, if that is due.
    pub fn check(&mut self, node: &Node) {
        let now = Instant::now();
        let is_due = now.saturating_duration_since(self.checked_at) >= REMINDER_INTERVAL;
        if !is_due || node.crash_suspects.borrow().is_empty() {
            return;
        }
        self.checked_at = now;
        node.crash_suspects.borrow_mut().expire(now);
        let messages = reminders(node, now);
        for _ in 0..REMINDED_INSTANCES {
            let receiver = node.peers.borrow().random_live(now, rand::rng().random());
            for message in messages.iter().take(DATAGRAMS_PER_REMINDER) {
                send(node, receiver.as_slice(), message);
            }
        }
    }
}

/// Messages with what several crashes have in common, and with what was cleared lately.
fn reminders(node: &Node, now: Instant) -> Vec<CrashMessage> {
    let suspects = node.crash_suspects.borrow();
    let mut messages = crashed_messages(now, &suspects.reports());
    let since = now.checked_sub(COMPLETION_MEMORY).unwrap_or(now);
    let completed = suspects.cleared_since(since).into_iter();
    let completed: Vec<_> = completed.map(|(f, at)| (f, age_ms(now, at))).collect();
    let completed = completed.chunks(FINGERPRINTS_PER_DATAGRAM);
    messages.extend(completed.map(|part| CrashMessage::Completed(part.to_vec())));
    messages
}

/// Divides reports into messages.
fn crashed_messages(now: Instant, reports: &[CrashReport]) -> Vec<CrashMessage> {
    let mut messages = vec![Vec::new()];
    let mut room = FINGERPRINTS_PER_DATAGRAM;
    for report in reports {
        let mut news = CrashNews::new(now, report);
        let suspects = std::mem::take(&mut news.suspects);
        for part in suspects.chunks(FINGERPRINTS_PER_DATAGRAM) {
            if part.len() > room {
                messages.push(Vec::new());
                room = FINGERPRINTS_PER_DATAGRAM;
            }
            room -= part.len();
            let news = CrashNews {
                suspects: part.to_vec(),
                ..news.clone()
            };
            if let Some(last) = messages.last_mut() {
                last.push(news);
            }
        }
    }
    messages.retain(|news| !news.is_empty());
    messages.into_iter().map(CrashMessage::Crashed).collect()
}

fn send(node: &Node, to: &[Ipv4Addr], message: &CrashMessage) {
    let Ok(bytes) = rmp_serde::to_vec(&PeerMessage::Crash(message.clone())) else {
        return;
    };
    let bytes: Rc<[u8]> = bytes.into();
    let port = node.settings().peer_port;
    for address in to {
        let to = SocketAddr::from((*address, port));
        node.send_queue.push(Rc::clone(&bytes), to);
    }
}
