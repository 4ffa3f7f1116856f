//! What is told to the fleet's processes: the platform's boot file and the operator's configuration.
//!
//! Both are read whole; all [`Finding`]s are collected with their place and reported together. [`ConfigPatch`] makes one
//! configuration out of another. [`RoutingTable`] is what a proxy looks requests up in.

pub mod boot;
mod finding;
pub mod operator;
mod patch;
mod raw_object;
mod table;

pub use boot::BootSettings;
pub use finding::{Finding, Findings};
pub use operator::OperatorConfig;
pub use patch::ConfigPatch;
pub use table::{Route, RouteKind, RoutingTable, ServiceIndex, Tenant};
