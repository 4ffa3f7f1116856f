//! When refused clients may retry: the seconds ahead, each assigned up to the rate that the fleet sustains. Whole seconds, since
//! `Retry-After` has no decimals (RFC 9110, section 10.2.3); the clients are spread by the second that each is given.

use gaugesaddle_balancer::Time;
use std::collections::VecDeque;

/// Seconds of a schedule at most; longer delays are clamped to it.
pub(crate) const MAX_SCHEDULE_S: usize = 600;
/// Draws that look for a free second before the emptiest one is searched.
const MAX_DRAWS: usize = 4;

/// The retries assigned to the seconds ahead.
#[derive(Clone, Debug)]
pub struct RetrySchedule {
    /// Second of the first bucket.
    first: u64,
    assigned: VecDeque<u32>,
    max_delay_s: u64,
    seed: u64,
}

impl RetrySchedule {
    /// `max_delay_s`: no advice is longer, in whole seconds; at least one.
    pub fn new(max_delay_s: u64, seed: u64) -> RetrySchedule {
        RetrySchedule {
            first: 0,
            assigned: VecDeque::new(),
            max_delay_s: max_delay_s.clamp(1, MAX_SCHEDULE_S as u64),
            seed: seed | 1,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        // xorshift64: only spread is needed.
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

    /// Assigns a second to a client that is refused now, where `per_s` retries a second can be served. Returns the delay in
    /// seconds, from 1 to the longest. The window that is drawn from is as wide as the retries assigned already need; once all
    /// of it is full the emptiest second takes the surplus.
    pub fn assign(&mut self, now: Time, per_s: f64) -> u64 {
        let second = now.0 / 1_000_000;
        if second > self.first {
            let gone = (second - self.first).min(self.assigned.len() as u64) as usize;
            self.assigned.drain(..gone);
            self.first = second;
        }
        self.assigned.resize(self.max_delay_s as usize + 1, 0);
        let room = if per_s.is_finite() { per_s.clamp(1.0, 1e6) as u32 } else { 1 };
        let waiting: u64 = self.assigned.iter().skip(1).map(|n| u64::from(*n)).sum();
        // Twice as wide as the assigned retries fill: half of the draws find a free second at once.
        let window = (2 * (waiting + 1)).div_ceil(u64::from(room)).clamp(1, self.max_delay_s);
        let mut ahead = None;
        for _ in 0..MAX_DRAWS {
            let drawn = 1 + self.draw(window);
            if self.assigned[drawn as usize] < room {
                ahead = Some(drawn);
                break;
            }
        }
        let ahead = ahead.unwrap_or_else(|| {
            // From a random second on, so that equally empty ones are taken evenly.
            let (start, max_delay_s) = (self.draw(self.max_delay_s), self.max_delay_s);
            let order = (0..max_delay_s).map(|i| 1 + (start + i) % max_delay_s);
            order.min_by_key(|s| self.assigned[*s as usize]).unwrap_or(1)
        });
        self.assigned[ahead as usize] = self.assigned[ahead as usize].saturating_add(1);
        ahead
    }
}
