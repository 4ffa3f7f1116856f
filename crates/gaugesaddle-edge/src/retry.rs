//! Decides whether a request may be sent to another backend after an attempt, without I/O.
//!
//! ```text
//!                                            another attempt
//!  attempt --+-- unreachable, not sent   --> until MAX_UNREACHABLE such attempts
//!            +-- not executed            --> within the route's attempts and the retry budget
//!            +-- may have been executed  --> within the same limits, and only if the request is idempotent
//!            +-- stream interrupted      --> within the same limits, and only if the stream is resumable
//!            +-- other response, or deadline passed --> never
//! ```

use crate::rejection::Rejection;
use gaugesaddle_config::Route;

/// Maximum number of attempts in which no byte of the request was sent, before the request is rejected.
const MAX_UNREACHABLE: u32 = 4;

/// The failure of an attempt that ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NeverSent,
    /// The backend has not executed the request and will not, or it is not the incarnation that the request was intended
    /// for.
    NotExecuted,
    /// The request may have been executed: the connection failed, or it returned the response to another request.
    MayHaveRun,
    /// The deadline has passed, and the request may have been executed.
    TimedOut,
}

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    /// Whether the request may be executed more than once.
    idempotent: bool,
    /// Maximum number of attempts in which the request is sent.
    max_attempts: u32,
    sent: u32,
    unreachable: u32,
    may_have_run: bool,
}

impl RetryState {
    /// The state of a request before its first attempt.
    pub fn new(route: &Route) -> RetryState {
        RetryState::with_limits(route.kind.is_idempotent(), route.attempts)
    }

    fn with_limits(idempotent: bool, max_attempts: u32) -> RetryState {
        RetryState { idempotent, max_attempts, sent: 0, unreachable: 0, may_have_run: false }
    }

    /// Whether the next attempt is a retry, which requires the retry budget shared by all proxies.
    pub fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Records that a backend has responded.
    pub fn record_response(&mut self) {
        self.sent += 1;
    }

    /// Records that an attempt was cancelled before its outcome was known.
    pub fn record_cancelled(&mut self) {
        self.sent += 1;
        self.may_have_run = true;
    }

    /// Records that a backend's stream was interrupted. Returns whether it may be resumed at another backend.
    pub fn record_broken_stream(&mut self) -> bool {
        self.may_have_run = true;
        self.may_resume()
    }

    /// Whether an interrupted stream may be resumed at another backend.
    pub fn may_resume(&self) -> bool {
        self.idempotent && self.sent < self.max_attempts
    }

    /// Records an attempt that ended without a response.
    ///
    /// # Errors
    /// The rejection for the client, if no further attempt is permitted.
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

    /// The rejection if no further attempt is made. It guarantees that the request was not executed only if that is certain.
    pub fn no_backend(&self) -> Rejection {
        if self.may_have_run {
            Rejection::UpstreamFailed
        } else {
            Rejection::Unavailable
        }
    }

    /// The rejection if the API key may not be used without newer proof of its validity.
    pub fn key_unproven(&self) -> Rejection {
        if self.may_have_run {
            Rejection::UpstreamFailed
        } else {
            Rejection::KeyUnproven
        }
    }

    /// The rejection if the deadline passes before an attempt.
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
