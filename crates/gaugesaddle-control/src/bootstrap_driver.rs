//! Drives the cluster bootstrap: processes reports of peers and creates the initial replica.

use crate::core::{Core, CoreHandle};
use gaugesaddle_consensus::Replica;
use gaugesaddle_protocol::{HardState, ReplicaId, State};
use spdlog::info;

/// Time since the start after which the bootstrap ends even if there are fewer voters than the tolerated losses
/// require. During the bootstrap, configuration changes are not proposed, and their outcome is reported as
/// indeterminate.
const BOOTSTRAP_TIMEOUT_MS: u64 = 8000;

impl CoreHandle {
    /// Records a peer's report: whether its machine has a disk, and the bootstrap node if the peer knows it.
    pub fn record_bootstrap_report(&self, ip: u32, has_disk: bool, bootstrap_node: Option<u32>) {
        self.with(|core| {
            if core.bootstrap.record_report(ip, has_disk, bootstrap_node) {
                let hello = core.hello();
                core.peers.broadcast(&hello);
            }
            core.bootstrap_if_due();
        });
        self.deadline_changed.notify_one();
    }
}

impl Core {
    /// Creates the cluster once the initial voters are determined and this process is one of them. A replica that has
    /// voted or received a state belongs to a cluster already and never creates another one.
    pub fn bootstrap_if_due(&mut self) {
        let Some(initial_voters) = self.bootstrap.initial_voters() else { return };
        let is_pristine = self.replica.as_ref().is_some_and(Replica::is_pristine);
        if !is_pristine || !self.has_disk || !initial_voters.contains(&self.id.ip) {
            return;
        }
        let voters: Vec<ReplicaId> =
            initial_voters.into_iter().map(|ip| ReplicaId { ip, incarnation: 0 }).collect();
        info!("bootstrapping the cluster with {} voters", voters.len());
        let hard_state = HardState { id: self.id, term: 0, voted_for: None };
        self.create_replica(hard_state, State { voters, ..State::default() });
    }

    /// Whether the cluster is still being bootstrapped. A change committed in this phase could be on no more disks than
    /// the deployment tolerates to lose.
    pub fn is_bootstrapping(&self) -> bool {
        let voters = self.replica.as_ref().map_or(0, |replica| replica.voters().len()) as u64;
        let required = 2 * self.boot.tolerance.machines + 1;
        let deadline_ms = self.started_ms + BOOTSTRAP_TIMEOUT_MS;
        self.boot.bootstrap && voters < required && self.clock.now() < deadline_ms
    }
}
