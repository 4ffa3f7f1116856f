//! Recovery of the valid records of a segment.

use crate::record::{Header, HEADER_BYTES, SLOTS};
use crate::{DiskOperation, LogError, Store};

/// Minimum size of a read while a segment is scanned, in bytes.
const READ_BYTES: usize = 64 << 10;

/// The newest record of a slot in one segment.
pub struct RecoveredRecord {
    pub sequence: u64,
    pub payload: Vec<u8>,
}

/// The valid records of a segment.
#[derive(Default)]
pub struct SegmentScan {
    /// 0 if the segment has no valid record.
    pub generation: u64,
    pub newest: [Option<RecoveredRecord>; SLOTS],
}

impl SegmentScan {
    /// Sequence number of the newest record; 0 if there is none.
    pub fn sequence(&self) -> u64 {
        self.newest.iter().flatten().map(|record| record.sequence).max().unwrap_or(0)
    }
}

/// Reads the records from a segment's start to the first invalid one.
pub fn scan_segment<S: Store>(store: &S, segment: usize) -> Result<SegmentScan, LogError> {
    let mut found = SegmentScan::default();
    let mut reader = Reader { store, segment, offset: 0, buffer: Vec::new() };
    while let Some(bytes) = reader.peek(HEADER_BYTES)? {
        let Some(header) = Header::read(bytes) else { break };
        // A record of another generation is stale: it was written during an earlier use of the segment.
        if found.generation != 0 && header.generation != found.generation {
            break;
        }
        let length = header.length as usize;
        if length as u64 > store.segment_bytes() {
            break;
        }
        let Some(bytes) = reader.peek(HEADER_BYTES + length)? else { break };
        let payload = &bytes[HEADER_BYTES..HEADER_BYTES + length];
        if !header.checksum_matches(payload) {
            break;
        }
        found.generation = header.generation;
        if let Some(newest) = found.newest.get_mut(header.slot as usize) {
            *newest = Some(RecoveredRecord { sequence: header.sequence, payload: payload.to_vec() });
        }
        reader.skip(HEADER_BYTES + length);
    }
    Ok(found)
}

/// Reads a segment from its start in large blocks.
struct Reader<'a, S> {
    store: &'a S,
    segment: usize,
    /// Offset of the buffer's first byte in the segment.
    offset: u64,
    buffer: Vec<u8>,
}

impl<S: Store> Reader<'_, S> {
    /// Returns the buffered bytes, at least `min_bytes`, without consuming them; `None` if fewer remain in the segment.
    fn peek(&mut self, min_bytes: usize) -> Result<Option<&[u8]>, LogError> {
        let buffered = self.buffer.len();
        if buffered < min_bytes {
            let mut block = vec![0; (min_bytes - buffered).max(READ_BYTES)];
            let segment = self.segment;
            let read = self
                .store
                .read(segment, self.offset + buffered as u64, &mut block)
                .map_err(|source| LogError::Disk { operation: DiskOperation::Read, segment, source })?;
            self.buffer.extend_from_slice(&block[..read]);
        }
        Ok((self.buffer.len() >= min_bytes).then_some(self.buffer.as_slice()))
    }

    fn skip(&mut self, bytes: usize) {
        self.buffer.drain(..bytes.min(self.buffer.len()));
        self.offset += bytes as u64;
    }
}
