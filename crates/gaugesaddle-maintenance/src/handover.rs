//! What a proxy and its successor send each other during a hot restart: a line of JSON each.

use serde::{Deserialize, Serialize};

/// The version of the messages. Of two processes that differ, each takes the messages that it knows.
pub const HANDOVER_VERSION: u32 = 1;
/// A message is read up to this size: the names of all backends that may be excluded at once, and some margin.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A message of a hot restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// From the process before: what its successor must know before it serves.
    State {
        /// [`HANDOVER_VERSION`] of the sender.
        version: u32,
        /// Names of the excluded backends.
        excluded: Vec<String>,
    },
    /// From the successor: it listens, and accepts the clients from now on.
    Listening,
    /// The operators excluded this backend at the other process.
    Exclude(String),
    /// They included it again.
    Include(String),
}

/// Why a line is no message.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The line does not end within the limit.
    #[error("expected a line of up to {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// No message of this version.
    #[error("expected a message of version {HANDOVER_VERSION}: {0}")]
    Unknown(#[from] serde_json::Error),
}

impl HandoverMessage {
    /// The message as a line, its end included.
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

    /// The next message, once its line is complete. A line that is no message is dropped with its error; one that is too long
    /// stays an error.
    pub fn next_message(&mut self) -> Option<Result<HandoverMessage, HandoverError>> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            let is_too_long = self.buffer.len() > MAX_MESSAGE_BYTES;
            return is_too_long.then_some(Err(HandoverError::TooLong));
        };
        let line: Vec<u8> = self.buffer.drain(..=end).collect();
        Some(serde_json::from_slice(&line).map_err(HandoverError::Unknown))
    }
}
