//! Divides quantities that all proxies share among the live ones, by the demand of each. No I/O, clock or threads.
//!
//! Two kinds of quantity are divided differently:
//!
//! - The fractions of a *soft* quantity should sum to its total; a small deviation is better than unused capacity.
//!   [`allocate_by_demand`] computes the same fractions at all proxies that have the same view. [`SmoothedValue`] changes a
//!   fraction gradually, so that it does not follow noise.
//! - A *hard* quantity may never exceed its total. A [`Reservation`] gives each member an equal entitlement, and leases of
//!   units that others do not need; a [`LeaseManager`] requests and grants leases by demand. Only the borrower may use
//!   leased units until the lease has ended by the clocks of both machines.
//!
//! [`DemandEstimator`] estimates the demand that a proxy reports, [`Allocator`] derives a proxy's allocation from the
//! reports of all, and [`assign`] chooses the backends that each proxy uses, more of them for a proxy with more traffic.
//!
//! # Example
//!
//! Three proxies, one of which has not reported its demand yet:
//!
//! ```rust
//! use gaugesaddle_allocation::{allocate_by_demand, AllocationLimits};
//!
//! let fractions = allocate_by_demand(&AllocationLimits::default(), &[Some(10.0), Some(30.0), None]);
//! assert!((fractions.iter().sum::<f64>() - 1.0).abs() < 1e-9);
//! assert!(
//!     fractions[0] < fractions[2] && fractions[2] < fractions[1],
//!     "a demand that is not reported counts as the mean of the others"
//! );
//! ```
//!
//! # Guarantees
//!
//! - *Under partition* the fractions of a soft quantity follow each side's view, and sum to its total on each side. A hard
//!   quantity never exceeds its total: leases expire, and entitlements stay with their members.
//! - *A paused process* finds its leases expired by its own clock when it resumes, and uses none of them.
//! - Nothing panics on outside input; every function that depends on time takes `now`.
//!
//! # Bounds
//!
//! At most [`MAX_QUANTITIES`] hard quantities, and for each of them [`MAX_LEASES`] granted and [`MAX_LEASES`] borrowed
//! leases.
//!
//! Times are those of the host's monotonic clock. Between machines only durations are compared, with a margin for clocks of
//! different rates. Not covered: two live processes of one member (both would use its entitlement), and a process that is
//! suspended between reading its fraction and using it.

mod allocator;
mod demand;
mod lease_manager;
mod reservation;
mod subset;

pub use allocator::{Allocation, Allocator, AllocatorSettings, ListedBackend, TierView, DISCOVERY_TIME};
pub use demand::{allocate_by_demand, AllocationLimits, DemandEstimator, RateEstimator, SmoothedValue};
pub use lease_manager::{LeaseManager, LeaseView, PeerMessage, MAX_QUANTITIES, MESSAGE_BYTES};
pub use reservation::{Lease, LeaseId, LeaseMessage, Reservation, ReservationTerms, MAX_LEASES};
pub use subset::{assign, Assignment, BackendKey, Member, SubsetSize};
