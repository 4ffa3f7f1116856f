//! A cold backend under the total work that all proxies send. Each proxy is a module of its own without
//! knowledge of the others; the total is compared with what the settings allow, with 2 * sqrt(N) + 2
//! attributed to chance.

mod common;
use common::{backend, class, Host};
use gaugesaddle_balancer::*;

/// What a warm backend serves a second, one request after another.
const SERVES: f64 = 40.0;
const SERVICE: Micros = Micros(25_000);
const STEP: u64 = 4_000;

/// A fleet of proxies in front of as many backends; one comes back cold.
struct Fleet {
    hosts: Vec<Host>,
    /// Arrivals a second of each.
    rates: Vec<f64>,
    due: Vec<f64>,
    list: Vec<Backend>,
    /// When something was sent to the cold one, by proxies that have ended.
    sent: Vec<Time>,
}

impl Fleet {
    /// The busiest sixth has five times what the others have.
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
        let whole: f64 = parts.iter().sum();
        let rates: Vec<f64> = parts.iter().map(|p| p / whole * load * SERVES * f64::from(backends)).collect();
        let hosts = (0..proxies).map(|i| {
            let mut host = Host::new(cfg(i), u64::from(i) + 1);
            host.members(ListUpdate::Full, list.clone());
            host
        });
        let due = rates.iter().enumerate().map(|(i, r)| (i as f64 * 0.618).fract() / r).collect();
        Fleet { hosts: hosts.collect(), due, rates, list, sent: Vec::new() }
    }

    /// So long at that many times the usual rate.
    fn run(&mut self, seconds: f64, factor: f64) {
        for _ in 0..(seconds * 1e6) as u64 / STEP {
            for (i, host) in self.hosts.iter_mut().enumerate() {
                self.due[i] -= STEP as f64 / 1e6;
                while self.due[i] <= 0.0 {
                    self.due[i] += 1.0 / (self.rates[i] * factor);
                    host.arrive(0, 900_000);
                }
                host.advance(STEP);
                let now = host.now;
                let over =
                    |host: &Host, id: RequestId, no: usize| host.requests[&id].tries[no].at + SERVICE <= now;
                for (id, no) in host.out() {
                    if over(host, id, no) {
                        host.end(id, no, Outcome::Ok);
                    }
                }
            }
        }
    }

    fn now(&self) -> Time {
        self.hosts[0].now
    }

    /// Backend 0 is there anew, cold, and half of the others leave: what they served looks for a place.
    fn restart_backend(&mut self) {
        let now = self.now();
        let leaving = 1 + self.list.len() / 2;
        self.list[0].booted = Some(now);
        self.list[1..leaving].iter_mut().for_each(|b| b.state = BackendState::Departed);
        let changes = self.list[..leaving].to_vec();
        self.hosts.iter_mut().for_each(|h| h.members(ListUpdate::Changes, changes.clone()));
    }

    /// Every third proxy starts again, with the list and nothing else.
    fn restart_proxies(&mut self) {
        let (now, list) = (self.now(), self.list.clone());
        for (i, host) in self.hosts.iter_mut().enumerate().filter(|(i, _)| i % 3 == 0) {
            let mut anew = Host::new(host.cfg.clone(), 1_000 + i as u64);
            anew.now = now;
            anew.members(ListUpdate::Full, list.clone());
            let before = std::mem::replace(host, anew);
            self.sent.extend(to_the_cold_one(&before, &list));
        }
    }

    /// The most that it got in any window beyond what it is allowed then, and that allowance with its chance.
    fn worst(mut self) -> (f64, f64) {
        self.sent.extend(self.hosts.iter().flat_map(|h| to_the_cold_one(h, &self.list)));
        self.sent.sort();
        let booted = self.list[0].booted.expect("a cold one");
        let cfg = &self.hosts[0].cfg;
        let allowed = |at: Time| {
            let warm = cfg.initial_capacity
                + (1.0 - cfg.initial_capacity) * ((at - booted).secs() / cfg.slow_start.secs()).min(1.0);
            cfg.fall_multiple * warm * SERVES * cfg.fall_window.secs()
        };
        let windows = self.sent.iter().enumerate().map(|(i, at)| {
            let since = self.sent[..=i].iter().rev().take_while(|t| *at - **t < cfg.fall_window).count();
            let n = allowed(*at);
            (since as f64, n + 2.0 * n.sqrt() + 2.0)
        });
        windows.max_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1))).expect("some were sent")
    }
}

/// When that proxy sent something to the cold one since it is there.
fn to_the_cold_one(host: &Host, list: &[Backend]) -> Vec<Time> {
    let tries = host.requests.values().flat_map(|r| &r.tries);
    let cold = tries.filter(|t| t.backend == list[0].id && Some(t.at) >= list[0].booted);
    cold.map(|t| t.at).collect()
}

/// One, five, thirty and three hundred proxies, uneven traffic, a burst on the ramp, and a third of the
/// proxies that start in the middle of it and know nothing of what was sent before.
#[test]
fn total_work_stays_within_cold_backend_budget() {
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
            let (sent, allowed) = fleet.worst();
            println!("{proxies} proxies, restarts {restarts}: {sent} of {allowed:.0}");
            assert!(
                sent <= allowed,
                "{proxies} proxies, restarts {restarts}: {sent} of {allowed:.0} in a window"
            );
            assert!(sent >= 3.0, "{proxies} proxies, restarts {restarts}: {sent} sent, it is hardly used");
        }
    }
}
