//! Fleet status, collected from the admin addresses of the instances.

use futures::future::join_all;
use http::Method;
use kingcupfield_decisions::values::{Instance, Role, State};
use serde::{Deserialize, Serialize};
use tabled::builder::Builder;
use tabled::settings::{Alignment, Style, object::Columns};

use crate::client::{Client, ClientError};

pub mod sample;

use sample::Sample;

/// Body of a `/readyz` response from an instance that accepts new callers.
const READY_BODY: &str = "ready";
const REQUESTS_METRIC: &str = "kingcup_requests_total";
const HELD_REQUESTS_METRIC: &str = "kingcup_held_requests";
const SHED_LEVEL_METRIC: &str = "kingcup_shed_level";
const UPSTREAM_LIMIT_METRIC: &str = "kingcup_upstream_limit";

/// Version of a published configuration value that an instance applies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedVersion {
    /// Name of the value, such as `table`.
    pub name: String,
    /// Applied version.
    pub version: u64,
}

/// Number of requests of one tier with one outcome since the instance started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RequestCount {
    /// Tier.
    pub tier: String,
    /// Outcome of the requests.
    pub outcome: String,
    /// Number of requests.
    pub count: u64,
}

/// A gauge of an instance with its labels, such as the shed level of a pool.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Gauge {
    /// Label values, joined by commas.
    #[serde(rename = "of")]
    pub labels: String,
    /// Value of the gauge.
    pub value: f64,
}

/// An upstream that an instance lists as leaving, so it gets no new requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LeavingUpstream {
    /// Name of the upstream's instance.
    pub instance: String,
    /// Availability zone.
    pub availability_zone: String,
}

/// Status of one instance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Admin address.
    pub address: String,
    /// Name.
    pub instance: String,
    /// Availability zone.
    pub availability_zone: String,
    /// `ready`, or the reason why the instance is not ready.
    pub state: String,
    /// Applied versions of the published configuration values.
    pub versions: Vec<AppliedVersion>,
    /// Number of requests in progress.
    #[serde(rename = "held")]
    pub held_requests: u64,
    /// Numbers of requests that ended since the instance started, by tier and outcome.
    #[serde(rename = "ended")]
    pub request_counts: Vec<RequestCount>,
    /// Shed levels known to the instance, by pool.
    pub shed_levels: Vec<Gauge>,
    /// Concurrency limits of the replicas that the instance owns.
    pub limits: Vec<Gauge>,
    /// Upstreams that are leaving.
    pub leaving: Vec<LeavingUpstream>,
}

/// An admin address from which no status could be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UnreachableInstance {
    /// Admin address.
    pub address: String,
    /// Error message.
    pub reason: String,
}

/// Status of all requested instances.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Status {
    /// Instances whose status was fetched, ordered by availability zone and name.
    pub instances: Vec<InstanceStatus>,
    /// Addresses from which no status could be fetched.
    pub unreachable: Vec<UnreachableInstance>,
}

/// The part of a `/dump` response that the status needs.
#[derive(Debug, Deserialize)]
struct Dump {
    instance: DumpInstance,
    fleet: DumpFleet,
}

#[derive(Debug, Deserialize)]
struct DumpInstance {
    instance: String,
    availability_zone: String,
}

#[derive(Debug, Deserialize)]
struct DumpFleet {
    versions: Vec<AppliedVersion>,
    instances: DumpInstances,
}

#[derive(Debug, Deserialize)]
struct DumpInstances {
    instances: Vec<Instance>,
}

/// Fetches the status of the instances at all admin `addresses` concurrently.
pub async fn fetch(client: &Client, addresses: &[String]) -> Status {
    let fetches = addresses.iter().map(|a| fetch_one(client, a));
    let mut status = Status::default();
    for (address, result) in addresses.iter().zip(join_all(fetches).await) {
        match result {
            Ok(instance) => status.instances.push(instance),
            Err(e) => status.unreachable.push(UnreachableInstance {
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
        reason: format!("invalid /dump response: {e}"),
    })?;
    let samples = sample::parse(&String::from_utf8_lossy(&metrics.body));
    Ok(InstanceStatus {
        address: address.to_owned(),
        instance: dump.instance.instance,
        availability_zone: dump.instance.availability_zone,
        state: String::from_utf8_lossy(&ready.body).trim().to_owned(),
        versions: dump.fleet.versions,
        held_requests: sample::named(&samples, HELD_REQUESTS_METRIC)
            .map(|s| s.value as u64)
            .sum(),
        request_counts: request_counts(&samples),
        shed_levels: gauges(&samples, SHED_LEVEL_METRIC),
        limits: gauges(&samples, UPSTREAM_LIMIT_METRIC),
        leaving: leaving_upstreams(&dump.fleet.instances.instances),
    })
}

fn request_counts(samples: &[Sample]) -> Vec<RequestCount> {
    let counts = sample::named(samples, REQUESTS_METRIC).map(|s| RequestCount {
        tier: s.label("tier").to_owned(),
        outcome: s.label("outcome").to_owned(),
        count: s.value as u64,
    });
    counts.collect()
}

fn gauges(samples: &[Sample], name: &str) -> Vec<Gauge> {
    let gauge = |s: &Sample| Gauge {
        labels: s
            .labels
            .iter()
            .map(|l| l.value.as_str())
            .collect::<Vec<_>>()
            .join(", "),
        value: s.value,
    };
    sample::named(samples, name).map(gauge).collect()
}

fn leaving_upstreams(instances: &[Instance]) -> Vec<LeavingUpstream> {
    let leaving = instances
        .iter()
        .filter(|i| i.role == Role::Upstream && i.state == State::Leaving);
    let to_upstream = |i: &Instance| LeavingUpstream {
        instance: i.instance.to_string(),
        availability_zone: i.availability_zone.to_string(),
    };
    leaving.map(to_upstream).collect()
}

impl Status {
    /// Formats the fleet status as aligned tables, followed by notes and unreachable addresses.
    pub fn text(&self) -> String {
        let mut text = self.instance_table();
        text.push('\n');
        text.push_str(&self.tier_table());
        for instance in &self.instances {
            text.extend(notes(instance));
        }
        for UnreachableInstance { address, reason } in &self.unreachable {
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
                instance.applied_version("table"),
                instance.applied_version("services"),
                instance.applied_version("instances"),
                instance.held_requests.to_string(),
            ]);
        }
        let mut table = builder.build();
        table.with(Style::psql());
        table.modify(Columns::new(4..), Alignment::right());
        format!("{table}\n")
    }

    fn tier_table(&self) -> String {
        let mut rows: Vec<RequestCount> = Vec::new();
        for count in self.instances.iter().flat_map(|i| &i.request_counts) {
            match rows
                .iter_mut()
                .find(|r| r.tier == count.tier && r.outcome == count.outcome)
            {
                Some(row) => row.count += count.count,
                None => rows.push(count.clone()),
            }
        }
        if rows.is_empty() {
            return "no request has ended yet\n".to_owned();
        }
        rows.sort_by(|a, b| (&a.tier, &a.outcome).cmp(&(&b.tier, &b.outcome)));
        let mut builder = Builder::default();
        builder.push_record(["tier", "outcome", "requests", "of its tier"]);
        for row in &rows {
            let tier_total: u64 = rows
                .iter()
                .filter(|r| r.tier == row.tier)
                .map(|r| r.count)
                .sum();
            builder.push_record([
                row.tier.clone(),
                row.outcome.clone(),
                row.count.to_string(),
                format!(
                    "{:.1} %",
                    row.count as f64 / tier_total.max(1) as f64 * 100.0
                ),
            ]);
        }
        let mut table = builder.build();
        table.with(Style::psql());
        table.modify(Columns::new(2..), Alignment::right());
        format!("{table}\n")
    }
}

impl InstanceStatus {
    /// Whether the instance accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.state == READY_BODY
    }

    fn applied_version(&self, name: &str) -> String {
        let applied = self.versions.iter().find(|v| v.name == name);
        applied.map_or_else(|| "none".to_owned(), |v| v.version.to_string())
    }
}

/// Lists the raised shed levels and the leaving upstreams of an instance, a line each.
fn notes(instance: &InstanceStatus) -> Vec<String> {
    let name = &instance.instance;
    let levels = instance.shed_levels.iter().filter(|l| l.value > 0.0);
    let mut notes: Vec<_> = levels
        .map(|l| format!("{name}: shed level {} of {}\n", l.value, l.labels))
        .collect();
    let leaving = &instance.leaving;
    notes.extend(
        leaving
            .iter()
            .map(|u| format!("{name}: {} leaves\n", u.instance)),
    );
    notes
}
