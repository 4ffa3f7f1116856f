//! Plays a plan: machines, processes, people and links in virtual time.

mod faults;
mod rules;

use crate::backend::Backend;
use crate::control::{Answer, Effects, Packet, Process, Start};
use crate::disk::Disk;
use crate::history::{History, Violation};
use crate::network::{Network, Node};
use crate::operator::Operator;
use crate::plan::{Fault, Plan, Strike, BACKENDS};
use crate::proxy::Proxy;
use crate::{Millis, Shape};
use gaugesaddle_consensus::Settings;
use gaugesaddle_protocol::{ChangeReply, ReplicaId};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Machines are in touch so long after the last trouble.
const CONTACT: Millis = 3000;
/// A machine that is back, or new, counts as lost for so long.
const CATCH_UP: Millis = 4000;
/// Between two looks at the rules with a time bound.
const LOOK: Millis = 50;
/// Calm at the end of a day.
const CALM: Millis = 14_000;
/// A planned end takes so long.
const FAREWELL: Millis = 400;
/// A replacement comes, or the replaced machine ends, so much later.
const REPLACEMENT: Millis = 1000;
/// A fault that would lose too much waits its turn for so long in all.
const MAX_WAIT: Millis = 9000;
/// Operators.
const OPERATORS: u32 = 2;
/// One in so many faults without a lost disk strikes beyond what must be borne: service may rest, nothing may be lost.
const BEYOND: u64 = 4;

enum Event {
    Arrive { from: Node, to: Node, life: u64, packet: Packet },
    Wake { node: Node, life: u64 },
    Written { ip: u32, life: u64 },
    Fault { fault: Fault, until: Millis },
    Start { ip: u32 },
    StartProxy { number: u32 },
    End { ip: u32, gone: bool },
    Strike { ip: u32, strike: Strike },
    Look,
}

/// A machine that serves control.
struct Machine {
    process: Option<Process>,
    disk: Disk,
    has_disk: bool,
    life: u64,
    started: bool,
    frozen_until: Millis,
    disk_factor: u64,
    disk_slow_until: Millis,
    disk_hangs_until: Millis,
    disk_full_until: Millis,
    /// It counts as lost until then.
    lost_until: Millis,
    /// Its disk was lost: until when it counts so, at least, and only once it votes again.
    disk_lost: Option<Millis>,
    /// The replica on its disk, as far as one was seen.
    replica: Option<ReplicaId>,
    /// It is never started again.
    gone: bool,
}

struct ProxyMachine {
    proxy: Option<Proxy>,
    life: u64,
    started: Millis,
    frozen_until: Millis,
    revision: u64,
}

/// How a day went.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Every rule that was broken.
    pub violations: Vec<Violation>,
    /// Orders that were confirmed.
    pub confirmed: usize,
    /// Terms in which somebody led.
    pub terms: usize,
    /// Faults that struck.
    pub struck: usize,
    /// Looks at which machines were in touch.
    pub looks_in_touch: usize,
    /// Looks at proxies that may not use keys any more, for want of a proof.
    pub looks_unproven: usize,
}

/// A day.
struct World {
    now: Millis,
    order: u64,
    events: BTreeMap<(Millis, u64), Event>,
    random: Pcg64Mcg,
    shape: Shape,
    settings: Settings,
    network: Network,
    /// Which process of each node is woken next, and when.
    wakes: BTreeMap<Node, (u64, Millis)>,
    machines: BTreeMap<u32, Machine>,
    proxies: BTreeMap<u32, ProxyMachine>,
    operators: Vec<Operator>,
    backends: Vec<Backend>,
    history: History,
    /// When the last trouble ends.
    troubled_until: Millis,
    answers_lost: (u64, Millis),
    acknowledged_by: Option<u32>,
    /// Whom everybody outside calls first, and until when.
    lure: Option<(u32, Millis)>,
    /// What waits for an acknowledgement: of a backend's end, how long after it, what happens.
    armed: Vec<(bool, Millis, Strike)>,
    /// Who voted when that was last certain.
    voters: Vec<ReplicaId>,
    next_ip: u32,
    struck: usize,
    looks_in_touch: usize,
    looks_unproven: usize,
}

/// Plays a plan to its end.
pub fn play(plan: &Plan) -> Outcome {
    let mut world = World::new(plan);
    for planned in &plan.faults {
        let until = planned.at + MAX_WAIT;
        world.push(planned.at, Event::Fault { fault: planned.fault, until });
    }
    world.run_until(plan.end() + MAX_WAIT);
    world.end_day();
    let World { history, struck, looks_in_touch, looks_unproven, .. } = world;
    Outcome {
        violations: history.violations(),
        confirmed: history.confirmed(),
        terms: history.terms(),
        struck,
        looks_in_touch,
        looks_unproven,
    }
}

impl World {
    fn new(plan: &Plan) -> World {
        let shape = plan.shape.clone();
        let standard = Settings::default();
        let min_voters = standard.min_voters.max(2 * shape.losses as usize + 1);
        let mut world = World {
            now: 0,
            order: 0,
            events: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            settings: Settings { min_voters, ..standard },
            network: Network::default(),
            wakes: BTreeMap::new(),
            machines: BTreeMap::new(),
            proxies: BTreeMap::new(),
            operators: (0..OPERATORS).map(|n| Operator::new(n + 1, 2500 + Millis::from(n) * 170)).collect(),
            backends: (0..BACKENDS).map(|n| Backend::new(n, 500 + Millis::from(n) * 60)).collect(),
            history: History::default(),
            troubled_until: 0,
            answers_lost: (0, 0),
            acknowledged_by: None,
            lure: None,
            armed: Vec::new(),
            voters: Vec::new(),
            next_ip: 1,
            struck: 0,
            looks_in_touch: 0,
            looks_unproven: 0,
            shape,
        };
        for number in 0..world.shape.disks + world.shape.diskless {
            let has_disk = number < world.shape.disks;
            let ip = world.add_machine(has_disk);
            let at = world.below(300);
            world.push(at, Event::Start { ip });
        }
        for number in 0..world.shape.proxies {
            let machine = ProxyMachine { proxy: None, life: 0, started: 0, frozen_until: 0, revision: 0 };
            world.proxies.insert(number, machine);
            let at = world.below(300);
            world.push(at, Event::StartProxy { number });
        }
        for number in 0..OPERATORS {
            world.wake(Node::Operator(number), 0, 1000);
        }
        for number in 0..BACKENDS {
            world.wake(Node::Backend(number), 0, 500);
        }
        world.push(LOOK, Event::Look);
        world
    }

    fn add_machine(&mut self, has_disk: bool) -> u32 {
        let ip = self.next_ip;
        self.next_ip += 1;
        let machine = Machine {
            process: None,
            disk: Disk::default(),
            has_disk,
            life: 0,
            started: false,
            frozen_until: 0,
            disk_factor: 1,
            disk_slow_until: 0,
            disk_hangs_until: 0,
            disk_full_until: 0,
            lost_until: 0,
            disk_lost: None,
            replica: None,
            gone: false,
        };
        self.machines.insert(ip, machine);
        ip
    }

    fn below(&mut self, n: u64) -> u64 {
        self.random.next_u64() % n.max(1)
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.order += 1;
        self.events.insert((at.max(self.now), self.order), event);
    }

    /// Has a node woken at a time, unless it is woken sooner anyway; it then says when it wants to be woken next.
    fn wake(&mut self, node: Node, life: u64, at: Millis) {
        let at = at.max(self.now);
        let sooner = self.wakes.get(&node).is_some_and(|(of, planned)| *of == life && *planned <= at);
        if !sooner {
            self.wakes.insert(node, (life, at));
            self.push(at, Event::Wake { node, life });
        }
    }

    fn run_until(&mut self, end: Millis) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                self.order += 1;
                self.events.insert((at, self.order), event);
                break;
            }
            self.now = at;
            self.happen(event);
        }
        self.now = end;
    }

    fn happen(&mut self, event: Event) {
        if let Some(thaw) = self.frozen(&event) {
            // What comes meanwhile waits in the sockets of the process.
            return self.push(thaw, event);
        }
        match event {
            Event::Arrive { from, to, life, packet } => self.arrive(from, to, life, packet),
            Event::Wake { node, life } => self.woken(node, life),
            Event::Written { ip, life } => self.written(ip, life),
            Event::Fault { fault, until } => self.strike(fault, until),
            Event::Start { ip } => self.start(ip),
            Event::StartProxy { number } => self.start_proxy(number),
            Event::End { ip, gone } => self.end(ip, gone),
            Event::Strike { ip, strike } => self.strike_after(ip, strike),
            Event::Look => self.look(),
        }
    }

    /// When the process that an event is for goes on, if it stands still.
    fn frozen(&self, event: &Event) -> Option<Millis> {
        let node = match event {
            Event::Arrive { to, .. } => *to,
            Event::Wake { node, .. } => *node,
            Event::Written { ip, .. } => Node::Control(*ip),
            _ => return None,
        };
        let until = match node {
            Node::Control(ip) => self.machines.get(&ip)?.frozen_until,
            Node::Proxy(number) => self.proxies.get(&number)?.frozen_until,
            _ => return None,
        };
        (self.now < until).then_some(until)
    }

    fn send(&mut self, from: Node, to: Node, packet: Packet) {
        let lost = matches!((&to, &packet), (Node::Operator(_), Packet::Answer { .. }))
            && self.now < self.answers_lost.1
            && self.below(100) < self.answers_lost.0;
        if lost {
            return;
        }
        let life = self.life_of(to);
        if let Some(at) = self.network.send(self.now, from, to, &mut self.random) {
            self.push(at, Event::Arrive { from, to, life, packet });
        }
    }

    fn life_of(&self, node: Node) -> u64 {
        match node {
            Node::Control(ip) => self.machines.get(&ip).map_or(0, |m| m.life),
            Node::Proxy(number) => self.proxies.get(&number).map_or(0, |p| p.life),
            _ => 0,
        }
    }

    fn arrive(&mut self, from: Node, to: Node, life: u64, packet: Packet) {
        // A connection ends with the process that it was opened to.
        if !self.network.passes(self.now, from, to) || life != self.life_of(to) {
            return;
        }
        match to {
            Node::Control(ip) => self.drive(ip, |process, now| process.receive(now, from, packet)),
            Node::Proxy(number) => {
                let (now, Packet::Answer { id, answer }) = (self.now, packet) else { return };
                let machine = self.proxies.get_mut(&number).and_then(|m| m.proxy.as_mut());
                let call = machine.and_then(|proxy| proxy.receive(now, id, answer));
                self.after_proxy(number, call);
            }
            Node::Operator(number) => {
                let Packet::Answer { id, answer } = packet else { return };
                let (now, operator) = (self.now, &mut self.operators[number as usize]);
                operator.receive(now, id, answer, &mut self.history);
                let at = operator.deadline();
                self.wake(to, 0, at);
            }
            Node::Backend(number) => {
                let Packet::Answer { id, answer } = packet else { return };
                let backend = &mut self.backends[number as usize];
                backend.receive(self.now, id, &answer);
                let at = backend.deadline();
                self.wake(to, 0, at);
            }
        }
    }

    fn woken(&mut self, node: Node, life: u64) {
        let planned = self.wakes.get(&node).is_some_and(|(of, at)| *of == life && *at <= self.now);
        if life != self.life_of(node) || !planned {
            return;
        }
        self.wakes.remove(&node);
        match node {
            Node::Control(ip) => self.drive(ip, |process, now| process.tick(now)),
            Node::Proxy(number) => self.wake_proxy(number),
            Node::Operator(number) => {
                let (now, operator) = (self.now, &mut self.operators[number as usize]);
                let call = operator.tick(now, &mut self.random, &mut self.history);
                let at = operator.deadline();
                if let Some(packet) = call {
                    self.call_any(node, packet);
                }
                self.wake(node, 0, at.max(now + 1));
            }
            Node::Backend(number) => {
                let (now, backend) = (self.now, &mut self.backends[number as usize]);
                let call = backend.tick(now);
                let at = backend.deadline();
                if let Some(packet) = call {
                    self.call_any(node, packet);
                }
                self.wake(node, 0, at.max(now + 1));
            }
        }
    }

    /// Somebody outside calls a machine that serves control; which of them run is not known.
    fn call_any(&mut self, from: Node, packet: Packet) {
        let ips: Vec<u32> =
            self.machines.iter().filter(|(_, m)| m.started && !m.gone).map(|(ip, _)| *ip).collect();
        if ips.is_empty() {
            return;
        }
        let drawn = ips[self.below(ips.len() as u64) as usize];
        let lure = self.lure.filter(|(_, until)| self.now < *until).map(|(ip, _)| ip);
        let lured = self.below(3) != 0;
        let ip = lure.filter(|_| lured).unwrap_or(drawn);
        self.send(from, Node::Control(ip), packet);
    }

    /// Runs a step of a control process and carries its effects out.
    fn drive(&mut self, ip: u32, step: impl FnOnce(&mut Process, Millis)) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        let Some(process) = &mut machine.process else { return };
        step(process, now);
        let effects = process.effects();
        machine.replica =
            process.replica.as_ref().filter(|_| machine.has_disk).map(|r| r.id()).or(machine.replica);
        let deadline = process.deadline().max(now + 1);
        let looks = process.looks_at(now);
        let life = machine.life;
        let woken = looks.map_or(deadline, |at| at.min(deadline));
        self.carry_out(ip, life, effects);
        self.wake(Node::Control(ip), life, woken);
    }

    fn carry_out(&mut self, ip: u32, life: u64, effects: Effects) {
        let now = self.now;
        if let Some((term, replica)) = effects.leads {
            self.history.leads(term, replica);
        }
        for position in effects.fresh_answers {
            self.history.called_current(now, ip, position);
        }
        for configuration in effects.committed {
            self.history.committed(now, configuration);
        }
        if effects.disk_begins {
            let at = self.disk_done(ip);
            self.push(at, Event::Written { ip, life });
        }
        for (to, packet) in effects.packets {
            self.note_acknowledgement(ip, to, &packet);
            self.send(Node::Control(ip), to, packet);
        }
    }

    /// A process acknowledges something: what waits for that strikes soon.
    fn note_acknowledgement(&mut self, ip: u32, to: Node, packet: &Packet) {
        let Packet::Answer { answer, .. } = packet else { return };
        let of_end = match (to, answer) {
            (Node::Operator(_), Answer::Change(ChangeReply::Applied)) => false,
            (Node::Backend(number), Answer::Registered(true)) if !self.backends[number as usize].serves() => {
                true
            }
            _ => return,
        };
        if !of_end {
            self.acknowledged_by = Some(ip);
        }
        if let Some(place) = self.armed.iter().position(|(end, ..)| *end == of_end) {
            let (_, delay, strike) = self.armed.remove(place);
            self.push(self.now + delay, Event::Strike { ip, strike });
        }
    }

    fn strike_after(&mut self, ip: u32, strike: Strike) {
        let down = 200 + self.below(800);
        let wipes = matches!(strike, Strike::WipeIt | Strike::WipeItAndPowerOffAll)
            && self.machines.get(&ip).is_some_and(|m| m.has_disk && m.process.is_some())
            && self.may_lose_disk();
        if wipes {
            self.wipe(ip, down);
        }
        match strike {
            Strike::PowerOffAll | Strike::WipeItAndPowerOffAll => self.kill_all(true, down),
            Strike::PowerOffIt | Strike::WipeIt => {
                self.kill(ip, true);
                self.machines
                    .entry(ip)
                    .and_modify(|m| m.lost_until = m.lost_until.max(self.now + down + CATCH_UP));
                self.push(self.now + down, Event::Start { ip });
                self.trouble(down);
            }
        }
        self.struck += 1;
    }

    fn disk_done(&self, ip: u32) -> Millis {
        let Some(machine) = self.machines.get(&ip) else { return self.now };
        let factor = if self.now < machine.disk_slow_until { machine.disk_factor } else { 1 };
        (self.now + self.shape.disk_ms * factor).max(machine.disk_hangs_until)
    }

    fn written(&mut self, ip: u32, life: u64) {
        let now = self.now;
        if life != self.life_of(Node::Control(ip)) {
            return;
        }
        if let Some(machine) = self.machines.get(&ip) {
            machine.disk.set_full(now < machine.disk_full_until);
        }
        self.drive(ip, |process, now| process.written(now));
    }

    fn start(&mut self, ip: u32) {
        let random = Pcg64Mcg::seed_from_u64(self.random.next_u64());
        let founders: Vec<ReplicaId> = (1..=3).map(|ip| ReplicaId { ip, incarnation: 0 }).collect();
        let seeds = self.seeds();
        let (now, settings) = (self.now, self.settings);
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        if machine.process.is_some() || machine.gone {
            return;
        }
        machine.life += 1;
        let first = machine.life == 1 && now < 1000;
        machine.started = true;
        machine.disk.set_full(now < machine.disk_full_until);
        let start = Start {
            ip,
            life: machine.life,
            disk: machine.disk.clone(),
            has_disk: machine.has_disk,
            founders: first.then_some(founders),
            seeds,
            settings,
            random,
        };
        machine.process = Some(Process::start(now, start));
        self.drive(ip, |process, now| process.introduce(now));
    }

    /// What the boot file names: three machines that serve control.
    fn seeds(&self) -> Vec<u32> {
        self.machines.iter().filter(|(_, m)| !m.gone && m.has_disk).map(|(ip, _)| *ip).take(3).collect()
    }

    fn start_proxy(&mut self, number: u32) {
        let (now, seeds) = (self.now, self.seeds());
        let Some(machine) = self.proxies.get_mut(&number) else { return };
        machine.life += 1;
        machine.started = now;
        machine.revision = 0;
        machine.proxy = Some(Proxy::start(now, number, machine.life, &seeds));
        self.wake_proxy(number);
    }

    fn wake_proxy(&mut self, number: u32) {
        let (now, seeds) = (self.now, self.seeds());
        let proxy = self.proxies.get_mut(&number).and_then(|m| m.proxy.as_mut());
        let call = proxy.and_then(|proxy| proxy.tick(now, &seeds));
        self.after_proxy(number, call);
    }

    fn after_proxy(&mut self, number: u32, call: Option<(Node, Packet)>) {
        if let Some((to, packet)) = call {
            self.send(Node::Proxy(number), to, packet);
        }
        let now = self.now;
        let Some(machine) = self.proxies.get_mut(&number) else { return };
        let Some(proxy) = &machine.proxy else { return };
        let (revision, before) = (proxy.revision(), machine.revision);
        machine.revision = revision;
        let (life, at) = (machine.life, proxy.deadline().max(now + 1));
        if before == 0 && revision > 0 {
            let (asked, position) = (proxy.taken_of(), proxy.follower.position());
            self.history.started_with(now, number, asked, position);
        }
        if revision < before {
            self.history.violated(Violation::Regressed { proxy: number, at: now });
        }
        self.wake(Node::Proxy(number), life, at);
    }
}
