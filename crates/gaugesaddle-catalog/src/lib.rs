//! The catalog of backends and proxies: soft state under leases, never on a disk, decided without I/O.
//!
//! - [`Catalog`]: registrations with the change that brought each, merged from any source in any order. A proxy and a
//!   control process hold the same type.
//! - [`Leases`]: which registrations this control process has accepted, and which of them have run out.
//! - [`CatalogReplica`]: a control process's catalog, its leases and what its peers have.
//! - [`Acknowledgement`]: when a backend's call may be acknowledged.
//! - [`digest`]: range digests, for repair where two catalogs differ though neither lacks a change of the other.
//!
//! Merging is commutative, idempotent and never takes an announced end back; a vector never covers a change that was not
//! taken. The catalog is bounded by
//! [`MAX_ENTRIES`]; what has left stays known for [`DEPARTED_RETENTION_MS`] so that a late message cannot bring it back.

mod acknowledgement;
mod catalog;
mod catalog_replica;
pub mod digest;
mod leases;
pub mod peers;
mod proxies;

pub use acknowledgement::Acknowledgement;
pub use catalog::{Catalog, Merged, DEPARTED_RETENTION_MS, MAX_ENTRIES};
pub use catalog_replica::{CatalogReplica, ReplicationStatus};
pub use leases::{LastHeartbeat, Leases};
