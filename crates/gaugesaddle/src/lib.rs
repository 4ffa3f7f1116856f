//! The proxy `gaugesaddle`: HTTP/1.1 load balancing over a fleet of backends. Every balancing decision is made by
//! `gaugesaddle_balancer`.
//!
//! - `serving` is the request path, from a client's socket to a backend's and back.
//! - `discovery` keeps the list of backends up to date.
//! - `membership` (the proxies of one tier) and `federation` (other regions) are optional.
//! - `operations` has the operators' interfaces: [`registry`], [`state`], the admin interface and hot restarts.
//! - `configuration` reads the platform's configuration file and the operator's ([`operator`]).
//! - `application` builds the components, runs them and shuts them down in order.
//!
//! Dependencies run one way: the client-facing server and the upstreams depend on the types of `serving::exchange` and
//! not on each other; the driver owns the balancer, the requests and their attempts.
//!
//! # Bounds
//!
//! Connections and sockets are limited by the configured number of descriptors, bodies by a quarter of the configured
//! memory and 64 KiB each, open requests by `open_cap`, rows of the registry by the size of the backend list.

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
