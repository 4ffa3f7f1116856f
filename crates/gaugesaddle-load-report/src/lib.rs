//! Load reporting: aggregates the load and failures of backends that all proxies observe, without I/O.
//!
//! One proxy of many observes a small fraction of a backend's work, and a backend reports its load only in its responses.
//! Each proxy therefore reports the work that it has sent and the outcomes, and receives the sums over all proxies:
//!
//! ```text
//!  proxy (LoadView) --report--> control process (LoadAggregator) --sums of its proxies--> other control processes
//!                   <--sums of all proxies--
//! ```
//!
//! This crate decides which backends are reported, which reports count, and whether a backend is failing.
//!
//! - [`LoadView`]: at a proxy. It owns the proxy's own observations and the latest sums over the other proxies. [`Health`]
//!   summarizes the recent outcomes at one backend.
//! - [`LoadAggregator`]: at a control process. It owns the newest report of each proxy that calls it, and the newest sums
//!   of the other control processes.
//!
//! ```
//! use gaugesaddle_load_report::{LoadAggregator, LoadView};
//!
//! let (mut first, mut second) = (LoadView::default(), LoadView::default());
//! let mut aggregator = LoadAggregator::default();
//! let (now_ms, backend) = (1_000, 7);
//! first.begin(now_ms, backend, 300.0);
//! second.begin(now_ms, backend, 200.0);
//! aggregator.record_report(now_ms, 1, first.report(now_ms));
//! aggregator.record_report(now_ms, 2, second.report(now_ms));
//! first.record_sums(now_ms, aggregator.total_sums(now_ms));
//! assert_eq!(first.work(now_ms, backend), 500.0);
//! ```
//!
//! # Guarantees
//!
//! Each report contains the full state, not a difference: a lost report is superseded by the next one, and a duplicate
//! counts once. A proxy never counts its own work twice. All values are estimates with a limited age: a report that is not
//! renewed within [`REPORT_TTL_MS`] no longer counts, and a proxy without current sums uses its own observations only.
//!
//! # Bounds
//!
//! Reports and sums have at most [`MAX_BACKENDS`] backends, an aggregator has at most [`MAX_PROXIES`] reports and
//! [`MAX_PROCESSES`] sums. A proxy's own observations have one row for each backend with requests in flight or recent
//! outcomes. All times are milliseconds of one machine's monotonic clock, work is in tokens.

mod aggregator;
mod decaying;
mod heaviest;
mod view;

pub use aggregator::LoadAggregator;
pub use view::{Health, LoadView};

/// Time for which a report or sum counts unless it is renewed, in milliseconds: several report intervals.
pub const REPORT_TTL_MS: u64 = 1000;
/// Maximum number of backends in one report or sum; the backends with the most work are included.
pub const MAX_BACKENDS: usize = 256;
/// Maximum number of proxies whose reports a control process stores.
pub const MAX_PROXIES: usize = 1024;
/// Maximum number of control processes whose sums are stored.
pub const MAX_PROCESSES: usize = 64;
