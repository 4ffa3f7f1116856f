//! Typed messages between the processes of the fleet.
//!
//! The types carry data only; the crates that use them implement the protocols. A connection carries [`frame`]s: a
//! length, a format version and one message in `musli`'s storage encoding. That encoding writes the positions of fields
//! and variants, not their names: a field or variant may be renamed but not moved, and new ones are added at the end
//! only. `tests/golden_frames.rs` checks this for every message.
//!
//! # Main types
//!
//! - [`ConnectionPreface`] is the first message on a connection to a control process; [`Request`]s with their
//!   [`Reply`], or [`PeerMessage`]s follow.
//! - [`ReplicaMessage`] and [`State`]: consensus on the configuration ([`consensus`]).
//! - [`Registration`], [`VersionVector`] and [`CatalogDelta`]: backends and proxies ([`catalog`]).
//! - [`QuotaRequest`], [`QuotaGrant`] and [`BackendLoad`]: token quotas of tenants, and load of backends.
//!
//! # Example
//!
//! ```rust
//! use gaugesaddle_protocol::frame::{decode, encode, parse_header, FrameError, HEADER_BYTES};
//! use gaugesaddle_protocol::Request;
//!
//! # fn main() -> Result<(), FrameError> {
//! let frame = encode(&Request::Status)?;
//! let (header, body) = frame.split_first_chunk::<HEADER_BYTES>().expect("a frame has a header");
//! assert_eq!(parse_header(*header)?.length, body.len());
//! assert_eq!(decode::<Request>(body)?, Request::Status);
//! # Ok(())
//! # }
//! ```
//!
//! # Guarantees and bounds
//!
//! Decoding never panics: any input yields a message or a [`frame::FrameError`]. A message is at most
//! [`frame::MAX_BYTES`] long; [`frame::parse_header`] checks this before memory is allocated for the message.

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
