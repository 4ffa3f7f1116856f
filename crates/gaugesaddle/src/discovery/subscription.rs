//! When discovery is called, and how long a call may remain unanswered. No I/O, no clock.
//!
//! A proxy counts as informed of a change whether or not it has called, so every wait here is a fraction of the time within
//! which the proxy must stop sending to a departing backend:
//!
//! - **Pushed** lists come from an agent on the same machine that answers at once and at no cost. The proxy counts as informed
//!   of what the agent has from that moment, also where the agent was unresponsive and has just recovered. A call that it has
//!   not answered shortly after its wait may never be answered (an unresponsive agent loses it), so the next one is sent beside
//!   it, on a connection of its own, and then one after another until one is answered. The first answer makes all others
//!   unnecessary.
//! - **Polled** lists come from one service for all proxies, where each call is work: one call at a time, delays by
//!   [`CallSchedule`], and none before the balancer requests it. Whatever else applies after a call that failed, was rejected
//!   or timed out, the proxy counts as informed of a change 6 s after discovery had it and was reachable: so after a time-out or
//!   a broken connection the next call waits only briefly, and times out early enough for another one.

use crate::discovery::call_schedule::CallSchedule;
use gaugesaddle_balancer::{Micros, Time};

/// How long the agent may delay its answer, as a fraction of a drain's grace period: also how long an unresponsive agent can
/// remain unnoticed.
const WAIT_FRACTION: f64 = 0.4;
/// A due answer is awaited for this long before another call is sent beside it, which is also the interval of calls to an
/// unresponsive agent. Together: the proxy has a list 0.8 of the grace period after an agent has recovered unnoticed, and
/// the remainder is for the balancer's tick and a busy processor.
const ANSWER_FRACTION: f64 = 0.2;
/// Minimum of these times, whatever the grace period is: the agent is on the same machine.
const MIN_TIME: Micros = Micros(10_000);
/// Maximum of these times: a proxy counts as informed 6 s after its call became unresponsive, which must be replaced by then.
const MAX_WAIT: Micros = Micros(2_500_000);
const MAX_ANSWER: Micros = Micros(1_000_000);
/// Where all proxies call one service, each call costs it work.
const POLLED_WAIT: Micros = Micros(20_000_000);
/// Fraction by which waits are spread. If all ended together after the service was unresponsive, all proxies would call at
/// once, and each must have its answer within some 2 s of the end of its wait. The service may take 8 s for a call of each.
const POLLED_SPREAD: f64 = 0.4;
/// An answer that is this late after its wait never arrives. The proxy counts as informed 2 s after the wait, so the next
/// call has to be answered about then.
const ANSWER_TIMEOUT: Micros = Micros(1_000_000);
/// Maximum delay after a call that timed out: with [`ANSWER_TIMEOUT`] over half a second remains of those 2 s.
const MAX_GAP_AFTER_TIMEOUT: Micros = Micros(300_000);
/// How long a polled service may delay its answer after a time-out or a broken connection. Not 0: a service that is behind
/// would be called twice for one list.
const SHORT_WAIT: Micros = Micros(2_000_000);
/// The oldest call to a pushed agent is kept for this long: a slow agent's answer is used all the same.
const CALL_TIMEOUT: Micros = Micros(5_000_000);
/// Maximum backoff after unusable answers, each twice the one before: a list that is too long or malformed remains so for a
/// while, and reading it takes time that requests need.
const MAX_BACKOFF: Micros = Micros(1_000_000);
/// Maximum number of pending calls, each with a connection and a buffer for a list.
const MAX_PENDING: usize = 4;

/// The times of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long discovery may delay an answer while nothing has changed.
    pub wait: Micros,
    /// How late an answer may be before the subscription counts as broken.
    pub lateness: Micros,
}

impl Times {
    /// For an agent on the same machine, by the time within which sends to a departing backend must stop.
    pub fn pushed(grace: Micros) -> Times {
        let time = |fraction: f64, max: Micros| grace.times(fraction).clamp(MIN_TIME, max);
        let (wait, lateness) = (time(WAIT_FRACTION, MAX_WAIT), time(ANSWER_FRACTION, MAX_ANSWER));
        Times { wait, lateness }
    }

    /// For one service of all proxies.
    pub fn polled() -> Times {
        Times { wait: POLLED_WAIT, lateness: ANSWER_TIMEOUT }
    }
}

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifies its end.
    pub number: u64,
    /// Requests the changes after this version; `None`: the full list.
    pub after: Option<u64>,
    /// How long discovery may delay the answer.
    pub wait: Micros,
}

/// What the caller does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Sends this call.
    Call(Call),
    /// Abandons this call: it timed out, or another was answered first.
    Abandon(u64),
    /// Waits until then, or until something happens.
    Wait(Time),
}

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No answer in time.
    TimedOut,
    /// The connection was refused or reset.
    Broken,
    /// The answer is no valid list.
    Unusable,
}

/// What an answered call means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// It applies.
    Valid,
    /// Changes of another version than the requested one: discovery has restarted, and the full list is requested.
    OutOfSync,
    /// The call was abandoned before.
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
///               Broken -+  pushed: a call every `answer`, each on a new connection, MAX_PENDING at a time
///                 ^     |  polled: Lost is reported, a delay, then one call when the balancer requests it
///                 +-----+
///   another address: from any state to the start, without a version
/// ```
pub struct Subscription {
    times: Times,
    mode: Mode,
    /// The version of the newest list.
    version: Option<u64>,
    /// Oldest first.
    pending: Vec<PendingCall>,
    /// Calls that the caller is to abandon.
    abandoned: Vec<u64>,
    last_number: u64,
    /// No call is sent before.
    not_before: Time,
    /// Calls without an answer since the last answer.
    unanswered: u32,
    /// Consecutive unusable answers.
    unusable: u32,
}

impl Subscription {
    /// To an agent on the same machine; `version`: that of the list that the proxy has.
    pub fn pushed(grace: Micros, version: Option<u64>) -> Subscription {
        Subscription::new(Times::pushed(grace), Mode::Pushed, version)
    }

    /// To one service of all proxies; `version`: that of the list that the proxy has.
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

    /// Number of calls without an answer since the last answer.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Whether lists are pushed by an agent.
    pub fn is_pushed(&self) -> bool {
        matches!(self.mode, Mode::Pushed)
    }

    /// The balancer requests updates.
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

    /// Discovery has another address: pending calls and versions of the old one mean nothing there. A request stands.
    pub fn change_address(&mut self, now: Time) {
        self.abandoned.extend(self.pending.drain(..).map(|p| p.call.number));
        (self.version, self.unanswered, self.unusable) = (None, 0, 0);
        // After a failure at the old address the balancer has not requested updates again yet: the call is sent all the same.
        if let Mode::Polled { is_requested, is_first, .. } = &mut self.mode {
            *is_requested |= !*is_first;
        }
        self.not_before = now;
    }

    /// A call was answered with a list. `has_changes`: it is the full list, or has entries.
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

    /// A call failed.
    pub fn failed(&mut self, now: Time, number: u64, failure: Failure) {
        let Some(at) = self.pending.iter().position(|p| p.call.number == number) else { return };
        let ended = self.pending.remove(at);
        self.unanswered = self.unanswered.saturating_add(1);
        match &mut self.mode {
            Mode::Pushed => {
                // A restarted agent may count versions anew; the full list costs it nothing.
                self.version = None;
                self.unusable = if failure == Failure::Unusable { self.unusable + 1 } else { 0 };
                let backoff = self.times.lateness.times(f64::from(self.unusable.clamp(1, 8) - 1).exp2());
                self.not_before =
                    self.not_before.max(ended.sent_at + backoff.min(MAX_BACKOFF.max(self.times.lateness)));
            }
            Mode::Polled { schedule, is_requested, is_lost, last_call_lost, .. } => {
                (*is_requested, *is_lost, *last_call_lost) = (false, true, failure != Failure::Unusable);
                let gap = micros(schedule.delay_after_failure());
                // The proxy counts as informed soon of what a call that timed out has missed; an overloaded service rejects.
                self.not_before =
                    now + if failure == Failure::TimedOut { gap.min(MAX_GAP_AFTER_TIMEOUT) } else { gap };
            }
        }
    }

    /// What the caller does now.
    pub fn step(&mut self, now: Time) -> Step {
        if let Some(number) = self.abandoned.pop() {
            return Step::Abandon(number);
        }
        // Only the oldest can have timed out: the others began later, with no longer wait.
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
                // The oldest is kept; of the others the one that has waited longest is abandoned.
                if self.pending.len() >= MAX_PENDING {
                    let number = self.pending.remove(1).call.number;
                    self.abandoned.push(number);
                }
                // No delay is allowed while the agent is unresponsive: it is to answer as soon as it has recovered.
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

    /// When an answer is late.
    fn late_at(&self, pending: &PendingCall) -> Time {
        pending.sent_at + pending.call.wait + self.times.lateness
    }

    /// When no answer is expected any more.
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
