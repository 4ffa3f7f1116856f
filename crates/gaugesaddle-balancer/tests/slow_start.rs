//! A backend in slow start under the total work that all proxies send. Each proxy has its own balancer and no state
//! in common with the others. The total is compared with the budget from the settings, with a tolerance of
//! 2 * sqrt(N) + 2 for random variation.

mod common;
use common::{backend, class, Host};
use gaugesaddle_balancer::*;

/// Requests per second that a backend with its full capacity serves, one after another.
const CAPACITY_PER_S: f64 = 40.0;
const WORK: Micros = Micros(25_000);
const STEP_US: u64 = 4_000;

/// A fleet of proxies and backends, of which one backend restarts.
struct Fleet {
    hosts: Vec<Host>,
    /// Arrivals per second at each proxy.
    rates: Vec<f64>,
    due: Vec<f64>,
    list: Vec<Backend>,
    /// Times of the attempts that proxies which have ended sent to the restarted backend.
    sent: Vec<Time>,
}

impl Fleet {
    /// Every sixth proxy has five times the traffic of the others.
    fn new(proxies: u32, backends: u32, load: f64) -> Fleet {
        let cfg = |position| Config {
            proxies,
            position,
            initial_capacity: 0.1,
            fall_multiple: 1.5,
            slow_start: Micros(15_000_000),
            fall_window: Micros(2_000_000),
            classes: vec![class(Effect::Free)],
            ..Config::example()
        };
        let list: Vec<Backend> = (0..backends).map(|i| backend(i, 0, 0)).collect();
        let parts: Vec<f64> = (0..proxies).map(|i| if i % 6 == 5 { 5.0 } else { 1.0 }).collect();
        let total: f64 = parts.iter().sum();
        let rates: Vec<f64> =
            parts.iter().map(|p| p / total * load * CAPACITY_PER_S * f64::from(backends)).collect();
        let hosts = (0..proxies).map(|i| {
            let mut host = Host::new(cfg(i), u64::from(i) + 1);
            host.members(ListUpdate::Full, list.clone());
            host
        });
        let due = rates.iter().enumerate().map(|(i, r)| (i as f64 * 0.618).fract() / r).collect();
        Fleet { hosts: hosts.collect(), due, rates, list, sent: Vec::new() }
    }

    /// Runs the fleet at a multiple of the usual rate.
    fn run(&mut self, seconds: f64, factor: f64) {
        for _ in 0..(seconds * 1e6) as u64 / STEP_US {
            for (i, host) in self.hosts.iter_mut().enumerate() {
                self.due[i] -= STEP_US as f64 / 1e6;
                while self.due[i] <= 0.0 {
                    self.due[i] += 1.0 / (self.rates[i] * factor);
                    host.arrive(0, 900_000);
                }
                host.advance(STEP_US);
                let now = host.now;
                let is_served =
                    |host: &Host, id: RequestId, no: usize| host.requests[&id].attempts[no].at + WORK <= now;
                for (id, no) in host.in_flight() {
                    if is_served(host, id, no) {
                        host.end(id, no, Outcome::Ok);
                    }
                }
            }
        }
    }

    fn now(&self) -> Time {
        self.hosts[0].now
    }

    /// Restarts backend 0 and removes half of the others, whose traffic goes to the rest.
    fn restart_backend(&mut self) {
        let now = self.now();
        let leaving = 1 + self.list.len() / 2;
        self.list[0].booted = Some(now);
        self.list[1..leaving].iter_mut().for_each(|b| b.state = BackendState::Departed);
        let changes = self.list[..leaving].to_vec();
        self.hosts.iter_mut().for_each(|h| h.members(ListUpdate::Changes, changes.clone()));
    }

    /// Restarts every third proxy, with the list of backends and no other state.
    fn restart_proxies(&mut self) {
        let (now, list) = (self.now(), self.list.clone());
        for (i, host) in self.hosts.iter_mut().enumerate().filter(|(i, _)| i % 3 == 0) {
            let mut restarted = Host::new(host.cfg.clone(), 1_000 + i as u64);
            restarted.now = now;
            restarted.members(ListUpdate::Full, list.clone());
            let previous = std::mem::replace(host, restarted);
            self.sent.extend(sent_to_restarted_backend(&previous, &list));
        }
    }

    /// The fall window with the most attempts relative to the budget: attempts, and the budget with its tolerance.
    fn worst_window(mut self) -> (f64, f64) {
        self.sent.extend(self.hosts.iter().flat_map(|h| sent_to_restarted_backend(h, &self.list)));
        self.sent.sort();
        let booted = self.list[0].booted.expect("backend 0 has restarted");
        let cfg = &self.hosts[0].cfg;
        let allowed = |at: Time| {
            let fraction = cfg.initial_capacity
                + (1.0 - cfg.initial_capacity) * ((at - booted).secs() / cfg.slow_start.secs()).min(1.0);
            cfg.fall_multiple * fraction * CAPACITY_PER_S * cfg.fall_window.secs()
        };
        let windows = self.sent.iter().enumerate().map(|(i, at)| {
            let count = self.sent[..=i].iter().rev().take_while(|t| *at - **t < cfg.fall_window).count();
            let n = allowed(*at);
            (count as f64, n + 2.0 * n.sqrt() + 2.0)
        });
        windows
            .max_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)))
            .expect("attempts were sent to the restarted backend")
    }
}

/// Times of the attempts that a proxy sent to backend 0 since its restart.
fn sent_to_restarted_backend(host: &Host, list: &[Backend]) -> Vec<Time> {
    let attempts = host.requests.values().flat_map(|r| &r.attempts);
    let attempts = attempts.filter(|t| t.backend == list[0].id && Some(t.at) >= list[0].booted);
    attempts.map(|t| t.at).collect()
}

/// One, five, thirty and three hundred proxies with uneven traffic and a burst during slow start; a third of the
/// proxies restarts in the middle of it, without a record of the work sent before.
#[test]
fn total_work_of_all_proxies_stays_within_slow_start_budget() {
    for (proxies, backends) in [(1, 8), (5, 8), (30, 12), (300, 40)] {
        for restarts in [false, true].into_iter().skip(usize::from(proxies == 300)) {
            let mut fleet = Fleet::new(proxies, backends, 0.7);
            fleet.run(3.0, 1.0);
            fleet.restart_backend();
            fleet.run(0.6, 1.0);
            fleet.run(1.0, 2.0);
            if restarts {
                fleet.restart_proxies();
            }
            fleet.run(0.5, 2.0);
            fleet.run(2.0, 1.0);
            let (sent, allowed) = fleet.worst_window();
            println!("{proxies} proxies, restarts {restarts}: {sent} of {allowed:.0}");
            assert!(
                sent <= allowed,
                "{proxies} proxies, restarts {restarts}: {sent} of {allowed:.0} in a window"
            );
            assert!(
                sent >= 3.0,
                "{proxies} proxies, restarts {restarts}: {sent} sent, the backend is hardly used"
            );
        }
    }
}
