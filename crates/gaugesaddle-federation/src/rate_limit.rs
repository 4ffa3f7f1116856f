//! One proxy's allocation of a rate. All proxies together do not exceed the rate in any window of one second.

use crate::allocation::{EvenAllocation, WeightedAllocation};
use gaugesaddle_balancer::{Micros, Time};
use std::collections::VecDeque;

/// Length of the window over which rates are enforced.
pub(crate) const SECOND: Micros = Micros(1_000_000);

/// A sliding-window log: the times of the sends within the last window. Its length is bounded by the number of sends in one
/// window.
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

    /// Number of sends within the window that ends at `now`.
    pub(crate) fn used(&mut self, now: Time) -> u32 {
        self.drop_expired(now);
        self.sent_at.len() as u32
    }

    /// Number of further sends that the limit permits at `now`.
    pub(crate) fn remaining(&mut self, now: Time) -> u32 {
        let used = self.used(now);
        self.limit.saturating_sub(used)
    }

    pub(crate) fn record(&mut self, now: Time) {
        // Expired entries are dropped here as well, because `used` may never be called: the log of a class is read only for
        // classes of lower priority weights, and there may be none.
        self.drop_expired(now);
        self.sent_at.push_back(now);
    }

    fn drop_expired(&mut self, now: Time) {
        // The window is half-open: two sends that are exactly one window length apart are never in the same window.
        while self.sent_at.front().is_some_and(|sent_at| now - *sent_at >= self.length) {
            self.sent_at.pop_front();
        }
    }
}

/// Time division of a rate: the clock that all proxies share is divided into slots, which are assigned to the proxies in
/// turn.
#[derive(Clone, Debug)]
pub(crate) struct TimeSlots {
    slot_us: u64,
    /// Number of slots in a cycle; each proxy has one slot per cycle.
    cycle: u64,
    /// Index of this proxy's slot within the cycle.
    own_slot: u64,
    last_used: Option<u64>,
}

impl TimeSlots {
    fn new(per_s: u32, allocation: EvenAllocation) -> TimeSlots {
        // A window of one second overlaps up to one slot more than fits into it. With `per_s - 1` slots per second, no
        // window therefore contains more than `per_s` sends.
        let slots_per_s = u64::from(per_s.max(2) - 1);
        let mut slots =
            TimeSlots { slot_us: SECOND.0.div_ceil(slots_per_s), cycle: 1, own_slot: 0, last_used: None };
        slots.assign(per_s, allocation);
        slots
    }

    fn assign(&mut self, per_s: u32, allocation: EvenAllocation) {
        // A window overlaps at least two slots: for a rate of one send per second, every other slot remains unused.
        let stride = if per_s < 2 { 2 } else { 1 };
        let proxies = allocation.proxies.max(1);
        self.cycle = u64::from(proxies) * stride;
        self.own_slot = u64::from(allocation.position % proxies) * stride;
    }

    fn current(&self, now: Time) -> u64 {
        now.0 / self.slot_us
    }

    fn remaining(&self, now: Time) -> u32 {
        let slot = self.current(now);
        let is_own = slot % self.cycle == self.own_slot;
        u32::from(is_own && self.last_used != Some(slot))
    }

    fn record(&mut self, now: Time) {
        self.last_used = Some(self.current(now));
    }
}

/// One proxy's allocation of a rate.
#[derive(Clone, Debug)]
pub(crate) enum RateLimit {
    /// A limited number of sends in every window of one second.
    Window(SlidingWindow),
    /// One send in each of this proxy's slots; used if the rate is below the number of proxies.
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

    /// Applies another allocation of the rate `per_s`. Sends of the last second still count, unless the limit changes
    /// between sliding window and time slots.
    pub(crate) fn reallocate(&mut self, per_s: u32, allocation: WeightedAllocation) {
        let has_window = per_s >= allocation.even.proxies;
        match self {
            RateLimit::Window(window) if has_window => window.set_limit(allocation.of_total(per_s)),
            RateLimit::Slots(slots) if !has_window => slots.assign(per_s, allocation.even),
            _ => *self = RateLimit::new(per_s, allocation.even),
        }
    }

    /// Maximum number of sends of this proxy per second.
    pub(crate) fn limit_per_s(&self) -> u32 {
        match self {
            RateLimit::Window(window) => window.limit,
            RateLimit::Slots(_) => 1,
        }
    }
}

#[cfg(test)]
mod tests;
