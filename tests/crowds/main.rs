//! Crowds of clients that send large, unfinished or chopped requests to an instance on a small machine.
//!
//! The tests check what does not depend on the machine's speed, one after the other: a program of its own
//! keeps them apart from other load.

#![expect(dead_code, reason = "the support serves other test programs too")]

#[path = "../support/caller.rs"]
mod caller;
#[path = "../support/crowd.rs"]
mod crowd;
#[path = "../support/fleet.rs"]
mod fleet;
#[path = "../support/machine_limits.rs"]
mod machine_limits;
#[path = "../support/process.rs"]
mod process;
#[path = "../support/relay.rs"]
mod relay;
#[path = "../support/usage.rs"]
mod usage;

mod cases;
