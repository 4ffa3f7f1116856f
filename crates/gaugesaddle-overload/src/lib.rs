//! Detection and damping of retry storms and reconnect storms at one proxy. No I/O, clock or threads.
//!
//! - [`OverloadController`] combines the other types. Its host reports arrivals, refusals and outcomes to it, and calls
//!   [`OverloadController::observe`] a few times a second for the [`gaugesaddle_balancer::StormLimits`] of the balancer. For
//!   each refusal it returns the delay after which the client may retry.
//! - [`StormDetector`] distinguishes storms from growth by the fraction of retries, not by the rate.
//! - [`RateLimiter`] finds the rate that the fleet sustains during a storm.
//! - [`RetrySchedule`] spreads retries over the coming seconds, each up to that rate.
//! - [`RetryAccounting`] tracks sources that retry earlier than advised.
//!
//! ```
//! use gaugesaddle_balancer::Time;
//! use gaugesaddle_overload::{OverloadController, Settings, StormPhase};
//!
//! let settings = Settings { longest_s: 30, sources: 1000 };
//! let mut controller = OverloadController::new(settings, 7)?;
//! let now = Time(1_000_000);
//! let (is_retry, returns_early) = controller.record_arrival(now, false, Some(42), 1);
//! assert!(!is_retry && !returns_early);
//! assert_eq!(controller.phase(), StormPhase::Calm);
//! assert_eq!(controller.record_refusal(now, 1, 2), 2, "without a storm the usual delay applies");
//! # Ok::<(), gaugesaddle_balancer::ConfigError>(())
//! ```
//!
//! The balancer decides which requests are refused, by priority weight; this crate refuses none.
//!
//! **Guarantees.** No input causes a panic. A `now` before the previous one counts as no time passed. Advised delays are
//! within the settings, and no second is assigned more retries than the rate while another second is free.
//!
//! **Bounds.** The schedule covers at most 600 seconds. The accounting has at most [`Settings::sources`] sources and evicts
//! the least recently seen one first. Request keys are remembered for five seconds, at most 16,384 of them.

mod controller;
mod rate_limiter;
mod retry_accounting;
mod retry_schedule;
mod storm_detector;

pub use controller::{Observation, OverloadController, Settings};
pub use rate_limiter::RateLimiter;
pub use retry_accounting::RetryAccounting;
pub use retry_schedule::RetrySchedule;
pub use storm_detector::{StormDetector, StormPhase, TrafficCounts, TrafficFigures};
