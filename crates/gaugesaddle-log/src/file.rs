//! Segments as files of a folder.

use crate::{Store, SEGMENTS};
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Segments in a folder.
#[derive(Debug)]
pub struct FileStore {
    files: Vec<File>,
    bytes: u64,
}

impl FileStore {
    /// Opens the segments, and makes and preallocates those that are missing.
    pub fn open(folder: &Path, segment_bytes: u64) -> io::Result<FileStore> {
        std::fs::create_dir_all(folder)?;
        let mut files = Vec::with_capacity(SEGMENTS);
        for number in 0..SEGMENTS {
            let path = folder.join(format!("segment-{number}"));
            let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
            if file.metadata()?.len() < segment_bytes {
                file.set_len(segment_bytes)?;
                file.sync_all()?;
            }
            files.push(file);
        }
        Ok(FileStore { files, bytes: segment_bytes })
    }

    fn file(&self, segment: usize) -> io::Result<&File> {
        self.files.get(segment).ok_or_else(|| io::Error::new(ErrorKind::InvalidInput, "no such segment"))
    }
}

impl Store for FileStore {
    fn segment_bytes(&self) -> u64 {
        self.bytes
    }

    fn read(&self, segment: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let file = self.file(segment)?;
        let mut done = 0;
        while done < buffer.len() {
            match file.read_at(&mut buffer[done..], offset + done as u64) {
                Ok(0) => break,
                Ok(n) => done += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(done)
    }

    fn write(&mut self, segment: usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(segment)?.write_all_at(bytes, offset)
    }

    fn sync(&mut self, segment: usize) -> io::Result<()> {
        self.file(segment)?.sync_data()
    }
}
