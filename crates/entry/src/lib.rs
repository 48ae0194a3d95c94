//! An entry instance: accepts requests of callers, schedules them and forwards them to replicas.
//!
//! The protocols of callers, of replicas and of the directory are translated by the adapter behind
//! [`adapter`]; the scheduling state lives here and its algorithms in `kingcupfield-decisions`.

pub mod accept_queue;
pub mod adapter;
pub mod admission;
pub mod age;
pub mod bulk;
pub mod clock;
pub mod crash_watch;
pub mod credit;
pub mod directory;
pub mod events;
pub mod exchange;
pub mod expiry;
pub mod gossip;
pub mod large_values;
pub mod lifecycle;
pub mod log;
pub mod metrics;
pub mod name_index;
pub mod node;
pub mod outbox;
pub mod peers;
pub mod pool;
pub mod progress_io;
pub mod quarantine;
pub mod receiver;
pub mod refusal;
pub mod relay;
pub mod reload;
pub mod replica;
pub mod request;
pub mod request_log;
pub mod send_queue;
pub mod server;
pub mod settings;
pub mod shutdown;
pub mod snapshot;
pub mod stream_origin;
pub mod table;
pub mod tasks;
