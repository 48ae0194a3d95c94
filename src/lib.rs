//! The library behind the daemon `kingcupd` and the client `kingcup`.

pub mod admin;
pub mod answer;
pub mod caller;
pub mod completion;
pub mod connector;
pub mod demo;
pub mod error;
pub mod fleet;
pub mod gateway;
pub mod instance;
pub mod kernel;
pub mod logging;
pub mod metrics;
pub mod plain;
pub mod platform;
pub mod prompt;
pub mod record;
pub mod reply;
pub mod request;
pub mod server;
pub mod settings;
pub mod shared;
pub mod slots;
pub mod stream;
pub mod table;
pub mod upstream;
