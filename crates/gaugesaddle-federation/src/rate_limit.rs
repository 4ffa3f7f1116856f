//! One proxy's allocation of a rate that all proxies together exceed in no window of a second.

use crate::allocation::{EvenAllocation, WeightedAllocation};
use gaugesaddle_balancer::{Micros, Time};
use std::collections::VecDeque;

/// Window of all rates.
pub(crate) const SECOND: Micros = Micros(1_000_000);

/// A log of the sends of the last window, so at most as many as are made in one.
#[derive(Clone, Debug)]
pub(crate) struct SlidingWindow {
    length: Micros,
    limit: u32,
    sent_at: VecDeque<Time>,
}

impl SlidingWindow {
    pub(crate) fn new(length: Micros, limit: u32) -> SlidingWindow {
        SlidingWindow { length, limit, sent_at: VecDeque::new() }
    }

    pub(crate) fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Sends within the window that ends now.
    pub(crate) fn used(&mut self, now: Time) -> u32 {
        self.drop_expired(now);
        self.sent_at.len() as u32
    }

    /// Sends that the window still permits.
    pub(crate) fn remaining(&mut self, now: Time) -> u32 {
        let used = self.used(now);
        self.limit.saturating_sub(used)
    }

    pub(crate) fn record(&mut self, now: Time) {
        // Here too: the log of a class is looked up only by classes of lower priority weights, and there may be none.
        self.drop_expired(now);
        self.sent_at.push_back(now);
    }

    fn drop_expired(&mut self, now: Time) {
        // The window is open at its end: two sends a full length apart are never in one window.
        while self.sent_at.front().is_some_and(|sent_at| now - *sent_at >= self.length) {
            self.sent_at.pop_front();
        }
    }
}

/// Turns: slots of the common clock, one proxy after the other.
#[derive(Clone, Debug)]
pub(crate) struct TimeSlots {
    slot_us: u64,
    /// Slots after which it is this proxy's turn again.
    cycle: u64,
    /// This proxy's slot in each cycle.
    own: u64,
    last_used: Option<u64>,
}

impl TimeSlots {
    fn new(per_s: u32, allocation: EvenAllocation) -> TimeSlots {
        // A second overlaps one slot more than fit into it, so that with `per_s - 1` slots a second the rate holds in
        // every window.
        let slots_per_s = u64::from(per_s.max(2) - 1);
        let mut slots =
            TimeSlots { slot_us: SECOND.0.div_ceil(slots_per_s), cycle: 1, own: 0, last_used: None };
        slots.assign(per_s, allocation);
        slots
    }

    fn assign(&mut self, per_s: u32, allocation: EvenAllocation) {
        // A window overlaps two slots at least: for one send a second every other slot stays empty.
        let stride = if per_s < 2 { 2 } else { 1 };
        let proxies = allocation.proxies.max(1);
        self.cycle = u64::from(proxies) * stride;
        self.own = u64::from(allocation.position % proxies) * stride;
    }

    fn current(&self, now: Time) -> u64 {
        now.0 / self.slot_us
    }

    fn remaining(&self, now: Time) -> u32 {
        let slot = self.current(now);
        let is_own = slot % self.cycle == self.own;
        u32::from(is_own && self.last_used != Some(slot))
    }

    fn record(&mut self, now: Time) {
        self.last_used = Some(self.current(now));
    }
}

/// One proxy's allocation of a rate.
#[derive(Clone, Debug)]
pub(crate) enum RateLimit {
    /// So many sends in every window of a second.
    Window(SlidingWindow),
    /// One send in each of its slots, where the rate is below the number of proxies.
    Slots(TimeSlots),
}

impl RateLimit {
    /// `per_s` is the rate of all proxies together.
    pub(crate) fn new(per_s: u32, allocation: EvenAllocation) -> RateLimit {
        if per_s >= allocation.proxies.max(1) {
            RateLimit::Window(SlidingWindow::new(SECOND, allocation.of_total(per_s)))
        } else {
            RateLimit::Slots(TimeSlots::new(per_s, allocation))
        }
    }

    pub(crate) fn remaining(&mut self, now: Time) -> u32 {
        match self {
            RateLimit::Window(window) => window.remaining(now),
            RateLimit::Slots(slots) => slots.remaining(now),
        }
    }

    pub(crate) fn record(&mut self, now: Time) {
        match self {
            RateLimit::Window(window) => window.record(now),
            RateLimit::Slots(slots) => slots.record(now),
        }
    }

    /// Takes another allocation of the rate `per_s`. What was sent in the last second still counts.
    pub(crate) fn reallocate(&mut self, per_s: u32, allocation: WeightedAllocation) {
        let has_window = per_s >= allocation.even.proxies;
        match self {
            RateLimit::Window(window) if has_window => window.set_limit(allocation.of_total(per_s)),
            RateLimit::Slots(slots) if !has_window => slots.assign(per_s, allocation.even),
            _ => *self = RateLimit::new(per_s, allocation.even),
        }
    }

    /// Sends that this proxy may make in a second.
    pub(crate) fn limit_per_s(&self) -> u32 {
        match self {
            RateLimit::Window(window) => window.limit,
            RateLimit::Slots(_) => 1,
        }
    }
}

#[cfg(test)]
mod tests;
