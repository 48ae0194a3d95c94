//! The fleet as this instance knows it: the table, the services and the instances in force.

use std::sync::{Arc, Mutex, MutexGuard};

use kingcupfield_decisions::configuration::{
    Accepted, Configuration, ConfigurationMessage, Rejected, Reply, Source, ValueName, ValueVersion,
};
use kingcupfield_decisions::id::Version;
use kingcupfield_decisions::values::{
    Instance, Instances, Organisation, Role, Service, Services, Table, Tier,
};
use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::caller::same_hash;
use crate::logging::quote_value;
use crate::metrics::Metrics;

/// A key hash with the position of its organisation in the table.
#[derive(Debug, Clone)]
struct KeyRow {
    sha256: String,
    row: usize,
}

/// Values in force at one moment.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Snapshot {
    /// Versions in force.
    pub versions: Vec<ValueVersion>,
    /// The table.
    pub table: Arc<Table>,
    /// The services.
    pub services: Arc<Services>,
    /// The instances.
    pub instances: Arc<Instances>,
    #[serde(skip)]
    keys: Vec<KeyRow>,
}

impl Snapshot {
    fn new(cfg: &Configuration) -> Self {
        let table = cfg.table().unwrap_or_default();
        let mut keys = Vec::new();
        for (row, organisation) in table.organisations.iter().enumerate() {
            for sha256 in &organisation.key_sha256 {
                keys.push(KeyRow {
                    sha256: sha256.to_ascii_lowercase(),
                    row,
                });
            }
        }
        keys.sort_by(|a, b| a.sha256.cmp(&b.sha256));
        Self {
            versions: cfg.versions(),
            table,
            services: cfg.services().unwrap_or_default(),
            instances: cfg.instances().unwrap_or_default(),
            keys,
        }
    }

    /// Version of `name` in force.
    pub fn version(&self, name: ValueName) -> Option<Version> {
        self.versions
            .iter()
            .find(|v| v.name == name)
            .map(|v| v.version)
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.service(name)
    }

    /// The tier called `name`.
    pub fn tier(&self, name: &str) -> Option<&Tier> {
        self.table.tier(name)
    }

    /// The organisation that owns the key with this SHA-256, in lowercase hexadecimal.
    ///
    /// The search tells by its time at most how a hash sorts, which says nothing of a key; the
    /// hash that it finds is compared in constant time.
    pub fn organisation_by_key(&self, hash: &str) -> Option<&Organisation> {
        let at = self.keys.partition_point(|k| *k.sha256 < *hash);
        let key = self.keys.get(at).filter(|k| same_hash(&k.sha256, hash))?;
        self.table.organisations.get(key.row)
    }

    /// The entry instance called `name`.
    pub fn entry(&self, name: &str) -> Option<&Instance> {
        self.instances
            .instance(name)
            .filter(|i| i.role == Role::Entry)
    }
}

/// Handle of the fleet; clones share it.
#[derive(Debug, Clone)]
pub struct Fleet {
    cfg: Arc<Mutex<Configuration>>,
    tx: watch::Sender<Arc<Snapshot>>,
    metrics: Metrics,
}

impl Fleet {
    /// Makes a fleet that knows nothing yet.
    pub fn new(now: Instant, metrics: Metrics) -> Self {
        let (tx, _) = watch::channel(Arc::new(Snapshot::default()));
        Self {
            cfg: Arc::new(Mutex::new(Configuration::new(now))),
            tx,
            metrics,
        }
    }

    /// The values in force now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.tx.borrow().clone()
    }

    /// Follows the values.
    pub fn watch(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.tx.subscribe()
    }

    /// Version of `name` in force.
    pub fn version(&self, name: ValueName) -> Option<Version> {
        self.lock().version(name).map(|v| v.version)
    }

    /// Whether callers may be served.
    pub fn is_ready(&self) -> bool {
        self.lock().is_ready(Instant::now())
    }

    /// Notes that the platform answered for `name`, with or without news.
    pub fn heard_platform(&self, name: ValueName) {
        self.lock().record_answer(Source::Platform(name));
    }

    /// Takes a value of the platform into force, or logs why not.
    pub fn offer(&self, name: ValueName, version: Version, value: &Value) {
        let mut cfg = self.lock();
        match cfg.offer(name, version, value) {
            Ok(Accepted::Applied(_)) => self.publish(&cfg, name, "platform"),
            Ok(Accepted::Unchanged(_)) => {}
            Err(rejected) => self.refused(name.as_str(), &rejected),
        }
    }

    /// Takes a message of a peer about values.
    pub fn on_peer(&self, message: &ConfigurationMessage) -> Reply {
        let mut cfg = self.lock();
        let reply = cfg.on_message(message);
        if let Some(name) = reply.in_force {
            self.publish(&cfg, name, "peer");
        }
        if let Some(rejected) = &reply.rejected {
            self.refused("peer", rejected);
        }
        reply
    }

    /// What to tell a neighbour about the versions in force.
    pub fn announcement(&self) -> ConfigurationMessage {
        self.lock().announcement()
    }

    fn publish(&self, cfg: &Configuration, name: ValueName, source: &str) {
        let version = cfg.version(name).map_or(0, |v| v.version);
        log::info!(
            "event=value_in_force name={} version={version} source={source}",
            name.as_str()
        );
        self.tx.send_replace(Arc::new(Snapshot::new(cfg)));
    }

    fn refused(&self, name: &str, rejected: &Rejected) {
        self.metrics.refused_values.with_label_values(&[name]).inc();
        let reason = quote_value(rejected);
        if rejected.is_alarm() {
            log::error!("event=value_refused name={name} reason={reason}");
        } else {
            log::info!("event=value_refused name={name} reason={reason}");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Configuration> {
        self.cfg
            .lock()
            .expect("no holder of the configuration panics")
    }
}
