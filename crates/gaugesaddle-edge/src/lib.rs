//! The data plane of a router fleet: accepts client requests and forwards each to a backend of its route's service.
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
//! This crate does the I/O: sockets, timers, headers. Decisions are made in crates without I/O, and in two modules of
//! this crate: `retry` decides whether a request may be sent to another backend, `body_tracker` whether the end of a body is
//! the end of the response:
//!
//! - `gaugesaddle-inference` selects a backend and splits streams into events;
//! - `gaugesaddle-distribution` tracks the configuration and the registrations of the control plane;
//! - `gaugesaddle-quota` accounts for tenants' tokens and retries;
//! - `gaugesaddle-load-report` aggregates the load and failures of the backends that all proxies observe;
//! - `gaugesaddle-http-connection` tracks whether any byte of a request was written to a connection.
//!
//! The only public item is [`run`]: it reads the boot file named by `GAUGESADDLE_BOOT` and serves until SIGTERM.
//!
//! ```no_run
//! // `gaugesaddle edge` calls this with the values of its option `--set`.
//! gaugesaddle_edge::run(&["copies=2".to_owned()])?;
//! # Ok::<(), eyre::Report>(())
//! ```
//!
//! **Guarantees.** The proxy itself responds with 429, 503 or 408 only if the request has not been executed and will not
//! be. Once any byte of a request may have reached a backend, the client receives the backend's own response, 502 or 504. A
//! non-idempotent request is retried only if it cannot have been executed. A truncated response never looks complete to
//! its client. In a deployment with `bounds.closed`, no request is sent for an API key without recent proof that the key is
//! valid.
//!
//! **Bounds.** A fraction of the file descriptors limits client connections, and a fraction of the memory limits the
//! request bodies that are held. A service's `maxConnections` limits the connections to each backend. The configuration and
//! the catalog limit the number of table entries. All tasks run on one thread.

mod active_request;
mod admission;
mod api_key;
mod attempt;
mod backend;
mod backend_set;
mod body_tracker;
mod client_stream;
mod control_client;
mod dispatch;
mod headers;
mod http_server;
mod load_reporter;
mod quota_client;
mod readiness;
mod rejection;
mod relay;
mod request_body;
mod response_body;
mod retry;
mod run;
mod service_statistics;
mod silence;
mod state;
mod takeover;

pub use run::run;
