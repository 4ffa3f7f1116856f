//! The control plane's state machines in virtual time.
//!
//! What runs here is what ships: [`Replica`](gaugesaddle_consensus::Replica), the ring of `gaugesaddle-log`,
//! [`CatalogReplica`](gaugesaddle_catalog::CatalogReplica), [`Acknowledgement`](gaugesaddle_catalog::Acknowledgement),
//! [`Distributor`](gaugesaddle_distribution::Distributor) and [`Follower`](gaugesaddle_distribution::Follower). Only
//! what surrounds them is made up:
//!
//! - [`network`]: links that delay, lose, stall and are cut, both ways or one.
//! - [`disk`]: disks with a write cache that tear, lose, refuse and hang.
//! - [`control`], [`proxy`], [`operator`], [`backend`]: the processes, the people and the machines around them.
//! - [`plan`]: the faults of a day, drawn from a seed within what a deployment must bear, or read from a file.
//! - [`world`]: plays a plan; one seed draws everything.
//! - [`history`]: what was seen from outside, and the rules that it must keep.
//! - [`shrink`]: the fewest faults that still break a rule.
//!
//! Not here: founding a group at the first start (its own test), quotas (their own model), connections to backends.

pub mod backend;
pub mod control;
pub mod disk;
pub mod history;
pub mod network;
pub mod operator;
pub mod plan;
pub mod proxy;
pub mod shape;
pub mod shrink;
pub mod world;

pub use history::Violation;
pub use plan::{Fault, Plan, PlannedFault};
pub use shape::Shape;
pub use world::{play, Outcome};

/// Virtual time in milliseconds, the same at every process but for the start of its clock.
pub type Millis = u64;
