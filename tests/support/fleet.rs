//! A whole fleet of processes: a platform for each availability zone, upstreams, entry instances.
//!
//! Each zone has its own platform, so that a test can let zones see different lists, and can put
//! relays between zones without any help from the network.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use kingcupfield_standins::journal::{JournalView, Run};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::caller::{Call, Caller};
use crate::machine_limits::MachineLimits;
use crate::process::{Process, wait_for};
use crate::relay::{Link, Relay};

const KINGCUPD: &str = env!("CARGO_BIN_EXE_kingcupd");
const STANDIN: &str = env!("CARGO_BIN_EXE_kingcup-standin");
/// Secret that the instances of a test share.
pub const SECRET: &str = "a secret of tests, long enough to sign keys";
/// A link between two regions, which is some tens of milliseconds long both ways together.
pub const BETWEEN_REGIONS: Link = Link::Delayed(Duration::from_millis(15));
/// Name of the model service.
pub const MODEL: &str = "drafting";
/// Name of the plain service.
pub const BOOKING: &str = "booking";
/// Path of the call that must not be repeated.
pub const BOOKINGS: &str = "/v1/services/booking/bookings";

/// Fleets that run side by side; more would measure the machine and not the fleets.
static PLACES: Semaphore = Semaphore::const_new(3);
/// Tells the folders of fleets of one test program apart.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// What an organisation of the table may use; its key is its name with `-key`.
#[derive(Debug, Clone)]
pub struct Organisation {
    pub name: &'static str,
    pub max_tier: &'static str,
    pub limits: Value,
}

/// Shape of a fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Availability zones and the number of entry instances in each.
    pub zones: Vec<(&'static str, usize)>,
    pub engines_per_zone: usize,
    pub services_per_zone: usize,
    pub engine_args: Vec<&'static str>,
    pub service_args: Vec<&'static str>,
    pub organisations: Vec<Organisation>,
    /// Puts relays between the zones.
    pub relays: bool,
    /// Limits of the entry instances' processes; `None` for those of the test.
    pub limits: Option<MachineLimits>,
}

impl FleetConfig {
    /// One zone with two instances, two engines and a plain service.
    pub fn small() -> Self {
        Self {
            zones: vec![("north-sea", 2)],
            engines_per_zone: 2,
            services_per_zone: 1,
            engine_args: vec!["--generation", "g2", "--load-lag-ms", "200"],
            service_args: vec![],
            organisations: vec![organisation("terminal-a"), organisation("terminal-b")],
            relays: false,
            limits: None,
        }
    }

    /// Seven instances in three zones, with two engines and a plain service in each.
    pub fn seven() -> Self {
        Self {
            zones: vec![("north-sea", 3), ("baltic", 2), ("iberia", 2)],
            ..Self::small()
        }
    }

    pub fn with_engine_args(mut self, args: &[&'static str]) -> Self {
        self.engine_args = args.to_vec();
        self
    }

    pub fn with_organisation(mut self, organisation: Organisation) -> Self {
        self.organisations.push(organisation);
        self
    }

    pub fn with_relays(mut self) -> Self {
        self.relays = true;
        self
    }
}

/// An organisation that may use every tier without limits.
pub fn organisation(name: &'static str) -> Organisation {
    Organisation {
        name,
        max_tier: "urgent",
        limits: json!({}),
    }
}

/// Key of an organisation.
pub fn key_of(organisation: &str) -> String {
    format!("{organisation}-key")
}

/// An entry instance.
#[derive(Debug)]
pub struct Entry {
    pub name: String,
    pub zone: &'static str,
    pub addr: SocketAddr,
    pub admin: SocketAddr,
    pub rpc: SocketAddr,
    pub process: Process,
    /// State in the published list; `None` takes it off the list.
    pub state: Option<&'static str>,
}

/// A model engine or a plain service.
#[derive(Debug)]
pub struct Upstream {
    pub name: String,
    pub zone: &'static str,
    pub service: &'static str,
    /// Address of the stand-in itself.
    pub addr: SocketAddr,
    /// Relay under whose address it is published.
    pub relay: Relay,
    _process: Process,
    pub state: Option<&'static str>,
}

/// The platform of a zone.
#[derive(Debug)]
pub struct ZonePlatform {
    pub zone: &'static str,
    pub addr: SocketAddr,
    _process: Process,
}

/// A relay that carries what comes from one zone to an address in another.
#[derive(Debug)]
struct ZoneLink {
    from: &'static str,
    to: &'static str,
    target: SocketAddr,
    relay: Relay,
}

/// The running fleet.
#[derive(Debug)]
pub struct Fleet {
    pub cfg: FleetConfig,
    pub platforms: Vec<ZonePlatform>,
    pub upstreams: Vec<Upstream>,
    pub entries: Vec<Entry>,
    pub caller: Caller,
    links: Vec<ZoneLink>,
    dir: PathBuf,
    version: AtomicU64,
    _place: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts all processes and waits until every instance is ready.
    pub async fn start(cfg: FleetConfig) -> Self {
        let place = PLACES.acquire().await.expect("never closed");
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("fleet-{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&dir).expect("a folder for settings");
        fs::write(dir.join("secret.key"), SECRET).expect("the secret file");
        let mut fleet = Self {
            platforms: Vec::new(),
            upstreams: Vec::new(),
            entries: Vec::new(),
            caller: Caller::new(),
            links: Vec::new(),
            dir,
            version: AtomicU64::new(0),
            _place: place,
            cfg,
        };
        fleet.start_upstreams().await;
        fleet.publish("services", &services()).await;
        fleet
            .publish("table", &table(&fleet.cfg.organisations))
            .await;
        fleet.publish_instances().await;
        for (zone, count) in fleet.cfg.zones.clone() {
            for number in 1..=count {
                let entry = fleet.start_entry(&format!("{zone}-{number}"), zone).await;
                fleet.entries.push(entry);
            }
        }
        fleet.link_zones().await;
        fleet.publish_instances().await;
        fleet.all_ready().await;
        fleet
    }

    async fn start_upstreams(&mut self) {
        for (zone, _) in self.cfg.zones.clone() {
            let process = Process::spawn(STANDIN, &["platform"]);
            let addr = listen(&process).await;
            self.platforms.push(ZonePlatform {
                zone,
                addr,
                _process: process,
            });
            let engines = (0..self.cfg.engines_per_zone).map(|_| (MODEL, "engine"));
            let services = (0..self.cfg.services_per_zone).map(|_| (BOOKING, "service"));
            for (number, (service, role)) in engines.chain(services).enumerate() {
                let args = match role {
                    "engine" => &self.cfg.engine_args,
                    _ => &self.cfg.service_args,
                };
                let process = Process::spawn(STANDIN, &[&[role], args.as_slice()].concat());
                let addr = listen(&process).await;
                let relay = Relay::start(addr).await;
                let name = format!("{zone}-{service}-{number}");
                let state = Some("live");
                self.upstreams.push(Upstream {
                    name,
                    zone,
                    service,
                    addr,
                    relay,
                    _process: process,
                    state,
                });
            }
        }
    }

    /// Starts an entry instance on free ports; it is on no list yet.
    pub async fn start_entry(&self, name: &str, zone: &'static str) -> Entry {
        let platform = self.platform(zone).addr;
        let settings = json!({
            "instance": name, "availability_zone": zone, "region": zone,
            "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "rpc_listen": "127.0.0.1:0",
            "platform": [platform], "peers": [], "key_secret_file": "secret.key",
            "log": {"level": "info"},
        });
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the settings file");
        let path = path.to_str().expect("a UTF-8 path");
        let args = ["--settings", path];
        let process = match &self.cfg.limits {
            None => Process::spawn(KINGCUPD, &args),
            Some(limits) => {
                let (shell, args) = limits.wrap(KINGCUPD, &args);
                let args: Vec<&str> = args.iter().map(String::as_str).collect();
                Process::spawn(shell, &args)
            }
        };
        let address = async |key| parse(&process.started(key).await);
        let (addr, admin) = (address("listen").await, address("admin_listen").await);
        let rpc = address("rpc_listen").await;
        let state = Some("live");
        Entry {
            name: name.to_owned(),
            zone,
            addr,
            admin,
            rpc,
            process,
            state,
        }
    }

    /// Puts a relay before every address that another zone connects to.
    async fn link_zones(&mut self) {
        if !self.cfg.relays {
            return;
        }
        let mut targets: Vec<(&'static str, SocketAddr)> = Vec::new();
        for entry in &self.entries {
            targets.extend([(entry.zone, entry.addr), (entry.zone, entry.rpc)]);
        }
        for upstream in &self.upstreams {
            targets.push((upstream.zone, upstream.relay.addr()));
        }
        for &(from, _) in &self.cfg.zones {
            for &(to, target) in targets.iter().filter(|(to, _)| *to != from) {
                let relay = Relay::start(target).await;
                relay.set(BETWEEN_REGIONS);
                self.links.push(ZoneLink {
                    from,
                    to,
                    target,
                    relay,
                });
            }
        }
    }

    /// The address under which `from` reaches `target`.
    fn seen_from(&self, from: &str, target: SocketAddr) -> SocketAddr {
        let link = self
            .links
            .iter()
            .find(|link| link.from == from && link.target == target);
        link.map_or(target, |link| link.relay.addr())
    }

    /// Cuts a zone off from the others, or joins it again.
    pub fn set_links(&self, zone: &str, state: Link) {
        for link in self
            .links
            .iter()
            .filter(|link| link.from == zone || link.to == zone)
        {
            link.relay.set(state);
        }
    }

    /// Publishes the list of instances, as it is now, to each zone.
    pub async fn publish_instances(&self) {
        let version = self.next_version();
        for platform in &self.platforms {
            let list = self.instances_seen_from(platform.zone);
            self.publish_to(platform, "instances", version, &list).await;
        }
    }

    fn instances_seen_from(&self, zone: &str) -> Value {
        let mut list = Vec::new();
        for entry in &self.entries {
            let Some(state) = entry.state else { continue };
            list.push(json!({
                "instance": entry.name, "role": "entry", "availability_zone": entry.zone,
                "region": entry.zone, "address": self.seen_from(zone, entry.addr),
                "rpc_address": self.seen_from(zone, entry.rpc), "state": state,
            }));
        }
        for upstream in &self.upstreams {
            let Some(state) = upstream.state else {
                continue;
            };
            list.push(json!({
                "instance": upstream.name, "role": "upstream", "service": upstream.service,
                "generation": "g2", "availability_zone": upstream.zone, "region": upstream.zone,
                "address": self.seen_from(zone, upstream.relay.addr()), "state": state,
            }));
        }
        json!({ "instances": list })
    }

    /// Publishes a value to every zone under the next version, which it returns.
    pub async fn publish(&self, name: &str, value: &Value) -> u64 {
        let version = self.next_version();
        for platform in &self.platforms {
            self.publish_to(platform, name, version, value).await;
        }
        version
    }

    async fn publish_to(&self, platform: &ZonePlatform, name: &str, version: u64, value: &Value) {
        let path = format!("/publish/{name}?version={version}");
        self.caller.post(platform.addr, &path, value).await;
    }

    fn next_version(&self) -> u64 {
        self.version.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub fn platform(&self, zone: &str) -> &ZonePlatform {
        let found = self.platforms.iter().find(|platform| platform.zone == zone);
        found.expect("a platform in each zone")
    }

    /// Sets the faults of all platforms.
    pub async fn platform_faults(&self, faults: &Value) {
        for platform in &self.platforms {
            self.caller.post(platform.addr, "/faults", faults).await;
        }
    }

    pub async fn upstream_faults(&self, upstream: &Upstream, faults: &Value) {
        self.caller.post(upstream.addr, "/faults", faults).await;
    }

    pub fn engines(&self) -> Vec<&Upstream> {
        self.upstreams
            .iter()
            .filter(|upstream| upstream.service == MODEL)
            .collect()
    }

    pub fn services(&self) -> Vec<&Upstream> {
        self.upstreams
            .iter()
            .filter(|upstream| upstream.service == BOOKING)
            .collect()
    }

    /// Whether an instance says that it is ready.
    pub async fn is_ready(&self, entry: &Entry) -> bool {
        let ready = Call::new(http::Method::GET, "/readyz");
        self.caller
            .call(entry.admin, &ready)
            .await
            .is_some_and(|reply| reply.status == 200)
    }

    /// Waits until every instance is ready and serves both services.
    pub async fn all_ready(&self) {
        for entry in &self.entries {
            let what = format!("{} ready", entry.name);
            wait_for(&what, async || self.is_ready(entry).await).await;
        }
    }

    /// Lets the first instance issue keys to the organisation that books.
    pub async fn issue_keys(&self, count: usize) -> Vec<String> {
        let call = Call::new(http::Method::POST, "/v1/idempotency-keys")
            .with_json(&json!({}))
            .with_key(&key_of("terminal-a"));
        let mut keys = Vec::with_capacity(count);
        while keys.len() < count {
            let reply = self.caller.call(self.entries[0].addr, &call).await;
            let issued = reply.expect("an answer").json();
            let key = issued["idempotency_key"].as_str();
            keys.push(key.expect("a key").to_owned());
        }
        keys
    }

    /// Everything that the upstreams ran.
    pub async fn journal(&self, upstream: &Upstream) -> JournalView {
        let journal = self
            .caller
            .get(upstream.addr, "/journal")
            .await
            .expect("a journal");
        serde_json::from_value(journal).expect("its form")
    }

    pub async fn runs(&self) -> Vec<Ran> {
        let mut all = Vec::new();
        for upstream in &self.upstreams {
            let journal = self.journal(upstream).await;
            let here = journal.runs.into_iter().map(|run| Ran {
                upstream: upstream.name.clone(),
                service: upstream.service,
                run,
            });
            all.extend(here);
        }
        all
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.dir).ok();
    }
}

/// A run with the upstream that journaled it.
#[derive(Debug, Clone)]
pub struct Ran {
    pub upstream: String,
    pub service: &'static str,
    pub run: Run,
}

async fn listen(process: &Process) -> SocketAddr {
    parse(&process.started("listen").await)
}

fn parse(addr: &str) -> SocketAddr {
    addr.parse().expect("an address in the start line")
}

fn services() -> Value {
    json!({"services": [
        {"service": MODEL, "kind": "model", "generation": null, "checks_fencing": false},
        {"service": BOOKING, "kind": "plain", "non_idempotent": ["POST /bookings"]},
    ]})
}

/// The table with these organisations.
pub fn table(organisations: &[Organisation]) -> Value {
    let organisations: Vec<Value> = organisations
        .iter()
        .map(|organisation| {
            let mut row = organisation.limits.clone();
            row["organisation"] = json!(organisation.name);
            row["weight"] = json!(1);
            row["max_tier"] = json!(organisation.max_tier);
            let hash = Sha256::digest(key_of(organisation.name).as_bytes());
            row["key_sha256"] = json!([hex::encode(hash)]);
            row
        })
        .collect();
    json!({
        "tiers": [
            {"tier": "urgent", "rank": 0, "weight": 8},
            {"tier": "normal", "rank": 1, "weight": 3},
            {"tier": "bulk", "rank": 2, "weight": 1},
        ],
        "organisations": organisations,
    })
}
