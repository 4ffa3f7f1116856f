//! Packets between nodes, timers, and the effects of control processes.

use super::{AcknowledgementKind, Event, World};
use crate::control::{ControlProcess, Effects};
use crate::network::Node;
use crate::packet::{Answer, Packet, RegistrationOutcome};
use crate::Millis;
use gaugesaddle_protocol::ChangeReply;

/// While a machine is preferred, one in this number of calls still goes to a random machine.
const UNPREFERRED_ONE_IN: u64 = 3;

impl World {
    pub(super) fn send(&mut self, from: Node, to: Node, packet: Packet) {
        let is_answer_to_operator = matches!((&to, &packet), (Node::Operator(_), Packet::Answer { .. }));
        let is_lost = is_answer_to_operator
            && self.now < self.answer_loss.until
            && self.random_below(100) < self.answer_loss.percent;
        if is_lost {
            return;
        }
        let incarnation = self.incarnation(to);
        if let Some(at) = self.network.send(self.now, from, to, &mut self.random) {
            self.schedule(at, Event::Deliver { from, to, incarnation, packet });
        }
    }

    /// The incarnation of a node's process; operators and backends have a single one, 0.
    pub(super) fn incarnation(&self, node: Node) -> u64 {
        match node {
            Node::Control(ip) => self.machines.get(&ip).map_or(0, |machine| machine.incarnation),
            Node::Proxy(number) => self.proxies.get(&number).map_or(0, |machine| machine.incarnation),
            Node::Operator(_) | Node::Backend(_) => 0,
        }
    }

    pub(super) fn deliver(&mut self, from: Node, to: Node, incarnation: u64, packet: Packet) {
        // A packet to a former process is lost: its connection was closed when that process ended.
        if !self.network.delivers(self.now, from, to) || incarnation != self.incarnation(to) {
            return;
        }
        match (to, packet) {
            (Node::Control(ip), packet) => {
                self.step_process(ip, |process, now| process.receive(now, from, packet));
            }
            (Node::Proxy(number), Packet::Answer { id, answer }) => {
                self.deliver_to_proxy(number, id, answer);
            }
            (Node::Operator(number), Packet::Answer { id, answer }) => {
                let operator = &mut self.operators[number as usize];
                operator.receive(self.now, id, answer, &mut self.history);
                let at = operator.deadline();
                self.schedule_timer(to, 0, at);
            }
            (Node::Backend(number), Packet::Answer { id, answer }) => {
                let backend = &mut self.backends[number as usize];
                backend.receive(self.now, id, &answer);
                let at = backend.deadline();
                self.schedule_timer(to, 0, at);
            }
            _ => {}
        }
    }

    pub(super) fn run_timer(&mut self, node: Node, incarnation: u64) {
        let is_planned = self
            .timers
            .get(&node)
            .is_some_and(|timer| timer.incarnation == incarnation && timer.at <= self.now);
        if incarnation != self.incarnation(node) || !is_planned {
            return;
        }
        self.timers.remove(&node);
        match node {
            Node::Control(ip) => self.step_process(ip, super::super::control::ControlProcess::tick),
            Node::Proxy(number) => self.tick_proxy(number),
            Node::Operator(number) => {
                let operator = &mut self.operators[number as usize];
                let call = operator.tick(self.now, &mut self.random, &mut self.history);
                let deadline = operator.deadline();
                self.finish_timer(node, call, deadline);
            }
            Node::Backend(number) => {
                let backend = &mut self.backends[number as usize];
                let call = backend.tick(self.now);
                let deadline = backend.deadline();
                self.finish_timer(node, call, deadline);
            }
        }
    }

    fn finish_timer(&mut self, node: Node, call: Option<Packet>, deadline: Millis) {
        if let Some(packet) = call {
            self.call_any_machine(node, packet);
        }
        self.schedule_timer(node, 0, deadline.max(self.now + 1));
    }

    /// Sends a call of an operator or backend to a control machine, regardless of which machines are running.
    fn call_any_machine(&mut self, from: Node, packet: Packet) {
        let ips: Vec<u32> = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.has_started && !machine.is_removed)
            .map(|(ip, _)| *ip)
            .collect();
        if ips.is_empty() {
            return;
        }
        // Both random numbers are always drawn, so that the number of draws does not depend on the preference.
        let random_ip = ips[self.random_below(ips.len() as u64) as usize];
        let prefers = self.random_below(UNPREFERRED_ONE_IN) != 0;
        let preferred = self.preferred_machine.filter(|preferred| prefers && self.now < preferred.until);
        let ip = preferred.map_or(random_ip, |preferred| preferred.ip);
        self.send(from, Node::Control(ip), packet);
    }

    /// Runs a step of a control process and executes its effects.
    pub(super) fn step_process(&mut self, ip: u32, step: impl FnOnce(&mut ControlProcess, Millis)) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        let Some(process) = &mut machine.process else { return };
        step(process, now);
        let effects = process.take_effects();
        if let (Some(replica), true) = (&process.replica, machine.has_disk) {
            machine.replica = Some(replica.id());
        }
        let deadline = process.deadline().max(now + 1);
        let timer_at = process.poll_at(now).map_or(deadline, |poll_at| poll_at.min(deadline));
        let incarnation = machine.incarnation;
        self.execute_effects(ip, incarnation, effects);
        self.schedule_timer(Node::Control(ip), incarnation, timer_at);
    }

    fn execute_effects(&mut self, ip: u32, incarnation: u64, effects: Effects) {
        let now = self.now;
        if let Some((term, replica)) = effects.leadership {
            self.history.record_leader(term, replica);
        }
        for position in effects.fresh_answers {
            self.history.check_fresh_answer(now, ip, position);
        }
        for configuration in effects.committed {
            self.history.record_committed(now, configuration);
        }
        if effects.write_started {
            let at = self.write_completes_at(ip);
            self.schedule(at, Event::CompleteWrite { ip, incarnation });
        }
        for (to, packet) in effects.packets {
            self.trigger_armed_crash(ip, to, &packet);
            self.send(Node::Control(ip), to, packet);
        }
    }

    /// If the packet acknowledges a change or a departure, schedules the first crash armed for that kind.
    fn trigger_armed_crash(&mut self, ip: u32, to: Node, packet: &Packet) {
        let Packet::Answer { answer, .. } = packet else { return };
        let acknowledged = match (to, answer) {
            (Node::Operator(_), Answer::Change(ChangeReply::Applied)) => AcknowledgementKind::Change,
            (Node::Backend(number), Answer::Registered(RegistrationOutcome::Acknowledged))
                if !self.backends[number as usize].serves() =>
            {
                AcknowledgementKind::Departure
            }
            _ => return,
        };
        if acknowledged == AcknowledgementKind::Change {
            self.last_acknowledger = Some(ip);
        }
        let first = self.armed_crashes.iter().position(|armed| armed.trigger == acknowledged);
        if let Some(index) = first {
            let armed = self.armed_crashes.remove(index);
            let event = Event::CrashAfterAcknowledgement { ip, crash: armed.crash };
            self.schedule(self.now + armed.delay, event);
        }
    }
}
