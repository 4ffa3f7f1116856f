//! Simulated disk with a write cache, below the shipped ring: a power loss drops or tears unsynced writes.

use gaugesaddle_log::{Store, SEGMENTS};
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// Bytes of a segment: space for about twenty states with the simulated documents.
const SEGMENT_BYTES: usize = 64 << 10;

/// A write that is in the cache and not yet synced.
#[derive(Clone, Debug)]
struct CachedWrite {
    segment: usize,
    offset: usize,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
struct DiskContents {
    /// Synced bytes of each segment.
    synced: Vec<Vec<u8>>,
    unsynced: Vec<CachedWrite>,
    is_full: bool,
    /// A power loss has begun: every sync fails until it is complete.
    is_losing_power: bool,
}

impl DiskContents {
    /// Copies the first `bytes` bytes of a write to its segment.
    fn apply(&mut self, write: &CachedWrite, bytes: usize) {
        let target = &mut self.synced[write.segment][write.offset..write.offset + bytes];
        target.copy_from_slice(&write.bytes[..bytes]);
    }
}

/// A machine's disk; clones share its contents.
#[derive(Clone, Debug)]
pub struct Disk(Rc<RefCell<DiskContents>>);

impl Default for Disk {
    fn default() -> Disk {
        Disk(Rc::new(RefCell::new(DiskContents {
            synced: vec![vec![0; SEGMENT_BYTES]; SEGMENTS],
            unsynced: Vec::new(),
            is_full: false,
            is_losing_power: false,
        })))
    }
}

impl Disk {
    /// Sets whether every write fails for lack of space.
    pub fn set_full(&self, is_full: bool) {
        self.0.borrow_mut().is_full = is_full;
    }

    /// Makes every sync fail until [`Disk::lose_power`].
    pub fn fail_syncs(&self) {
        self.0.borrow_mut().is_losing_power = true;
    }

    /// Completes a power loss: each unsynced write is applied, dropped or torn, at random.
    pub fn lose_power(&self, random: &mut Pcg64Mcg) {
        let mut contents = self.0.borrow_mut();
        contents.is_losing_power = false;
        for write in std::mem::take(&mut contents.unsynced) {
            match random.next_u64() % 3 {
                0 => {}
                1 => contents.apply(&write, write.bytes.len()),
                _ => {
                    let written = random.next_u64() as usize % (write.bytes.len() + 1);
                    contents.apply(&write, written);
                }
            }
        }
    }
}

impl Store for Disk {
    fn segment_bytes(&self) -> u64 {
        SEGMENT_BYTES as u64
    }

    fn read(&self, segment: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let contents = self.0.borrow();
        let rest = &contents.synced[segment][(offset as usize).min(SEGMENT_BYTES)..];
        let read = rest.len().min(buffer.len());
        buffer[..read].copy_from_slice(&rest[..read]);
        Ok(read)
    }

    fn write(&mut self, segment: usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut contents = self.0.borrow_mut();
        if contents.is_full {
            return Err(io::Error::other("write failed: the simulated disk is full"));
        }
        contents.unsynced.push(CachedWrite { segment, offset: offset as usize, bytes: bytes.to_vec() });
        Ok(())
    }

    fn sync(&mut self, _segment: usize) -> io::Result<()> {
        let mut contents = self.0.borrow_mut();
        if contents.is_losing_power {
            return Err(io::Error::other("sync failed: the simulated machine is losing power"));
        }
        for write in std::mem::take(&mut contents.unsynced) {
            contents.apply(&write, write.bytes.len());
        }
        Ok(())
    }
}
