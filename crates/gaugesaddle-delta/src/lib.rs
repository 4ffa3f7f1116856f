//! Differences between two versions of a document, so that a change of a large configuration travels as what changed.
//!
//! A [`Patch`] makes one version out of another: it names both by their [`Digest`]s, and is refused on any other base or
//! where the result is not the version named. Documents are JSON, so versions are compared in pieces that end at commas
//! and brackets. Any document may be patched; one without these only makes larger patches.
//!
//! ```
//! use gaugesaddle_delta::Patch;
//! let (old, new) = (br#"{"revision":1,"routes":[]}"#, br#"{"revision":2,"routes":[]}"#);
//! let patch = Patch::between(old, new);
//! assert_eq!(patch.apply(old).as_deref(), Ok(new.as_slice()));
//! assert!(patch.apply(b"another").is_err());
//! ```
//!
//! Bounds: a result is at most [`MOST_BYTES`] long; the work is linear in the versions' lengths but for the search for
//! the next equal piece, which is logarithmic in how often that piece occurs.

mod digest;
mod patch;

pub use digest::Digest;
pub use patch::{Patch, PatchError, MOST_BYTES};
