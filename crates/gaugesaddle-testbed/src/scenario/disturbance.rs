//! Disturbances of a fleet, and their times.

use crate::datagrams::Links;
use serde::{Deserialize, Serialize};

/// A disturbance and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledDisturbance {
    /// Time from the start of the clients.
    pub at_s: f64,
    /// The disturbance.
    #[serde(flatten)]
    pub disturbance: Disturbance,
}

/// A disturbance. Nodes, zones and proxies are numbered from 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Disturbance {
    /// A node's process crashes and resets its connections.
    Crash {
        /// The node.
        node: usize,
        /// Time until a successor starts, if there is one.
        back_after_s: Option<f64>,
    },
    /// A node drains and leaves.
    Drain {
        /// The node.
        node: usize,
        /// Duration of the drain.
        over_s: f64,
        /// Time from the end of the drain until a successor starts, if there is one.
        back_after_s: Option<f64>,
    },
    /// A rolling deploy: nodes are replaced group by group.
    Deploy {
        /// Number of nodes, from the first one on.
        nodes: usize,
        /// Size of a group.
        group: usize,
        /// Interval between groups.
        every_s: f64,
    },
    /// Nodes drain and leave permanently, evenly spread over a time.
    Shrink {
        /// Number of nodes, from the last one back.
        nodes: usize,
        /// Duration.
        over_s: f64,
    },
    /// All nodes of a zone stop responding, and are replaced afterwards.
    #[serde(rename = "hall-out")]
    ZoneOutage {
        /// The zone.
        #[serde(rename = "hall")]
        zone: usize,
        /// Duration.
        for_s: f64,
    },
    /// A node is slowed down.
    Slow {
        /// The node.
        node: usize,
        /// Factor of the slowdown.
        factor: f64,
        /// Duration.
        for_s: f64,
    },
    /// A node accepts requests and completes none.
    Hang {
        /// The node.
        node: usize,
        /// Duration.
        for_s: f64,
    },
    /// A node corrupts a fraction of its responses.
    Spoil {
        /// The node.
        node: usize,
        /// The fraction.
        #[serde(rename = "part")]
        fraction: f64,
        /// Duration.
        for_s: f64,
    },
    /// A node resets a fraction of its connections, half of them before it has read the request.
    Resets {
        /// The node.
        node: usize,
        /// The fraction.
        #[serde(rename = "part")]
        fraction: f64,
        /// Duration.
        for_s: f64,
    },
    /// No data passes between a proxy and a node; connections stay open.
    #[serde(rename = "cut")]
    LinkPartition {
        /// The proxy.
        proxy: usize,
        /// The node.
        node: usize,
        /// Duration.
        for_s: f64,
    },
    /// The latency between a proxy and a node increases.
    Delay {
        /// The proxy.
        proxy: usize,
        /// The node.
        node: usize,
        /// Additional latency, each way.
        by_ms: f64,
        /// Duration.
        for_s: f64,
    },
    /// Discovery does not respond.
    DiscoveryDown {
        /// Duration.
        for_s: f64,
    },
    /// Discovery moves to another address; proxies reload by SIGHUP.
    DiscoveryMove {},
    /// A proxy is killed (SIGKILL) and started again.
    KillProxy {
        /// The proxy.
        proxy: usize,
        /// Time until the start.
        back_after_s: f64,
    },
    /// A proxy is stopped (SIGSTOP) and continued.
    StopProxy {
        /// The proxy.
        proxy: usize,
        /// Duration.
        for_s: f64,
    },
    /// A proxy is terminated (SIGTERM, with a grace period) and started again.
    RestartProxy {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy is killed (SIGKILL) permanently.
    LoseProxy {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy is terminated (SIGTERM) permanently.
    LeaveProxy {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy starts for the first time.
    JoinProxy {
        /// The proxy.
        proxy: usize,
    },
    /// A rolling restart of all proxies.
    RollProxies {
        /// Size of a group.
        group: usize,
        /// Interval between groups.
        every_s: f64,
    },
    /// The network between the proxies of a tier is disturbed.
    Network {
        /// The state of the network.
        links: Links,
        /// Group of each zone: a proxy reaches no nodes in zones of another group. Empty: proxies reach all nodes.
        #[serde(default)]
        #[serde(rename = "halls")]
        zones: Vec<u8>,
        /// Duration.
        for_s: f64,
    },
    /// Many clients reconnect at once, each from its own address and on its own connections.
    #[serde(rename = "crowd")]
    ReconnectStorm {
        /// Number of clients.
        clients: usize,
        /// Duration over which the clients arrive.
        over_s: f64,
        /// Maximum number of attempts of a client.
        #[serde(rename = "tries")]
        attempts: u32,
        /// Range of the constant backoff between attempts without `Retry-After`.
        wait_ms: [f64; 2],
        /// Fraction of the clients that follow `Retry-After`.
        honour: f64,
    },
    /// The latency between regions increases.
    RegionDelay {
        /// Additional latency, each way.
        by_ms: f64,
        /// Duration.
        for_s: f64,
    },
    /// No data passes between regions; connections stay open.
    #[serde(rename = "region-cut")]
    RegionPartition {
        /// Duration.
        for_s: f64,
    },
    /// All regions get new keys from the same authority.
    NewKeys {
        /// Number of changes.
        times: u32,
        /// Interval between changes.
        every_s: f64,
    },
    /// The arrival rate increases.
    Burst {
        /// Factor of the arrival rate.
        factor: f64,
        /// Duration.
        for_s: f64,
    },
}
