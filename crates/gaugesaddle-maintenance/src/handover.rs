//! Messages between a proxy and its successor during a hot restart, each a line of JSON.

use serde::{Deserialize, Serialize};

/// Version of the messages. Two processes of different versions accept the messages that both of them have.
pub const HANDOVER_VERSION: u32 = 1;
/// Maximum size of a message: the names of all backends that may be excluded at once, and some margin.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A message of a hot restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// From the predecessor: the state that its successor needs before it serves.
    State {
        /// [`HANDOVER_VERSION`] of the sender.
        version: u32,
        /// Names of the excluded backends.
        excluded: Vec<String>,
    },
    /// From the successor: it listens, and accepts new clients from now on.
    Listening,
    /// An operator excluded this backend at the other process.
    Exclude(String),
    /// An operator included this backend again at the other process.
    Include(String),
}

/// Why a line cannot be decoded as a message.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The line exceeds [`MAX_MESSAGE_BYTES`].
    #[error("reading a handover message: expected a line of up to {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The line is not a message of this version.
    #[error("decoding a handover message of version {HANDOVER_VERSION}: {0}")]
    Unknown(#[from] serde_json::Error),
}

impl HandoverMessage {
    /// The message as a line of JSON, including the line feed.
    pub fn to_line(&self) -> String {
        let mut line = serde_json::to_string(self).unwrap_or_default();
        line.push('\n');
        line
    }
}

/// Reads messages from bytes as they arrive.
#[derive(Debug, Default)]
pub struct MessageReader {
    buffer: Vec<u8>,
}

impl MessageReader {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message, once its line is complete. A line that cannot be decoded is removed and returned as an error;
    /// a line that is too long is not removed, and every further call returns the error.
    pub fn next_message(&mut self) -> Option<Result<HandoverMessage, HandoverError>> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            let is_too_long = self.buffer.len() > MAX_MESSAGE_BYTES;
            return is_too_long.then_some(Err(HandoverError::TooLong));
        };
        let line: Vec<u8> = self.buffer.drain(..=end).collect();
        Some(serde_json::from_slice(&line).map_err(HandoverError::Unknown))
    }
}
