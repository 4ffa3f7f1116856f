//! The layout of a record.
//!
//! ```text
//! magic 4 | generation 8 | sequence 8 | slot 1 | length 4 | checksum 4 | payload
//! ```
//!
//! Field lengths are in bytes, integers are little endian. The checksum (CRC-32) covers all other fields and the
//! payload.

/// Length of the header, in bytes.
pub const HEADER_BYTES: usize = 29;
/// Number of slots.
pub const SLOTS: usize = 2;
/// First bytes of each record.
const MAGIC: [u8; 4] = *b"GSR1";

/// A record's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Incremented with each new segment; all records of a segment share it.
    pub generation: u64,
    /// Incremented with each record.
    pub sequence: u64,
    pub slot: u8,
    /// Length of the payload in bytes.
    pub length: u32,
    checksum: u32,
}

impl Header {
    /// Decodes a header; `None` if the bytes are too few or do not begin with the magic.
    pub fn read(bytes: &[u8]) -> Option<Header> {
        let (magic, rest) = bytes.split_first_chunk::<4>()?;
        let (generation, rest) = rest.split_first_chunk::<8>()?;
        let (sequence, rest) = rest.split_first_chunk::<8>()?;
        let (slot, rest) = rest.split_first_chunk::<1>()?;
        let (length, rest) = rest.split_first_chunk::<4>()?;
        let (checksum, _) = rest.split_first_chunk::<4>()?;
        if *magic != MAGIC {
            return None;
        }
        Some(Header {
            generation: u64::from_le_bytes(*generation),
            sequence: u64::from_le_bytes(*sequence),
            slot: slot[0],
            length: u32::from_le_bytes(*length),
            checksum: u32::from_le_bytes(*checksum),
        })
    }

    /// Whether the stored checksum matches this header and `payload`.
    pub fn checksum_matches(&self, payload: &[u8]) -> bool {
        self.checksum == checksum(&self.fields(), payload)
    }

    fn fields(&self) -> Vec<u8> {
        let mut fields = Vec::with_capacity(HEADER_BYTES);
        fields.extend_from_slice(&MAGIC);
        fields.extend_from_slice(&self.generation.to_le_bytes());
        fields.extend_from_slice(&self.sequence.to_le_bytes());
        fields.push(self.slot);
        fields.extend_from_slice(&self.length.to_le_bytes());
        fields
    }
}

/// Encodes a record: header and payload.
pub fn encode(generation: u64, sequence: u64, slot: u8, payload: &[u8]) -> Vec<u8> {
    let header = Header { generation, sequence, slot, length: payload.len() as u32, checksum: 0 };
    let mut bytes = header.fields();
    bytes.extend_from_slice(&checksum(&header.fields(), payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

fn checksum(fields: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(fields);
    hasher.update(payload);
    hasher.finalize()
}
