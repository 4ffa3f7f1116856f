//! Divides what all proxies together may do among those that are live, by the demand of each. No I/O, clock or threads.
//!
//! Two kinds of quantity, each divided in its own way:
//!
//! - A *soft* quantity should sum to its total, and is better a little off than unused. [`allocate_by_demand`] gives every
//!   proxy the same fractions from the same view. [`SmoothedValue`] moves a fraction slowly, so that it does not follow noise.
//! - A *hard* quantity may never exceed its total. A [`Reservation`] gives each member an equal entitlement, and leases of
//!   what others do not need; a [`LeaseManager`] requests and grants leases by demand. What is leased is usable by nobody but
//!   the borrower until the lease has ended by any clock.
//!
//! Around them: [`assign`] chooses the backends that each proxy uses, more of them for one with more traffic;
//! [`DemandEstimator`] is the demand that a proxy reports, and [`Allocator`] what it derives from the reports of all.
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
//! assert!(fractions[0] < fractions[2] && fractions[2] < fractions[1], "it counts as the mean of the others");
//! ```
//!
//! # Guarantees
//!
//! - *Under partition* the fractions of a soft quantity follow each side's view, and sum to its total on each side. A hard
//!   quantity never exceeds its total: leases expire, and entitlements stay with their members.
//! - *A paused process* finds its leases expired by its own clock when it wakes, and may use none of them.
//! - Nothing panics on outside input; every function of time takes `now`.
//!
//! # Bounds
//!
//! [`MAX_LEASES`] leases granted and as many borrowed of each of at most [`MAX_QUANTITIES`] hard quantities.
//!
//! Times are of the host's steady clock, and only durations of two machines are compared, with a margin for clocks of
//! different rates. Not covered: two live processes of one member (both would use its entitlement), and a process that is
//! stopped between reading its fraction and using it.

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
