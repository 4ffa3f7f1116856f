//! The operator's configuration: its schema and its validation.
//!
//! Numbers are `f64` since documents may contain any JSON number; [`RoutingTable`](crate::RoutingTable) converts them.
//! Keys are part of the operators' interface: a field that is renamed here keeps its key by `rename`.

use crate::finding::{Finding, Findings};
use schematic::{Config, ConfigLoader, PartialConfig};
use serde::de::IgnoredAny;
use std::collections::{HashMap, HashSet};

/// File name given to the loader, which derives the format from its extension.
const DOCUMENT_NAME: &str = "configuration.json";

/// Values of `routeType`.
pub(crate) const IDEMPOTENT: &str = "idempotent";
pub(crate) const STREAMING: &str = "streaming";
pub(crate) const NON_IDEMPOTENT: &str = "non_idempotent";
const ROUTE_TYPES: [&str; 3] = [IDEMPOTENT, NON_IDEMPOTENT, STREAMING];

/// A weighted target of a route with a traffic split.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its weight relative to the route's other targets; negative counts as 0.
    pub weight: f64,
}

/// A route: the requests that it matches, their target services, deadlines and retries.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct RouteConfig {
    /// Name, as shown in findings and metrics. Uniqueness is not checked; a patch selects the first route of a name.
    pub name: String,
    /// Host header that it matches, in any case, without port.
    pub hostname: String,
    /// Prefix of the request path that it matches; the longest match wins.
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent` or `streaming`.
    pub route_type: String,
    /// Deadline of a request, in ms.
    pub timeout_ms: f64,
    /// Latency objective of a response, in ms.
    pub target_latency_ms: f64,
    /// Priority, 0 is highest.
    pub priority: f64,
    /// The target service, where traffic is not split.
    pub service: Option<String>,
    /// The target services and their weights, where traffic is split.
    #[setting(nested)]
    pub traffic_split: Option<Vec<WeightedService>>,
    /// Maximum number of attempts of a request, the first included.
    #[setting(default = 1.0)]
    pub max_attempts: f64,
    /// Requests need no API key.
    pub public: bool,
    /// Requests have prompt prefixes in common, so that cache affinity matters.
    pub session_affinity: bool,
    /// A broken stream may be resumed at another backend.
    pub stream_resume: bool,
    /// Objective for the gap between two events of a stream, in ms; 0: none.
    #[setting(rename = "gap_aim_ms")]
    pub event_gap_objective_ms: f64,
}

/// A service: a group of interchangeable backends.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct ServiceConfig {
    /// Name.
    pub name: String,
    /// Path of the HTTP health check.
    pub health_check_path: Option<String>,
    /// Maximum connections of one backend, summed over all proxies; 0: unlimited.
    pub max_connections: f64,
}

/// Limits on client requests and connections.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    #[setting(default = 16384.0)]
    pub max_header_bytes: f64,
    /// Maximum size of a request body, in bytes.
    #[setting(default = 4194304.0)]
    pub max_body_bytes: f64,
    /// Time-out for receiving a request head, in ms.
    #[setting(default = 3000.0)]
    pub header_timeout_ms: f64,
    /// Idle time-out of a client connection, in ms.
    #[setting(default = 15000.0)]
    pub idle_timeout_ms: f64,
}

/// A tenant: owner of API keys, with a rate limit.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct TenantConfig {
    /// Name.
    pub name: String,
    /// API keys; a key belongs to one tenant.
    pub api_keys: Vec<String>,
    /// Priority, 0 is highest.
    pub priority: f64,
    /// Unit of the rate limit: `tokens`; any other value or none means requests.
    pub unit: Option<String>,
    /// Tokens charged for a request whose size is unknown.
    pub plain_tokens: f64,
    /// Rate limit in units per second; 0: unlimited.
    pub rate_per_s: f64,
    /// Burst capacity of the token bucket, in units.
    pub burst: f64,
}

/// A full configuration of the fleet.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct OperatorConfig {
    /// Revision: strictly increasing with each committed configuration.
    pub revision: u64,
    /// Routes.
    #[setting(nested)]
    pub routes: Vec<RouteConfig>,
    /// Services.
    #[setting(nested)]
    pub services: Vec<ServiceConfig>,
    /// Limits on client requests.
    #[setting(nested)]
    pub limits: ClientLimits,
    /// Tenants; without any, requests need no key.
    #[setting(nested)]
    pub tenants: Vec<TenantConfig>,
}

impl OperatorConfig {
    /// Parses and validates a JSON document.
    ///
    /// # Errors
    ///
    /// One finding with its position for a document that cannot be parsed, otherwise all findings of its routes and API
    /// keys.
    pub fn parse(document: &[u8]) -> Result<OperatorConfig, Findings> {
        let text = std::str::from_utf8(document)
            .map_err(|e| Findings::single(format!("byte {}", e.valid_up_to()), "UTF-8 text"))?;
        let config = match OperatorConfig::parse_valid(text) {
            Some(config) => config,
            None => OperatorConfig::load(text)?,
        };
        let findings = config.validate();
        if findings.is_empty() {
            Ok(config)
        } else {
            Err(Findings(findings))
        }
    }

    /// The configuration in a document that matches the schema, else `None`. It is several times as fast as
    /// [`OperatorConfig::load`], which clones the document for each of its layers; every proxy parses each change.
    fn parse_valid(text: &str) -> Option<OperatorConfig> {
        let partial: PartialOperatorConfig = serde_json::from_str(text).ok()?;
        let complete = partial.finalize(&()).ok()?;
        Some(OperatorConfig::from_partial(complete))
    }

    /// Loads a document with the place of the first error.
    fn load(text: &str) -> Result<OperatorConfig, Findings> {
        // The loader alone would also accept comments, and trailing text after the document.
        serde_json::from_str::<IgnoredAny>(text)
            .map_err(|e| Findings::single(format!("line {}, column {}", e.line(), e.column()), "JSON"))?;
        let schema_violation = |e: schematic::ConfigError| Findings::single("document", e.to_full_string());
        let mut loader = ConfigLoader::<OperatorConfig>::new();
        loader.code(text, DOCUMENT_NAME).map_err(schema_violation)?;
        Ok(loader.load().map_err(schema_violation)?.config)
    }

    /// Likely mistakes in a valid configuration. An unknown route type is accepted, since a document may be written for
    /// a newer build; requests of such a route are executed at most once.
    pub fn warnings(&self) -> Vec<Finding> {
        let unknown = |(_, route): &(usize, &RouteConfig)| !ROUTE_TYPES.contains(&route.route_type.as_str());
        let finding = |(index, route): (usize, &RouteConfig)| {
            let path = format!("routes[{index}] ({}).routeType", route.name);
            let known = ROUTE_TYPES.join(", ");
            Finding::new(
                path,
                format!("one of {known}, not {:?}; treated as {NON_IDEMPOTENT}", route.route_type),
            )
        };
        self.routes.iter().enumerate().filter(unknown).map(finding).collect()
    }

    fn validate(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        self.validate_routes(&mut findings);
        self.validate_api_keys(&mut findings);
        findings
    }

    fn validate_routes(&self, findings: &mut Vec<Finding>) {
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut index_by_match: HashMap<(&str, &str), usize> = HashMap::new();
        for (index, route) in self.routes.iter().enumerate() {
            let path = format!("routes[{index}] ({})", route.name);
            for service in route.services() {
                if !services.contains(service) {
                    let expected = format!("a known service, not {service:?}");
                    findings.push(Finding::new(&path, expected));
                }
            }
            if route.total_weight() <= 0.0 {
                findings.push(Finding::new(&path, "weights that add up to more than 0"));
            }
            if route.timeout_ms <= 0.0 {
                findings.push(Finding::new(format!("{path}.timeoutMs"), "more than 0"));
            }
            let matched = (route.hostname.as_str(), route.path_prefix.as_str());
            if let Some(first) = index_by_match.insert(matched, index) {
                let expected = format!("another host or prefix than that of routes[{first}]");
                findings.push(Finding::new(&path, expected));
            }
        }
    }

    fn validate_api_keys(&self, findings: &mut Vec<Finding>) {
        let mut owner_by_key: HashMap<&str, usize> = HashMap::new();
        for (index, tenant) in self.tenants.iter().enumerate() {
            for key in &tenant.api_keys {
                match owner_by_key.insert(key, index) {
                    Some(first) if first != index => {
                        let path = format!("tenants[{index}] ({})", tenant.name);
                        let expected = format!("no key of tenants[{first}]");
                        findings.push(Finding::new(path, expected));
                    }
                    _ => {}
                }
            }
        }
    }
}

impl RouteConfig {
    /// Names of the services that its requests go to; an empty name where none is configured.
    pub fn services(&self) -> Vec<&str> {
        match &self.traffic_split {
            Some(split) if !split.is_empty() => split.iter().map(|s| s.service.as_str()).collect(),
            _ => vec![self.service.as_deref().unwrap_or("")],
        }
    }

    fn total_weight(&self) -> f64 {
        match &self.traffic_split {
            Some(split) if !split.is_empty() => split.iter().map(|s| s.weight.max(0.0)).sum(),
            _ => 1.0,
        }
    }
}
