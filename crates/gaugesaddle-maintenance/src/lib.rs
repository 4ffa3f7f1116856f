//! A proxy in service, as its operators handle it: decisions without I/O, clock or threads.
//!
//! - [`Lifecycle`] says whether new clients are wanted, which connections close and when the listener does, while
//!   the proxy drains, is replaced by its successor, or ends.
//! - [`Maintenance`] knows the backends that the operators took out, and shows the module the list as it is then.
//! - [`Word`] is what a proxy and its successor tell one another during an upgrade, a line of JSON each.
//!
//! Which backend is used stays the module's to say: it sees an excluded one as draining. Nothing here panics; every
//! table has a fixed bound and a line that says what leaves it; a `now` that goes back counts as standing still.

mod lifecycle;
mod maintenance;
mod word;

pub use lifecycle::{Lifecycle, Phase, IDLE_CLOSE, LISTEN_ON};
pub use maintenance::{Maintenance, Order, Verdict, EXCLUDED, LISTED};
pub use word::{Line, Word, WordError, LINE_BYTES, VERSION};
