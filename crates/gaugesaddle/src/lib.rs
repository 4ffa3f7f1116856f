//! The proxy `gaugesaddle`: HTTP/1.1 in front of a fleet of servers, every decision the module `gaugesaddle_balancer`'s.
//!
//! Arrows run one way: fronts (`server`) and upstreams (`upstream`) know the types of `exchange` and never each
//! other; the `driver` owns the module, the requests and their attempts; `discovery` tells the list. The
//! [`registry`] is counted in by driver and fronts, and read by every exit. [`operator`] is the operator's file,
//! `config` the platform's.
//!
//! Bounds: connections and sockets by the told number of descriptors, bodies by a quarter of the told memory and
//! 64 KiB each, open requests by `open_cap`, rows of the registry by the list.

mod admin;
mod app;
mod backend_set;
mod body;
pub mod cli;
mod clock;
mod config;
mod discovery;
mod driver;
mod error;
mod exchange;
mod failover;
mod form;
mod hot_restart;
pub mod operator;
mod pacing;
mod peers;
mod region;
pub mod registry;
mod renewal;
mod seam;
mod server;
mod shares;
mod snapshot;
pub mod state;
mod storm;
pub mod table;
mod tally;
mod tap;
mod upstream;

pub use error::Error;
