//! Requests for credit of the organisations' limits, and the messages about credit between
//! instances.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::credit::{
    Batch, Charge, Distance, Limit, Message, MessageNumber, Verdict,
};
use kingcupfield_decisions::id::{InstanceAddress, NameHash, name_hash};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use crate::log::Priority;
use crate::node::{Node, ProcessState};
use crate::peers::PeerMessage;
use crate::settings::Settings;
use crate::table::Organisation;

/// Interval at which requests that wait for credit are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The credit that a request was granted.
#[derive(Debug, Clone, Copy, Default)]
pub struct CreditGrant {
    /// The credit batch that was charged; `None` if the organisation has no limit.
    pub batch: Option<Batch>,
    /// How long the request waited for the credit.
    pub waited: Duration,
    /// The credit coordinator that granted it.
    pub coordinator: Option<Ipv4Addr>,
}

/// Why a request got no credit.
#[derive(Debug, Clone, Copy)]
pub struct CreditDenial {
    /// The verdict of the credit coordinator.
    pub verdict: Verdict,
    /// How long the request waited.
    pub waited: Duration,
    /// The credit coordinator that was asked.
    pub coordinator: Ipv4Addr,
}

/// Time base of the credit ledger. It includes the time for which the machine was suspended:
/// otherwise credit from before a suspension would outlive its expiry.
fn credit_now(node: &Node) -> Instant {
    Instant::now() + node.suspend_detector.total_suspended()
}

/// The zones of the deployment with their distance from this instance.
pub fn zone_distances(cfg: &Settings) -> Vec<(NameHash, Distance)> {
    let distance = |zone: &str, region: &str| {
        if zone == &*cfg.availability_zone {
            Distance::SameZone
        } else if region == &*cfg.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    };
    let mut zones: Vec<_> = cfg
        .regions_by_zone
        .iter()
        .map(|(zone, region)| (name_hash(zone), distance(zone, region)))
        .collect();
    if !cfg.regions_by_zone.contains_key(&*cfg.availability_zone) {
        zones.push((name_hash(&cfg.availability_zone), Distance::SameZone));
    }
    zones
}

/// Charges a request's cost to its organisation's limit, waiting for the credit coordinator's
/// verdict.
pub async fn charge(
    node: &Node,
    organisation: &Organisation,
    limit: Limit,
    charge: Charge,
) -> Result<CreditGrant, CreditDenial> {
    let name = name_hash(&organisation.name);
    let started = credit_now(node);
    let (tx, rx) = oneshot::channel();
    let coordinator = Ipv4Addr::from_bits(node.credit_ledger.borrow().coordinator(started, name));
    let number = node
        .credit_ledger
        .borrow_mut()
        .request(started, name, limit, charge);
    node.credit_waiters.borrow_mut().push((number, tx));
    flush(node);
    let _guard = WaitGuard { node, number };
    let verdict = rx.await.unwrap_or(Verdict::Unanswered);
    let waited = credit_now(node).saturating_duration_since(started);
    let Verdict::Granted { left_ms } = verdict else {
        return Err(CreditDenial {
            verdict,
            waited,
            coordinator,
        });
    };
    let batch = Batch {
        expires: started + Duration::from_millis(u64::from(left_ms)),
        amount: charge.cost,
    };
    Ok(CreditGrant {
        batch: Some(batch),
        waited,
        coordinator: Some(coordinator),
    })
}

/// Refunds the credit of a request that did not run.
pub fn refund(node: &Node, organisation: &Organisation, grant: &CreditGrant) {
    if let Some(batch) = grant.batch {
        let name = name_hash(&organisation.name);
        node.credit_ledger
            .borrow_mut()
            .refund(credit_now(node), name, batch);
    }
}

/// Applies a credit message of another instance.
pub fn on_message(node: &Node, from: Ipv4Addr, message: Message) {
    let organisation = match &message {
        Message::Ask { organisation, .. } => Some(*organisation),
        _ => None,
    };
    let table = node.table();
    let limit = organisation.and_then(|name| table?.organisation_by_name_hash(name)?.limit);
    let mut ledger = node.credit_ledger.borrow_mut();
    ledger.on_message(credit_now(node), from.to_bits(), message, limit);
    drop(ledger);
    flush(node);
}

/// Updates the members of the fleet in the credit ledger and in the dispatcher.
pub fn update_fleet_view(node: &Node) {
    let mut fleet_view = node.peers.borrow_mut().fleet_view(Instant::now());
    // The others no longer count an instance that shuts down, so it must not accrue credit.
    if node.process_state() >= ProcessState::Closing {
        fleet_view.accrues_since = None;
    }
    let accrues = fleet_view.accrues_since.is_some();
    let members = node.peers.borrow().zone_members();
    let members = Some(members).filter(|_| accrues);
    let now = Instant::now();
    let fleet = node.peers.borrow().fleet_members(now);
    let mut dispatch = node.dispatch.borrow_mut();
    dispatch.update_members(now, members);
    dispatch.update_fleet(now, fleet.filter(|_| accrues));
    drop(dispatch);
    let suspended = node.suspend_detector.total_suspended();
    fleet_view.accrues_since = fleet_view.accrues_since.map(|at| at + suspended);
    let mut ledger = node.credit_ledger.borrow_mut();
    if ledger.accrues() != fleet_view.accrues_since.is_some() {
        node.log.line(
            Priority::High,
            format_args!(
                "event=credit mints={} zone_size={}",
                fleet_view.accrues_since.is_some(),
                fleet_view.zone_size()
            ),
        );
    }
    ledger.set_fleet(credit_now(node), &fleet_view);
}

/// Checks the requests that wait for credit until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        node.credit_wakeup.notified().await;
        while !node.credit_ledger.borrow().is_idle() {
            sleep(CHECK_INTERVAL).await;
            node.credit_ledger.borrow_mut().on_tick(credit_now(&node));
            flush(&node);
        }
    }
}

/// Sends the ledger's pending messages and delivers its verdicts to the waiting requests.
fn flush(node: &Node) {
    let mut ledger = node.credit_ledger.borrow_mut();
    let messages = ledger.take_messages();
    let verdicts = ledger.take_verdicts();
    let idle = ledger.is_idle();
    drop(ledger);
    for (to, message) in messages {
        send(node, to, message);
    }
    for (number, verdict) in verdicts {
        if let Some(tx) = take_waiter(node, number) {
            // A caller that has disconnected needs no verdict.
            let _ = tx.send(verdict);
        }
    }
    if !idle {
        node.credit_wakeup.notify_one();
    }
}

/// Sends a credit message to another instance.
fn send(node: &Node, to: InstanceAddress, message: Message) {
    let Ok(message) = rmp_serde::to_vec(&PeerMessage::Credit(message)) else {
        return;
    };
    let to = SocketAddr::from((Ipv4Addr::from_bits(to), node.settings().peer_port));
    // Lost requests are sent again, and lost credit expires.
    node.send_queue.push_urgent(message.into(), to);
}

/// Removes and returns the sender of a waiting request's verdict.
fn take_waiter(node: &Node, number: MessageNumber) -> Option<oneshot::Sender<Verdict>> {
    let mut waiters = node.credit_waiters.borrow_mut();
    let index = waiters.iter().position(|(waiting, _)| *waiting == number)?;
    Some(waiters.swap_remove(index).1)
}

/// Removes a waiting request when its caller disconnects.
struct WaitGuard<'a> {
    node: &'a Node,
    number: MessageNumber,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        take_waiter(self.node, self.number);
    }
}
