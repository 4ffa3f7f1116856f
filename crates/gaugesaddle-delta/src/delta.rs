//! Creating and applying deltas.

use crate::instruction::Instruction;
use crate::matcher::Matcher;
use crate::Digest;
use musli::{Decode, Encode};
use thiserror::Error;

/// Maximum length of a result, in bytes: equal to that of a message between processes.
pub const MAX_BYTES: usize = 12 << 20;

/// Approximate size of a copy instruction on the wire, in bytes.
const COPY_WIRE_BYTES: usize = 10;
/// Approximate size of an insert instruction on the wire without the inserted bytes, in bytes.
const INSERT_OVERHEAD_BYTES: usize = 4;
/// Approximate size of a delta on the wire without its instructions, in bytes: two digests and lengths.
const DELTA_OVERHEAD_BYTES: usize = 64;

/// Instructions that turn one version of a document into another. The order of fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentDelta {
    base: Digest,
    result: Digest,
    instructions: Vec<Instruction>,
}

/// An error in applying a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// The document is not the delta's base, or there is no document.
    #[error("cannot apply the delta: the document is not its base")]
    BaseMismatch,
    /// An instruction reaches beyond the base, or the result is longer than [`MAX_BYTES`].
    #[error(
        "cannot apply the delta: an instruction exceeds the base, or the result exceeds {MAX_BYTES} bytes"
    )]
    OutOfBounds,
    /// The result is not the version that the delta names.
    #[error("cannot apply the delta: the result is not the version that the delta names")]
    ResultMismatch,
}

impl DocumentDelta {
    /// The delta that turns `base` into `new`.
    pub fn between(base: &[u8], new: &[u8]) -> DocumentDelta {
        let instructions = Matcher::new(base).instructions(new);
        DocumentDelta { base: Digest::of(base), result: Digest::of(new), instructions }
    }

    /// Digest of the version to which it applies.
    pub fn base(&self) -> Digest {
        self.base
    }

    /// Digest of the version that it yields.
    pub fn result(&self) -> Digest {
        self.result
    }

    /// Approximate size on the wire, in bytes.
    pub fn size(&self) -> usize {
        let size = |instruction: &Instruction| match instruction {
            Instruction::Copy { .. } => COPY_WIRE_BYTES,
            Instruction::Insert(bytes) => INSERT_OVERHEAD_BYTES + bytes.len(),
        };
        DELTA_OVERHEAD_BYTES + self.instructions.iter().map(size).sum::<usize>()
    }

    /// Returns the new version.
    ///
    /// # Errors
    ///
    /// Any [`DeltaError`], where `base` is another document or the delta is corrupt.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, DeltaError> {
        if Digest::of(base) != self.base {
            return Err(DeltaError::BaseMismatch);
        }
        let mut result = Vec::new();
        for instruction in &self.instructions {
            let bytes = match instruction {
                Instruction::Copy { from, length } => {
                    let (from, length) = (*from as usize, *length as usize);
                    base.get(from..from.saturating_add(length)).ok_or(DeltaError::OutOfBounds)?
                }
                Instruction::Insert(bytes) => bytes,
            };
            if result.len() + bytes.len() > MAX_BYTES {
                return Err(DeltaError::OutOfBounds);
            }
            result.extend_from_slice(bytes);
        }
        if Digest::of(&result) != self.result {
            return Err(DeltaError::ResultMismatch);
        }
        Ok(result)
    }
}
