//! Wires the services of one entry instance: each is started once and found by its name.

use crate::calls::Calls;
use crate::connector::Connector;
use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::inbox::Inbox;
use crate::kernel::Kernel;
use crate::keys::{KEYS, Keys};
use crate::limits::{LIMITS, Limits};
use crate::members::{MEMBERS, Members};
use crate::metrics::Metrics;
use crate::peers::{PeerToken, Peers};
use crate::platform::PlatformReader;
use crate::record::Records;
use crate::rests::Rests;
use crate::scheduler::{Identity, Scheduler};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::slots::{SLOTS, Slots};
use crate::watcher::Watcher;
use kingcupfield_decisions::configuration::ValueName;
use kingcupfield_decisions::idempotency::Secret;
use kingcupfield_transfer::account::Account;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Name of the fleet in the kernel.
const FLEET: &str = "fleet";
/// Name of the links to peers in the kernel.
const PEERS: &str = "peers";
/// Name of the watcher of replicas in the kernel.
const WATCHER: &str = "watcher";
/// Name of the record in the kernel.
const RECORDS: &str = "records";

/// Everything that is started with an instance.
pub(crate) struct Services {
    /// Handles of the instance.
    pub(crate) shared: Shared,
    /// Links to peers.
    pub(crate) peers: Peers,
    /// Where messages of peers go.
    pub(crate) inbox: Inbox,
}

/// Starts the services; each finds the others by name.
pub(crate) fn services(cfg: &Settings, token: PeerToken, kernel: &mut Kernel) -> Result<Services> {
    let metrics = Metrics::new();
    let connector = Connector::new();
    let me = Identity {
        instance: cfg.instance.clone(),
        incarnation: incarnation(),
        zone: cfg.availability_zone.clone(),
        region: cfg.region.clone(),
    };
    let fleet = Fleet::new(Instant::now(), metrics.clone());
    let peers = Peers::new(
        me.instance.clone(),
        me.incarnation,
        token.clone(),
        fleet.clone(),
        metrics.clone(),
    );
    let records = Records::new();
    start_fleet(kernel, &fleet, &peers)?;
    start_records(kernel, &records)?;
    let members = start_members(kernel, &me, &fleet, &peers)?;
    let limits = start_limits(kernel, &me, &fleet, &members, &peers)?;
    let keys = start_keys(kernel, cfg, &me)?;
    let slots = start_slots(kernel, &me, &records, &peers, &connector)?;
    start_readers(kernel, cfg, &connector, &metrics)?;
    let inbox = Inbox {
        fleet: fleet.clone(),
        members: members.clone(),
        slots: slots.clone(),
        limits: limits.clone(),
        peers: peers.clone(),
        metrics: metrics.clone(),
    };
    let shared = Shared {
        instance: me.instance,
        zone: me.zone,
        incarnation: me.incarnation,
        fleet,
        members,
        limits,
        keys,
        calls: Calls::new(token, kernel.find(FLEET)?),
        slots,
        connector,
        rests: Rests::default(),
        records,
        memory: Account::new(cfg.machine().caller_bytes()),
        metrics,
        counter: Arc::new(AtomicU64::new(1)),
        leaving: Arc::new(AtomicBool::new(false)),
    };
    Ok(Services {
        shared,
        peers,
        inbox,
    })
}

fn start_readers(
    kernel: &mut Kernel,
    cfg: &Settings,
    connector: &Connector,
    metrics: &Metrics,
) -> Result<()> {
    for name in ValueName::ALL {
        let reader = PlatformReader::new(
            cfg.platform.clone(),
            connector.clone(),
            kernel.find(FLEET)?,
            metrics.clone(),
            name,
            kernel.find(MEMBERS)?,
        );
        kernel.spawn(name.as_str(), reader.run());
    }
    Ok(())
}

fn start_fleet(kernel: &mut Kernel, fleet: &Fleet, peers: &Peers) -> Result<()> {
    kernel.register(FLEET, fleet.clone())?;
    kernel.register(PEERS, peers.clone())?;
    let fleet = fleet.clone();
    kernel.register_dump(FLEET, move || {
        let snapshot = fleet.snapshot();
        Box::pin(
            async move { json!({"versions": snapshot.versions, "instances": snapshot.instances}) },
        )
    });
    let peers = peers.clone();
    kernel.register_dump(PEERS, move || {
        let links = peers.len();
        Box::pin(async move { json!({"links": links}) })
    });
    Ok(())
}

fn start_records(kernel: &mut Kernel, records: &Records) -> Result<()> {
    kernel.register(RECORDS, records.clone())?;
    let records = records.clone();
    kernel.register_dump(RECORDS, move || {
        let remembered = records.len();
        Box::pin(async move { json!({"remembered": remembered}) })
    });
    Ok(())
}

fn start_members(
    kernel: &mut Kernel,
    me: &Identity,
    fleet: &Fleet,
    peers: &Peers,
) -> Result<Members> {
    let (members, task) = Members::new(
        me.instance.clone(),
        me.incarnation,
        me.zone.clone(),
        fleet.clone(),
        peers.clone(),
    );
    kernel.register(MEMBERS, members.clone())?;
    kernel.spawn(MEMBERS, task.run());
    let dumped = members.clone();
    kernel.register_dump(MEMBERS, move || {
        let members = dumped.clone();
        Box::pin(async move { members.dump().await })
    });
    Ok(members)
}

fn start_limits(
    kernel: &mut Kernel,
    me: &Identity,
    fleet: &Fleet,
    members: &Members,
    peers: &Peers,
) -> Result<Limits> {
    let limits = Limits::new(me.instance.clone(), me.zone.clone());
    kernel.register(LIMITS, limits.clone())?;
    kernel.spawn(
        LIMITS,
        limits
            .clone()
            .run(fleet.clone(), members.clone(), peers.clone()),
    );
    let dumped = limits.clone();
    kernel.register_dump(LIMITS, move || {
        let dump = dumped.dump();
        Box::pin(async move { dump })
    });
    Ok(limits)
}

fn start_keys(kernel: &mut Kernel, cfg: &Settings, me: &Identity) -> Result<Keys> {
    let secret = Secret::new(cfg.secret()?).map_err(|e| Error::Settings {
        path: cfg.key_secret_file.clone(),
        reason: e.to_string(),
    })?;
    let keys = Keys::new(me.instance.clone(), me.incarnation, secret, Instant::now());
    kernel.register(KEYS, keys.clone())?;
    kernel.spawn(KEYS, keys.clone().run());
    let dumped = keys.clone();
    kernel.register_dump(KEYS, move || {
        let dump = dumped.dump();
        Box::pin(async move { dump })
    });
    Ok(keys)
}

fn start_slots(
    kernel: &mut Kernel,
    me: &Identity,
    records: &Records,
    peers: &Peers,
    connector: &Connector,
) -> Result<Slots> {
    let fleet: Fleet = kernel.find(FLEET)?;
    let members: Members = kernel.find(MEMBERS)?;
    let rng = ChaCha8Rng::from_rng(&mut rand::rng());
    let scheduler = Scheduler::new(me.clone(), rng, records.clone(), Instant::now());
    let (slots, task) = Slots::new(scheduler, peers.clone());
    kernel.register(SLOTS, slots.clone())?;
    let watcher = Watcher::new(connector.clone(), slots.clone(), members.clone());
    kernel.spawn(WATCHER, watcher.run(task.watched()));
    kernel.spawn(SLOTS, task.run(fleet, members));
    let dumped = slots.clone();
    kernel.register_dump(SLOTS, move || {
        let slots = dumped.clone();
        Box::pin(async move { slots.dump().await })
    });
    Ok(slots)
}

/// A later start has a larger number: milliseconds since 1970, as nothing of ours lasts that could
/// count starts.
fn incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
