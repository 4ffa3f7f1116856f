//! Injects faults within the losses that the deployment must tolerate.

use super::losses::{DiskRequirement, CATCH_UP_MS};
use super::processes::{Termination, SHUTDOWN_MIN_MS};
use super::{
    AcknowledgementKind, AnswerLoss, ArmedCrash, Event, Machine, MachineDisposition, PreferredMachine, World,
};
use crate::backend::Departure;
use crate::disk::Disk;
use crate::fault::{CrashAfterAcknowledgement, Fault, PartitionDirection, Target};
use crate::network::{Network, Node};
use crate::plan::Plan;
use crate::trace::TraceEvent;
use crate::Millis;
use rand_pcg::rand_core::RngCore;

/// Maximum time for which a fault is deferred because it exceeds the tolerated losses.
pub(super) const MAX_DEFERRAL_MS: Millis = 9000;
/// Time between the end of a replaced machine and the start of its successor; in a planned replacement, the shortest time
/// between the start of the successor and the SIGTERM to the replaced machine.
const REPLACEMENT_MS: Millis = 1000;
/// The SIGTERM of a planned replacement is spread over this time: it may come after the successor has caught up, so that
/// another loss must be tolerated right after it.
const REPLACEMENT_SPREAD_MS: Millis = 6000;
/// After all processes have ended, the starts of the machines are spread over this time.
const RESTART_SPREAD_MS: Millis = 300;

/// Whether a fault was injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Injection {
    Done,
    /// The fault exceeds the losses that the deployment must tolerate now.
    Deferred,
}

impl World {
    pub(super) fn schedule_faults(&mut self, plan: &Plan) {
        for planned in &plan.faults {
            let abandon_at = planned.at + MAX_DEFERRAL_MS;
            self.schedule(planned.at, Event::InjectFault { fault: planned.fault, abandon_at });
        }
    }

    /// Injects a fault, or defers it; a fault that is still deferred at `abandon_at` is abandoned.
    pub(super) fn inject_or_defer(&mut self, fault: Fault, abandon_at: Millis) {
        match self.inject(fault) {
            Injection::Done => {
                self.injected_faults += 1;
                self.trace(TraceEvent::Injected(fault));
            }
            Injection::Deferred if self.now + 300 < abandon_at => {
                let at = self.now + 200 + self.random_below(200);
                self.schedule(at, Event::InjectFault { fault, abandon_at });
            }
            Injection::Deferred => {}
        }
    }

    fn inject(&mut self, fault: Fault) -> Injection {
        let now = self.now;
        match fault {
            Fault::Kill { target, down } => self.inject_termination(target, Termination::Killed, down),
            Fault::PowerOff { target, down } => self.inject_termination(target, Termination::PowerLoss, down),
            Fault::Wipe { target, down } => self.inject_wipe(target, down),
            Fault::Restart { target, down } => self.inject_restart(target, down),
            Fault::Replace { target, planned } => self.inject_replacement(target, planned),
            Fault::KillAll { power_loss, down } => {
                let termination = if power_loss { Termination::PowerLoss } else { Termination::Killed };
                self.terminate_all(termination, down);
                Injection::Done
            }
            Fault::Freeze { target, time } => {
                self.inject_at_machine(target, DiskRequirement::Any, time, |machine| {
                    machine.frozen_until = now + time;
                })
            }
            Fault::Partition { target, direction, includes_proxies, time } => {
                let until = now + time;
                self.inject_at(target, DiskRequirement::Any, time, |world, ip| {
                    world.partition(ip, direction, includes_proxies, until);
                })
            }
            Fault::PartitionHalves { time } => {
                self.partition_halves(now + time);
                self.disturb(time);
                Injection::Done
            }
            Fault::DelayLinks { target, delay, time } => {
                self.inject_at(target, DiskRequirement::Any, time + delay, |world, ip| {
                    let until = now + time;
                    world.for_each_link(ip, |network, from, to| network.delay(from, to, until, delay));
                })
            }
            Fault::LosePackets { target, percent, time } => {
                self.inject_at(target, DiskRequirement::Any, time, |world, ip| {
                    let until = now + time;
                    world.for_each_link(ip, |network, from, to| network.lose(from, to, until, percent));
                })
            }
            Fault::SlowDisk { target, factor, time } => {
                self.inject_at_machine(target, DiskRequirement::WithDisk, time, |machine| {
                    machine.disk_slowdown = factor;
                    machine.disk_slow_until = now + time;
                })
            }
            Fault::HangingDisk { target, time } => {
                self.inject_at_machine(target, DiskRequirement::WithDisk, time, |machine| {
                    machine.disk_hangs_until = now + time;
                })
            }
            Fault::FullDisk { target, time } => {
                self.inject_at_machine(target, DiskRequirement::WithDisk, time, |machine| {
                    machine.disk_full_until = now + time;
                })
            }
            Fault::FreezeProxy { .. }
            | Fault::KillProxy { .. }
            | Fault::AttractCalls { .. }
            | Fault::AfterAcknowledgement { .. }
            | Fault::LoseAnswers { .. }
            | Fault::ChangeBurst { .. }
            | Fault::Depart { .. }
            | Fault::Crash { .. }
            | Fault::FreezeDiskless { .. } => {
                self.inject_external_fault(fault);
                Injection::Done
            }
        }
    }

    /// Injects a fault outside the control machines, which is never deferred.
    fn inject_external_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::FreezeProxy { number, time } => {
                self.proxies.entry(number).and_modify(|machine| machine.frozen_until = now + time);
                self.disturb(time);
            }
            Fault::KillProxy { number, down } => {
                if let Some(machine) = self.proxies.get_mut(&number) {
                    machine.proxy = None;
                    machine.incarnation += 1;
                }
                self.schedule(now + down, Event::StartProxy { number });
                self.disturb(down);
            }
            Fault::AttractCalls { target, time } => {
                let preferred = self.resolve(target, DiskRequirement::Any);
                self.preferred_machine = preferred.map(|ip| PreferredMachine { ip, until: now + time });
            }
            Fault::AfterAcknowledgement { of_departure, delay, crash } => {
                let trigger =
                    if of_departure { AcknowledgementKind::Departure } else { AcknowledgementKind::Change };
                self.armed_crashes.push(ArmedCrash { trigger, delay, crash });
            }
            Fault::LoseAnswers { percent, time } => {
                self.answer_loss = AnswerLoss { percent, until: now + time };
            }
            Fault::ChangeBurst { interval, time } => {
                self.operators.iter_mut().for_each(|operator| operator.start_burst(interval, now + time));
            }
            Fault::Depart { number, draining } => {
                let departure = if draining { Departure::Drain } else { Departure::Deregister };
                self.backends[number as usize].depart(now, departure);
                self.schedule_timer(Node::Backend(number), 0, now);
            }
            Fault::Crash { number } => self.backends[number as usize].crash(),
            Fault::FreezeDiskless { count, time } => {
                let diskless = self.machines.values_mut().filter(|machine| !machine.has_disk);
                for machine in diskless.take(count as usize) {
                    machine.frozen_until = now + time;
                }
            }
            // `inject` handles the faults of control machines.
            _ => {}
        }
    }

    /// Injects a fault at a machine that counts as lost for `duration`.
    fn inject_at(
        &mut self, target: Target, disk: DiskRequirement, duration: Millis, act: impl FnOnce(&mut World, u32),
    ) -> Injection {
        let Some(ip) = self.resolve(target, disk) else { return Injection::Deferred };
        if !self.try_lose_machine(ip, duration) {
            return Injection::Deferred;
        }
        act(self, ip);
        Injection::Done
    }

    fn inject_at_machine(
        &mut self, target: Target, disk: DiskRequirement, duration: Millis, change: impl FnOnce(&mut Machine),
    ) -> Injection {
        self.inject_at(target, disk, duration, |world, ip| {
            world.machines.entry(ip).and_modify(change);
        })
    }

    fn inject_termination(&mut self, target: Target, termination: Termination, down: Millis) -> Injection {
        self.inject_at(target, DiskRequirement::Any, down, |world, ip| {
            world.terminate(ip, termination);
            world.schedule_start(ip, world.now + down);
        })
    }

    fn inject_wipe(&mut self, target: Target, down: Millis) -> Injection {
        if !self.may_lose_disk() {
            return Injection::Deferred;
        }
        self.inject_at(target, DiskRequirement::WithDisk, down, |world, ip| {
            world.wipe(ip, down);
            world.schedule_start(ip, world.now + down);
        })
    }

    fn inject_restart(&mut self, target: Target, down: Millis) -> Injection {
        self.inject_at(target, DiskRequirement::Any, SHUTDOWN_MIN_MS + down, |world, ip| {
            world.begin_shutdown(ip, MachineDisposition::Retained { down });
        })
    }

    fn inject_replacement(&mut self, target: Target, is_planned: bool) -> Injection {
        if !self.may_lose_disk() {
            return Injection::Deferred;
        }
        let old = self.resolve(target, DiskRequirement::WithDisk);
        if old.is_some_and(|old| self.machines[&old].is_replaced) {
            return Injection::Deferred;
        }
        self.inject_at(target, DiskRequirement::WithDisk, REPLACEMENT_MS + CATCH_UP_MS, |world, old| {
            let now = world.now;
            let new = world.add_machine(true);
            let start_delay = if is_planned { 0 } else { REPLACEMENT_MS };
            let until = now + start_delay + CATCH_UP_MS;
            world.machines.entry(old).and_modify(|machine| machine.is_replaced = true);
            world.machines.entry(new).and_modify(|machine| {
                machine.replacement_until = Some(until);
                machine.predecessor = Some(old);
            });
            if is_planned {
                world.schedule_start(new, now);
                let event = Event::BeginShutdown { ip: old, disposition: MachineDisposition::Removed };
                let delay = REPLACEMENT_MS + world.random_below(REPLACEMENT_SPREAD_MS);
                world.schedule(now + delay, event);
            } else {
                world.remove_machine(old);
                world.schedule_start(new, now + REPLACEMENT_MS);
            }
        })
    }

    /// Ends a machine's process by a power loss and replaces its disk by an empty one.
    fn wipe(&mut self, ip: u32, down: Millis) {
        self.terminate(ip, Termination::PowerLoss);
        let until = self.now + down + CATCH_UP_MS;
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.disk = Disk::default();
            machine.replica = None;
            machine.disk_lost_until = Some(until);
        }
        self.trace(TraceEvent::DiskLost { ip });
    }

    fn terminate_all(&mut self, termination: Termination, down: Millis) {
        let ips: Vec<u32> = self.machines.keys().copied().collect();
        for ip in ips {
            self.terminate(ip, termination);
            let at = self.now + down + self.random_below(RESTART_SPREAD_MS);
            self.schedule_start(ip, at);
        }
        self.disturb(down + RESTART_SPREAD_MS);
    }

    /// Crashes the machine that has just sent an acknowledgement, or all machines.
    pub(super) fn crash_after_acknowledgement(&mut self, ip: u32, crash: CrashAfterAcknowledgement) {
        use CrashAfterAcknowledgement::{
            PowerOffAcknowledger, PowerOffAll, WipeAcknowledger, WipeAcknowledgerAndPowerOffAll,
        };
        let down = 200 + self.random_below(800);
        let wipes = matches!(crash, WipeAcknowledger | WipeAcknowledgerAndPowerOffAll);
        let runs_with_disk =
            self.machines.get(&ip).is_some_and(|machine| machine.has_disk && machine.process.is_some());
        if wipes && runs_with_disk && self.may_lose_disk() {
            self.wipe(ip, down);
        }
        match crash {
            PowerOffAll | WipeAcknowledgerAndPowerOffAll => self.terminate_all(Termination::PowerLoss, down),
            PowerOffAcknowledger | WipeAcknowledger => {
                self.terminate(ip, Termination::PowerLoss);
                self.count_as_lost(ip, down);
                self.schedule_start(ip, self.now + down);
                self.disturb(down);
            }
        }
        self.injected_faults += 1;
    }

    fn partition(&mut self, ip: u32, direction: PartitionDirection, includes_proxies: bool, until: Millis) {
        let machines = self.machines.keys().filter(|other| **other != ip);
        let mut others: Vec<Node> = machines.map(|other| Node::Control(*other)).collect();
        if includes_proxies {
            others.extend(self.proxies.keys().map(|number| Node::Proxy(*number)));
        }
        for other in others {
            if direction != PartitionDirection::Inbound {
                self.network.partition(Node::Control(ip), other, until);
            }
            if direction != PartitionDirection::Outbound {
                self.network.partition(other, Node::Control(ip), until);
            }
        }
    }

    fn partition_halves(&mut self, until: Millis) {
        let ips: Vec<u32> = self.machines.keys().copied().collect();
        let (first_group, second_group): (Vec<u32>, Vec<u32>) =
            ips.into_iter().partition(|_| self.random.next_u64() % 2 == 0);
        for a in &first_group {
            for b in &second_group {
                self.network.partition(Node::Control(*a), Node::Control(*b), until);
                self.network.partition(Node::Control(*b), Node::Control(*a), until);
            }
        }
    }

    /// Calls `act` with both directions of each link of a machine.
    fn for_each_link(&mut self, ip: u32, act: impl Fn(&mut Network, Node, Node)) {
        let machines = self.machines.keys().filter(|other| **other != ip).map(|other| Node::Control(*other));
        let proxies = self.proxies.keys().map(|number| Node::Proxy(*number));
        for other in machines.chain(proxies) {
            act(&mut self.network, Node::Control(ip), other);
            act(&mut self.network, other, Node::Control(ip));
        }
    }
}
