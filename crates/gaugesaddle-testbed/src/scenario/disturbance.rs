//! What happens to a fleet, and when.

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

/// What can happen. Nodes, zones and proxies are numbered from 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Disturbance {
    /// A node's process dies and resets its connections.
    Crash {
        /// The node.
        node: usize,
        /// Time until a successor starts, if any.
        back_after_s: Option<f64>,
    },
    /// A node drains and leaves.
    Drain {
        /// The node.
        node: usize,
        /// Duration of the drain.
        over_s: f64,
        /// Time from its end until a successor starts, if any.
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
    /// Nodes drain and leave for good, evenly over a time.
    Shrink {
        /// Number of nodes, from the last one back.
        nodes: usize,
        /// Duration.
        over_s: f64,
    },
    /// All nodes of a zone stop answering, and are replaced afterwards.
    #[serde(rename = "hall-out")]
    ZoneOutage {
        /// The zone.
        #[serde(rename = "hall")]
        zone: usize,
        /// Duration.
        for_s: f64,
    },
    /// A node is slower.
    Slow {
        /// The node.
        node: usize,
        /// Factor of the slowdown.
        factor: f64,
        /// Duration.
        for_s: f64,
    },
    /// A node accepts requests and answers none.
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
    /// Nothing passes between a proxy and a node; connections stay open.
    #[serde(rename = "cut")]
    LinkPartition {
        /// The proxy.
        proxy: usize,
        /// The node.
        node: usize,
        /// Duration.
        for_s: f64,
    },
    /// The link between a proxy and a node is slower.
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
    /// Discovery does not answer.
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
    /// A proxy is ended (SIGTERM, with a grace period) and started again.
    RestartProxy {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy is killed (SIGKILL) for good.
    LoseProxy {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy is ended (SIGTERM) for good.
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
        /// By zone, its group: proxies reach no nodes in zones of another group. Empty: they reach all.
        #[serde(default)]
        #[serde(rename = "halls")]
        zones: Vec<u8>,
        /// Duration.
        for_s: f64,
    },
    /// Clients that all reconnect at once, each from an address and on connections of its own.
    #[serde(rename = "crowd")]
    ReconnectStorm {
        /// Number of clients.
        clients: usize,
        /// Duration over which they arrive.
        over_s: f64,
        /// Most attempts of a client.
        #[serde(rename = "tries")]
        attempts: u32,
        /// Backoff between two attempts that follow no `Retry-After`.
        wait_ms: [f64; 2],
        /// Fraction that follows `Retry-After`.
        honour: f64,
    },
    /// The links between regions are slower.
    RegionDelay {
        /// Additional latency, each way.
        by_ms: f64,
        /// Duration.
        for_s: f64,
    },
    /// Nothing passes between regions; connections stay open.
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
    /// More requests arrive.
    Burst {
        /// Factor of the rate.
        factor: f64,
        /// Duration.
        for_s: f64,
    },
}
