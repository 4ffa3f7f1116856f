//! Parsing and validation of the two documents that configure a fleet.
//!
//! - The **boot file**, which the platform writes for each process: [`BootSettings`], read once at the start.
//! - The **operator's configuration**, one JSON document for the fleet: [`OperatorConfig`] is its schema, and
//!   [`ConfigPatch`] derives the next document from the current one. The control plane commits documents; every proxy
//!   builds its own [`RoutingTable`] from the committed document and looks up requests in it.
//!
//! ```rust
//! use gaugesaddle_config::{OperatorConfig, RoutingTable};
//!
//! let document = br#"{"revision": 1, "services": [{"name": "chat"}],
//!     "routes": [{"name": "r", "hostname": "llm.example", "pathPrefix": "/v1/", "timeoutMs": 3000, "service": "chat"}]}"#;
//! let table = RoutingTable::new(OperatorConfig::parse(document)?);
//! assert_eq!(table.route("llm.example", "/v1/chat").map(|route| route.timeout_ms), Some(3000));
//!
//! let invalid = String::from_utf8_lossy(document).replace("3000", "0");
//! let findings = OperatorConfig::parse(invalid.as_bytes()).expect_err("a time-out of 0");
//! assert_eq!(findings.to_string(), "routes[0] (r).timeoutMs: expected more than 0");
//! # Ok::<(), gaugesaddle_config::Findings>(())
//! ```
//!
//! # Guarantees
//!
//! - No input causes a panic: tests mutate documents at random.
//! - All errors of a document that can be parsed are collected, each as a [`Finding`] with its path, and reported
//!   together.
//! - Unknown keys are ignored, so that documents for newer versions can be read.
//! - A patch preserves the text of all items that it does not name byte for byte.
//!
//! # Limits
//!
//! The crate does not limit the size of documents: callers must, before parsing. Tables grow with the document and are
//! immutable.

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
