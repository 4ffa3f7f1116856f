//! The instructions of a delta.

use musli::{Decode, Encode};

/// One instruction. The order of variants and fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Instruction {
    /// Appends bytes of the base.
    Copy {
        /// Offset of the first byte.
        from: u32,
        /// Number of bytes.
        length: u32,
    },
    /// Appends new bytes.
    Insert(#[musli(bytes)] Vec<u8>),
}
