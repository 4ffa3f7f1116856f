//! Deltas between two versions of a document, so that only the difference is sent when a large configuration changes.
//!
//! # Main types
//!
//! - [`DocumentDelta`] turns one version into another. It names both by their [`Digest`]s, and is rejected on any other
//!   base or if the result is not the version that it names ([`DeltaError`]).
//! - [`Digest`] identifies a version by its bytes.
//!
//! Like VCDIFF (RFC 3284), a delta is a list of instructions that copy from the base or insert new bytes. Documents are
//! JSON, so versions are compared in chunks that end at commas and brackets. Any document is accepted; a document
//! without these characters only yields larger deltas.
//!
//! # Example
//!
//! ```rust
//! use gaugesaddle_delta::{DeltaError, DocumentDelta};
//!
//! let (old, new) = (br#"{"revision":1,"routes":[]}"#, br#"{"revision":2,"routes":[]}"#);
//! let delta = DocumentDelta::between(old, new);
//! assert_eq!(delta.apply(old).as_deref(), Ok(new.as_slice()));
//! assert_eq!(delta.apply(b"another"), Err(DeltaError::BaseMismatch));
//! ```
//!
//! # Guarantees
//!
//! [`DocumentDelta::apply`] returns the version that the delta names or an error. It never panics, whatever a decoded
//! delta contains.
//!
//! # Bounds
//!
//! A result is at most [`MAX_BYTES`] long. The work is linear in the lengths of the versions, except for the search for
//! the next equal chunk, which is logarithmic in how often that chunk occurs.

mod delta;
mod digest;
mod instruction;
mod matcher;

pub use delta::{DeltaError, DocumentDelta, MAX_BYTES};
pub use digest::Digest;
