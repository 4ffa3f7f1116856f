//! What a replica's disk holds: who it is and how it voted in one slot, the state in the other.

use gaugesaddle_protocol::{HardState, State};
use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use thiserror::Error;

/// Version of the format, the first byte of each record; another one's records cannot be read.
const FORMAT: u8 = 2;
/// Slot of the ballot.
const BALLOT_SLOT: usize = 0;
/// Slot of the state.
const STATE_SLOT: usize = 1;

/// A part of what the disk holds cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("what the disk holds cannot be read")]
pub struct Unreadable;

/// The records of a write, each with its slot.
pub fn records(hard_state: &HardState, state: Option<&State>) -> Vec<(usize, Vec<u8>)> {
    let mut records = Vec::with_capacity(2);
    push(&mut records, BALLOT_SLOT, hard_state);
    if let Some(state) = state {
        push(&mut records, STATE_SLOT, state);
    }
    records
}

/// Ballot and state of a disk's slots; `None` where the disk has none yet.
///
/// Where one part cannot be read both are of no use: a replica that kept its name and not its state could elect or
/// confirm what its own acknowledgements rule out.
pub fn read(slots: &[Option<Vec<u8>>; 2]) -> Result<(Option<HardState>, Option<State>), Unreadable> {
    let [hard_state, state] = slots;
    Ok((part(hard_state)?, part(state)?))
}

fn push<T: Encode<Binary>>(records: &mut Vec<(usize, Vec<u8>)>, slot: usize, value: &T) {
    // Memory is the only thing that encoding can fail for.
    if let Ok(encoded) = musli::storage::to_vec(value) {
        let mut bytes = Vec::with_capacity(1 + encoded.len());
        bytes.push(FORMAT);
        bytes.extend_from_slice(&encoded);
        records.push((slot, bytes));
    }
}

fn part<T>(bytes: &Option<Vec<u8>>) -> Result<Option<T>, Unreadable>
where
    T: for<'de> Decode<'de, Binary, Global>,
{
    match bytes {
        Some(bytes) => {
            let encoded = bytes.strip_prefix(&[FORMAT]).ok_or(Unreadable)?;
            musli::storage::from_slice(encoded).map(Some).map_err(|_| Unreadable)
        }
        None => Ok(None),
    }
}
