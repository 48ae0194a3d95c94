//! Fleet-wide limits of organisations, enforced with credit that accrues once and expires soon.
//!
//! Load pattern: one organisation sends many times its usual rate through all instances at once, or
//! through one of them, while messages are late and instances are killed, cut off and restarted. If
//! each instance counted the spending that the others report, instances would spend the same units
//! twice while reports are late. If each had a fixed fraction, an organisation whose callers
//! connect to one instance would be refused far below its limit.
//!
//! **In any span an organisation spends at most [`Accrual::max_spend`] units.** This follows from
//! four facts, none of which depends on a message arriving in time:
//!
//! - The running time of an instance is worth credit: [`Accrual::rate`], divided by the number of
//!   zones and by the largest size of the instance's zone that the instance or the coordinator
//!   observed during that time.
//! - Each stretch of running time is given away once. The collecting instance owns the credit from
//!   then on; credit that is lost in transit is spent by nobody.
//! - Credit expires [`Accrual::lifetime`] after it accrued. The holder measures this with its own
//!   clock, starting from before it asked for the credit.
//! - A request uses its credit within [`GRANT_VALIDITY`] after the last of its messages that the
//!   coordinator received.
//!
//! A starting instance has no running time to give away, so it needs no knowledge of the past and
//! makes no assumption about it. A fleet that was killed as a whole serves at the full rate as soon
//! as its instances know each other. Both sides of a network partition keep the credit that their
//! own instances accrue.
//!
//! Each zone has a coordinator for each organisation, which only makes this faster: the instances
//! of the zone ask it for credit, and it collects from them, then from the other zones, only as
//! much as requests ask for.

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

/// A request to charge against its organisation's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge {
    /// Cost in units of the limit.
    pub cost: f64,
    /// Priority class, lower first, in half tiers: the request's tier, refined by its size relative
    /// to the other requests of its service.
    pub priority_class: u32,
    /// Longest time that the request may wait for credit.
    pub max_wait: Duration,
}

/// Longest time between a message that asks for credit and the use of the credit granted for it.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(400);
