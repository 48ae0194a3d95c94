//! The published table: routes, services, organisations and the limits on callers' requests.

use std::rc::Rc;
use std::time::Duration;

use kingcupfield_decisions::credit::Limit;
use kingcupfield_decisions::id::{NameHash, OrganisationId, ServiceId, Version, name_hash};
use kingcupfield_decisions::regions::Regions;

/// Whether requests of a route may be sent to a second replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another replica can resume the stream after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent to another replica.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// This kind, without the permission to repeat requests unless `newer` gives it as well.
    fn narrowed_by(self, newer: Self) -> Self {
        match self {
            _ if newer.is_retryable() => self,
            Self::Stream { .. } => Self::Stream { resumable: false },
            Self::Idempotent | Self::NonIdempotent => Self::NonIdempotent,
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route: host and path prefix of requests, and the services that serve them.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route.
    pub name: Rc<str>,
    /// Host that requests must name.
    pub host: String,
    /// Prefix of the request paths.
    pub prefix: String,
    /// Whether its requests may be retried.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Latency objective, from arrival to the complete response, or to the first event of a stream.
    pub latency_objective: Duration,
    /// Maximum time between two events of a stream that meets its objective.
    pub max_event_gap: Duration,
    /// Priority rank; 0 is the most urgent.
    pub rank: u32,
    /// Services that serve the route, with their weights.
    pub targets: Vec<(ServiceId, u32)>,
    /// Maximum number of replicas that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Regions in which its requests may be served.
    pub regions: Regions,
}

impl Route {
    /// Priority rank of a request on the route. That of its organisation takes precedence.
    pub fn rank_for(&self, organisation: Option<&Organisation>) -> u32 {
        organisation.and_then(|o| o.rank).unwrap_or(self.rank)
    }

    /// Whether another route leads to the same services, in whatever shares.
    pub fn has_same_services(&self, other: &Self) -> bool {
        self.leads_to_all_of(other) && other.leads_to_all_of(self)
    }

    /// The terms under which a request goes on that was admitted on this route, after the same route of a newer
    /// table. The timeout and the regions are those of the newer one. The request may be repeated only if both
    /// permit it, and as often as both do; all else stays as it was at the admission.
    pub fn narrowed_by(&self, newer: &Self) -> Self {
        Self {
            kind: self.kind.narrowed_by(newer.kind),
            timeout: newer.timeout,
            max_attempts: self.max_attempts.min(newer.max_attempts),
            regions: newer.regions.clone(),
            ..self.clone()
        }
    }

    /// Whether its streams can be resumed.
    fn is_resumable(&self) -> bool {
        self.kind.is_stream() && self.kind.is_retryable()
    }

    fn leads_to_all_of(&self, other: &Self) -> bool {
        let leads_to = |service: &ServiceId| self.targets.iter().any(|(s, _)| s == service);
        other.targets.iter().all(|(service, _)| leads_to(service))
    }
}

/// A service, which a group of replicas provides.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Tokens per event, if its replicas generate tokens in batches; `None` for other services.
    pub tokens_per_event: Option<u32>,
    /// Load limit of its replicas after a start, if they start cold.
    pub cold: Option<ColdStart>,
}

/// Load limit of replicas that are still warming up after a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long a replica warms up.
    pub duration: Duration,
    /// Requests per second that a replica can serve meanwhile.
    pub requests_per_s: f64,
}

/// An organisation, which holds keys and has limits.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationId,
    /// Priority rank that takes precedence over the rank of the route; 0 is the most urgent.
    pub rank: Option<u32>,
    /// Rate limit over all instances together, if there is one.
    pub limit: Option<Limit>,
    /// Whether the limit is in tokens per second; otherwise in requests per second.
    pub limit_in_tokens: bool,
    /// Tokens charged for a request that does not state its number of tokens.
    pub default_tokens: u32,
    /// Regions in which its requests may be served.
    pub regions: Regions,
}

impl Organisation {
    /// Its limit in tokens per second, which is its share of the capacity; `None` without a limit.
    fn share(&self) -> Option<f64> {
        let limit = self.limit?;
        let tokens_per_unit = if self.limit_in_tokens {
            1.0
        } else {
            f64::from(self.default_tokens.max(1))
        };
        let share = limit.rate * tokens_per_unit;
        (share > 0.0 && share.is_finite()).then_some(share)
    }
}

/// Regions in which a request of the organisation may be served on the route: those that both
/// allow.
pub fn allowed_regions(route: &Route, organisation: Option<&Organisation>) -> Regions {
    organisation.map_or_else(
        || route.regions.clone(),
        |organisation| route.regions.and(&organisation.regions),
    )
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request's head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// One published version of the table.
#[derive(Debug, Clone)]
pub struct Table {
    /// Version number, which grows with each publication.
    pub version: Version,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Sorted by host and prefix.
    routes: Vec<Rc<Route>>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Keys with the organisations that hold them, sorted by key.
    keys: Vec<(String, Rc<Organisation>)>,
    /// Sorted by name hash.
    organisations_by_hash: Vec<(NameHash, Rc<Organisation>)>,
    /// Name hashes of the services that share a route of resumable streams with others, sorted.
    sharing_services: Vec<NameHash>,
    /// Whether requests need a key, except on public routes.
    requires_key: bool,
    /// Largest share of an organisation; `None` if none has a limit.
    largest_share: Option<f64>,
    /// Largest number of default tokens of an organisation, at least 1.
    largest_default_tokens: u32,
}

impl Table {
    /// Whether another table describes the same services.
    pub fn has_same_services(&self, other: &Self) -> bool {
        self.services == other.services
    }

    /// Creates a table; `organisations`, each with its keys, is `None` where no keys are in use.
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
        let mut organisations_by_hash = Vec::new();
        for (organisation, organisation_keys) in organisations.into_iter().flatten() {
            let organisation = Rc::new(organisation);
            organisations_by_hash.push((name_hash(&organisation.name), Rc::clone(&organisation)));
            keys.extend(
                organisation_keys
                    .into_iter()
                    .map(|key| (key, Rc::clone(&organisation))),
            );
        }
        keys.sort_by(|a, b| a.0.cmp(&b.0));
        organisations_by_hash.sort_by_key(|(hash, _)| *hash);
        let shares = organisations_by_hash.iter().filter_map(|(_, o)| o.share());
        let largest_share = shares.reduce(f64::max);
        let default_tokens = organisations_by_hash.iter().map(|(_, o)| o.default_tokens);
        let largest_default_tokens = default_tokens.max().unwrap_or(1).max(1);
        let sharing_services = sharing_services(&routes);
        Self {
            version,
            limits,
            routes,
            services,
            keys,
            organisations_by_hash,
            sharing_services,
            requires_key,
            largest_share,
            largest_default_tokens,
        }
    }

    /// Whether the service with this name hash shares a route of resumable streams with others, so that the route
    /// alone doesn't tell which of them began a stream.
    pub fn shares_resumable_route(&self, service: NameHash) -> bool {
        self.sharing_services.binary_search(&service).is_ok()
    }

    /// The route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let first = self.routes.partition_point(|r| r.host.as_str() < host);
        self.routes[first..]
            .iter()
            .take_while(|r| r.host == host)
            .filter(|r| path.starts_with(&r.prefix))
            .max_by_key(|r| r.prefix.len())
    }

    /// The same route as one of another table: the one for the same host and prefix, whatever its name.
    pub fn same_route(&self, other: &Route) -> Option<&Rc<Route>> {
        let of_other = (&other.host, &other.prefix);
        let found = self
            .routes
            .binary_search_by(|r| (&r.host, &r.prefix).cmp(&of_other));
        found.ok().map(|index| &self.routes[index])
    }

    /// The route that served the requests of a newer table's route.
    ///
    /// Most routes of a large table are the same in both, and are found without a look at all others of their
    /// host.
    pub fn route_before(&self, newer: &Route) -> Option<&Rc<Route>> {
        self.same_route(newer)
            .or_else(|| self.route(&newer.host, &newer.prefix))
    }

    /// The routes whose streams can be resumed.
    pub fn resumable_routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.iter().filter(|r| r.is_resumable())
    }

    /// The organisation that holds the key.
    pub fn organisation(&self, key: &str) -> Option<&Rc<Organisation>> {
        let index = self
            .keys
            .binary_search_by(|(other, _)| other.as_str().cmp(key))
            .ok()?;
        Some(&self.keys[index].1)
    }

    /// The organisation with this name hash, which identifies it in messages between instances.
    pub fn organisation_by_name_hash(&self, name: NameHash) -> Option<&Rc<Organisation>> {
        let index = self
            .organisations_by_hash
            .binary_search_by(|(hash, _)| hash.cmp(&name))
            .ok()?;
        Some(&self.organisations_by_hash[index].1)
    }

    /// Share of an organisation in tokens per second, by which its usage is divided: its limit, else the
    /// largest limit of the table, else 1.
    pub fn share(&self, organisation: Option<&Organisation>) -> f64 {
        let own = organisation.and_then(Organisation::share);
        own.or(self.largest_share).unwrap_or(1.0)
    }

    /// Tokens that a request without a number of tokens counts as. Without an organisation: the largest
    /// default of the table, as its usage is divided by the largest share.
    pub fn default_tokens(&self, organisation: Option<&Organisation>) -> u32 {
        organisation.map_or(self.largest_default_tokens, |o| o.default_tokens.max(1))
    }

    /// Whether requests need a key.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()?;
        Some(&self.services[index])
    }
}

/// Name hashes of the services that share a route of resumable streams with others, sorted.
fn sharing_services(routes: &[Rc<Route>]) -> Vec<NameHash> {
    let shared = routes
        .iter()
        .filter(|r| r.is_resumable() && r.targets.len() > 1);
    let services = shared.flat_map(|r| &r.targets);
    let mut services: Vec<NameHash> = services.map(|(name, _)| name_hash(name)).collect();
    services.sort_unstable();
    services.dedup();
    services
}
