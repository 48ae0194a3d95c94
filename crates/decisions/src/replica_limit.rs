//! Holds the requests of all instances to the limit that a replica in need names in its responses.
//!
//! Load pattern: one replica slows down while a whole fleet has requests for it, and names the few
//! requests a second that it takes from all instances together. An instance that kept the limit by
//! itself would have to know what the others send at this moment; 300 instances that each send one
//! request in four seconds send 75 times what a limit of one a second allows.
//!
//! **The instances send a limited replica at most [`quota`] requests in any [`window`], over all of
//! them.** No message decides about it:
//!
//! - The quota is divided by the list of members of the fleet: each instance has the share of its
//!   [`Position`] in an order by hashing. Members that don't respond keep their shares. Where the quota
//!   is smaller than the fleet, most instances have none and use other replicas.
//! - A larger share takes effect a window after the change of the list. An instance that has just
//!   started, was suspended, is shutting down or doesn't know the fleet yet has no share.
//! - Every request counts, whether it is the first try, a retry or the rest of a stream: all of them
//!   pass the dispatcher.
//!
//! Instances that don't know each other may use the quota twice; it allows for two such parts of the
//! fleet, which takes a partition with instances that started behind it. Messages between instances
//! only tell those about the limit that the replica has not told yet, and tell all when it has ended.

mod gate;
mod known;
mod share;
mod state;

pub use known::{KnownLimit, LimitReport};
pub use share::{Position, quota, window};
pub use state::{FleetMembers, ReplicaLimit};
