//! Deadlines in the steady clock of the gateway at the other end of a connection.
//!
//! A relative deadline says nothing about how long a request waited before it was read: a gateway that was stopped reads it
//! when it wakes, long after its client was answered. So a gateway reports its clock with each answer, and a request carries
//! the latest time by that clock at which it may be passed on.
//!
//! # Derivation
//!
//! A reading `r` was made after its request was sent at `s` and before its answer was received at `e`, both by the local
//! clock. So the offset of the remote clock from the local one lies between `r - e` and `r - s`. The lower end is used: the
//! remote clock reaches the deadline that results no later than the local clock reaches the local one, whatever the delays
//! were. While a reading ages, the lower end sinks by what two clocks may drift apart ([`MAX_DRIFT_PER_MILLION`]).
//!
//! Steady clocks count while a process is stopped. A machine that is suspended as a whole may stop its clock; the first
//! reading that contradicts an earlier one replaces it.

use gaugesaddle_balancer::{Micros, Time};
use thiserror::Error;

/// How far two steady clocks drift apart, in millionths: each is slewed by 500 at most.
const MAX_DRIFT_PER_MILLION: u64 = 1_000;
/// How long a reading is used. By then the drift has cost a hundredth of this of each deadline's time.
const MAX_READING_AGE: Micros = Micros(10_000_000);

/// A time by the steady clock of a gateway, since it accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RemoteTime(pub Micros);

impl RemoteTime {
    /// Its value in a header: whole microseconds.
    pub fn header_value(self) -> u64 {
        self.0 .0
    }

    /// Reads a header's value; `None` where it is not a whole number of microseconds.
    pub fn parse(value: &[u8]) -> Option<RemoteTime> {
        let digits =
            std::str::from_utf8(value).ok().filter(|text| text.bytes().all(|b| b.is_ascii_digit()))?;
        Some(RemoteTime(Micros(digits.parse().ok()?)))
    }
}

/// An answer with a reading of the remote clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSample {
    /// When its request was sent, by the local clock.
    pub sent_at: Time,
    /// When it was received, by the local clock.
    pub received_at: Time,
    /// The remote clock at some time between the two.
    pub reading: RemoteTime,
}

impl ClockSample {
    fn offset_from(&self, local: Time) -> i128 {
        i128::from(self.reading.header_value()) - i128::from(local.0)
    }
}

/// The lowest offset that the remote clock may have, in microseconds.
#[derive(Clone, Copy, Debug)]
struct LowestOffset {
    at: Time,
    offset: i128,
}

impl LowestOffset {
    fn at(&self, now: Time) -> i128 {
        let age = (now - self.at).0;
        self.offset - i128::from(age.div_ceil(1_000_000 / MAX_DRIFT_PER_MILLION))
    }
}

/// What is known of the steady clock at the other end of one connection. It must not be used for another connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteClock {
    lowest: Option<LowestOffset>,
    last_sample: Option<Time>,
}

impl RemoteClock {
    /// Takes a sample into account.
    pub fn record(&mut self, sample: ClockSample) {
        let highest = sample.offset_from(sample.sent_at);
        let offset = sample.offset_from(sample.received_at);
        // Below the highest that is possible now, or the remote clock has stood still: what was known is void.
        let known = self.lowest.map(|lowest| lowest.at(sample.received_at)).filter(|known| *known <= highest);
        if known.is_none_or(|known| known <= offset) {
            self.lowest = Some(LowestOffset { at: sample.received_at, offset });
        }
        self.last_sample = Some(sample.received_at);
    }

    /// Whether deadlines can be given; otherwise the clock has to be read first.
    pub fn is_current(&self, now: Time) -> bool {
        self.last_sample.is_some_and(|at| now - at < MAX_READING_AGE)
    }

    /// A time by the remote clock that is not after the local `deadline`; `None` where the clock has to be read first, or
    /// the deadline was over before the connection began.
    pub fn deadline(&self, now: Time, deadline: Time) -> Option<RemoteTime> {
        let lowest = self.lowest.filter(|_| self.is_current(now))?;
        let remote = i128::from(deadline.0) + lowest.at(deadline.max(now));
        u64::try_from(remote).ok().map(|remote| RemoteTime(Micros(remote)))
    }
}

/// Why a gateway does not accept the deadline of a request. The request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeadlineError {
    /// It carries no deadline by this gateway's clock, so how long it was under way cannot be known.
    #[error("expected Region-Deadline-Us, a time by the clock that Region-Clock-Us reports")]
    Missing,
    /// Its client may have been answered already.
    #[error("the deadline had passed when the request was read")]
    Passed,
}

/// The time that remains for a request at a gateway: what its sender reported as remaining, but never beyond the deadline by
/// the gateway's own clock, which is `now`.
///
/// # Errors
/// The deadline is missing or has passed.
pub fn remaining_at_gateway(
    now: RemoteTime, reported: Micros, deadline: Option<RemoteTime>,
) -> Result<Micros, DeadlineError> {
    let deadline = deadline.ok_or(DeadlineError::Missing)?;
    let remaining = deadline.header_value().saturating_sub(now.header_value());
    if remaining == 0 {
        return Err(DeadlineError::Passed);
    }
    Ok(reported.min(Micros(remaining)))
}

#[cfg(test)]
mod tests;
