//! Proxies that know one another: who lives, what each says of itself, and how sure a proxy may be of what it sees.
//! Decisions without I/O, clock or threads: a host hands in datagrams and the time, and carries out [`Output`]s.
//!
//! - [`Peers`] is one proxy's part of the tier. It asks the others (SWIM with suspicion, indirect questions and
//!   Lifeguard's care for a proxy that is slow itself), tells what it heard, and publishes this proxy's record.
//! - [`Held`] and [`Own`] are the core: what is held of another process and what this one is to itself.
//! - [`View`] says what is seen and how sure that is; [`Shape`] tells a small tier from a torn one.
//! - [`Record`] is what a proxy says of itself, unread here; [`Signals`] is the form that the proxy gives it, and
//!   [`Totals`] the sum over the living with its age.
//!
//! **Promise.** Nothing that arrives makes it panic. A boot that was replaced never comes back, whatever is late,
//! doubled or replayed: another boot counts only once it has answered a fresh question. A record never goes back.
//!
//! **Under partition** each side finds the other dead and goes on; [`View::shape`] says that it may be the smaller
//! side. After the heal every process refutes what was said of it, and both sides hold the same again. Nothing waits
//! for an agreement. With some links cut and others not, a proxy that anybody reaches is reached through others.
//!
//! **A paused process** finds its waits put off by the pause, so it calls nobody dead for it. What came in meanwhile
//! counts as old as the pause. [`View::awake`] says how long ago that was; it refutes that it was found dead.
//!
//! **Bounds.** A slot for each place of the told list, [`MOST_PEERS`] at most: one claim, one record of up to
//! [`RECORD_BYTES`], one rumour, three open questions each. Datagrams of up to [`DATAGRAM_BYTES`]. What is sent:
//! questions and answers at a flat rate, the rest within `bytes_per_s`; answers to others within a bucket.
//!
//! Times are of the host's monotonic clock; no two machines' clocks are compared. Not covered: tiers whose told lists
//! differ in order, more than one datagram for a record, encryption (the tag only keeps strangers out), and which of
//! two living processes with one place is the right one (they are told as contested).

mod asking;
mod claim;
mod health;
mod hearing;
mod peers;
mod records;
mod replay;
mod rumors;
mod seal;
mod settings;
mod signals;
mod suspicion;
mod telling;
mod view;
pub mod wire;

pub use claim::{Boot, Claim, Heard, Held, Own, Standing, MOST_INCARNATION};
pub use peers::{Counts, Output, PeerView, Peers, Told, ToldError, Transition, Why};
pub use records::Record;
pub use seal::{Seal, LEAST_KEY_BYTES};
pub use settings::{Settings, MOST_PEERS};
pub use signals::{Signals, Totals, ZoneSignal, MOST_CLASSES, MOST_ZONES};
pub use view::{Shape, View};
pub use wire::{DATAGRAM_BYTES, NAME_BYTES, NOTE_BYTES, RECORD_BYTES};
