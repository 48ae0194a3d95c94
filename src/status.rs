//! The fleet at a glance, from the admin addresses of its instances.

use futures::future::join_all;
use http::Method;
use kingcupfield_decisions::values::{Instance, Role, State};
use serde::{Deserialize, Serialize};
use tabled::builder::Builder;
use tabled::settings::{Alignment, Style, object::Columns};

use crate::client::{Client, ClientError};

pub mod sample;

use sample::Sample;

/// What `/readyz` says of an instance that takes new callers.
const READY: &str = "ready";
const REQUESTS: &str = "kingcup_requests_total";
const HELD: &str = "kingcup_held_requests";
const SHED_LEVEL: &str = "kingcup_shed_level";
const LIMIT: &str = "kingcup_upstream_limit";

/// Version of a published value that is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Name of the value.
    pub name: String,
    /// Its version.
    pub version: u64,
}

/// Requests of one tier that ended in one way since the instance started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Ended {
    /// The tier.
    pub tier: String,
    /// How they ended.
    pub outcome: String,
    /// How many.
    pub count: u64,
}

/// A gauge of the instance with its labels, such as a shed level.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Gauge {
    /// Labels, joined by commas.
    pub of: String,
    /// Value.
    pub value: f64,
}

/// An upstream that takes no new work, as the instance knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LeavingUpstream {
    /// Name.
    pub instance: String,
    /// Zone.
    pub availability_zone: String,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Its admin address.
    pub address: String,
    /// Its name.
    pub instance: String,
    /// Its zone.
    pub availability_zone: String,
    /// `ready`, or why not.
    pub state: String,
    /// Versions in force.
    pub versions: Vec<InForce>,
    /// Requests that it holds now.
    pub held: u64,
    /// Requests ended since it started.
    pub ended: Vec<Ended>,
    /// Shed levels that it knows, by pool.
    pub shed_levels: Vec<Gauge>,
    /// Concurrency limits of the replicas that it owns.
    pub limits: Vec<Gauge>,
    /// Upstreams that leave.
    pub leaving: Vec<LeavingUpstream>,
}

/// An address that gave no status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Unreachable {
    /// The address.
    pub address: String,
    /// Why.
    pub reason: String,
}

/// All instances asked.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Status {
    /// Those that answered, by name.
    pub instances: Vec<InstanceStatus>,
    /// Those that did not.
    pub unreachable: Vec<Unreachable>,
}

#[derive(Debug, Deserialize)]
struct Dump {
    instance: DumpedInstance,
    fleet: DumpedFleet,
}

#[derive(Debug, Deserialize)]
struct DumpedInstance {
    instance: String,
    availability_zone: String,
}

#[derive(Debug, Deserialize)]
struct DumpedFleet {
    versions: Vec<InForce>,
    instances: DumpedInstances,
}

#[derive(Debug, Deserialize)]
struct DumpedInstances {
    instances: Vec<Instance>,
}

/// Asks all `addresses` at once.
pub async fn fetch(client: &Client, addresses: &[String]) -> Status {
    let asked = addresses.iter().map(|a| fetch_one(client, a));
    let mut status = Status::default();
    for (address, answer) in addresses.iter().zip(join_all(asked).await) {
        match answer {
            Ok(instance) => status.instances.push(instance),
            Err(e) => status.unreachable.push(Unreachable {
                address: address.clone(),
                reason: e.to_string(),
            }),
        }
    }
    let key = |i: &InstanceStatus| (i.availability_zone.clone(), i.instance.clone());
    status.instances.sort_by_key(key);
    status
}

async fn fetch_one(client: &Client, address: &str) -> Result<InstanceStatus, ClientError> {
    let ready = client.ask(Method::GET, address, "/readyz").await?;
    let dump = client.ask(Method::GET, address, "/dump").await?;
    let metrics = client.ask(Method::GET, address, "/metrics").await?;
    let dump: Dump = serde_json::from_slice(&dump.body).map_err(|e| ClientError::Broken {
        address: address.to_owned(),
        reason: format!("the dump is not understood: {e}"),
    })?;
    let samples = sample::parse(&String::from_utf8_lossy(&metrics.body));
    Ok(InstanceStatus {
        address: address.to_owned(),
        instance: dump.instance.instance,
        availability_zone: dump.instance.availability_zone,
        state: String::from_utf8_lossy(&ready.body).trim().to_owned(),
        versions: dump.fleet.versions,
        held: sample::named(&samples, HELD).map(|s| s.value as u64).sum(),
        ended: ended(&samples),
        shed_levels: gauges(&samples, SHED_LEVEL),
        limits: gauges(&samples, LIMIT),
        leaving: leaving(&dump.fleet.instances.instances),
    })
}

fn ended(samples: &[Sample]) -> Vec<Ended> {
    let ended = sample::named(samples, REQUESTS).map(|s| Ended {
        tier: s.label("tier").to_owned(),
        outcome: s.label("outcome").to_owned(),
        count: s.value as u64,
    });
    ended.collect()
}

fn gauges(samples: &[Sample], name: &str) -> Vec<Gauge> {
    let gauge = |s: &Sample| Gauge {
        of: s
            .labels
            .iter()
            .map(|l| l.value.as_str())
            .collect::<Vec<_>>()
            .join(", "),
        value: s.value,
    };
    sample::named(samples, name).map(gauge).collect()
}

fn leaving(instances: &[Instance]) -> Vec<LeavingUpstream> {
    let leaving = instances
        .iter()
        .filter(|i| i.role == Role::Upstream && i.state == State::Leaving);
    let name = |i: &Instance| LeavingUpstream {
        instance: i.instance.to_string(),
        availability_zone: i.availability_zone.to_string(),
    };
    leaving.map(name).collect()
}

impl Status {
    /// The fleet as aligned text.
    pub fn text(&self) -> String {
        let mut text = self.instance_table();
        text.push('\n');
        text.push_str(&self.tier_table());
        for instance in &self.instances {
            text.extend(notes(instance));
        }
        for Unreachable { address, reason } in &self.unreachable {
            text.push_str("no status from ");
            text.push_str(if reason.starts_with(address.as_str()) {
                ""
            } else {
                address
            });
            text.push_str(reason);
            text.push('\n');
        }
        text
    }

    fn instance_table(&self) -> String {
        let mut builder = Builder::default();
        builder.push_record([
            "instance",
            "zone",
            "address",
            "state",
            "table",
            "services",
            "instances",
            "held",
        ]);
        for instance in &self.instances {
            builder.push_record([
                instance.instance.clone(),
                instance.availability_zone.clone(),
                instance.address.clone(),
                instance.state.clone(),
                instance.version("table"),
                instance.version("services"),
                instance.version("instances"),
                instance.held.to_string(),
            ]);
        }
        let mut table = builder.build();
        table.with(Style::psql());
        table.modify(Columns::new(4..), Alignment::right());
        format!("{table}\n")
    }

    fn tier_table(&self) -> String {
        let mut rows: Vec<Ended> = Vec::new();
        for ended in self.instances.iter().flat_map(|i| &i.ended) {
            match rows
                .iter_mut()
                .find(|r| r.tier == ended.tier && r.outcome == ended.outcome)
            {
                Some(row) => row.count += ended.count,
                None => rows.push(ended.clone()),
            }
        }
        if rows.is_empty() {
            return "no request has ended yet\n".to_owned();
        }
        rows.sort_by(|a, b| (&a.tier, &a.outcome).cmp(&(&b.tier, &b.outcome)));
        let mut builder = Builder::default();
        builder.push_record(["tier", "outcome", "requests", "of its tier"]);
        for row in &rows {
            let of_tier: u64 = rows
                .iter()
                .filter(|r| r.tier == row.tier)
                .map(|r| r.count)
                .sum();
            builder.push_record([
                row.tier.clone(),
                row.outcome.clone(),
                row.count.to_string(),
                format!("{:.1} %", row.count as f64 / of_tier.max(1) as f64 * 100.0),
            ]);
        }
        let mut table = builder.build();
        table.with(Style::psql());
        table.modify(Columns::new(2..), Alignment::right());
        format!("{table}\n")
    }
}

impl InstanceStatus {
    /// Whether it takes new callers.
    pub fn is_ready(&self) -> bool {
        self.state == READY
    }

    fn version(&self, name: &str) -> String {
        let in_force = self.versions.iter().find(|v| v.name == name);
        in_force.map_or_else(|| "none".to_owned(), |v| v.version.to_string())
    }
}

fn notes(instance: &InstanceStatus) -> Vec<String> {
    let name = &instance.instance;
    let levels = instance.shed_levels.iter().filter(|l| l.value > 0.0);
    let mut notes: Vec<_> = levels
        .map(|l| format!("{name}: shed level {} of {}\n", l.value, l.of))
        .collect();
    let leaving = &instance.leaving;
    notes.extend(
        leaving
            .iter()
            .map(|u| format!("{name}: {} leaves\n", u.instance)),
    );
    notes
}
