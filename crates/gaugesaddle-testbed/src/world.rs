//! Plays a scenario: stand-ins on this thread, proxies as processes, one journal for all.

use crate::agent::{Agent, Line};
use crate::audit::{audit, mean_work_us, Verdict};
use crate::clients::Clients;
use crate::datagrams::Datagrams;
use crate::dice::{mix, Dice};
use crate::faulty::{Fault, Faulty};
use crate::lease::Lease;
use crate::node::{Down, Facts, Fleet, Memory, Node, Start};
use crate::plan::{plan, Ask, Plan, Step};
use crate::process::{send_signal, Process, Program};
use crate::record::{Boot, Event, Journal, Record, Standing};
use crate::regions::Joined;
use crate::relay::Relay;
use crate::scenario::{hall, Kind, Scenario, What};
use crate::tier::{self, TierVerdict};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A proxy that is not ready by then will not be.
const START: Duration = Duration::from_secs(20);
/// After SIGTERM a proxy has the longest deadline and this.
const STOP_GRACE: Duration = Duration::from_millis(700);
/// The fleet is looked at this often, for those who watch.
const LOOK: Duration = Duration::from_millis(250);

/// Where a proxy takes the others' datagrams, on its address.
const PEER_PORT: u16 = 7946;

/// What stands where the proxies stand.
#[derive(Clone, Debug)]
pub enum Cast {
    /// Processes.
    Program(Program),
    /// Relays with a fault, in this process.
    Faulty(Fault),
}

/// The end of a run.
pub struct Outcome {
    /// All records.
    pub records: Vec<Record>,
    /// What they say.
    pub verdict: Verdict,
    /// The last lines of each proxy's log.
    pub logs: Vec<Vec<String>>,
    /// 99 in 100 first tries began no later than this after their planned time, in microseconds: how late this
    /// process itself was.
    pub late_p99_us: u64,
    /// What the proxies held of one another, where they know one another.
    pub tier: Option<TierVerdict>,
    /// Datagrams and bytes that each proxy sent to the others.
    pub datagrams: Vec<(u64, u64)>,
}

impl Outcome {
    /// No rule of either kind was broken, and there was enough to see it by.
    pub fn is_clean(&self) -> bool {
        self.verdict.is_clean() && self.tier.as_ref().is_none_or(TierVerdict::is_clean)
    }
}

/// A look at a run under way.
#[derive(Clone, Debug, Default)]
pub struct Live {
    /// Since the start of the clients.
    pub seconds: f64,
    /// Records so far are read from the journal; these are the ones since the last look.
    pub news: Vec<Record>,
    /// By place: name, hall, state in words, requests held.
    pub nodes: Vec<(String, usize, &'static str, usize)>,
    /// By number: state in words.
    pub proxies: Vec<&'static str>,
}

/// Plays it and judges it. `look` is called a few times a second.
pub fn run(s: &Scenario, cast: &Cast, look: &mut dyn FnMut(&Live)) -> io::Result<Outcome> {
    s.check().map_err(io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    let played = local.block_on(&runtime, async {
        let world = World::build(s, cast).await?;
        world.play(look).await
    })?;
    let Played { records, dropped, logs, late_p99_us, start, end, datagrams } = played;
    let verdict = audit(s, &records, dropped);
    let tier = s.peers.then(|| {
        let timed = |lines: &Vec<String>| lines.iter().filter_map(|l| tier::timed(l, start)).collect();
        let logs: Vec<Vec<(u64, String)>> = logs.iter().map(timed).collect();
        // The proxies of a region know one another, and nothing of another region's.
        let of = |region: usize| (0..s.proxies).filter(|p| s.region(*p) == region).collect();
        let tiers: Vec<Vec<usize>> = (0..s.regions.count).map(of).collect();
        tier::judge_each(&tiers, &tier::facts(&records), &logs, end)
    });
    Ok(Outcome { records, verdict, logs, late_p99_us, tier, datagrams })
}

/// What a run leaves behind.
struct Played {
    records: Vec<Record>,
    dropped: u64,
    logs: Vec<Vec<String>>,
    late_p99_us: u64,
    /// In Unix microseconds.
    start: u64,
    /// From the start, before the proxies were told to end.
    end: u64,
    datagrams: Vec<(u64, u64)>,
}

enum Actor {
    Process(Process),
    Faulty(Rc<Faulty>),
}

struct Place {
    kind: Kind,
    hall: usize,
    name: String,
    boots: u32,
    node: Option<Rc<Node>>,
    draining: bool,
}

struct World {
    s: Scenario,
    cast: Cast,
    plan: Plan,
    journal: Journal,
    lease: Lease,
    folder: PathBuf,
    fleet: Rc<Fleet>,
    places: RefCell<Vec<Place>>,
    agents: Vec<Rc<Agent>>,
    /// Links with events of their own, by proxy and node.
    relays: HashMap<(usize, usize), Rc<Relay>>,
    proxies: RefCell<Vec<Option<Actor>>>,
    states: RefCell<Vec<&'static str>>,
    starts: Cell<u64>,
    /// The last delivery to each agent about each place: news don't overtake each other.
    delivered: RefCell<HashMap<(usize, usize), u64>>,
    delays: RefCell<Dice>,
    logs: RefCell<Vec<Vec<String>>>,
    /// Where there are regions that know one another.
    joined: Option<Joined>,
    /// Where there are proxies that do.
    datagrams: Option<Datagrams>,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl World {
    async fn build(s: &Scenario, cast: &Cast) -> io::Result<Rc<World>> {
        let (lease, journal, plan) = (Lease::take()?, Journal::new(), plan(s));
        let folder = std::env::temp_dir().join(format!("gaugesaddle-run-{}", lease.proxy(0).ip()));
        std::fs::create_dir_all(&folder)?;
        let fleet = Rc::new(Fleet {
            journal: journal.clone(),
            facts: RefCell::default(),
            memories: RefCell::new((0..s.halls).map(|_| Memory::default()).collect()),
            classes: s.classes.iter().map(|c| (c.effect, (c.window_ms * 1e3) as u64)).collect(),
            rules: s.rules.clone(),
            mean_work_us: mean_work_us(s),
            choke: s.choke,
            next_attempt: Cell::new(1),
            dice: RefCell::new(Dice::new(s.seed, "nodes")),
        });
        let mut agents = Vec::new();
        for proxy in 0..s.proxies {
            agents.push(Agent::start(proxy, journal.clone(), lease.peer()).await?);
        }
        let kinds = s.kinds.iter().flat_map(|k| std::iter::repeat_n(k, k.count));
        let place = |(i, kind): (usize, &Kind)| Place {
            kind: kind.clone(),
            hall: i % s.halls,
            name: format!("n{i}"),
            boots: 0,
            node: None,
            draining: false,
        };
        let mut relays = HashMap::new();
        for (_, step) in &plan.steps {
            if let Step::LinkCut(proxy, node, _) | Step::LinkDelay(proxy, node, _) = step {
                if let std::collections::hash_map::Entry::Vacant(free) = relays.entry((*proxy, *node)) {
                    free.insert(Relay::start(lease.peer(), lease.peer()).await?);
                }
            }
        }
        let joined = if s.regions.count > 1 && s.regions.joined {
            Some(Joined::new(s, &lease, &folder).await?)
        } else {
            None
        };
        let listens: Vec<SocketAddr> = (0..s.proxies).map(|p| peer_listen(&lease, p)).collect();
        let datagrams = s.peers.then(|| Datagrams::start(&listens, lease.peer().ip(), s.seed)).transpose()?;
        let world = Rc::new(World {
            joined,
            datagrams,
            cast: cast.clone(),
            plan,
            journal,
            lease,
            folder,
            fleet,
            places: RefCell::new(kinds.enumerate().map(place).collect()),
            agents,
            relays,
            proxies: RefCell::new((0..s.proxies).map(|_| None).collect()),
            states: RefCell::new(vec!["down"; s.proxies]),
            starts: Cell::default(),
            delivered: RefCell::default(),
            delays: RefCell::new(Dice::new(s.seed, "discovery")),
            logs: RefCell::new(vec![Vec::new(); s.proxies]),
            s: s.clone(),
        });
        let count = world.places.borrow().len();
        for place in 0..count {
            world.start_node(place, false).await?;
        }
        let joins = |p: &usize| s.events.iter().any(|e| e.what == What::JoinProxy { proxy: *p });
        let first: Vec<usize> = (0..s.proxies).filter(|p| !joins(p)).collect();
        for proxy in &first {
            world.start_proxy(*proxy).await?;
        }
        for proxy in &first {
            world.until_ready(*proxy).await?;
        }
        Ok(world)
    }

    /// A new process of a node: warm and known at the start of a run, else cold and told late.
    async fn start_node(&self, place: usize, cold: bool) -> io::Result<()> {
        let (boot, name, hall, kind) = {
            let mut places = self.places.borrow_mut();
            let p = &mut places[place];
            if cold && p.node.as_ref().is_some_and(|n| !n.fell.get()) && !p.draining {
                return Ok(()); // it runs
            }
            let boot = Boot { node: place, boot: p.boots };
            p.boots += 1;
            // What leaves in order is followed by something new; what crashed comes back under its name.
            if p.draining {
                p.name = format!("n{place}-{}", boot.boot);
            }
            p.draining = false;
            (boot, p.name.clone(), p.hall, p.kind.clone())
        };
        let (proxies, bind) = (self.s.proxies, self.lease.peer());
        let start = Start { boot, name, hall, kind: &kind, cold, proxies, bind };
        let node = Node::start(&self.fleet, start).await?;
        self.places.borrow_mut()[place].node = Some(node.clone());
        for ((proxy, of), relay) in &self.relays {
            if *of == place {
                relay.reset();
                relay.lead_to(node.addresses[*proxy]);
            }
        }
        if cold {
            self.publish(&node, Standing::Ready, self.s.discovery.add_s);
        } else {
            let own = (0..proxies).filter(|p| self.s.region(*p) == self.s.region(place));
            own.for_each(|p| self.agents[p].put(self.line(&node, p, Standing::Ready)));
        }
        Ok(())
    }

    fn line(&self, node: &Node, proxy: usize, standing: Standing) -> Line {
        let relay = self.relays.get(&(proxy, node.boot.node));
        Line {
            boot: node.boot,
            name: node.name.clone(),
            address: relay.map_or(node.addresses[proxy], |r| r.address()),
            hall: hall(node.hall),
            kind: node.kind.name.clone(),
            since_ms: if node.boot.boot == 0 { 0 } else { self.journal.unix_ms(node.started) },
            standing,
        }
    }

    /// News of a node reach each agent after a while of its own.
    fn publish(&self, node: &Rc<Node>, standing: Standing, after_s: [f64; 2]) {
        let now = self.journal.now();
        let region = self.s.region(node.boot.node);
        let own = self.agents.iter().enumerate().filter(|(p, _)| self.s.region(*p) == region);
        for (proxy, agent) in own {
            let wait = (self.delays.borrow_mut().within(after_s) * 1e6) as u64;
            let mut delivered = self.delivered.borrow_mut();
            let last = delivered.entry((proxy, node.boot.node)).or_default();
            let at = (now + wait).max(*last + 1000);
            *last = at;
            let (agent, line) = (agent.clone(), self.line(node, proxy, standing));
            let at = tokio::time::Instant::from_std(self.journal.instant(at));
            tokio::task::spawn_local(async move {
                tokio::time::sleep_until(at).await;
                agent.put(line);
            });
        }
    }

    fn config(&self, proxy: usize, known: &Value) -> Value {
        let limits = &self.s.limits;
        json!({
            "name": format!("p{proxy}"), "listen": self.lease.proxy(proxy).to_string(),
            "discovery": self.agents[proxy].address().to_string(),
            "seed": format!("{:016x}", mix(self.s.seed, 1000 * self.starts.get() + proxy as u64)),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": known, "settings": self.s.settings(proxy),
        })
    }

    /// The operator's file of a proxy and its text, where it needs one.
    fn operator_file(&self, proxy: usize) -> Option<(PathBuf, String)> {
        let mut text = self.joined.as_ref().map(|j| j.section(proxy)).unwrap_or_default();
        if let Some(datagrams) = &self.datagrams {
            let addresses = datagrams.addresses();
            let own = (0..self.s.proxies).filter(|p| self.s.region(*p) == self.s.region(proxy));
            let all: Vec<String> = own.map(|p| format!("\"{}\"", addresses[p])).collect();
            text += &format!(
                "[peers]\nenabled = true\nlisten = \"{}\"\nown = \"{}\"\naddresses = [{}]\n",
                peer_listen(&self.lease, proxy),
                addresses[proxy],
                all.join(", ")
            );
        }
        if self.s.shares {
            text += "[shares]\nenabled = true\n";
        }
        if self.s.failover {
            text += "[failover]\nenabled = true\n";
        }
        (!text.is_empty()).then(|| (self.folder.join(format!("p{proxy}.toml")), text))
    }

    async fn start_proxy(&self, proxy: usize) -> io::Result<()> {
        if self.proxies.borrow()[proxy].is_some() {
            return Ok(()); // it runs
        }
        self.starts.set(self.starts.get() + 1);
        self.journal.put(Event::ProxyUp { proxy });
        let agent = &self.agents[proxy];
        let actor = match &self.cast {
            Cast::Program(program) => {
                let config = self.config(proxy, &agent.known());
                let mut program = program.clone();
                let operator_file = self.operator_file(proxy);
                if let Some((path, _)) = &operator_file {
                    program.arguments.extend(["--config".into(), path.display().to_string()]);
                }
                let folder = self.folder.clone();
                let name = format!("p{proxy}");
                // Writing over its files and spawning it may block for seconds beside builds (a file system flushes a file that
                // is truncated and written again); clients go on meanwhile, or answers in time would be read late.
                let starting = tokio::task::spawn_blocking(move || {
                    if let Some((path, text)) = operator_file {
                        std::fs::write(path, text)?;
                    }
                    Process::start(&program, &folder, &name, &config)
                });
                Actor::Process(starting.await.map_err(io::Error::other)??)
            }
            Cast::Faulty(fault) => {
                let (listen, discovery) = (self.lease.proxy(proxy), agent.address());
                Actor::Faulty(Faulty::start(*fault, &self.s, listen, discovery).await?)
            }
        };
        self.proxies.borrow_mut()[proxy] = Some(actor);
        self.states.borrow_mut()[proxy] = "up";
        Ok(())
    }

    async fn until_ready(&self, proxy: usize) -> io::Result<()> {
        let end = tokio::time::Instant::now() + START;
        while tokio::time::Instant::now() < end {
            let faulty = match &self.proxies.borrow()[proxy] {
                Some(Actor::Faulty(f)) => Some(f.is_ready()),
                _ => None,
            };
            let ready = match faulty {
                Some(ready) => ready,
                None => ready(self.lease.proxy(proxy)).await,
            };
            if ready {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let log = match &self.proxies.borrow()[proxy] {
            Some(Actor::Process(p)) => p.log().join("\n"),
            _ => String::new(),
        };
        Err(io::Error::other(format!("proxy {proxy} did not become ready: {log}")))
    }

    async fn play(self: Rc<Self>, look: &mut dyn FnMut(&Live)) -> io::Result<Played> {
        let addresses: Vec<SocketAddr> = (0..self.s.proxies).map(|p| self.lease.proxy(p)).collect();
        let fleet = self.fleet.clone();
        let tell = move |id: u64, ask: &Ask| {
            let (class, key, work_us, wait_us) = (ask.class, ask.key, ask.work_us, ask.wait_us);
            fleet.facts.borrow_mut().insert(id, Facts { class, key, work_us, wait_us });
        };
        let clients = Clients::new(&self.s, self.journal.clone(), &addresses, Box::new(tell));
        let start = self.journal.now();
        let mut asking = tokio::task::JoinSet::new();
        let asks = self.plan.asks.clone();
        let (journal, askers) = (self.journal.clone(), clients.clone());
        let late = Rc::new(RefCell::new(Vec::with_capacity(asks.len())));
        let lateness = late.clone();
        let arrivals = tokio::task::spawn_local(async move {
            for ask in asks {
                let at = tokio::time::Instant::from_std(journal.instant(start + ask.at_us));
                tokio::time::sleep_until(at).await;
                lateness.borrow_mut().push(journal.now().saturating_sub(start + ask.at_us));
                while asking.try_join_next().is_some() {}
                asking.spawn_local(askers.clone().ask(ask));
            }
            while asking.join_next().await.is_some() {}
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
        let mut looking = tokio::time::interval(LOOK);
        while !(arrivals.is_finished() && steps.is_finished()) {
            looking.tick().await;
            clients.let_go();
            self.watch_proxies();
            look(&self.live(start, &mut seen));
        }
        for task in [arrivals, steps] {
            task.await.map_err(io::Error::other)?;
        }
        // What was sent late would come now; and the auditor wants to see that nothing does.
        tokio::time::sleep(Duration::from_millis(1200)).await;
        look(&self.live(start, &mut seen));
        let end = self.journal.now();
        let datagrams = self.datagrams.as_ref().map(Datagrams::sent).unwrap_or_default();
        self.end().await;
        let (records, dropped) = self.journal.take();
        let mut late = late.take();
        late.sort_unstable();
        let late_p99_us = late.get(late.len() * 99 / 100).copied().unwrap_or(0);
        let (logs, start) = (self.logs.take(), self.journal.start_unix_us());
        Ok(Played { records, dropped, logs, late_p99_us, start, end, datagrams })
    }

    fn live(&self, start: u64, seen: &mut usize) -> Live {
        let news = self.journal.read(*seen, <[Record]>::to_vec);
        *seen += news.len();
        let places = self.places.borrow();
        let nodes = places.iter().map(|p| {
            let state = match &p.node {
                None => "down",
                Some(n) if n.fell.get() => "fallen",
                Some(n) if n.frozen.get() => "cut off",
                Some(_) if p.draining => "draining",
                Some(n) if n.is_choked() => "choked",
                Some(_) => "up",
            };
            (p.name.clone(), p.hall, state, p.node.as_ref().map_or(0, |n| n.held()))
        });
        let seconds = (self.journal.now() - start) as f64 / 1e6;
        Live { seconds, news, nodes: nodes.collect(), proxies: self.states.borrow().clone() }
    }

    /// A process that ends by itself has crashed.
    fn watch_proxies(&self) {
        for proxy in 0..self.s.proxies {
            let mut proxies = self.proxies.borrow_mut();
            let Some(Actor::Process(process)) = &mut proxies[proxy] else { continue };
            if self.states.borrow()[proxy] == "ending" {
                continue; // it was told to
            }
            if process.ended().is_some() {
                self.logs.borrow_mut()[proxy].extend(process.log());
                proxies[proxy] = None;
                self.states.borrow_mut()[proxy] = "crashed";
                self.journal.put(Event::ProxyEnded { proxy, well: false });
            }
        }
    }

    fn node(&self, place: usize) -> Option<Rc<Node>> {
        self.places.borrow()[place].node.clone()
    }

    /// Takes a node out of its place.
    fn take_node(&self, place: usize) -> Option<Rc<Node>> {
        self.places.borrow_mut()[place].node.take()
    }

    async fn step(self: Rc<Self>, step: Step) {
        let d = self.s.discovery.clone();
        match step {
            Step::NodeStart(place) => {
                if let Some(old) = self.node(place).filter(|n| n.frozen.get() || n.fell.get()) {
                    self.take_node(place);
                    old.down(Down::Crash);
                }
                if let Err(e) = self.start_node(place, true).await {
                    self.journal.put(Event::Strange { text: format!("node {place} did not start: {e}") });
                }
            }
            Step::NodeCrash(place) => {
                if let Some(node) = self.take_node(place) {
                    node.down(Down::Crash);
                    self.publish(&node, Standing::Gone, d.silent_notice_s);
                }
            }
            Step::NodeDrain(place) => {
                self.places.borrow_mut()[place].draining = true;
                if let Some(node) = self.node(place) {
                    self.publish(&node, Standing::Draining, d.notice_s);
                }
            }
            Step::NodeStop(place) => {
                if let Some(node) = self.take_node(place) {
                    self.publish(&node, Standing::Gone, d.notice_s);
                    node.down(Down::Leave);
                }
            }
            Step::NodeVanish(place) => {
                if let Some(node) = self.node(place) {
                    node.hang(true);
                    node.frozen.set(true);
                    self.publish(&node, Standing::Gone, d.silent_notice_s);
                }
            }
            Step::NodeSlow(place, factor) => self.node(place).iter().for_each(|n| n.slow(factor)),
            Step::NodeHang(place, hung) => self.node(place).iter().for_each(|n| n.hang(hung)),
            Step::NodeSpoil(place, part) => self.node(place).iter().for_each(|n| n.spoil.set(part)),
            Step::NodeResets(place, part) => self.node(place).iter().for_each(|n| n.resets.set(part)),
            Step::LinkCut(proxy, node, cut) => {
                if let Some(relay) = self.relays.get(&(proxy, node)) {
                    relay.silence(cut);
                }
            }
            Step::LinkDelay(proxy, node, by_us) => {
                if let Some(relay) = self.relays.get(&(proxy, node)) {
                    relay.delay(Duration::from_micros(by_us));
                }
            }
            Step::DiscoveryDown(down) => self.agents.iter().for_each(|a| a.set_down(down)),
            Step::DiscoveryMove => self.move_discovery().await,
            Step::RegionDelay(by_us) => self.joined.iter().for_each(|j| j.delay(by_us)),
            Step::RegionCut(cut) => self.joined.iter().for_each(|j| j.cut(cut)),
            Step::NewKeys => {
                if let Some(Err(e)) = self.joined.as_ref().map(super::regions::Joined::new_keys) {
                    self.journal.put(Event::Strange { text: format!("no new keys: {e}") });
                }
                for actor in self.proxies.borrow().iter().flatten() {
                    if let Actor::Process(process) = actor {
                        let _ = process.signal("HUP");
                    }
                }
            }
            Step::ProxyKill(proxy) => self.kill_proxy(proxy).await,
            Step::ProxyStart(proxy) => {
                if let Err(e) = self.start_proxy(proxy).await {
                    self.journal.put(Event::Strange { text: format!("proxy {proxy} did not start: {e}") });
                }
            }
            Step::ProxyStop(proxy, stop) => self.stop_proxy(proxy, stop).await,
            Step::ProxyLeave(proxy) => {
                tokio::task::spawn_local(async move { self.end_proxy(proxy).await });
            }
            Step::Network(links) => {
                // Written down before it is so where it gets worse, and after where it gets better.
                let worse = !links.calm();
                if worse {
                    self.journal.put(Event::Network { links: links.clone() });
                }
                self.datagrams.iter().for_each(|d| d.set(links.clone()));
                if !worse {
                    self.journal.put(Event::Network { links });
                }
            }
            Step::ProxyRestart(proxy) => {
                tokio::task::spawn_local(async move {
                    self.end_proxy(proxy).await;
                    if let Err(e) = self.start_proxy(proxy).await {
                        self.journal
                            .put(Event::Strange { text: format!("proxy {proxy} did not start: {e}") });
                    }
                });
            }
        }
    }

    async fn move_discovery(&self) {
        for agent in &self.agents {
            if let Err(e) = agent.clone().listen(self.lease.peer()).await {
                self.journal.put(Event::Strange { text: format!("discovery did not move: {e}") });
            }
        }
        for (proxy, actor) in self.proxies.borrow().iter().enumerate() {
            if let Some(Actor::Process(process)) = actor {
                let known = json!({"index": 0, "snapshot": true, "endpoints": []});
                let _ = process.reload(&self.config(proxy, &known));
            }
        }
    }

    /// Stops a proxy, or lets it go on.
    async fn stop_proxy(&self, proxy: usize, stop: bool) {
        let id = match &self.proxies.borrow()[proxy] {
            Some(Actor::Process(process)) => process.id(),
            _ => return,
        };
        // Off the thread that drives the clients.
        let signal = |name| tokio::task::spawn_blocking(move || send_signal(id, name));
        // The record of a stop lies before it, that of its end behind it.
        if stop {
            self.journal.put(Event::ProxyStopped { proxy });
            let _ = signal("STOP").await;
        } else {
            let _ = signal("CONT").await;
            self.journal.put(Event::ProxyContinued { proxy });
        }
        self.states.borrow_mut()[proxy] = if stop { "stopped" } else { "up" };
    }

    async fn kill_proxy(&self, proxy: usize) {
        let actor = self.proxies.borrow_mut()[proxy].take();
        match actor {
            Some(Actor::Process(mut process)) => {
                self.journal.put(Event::ProxyKilled { proxy });
                // Off the thread that drives the clients: its end is waited for.
                let killing = tokio::task::spawn_blocking(move || {
                    process.kill();
                    process.log()
                });
                let log = killing.await.unwrap_or_default();
                self.logs.borrow_mut()[proxy].extend(log);
            }
            Some(Actor::Faulty(faulty)) => {
                self.journal.put(Event::ProxyKilled { proxy });
                faulty.stop();
            }
            None => return,
        }
        self.states.borrow_mut()[proxy] = "down";
    }

    /// SIGTERM, time to finish, and SIGKILL where that was not enough.
    async fn end_proxy(&self, proxy: usize) {
        if self.proxies.borrow()[proxy].is_none() {
            return;
        }
        self.states.borrow_mut()[proxy] = "ending";
        self.journal.put(Event::ProxyTerminated { proxy });
        match &self.proxies.borrow()[proxy] {
            Some(Actor::Process(process)) => {
                let _ = process.signal("TERM");
            }
            Some(Actor::Faulty(faulty)) => faulty.stop(),
            None => return,
        }
        let longest = self.s.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        // The accepting phase, the longest deadline, and what the platform adds.
        let end = tokio::time::Instant::now() + Duration::from_secs_f64(longest / 1e3 + 0.5) + STOP_GRACE;
        let well = loop {
            let ended = match &mut self.proxies.borrow_mut()[proxy] {
                Some(Actor::Process(process)) => process.ended(),
                _ => Some(true),
            };
            match ended {
                Some(well) => break well,
                None if tokio::time::Instant::now() >= end => break false,
                None => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        if let Some(Actor::Process(mut process)) = self.proxies.borrow_mut()[proxy].take() {
            process.kill();
            self.logs.borrow_mut()[proxy].extend(process.log());
        }
        self.journal.put(Event::ProxyEnded { proxy, well });
        self.states.borrow_mut()[proxy] = "down";
    }

    async fn end(self: &Rc<Self>) {
        let up: Vec<usize> = (0..self.s.proxies).filter(|p| self.proxies.borrow()[*p].is_some()).collect();
        let mut ending = tokio::task::JoinSet::new();
        for proxy in up {
            if self.states.borrow()[proxy] == "stopped" {
                self.kill_proxy(proxy).await;
            } else {
                let world = self.clone();
                ending.spawn_local(async move { world.end_proxy(proxy).await });
            }
        }
        while ending.join_next().await.is_some() {}
    }
}

/// Where a proxy takes the others' datagrams.
fn peer_listen(lease: &Lease, proxy: usize) -> SocketAddr {
    SocketAddr::new(lease.proxy(proxy).ip(), PEER_PORT)
}

/// Whether a proxy says that it is ready.
async fn ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut reader = crate::http::Reader::new(TcpStream::connect(address).await?);
        reader.get_mut().write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await?;
        reader.message().await
    };
    let answer = tokio::time::timeout(Duration::from_millis(500), ask).await;
    matches!(answer, Ok(Ok(message)) if message.status() == Some(200))
}
