//! Segments stored as files in a directory.

use crate::{LogError, Store, SEGMENTS};
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The segments in a directory: `segment-0`, `segment-1` and so on.
#[derive(Debug)]
pub struct FileStore {
    files: Vec<File>,
    segment_bytes: u64,
}

impl FileStore {
    /// Opens the segments of a directory. Missing ones are created, and short ones are extended to `segment_bytes`.
    ///
    /// # Errors
    ///
    /// [`LogError::Open`] with the path that could not be opened, created or extended.
    pub fn open(directory: &Path, segment_bytes: u64) -> Result<FileStore, LogError> {
        std::fs::create_dir_all(directory)
            .map_err(|source| LogError::Open { path: directory.to_owned(), source })?;
        let mut files = Vec::with_capacity(SEGMENTS);
        for segment in 0..SEGMENTS {
            let path = directory.join(format!("segment-{segment}"));
            let file =
                open_segment(&path, segment_bytes).map_err(|source| LogError::Open { path, source })?;
            files.push(file);
        }
        Ok(FileStore { files, segment_bytes })
    }

    fn file(&self, segment: usize) -> io::Result<&File> {
        self.files
            .get(segment)
            .ok_or_else(|| io::Error::new(ErrorKind::InvalidInput, "segment number out of range"))
    }
}

fn open_segment(path: &Path, segment_bytes: u64) -> io::Result<File> {
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
    if file.metadata()?.len() < segment_bytes {
        file.set_len(segment_bytes)?;
        file.sync_all()?;
    }
    Ok(file)
}

impl Store for FileStore {
    fn segment_bytes(&self) -> u64 {
        self.segment_bytes
    }

    fn read(&self, segment: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let file = self.file(segment)?;
        let mut filled = 0;
        while filled < buffer.len() {
            match file.read_at(&mut buffer[filled..], offset + filled as u64) {
                Ok(0) => break,
                Ok(n) => filled += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(filled)
    }

    fn write(&mut self, segment: usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(segment)?.write_all_at(bytes, offset)
    }

    fn sync(&mut self, segment: usize) -> io::Result<()> {
        self.file(segment)?.sync_data()
    }
}
