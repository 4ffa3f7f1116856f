//! What a run is: a fleet, its clients and what goes wrong, from a TOML file or built in Rust on the defaults.
//! One seed draws everything ahead, see `plan`.

use crate::datagrams::Links;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// Proxies of a run as processes: each has an address of a network of 256.
pub const MOST_PROCESSES: usize = 256;

/// A run. Times end in their unit; what is left out has the default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Its name, for reports.
    pub name: String,
    /// Everything is drawn from it.
    pub seed: u64,
    /// New requests come for so long.
    pub seconds: f64,
    /// Proxies; they stand in the halls by turns.
    pub proxies: usize,
    /// Halls; nodes stand in them by turns.
    pub halls: usize,
    /// Regions; halls belong to them by turns, and with them their nodes and proxies.
    pub regions: Regions,
    /// The proxies know one another.
    pub peers: bool,
    /// Their parts go by need.
    pub shares: bool,
    /// They judge zones in common.
    pub failover: bool,
    /// What it costs the goal when every request crosses zones once, as the proxies are told.
    pub cross_zone: f64,
    /// What a proxy is told that it may use.
    pub limits: Limits,
    /// The nodes at the start.
    pub kinds: Vec<Kind>,
    /// The sorts of requests.
    pub classes: Vec<Class>,
    /// The clients.
    pub clients: Clients,
    /// How news of nodes travels.
    pub discovery: Discovery,
    /// The figures of the four rules.
    pub rules: Rules,
    /// When a node turns slow because too much waits at it.
    pub choke: Choke,
    /// What happens.
    pub events: Vec<Planned>,
}

/// Other regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Regions {
    /// How many; one: there is no other.
    pub count: usize,
    /// Each is the last resort of the others; else they know nothing of one another.
    pub joined: bool,
    /// What may leave for each other region, and be taken in from it, over all proxies: requests a second and in flight.
    pub per_s: u32,
    /// See `per_s`.
    pub in_flight: u32,
    /// Hops that a request may make.
    pub hops: u32,
    /// The way between regions, one way.
    pub way_ms: f64,
}

impl Default for Regions {
    fn default() -> Regions {
        Regions { count: 1, joined: true, per_s: 100, in_flight: 100, hops: 1, way_ms: 10.0 }
    }
}

/// Limits that a proxy is told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Descriptors.
    pub sockets: usize,
    /// Megabytes.
    pub memory_mb: usize,
    /// Requests that may be open at once.
    pub open_cap: usize,
}

/// A kind of node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Nodes of it.
    pub count: usize,
    /// Cores.
    pub cores: usize,
    /// Speed of a core beside the standard one.
    pub speed: f64,
    /// Requests a core works on at once.
    pub slots_per_core: usize,
    /// Requests a core that may wait; more are turned away.
    pub queue_per_core: usize,
    /// The part of its speed that a new process has.
    pub cold_from: f64,
    /// The time until it is warm.
    pub ramp_s: f64,
    /// Connections that it holds at most; more are closed at once.
    pub connections: usize,
}

/// A sort of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// Its part of the requests.
    pub share: f64,
    /// Mean work on a standard core.
    pub work_ms: f64,
    /// Coefficient of variation of the work.
    pub work_cv: f64,
    /// Time that it waits for others, without a core.
    pub wait_ms: f64,
    /// An answer within this time is worth something.
    pub aim_ms: f64,
    /// Clients wait no longer.
    pub deadline_ms: f64,
    /// What it is worth.
    pub worth: f64,
    /// How long a hall remembers a key.
    pub window_ms: f64,
}

/// What a repeat does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Nothing.
    Safe,
    /// The nodes of one hall drop it.
    Keyed,
    /// Harm.
    Unsafe,
}

/// The clients, all of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// First tries a second, in the mean.
    pub per_s: f64,
    /// Tries after the first, at most, where a repeat is harmless.
    pub retries: u32,
    /// The wait before a retry without advice, doubled for each further one.
    pub backoff_ms: [f64; 2],
    /// The part of the clients that follow `Retry-After`.
    pub honour: f64,
    /// They mark their retries with `X-Repeat: 1`.
    pub mark_retries: bool,
    /// A client waits for this part of the class's deadline.
    pub patience: [f64; 2],
    /// The part that closes its connection at some moment before its time is up.
    pub leaving: f64,
    /// The part that writes its request in pieces.
    pub slow_writing: f64,
    /// The part that lets its answer lie for a while.
    pub slow_reading: f64,
    /// The part that asks once on a connection and keeps it for good.
    pub asking_once: f64,
    /// Connections that clients hold to one proxy at most.
    pub connections: usize,
    /// By proxy (and again from the first), its part of the traffic beside the others'; none: all alike, and clients
    /// go to the proxies of their hall first.
    pub uneven: Vec<f64>,
    /// The parts move on by one proxy each time; 0: they stay.
    pub moves_every_s: f64,
}

/// How news of nodes travels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Proxies have to ask one service, instead of an agent beside each.
    pub asked: bool,
    /// From a change to its being known at a proxy.
    pub notice_s: [f64; 2],
    /// From the death of a node, which tells nobody, to its being known.
    pub silent_notice_s: [f64; 2],
    /// From the start of a node to its being known.
    pub add_s: [f64; 2],
}

/// The figures of the four rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Added to each limit in time: what real sockets and timers take.
    pub slack_ms: f64,
    /// After it is told of a drain a proxy sends nothing new.
    pub drain_grace_ms: f64,
    /// What can be asked for counts as told after this time.
    pub told_latest_s: f64,
    /// A cold node is sent more than so many times what it can do at that moment ...
    pub fall_multiple: f64,
    /// ... over this time: it falls.
    pub fall_ms: f64,
    /// Requests of mean work beyond that, for chance.
    pub fall_slack: f64,
}

/// When a node turns slow.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Choke {
    /// With more requests a core than this ...
    pub at: f64,
    /// ... for this time ...
    pub over_s: f64,
    /// ... it is so many times slower ...
    pub slower: f64,
    /// ... until it has held fewer than this a core ...
    pub below: f64,
    /// ... for this time.
    pub rest_s: f64,
}

/// What happens, and when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Planned {
    /// When, from the start of the clients.
    pub at_s: f64,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// What can happen. Nodes and proxies are named by their place, from 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum What {
    /// A node's process dies and resets its connections; a new one may follow in its place.
    Crash {
        /// Which.
        node: usize,
        /// A cold successor after so long.
        back_after_s: Option<f64>,
    },
    /// A node drains and leaves; a cold successor may follow.
    Drain {
        /// Which.
        node: usize,
        /// It leaves after so long.
        over_s: f64,
        /// A cold successor so long after that.
        back_after_s: Option<f64>,
    },
    /// Nodes are replaced one group after the other, each by a cold successor.
    Deploy {
        /// The first so many.
        nodes: usize,
        /// At once.
        group: usize,
        /// From group to group.
        every_s: f64,
    },
    /// Nodes drain and leave for good, evenly over a time.
    Shrink {
        /// The last so many.
        nodes: usize,
        /// Over this time.
        over_s: f64,
    },
    /// All nodes of a hall are cut off silently, and come back as cold processes.
    HallOut {
        /// Which.
        hall: usize,
        /// For so long.
        for_s: f64,
    },
    /// A node is slower.
    Slow {
        /// Which.
        node: usize,
        /// So many times.
        factor: f64,
        /// For so long.
        for_s: f64,
    },
    /// A node takes requests and answers none.
    Hang {
        /// Which.
        node: usize,
        /// For so long.
        for_s: f64,
    },
    /// A node spoils a part of its answers.
    Spoil {
        /// Which.
        node: usize,
        /// The part.
        part: f64,
        /// For so long.
        for_s: f64,
    },
    /// A node resets a part of its connections, half of them before it has read the request.
    Resets {
        /// Which.
        node: usize,
        /// The part.
        part: f64,
        /// For so long.
        for_s: f64,
    },
    /// Nothing passes between a proxy and a node; connections stay open and silent.
    Cut {
        /// Which proxy.
        proxy: usize,
        /// Which node.
        node: usize,
        /// For so long.
        for_s: f64,
    },
    /// What passes between a proxy and a node comes later.
    Delay {
        /// Which proxy.
        proxy: usize,
        /// Which node.
        node: usize,
        /// By so much, each way.
        by_ms: f64,
        /// For so long.
        for_s: f64,
    },
    /// Discovery is silent.
    DiscoveryDown {
        /// For so long.
        for_s: f64,
    },
    /// Discovery moves to another address; proxies are told by SIGHUP.
    DiscoveryMove {},
    /// A proxy is killed outright and starts again.
    KillProxy {
        /// Which.
        proxy: usize,
        /// After so long.
        back_after_s: f64,
    },
    /// A proxy is stopped (SIGSTOP) and goes on.
    StopProxy {
        /// Which.
        proxy: usize,
        /// For so long.
        for_s: f64,
    },
    /// A proxy is told to end (SIGTERM), given time, and started again.
    RestartProxy {
        /// Which.
        proxy: usize,
    },
    /// A proxy is killed outright and stays away.
    LoseProxy {
        /// Which.
        proxy: usize,
    },
    /// A proxy is told to end (SIGTERM) and stays away.
    LeaveProxy {
        /// Which.
        proxy: usize,
    },
    /// A proxy starts that did not run before.
    JoinProxy {
        /// Which.
        proxy: usize,
    },
    /// All proxies are told to end and start again, one group after the other.
    RollProxies {
        /// At once.
        group: usize,
        /// From group to group.
        every_s: f64,
    },
    /// The network between proxies that know one another is like this for a while.
    Network {
        /// How.
        links: Links,
        /// By hall, its part: proxies reach no nodes in halls of another. Empty: they reach all.
        #[serde(default)]
        halls: Vec<u8>,
        /// For so long.
        for_s: f64,
    },
    /// Clients that all reconnect at once, each from an address and on connections of its own, and ask until they are
    /// served or have tried so often.
    Crowd {
        /// How many.
        clients: usize,
        /// Within this time.
        over_s: f64,
        /// Tries of each.
        tries: u32,
        /// The wait between two without advice, or for those that don't follow it.
        wait_ms: [f64; 2],
        /// The part that follows `Retry-After`.
        honour: f64,
    },
    /// The way between regions is longer, both ways.
    RegionDelay {
        /// By so much, each way.
        by_ms: f64,
        /// For so long.
        for_s: f64,
    },
    /// Nothing passes between regions; connections stay open and silent.
    RegionCut {
        /// For so long.
        for_s: f64,
    },
    /// All regions get new keys, from the same authority.
    NewKeys {
        /// So many times ...
        times: u32,
        /// ... with so much between them.
        every_s: f64,
    },
    /// More requests come.
    Burst {
        /// So many times as many.
        factor: f64,
        /// For so long.
        for_s: f64,
    },
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192, open_cap: 20_000 }
    }
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
            cold_from: 0.4,
            ramp_s: 6.0,
            connections: 700,
        }
    }
}

impl Default for Class {
    fn default() -> Class {
        Class {
            name: "read".into(),
            effect: Effect::Safe,
            share: 1.0,
            work_ms: 20.0,
            work_cv: 1.0,
            wait_ms: 10.0,
            aim_ms: 750.0,
            deadline_ms: 2000.0,
            worth: 1.0,
            window_ms: 1200.0,
        }
    }
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            per_s: 200.0,
            retries: 1,
            backoff_ms: [20.0, 100.0],
            honour: 0.9,
            mark_retries: true,
            patience: [0.7, 1.0],
            leaving: 0.005,
            slow_writing: 0.0,
            slow_reading: 0.0,
            asking_once: 0.02,
            connections: 300,
            uneven: Vec::new(),
            moves_every_s: 0.0,
        }
    }
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { asked: false, notice_s: [0.5, 1.5], silent_notice_s: [2.0, 4.0], add_s: [0.5, 1.0] }
    }
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            slack_ms: 50.0,
            drain_grace_ms: 500.0,
            told_latest_s: 6.0,
            fall_multiple: 2.5,
            fall_ms: 2000.0,
            fall_slack: 4.0,
        }
    }
}

impl Default for Choke {
    fn default() -> Choke {
        Choke { at: 6.0, over_s: 2.0, slower: 2.5, below: 0.4, rest_s: 3.0 }
    }
}

impl Default for Scenario {
    /// Three proxies, three halls, twelve nodes of two kinds, and a class of each effect, at about half load.
    fn default() -> Scenario {
        let kind = |name: &str, count, speed| Kind { name: name.into(), count, speed, ..Kind::default() };
        let read = Class { share: 0.5, ..Class::default() };
        let vote = Class {
            name: "vote".into(),
            effect: Effect::Keyed,
            share: 0.4,
            work_ms: 15.0,
            wait_ms: 5.0,
            aim_ms: 250.0,
            deadline_ms: 1200.0,
            worth: 8.0,
            ..Class::default()
        };
        let pay =
            Class { name: "pay".into(), effect: Effect::Unsafe, share: 0.1, worth: 4.0, ..vote.clone() };
        Scenario {
            name: "plain".into(),
            seed: 1,
            seconds: 8.0,
            proxies: 3,
            regions: Regions::default(),
            halls: 3,
            peers: false,
            shares: false,
            failover: false,
            cross_zone: 0.0,
            limits: Limits::default(),
            kinds: vec![kind("fast", 4, 1.8), kind("slow", 8, 0.9)],
            classes: vec![read, vote, pay],
            clients: Clients::default(),
            discovery: Discovery::default(),
            rules: Rules::default(),
            choke: Choke::default(),
            events: Vec::new(),
        }
    }
}

/// Why a scenario can't be played.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is none.
    #[error("{0}")]
    Form(#[from] toml::de::Error),
    /// A value is out of its range.
    #[error("{key}: expected {expected}")]
    Value {
        /// Which.
        key: &'static str,
        /// What was expected.
        expected: &'static str,
    },
}

impl Scenario {
    /// Reads one from TOML and checks it.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// With another seed.
    pub fn seed(mut self, seed: u64) -> Scenario {
        self.seed = seed;
        self
    }

    /// With one event more.
    pub fn event(mut self, at_s: f64, what: What) -> Scenario {
        self.events.push(Planned { at_s, what });
        self
    }

    /// Under another name.
    pub fn named(mut self, name: &str) -> Scenario {
        self.name = name.into();
        self
    }

    /// The region of a hall, of a proxy, or of a node's place: all stand by turns.
    pub fn region(&self, number: usize) -> usize {
        number % self.halls % self.regions.count
    }

    /// Nodes at the start.
    pub fn nodes(&self) -> usize {
        self.kinds.iter().map(|k| k.count).sum()
    }

    /// The first value that is out of its range, for a run of processes.
    pub fn check(&self) -> Result<(), ScenarioError> {
        self.check_up_to(MOST_PROCESSES)
    }

    /// The same for up to so many proxies.
    pub fn check_up_to(&self, most: usize) -> Result<(), ScenarioError> {
        let part = |x: f64| (0.0..=1.0).contains(&x);
        let above = |x: f64| x > 0.0 && x.is_finite();
        let range = |r: [f64; 2]| r[0] >= 0.0 && r[0] <= r[1] && r[1].is_finite();
        let (nodes, c) = (self.nodes(), &self.clients);
        let known = |e: &Planned| match e.what {
            What::Crash { node, .. }
            | What::Drain { node, .. }
            | What::Slow { node, .. }
            | What::Hang { node, .. }
            | What::Spoil { node, .. }
            | What::Resets { node, .. } => node < nodes,
            What::Cut { proxy, node, .. } | What::Delay { proxy, node, .. } => {
                node < nodes && proxy < self.proxies
            }
            What::Deploy { nodes: n, group, every_s } => n <= nodes && group > 0 && above(every_s),
            What::Shrink { nodes: n, .. } => n < nodes,
            What::HallOut { hall, .. } => hall < self.halls,
            What::KillProxy { proxy, .. }
            | What::StopProxy { proxy, .. }
            | What::RestartProxy { proxy }
            | What::LoseProxy { proxy }
            | What::LeaveProxy { proxy }
            | What::JoinProxy { proxy } => proxy < self.proxies,
            What::RollProxies { group, every_s } => group > 0 && above(every_s),
            What::Network { ref links, ref halls, .. } => {
                let parts = halls.is_empty() || (halls.len() == self.halls && !links.parts.is_empty());
                self.peers && parts && links.check(self.proxies).is_ok()
            }
            What::Burst { factor, .. } => above(factor),
            What::Crowd { clients, tries, wait_ms, honour, .. } => {
                clients <= 20_000 && tries <= 1000 && range(wait_ms) && part(honour)
            }
            What::NewKeys { times, every_s } => times <= 1000 && above(every_s),
            What::RegionDelay { by_ms, .. } => range([0.0, by_ms]),
            What::DiscoveryDown { .. } | What::DiscoveryMove {} | What::RegionCut { .. } => true,
        };
        let tests = [
            ((0.1..=3600.0).contains(&self.seconds), "seconds", "0.1 to 3600"),
            (self.proxies > 0, "proxies", "1 to 256"),
            (self.proxies <= most, "proxies", "fewer: 1 to 256 as processes, 1 to 4096 in virtual time"),
            ((1..=64).contains(&self.halls), "halls", "1 to 64"),
            (
                (1..=8).contains(&self.regions.count)
                    && self.halls % self.regions.count == 0
                    && self.proxies % self.regions.count == 0,
                "regions.count",
                "1 to 8, with as many halls and proxies in each",
            ),
            ((1..=512).contains(&nodes), "kinds", "1 to 512 nodes together"),
            (self.kinds.iter().all(|k| above(k.speed) && k.cores > 0), "kinds", "a speed and cores above 0"),
            (self.kinds.iter().all(|k| part(k.cold_from)), "kinds.cold_from", "0 to 1"),
            (!self.classes.is_empty(), "classes", "at least one"),
            (
                self.classes.iter().all(|c| above(c.work_ms) && above(c.worth)),
                "classes",
                "work and worth above 0",
            ),
            (
                self.classes.iter().all(|c| c.aim_ms <= c.deadline_ms),
                "classes.aim_ms",
                "no more than deadline_ms",
            ),
            (above(c.per_s) && c.per_s <= 20_000.0, "clients.per_s", "above 0, up to 20000"),
            (
                [c.honour, c.leaving, c.slow_writing, c.slow_reading, c.asking_once].into_iter().all(part),
                "clients",
                "parts from 0 to 1",
            ),
            (
                c.uneven.iter().all(|w| above(*w)) && range([0.0, c.moves_every_s]),
                "clients.uneven",
                "parts above 0, and a time",
            ),
            (self.peers || !self.shares, "shares", "peers beside it"),
            (self.peers || !self.failover, "failover", "peers beside it"),
            (range([0.0, self.cross_zone]), "cross_zone", "0 or more"),
            (range(c.backoff_ms) && range(c.patience), "clients", "ranges from the less to the more"),
            (
                self.events.iter().all(known),
                "events",
                "nodes, halls and proxies that there are, and sound figures",
            ),
        ];
        match tests.into_iter().find(|t| !t.0) {
            Some((_, key, expected)) => Err(ScenarioError::Value { key, expected }),
            None => Ok(()),
        }
    }

    /// The settings that a proxy of this deployment is told.
    pub fn settings(&self, position: usize) -> Value {
        let us = |ms: f64| (ms * 1000.0) as u64;
        let class = |c: &Class| {
            let effect = match c.effect {
                Effect::Safe => "free",
                Effect::Keyed => "guarded",
                Effect::Unsafe => "single_shot",
            };
            json!({"name": c.name, "effect": effect, "key_scope": "zone", "window_us": us(c.window_ms),
                   "aim_us": us(c.aim_ms), "deadline_us": us(c.deadline_ms), "gain": c.worth, "late_worth": 0.0,
                   "stream": false})
        };
        let region = self.region(position);
        let own: Vec<usize> = (0..self.proxies).filter(|p| self.region(*p) == region).collect();
        let ramp = self.kinds.iter().map(|k| k.ramp_s).fold(0.0, f64::max);
        let cold = self.kinds.iter().map(|k| k.cold_from).fold(1.0, f64::min);
        json!({
            "blend": {"whole": 0.6, "worst_class": 0.3, "worst_window": 0.1},
            "costs": {"cross_zone": self.cross_zone},
            "customers": [],
            "discovery": if self.discovery.asked { "subscribe" } else { "automatic" },
            "granularity_us": 4000,
            "group_size": own.len(),
            "position": own.iter().position(|p| *p == position).unwrap_or(0),
            "limits": {"cancel": true, "conn_idle_us": 30_000_000, "dial_timeout_us": 120_000, "max_attempts": 5,
                       "open_cap": self.limits.open_cap, "parallel_tries": true, "retry_after": true},
            "my_zone": hall(position % self.halls),
            "over_share_worth": 0.1,
            "profiles": self.classes.iter().map(class).collect::<Vec<_>>(),
            "rules": {"cold_from": cold, "fall_multiple": self.rules.fall_multiple,
                      "must_ask_in_us": us(self.rules.told_latest_s * 1e3), "ramp_time_us": us(ramp * 1e3),
                      "tip_after_us": us(self.rules.fall_ms), "stop_sending_within_us": us(self.rules.drain_grace_ms)},
            "weight_source": "rough",
            "zones": (0..self.halls).filter(|h| self.region(*h) == region).map(hall).collect::<Vec<_>>(),
        })
    }
}

/// The name of a hall.
pub fn hall(number: usize) -> String {
    format!("hall-{number}")
}

#[cfg(test)]
mod tests;
