//! The ring: recovery and appending.

use crate::record::{encode, Header, HEADER_BYTES};
use crate::{LogError, Store, SEGMENTS};

/// Number of slots.
const SLOTS: usize = 2;
/// Bytes read at once while a segment is searched for its last record.
const READ_BYTES: usize = 64 << 10;

/// The newest record of each slot.
pub type Slots = [Option<Vec<u8>>; SLOTS];

/// A ring of segments, open for appending.
#[derive(Debug)]
pub struct Ring<S> {
    store: S,
    slots: Slots,
    generation: u64,
    sequence: u64,
    segment: usize,
    /// Where the next record goes; `None`: a new segment is begun first.
    end: Option<u64>,
}

/// What a segment holds.
#[derive(Default)]
struct Found {
    generation: u64,
    newest: [Option<(u64, Vec<u8>)>; SLOTS],
}

impl Found {
    fn sequence(&self) -> u64 {
        self.newest.iter().flatten().map(|(sequence, _)| *sequence).max().unwrap_or(0)
    }
}

impl<S: Store> Ring<S> {
    /// Reads what survived and begins to write behind it.
    pub fn open(store: S) -> Result<Ring<S>, LogError> {
        let mut found = Vec::with_capacity(SEGMENTS);
        for segment in 0..SEGMENTS {
            found.push(search(&store, segment)?);
        }
        let generation = found.iter().map(|f| f.generation).max().unwrap_or(0);
        let sequence = found.iter().map(Found::sequence).max().unwrap_or(0);
        // The segment with the newest record is kept: the next one is begun after it.
        let segment = (0..SEGMENTS).max_by_key(|s| found[*s].sequence()).unwrap_or(0);
        let mut slots = Slots::default();
        for (slot, kept) in slots.iter_mut().enumerate() {
            let newest = found.iter_mut().filter_map(|f| f.newest[slot].take()).max_by_key(|(s, _)| *s);
            *kept = newest.map(|(_, payload)| payload);
        }
        Ok(Ring { store, slots, generation, sequence, segment, end: None })
    }

    /// The newest record of each slot.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Writes records, each into its slot (0 or 1), and returns when they would survive a loss of power.
    pub fn append(&mut self, records: Vec<(usize, Vec<u8>)>) -> Result<(), LogError> {
        let bytes: u64 = records.iter().map(|(_, p)| (HEADER_BYTES + p.len()) as u64).sum();
        let most = self.store.segment_bytes();
        for (slot, payload) in &records {
            if let Some(kept) = self.slots.get_mut(*slot) {
                *kept = Some(payload.clone());
            }
        }
        match self.end {
            Some(end) if end + bytes <= most => self.write(end, records),
            _ => self.begin_segment(),
        }
    }

    /// Begins the next segment with a copy of all slots.
    fn begin_segment(&mut self) -> Result<(), LogError> {
        let records: Vec<(usize, Vec<u8>)> =
            self.slots.iter().enumerate().filter_map(|(slot, p)| Some((slot, p.clone()?))).collect();
        let bytes: u64 = records.iter().map(|(_, p)| (HEADER_BYTES + p.len()) as u64).sum();
        let most = self.store.segment_bytes();
        if bytes > most {
            return Err(LogError::TooLong { bytes, most });
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
        let refused = |action| move |source| LogError::Disk { action, segment, source };
        self.store.write(segment, offset, &bytes).map_err(refused("writing"))?;
        self.store.sync(segment).map_err(refused("syncing"))?;
        self.end = Some(offset + bytes.len() as u64);
        Ok(())
    }
}

/// The valid records of a segment: those from its start to the first that is none.
fn search<S: Store>(store: &S, segment: usize) -> Result<Found, LogError> {
    let mut found = Found::default();
    let mut reader = Reader { store, segment, offset: 0, held: Vec::new() };
    while let Some(bytes) = reader.peek(HEADER_BYTES)? {
        let Some(header) = Header::read(bytes) else { break };
        if found.generation != 0 && header.generation != found.generation {
            break;
        }
        let length = header.length as usize;
        if length as u64 > store.segment_bytes() {
            break;
        }
        let Some(bytes) = reader.peek(HEADER_BYTES + length)? else { break };
        let payload = &bytes[HEADER_BYTES..HEADER_BYTES + length];
        if !header.covers(payload) {
            break;
        }
        found.generation = header.generation;
        if let Some(newest) = found.newest.get_mut(header.slot as usize) {
            *newest = Some((header.sequence, payload.to_vec()));
        }
        reader.skip(HEADER_BYTES + length);
    }
    Ok(found)
}

/// Reads a segment from its start in large pieces.
struct Reader<'a, S> {
    store: &'a S,
    segment: usize,
    /// Where the bytes held begin.
    offset: u64,
    held: Vec<u8>,
}

impl<S: Store> Reader<'_, S> {
    /// At least so many bytes, without moving on; `None` where the segment has no more.
    fn peek(&mut self, wanted: usize) -> Result<Option<&[u8]>, LogError> {
        if self.held.len() < wanted {
            let have = self.held.len();
            let mut more = vec![0; (wanted - have).max(READ_BYTES)];
            let segment = self.segment;
            let read = self
                .store
                .read(segment, self.offset + have as u64, &mut more)
                .map_err(|source| LogError::Disk { action: "reading", segment, source })?;
            self.held.extend_from_slice(&more[..read]);
        }
        Ok((self.held.len() >= wanted).then_some(self.held.as_slice()))
    }

    fn skip(&mut self, bytes: usize) {
        self.held.drain(..bytes.min(self.held.len()));
        self.offset += bytes as u64;
    }
}
