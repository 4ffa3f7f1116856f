//! The whole interface of the decision module: configuration, events, actions, views. No decisions here.

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
