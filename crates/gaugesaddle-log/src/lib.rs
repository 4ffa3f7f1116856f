//! A ring of preallocated files that keeps the newest records through any crash.
//!
//! [`Ring`] appends records of two slots, each record replacing the slot's last one. A segment begins with a copy of
//! both, so that the one before it may be overwritten later and no segment is ever needed for what another holds.
//! Records carry a checksum over their place, so that neither a torn write nor what a segment held before it was
//! used again reads as a record.
//!
//! ```text
//!  segment 0            segment 1            segment 2
//!  [A B | b | a | b]    [A B | a | a | ..    (oldest, next to be overwritten)
//!                                  ^ end
//! ```
//!
//! What [`Ring::append`] returned for is on the disk. After an error nothing is known, and the ring is opened anew.

mod file;
mod record;
mod ring;

pub use file::FileStore;
pub use ring::{Ring, Slots};

use std::io;
use thiserror::Error;

/// Number of segments: the one in use, the one before it, and the one that is overwritten next.
pub const SEGMENTS: usize = 3;

/// Files of equal, fixed length; what the ring needs of a disk.
pub trait Store {
    /// Bytes of each segment.
    fn segment_bytes(&self) -> u64;
    /// Reads up to the buffer's length; fewer only at the segment's end.
    fn read(&self, segment: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes all bytes.
    fn write(&mut self, segment: usize, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Returns when all that was written to the segment would survive a loss of power.
    fn sync(&mut self, segment: usize) -> io::Result<()>;
}

/// Why the ring cannot go on.
#[derive(Debug, Error)]
pub enum LogError {
    /// The disk refused.
    #[error("{action} segment {segment}: {source}")]
    Disk {
        /// What was tried.
        action: &'static str,
        /// Which file.
        segment: usize,
        /// What the disk said.
        source: io::Error,
    },
    /// The records do not fit into a segment.
    #[error("records of {bytes} bytes, a segment holds {most}")]
    TooLong {
        /// Their length together.
        bytes: u64,
        /// The segment's length.
        most: u64,
    },
}
