//! Repeats: how many requests may be sent to a second backend.

use std::collections::VecDeque;

/// The bounds that all proxies keep together.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Length of the window in milliseconds.
    pub window: u64,
    /// Repeats in a window above that, over all proxies.
    pub slack: f64,
}

/// Part of the ratio that is used: proxies see their requests in other windows than the rule does.
const RATIO_PART: f64 = 0.75;
/// Part of the slack that is dealt out; the rest is for proxies that are not known yet.
const SLACK_PART: f64 = 0.6;
/// Counts a window is divided into.
const SLOTS: u64 = 10;

/// One service's repeats at one proxy.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    requests: VecDeque<(u64, u64)>,
    repeats: VecDeque<u64>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget { settings, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// A client's request for the service.
    pub fn record_request(&mut self, now: u64) {
        let slot = now / (self.settings.window / SLOTS).max(1);
        match self.requests.back_mut() {
            Some((last, count)) if *last == slot => *count += 1,
            _ => self.requests.push_back((slot, 1)),
        }
        self.forget(now);
    }

    /// Takes one repeat, if there is one left among so many proxies.
    pub fn take(&mut self, now: u64, proxies: usize) -> bool {
        self.forget(now);
        let requests: u64 = self.requests.iter().map(|(_, n)| n).sum();
        let slack = (self.settings.slack * SLACK_PART / proxies.max(1) as f64).floor();
        let most = requests as f64 * self.settings.ratio * RATIO_PART + slack;
        if (self.repeats.len() + 1) as f64 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: u64) {
        let slot = (self.settings.window / SLOTS).max(1);
        while self.requests.front().is_some_and(|(s, _)| (s + 1) * slot + self.settings.window <= now) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(|at| at + self.settings.window <= now) {
            self.repeats.pop_front();
        }
    }
}
