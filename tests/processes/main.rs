//! Real processes of this package, used as callers and operators use them and broken on purpose.

#[path = "../support/caller.rs"]
mod caller;
#[path = "../support/checks.rs"]
mod checks;
#[path = "../support/fleet.rs"]
mod fleet;
#[path = "../support/load.rs"]
mod load;
#[path = "../support/machine_limits.rs"]
mod machine_limits;
#[expect(dead_code, reason = "the tests of crowds use the rest")]
#[path = "../support/process.rs"]
mod process;
#[path = "../support/raw.rs"]
mod raw;
#[path = "../support/relay.rs"]
mod relay;

mod end_to_end;
mod kept_connections;
mod kill_instance;
mod leaving_issuer;
mod lost_answers;
mod overload;
mod pairs;
mod pause_instance;
mod platform_faults;
mod rolling_restart;
mod stopped_issuer;
mod stream_faults;
mod upstream_dies;
mod upstream_leaving;
mod upstream_rests;
mod upstream_slows;
mod zone_cut;
