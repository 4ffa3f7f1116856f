//! Connections between the processes of the fleet.
//!
//! [`Link`] reads and writes frames with time-outs, [`Caller`] sends requests and waits for the answer of each,
//! [`clock`] is the steady clock that all decisions are told, [`log`] sets the log up. A peer that hangs is noticed
//! by the time-outs here, never by a time of day.

mod caller;
pub mod clock;
mod link;
pub mod log;

pub use caller::Caller;
pub use clock::Clock;
pub use link::{accept, connect, listen, Link, LinkError};
