//! A ring of preallocated segment files that retains the newest records through any crash.
//!
//! [`Ring`] appends records to two slots; each record replaces the slot's previous one. A segment begins with a copy of
//! both slots, so that no older segment is needed and the oldest can be overwritten. A record's checksum covers the
//! generation of its segment, so that neither a torn write nor a stale record from an earlier use of the segment is
//! accepted as valid.
//!
//! ```text
//!  segment 0            segment 1            segment 2
//!  [A B | b | a | b]    [A B | a | a | ..    (oldest, next to be overwritten)
//!                                  ^ end
//! ```
//!
//! # Main types
//!
//! - [`Ring`] lays out records in segments and recovers them when it is opened. It owns its [`Store`].
//! - [`Store`] is the storage interface; [`FileStore`] implements it with files, and tests substitute their own
//!   implementation.
//! - [`LogError`] names the operation that failed.
//!
//! # Example
//!
//! ```rust
//! use gaugesaddle_log::{FileStore, LogError, Ring};
//!
//! # fn main() -> Result<(), LogError> {
//! let directory = std::env::temp_dir().join(format!("gaugesaddle-log-doc-{}", std::process::id()));
//! let mut ring = Ring::open(FileStore::open(&directory, 4096)?)?;
//! ring.append(vec![(0, b"vote".to_vec()), (1, b"state".to_vec())])?;
//! ring.append(vec![(0, b"later vote".to_vec())])?;
//!
//! let reopened = Ring::open(FileStore::open(&directory, 4096)?)?;
//! assert_eq!(reopened.slots(), &[Some(b"later vote".to_vec()), Some(b"state".to_vec())]);
//! # let _ = std::fs::remove_dir_all(&directory);
//! # Ok(())
//! # }
//! ```
//!
//! # Guarantees
//!
//! Once [`Ring::append`] has returned `Ok`, its records survive a power loss, as long as the [`Store`] honors
//! [`Store::sync`]. After an error its records may or may not be on the disk, and the ring must be opened again. Earlier
//! records are retained in either case. Opening never panics, whatever the segments contain.
//!
//! # Bounds
//!
//! The disk use is [`SEGMENTS`] times the segment size. One record of each slot is cached in memory. The two newest
//! records together must fit into one segment ([`LogError::TooLong`]).

mod error;
mod file;
mod record;
mod recovery;
mod ring;
mod store;

pub use error::{DiskOperation, LogError};
pub use file::FileStore;
pub use ring::{Ring, Slots};
pub use store::{Store, SEGMENTS};
