//! Drives the cluster bootstrap: reports of peers in, the initial replica out.

use crate::core::{Core, CoreHandle};
use gaugesaddle_consensus::Replica;
use gaugesaddle_protocol::{HardState, ReplicaId, State};
use spdlog::info;

/// During the bootstrap, configuration changes are rejected until there are as many voters as the tolerated losses
/// require, or this time since the start has passed.
const BOOTSTRAP_TIMEOUT_MS: u64 = 8000;

impl CoreHandle {
    /// Records a peer's report: whether its machine has a disk, and the bootstrap node that it knows.
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
    /// Creates the cluster once this process is certain to be one of the initial voters. A replica that knows of a
    /// cluster never creates another one.
    pub fn bootstrap_if_due(&mut self) {
        let Some(initial_voters) = self.bootstrap.initial_voters() else { return };
        let is_pristine = self.replica.as_ref().is_some_and(Replica::is_pristine);
        if !is_pristine || !self.has_disk || !initial_voters.contains(&self.id.ip) {
            return;
        }
        let voters: Vec<ReplicaId> =
            initial_voters.into_iter().map(|ip| ReplicaId { ip, incarnation: 0 }).collect();
        info!("bootstraps the cluster with {} voters", voters.len());
        let hard_state = HardState { id: self.id, term: 0, voted_for: None };
        self.create_replica(hard_state, State { voters, ..State::default() });
    }

    /// Whether the cluster is still being bootstrapped: a change committed now could be on no more disks than may be
    /// lost.
    pub fn is_bootstrapping(&self) -> bool {
        let voters = self.replica.as_ref().map_or(0, |replica| replica.voters().len()) as u64;
        let required = 2 * self.boot.tolerance.machines + 1;
        let deadline_ms = self.started_ms + BOOTSTRAP_TIMEOUT_MS;
        self.boot.bootstrap && voters < required && self.clock.now() < deadline_ms
    }
}
