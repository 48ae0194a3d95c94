//! Faults of a published value, all found in one pass, so that an operator mends them at once.

use std::fmt;
use std::net::SocketAddr;

use crate::id::Rank;
use crate::values::{Instance, Instances, Organisation, Role, Services, Table};

/// The row that holds a fault, counted from 1 as a spreadsheet does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Row {
    /// The value as a whole.
    EntireValue,
    /// A row of the tiers.
    Tier(usize),
    /// A row of the organisations.
    Organisation(usize),
    /// A row of the emptied zones.
    EmptiedZone(usize),
    /// A row of the services.
    Service(usize),
    /// A row of the list of instances.
    Instance(usize),
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EntireValue => write!(f, "the whole value"),
            Self::Tier(n) => write!(f, "tier row {n}"),
            Self::Organisation(n) => write!(f, "organisation row {n}"),
            Self::EmptiedZone(n) => write!(f, "emptied zone row {n}"),
            Self::Service(n) => write!(f, "service row {n}"),
            Self::Instance(n) => write!(f, "instance row {n}"),
        }
    }
}

/// One reason why a value can't be served by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where it stands.
    pub row: Row,
    /// Name of the column.
    pub column: &'static str,
    /// What is wrong.
    pub reason: String,
    /// What would be right.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            row,
            column,
            reason,
            expected,
        } = self;
        write!(f, "{row}, column {column}: {reason}; expected {expected}")
    }
}

/// A published value that can name its own faults.
pub trait Check {
    /// Every fault; none means that the value may come into force.
    fn faults(&self) -> Vec<Fault>;
    /// Orders the rows for binary search, after the faults were looked for.
    fn sort(&mut self);
}

/// Every fault of a table, for `kingcup table check`.
pub fn faults(table: &Table) -> Vec<Fault> {
    table.faults()
}

/// Regions and zones that a table names and no published instance stands in: nothing could be served there,
/// and nothing is emptied.
pub fn unknown_locations(table: &Table, instances: &Instances) -> Vec<Fault> {
    let mut f = Faults::default();
    let all = || instances.instances.iter();
    let regions = names(all().map(|i| &*i.region));
    let zones = names(all().map(|i| &*i.availability_zone));
    for (row, organisation) in rows(&table.organisations, Row::Organisation) {
        for region in &organisation.allowed_regions {
            f.known(row, "allowed_regions", region, &regions);
        }
    }
    for (row, zone) in rows(&table.emptied_zones, Row::EmptiedZone) {
        f.known(row, "emptied_zone", zone, &zones);
    }
    f.0
}

/// Names, sorted and each once.
fn names<'a, I>(names: I) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    names.dedup();
    names
}

/// Collects faults row by row.
#[derive(Debug, Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn push<R, E>(&mut self, row: Row, column: &'static str, reason: R, expected: E)
    where
        R: Into<String>,
        E: Into<String>,
    {
        self.0.push(Fault {
            row,
            column,
            reason: reason.into(),
            expected: expected.into(),
        });
    }

    fn name(&mut self, row: Row, column: &'static str, name: &str) {
        if name.is_empty() {
            self.push(row, column, "is empty", "a name");
        } else if name.trim() != name || name.chars().any(char::is_control) {
            let reason = format!("{name:?} begins or ends with a space or has control characters");
            self.push(row, column, reason, "a plain name");
        }
    }

    fn known(&mut self, row: Row, column: &'static str, name: &str, known: &[&str]) {
        if known.binary_search(&name).is_err() {
            let reason = format!("no instance stands in {name:?}");
            self.push(row, column, reason, format!("one of {}", known.join(", ")));
        }
    }

    fn weight(&mut self, row: Row, weight: u32) {
        if weight == 0 {
            self.push(row, "weight", "0 would never be served", "1 or more");
        }
    }

    fn twice<K, I>(&mut self, keys: I, column: &'static str)
    where
        K: Ord + fmt::Display,
        I: Iterator<Item = (K, Row)>,
    {
        let mut keys = keys.collect::<Vec<_>>();
        keys.sort();
        for pair in keys.windows(2) {
            if pair[0].0 == pair[1].0 {
                let reason = format!("{} stands in {} too", pair[1].0, pair[0].1);
                self.push(pair[1].1, column, reason, "one row for each");
            }
        }
    }

    fn limit(&mut self, row: Row, column: &'static str, limit: Option<f64>) {
        if limit.is_some_and(|l| !l.is_finite() || l <= 0.0) {
            let reason = format!("{} is no limit", limit.unwrap_or_default());
            self.push(
                row,
                column,
                reason,
                "a number above 0, or nothing for no limit",
            );
        }
    }

    fn address(&mut self, row: Row, column: &'static str, address: &str) {
        if address.parse::<SocketAddr>().is_err() {
            let reason = format!("{address:?} is no address");
            self.push(row, column, reason, "IP:port without a scheme");
        }
    }
}

/// Rows of a list with their numbers, counted from 1.
fn rows<T, F>(items: &[T], row: F) -> impl Iterator<Item = (Row, &T)>
where
    F: Fn(usize) -> Row,
{
    items.iter().enumerate().map(move |(i, t)| (row(i + 1), t))
}

impl Check for Table {
    fn faults(&self) -> Vec<Fault> {
        let mut f = Faults::default();
        if self.tiers.is_empty() {
            f.push(
                Row::EntireValue,
                "tiers",
                "there is no tier",
                "one row or more",
            );
        }
        for (row, tier) in rows(&self.tiers, Row::Tier) {
            f.name(row, "tier", &tier.tier);
            f.weight(row, tier.weight);
        }
        f.twice(
            rows(&self.tiers, Row::Tier).map(|(r, t)| (&t.tier, r)),
            "tier",
        );
        f.twice(
            rows(&self.tiers, Row::Tier).map(|(r, t)| (t.rank, r)),
            "rank",
        );
        if !self.tiers.is_empty() && !self.tiers.iter().any(|t| t.rank == Rank::MIN) {
            f.push(
                Row::EntireValue,
                "rank",
                "no tier has rank 0",
                "0 for the highest tier",
            );
        }
        for (row, organisation) in rows(&self.organisations, Row::Organisation) {
            self.organisation_faults(&mut f, row, organisation);
        }
        let organisations = || rows(&self.organisations, Row::Organisation);
        f.twice(
            organisations().map(|(r, o)| (&o.organisation, r)),
            "organisation",
        );
        let keys = organisations().flat_map(|(r, o)| {
            o.key_sha256
                .iter()
                .map(move |k| (k.to_ascii_lowercase(), r))
        });
        f.twice(keys, "key_sha256");
        let zones = || rows(&self.emptied_zones, Row::EmptiedZone);
        for (row, zone) in zones() {
            f.name(row, "emptied_zone", zone);
        }
        f.twice(zones().map(|(r, z)| (z, r)), "emptied_zone");
        f.0.sort_by_key(|fault| fault.row);
        f.0
    }

    fn sort(&mut self) {
        self.tiers.sort_by_key(|t| t.rank);
        for organisation in &mut self.organisations {
            for key in &mut organisation.key_sha256 {
                key.make_ascii_lowercase();
            }
        }
        self.organisations
            .sort_by(|a, b| a.organisation.cmp(&b.organisation));
        self.emptied_zones.sort_unstable();
    }
}

impl Table {
    fn organisation_faults(&self, f: &mut Faults, row: Row, organisation: &Organisation) {
        f.name(row, "organisation", &organisation.organisation);
        f.weight(row, organisation.weight);
        if !self.tiers.iter().any(|t| t.tier == organisation.max_tier) {
            let tiers = self.tiers.iter().map(|t| &*t.tier).collect::<Vec<_>>();
            let reason = format!("{:?} is no tier", organisation.max_tier);
            f.push(
                row,
                "max_tier",
                reason,
                format!("one of {}", tiers.join(", ")),
            );
        }
        for key in &organisation.key_sha256 {
            if key.len() != 64 || !key.bytes().all(|b| b.is_ascii_hexdigit()) {
                // The cell may hold the key itself by mistake, so it is not repeated here.
                let reason = format!("a cell of {} characters is no hash", key.len());
                f.push(row, "key_sha256", reason, "64 hexadecimal digits");
            }
        }
        for region in &organisation.allowed_regions {
            f.name(row, "allowed_regions", region);
        }
        f.limit(row, "requests_per_s", organisation.requests_per_s);
        f.limit(row, "tokens_per_s", organisation.tokens_per_s);
        if organisation.max_running == Some(0) {
            f.push(
                row,
                "max_running",
                "0 is no limit",
                "1 or more, or nothing for no limit",
            );
        }
    }
}

impl Check for Services {
    fn faults(&self) -> Vec<Fault> {
        let mut f = Faults::default();
        let services = || rows(&self.services, Row::Service);
        for (row, service) in services() {
            f.name(row, "service", &service.service);
            for call in &service.non_idempotent {
                let mut parts = call.split(' ');
                let method = parts.next().unwrap_or_default();
                let upper = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
                let path = parts.next().is_some_and(|p| p.starts_with('/'));
                if !upper || !path || parts.next().is_some() {
                    let reason = format!("{call:?} is no call");
                    f.push(
                        row,
                        "non_idempotent",
                        reason,
                        "METHOD /path, such as POST /bookings",
                    );
                }
            }
        }
        f.twice(services().map(|(r, s)| (&s.service, r)), "service");
        f.0.sort_by_key(|fault| fault.row);
        f.0
    }

    fn sort(&mut self) {
        self.services.sort_by(|a, b| a.service.cmp(&b.service));
    }
}

impl Check for Instances {
    fn faults(&self) -> Vec<Fault> {
        let mut f = Faults::default();
        let instances = || rows(&self.instances, Row::Instance);
        for (row, instance) in instances() {
            instance_faults(&mut f, row, instance);
        }
        f.twice(instances().map(|(r, i)| (&i.instance, r)), "instance");
        f.0.sort_by_key(|fault| fault.row);
        f.0
    }

    fn sort(&mut self) {
        self.instances.sort_by(|a, b| a.instance.cmp(&b.instance));
    }
}

fn instance_faults(f: &mut Faults, row: Row, instance: &Instance) {
    f.name(row, "instance", &instance.instance);
    f.name(row, "availability_zone", &instance.availability_zone);
    f.name(row, "region", &instance.region);
    f.address(row, "address", &instance.address);
    match (instance.role, &instance.rpc_address, &instance.service) {
        (Role::Entry, Some(address), _) => f.address(row, "rpc_address", address),
        (Role::Entry, None, _) => {
            f.push(
                row,
                "rpc_address",
                "an entry instance has none",
                "IP:port for its peers",
            );
        }
        (Role::Upstream, _, Some(service)) => f.name(row, "service", service),
        (Role::Upstream, _, None) => {
            f.push(
                row,
                "service",
                "an upstream has none",
                "the name of its service",
            );
        }
    }
}
