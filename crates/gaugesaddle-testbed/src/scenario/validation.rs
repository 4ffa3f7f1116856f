//! Validation of a scenario before it is run.

use super::{
    Class, Clients, Disturbance, Kind, Scenario, ScenarioError, ScheduledDisturbance, MAX_PROCESSES,
};

/// Maximum numbers of zones, regions and nodes of a fleet, bounded by the names and addresses of a run.
const MAX_ZONES: usize = 64;
const MAX_REGIONS: usize = 8;
const MAX_NODES: usize = 512;
/// Maximum request rate of the clients, which share one thread.
const MAX_REQUESTS_PER_S: f64 = 20_000.0;
/// Maximum number of clients of a reconnect storm, and of attempts of each client.
const MAX_STORM_CLIENTS: usize = 20_000;
const MAX_STORM_ATTEMPTS: u32 = 1000;
/// Maximum number of key changes of one disturbance.
const MAX_KEY_CHANGES: u32 = 1000;

/// The result of one check: whether it passed, the key that it concerns, and the expected value.
type Check = (bool, &'static str, &'static str);

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value.is_finite()
}

fn is_range(range: [f64; 2]) -> bool {
    range[0] >= 0.0 && range[0] <= range[1] && range[1].is_finite()
}

impl Scenario {
    /// Checks a scenario whose proxies run as processes.
    ///
    /// # Errors
    /// The first value that is out of its range.
    pub fn check(&self) -> Result<(), ScenarioError> {
        self.check_up_to(MAX_PROCESSES)
    }

    /// Checks a scenario with at most that many proxies.
    ///
    /// # Errors
    /// The first value that is out of its range.
    pub fn check_up_to(&self, max_proxies: usize) -> Result<(), ScenarioError> {
        let checks = [
            self.check_size(max_proxies).as_slice(),
            check_kinds(&self.kinds).as_slice(),
            check_classes(&self.classes).as_slice(),
            check_clients(&self.clients).as_slice(),
            self.check_features().as_slice(),
            self.check_events().as_slice(),
        ]
        .concat();
        match checks.into_iter().find(|check| !check.0) {
            Some((_, key, expected)) => Err(ScenarioError::Value { key, expected }),
            None => Ok(()),
        }
    }

    fn check_size(&self, max_proxies: usize) -> [Check; 6] {
        let regions = self.regions.count;
        let divides = |count: usize| regions > 0 && count % regions == 0;
        [
            ((0.1..=3600.0).contains(&self.seconds), "seconds", "0.1 to 3600"),
            (self.proxies > 0, "proxies", "1 to 256"),
            (self.proxies <= max_proxies, "proxies", "1 to 256 as processes, 1 to 4096 in virtual time"),
            ((1..=MAX_ZONES).contains(&self.zones), "halls", "1 to 64"),
            (
                (1..=MAX_REGIONS).contains(&regions) && divides(self.zones) && divides(self.proxies),
                "regions.count",
                "1 to 8, dividing the numbers of halls and proxies evenly",
            ),
            ((1..=MAX_NODES).contains(&self.nodes()), "kinds", "1 to 512 nodes in total"),
        ]
    }

    fn check_features(&self) -> [Check; 3] {
        [
            (self.peers || !self.demand_allocation, "shares", "peers to be enabled too"),
            (self.peers || !self.failover, "failover", "peers to be enabled too"),
            (is_range([0.0, self.cross_zone]), "cross_zone", "0 or more"),
        ]
    }

    fn check_events(&self) -> [Check; 1] {
        [(
            self.events.iter().all(|event| self.is_possible(event)),
            "events",
            "existing nodes, halls and proxies, and values within their ranges",
        )]
    }

    /// Whether a disturbance refers to existing nodes, zones and proxies, and its values are within their ranges.
    fn is_possible(&self, event: &ScheduledDisturbance) -> bool {
        let has_node = |node: usize| node < self.nodes();
        let has_proxy = |proxy: usize| proxy < self.proxies;
        match event.disturbance {
            Disturbance::Crash { node, .. }
            | Disturbance::Drain { node, .. }
            | Disturbance::Slow { node, .. }
            | Disturbance::Hang { node, .. }
            | Disturbance::Spoil { node, .. }
            | Disturbance::Resets { node, .. } => has_node(node),
            Disturbance::LinkPartition { proxy, node, .. } | Disturbance::Delay { proxy, node, .. } => {
                has_node(node) && has_proxy(proxy)
            }
            Disturbance::Deploy { nodes, group, every_s } => {
                nodes <= self.nodes() && group > 0 && is_positive(every_s)
            }
            Disturbance::Shrink { nodes, .. } => has_node(nodes),
            Disturbance::ZoneOutage { zone, .. } => zone < self.zones,
            Disturbance::KillProxy { proxy, .. }
            | Disturbance::StopProxy { proxy, .. }
            | Disturbance::RestartProxy { proxy }
            | Disturbance::LoseProxy { proxy }
            | Disturbance::LeaveProxy { proxy }
            | Disturbance::JoinProxy { proxy } => has_proxy(proxy),
            Disturbance::RollProxies { group, every_s } => group > 0 && is_positive(every_s),
            Disturbance::Network { ref links, ref zones, .. } => {
                let zones = zones.is_empty() || (zones.len() == self.zones && !links.groups.is_empty());
                self.peers && zones && links.check(self.proxies).is_ok()
            }
            Disturbance::Burst { factor, .. } => is_positive(factor),
            Disturbance::ReconnectStorm { clients, attempts, wait_ms, honour, .. } => {
                clients <= MAX_STORM_CLIENTS
                    && attempts <= MAX_STORM_ATTEMPTS
                    && is_range(wait_ms)
                    && is_fraction(honour)
            }
            Disturbance::NewKeys { times, every_s } => times <= MAX_KEY_CHANGES && is_positive(every_s),
            Disturbance::RegionDelay { by_ms, .. } => is_range([0.0, by_ms]),
            Disturbance::DiscoveryDown { .. }
            | Disturbance::DiscoveryMove {}
            | Disturbance::RegionPartition { .. } => true,
        }
    }
}

fn check_kinds(kinds: &[Kind]) -> [Check; 2] {
    [
        (
            kinds.iter().all(|kind| is_positive(kind.speed) && kind.cores > 0),
            "kinds",
            "a speed and cores above 0",
        ),
        (kinds.iter().all(|kind| is_fraction(kind.initial_capacity)), "kinds.cold_from", "0 to 1"),
    ]
}

fn check_classes(classes: &[Class]) -> [Check; 3] {
    [
        (!classes.is_empty(), "classes", "at least one"),
        (
            classes.iter().all(|class| is_positive(class.work_ms) && is_positive(class.priority_weight)),
            "classes",
            "work and worth above 0",
        ),
        (
            classes.iter().all(|class| class.objective_ms <= class.deadline_ms),
            "classes.aim_ms",
            "no more than deadline_ms",
        ),
    ]
}

fn check_clients(clients: &Clients) -> [Check; 4] {
    let fractions =
        [clients.honour, clients.leaving, clients.slow_writing, clients.slow_reading, clients.single_request];
    [
        (
            is_positive(clients.per_s) && clients.per_s <= MAX_REQUESTS_PER_S,
            "clients.per_s",
            "above 0, up to 20000",
        ),
        (fractions.into_iter().all(is_fraction), "clients", "fractions from 0 to 1"),
        (
            clients.uneven.iter().copied().all(is_positive) && is_range([0.0, clients.moves_every_s]),
            "clients.uneven",
            "weights above 0, and an interval of 0 or more",
        ),
        (
            is_range(clients.backoff_ms) && is_range(clients.patience),
            "clients",
            "ranges from a lower to a higher value",
        ),
    ]
}
