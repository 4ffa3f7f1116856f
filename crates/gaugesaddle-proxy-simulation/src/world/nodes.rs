//! The nodes of the simulated fleet, and the changes of the list that follow from them.

use super::*;

impl World<'_> {
    pub(super) fn entry(&self, node: usize, standing: u8) -> Backend {
        let n = &self.nodes[node];
        Backend {
            id: BackendId(mix(7, node as u64)),
            zone: ZoneId(stable_id(&zone_name(node % self.s.zones))),
            kind: KindId(stable_id(&n.kind.name)),
            state: [BackendState::Ready, BackendState::Draining, BackendState::Departed][standing as usize],
            booted: (n.booted > 0).then_some(Time(n.booted)),
            weight: 1.0,
            ..Backend::default()
        }
    }

    pub(super) fn reach(&mut self, sent: usize) {
        let (node, work) = (self.sent[sent].node, self.sent[sent].work_us);
        self.advance(node);
        let (n, s) = (&mut self.nodes[node], &self.sent[sent]);
        let Some(machine) = n.machine.as_mut().filter(|_| n.boots == s.boots) else {
            return self.at(self.now + HOP_US, WorldEvent::Outcome(sent, NO_CONNECTION));
        };
        if s.abandoned {
            return;
        }
        if machine.offer(self.now, sent as u64, work) {
            n.in_flight += 1;
            self.report.max_in_flight[node] = self.report.max_in_flight[node].max(n.in_flight);
            self.plan_run(node);
        } else {
            self.at(self.now + HOP_US, WorldEvent::Outcome(sent, FULL));
        }
    }

    pub(super) fn plan_run(&mut self, node: usize) {
        let next = self.nodes[node].machine.as_ref().and_then(Processor::next);
        let next = next.unwrap_or(u64::MAX).max(self.now + 1);
        if next < self.nodes[node].next_run || self.nodes[node].next_run <= self.now {
            self.nodes[node].next_run = next;
            self.at(next, WorldEvent::Run(node));
        }
    }

    pub(super) fn advance(&mut self, node: usize) {
        let mut ended = Vec::new();
        let n = &mut self.nodes[node];
        if let Some(machine) = &mut n.machine {
            let before = machine.overloaded;
            machine.run(self.now, &mut ended);
            self.report.chokes += u64::from(machine.overloaded && !before);
        }
        for id in ended {
            let wait = self.sent[id as usize].wait_us;
            self.sent[id as usize].done = true;
            self.at(self.now + wait, WorldEvent::Reply(id as usize));
        }
        self.plan_run(node);
    }

    pub(super) fn reply(&mut self, sent: usize) {
        let s = &self.sent[sent];
        if self.nodes[s.node].boots != s.boots || self.nodes[s.node].machine.is_none() {
            return; // reset already
        }
        self.nodes[s.node].in_flight -= 1;
        if !s.abandoned {
            self.at(self.now + HOP_US, WorldEvent::Outcome(sent, OK));
        }
    }

    pub(super) fn step(&mut self, step: usize) -> Result<(), ModelError> {
        let d = &self.s.discovery;
        match self.plan.steps[step].1 {
            Step::NodeStart(node) => {
                let n = &mut self.nodes[node];
                (n.boots, n.booted, n.in_flight) = (n.boots + 1, self.now, 0);
                n.machine = Some(Processor::new(&n.kind, self.s.choke, self.now, true));
                n.next_run = u64::MAX;
                self.publish(node, READY, d.add_s);
            }
            Step::NodeCrash(node) => {
                self.down(node);
                self.publish(node, DEPARTED, d.crash_notice_s);
            }
            Step::NodeStop(node) => {
                self.down(node);
                self.publish(node, DEPARTED, d.notice_s);
            }
            Step::NodeDrain(node) => self.publish(node, DRAINING, d.notice_s),
            Step::NodeSlow(node, factor) => {
                self.advance(node);
                self.nodes[node].machine.iter_mut().for_each(|m| m.slow = factor);
                self.plan_run(node);
            }
            Step::NodeHang(node, hung) => {
                self.advance(node);
                self.nodes[node].machine.iter_mut().for_each(|m| m.hung = hung);
                self.plan_run(node);
            }
            Step::ProxyKill(proxy) => self.kill(proxy),
            Step::ProxyStart(proxy) => self.start(proxy)?,
            _ => {}
        }
        Ok(())
    }

    /// A node's process ends; its connections are reset.
    pub(super) fn down(&mut self, node: usize) {
        self.nodes[node].machine = None;
        let boots = self.nodes[node].boots;
        let held = self.awaited(|s| s.node == node && s.boots == boots);
        held.into_iter().for_each(|sent| self.at(self.now + HOP_US, WorldEvent::Outcome(sent, RESET)));
    }

    pub(super) fn publish(&mut self, node: usize, standing: u8, within_s: [f64; 2]) {
        let booted = self.nodes[node].booted;
        for proxy in 0..self.hosts.len() {
            let delay = (self.delays.uniform(within_s) * 1e6) as u64;
            let last = self.delivered.get(&(proxy, node)).copied().unwrap_or(0);
            let at = (self.now + delay).max(last + 1); // changes do not overtake each other
            self.delivered.insert((proxy, node), at);
            self.at(at, WorldEvent::ListChange(proxy, node, standing, booted));
        }
    }

    pub(super) fn deliver_change(&mut self, proxy: usize, node: usize, standing: u8, booted: u64) {
        self.ready[proxy][node] = standing == READY;
        if !self.proxies[proxy].up {
            return;
        }
        let entry = Backend { booted: (booted > 0).then_some(Time(booted)), ..self.entry(node, standing) };
        self.hosts[proxy].list(ListUpdate::Changes, vec![entry]);
        self.plan_tick(proxy);
    }
}
