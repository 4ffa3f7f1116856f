//! The proxies of the simulated fleet: client requests, attempts, and each proxy's view of its tier.

use super::*;
use crate::host::HostAction;

impl World<'_> {
    /// Observes the tier from a proxy: it has the last report or the one before of each other proxy, and detects starts
    /// and ends with a delay.
    pub(super) fn observe_tier(&mut self, proxy: usize) {
        self.schedule(self.now + OBSERVATION_INTERVAL_US, WorldEvent::ObserveTier(proxy));
        if !self.proxies[proxy].up {
            return;
        }
        let own = &mut self.proxies[proxy];
        let demand =
            own.demand.record(std::mem::take(&mut own.arrivals), OBSERVATION_INTERVAL_US as f64 / 1e6);
        own.reported = [demand, own.reported[0]];
        let (now, since) = (self.now, own.since.max(START));
        let live_proxies =
            (0..self.proxies.len()).filter(|p| *p == proxy || self.proxies[*p].is_known_alive(now));
        let live_indices: Vec<u16> = live_proxies.map(|p| p as u16).collect();
        let views = &mut self.views;
        let demands: Vec<Option<f64>> = live_indices
            .iter()
            .map(|p| self.proxies[usize::from(*p)].reported[usize::from(views.bernoulli(0.5))])
            .collect();
        let position = live_indices.iter().position(|p| usize::from(*p) == proxy).unwrap_or(0);
        // Starts and ends are detected with a delay; the proxies that run initially are known at once.
        let uptime = Micros(now - since);
        let configured = self.proxies.len();
        let view = TierView {
            configured,
            uptime,
            unchanged_for: uptime,
            own: position,
            indices: &live_indices,
            demands: &demands,
        };
        let (allocator, host) = (&mut self.proxies[proxy].allocator, &mut self.hosts[proxy]);
        if let Allocation::ByDemand(tier) = allocator.observe(Time(now), &view, host.balancer.listed()) {
            host.push_events([Event::Tier(tier), Event::Assignments(allocator.assignments().to_vec())]);
            self.schedule_tick(proxy);
        }
    }

    /// Kills a proxy's process, which closes its connections.
    pub(super) fn kill_proxy(&mut self, proxy: usize) {
        if !std::mem::replace(&mut self.proxies[proxy].up, false) {
            return;
        }
        self.proxies[proxy].since = self.now;
        self.ticks[proxy] = u64::MAX;
        for request in self.hosts[proxy].end_process() {
            self.answer_request(request, RESET_STATUS);
        }
        self.pending_attempts(|s| s.proxy == proxy).into_iter().for_each(|sent| self.abandon_attempt(sent));
    }

    /// Attempts that have not been abandoned and match a filter, newest first.
    pub(super) fn pending_attempts(&self, filter: impl Fn(&SentAttempt) -> bool) -> Vec<usize> {
        // Older attempts are past every deadline.
        let newest = (0..self.node_attempts.len()).rev().take(20_000);
        newest.filter(|i| !self.node_attempts[*i].abandoned && filter(&self.node_attempts[*i])).collect()
    }

    /// Starts a proxy's process with its current backend list.
    pub(super) fn start_proxy(&mut self, proxy: usize) -> Result<(), SimulationError> {
        let (host, now) = (start_host(self.scenario, self.policy, proxy)?, self.now);
        self.hosts[proxy] = host;
        self.proxies[proxy] = ProxyState { since: now, ..ProxyState::new() };
        let state = |n: usize| if self.ready[proxy][n] { READY } else { DEPARTED };
        let all = (0..self.nodes.len()).map(|n| self.backend_entry(n, state(n))).collect();
        self.hosts[proxy].update_backends(ListUpdate::Full, all);
        self.schedule_tick(proxy);
        Ok(())
    }

    pub(super) fn schedule_tick(&mut self, proxy: usize) {
        if let Some(next) = self.hosts[proxy].wake_at() {
            let next = next.0.max(self.now);
            if next < self.ticks[proxy] {
                self.ticks[proxy] = next;
                self.schedule(next, WorldEvent::ProxyTick(proxy));
            }
        }
    }

    pub(super) fn send_request(&mut self, index: usize, number: u32) {
        let planned = self.plan.requests[index].clone();
        let id = RequestId(if number == 0 { planned.id } else { retry_id(planned.id, number) });
        let hash = mix(planned.id, u64::from(number));
        let proxies = self.scenario.proxies;
        let up = |p: &usize| self.proxies[*p].up;
        let same_zone: Vec<usize> =
            (0..proxies).filter(|p| p % self.scenario.zones == planned.zone).filter(up).collect();
        let traffic = |p: usize| if up(&p) { self.traffic.get(p).copied().unwrap_or(0.0) } else { 0.0 };
        let total: f64 = (0..proxies).map(traffic).sum();
        let proxy = if total > 0.0 {
            let mut point = (hash >> 11) as f64 / (1u64 << 53) as f64 * total;
            let selected = (0..proxies).position(|p| {
                point -= traffic(p);
                point < 0.0
            });
            selected.unwrap_or(0)
        } else if same_zone.is_empty() {
            let running: Vec<usize> = (0..proxies).filter(up).collect();
            if running.is_empty() {
                self.client_attempts.insert(id, (index, number));
                return self.answer_request(id, RESET_STATUS);
            }
            running[(hash % running.len() as u64) as usize]
        } else {
            same_zone[(hash % same_zone.len() as u64) as usize]
        };
        self.client_attempts.insert(id, (index, number));
        if self.policy == Policy::Relay {
            let nodes = self.nodes.len();
            for _ in 0..nodes {
                self.next_relay_node = (self.next_relay_node + 1) % nodes;
                if self.ready[proxy][self.next_relay_node] {
                    let sent = self.send_attempt(proxy, id, AttemptNo(0), self.next_relay_node);
                    let wait = (planned.patience_us as f64 * RELAY_TIMEOUT_FRACTION) as u64;
                    return self.schedule(self.now + wait, WorldEvent::RelayTimeout(sent));
                }
            }
            return self.answer_request(id, 502);
        }
        let arrival = Arrival {
            request: id,
            class: ClassId(planned.class),
            tenant: None,
            remaining: Micros(planned.patience_us),
            work_hint: None,
            repeat: number > 0 && self.scenario.clients.label_retries,
            retried_early: false,
            from_other_region: false,
        };
        self.proxies[proxy].arrivals += 1;
        self.hosts[proxy].add_request(Time(self.now), arrival);
        self.schedule_tick(proxy);
    }

    pub(super) fn send_attempt(
        &mut self, proxy: usize, request: RequestId, attempt_number: AttemptNo, node: usize,
    ) -> usize {
        let (index, _) = self.client_attempts[&request];
        let (work_us, wait_us) = (self.plan.requests[index].work_us, self.plan.requests[index].wait_us);
        let sent = self.node_attempts.len();
        let (boots, abandoned, done) = (self.nodes[node].boots, false, false);
        self.node_attempts.push(SentAttempt {
            proxy,
            request,
            attempt_number,
            node,
            boots,
            work_us,
            wait_us,
            abandoned,
            done,
        });
        self.by_attempt.insert((proxy, request, attempt_number), sent);
        self.schedule(self.now + ONE_WAY_DELAY_US, WorldEvent::ArriveAtNode(sent));
        sent
    }

    pub(super) fn execute_actions(&mut self, proxy: usize, actions: Vec<HostAction>) {
        for action in actions {
            match action {
                HostAction::Send { request, attempt, backend } => {
                    let node = (0..self.nodes.len()).find(|n| BackendId(mix(7, *n as u64)) == backend);
                    if let Some(node) = node {
                        self.send_attempt(proxy, request, attempt, node);
                    }
                }
                HostAction::Cancel { request, attempt } => {
                    if let Some(&sent) = self.by_attempt.get(&(proxy, request, attempt)) {
                        self.abandon_attempt(sent);
                    }
                }
                HostAction::Answer { request, status } => self.answer_request(request, status),
            }
        }
    }

    /// Marks an attempt as abandoned by its proxy: it is removed if queued at its node, and continues if it is running.
    pub(super) fn abandon_attempt(&mut self, sent: usize) {
        let s = &mut self.node_attempts[sent];
        s.abandoned = true;
        let n = &mut self.nodes[s.node];
        if !s.done && n.boots == s.boots {
            if let Some(machine) = &mut n.machine {
                if machine.drop_waiting(sent as u64) {
                    s.done = true;
                    n.in_flight -= 1;
                }
            }
        }
    }

    pub(super) fn handle_outcome(&mut self, sent: usize, outcome_code: u8) {
        let s = &mut self.node_attempts[sent];
        if std::mem::replace(&mut s.abandoned, true) {
            return;
        }
        let (proxy, request, attempt_number) = (s.proxy, s.request, s.attempt_number);
        if self.policy == Policy::Relay {
            return self.answer_request(request, if outcome_code == OK { 200 } else { 502 });
        }
        let outcome =
            [Outcome::Ok, Outcome::Full, Outcome::Reset, Outcome::ConnectFailed][outcome_code as usize];
        let mut actions = Vec::new();
        if !self.proxies[proxy].up {
            return;
        }
        self.hosts[proxy].finish_attempt(Time(self.now), request, attempt_number, outcome, &mut actions);
        self.execute_actions(proxy, actions);
        self.schedule_tick(proxy);
    }

    pub(super) fn time_out_relay(&mut self, sent: usize) {
        if !self.node_attempts[sent].abandoned {
            self.abandon_attempt(sent);
            self.answer_request(self.node_attempts[sent].request, 502);
        }
    }
}
