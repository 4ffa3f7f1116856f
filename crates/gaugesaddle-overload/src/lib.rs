//! Retry storms and reconnect storms, as one proxy sees them: detection and damping, decided without I/O, clock or threads.
//!
//! - [`OverloadController`] owns the rest. Its host tells it of arrivals, refusals and outcomes, and calls it a few times a
//!   second for the [`gaugesaddle_balancer::StormLimits`] to hand to the balancer. For each refusal it says when the client may
//!   retry.
//! - [`StormDetector`] tells storms from growth by how much comes again, not by how much comes.
//! - [`RateLimiter`] finds the rate that the fleet sustains during a storm.
//! - [`RetrySchedule`] assigns seconds for retries, no more a second than that rate.
//! - [`RetryAccounting`] knows who retries before its time.
//!
//! ```
//! use gaugesaddle_balancer::Time;
//! use gaugesaddle_overload::{OverloadController, Settings, StormPhase};
//!
//! let settings = Settings { max_delay_s: 30, sources: 1000 };
//! let mut controller = OverloadController::new(settings, 7)?;
//! let now = Time(1_000_000);
//! let (is_retry, returns_early) = controller.record_arrival(now, false, Some(42), 1);
//! assert!(!is_retry && !returns_early);
//! assert_eq!(controller.phase(), StormPhase::Calm);
//! assert_eq!(controller.record_refusal(now, 1, 2), 2, "without a storm the usual advice holds");
//! # Ok::<(), gaugesaddle_balancer::ConfigError>(())
//! ```
//!
//! Which request is refused stays the balancer's decision, by priority weight; nothing here refuses one.
//!
//! **Guarantees.** Nothing panics on any input. A `now` that goes back counts as standing still. Advice lies within the
//! settings, and no second is overfilled while another is free.
//!
//! **Bounds.** The schedule has at most 600 seconds, the accounting [`Settings::sources`] sources (the one seen longest ago
//! is forgotten first), the memory of request keys 16,384 keys of five seconds.

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
