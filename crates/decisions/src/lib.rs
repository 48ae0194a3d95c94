//! All scheduling decisions of kingcupfield, as state machines without I/O.
//!
//! The caller passes in the current time as [`tokio::time::Instant`] and randomness as a seeded
//! generator, and carries out the actions that are returned. Nothing here opens a socket, reads a
//! file or spawns a task, so each decision can be understood and tested alone.

pub mod awaited_revision;
pub mod bounded;
pub mod caller_memory;
pub mod cells;
pub mod cold;
pub mod concurrency;
pub mod configuration;
pub mod crash_suspects;
pub mod credit;
pub mod decimal;
pub mod digest_timing;
pub mod directory_sync;
pub mod dispatch;
pub mod drain;
pub mod drained_zones;
pub mod fair_order;
pub mod fairness;
pub mod fanout;
pub mod fingerprint;
pub mod health;
pub mod holder;
pub mod id;
pub mod idempotency;
pub mod length;
pub mod limits;
pub mod load_figures;
pub mod membership;
pub mod momentary_speed;
pub mod ownership;
pub mod pace;
pub mod prefixes;
pub mod regions;
pub mod remote_load;
pub mod replica_limit;
pub mod rest;
pub mod retries;
pub mod routing;
pub mod scheduling;
pub mod shedding;
pub mod slots;
pub mod software_versions;
pub mod store_outage;
pub mod store_view;
pub mod stream_records;
pub mod upstream_retries;
pub mod values;
pub mod warm_up;
pub mod work;
