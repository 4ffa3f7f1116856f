//! The description of a run: a fleet, its clients and its disturbances, read from a TOML file or built in Rust from the
//! defaults. Everything random is drawn from the seed before the run, see [`crate::plan`].
//!
//! Some keys of the file differ from the field names, for compatibility; `tests/golden_documents.rs` checks them.

mod deployment;
mod disturbance;
mod proxy_settings;
mod validation;

pub use deployment::{Class, Clients, Discovery, Effect, Kind, Limits, Overload, Regions, Rules};
pub use disturbance::{Disturbance, ScheduledDisturbance};

use serde::{Deserialize, Serialize};

/// Maximum number of proxies that run as processes: each takes one address of a network of 256.
pub const MAX_PROCESSES: usize = 256;

/// A scenario. Names of times end in their unit; omitted keys take their defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Its name, for reports.
    pub name: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Duration of the arrivals.
    pub seconds: f64,
    /// Number of proxies, assigned to the zones in turn.
    pub proxies: usize,
    /// Number of zones; nodes are assigned to them in turn.
    #[serde(rename = "halls")]
    pub zones: usize,
    /// Regions; zones are assigned to them in turn, with their nodes and proxies.
    pub regions: Regions,
    /// Whether the proxies form a tier (`[peers]`).
    pub peers: bool,
    /// Whether capacity is allocated by demand (`[shares]`).
    #[serde(rename = "shares")]
    pub demand_allocation: bool,
    /// Whether the proxies decide jointly on failover between zones (`[failover]`).
    pub failover: bool,
    /// Cost in the objective of the proxies when every request crosses zones once (`costs.cross_zone`).
    pub cross_zone: f64,
    /// Limits of a proxy.
    pub limits: Limits,
    /// The nodes, by kind.
    pub kinds: Vec<Kind>,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The clients.
    pub clients: Clients,
    /// Discovery.
    pub discovery: Discovery,
    /// Parameters of the four audited rules.
    pub rules: Rules,
    /// The overload model of the nodes.
    pub choke: Overload,
    /// Disturbances.
    pub events: Vec<ScheduledDisturbance>,
}

impl Default for Scenario {
    /// Three proxies, three zones, twelve nodes of two kinds, and a class of each effect, at about half load.
    fn default() -> Scenario {
        let kind = |name: &str, count, speed| Kind { name: name.into(), count, speed, ..Kind::default() };
        let read = Class { weight: 0.5, ..Class::default() };
        let vote = Class {
            name: "vote".into(),
            effect: Effect::Keyed,
            weight: 0.4,
            work_ms: 15.0,
            wait_ms: 5.0,
            objective_ms: 250.0,
            deadline_ms: 1200.0,
            priority_weight: 8.0,
            ..Class::default()
        };
        let pay = Class {
            name: "pay".into(),
            effect: Effect::Unsafe,
            weight: 0.1,
            priority_weight: 4.0,
            ..vote.clone()
        };
        Scenario {
            name: "plain".into(),
            seed: 1,
            seconds: 8.0,
            proxies: 3,
            regions: Regions::default(),
            zones: 3,
            peers: false,
            demand_allocation: false,
            failover: false,
            cross_zone: 0.0,
            limits: Limits::default(),
            kinds: vec![kind("fast", 4, 1.8), kind("slow", 8, 0.9)],
            classes: vec![read, vote, pay],
            clients: Clients::default(),
            discovery: Discovery::default(),
            rules: Rules::default(),
            choke: Overload::default(),
            events: Vec::new(),
        }
    }
}

/// An error in a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not valid TOML, or has an unknown key or a value of the wrong type.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// A value is out of its range.
    #[error("{key}: expected {expected}")]
    Value {
        /// The key.
        key: &'static str,
        /// The expected value.
        expected: &'static str,
    },
}

impl Scenario {
    /// Reads a scenario from TOML and checks it.
    ///
    /// # Errors
    /// The text cannot be parsed, or a value is out of its range.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Replaces the seed.
    pub fn seed(mut self, seed: u64) -> Scenario {
        self.seed = seed;
        self
    }

    /// Adds a disturbance.
    pub fn event(mut self, at_s: f64, disturbance: Disturbance) -> Scenario {
        self.events.push(ScheduledDisturbance { at_s, disturbance });
        self
    }

    /// Replaces the name.
    pub fn named(mut self, name: &str) -> Scenario {
        self.name = name.into();
        self
    }

    /// The region of a zone, a proxy or a node, by its number.
    pub fn region(&self, number: usize) -> usize {
        number % self.zones % self.regions.count
    }

    /// Number of nodes.
    pub fn nodes(&self) -> usize {
        self.kinds.iter().map(|k| k.count).sum()
    }
}

/// The name of a zone.
pub fn zone_name(number: usize) -> String {
    format!("hall-{number}")
}

#[cfg(test)]
mod tests;
