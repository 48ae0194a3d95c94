//! The published table: routes, services, organisations and the bounds on what callers send.

use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::credit::Limit;
use kingcupfield_decisions::id::{OrganisationId, ServiceId, ShortName, Version, short_name};
use kingcupfield_decisions::regions::Regions;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A series of events.
    Stream {
        /// Whether another replica may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent to another replica.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Where requests with a host and a path prefix go.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name.
    pub name: Rc<str>,
    /// Host that it answers to.
    pub host: String,
    /// Start of the paths that it answers to.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub latency_objective: Duration,
    /// Longest pause between events of an answer that is on time.
    pub max_event_gap: Duration,
    /// Urgency, 0 first.
    pub rank: u32,
    /// Services that serve it, with their weights.
    pub targets: Vec<(ServiceId, u32)>,
    /// Most replicas that may run one request.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
    /// Regions in which its requests may be served.
    pub regions: Regions,
}

/// A service that replicas belong to.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Tokens in an event, if its replicas generate tokens in batches.
    pub tokens_per_event: Option<u32>,
    /// What its replicas bear after a start, if they are cold then.
    pub cold: Option<ColdStart>,
}

/// What replicas bear after a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long they are cold.
    pub duration: Duration,
    /// Requests a second that they bear meanwhile.
    pub requests_per_s: f64,
}

/// Who holds keys, and how much they may use.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// Urgency that goes before the route's.
    pub rank: Option<u32>,
    /// Limit over all instances, if there is one.
    pub limit: Option<Limit>,
    /// Whether the limit counts tokens, else requests.
    pub limit_in_tokens: bool,
    /// Tokens that a request counts that names none.
    pub default_tokens: u32,
    /// Regions in which its requests may be served.
    pub regions: Regions,
}

/// Regions in which a request of the organisation may be served on the route.
pub fn allowed_regions(route: &Route, organisation: Option<&Organisation>) -> Regions {
    organisation.map_or_else(
        || route.regions.clone(),
        |organisation| route.regions.and(&organisation.regions),
    )
}

/// Bounds on what a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub head_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// One published version of the table.
#[derive(Debug, Clone)]
pub struct Table {
    /// Its version.
    pub version: Version,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    routes: Vec<Rc<Route>>,
    services: Vec<Service>,
    keys: Vec<(String, Rc<Organisation>)>,
    short_names: Vec<(ShortName, Rc<Organisation>)>,
    requires_key: bool,
}

impl Table {
    /// Makes a table; `organisations` is `None` where no keys are in use.
    pub fn new(
        version: Version,
        limits: CallerLimits,
        routes: Vec<Route>,
        mut services: Vec<Service>,
        organisations: Option<Vec<(Organisation, Vec<String>)>>,
    ) -> Self {
        let mut routes: Vec<Rc<Route>> = routes.into_iter().map(Rc::new).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let requires_key = organisations.is_some();
        let mut keys = Vec::new();
        let mut short_names = Vec::new();
        for (organisation, held) in organisations.into_iter().flatten() {
            let organisation = Rc::new(organisation);
            short_names.push((short_name(&organisation.name), Rc::clone(&organisation)));
            keys.extend(held.into_iter().map(|key| (key, Rc::clone(&organisation))));
        }
        keys.sort_by(|a, b| a.0.cmp(&b.0));
        short_names.sort_by_key(|(short, _)| *short);
        Self {
            version,
            limits,
            routes,
            services,
            keys,
            short_names,
            requires_key,
        }
    }

    /// The route of the host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let first = self.routes.partition_point(|r| r.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|r| r.host == host)
            .filter(|r| path.starts_with(&r.prefix))
            .max_by_key(|r| r.prefix.len())
    }

    /// The organisation that holds the key.
    pub fn organisation(&self, key: &str) -> Option<&Rc<Organisation>> {
        let at = self
            .keys
            .binary_search_by(|(held, _)| held.as_str().cmp(key))
            .ok()?;
        Some(&self.keys[at].1)
    }

    /// The organisation that peers mean by a short name.
    pub fn organisation_by_short_name(&self, name: ShortName) -> Option<&Rc<Organisation>> {
        let at = self
            .short_names
            .binary_search_by(|(short, _)| short.cmp(&name))
            .ok()?;
        Some(&self.short_names[at].1)
    }

    /// Whether requests need a key.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()?;
        Some(&self.services[at])
    }
}
