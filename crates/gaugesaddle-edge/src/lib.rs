//! The data plane of a router fleet: takes clients' requests, and sends each to a backend of its route's service.
//!
//! ```text
//!  clients --> http_server --> admission (route, key, quota) --> dispatch --> attempt --> backends
//!                                                                   ^
//!                                                                   +---- relay (events, resumption)
//!
//!  control  <--> control_client (configuration, registrations) --> state
//!  plane    <--> quota_client   (tenants' tokens)              --> state
//!           <--> load_reporter  (backends' load)               --> state
//! ```
//!
//! This crate is the host: sockets, timers, headers. What is decided stands in crates without I/O, and here in
//! `retry`, the rule that says whether another backend may get a request:
//!
//! - `gaugesaddle-inference` chooses a backend and splits streams into events;
//! - `gaugesaddle-distribution` follows the control plane;
//! - `gaugesaddle-quota` accounts for tenants' tokens and retries;
//! - `gaugesaddle-load-report` merges what all proxies see of the backends;
//! - `gaugesaddle-http-connection` knows whether a request has begun on a connection.
//!
//! The only public item is [`run`]: it reads the boot file that `GAUGESADDLE_BOOT` names and serves until SIGTERM.
//!
//! ```no_run
//! // What `gaugesaddle edge` runs; the arguments are those of its option `--set`.
//! gaugesaddle_edge::run(&["copies=2".to_owned()])?;
//! # Ok::<(), eyre::Report>(())
//! ```
//!
//! **Guarantees.** A response of 429, 503 or 408 says that the request has not run and never will; from the first byte
//! that may have reached a backend on, it gets the backend's own response, 502 or 504. A non-idempotent request is
//! sent again only if it cannot have run. A response that breaks off never looks complete to its client. On a deployment
//! with `bounds.closed` no request is sent on a key without recent proof that the key is valid.
//!
//! **Bounds.** Client connections by a part of the file descriptors, buffered bodies by a part of the memory, connections
//! to a backend by its service's `maxConnections`, table entries by the configuration and by the catalog. One thread runs
//! everything.

mod admission;
mod api_key;
mod attempt;
mod backend;
mod backend_set;
mod control_client;
mod dispatch;
mod headers;
mod http_server;
mod load_reporter;
mod quota_client;
mod readiness;
mod rejection;
mod relay;
mod response_body;
mod retry;
mod run;
mod service_statistics;
mod state;

pub use run::run;
