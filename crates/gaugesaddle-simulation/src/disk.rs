//! A disk with a write cache, under the shipped ring.

use gaugesaddle_log::{Store, SEGMENTS};
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// Bytes of a segment: some twenty states of the documents played here.
const SEGMENT_BYTES: usize = 64 << 10;

#[derive(Clone, Debug)]
struct Write {
    segment: usize,
    offset: usize,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
struct ProposedDocument {
    synced: Vec<Vec<u8>>,
    unsynced: Vec<Write>,
    full: bool,
    /// A sync does not return: power is lost meanwhile.
    dying: bool,
}

impl ProposedDocument {
    fn apply(&mut self, write: &Write, bytes: usize) {
        self.synced[write.segment][write.offset..write.offset + bytes].copy_from_slice(&write.bytes[..bytes]);
    }
}

/// A machine's disk; clones share it.
#[derive(Clone, Debug)]
pub struct Disk(Rc<RefCell<ProposedDocument>>);

impl Default for Disk {
    fn default() -> Disk {
        Disk(Rc::new(RefCell::new(ProposedDocument {
            synced: vec![vec![0; SEGMENT_BYTES]; SEGMENTS],
            unsynced: Vec::new(),
            full: false,
            dying: false,
        })))
    }
}

impl Disk {
    /// Whether it refuses every write.
    pub fn set_full(&self, full: bool) {
        self.0.borrow_mut().full = full;
    }

    /// From now on nothing that is written is synced any more.
    pub fn begin_to_die(&self) {
        self.0.borrow_mut().dying = true;
    }

    /// Power is lost: each write that was not synced is there, missing or torn.
    pub fn lose_power(&self, random: &mut Pcg64Mcg) {
        let mut content = self.0.borrow_mut();
        content.dying = false;
        for write in std::mem::take(&mut content.unsynced) {
            match random.next_u64() % 3 {
                0 => {}
                1 => content.apply(&write, write.bytes.len()),
                _ => {
                    let torn = random.next_u64() as usize % (write.bytes.len() + 1);
                    content.apply(&write, torn);
                }
            }
        }
    }

    /// What it holds now, apart from the disk.
    pub fn image(&self) -> Disk {
        Disk(Rc::new(RefCell::new(self.0.borrow().clone())))
    }
}

impl Store for Disk {
    fn segment_bytes(&self) -> u64 {
        SEGMENT_BYTES as u64
    }

    fn read(&self, segment: usize, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let content = self.0.borrow();
        let rest = &content.synced[segment][(offset as usize).min(SEGMENT_BYTES)..];
        let read = rest.len().min(buffer.len());
        buffer[..read].copy_from_slice(&rest[..read]);
        Ok(read)
    }

    fn write(&mut self, segment: usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut content = self.0.borrow_mut();
        if content.full {
            return Err(io::Error::other("no space"));
        }
        content.unsynced.push(Write { segment, offset: offset as usize, bytes: bytes.to_vec() });
        Ok(())
    }

    fn sync(&mut self, _segment: usize) -> io::Result<()> {
        let mut content = self.0.borrow_mut();
        if content.dying {
            return Err(io::Error::other("no power"));
        }
        for write in std::mem::take(&mut content.unsynced) {
            content.apply(&write, write.bytes.len());
        }
        Ok(())
    }
}
