//! A fleet in virtual time: the test bed's scenarios, plans and nodes around the real balancer, without sockets, threads or a
//! clock. The same scenario and policy give the same [`Report`] on every machine.
//!
//! - [`simulate`] plays a [`Scenario`](gaugesaddle_testbed::Scenario) under a [`Policy`].
//! - [`tier`] has proxies that know one another, on a network that partitions, loses, duplicates and delays.
//! - [`fuzz`] sends malformed and forged datagrams to a proxy's membership.
//! - [`Report`] has the weight that was served in time, by class too, and the load of the nodes.
//!
//! Covered: arrivals, classes, retries, processor sharing, queues, chokes, cold ramps, crashes, drains, deploys,
//! slow and hung nodes, late news of the list, proxies with unequal traffic. Not covered (a scenario that asks for
//! it is refused): cut or delayed links, spoilt answers and resets, discovery that is down or moves, proxies that
//! end, crowds. Cold nodes never fall over here: the rules are the test bed's to judge. A hop takes [`ONE_WAY_DELAY_US`].

pub mod fuzz;
mod host;
pub mod tier;
mod world;

pub use world::{simulate, Policy, Report, SimulationError, ONE_WAY_DELAY_US};
