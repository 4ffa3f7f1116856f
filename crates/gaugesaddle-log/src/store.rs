//! The storage interface of the ring.

use std::io;

/// Number of segments: the active one, its predecessor, and the next one to be overwritten.
pub const SEGMENTS: usize = 3;

/// [`SEGMENTS`] segments of equal, fixed size, numbered from 0.
pub trait Store {
    /// Size of each segment in bytes.
    fn segment_bytes(&self) -> u64;

    /// Reads up to the buffer's length from a byte offset and returns how many bytes were read: fewer only at the
    /// segment's end.
    ///
    /// # Errors
    /// The segment cannot be read.
    fn read(&self, segment: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes all bytes at a byte offset.
    ///
    /// # Errors
    /// The segment cannot be written.
    fn write(&mut self, segment: usize, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Returns once everything that was written to the segment survives a power loss.
    ///
    /// # Errors
    /// The segment cannot be synced.
    fn sync(&mut self, segment: usize) -> io::Result<()>;
}
