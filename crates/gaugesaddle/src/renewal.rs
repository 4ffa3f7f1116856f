//! When discovery is called anew, and how long a call may stay without an answer. No I/O, no clock.
//!
//! What discovery has to tell counts as told whether or not it was asked, so every wait here is a part of the time in
//! which the proxy must have stopped sending to a server that leaves:
//!
//! - **Pushed** lists come from an agent on the own machine that answers at once and at no cost. What it has counts as
//!   told from that moment, also where it was silent and has just come back. A call that it has not answered when its
//!   wait and a little are over may never be answered (the agent's silence swallows it, and its return doesn't bring it
//!   back), so the next one goes out beside it, on a connection of its own, and then one after another until one is
//!   answered. The first answer makes all others needless.
//! - **Asked** lists come from one service for all proxies, where each call is work: one call at a time, gaps by
//!   [`Pacing`], and none before the module asks for it. Whatever else is allowed after a call that failed, was refused or
//!   was given up, a change counts as told 6 s after discovery had it and could be reached: so after silence or a break the
//!   next call waits for a short while only, and is given up in time for another if it is swallowed as well.

use crate::pacing::Pacing;
use gaugesaddle_balancer::{Micros, Time};

/// How long the agent may hold a call back, as a part of the grace of a drain: also how long a silence can go unseen.
const WAIT_PART: f64 = 0.4;
/// An answer due is awaited so long before another call goes out beside it; calls to a silent agent are as far apart.
/// The three together: silence that begins with a call and ends unseen is over for the proxy 0.8 of the grace after the
/// agent is back, and the rest is left to the module's turn and to a busy processor.
const ANSWER_PART: f64 = 0.2;
/// No shorter, whatever grace is told: the agent's machine is the proxy's own.
const LEAST: Micros = Micros(10_000);
/// No longer: a silent watch counts as told 6 s after it fell silent, and must have been replaced by then.
const LONGEST_WAIT: Micros = Micros(2_500_000);
const LONGEST_ANSWER: Micros = Micros(1_000_000);
/// Where all proxies ask one service, each call costs it work.
const ASKED_WAIT: Micros = Micros(20_000_000);
/// No two waits are to end together: a silence that meets all would have them all call at once, and each must have its
/// answer within some 2 s of the end of its own wait. The service may take 8 s for a call of each.
const ASKED_SPREAD: f64 = 0.4;
/// An answer that is this late after its wait does not come. A silent call counts as told 2 s after its wait, so the next
/// one has to be answered about then.
const LATE: Micros = Micros(1_000_000);
/// The longest gap after a silent call: with [`LATE`] half a second and more is left of those 2 s.
const RENEWED: Micros = Micros(300_000);
/// How long an asked service may hold a call back after silence or a break. Not 0: one that is behind would be asked twice
/// for one list.
const SHORT_WAIT: Micros = Micros(2_000_000);
/// The oldest call to a pushed agent is kept for so long: one that is slow is heard all the same.
const PATIENCE: Micros = Micros(5_000_000);
/// The longest pause of an agent whose answers can't be used, each twice the one before: a list that is too long or spoilt
/// stays so for a while, and reading it takes time that requests need.
const LONGEST_PAUSE: Micros = Micros(1_000_000);
/// Calls that may be out together, each with a connection and room for a list.
const MOST_OUT: usize = 4;

/// The times of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long discovery may hold a call back while it has no news.
    pub wait: Micros,
    /// How late an answer may be before the watch counts as broken.
    pub answer: Micros,
}

impl Times {
    /// For an agent of the own machine, by the time in which sends to a server that leaves must stop.
    pub fn pushed(grace: Micros) -> Times {
        let part = |part: f64, most: Micros| grace.times(part).clamp(LEAST, most);
        let (wait, answer) = (part(WAIT_PART, LONGEST_WAIT), part(ANSWER_PART, LONGEST_ANSWER));
        Times { wait, answer }
    }

    /// For the one service of all proxies.
    pub fn asked() -> Times {
        Times { wait: ASKED_WAIT, answer: LATE }
    }
}

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Under which it ends.
    pub number: u64,
    /// What came after this version; `None`: the whole list.
    pub after: Option<u64>,
    pub wait: Micros,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Call(Ask),
    /// This call is over: it stays silent, or another was answered first.
    Drop(u64),
    /// Nothing, until then or until something happens.
    Wait(Time),
}

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No answer when it had to be there.
    Silent,
    /// Refused or reset.
    Broken,
    /// Answered with what is no list: it speaks, and reading the same again costs time.
    Unusable,
}

/// What an answered call means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It is to be taken up.
    Good,
    /// Changes of another count than the one asked for: discovery began anew, and the whole list is asked for.
    Foreign,
    /// A call that was given up before.
    Late,
}

enum Mode {
    Pushed,
    /// `ordered`: the module wants to be told of changes. `lost`: it has to hear that it no more is. `first`: no call has
    /// been made yet. `doubted`: the last call was swallowed or broke.
    Asked {
        pacing: Pacing,
        ordered: bool,
        lost: bool,
        first: bool,
        doubted: bool,
    },
}

struct Out {
    ask: Ask,
    began: Time,
}

/// One proxy's watch on discovery.
///
/// ```text
///              answered: the next call at once (asked: after a gap)
///                 +------+
///                 v      |
///   start ----> Watched -+  one call out, on the connection held
///                 |   ^
///  late or failed |   | first answer: every other call is dropped
///                 v   |
///               Broken -+  pushed: a call every `answer`, each on a new connection, MOST_OUT at a time
///                 ^     |  asked: Lost is told, a gap, then one call when the module orders it
///                 +-----+
///   another address: from any state to the start, with nothing held
/// ```
pub struct Renewal {
    times: Times,
    mode: Mode,
    /// The version last had.
    held: Option<u64>,
    /// Oldest first.
    out: Vec<Out>,
    /// To be told as dropped.
    dropped: Vec<u64>,
    made: u64,
    /// No call goes out before.
    not_before: Time,
    /// Calls without an answer since the last one.
    unanswered: u32,
    /// Answers that could not be used, one after the other.
    unusable: u32,
}

impl Renewal {
    pub fn pushed(grace: Micros, held: Option<u64>) -> Renewal {
        Renewal::new(Times::pushed(grace), Mode::Pushed, held)
    }

    pub fn asked(pacing: Pacing, held: Option<u64>) -> Renewal {
        let mode = Mode::Asked { pacing, ordered: false, lost: false, first: true, doubted: false };
        Renewal::new(Times::asked(), mode, held)
    }

    fn new(times: Times, mode: Mode, held: Option<u64>) -> Renewal {
        let (out, dropped) = (Vec::new(), Vec::new());
        Renewal { times, mode, held, out, dropped, made: 0, not_before: Time(0), unanswered: 0, unusable: 0 }
    }

    /// Calls without an answer since the last one that had one.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    pub fn is_pushed(&self) -> bool {
        matches!(self.mode, Mode::Pushed)
    }

    /// The module wants to be told of changes.
    pub fn order(&mut self, now: Time) {
        if let Mode::Asked { pacing, ordered, first, .. } = &mut self.mode {
            *ordered = true;
            if std::mem::take(first) {
                self.not_before = self.not_before.max(now + micros(pacing.first()));
            }
        }
    }

    /// The module is to be told, once, that its watch is lost and has to be ordered anew.
    pub fn take_lost(&mut self) -> bool {
        match &mut self.mode {
            Mode::Asked { lost, .. } => std::mem::take(lost),
            Mode::Pushed => false,
        }
    }

    /// Discovery has another address: what is out there means nothing here, and its versions neither. An order stands.
    pub fn moved(&mut self, now: Time) {
        self.dropped.extend(self.out.drain(..).map(|o| o.ask.number));
        (self.held, self.unanswered, self.unusable) = (None, 0, 0);
        // A watch that was lost at the old address was ordered by nobody yet: the new one may go out all the same.
        if let Mode::Asked { ordered, first, .. } = &mut self.mode {
            *ordered |= !*first;
        }
        self.not_before = now;
    }

    /// A call was answered with a list. `news`: it brought the whole list, or a change.
    pub fn answered(&mut self, now: Time, number: u64, index: u64, whole: bool, news: bool) -> Heard {
        let Some(at) = self.out.iter().position(|o| o.ask.number == number) else { return Heard::Late };
        let out = self.out.remove(at);
        self.dropped.extend(self.out.drain(..).map(|o| o.ask.number));
        (self.unanswered, self.unusable) = (0, 0);
        let foreign = !whole && out.ask.after.is_none_or(|after| index < after);
        let early = now < out.began + out.ask.wait;
        self.not_before = match &mut self.mode {
            // One that answers at once, whatever wait it is asked for, must not be called without end.
            Mode::Pushed if early && (foreign || !news) => out.began + self.times.answer,
            Mode::Pushed => out.began + LEAST,
            Mode::Asked { pacing, doubted, .. } => {
                *doubted = false;
                now + micros(pacing.answered())
            }
        };
        self.held = Some(index).filter(|_| !foreign);
        if foreign {
            Heard::Foreign
        } else {
            Heard::Good
        }
    }

    /// A call has failed.
    pub fn failed(&mut self, now: Time, number: u64, why: Failure) {
        let Some(at) = self.out.iter().position(|o| o.ask.number == number) else { return };
        let out = self.out.remove(at);
        self.unanswered = self.unanswered.saturating_add(1);
        match &mut self.mode {
            Mode::Pushed => {
                // An agent that starts again may count from anew; the whole list costs it nothing.
                self.held = None;
                self.unusable = if why == Failure::Unusable { self.unusable + 1 } else { 0 };
                let pause = self.times.answer.times(f64::from(self.unusable.clamp(1, 8) - 1).exp2());
                self.not_before =
                    self.not_before.max(out.began + pause.min(LONGEST_PAUSE.max(self.times.answer)));
            }
            Mode::Asked { pacing, ordered, lost, doubted, .. } => {
                (*ordered, *lost, *doubted) = (false, true, why != Failure::Unusable);
                let gap = micros(pacing.failed());
                // What a silent call has missed counts as told soon; an overloaded service says so.
                self.not_before = now + if why == Failure::Silent { gap.min(RENEWED) } else { gap };
            }
        }
    }

    /// What to do now.
    pub fn step(&mut self, now: Time) -> Step {
        if let Some(number) = self.dropped.pop() {
            return Step::Drop(number);
        }
        // Only the oldest can be out of patience: the others began later, with no longer a wait.
        if let Some(oldest) = self.out.first().filter(|oldest| now >= self.given_up(oldest)) {
            let number = oldest.ask.number;
            self.failed(now, number, Failure::Silent);
            return Step::Drop(number);
        }
        match &mut self.mode {
            Mode::Pushed => {
                let newest = self.out.last().map_or(Time(0), |newest| self.late(newest));
                let due = self.not_before.max(newest);
                if now < due {
                    return Step::Wait(due);
                }
                if !self.out.is_empty() {
                    self.unanswered = self.unanswered.saturating_add(1);
                }
                // The oldest is heard out; of the younger ones the one that has waited longest makes room.
                if self.out.len() >= MOST_OUT {
                    let number = self.out.remove(1).ask.number;
                    self.dropped.push(number);
                }
                // Nothing is waited for while the agent is silent: it is to say at once that it is back.
                match (self.held, self.unanswered) {
                    (Some(held), 0) => self.call(now, Some(held), self.times.wait),
                    (Some(held), 1) => self.call(now, Some(held), Micros(0)),
                    _ => self.call(now, None, Micros(0)),
                }
            }
            Mode::Asked { pacing, ordered, doubted, .. } => {
                if let Some(only) = self.out.first() {
                    return Step::Wait(self.given_up(only));
                }
                if !*ordered {
                    return Step::Wait(Time(u64::MAX));
                }
                if now < self.not_before {
                    return Step::Wait(self.not_before);
                }
                let wait = match doubted {
                    false => self.times.wait.times(1.0 - ASKED_SPREAD * pacing.unit()),
                    true => SHORT_WAIT,
                };
                self.call(now, self.held, wait)
            }
        }
    }

    /// When an answer is late.
    fn late(&self, out: &Out) -> Time {
        out.began + out.ask.wait + self.times.answer
    }

    /// When no answer is expected any more.
    fn given_up(&self, out: &Out) -> Time {
        match self.mode {
            Mode::Pushed => out.began + PATIENCE,
            Mode::Asked { .. } => self.late(out),
        }
    }

    fn call(&mut self, now: Time, after: Option<u64>, wait: Micros) -> Step {
        self.made += 1;
        let ask = Ask { number: self.made, after, wait };
        self.out.push(Out { ask, began: now });
        Step::Call(ask)
    }
}

fn micros(span: std::time::Duration) -> Micros {
    Micros(span.as_micros() as u64)
}

#[cfg(test)]
#[path = "renewal/tests.rs"]
mod tests;
