//! The host of the state machines: one value that every task of the process borrows for a moment.

use crate::bootstrap::Bootstrap;
use crate::disk::{DiskEvent, Write};
use crate::peers::Peers;
use gaugesaddle_catalog::CatalogReplica;
use gaugesaddle_config::{operator::OperatorConfig, BootSettings};
use gaugesaddle_consensus::{Input, NotLeader, Output, Proposal, ProposalResult, Replica, Settings};
use gaugesaddle_distribution::{Distributor, ReplicaStatus};
use gaugesaddle_load_report::LoadAggregator;
use gaugesaddle_protocol::{
    CatalogDelta, Configuration, HardState, Lifecycle, Origin, PeerMessage, Pull, Registration, ReplicaId,
    State, StatusReport, Subject,
};
use gaugesaddle_quota::{Limit, TokenAllocator};
use gaugesaddle_transport::Clock;
use rand_core::{OsRng, TryRngCore};
use spdlog::{info, warn};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::mpsc;
use tokio::sync::{oneshot, watch, Notify};

/// Part of the quotas' slack that is lent beside the rate, and again beside the burst.
const SLACK_PART: f64 = 0.3;
/// Part of what may be used over a quota that is lent: what is lent and not used in time is lost.
const OVER_PART: f64 = 0.5;

/// A backend's lease, in its heartbeats.
const LEASE_HEARTBEATS: f64 = 3.5;
/// At the first start changes wait so long, in milliseconds, for as many voters as the tolerated losses ask for.
const FOUNDING: u64 = 8000;

/// A number that no other process draws.
pub fn draw() -> u64 {
    OsRng.try_next_u64().unwrap_or_else(|_| u64::from(std::process::id()) | 1 << 40)
}

/// The replicas' times and bounds on a deployment that tolerates so many losses: a change survives them on as many disks
/// and one more.
fn settings(boot: &BootSettings) -> Settings {
    let standard = Settings::default();
    let voters = 2 * boot.tolerance.machines as usize + 1;
    Settings { min_voters: standard.min_voters.max(voters), ..standard }
}

/// What a task waits for from the replica.
enum Waiting {
    Proposal(oneshot::Sender<ProposalResult>),
    Read(oneshot::Sender<Result<Option<Configuration>, NotLeader>>),
}

/// The state of the process.
pub struct Core {
    pub boot: BootSettings,
    pub clock: Clock,
    /// Who this is in the group, as far as that is known yet.
    pub me: ReplicaId,
    pub replica: Option<Replica>,
    pub has_disk: bool,
    pub bootstrap: Bootstrap,
    /// When the process began.
    started: u64,
    pub catalog_replica: CatalogReplica,
    pub allocator: TokenAllocator,
    /// The term for which the dealer allocates_quota.
    allocator_term: u64,
    pub peers: Peers,
    pub distributor: Distributor,
    /// What proxies see of the backends' load.
    pub loads: LoadAggregator,
    /// Wakes the task that tells the other processes of it.
    pub reported: Rc<Notify>,
    disk: Option<mpsc::Sender<Write>>,
    waiting: HashMap<u64, Waiting>,
    next_waiting: u64,
}

/// The core, shared by the tasks of the one thread.
#[derive(Clone)]
pub struct CoreHandle {
    core: Rc<RefCell<Core>>,
    /// Counts up with each change that proxies or peers may wait for.
    news: Rc<watch::Sender<u64>>,
    timer: Rc<Notify>,
}

impl CoreHandle {
    pub fn new(boot: BootSettings, disk: Option<mpsc::Sender<Write>>, peers: Peers) -> CoreHandle {
        let has_disk = disk.is_some();
        let ip = u32::from(boot.ip);
        let seeds = boot.seeds.iter().map(|seed| u32::from(*seed.ip())).collect();
        let clock = Clock::default();
        let backend_lease = (boot.heartbeat_ms as f64 * LEASE_HEARTBEATS) as u64;
        let core = Core {
            has_disk,
            bootstrap: Bootstrap::new(ip, has_disk, seeds, boot.bootstrap),
            started: clock.now(),
            clock,
            catalog_replica: CatalogReplica::new(clock.now(), Origin(draw()), backend_lease),
            me: ReplicaId { ip, incarnation: draw() },
            replica: None,
            allocator: TokenAllocator::default(),
            allocator_term: 0,
            peers,
            distributor: Distributor::default(),
            loads: LoadAggregator::default(),
            reported: Rc::default(),
            disk,
            waiting: HashMap::new(),
            next_waiting: 1,
            boot,
        };
        let handle = CoreHandle {
            core: Rc::new(RefCell::new(core)),
            news: Rc::new(watch::Sender::new(0)),
            timer: Rc::default(),
        };
        if !has_disk {
            handle.listen_only();
        }
        handle
    }

    /// Borrows the core; never held across a wait.
    pub fn with<T>(&self, f: impl FnOnce(&mut Core) -> T) -> T {
        f(&mut self.core.borrow_mut())
    }

    /// A receiver that sees each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Tells those who wait that something has changed.
    pub fn announce(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// A process without a disk takes every state and never votes.
    fn listen_only(&self) {
        self.with(|core| {
            let hard_state = HardState { id: core.me, term: 0, voted_for: None };
            let now = core.clock.now();
            core.replica =
                Some(Replica::new(settings(&core.boot), hard_state, State::default(), now, draw(), false));
        });
    }

    pub fn disk_event(&self, event: DiskEvent) {
        match event {
            DiskEvent::Opened { hard_state, state } => self.disk_opened(hard_state, state),
            DiskEvent::Persisted(write_id) => self.step(Input::Persisted(write_id)),
            DiskEvent::Failed(reason) => {
                warn!("disk refused, replica stops: {reason}");
                let failed = self.with(|core| {
                    core.replica = None;
                    std::mem::take(&mut core.waiting)
                });
                failed.into_values().for_each(Waiting::fail);
                self.announce();
            }
        }
    }

    fn disk_opened(&self, hard_state: Option<HardState>, state: Option<Box<State>>) {
        self.with(|core| {
            let first = core.boot.bootstrap && hard_state.is_none();
            let me = match (&hard_state, first) {
                (Some(hard_state), _) => hard_state.id,
                (None, true) => ReplicaId { incarnation: 0, ..core.me },
                (None, false) => core.me,
            };
            core.me = me;
            let hard_state = hard_state.unwrap_or(HardState { id: me, term: 0, voted_for: None });
            let state = state.map(|state| *state).unwrap_or_default();
            info!(
                "replica {me} term {} at {:?} voters {:?}",
                hard_state.term,
                state.position,
                state.voters.len()
            );
            let now = core.clock.now();
            core.replica = Some(Replica::new(settings(&core.boot), hard_state, state, now, draw(), true));
            core.found_if_due();
        });
        self.timer.notify_one();
    }

    /// Another process says whether it has a disk, and who was named to found the group.
    pub fn heard_of_disk(&self, ip: u32, has_disk: bool, bootstrap_node: Option<u32>) {
        self.with(|core| {
            if core.bootstrap.heard(ip, has_disk, bootstrap_node) {
                let hello = core.hello();
                core.peers.broadcast(&hello);
            }
            core.found_if_due();
        });
        self.timer.notify_one();
    }

    /// Gives the replica an input and carries out what it returns.
    pub fn step(&self, input: Input) {
        self.drive(|replica, now, outputs| replica.handle(now, input, outputs));
    }

    /// Ends a leadership before the process ends.
    pub fn transfer_leadership(&self) {
        self.drive(Replica::transfer_leadership);
    }

    fn drive(&self, act: impl FnOnce(&mut Replica, u64, &mut Vec<Output>)) {
        let outputs = self.with(|core| {
            let now = core.clock.now();
            let mut outputs = Vec::new();
            if let Some(replica) = &mut core.replica {
                let before = (replica.role(), replica.term());
                act(replica, now, &mut outputs);
                let after = (replica.role(), replica.term());
                if before != after {
                    info!("replica {} is {:?} in term {}", replica.id(), after.0, after.1);
                }
            }
            outputs
        });
        self.carry_out(outputs);
        self.timer.notify_one();
    }

    fn carry_out(&self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => self.with(|core| {
                    let from = core.me;
                    core.peers.send(to.ip, PeerMessage::Replica { from, to: Some(to), message });
                }),
                Output::Broadcast(message) => self.with(|core| {
                    let from = core.me;
                    core.peers.broadcast(&PeerMessage::Replica { from, to: None, message });
                }),
                Output::Persist { write_id, hard_state, state } => {
                    self.persist(Write { write_id, hard_state, state })
                }
                Output::Committed => self.committed(),
                Output::Proposed(id, result) => {
                    if let Some(Waiting::Proposal(to)) = self.with(|core| core.waiting.remove(&id)) {
                        let _ = to.send(result);
                    }
                }
                Output::Read(id, result) => {
                    if let Some(Waiting::Read(to)) = self.with(|core| core.waiting.remove(&id)) {
                        let _ = to.send(result);
                    }
                }
            }
        }
    }

    fn persist(&self, write: Write) {
        let write_id = write.write_id;
        let listens_only = self.with(|core| match &core.disk {
            Some(disk) => {
                // The thread lives as long as the process; without it nothing is ever called persisted.
                let _ = disk.send(write);
                false
            }
            None => true,
        });
        if listens_only {
            self.step(Input::Persisted(write_id));
        }
    }

    fn committed(&self) {
        self.with(|core| {
            let Some(newest) = core.replica.as_ref().and_then(Replica::committed) else { return };
            if !core.distributor.apply(newest) {
                return;
            }
            // Elsewhere nothing is dealt, and whoever leads next begins anew.
            if core.is_leading() {
                core.configure_allocator();
            }
        });
        self.announce();
    }

    /// Runs the replica's timer for as long as the process lives.
    pub async fn run_timer(self) {
        loop {
            let deadline = self.with(|core| {
                let replica = core.replica.as_ref()?;
                Some(core.clock.instant(replica.deadline()))
            });
            match deadline {
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(at) => self.step(Input::Tick),
                        () = self.timer.notified() => {}
                    }
                }
                None => self.timer.notified().await,
            }
        }
    }

    /// Has the leader decide a change; `Unclear` where this process does not lead.
    pub async fn propose(&self, proposal: Proposal) -> ProposalResult {
        let (to, result) = oneshot::channel();
        let id = self.wait(Waiting::Proposal(to));
        self.step(Input::Propose(id, Box::new(proposal)));
        result.await.unwrap_or(ProposalResult::Indeterminate)
    }

    /// The current configuration, if this process leads.
    pub async fn read(&self) -> Result<Option<Configuration>, NotLeader> {
        let (to, result) = oneshot::channel();
        let id = self.wait(Waiting::Read(to));
        self.step(Input::Read(id));
        result.await.unwrap_or(Err(NotLeader))
    }

    fn wait(&self, waiting: Waiting) -> u64 {
        self.with(|core| {
            let id = core.next_waiting;
            core.next_waiting += 1;
            if core.replica.is_some() {
                core.waiting.insert(id, waiting);
            }
            id
        })
    }

    /// Takes what a peer says of the catalog, and answers it.
    pub fn take_of_catalog(&self, ip: u32, message: PeerMessage) {
        let changed = self.with(|core| {
            let now = core.clock.now();
            let outcome = core.catalog_replica.apply(now, ip, message);
            for answer in outcome.responses {
                core.peers.send(ip, answer);
            }
            outcome.changed
        });
        if changed {
            self.announce();
        }
    }

    /// Takes a call of a backend or proxy, and passes news on.
    pub fn record(&self, registration: Registration) {
        self.spread_news(|core, now| core.catalog_replica.record(now, registration).into_iter().collect());
    }

    /// Takes a proxy's call: its lease is renewed, and what waits for what it knows is acknowledged.
    pub fn record_pull(&self, pull: &Pull) {
        self.with(|core| {
            let now = core.clock.now();
            for (ip, message) in core.catalog_replica.record_pull(now, pull) {
                core.peers.send(ip, message);
            }
        });
        self.record(pull.proxy.clone());
    }

    /// Takes what a proxy knows to have left, and passes news on.
    pub fn record_departed(&self, departed: Vec<Registration>) {
        self.spread_news(|core, now| core.catalog_replica.record_departed(now, departed));
    }

    /// Ends what has fallen silent, and passes that on.
    pub fn expire(&self) {
        self.spread_news(|core, now| {
            let ended = core.catalog_replica.expire(now);
            for entry in ended.iter().flat_map(|delta| &delta.entries) {
                info!("lease of {} has run out", entry.registration.id);
            }
            ended
        });
    }

    fn spread_news(&self, act: impl FnOnce(&mut Core, u64) -> Vec<CatalogDelta>) {
        let news = self.with(|core| {
            let now = core.clock.now();
            let deltas = act(core, now);
            for delta in &deltas {
                core.peers.broadcast(&PeerMessage::Push(delta.clone()));
            }
            !deltas.is_empty()
        });
        if news {
            self.announce();
        }
    }
}

impl Waiting {
    fn fail(self) {
        match self {
            Waiting::Proposal(to) => drop(to.send(ProposalResult::Indeterminate)),
            Waiting::Read(to) => drop(to.send(Err(NotLeader))),
        }
    }
}

impl Core {
    /// Begins as a founder, once it is certain that this is one. A replica that has heard of a group never founds one.
    fn found_if_due(&mut self) {
        let Some(founders) = self.bootstrap.founders() else { return };
        let fresh = self.replica.as_ref().is_some_and(Replica::is_pristine);
        if !fresh || !self.has_disk || !founders.contains(&self.me.ip) {
            return;
        }
        let voters: Vec<ReplicaId> =
            founders.into_iter().map(|ip| ReplicaId { ip, incarnation: 0 }).collect();
        info!("founds the group with {} voters", voters.len());
        let hard_state = HardState { id: self.me, term: 0, voted_for: None };
        let state = State { voters, ..State::default() };
        let now = self.clock.now();
        self.replica = Some(Replica::new(settings(&self.boot), hard_state, state, now, draw(), true));
    }

    /// Whether the group is still being founded: a change taken now could be on fewer disks than may be lost.
    pub fn is_being_founded(&self) -> bool {
        let voters = self.replica.as_ref().map_or(0, |r| r.voters().len()) as u64;
        let wanted = 2 * self.boot.tolerance.machines + 1;
        self.boot.bootstrap && voters < wanted && self.clock.now() < self.started + FOUNDING
    }

    /// Whether this process was in touch with a majority a moment ago.
    pub fn is_fresh(&self) -> bool {
        let now = self.clock.now();
        self.replica.as_ref().is_some_and(|r| r.is_fresh(now))
    }

    /// How this process stands, for proxies.
    pub fn replica_status(&self) -> ReplicaStatus {
        let now = self.clock.now();
        ReplicaStatus { fresh: self.is_fresh(), leader: self.leader(), members: self.members(now) }
    }

    /// Address of the leader's machine.
    pub fn leader(&self) -> Option<u32> {
        self.replica.as_ref().and_then(|r| r.leader()).map(|l| l.ip)
    }

    /// Whether it takes itself for the leader.
    pub fn is_leading(&self) -> bool {
        self.leader() == Some(u32::from(self.boot.ip))
    }

    /// How this process stands.
    pub fn report(&self) -> StatusReport {
        let now = self.clock.now();
        let mut report = StatusReport {
            replica: self.me.to_string(),
            role: "starting".to_owned(),
            fresh: self.is_fresh(),
            disk: self.has_disk,
            peers_alive: self.catalog_replica.peers().alive(now).len() as u64,
            ..StatusReport::default()
        };
        if let Some(replica) = &self.replica {
            report.role = format!("{:?}", replica.role()).to_lowercase();
            report.term = replica.term();
            report.leader = replica.leader().map(|l| l.to_string());
            report.voters = replica.voters().iter().map(ToString::to_string).collect();
        }
        if let Some(configuration) = self.distributor.current() {
            report.index = configuration.position.index;
            report.revision = configuration.revision;
        }
        for registration in self.catalog_replica.catalog().iter() {
            let ready = registration.lifecycle == Lifecycle::Ready;
            match registration.subject {
                Subject::Proxy => report.proxies += u64::from(ready),
                Subject::Backend { .. } if registration.lifecycle.is_leaving() => {
                    report.backends_leaving += 1
                }
                Subject::Backend { .. } => report.backends += u64::from(ready),
            }
        }
        report
    }

    /// Whether it leads and may lend tokens; a new leader begins with empty buckets.
    pub fn allocates_quota(&mut self) -> bool {
        let now = self.clock.now();
        let Some(replica) = self.replica.as_ref().filter(|r| r.has_lease(now)) else { return false };
        let term = replica.term();
        if term != self.allocator_term {
            self.allocator_term = term;
            self.allocator = TokenAllocator::default();
            self.configure_allocator();
        }
        true
    }

    fn configure_allocator(&mut self) {
        let Some(configuration) = self.distributor.current() else { return };
        let now = self.clock.now();
        // It was checked before it was proposed.
        let Ok(config) = OperatorConfig::parse(&configuration.document) else { return };
        let limited = config.tenants.into_iter().filter(|t| t.rate_per_s > 0.0);
        let bounds = &self.boot.bounds;
        let slack = bounds.quota_slack * SLACK_PART;
        let limit = |rate: f64, burst: f64| Limit {
            rate: rate * (1.0 + OVER_PART * bounds.quota_over) + slack / bounds.quota_window_s.max(1.0),
            burst: burst.max(0.0) + slack,
        };
        let limits: Vec<(String, Limit)> = limited.map(|t| (t.name, limit(t.rate_per_s, t.burst))).collect();
        self.allocator.configure(now, &limits);
    }
}
