//! Small fakes of a model engine, a plain service and the platform.
//!
//! Each fake listens on its own address inside the running tokio runtime, keeps a journal of what
//! it ran, and has a switch of faults that tests and people use alike: in the process through
//! `faults()`, over HTTP with `POST /faults`.

pub mod engine;
pub mod fault_switch;
pub mod journal;
mod listener;
pub mod plain_service;
pub mod platform;
pub mod prompt;

pub use engine::Engine;
pub use engine::config::{EngineConfig, Generation};
pub use engine::faults::{EngineFaults, StreamFault, StreamFaultKind};
pub use fault_switch::FaultSwitch;
pub use journal::Journal;
pub use plain_service::{PlainService, PlainServiceConfig, PlainServiceFaults};
pub use platform::{Platform, PlatformConfig, PlatformFaults};
