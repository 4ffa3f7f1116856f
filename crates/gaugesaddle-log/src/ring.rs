//! The ring: opening and appending.

use crate::record::{encode, HEADER_BYTES, SLOTS};
use crate::recovery::{scan_segment, SegmentScan};
use crate::{DiskOperation, LogError, Store, SEGMENTS};

/// The newest record of each slot.
pub type Slots = [Option<Vec<u8>>; SLOTS];

/// A ring of segments, open for appending.
#[derive(Debug)]
pub struct Ring<S> {
    store: S,
    slots: Slots,
    generation: u64,
    sequence: u64,
    /// Index of the active segment.
    segment: usize,
    /// Offset of the next record in the active segment; `None` if the next append begins a new segment.
    end: Option<u64>,
}

impl<S: Store> Ring<S> {
    /// Recovers the newest record of each slot. The next append begins a new segment.
    ///
    /// # Errors
    ///
    /// [`LogError::Disk`] if a segment cannot be read. Invalid contents are not an error: the valid records of a
    /// segment end before them.
    pub fn open(store: S) -> Result<Ring<S>, LogError> {
        let mut found = Vec::with_capacity(SEGMENTS);
        for segment in 0..SEGMENTS {
            found.push(scan_segment(&store, segment)?);
        }
        let generation = found.iter().map(|f| f.generation).max().unwrap_or(0);
        let sequence = found.iter().map(SegmentScan::sequence).max().unwrap_or(0);
        // The segment with the newest record is the active one, so that the next append does not overwrite it.
        let segment = (0..SEGMENTS).max_by_key(|segment| found[*segment].sequence()).unwrap_or(0);
        let mut slots = Slots::default();
        for (slot, recovered) in slots.iter_mut().enumerate() {
            let candidates = found.iter_mut().filter_map(|f| f.newest[slot].take());
            let newest = candidates.max_by_key(|record| record.sequence);
            *recovered = newest.map(|record| record.payload);
        }
        Ok(Ring { store, slots, generation, sequence, segment, end: None })
    }

    /// The newest record of each slot; `None` for a slot without one.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Writes records, each with its slot (0 or 1), and returns once they survive a power loss.
    ///
    /// # Errors
    ///
    /// [`LogError::Disk`] if writing or syncing fails, [`LogError::TooLong`] if the newest records of both slots do not
    /// fit into a segment. The ring must be opened again after either.
    pub fn append(&mut self, records: Vec<(usize, Vec<u8>)>) -> Result<(), LogError> {
        for (slot, payload) in &records {
            if let Some(newest) = self.slots.get_mut(*slot) {
                *newest = Some(payload.clone());
            }
        }
        match self.end {
            Some(end) if end + encoded_bytes(&records) <= self.store.segment_bytes() => {
                self.write(end, records)
            }
            _ => self.begin_segment(),
        }
    }

    /// Begins the next segment with a copy of all slots.
    fn begin_segment(&mut self) -> Result<(), LogError> {
        let slots = self.slots.iter().enumerate();
        let records: Vec<(usize, Vec<u8>)> =
            slots.filter_map(|(slot, payload)| Some((slot, payload.clone()?))).collect();
        let bytes = encoded_bytes(&records);
        let segment_bytes = self.store.segment_bytes();
        if bytes > segment_bytes {
            return Err(LogError::TooLong { bytes, segment_bytes });
        }
        self.segment = (self.segment + 1) % SEGMENTS;
        self.generation += 1;
        self.write(0, records)
    }

    fn write(&mut self, offset: u64, records: Vec<(usize, Vec<u8>)>) -> Result<(), LogError> {
        let mut bytes = Vec::new();
        for (slot, payload) in records {
            self.sequence += 1;
            bytes.extend(encode(self.generation, self.sequence, slot as u8, &payload));
        }
        let segment = self.segment;
        let error = |operation| move |source| LogError::Disk { operation, segment, source };
        self.store.write(segment, offset, &bytes).map_err(error(DiskOperation::Write))?;
        self.store.sync(segment).map_err(error(DiskOperation::Sync))?;
        self.end = Some(offset + bytes.len() as u64);
        Ok(())
    }
}

/// Size of the encoded records in bytes, headers included.
fn encoded_bytes(records: &[(usize, Vec<u8>)]) -> u64 {
    records.iter().map(|(_, payload)| (HEADER_BYTES + payload.len()) as u64).sum()
}
