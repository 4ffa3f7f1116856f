//! The catalog of backends and proxies: soft state under leases, kept in memory only. The crate performs no I/O.
//!
//! It decides which registrations are valid, which have expired, which of them another process lacks, and when a
//! backend's call may be acknowledged.
//!
//! - [`Catalog`]: registrations, each with the change that it comes from; deltas are merged from any source in any
//!   order. Proxies and control processes use the same type. [`digest`] computes its range digests, which reveal
//!   differences that the version vectors do not show.
//! - [`CatalogReplica`]: a control process's copy. It owns a [`Catalog`], the [`Leases`] that this process has granted,
//!   the [`peers::PeerTable`] of the other control processes and the table of its proxies.
//! - [`Acknowledgement`]: a backend's call that is not answered yet; the host owns it and calls
//!   [`Acknowledgement::decide`] until it is decided.
//!
//! ```
//! use gaugesaddle_catalog::Catalog;
//! use gaugesaddle_protocol::{Lifecycle, Origin, Registration, Subject};
//!
//! let (mut source, mut sink) = (Catalog::default(), Catalog::default());
//! let registration = Registration {
//!     id: "proxy-1".to_owned(),
//!     zone: "a".to_owned(),
//!     subject: Subject::Proxy,
//!     sequence: 1,
//!     lifecycle: Lifecycle::Ready,
//! };
//! let now_ms = 1_000;
//! source.accept(now_ms, Origin(1), registration);
//! let delta = source.delta(sink.vector());
//! assert!(sink.merge(now_ms, delta).changed);
//! assert!(!source.has_changes_for(sink.vector()));
//! ```
//!
//! # Guarantees
//!
//! Merging is commutative and idempotent, and a registration that drains or has departed never becomes ready again. A
//! version vector never covers a change that was not received. An acknowledged drain or departure is known to a
//! majority of control processes and, unless it was acknowledged at its deadline, to every proxy that pulled from a
//! responsive one of them within [`peers::PEER_RESPONSIVE_MS`].
//!
//! # Bounds
//!
//! The catalog has at most [`MAX_ENTRIES`] registrations. One that is not ready is retained for
//! [`DEPARTED_RETENTION_MS`], so that a delayed message cannot make it ready again, and is then dropped. Leases are
//! dropped when they expire, proxies when they stop pulling. All times are milliseconds of one machine's monotonic
//! clock.

mod acknowledgement;
mod catalog;
mod catalog_replica;
pub mod digest;
mod leases;
pub mod peers;
mod proxies;

pub use acknowledgement::{Acknowledgement, AcknowledgementDecision};
pub use catalog::{Catalog, Coverage, Merged, DEPARTED_RETENTION_MS, MAX_ENTRIES};
pub use catalog_replica::{CatalogReplica, PeerOutcome, ReplicationStatus};
pub use leases::{ExpiredLease, LastHeartbeat, Leases};
