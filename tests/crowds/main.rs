//! Crowds of clients that send large, unfinished or chopped requests to an instance on a small machine.
//!
//! The tests check what does not depend on the machine's speed, one after the other: a program of its own
//! keeps them apart from other load.

#[expect(dead_code, reason = "the tests of whole fleets use the rest")]
mod support {
    #[path = "../../support/caller.rs"]
    pub mod caller;
    #[path = "../../support/crowd.rs"]
    pub mod crowd;
    #[path = "../../support/fleet.rs"]
    pub mod fleet;
    #[path = "../../support/machine_limits.rs"]
    pub mod machine_limits;
    #[path = "../../support/process.rs"]
    pub mod process;
    #[path = "../../support/relay.rs"]
    pub mod relay;
    #[path = "../../support/usage.rs"]
    pub mod usage;
}

use support::{caller, fleet, machine_limits, process, relay, usage};

mod cases;
