//! The request rate that a replica in need accepts from all instances together, as it states it in its
//! responses.

mod known;

pub use known::{KnownLimit, LimitReport};
