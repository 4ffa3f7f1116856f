//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers (HALB), without I/O.
//!
//! It decides whether a request is admitted, which backend each attempt goes to, when an attempt is repeated or
//! cancelled, which backends are ejected, and how many requests each may have in flight.
//!
//! - [`Balancer`]: the state machine of one proxy. It owns everything that is learned of backends, kinds (classes of
//!   equally fast machines), request classes and tenants, and all requests without a final answer.
//! - [`Event`] and [`Action`]: its interface. The host reports events in order, with the time at which they happened,
//!   and carries out the actions that [`Balancer::handle`] appends. It has neither clock nor network nor threads.
//! - [`Config`]: what a proxy is given at its start; [`settings`] reads it from a document.
//! - [`halb_fractions`]: the split of the traffic over kinds; [`subset`]: which backends a proxy uses.
//!
//! ```
//! use gaugesaddle_balancer::*;
//!
//! let mut balancer = Balancer::new(Config::example(), 1)?;
//! let mut actions = Vec::new();
//! let backend = Backend { id: BackendId(7), state: BackendState::Ready, ..Backend::default() };
//! let list = Event::Members { update: ListUpdate::Full, backends: vec![backend] };
//! balancer.handle(Time(0), list, &mut actions);
//! let arrival = Arrival {
//!     request: RequestId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     remaining: Micros::from_secs(2.0),
//!     work_hint: None,
//!     repeat: false,
//!     retried_early: false,
//!     from_other_region: false,
//! };
//! balancer.handle(Time(1_000), Event::Request(arrival), &mut actions);
//! assert!(actions.contains(&Action::Dispatch { request: RequestId(1), backend: BackendId(7) }));
//! # Ok::<(), ConfigError>(())
//! ```
//!
//! A request's way through it:
//!
//! ```text
//!  Request --admitted--> queued --slot free--> in flight --served--> (the host has answered)
//!     |                    |  ^                   |
//!     |                    |  +-- may repeat -----+
//!     +--shed--> Refuse or Leave <--too late------+--> Fail, where an attempt may have run
//! ```
//!
//! # Guarantees
//!
//! Every request whose client stays gets exactly one final answer: an attempt's, [`Action::Refuse`], [`Action::Fail`]
//! or [`Action::Forward`]. A request that may have run is repeated only where its [`Effect`] permits, and refused only where
//! a retry is harmless. The same events with the same seed give the same actions. Events of unknown ids have no effect.
//!
//! # Bounds
//!
//! Requests leave the tables with their final answer, at their deadline at the latest, streams when they end. Departed
//! backends leave with their last attempt in flight. A proxy's attempts in flight are bounded by the backends' limits. The host bounds
//! the arrivals and the list of backends. Times are microseconds of the host's clock.

mod estimates;
mod interface;
mod limits;
mod logic;
mod mix;
mod records;
pub mod settings;
mod state;
pub mod subset;

pub use interface::*;
pub use logic::halb_fractions;
pub use mix::mix;
pub use state::Balancer;

/// The README's example, compiled by the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
