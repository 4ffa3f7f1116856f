//! Rules with a deadline, checked at intervals during a run, and recovery at its end.

use super::{AnswerLoss, Event, World};
use crate::history::{
    RecoveryFailure, Violation, APPLY_DEADLINE_MS, DRAIN_DEADLINE_MS, PROOF_VALIDITY_MS,
    REVOCATION_DEADLINE_MS,
};
use crate::Millis;
use gaugesaddle_protocol::ReplicaId;

/// Interval between checks.
pub(super) const CHECK_INTERVAL_MS: Millis = 50;
/// Time after the last disturbance, and after a proxy's start, from which processes count as connected.
const RECONNECT_MS: Millis = 3000;
/// Connected proxies are not checked before this time: the cluster is being bootstrapped.
const FIRST_CHECK_MS: Millis = 5000;
/// Time without faults at the end of a run.
const RECOVERY_MS: Millis = 14_000;
/// Duration of the last disturbance of a run, in which the machines without a process start again.
const FINAL_DISTURBANCE_MS: Millis = 2000;

impl World {
    pub(super) fn check_rules(&mut self) {
        self.schedule(self.now + CHECK_INTERVAL_MS, Event::CheckRules);
        self.trace_voters();
        self.check_revoked_keys();
        if self.now < self.disturbed_until + RECONNECT_MS || self.now < FIRST_CHECK_MS {
            return;
        }
        self.connected_checks += 1;
        self.check_connected_proxies();
    }

    /// Checks that each connected proxy has the confirmed changes in force and uses no departed backend.
    fn check_connected_proxies(&mut self) {
        let now = self.now;
        let expected = self.history.newest_confirmed_before(now - APPLY_DEADLINE_MS);
        for (number, machine) in &self.proxies {
            let number = *number;
            let Some(proxy) = &machine.proxy else { continue };
            if now < machine.started + RECONNECT_MS {
                continue;
            }
            let revision = proxy.revision();
            if revision < expected {
                let violation = Violation::NotApplied { proxy: number, at: now, revision, expected };
                self.history.record_violation(violation);
            }
            for backend in &self.backends {
                let acknowledged = backend.departure_acknowledged();
                let is_due = acknowledged.is_some_and(|at| now > at + DRAIN_DEADLINE_MS);
                if is_due && proxy.uses(&backend.id) {
                    let backend = backend.id.clone();
                    let violation = Violation::NotDrained { proxy: number, at: now, backend };
                    self.history.record_violation(violation);
                }
            }
        }
    }

    /// Checks that no proxy, connected or not, uses keys of a configuration whose replacement was confirmed longer than
    /// [`REVOCATION_DEADLINE_MS`] ago.
    fn check_revoked_keys(&mut self) {
        let now = self.now;
        let expected = self.history.newest_confirmed_before(now.saturating_sub(REVOCATION_DEADLINE_MS));
        for (number, machine) in &self.proxies {
            let Some(proxy) = &machine.proxy else { continue };
            let revision = proxy.revision();
            if !proxy.follower.is_proven_within(now, PROOF_VALIDITY_MS) {
                self.unproven_checks += 1;
            } else if revision < expected {
                let violation = Violation::RevokedKeysInUse { proxy: *number, at: now, revision, expected };
                self.history.record_violation(violation);
            }
        }
    }

    /// Ends all faults and checks that the fleet recovers.
    pub(super) fn finish_run(&mut self) {
        self.end_faults();
        self.run_until(self.now + RECOVERY_MS);
        let previously_confirmed = self.history.confirmed_changes();
        self.run_until(self.now + RECOVERY_MS / 2);
        if self.history.confirmed_changes() == previously_confirmed {
            self.record_recovery_failure(RecoveryFailure::NoChangeConfirmed);
        }
        self.operators.iter_mut().for_each(super::super::operator::Operator::stop);
        self.run_until(self.now + 3 * APPLY_DEADLINE_MS);
        self.check_recovery();
    }

    fn end_faults(&mut self) {
        self.network.heal();
        let ips: Vec<u32> = self.machines.keys().copied().collect();
        for ip in ips {
            let Some(machine) = self.machines.get_mut(&ip) else { continue };
            machine.disk_slow_until = 0;
            machine.disk_hangs_until = 0;
            machine.disk_full_until = 0;
            machine.disk.set_full(false);
            machine.frozen_until = machine.frozen_until.min(self.now);
            if machine.process.is_none() && !machine.is_removed {
                self.schedule_start(ip, self.now);
            }
        }
        self.answer_loss = AnswerLoss::default();
        self.preferred_machine = None;
        self.armed_crashes.clear();
        self.disturb(FINAL_DISTURBANCE_MS);
    }

    fn record_recovery_failure(&mut self, failure: RecoveryFailure) {
        self.history.record_violation(Violation::NoRecovery { failure });
    }

    fn check_recovery(&mut self) {
        let mut failures = self.proxy_failures();
        let leader = self.leader().and_then(|ip| self.machines.get(&ip)?.process.as_ref());
        match leader.and_then(|process| process.replica.as_ref()) {
            Some(replica) => failures.extend(self.voter_failures(replica.voters())),
            // Without a leader, the other failures are consequences.
            None => failures = vec![RecoveryFailure::NoLeader],
        }
        for failure in failures {
            self.record_recovery_failure(failure);
        }
    }

    fn proxy_failures(&self) -> Vec<RecoveryFailure> {
        let mut failures = Vec::new();
        let newest = self.history.newest_confirmed_before(self.now);
        let has_newest = |proxy: &Option<crate::proxy::Proxy>| {
            proxy.as_ref().is_some_and(|proxy| proxy.revision() >= newest)
        };
        if !self.proxies.values().all(|machine| has_newest(&machine.proxy)) {
            failures.push(RecoveryFailure::ProxyLacksConfiguration);
        }
        for backend in self.backends.iter().filter(|backend| backend.serves()) {
            let mut proxies = self.proxies.values().filter_map(|machine| machine.proxy.as_ref());
            if proxies.any(|proxy| !proxy.uses(&backend.id)) {
                failures.push(RecoveryFailure::ProxyLacksBackend);
            }
        }
        failures
    }

    fn voter_failures(&self, voters: &[ReplicaId]) -> Vec<RecoveryFailure> {
        let mut failures = Vec::new();
        let machines_with_disk = self.machines.values().filter(|machine| machine.has_disk);
        let running: Vec<ReplicaId> = machines_with_disk
            .filter_map(|machine| machine.process.as_ref()?.replica.as_ref())
            .map(gaugesaddle_consensus::Replica::id)
            .collect();
        if !voters.iter().all(|voter| running.contains(voter)) {
            failures.push(RecoveryFailure::VoterNotRunning);
        }
        if !running.iter().all(|id| voters.contains(id)) {
            failures.push(RecoveryFailure::MachineNotVoter);
        }
        failures
    }
}
