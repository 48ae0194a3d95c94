//! Faults of published values. All of them are found in one pass, so that an operator can correct
//! them together.

use std::fmt;
use std::net::SocketAddr;

use crate::id::Rank;
use crate::values::{Instance, Instances, Organisation, Role, Services, Table};

/// Row with a fault, counted from 1 as in a spreadsheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Row {
    /// The value as a whole, not a single row.
    EntireValue,
    /// A row of the tiers.
    Tier(usize),
    /// A row of the organisations.
    Organisation(usize),
    /// A row of the drained zones.
    DrainedZone(usize),
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
            Self::DrainedZone(n) => write!(f, "emptied zone row {n}"),
            Self::Service(n) => write!(f, "service row {n}"),
            Self::Instance(n) => write!(f, "instance row {n}"),
        }
    }
}

/// One reason why a value cannot come into force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Row with the fault.
    pub row: Row,
    /// Name of the column.
    pub column: &'static str,
    /// Description of the fault.
    pub reason: String,
    /// Description of a correct value.
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

/// A published value that can be checked for faults.
pub trait Check {
    /// Returns all faults; without any, the value may come into force.
    fn faults(&self) -> Vec<Fault>;
    /// Sorts the rows for binary search. To be called after [`Check::faults`], whose row numbers
    /// depend on the published order.
    fn sort(&mut self);
}

/// Returns all faults of a table, for `kingcup table check`.
pub fn faults(table: &Table) -> Vec<Fault> {
    table.faults()
}

/// Returns a fault for each region and zone in a table that has no published instance: no request
/// could be served in such a region, and such a zone has nothing to drain.
pub fn unknown_locations(table: &Table, instances: &Instances) -> Vec<Fault> {
    let mut f = Faults::default();
    let all = || instances.instances.iter();
    let regions = sorted_distinct(all().map(|i| &*i.region));
    let zones = sorted_distinct(all().map(|i| &*i.availability_zone));
    for (row, organisation) in rows(&table.organisations, Row::Organisation) {
        for region in &organisation.allowed_regions {
            f.check_location(row, "allowed_regions", region, &regions);
        }
    }
    for (row, zone) in rows(&table.emptied_zones, Row::DrainedZone) {
        f.check_location(row, "emptied_zone", zone, &zones);
    }
    f.0
}

/// Sorts names and removes duplicates.
fn sorted_distinct<'a, I>(names: I) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    names.dedup();
    names
}

/// Collector of faults.
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

    fn check_name(&mut self, row: Row, column: &'static str, name: &str) {
        if name.is_empty() {
            self.push(row, column, "is empty", "a name");
        } else if name.trim() != name || name.chars().any(char::is_control) {
            let reason = format!("{name:?} begins or ends with a space or has control characters");
            self.push(row, column, reason, "a plain name");
        }
    }

    /// Reports a zone or region that is not in the sorted list `known`.
    fn check_location(&mut self, row: Row, column: &'static str, name: &str, known: &[&str]) {
        if known.binary_search(&name).is_err() {
            let reason = format!("no instance is in {name:?}");
            self.push(row, column, reason, format!("one of {}", known.join(", ")));
        }
    }

    fn check_weight(&mut self, row: Row, weight: u32) {
        if weight == 0 {
            self.push(row, "weight", "0 would never be served", "1 or more");
        }
    }

    /// Reports every key that occurs more than once.
    fn check_duplicates<K, I>(&mut self, keys: I, column: &'static str)
    where
        K: Ord + fmt::Display,
        I: Iterator<Item = (K, Row)>,
    {
        let mut keys = keys.collect::<Vec<_>>();
        keys.sort();
        for pair in keys.windows(2) {
            if pair[0].0 == pair[1].0 {
                let reason = format!("{} is also in {}", pair[1].0, pair[0].1);
                self.push(pair[1].1, column, reason, "one row for each");
            }
        }
    }

    fn check_limit(&mut self, row: Row, column: &'static str, limit: Option<f64>) {
        if limit.is_some_and(|l| !l.is_finite() || l <= 0.0) {
            let reason = format!("{} is not a valid limit", limit.unwrap_or_default());
            self.push(
                row,
                column,
                reason,
                "a number above 0, or nothing for no limit",
            );
        }
    }

    fn check_address(&mut self, row: Row, column: &'static str, address: &str) {
        if address.parse::<SocketAddr>().is_err() {
            let reason = format!("{address:?} is not an address");
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
            f.check_name(row, "tier", &tier.tier);
            f.check_weight(row, tier.weight);
        }
        f.check_duplicates(
            rows(&self.tiers, Row::Tier).map(|(r, t)| (&t.tier, r)),
            "tier",
        );
        f.check_duplicates(
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
            self.check_organisation(&mut f, row, organisation);
        }
        let organisations = || rows(&self.organisations, Row::Organisation);
        f.check_duplicates(
            organisations().map(|(r, o)| (&o.organisation, r)),
            "organisation",
        );
        let keys = organisations().flat_map(|(r, o)| {
            o.key_sha256
                .iter()
                .map(move |k| (k.to_ascii_lowercase(), r))
        });
        f.check_duplicates(keys, "key_sha256");
        let zones = || rows(&self.emptied_zones, Row::DrainedZone);
        for (row, zone) in zones() {
            f.check_name(row, "emptied_zone", zone);
        }
        f.check_duplicates(zones().map(|(r, z)| (z, r)), "emptied_zone");
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
    fn check_organisation(&self, f: &mut Faults, row: Row, organisation: &Organisation) {
        f.check_name(row, "organisation", &organisation.organisation);
        f.check_weight(row, organisation.weight);
        if !self.tiers.iter().any(|t| t.tier == organisation.max_tier) {
            let tiers = self.tiers.iter().map(|t| &*t.tier).collect::<Vec<_>>();
            let reason = format!("{:?} is not a tier", organisation.max_tier);
            f.push(
                row,
                "max_tier",
                reason,
                format!("one of {}", tiers.join(", ")),
            );
        }
        for key in &organisation.key_sha256 {
            if key.len() != 64 || !key.bytes().all(|b| b.is_ascii_hexdigit()) {
                // The cell may contain the key itself by mistake, so the message omits its content.
                let reason = format!("a cell of {} characters is not a hash", key.len());
                f.push(row, "key_sha256", reason, "64 hexadecimal digits");
            }
        }
        for region in &organisation.allowed_regions {
            f.check_name(row, "allowed_regions", region);
        }
        f.check_limit(row, "requests_per_s", organisation.requests_per_s);
        f.check_limit(row, "tokens_per_s", organisation.tokens_per_s);
        if organisation.max_running == Some(0) {
            f.push(
                row,
                "max_running",
                "0 is not a valid limit",
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
            f.check_name(row, "service", &service.service);
            for call in &service.non_idempotent {
                let mut parts = call.split(' ');
                let method = parts.next().unwrap_or_default();
                let upper = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
                let path = parts.next().is_some_and(|p| p.starts_with('/'));
                if !upper || !path || parts.next().is_some() {
                    let reason = format!("{call:?} is not a call");
                    f.push(
                        row,
                        "non_idempotent",
                        reason,
                        "METHOD /path, such as POST /bookings",
                    );
                }
            }
        }
        f.check_duplicates(services().map(|(r, s)| (&s.service, r)), "service");
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
            check_instance(&mut f, row, instance);
        }
        f.check_duplicates(instances().map(|(r, i)| (&i.instance, r)), "instance");
        f.0.sort_by_key(|fault| fault.row);
        f.0
    }

    fn sort(&mut self) {
        self.instances.sort_by(|a, b| a.instance.cmp(&b.instance));
    }
}

fn check_instance(f: &mut Faults, row: Row, instance: &Instance) {
    f.check_name(row, "instance", &instance.instance);
    f.check_name(row, "availability_zone", &instance.availability_zone);
    f.check_name(row, "region", &instance.region);
    f.check_address(row, "address", &instance.address);
    match (instance.role, &instance.rpc_address, &instance.service) {
        (Role::Entry, Some(address), _) => f.check_address(row, "rpc_address", address),
        (Role::Entry, None, _) => {
            f.push(
                row,
                "rpc_address",
                "an entry instance has none",
                "IP:port for its peers",
            );
        }
        (Role::Upstream, _, Some(service)) => f.check_name(row, "service", service),
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
