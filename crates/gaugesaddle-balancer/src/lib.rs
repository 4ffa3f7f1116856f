//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers (HALB), without I/O.
//!
//! It decides whether a request is admitted, which backend each attempt goes to, when an attempt is repeated or
//! cancelled, which backends are ejected, and how many requests each may have in flight.
//!
//! - [`Balancer`]: the state machine of one proxy. It owns the estimates of backends, kinds (classes of equally fast
//!   machines), request classes and tenants, and all requests without a final answer.
//! - [`Event`] and [`Action`]: its interface. The host reports events in order, with the time at which they happened,
//!   and carries out the actions that [`Balancer::handle`] appends. The balancer has no clock, network or threads.
//! - [`Config`]: the configuration of a proxy; [`settings`] reads it from a document.
//! - [`halb_fractions`]: the split of the traffic over kinds; [`subset`]: the selection of a proxy's backends.
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
//! States of a request:
//!
//! ```text
//!  Request --admitted--> queued --slot free--> in flight --served--> (the host has answered)
//!     |                    |  ^                   |
//!     |                    |  +-- may repeat -----+
//!     +--shed--> Refuse or Forward <--too late----+--> Fail, if an attempt may have run
//! ```
//!
//! # Guarantees
//!
//! Every request whose client stays connected gets exactly one final answer: an attempt's, [`Action::Refuse`],
//! [`Action::Fail`] or [`Action::Forward`]. A request that may have run is repeated only if its [`Effect`] permits, and
//! refused only if a retry is harmless. The same events with the same seed give the same actions. Events of unknown
//! ids have no effect.
//!
//! # Bounds
//!
//! A request is removed with its final answer, at its deadline at the latest; a stream is removed when it ends. A
//! departed backend is removed when its last attempt in flight ends. The backends' limits bound a proxy's attempts in
//! flight. The host bounds the arrivals and the list of backends. Times are microseconds of the host's clock.

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
