//! Deadlines by the monotonic clock of the gateway at the other end of a connection.
//!
//! A relative deadline does not account for the time that a request waits before it is read: a gateway process that was
//! stopped reads the request after it resumes, long after the client was answered. A gateway therefore reports its clock
//! with each answer, and a request carries the latest time by that clock at which the gateway may pass it on.
//!
//! # Derivation
//!
//! A reading `r` was taken after its request was sent at `s` and before its answer was received at `e`, both by the local
//! clock. The offset of the remote clock from the local one is therefore between `r - e` and `r - s`. The lower bound is
//! used: the remote clock reaches the resulting deadline no later than the local clock reaches the local deadline, for any
//! network delay. As a reading ages, the lower bound is reduced by the maximum drift between two clocks
//! ([`MAX_DRIFT_PER_MILLION`]).
//!
//! Monotonic clocks advance while a process is stopped. Suspending a whole machine may stop its clock; the first reading
//! that contradicts an earlier one replaces it.

use gaugesaddle_balancer::{Micros, Time};
use thiserror::Error;

/// Maximum drift between two monotonic clocks, in parts per million: each is slewed by at most 500.
const MAX_DRIFT_PER_MILLION: u64 = 1_000;
/// Maximum age of a usable reading. At this age the allowance for drift shortens each deadline by at least 10 ms.
const MAX_READING_AGE: Micros = Micros(10_000_000);

/// A time by the monotonic clock of a gateway, counted from when it accepted the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RemoteTime(pub Micros);

impl RemoteTime {
    /// The header value: whole microseconds.
    pub fn header_value(self) -> u64 {
        self.0 .0
    }

    /// Parses a header value; `None` if it is not a whole number of microseconds.
    pub fn parse(value: &[u8]) -> Option<RemoteTime> {
        let digits =
            std::str::from_utf8(value).ok().filter(|text| text.bytes().all(|b| b.is_ascii_digit()))?;
        Some(RemoteTime(Micros(digits.parse().ok()?)))
    }
}

/// A reading of the remote clock, from the answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSample {
    /// When the request was sent, by the local clock.
    pub sent_at: Time,
    /// When the answer was received, by the local clock.
    pub received_at: Time,
    /// The remote clock at some time between the two.
    pub reading: RemoteTime,
}

impl ClockSample {
    fn offset_from(&self, local: Time) -> i128 {
        i128::from(self.reading.header_value()) - i128::from(local.0)
    }
}

/// Lower bound of the offset of the remote clock from the local one, in microseconds.
#[derive(Clone, Copy, Debug)]
struct OffsetLowerBound {
    at: Time,
    offset: i128,
}

impl OffsetLowerBound {
    fn at(&self, now: Time) -> i128 {
        let age = (now - self.at).0;
        self.offset - i128::from(age.div_ceil(1_000_000 / MAX_DRIFT_PER_MILLION))
    }
}

/// Estimate of the monotonic clock at the other end of one connection. It must not be used for another connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteClock {
    lower_bound: Option<OffsetLowerBound>,
    last_sample: Option<Time>,
}

impl RemoteClock {
    /// Updates the estimate with a sample.
    pub fn record(&mut self, sample: ClockSample) {
        let upper_bound = sample.offset_from(sample.sent_at);
        let offset = sample.offset_from(sample.received_at);
        // A previous lower bound above the upper bound of this sample shows that the remote clock was stopped in between;
        // that lower bound is discarded.
        let previous_bound = self
            .lower_bound
            .map(|lower_bound| lower_bound.at(sample.received_at))
            .filter(|previous_bound| *previous_bound <= upper_bound);
        if previous_bound.is_none_or(|previous_bound| previous_bound <= offset) {
            self.lower_bound = Some(OffsetLowerBound { at: sample.received_at, offset });
        }
        self.last_sample = Some(sample.received_at);
    }

    /// Whether the last reading is recent enough to convert deadlines; otherwise a new reading is required.
    pub fn is_current(&self, now: Time) -> bool {
        self.last_sample.is_some_and(|at| now - at < MAX_READING_AGE)
    }

    /// A time by the remote clock that is not after the local `deadline`; `None` if there is no recent reading, or if the
    /// deadline passed before the connection was accepted.
    pub fn deadline(&self, now: Time, deadline: Time) -> Option<RemoteTime> {
        let lower_bound = self.lower_bound.filter(|_| self.is_current(now))?;
        let remote = i128::from(deadline.0) + lower_bound.at(deadline.max(now));
        u64::try_from(remote).ok().map(|remote| RemoteTime(Micros(remote)))
    }
}

/// Why a gateway rejects the deadline of a request. The request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeadlineError {
    /// The request carries no valid deadline by this gateway's clock, so its time in transit cannot be determined.
    #[error(
        "Region-Deadline-Us: expected a time by the clock that Region-Clock-Us reports, found no valid value"
    )]
    Missing,
    /// The deadline has passed; the client may already have been answered.
    #[error("the deadline had passed when the request was read")]
    Passed,
}

/// The time that remains for a request at a gateway: the remaining time `reported` by the sender, limited by `deadline`.
/// `now` and `deadline` are times by the gateway's own clock.
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
