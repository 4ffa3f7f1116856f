//! Maintenance of a proxy in service by its operators: drains, excluded backends, hot restart. No I/O, clock or threads.
//!
//! - [`Lifecycle`] decides whether the proxy accepts new clients, and when it closes idle connections and the listener,
//!   while it drains, is replaced by its successor, or stops.
//! - [`Maintenance`] stores the backends that the operators excluded, and adapts the list for the balancer accordingly.
//! - [`HandoverMessage`] is a message between a proxy and its successor during a hot restart, encoded as a line of JSON;
//!   [`MessageReader`] decodes these messages.
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
//! The balancer decides which backends are used; an excluded one is presented to it as draining.
//!
//! **Guarantees.** An exclusion holds until the command that ends it, whatever discovery lists meanwhile. A stopping process
//! never serves again. No bytes from the other process cause a panic. A `now` before the previous one counts as no time
//! passed.
//!
//! **Bounds.** At most [`MAX_EXCLUDED_BACKENDS`] exclusions, [`MAX_REMEMBERED_BACKENDS`] remembered identities (the
//! oldest is removed first), and messages of [`MAX_MESSAGE_BYTES`].

mod handover;
mod lifecycle;
mod maintenance;

pub use handover::{HandoverError, HandoverMessage, MessageReader, HANDOVER_VERSION, MAX_MESSAGE_BYTES};
pub use lifecycle::{Lifecycle, Phase, IDLE_CLOSE_DELAY, LISTEN_AFTER_STOP};
pub use maintenance::{
    CommandOutcome, Maintenance, MaintenanceCommand, MAX_EXCLUDED_BACKENDS, MAX_REMEMBERED_BACKENDS,
};
