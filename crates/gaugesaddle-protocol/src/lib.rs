//! Typed messages between the processes of the fleet.
//!
//! A connection carries frames: a length, a format version and one message in `musli`'s storage encoding. The
//! types are data only; what they mean is decided by the crates above. Every decoder is total: what cannot be read
//! is an [`frame::FrameError`] and changes nothing.

pub mod catalog;
pub mod consensus;
pub mod core;
pub mod frame;
pub mod load;
pub mod quota;

pub use catalog::*;
pub use consensus::*;
pub use core::*;
pub use load::*;
pub use quota::*;

pub use gaugesaddle_delta::{DeltaError, Digest, DocumentDelta};
