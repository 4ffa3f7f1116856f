//! What all proxies together see of the backends' load and failures, without I/O.
//!
//! One proxy of many sees a small part of what a backend works on, and a backend tells its load only with its answers. So
//! each proxy reports what it has sent and what became of it, and gets the sums of all proxies:
//!
//! ```text
//!  proxy (LoadView) --report--> control process (LoadBoard) --sums of its proxies--> other control processes
//!                   <--sums of all---
//! ```
//! - [`LoadView`]: at a proxy, its own part and what it has heard of the others'.
//! - [`LoadAggregator`]: at a control process, the newest report of each proxy that calls it and the newest sums of the others.
//!
//! Reports are whole, never differences: one that is lost is made good by the next, and a repeated one counts once. All of
//! it is a guess with an age: a report that is not renewed for [`FRESH`] is void, and a proxy that hears nothing goes by
//! what it sees itself. Tables are bounded by [`MAX_BACKENDS`], [`MAX_PROXIES`] and [`MAX_PROCESSES`].

mod aggregator;
mod decaying;
mod view;

pub use aggregator::LoadAggregator;
pub use view::{Health, LoadView};

/// Reports and sums that are not renewed for so long are void, in ms.
pub const FRESH: u64 = 1000;
/// Backends in one report or sum; those with the most work are told.
pub const MAX_BACKENDS: usize = 256;
/// Proxies whose reports a control process keeps.
pub const MAX_PROXIES: usize = 1024;
/// Control processes whose sums are kept.
pub const MAX_PROCESSES: usize = 64;
