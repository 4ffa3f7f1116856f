//! Maintenance of a proxy in service, as its operators do it: drains, excluded backends, hot restart. Decisions without I/O,
//! clock or threads.
//!
//! - [`Lifecycle`] says whether the proxy accepts new clients, which connections close and when the listener does, while it
//!   drains, is replaced by its successor, or stops.
//! - [`Maintenance`] knows the backends that the operators excluded, and shows the balancer the list accordingly.
//! - [`HandoverMessage`] is what a proxy and its successor send each other during a hot restart, a line of JSON each;
//!   [`MessageReader`] reads them.
//!
//! ```
//! use gaugesaddle_balancer::{Backend, BackendId, BackendState, Time};
//! use gaugesaddle_maintenance::{CommandOutcome, Maintenance, MaintenanceCommand};
//!
//! let mut maintenance = Maintenance::default();
//! let listed = Backend { id: BackendId(1), state: BackendState::Ready, ..Backend::default() };
//! maintenance.observe(&listed);
//! let outcome = maintenance.apply(Time(1), listed.id, MaintenanceCommand::Exclude);
//! assert_eq!(outcome, CommandOutcome::Applied);
//! assert_eq!(maintenance.view(&listed).state, BackendState::Draining);
//! ```
//!
//! Which backend is used stays the balancer's decision: it sees an excluded one as draining.
//!
//! **Guarantees.** An exclusion holds until the command that ends it, whatever discovery lists meanwhile. A process that was
//! told to stop never serves again. No bytes of the other process cause a panic. A `now` that goes back counts as standing
//! still.
//!
//! **Bounds.** [`MAX_EXCLUDED_BACKENDS`] exclusions, [`MAX_REMEMBERED_BACKENDS`] remembered identities (the oldest is
//! forgotten first), messages of [`MAX_MESSAGE_BYTES`].

mod handover;
mod lifecycle;
mod maintenance;

pub use handover::{HandoverError, HandoverMessage, MessageReader, HANDOVER_VERSION, MAX_MESSAGE_BYTES};
pub use lifecycle::{Lifecycle, Phase, IDLE_CLOSE_DELAY, LISTEN_AFTER_STOP};
pub use maintenance::{
    CommandOutcome, Maintenance, MaintenanceCommand, MAX_EXCLUDED_BACKENDS, MAX_REMEMBERED_BACKENDS,
};
