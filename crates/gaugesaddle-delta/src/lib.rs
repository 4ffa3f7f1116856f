//! Differences between two versions of a document, so that a change of a large configuration travels as what changed.
//!
//! A [`DocumentDelta`] makes one version out of another: it names both by their [`Digest`]s, and is refused on any other base or
//! where the result is not the version named. Documents are JSON, so versions are compared in pieces that end at commas
//! and brackets. Any document may be patched; one without these only makes larger patches.
//!
//! ```
//! use gaugesaddle_delta::DocumentDelta;
//! let (old, new) = (br#"{"revision":1,"routes":[]}"#, br#"{"revision":2,"routes":[]}"#);
//! let delta = DocumentDelta::between(old, new);
//! assert_eq!(delta.apply(old).as_deref(), Ok(new.as_slice()));
//! assert!(delta.apply(b"another").is_err());
//! ```
//!
//! Bounds: a result is at most [`MAX_BYTES`] long; the work is linear in the versions' lengths but for the search for
//! the next equal piece, which is logarithmic in how often that piece occurs.

mod delta;
mod digest;

pub use delta::{DeltaError, DocumentDelta, MAX_BYTES};
pub use digest::Digest;
