//! Finds the chunks of a new version in its base.

use crate::instruction::Instruction;
use std::collections::HashMap;

/// Splits a document into chunks that end at commas and brackets.
fn chunks(document: &[u8]) -> impl Iterator<Item = &[u8]> {
    document.split_inclusive(|byte| matches!(byte, b',' | b'{' | b'}' | b'[' | b']'))
}

/// The chunks of a base, numbered from 0.
pub struct Matcher<'a> {
    chunks: Vec<&'a [u8]>,
    /// Offset of each chunk, and the base's length.
    offsets: Vec<usize>,
    /// Ascending numbers of the chunks with equal bytes.
    numbers: HashMap<&'a [u8], Vec<usize>>,
}

impl<'a> Matcher<'a> {
    pub fn new(base: &'a [u8]) -> Matcher<'a> {
        let chunks: Vec<&[u8]> = chunks(base).collect();
        let mut offsets = Vec::with_capacity(chunks.len() + 1);
        let mut numbers: HashMap<&[u8], Vec<usize>> = HashMap::new();
        let mut offset = 0;
        for (number, chunk) in chunks.iter().enumerate() {
            offsets.push(offset);
            offset += chunk.len();
            numbers.entry(chunk).or_default().push(number);
        }
        offsets.push(offset);
        Matcher { chunks, offsets, numbers }
    }

    /// Instructions that turn the base into `new`.
    pub fn instructions(&self, new: &[u8]) -> Vec<Instruction> {
        let mut builder = InstructionBuilder::default();
        // The chunk after the last one that was copied: runs of equal chunks become one instruction.
        let mut expected = 0;
        for chunk in chunks(new) {
            match self.find(chunk, expected) {
                Some(number) => {
                    builder.copy(self.offsets[number], chunk.len());
                    expected = number + 1;
                }
                None => builder.insert(chunk),
            }
        }
        builder.instructions
    }

    /// The number of an equal chunk: the expected one, else the next one after it, else the first.
    fn find(&self, chunk: &[u8], expected: usize) -> Option<usize> {
        if self.chunks.get(expected) == Some(&chunk) {
            return Some(expected);
        }
        let numbers = self.numbers.get(chunk)?;
        let next = numbers.partition_point(|number| *number < expected);
        numbers.get(next).or(numbers.first()).copied()
    }
}

/// Collects instructions; adjacent ones are merged.
#[derive(Default)]
struct InstructionBuilder {
    instructions: Vec<Instruction>,
}

impl InstructionBuilder {
    fn copy(&mut self, offset: usize, bytes: usize) {
        if let Some(Instruction::Copy { from, length }) = self.instructions.last_mut() {
            if *from as usize + *length as usize == offset {
                *length += bytes as u32;
                return;
            }
        }
        self.instructions.push(Instruction::Copy { from: offset as u32, length: bytes as u32 });
    }

    fn insert(&mut self, bytes: &[u8]) {
        match self.instructions.last_mut() {
            Some(Instruction::Insert(inserted)) => inserted.extend_from_slice(bytes),
            _ => self.instructions.push(Instruction::Insert(bytes.to_vec())),
        }
    }
}
