//! Errors of the ring.

use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An operation on a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskOperation {
    /// Searching for records at the start.
    Read,
    /// Appending records.
    Write,
    /// Waiting until appended records are durable.
    Sync,
}

impl fmt::Display for DiskOperation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            DiskOperation::Read => "reading",
            DiskOperation::Write => "writing",
            DiskOperation::Sync => "syncing",
        })
    }
}

/// Why the ring cannot continue. It must be opened again.
#[derive(Debug, Error)]
pub enum LogError {
    /// A segment's file cannot be opened or preallocated.
    #[error("opening {}: {source}", path.display())]
    Open {
        /// The file, or the directory that cannot be created.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// An operation on a segment failed.
    #[error("{operation} segment {segment}: {source}")]
    Disk {
        /// The operation.
        operation: DiskOperation,
        /// Number of the segment.
        segment: usize,
        /// The operating system's error.
        source: io::Error,
    },
    /// The newest records do not fit into a segment.
    #[error("records of {bytes} bytes do not fit into a segment of {segment_bytes} bytes")]
    TooLong {
        /// Their total size with headers.
        bytes: u64,
        /// The size of a segment.
        segment_bytes: u64,
    },
}
