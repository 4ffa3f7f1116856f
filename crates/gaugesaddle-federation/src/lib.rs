//! Another region as last resort: decisions without I/O, clock or threads.
//!
//! - [`Spill`] says whether the local fleet is able to serve: local, spilling or returning, by capacity against demand.
//! - [`Budget`] holds what may go to a region, or come from one, in every window of a second and in flight, by class,
//!   as this proxy's part of what all proxies may.
//! - [`Path`] is the way that a request has come, as a header; [`Path::onward`] lets none go round.
//! - [`RoundTrip`] and [`onward`] make each hop's time strictly shorter than the one before it.
//! - [`Fate`] is what a gateway says became of a request, and [`word`] what its client may be told then.
//! - [`Backoff`] spreads the return to a region that refused or did not answer.
//! - [`Link`] puts these together for one region: what may leave now, and what came of it.
//! - [`keys`] judges certificates and keys that change in service.
//!
//! Which request leaves stays the module's to say (`gaugesaddle_balancer::Offer`, `gaugesaddle_balancer::Action::Leave`). Nothing here
//! panics on outside input; every table has a bound; every function of time takes `now`, and one that goes back counts
//! as standing still. Not covered: sharing a budget by anything but the told number of proxies, and more than
//! [`MOST_REGIONS`] regions.

mod backoff;
mod budget;
mod fate;
mod gates;
pub mod keys;
mod link;
mod path;
mod spill;
mod trip;

pub use backoff::Backoff;
pub use budget::{Budget, Over, Share, Span};
pub use fate::{of_refusal, word, Fate, Final};
pub use gates::{Gates, Shut};
pub use link::{Figures, HopEnd, Link, Refused, Terms};
pub use path::{valid_name, Barred, Path, PathError, HEADER_BYTES, MOST_HOPS, MOST_REGIONS};
pub use spill::{Capacity, Look, Spill, State, Switch, Thresholds};
pub use trip::{onward, RoundTrip};
