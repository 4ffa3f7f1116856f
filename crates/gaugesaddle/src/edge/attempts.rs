//! How often a request is sent, decided without I/O: after each attempt, whether another backend may get it.
//!
//! ```text
//!            not reached            not executed, another backend there          may have run
//!  next <------------------ attempt ---------------------------> next if the route  --------> next if it may run twice
//!   (a few times)              |                                 and the budget allow          and both allow
//!                              +-- answered, or out of time: over
//! ```

use super::refusal::Refusal;
use gaugesaddle_config::Route;

/// Backends that could not even be reached before the request is given up.
const MAX_UNREACHED: u32 = 4;

/// How an attempt that brought no answer went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    /// No byte of the request was sent.
    NeverSent,
    /// The backend says that it has not run the request and never will, or is not the one that was meant.
    NotExecuted,
    /// The request may have run: no answer, a broken connection, or the answer to another request.
    MayHaveRun,
    /// Its time is over, and it may have run.
    TimedOut,
}

/// What has become of a request so far.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// It may run more than once.
    repeatable: bool,
    /// Backends that it may be sent to.
    most: u32,
    sent: u32,
    unreached: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Of a request that was not sent yet.
    pub fn new(route: &Route) -> Attempts {
        Attempts::of(route.kind.is_idempotent(), route.attempts)
    }

    fn of(repeatable: bool, most: u32) -> Attempts {
        Attempts { repeatable, most, sent: 0, unreached: 0, may_have_run: false }
    }

    /// Whether the next attempt is a repeat, which the budget of all proxies must allow.
    pub fn is_repeat(&self) -> bool {
        self.sent > 0
    }

    /// A backend has answered.
    pub fn answered(&mut self) {
        self.sent += 1;
    }

    /// A backend's answer broke off inside a stream; whether another one may go on.
    pub fn broke_off(&mut self) -> bool {
        self.may_have_run = true;
        self.repeatable && self.sent < self.most
    }

    /// An attempt brought no answer; `Err` where it was the last one.
    pub fn failed(&mut self, how: Failed) -> Result<(), Refusal> {
        match how {
            Failed::NeverSent => self.unreached += 1,
            Failed::NotExecuted => self.sent += 1,
            Failed::MayHaveRun => {
                self.sent += 1;
                self.may_have_run = true;
            }
            Failed::TimedOut => return Err(Refusal::TimedOut),
        }
        let may_run_again = self.repeatable || !self.may_have_run;
        if may_run_again && self.sent < self.most && self.unreached < MAX_UNREACHED {
            Ok(())
        } else {
            Err(self.refusal())
        }
    }

    /// The answer where no further attempt is made. Only what has never run is promised not to have.
    pub fn refusal(&self) -> Refusal {
        if self.may_have_run {
            Refusal::Broken
        } else {
            Refusal::Unavailable
        }
    }

    /// The answer where its key may not be used any more without news of the configuration.
    pub fn unproven(&self) -> Refusal {
        if self.may_have_run {
            Refusal::Broken
        } else {
            Refusal::Unproven
        }
    }

    /// The answer where its time is over before an attempt.
    pub fn out_of_time(&self) -> Refusal {
        if self.may_have_run {
            Refusal::TimedOut
        } else {
            Refusal::Late
        }
    }
}

#[cfg(test)]
#[path = "attempts/tests.rs"]
mod tests;
