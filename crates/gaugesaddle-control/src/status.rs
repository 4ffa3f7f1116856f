//! Status of the process, for operators and proxies.

use crate::core::Core;
use gaugesaddle_distribution::ReplicaStatus;
use gaugesaddle_protocol::{Lifecycle, StatusReport, Subject};

impl Core {
    /// Status for proxies.
    pub fn replica_status(&self) -> ReplicaStatus {
        let now = self.clock.now();
        ReplicaStatus { fresh: self.is_fresh(), leader: self.leader(), members: self.members(now) }
    }

    /// Status for operators.
    pub fn status_report(&self) -> StatusReport {
        let now = self.clock.now();
        let mut report = StatusReport {
            replica: self.id.to_string(),
            role: "starting".to_owned(),
            fresh: self.is_fresh(),
            disk: self.has_disk,
            peers_alive: self.catalog_replica.peers().alive(now).len() as u64,
            ..StatusReport::default()
        };
        if let Some(replica) = &self.replica {
            report.role = format!("{:?}", replica.role()).to_lowercase();
            report.term = replica.term();
            report.leader = replica.leader().map(|leader| leader.to_string());
            report.voters = replica.voters().iter().map(ToString::to_string).collect();
        }
        if let Some(configuration) = self.distributor.current() {
            report.index = configuration.position.index;
            report.revision = configuration.revision;
        }
        self.count_registrations(&mut report);
        report
    }

    fn count_registrations(&self, report: &mut StatusReport) {
        for registration in self.catalog_replica.catalog().iter() {
            let is_ready = registration.lifecycle == Lifecycle::Ready;
            match registration.subject {
                Subject::Proxy => report.proxies += u64::from(is_ready),
                Subject::Backend { .. } if registration.lifecycle.is_leaving() => {
                    report.backends_leaving += 1;
                }
                Subject::Backend { .. } => report.backends += u64::from(is_ready),
            }
        }
    }
}
