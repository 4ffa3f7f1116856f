//! Whether another backend may get a request after an attempt, decided without I/O.
//!
//! ```text
//!             unreachable             not executed, another backend there         may have run
//!  retry <------------------ attempt ------------------------------> retry if the route ------> retry if idempotent
//!        (a few times)          |                                    and the budget allow       and both allow
//!                               +-- response, or deadline passed: final
//! ```

use crate::rejection::Rejection;
use gaugesaddle_config::Route;

/// Backends that could not even be reached before the request is given up.
const MAX_UNREACHABLE: u32 = 4;

/// How an attempt without a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NeverSent,
    /// The backend states that it has not run the request and never will, or it is not the one that was meant.
    NotExecuted,
    /// The request may have run: no response, a broken connection, or the response to another request.
    MayHaveRun,
    /// The deadline has passed, and the request may have run.
    TimedOut,
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    /// The request may run more than once.
    idempotent: bool,
    /// Backends that it may be sent to.
    max_attempts: u32,
    sent: u32,
    unreachable: u32,
    may_have_run: bool,
}

impl RetryState {
    /// The state of a request that was not sent yet.
    pub fn new(route: &Route) -> RetryState {
        RetryState::with_limits(route.kind.is_idempotent(), route.attempts)
    }

    fn with_limits(idempotent: bool, max_attempts: u32) -> RetryState {
        RetryState { idempotent, max_attempts, sent: 0, unreachable: 0, may_have_run: false }
    }

    /// Whether the next attempt is a retry, which the budget that all proxies share must allow.
    pub fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// A backend has responded.
    pub fn record_response(&mut self) {
        self.sent += 1;
    }

    /// A backend's response broke off inside a stream. Returns whether another backend may resume it.
    pub fn record_broken_stream(&mut self) -> bool {
        self.may_have_run = true;
        self.idempotent && self.sent < self.max_attempts
    }

    /// An attempt ended without a response.
    ///
    /// # Errors
    /// The rejection for the client, where no further attempt may be made.
    pub fn record_failure(&mut self, failure: AttemptFailure) -> Result<(), Rejection> {
        match failure {
            AttemptFailure::NeverSent => self.unreachable += 1,
            AttemptFailure::NotExecuted => self.sent += 1,
            AttemptFailure::MayHaveRun => {
                self.sent += 1;
                self.may_have_run = true;
            }
            AttemptFailure::TimedOut => return Err(Rejection::TimedOut),
        }
        let may_run_again = self.idempotent || !self.may_have_run;
        let within_limits = self.sent < self.max_attempts && self.unreachable < MAX_UNREACHABLE;
        if may_run_again && within_limits {
            Ok(())
        } else {
            Err(self.no_backend())
        }
    }

    /// The rejection where no further attempt is made. Only what has never run is promised not to have.
    pub fn no_backend(&self) -> Rejection {
        if self.may_have_run {
            Rejection::UpstreamFailed
        } else {
            Rejection::Unavailable
        }
    }

    /// The rejection where the key may not be used any more without newer proof.
    pub fn key_unproven(&self) -> Rejection {
        if self.may_have_run {
            Rejection::UpstreamFailed
        } else {
            Rejection::KeyUnproven
        }
    }

    /// The rejection where the deadline passes before an attempt.
    pub fn deadline_passed(&self) -> Rejection {
        if self.may_have_run {
            Rejection::TimedOut
        } else {
            Rejection::ExpiredUnsent
        }
    }
}

#[cfg(test)]
mod tests;
