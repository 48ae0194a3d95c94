//! Tells the crash of a replica from a connection that broke.
//!
//! A replica that crashes ends all its connections, and new ones to it are refused. One connection is
//! therefore opened after requests broke off. If it opens, the replica is alive, and the connection is kept
//! for the next request.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use kingcupfield_decisions::crash_suspects::{Crash, CrashReport, LONG_RESPONSE, Suspect};
use kingcupfield_decisions::fingerprint::Fingerprint;
use kingcupfield_decisions::id::{UpstreamId, name_hash};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::log::Priority;
use crate::node::{Node, Target};
use crate::pool;
use crate::quarantine;
use crate::tasks;

/// Time from the first broken request until a connection is opened: the other requests break meanwhile, and
/// a process that is ending closes its listening socket.
const CHECK_DELAY: Duration = Duration::from_millis(10);

/// Most connections that one check opens.
const MAX_CONNECTIONS: usize = 3;

/// Time for which requests that break at a crashed replica are counted to the same crash.
const CRASH_MEMORY: Duration = Duration::from_secs(1);

/// A request that broke off at a replica.
#[derive(Debug, Clone)]
pub struct BrokenRequest {
    /// Id of the caller's attempt.
    pub attempt_id: String,
    /// What it has in common with others.
    pub fingerprints: Vec<Fingerprint>,
    /// When it was sent to the replica.
    pub sent_at: Instant,
    /// When the first event of the replica's response arrived.
    pub first_event_at: Option<Instant>,
}

/// The requests that broke off at one incarnation of a replica at one time.
#[derive(Debug)]
struct Breakage {
    replica: UpstreamId,
    incarnation: u64,
    broken_at: Instant,
    requests: Vec<BrokenRequest>,
    /// Whether it is known by now if the replica crashed.
    checked_tx: watch::Sender<bool>,
}

/// Requests that broke off lately.
#[derive(Debug, Default)]
pub struct CrashWatch {
    breakages: RefCell<Vec<Breakage>>,
}

impl CrashWatch {
    /// Adds a request to a breakage that is known; returns it if there is none.
    fn add(&self, target: &Target, request: BrokenRequest) -> Result<Added, BrokenRequest> {
        let now = Instant::now();
        let mut breakages = self.breakages.borrow_mut();
        breakages.retain(|b| !*b.checked_tx.borrow() || now < b.broken_at + CRASH_MEMORY);
        let Some(breakage) = breakages.iter_mut().find(|b| b.is_at(target)) else {
            return Err(request);
        };
        if *breakage.checked_tx.borrow() {
            return Ok(Added::AfterCheck(breakage.broken_at, request));
        }
        breakage.requests.push(request);
        Ok(Added::BeforeCheck)
    }

    /// Ends the check of a breakage, and returns when it began, and its requests. One that was no crash is
    /// forgotten, as another one may follow. Those who wait for the end of the check run only after the
    /// caller has recorded the crash, as both are on one thread.
    fn end_check(&self, target: &Target, crashed: bool) -> Option<(Instant, Vec<BrokenRequest>)> {
        let mut breakages = self.breakages.borrow_mut();
        let index = breakages.iter().position(|b| b.is_at(target))?;
        breakages[index].checked_tx.send_replace(true);
        let broken_at = breakages[index].broken_at;
        let requests = std::mem::take(&mut breakages[index].requests);
        if !crashed {
            breakages.remove(index);
        }
        Some((broken_at, requests))
    }

    /// Completes when no check of the replica is in progress.
    pub async fn checked(&self, target: &Target) {
        let checked_rx = {
            let breakages = self.breakages.borrow();
            let breakage = breakages.iter().find(|b| b.is_at(target));
            breakage.map(|b| b.checked_tx.subscribe())
        };
        if let Some(mut checked_rx) = checked_rx {
            // The sender is dropped after a check that found no crash.
            let _ = checked_rx.wait_for(|checked| *checked).await;
        }
    }
}

impl Breakage {
    fn is_at(&self, target: &Target) -> bool {
        self.replica == target.published.id && self.incarnation == target.published.start_unix_ms
    }
}

/// What became of a request that was added to a breakage.
enum Added {
    /// The check is in progress and counts it.
    BeforeCheck,
    /// The replica is known to have crashed at this time.
    AfterCheck(Instant, BrokenRequest),
}

/// Records that a request broke off at a replica, and finds out whether the replica has crashed.
pub fn on_broken(node: &Rc<Node>, target: &Rc<Target>, request: BrokenRequest) {
    match node.crash_watch.add(target, request) {
        Ok(Added::BeforeCheck) => {}
        Ok(Added::AfterCheck(crashed_at, request)) => {
            on_crash(node, target, crashed_at, &[request]);
        }
        Err(request) => start_check(node, target, request),
    }
}

/// Whether a response that ended with its connection was cut short by a crash of the replica: its other
/// connections have ended as well, and new ones are refused.
pub async fn ended_by_crash(node: &Node, target: &Target) -> bool {
    sleep(CHECK_DELAY).await;
    !target.pool.has_idle(Instant::now()) && has_crashed(node, target).await
}

/// Starts the check of a replica at which a first request broke off.
fn start_check(node: &Rc<Node>, target: &Rc<Target>, request: BrokenRequest) {
    node.crash_watch.breakages.borrow_mut().push(Breakage {
        replica: target.published.id.clone(),
        incarnation: target.published.start_unix_ms,
        broken_at: Instant::now(),
        requests: vec![request],
        checked_tx: watch::Sender::new(false),
    });
    let target = Rc::clone(target);
    tasks::spawn(node, "crash_check", |node| async move {
        sleep(CHECK_DELAY).await;
        let crashed = has_crashed(&node, &target).await;
        if let Some((broken_at, requests)) = node.crash_watch.end_check(&target, crashed)
            && crashed
        {
            node.metrics.count_replica_crash();
            on_crash(&node, &target, broken_at, &requests);
        }
    });
}

/// Whether a replica refuses connections. One that does not answer at all may be cut off from this instance
/// alone, and counts as alive, as does one that closes connections because it has too many.
async fn has_crashed(node: &Node, target: &Target) -> bool {
    for _ in 0..MAX_CONNECTIONS {
        let connection = match pool::connect(target.published.address).await {
            Ok(connection) => connection,
            Err(e) => return is_refusal(node, target, &e),
        };
        // A process that ends may accept a connection before it closes its listening socket.
        sleep(CHECK_DELAY).await;
        if !connection.sender.is_closed() {
            let now = Instant::now();
            target.pool.put_back(now, connection, &HeaderMap::new());
            return false;
        }
    }
    false
}

/// Whether an attempt to connect was refused; logs any other error.
fn is_refusal(node: &Node, target: &Target, error: &std::io::Error) -> bool {
    let is_refused = error.kind() == ErrorKind::ConnectionRefused;
    if !is_refused {
        let replica = &target.published.id;
        node.log.line(
            Priority::State,
            format_args!("event=crash_unknown replica={replica} reason={error:?}"),
        );
    }
    is_refused
}

/// Records a crash with the requests that it broke off.
fn on_crash(node: &Rc<Node>, target: &Target, crashed_at: Instant, requests: &[BrokenRequest]) {
    for request in requests {
        node.log.line(
            Priority::State,
            format_args!(
                "event=replica_crashed replica={} start_ms={} ago_ms={} id={} fingerprints={:x?}",
                target.published.id,
                target.published.start_unix_ms,
                crashed_at.elapsed().as_millis(),
                request.attempt_id,
                request.fingerprints,
            ),
        );
    }
    let crash = Crash {
        replica: name_hash(&target.published.id),
        incarnation: target.published.start_unix_ms,
        at: crashed_at,
    };
    let suspects = suspects(crashed_at, requests);
    quarantine::on_crash(node, &CrashReport { crash, suspects });
}

/// What requests have in common that were running at a crash.
fn suspects(crashed_at: Instant, requests: &[BrokenRequest]) -> Vec<Suspect> {
    let mut suspects: Vec<Suspect> = Vec::new();
    for request in requests {
        let ran_for = crashed_at.saturating_duration_since(request.sent_at);
        let wrote_for = request
            .first_event_at
            .map(|at| crashed_at.saturating_duration_since(at));
        let has_written = wrote_for.is_some_and(|time| time >= LONG_RESPONSE);
        for fingerprint in request.fingerprints.iter().copied() {
            match suspects.binary_search_by_key(&fingerprint, |s| s.fingerprint) {
                Ok(index) => {
                    let suspect = &mut suspects[index];
                    suspect.ran_for = suspect.ran_for.min(ran_for);
                    suspect.has_written |= has_written;
                }
                Err(index) => suspects.insert(
                    index,
                    Suspect {
                        fingerprint,
                        ran_for,
                        has_written,
                    },
                ),
            }
        }
    }
    suspects
}
