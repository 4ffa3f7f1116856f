//! The data plane of a router fleet: takes clients' requests, and sends each to a backend of its route's service.
//!
//! ```text
//!  clients --> front --> admission (route, key, quota) --> dispatch --> upstream --> backends
//!                                                            |  ^
//!  control <--> follow (configuration, backends) --> fleet --+  +-- relay (events, continuation)
//!          <--> lending (tokens)
//! ```
//! What is decided stands in the crates `gaugesaddle-inference`, `gaugesaddle-distribution` and `gaugesaddle-quota`; the
//! connections to backends are those of the proxy in service ([`crate::link`], [`crate::wire`]). One thread runs
//! everything. Bounds: descriptors and memory as the boot file tells, connections to a backend by its service.

mod admission;
mod attempts;
mod backend;
mod dispatch;
mod fleet;
mod follow;
mod front;
mod headers;
mod keys;
mod lending;
mod load;
mod ready;
mod refusal;
mod relay;
mod serve;
mod upstream;

pub use serve::run;
