//! The budget of requests that may be sent to a region or received from one: a rate, a burst and a number in flight. It
//! applies to all proxies together and holds in every window of one second, not only on average.
//!
//! A token bucket of rate r and burst b admits up to r + b requests in one second; a sliding-window log admits r. The
//! memory of the log is proportional to r, which is small for failover traffic. Proxies do not coordinate each send: each
//! has its allocation, and the allocations add up to the budget. If the rate is below the number of proxies, each proxy may
//! send one request in each of its slots of the shared clock.

use crate::allocation::{EvenAllocation, WeightedAllocation};
use crate::rate_limit::{RateLimit, SlidingWindow, SECOND};
use gaugesaddle_balancer::{Micros, Time};
use thiserror::Error;

/// Window over which the burst limit is enforced.
const BURST_WINDOW: Micros = Micros(100_000);

/// The exhausted limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BudgetExceeded {
    /// The requests per second of the region or of the class, or the burst.
    #[error("request budget: the rate or burst limit is reached")]
    Rate,
    /// The requests in flight.
    #[error("request budget: the in-flight limit is reached")]
    InFlight,
}

/// The limits of one class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLimits {
    /// Requests per second of all proxies together, if the class has a lower limit than the region.
    pub per_s: Option<u32>,
    /// Priority weight of the class's requests.
    pub priority_weight: f64,
}

/// The limits of a budget, for all proxies together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BudgetLimits {
    /// Maximum number of requests in any window of one second.
    pub per_s: u32,
    /// Maximum number of requests in any window of a tenth of a second.
    pub burst: u32,
    /// Maximum number of requests in flight.
    pub in_flight: u32,
    /// Limits of each class.
    pub classes: Vec<ClassLimits>,
}

/// Usage of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Current usage.
    pub used: u32,
    /// This proxy's limit.
    pub limit: u32,
}

#[derive(Clone, Debug)]
struct ClassRate {
    per_s: u32,
    limit: RateLimit,
}

#[derive(Clone, Debug)]
struct ClassBudget {
    rate: Option<ClassRate>,
    priority_weight: f64,
    /// Sends of the last second; this window has no limit of its own.
    sent: SlidingWindow,
    expected_per_s: f64,
}

/// Number of sends within one second of the clock.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCount {
    second: u64,
    sent: u32,
}

/// One proxy's allocation of a region's budget.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: RateLimit,
    burst: SlidingWindow,
    classes: Vec<ClassBudget>,
    in_flight: Usage,
    /// Requests per second of all proxies together, like the other totals; the limits of classes are in `classes`.
    total_per_s: u32,
    total_burst: u32,
    total_in_flight: u32,
    /// Latest observed time; an earlier `now` is replaced by it.
    now: Time,
    /// Sends in the latest second of the clock, reported to operators.
    current_second: SecondCount,
}

impl Budget {
    /// The budget of one proxy: its even allocation of `limits`.
    pub fn new(limits: &BudgetLimits, allocation: EvenAllocation) -> Budget {
        let class = |limits: &ClassLimits| ClassBudget {
            rate: limits.per_s.map(|per_s| ClassRate { per_s, limit: RateLimit::new(per_s, allocation) }),
            priority_weight: limits.priority_weight,
            sent: SlidingWindow::new(SECOND, u32::MAX),
            expected_per_s: 0.0,
        };
        Budget {
            rate: RateLimit::new(limits.per_s, allocation),
            burst: SlidingWindow::new(BURST_WINDOW, allocation.of_total(limits.burst).max(1)),
            classes: limits.classes.iter().map(class).collect(),
            in_flight: Usage { used: 0, limit: allocation.of_total(limits.in_flight) },
            total_per_s: limits.per_s,
            total_burst: limits.burst,
            total_in_flight: limits.in_flight,
            now: Time(0),
            current_second: SecondCount::default(),
        }
    }

    /// Applies another allocation of the same limits, by demand among the live proxies. The other side enforces the total.
    /// Sends of the last second still count, except for a rate that changes between sliding window and time slots.
    pub fn reallocate(&mut self, allocation: WeightedAllocation) {
        self.rate.reallocate(self.total_per_s, allocation);
        self.burst.set_limit(allocation.of_total(self.total_burst).max(1));
        self.in_flight.limit = allocation.of_total(self.total_in_flight).max(1);
        for rate in self.classes.iter_mut().filter_map(|class| class.rate.as_mut()) {
            rate.limit.reallocate(rate.per_s, allocation);
        }
    }

    /// Sets this proxy's rate, and its burst in proportion; lower limits of classes remain. Has no effect if
    /// [`uses_sliding_window`](Budget::uses_sliding_window) is false.
    pub fn set_rate(&mut self, per_s: u32) {
        if let RateLimit::Window(window) = &mut self.rate {
            window.set_limit(per_s);
            let burst = u64::from(self.total_burst) * u64::from(per_s) / u64::from(self.total_per_s.max(1));
            self.burst.set_limit((burst as u32).max(1));
        }
    }

    /// Whether this proxy's rate is limited by a sliding window; otherwise the proxies send in assigned time slots.
    pub fn uses_sliding_window(&self) -> bool {
        matches!(self.rate, RateLimit::Window(_))
    }

    /// Sets the expected requests per second of each class; capacity for them is reserved from classes of a lower priority
    /// weight.
    pub fn set_expected_demand(&mut self, per_s: impl IntoIterator<Item = f64>) {
        for (class, per_s) in self.classes.iter_mut().zip(per_s) {
            class.expected_per_s = if per_s.is_finite() { per_s.max(0.0) } else { 0.0 };
        }
    }

    /// Number of requests of classes with a higher priority weight that are still expected within the current second.
    fn reserved_for_higher(&mut self, now: Time, class: usize) -> u32 {
        let priority_weight = self.classes[class].priority_weight;
        let mut reserved: u32 = 0;
        for higher in self.classes.iter_mut().filter(|other| other.priority_weight > priority_weight) {
            let expected = higher.expected_per_s.ceil() as u32;
            reserved = reserved.saturating_add(expected.saturating_sub(higher.sent.used(now)));
        }
        reserved
    }

    /// Number of further requests of the class that may be sent at `now`, while only `budget_fraction` (0 to 1) of the
    /// budget may be used.
    ///
    /// # Errors
    /// The exhausted limit; [`BudgetExceeded::Rate`] for a class that does not exist.
    pub fn available(
        &mut self, now: Time, class: usize, budget_fraction: f64,
    ) -> Result<u32, BudgetExceeded> {
        self.now = self.now.max(now);
        let now = self.now;
        if class >= self.classes.len() {
            return Err(BudgetExceeded::Rate);
        }
        let unusable = if budget_fraction > 0.0 {
            (f64::from(self.rate.limit_per_s()) * (1.0 - budget_fraction.clamp(0.0, 1.0))) as u32
        } else {
            u32::MAX
        };
        let withheld = self.reserved_for_higher(now, class).saturating_add(unusable);
        let class_rate = self.classes[class].rate.as_mut();
        let by_class = class_rate.map_or(u32::MAX, |rate| rate.limit.remaining(now));
        let by_region = self.rate.remaining(now).saturating_sub(withheld);
        let by_rate = by_region.min(by_class).min(self.burst.remaining(now));
        if by_rate == 0 {
            return Err(BudgetExceeded::Rate);
        }
        match self.in_flight.limit.saturating_sub(self.in_flight.used) {
            0 => Err(BudgetExceeded::InFlight),
            by_in_flight => Ok(by_rate.min(by_in_flight)),
        }
    }

    /// Acquires capacity for one request; the caller must call [`release`](Budget::release) once when it ends.
    ///
    /// # Errors
    /// As for [`available`](Budget::available); no capacity is acquired then.
    pub fn acquire(&mut self, now: Time, class: usize, budget_fraction: f64) -> Result<(), BudgetExceeded> {
        self.available(now, class, budget_fraction)?;
        let now = self.now;
        self.rate.record(now);
        self.burst.record(now);
        let class = &mut self.classes[class];
        if let Some(rate) = &mut class.rate {
            rate.limit.record(now);
        }
        class.sent.record(now);
        self.in_flight.used += 1;
        let second = now.0 / SECOND.0;
        if self.current_second.second != second {
            self.current_second = SecondCount { second, sent: 0 };
        }
        self.current_second.sent += 1;
        Ok(())
    }

    /// Releases the capacity of a request that has ended.
    pub fn release(&mut self) {
        self.in_flight.used = self.in_flight.used.saturating_sub(1);
    }

    /// Requests in flight, and their limit.
    pub fn in_flight(&self) -> Usage {
        self.in_flight
    }

    /// Requests sent in the second of the clock that contains `now`, and their limit.
    pub fn rate_usage(&self, now: Time) -> Usage {
        let SecondCount { second, sent } = self.current_second;
        let used = if second == now.0 / SECOND.0 { sent } else { 0 };
        Usage { used, limit: self.rate.limit_per_s() }
    }
}

#[cfg(test)]
mod tests;
