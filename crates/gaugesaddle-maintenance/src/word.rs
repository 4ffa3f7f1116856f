//! What a proxy and its successor tell one another, a line of JSON each.

use serde::{Deserialize, Serialize};

/// The version of the words. Of two processes that differ, each takes the other's words that it knows.
pub const VERSION: u32 = 1;
/// A line is read up to this size: the names of all backends that may be out at once, and room.
pub const LINE_BYTES: usize = 1 << 20;

/// A word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// The process before tells what its successor must know before it serves.
    State {
        /// [`VERSION`] of who says it.
        version: u32,
        /// Names of the backends that the operators took out.
        excluded: Vec<String>,
    },
    /// The successor listens: it takes the clients from now on.
    Listening,
    /// The operators took a backend out, at the other process.
    Exclude(String),
    /// They put it back.
    Include(String),
}

/// Why a line is no word.
#[derive(Debug, thiserror::Error)]
pub enum WordError {
    /// It does not end in time.
    #[error("expected a line of up to {LINE_BYTES} bytes")]
    Long,
    /// It is none that this version knows.
    #[error("expected a word of version {VERSION}: {0}")]
    Unknown(#[from] serde_json::Error),
}

impl Word {
    /// As a line, its end included.
    pub fn line(&self) -> String {
        let mut line = serde_json::to_string(self).unwrap_or_default();
        line.push('\n');
        line
    }
}

/// Words out of bytes as they come.
#[derive(Debug, Default)]
pub struct Line {
    held: Vec<u8>,
}

impl Line {
    /// Takes in what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next word, if its line is whole. A line that is none is dropped with its error; without end it is an
    /// error for good.
    pub fn take(&mut self) -> Option<Result<Word, WordError>> {
        let Some(end) = self.held.iter().position(|b| *b == b'\n') else {
            return (self.held.len() > LINE_BYTES).then_some(Err(WordError::Long));
        };
        let line: Vec<u8> = self.held.drain(..=end).collect();
        Some(serde_json::from_slice(&line).map_err(WordError::Unknown))
    }
}
