//! Limits of the outgoing traffic: a byte budget for datagrams that the protocol can postpone, and a token bucket for
//! replies.

use gaugesaddle_balancer::{Micros, Time};

/// Replies to other members per second. When a tier of 1,000 starts at once, each member receives about a hundred
/// probes per second.
const REPLIES_PER_S: f64 = 2000.0;
/// Capacity of the token bucket: replies that may be sent at once.
const REPLY_BURST: f64 = 500.0;
/// An unused budget is carried over for at most this time.
pub(crate) const MAX_BUDGET_CREDIT: Micros = Micros(50_000);

/// The byte budget: each datagram occupies it for its length divided by the permitted rate.
pub(crate) struct ByteBudget {
    available_at: Time,
}

impl ByteBudget {
    pub fn new(now: Time) -> ByteBudget {
        ByteBudget { available_at: now }
    }

    /// When the budget is available again.
    pub fn available_at(&self) -> Time {
        self.available_at
    }

    pub fn spend(&mut self, now: Time, bytes: u64, bytes_per_s: u32) {
        let earliest = Time(now.0.saturating_sub(MAX_BUDGET_CREDIT.0));
        let from = self.available_at.max(earliest);
        self.available_at = from + Micros(bytes * 1_000_000 / u64::from(bytes_per_s));
    }
}

/// Token bucket of replies.
pub(crate) struct ReplyLimit {
    tokens: f64,
    refilled_at: Time,
}

impl ReplyLimit {
    pub fn new(now: Time) -> ReplyLimit {
        ReplyLimit { tokens: REPLY_BURST, refilled_at: now }
    }

    /// Takes a token. Returns `false` if there is none.
    pub fn try_take(&mut self, now: Time) -> bool {
        let refill = (now - self.refilled_at).secs() * REPLIES_PER_S;
        self.tokens = (self.tokens + refill).min(REPLY_BURST);
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

#[cfg(test)]
mod tests;
