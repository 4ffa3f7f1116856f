//! The controller: counts what the host reports, detects storms, and decides what is admitted and when clients retry.

use crate::retry_schedule::MAX_SCHEDULE_S;
use crate::{
    RateLimiter, RetryAccounting, RetrySchedule, StormDetector, StormPhase, TrafficCounts, TrafficFigures,
};
use gaugesaddle_balancer::{ConfigError, Micros, StormLimits, Time};
use std::collections::HashMap;

/// Fraction of the sustained rate that retries of refused clients may fill; the rest is for new requests.
const RETURNING_FRACTION: f64 = 0.8;
/// Request keys that are remembered, to recognize a retry that is not marked as one.
const MAX_KEYS: usize = 16_384;
/// How long they are remembered: a client's retries come within its own time-out.
const KEY_MEMORY: Micros = Micros(5_000_000);
/// Retries per first attempt that the balancer may add without a storm.
const RETRY_RATIO: f64 = 0.2;
/// The same during a storm.
const STORM_RETRY_RATIO: f64 = 0.02;
/// Between two observations.
pub(crate) const OBSERVE_INTERVAL: Micros = Micros(250_000);

/// Settings of the operator and of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The longest delay that is advised, in whole seconds, from 1 to 600.
    pub max_delay_s: u64,
    /// Sources that are remembered at once, from 1 to 1,000,000.
    pub sources: usize,
}

impl Settings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// The first setting out of its range.
    pub fn check(&self) -> Result<(), ConfigError> {
        if !(1..=MAX_SCHEDULE_S as u64).contains(&self.max_delay_s) {
            return Err(ConfigError { field: "max_delay_s", expected: "1 to 600" });
        }
        if !(1..=1_000_000).contains(&self.sources) {
            return Err(ConfigError { field: "sources", expected: "1 to 1000000" });
        }
        Ok(())
    }
}

/// What an observation changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The phase before it, if it changed.
    pub previous: Option<StormPhase>,
    /// For the balancer, if anything of it may have changed.
    pub limits: Option<StormLimits>,
}

/// Retry storms as one proxy sees them. See the first page.
#[derive(Clone, Debug)]
pub struct OverloadController {
    detector: StormDetector,
    rate_limiter: RateLimiter,
    retry_schedule: RetrySchedule,
    accounting: RetryAccounting,
    counts: TrafficCounts,
    admitted: u32,
    /// When each key was seen. Two generations, the older one of which is dropped at once.
    keys: [HashMap<u64, Time>; 2],
    keys_rotated_at: Time,
    observed_at: Option<Time>,
    /// Requests a second that succeeded, smoothed.
    goodput_per_s: f64,
}

impl OverloadController {
    /// A controller without memory of earlier traffic.
    ///
    /// # Errors
    /// The first setting out of its range.
    pub fn new(settings: Settings, seed: u64) -> Result<OverloadController, ConfigError> {
        settings.check()?;
        Ok(OverloadController {
            detector: StormDetector::default(),
            rate_limiter: RateLimiter::default(),
            retry_schedule: RetrySchedule::new(settings.max_delay_s, seed),
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

    /// Requests a second that may be admitted; `None` without a limit.
    pub fn admitted_per_s(&self) -> Option<f64> {
        self.rate_limiter.per_s().filter(|_| self.phase().is_damping())
    }

    /// A client has connected.
    pub fn record_connection(&mut self) {
        self.counts.connects = self.counts.connects.saturating_add(1);
    }

    /// A request has arrived, marked as a retry or not, with its idempotency key where it has one and its source. Returns
    /// whether it is a retry, and whether its source comes before its time.
    pub fn record_arrival(&mut self, now: Time, marked: bool, key: Option<u64>, source: u64) -> (bool, bool) {
        let known = key.is_some_and(|key| self.seen(now, key));
        let repeat = marked || known;
        self.counts.requests = self.counts.requests.saturating_add(1);
        self.counts.retries = self.counts.retries.saturating_add(u32::from(repeat));
        (repeat, self.accounting.record_request(now, source))
    }

    fn seen(&mut self, now: Time, key: u64) -> bool {
        if now - self.keys_rotated_at >= KEY_MEMORY || self.keys[0].len() >= MAX_KEYS / 2 {
            self.keys.swap(0, 1);
            self.keys[0].clear();
            self.keys_rotated_at = now;
        }
        let fresh = |at: &Time| now - *at < KEY_MEMORY;
        let known = self.keys.iter().any(|half| half.get(&key).is_some_and(fresh));
        self.keys[0].insert(key, now);
        known
    }

    /// An attempt was sent: the first one of its request, or a retry.
    pub fn record_attempt(&mut self, first: bool) {
        self.counts.attempts = self.counts.attempts.saturating_add(1);
        self.admitted = self.admitted.saturating_add(u32::from(first));
    }

    /// A request was served.
    pub fn record_success(&mut self, within_objective: bool) {
        let count = if within_objective { &mut self.counts.within_objective } else { &mut self.counts.late };
        *count = count.saturating_add(1);
    }

    /// A request failed.
    pub fn record_failure(&mut self) {
        self.counts.failed = self.counts.failed.saturating_add(1);
    }

    /// A request was refused. Returns after how many seconds its client may retry: `usual` where nothing is damped.
    pub fn record_refusal(&mut self, now: Time, source: u64, usual: u64) -> u64 {
        self.counts.refused = self.counts.refused.saturating_add(1);
        if self.phase() == StormPhase::Calm {
            return usual;
        }
        let bears = self.goodput_per_s.min(self.rate_limiter.per_s().unwrap_or(f64::MAX));
        let after = self.retry_schedule.assign(now, bears * RETURNING_FRACTION);
        self.accounting.record_advice(source, now + Micros(after * 1_000_000));
        after
    }

    /// Evaluates what was counted, if the interval has passed.
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
        let was = self.phase();
        self.goodput_per_s +=
            (f64::from(counts.within_objective) / seconds - self.goodput_per_s) * seconds.min(1.0);
        let previous = self.detector.observe(now, &counts).map(|_| was);
        if !self.phase().is_damping() || !was.is_damping() {
            self.rate_limiter = RateLimiter::default();
        } else {
            // A refusal is no failure: the limiter itself brings it about.
            self.rate_limiter.observe(
                seconds,
                admitted,
                counts.within_objective,
                counts.late + counts.failed,
            );
        }
        let limits = (self.phase().is_damping() || was.is_damping()).then(|| self.storm_limits());
        Some(Observation { previous, limits })
    }

    fn storm_limits(&self) -> StormLimits {
        let damped = self.phase().is_damping();
        let retry_ratio = if damped { STORM_RETRY_RATIO } else { RETRY_RATIO };
        StormLimits { admit_per_s: self.admitted_per_s(), hedging: !damped, retry_ratio }
    }
}
