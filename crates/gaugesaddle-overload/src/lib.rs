//! Storms of retries and reconnects, as one proxy sees them: decisions without I/O, clock or threads.
//!
//! - [`Storm`] is the whole: a host tells it of arrivals, refusals and ends, asks it a few times a second for the
//!   [`gaugesaddle_balancer::Pressure`] to hand to the module, and for each refusal when its client may come back.
//! - [`Watch`] tells storms from honest growth by what comes again, not by how much comes.
//! - [`Pace`] finds the rate that the fleet can bear while it is under one.
//! - [`Calendar`] deals out moments to come back, no more a second than that rate.
//! - [`Ledger`] knows who comes back before its moment.
//!
//! What is turned away is the module's to say, by worth; nothing here refuses a request. It never panics; every table
//! has a fixed bound; every function of time takes `now` as an argument, and a `now` that goes back counts as standing
//! still.

mod calendar;
mod ledger;
mod pace;
mod storm;
mod watch;

pub use calendar::Calendar;
pub use ledger::Ledger;
pub use pace::Pace;
pub use storm::{Look, Settings, Storm};
pub use watch::{Figures, Second, State, Watch};
