//! Deterministic simulation of the control plane in virtual time.
//!
//! The state machines are those that ship: [`Replica`](gaugesaddle_consensus::Replica), the ring of `gaugesaddle-log`,
//! [`CatalogReplica`](gaugesaddle_catalog::CatalogReplica),
//! [`Acknowledgement`](gaugesaddle_catalog::Acknowledgement),
//! [`Distributor`](gaugesaddle_distribution::Distributor) and [`Follower`](gaugesaddle_distribution::Follower).
//! Everything around them is simulated:
//!
//! - [`network`]: links that delay and lose messages, and can be partitioned in either direction.
//! - [`disk`]: disks with a write cache, which lose or tear unsynced writes, fail and hang.
//! - [`control`], [`proxy`], [`operator`], [`backend`]: the processes and operators, which exchange [`packet`]s.
//! - [`fault`], [`plan`]: the faults of a run, drawn from a seed within the losses that a [`Deployment`] must tolerate,
//!   or read from a file.
//! - [`world`]: simulates a plan. It owns all of the above, and the only clock.
//! - [`history`]: the externally observed events of a run, and the rules that they must satisfy.
//! - [`shrink`]: a minimal set of faults that still violates a rule.
//! - [`trace`]: what happened in a run, for the search of a cause.
//!
//! ```rust
//! use gaugesaddle_simulation::{simulate, Deployment, Plan};
//!
//! let deployment = Deployment::named("three-zones").expect("a known deployment");
//! let outcome = simulate(&Plan::draw(1, deployment));
//! assert!(outcome.violations.is_empty());
//! assert!(outcome.confirmed_changes > 0);
//! ```
//!
//! # Guarantees
//!
//! A plan gives the same [`Outcome`] each time, and a seed the same plan: `tests/golden_outcomes.rs` compares outcomes
//! with recorded ones. All random numbers come from the plan's seed, and no decision depends on a clock or on the order
//! of a hash table.
//!
//! # Limits
//!
//! Not simulated: faults during the bootstrap (`gaugesaddle-consensus/tests/bootstrap.rs` injects them), seeds without a
//! disk, quotas, and connections to backends. Links preserve the order of messages, as TCP does. A run has about 40 faults at most and takes about 0.1 s
//! of CPU time.

pub mod backend;
pub mod control;
pub mod deployment;
pub mod disk;
pub mod fault;
pub mod history;
pub mod network;
pub mod operator;
pub mod packet;
pub mod plan;
pub mod proxy;
pub mod shrink;
pub mod trace;
pub mod world;

pub use deployment::Deployment;
pub use fault::{Fault, PlannedFault};
pub use history::Violation;
pub use plan::Plan;
pub use world::{simulate, Outcome};

/// Virtual time in milliseconds since the start of the run.
pub type Millis = u64;
