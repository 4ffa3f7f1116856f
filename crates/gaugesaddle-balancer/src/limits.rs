//! Concurrency limits of backends, learned from their latency.
//!
//! Time is divided into turns, which all proxies derive from their common clock. In a turn a few backends of
//! a kind have twice the limit of the rest, too briefly to overload them, and a few have half of it, under
//! the same traffic. If a higher concurrency does not raise latency, the backend serves all requests in
//! parallel, on cores or waiting for other services: the kind's limit rises. If latency rises in proportion,
//! the additional requests only queue: the limit falls. Only backends in the same turn are compared, so
//! neither drift nor a start under overload biases the result, and no unloaded latency is needed. All proxies
//! have the same turns, whatever limits they have learned: a proxy that raised a limit alone would take work
//! from the others, measure it as additional throughput, and continue until the backend is overloaded
//! (observed in a simulation of one day).

use crate::estimates::Mean;
use crate::interface::*;
use crate::mix::mix;

/// Lowest learned limit, in requests in flight: a shared processor at 80 % utilization has a mean of four.
/// With fewer requests the effect of a limit cannot be distinguished from chance.
pub(crate) const BASE_LIMIT: f64 = 4.0;
/// Length of a cycle in turns; in each cycle a backend has one turn with a higher and one with a lower limit.
const TURN_CYCLE: u64 = 8;
/// Factors of the limit in a lower, an even and a higher turn: far apart, since the error of the growth is
/// inversely proportional to the contrast.
const TURN_FACTORS: [f64; 3] = [0.5, 1.0, 2.0];
/// Length of a turn in shortest latency objectives, and its bounds in seconds. One core with eight requests
/// for the shortest turn and four for the rest of 1.5 s has a mean below five: it is not overloaded.
const TURN_OBJECTIVES: f64 = 1.4;
const TURN_S: (f64, f64) = (0.35, 2.0);
/// Fraction of a turn after which the requests of the previous turn have ended.
const SETTLING_FRACTION: f64 = 0.3;
/// Factors of the sums at each update: without a step of the limit, and after one, when most samples were
/// measured at another limit.
const DECAY: f64 = 0.98;
const DECAY_AFTER_STEP: f64 = 0.2;
/// Minimum answers in each of two turns, and minimum contrast of their concurrency (as a logarithm), for a
/// comparison.
const MIN_ANSWERS: f64 = 30.0;
const MIN_CONTRAST: f64 = 0.3;
/// Growth of latency with concurrency, both as logarithms, below which the limit rises: 0 if all requests
/// are served in parallel, 1 if all queue.
const KNEE: f64 = 0.5;
/// Maximum standard error of the growth for a step down.
const MAX_ERROR: f64 = 0.15;
/// Distance between the growth and the knee, in standard errors, that a step up requires.
const CONFIDENCE: f64 = 2.0;
/// Factors: headroom above the measured parallelism, and the largest step towards it.
const HEADROOM: f64 = 1.15;
const MAX_STEP: f64 = 1.25;
/// Smallest step up, as a factor.
const MIN_STEP_UP: f64 = 1.2;
/// Multiple of the lowest limit below which a measured parallelism is not significant.
const MIN_MEASURABLE: f64 = 1.5;
/// Latency relative to that of the kind above which a backend has a lower limit than its kind.
const SLOW_FACTOR: f64 = 1.5;
/// Samples in a backend's relative latency: from many turns, so that it does not follow a single turn.
const RELATIVE_SAMPLES: f64 = 300.0;
/// Samples in a backend's recent latency, and by class in a kind's unloaded and recent latency. The recent
/// one is an upper bound of the unloaded one.
const RECENT_SAMPLES: f64 = 30.0;
const UNLOADED_SAMPLES: f64 = 100.0;
const RECENT_CLASS_SAMPLES: f64 = 300.0;
/// A kind's first requests of a class count as sent to unloaded backends, since a starting fleet has no load.
/// They are selected when they are sent, since the first answers are those of the shortest requests: at least
/// this number, and all within this time in seconds.
const MIN_FIRST_REQUESTS: u32 = 6;
const FIRST_REQUESTS_S: f64 = 0.06;
/// Fraction of the first requests that may still be in flight when their mean latency is used.
const MAX_FIRST_IN_FLIGHT: f64 = 0.1;
/// Multiple of the mean at which a sample is clipped: an unhealthy backend must not move the mean of its
/// kind. Clipping at twice the mean would bias the mean of exponential latencies low by a fifth.
const UNLOADED_CLIP: f64 = 5.0;
/// Requests of other proxies in flight at a backend, estimated by this proxy's mean, below which it is idle.
pub(crate) const MAX_IDLE_LOAD: f64 = 0.25;

/// The limit of a backend in a turn: lower than, equal to or higher than the limit of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    Lower,
    Even,
    Higher,
}

/// The length of a turn: the same at all proxies, since they have the same classes.
pub(crate) fn turn_length(cfg: &Config) -> Micros {
    let shortest = cfg.classes.iter().map(|c| c.latency_objective.secs()).fold(f64::MAX, f64::min);
    Micros::from_secs((shortest * TURN_OBJECTIVES).clamp(TURN_S.0, TURN_S.1))
}

/// A backend's current turn: its number, its limit, and whether the requests of the previous turn have ended.
pub(crate) fn turn(now: Time, id: BackendId, length: Micros) -> (u64, Turn, bool) {
    let number = now.0 / length.0.max(1);
    let turn = match mix(id.0).wrapping_add(number) % TURN_CYCLE {
        0 => Turn::Higher,
        n if n == TURN_CYCLE / 2 => Turn::Lower,
        _ => Turn::Even,
    };
    (number, turn, (now.0 % length.0.max(1)) as f64 >= SETTLING_FRACTION * length.0 as f64)
}

/// Latencies of a class on a kind.
#[derive(Clone, Copy, Debug, Default)]
struct ClassLatency {
    unloaded: Mean,
    recent: Mean,
    /// Number of first requests sent, number of these in flight, and the time of the first one.
    first_sent: u32,
    first_in_flight: u32,
    first_sent_at: Time,
}

impl ClassLatency {
    fn is_known(&self) -> bool {
        self.unloaded.count > 0.0
            && f64::from(self.first_in_flight) <= MAX_FIRST_IN_FLIGHT * f64::from(self.first_sent)
    }
}

/// Unloaded latencies of a kind by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnloadedLatencies {
    classes: Vec<ClassLatency>,
}

impl UnloadedLatencies {
    fn class(&mut self, class: usize) -> &mut ClassLatency {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassLatency::default());
        }
        &mut self.classes[class]
    }

    /// The class's unloaded latency in seconds.
    pub fn get(&self, class: usize) -> Option<f64> {
        self.classes.get(class).filter(|c| c.is_known()).and_then(|c| c.unloaded.get())
    }

    /// Records that a request is sent. Returns whether it is among the first.
    pub fn sent(&mut self, now: Time, class: usize) -> bool {
        let c = self.class(class);
        c.first_sent_at = if c.first_sent == 0 { now } else { c.first_sent_at };
        let first = c.first_sent < MIN_FIRST_REQUESTS || (now - c.first_sent_at).secs() < FIRST_REQUESTS_S;
        (c.first_sent, c.first_in_flight) =
            (c.first_sent + u32::from(first), c.first_in_flight + u32::from(first));
        first
    }

    pub fn first_ended(&mut self, class: usize) {
        let c = self.class(class);
        c.first_in_flight = c.first_in_flight.saturating_sub(1);
    }

    /// Records a served request; `alone` if its backend had no other request in flight.
    pub fn served(&mut self, class: usize, secs: f64, alone: bool) {
        let c = self.class(class);
        let max_secs = if c.is_known() { c.unloaded.value * UNLOADED_CLIP } else { f64::MAX };
        if alone {
            c.unloaded.add(secs.min(max_secs), UNLOADED_SAMPLES);
        }
        if !c.is_known() {
            return;
        }
        c.recent.add(secs, RECENT_CLASS_SAMPLES);
        // The unloaded latency is the lowest: a mean measured under load is corrected at low load.
        if c.recent.count >= RECENT_CLASS_SAMPLES {
            c.unloaded.value = c.unloaded.value.min(c.recent.value);
        }
    }
}

/// Sums over the answers of all backends that had the same kind of turn.
#[derive(Clone, Copy, Debug, Default)]
struct TurnSums {
    count: f64,
    /// Sum of the latencies relative to the mean of their class, and sum of their squares.
    latency: f64,
    squares: f64,
    /// Requests in flight times seconds, and seconds.
    load_s: f64,
    secs: f64,
}

impl TurnSums {
    /// Mean latency and the square of its relative error.
    fn latency(&self) -> (f64, f64) {
        let mean = self.latency / self.count;
        let spread = (self.squares / self.count - mean * mean).max(0.0);
        (mean, spread / (self.count * mean * mean).max(1e-12))
    }

    fn load(&self) -> f64 {
        self.load_s / self.secs.max(1e-9)
    }

    fn decay(&mut self, factor: f64) {
        for sum in [&mut self.count, &mut self.latency, &mut self.squares, &mut self.load_s, &mut self.secs] {
            *sum *= factor;
        }
    }
}

/// The search of one proxy for the concurrency limit of a kind.
#[derive(Clone, Debug)]
pub(crate) struct LimitSearch {
    limit: f64,
    turn_sums: [TurnSums; 3],
    /// Reason for the last change of the limit.
    pub reason: LimitReason,
}

impl Default for LimitSearch {
    fn default() -> LimitSearch {
        LimitSearch { limit: BASE_LIMIT, turn_sums: [TurnSums::default(); 3], reason: LimitReason::Start }
    }
}

impl LimitSearch {
    /// The limit of all proxies together for a backend of the kind in a turn.
    pub fn limit(&self, turn: Turn) -> f64 {
        // No limit below the lowest one is tried.
        let factor = TURN_FACTORS[turn as usize];
        self.limit * if self.limit <= BASE_LIMIT { factor.max(1.0) } else { factor }
    }

    pub fn kind_limit(&self) -> f64 {
        self.limit
    }

    /// Records an answer: the turn of its backend when it was sent, if settled, and its latency relative to
    /// the mean of its class.
    pub fn record_latency(&mut self, turn: Option<Turn>, relative: f64) {
        let Some(turn) = turn else { return };
        let sums = &mut self.turn_sums[turn as usize];
        sums.count += 1.0;
        sums.latency += relative;
        sums.squares += relative * relative;
    }

    /// Records the requests in flight at a backend, times seconds, over `secs` of a settled turn.
    pub fn record_load(&mut self, turn: Turn, load_s: f64, secs: f64) {
        let sums = &mut self.turn_sums[turn as usize];
        (sums.load_s, sums.secs) = (sums.load_s + load_s, sums.secs + secs);
    }

    pub fn update(&mut self, bounds: &LimitBounds) {
        let lower_turn = if self.limit <= BASE_LIMIT { Turn::Even } else { Turn::Lower };
        let before = self.limit;
        match self.growth(lower_turn, Turn::Higher) {
            Some((growth, error)) if growth + CONFIDENCE * error < KNEE => {
                // Up to the highest concurrency at which latency was flat.
                let load = self.turn_sums[Turn::Higher as usize].load();
                if load > self.limit {
                    self.limit = load.max(self.limit * MIN_STEP_UP);
                    self.reason = LimitReason::Flat;
                }
            }
            Some((growth, error)) if error < MAX_ERROR && self.limit > BASE_LIMIT => {
                // Latency is flat up to the parallelism and proportional above it, so the growth yields it.
                let less = self.turn_sums[lower_turn as usize].load();
                let more = self.turn_sums[Turn::Higher as usize].load();
                let parallelism = more * (less / more).powf(growth.clamp(0.0, 1.0)) * HEADROOM;
                let limit = if parallelism < MIN_MEASURABLE * BASE_LIMIT { BASE_LIMIT } else { parallelism };
                self.limit = limit.clamp(self.limit / MAX_STEP, self.limit * MAX_STEP);
                self.reason = if self.limit < before { LimitReason::Congested } else { self.reason };
            }
            _ => {}
        }
        // The limit is at least `BASE_LIMIT` unless the operator's maximum is below that.
        self.limit = self.limit.clamp(BASE_LIMIT.max(bounds.min).min(bounds.max), bounds.max.max(BASE_LIMIT));
        let factor = if (self.limit - before).abs() > 0.02 * before { DECAY_AFTER_STEP } else { DECAY };
        self.turn_sums.iter_mut().for_each(|g| g.decay(factor));
    }

    /// Growth of latency with concurrency between two kinds of turns, and its standard error; `None` if
    /// answers are too few or concurrency differs too little.
    pub fn growth(&self, from: Turn, to: Turn) -> Option<(f64, f64)> {
        let (less, more) = (&self.turn_sums[from as usize], &self.turn_sums[to as usize]);
        if less.count < MIN_ANSWERS || more.count < MIN_ANSWERS || less.load() <= 0.0 {
            return None;
        }
        let contrast = (more.load() / less.load()).ln();
        let ((low, low_error), (high, high_error)) = (less.latency(), more.latency());
        let error = (low_error + high_error).sqrt();
        (contrast > MIN_CONTRAST).then(|| ((high / low).ln() / contrast, error / contrast))
    }
}

/// The latency estimates of one backend at one proxy, and the limit that follows from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Limiter {
    /// Means of recent answers: latency relative to the class, latency and unloaded latency in seconds.
    relative: Mean,
    took: Mean,
    unloaded: Mean,
    /// Time of the last load sample, and the settled turn in which it was taken.
    at: Time,
    turn: Option<(u64, Turn)>,
}

impl Limiter {
    /// The load since the last call, within one settled turn: turn, requests in flight times seconds,
    /// seconds. Must be called with the current turn periodically and before the requests in flight change.
    pub fn sample(&mut self, now: Time, turn: (u64, Turn, bool), in_flight: u32) -> Option<(Turn, f64, f64)> {
        let (before, secs) = (self.turn, (now - self.at).secs());
        (self.turn, self.at) = (turn.2.then_some((turn.0, turn.1)), now);
        let same = before.filter(|b| Some(*b) == self.turn)?;
        Some((same.1, f64::from(in_flight) * secs, secs))
    }

    /// Records a served request with the mean and the unloaded latency of its class, in seconds.
    pub fn served(&mut self, secs: f64, usual: f64, unloaded: f64) {
        self.relative.add(secs / usual.max(1e-9), RELATIVE_SAMPLES);
        self.took.add(secs, RECENT_SAMPLES);
        self.unloaded.add(unloaded, RECENT_SAMPLES);
    }

    /// Its latency relative to that of its kind, 1 if unknown. Samples are divided by it: a backend may be
    /// slower than others for reasons that don't depend on its concurrency.
    pub fn relative(&self) -> f64 {
        self.relative.get().unwrap_or(1.0)
    }

    /// Mean recent latency, and mean unloaded latency of the same requests, in seconds.
    pub fn recent_latencies(&self) -> Option<(f64, f64)> {
        self.took.get().zip(self.unloaded.get())
    }

    /// Its limit, given its kind's: a backend much slower than the others gets the lowest limit plus a
    /// fraction of the rest.
    pub fn limit(&self, kind: f64) -> f64 {
        let part = (SLOW_FACTOR / self.relative.value).min(1.0);
        let part = if self.relative.count < RECENT_SAMPLES / 3.0 { 1.0 } else { part };
        kind.min(BASE_LIMIT) + (kind - BASE_LIMIT).max(0.0) * part
    }
}

#[cfg(test)]
mod tests;
