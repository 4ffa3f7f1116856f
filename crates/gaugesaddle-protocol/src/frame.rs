//! Frames: the layout of a message on a connection.
//!
//! ```text
//! length 4 | version 1 | message
//! ```
//!
//! The length is that of the message in bytes, little endian. The version tells whether the message is compressed
//! (DEFLATE, RFC 1951). A receiver reads both kinds; a sender compresses only for a receiver that has announced this.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use thiserror::Error;

/// Version of the format; frames of another version are rejected.
pub const VERSION: u8 = 3;
/// Version of a frame whose message is compressed.
pub const COMPRESSED_VERSION: u8 = 4;
/// Messages from this length on are compressed, in bytes. Shorter ones are frequent and fill few packets.
pub const MIN_COMPRESSED_BYTES: usize = 8 << 10;
/// Level of the compression: the fastest one, since a control process compresses a change once for each of its proxies.
const COMPRESSION_LEVEL: u8 = 1;
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
    /// The bytes are not a compressed message, or one that is longer than [`MAX_BYTES`].
    #[error("message cannot be decompressed")]
    Compression,
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

/// Whether the receiver of a frame reads compressed messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Compression {
    /// It does not, or it is not known.
    #[default]
    Unsupported,
    /// It has announced that it does.
    Supported,
}

/// The header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Length of the message as it is sent, in bytes.
    pub length: usize,
    /// Whether the message is compressed.
    pub is_compressed: bool,
}

/// Encodes a message as a frame without compression.
///
/// # Errors
///
/// [`FrameError::Encode`], or [`FrameError::TooLong`] if the message exceeds [`MAX_BYTES`].
pub fn encode<T: Encode<Binary>>(message: &T) -> Result<Vec<u8>, FrameError> {
    encode_for(message, Compression::Unsupported)
}

/// Encodes a message as a frame. For a receiver that supports it, a message of at least [`MIN_COMPRESSED_BYTES`] is
/// compressed.
///
/// # Errors
///
/// As [`encode`].
pub fn encode_for<T: Encode<Binary>>(message: &T, compression: Compression) -> Result<Vec<u8>, FrameError> {
    let body = musli::storage::to_vec(message).map_err(FrameError::Encode)?;
    if body.len() > MAX_BYTES {
        return Err(FrameError::TooLong(body.len()));
    }
    if compression == Compression::Supported && body.len() >= MIN_COMPRESSED_BYTES {
        let compressed = compress_to_vec(&body, COMPRESSION_LEVEL);
        if compressed.len() < body.len() {
            return Ok(frame_of(COMPRESSED_VERSION, &compressed));
        }
    }
    Ok(frame_of(VERSION, &body))
}

fn frame_of(version: u8, body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.push(version);
    frame.extend_from_slice(body);
    frame
}

/// Parses a header.
///
/// # Errors
///
/// [`FrameError::Version`] or [`FrameError::TooLong`].
pub fn parse_header(header: [u8; HEADER_BYTES]) -> Result<Header, FrameError> {
    let [b0, b1, b2, b3, version] = header;
    if ![VERSION, COMPRESSED_VERSION].contains(&version) {
        return Err(FrameError::Version(version));
    }
    let length = u32::from_le_bytes([b0, b1, b2, b3]) as usize;
    if length > MAX_BYTES {
        return Err(FrameError::TooLong(length));
    }
    Ok(Header { length, is_compressed: version == COMPRESSED_VERSION })
}

/// Decodes the message of a frame with that header; `body` is the frame without its header.
///
/// # Errors
///
/// [`FrameError::Compression`] or [`FrameError::Malformed`].
pub fn decode_body<T>(header: Header, body: &[u8]) -> Result<T, FrameError>
where
    T: for<'de> Decode<'de, Binary, Global>,
{
    if !header.is_compressed {
        return decode(body);
    }
    let message = decompress_to_vec_with_limit(body, MAX_BYTES).map_err(|_| FrameError::Compression)?;
    decode(&message)
}

/// Decodes a message that is not compressed.
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
