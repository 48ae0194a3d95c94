//! A run of the whole system in one process: seven entry instances, the upstreams of one firm as
//! stand-ins, and callers with a mixed load, a burst and two failing upstreams.
//!
//! The seed fixes the plan of requests; what becomes of each depends on the machine.

mod client;
mod cluster;
mod firm;
mod plan;
mod report;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep_until};

pub use self::firm::Firm;
pub use self::plan::{Call, Plan, Planned};
pub use self::report::{Report, TierReport};

use self::client::{CallResult, DemoClient, Outcome};
use self::cluster::Cluster;
use crate::error::Result;

/// Seed when none is given.
pub const DEFAULT_SEED: u64 = 1;

/// Pause between two lines of progress.
const PROGRESS_EVERY: Duration = Duration::from_secs(2);

/// A folder of its own for each run. Two runs of one process that shared a folder would read each
/// other's half-written secret, and the first to end would remove the other's files.
pub fn new_folder() -> PathBuf {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    std::env::temp_dir().join(format!("kingcup-demo-{process}-{run}"))
}

/// What to run.
#[derive(Debug, Clone)]
pub struct DemoConfig {
    firm: Firm,
    seed: u64,
    length: Duration,
    progress: bool,
}

impl DemoConfig {
    /// The load of `firm`, arriving over 16 s.
    pub fn new(firm: Firm) -> Self {
        Self {
            firm,
            seed: DEFAULT_SEED,
            length: Duration::from_secs(16),
            progress: false,
        }
    }

    /// Plans the requests from another seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Requests arrive for this long.
    pub fn with_length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Writes what happens to standard error while it runs.
    pub fn with_progress(mut self) -> Self {
        self.progress = true;
        self
    }
}

/// Runs the demonstration and returns what callers were told, held against what was run.
///
/// Fails when an address can't be bound or an instance doesn't become ready.
pub async fn run(cfg: DemoConfig) -> Result<Report> {
    let plan = Plan::new(cfg.firm, cfg.seed, cfg.length);
    let cluster = Cluster::start(cfg.firm).await?;
    let progress = Progress {
        shown: cfg.progress,
        started: Instant::now(),
        planned: plan.requests.len(),
    };
    let results = send_all(&cfg, &plan, &cluster, &progress).await;
    let runs = cluster.runs();
    cluster.stop().await;
    Ok(Report::new(&cfg, &plan, &results, &runs))
}

async fn send_all(
    cfg: &DemoConfig,
    plan: &Plan,
    cluster: &Cluster,
    progress: &Progress,
) -> Vec<CallResult> {
    let client = Arc::new(DemoClient::new(cluster.addresses(), cfg.firm));
    let (tx, rx) = mpsc::unbounded_channel();
    let arrivals = async {
        let mut tasks = JoinSet::new();
        for planned in plan.requests.clone() {
            sleep_until(progress.started + planned.at).await;
            let (client, tx) = (Arc::clone(&client), tx.clone());
            tasks.spawn(async move {
                tx.send(client.call(&planned).await).ok();
            });
        }
        drop(tx);
        tasks.join_all().await;
    };
    let ((), (), results) = tokio::join!(
        arrivals,
        inject_faults(cfg, cluster, progress),
        progress.collect(rx),
    );
    results
}

/// What goes wrong on the way, at fixed parts of the run.
async fn inject_faults(cfg: &DemoConfig, cluster: &Cluster, progress: &Progress) {
    let at = |part: f64| progress.started + cfg.length.mul_f64(part);
    sleep_until(at(plan::SLOW_FROM)).await;
    let slow = cluster.slow_one_engine();
    progress.say(&format!("{slow} slows down to a tenth, without a word"));
    sleep_until(at(plan::BURST_FROM)).await;
    progress.say("a burst: three times as many requests");
    sleep_until(at(plan::BURST_UNTIL)).await;
    progress.say("the burst ends");
    sleep_until(at(plan::LEAVE_FROM)).await;
    let leaving = cluster.one_engine_leaves();
    progress.say(&format!("{leaving} leaves"));
}

/// Tells on standard error how the run goes.
#[derive(Debug)]
struct Progress {
    shown: bool,
    started: Instant,
    planned: usize,
}

impl Progress {
    fn say(&self, what: &str) {
        if self.shown {
            eprintln!("{:5.1} s  {what}", self.started.elapsed().as_secs_f64());
        }
    }

    async fn collect(&self, mut rx: mpsc::UnboundedReceiver<CallResult>) -> Vec<CallResult> {
        let mut all: Vec<CallResult> = Vec::with_capacity(self.planned);
        let mut tick = interval(PROGRESS_EVERY);
        loop {
            tokio::select! {
                result = rx.recv() => match result {
                    Some(result) => all.push(result),
                    None => return all,
                },
                _ = tick.tick() => {
                    let whole = all.iter().filter(|result| result.outcome == Outcome::Whole).count();
                    let others = all.len() - whole;
                    let planned = self.planned;
                    self.say(&format!(
                        "{} of {planned} ended: {whole} whole in time, {others} not", all.len()
                    ));
                }
            }
        }
    }
}
