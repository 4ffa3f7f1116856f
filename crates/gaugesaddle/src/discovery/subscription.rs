//! When discovery is called, and how long a call may remain unanswered. No I/O, no clock.
//!
//! A proxy counts as informed of a change whether or not it has called, so every wait here is a fraction of the time
//! within which the proxy must stop sending to a departing backend:
//!
//! - **Pushed** lists come from an agent on the same machine that answers at once and at no cost. The proxy counts as
//!   informed of a change from the moment at which the agent has it, even if the agent was unresponsive and has just
//!   recovered. A call that is not answered shortly after its wait may never be answered (an unresponsive agent loses
//!   it), so another call is sent concurrently on a new connection, and then one after another until one is answered. The
//!   first answer makes all others unnecessary.
//! - **Polled** lists come from one service for all proxies, to which each call is work: at most one call is pending,
//!   [`CallSchedule`] sets the delays between calls, and none is sent before the balancer requests updates. The proxy
//!   counts as informed of a change 6 s after discovery had it and was reachable, even if its call failed, was rejected
//!   or timed out: so after a time-out or a broken connection the next call waits only briefly, and times out early
//!   enough for another one.

use crate::discovery::call_schedule::CallSchedule;
use gaugesaddle_balancer::{Micros, Time};

/// Maximum delay of the agent's answer, as a fraction of a drain's grace period. An unresponsive agent can remain
/// undetected for as long.
const WAIT_FRACTION: f64 = 0.4;
/// Time, as a fraction of the grace period, after which a due answer is late and another call is sent; also the
/// interval of calls to an unresponsive agent. With [`WAIT_FRACTION`] the proxy has a list within 0.8 of the grace
/// period after an agent has recovered undetected; the remainder is for the balancer's tick and a busy processor.
const ANSWER_FRACTION: f64 = 0.2;
/// Minimum of both times, for any grace period: the agent is on the same machine.
const MIN_TIME: Micros = Micros(10_000);
/// Maximum of the first time: a proxy counts as informed 6 s after its call was lost, and another call must have been
/// answered by then.
const MAX_WAIT: Micros = Micros(2_500_000);
/// Maximum of the second time, for the same reason.
const MAX_ANSWER: Micros = Micros(1_000_000);
/// Wait of a polled call: long, since all proxies call one service and each call costs it work.
const POLLED_WAIT: Micros = Micros(20_000_000);
/// Fraction by which polled waits are spread. If all waits ended together after the service was unresponsive, all
/// proxies would call at once, and each must have its answer within some 2 s of the end of its wait, while the service
/// may take 8 s to answer one call of each.
const POLLED_SPREAD: f64 = 0.4;
/// A polled call times out when its answer is this late after its wait. The proxy counts as informed 2 s after the
/// wait, so the next call has to be answered about then.
const ANSWER_TIMEOUT: Micros = Micros(1_000_000);
/// Maximum delay after a call that timed out: with [`ANSWER_TIMEOUT`] over half a second remains of those 2 s.
const MAX_GAP_AFTER_TIMEOUT: Micros = Micros(300_000);
/// Wait of a polled call after a time-out or a broken connection. Not 0: a service that is behind would be called twice
/// for one list.
const SHORT_WAIT: Micros = Micros(2_000_000);
/// Time-out of the oldest call to an agent: within this time the answer of a slow agent is still used.
const CALL_TIMEOUT: Micros = Micros(5_000_000);
/// Maximum of the exponential backoff after unusable answers: a list that is too long or malformed remains so for a
/// while, and parsing it takes processor time that requests need.
const MAX_BACKOFF: Micros = Micros(1_000_000);
/// Maximum number of pending calls, each with a connection and a buffer for a list.
const MAX_PENDING: usize = 4;

/// The time limits of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long discovery may delay an answer while nothing has changed.
    pub wait: Micros,
    /// How late an answer may be before the call counts as unanswered.
    pub lateness: Micros,
}

impl Times {
    /// For an agent on the same machine. `grace` is the time within which the proxy must stop sending to a departing
    /// backend.
    pub fn pushed(grace: Micros) -> Times {
        let time = |fraction: f64, max: Micros| grace.times(fraction).clamp(MIN_TIME, max);
        let (wait, lateness) = (time(WAIT_FRACTION, MAX_WAIT), time(ANSWER_FRACTION, MAX_ANSWER));
        Times { wait, lateness }
    }

    /// For one service that all proxies call.
    pub fn polled() -> Times {
        Times { wait: POLLED_WAIT, lateness: ANSWER_TIMEOUT }
    }
}

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifies the call when it ends.
    pub number: u64,
    /// Requests the changes after this version; `None`: the full list.
    pub after: Option<u64>,
    /// How long discovery may delay the answer.
    pub wait: Micros,
}

/// The next step of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends this call.
    Call(Call),
    /// Abandons this call: it timed out, or another was answered first.
    Abandon(u64),
    /// Waits until this time or until the next event.
    Wait(Time),
}

/// Why a call returned no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No answer in time.
    TimedOut,
    /// The connection was refused or reset.
    Broken,
    /// The answer is not a valid list.
    Unusable,
}

/// Whether the answer of a call applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// The answer applies.
    Valid,
    /// Changes of another version than the requested one: discovery has restarted, and the full list is requested.
    OutOfSync,
    /// The call was abandoned before its answer.
    Abandoned,
}

enum Mode {
    Pushed,
    Polled {
        schedule: CallSchedule,
        /// The balancer has requested updates.
        is_requested: bool,
        /// The balancer must be informed that it gets no more updates.
        is_lost: bool,
        /// No call has been sent yet.
        is_first: bool,
        /// The last call timed out, or its connection broke.
        last_call_lost: bool,
    },
}

struct PendingCall {
    call: Call,
    sent_at: Time,
}

/// One proxy's subscription to the list of backends.
///
/// ```text
///              answered: the next call at once (polled: after a delay)
///                 +------+
///                 v      |
///   start ----> Active --+  one call pending, on the open connection
///                 |   ^
///  late or failed |   | first answer: every other call is abandoned
///                 v   |
///               Broken -+  pushed: a call every `lateness`, each on a new connection, MAX_PENDING at a time
///                 ^     |  polled: Lost is reported, a delay, then one call when the balancer requests it
///                 +-----+
///   another address: from any state to the start, without a version
/// ```
pub struct Subscription {
    times: Times,
    mode: Mode,
    /// The version of the latest list.
    version: Option<u64>,
    /// Oldest first.
    pending: Vec<PendingCall>,
    /// Calls that the caller is to abandon.
    abandoned: Vec<u64>,
    last_number: u64,
    /// No call is sent before this time.
    not_before: Time,
    /// Number of calls that failed or became late since the last answer.
    unanswered: u32,
    /// Consecutive unusable answers.
    unusable: u32,
}

impl Subscription {
    /// A subscription to an agent on the same machine. `version` is that of the proxy's current list.
    pub fn pushed(grace: Micros, version: Option<u64>) -> Subscription {
        Subscription::new(Times::pushed(grace), Mode::Pushed, version)
    }

    /// A subscription to one service that all proxies call. `version` is that of the proxy's current list.
    pub fn polled(schedule: CallSchedule, version: Option<u64>) -> Subscription {
        let mode = Mode::Polled {
            schedule,
            is_requested: false,
            is_lost: false,
            is_first: true,
            last_call_lost: false,
        };
        Subscription::new(Times::polled(), mode, version)
    }

    fn new(times: Times, mode: Mode, version: Option<u64>) -> Subscription {
        let (pending, abandoned) = (Vec::new(), Vec::new());
        Subscription {
            times,
            mode,
            version,
            pending,
            abandoned,
            last_number: 0,
            not_before: Time(0),
            unanswered: 0,
            unusable: 0,
        }
    }

    /// Number of calls that failed or became late since the last answer.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Whether lists are pushed by an agent.
    pub fn is_pushed(&self) -> bool {
        matches!(self.mode, Mode::Pushed)
    }

    /// Records that the balancer requests updates.
    pub fn request_updates(&mut self, now: Time) {
        if let Mode::Polled { schedule, is_requested, is_first, .. } = &mut self.mode {
            *is_requested = true;
            if std::mem::take(is_first) {
                self.not_before = self.not_before.max(now + micros(schedule.first_delay()));
            }
        }
    }

    /// Whether the balancer must be informed, once, that it gets no more updates until it requests them again.
    pub fn take_lost(&mut self) -> bool {
        match &mut self.mode {
            Mode::Polled { is_lost, .. } => std::mem::take(is_lost),
            Mode::Pushed => false,
        }
    }

    /// Handles a change of discovery's address: abandons pending calls and drops the version, which are valid only at
    /// the old address. A request for updates remains in force.
    pub fn change_address(&mut self, now: Time) {
        self.abandoned.extend(self.pending.drain(..).map(|p| p.call.number));
        (self.version, self.unanswered, self.unusable) = (None, 0, 0);
        // After a failure at the old address the balancer may not have requested updates again yet; the call is sent
        // nevertheless.
        if let Mode::Polled { is_requested, is_first, .. } = &mut self.mode {
            *is_requested |= !*is_first;
        }
        self.not_before = now;
    }

    /// Handles a call's answer that contains a list. `has_changes`: it is the full list, or has entries.
    pub fn answered(
        &mut self, now: Time, number: u64, index: u64, full: bool, has_changes: bool,
    ) -> AnswerStatus {
        let Some(at) = self.pending.iter().position(|p| p.call.number == number) else {
            return AnswerStatus::Abandoned;
        };
        let ended = self.pending.remove(at);
        self.abandoned.extend(self.pending.drain(..).map(|p| p.call.number));
        (self.unanswered, self.unusable) = (0, 0);
        let is_out_of_sync = !full && ended.call.after.is_none_or(|after| index < after);
        let early = now < ended.sent_at + ended.call.wait;
        self.not_before = match &mut self.mode {
            // An agent that answers at once, whatever delay is allowed, must not be called in a loop.
            Mode::Pushed if early && (is_out_of_sync || !has_changes) => ended.sent_at + self.times.lateness,
            Mode::Pushed => ended.sent_at + MIN_TIME,
            Mode::Polled { schedule, last_call_lost, .. } => {
                *last_call_lost = false;
                now + micros(schedule.delay_after_answer())
            }
        };
        self.version = Some(index).filter(|_| !is_out_of_sync);
        if is_out_of_sync {
            AnswerStatus::OutOfSync
        } else {
            AnswerStatus::Valid
        }
    }

    /// Handles the failure of a call.
    pub fn failed(&mut self, now: Time, number: u64, failure: Failure) {
        let Some(at) = self.pending.iter().position(|p| p.call.number == number) else { return };
        let ended = self.pending.remove(at);
        self.unanswered = self.unanswered.saturating_add(1);
        match &mut self.mode {
            Mode::Pushed => {
                // A restarted agent may number versions from the start again; the full list costs it nothing.
                self.version = None;
                self.unusable = if failure == Failure::Unusable { self.unusable + 1 } else { 0 };
                let backoff = self.times.lateness.times(f64::from(self.unusable.clamp(1, 8) - 1).exp2());
                self.not_before =
                    self.not_before.max(ended.sent_at + backoff.min(MAX_BACKOFF.max(self.times.lateness)));
            }
            Mode::Polled { schedule, is_requested, is_lost, last_call_lost, .. } => {
                (*is_requested, *is_lost, *last_call_lost) = (false, true, failure != Failure::Unusable);
                let gap = micros(schedule.delay_after_failure());
                // The proxy soon counts as informed of the changes that a timed-out call has missed, so this delay is
                // short. An overloaded service rejects calls rather than let them time out.
                self.not_before =
                    now + if failure == Failure::TimedOut { gap.min(MAX_GAP_AFTER_TIMEOUT) } else { gap };
            }
        }
    }

    /// Returns the caller's next step.
    pub fn step(&mut self, now: Time) -> Step {
        if let Some(number) = self.abandoned.pop() {
            return Step::Abandon(number);
        }
        // Only the oldest call can have timed out: the others were sent later, and their waits are no longer.
        if let Some(oldest) = self.pending.first().filter(|oldest| now >= self.times_out_at(oldest)) {
            let number = oldest.call.number;
            self.failed(now, number, Failure::TimedOut);
            return Step::Abandon(number);
        }
        match &mut self.mode {
            Mode::Pushed => {
                let newest = self.pending.last().map_or(Time(0), |newest| self.late_at(newest));
                let due = self.not_before.max(newest);
                if now < due {
                    return Step::Wait(due);
                }
                if !self.pending.is_empty() {
                    self.unanswered = self.unanswered.saturating_add(1);
                }
                // The oldest call is kept; of the others the one that was sent first is abandoned.
                if self.pending.len() >= MAX_PENDING {
                    let number = self.pending.remove(1).call.number;
                    self.abandoned.push(number);
                }
                // While the agent is unresponsive calls have no wait, so that it answers as soon as it has recovered.
                match (self.version, self.unanswered) {
                    (Some(version), 0) => self.call(now, Some(version), self.times.wait),
                    (Some(version), 1) => self.call(now, Some(version), Micros(0)),
                    _ => self.call(now, None, Micros(0)),
                }
            }
            Mode::Polled { schedule, is_requested, last_call_lost, .. } => {
                if let Some(pending) = self.pending.first() {
                    return Step::Wait(self.times_out_at(pending));
                }
                if !*is_requested {
                    return Step::Wait(Time(u64::MAX));
                }
                if now < self.not_before {
                    return Step::Wait(self.not_before);
                }
                let wait = if *last_call_lost {
                    SHORT_WAIT
                } else {
                    self.times.wait.times(1.0 - POLLED_SPREAD * schedule.random_unit())
                };
                self.call(now, self.version, wait)
            }
        }
    }

    /// The time from which a call's answer is late.
    fn late_at(&self, pending: &PendingCall) -> Time {
        pending.sent_at + pending.call.wait + self.times.lateness
    }

    /// The time at which a call times out.
    fn times_out_at(&self, pending: &PendingCall) -> Time {
        match self.mode {
            Mode::Pushed => pending.sent_at + CALL_TIMEOUT,
            Mode::Polled { .. } => self.late_at(pending),
        }
    }

    fn call(&mut self, now: Time, after: Option<u64>, wait: Micros) -> Step {
        self.last_number += 1;
        let call = Call { number: self.last_number, after, wait };
        self.pending.push(PendingCall { call, sent_at: now });
        Step::Call(call)
    }
}

fn micros(span: std::time::Duration) -> Micros {
    Micros(span.as_micros() as u64)
}

#[cfg(test)]
mod tests;
