//! An entry instance that forwards calls as they come.
//!
//! What callers, replicas and the directory say in their own words is translated behind the ports
//! of [`adapter`]; everything that is decided, known and recovered stands here and in
//! `kingcupfield-decisions`.

pub mod accept_queue;
pub mod adapter;
pub mod admission;
pub mod clock;
pub mod credit;
pub mod directory;
pub mod events;
pub mod exchange;
pub mod expiry;
pub mod gossip;
pub mod hearing;
pub mod lifecycle;
pub mod log;
pub mod metrics;
pub mod node;
pub mod outbox;
pub mod peers;
pub mod pool;
pub mod refusal;
pub mod relay;
pub mod reload;
pub mod replica;
pub mod request;
pub mod request_log;
pub mod server;
pub mod settings;
pub mod shutdown;
pub mod snapshot;
pub mod table;
