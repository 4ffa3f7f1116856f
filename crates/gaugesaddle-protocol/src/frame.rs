//! Frames: how a message is laid out on a connection.

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use thiserror::Error;

/// Version of the format; another version's frames are refused.
pub const VERSION: u8 = 3;
/// Bytes before a message: its length (little endian, without these bytes) and the version.
pub const HEADER_BYTES: usize = 5;
/// A message is at most this long: a configuration of 4 MiB with room for what goes with it.
pub const MAX_BYTES: usize = 12 << 20;

/// Why a frame cannot be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The length exceeds [`MAX_BYTES`].
    #[error("a frame of {0} bytes, at most {MAX_BYTES} are expected")]
    TooLong(usize),
    /// Another version of the format, or no frame at all.
    #[error("format version {0}, expected {VERSION}")]
    Version(u8),
    /// The message is no such message.
    #[error("a message that cannot be decoded")]
    Malformed,
    /// The message cannot be encoded.
    #[error("a message that cannot be encoded")]
    Encode,
}

/// A whole frame for a message.
pub fn encode<T: Encode<Binary>>(message: &T) -> Result<Vec<u8>, FrameError> {
    let body = musli::storage::to_vec(message).map_err(|_| FrameError::Encode)?;
    if body.len() > MAX_BYTES {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.push(VERSION);
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// The length of the message behind a header.
pub fn body_length(header: [u8; HEADER_BYTES]) -> Result<usize, FrameError> {
    let [a, b, c, d, version] = header;
    if version != VERSION {
        return Err(FrameError::Version(version));
    }
    let length = u32::from_le_bytes([a, b, c, d]) as usize;
    if length > MAX_BYTES {
        return Err(FrameError::TooLong(length));
    }
    Ok(length)
}

/// The message in a frame's body.
pub fn decode<T>(body: &[u8]) -> Result<T, FrameError>
where
    T: for<'de> Decode<'de, Binary, Global>,
{
    musli::storage::from_slice(body).map_err(|_| FrameError::Malformed)
}
