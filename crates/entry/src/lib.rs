//! An entry instance: accepts requests of callers, schedules them and forwards them to replicas.
//!
//! The protocols of callers, of replicas and of the directory are translated by the adapter behind
//! [`port`]; the scheduling state lives here and its algorithms in `kingcupfield-decisions`.

pub mod account;
pub mod admission;
pub mod callers;
pub mod clock;
pub mod credit;
pub mod directory;
pub mod events;
pub mod exchange;
pub mod gossip;
pub mod kind;
pub mod life;
pub mod log;
pub mod metrics;
pub mod node;
pub mod outbox;
pub mod over;
pub mod peers;
pub mod pool;
pub mod port;
pub mod queue;
pub mod receiver;
pub mod relay;
pub mod reload;
pub mod replica;
pub mod request;
pub mod settings;
pub mod snapshot;
pub mod stop;
pub mod table;
