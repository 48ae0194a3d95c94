//! Small specification of the core protocols and its exhaustive check.
//!
//! Each model puts a few of the real state machines of `kingcupfield_decisions` between a caller
//! and an upstream and lets everything happen to them that the promises allow for: messages that
//! are late, crossed, repeated or never come, processes that crash, restart, pause and wake, and
//! time that passes. [`explore()`] visits every state breadth first, so that a broken promise comes
//! with the shortest way to it.
//!
//! A lost message is one that is never delivered and a paused process is one that takes no step:
//! both need no action of their own, as every order of actions is visited. A wait that ends too
//! early is an action.
//!
//! Each model has variants in which one safeguard is taken out; each must break a promise.

pub mod calls;
pub mod cold;
pub mod configuration;
pub mod credit;
pub mod explore;
pub mod fleet;
pub mod idempotency;
pub mod shedding;
pub mod slots;
pub mod software_versions;

pub use explore::{Broken, Explored, Model, explore};
