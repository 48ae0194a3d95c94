//! Limits of organisations over the fleet, as credit that is minted once and spent soon.
//!
//! Load pattern: one organisation that sends many times its usual through all instances at once, or
//! through one of them, while news are late and instances are killed, cut off and restarted. With a
//! count of what the others have spent, each instance spends in good faith what others have spent
//! already; with a fixed part for each, an organisation whose callers come to one instance is refused
//! far below its limit.
//!
//! **In any span an organisation gets at most [`Accrual::max_spend`] units.** It follows from four facts, of
//! which none depends on a message that comes in time:
//!
//! - The running time of an instance is worth credit: [`Accrual::rate`], divided by the number of zones
//!   and by the largest number of instances of its zone that it or the keeper knew meanwhile.
//! - It is given away once. Who collects it has it from then on; what is lost on the way is spent by nobody.
//! - It is worthless [`Accrual::lifetime`] after it was minted, by the clock of who holds it, counted from
//!   before it was asked for.
//! - A request uses it within [`GRANT_VALIDITY`] after its last message that the keeper had.
//!
//! An instance that starts has no time to give, so nothing of the past has to be known or assumed, and
//! a fleet that was killed whole serves at the full rate again as soon as its instances know each other.
//! Both sides of a cut keep what their own instances mint.
//!
//! For speed alone, each zone has a keeper for each organisation, which its instances ask and which
//! collects from them, then from the other zones, only what is asked for.

use std::time::Duration;

mod account;
mod accrual;
mod batches;
mod fleet_view;
mod ledger;
mod message;
mod precedence;
mod running_time;
mod sources;

pub use accrual::{Accrual, Limit, Tolerance};
pub use batches::Batch;
pub use fleet_view::{Distance, FleetView, Zone};
pub use ledger::Ledger;
pub use message::{Credit, Message, MessageNumber, Verdict};

/// A request that is to be charged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge {
    /// What it takes of the limit.
    pub cost: f64,
    /// Its place in the order of service, in halves of a tier: its tier, and its size beside those
    /// of its service.
    pub priority_class: u32,
    /// How long it may wait for credit.
    pub max_wait: Duration,
}

/// Longest time between a message that asks for credit and the use of what it brings.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(400);
