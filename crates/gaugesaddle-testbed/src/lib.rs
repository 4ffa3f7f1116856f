//! Test harness of gaugesaddle: simulated peers, fault injection and the audit of runs. It uses the proxy only through
//! its external interfaces.
//!
//! - [`Scenario`] describes the fleet and its disturbances; [`run`] executes it: stand-in nodes, discovery and clients
//!   on one thread, proxies as processes, everything random drawn from one seed.
//! - [`audit`] checks the four rules on the stand-ins' [`Record`]s; a [`Fault`]y relay in place of the proxies
//!   tests that the audit detects violations.
//! - [`scripted`] has peers whose every byte the test determines, [`relay`] a link that fails.
//! - [`authority`] issues certificates for regions under test.
//! - [`fleet`] is a small router fleet of real processes.
//! - [`program`] finds the built programs.
//!
//! Limits: 256 proxies, 64 zones, 512 nodes, 20,000 requests a second in a file, 4 million records. All stand-ins share
//! one thread; its maximum load is unknown (136 us CPU a request at 290 a second). A node that vanishes still accepts
//! connections, since the kernel completes the handshake, but reads nothing from them.

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

pub use audit::{audit, ClassFigures, Finding, RegionFigures, Verdict, Violation};
pub use faulty::Fault;
pub use process::{peak_kb, Process, Program};
pub use record::{Boot, Event, Journal, Moment, NodeState, Record};
pub use scenario::{Disturbance, Scenario, ScenarioError};
pub use world::{run, Outcome, Progress, ProxyImplementation};
