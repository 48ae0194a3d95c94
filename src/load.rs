//! Open-loop load generator: sends a seeded schedule of requests and reports the responses.
//!
//! Requests are sent on schedule without waiting for earlier responses, and every latency is
//! measured from the scheduled arrival time, not from the actual send time. A closed loop would
//! send fewer requests the slower the system gets and so omit the longest waits (coordinated
//! omission).

pub mod arrivals;
pub mod call;
pub mod mix;
pub mod plot;
pub mod report;
pub mod runner;
pub mod tally;

pub use arrivals::{Arrival, Arrivals};
pub use call::{CallOutcome, CallResult, Caller};
pub use mix::{Mix, MixError};
pub use report::Report;
pub use tally::Tally;
