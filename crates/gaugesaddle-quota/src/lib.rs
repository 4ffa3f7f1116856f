//! Fleet-wide limits that all proxies enforce together: the tokens of tenants, and retries. The crate performs no I/O.
//!
//! It decides how many tokens of a tenant the leader leases to which proxy, whether a proxy may admit a request, and
//! whether it may retry one.
//!
//! - [`TokenAllocator`]: at the leader of the control processes. It owns one token bucket for each tenant with a
//!   [`Limit`], and leases tokens to proxies.
//! - [`TokenAllowance`]: at a proxy. It owns the tokens leased to it, and limits the tokens that it may use while no
//!   leader answers.
//! - [`RetryBudget`]: at a proxy, for each service. It owns the proxy's fraction of the retries; the fractions add up to
//!   the limit without communication between proxies.
//!
//! ```text
//!  TokenAllowance --requests: tokens wanted, unused tokens, usage rate--> TokenAllocator
//!                 <--grants: tokens, valid for LEASE_MS------------------
//! ```
//!
//! ```
//! use gaugesaddle_quota::{Admission, Limit, TokenAllocator, TokenAllowance};
//!
//! let mut allocator = TokenAllocator::default();
//! allocator.configure(0, &[("tenant".to_owned(), Limit { rate: 1000.0, burst: 500.0 })]);
//! let mut allowance = TokenAllowance::default();
//! allowance.configure(&["tenant".to_owned()], 0.0);
//!
//! let now_ms = 5_000;
//! assert_eq!(allowance.take(now_ms, "tenant", 100), Admission::Insufficient);
//! allowance.add_deficit("tenant", 100);
//! let grants = allocator.allocate(now_ms, "proxy-1", &allowance.requests(now_ms));
//! allowance.record_grants(now_ms, &grants);
//! allowance.remove_deficit("tenant", 100);
//! assert_eq!(allowance.take(now_ms, "tenant", 100), Admission::Granted);
//! ```
//!
//! # Guarantees
//!
//! Together, proxies use at most a tenant's rate and burst, plus one request's cost for each proxy that runs without a
//! leader. During a partition a proxy continues at the usage rate that the leader last acknowledged, which decays, for
//! [`FALLBACK_MS`] at most; the leader reserves exactly that. After that it may use only the configured floor.
//!
//! # Bounds
//!
//! Tables have one row for each tenant with a limit and one for each proxy that requested tokens recently. All times
//! are milliseconds of one machine's monotonic clock, rates are tokens per second.

mod allocator;
mod allowance;
mod retry;

pub use allocator::{Limit, TokenAllocator};
pub use allowance::{Admission, TokenAllowance};
pub use retry::{RetryBudget, RetrySettings};

/// How long leased tokens may be used, in milliseconds.
pub const LEASE_MS: u64 = 1500;
/// How long a proxy without a leader continues at its decaying usage rate, in milliseconds.
pub const FALLBACK_MS: u64 = 6000;
/// Time after which a proxy considers a leader lost that has not answered, and the leader considers a proxy lost that
/// has not sent a request, in milliseconds.
const CONTACT_TIMEOUT_MS: u64 = 700;
/// Time constant over which usage rates are smoothed and decay, in milliseconds.
const SMOOTHING_MS: f64 = 2000.0;

/// A usage rate (tokens per second) after `elapsed_ms` milliseconds without usage: exponential decay.
fn decayed(usage_rate: f64, elapsed_ms: u64) -> f64 {
    usage_rate * (-(elapsed_ms as f64) / SMOOTHING_MS).exp()
}
