//! The state of the process: a single value that owns all state machines and that tasks borrow briefly.
//!
//! Other modules extend [`Core`] and [`CoreHandle`] by concern: [`crate::replica_driver`] (consensus and
//! disk), [`crate::bootstrap`], [`crate::catalog_updates`], [`crate::quota`], [`crate::status`].

use crate::disk::DiskWrite;
use crate::peer_queues::PeerQueues;
use crate::random::random_u64;
use gaugesaddle_catalog::CatalogReplica;
use gaugesaddle_config::BootSettings;
use gaugesaddle_consensus::{NotLeader, ProposalResult, Replica, Settings, Storage};
use gaugesaddle_distribution::{DistributionProgress, Distributor};
use gaugesaddle_load_report::LoadAggregator;
use gaugesaddle_protocol::{Configuration, HardState, Origin, ReplicaId, State};
use gaugesaddle_quota::TokenAllocator;
use gaugesaddle_transport::malformed::MalformedMessages;
use gaugesaddle_transport::Clock;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::mpsc;
use tokio::sync::{oneshot, watch, Notify};

/// Duration of a backend's lease, in heartbeat intervals.
const LEASE_HEARTBEATS: f64 = 3.5;

/// A request of a task to the replica, awaiting its response.
pub enum PendingRequest {
    /// A proposed configuration.
    Proposal(oneshot::Sender<ProposalResult>),
    /// A linearizable read.
    Read(oneshot::Sender<Result<Option<Configuration>, NotLeader>>),
}

/// State of the process.
pub struct Core {
    pub boot: BootSettings,
    pub clock: Clock,
    /// Identity of the replica: generated at the start, replaced by the one stored on the disk once the disk is open.
    pub id: ReplicaId,
    /// The consensus replica; `None` until the disk is open, and after it failed.
    pub replica: Option<Replica>,
    pub has_disk: bool,
    /// Whether this process may create the replica of the first start: nothing has been written to its disk yet.
    pub may_bootstrap: bool,
    /// Start of the process, in ms of `clock`.
    pub started_ms: u64,
    pub catalog_replica: CatalogReplica,
    pub allocator: TokenAllocator,
    /// The term of leadership in which `allocator` was created.
    pub allocator_term: u64,
    pub peers: PeerQueues,
    pub distributor: Distributor,
    /// Which proxies of this process have the newest configuration.
    pub distribution_progress: DistributionProgress,
    /// Load of the backends as reported by the proxies.
    pub loads: LoadAggregator,
    /// Counts the messages of other processes that could not be decoded.
    pub malformed_messages: MalformedMessages,
    /// Notified when a proxy has reported loads.
    pub load_reported: Rc<Notify>,
    /// Queue to the disk thread; `None` without a disk.
    pub disk: Option<mpsc::Sender<DiskWrite>>,
    /// Requests to the replica by their number. An entry is removed when the replica responds or the disk fails.
    pub pending: HashMap<u64, PendingRequest>,
    pub next_request: u64,
}

impl Core {
    /// Settings of the replica. A deployment that tolerates `f` lost machines needs `2f + 1` voters.
    pub fn replica_settings(&self) -> Settings {
        let defaults = Settings::default();
        let voters = 2 * self.boot.tolerance.machines as usize + 1;
        Settings { min_voters: defaults.min_voters.max(voters), ..defaults }
    }

    /// Creates the replica from the records on its disk. Without a disk it is a learner, which never votes.
    pub fn create_replica(&mut self, hard_state: HardState, state: State) {
        let settings = self.replica_settings();
        let now = self.clock.now();
        let storage = if self.has_disk { Storage::Durable } else { Storage::Diskless };
        self.replica = Some(Replica::new(settings, hard_state, state, now, random_u64(), storage));
    }
}

/// Shared handle to the core for the tasks, which all run on one thread.
#[derive(Clone)]
pub struct CoreHandle {
    core: Rc<RefCell<Core>>,
    /// Number of changes so far; requests of proxies wait for its next value.
    changes: Rc<watch::Sender<u64>>,
    /// Notified when the replica's deadline may have changed.
    pub deadline_changed: Rc<Notify>,
}

impl CoreHandle {
    pub fn new(boot: BootSettings, disk: Option<mpsc::Sender<DiskWrite>>, peers: PeerQueues) -> CoreHandle {
        let has_disk = disk.is_some();
        let ip = u32::from(boot.ip);
        let clock = Clock::default();
        let backend_lease_ms = (boot.heartbeat_ms as f64 * LEASE_HEARTBEATS) as u64;
        let core = Core {
            has_disk,
            may_bootstrap: boot.bootstrap,
            started_ms: clock.now(),
            clock,
            catalog_replica: CatalogReplica::new(clock.now(), Origin(random_u64()), backend_lease_ms),
            id: ReplicaId { ip, incarnation: random_u64() },
            replica: None,
            allocator: TokenAllocator::default(),
            allocator_term: 0,
            peers,
            distributor: Distributor::default(),
            distribution_progress: DistributionProgress::default(),
            loads: LoadAggregator::default(),
            malformed_messages: MalformedMessages::default(),
            load_reported: Rc::default(),
            disk,
            pending: HashMap::new(),
            next_request: 1,
            boot,
        };
        CoreHandle {
            core: Rc::new(RefCell::new(core)),
            changes: Rc::new(watch::Sender::new(0)),
            deadline_changed: Rc::default(),
        }
    }

    /// Calls `f` with the core borrowed mutably. `f` must not borrow it again, and no borrow outlives the call, so that
    /// none is held across an await.
    pub fn with<T>(&self, f: impl FnOnce(&mut Core) -> T) -> T {
        f(&mut self.core.borrow_mut())
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Wakes the tasks that wait for a change.
    pub fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}
