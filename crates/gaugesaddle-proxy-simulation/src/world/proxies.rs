//! The proxies of the simulated fleet: requests of clients, attempts, and what each proxy knows of its tier.

use super::*;
use crate::host::HostAction;

impl World<'_> {
    /// A proxy observes its tier: of each other one it has the newest report or the one before, and it learns late of starts
    /// and ends.
    pub(super) fn observe_tier(&mut self, proxy: usize) {
        self.at(self.now + OBSERVATION_INTERVAL_US, WorldEvent::Tier(proxy));
        if !self.proxies[proxy].up {
            return;
        }
        let own = &mut self.proxies[proxy];
        let need = own.demand.record(std::mem::take(&mut own.arrivals), OBSERVATION_INTERVAL_US as f64 / 1e6);
        own.reported = [need, own.reported[0]];
        let (now, since) = (self.now, own.since.max(START));
        let known = (0..self.proxies.len()).filter(|p| *p == proxy || self.proxies[*p].is_known_alive(now));
        let living: Vec<u16> = known.map(|p| p as u16).collect();
        let views = &mut self.views;
        let needs: Vec<Option<f64>> = living
            .iter()
            .map(|p| self.proxies[usize::from(*p)].reported[usize::from(views.bernoulli(0.5))])
            .collect();
        let position = living.iter().position(|p| usize::from(*p) == proxy).unwrap_or(0);
        // It learns of later starts and ends late, but it knows all others from the beginning.
        let awake = Micros(now - since);
        let told = self.proxies.len();
        let seen = TierView {
            configured: told,
            uptime: awake,
            unchanged_for: awake,
            own: position,
            indices: &living,
            demands: &needs,
        };
        let (dealer, host) = (&mut self.proxies[proxy].allocator, &mut self.hosts[proxy]);
        if let Allocation::ByDemand(tier) = dealer.observe(Time(now), &seen, host.balancer.listed()) {
            host.report([Event::Tier(tier), Event::Assignments(dealer.uses().to_vec())]);
            self.plan_tick(proxy);
        }
    }

    /// A proxy's process ends, and its connections with it.
    pub(super) fn kill(&mut self, proxy: usize) {
        if !std::mem::replace(&mut self.proxies[proxy].up, false) {
            return;
        }
        self.proxies[proxy].since = self.now;
        self.ticks[proxy] = u64::MAX;
        for request in self.hosts[proxy].end() {
            self.answer(request, RESET_STATUS);
        }
        self.awaited(|s| s.proxy == proxy).into_iter().for_each(|sent| self.abandon(sent));
    }

    /// Attempts that somebody waits for, the newest first.
    pub(super) fn awaited(&self, of: impl Fn(&SentAttempt) -> bool) -> Vec<usize> {
        // Older ones are past every deadline.
        let newest = (0..self.sent.len()).rev().take(20_000);
        newest.filter(|i| !self.sent[*i].abandoned && of(&self.sent[*i])).collect()
    }

    /// A proxy's process starts, with the present list.
    pub(super) fn start(&mut self, proxy: usize) -> Result<(), SimulationError> {
        let (host, now) = (host(self.s, self.policy, proxy)?, self.now);
        self.hosts[proxy] = host;
        self.proxies[proxy] = ProxyState { since: now, ..ProxyState::new() };
        let standing = |n: usize| if self.ready[proxy][n] { READY } else { DEPARTED };
        let all = (0..self.nodes.len()).map(|n| self.entry(n, standing(n))).collect();
        self.hosts[proxy].list(ListUpdate::Full, all);
        self.plan_tick(proxy);
        Ok(())
    }

    pub(super) fn plan_tick(&mut self, proxy: usize) {
        if let Some(next) = self.hosts[proxy].wake_at() {
            let next = next.0.max(self.now);
            if next < self.ticks[proxy] {
                self.ticks[proxy] = next;
                self.at(next, WorldEvent::Turn(proxy));
            }
        }
    }

    pub(super) fn send_request(&mut self, index: usize, number: u32) {
        let ask = self.plan.requests[index].clone();
        let id = RequestId(if number == 0 { ask.id } else { retry_id(ask.id, number) });
        let drawn = mix(ask.id, u64::from(number));
        let proxies = self.s.proxies;
        let up = |p: &usize| self.proxies[*p].up;
        let near: Vec<usize> = (0..proxies).filter(|p| p % self.s.zones == ask.zone).filter(up).collect();
        let traffic = |p: usize| if up(&p) { self.traffic.get(p).copied().unwrap_or(0.0) } else { 0.0 };
        let all: f64 = (0..proxies).map(traffic).sum();
        let proxy = if all > 0.0 {
            let mut point = (drawn >> 11) as f64 / (1u64 << 53) as f64 * all;
            let hit = (0..proxies).position(|p| {
                point -= traffic(p);
                point < 0.0
            });
            hit.unwrap_or(0)
        } else if near.is_empty() {
            let left: Vec<usize> = (0..proxies).filter(up).collect();
            if left.is_empty() {
                self.attempts.insert(id, (index, number));
                return self.answer(id, RESET_STATUS);
            }
            left[(drawn % left.len() as u64) as usize]
        } else {
            near[(drawn % near.len() as u64) as usize]
        };
        self.attempts.insert(id, (index, number));
        if self.policy == Policy::Relay {
            let nodes = self.nodes.len();
            for _ in 0..nodes {
                self.next_relay_node = (self.next_relay_node + 1) % nodes;
                if self.ready[proxy][self.next_relay_node] {
                    let sent = self.send(proxy, id, AttemptNo(0), self.next_relay_node);
                    let wait = (ask.patience_us as f64 * RELAY_TIMEOUT_FRACTION) as u64;
                    return self.at(self.now + wait, WorldEvent::Expire(sent));
                }
            }
            return self.answer(id, 502);
        }
        let arrival = Arrival {
            request: id,
            class: ClassId(ask.class),
            tenant: None,
            remaining: Micros(ask.patience_us),
            work_hint: None,
            repeat: number > 0 && self.s.clients.label_retries,
            retried_early: false,
            from_other_region: false,
        };
        self.proxies[proxy].arrivals += 1;
        self.hosts[proxy].add_request(Time(self.now), arrival);
        self.plan_tick(proxy);
    }

    pub(super) fn send(&mut self, proxy: usize, request: RequestId, no: AttemptNo, node: usize) -> usize {
        let (index, _) = self.attempts[&request];
        let (work_us, wait_us) = (self.plan.requests[index].work_us, self.plan.requests[index].wait_us);
        let sent = self.sent.len();
        let (boots, dropped, done) = (self.nodes[node].boots, false, false);
        self.sent.push(SentAttempt {
            proxy,
            request,
            no,
            node,
            boots,
            work_us,
            wait_us,
            abandoned: dropped,
            done,
        });
        self.by_attempt.insert((proxy, request, no), sent);
        self.at(self.now + ONE_WAY_DELAY_US, WorldEvent::Reach(sent));
        sent
    }

    pub(super) fn carry_out(&mut self, proxy: usize, asks: Vec<HostAction>) {
        for ask in asks {
            match ask {
                HostAction::Send { request, attempt, backend } => {
                    let node = (0..self.nodes.len()).find(|n| BackendId(mix(7, *n as u64)) == backend);
                    if let Some(node) = node {
                        self.send(proxy, request, attempt, node);
                    }
                }
                HostAction::Cancel { request, attempt } => {
                    if let Some(&sent) = self.by_attempt.get(&(proxy, request, attempt)) {
                        self.abandon(sent);
                    }
                }
                HostAction::Answer { request, status } => self.answer(request, status),
            }
        }
    }

    /// Nobody waits for an attempt any more: if it is queued at its node it is dropped, if it runs it continues.
    pub(super) fn abandon(&mut self, sent: usize) {
        let s = &mut self.sent[sent];
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

    pub(super) fn outcome(&mut self, sent: usize, how: u8) {
        let s = &mut self.sent[sent];
        if std::mem::replace(&mut s.abandoned, true) {
            return;
        }
        let (proxy, request, no) = (s.proxy, s.request, s.no);
        if self.policy == Policy::Relay {
            return self.answer(request, if how == OK { 200 } else { 502 });
        }
        let outcome = [Outcome::Ok, Outcome::Full, Outcome::Reset, Outcome::ConnectFailed][how as usize];
        let mut asks = Vec::new();
        if !self.proxies[proxy].up {
            return;
        }
        self.hosts[proxy].finish_attempt(Time(self.now), request, no, outcome, &mut asks);
        self.carry_out(proxy, asks);
        self.plan_tick(proxy);
    }

    pub(super) fn expire(&mut self, sent: usize) {
        if !self.sent[sent].abandoned {
            self.abandon(sent);
            self.answer(self.sent[sent].request, 502);
        }
    }
}
