//! The catalog of backends and proxies: soft state under leases, never on a disk, decided without I/O.
//!
//! - [`Catalog`]: registrations with the change that brought each, merged from any source in any order. A proxy and a
//!   control process hold the same type.
//! - [`Leases`]: which registrations this control process has accepted, and which of them have run out.
//! - [`Registrar`]: a control process's catalog, its leases and what its peers have.
//! - [`Acknowledgement`]: when a backend's call may be acknowledged.
//! - [`digest`]: range digests, for repair where two catalogs differ though neither lacks a change of the other.
//!
//! Merging is commutative, idempotent and never takes an announced end back; a vector never covers a change that was not
//! taken. The catalog is bounded by
//! [`MOST_ENTRIES`]; what has left stays known for [`KEEP_LEFT`] so that a late message cannot bring it back.

mod acknowledgement;
mod catalog;
pub mod digest;
mod leases;
pub mod peers;
mod proxies;
mod registrar;

pub use acknowledgement::Acknowledgement;
pub use catalog::{Catalog, Merged, KEEP_LEFT, MOST_ENTRIES};
pub use leases::{Heard, Leases};
pub use registrar::{Registrar, Spread};
