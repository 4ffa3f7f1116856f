//! The fleet, its clients and its rules.

use serde::{Deserialize, Serialize};

/// The regions of a deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Regions {
    /// Number of regions; 1 disables federation.
    pub count: usize,
    /// Whether the regions are federated: each is a last resort for the requests of the others. Otherwise they run
    /// independently.
    pub joined: bool,
    /// Budget of requests to each other region, and from it, over all proxies: requests per second.
    pub per_s: u32,
    /// The same budget as a number of requests in flight.
    pub in_flight: u32,
    /// Maximum number of hops of a request.
    pub hops: u32,
    /// Latency between regions, one way.
    pub way_ms: f64,
}

impl Default for Regions {
    fn default() -> Regions {
        Regions { count: 1, joined: true, per_s: 100, in_flight: 100, hops: 1, way_ms: 10.0 }
    }
}

/// Limits in a proxy's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory, in megabytes.
    pub memory_mb: usize,
    /// Maximum number of open requests.
    pub open_cap: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192, open_cap: 20_000 }
    }
}

/// A kind of node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Number of nodes.
    pub count: usize,
    /// Cores of a node.
    pub cores: usize,
    /// Speed of a core, relative to the standard core.
    pub speed: f64,
    /// Requests that a core processes concurrently.
    pub slots_per_core: usize,
    /// Queue length per core; further requests are rejected.
    pub queue_per_core: usize,
    /// Fraction of its speed that a new process starts with.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Duration of slow start.
    #[serde(rename = "ramp_s")]
    pub slow_start_s: f64,
    /// Maximum number of connections per core; further ones are closed on accept.
    pub connections: usize,
}

impl Default for Kind {
    fn default() -> Kind {
        Kind {
            name: "plain".into(),
            count: 1,
            cores: 1,
            speed: 1.0,
            slots_per_core: 8,
            queue_per_core: 24,
            initial_capacity: 0.4,
            slow_start_s: 6.0,
            connections: 700,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Effect of a retry.
    pub effect: Effect,
    /// Fraction of all requests, relative to the other classes.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Mean work on a standard core.
    pub work_ms: f64,
    /// Coefficient of variation of the work.
    pub work_cv: f64,
    /// Mean time that it waits without using a core.
    pub wait_ms: f64,
    /// Latency objective: a later response has no value.
    #[serde(rename = "aim_ms")]
    pub objective_ms: f64,
    /// Deadline of its clients.
    pub deadline_ms: f64,
    /// Priority weight.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Time for which a zone deduplicates a key.
    pub window_ms: f64,
}

impl Default for Class {
    fn default() -> Class {
        Class {
            name: "read".into(),
            effect: Effect::Safe,
            weight: 1.0,
            work_ms: 20.0,
            work_cv: 1.0,
            wait_ms: 10.0,
            objective_ms: 750.0,
            deadline_ms: 2000.0,
            priority_weight: 1.0,
            window_ms: 1200.0,
        }
    }
}

/// Effect of a request that runs a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// None.
    Safe,
    /// The nodes of one zone deduplicate it by its key.
    Keyed,
    /// It takes effect again.
    Unsafe,
}

/// The clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Mean requests per second, retries not counted.
    pub per_s: f64,
    /// Maximum number of retries of a request, where a retry is safe.
    pub retries: u32,
    /// Range of the backoff before the first retry without `Retry-After`, doubled for each further retry.
    pub backoff_ms: [f64; 2],
    /// Fraction of the clients that follow `Retry-After`.
    pub honour: f64,
    /// Whether retries carry `X-Repeat: 1`.
    #[serde(rename = "mark_retries")]
    pub label_retries: bool,
    /// Range of the fraction of its class's deadline that a client waits.
    pub patience: [f64; 2],
    /// Fraction that disconnects before its deadline.
    pub leaving: f64,
    /// Fraction that writes its request slowly, in chunks.
    pub slow_writing: f64,
    /// Fraction that starts reading its response late.
    pub slow_reading: f64,
    /// Fraction that sends one request on a connection and never closes it.
    #[serde(rename = "asking_once")]
    pub single_request: f64,
    /// Maximum number of client connections to one proxy.
    pub connections: usize,
    /// By proxy, cyclic: its traffic relative to the others. Empty: clients prefer the proxies of their zone, evenly.
    pub uneven: Vec<f64>,
    /// Interval at which the uneven weights shift by one proxy; 0: never.
    pub moves_every_s: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            per_s: 200.0,
            retries: 1,
            backoff_ms: [20.0, 100.0],
            honour: 0.9,
            label_retries: true,
            patience: [0.7, 1.0],
            leaving: 0.005,
            slow_writing: 0.0,
            slow_reading: 0.0,
            single_request: 0.02,
            connections: 300,
            uneven: Vec::new(),
            moves_every_s: 0.0,
        }
    }
}

/// Discovery: the delays with which changes of nodes reach the proxies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Whether the proxies poll a service; otherwise a local agent of each proxy pushes changes to it.
    #[serde(rename = "asked")]
    pub polled: bool,
    /// Delay of an announced change.
    pub notice_s: [f64; 2],
    /// Delay until a crash is detected.
    #[serde(rename = "silent_notice_s")]
    pub crash_notice_s: [f64; 2],
    /// Delay until a new node is announced.
    pub add_s: [f64; 2],
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { polled: false, notice_s: [0.5, 1.5], crash_notice_s: [2.0, 4.0], add_s: [0.5, 1.0] }
    }
}

/// Parameters of the four audited rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Tolerance of each time limit, for the latency of sockets and timers.
    pub slack_ms: f64,
    /// Time after which a proxy that has received a drain must send the node no new requests.
    pub drain_grace_ms: f64,
    /// Time after which a change that can be polled counts as received by a proxy.
    #[serde(rename = "told_latest_s")]
    pub report_deadline_s: f64,
    /// A node in slow start fails when it receives more work than this multiple of its current capacity ...
    pub fall_multiple: f64,
    /// ... within this window.
    pub fall_ms: f64,
    /// Tolerance beyond that limit, as a number of requests of mean work.
    pub fall_slack: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            slack_ms: 50.0,
            drain_grace_ms: 500.0,
            report_deadline_s: 6.0,
            fall_multiple: 2.5,
            fall_ms: 2000.0,
            fall_slack: 4.0,
        }
    }
}

/// The overload model: when a node becomes overloaded, and how it recovers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Overload {
    /// Requests per core above which ...
    pub at: f64,
    /// ... for this long ...
    pub over_s: f64,
    /// ... a node is this many times slower ...
    pub slower: f64,
    /// ... until it has fewer requests per core than this ...
    pub below: f64,
    /// ... for this long.
    pub rest_s: f64,
}

impl Default for Overload {
    fn default() -> Overload {
        Overload { at: 6.0, over_s: 2.0, slower: 2.5, below: 0.4, rest_s: 3.0 }
    }
}
