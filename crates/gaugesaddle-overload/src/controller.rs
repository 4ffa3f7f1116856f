//! The controller: counts the events that the host reports, detects storms, and decides the admitted rate and the delay
//! after which refused clients retry.

use crate::retry_schedule::MAX_SCHEDULE_S;
use crate::{
    RateLimiter, RetryAccounting, RetrySchedule, StormDetector, StormPhase, TrafficCounts, TrafficFigures,
};
use gaugesaddle_balancer::{ConfigError, Micros, StormLimits, Time};
use std::collections::HashMap;

/// Fraction of the sustained rate that is assigned to retries of refused clients; the rest is for new requests.
const RETRY_RATE_FRACTION: f64 = 0.8;
/// Maximum number of request keys that are remembered to recognize retries that are not marked as such.
const MAX_KEYS: usize = 16_384;
/// Time for which a request key is remembered: clients retry within their own time-out.
const KEY_MEMORY: Micros = Micros(5_000_000);
/// Retries per first attempt that the balancer may send without a storm.
const RETRY_RATIO: f64 = 0.2;
/// Retries per first attempt that the balancer may send during a storm.
const STORM_RETRY_RATIO: f64 = 0.02;
/// Minimum time between two observations.
pub(crate) const OBSERVE_INTERVAL: Micros = Micros(250_000);

/// Settings of the operator and of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum delay that is advised, in whole seconds, from 1 to 600.
    pub longest_s: u64,
    /// Maximum number of sources in the retry accounting, from 1 to 1,000,000.
    pub sources: usize,
}

impl Settings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// The first setting out of its range.
    pub fn check(&self) -> Result<(), ConfigError> {
        if !(1..=MAX_SCHEDULE_S as u64).contains(&self.longest_s) {
            return Err(ConfigError { field: "longest_s", expected: "1 to 600" });
        }
        if !(1..=1_000_000).contains(&self.sources) {
            return Err(ConfigError { field: "sources", expected: "1 to 1000000" });
        }
        Ok(())
    }
}

/// The result of an observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The phase before this observation, if it changed.
    pub previous: Option<StormPhase>,
    /// Limits for the balancer, if they may have changed.
    pub limits: Option<StormLimits>,
}

/// Detects and damps retry storms at one proxy. See the [crate documentation](crate).
#[derive(Clone, Debug)]
pub struct OverloadController {
    detector: StormDetector,
    rate_limiter: RateLimiter,
    retry_schedule: RetrySchedule,
    accounting: RetryAccounting,
    counts: TrafficCounts,
    admitted: u32,
    /// Time at which each key was last seen. Of the two generations the older one is dropped as a whole.
    keys: [HashMap<u64, Time>; 2],
    keys_rotated_at: Time,
    observed_at: Option<Time>,
    /// Smoothed rate of requests that were served within their latency objective.
    goodput_per_s: f64,
}

impl OverloadController {
    /// A controller without observations.
    ///
    /// # Errors
    /// The first setting out of its range.
    pub fn new(settings: Settings, seed: u64) -> Result<OverloadController, ConfigError> {
        settings.check()?;
        Ok(OverloadController {
            detector: StormDetector::default(),
            rate_limiter: RateLimiter::default(),
            retry_schedule: RetrySchedule::new(settings.longest_s, seed),
            accounting: RetryAccounting::new(settings.sources),
            counts: TrafficCounts::default(),
            admitted: 0,
            keys: Default::default(),
            keys_rotated_at: Time(0),
            observed_at: None,
            goodput_per_s: 0.0,
        })
    }

    /// The present phase.
    pub fn phase(&self) -> StormPhase {
        self.detector.phase()
    }

    /// The figures of the last observation.
    pub fn figures(&self) -> TrafficFigures {
        self.detector.figures()
    }

    /// Requests per second that may be admitted; `None` without a limit.
    pub fn admitted_per_s(&self) -> Option<f64> {
        self.rate_limiter.per_s().filter(|_| self.phase().is_damping())
    }

    /// Records a new client connection.
    pub fn record_connection(&mut self) {
        self.counts.connects = self.counts.connects.saturating_add(1);
    }

    /// Records the arrival of a request: whether it is marked as a retry, its idempotency key, if any, and its source.
    /// Returns whether it is a retry, and whether its source has recently retried earlier than advised.
    pub fn record_arrival(
        &mut self, now: Time, is_marked: bool, key: Option<u64>, source: u64,
    ) -> (bool, bool) {
        let is_known_key = key.is_some_and(|key| self.record_key(now, key));
        let is_retry = is_marked || is_known_key;
        self.counts.requests = self.counts.requests.saturating_add(1);
        self.counts.retries = self.counts.retries.saturating_add(u32::from(is_retry));
        (is_retry, self.accounting.record_request(now, source))
    }

    fn record_key(&mut self, now: Time, key: u64) -> bool {
        if now - self.keys_rotated_at >= KEY_MEMORY || self.keys[0].len() >= MAX_KEYS / 2 {
            self.keys.swap(0, 1);
            self.keys[0].clear();
            self.keys_rotated_at = now;
        }
        let is_recent = |at: &Time| now - *at < KEY_MEMORY;
        let is_known_key = self.keys.iter().any(|generation| generation.get(&key).is_some_and(is_recent));
        self.keys[0].insert(key, now);
        is_known_key
    }

    /// Records an attempt that was sent: the first one of its request, or a retry.
    pub fn record_attempt(&mut self, is_first: bool) {
        self.counts.attempts = self.counts.attempts.saturating_add(1);
        self.admitted = self.admitted.saturating_add(u32::from(is_first));
    }

    /// Records a request that was served.
    pub fn record_success(&mut self, within_objective: bool) {
        let count = if within_objective { &mut self.counts.within_objective } else { &mut self.counts.late };
        *count = count.saturating_add(1);
    }

    /// Records a request that failed.
    pub fn record_failure(&mut self) {
        self.counts.failed = self.counts.failed.saturating_add(1);
    }

    /// Records a request that was refused. Returns the delay in seconds after which its client may retry: `usual` in
    /// the calm phase.
    pub fn record_refusal(&mut self, now: Time, source: u64, usual: u64) -> u64 {
        self.counts.refused = self.counts.refused.saturating_add(1);
        if self.phase() == StormPhase::Calm {
            return usual;
        }
        let sustained_per_s = self.goodput_per_s.min(self.rate_limiter.per_s().unwrap_or(f64::MAX));
        let delay_s = self.retry_schedule.assign(now, sustained_per_s * RETRY_RATE_FRACTION);
        self.accounting.record_advice(source, now + Micros(delay_s * 1_000_000));
        delay_s
    }

    /// Evaluates the counts since the last observation, if the interval has passed.
    pub fn observe(&mut self, now: Time) -> Option<Observation> {
        let Some(last) = self.observed_at else {
            self.observed_at = Some(now);
            self.detector.observe(now, &TrafficCounts::default());
            return None;
        };
        if now - last < OBSERVE_INTERVAL {
            return None;
        }
        self.observed_at = Some(now);
        let (counts, admitted) = (std::mem::take(&mut self.counts), std::mem::take(&mut self.admitted));
        let seconds = (now - last).secs();
        let phase_before = self.phase();
        self.goodput_per_s +=
            (f64::from(counts.within_objective) / seconds - self.goodput_per_s) * seconds.min(1.0);
        let previous = self.detector.observe(now, &counts).map(|_| phase_before);
        if !self.phase().is_damping() || !phase_before.is_damping() {
            self.rate_limiter = RateLimiter::default();
        } else {
            // Refusals are not counted as failures, since the limiter itself causes them.
            self.rate_limiter.observe(
                seconds,
                admitted,
                counts.within_objective,
                counts.late + counts.failed,
            );
        }
        let limits = (self.phase().is_damping() || phase_before.is_damping()).then(|| self.storm_limits());
        Some(Observation { previous, limits })
    }

    fn storm_limits(&self) -> StormLimits {
        let is_damping = self.phase().is_damping();
        let retry_ratio = if is_damping { STORM_RETRY_RATIO } else { RETRY_RATIO };
        StormLimits { admit_per_s: self.admitted_per_s(), hedging: !is_damping, retry_ratio }
    }
}
