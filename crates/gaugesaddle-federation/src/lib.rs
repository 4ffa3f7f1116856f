//! Failover to other regions: when requests are forwarded to another region, how many, and what a reported outcome means
//! for the client. The crate does no I/O, reads no clock and starts no threads.
//!
//! # Main types
//!
//! - [`Spillover`] is the state machine of one proxy (local, spilling, returning), driven by whether the local fleet can
//!   serve the demand.
//! - [`Link`] is the link from one proxy to one other region. It owns a [`Budget`], a [`RoundTripEstimator`] and a
//!   [`Backoff`], and decides for each request whether it may be sent and with which deadline.
//! - [`Budget`] is one proxy's allocation of the requests that may be sent to a region or received from one: per window
//!   of one second, in flight, and by class. A gateway has one budget per sending region.
//! - [`Via`] lists the regions that a request has passed through; [`Via::next_hop`] prevents loops.
//! - [`RemoteOutcome`] is the outcome of a request that a gateway reports; [`client_answer`] derives the answer to the
//!   client.
//! - [`RemoteClock`] converts a deadline to a gateway's clock; the gateway checks it with [`remaining_at_gateway`].
//! - [`EndpointSelector`] chooses among the connections to a region's gateways.
//! - [`credentials`] decides whether replaced certificates and keys may be loaded.
//!
//! The balancer selects the requests that are forwarded (`gaugesaddle_balancer::Offer`,
//! `gaugesaddle_balancer::Action::Forward`). The host provides sockets, clock, files and random numbers.
//!
//! # Example
//!
//! A request is forwarded once, with a shorter deadline, and may not be forwarded back:
//!
//! ```rust
//! use gaugesaddle_balancer::{Micros, Time};
//! use gaugesaddle_federation::{
//!     BudgetLimits, ClassLimits, EvenAllocation, HopRequest, Ineligible, Link, LinkSettings, Via,
//! };
//!
//! let mut link = Link::new(LinkSettings {
//!     local: "north".into(),
//!     remote: "south".into(),
//!     budget: BudgetLimits {
//!         per_s: 10,
//!         burst: 10,
//!         in_flight: 10,
//!         classes: vec![ClassLimits { per_s: None, priority_weight: 1.0 }],
//!     },
//!     allocation: EvenAllocation { proxies: 1, position: 0 },
//!     max_hops: 1,
//!     initial_round_trip: Micros(40_000),
//!     deadline_margin: Micros(10_000),
//! });
//! let request = HopRequest { class: 0, remaining: Micros(250_000), via: None, budget_fraction: 1.0 };
//! let hop = link.start_hop(Time(0), request)?;
//! assert_eq!(hop.via.header_value(), "north;left=0");
//! assert_eq!(hop.remaining, Micros(200_000));
//!
//! let received = Via::parse("north;left=0", "north")?;
//! assert_eq!(Via::next_hop(Some(&received), "south", "north", 1), Err(Ineligible::AlreadyVisited));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! # Guarantees
//!
//! - No request visits a region twice, and none makes more hops than its first region allowed.
//! - Each hop has a strictly shorter deadline than the one before it.
//! - A gateway accepts no request that it reads after the sender's deadline, regardless of the time that the request
//!   waited before it was read.
//! - In no window of one second do all proxies together exceed a budget, provided that their allocations add up to it.
//! - A request that may have been executed elsewhere is answered as retryable only if a retry is harmless.
//! - No external input causes a panic. Functions that depend on time take `now`; a `now` earlier than a previous one
//!   counts as no time passed.
//!
//! # Bounds
//!
//! At most [`MAX_REGIONS`] regions, [`MAX_HOPS`] hops and [`MAX_HEADER_BYTES`] bytes of `Region-Path` header. A budget
//! stores the sends of one second, a round-trip estimator its last 32 samples.

mod allocation;
mod backoff;
mod budget;
pub mod credentials;
mod endpoints;
mod link;
mod rate_limit;
mod remote_clock;
mod remote_outcome;
mod round_trip;
mod spillover;
mod via;

pub use allocation::{EvenAllocation, WeightedAllocation};
pub use backoff::Backoff;
pub use budget::{Budget, BudgetExceeded, BudgetLimits, ClassLimits, Usage};
pub use endpoints::{EndpointSelector, Unavailable, MAX_CONNECTIONS, MIN_CONNECTIONS};
pub use link::{Hop, HopRequest, HopResult, Link, LinkCounters, LinkError, LinkSettings, LinkUsage};
pub use remote_clock::{remaining_at_gateway, ClockSample, DeadlineError, RemoteClock, RemoteTime};
pub use remote_outcome::{client_answer, outcome_of_rejection, ClientAnswer, RemoteOutcome, Transmission};
pub use round_trip::{remaining_after_hop, RoundTripEstimator};
pub use spillover::{
    FleetCapacity, Spillover, SpilloverMode, SpilloverState, SpilloverThresholds, Transition,
};
pub use via::{is_valid_name, Ineligible, Via, ViaError, MAX_HEADER_BYTES, MAX_HOPS, MAX_REGIONS};
