//! The stand-ins and the entry instances of the demonstration.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use kingcupfield_decisions::values::{Instances, Role, State};
use kingcupfield_standins::journal::Run;
use kingcupfield_standins::{
    Engine, EngineConfig, EngineFaults, Generation, PlainService, PlainServiceConfig, Platform,
    PlatformConfig,
};
use serde::Serialize;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use super::firm::{ENTRIES, Firm, instance};
use crate::error::{Error, Result};
use crate::instance::Instance;
use crate::settings::{Level, LogSettings, Settings};

/// Factor by which the slow engine slows down.
const SLOWDOWN: f64 = 10.0;
/// Instances that are not ready after this long never will be.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// An instance that has not left after this long is left behind.
const LEAVE_WITHIN: Duration = Duration::from_secs(10);
/// Pause between two looks at an instance that is not ready.
const READY_POLL: Duration = Duration::from_millis(20);
/// Secret of the instances of one demonstration; nobody else reaches their addresses.
const SECRET: &str = "secret of a demonstration, on this machine alone";

/// An engine and its name.
#[derive(Debug)]
struct NamedEngine {
    name: String,
    engine: Engine,
}

/// An address for callers, with the position of its zone.
#[derive(Debug, Clone, Copy)]
pub(super) struct EntryAddress {
    pub(super) zone: usize,
    pub(super) addr: SocketAddr,
}

/// Everything that runs.
#[derive(Debug)]
pub(super) struct Cluster {
    platform: Platform,
    engines: Vec<NamedEngine>,
    services: Vec<PlainService>,
    entries: Vec<Instance>,
    addresses: Vec<EntryAddress>,
    list: Mutex<Instances>,
    dir: PathBuf,
}

impl Cluster {
    /// Starts all and waits until every instance is ready.
    pub(super) async fn start(firm: Firm) -> Result<Self> {
        let platform = listening(Platform::start(PlatformConfig::new()).await)?;
        platform.publish("table", 1, value(&firm.table()));
        platform.publish("services", 1, value(&firm.services()));
        let dir = super::new_folder();
        let mut cluster = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            addresses: Vec::new(),
            list: Mutex::new(Instances::default()),
            dir,
        };
        cluster.start_upstreams(firm).await?;
        cluster.publish_list(1);
        cluster.start_entries(firm).await?;
        cluster.publish_list(2);
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    async fn start_upstreams(&mut self, firm: Firm) -> Result<()> {
        let (model, replicas) = firm.model();
        for zone in firm.zones() {
            for number in 1..=replicas {
                let generation = if number % 2 == 0 {
                    Generation::g2()
                } else {
                    Generation::g1()
                };
                let name = format!("{zone}-{model}-{number}");
                let cfg = EngineConfig::new().with_generation(generation.clone());
                let engine = listening(Engine::start(cfg).await)?;
                let address = engine.addr().to_string();
                let mut listed = instance(&name, Role::Upstream, zone, address);
                listed.service = Some(model.into());
                listed.generation = Some(generation.name);
                self.list_mut().instances.push(listed);
                self.engines.push(NamedEngine { name, engine });
            }
            let (plain, _) = firm.plain();
            let service = listening(PlainService::start(PlainServiceConfig::new()).await)?;
            let address = service.addr().to_string();
            let mut listed = instance(&format!("{zone}-{plain}"), Role::Upstream, zone, address);
            listed.service = Some(plain.into());
            self.list_mut().instances.push(listed);
            self.services.push(service);
        }
        Ok(())
    }

    async fn start_entries(&mut self, firm: Firm) -> Result<()> {
        fs::create_dir_all(&self.dir).map_err(|e| Error::io("make a folder", e))?;
        let secret = self.dir.join("secret.key");
        fs::write(&secret, SECRET).map_err(|e| Error::io("write the secret", e))?;
        for (zone, count) in ENTRIES.into_iter().enumerate() {
            let zone_name = firm.zones()[zone];
            for number in 1..=count {
                let name = format!("{zone_name}-{number}");
                let cfg = settings(&name, zone_name, self.platform.addr(), secret.clone());
                let entry = Instance::start(&cfg).await?;
                let mut listed =
                    instance(&name, Role::Entry, zone_name, entry.listen().to_string());
                listed.rpc_address = Some(entry.rpc_listen().to_string());
                self.list_mut().instances.push(listed);
                self.addresses.push(EntryAddress {
                    zone,
                    addr: entry.listen(),
                });
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + READY_WITHIN;
        for entry in &self.entries {
            while let Some(reason) = entry.shared().not_ready() {
                if Instant::now() >= until {
                    return Err(Error::Died {
                        name: "demo",
                        reason: format!("an instance {reason}"),
                    });
                }
                sleep(READY_POLL).await;
            }
        }
        Ok(())
    }

    /// Addresses for callers.
    pub(super) fn addresses(&self) -> Vec<EntryAddress> {
        self.addresses.clone()
    }

    /// Slows the first engine down and returns its name.
    pub(super) fn slow_one_engine(&self) -> &str {
        let NamedEngine { name, engine } = &self.engines[0];
        engine.faults().set(EngineFaults {
            slowdown: SLOWDOWN,
            ..EngineFaults::default()
        });
        name
    }

    /// Lets the last engine leave and returns its name.
    pub(super) fn one_engine_leaves(&self) -> &str {
        let NamedEngine { name, engine } = &self.engines[self.engines.len() - 1];
        engine.faults().set(EngineFaults {
            leaving: true,
            ..EngineFaults::default()
        });
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        for listed in &mut list.instances {
            if *listed.instance == **name {
                listed.state = State::Leaving;
            }
        }
        drop(list);
        self.publish_list(3);
        name
    }

    /// Everything that the upstreams ran.
    pub(super) fn runs(&self) -> Vec<Run> {
        let engines = self.engines.iter().map(|named| named.engine.journal());
        let services = self.services.iter().map(PlainService::journal);
        engines
            .chain(services)
            .flat_map(|journal| journal.runs())
            .collect()
    }

    /// Lets the instances leave.
    pub(super) async fn stop(self) {
        for entry in &self.entries {
            entry.drain();
        }
        for entry in self.entries {
            timeout(LEAVE_WITHIN, entry.ended()).await.ok();
        }
        fs::remove_dir_all(&self.dir).ok();
    }

    fn publish_list(&self, version: u64) {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        self.platform.publish("instances", version, value(&*list));
    }

    fn list_mut(&mut self) -> &mut Instances {
        self.list.get_mut().unwrap_or_else(PoisonError::into_inner)
    }
}

fn settings(name: &str, zone: &str, platform: SocketAddr, key_secret_file: PathBuf) -> Settings {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        instance: name.into(),
        availability_zone: zone.into(),
        region: zone.into(),
        listen: any,
        admin_listen: any,
        rpc_listen: any,
        platform: vec![platform],
        peers: Vec::new(),
        key_secret_file,
        memory_mb: None,
        max_descriptors: None,
        log: LogSettings { level: Level::Warn },
    }
}

fn listening<T>(started: std::io::Result<T>) -> Result<T> {
    started.map_err(|e| Error::io("start a stand-in", e))
}

fn value<T>(value: &T) -> serde_json::Value
where
    T: Serialize,
{
    json!(value)
}
