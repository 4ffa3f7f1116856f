//! The nodes of the simulated fleet, and the changes of the backend list that their starts and ends cause.

use super::*;

impl World<'_> {
    pub(super) fn backend_entry(&self, node: usize, state: u8) -> Backend {
        let n = &self.nodes[node];
        Backend {
            id: BackendId(mix(7, node as u64)),
            zone: ZoneId(stable_id(&zone_name(node % self.scenario.zones))),
            kind: KindId(stable_id(&n.kind.name)),
            state: [BackendState::Ready, BackendState::Draining, BackendState::Departed][state as usize],
            booted: (n.booted > 0).then_some(Time(n.booted)),
            weight: 1.0,
            ..Backend::default()
        }
    }

    pub(super) fn arrive_at_node(&mut self, sent: usize) {
        let (node, work) = (self.node_attempts[sent].node, self.node_attempts[sent].work_us);
        self.advance_node(node);
        let (n, s) = (&mut self.nodes[node], &self.node_attempts[sent]);
        let Some(machine) = n.machine.as_mut().filter(|_| n.boots == s.boots) else {
            return self
                .schedule(self.now + ONE_WAY_DELAY_US, WorldEvent::AttemptOutcome(sent, NO_CONNECTION));
        };
        if s.abandoned {
            return;
        }
        if machine.offer(self.now, sent as u64, work) {
            n.in_flight += 1;
            self.report.max_in_flight[node] = self.report.max_in_flight[node].max(n.in_flight);
            self.schedule_node(node);
        } else {
            self.schedule(self.now + ONE_WAY_DELAY_US, WorldEvent::AttemptOutcome(sent, FULL));
        }
    }

    pub(super) fn schedule_node(&mut self, node: usize) {
        let next = self.nodes[node].machine.as_ref().and_then(Processor::next);
        let next = next.unwrap_or(u64::MAX).max(self.now + 1);
        if next < self.nodes[node].next_run || self.nodes[node].next_run <= self.now {
            self.nodes[node].next_run = next;
            self.schedule(next, WorldEvent::AdvanceNode(node));
        }
    }

    pub(super) fn advance_node(&mut self, node: usize) {
        let mut ended = Vec::new();
        let n = &mut self.nodes[node];
        if let Some(machine) = &mut n.machine {
            let before = machine.overloaded;
            machine.run(self.now, &mut ended);
            self.report.chokes += u64::from(machine.overloaded && !before);
        }
        for id in ended {
            let wait = self.node_attempts[id as usize].wait_us;
            self.node_attempts[id as usize].done = true;
            self.schedule(self.now + wait, WorldEvent::SendResponse(id as usize));
        }
        self.schedule_node(node);
    }

    pub(super) fn send_response(&mut self, sent: usize) {
        let s = &self.node_attempts[sent];
        if self.nodes[s.node].boots != s.boots || self.nodes[s.node].machine.is_none() {
            return; // the connection was already reset
        }
        self.nodes[s.node].in_flight -= 1;
        if !s.abandoned {
            self.schedule(self.now + ONE_WAY_DELAY_US, WorldEvent::AttemptOutcome(sent, OK));
        }
    }

    pub(super) fn apply_step(&mut self, step: usize) -> Result<(), SimulationError> {
        let discovery = &self.scenario.discovery;
        match self.plan.steps[step].1 {
            Step::NodeStart(node) => {
                let n = &mut self.nodes[node];
                (n.boots, n.booted, n.in_flight) = (n.boots + 1, self.now, 0);
                n.machine = Some(Processor::new(&n.kind, self.scenario.choke, self.now, true));
                n.next_run = u64::MAX;
                self.publish_change(node, READY, discovery.add_s);
            }
            Step::NodeCrash(node) => {
                self.stop_node(node);
                self.publish_change(node, DEPARTED, discovery.crash_notice_s);
            }
            Step::NodeStop(node) => {
                self.stop_node(node);
                self.publish_change(node, DEPARTED, discovery.notice_s);
            }
            Step::NodeDrain(node) => self.publish_change(node, DRAINING, discovery.notice_s),
            Step::NodeSlow(node, factor) => {
                self.advance_node(node);
                self.nodes[node].machine.iter_mut().for_each(|m| m.slow = factor);
                self.schedule_node(node);
            }
            Step::NodeHang(node, hung) => {
                self.advance_node(node);
                self.nodes[node].machine.iter_mut().for_each(|m| m.hung = hung);
                self.schedule_node(node);
            }
            Step::ProxyKill(proxy) => self.kill_proxy(proxy),
            Step::ProxyStart(proxy) => self.start_proxy(proxy)?,
            _ => {}
        }
        Ok(())
    }

    /// Ends a node's process and resets its connections.
    pub(super) fn stop_node(&mut self, node: usize) {
        self.nodes[node].machine = None;
        let boots = self.nodes[node].boots;
        let pending = self.pending_attempts(|s| s.node == node && s.boots == boots);
        pending
            .into_iter()
            .for_each(|i| self.schedule(self.now + ONE_WAY_DELAY_US, WorldEvent::AttemptOutcome(i, RESET)));
    }

    pub(super) fn publish_change(&mut self, node: usize, state: u8, within_s: [f64; 2]) {
        let booted = self.nodes[node].booted;
        for proxy in 0..self.hosts.len() {
            let delay = (self.delays.uniform(within_s) * 1e6) as u64;
            let last = self.delivered.get(&(proxy, node)).copied().unwrap_or(0);
            let at = (self.now + delay).max(last + 1); // changes of a node arrive in order
            self.delivered.insert((proxy, node), at);
            self.schedule(at, WorldEvent::ListChange(proxy, node, state, booted));
        }
    }

    pub(super) fn deliver_change(&mut self, proxy: usize, node: usize, state: u8, booted: u64) {
        self.ready[proxy][node] = state == READY;
        if !self.proxies[proxy].up {
            return;
        }
        let entry =
            Backend { booted: (booted > 0).then_some(Time(booted)), ..self.backend_entry(node, state) };
        self.hosts[proxy].update_backends(ListUpdate::Changes, vec![entry]);
        self.schedule_tick(proxy);
    }
}
