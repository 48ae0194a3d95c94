//! One availability zone of real instances in this process: messages, bytes, processor time and
//! memory of each instance, idle and under load.

use std::error::Error;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use kingcupfield::client::Client;
use kingcupfield::instance::Instance;
use kingcupfield::load::call::PlannedCall;
use kingcupfield::load::mix::{Job, Mix, Phase, Sender};
use kingcupfield::load::{Arrival, Arrivals, Caller, Report, runner};
use kingcupfield::settings::{LogSettings, Settings};
use kingcupfield::status::sample::{named, parse};
use kingcupfield_standins::{Engine, EngineConfig, Generation, Platform, PlatformConfig};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

use crate::cpu;

/// Models in steady use.
pub const SERVICES: usize = 21;
/// As many as the platform's megabyte holds.
const ORGANISATIONS: usize = 4_300;
const SENDERS: usize = 200;
/// Engines that answer under the names of all replicas.
const ENGINES: usize = 12;
const SETTLE: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(8);
const LOAD: Duration = Duration::from_secs(12);
const SEED: u64 = 11;
const INSTANCE_THREAD: &str = "instance";

/// Heading of the lines that [`Figures`] print.
pub const HEADING: &str = "instances replicas  req/s/inst | idle: core %  msg/s  B/s | load: core %  msg/s  B/s  good % | MB/inst";

/// Size of the zone.
#[derive(Debug, Clone, Copy)]
pub struct Zone {
    instances: usize,
    replicas: usize,
}

/// What one instance used, on average.
#[derive(Debug)]
pub struct Figures {
    zone: Zone,
    rate: f64,
    idle: Usage,
    load: Usage,
    goodput: f64,
    megabytes: f64,
    refused: Vec<String>,
    idle_kinds: Vec<String>,
}

#[derive(Debug)]
struct Usage {
    core_percent: f64,
    messages_per_s: f64,
    bytes_per_s: f64,
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            zone, idle, load, ..
        } = self;
        write!(
            f,
            "{:>9} {:>8} {:>11.1} |",
            zone.instances, zone.replicas, self.rate
        )?;
        write!(
            f,
            "{:>13.2} {:>6.0} {:>5.0} |",
            idle.core_percent, idle.messages_per_s, idle.bytes_per_s
        )?;
        write!(
            f,
            "{:>13.2} {:>6.0} {:>5.0} ",
            load.core_percent, load.messages_per_s, load.bytes_per_s
        )?;
        write!(f, "{:>6.1} | {:>6.1}", self.goodput * 100.0, self.megabytes)?;
        writeln!(f, " {}", self.refused.join(", "))?;
        write!(
            f,
            "          idle, each second: {}",
            self.idle_kinds.join(", ")
        )
    }
}

/// Counters of all instances and the processor time of their threads.
#[derive(Debug, Clone, Copy)]
struct Counters {
    cpu: Duration,
    messages: f64,
    bytes: f64,
}

impl Counters {
    fn read(instances: &[Instance]) -> Self {
        let mut counters = Self {
            cpu: cpu::of_threads(INSTANCE_THREAD),
            messages: 0.0,
            bytes: 0.0,
        };
        for instance in instances {
            let samples = parse(&instance.shared().metrics.encode());
            let sum = |name| {
                named(&samples, name)
                    .filter(|s| s.label("direction") == "sent")
                    .map(|s| s.value)
                    .sum::<f64>()
            };
            counters.messages += sum("kingcup_peer_messages_total");
            counters.bytes += sum("kingcup_peer_bytes_total");
        }
        counters
    }

    fn usage_until(self, after: Self, took: Duration, instances: usize) -> Usage {
        let per = took.as_secs_f64() * instances as f64;
        Usage {
            core_percent: after.cpu.saturating_sub(self.cpu).as_secs_f64() / per * 100.0,
            messages_per_s: (after.messages - self.messages) / per,
            bytes_per_s: (after.bytes - self.bytes) / per,
        }
    }
}

impl Zone {
    /// A zone of `instances` entry instances before `replicas`.
    pub fn new(instances: usize, replicas: usize) -> Self {
        Self {
            instances,
            replicas,
        }
    }

    /// Runs the zone idle and then with `rate` requests a second at each instance.
    pub fn measure(self, rate: f64) -> Result<Figures, Box<dyn Error>> {
        let standins = runtime("standin")?;
        let fleet = runtime(INSTANCE_THREAD)?;
        let callers = runtime("caller")?;
        let (platform, engines) = standins.block_on(start_standins())?;
        let addresses: Vec<_> = engines.iter().map(Engine::addr).collect();
        platform.publish("table", 1, table(ORGANISATIONS));
        platform.publish("services", 1, services());
        platform.publish("instances", 1, self.list(&[], &addresses));

        let before = cpu::resident();
        let platform_address = platform.addr();
        let instances = fleet.block_on(async {
            let mut instances = Vec::new();
            for number in 0..self.instances {
                instances.push(Instance::start(&settings(number, platform_address)?).await?);
            }
            Ok::<_, Box<dyn Error>>(instances)
        })?;
        platform.publish("instances", 2, self.list(&instances, &addresses));
        callers.block_on(ready(&instances))?;

        let (start, idle_end) = callers.block_on(async {
            sleep(SETTLE).await;
            let start = Counters::read(&instances);
            sleep(IDLE).await;
            (start, Counters::read(&instances))
        });
        let idle_kinds = kinds(&instances, SETTLE + IDLE);
        let report = callers.block_on(send(&instances, rate * self.instances as f64));
        let load_end = Counters::read(&instances);
        let resident = cpu::resident().saturating_sub(before);
        let took = Duration::from_secs_f64(report.seconds);
        let sent: u64 = report.tiers.iter().map(|t| t.sent).sum();
        let good: u64 = report.tiers.iter().map(|t| t.good).sum();
        let figures = Figures {
            zone: self,
            rate,
            idle: start.usage_until(idle_end, IDLE, self.instances),
            load: idle_end.usage_until(load_end, took, self.instances),
            goodput: good as f64 / sent.max(1) as f64,
            megabytes: resident as f64 / 1e6 / self.instances as f64,
            refused: refused(&report),
            idle_kinds,
        };
        for runtime in [callers, fleet, standins] {
            runtime.shutdown_timeout(Duration::from_secs(1));
        }
        Ok(figures)
    }

    fn list(self, instances: &[Instance], engines: &[SocketAddr]) -> Value {
        let entries = instances.iter().enumerate().map(|(i, instance)| {
            json!({"instance": name(i), "role": "entry", "availability_zone": "north-sea",
                "region": "north-sea", "state": "live", "address": instance.listen(),
                "rpc_address": instance.rpc_listen()})
        });
        let replicas = (0..self.replicas).map(|i| {
            json!({"instance": format!("replica-{i:03}"), "role": "upstream",
                "service": service(i % SERVICES), "generation": "g1",
                "availability_zone": "north-sea", "region": "north-sea", "state": "live",
                "address": engines[i % engines.len()]})
        });
        json!({"instances": entries.chain(replicas).collect::<Vec<_>>()})
    }
}

/// Messages of each kind that an instance sent or dropped a second.
fn kinds(instances: &[Instance], took: Duration) -> Vec<String> {
    let per = took.as_secs_f64() * instances.len() as f64;
    let scrapes = instances
        .iter()
        .map(|i| parse(&i.shared().metrics.encode()));
    let mut kinds: Vec<(String, f64)> = Vec::new();
    for sample in scrapes
        .flatten()
        .filter(|s| s.name == "kingcup_peer_messages_total")
    {
        let kind = format!("{} {}", sample.label("kind"), sample.label("direction"));
        match kinds.iter_mut().find(|(k, _)| *k == kind) {
            Some((_, sum)) => *sum += sample.value,
            None => kinds.push((kind, sample.value)),
        }
    }
    let line = |(kind, sum): &(String, f64)| format!("{kind} {:.1}", sum / per);
    kinds
        .iter()
        .filter(|(k, _)| !k.ends_with("received"))
        .map(line)
        .collect()
}

/// Why calls got no answer, with counts.
fn refused(report: &Report) -> Vec<String> {
    let refused = report.tiers.iter().flat_map(|t| &t.refused);
    let mut reasons: Vec<_> = refused.map(|r| format!("{} {}", r.count, r.kind)).collect();
    let failed = report
        .tiers
        .iter()
        .map(|t| t.unreachable + t.broken + t.silent + t.short);
    let failed: u64 = failed.sum();
    if failed > 0 {
        reasons.push(format!("{failed} failed"));
    }
    reasons
}

fn runtime(name: &str) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .thread_name(name)
        .worker_threads(4)
        .enable_all()
        .build()
}

async fn start_standins() -> std::io::Result<(Platform, Vec<Engine>)> {
    let platform = Platform::start(PlatformConfig::new()).await?;
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let instant = Generation::named("instant").unwrap_or(Generation::g2());
        engines.push(Engine::start(EngineConfig::new().with_generation(instant)).await?);
    }
    Ok((platform, engines))
}

async fn ready(instances: &[Instance]) -> Result<(), Box<dyn Error>> {
    let client = Client::new();
    for instance in instances {
        let admin = instance.admin_listen().to_string();
        while !client
            .ask(Method::GET, &admin, "/readyz")
            .await?
            .status
            .is_success()
        {
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn send(instances: &[Instance], rate: f64) -> Report {
    let addresses = instances.iter().map(|i| i.listen().to_string()).collect();
    let caller = Caller::new(addresses);
    let mix = mix(rate);
    let call = |arrival: &Arrival<'_>, at| {
        let (caller, call) = (caller.clone(), PlannedCall::new(arrival, SEED));
        async move { caller.call(call, at).await }
    };
    let tally = runner::run(Arrivals::new(&mix, SEED), call, |_, _| {}).await;
    Report::new(&tally, SEED)
}

fn mix(rate: f64) -> Mix {
    let job = |i: usize| Job {
        job: service(i),
        service: service(i).into(),
        tier: ["urgent", "normal", "bulk", "batch"][i % 4].into(),
        weight: 1,
        timeout_ms: 10_000,
        call: None,
        non_idempotent: false,
        prompt_words: 128,
        shared_words: 96,
        max_tokens: 2,
    };
    let sender = |i: usize| Sender {
        organisation: organisation(i).into(),
        key: organisation(i),
        weight: 1,
    };
    Mix {
        phases: vec![Phase {
            seconds: LOAD.as_secs_f64(),
            rate,
        }],
        jobs: (0..SERVICES).map(job).collect(),
        senders: (0..SENDERS).map(sender).collect(),
    }
}

fn name(number: usize) -> String {
    format!("north-sea-{number:03}")
}

fn service(number: usize) -> String {
    format!("model-{number:02}")
}

fn organisation(number: usize) -> String {
    format!("organisation-{number:04}")
}

fn services() -> Value {
    let service = |i| json!({"service": service(i), "kind": "model"});
    json!({"services": (0..SERVICES).map(service).collect::<Vec<_>>()})
}

/// Four tiers and every organisation with limits that it doesn't reach.
fn table(organisations: usize) -> Value {
    let tier =
        |(rank, tier): (usize, &str)| json!({"tier": tier, "rank": rank, "weight": 4 - rank});
    let tiers = ["urgent", "normal", "bulk", "batch"];
    let row = |i| {
        let key = hex::encode(Sha256::digest(organisation(i)));
        json!({"organisation": organisation(i), "weight": 1, "max_tier": "urgent",
            "key_sha256": [key], "requests_per_s": 5000, "tokens_per_s": 5e6, "max_running": 5000})
    };
    json!({"tiers": tiers.into_iter().enumerate().map(tier).collect::<Vec<_>>(),
        "organisations": (0..organisations).map(row).collect::<Vec<_>>()})
}

/// Bytes of the table as published; the platform holds values up to a megabyte.
pub fn table_bytes(organisations: usize) -> usize {
    table(organisations).to_string().len()
}

fn settings(number: usize, platform: SocketAddr) -> std::io::Result<Settings> {
    let dir = std::env::temp_dir().join(format!("capacity-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    let secret = dir.join("secret.key");
    fs::write(&secret, "only for this measurement")?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(Settings {
        instance: name(number).into(),
        availability_zone: "north-sea".into(),
        region: "north-sea".into(),
        listen: any,
        admin_listen: any,
        rpc_listen: any,
        platform: vec![platform],
        peers: Vec::new(),
        key_secret_file: secret,
        memory_mb: None,
        max_descriptors: None,
        log: LogSettings::default(),
    })
}
