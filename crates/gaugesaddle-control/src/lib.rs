//! The control plane: commits operators' configurations on a majority of disks, records the registrations of backends
//! and proxies as soft state under leases, allocates tenants' tokens, and distributes the results to every proxy.
//!
//! ```text
//!  operators, backends --HTTP--> http_api ----------+                        +--> disk (a thread: ring of files)
//!  proxies ------------frames--> request_server ----+--> core: all state ----+
//!  control processes --frames--> peer_connections --+    machines            +--> peer_queues (frames)
//!                                maintenance (1 s) -+
//! ```
//!
//! The protocols are implemented in crates without I/O; this crate provides their I/O, timers and tasks. A single
//! thread runs everything except the writes to the disk, and one value, `Core`, owns all state:
//!
//! | state | owner | extended by |
//! | --- | --- | --- |
//! | consensus: [`Replica`](gaugesaddle_consensus::Replica) | `core` | `replica_driver`, `bootstrap` (first start) |
//! //! | catalog: [`CatalogReplica`](gaugesaddle_catalog::CatalogReplica) | `core` | `catalog_updates`, `registrations` |
//! | tokens: [`TokenAllocator`](gaugesaddle_quota::TokenAllocator) | `core` | `quota` |
//! | loads: [`LoadAggregator`](gaugesaddle_load_report::LoadAggregator) | `core` | `load_reports` |
//!
//! `change_handler` implements the server side of a configuration change, [`operator_client`] the client side for the
//! command line.
//!
//! # Guarantees
//!
//! - A change that is acknowledged (status 200) is durable on a majority of the voters' disks.
//! - An acknowledged drain or deregistration is known to all responsive control processes, a majority at least, and to the
//!   proxies that pull from them.
//! - Malformed input closes its connection or is answered with an error; it does not stop the process.
//! - A disk error stops the replica but not the process, which tries to reopen the disk every 300 ms.
//!
//! # Limits
//!
//! 64 peers with 256 queued messages each; a configuration or patch of 8 MiB; a heartbeat of 4 KiB; 32 writes to the
//! disk per sync. Connections are limited by the process's file descriptors only.

mod bootstrap;
mod catalog_updates;
mod change_handler;
pub mod cli;
mod core;
mod disk;
mod http_api;
mod load_reports;
mod maintenance;
pub mod operator_client;
mod peer_connections;
mod peer_queues;
mod quota;
mod random;
mod registrations;
mod replica_driver;
mod request_server;
mod serve;
mod status;
