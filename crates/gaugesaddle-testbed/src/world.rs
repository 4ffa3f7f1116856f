//! Runs a scenario: stand-ins on the calling thread, proxies as processes, and one journal for all records.

mod nodes;
mod proxies;
mod steps;

use crate::agent::Agent;
use crate::audit::{audit, mean_work_us, Verdict};
use crate::clients::Clients;
use crate::datagrams::DatagramRelay;
use crate::faulty::{Fault, Faulty};
use crate::lease::Lease;
use crate::node::{Deduplication, Node, RequestParameters, SharedState};
use crate::plan::{plan, Plan, PlannedRequest, Step};
use crate::process::{Process, Program};
use crate::random::RandomStream;
use crate::record::{Journal, Record};
use crate::regions::Federation;
use crate::relay::Relay;
use crate::scenario::{Disturbance, Kind, Scenario};
use crate::tier::{self, TierVerdict};
use proxies::peer_listen;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Timeout until a started proxy reports ready.
const PROXY_READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Additional grace period after SIGTERM, beyond the accepting phase and the longest deadline.
const STOP_GRACE: Duration = Duration::from_millis(700);

/// Interval of progress reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The implementation that runs as the proxies of a scenario.
#[derive(Clone, Debug)]
pub enum ProxyImplementation {
    /// A program, as one process for each proxy.
    Program(Program),
    /// A relay in this process with an injected fault, to test the audit.
    Faulty(Fault),
}

/// The result of a run.
pub struct Outcome {
    /// All records.
    pub records: Vec<Record>,
    /// The audit of requests.
    pub verdict: Verdict,
    /// The last lines of each proxy's log.
    pub logs: Vec<Vec<String>>,
    /// 99th percentile of the delay with which first attempts started, in microseconds: the lateness of the test bed.
    pub late_p99_us: u64,
    /// The audit of membership, where the proxies form a tier.
    pub tier: Option<TierVerdict>,
    /// Datagrams and bytes that each proxy sent to the others.
    pub datagrams: Vec<(u64, u64)>,
}

impl Outcome {
    /// Whether neither audit has findings, and both reached a verdict.
    pub fn is_clean(&self) -> bool {
        self.verdict.is_clean() && self.tier.as_ref().is_none_or(TierVerdict::is_clean)
    }
}

/// A progress report of a run.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Time since the start of the clients.
    pub seconds: f64,
    /// The records since the last report.
    pub new_records: Vec<Record>,
    /// Name, zone, state and number of requests in flight of each node.
    pub nodes: Vec<(String, usize, &'static str, usize)>,
    /// State of each proxy.
    pub proxies: Vec<&'static str>,
}

/// Runs a scenario and audits it. `report` is called a few times a second.
///
/// # Errors
/// The scenario is invalid, a stand-in cannot be started, or a proxy does not become ready.
pub fn run(
    s: &Scenario, implementation: &ProxyImplementation, report: &mut dyn FnMut(&Progress),
) -> io::Result<Outcome> {
    s.check().map_err(io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let raw = local.block_on(&runtime, async {
        let world = World::build(s, implementation).await?;
        world.play(report).await
    })?;
    let RawOutcome { records, dropped, logs, late_p99_us, start, end, datagrams } = raw;
    let verdict = audit(s, &records, dropped);
    let tier = s.peers.then(|| {
        let timed =
            |lines: &Vec<String>| lines.iter().filter_map(|l| tier::parse_timed_line(l, start)).collect();
        let logs: Vec<Vec<(u64, String)>> = logs.iter().map(timed).collect();
        // The proxies of a region form a tier.
        let of = |region: usize| (0..s.proxies).filter(|p| s.region(*p) == region).collect();
        let tiers: Vec<Vec<usize>> = (0..s.regions.count).map(of).collect();
        tier::audit_tiers(&tiers, &tier::tier_events(&records), &logs, end)
    });
    Ok(Outcome { records, verdict, logs, late_p99_us, tier, datagrams })
}

/// The unaudited outcome of a run.
struct RawOutcome {
    records: Vec<Record>,
    dropped: u64,
    logs: Vec<Vec<String>>,
    late_p99_us: u64,
    /// Start of the run, in Unix microseconds.
    start: u64,
    /// Time from the start of the run until the proxies were asked to terminate.
    end: u64,
    datagrams: Vec<(u64, u64)>,
}

enum RunningProxy {
    Process(Process),
    Faulty(Rc<Faulty>),
}

struct NodeSlot {
    kind: Kind,
    zone: usize,
    name: String,
    boots: u32,
    node: Option<Rc<Node>>,
    draining: bool,
}

struct World {
    s: Scenario,
    implementation: ProxyImplementation,
    plan: Plan,
    journal: Journal,
    lease: Lease,
    folder: PathBuf,
    shared: Rc<SharedState>,
    slots: RefCell<Vec<NodeSlot>>,
    agents: Vec<Rc<Agent>>,
    /// Relays for the links that the plan disturbs, by proxy and node.
    relays: HashMap<(usize, usize), Rc<Relay>>,
    proxies: RefCell<Vec<Option<RunningProxy>>>,
    states: RefCell<Vec<&'static str>>,
    start_count: Cell<u64>,
    /// Time of the last scheduled change, by proxy and node: a later change is published after it.
    last_delivery: RefCell<HashMap<(usize, usize), u64>>,
    random: RefCell<RandomStream>,
    logs: RefCell<Vec<Vec<String>>>,
    /// The federation, if there are several regions and they are joined.
    federation: Option<Federation>,
    /// The network between the proxies of a tier.
    datagrams: Option<DatagramRelay>,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl World {
    async fn build(s: &Scenario, implementation: &ProxyImplementation) -> io::Result<Rc<World>> {
        let (lease, journal, plan) = (Lease::acquire()?, Journal::new(), plan(s));
        let folder = std::env::temp_dir().join(format!("gaugesaddle-run-{}", lease.proxy(0).ip()));
        std::fs::create_dir_all(&folder)?;
        let mut agents = Vec::new();
        for proxy in 0..s.proxies {
            agents.push(Agent::start(proxy, journal.clone(), lease.peer()).await?);
        }
        let federation = if s.regions.count > 1 && s.regions.joined {
            Some(Federation::new(s, &lease, &folder).await?)
        } else {
            None
        };
        let listens: Vec<SocketAddr> = (0..s.proxies).map(|p| peer_listen(&lease, p)).collect();
        let datagrams =
            s.peers.then(|| DatagramRelay::start(&listens, lease.peer().ip(), s.seed)).transpose()?;
        let world = Rc::new(World {
            federation,
            datagrams,
            implementation: implementation.clone(),
            relays: start_relays(&plan, &lease).await?,
            plan,
            shared: shared_state(s, &journal),
            journal,
            lease,
            folder,
            slots: RefCell::new(node_slots(s)),
            agents,
            proxies: RefCell::new((0..s.proxies).map(|_| None).collect()),
            states: RefCell::new(vec!["down"; s.proxies]),
            start_count: Cell::default(),
            last_delivery: RefCell::default(),
            random: RefCell::new(RandomStream::new(s.seed, "discovery")),
            logs: RefCell::new(vec![Vec::new(); s.proxies]),
            s: s.clone(),
        });
        world.start_all().await?;
        Ok(world)
    }

    /// Starts all nodes, and all proxies except those that join later.
    async fn start_all(&self) -> io::Result<()> {
        let slots = self.slots.borrow().len();
        for slot in 0..slots {
            self.start_node(slot, false).await?;
        }
        let joins_later = |proxy: usize| {
            let join = Disturbance::JoinProxy { proxy };
            self.s.events.iter().any(|event| event.disturbance == join)
        };
        let first: Vec<usize> = (0..self.s.proxies).filter(|proxy| !joins_later(*proxy)).collect();
        for proxy in &first {
            self.start_proxy(*proxy).await?;
        }
        for proxy in &first {
            self.wait_until_ready(*proxy).await?;
        }
        Ok(())
    }

    async fn play(self: Rc<Self>, report: &mut dyn FnMut(&Progress)) -> io::Result<RawOutcome> {
        let addresses: Vec<SocketAddr> = (0..self.s.proxies).map(|p| self.lease.proxy(p)).collect();
        let shared = self.shared.clone();
        let register = move |id: u64, request: &PlannedRequest| {
            let (class, key, work_us, wait_us) =
                (request.class, request.key, request.work_us, request.wait_us);
            shared.parameters.borrow_mut().insert(id, RequestParameters { class, key, work_us, wait_us });
        };
        let clients = Clients::new(&self.s, self.journal.clone(), &addresses, Box::new(register));
        let start = self.journal.now();
        let mut sending = tokio::task::JoinSet::new();
        let requests = self.plan.requests.clone();
        let (journal, senders) = (self.journal.clone(), clients.clone());
        let lateness_us = Rc::new(RefCell::new(Vec::with_capacity(requests.len())));
        let lateness = lateness_us.clone();
        let arrivals = tokio::task::spawn_local(async move {
            for request in requests {
                let at = tokio::time::Instant::from_std(journal.instant(start + request.at_us));
                tokio::time::sleep_until(at).await;
                lateness.borrow_mut().push(journal.now().saturating_sub(start + request.at_us));
                while sending.try_join_next().is_some() {}
                sending.spawn_local(senders.clone().send(request));
            }
            while sending.join_next().await.is_some() {}
        });
        let world = self.clone();
        let steps = tokio::task::spawn_local(async move {
            for (at, step) in world.plan.steps.clone() {
                let at = tokio::time::Instant::from_std(world.journal.instant(start + at));
                tokio::time::sleep_until(at).await;
                world.clone().step(step).await;
            }
        });
        let mut seen = 0;
        let mut interval = tokio::time::interval(REPORT_INTERVAL);
        while !(arrivals.is_finished() && steps.is_finished()) {
            interval.tick().await;
            clients.release_closed();
            self.watch_proxies();
            report(&self.progress(start, &mut seen));
        }
        for task in [arrivals, steps] {
            task.await.map_err(io::Error::other)?;
        }
        // The records must include requests that a proxy sends too late, so that the audit finds them.
        tokio::time::sleep(Duration::from_millis(1200)).await;
        report(&self.progress(start, &mut seen));
        let end = self.journal.now();
        let datagrams = self.datagrams.as_ref().map(DatagramRelay::sent).unwrap_or_default();
        self.terminate_all().await;
        let (records, dropped) = self.journal.take();
        let mut lateness_us = lateness_us.take();
        lateness_us.sort_unstable();
        let late_p99_us = lateness_us.get(lateness_us.len() * 99 / 100).copied().unwrap_or(0);
        let (logs, start) = (self.logs.take(), self.journal.start_unix_us());
        Ok(RawOutcome { records, dropped, logs, late_p99_us, start, end, datagrams })
    }

    fn progress(&self, start: u64, seen: &mut usize) -> Progress {
        let new_records = self.journal.read(*seen, <[Record]>::to_vec);
        *seen += new_records.len();
        let all_slots = self.slots.borrow();
        let nodes = all_slots.iter().map(|p| {
            let state = match &p.node {
                None => "down",
                Some(n) if n.failed.get() => "fallen",
                Some(n) if n.frozen.get() => "cut off",
                Some(_) if p.draining => "draining",
                Some(n) if n.is_overloaded() => "choked",
                Some(_) => "up",
            };
            (p.name.clone(), p.zone, state, p.node.as_ref().map_or(0, |n| n.in_flight()))
        });
        let seconds = (self.journal.now() - start) as f64 / 1e6;
        Progress { seconds, new_records, nodes: nodes.collect(), proxies: self.states.borrow().clone() }
    }

    async fn terminate_all(self: &Rc<Self>) {
        let up: Vec<usize> = (0..self.s.proxies).filter(|p| self.proxies.borrow()[*p].is_some()).collect();
        let mut ending = tokio::task::JoinSet::new();
        for proxy in up {
            if self.states.borrow()[proxy] == "stopped" {
                self.kill_proxy(proxy).await;
            } else {
                let world = self.clone();
                ending.spawn_local(async move { world.terminate_proxy(proxy).await });
            }
        }
        while ending.join_next().await.is_some() {}
    }
}

/// The state that all nodes of a run share.
fn shared_state(s: &Scenario, journal: &Journal) -> Rc<SharedState> {
    Rc::new(SharedState {
        journal: journal.clone(),
        parameters: RefCell::default(),
        seen_keys: RefCell::new((0..s.zones).map(|_| Deduplication::default()).collect()),
        classes: s.classes.iter().map(|c| (c.effect, (c.window_ms * 1e3) as u64)).collect(),
        rules: s.rules.clone(),
        mean_work_us: mean_work_us(s),
        overload: s.choke,
        next_attempt: Cell::new(1),
        random: RefCell::new(RandomStream::new(s.seed, "nodes")),
    })
}

/// A slot for each node of a scenario, assigned to the zones in turn.
fn node_slots(s: &Scenario) -> Vec<NodeSlot> {
    let kinds = s.kinds.iter().flat_map(|kind| std::iter::repeat_n(kind, kind.count));
    let slot = |(number, kind): (usize, &Kind)| NodeSlot {
        kind: kind.clone(),
        zone: number % s.zones,
        name: format!("n{number}"),
        boots: 0,
        node: None,
        draining: false,
    };
    kinds.enumerate().map(slot).collect()
}

/// Starts a relay for each link that a plan disturbs.
async fn start_relays(plan: &Plan, lease: &Lease) -> io::Result<HashMap<(usize, usize), Rc<Relay>>> {
    let mut relays = HashMap::new();
    for (_, step) in &plan.steps {
        if let Step::LinkPartition(proxy, node, _) | Step::LinkDelay(proxy, node, _) = step {
            if let std::collections::hash_map::Entry::Vacant(free) = relays.entry((*proxy, *node)) {
                free.insert(Relay::start(lease.peer(), lease.peer()).await?);
            }
        }
    }
    Ok(relays)
}
