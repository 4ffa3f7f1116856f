//! The control plane: takes the operator's configuration and the registrations of backends and proxies, keeps the
//! one on a majority of disks and the others as soft state under leases, and hands both to every proxy.
//!
//! ```text
//!  operator, backends --HTTP--> api --+              +--> disk (a thread: ring of files)
//!  proxies ------------frames-> requests --> core ---+
//!  control processes ---frames-> peers ---+          +--> peers (frames)
//! ```
//! [`core`] is the host of the state machines of `gaugesaddle-consensus`, `gaugesaddle-catalog` and
//! `gaugesaddle-quota`; nothing else touches them. One thread runs everything but the writes to the disk.

mod api;
pub mod bootstrap;
mod changes;
pub mod cli;
mod core;
mod disk;
mod loads;
pub mod operator;
mod peers;
mod registrations;
mod requests;
mod serve;
mod upkeep;
