//! The routing table that a proxy looks requests up in.

use crate::operator::{ClientLimits, OperatorConfig, RouteConfig, ServiceConfig};
use std::collections::HashMap;

/// Index of a service in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub usize);

/// Whether a request may run twice, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// At most once.
    NonIdempotent,
    /// Answered by events; runs at most once unless it may be resumed.
    Streaming {
        /// May be continued at another backend.
        resume: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Streaming { resume: true })
    }
}

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// How its requests run.
    pub kind: RouteKind,
    /// Longest time that a request is held, in ms.
    pub timeout_ms: u64,
    /// Time within which an answer has its full worth, in ms.
    pub target_ms: f64,
    /// Longest pause between events, in ms; 0 where it is not said.
    pub gap_ms: f64,
    /// Rank, 0 is highest.
    pub priority: u32,
    /// Services with their weights, of which one at least is above 0.
    pub split: Vec<(ServiceIndex, f64)>,
    /// Backends that one request may be sent to.
    pub attempts: u32,
    /// Needs no key.
    pub public: bool,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Rank, 0 is highest.
    pub priority: u32,
    /// Whether its limit counts tokens, and not requests.
    pub counts_tokens: bool,
    /// Tokens of a request that does not tell them.
    pub plain_tokens: u64,
    /// Units a second and burst, where there is a limit.
    pub limit: Option<(f64, f64)>,
}

/// A configuration, ready for use.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// Its revision.
    pub revision: u64,
    /// Services.
    pub services: Vec<ServiceConfig>,
    /// Bounds for clients.
    pub limits: ClientLimits,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    routes: Vec<Route>,
    hosts: HashMap<String, HashMap<String, usize>>,
    keys: HashMap<String, usize>,
}

impl RoutingTable {
    /// The table of a checked configuration.
    pub fn new(config: OperatorConfig) -> RoutingTable {
        let names: HashMap<&str, usize> =
            config.services.iter().enumerate().map(|(i, s)| (s.name.as_str(), i)).collect();
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        let mut routes = Vec::with_capacity(config.routes.len());
        for (index, route) in config.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.hostname.to_ascii_lowercase()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
            routes.push(make_route(route, &names));
        }
        let mut keys = HashMap::new();
        for (index, tenant) in config.tenants.iter().enumerate() {
            keys.extend(tenant.api_keys.iter().map(|key| (key.clone(), index)));
        }
        let tenants = config.tenants.iter().map(make_tenant).collect();
        let OperatorConfig { revision, services, limits, .. } = config;
        RoutingTable { revision, services, limits, tenants, routes, hosts, keys }
    }

    /// The route of a request: of its host's prefixes that begin the path, the longest.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        // Every prefix ends with a slash.
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(index) = prefixes.get(&path[..=slash]) {
                return self.routes.get(*index);
            }
            end = slash;
        }
        prefixes.get("").and_then(|index| self.routes.get(*index))
    }

    /// The tenant that owns a key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.keys.get(key).and_then(|index| self.tenants.get(*index))
    }

    /// Whether requests need a key, except on public routes.
    pub fn needs_keys(&self) -> bool {
        !self.tenants.is_empty()
    }
}

fn make_route(route: &RouteConfig, names: &HashMap<&str, usize>) -> Route {
    let resume = route.stream_resume;
    let kind = match route.route_type.as_str() {
        "idempotent" => RouteKind::Idempotent,
        "streaming" => RouteKind::Streaming { resume },
        _ => RouteKind::NonIdempotent,
    };
    let index = |name: &str| names.get(name).copied().map(ServiceIndex);
    let split = match &route.traffic_split {
        Some(split) if !split.is_empty() => {
            split.iter().filter_map(|s| Some((index(&s.service)?, s.weight.max(0.0)))).collect()
        }
        _ => route.service.as_deref().and_then(index).map(|s| (s, 1.0)).into_iter().collect(),
    };
    Route {
        name: route.name.clone(),
        kind,
        timeout_ms: route.timeout_ms.max(1.0) as u64,
        target_ms: route.target_latency_ms.max(0.0),
        gap_ms: route.gap_aim_ms.max(0.0),
        priority: route.priority.max(0.0) as u32,
        split,
        attempts: route.max_attempts.max(1.0) as u32,
        public: route.public,
    }
}

fn make_tenant(tenant: &crate::operator::TenantConfig) -> Tenant {
    Tenant {
        name: tenant.name.clone(),
        priority: tenant.priority.max(0.0) as u32,
        counts_tokens: tenant.unit.as_deref() == Some("tokens"),
        plain_tokens: tenant.plain_tokens.max(0.0) as u64,
        limit: (tenant.rate_per_s > 0.0).then_some((tenant.rate_per_s, tenant.burst.max(0.0))),
    }
}
