//! What all proxies together may do: tenants' tokens and repeats, decided without I/O.
//!
//! - [`TokenAllocator`]: at the leader, a bucket a tenant; lends tokens to proxies under leases.
//! - [`TokenAllowance`]: at a proxy, what it was lent, and what it may use when no leader answers.
//! - [`RetryBudget`]: at a proxy, its part of the repeats; the parts add up without a word between proxies.
//!
//! Promise under partition: a proxy out of touch goes on at the pace it had, fading, for [`FALLBACK_MS`] at most, and the
//! leader keeps just that back. Tables hold a row a tenant and a row a proxy.

mod allocator;
mod allowance;
mod retry;

pub use allocator::{Limit, TokenAllocator};
pub use allowance::{Admission, TokenAllowance};
pub use retry::{RetryBudget, RetrySettings};

/// How long lent tokens may be used, in milliseconds.
pub const LEASE_MS: u64 = 1500;
/// How long a proxy without a leader goes on at its pace, which fades meanwhile, in milliseconds.
pub const FALLBACK_MS: u64 = 6000;
/// A leader that has not answered for so long is taken for lost by a proxy, and a proxy that has not asked for so long
/// for one that goes on alone by the leader, in milliseconds.
const CONTACT_TIMEOUT_MS: u64 = 700;
/// Paces are smoothed over, and fade in, so many milliseconds.
const SMOOTHING_MS: f64 = 2000.0;

/// What is left of a pace after so many milliseconds without use.
fn faded(usage_rate: f64, passed: u64) -> f64 {
    usage_rate * (-(passed as f64) / SMOOTHING_MS).exp()
}
