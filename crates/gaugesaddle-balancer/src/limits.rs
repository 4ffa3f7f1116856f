//! Concurrency limits of backends, learned from their latency. No clock and no list: `logic` feeds it.
//!
//! In turns that all proxies derive from their common clock, a few backends of a kind have twice the limit of
//! the rest, too briefly to overload them, and a few have half of it, under the same traffic. Where a higher
//! concurrency does not raise latency, the backend serves all requests in parallel, on cores or waiting for
//! others: the kind's limit rises. Where latency rises in proportion, the additional requests only queue: it
//! falls. Only backends at the same time are compared, so neither a drift nor a start under overload biases
//! it, and no unloaded latency is needed. All proxies take the same turns, whatever limits they have learned:
//! one that raised a limit alone would take work from the others, count it as additional throughput, and go
//! on until the backend is overloaded (observed on a simulated day).

use crate::estimates::Mean;
use crate::interface::*;
use crate::mix::mix;

/// Lowest learned limit, in requests in flight: a shared processor at 80 % utilization has four in the mean.
/// With fewer requests the effect of a limit cannot be distinguished from chance.
pub(crate) const BASE_LIMIT: f64 = 4.0;
/// Number of turns in which a backend has one with a higher and one with a lower limit.
const TURNS: u64 = 8;
/// Factors of the limit in a lower, an even and a higher turn: far apart, since noise divides by the
/// contrast.
const TURN_FACTORS: [f64; 3] = [0.5, 1.0, 2.0];
/// Length of a turn in shortest latency objectives, and its bounds in seconds. One core with eight requests
/// for the shortest turn and four for the rest of 1.5 s has under five in the mean: it is not overloaded.
const TURN_OBJECTIVES: f64 = 1.4;
const TURN_S: (f64, f64) = (0.35, 2.0);
/// Fraction of a turn until the requests of the turn before have ended.
const SETTLING: f64 = 0.3;
/// Factors of the sums at each update: without a step of the limit, and after one, when most of them were
/// measured at another limit.
const MEMORY: f64 = 0.98;
const MOVED_MEMORY: f64 = 0.2;
/// Minimum answers in each of two groups, and minimum contrast of their concurrency (as a logarithm), for a
/// comparison.
const ANSWERS: f64 = 30.0;
const CONTRAST: f64 = 0.3;
/// Growth of latency with concurrency, both as logarithms: 0 where all requests are served in parallel, 1
/// where all queue. Below this the limit rises.
const KNEE: f64 = 0.5;
/// Maximum standard error of the growth for a step down.
const MAX_ERROR: f64 = 0.15;
/// Standard errors between the growth and the knee that a step up requires.
const CONFIDENCE: f64 = 2.0;
/// Headroom above the parallelism found, and the largest step towards it; both are factors.
const HEADROOM: f64 = 1.15;
const STEP: f64 = 1.25;
/// Smallest step up, as a factor.
const MIN_STEP_UP: f64 = 1.2;
/// Multiple of the lowest limit below which a measured parallelism is not significant.
const MIN_MEASURABLE: f64 = 1.5;
/// Latency relative to the kind's above which a backend gets a lower limit than its kind.
const SLOW_FACTOR: f64 = 1.5;
/// Samples in a backend's relative latency: of many turns, or it would follow each of them.
const RELATIVE_SAMPLES: f64 = 300.0;
/// Samples in a backend's recent latency, in a kind's unloaded one by class, and in the recent one that the
/// unloaded never exceeds.
const RECENT: f64 = 30.0;
const UNLOADED: f64 = 100.0;
const RECENT_CLASS: f64 = 300.0;
/// A kind's first requests of a class count as sent to unloaded backends, since a starting fleet has no load.
/// They are selected when they are sent, since the first answers come from the shortest requests: at least
/// this many, and all within this time in seconds.
const FIRST: u32 = 6;
const FIRST_S: f64 = 0.06;
/// Fraction of the first requests that may be in flight when their mean counts.
const FIRST_OUT: f64 = 0.1;
/// Multiple of the mean at which a sample is clipped: an unhealthy backend's answers must not move its kind's
/// mean. At twice the mean, that of exponential latencies would be biased low by a fifth.
const CLIP: f64 = 5.0;
/// Other proxies' requests in flight at a backend, estimated by this proxy's mean, below which it is idle.
pub(crate) const IDLE: f64 = 0.25;

/// The limit of a backend in a turn: lower, even or higher than its kind's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    Less,
    Even,
    More,
}

/// The length of a turn; the same at all proxies, since they have the same classes.
pub(crate) fn turn_length(cfg: &Config) -> Micros {
    let shortest = cfg.classes.iter().map(|c| c.latency_objective.secs()).fold(f64::MAX, f64::min);
    Micros::from_secs((shortest * TURN_OBJECTIVES).clamp(TURN_S.0, TURN_S.1))
}

/// A backend's turn: its number, its limit, and whether the requests of the turn before have ended.
pub(crate) fn turn(now: Time, id: BackendId, length: Micros) -> (u64, Turn, bool) {
    let number = now.0 / length.0.max(1);
    let turn = match mix(id.0).wrapping_add(number) % TURNS {
        0 => Turn::More,
        n if n == TURNS / 2 => Turn::Less,
        _ => Turn::Even,
    };
    (number, turn, (now.0 % length.0.max(1)) as f64 >= SETTLING * length.0 as f64)
}

/// Latencies of a class on a kind.
#[derive(Clone, Copy, Debug, Default)]
struct ClassLatency {
    unloaded: Mean,
    recent: Mean,
    /// First requests that were sent, and those of them that are in flight.
    first: u32,
    first_out: u32,
    since: Time,
}

impl ClassLatency {
    fn known(&self) -> bool {
        self.unloaded.count > 0.0 && f64::from(self.first_out) <= FIRST_OUT * f64::from(self.first)
    }
}

/// Unloaded latencies of a kind by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unloaded {
    classes: Vec<ClassLatency>,
}

impl Unloaded {
    fn class(&mut self, class: usize) -> &mut ClassLatency {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassLatency::default());
        }
        &mut self.classes[class]
    }

    /// The class's unloaded latency in seconds.
    pub fn get(&self, class: usize) -> Option<f64> {
        self.classes.get(class).filter(|c| c.known()).and_then(|c| c.unloaded.get())
    }

    /// Records that a request is sent; whether it is among the first.
    pub fn sent(&mut self, now: Time, class: usize) -> bool {
        let c = self.class(class);
        c.since = if c.first == 0 { now } else { c.since };
        let first = c.first < FIRST || (now - c.since).secs() < FIRST_S;
        (c.first, c.first_out) = (c.first + u32::from(first), c.first_out + u32::from(first));
        first
    }

    /// Records the end of one of the first requests.
    pub fn first_ended(&mut self, class: usize) {
        let c = self.class(class);
        c.first_out = c.first_out.saturating_sub(1);
    }

    /// Records a served request; `alone`: its backend had no other one in flight.
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
        // Nothing is faster than unloaded: a mean measured under load is corrected at low load.
        if c.recent.count >= RECENT_CLASS {
            c.unloaded.value = c.unloaded.value.min(c.recent.value);
        }
    }
}

/// Sums over the backends that had the same turn.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    answers: f64,
    /// Sum of latencies relative to their class's mean, and of their squares.
    took: f64,
    square: f64,
    /// Requests in flight times seconds, and the seconds.
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

    fn load(&self) -> f64 {
        self.area / self.secs.max(1e-9)
    }

    fn decay(&mut self, part: f64) {
        for sum in [&mut self.answers, &mut self.took, &mut self.square, &mut self.area, &mut self.secs] {
            *sum *= part;
        }
    }
}

/// The search for a kind's concurrency limit, by one proxy.
#[derive(Clone, Debug)]
pub(crate) struct Search {
    limit: f64,
    groups: [Group; 3],
    /// Why the limit moved last.
    pub reason: LimitReason,
}

impl Default for Search {
    fn default() -> Search {
        Search { limit: BASE_LIMIT, groups: [Group::default(); 3], reason: LimitReason::Start }
    }
}

impl Search {
    /// The limit of all proxies together for a backend of the kind in a turn.
    pub fn limit(&self, turn: Turn) -> f64 {
        // Below the lowest limit nothing is searched.
        let factor = TURN_FACTORS[turn as usize];
        self.limit * if self.limit <= BASE_LIMIT { factor.max(1.0) } else { factor }
    }

    /// The limit of the kind.
    pub fn found(&self) -> f64 {
        self.limit
    }

    /// Records an answer: the turn of its backend when it was sent, if settled; its latency relative to the
    /// class's mean.
    pub fn answered(&mut self, turn: Option<Turn>, relative: f64) {
        let Some(turn) = turn else { return };
        let group = &mut self.groups[turn as usize];
        group.answers += 1.0;
        group.took += relative;
        group.square += relative * relative;
    }

    /// Records the requests in flight at a backend, times seconds, over `secs` of a settled turn.
    pub fn record_load(&mut self, turn: Turn, area: f64, secs: f64) {
        let group = &mut self.groups[turn as usize];
        (group.area, group.secs) = (group.area + area, group.secs + secs);
    }

    /// Updates the limit.
    pub fn look(&mut self, bounds: &LimitBounds) {
        let least = if self.limit <= BASE_LIMIT { Turn::Even } else { Turn::Less };
        let before = self.limit;
        match self.growth(least, Turn::More) {
            Some((growth, error)) if growth + CONFIDENCE * error < KNEE => {
                // Up to the concurrency at which latency was still flat.
                let load = self.groups[Turn::More as usize].load();
                if load > self.limit {
                    self.limit = load.max(self.limit * MIN_STEP_UP);
                    self.reason = LimitReason::Flat;
                }
            }
            Some((growth, error)) if error < MAX_ERROR && self.limit > BASE_LIMIT => {
                // Latency is flat up to the parallelism, then proportional: the growth gives the
                // parallelism.
                let less = self.groups[least as usize].load();
                let more = self.groups[Turn::More as usize].load();
                let worked_on = more * (less / more).powf(growth.clamp(0.0, 1.0)) * HEADROOM;
                let limit = if worked_on < MIN_MEASURABLE * BASE_LIMIT { BASE_LIMIT } else { worked_on };
                self.limit = limit.clamp(self.limit / STEP, self.limit * STEP);
                self.reason = if self.limit < before { LimitReason::Congested } else { self.reason };
            }
            _ => {}
        }
        // The lowest limit holds unless the operator's maximum is below it.
        self.limit = self.limit.clamp(BASE_LIMIT.max(bounds.min).min(bounds.max), bounds.max.max(BASE_LIMIT));
        let memory = if (self.limit - before).abs() > 0.02 * before { MOVED_MEMORY } else { MEMORY };
        self.groups.iter_mut().for_each(|g| g.decay(memory));
    }

    /// Growth of latency with concurrency between two kinds of turns, and its standard error; `None` where
    /// their concurrency differs too little.
    pub fn growth(&self, from: Turn, to: Turn) -> Option<(f64, f64)> {
        let (less, more) = (&self.groups[from as usize], &self.groups[to as usize]);
        if less.answers < ANSWERS || more.answers < ANSWERS || less.load() <= 0.0 {
            return None;
        }
        let contrast = (more.load() / less.load()).ln();
        let ((low, low_error), (high, high_error)) = (less.latency(), more.latency());
        let error = (low_error + high_error).sqrt();
        (contrast > CONTRAST).then(|| ((high / low).ln() / contrast, error / contrast))
    }
}

/// What is learned of one backend by one proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limiter {
    /// Of recent answers: latency relative to their class's mean, latency, and unloaded latency, in seconds.
    relative: Mean,
    took: Mean,
    unloaded: Mean,
    /// Until when its requests in flight are counted, and in which settled turn that was.
    at: Time,
    turn: Option<(u64, Turn)>,
}

impl Limiter {
    /// To be called before its requests in flight change, and periodically: the turn, the requests times
    /// seconds, and the seconds since the last call, within one settled turn; `turn` is the current one.
    pub fn pass(&mut self, now: Time, turn: (u64, Turn, bool), out: u32) -> Option<(Turn, f64, f64)> {
        let (before, secs) = (self.turn, (now - self.at).secs());
        (self.turn, self.at) = (turn.2.then_some((turn.0, turn.1)), now);
        let same = before.filter(|b| Some(*b) == self.turn)?;
        Some((same.1, f64::from(out) * secs, secs))
    }

    /// Records a served request, with the usual and the unloaded latency of its class, in seconds.
    pub fn served(&mut self, secs: f64, usual: f64, unloaded: f64) {
        self.relative.add(secs / usual.max(1e-9), RELATIVE_SAMPLES);
        self.took.add(secs, RECENT);
        self.unloaded.add(unloaded, RECENT);
    }

    /// Its latency relative to its kind's, 1 where unknown. It is divided out of samples: what makes one
    /// backend slower than others does not depend on its concurrency.
    pub fn relative(&self) -> f64 {
        self.relative.get().unwrap_or(1.0)
    }

    /// Recent latency, and the unloaded latency of the same requests, in seconds.
    pub fn latencies(&self) -> Option<(f64, f64)> {
        self.took.get().zip(self.unloaded.get())
    }

    /// Its limit, given its kind's: a backend much slower than the others has the lowest limit, and a
    /// fraction of the rest.
    pub fn own(&self, kind: f64) -> f64 {
        let part = (SLOW_FACTOR / self.relative.value).min(1.0);
        let part = if self.relative.count < RECENT / 3.0 { 1.0 } else { part };
        kind.min(BASE_LIMIT) + (kind - BASE_LIMIT).max(0.0) * part
    }
}

#[cfg(test)]
mod tests;
