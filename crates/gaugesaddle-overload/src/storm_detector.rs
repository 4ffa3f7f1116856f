//! Detects storms by the fraction of retries and of requests that are not served, beside a memory of the usual rate.

use gaugesaddle_balancer::{Micros, Time};

/// The phase of a storm, as one proxy sees it.
///
/// ```text
///            pressure            pressure for RISING_TIME
///   Calm ---------------> Rising ------------------------> Storm
///    ^                      |                              |   ^
///    |  none for FADE_TIME  |           none for EASE_TIME |   | pressure
///    |<---------------------+                              v   |
///    +-------------------------------------------------- Recovering
///                     none for RECOVERY_TIME
/// ```
///
/// A phase lasts its stated time at least, so that nothing flaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StormPhase {
    /// As usual.
    Calm,
    /// Pressure, not yet for long.
    Rising,
    /// A storm.
    Storm,
    /// It has passed; what was refused still comes back.
    Recovering,
}

impl StormPhase {
    /// Whether requests are limited and retries spread.
    pub fn is_damping(self) -> bool {
        matches!(self, StormPhase::Storm | StormPhase::Recovering)
    }

    /// The name in logs and states.
    pub fn name(self) -> &'static str {
        match self {
            StormPhase::Calm => "calm",
            StormPhase::Rising => "rising",
            StormPhase::Storm => "storm",
            StormPhase::Recovering => "recovering",
        }
    }
}

/// Pressure must last this long to be a storm: two observations in a row.
pub(crate) const RISING_TIME: Micros = Micros(400_000);
/// Without pressure for this long a rise was no storm.
pub(crate) const FADE_TIME: Micros = Micros(1_000_000);
/// Without pressure for this long a storm is over.
pub(crate) const EASE_TIME: Micros = Micros(3_000_000);
/// Refused clients retry within this time, or not at all.
pub(crate) const RECOVERY_TIME: Micros = Micros(10_000_000);

/// Time constant of the usual rate, in seconds: minutes, so that a storm of one minute does not become usual, and short beside
/// the growth of a day.
const USUAL_MEMORY_S: f64 = 180.0;
/// An observation counts for at most this multiple of the usual rate: a burst hardly moves the memory.
const BURST_CLIP: f64 = 3.0;
/// Seconds of memory before the usual rate is known.
const MIN_USUAL_MEMORY_S: f64 = 10.0;
/// Fraction of retries from which there is pressure. Usual clients retry at most once, after a
/// failure: a tenth would mean that a tenth fails.
const MIN_REPEAT_FRACTION: f64 = 0.25;
/// Beside it, either this multiple of the usual rate is needed ...
const MIN_GROWTH_FACTOR: f64 = 1.3;
/// ... or this fraction of requests that are not served.
const MIN_UNSERVED_FRACTION: f64 = 0.1;
/// Fewer requests in an observation are not evaluated.
const MIN_REQUESTS: f64 = 8.0;

/// Counts since the last observation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficCounts {
    /// Requests.
    pub requests: u32,
    /// Retries among them.
    pub retries: u32,
    /// New connections.
    pub connects: u32,
    /// Requests that were served within their latency objective.
    pub within_objective: u32,
    /// Served too late.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Attempts sent.
    pub attempts: u32,
}

/// The figures by which a phase was decided.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficFigures {
    /// Requests a second.
    pub per_s: f64,
    /// The usual rate, once it is known.
    pub usual_per_s: Option<f64>,
    /// Fraction of retries.
    pub retry_fraction: f64,
    /// Fraction of ended requests that were not served.
    pub unserved_fraction: f64,
    /// Connections per request.
    pub connects_per_request: f64,
    /// Attempts per request.
    pub attempts_per_request: f64,
}

impl std::fmt::Display for TrafficFigures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let usual = self.usual_per_s.map_or("unknown".into(), |u| format!("{u:.0}"));
        write!(
            f,
            "{:.0} requests/s (usual {usual}), {:.0}% again, {:.0}% not served, {:.2} connects and {:.2} attempts a request",
            self.per_s,
            self.retry_fraction * 100.0,
            self.unserved_fraction * 100.0,
            self.connects_per_request,
            self.attempts_per_request
        )
    }
}

/// The detector and its memory.
#[derive(Clone, Debug)]
pub struct StormDetector {
    phase: StormPhase,
    since: Time,
    /// When there was pressure last.
    last_pressure: Option<Time>,
    at: Option<Time>,
    usual: f64,
    weight: f64,
    figures: TrafficFigures,
}

impl Default for StormDetector {
    fn default() -> StormDetector {
        StormDetector {
            phase: StormPhase::Calm,
            since: Time(0),
            last_pressure: None,
            at: None,
            usual: 0.0,
            weight: 0.0,
            figures: TrafficFigures::default(),
        }
    }
}

impl StormDetector {
    /// The present state.
    pub fn phase(&self) -> StormPhase {
        self.phase
    }

    /// The figures of the last look.
    pub fn figures(&self) -> TrafficFigures {
        self.figures
    }

    /// The usual requests a second, once known.
    pub fn usual_per_s(&self) -> Option<f64> {
        (self.weight >= MIN_USUAL_MEMORY_S).then(|| self.usual / self.weight)
    }

    /// Takes in what was counted since the last observation. Returns the new phase if it changed.
    pub fn observe(&mut self, now: Time, counts: &TrafficCounts) -> Option<StormPhase> {
        let Some(last) = self.at.filter(|at| *at < now) else {
            self.at = Some(self.at.map_or(now, |at| at.max(now)));
            return None;
        };
        let seconds = (now - last).secs();
        self.at = Some(now);
        let per_s = f64::from(counts.requests) / seconds;
        let part = |n: u32, of: u32| f64::from(n) / f64::from(of.max(1));
        let ended = counts.within_objective + counts.late + counts.refused + counts.failed;
        self.figures = TrafficFigures {
            per_s,
            usual_per_s: self.usual_per_s(),
            retry_fraction: part(counts.retries, counts.requests),
            unserved_fraction: part(counts.late + counts.refused + counts.failed, ended),
            connects_per_request: part(counts.connects, counts.requests),
            attempts_per_request: part(counts.attempts, counts.requests),
        };
        let pressure = self.is_under_pressure(counts);
        if pressure {
            self.last_pressure = Some(now);
        }
        self.update_usual(per_s, seconds, pressure);
        let calm_for = self.last_pressure.map_or(Micros(u64::MAX), |at| now - at);
        let in_phase_for = now - self.since;
        let next = match self.phase {
            StormPhase::Calm if pressure => StormPhase::Rising,
            StormPhase::Rising if pressure && in_phase_for >= RISING_TIME => StormPhase::Storm,
            StormPhase::Rising if calm_for >= FADE_TIME && in_phase_for >= FADE_TIME => StormPhase::Calm,
            StormPhase::Storm if calm_for >= EASE_TIME && in_phase_for >= EASE_TIME => StormPhase::Recovering,
            StormPhase::Recovering if pressure && in_phase_for >= RISING_TIME => StormPhase::Storm,
            StormPhase::Recovering if calm_for >= RECOVERY_TIME && in_phase_for >= RECOVERY_TIME => {
                StormPhase::Calm
            }
            same => same,
        };
        if next == self.phase {
            return None;
        }
        (self.phase, self.since) = (next, now);
        Some(next)
    }

    /// Many requests are retries, and there are more than usual or many are not served. New clients that ask for the first time
    /// are growth, however many.
    fn is_under_pressure(&self, counts: &TrafficCounts) -> bool {
        let f = &self.figures;
        let over = f.usual_per_s.is_some_and(|usual| f.per_s >= MIN_GROWTH_FACTOR * usual);
        f64::from(counts.requests) >= MIN_REQUESTS
            && f.retry_fraction >= MIN_REPEAT_FRACTION
            && (over || f.unserved_fraction >= MIN_UNSERVED_FRACTION)
    }

    /// Traffic under pressure is not usual.
    fn update_usual(&mut self, per_s: f64, seconds: f64, pressure: bool) {
        if pressure || self.phase != StormPhase::Calm {
            return;
        }
        let max_sources = self.usual_per_s().map_or(f64::MAX, |usual| BURST_CLIP * usual.max(1.0));
        let fade = (-seconds / USUAL_MEMORY_S).exp();
        self.usual = self.usual * fade + per_s.min(max_sources) * seconds;
        self.weight = self.weight * fade + seconds;
    }
}
