//! Brings faults about, within the losses that must be borne.

use super::{Event, Machine, World, BEYOND, CATCH_UP, FAREWELL, REPLACEMENT};
use crate::disk::Disk;
use crate::network::{Network, Node};
use crate::plan::{Fault, Target, Way};
use crate::Millis;
use gaugesaddle_protocol::ReplicaId;
use rand_pcg::rand_core::RngCore;

impl World {
    pub(super) fn resolve(&mut self, target: Target, with_disk: bool) -> Option<u32> {
        let runs = |m: &Machine| m.process.is_some() && !m.gone && (m.has_disk || !with_disk);
        let running: Vec<u32> = self.machines.iter().filter(|(_, m)| runs(m)).map(|(ip, _)| *ip).collect();
        let named = match target {
            Target::Leader => self.leader(),
            Target::Acknowledged => self.acknowledged_by,
            Target::Number(number) => running.get(number as usize % running.len().max(1)).copied(),
        };
        named.filter(|ip| running.contains(ip)).or_else(|| running.first().copied())
    }

    pub(super) fn leader(&self) -> Option<u32> {
        let leads = |m: &Machine| m.process.as_ref().is_some_and(|p| p.has_lease(self.now));
        self.machines.iter().find(|(_, m)| leads(m)).map(|(ip, _)| *ip)
    }

    /// Whether another machine may be lost now, and counts it as lost.
    pub(super) fn lose(&mut self, ip: u32, time: Millis) -> bool {
        let now = self.now;
        let counted = |(other, m): &(&u32, &Machine)| **other != ip && m.has_disk && now < m.lost_until;
        let lost = self.machines.iter().filter(counted).count() as u32;
        let has_disk = self.machines.get(&ip).is_some_and(|m| m.has_disk);
        if has_disk && lost + 1 > self.shape.losses && self.below(BEYOND) != 0 {
            return false;
        }
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.lost_until = machine.lost_until.max(now + time + CATCH_UP);
        }
        self.trouble(time);
        true
    }

    /// Whether another disk may be lost now: of those lost before, all but as many as must be borne have a successor that
    /// votes, and none of them votes any more, when that was last certain.
    pub(super) fn may_lose_disk(&mut self) -> bool {
        let now = self.now;
        let leading = self.leader().and_then(|ip| self.machines[&ip].process.as_ref()?.replica.as_ref());
        if let Some(replica) = leading.filter(|r| r.is_membership_committed()) {
            self.voters = replica.voters().to_vec();
        }
        let voters = self.voters.clone();
        let kept: Vec<ReplicaId> =
            self.machines.values().filter(|m| !m.gone).filter_map(|m| m.replica).collect();
        let lost_voters = voters.iter().filter(|v| !kept.contains(v)).count() as u32;
        let all_kept = !voters.is_empty() && lost_voters == 0;
        let mut lost = 0;
        for machine in self.machines.values_mut() {
            let Some(until) = machine.disk_lost else { continue };
            if all_kept && now >= until && machine.replica.is_some_and(|id| voters.contains(&id)) {
                machine.disk_lost = None;
            } else {
                lost += 1;
            }
        }
        lost.max(lost_voters) < self.shape.losses
    }

    pub(super) fn trouble(&mut self, time: Millis) {
        self.troubled_until = self.troubled_until.max(self.now + time);
    }

    pub(super) fn strike(&mut self, fault: Fault, until: Millis) {
        if self.struck_now(fault) {
            self.struck += 1;
        } else if self.now + 300 < until {
            // It waits its turn.
            let at = self.now + 200 + self.below(200);
            self.push(at, Event::Fault { fault, until });
        }
    }

    /// Brings a fault about; false where it must wait.
    pub(super) fn struck_now(&mut self, fault: Fault) -> bool {
        let now = self.now;
        match fault {
            Fault::Kill { target, down } => self.strike_machine(target, false, down, |w, ip| {
                w.kill(ip, false);
                w.push(now + down, Event::Start { ip });
            }),
            Fault::PowerOff { target, down } => self.strike_machine(target, false, down, |w, ip| {
                w.kill(ip, true);
                w.push(now + down, Event::Start { ip });
            }),
            Fault::Wipe { target, down } => {
                self.may_lose_disk()
                    && self.strike_machine(target, true, down, |w, ip| {
                        w.wipe(ip, down);
                        w.push(now + down, Event::Start { ip });
                    })
            }
            Fault::Restart { target, down } => {
                self.strike_machine(target, false, FAREWELL + down, |w, ip| {
                    w.drive(ip, |process, now| process.transfer_leadership(now));
                    w.push(now + FAREWELL, Event::End { ip, gone: false });
                    w.push(now + FAREWELL + down, Event::Start { ip });
                })
            }
            Fault::Replace { target, planned } => self.may_lose_disk() && self.replace(target, planned),
            Fault::KillAll { power, down } => {
                self.kill_all(power, down);
                true
            }
            Fault::Freeze { target, time } => self.strike_machine(target, false, time, |w, ip| {
                w.machines.entry(ip).and_modify(|m| m.frozen_until = now + time);
            }),
            Fault::Cut { target, way, all, time } => {
                self.strike_machine(target, false, time, |w, ip| w.cut(ip, way, all, now + time))
            }
            Fault::CutHalves { time } => {
                self.cut_halves(now + time);
                self.trouble(time);
                true
            }
            Fault::Stall { target, delay, time } => {
                self.strike_machine(target, false, time + delay, |w, ip| {
                    w.each_link(ip, |network, from, to| network.stall(from, to, now + time, delay));
                })
            }
            Fault::Lose { target, percent, time } => self.strike_machine(target, false, time, |w, ip| {
                w.each_link(ip, |network, from, to| network.lose(from, to, now + time, percent));
            }),
            Fault::SlowDisk { target, factor, time } => self.strike_machine(target, true, time, |w, ip| {
                w.machines
                    .entry(ip)
                    .and_modify(|m| (m.disk_factor, m.disk_slow_until) = (factor, now + time));
            }),
            Fault::HangingDisk { target, time } => self.strike_machine(target, true, time, |w, ip| {
                w.machines.entry(ip).and_modify(|m| m.disk_hangs_until = now + time);
            }),
            Fault::FullDisk { target, time } => self.strike_machine(target, true, time, |w, ip| {
                w.machines.entry(ip).and_modify(|m| m.disk_full_until = now + time);
            }),
            Fault::FreezeProxy { number, time } => {
                self.proxies.entry(number).and_modify(|p| p.frozen_until = now + time);
                self.trouble(time);
                true
            }
            Fault::KillProxy { number, down } => {
                if let Some(machine) = self.proxies.get_mut(&number) {
                    machine.proxy = None;
                    machine.life += 1;
                }
                self.push(now + down, Event::StartProxy { number });
                self.trouble(down);
                true
            }
            Fault::Lure { target, time } => {
                self.lure = self.resolve(target, false).map(|ip| (ip, now + time));
                true
            }
            Fault::AfterAcknowledgement { of_end, delay, strike } => {
                self.armed.push((of_end, delay, strike));
                true
            }
            Fault::LoseAnswers { percent, time } => {
                self.answers_lost = (percent, now + time);
                true
            }
            Fault::Storm { every, time } => {
                self.operators.iter_mut().for_each(|o| o.hurry(every, now + time));
                true
            }
            Fault::Leave { number, draining } => {
                let backend = &mut self.backends[number as usize];
                backend.leave(now, draining);
                self.wake(Node::Backend(number), 0, now);
                true
            }
            Fault::Crash { number } => {
                self.backends[number as usize].crash();
                true
            }
        }
    }

    pub(super) fn strike_machine(
        &mut self, target: Target, with_disk: bool, time: Millis, act: impl FnOnce(&mut World, u32),
    ) -> bool {
        let Some(ip) = self.resolve(target, with_disk) else { return false };
        if !self.lose(ip, time) {
            return false;
        }
        act(self, ip);
        true
    }

    /// Ends a process; without power, what was not synced may be lost.
    pub(super) fn kill(&mut self, ip: u32, power: bool) {
        let kept = self.below(2) == 0;
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        let Some(mut process) = machine.process.take() else { return };
        machine.life += 1;
        machine.frozen_until = 0;
        if power {
            machine.disk.begin_to_die();
            // It never returns.
            let _ = process.append();
            machine.disk.lose_power(&mut self.random);
        } else if kept {
            // The write reaches the file though nobody hears of it.
            let _ = process.append();
        }
    }

    pub(super) fn wipe(&mut self, ip: u32, down: Millis) {
        self.kill(ip, true);
        let now = self.now;
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.disk = Disk::default();
            machine.replica = None;
            machine.disk_lost = Some(now + down + CATCH_UP);
        }
    }

    pub(super) fn replace(&mut self, target: Target, planned: bool) -> bool {
        let now = self.now;
        let Some(old) = self.resolve(target, true) else { return false };
        if !self.lose(old, REPLACEMENT + CATCH_UP) {
            return false;
        }
        let new = self.add_machine(true);
        let machine = self.machines.entry(new);
        machine.and_modify(|m| m.disk_lost = Some(now + REPLACEMENT + CATCH_UP));
        if planned {
            self.push(now, Event::Start { ip: new });
            self.push(now + REPLACEMENT, Event::End { ip: old, gone: true });
        } else {
            self.end(old, true);
            self.push(now + REPLACEMENT, Event::Start { ip: new });
        }
        true
    }

    /// A process ends in order; with `gone` its machine never comes back.
    pub(super) fn end(&mut self, ip: u32, gone: bool) {
        if gone {
            self.drive(ip, |process, now| process.transfer_leadership(now));
        }
        self.kill(ip, false);
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.gone |= gone;
        }
    }

    pub(super) fn kill_all(&mut self, power: bool, down: Millis) {
        let ips: Vec<u32> = self.machines.keys().copied().collect();
        for ip in ips {
            self.kill(ip, power);
            let at = self.now + down + self.below(300);
            self.push(at, Event::Start { ip });
        }
        self.trouble(down + 300);
    }

    pub(super) fn cut(&mut self, ip: u32, way: Way, all: bool, until: Millis) {
        let mut others: Vec<Node> =
            self.machines.keys().filter(|o| **o != ip).map(|o| Node::Control(*o)).collect();
        if all {
            others.extend(self.proxies.keys().map(|number| Node::Proxy(*number)));
        }
        for other in others {
            if way != Way::Deaf {
                self.network.cut(Node::Control(ip), other, until);
            }
            if way != Way::Mute {
                self.network.cut(other, Node::Control(ip), until);
            }
        }
    }

    pub(super) fn cut_halves(&mut self, until: Millis) {
        let ips: Vec<u32> = self.machines.keys().copied().collect();
        let (one, other): (Vec<u32>, Vec<u32>) =
            ips.into_iter().partition(|_| self.random.next_u64() % 2 == 0);
        for a in &one {
            for b in &other {
                self.network.cut(Node::Control(*a), Node::Control(*b), until);
                self.network.cut(Node::Control(*b), Node::Control(*a), until);
            }
        }
    }

    pub(super) fn each_link(&mut self, ip: u32, act: impl Fn(&mut Network, Node, Node)) {
        let others = self.machines.keys().filter(|o| **o != ip).map(|o| Node::Control(*o));
        let proxies = self.proxies.keys().map(|number| Node::Proxy(*number));
        for other in others.chain(proxies) {
            act(&mut self.network, Node::Control(ip), other);
            act(&mut self.network, other, Node::Control(ip));
        }
    }
}
