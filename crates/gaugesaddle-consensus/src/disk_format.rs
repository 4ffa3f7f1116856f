//! The records on a replica's disk: the hard state in one slot, the state in the other.

use gaugesaddle_protocol::{HardState, State};
use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use std::fmt;
use thiserror::Error;

/// Version of the format, the first byte of each record. Records of another version cannot be decoded.
const FORMAT_VERSION: u8 = 2;
/// Slot of the hard state.
const HARD_STATE_SLOT: usize = 0;
/// Slot of the state.
const STATE_SLOT: usize = 1;

/// One of the two records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Record {
    /// Identity, term and vote.
    HardState,
    /// The replicated state.
    State,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Record::HardState => "hard state",
            Record::State => "state",
        })
    }
}

/// A record cannot be decoded.
#[derive(Debug, Error)]
pub enum DiskFormatError {
    /// It was written by a version of the program with another format, or is empty.
    #[error("the {record} on the disk cannot be decoded: its format version is not {FORMAT_VERSION}")]
    Version {
        /// The record.
        record: Record,
    },
    /// Its bytes are not an encoding of such a record.
    #[error("the {record} on the disk cannot be decoded")]
    Malformed {
        /// The record.
        record: Record,
        /// What the decoder found.
        source: musli::storage::Error,
    },
}

/// The records of a write, each with its slot.
pub fn encode_records(hard_state: &HardState, state: Option<&State>) -> Vec<(usize, Vec<u8>)> {
    let mut records = Vec::with_capacity(2);
    push(&mut records, HARD_STATE_SLOT, hard_state);
    if let Some(state) = state {
        push(&mut records, STATE_SLOT, state);
    }
    records
}

/// Hard state and state of a disk's slots; `None` for an empty slot.
///
/// If one record cannot be decoded, neither is returned: a replica that retained its identity without its state could
/// elect a leader, or confirm a state, against its own acknowledgements.
///
/// # Errors
/// A record cannot be decoded.
pub fn decode_slots(
    slots: &[Option<Vec<u8>>; 2],
) -> Result<(Option<HardState>, Option<State>), DiskFormatError> {
    let [hard_state, state] = slots;
    let hard_state = decode(Record::HardState, hard_state.as_deref())?;
    let state = decode(Record::State, state.as_deref())?;
    Ok((hard_state, state))
}

fn push<T: Encode<Binary>>(records: &mut Vec<(usize, Vec<u8>)>, slot: usize, value: &T) {
    // Encoding into a vector can only fail for lack of memory.
    if let Ok(encoded) = musli::storage::to_vec(value) {
        let mut bytes = Vec::with_capacity(1 + encoded.len());
        bytes.push(FORMAT_VERSION);
        bytes.extend_from_slice(&encoded);
        records.push((slot, bytes));
    }
}

fn decode<T>(record: Record, bytes: Option<&[u8]>) -> Result<Option<T>, DiskFormatError>
where
    T: for<'de> Decode<'de, Binary, Global>,
{
    let Some(bytes) = bytes else { return Ok(None) };
    let encoded = bytes.strip_prefix(&[FORMAT_VERSION]).ok_or(DiskFormatError::Version { record })?;
    let value = musli::storage::from_slice(encoded)
        .map_err(|source| DiskFormatError::Malformed { record, source })?;
    Ok(Some(value))
}
