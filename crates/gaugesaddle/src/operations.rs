//! Operations: counters and published state, the admin interface, and hot restarts.

pub mod admin;
pub mod event_counters;
pub mod hot_restart;
pub mod registry;
pub mod snapshot;
pub mod state_socket;
pub mod state_text;
