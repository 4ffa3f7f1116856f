//! The retry budget: the number of requests that may be retried at another backend.

use std::collections::VecDeque;

/// The limits on retries over all proxies.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Retries per window in excess of the ratio, over all proxies.
    pub slack: f64,
}

/// Fraction of the ratio that is used, since a proxy's window does not align with the one that the limit is checked in.
const RATIO_FRACTION: f64 = 0.75;
/// Fraction of the slack that is allocated to known proxies; the rest is reserved for proxies that are not known yet.
const SLACK_FRACTION: f64 = 0.6;
/// Number of slots that requests of a window are counted in.
const SLOTS: u64 = 10;

/// Requests counted in one slot of a window.
#[derive(Clone, Copy, Debug)]
struct SlotCount {
    /// Number of the slot since time zero.
    slot: u64,
    requests: u64,
}

/// The retry budget of one service at one proxy.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// The oldest slot first; at most the slots of a window and one more.
    requests: VecDeque<SlotCount>,
    /// When each retry of the window was taken, in milliseconds; the oldest first.
    retries_ms: VecDeque<u64>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget { settings, requests: VecDeque::new(), retries_ms: VecDeque::new() }
    }

    /// Records a client's request to the service at `now` (milliseconds).
    pub fn record_request(&mut self, now: u64) {
        let slot = now / self.slot_ms();
        match self.requests.back_mut() {
            Some(last) if last.slot == slot => last.requests += 1,
            _ => self.requests.push_back(SlotCount { slot, requests: 1 }),
        }
        self.drop_old(now);
    }

    /// Takes one retry where the budget permits, with `proxies` live proxies.
    pub fn take(&mut self, now: u64, proxies: usize) -> bool {
        self.drop_old(now);
        let requests: u64 = self.requests.iter().map(|slot| slot.requests).sum();
        let slack = (self.settings.slack * SLACK_FRACTION / proxies.max(1) as f64).floor();
        let limit = requests as f64 * self.settings.ratio * RATIO_FRACTION + slack;
        if (self.retries_ms.len() + 1) as f64 > limit {
            return false;
        }
        self.retries_ms.push_back(now);
        true
    }

    fn slot_ms(&self) -> u64 {
        (self.settings.window_ms / SLOTS).max(1)
    }

    /// Drops slots and retries older than the window.
    fn drop_old(&mut self, now: u64) {
        let (slot_ms, window_ms) = (self.slot_ms(), self.settings.window_ms);
        while self.requests.front().is_some_and(|oldest| (oldest.slot + 1) * slot_ms + window_ms <= now) {
            self.requests.pop_front();
        }
        while self.retries_ms.front().is_some_and(|at| at + window_ms <= now) {
            self.retries_ms.pop_front();
        }
    }
}
