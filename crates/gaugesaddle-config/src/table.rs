//! The routing table: a validated configuration, indexed for the lookups of a request.

use crate::operator::{
    ClientLimits, OperatorConfig, RouteConfig, ServiceConfig, TenantConfig, IDEMPOTENT, STREAMING,
};
use std::collections::HashMap;

/// Index of a service in [`RoutingTable::services`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub usize);

/// Whether a request may be executed more than once, and whether its response is a stream (RFC 9110 section 9.2.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May be executed more than once.
    Idempotent,
    /// Executed at most once.
    NonIdempotent,
    /// The response is a stream of events; executed at most once unless it is resumable.
    Streaming {
        /// A broken stream may be resumed at another backend.
        resume: bool,
    },
}

impl RouteKind {
    /// Whether a request may be executed more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Streaming { resume: true })
    }
}

/// A route, with its numbers in range.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Whether its requests may be executed more than once, and whether its responses are streams.
    pub kind: RouteKind,
    /// Deadline of a request, in ms, at least 1.
    pub timeout_ms: u64,
    /// Latency objective of a response, in ms.
    pub latency_objective_ms: f64,
    /// Objective for the gap between two events of a stream, in ms; 0: none.
    pub gap_objective_ms: f64,
    /// Priority, 0 is highest.
    pub priority: u32,
    /// Services with their weights, at least one of which is above 0.
    pub split: Vec<(ServiceIndex, f64)>,
    /// Maximum number of attempts of a request, the first included; at least 1.
    pub attempts: u32,
    /// Requests need no API key.
    pub public: bool,
}

/// A tenant, with its numbers in range.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Priority, 0 is highest.
    pub priority: u32,
    /// Whether its rate limit counts tokens; otherwise it counts requests.
    pub counts_tokens: bool,
    /// Tokens charged for a request whose size is unknown.
    pub plain_tokens: u64,
    /// Rate limit (units per second) and burst (units); `None`: unlimited.
    pub limit: Option<(f64, f64)>,
}

/// A validated configuration, indexed by host, path prefix and API key. Immutable: a new table is built for each
/// revision.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// Revision of the configuration.
    pub revision: u64,
    /// Services, by [`ServiceIndex`].
    pub services: Vec<ServiceConfig>,
    /// Limits on client requests.
    pub limits: ClientLimits,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    routes: Vec<Route>,
    /// Indices of routes, by host in lower case, then by path prefix.
    routes_by_host: HashMap<String, HashMap<String, usize>>,
    /// Indices of tenants, by API key.
    tenants_by_key: HashMap<String, usize>,
}

impl RoutingTable {
    /// Builds the table of a configuration that [`OperatorConfig::parse`] has validated.
    pub fn new(config: OperatorConfig) -> RoutingTable {
        let service_indices: HashMap<&str, usize> =
            config.services.iter().enumerate().map(|(i, s)| (s.name.as_str(), i)).collect();
        let mut routes_by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        let mut routes = Vec::with_capacity(config.routes.len());
        for (index, route) in config.routes.iter().enumerate() {
            let prefixes = routes_by_host.entry(route.hostname.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
            routes.push(make_route(route, &service_indices));
        }
        let mut tenants_by_key = HashMap::new();
        for (index, tenant) in config.tenants.iter().enumerate() {
            tenants_by_key.extend(tenant.api_keys.iter().map(|key| (key.clone(), index)));
        }
        let tenants = config.tenants.iter().map(make_tenant).collect();
        let OperatorConfig { revision, services, limits, .. } = config;
        RoutingTable { revision, services, limits, tenants, routes, routes_by_host, tenants_by_key }
    }

    /// The route with the longest path prefix that matches a request.
    ///
    /// `host` is a Host header; its port and its case are ignored. A prefix matches only if it is empty or ends with a
    /// slash, so the lookup takes at most one hash lookup for each segment of the path and one for the empty prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let hostname = host.rsplit_once(':').map_or(host, |(hostname, _)| hostname);
        let prefixes = match self.routes_by_host.get(hostname) {
            Some(prefixes) => prefixes,
            None => self.routes_by_host.get(&hostname.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        // Only prefixes that end with a slash are looked up here.
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(index) = prefixes.get(&path[..=slash]) {
                return self.routes.get(*index);
            }
            end = slash;
        }
        prefixes.get("").and_then(|index| self.routes.get(*index))
    }

    /// The tenant that owns an API key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.tenants_by_key.get(key).and_then(|index| self.tenants.get(*index))
    }

    /// Whether requests on routes that are not public need an API key.
    pub fn needs_keys(&self) -> bool {
        !self.tenants.is_empty()
    }
}

fn make_route(route: &RouteConfig, service_indices: &HashMap<&str, usize>) -> Route {
    let resume = route.stream_resume;
    let kind = match route.route_type.as_str() {
        IDEMPOTENT => RouteKind::Idempotent,
        STREAMING => RouteKind::Streaming { resume },
        // An unknown type is not retried, which is safe for any request; see `OperatorConfig::warnings`.
        _ => RouteKind::NonIdempotent,
    };
    let index = |name: &str| service_indices.get(name).copied().map(ServiceIndex);
    let split = match &route.traffic_split {
        Some(split) if !split.is_empty() => split
            .iter()
            .filter_map(|target| Some((index(&target.service)?, target.weight.max(0.0))))
            .collect(),
        _ => route.service.as_deref().and_then(index).map(|service| (service, 1.0)).into_iter().collect(),
    };
    Route {
        name: route.name.clone(),
        kind,
        timeout_ms: route.timeout_ms.max(1.0) as u64,
        latency_objective_ms: route.target_latency_ms.max(0.0),
        gap_objective_ms: route.event_gap_objective_ms.max(0.0),
        priority: route.priority.max(0.0) as u32,
        split,
        attempts: route.max_attempts.max(1.0) as u32,
        public: route.public,
    }
}

fn make_tenant(tenant: &TenantConfig) -> Tenant {
    Tenant {
        name: tenant.name.clone(),
        priority: tenant.priority.max(0.0) as u32,
        counts_tokens: tenant.unit.as_deref() == Some("tokens"),
        plain_tokens: tenant.plain_tokens.max(0.0) as u64,
        limit: (tenant.rate_per_s > 0.0).then_some((tenant.rate_per_s, tenant.burst.max(0.0))),
    }
}
