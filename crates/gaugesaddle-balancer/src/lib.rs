//! Load-balancing decisions for a proxy in front of a fleet of HTTP servers.
//!
//! [`Balancer`] is a state machine without clock, network or threads: a host feeds it [`Event`]s
//! with the time at which they happened and carries out the [`Action`]s it returns.

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
pub use logic::halb_shares;
pub use mix::mix;
pub use state::Balancer;

/// The README's example, kept true by the documentation tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;
