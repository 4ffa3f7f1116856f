//! The proxy `gaugesaddle`: HTTP/1.1 in front of a fleet of backends. Every decision is made by `gaugesaddle_balancer`.
//!
//! - `serving` is the request path, from a client's socket to a backend's and back.
//! - `discovery` keeps the list of backends up to date.
//! - `membership` (the proxies of one tier) and `federation` (other regions) are optional.
//! - `operations` is what operators see and do: [`registry`], [`state`], the admin interface, hot restarts.
//! - `configuration` reads the platform's file and the operator's ([`operator`]).
//! - `application` builds all of it, and ends it in order.
//!
//! Dependencies run one way: the server of clients and the upstreams know the types of `serving::exchange` and never each
//! other; the driver owns the balancer, the requests and their attempts.
//!
//! # Bounds
//!
//! Connections and sockets are limited by the configured number of descriptors, bodies by a quarter of the configured memory
//! and 64 KiB each, open requests by `open_cap`, rows of the registry by the list.

mod application;
pub mod cli;
mod clock;
mod configuration;
mod discovery;
mod error;
mod federation;
mod membership;
mod operations;
mod serving;
pub mod table;

pub use configuration::operator;
pub use error::Error;
pub use operations::{registry, state_socket as state};
