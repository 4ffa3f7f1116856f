//! Everything that the tests and measurements of gaugesaddle need round it, and nothing of its insides.
//!
//! - [`Scenario`] says what happens to a fleet; [`run`] plays it: stand-in nodes, discovery and clients on one
//!   thread, proxies as processes, all from one seed.
//! - [`audit`] judges the four rules from the stand-ins' [`Record`]s; a [`Fault`]y relay in the proxies' place
//!   shows that it finds what it is there to find.
//! - [`scripted`] has peers whose every byte the test words, [`relay`] a link that fails.
//! - [`authority`] makes certificates for regions under test.
//! - [`fleet`] is a small router fleet of real processes.
//! - [`program`] finds the built programs.
//!
//! Limits: 64 proxies, 512 nodes, 20,000 requests a second in a file, 4 million records. All stand-ins share one
//! thread; how much it carries was not measured (136 us CPU a request at 290 a second). A node that vanishes still
//! accepts connections, for its system does; it reads none.

mod agent;
mod audit;
pub mod authority;
mod clients;
pub mod datagrams;
mod faulty;
pub mod fleet;
mod http;
pub mod hunt;
pub mod lease;
mod node;
pub mod plan;
mod process;
pub mod processor;
pub mod program;
pub mod random;
mod record;
mod regions;
pub mod relay;
pub mod scenario;
pub mod scripted;
pub mod tier;
mod world;

pub use audit::{audit, Broken, ClassFigures, Finding, RegionFigures, Verdict};
pub use faulty::Fault;
pub use process::{peak_kb, Process, Program};
pub use record::{Boot, Event, Journal, Moment, NodeState, Record};
pub use scenario::{Disturbance, Scenario, ScenarioError};
pub use world::{run, Outcome, Progress, ProxyImplementation};
