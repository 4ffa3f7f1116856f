//! Looks at the rules with a time bound while a day runs, and at what must have come back at its end.

use super::{Event, World, CALM, CONTACT, LOOK};
use crate::history::{Violation, APPLIED, DRAINED, PROVEN, REVOKED};
use gaugesaddle_protocol::ReplicaId;

impl World {
    pub(super) fn look(&mut self) {
        self.push(self.now + LOOK, Event::Look);
        self.look_at_keys();
        if self.now < self.troubled_until + CONTACT || self.now < 5000 {
            return;
        }
        self.looks_in_touch += 1;
        let (now, expected) = (self.now, self.history.confirmed_before(self.now - APPLIED));
        for (number, machine) in &self.proxies {
            let Some(proxy) = machine.proxy.as_ref().filter(|_| now >= machine.started + CONTACT) else {
                continue;
            };
            let proxy_number = *number;
            let revision = proxy.revision();
            if revision < expected {
                let violation = Violation::NotApplied { proxy: proxy_number, at: now, revision, expected };
                self.history.violated(violation);
            }
            for backend in &self.backends {
                let drained = backend.end_acknowledged().is_some_and(|at| now > at + DRAINED);
                let (proxy, backend_id) = (proxy_number, backend.id.clone());
                if drained && machine.proxy.as_ref().is_some_and(|p| p.uses(&backend.id)) {
                    self.history.violated(Violation::NotDrained { proxy, at: now, backend: backend_id });
                }
            }
        }
    }

    /// No proxy, in touch or not, uses keys of a configuration that was replaced too long ago.
    fn look_at_keys(&mut self) {
        let (now, expected) = (self.now, self.history.confirmed_before(self.now.saturating_sub(REVOKED)));
        for (number, machine) in &self.proxies {
            let Some(proxy) = &machine.proxy else { continue };
            let (proxy_number, revision) = (*number, proxy.revision());
            if !proxy.follower.is_proven_within(now, PROVEN) {
                self.looks_unproven += 1;
            } else if revision < expected {
                let violation = Violation::UsedTooLong { proxy: proxy_number, at: now, revision, expected };
                self.history.violated(violation);
            }
        }
    }

    /// Calm at the end: everything must come back.
    pub(super) fn end_day(&mut self) {
        self.network.calm();
        let ips: Vec<u32> = self.machines.keys().copied().collect();
        for ip in ips {
            if let Some(machine) = self.machines.get_mut(&ip) {
                (machine.disk_slow_until, machine.disk_hangs_until, machine.disk_full_until) = (0, 0, 0);
                machine.disk.set_full(false);
                machine.frozen_until = machine.frozen_until.min(self.now);
                if machine.process.is_none() && !machine.gone {
                    self.push(self.now, Event::Start { ip });
                }
            }
        }
        self.answers_lost = (0, 0);
        self.lure = None;
        self.armed.clear();
        self.trouble(2000);
        self.run_until(self.now + CALM);
        let before = self.history.confirmed();
        self.run_until(self.now + CALM / 2);
        if self.history.confirmed() == before {
            self.history.violated(Violation::NoRecovery { what: "no order is confirmed in the calm" });
        }
        self.operators.iter_mut().for_each(|o| o.stopped = true);
        self.run_until(self.now + 3 * APPLIED);
        self.check_end();
    }

    pub(super) fn check_end(&mut self) {
        let mut missing = Vec::new();
        let newest = self.history.confirmed_before(self.now);
        if self.proxies.values().any(|m| m.proxy.as_ref().is_none_or(|p| p.revision() < newest)) {
            missing.push("a proxy lacks the newest configuration");
        }
        for backend in self.backends.iter().filter(|b| b.serves()) {
            if self.proxies.values().any(|m| m.proxy.as_ref().is_some_and(|p| !p.uses(&backend.id))) {
                missing.push("a proxy does not use a backend that serves");
            }
        }
        let leader = self.leader().and_then(|ip| self.machines[&ip].process.as_ref());
        let Some(replica) = leader.and_then(|p| p.replica.as_ref()) else {
            self.history.violated(Violation::NoRecovery { what: "nobody leads" });
            return;
        };
        let living: Vec<ReplicaId> = self
            .machines
            .values()
            .filter(|m| m.has_disk)
            .filter_map(|m| m.process.as_ref()?.replica.as_ref().map(|r| r.id()))
            .collect();
        let mut voters = replica.voters().to_vec();
        voters.sort();
        if !voters.iter().all(|v| living.contains(v)) {
            missing.push("a voter is gone for good");
        }
        if !living.iter().all(|id| voters.contains(id)) {
            missing.push("a machine with a disk does not vote");
        }
        for what in missing {
            self.history.violated(Violation::NoRecovery { what });
        }
    }
}
