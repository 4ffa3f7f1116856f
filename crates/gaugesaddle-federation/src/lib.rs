//! Other regions as last resort: when requests are forwarded to them, how many, and what is believed of the answer. No I/O,
//! clock or threads.
//!
//! # Main types
//!
//! - [`Spillover`] decides whether the local fleet can serve its demand: local, spilling or returning. One a proxy.
//! - [`Link`] is one other region, as one proxy sees it. It owns a [`Budget`], a [`RoundTripEstimator`] and a [`Backoff`],
//!   and decides for each request whether it may be sent, and with what deadline.
//! - [`Budget`] is this proxy's allocation of what may go to a region, or come from one: in every window of a second, in
//!   flight, and by class. A gateway has one for each sender.
//! - [`Via`] lists the regions that a request came through; [`Via::next_hop`] prevents loops.
//! - [`RemoteOutcome`] is what a gateway reports of a request, [`client_answer`] what its client may be answered then.
//! - [`RemoteClock`] gives a deadline by a gateway's own clock, [`remaining_at_gateway`] is its check there.
//! - [`EndpointSelector`] chooses among the connections to a region's gateways.
//! - [`credentials`] decides whether replaced certificates and keys may be taken into use.
//!
//! Which request is forwarded is the balancer's decision (`gaugesaddle_balancer::Offer`,
//! `gaugesaddle_balancer::Action::Forward`). The host owns sockets, clock, files and random numbers.
//!
//! # Example
//!
//! A request is forwarded once, with a shorter deadline, and not back again:
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
//! - No request is in a region twice, and none makes more hops than its first region allowed.
//! - Each hop has a strictly shorter deadline than the one before it.
//! - A gateway accepts no request that it reads after the sender's deadline, however long it waited to be read.
//! - All proxies together exceed a budget in no window of a second, while their allocations add up to it.
//! - A request that may have been executed elsewhere is answered as retryable only where a retry is harmless.
//! - Nothing panics on outside input. Every function of time takes `now`; time that goes back counts as standing still.
//!
//! # Bounds
//!
//! [`MAX_REGIONS`] regions, [`MAX_HOPS`] hops, [`MAX_HEADER_BYTES`] of header. A budget remembers the sends of one second, a
//! round trip its last 32 samples.

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
