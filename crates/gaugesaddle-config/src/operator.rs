//! The operator's configuration: its schema and what makes one invalid.

use crate::{Finding, Findings};
use schematic::{Config, ConfigLoader};
use serde::de::IgnoredAny;
use std::collections::{HashMap, HashSet};

/// Under this name the loader knows the document's format.
const DOCUMENT_NAME: &str = "configuration.json";

/// One part of a route's traffic.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct TrafficShare {
    /// Name of the service.
    pub service: String,
    /// Its weight among the parts.
    pub weight: f64,
}

/// A route: which requests go to which service, and how.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct RouteConfig {
    /// Name.
    pub name: String,
    /// Host that clients name.
    pub hostname: String,
    /// Beginning of the path.
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent` or `streaming`.
    pub route_type: String,
    /// Longest time that a request may be held, in ms.
    pub timeout_ms: f64,
    /// Time within which an answer has its full worth, in ms.
    pub target_latency_ms: f64,
    /// Rank, 0 is highest.
    pub priority: f64,
    /// The service, where there is one.
    pub service: Option<String>,
    /// The services, where there are several.
    #[setting(nested)]
    pub traffic_split: Option<Vec<TrafficShare>>,
    /// Backends that one request may be sent to.
    #[setting(default = 1.0)]
    pub max_attempts: f64,
    /// Needs no key.
    pub public: bool,
    /// Requests share parts of their prompts.
    pub session_affinity: bool,
    /// A stream may be continued at another backend.
    pub stream_resume: bool,
    /// Longest pause between events, in ms.
    #[setting(rename = "gap_aim_ms")]
    pub gap_aim_ms: f64,
}

/// A service.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct ServiceConfig {
    /// Name.
    pub name: String,
    /// Path of the health check.
    pub health_check_path: Option<String>,
    /// Connections that one backend takes from all proxies together; 0 where it is not said.
    pub max_connections: f64,
}

/// Bounds on what clients send.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct ClientLimits {
    /// Bytes of a head.
    #[setting(default = 16384.0)]
    pub max_header_bytes: f64,
    /// Bytes of a body.
    #[setting(default = 4194304.0)]
    pub max_body_bytes: f64,
    /// Time that a head may take, in ms.
    #[setting(default = 3000.0)]
    pub header_timeout_ms: f64,
    /// Time that a connection may be idle, in ms.
    #[setting(default = 15000.0)]
    pub idle_timeout_ms: f64,
}

/// A tenant.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct TenantConfig {
    /// Name.
    pub name: String,
    /// Its keys.
    pub api_keys: Vec<String>,
    /// Rank, 0 is highest.
    pub priority: f64,
    /// `tokens`, or requests.
    pub unit: Option<String>,
    /// Tokens of a request that does not tell them.
    pub plain_tokens: f64,
    /// Units a second; 0: no limit.
    pub rate_per_s: f64,
    /// Units above that.
    pub burst: f64,
}

/// A whole configuration.
#[derive(Clone, Debug, Config)]
#[config(allow_unknown_fields, rename_all = "camelCase")]
pub struct OperatorConfig {
    /// Rises with each configuration.
    pub revision: u64,
    /// Routes.
    #[setting(nested)]
    pub routes: Vec<RouteConfig>,
    /// Services.
    #[setting(nested)]
    pub services: Vec<ServiceConfig>,
    /// Bounds for clients.
    #[setting(nested)]
    pub limits: ClientLimits,
    /// Tenants; without any, requests need no key.
    #[setting(nested)]
    pub tenants: Vec<TenantConfig>,
}

impl OperatorConfig {
    /// Reads and checks a document.
    pub fn parse(document: &[u8]) -> Result<OperatorConfig, Findings> {
        let one = |place: &str, expected: String| Findings(vec![Finding::new(place, expected)]);
        let text = std::str::from_utf8(document)
            .map_err(|e| one(&format!("byte {}", e.valid_up_to()), "UTF-8 text".to_owned()))?;
        // The loader would also take comments, and what follows a document.
        serde_json::from_str::<IgnoredAny>(text)
            .map_err(|e| one(&format!("line {}, column {}", e.line(), e.column()), "JSON".to_owned()))?;
        let unread = |e: schematic::ConfigError| one("document", e.to_full_string());
        let mut loader = ConfigLoader::<OperatorConfig>::new();
        loader.code(text, DOCUMENT_NAME).map_err(unread)?;
        let loaded = loader.load().map_err(unread)?;
        let config = loaded.config;
        let findings = config.check();
        if findings.is_empty() {
            Ok(config)
        } else {
            Err(Findings(findings))
        }
    }

    fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        self.check_routes(&mut findings);
        self.check_keys(&mut findings);
        findings
    }

    fn check_routes(&self, findings: &mut Vec<Finding>) {
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut places: HashMap<(&str, &str), usize> = HashMap::new();
        for (index, route) in self.routes.iter().enumerate() {
            let place = format!("routes[{index}] ({})", route.name);
            for service in route.services() {
                if !services.contains(service) {
                    let expected = format!("a known service, not {service:?}");
                    findings.push(Finding::new(&place, expected));
                }
            }
            if route.total_weight() <= 0.0 {
                findings.push(Finding::new(&place, "weights that add up to more than 0"));
            }
            if route.timeout_ms <= 0.0 {
                findings.push(Finding::new(format!("{place}.timeoutMs"), "more than 0"));
            }
            let at = (route.hostname.as_str(), route.path_prefix.as_str());
            if let Some(first) = places.insert(at, index) {
                let expected = format!("another host or prefix than that of routes[{first}]");
                findings.push(Finding::new(&place, expected));
            }
        }
    }

    fn check_keys(&self, findings: &mut Vec<Finding>) {
        let mut owners: HashMap<&str, usize> = HashMap::new();
        for (index, tenant) in self.tenants.iter().enumerate() {
            for key in &tenant.api_keys {
                match owners.insert(key, index) {
                    Some(first) if first != index => {
                        let place = format!("tenants[{index}] ({})", tenant.name);
                        let expected = format!("no key of tenants[{first}]");
                        findings.push(Finding::new(place, expected));
                    }
                    _ => {}
                }
            }
        }
    }
}

impl RouteConfig {
    /// Names of the services it goes to.
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
