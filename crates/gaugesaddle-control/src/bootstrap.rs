//! The first start of the process: creates its replica, and delays changes of the configuration until enough disks
//! vote.

use crate::core::Core;
use crate::random::random_u64;
use gaugesaddle_consensus::{FirstStart, Output, Replica};
use spdlog::info;

/// Time since the start after which the bootstrap ends even if there are fewer voters than the tolerated losses
/// require. During the bootstrap, configuration changes are not proposed, and their outcome is reported as
/// indeterminate.
const BOOTSTRAP_TIMEOUT_MS: u64 = 8000;

impl Core {
    /// Creates the replica of the first start, and returns the outputs to execute.
    pub fn bootstrap_replica(&mut self) -> Vec<Output> {
        let seeds: Vec<u32> = self.boot.seeds.iter().map(|seed| u32::from(*seed.ip())).collect();
        let start = FirstStart { id: self.id, has_disk: self.has_disk, seeds: &seeds };
        let mut outputs = Vec::new();
        let settings = self.replica_settings();
        let replica = Replica::bootstrap(settings, start, self.clock.now(), random_u64(), &mut outputs);
        self.id = replica.id();
        info!("first start: replica {} of an initial group of {} seeds", self.id, replica.voters().len());
        self.replica = Some(replica);
        outputs
    }

    /// Whether the cluster is still being bootstrapped. A change committed in this phase could be on no more disks than
    /// the deployment tolerates to lose.
    pub fn is_bootstrapping(&self) -> bool {
        let now = self.clock.now();
        let voters = self.replica.as_ref().map_or(0, |replica| replica.voters().len()) as u64;
        let required = 2 * self.boot.tolerance.machines + 1;
        let is_in_time = now < self.started_ms + BOOTSTRAP_TIMEOUT_MS;
        let has_too_few_voters = self.boot.bootstrap && voters < required && is_in_time;
        has_too_few_voters || self.replica.as_ref().is_some_and(|replica| replica.may_have_witness(now))
    }
}
