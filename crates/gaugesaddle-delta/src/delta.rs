//! Making and applying patches.

use crate::Digest;
use musli::{Decode, Encode};
use std::collections::HashMap;
use thiserror::Error;

/// A patched document is at most so long: the longest message between processes.
pub const MAX_BYTES: usize = 12 << 20;

/// One step of a patch.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
enum Step {
    /// Takes bytes of the base.
    Copy {
        /// Where they begin.
        from: u32,
        /// How many they are.
        length: u32,
    },
    /// Brings bytes that the base does not have there.
    Insert(#[musli(bytes)] Vec<u8>),
}

/// What makes one version of a document out of another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DocumentDelta {
    base: Digest,
    result: Digest,
    steps: Vec<Step>,
}

/// Why a patch makes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DeltaError {
    /// It is for another version.
    #[error("a patch for another version of the document")]
    Base,
    /// A step reaches beyond the base, or the result is longer than [`MAX_BYTES`].
    #[error("a patch that reaches beyond its document")]
    Bounds,
    /// The result is not the version that the patch names.
    #[error("a patch that does not make the version it names")]
    Result,
}

impl DocumentDelta {
    /// What makes `new` out of `base`.
    pub fn between(base: &[u8], new: &[u8]) -> DocumentDelta {
        let steps = Matcher::new(base).steps(new);
        DocumentDelta { base: Digest::of(base), result: Digest::of(new), steps }
    }

    /// The version it is for.
    pub fn base(&self) -> Digest {
        self.base
    }

    /// The version it makes.
    pub fn result(&self) -> Digest {
        self.result
    }

    /// About how many bytes it takes on the wire.
    pub fn size(&self) -> usize {
        let size = |step: &Step| match step {
            Step::Copy { .. } => 10,
            Step::Insert(bytes) => 4 + bytes.len(),
        };
        64 + self.steps.iter().map(size).sum::<usize>()
    }

    /// Makes the new version.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, DeltaError> {
        if Digest::of(base) != self.base {
            return Err(DeltaError::Base);
        }
        let mut made = Vec::new();
        for step in &self.steps {
            let bytes = match step {
                Step::Copy { from, length } => {
                    let (from, length) = (*from as usize, *length as usize);
                    base.get(from..from.saturating_add(length)).ok_or(DeltaError::Bounds)?
                }
                Step::Insert(bytes) => bytes,
            };
            if made.len() + bytes.len() > MAX_BYTES {
                return Err(DeltaError::Bounds);
            }
            made.extend_from_slice(bytes);
        }
        if Digest::of(&made) != self.result {
            return Err(DeltaError::Result);
        }
        Ok(made)
    }
}

/// Splits a document into pieces that end at commas and brackets.
fn pieces(document: &[u8]) -> impl Iterator<Item = &[u8]> {
    document.split_inclusive(|byte| matches!(byte, b',' | b'{' | b'}' | b'[' | b']'))
}

/// The pieces of a base.
struct Matcher<'a> {
    pieces: Vec<&'a [u8]>,
    /// Where each piece begins, and the end.
    offsets: Vec<usize>,
    /// Numbers of the pieces with these bytes, rising.
    places: HashMap<&'a [u8], Vec<usize>>,
}

impl<'a> Matcher<'a> {
    fn new(base: &'a [u8]) -> Matcher<'a> {
        let pieces: Vec<&[u8]> = pieces(base).collect();
        let mut offsets = Vec::with_capacity(pieces.len() + 1);
        let mut places: HashMap<&[u8], Vec<usize>> = HashMap::new();
        let mut offset = 0;
        for (number, piece) in pieces.iter().enumerate() {
            offsets.push(offset);
            offset += piece.len();
            places.entry(piece).or_default().push(number);
        }
        offsets.push(offset);
        Matcher { pieces, offsets, places }
    }

    fn steps(&self, new: &[u8]) -> Vec<Step> {
        let mut steps = Steps::default();
        // Where the next piece is expected: behind the last one that was copied.
        let mut expected = 0;
        for piece in pieces(new) {
            match self.find(piece, expected) {
                Some(number) => {
                    steps.copy(self.offsets[number], piece.len());
                    expected = number + 1;
                }
                None => steps.insert(piece),
            }
        }
        steps.done
    }

    /// The number of an equal piece: the expected one, else the next one behind it, else the first.
    fn find(&self, piece: &[u8], expected: usize) -> Option<usize> {
        if self.pieces.get(expected) == Some(&piece) {
            return Some(expected);
        }
        let places = self.places.get(piece)?;
        let behind = places.partition_point(|number| *number < expected);
        places.get(behind).or(places.first()).copied()
    }
}

/// Steps as they are found; neighbours are joined.
#[derive(Default)]
struct Steps {
    done: Vec<Step>,
}

impl Steps {
    fn copy(&mut self, at: usize, bytes: usize) {
        if let Some(Step::Copy { from, length }) = self.done.last_mut() {
            if *from as usize + *length as usize == at {
                *length += bytes as u32;
                return;
            }
        }
        self.done.push(Step::Copy { from: at as u32, length: bytes as u32 });
    }

    fn insert(&mut self, bytes: &[u8]) {
        match self.done.last_mut() {
            Some(Step::Insert(inserted)) => inserted.extend_from_slice(bytes),
            _ => self.done.push(Step::Insert(bytes.to_vec())),
        }
    }
}
