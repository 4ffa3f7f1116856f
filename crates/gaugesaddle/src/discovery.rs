//! Service discovery: the list of backends and the watch on it.
//!
//! [`watch`] calls the discovery service; [`subscription`] decides when, and how long a call may remain unanswered;
//! [`call_schedule`] spreads the calls of many proxies. [`list`] parses the service's answers, [`backend_set`] combines
//! them with the operators' exclusions.

pub mod backend_set;
pub mod call_schedule;
pub mod list;
pub mod subscription;
pub mod watch;
