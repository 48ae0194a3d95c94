//! A fake model engine: batches continuously, caches prompt prefixes, knows no priorities.

mod batch;
mod cache;
mod completion;
pub mod config;
mod events;
pub mod faults;
mod http;
mod job;
mod shared;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::engine::config::EngineConfig;
use crate::engine::faults::EngineFaults;
pub use crate::engine::shared::LoadReport;
use crate::engine::shared::Shared;
use crate::fault_switch::FaultSwitch;
use crate::journal::Journal;
use crate::listener::Listener;

/// How often a stalled engine looks whether it may go on.
const STALL_POLL: Duration = Duration::from_millis(10);

/// A running fake engine; dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    listener: Listener,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine inside the running tokio runtime; fails when the address can't be bound.
    pub async fn start(cfg: EngineConfig) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(cfg));
        let listener =
            Listener::start(shared.cfg.listen, http::router(Arc::clone(&shared))).await?;
        let steps = tokio::spawn(run_steps(Arc::clone(&shared)));
        let reports = tokio::spawn(run_reports(Arc::clone(&shared)));
        let listener = listener
            .with_task(steps.abort_handle())
            .with_task(reports.abort_handle());
        Ok(Self { listener, shared })
    }

    /// Address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// What it ran.
    pub fn journal(&self) -> Journal {
        self.shared.journal.clone()
    }

    /// Its switch of faults.
    pub fn faults(&self) -> FaultSwitch<EngineFaults> {
        self.shared.faults.clone()
    }
}

/// Runs step after step while there is work.
async fn run_steps(shared: Arc<Shared>) {
    let mut next = Instant::now();
    loop {
        let idle = shared.batch().is_idle();
        if idle {
            shared.arrived.notified().await;
            next = Instant::now();
            continue;
        }
        let faults = shared.faults.get();
        if faults.stall {
            tokio::time::sleep(STALL_POLL).await;
            next = Instant::now();
            continue;
        }
        let step = shared.batch().start_step();
        next += step.mul_f64(faults.slowdown.max(0.0));
        if next > Instant::now() {
            tokio::time::sleep_until(next).await;
        } else {
            tokio::task::yield_now().await;
        }
        shared.batch().end_step(Instant::now());
    }
}

/// Renews the load report, which is stale in between.
async fn run_reports(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(shared.cfg.load_lag.max(STALL_POLL)).await;
        shared.renew_report();
    }
}
