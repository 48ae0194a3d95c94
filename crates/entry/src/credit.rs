//! Credit of organisations' limits: asked for by requests, told between instances.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::credit::{Charge, Distance, Limit, Lot, Message, Number, Verdict};
use kingcupfield_decisions::id::{Member, ShortName, short_name};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use crate::log::Priority;
use crate::node::{Node, Stage};
use crate::peers::PeerMessage;
use crate::settings::Settings;
use crate::table::Organisation;

/// Time between two looks at requests that wait for credit.
const LOOK: Duration = Duration::from_millis(10);

/// What a request was charged, and how it got that.
#[derive(Debug, Clone, Copy, Default)]
pub struct Charged {
    /// What it took of the limit; nothing where there is no limit.
    pub lot: Option<Lot>,
    /// How long it waited for the credit.
    pub waited: Duration,
    /// The instance that gave it.
    pub keeper: Option<Ipv4Addr>,
}

/// Why a request got no credit.
#[derive(Debug, Clone, Copy)]
pub struct Uncharged {
    /// What the keeper decided.
    pub verdict: Verdict,
    /// How long the request waited.
    pub waited: Duration,
    /// The instance that was asked.
    pub keeper: Ipv4Addr,
}

/// The time by which credit is counted. It goes on while the machine is suspended: credit that was at
/// hand before would live longer than it may.
fn now(node: &Node) -> Instant {
    Instant::now() + node.clock.suspended()
}

/// The zones of the deployment, by how far they are.
pub fn zones(cfg: &Settings) -> Vec<(ShortName, Distance)> {
    let distance = |zone: &str, region: &str| {
        if zone == &*cfg.availability_zone {
            Distance::Home
        } else if region == &*cfg.region {
            Distance::Near
        } else {
            Distance::Far
        }
    };
    let mut zones: Vec<_> = cfg
        .regions_by_zone
        .iter()
        .map(|(zone, region)| (short_name(zone), distance(zone, region)))
        .collect();
    if !cfg.regions_by_zone.contains_key(&*cfg.availability_zone) {
        zones.push((short_name(&cfg.availability_zone), Distance::Home));
    }
    zones
}

/// Takes a request's cost from its organisation's limit.
pub async fn take(
    node: &Node,
    organisation: &Organisation,
    limit: Limit,
    charge: Charge,
) -> Result<Charged, Uncharged> {
    let name = short_name(&organisation.name);
    let began = now(node);
    let (tx, rx) = oneshot::channel();
    let keeper = Ipv4Addr::from_bits(node.ledger.borrow().keeper(began, name));
    let number = node.ledger.borrow_mut().request(began, name, limit, charge);
    node.verdicts.borrow_mut().push((number, tx));
    flush(node);
    let _forget = Forget { node, number };
    let verdict = rx.await.unwrap_or(Verdict::Unanswered);
    let waited = now(node).saturating_duration_since(began);
    let Verdict::Granted { left_ms } = verdict else {
        return Err(Uncharged {
            verdict,
            waited,
            keeper,
        });
    };
    let lot = Lot {
        expires: began + Duration::from_millis(u64::from(left_ms)),
        amount: charge.cost,
    };
    Ok(Charged {
        lot: Some(lot),
        waited,
        keeper: Some(keeper),
    })
}

/// Takes back what a request was charged that did not run.
pub fn give_back(node: &Node, organisation: &Organisation, charged: &Charged) {
    if let Some(lot) = charged.lot {
        let name = short_name(&organisation.name);
        node.ledger.borrow_mut().give_back(now(node), name, lot);
    }
}

/// Takes a message of another instance.
pub fn receive(node: &Node, from: Ipv4Addr, message: Message) {
    let organisation = match &message {
        Message::Ask { organisation, .. } => Some(*organisation),
        _ => None,
    };
    let table = node.table();
    let limit = organisation.and_then(|name| table?.organisation_by_short_name(name)?.limit);
    let mut ledger = node.ledger.borrow_mut();
    ledger.on_message(now(node), from.to_bits(), message, limit);
    drop(ledger);
    flush(node);
}

/// Looks at who is there.
pub fn see_fleet(node: &Node) {
    let mut roster = node.peers.borrow_mut().roster(Instant::now());
    // Instances that end have left the others' counts.
    if node.stage() >= Stage::Closing {
        roster.mints_since = None;
    }
    let known = roster.mints_since.is_some();
    let members = node.peers.borrow().zone_members();
    let members = Some(members).filter(|_| known);
    node.dispatch
        .borrow_mut()
        .set_members(Instant::now(), members);
    let slept = node.clock.suspended();
    roster.mints_since = roster.mints_since.map(|at| at + slept);
    let mut ledger = node.ledger.borrow_mut();
    if ledger.mints() != roster.mints_since.is_some() {
        node.log.line(
            Priority::High,
            format_args!(
                "event=credit mints={} zone_size={}",
                roster.mints_since.is_some(),
                roster.size()
            ),
        );
    }
    ledger.set_roster(now(node), &roster);
}

/// Looks after the requests that wait for credit until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        node.credit_waits.notified().await;
        while !node.ledger.borrow().is_idle() {
            sleep(LOOK).await;
            node.ledger.borrow_mut().tick(now(&node));
            flush(&node);
        }
    }
}

/// Sends what is to be sent, and tells requests what was decided.
fn flush(node: &Node) {
    let mut ledger = node.ledger.borrow_mut();
    let messages = ledger.take_messages();
    let verdicts = ledger.take_verdicts();
    let idle = ledger.is_idle();
    drop(ledger);
    for (to, message) in messages {
        send(node, to, message);
    }
    for (number, verdict) in verdicts {
        if let Some(tx) = waiter(node, number) {
            // A caller that left meanwhile needs no answer.
            let _ = tx.send(verdict);
        }
    }
    if !idle {
        node.credit_waits.notify_one();
    }
}

fn send(node: &Node, to: Member, message: Message) {
    let Some(socket) = node.peer_socket.get() else {
        return;
    };
    let Ok(message) = rmp_serde::to_vec(&PeerMessage::Credit(message)) else {
        return;
    };
    let to = SocketAddr::from((Ipv4Addr::from_bits(to), node.settings().peer_port));
    // What is lost is asked for again, or expires.
    let _ = socket.try_send_to(&message, to);
}

fn waiter(node: &Node, number: Number) -> Option<oneshot::Sender<Verdict>> {
    let mut waiters = node.verdicts.borrow_mut();
    let at = waiters.iter().position(|(n, _)| *n == number)?;
    Some(waiters.swap_remove(at).1)
}

/// Forgets a request whose caller goes away.
struct Forget<'a> {
    node: &'a Node,
    number: Number,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        waiter(self.node, self.number);
    }
}
