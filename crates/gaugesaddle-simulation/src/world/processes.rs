//! Start, disk writes and end of control processes, and steps of proxies.

use super::{Event, Machine, MachineDisposition, Shutdown, World};
use crate::control::{ControlProcess, ProcessOptions};
use crate::history::Violation;
use crate::network::Node;
use crate::packet::{Answer, Packet};
use crate::proxy::Proxy;
use crate::trace::TraceEvent;
use crate::Millis;
use gaugesaddle_consensus::Departure;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of seeds: machines 1 to 3 are the initial voters and the seeds of the first start.
const SEEDS: u32 = 3;
/// The first process of a machine is given the initial voters if it starts within this time.
const BOOTSTRAP_PERIOD_MS: Millis = 1000;

/// Minimum duration of a graceful shutdown.
pub(super) const SHUTDOWN_MIN_MS: Millis = 400;
/// Maximum duration of a graceful shutdown: the grace period less the time for the exit.
const SHUTDOWN_MAX_MS: Millis = 7500;
/// Interval between attempts to signal a process that does not run.
const SIGTERM_RETRY_MS: Millis = 100;
/// Interval between checks whether a process that shuts down may end.
const SHUTDOWN_CHECK_MS: Millis = 20;

/// How a process ends abruptly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Termination {
    /// The process is killed: completed writes remain in the file.
    Killed,
    /// The machine loses power: unsynced writes may be lost.
    PowerLoss,
}

impl World {
    pub(super) fn add_machine(&mut self, has_disk: bool) -> u32 {
        let ip = self.next_ip;
        self.next_ip += 1;
        self.machines.insert(ip, Machine::new(has_disk));
        ip
    }

    pub(super) fn start_process(&mut self, ip: u32) {
        // Drawn even if the process does not start: the run of a seed depends on the number of draws.
        let random = Pcg64Mcg::seed_from_u64(self.random.next_u64());
        let seeds = self.seeds();
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        if machine.process.is_some() || machine.is_removed {
            return;
        }
        machine.incarnation += 1;
        machine.has_started = true;
        machine.disk.set_full(now < machine.disk_full_until);
        let is_first_start = machine.incarnation == 1 && now < BOOTSTRAP_PERIOD_MS;
        let options = ProcessOptions {
            ip,
            incarnation: machine.incarnation,
            disk: machine.disk.clone(),
            has_disk: machine.has_disk,
            is_first_start,
            seeds,
            settings: self.settings,
            random,
        };
        machine.process = Some(ControlProcess::start(now, options));
        self.trace(TraceEvent::Started { ip });
        self.step_process(ip, ControlProcess::connect_to_peers);
    }

    /// Seeds of the boot file: the first machines with a disk that have not been removed.
    fn seeds(&self) -> Vec<u32> {
        let candidates = self.machines.iter().filter(|(_, machine)| !machine.is_removed && machine.has_disk);
        candidates.map(|(ip, _)| *ip).take(SEEDS as usize).collect()
    }

    /// Ends a process abruptly.
    pub(super) fn terminate(&mut self, ip: u32, termination: Termination) {
        let write_reaches_file = self.random_below(2) == 0;
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        let Some(mut process) = machine.process.take() else { return };
        machine.incarnation += 1;
        machine.frozen_until = 0;
        match termination {
            Termination::PowerLoss => {
                machine.disk.fail_syncs();
                // The active writes enter the cache; their sync fails.
                let _ = process.append_active_writes();
                machine.disk.lose_power(&mut self.random);
            }
            Termination::Killed if write_reaches_file => {
                // The active writes become durable, but their completion is not reported to the process.
                let _ = process.append_active_writes();
            }
            Termination::Killed => {}
        }
        self.trace(TraceEvent::Ended { ip });
    }

    /// Handles a SIGTERM: the process leaves the group before it ends. A process that does not run at the moment gets the
    /// signal once it has started again.
    pub(super) fn begin_shutdown(&mut self, ip: u32, disposition: MachineDisposition) {
        if self.machines.get(&ip).is_some_and(|machine| machine.process.is_none()) {
            let event = Event::BeginShutdown { ip, disposition };
            return self.schedule(self.now + SIGTERM_RETRY_MS, event);
        }
        self.trace(TraceEvent::ShutdownBegun { ip });
        self.step_process(ip, ControlProcess::begin_departure);
        let incarnation = self.incarnation(Node::Control(ip));
        let shutdown = Shutdown { begun: self.now, incarnation, disposition };
        self.schedule(self.now + SHUTDOWN_MIN_MS, Event::CheckShutdown { ip, shutdown });
    }

    /// Ends a process that is shutting down once it has left the group, or when its grace period is over.
    pub(super) fn check_shutdown(&mut self, ip: u32, shutdown: Shutdown) {
        let is_same_process = self.incarnation(Node::Control(ip)) == shutdown.incarnation;
        if is_same_process && self.now < shutdown.begun + SHUTDOWN_MAX_MS {
            self.step_process(ip, ControlProcess::begin_departure);
            if self.departure(ip) == Some(Departure::Pending) {
                return self.schedule(self.now + SHUTDOWN_CHECK_MS, Event::CheckShutdown { ip, shutdown });
            }
        }
        match shutdown.disposition {
            MachineDisposition::Removed => {
                let has_left = is_same_process && self.departure(ip) == Some(Departure::Left);
                self.machines.entry(ip).and_modify(|machine| machine.has_left = has_left);
                self.remove_machine(ip);
            }
            MachineDisposition::Retained { down } if is_same_process => {
                self.terminate(ip, Termination::Killed);
                self.schedule_start(ip, self.now + down);
            }
            MachineDisposition::Retained { .. } => {}
        }
    }

    fn departure(&self, ip: u32) -> Option<Departure> {
        self.machines.get(&ip)?.process.as_ref()?.departure()
    }

    /// Removes a machine permanently; its process, if one runs, is killed.
    pub(super) fn remove_machine(&mut self, ip: u32) {
        self.terminate(ip, Termination::Killed);
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.is_removed = true;
        }
        self.trace(TraceEvent::Removed { ip });
    }

    /// Time at which a write that starts now becomes durable.
    pub(super) fn write_completes_at(&self, ip: u32) -> Millis {
        let Some(machine) = self.machines.get(&ip) else { return self.now };
        let factor = if self.now < machine.disk_slow_until { machine.disk_slowdown } else { 1 };
        (self.now + self.deployment.write_ms * factor).max(machine.disk_hangs_until)
    }

    pub(super) fn complete_write(&mut self, ip: u32, incarnation: u64) {
        if incarnation != self.incarnation(Node::Control(ip)) {
            return;
        }
        if let Some(machine) = self.machines.get(&ip) {
            machine.disk.set_full(self.now < machine.disk_full_until);
        }
        self.step_process(ip, ControlProcess::complete_write);
    }

    pub(super) fn start_proxy(&mut self, number: u32) {
        let now = self.now;
        let seeds = self.seeds();
        let Some(machine) = self.proxies.get_mut(&number) else { return };
        machine.incarnation += 1;
        machine.started = now;
        machine.revision = 0;
        machine.proxy = Some(Proxy::start(now, number, machine.incarnation, &seeds));
        self.tick_proxy(number);
    }

    pub(super) fn tick_proxy(&mut self, number: u32) {
        let now = self.now;
        let seeds = self.seeds();
        let proxy = self.proxies.get_mut(&number).and_then(|machine| machine.proxy.as_mut());
        let call = proxy.and_then(|proxy| proxy.tick(now, &seeds));
        self.finish_proxy_step(number, call);
    }

    pub(super) fn deliver_to_proxy(&mut self, number: u32, call_id: u64, answer: Answer) {
        let now = self.now;
        let proxy = self.proxies.get_mut(&number).and_then(|machine| machine.proxy.as_mut());
        let call = proxy.and_then(|proxy| proxy.receive(now, call_id, answer));
        self.finish_proxy_step(number, call);
    }

    /// Sends the call that a step of a proxy returned, checks the proxy's configuration and schedules the next step.
    fn finish_proxy_step(&mut self, number: u32, call: Option<(Node, Packet)>) {
        if let Some((to, packet)) = call {
            self.send(Node::Proxy(number), to, packet);
        }
        let now = self.now;
        let Some(machine) = self.proxies.get_mut(&number) else { return };
        let Some(proxy) = &machine.proxy else { return };
        let previous = machine.revision;
        let revision = proxy.revision();
        machine.revision = revision;
        let incarnation = machine.incarnation;
        let deadline = proxy.deadline().max(now + 1);
        if previous == 0 && revision > 0 {
            let requested_at = proxy.last_answer_requested_at();
            let position = proxy.follower.position();
            self.history.check_first_configuration(now, number, requested_at, position);
        }
        if revision < previous {
            self.history.record_violation(Violation::RevisionRegressed { proxy: number, at: now });
        }
        self.schedule_timer(Node::Proxy(number), incarnation, deadline);
    }

    pub(super) fn schedule_start(&mut self, ip: u32, at: Millis) {
        self.schedule(at, Event::StartProcess { ip });
    }
}
