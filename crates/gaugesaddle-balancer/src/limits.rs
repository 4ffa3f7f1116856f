//! What a backend may hold, learned from what it does. No clock, no list: `logic` feeds it.
//!
//! By turns that all proxies read off the clock that they share, a few backends of a kind may hold twice as
//! much as the rest for a moment too short to choke anything, and a few only half, under the same traffic.
//! Where holding more makes answers no later, the backend works on all of it at once, on cores or waiting
//! for others, neither of which is told: the kind may hold more. Where answers are later in proportion, the
//! rest only queues: less. Nothing is compared with another time, so neither a drift nor a start in overload
//! can fool it, and no unloaded latency need be known. All proxies take the same turns, whatever they have
//! found: one that opens a backend alone takes its work from the others, sees that as more served, and goes
//! on until the backend chokes (seen on a simulated day).

use crate::estimates::Mean;
use crate::interface::*;
use crate::mix::mix;

/// Requests that any backend may hold: a shared processor at four fifths of its capacity holds four. What is
/// learned lies above it, for on fewer than these it cannot be told from chance.
pub(crate) const HOLD: f64 = 4.0;
/// Of so many turns a backend has one to hold more and one to hold less.
const TURNS: u64 = 8;
/// What it may hold in them, beside the others: far apart, for noise is shared out over the difference.
const PARTS: [f64; 3] = [0.5, 1.0, 2.0];
/// A turn lasts so many aims of the shortest class, in these bounds, s. One core that holds eight for the
/// least of them and four for the rest of 1.5 s holds under five in the mean: it does not choke.
const TURN_AIMS: f64 = 1.4;
const TURN_S: (f64, f64) = (0.35, 2.0);
/// Part of a turn until what was held before has left.
const SETTLE: f64 = 0.3;
/// What a look keeps of the sums of those before it, and what a step of the limit does: most was seen of
/// another one.
const MEMORY: f64 = 0.98;
const MOVED: f64 = 0.2;
/// Answers in each group, and how much more (as a logarithm) one group must hold than the other, to be
/// compared.
const ANSWERS: f64 = 30.0;
const CONTRAST: f64 = 0.3;
/// Growth of latency with what is held, both as logarithms: 0 where all is worked on at once, 1 where all
/// queues. Up to this more is tried.
const KNEE: f64 = 0.5;
/// An error of the growth up to which it tells where the knee is.
const TELLS: f64 = 0.15;
/// Errors that must lie between the growth and the knee before a step up.
const SURE: f64 = 2.0;
/// Room above what is worked on, and the most that a step towards it is.
const ROOM: f64 = 1.15;
const STEP: f64 = 1.25;
/// Least step where holding more makes nothing later.
const UP: f64 = 1.2;
/// Under this multiple of the least limit what is worked on can't be told from chance.
const TOLD: f64 = 1.5;
/// Latency of a backend beside its kind's from which it is held to less than the kind.
const ILL: f64 = 1.5;
/// Samples in a backend's latency beside its kind's: many of its turns, or it would follow each of them.
const BESIDE: f64 = 300.0;
/// Samples in a backend's recent latency, in a kind's unloaded one by class, and in the recent one that the
/// unloaded never exceeds.
const RECENT: f64 = 30.0;
const UNLOADED: f64 = 100.0;
const RECENT_CLASS: f64 = 300.0;
/// A kind's first requests of a class are taken as alone: a fleet that starts holds nothing yet. They are
/// chosen as they are sent, for those that are answered first are the short ones: so many at least, and all
/// in this time, s.
const FIRST: u32 = 6;
const FIRST_S: f64 = 0.06;
/// Part of the first that may be out when their mean counts.
const FIRST_OUT: f64 = 0.1;
/// One sample counts up to this multiple of the mean: an ill backend's answers say nothing of its kind. At
/// twice the mean that of exponential latencies would come out a fifth low.
const CLIP: f64 = 5.0;
/// What all others hold on a backend, by this proxy's mean of all, up to which one counts as idle.
pub(crate) const IDLE: f64 = 0.25;

/// What a backend is held to for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    Less,
    Even,
    More,
}

/// The length of a turn; alike at all proxies, for they have the same classes.
pub(crate) fn turn_length(cfg: &Config) -> Micros {
    let aim = cfg.classes.iter().map(|c| c.aim.secs()).fold(f64::MAX, f64::min);
    Micros::from_secs((aim * TURN_AIMS).clamp(TURN_S.0, TURN_S.1))
}

/// A backend's turn: its number, what it is, and whether what was held before has left.
pub(crate) fn turn(now: Time, id: BackendId, length: Micros) -> (u64, Turn, bool) {
    let number = now.0 / length.0.max(1);
    let turn = match mix(id.0).wrapping_add(number) % TURNS {
        0 => Turn::More,
        n if n == TURNS / 2 => Turn::Less,
        _ => Turn::Even,
    };
    (number, turn, (now.0 % length.0.max(1)) as f64 >= SETTLE * length.0 as f64)
}

/// What is known of a class on a kind.
#[derive(Clone, Copy, Debug, Default)]
struct OfClass {
    unloaded: Mean,
    recent: Mean,
    /// First requests that were sent, and those of them that are out.
    first: u32,
    first_out: u32,
    since: Time,
}

impl OfClass {
    fn known(&self) -> bool {
        self.unloaded.count > 0.0 && f64::from(self.first_out) <= FIRST_OUT * f64::from(self.first)
    }
}

/// Unloaded latencies of a kind by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unloaded {
    classes: Vec<OfClass>,
}

impl Unloaded {
    fn class(&mut self, class: usize) -> &mut OfClass {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, OfClass::default());
        }
        &mut self.classes[class]
    }

    /// The class's, s.
    pub fn get(&self, class: usize) -> Option<f64> {
        self.classes.get(class).filter(|c| c.known()).and_then(|c| c.unloaded.get())
    }

    /// One is sent: whether it is among the first.
    pub fn sent(&mut self, now: Time, class: usize) -> bool {
        let c = self.class(class);
        c.since = if c.first == 0 { now } else { c.since };
        let first = c.first < FIRST || (now - c.since).secs() < FIRST_S;
        (c.first, c.first_out) = (c.first + u32::from(first), c.first_out + u32::from(first));
        first
    }

    /// One of the first has ended, however.
    pub fn first_ended(&mut self, class: usize) {
        let c = self.class(class);
        c.first_out = c.first_out.saturating_sub(1);
    }

    /// Takes in a served request; `alone`: its backend held nothing else.
    pub fn served(&mut self, class: usize, secs: f64, alone: bool) {
        let c = self.class(class);
        let most = if c.known() { c.unloaded.value * CLIP } else { f64::MAX };
        if alone {
            c.unloaded.add(secs.min(most), UNLOADED);
        }
        if !c.known() {
            return;
        }
        c.recent.add(secs, RECENT_CLASS);
        // Nothing is faster than unloaded: a mean that was taken in a crowd goes with the first calm.
        if c.recent.count >= RECENT_CLASS {
            c.unloaded.value = c.unloaded.value.min(c.recent.value);
        }
    }
}

/// Sums over the backends that had the same turn.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    answers: f64,
    /// Latency beside its class's mean, and its square.
    took: f64,
    square: f64,
    /// Requests held, times seconds, and the seconds.
    area: f64,
    secs: f64,
}

impl Group {
    /// Mean latency and the square of its relative error.
    fn latency(&self) -> (f64, f64) {
        let mean = self.took / self.answers;
        let spread = (self.square / self.answers - mean * mean).max(0.0);
        (mean, spread / (self.answers * mean * mean).max(1e-12))
    }

    fn held(&self) -> f64 {
        self.area / self.secs.max(1e-9)
    }

    fn fade(&mut self, part: f64) {
        for sum in [&mut self.answers, &mut self.took, &mut self.square, &mut self.area, &mut self.secs] {
            *sum *= part;
        }
    }
}

/// The search for what a kind may hold, by one proxy.
#[derive(Clone, Debug)]
pub(crate) struct Search {
    limit: f64,
    groups: [Group; 3],
    /// Why the limit moved last.
    pub why: LimitReason,
}

impl Default for Search {
    fn default() -> Search {
        Search { limit: HOLD, groups: [Group::default(); 3], why: LimitReason::Start }
    }
}

impl Search {
    /// What all proxies may hold on a backend of the kind in its turn.
    pub fn limit(&self, turn: Turn) -> f64 {
        // Below the least limit there is nothing to look for.
        let part = if self.limit <= HOLD { PARTS[turn as usize].max(1.0) } else { PARTS[turn as usize] };
        self.limit * part
    }

    /// What a backend of the kind may hold beside its turns.
    pub fn found(&self) -> f64 {
        self.limit
    }

    /// An answer: `turn` that of its backend when it was sent, if it had settled; its latency beside its
    /// class's mean.
    pub fn answered(&mut self, turn: Option<Turn>, beside: f64) {
        let Some(turn) = turn else { return };
        let group = &mut self.groups[turn as usize];
        group.answers += 1.0;
        group.took += beside;
        group.square += beside * beside;
    }

    /// A backend held so much for so long in a settled turn.
    pub fn held(&mut self, turn: Turn, area: f64, secs: f64) {
        let group = &mut self.groups[turn as usize];
        (group.area, group.secs) = (group.area + area, group.secs + secs);
    }

    /// Moves the limit.
    pub fn look(&mut self, bounds: &LimitBounds) {
        let least = if self.limit <= HOLD { Turn::Even } else { Turn::Less };
        let before = self.limit;
        match self.growth(least, Turn::More) {
            Some((growth, error)) if growth + SURE * error < KNEE => {
                // Up, as far as what was held has shown that it is flat.
                let held = self.groups[Turn::More as usize].held();
                if held > self.limit {
                    self.limit = held.max(self.limit * UP);
                    self.why = LimitReason::Flat;
                }
            }
            Some((growth, error)) if error < TELLS && self.limit > HOLD => {
                // Flat up to what is worked on at once, then in proportion: the growth says how much that
                // is.
                let (less, more) =
                    (self.groups[least as usize].held(), self.groups[Turn::More as usize].held());
                let worked_on = more * (less / more).powf(growth.clamp(0.0, 1.0)) * ROOM;
                let told = if worked_on < TOLD * HOLD { HOLD } else { worked_on };
                self.limit = told.clamp(self.limit / STEP, self.limit * STEP);
                self.why = if self.limit < before { LimitReason::Crowded } else { self.why };
            }
            _ => {}
        }
        // What is learned lies above what any backend may hold, unless the operator wants less.
        self.limit = self.limit.clamp(HOLD.max(bounds.least).min(bounds.most), bounds.most.max(HOLD));
        let memory = if (self.limit - before).abs() > 0.02 * before { MOVED } else { MEMORY };
        self.groups.iter_mut().for_each(|g| g.fade(memory));
    }

    /// Growth of latency with what is held from one sort of turn to another, and its standard error, where
    /// they differ enough to tell.
    pub fn growth(&self, from: Turn, to: Turn) -> Option<(f64, f64)> {
        let (less, more) = (&self.groups[from as usize], &self.groups[to as usize]);
        if less.answers < ANSWERS || more.answers < ANSWERS || less.held() <= 0.0 {
            return None;
        }
        let contrast = (more.held() / less.held()).ln();
        let ((low, low_error), (high, high_error)) = (less.latency(), more.latency());
        let error = (low_error + high_error).sqrt();
        (contrast > CONTRAST).then(|| ((high / low).ln() / contrast, error / contrast))
    }
}

/// What is learned of one backend by one proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limiter {
    /// Recent answers: latency beside their class's mean, latency, and unloaded latency, s.
    beside: Mean,
    took: Mean,
    unloaded: Mean,
    /// Until when what it holds is counted, and in which settled turn that was.
    at: Time,
    turn: Option<(u64, Turn)>,
}

impl Limiter {
    /// Before what it holds changes, and now and then: what it held, and for how long, in a settled turn;
    /// `turn` is the present one.
    pub fn pass(&mut self, now: Time, turn: (u64, Turn, bool), out: u32) -> Option<(Turn, f64, f64)> {
        let (before, secs) = (self.turn, (now - self.at).secs());
        (self.turn, self.at) = (turn.2.then_some((turn.0, turn.1)), now);
        let same = before.filter(|b| Some(*b) == self.turn)?;
        Some((same.1, f64::from(out) * secs, secs))
    }

    /// A served request.
    pub fn served(&mut self, secs: f64, usual: f64, unloaded: f64) {
        self.beside.add(secs / usual.max(1e-9), BESIDE);
        self.took.add(secs, RECENT);
        self.unloaded.add(unloaded, RECENT);
    }

    /// Its latency beside its kind's, as far as that is known: what makes one backend slower than another
    /// says nothing of how much it holds.
    pub fn beside(&self) -> f64 {
        self.beside.get().unwrap_or(1.0)
    }

    /// Recent latency and what it would be unloaded, s.
    pub fn latencies(&self) -> Option<(f64, f64)> {
        self.took.get().zip(self.unloaded.get())
    }

    /// What it may hold of what its kind may: one that answers much later than the others keeps what any
    /// backend may hold, and less of the rest.
    pub fn own(&self, kind: f64) -> f64 {
        let part = if self.beside.count < RECENT / 3.0 { 1.0 } else { (ILL / self.beside.value).min(1.0) };
        kind.min(HOLD) + (kind - HOLD).max(0.0) * part
    }
}

#[cfg(test)]
mod tests;
