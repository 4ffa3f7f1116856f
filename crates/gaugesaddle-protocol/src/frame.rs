//! Frames: the layout of a message on a connection.
//!
//! ```text
//! length 4 | version 1 | message
//! ```
//!
//! The length is that of the message in bytes, little endian.

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use thiserror::Error;

/// Version of the format; frames of another version are rejected.
pub const VERSION: u8 = 3;
/// Length of the header before a message, in bytes.
pub const HEADER_BYTES: usize = 5;
/// Limit on the length of a message, in bytes: a configuration of 4 MiB with headroom for the rest.
pub const MAX_BYTES: usize = 12 << 20;

/// An error of encoding or decoding a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The length, in bytes, exceeds [`MAX_BYTES`].
    #[error("message of {0} bytes exceeds the limit of {MAX_BYTES} bytes")]
    TooLong(usize),
    /// The peer uses another version of the format, or another protocol.
    #[error("format version {0}, expected {VERSION}")]
    Version(u8),
    /// The bytes are not an encoding of the expected type.
    #[error("message cannot be decoded")]
    Malformed(#[source] musli::storage::Error),
    /// The message is valid, but not expected at this point of the protocol.
    #[error("unexpected message at this point of the protocol")]
    Unexpected,
    /// The message cannot be encoded.
    #[error("message cannot be encoded")]
    Encode(#[source] musli::storage::Error),
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// [`FrameError::Encode`], or [`FrameError::TooLong`] if the message exceeds [`MAX_BYTES`].
pub fn encode<T: Encode<Binary>>(message: &T) -> Result<Vec<u8>, FrameError> {
    let body = musli::storage::to_vec(message).map_err(FrameError::Encode)?;
    if body.len() > MAX_BYTES {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.push(VERSION);
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Returns the length of the message that follows a header, in bytes.
///
/// # Errors
///
/// [`FrameError::Version`] or [`FrameError::TooLong`].
pub fn body_length(header: [u8; HEADER_BYTES]) -> Result<usize, FrameError> {
    let [b0, b1, b2, b3, version] = header;
    if version != VERSION {
        return Err(FrameError::Version(version));
    }
    let length = u32::from_le_bytes([b0, b1, b2, b3]) as usize;
    if length > MAX_BYTES {
        return Err(FrameError::TooLong(length));
    }
    Ok(length)
}

/// Decodes a frame's message; `body` is the frame without its header.
///
/// # Errors
///
/// [`FrameError::Malformed`].
pub fn decode<T>(body: &[u8]) -> Result<T, FrameError>
where
    T: for<'de> Decode<'de, Binary, Global>,
{
    musli::storage::from_slice(body).map_err(FrameError::Malformed)
}
