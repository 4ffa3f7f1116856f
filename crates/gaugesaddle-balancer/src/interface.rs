//! The public interface of the balancer: configuration, events, actions and views.

mod action;
mod config;
mod event;
mod units;
mod view;

pub use action::*;
pub use config::*;
pub use event::*;
pub use units::*;
pub use view::*;
