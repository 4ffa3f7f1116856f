//! Spreads the retries of refused clients over the coming seconds, each up to the rate that the fleet sustains. Delays are
//! whole seconds, since `Retry-After` has no decimals (RFC 9110, section 10.2.3).

use gaugesaddle_balancer::Time;
use std::collections::VecDeque;

/// Maximum length of a schedule in seconds; longer delays are clamped to it.
pub(crate) const MAX_SCHEDULE_S: usize = 600;
/// Random draws for a free second, before the least loaded one is searched for.
const MAX_DRAWS: usize = 4;

/// The retries assigned to the coming seconds.
#[derive(Clone, Debug)]
pub struct RetrySchedule {
    /// Second of the first entry of `assigned`.
    first: u64,
    assigned: VecDeque<u32>,
    max_delay_s: u64,
    seed: u64,
}

impl RetrySchedule {
    /// An empty schedule. `max_delay_s` is the maximum delay in whole seconds, at least one.
    pub fn new(max_delay_s: u64, seed: u64) -> RetrySchedule {
        RetrySchedule {
            first: 0,
            assigned: VecDeque::new(),
            max_delay_s: max_delay_s.clamp(1, MAX_SCHEDULE_S as u64),
            seed: seed | 1,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        // xorshift64, since the numbers only have to be spread.
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) % below.max(1)
    }

    /// Retries assigned to the second `ahead` seconds from now.
    pub fn assigned(&self, now: Time, ahead: u64) -> u32 {
        let second = now.0 / 1_000_000 + ahead;
        second.checked_sub(self.first).and_then(|i| self.assigned.get(i as usize)).copied().unwrap_or(0)
    }

    /// Assigns a second to the retry of a client that is refused now, where `per_s` retries per second can be served.
    /// Returns the delay in seconds, from 1 to the maximum. The second is drawn from a window whose width follows the
    /// number of assigned retries; if the draws find no free second, the least loaded one is taken.
    pub fn assign(&mut self, now: Time, per_s: f64) -> u64 {
        let second = now.0 / 1_000_000;
        if second > self.first {
            let elapsed = (second - self.first).min(self.assigned.len() as u64) as usize;
            self.assigned.drain(..elapsed);
            self.first = second;
        }
        self.assigned.resize(self.max_delay_s as usize + 1, 0);
        let capacity = if per_s.is_finite() { per_s.clamp(1.0, 1e6) as u32 } else { 1 };
        let pending: u64 = self.assigned.iter().skip(1).map(|n| u64::from(*n)).sum();
        // Twice as wide as the assigned retries fill, so that half of the draws find a free second at once.
        let window = (2 * (pending + 1)).div_ceil(u64::from(capacity)).clamp(1, self.max_delay_s);
        let mut ahead = None;
        for _ in 0..MAX_DRAWS {
            let drawn = 1 + self.draw(window);
            if self.assigned[drawn as usize] < capacity {
                ahead = Some(drawn);
                break;
            }
        }
        let ahead = ahead.unwrap_or_else(|| {
            // The search starts at a random second, so that equally loaded ones are taken evenly.
            let (start, max_delay_s) = (self.draw(self.max_delay_s), self.max_delay_s);
            let order = (0..max_delay_s).map(|i| 1 + (start + i) % max_delay_s);
            order.min_by_key(|s| self.assigned[*s as usize]).unwrap_or(1)
        });
        self.assigned[ahead as usize] = self.assigned[ahead as usize].saturating_add(1);
        ahead
    }
}
