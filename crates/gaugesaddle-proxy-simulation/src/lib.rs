//! Discrete-event simulation of a fleet: the scenarios, plans and nodes of `gaugesaddle-testbed` around the real
//! balancer, without sockets, threads or a wall clock. The same scenario and policy give the same [`Report`] on every
//! machine.
//!
//! - [`simulate`] runs a [`Scenario`](gaugesaddle_testbed::Scenario) under a [`Policy`].
//! - [`tier`] simulates the membership protocol of a proxy tier on a network that partitions, loses, duplicates and
//!   delays datagrams.
//! - [`fuzz`] sends malformed and forged datagrams to a proxy's membership process.
//! - [`Report`] contains the weight served in time, in total and by class, and the load of the nodes.
//!
//! Simulated: arrivals, classes, retries, processor sharing, queues, choked nodes, cold ramps, crashes, drains,
//! deploys, slow and hung nodes, delayed discovery updates, proxies that are killed and started, uneven traffic over
//! proxies. Not simulated (a scenario with such an event is rejected): partitioned or delayed links, corrupted
//! responses and resets, nodes that vanish, discovery outages and moves, proxies that are suspended, restarted or leave
//! gracefully. Overload does not crash cold nodes, and the auditor's rules are not checked; the test bed does both. A
//! message takes [`ONE_WAY_DELAY_US`] in each direction.

pub mod fuzz;
mod host;
pub mod tier;
mod world;

pub use world::{simulate, Policy, Report, SimulationError, ONE_WAY_DELAY_US};
