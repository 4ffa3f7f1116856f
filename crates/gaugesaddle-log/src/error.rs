//! Errors of the ring.

use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An operation on a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskOperation {
    /// Reading a segment during recovery.
    Read,
    /// Appending records.
    Write,
    /// Syncing appended records to stable storage.
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

/// An error after which the ring must be opened again.
#[derive(Debug, Error)]
pub enum LogError {
    /// The directory cannot be created, or a segment file cannot be opened or preallocated.
    #[error("error opening {}: {source}", path.display())]
    Open {
        /// Path of the segment file or of the directory.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// An operation on a segment failed.
    #[error("error {operation} segment {segment}: {source}")]
    Disk {
        /// The operation.
        operation: DiskOperation,
        /// Number of the segment.
        segment: usize,
        /// The operating system's error.
        source: io::Error,
    },
    /// The newest records of both slots together exceed the size of a segment.
    #[error("records of {bytes} bytes do not fit into a segment of {segment_bytes} bytes")]
    TooLong {
        /// Total size of the records with their headers.
        bytes: u64,
        /// The size of a segment.
        segment_bytes: u64,
    },
}
