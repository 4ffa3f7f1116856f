//! The host of the state machines: one value that every task of the process borrows for a moment.

use crate::disk::{DiskEvent, Write};
use crate::founding::Founding;
use crate::peers::Peers;
use gaugesaddle_catalog::Registrar;
use gaugesaddle_config::{operator::OperatorConfig, BootSettings};
use gaugesaddle_consensus::{Input, NotLeading, Output, Proposal, ProposalResult, Replica, Settings};
use gaugesaddle_distribution::{Distributor, Standing};
use gaugesaddle_load_report::LoadBoard;
use gaugesaddle_protocol::{
    Ballot, Configuration, Delta, Lifecycle, Origin, PeerMessage, Pull, Registration, ReplicaId, State,
    StatusReport, Subject,
};
use gaugesaddle_quota::{Dealer, Limit};
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
    Settings { least_voters: standard.least_voters.max(voters), ..standard }
}

/// What a task waits for from the replica.
enum Waiting {
    Proposal(oneshot::Sender<ProposalResult>),
    Read(oneshot::Sender<Result<Option<Configuration>, NotLeading>>),
}

/// The state of the process.
pub struct Core {
    pub boot: BootSettings,
    pub clock: Clock,
    /// Who this is in the group, as far as that is known yet.
    pub me: ReplicaId,
    pub replica: Option<Replica>,
    pub has_disk: bool,
    pub founding: Founding,
    /// When the process began.
    started: u64,
    pub registrar: Registrar,
    pub dealer: Dealer,
    /// The term for which the dealer deals.
    dealer_term: u64,
    pub peers: Peers,
    pub distributor: Distributor,
    /// What proxies see of the backends' load.
    pub loads: LoadBoard,
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
            founding: Founding::new(ip, has_disk, seeds, boot.bootstrap),
            started: clock.now(),
            clock,
            registrar: Registrar::new(clock.now(), Origin(draw()), backend_lease),
            me: ReplicaId { ip, incarnation: draw() },
            replica: None,
            dealer: Dealer::default(),
            dealer_term: 0,
            peers,
            distributor: Distributor::default(),
            loads: LoadBoard::default(),
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
            let ballot = Ballot { me: core.me, term: 0, voted_for: None };
            let now = core.clock.now();
            core.replica =
                Some(Replica::new(settings(&core.boot), ballot, State::default(), now, draw(), false));
        });
    }

    pub fn disk_event(&self, event: DiskEvent) {
        match event {
            DiskEvent::Opened { ballot, state } => self.disk_opened(ballot, state),
            DiskEvent::Persisted(ticket) => self.step(Input::Persisted(ticket)),
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

    fn disk_opened(&self, ballot: Option<Ballot>, state: Option<Box<State>>) {
        self.with(|core| {
            let first = core.boot.bootstrap && ballot.is_none();
            let me = match (&ballot, first) {
                (Some(ballot), _) => ballot.me,
                (None, true) => ReplicaId { incarnation: 0, ..core.me },
                (None, false) => core.me,
            };
            core.me = me;
            let ballot = ballot.unwrap_or(Ballot { me, term: 0, voted_for: None });
            let state = state.map(|state| *state).unwrap_or_default();
            info!("replica {me} term {} at {:?} voters {:?}", ballot.term, state.stamp, state.voters.len());
            let now = core.clock.now();
            core.replica = Some(Replica::new(settings(&core.boot), ballot, state, now, draw(), true));
            core.found_if_due();
        });
        self.timer.notify_one();
    }

    /// Another process says whether it has a disk, and who was named to found the group.
    pub fn heard_of_disk(&self, ip: u32, has_disk: bool, founder: Option<u32>) {
        self.with(|core| {
            if core.founding.heard(ip, has_disk, founder) {
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
    pub fn resign(&self) {
        self.drive(Replica::resign);
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
                Output::Persist { ticket, ballot, state } => self.persist(Write { ticket, ballot, state }),
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
        let ticket = write.ticket;
        let listens_only = self.with(|core| match &core.disk {
            Some(disk) => {
                // The thread lives as long as the process; without it nothing is ever called persisted.
                let _ = disk.send(write);
                false
            }
            None => true,
        });
        if listens_only {
            self.step(Input::Persisted(ticket));
        }
    }

    fn committed(&self) {
        self.with(|core| {
            let Some(newest) = core.replica.as_ref().and_then(Replica::committed) else { return };
            if !core.distributor.take(newest) {
                return;
            }
            // Elsewhere nothing is dealt, and whoever leads next begins anew.
            if core.is_leading() {
                core.configure_dealer();
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
        result.await.unwrap_or(ProposalResult::Unclear)
    }

    /// The current configuration, if this process leads.
    pub async fn read(&self) -> Result<Option<Configuration>, NotLeading> {
        let (to, result) = oneshot::channel();
        let id = self.wait(Waiting::Read(to));
        self.step(Input::Read(id));
        result.await.unwrap_or(Err(NotLeading))
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
            let (changed, answers) = core.registrar.take(now, ip, message);
            for answer in answers {
                core.peers.send(ip, answer);
            }
            changed
        });
        if changed {
            self.announce();
        }
    }

    /// Takes a call of a backend or proxy, and passes news on.
    pub fn note(&self, registration: Registration) {
        self.spread_news(|core, now| core.registrar.note(now, registration).into_iter().collect());
    }

    /// Takes a proxy's call: its lease is renewed, and what waits for what it knows is acknowledged.
    pub fn note_pull(&self, pull: &Pull) {
        self.with(|core| {
            let now = core.clock.now();
            for (ip, message) in core.registrar.note_pull(now, pull) {
                core.peers.send(ip, message);
            }
        });
        self.note(pull.proxy.clone());
    }

    /// Takes what a proxy knows to have left, and passes news on.
    pub fn note_left(&self, left: Vec<Registration>) {
        self.spread_news(|core, now| core.registrar.note_left(now, left));
    }

    /// Ends what has fallen silent, and passes that on.
    pub fn expire(&self) {
        self.spread_news(|core, now| {
            let ended = core.registrar.expire(now);
            for entry in ended.iter().flat_map(|delta| &delta.entries) {
                info!("lease of {} has run out", entry.registration.id);
            }
            ended
        });
    }

    fn spread_news(&self, act: impl FnOnce(&mut Core, u64) -> Vec<Delta>) {
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
            Waiting::Proposal(to) => drop(to.send(ProposalResult::Unclear)),
            Waiting::Read(to) => drop(to.send(Err(NotLeading))),
        }
    }
}

impl Core {
    /// Begins as a founder, once it is certain that this is one. A replica that has heard of a group never founds one.
    fn found_if_due(&mut self) {
        let Some(founders) = self.founding.founders() else { return };
        let fresh = self.replica.as_ref().is_some_and(Replica::is_untouched);
        if !fresh || !self.has_disk || !founders.contains(&self.me.ip) {
            return;
        }
        let voters: Vec<ReplicaId> =
            founders.into_iter().map(|ip| ReplicaId { ip, incarnation: 0 }).collect();
        info!("founds the group with {} voters", voters.len());
        let ballot = Ballot { me: self.me, term: 0, voted_for: None };
        let state = State { voters, ..State::default() };
        let now = self.clock.now();
        self.replica = Some(Replica::new(settings(&self.boot), ballot, state, now, draw(), true));
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
    pub fn standing(&self) -> Standing {
        let now = self.clock.now();
        Standing { fresh: self.is_fresh(), leader: self.leader(), members: self.members(now) }
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
            peers_alive: self.registrar.peers().alive(now).len() as u64,
            ..StatusReport::default()
        };
        if let Some(replica) = &self.replica {
            report.role = format!("{:?}", replica.role()).to_lowercase();
            report.term = replica.term();
            report.leader = replica.leader().map(|l| l.to_string());
            report.voters = replica.voters().iter().map(ToString::to_string).collect();
        }
        if let Some(configuration) = self.distributor.current() {
            report.index = configuration.stamp.index;
            report.revision = configuration.revision;
        }
        for registration in self.registrar.catalog().iter() {
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
    pub fn deals(&mut self) -> bool {
        let now = self.clock.now();
        let Some(replica) = self.replica.as_ref().filter(|r| r.has_lease(now)) else { return false };
        let term = replica.term();
        if term != self.dealer_term {
            self.dealer_term = term;
            self.dealer = Dealer::default();
            self.configure_dealer();
        }
        true
    }

    fn configure_dealer(&mut self) {
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
        self.dealer.configure(now, &limits);
    }
}
