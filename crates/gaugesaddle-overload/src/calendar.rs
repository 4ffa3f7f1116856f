//! When refused clients may come back: a calendar of the seconds ahead, each dealt out up to the rate that the fleet
//! can take. Whole seconds, for not every client reads decimals (RFC 9110, 10.2.3 has none); what spreads the clients
//! is the second that each is given.

use gaugesaddle_balancer::Time;
use std::collections::VecDeque;

/// Seconds of a calendar at most; the settings' longest advice is cut to it.
pub(crate) const SECONDS: usize = 600;
/// Draws that look for a free second before the emptiest is searched.
const DRAWS: usize = 4;

/// Moments dealt out.
#[derive(Clone, Debug)]
pub struct Calendar {
    /// The first bucket's second.
    first: u64,
    dealt: VecDeque<u32>,
    longest: u64,
    seed: u64,
}

impl Calendar {
    /// `longest`: no advice is longer, in whole seconds; at least one.
    pub fn new(longest: u64, seed: u64) -> Calendar {
        Calendar {
            first: 0,
            dealt: VecDeque::new(),
            longest: longest.clamp(1, SECONDS as u64),
            seed: seed | 1,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        // xorshift64: spread is all that is asked of it.
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) % below.max(1)
    }

    /// Clients that were told to come in that second, counted from now.
    pub fn dealt(&self, now: Time, ahead: u64) -> u32 {
        let second = now.0 / 1_000_000 + ahead;
        second.checked_sub(self.first).and_then(|i| self.dealt.get(i as usize)).copied().unwrap_or(0)
    }

    /// After how many seconds a client that is refused now may come back, from 1 to the longest, where `per_s` can
    /// be served of those that return. The window drawn from is as wide as what is dealt out already needs; with all
    /// of it full the emptiest second takes the surplus.
    pub fn deal(&mut self, now: Time, per_s: f64) -> u64 {
        let second = now.0 / 1_000_000;
        if second > self.first {
            let gone = (second - self.first).min(self.dealt.len() as u64) as usize;
            self.dealt.drain(..gone);
            self.first = second;
        }
        self.dealt.resize(self.longest as usize + 1, 0);
        let room = if per_s.is_finite() { per_s.clamp(1.0, 1e6) as u32 } else { 1 };
        let waiting: u64 = self.dealt.iter().skip(1).map(|n| u64::from(*n)).sum();
        // Twice as wide as what is dealt out fills: half of what is drawn is free at the first try.
        let window = (2 * (waiting + 1)).div_ceil(u64::from(room)).clamp(1, self.longest);
        let mut ahead = None;
        for _ in 0..DRAWS {
            let drawn = 1 + self.draw(window);
            if self.dealt[drawn as usize] < room {
                ahead = Some(drawn);
                break;
            }
        }
        let ahead = ahead.unwrap_or_else(|| {
            // From a random second on, so that equal ones are taken evenly.
            let (start, longest) = (self.draw(self.longest), self.longest);
            let order = (0..longest).map(|i| 1 + (start + i) % longest);
            order.min_by_key(|s| self.dealt[*s as usize]).unwrap_or(1)
        });
        self.dealt[ahead as usize] = self.dealt[ahead as usize].saturating_add(1);
        ahead
    }
}
