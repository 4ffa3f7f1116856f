//! A control process: runs the shipped state machines on simulated links, disk and clock.
//!
//! Its files: `calls` (calls of proxies, backends and operators), `peers` (messages of other control processes and
//! the maintenance loop), `replica` (consensus and disk). Each step records its [`Effects`], which the world executes.
//! The process mirrors `gaugesaddle-control`, with the same constants.

mod calls;
mod peers;
mod replica;

use crate::disk::Disk;
use crate::network::Node;
use crate::packet::{Answer, Packet};
use crate::Millis;
use gaugesaddle_catalog::{Acknowledgement, CatalogReplica};
use gaugesaddle_consensus::{Input, Replica, Settings, WriteId};
use gaugesaddle_distribution::Distributor;
use gaugesaddle_log::Ring;
use gaugesaddle_protocol::{Configuration, HardState, LogPosition, Origin, Pull, ReplicaId, State};
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Reading of a process's clock at its start, so that the clocks of processes with different start times disagree.
const CLOCK_START_MS: Millis = 1_000_000;
/// Interval between checks of the pending registrations.
const POLL_INTERVAL_MS: Millis = 3;
/// Duration of a backend's lease.
const BACKEND_LEASE_MS: Millis = 4200;

/// The caller of a pending call, and the deadline of the answer.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    caller: Node,
    call_id: u64,
    deadline: Millis,
}

/// A proxy's pull that waits for changes.
#[derive(Debug)]
struct PendingPull {
    waiter: Waiter,
    pull: Box<Pull>,
}

/// A backend's call whose acknowledgement is not decided yet.
#[derive(Debug)]
struct PendingRegistration {
    waiter: Waiter,
    acknowledgement: Acknowledgement,
}

/// A write that is not durable yet.
#[derive(Debug)]
struct PendingWrite {
    write_id: WriteId,
    hard_state: HardState,
    state: Option<Box<State>>,
}

/// Effects of a step, which the world executes.
#[derive(Debug, Default)]
pub struct Effects {
    /// Packets to send.
    pub packets: Vec<(Node, Packet)>,
    /// The disk has started a write.
    pub write_started: bool,
    /// Term and identity of the replica, if it leads.
    pub leadership: Option<(u64, ReplicaId)>,
    /// Configurations that this process found to be committed.
    pub committed: Vec<Configuration>,
    /// Newest log position of each answer in which the process reported itself fresh.
    pub fresh_answers: Vec<Option<LogPosition>>,
}

/// A control process.
///
/// Its tables are bounded by the simulated fleet: an entry of a pending table is removed when it is answered or its
/// deadline passes.
pub struct ControlProcess {
    ip: u32,
    incarnation: u64,
    started: Millis,
    has_disk: bool,
    /// The consensus replica; `None` while the disk cannot be opened.
    pub replica: Option<Replica>,
    /// The process's replica of the catalog.
    pub catalog_replica: CatalogReplica,
    /// Distributes the configuration in force to proxies.
    pub distributor: Distributor,
    settings: Settings,
    ring: Option<Ring<Disk>>,
    disk: Disk,
    queued_writes: VecDeque<PendingWrite>,
    /// Writes that the disk has started; they become durable together.
    active_writes: Vec<PendingWrite>,
    reopen_disk_at: Option<Millis>,
    /// Addresses of the other control machines.
    known_peers: BTreeSet<u32>,
    /// Highest incarnation received from each peer.
    peer_incarnations: BTreeMap<u32, u64>,
    /// Proposals and reads in progress at this process's replica, by number.
    pending: BTreeMap<u64, Waiter>,
    /// Calls forwarded to the leader, by the id of the forwarded call.
    forwarded: BTreeMap<u64, Waiter>,
    next_number: u64,
    pending_pulls: Vec<PendingPull>,
    pending_registrations: Vec<PendingRegistration>,
    maintenance_at: Millis,
    random: Pcg64Mcg,
    effects: Effects,
    /// The configuration or the catalog has changed since the last check of the pending pulls.
    has_changes: bool,
}

/// Options for the start of a process.
pub struct ProcessOptions {
    /// Address of its machine.
    pub ip: u32,
    /// Incarnation of the process: 1 for the first on its machine, higher for each later one.
    pub incarnation: u64,
    /// The machine's disk; unused if `has_disk` is false.
    pub disk: Disk,
    /// Whether the machine has a disk.
    pub has_disk: bool,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Addresses of control machines in the boot file.
    pub seeds: Vec<u32>,
    /// Timing and bounds of the replica.
    pub settings: Settings,
    /// Source of all random numbers of the process.
    pub random: Pcg64Mcg,
}

impl ControlProcess {
    /// Starts a process.
    pub fn start(now: Millis, mut options: ProcessOptions) -> ControlProcess {
        let origin = Origin(options.random.next_u64());
        let mut process = ControlProcess {
            ip: options.ip,
            incarnation: options.incarnation,
            started: now,
            has_disk: options.has_disk,
            replica: None,
            catalog_replica: CatalogReplica::new(CLOCK_START_MS, origin, BACKEND_LEASE_MS),
            distributor: Distributor::default(),
            settings: options.settings,
            ring: None,
            disk: options.disk,
            queued_writes: VecDeque::new(),
            active_writes: Vec::new(),
            reopen_disk_at: None,
            known_peers: options.seeds.iter().copied().filter(|ip| *ip != options.ip).collect(),
            peer_incarnations: BTreeMap::new(),
            pending: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            // Starts from the address and the incarnation, so that numbers are unique among all processes.
            next_number: u64::from(options.ip) << 40 | options.incarnation << 24,
            pending_pulls: Vec::new(),
            pending_registrations: Vec::new(),
            maintenance_at: now + peers::MAINTENANCE_INTERVAL_MS,
            random: options.random,
            effects: Effects::default(),
            has_changes: false,
        };
        process.open_disk(now, &options.seeds, options.is_first_start);
        process
    }

    /// Reading of the process's own clock.
    fn clock(&self, now: Millis) -> Millis {
        CLOCK_START_MS + now - self.started
    }

    /// Returns the effects since the last call.
    pub fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// When [`ControlProcess::tick`] must be called at the latest.
    pub fn deadline(&self) -> Millis {
        let replica = self.replica.as_ref().map(|replica| replica.deadline() - CLOCK_START_MS + self.started);
        let pulls = self.pending_pulls.iter().map(|pending| pending.waiter.deadline);
        let waiters = self.pending.values().chain(self.forwarded.values()).map(|waiter| waiter.deadline);
        let deadlines = pulls.chain(waiters).chain(replica).chain(self.reopen_disk_at);
        deadlines.chain([self.maintenance_at]).min().unwrap_or(self.maintenance_at)
    }

    /// Time of the next check of the pending registrations, if there are any.
    pub fn poll_at(&self, now: Millis) -> Option<Millis> {
        (!self.pending_registrations.is_empty()).then_some(now + POLL_INTERVAL_MS)
    }

    /// Handles expired deadlines.
    pub fn tick(&mut self, now: Millis) {
        if self.reopen_disk_at.is_some_and(|at| now >= at) {
            self.reopen_disk_at = None;
            self.open_disk(now, &[], false);
        }
        let clock = self.clock(now);
        if self.replica.as_ref().is_some_and(|replica| replica.deadline() <= clock) {
            self.step(now, Input::Tick);
        }
        if now >= self.maintenance_at {
            self.maintain(now);
        }
        self.expire_waiters(now);
        self.answer_pending(now);
    }

    /// Handles a packet.
    pub fn receive(&mut self, now: Millis, from: Node, packet: Packet) {
        match packet {
            Packet::Hello { sender, members } => {
                let Node::Control(ip) = from else { return };
                self.add_peers(members);
                self.register_peer(now, ip, sender);
            }
            Packet::Peer { sender, message } => {
                let Node::Control(ip) = from else { return };
                self.register_peer(now, ip, sender);
                self.receive_peer_message(now, ip, sender.origin, *message);
            }
            Packet::Call { id, call } => self.receive_call(now, from, id, call),
            Packet::Answer { id, answer } => {
                if let Some(waiter) = self.forwarded.remove(&id) {
                    self.answer(waiter, answer);
                }
            }
        }
        self.answer_pending(now);
    }

    fn answer(&mut self, waiter: Waiter, answer: Answer) {
        self.effects.packets.push((waiter.caller, Packet::Answer { id: waiter.call_id, answer }));
    }

    /// Whether the replica has every state that was committed one lease ago, see [`Replica::is_fresh`].
    pub fn is_fresh(&self, now: Millis) -> bool {
        let clock = self.clock(now);
        self.replica.as_ref().is_some_and(|replica| replica.is_fresh(clock))
    }

    /// Whether the replica leads and has a lease, see [`Replica::has_lease`].
    pub fn has_lease(&self, now: Millis) -> bool {
        let clock = self.clock(now);
        self.replica.as_ref().is_some_and(|replica| replica.has_lease(clock))
    }

    fn leader(&self) -> Option<ReplicaId> {
        self.replica.as_ref().and_then(Replica::leader)
    }
}
