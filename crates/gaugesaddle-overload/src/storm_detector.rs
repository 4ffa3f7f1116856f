//! Detects storms by the fractions of retries and of requests that are not served, and by the usual rate.

use gaugesaddle_balancer::{Micros, Time};

/// The phase of a storm at one proxy.
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
/// A transition also requires that the present phase has lasted for the stated time, to prevent flapping. Only `Calm` has no
/// minimum time; from `Recovering` a storm resumes after `RISING_TIME`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StormPhase {
    /// Usual traffic.
    Calm,
    /// Pressure that has not lasted long enough for a storm.
    Rising,
    /// A storm.
    Storm,
    /// The storm has passed; refused clients still retry.
    Recovering,
}

impl StormPhase {
    /// Whether requests are limited and retries spread.
    pub fn is_damping(self) -> bool {
        matches!(self, StormPhase::Storm | StormPhase::Recovering)
    }

    /// The phase's name in logs and in the state.
    pub fn name(self) -> &'static str {
        match self {
            StormPhase::Calm => "calm",
            StormPhase::Rising => "rising",
            StormPhase::Storm => "storm",
            StormPhase::Recovering => "recovering",
        }
    }
}

/// Pressure must last this long to be a storm: two consecutive observations.
pub(crate) const RISING_TIME: Micros = Micros(400_000);
/// After this time without pressure the rising phase ends without a storm.
pub(crate) const FADE_TIME: Micros = Micros(1_000_000);
/// After this time without pressure a storm is over.
pub(crate) const EASE_TIME: Micros = Micros(3_000_000);
/// Refused clients retry within this time, or not at all.
pub(crate) const RECOVERY_TIME: Micros = Micros(10_000_000);

/// Time constant of the usual rate, in seconds: long enough that a storm of one minute does not become usual, and short
/// compared with the growth of traffic over a day.
const USUAL_MEMORY_S: f64 = 180.0;
/// An observation counts for at most this multiple of the usual rate, so that a burst hardly changes it.
const BURST_CLIP: f64 = 3.0;
/// Seconds of observations after which the usual rate is known.
const MIN_USUAL_MEMORY_S: f64 = 10.0;
/// Minimum fraction of retries for pressure. In usual traffic clients retry at most once, after a failure: a fraction of a
/// tenth would mean that a tenth of the requests fail.
const MIN_RETRY_FRACTION: f64 = 0.25;
/// Pressure also requires at least this multiple of the usual rate, or [`MIN_UNSERVED_FRACTION`].
const MIN_GROWTH_FACTOR: f64 = 1.3;
/// Minimum fraction of requests that are not served, for pressure below [`MIN_GROWTH_FACTOR`].
const MIN_UNSERVED_FRACTION: f64 = 0.1;
/// Observations with fewer requests do not count as pressure.
const MIN_REQUESTS: f64 = 8.0;

/// Counts since the last observation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficCounts {
    /// Requests that arrived.
    pub requests: u32,
    /// Retries among them.
    pub retries: u32,
    /// New connections.
    pub connects: u32,
    /// Requests that were served within their latency objective.
    pub within_objective: u32,
    /// Requests that were served after their latency objective.
    pub late: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Attempts sent.
    pub attempts: u32,
}

/// The figures that determine the phase.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficFigures {
    /// Requests per second.
    pub per_s: f64,
    /// The usual rate, once it is known.
    pub usual_per_s: Option<f64>,
    /// Fraction of requests that are retries.
    pub retry_fraction: f64,
    /// Fraction of ended requests that were not served.
    pub unserved_fraction: f64,
    /// New connections per request.
    pub connects_per_request: f64,
    /// Attempts per request.
    pub attempts_per_request: f64,
}

impl std::fmt::Display for TrafficFigures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let usual = self.usual_per_s.map_or("unknown".into(), |u| format!("{u:.0}"));
        write!(
            f,
            "{:.0} requests/s (usual {usual}), {:.0}% retries, {:.0}% not served, {:.2} connects and {:.2} attempts per request",
            self.per_s,
            self.retry_fraction * 100.0,
            self.unserved_fraction * 100.0,
            self.connects_per_request,
            self.attempts_per_request
        )
    }
}

/// Determines the phase of a storm and the usual rate.
#[derive(Clone, Debug)]
pub struct StormDetector {
    phase: StormPhase,
    since: Time,
    /// Time of the last observation with pressure.
    last_pressure: Option<Time>,
    observed_at: Option<Time>,
    usual_sum: f64,
    usual_weight: f64,
    figures: TrafficFigures,
}

impl Default for StormDetector {
    fn default() -> StormDetector {
        StormDetector {
            phase: StormPhase::Calm,
            since: Time(0),
            last_pressure: None,
            observed_at: None,
            usual_sum: 0.0,
            usual_weight: 0.0,
            figures: TrafficFigures::default(),
        }
    }
}

impl StormDetector {
    /// The present phase.
    pub fn phase(&self) -> StormPhase {
        self.phase
    }

    /// The figures of the last observation.
    pub fn figures(&self) -> TrafficFigures {
        self.figures
    }

    /// The usual rate in requests per second, once it is known.
    pub fn usual_per_s(&self) -> Option<f64> {
        (self.usual_weight >= MIN_USUAL_MEMORY_S).then(|| self.usual_sum / self.usual_weight)
    }

    /// Evaluates the counts since the last observation. Returns the new phase if it changed.
    pub fn observe(&mut self, now: Time, counts: &TrafficCounts) -> Option<StormPhase> {
        let Some(last) = self.observed_at.filter(|at| *at < now) else {
            self.observed_at = Some(self.observed_at.map_or(now, |at| at.max(now)));
            return None;
        };
        let seconds = (now - last).secs();
        self.observed_at = Some(now);
        let per_s = f64::from(counts.requests) / seconds;
        let ratio = |n: u32, of: u32| f64::from(n) / f64::from(of.max(1));
        let ended = counts.within_objective + counts.late + counts.refused + counts.failed;
        self.figures = TrafficFigures {
            per_s,
            usual_per_s: self.usual_per_s(),
            retry_fraction: ratio(counts.retries, counts.requests),
            unserved_fraction: ratio(counts.late + counts.refused + counts.failed, ended),
            connects_per_request: ratio(counts.connects, counts.requests),
            attempts_per_request: ratio(counts.attempts, counts.requests),
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

    /// Whether many requests are retries, and either the rate is above the usual one or many requests are not served.
    /// Requests of new clients are growth at any rate.
    fn is_under_pressure(&self, counts: &TrafficCounts) -> bool {
        let f = &self.figures;
        let is_above_usual = f.usual_per_s.is_some_and(|usual| f.per_s >= MIN_GROWTH_FACTOR * usual);
        f64::from(counts.requests) >= MIN_REQUESTS
            && f.retry_fraction >= MIN_RETRY_FRACTION
            && (is_above_usual || f.unserved_fraction >= MIN_UNSERVED_FRACTION)
    }

    /// Updates the usual rate; traffic under pressure or outside of the calm phase does not count.
    fn update_usual(&mut self, per_s: f64, seconds: f64, pressure: bool) {
        if pressure || self.phase != StormPhase::Calm {
            return;
        }
        let max_per_s = self.usual_per_s().map_or(f64::MAX, |usual| BURST_CLIP * usual.max(1.0));
        let decay = (-seconds / USUAL_MEMORY_S).exp();
        self.usual_sum = self.usual_sum * decay + per_s.min(max_per_s) * seconds;
        self.usual_weight = self.usual_weight * decay + seconds;
    }
}
