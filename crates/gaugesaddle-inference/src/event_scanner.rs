//! Server-sent events: withholds the bytes of an incomplete event, and finds the ID of the last complete one.

use crate::event_boundary::{EventBoundary, StreamPosition};

/// Maximum size of an incomplete event that is buffered, in bytes. A longer event is returned in parts.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    boundary: EventBoundary,
    /// The bytes of an incomplete event.
    buffer: Vec<u8>,
    /// Whether an event was too long to be buffered and was returned in parts.
    has_split_event: bool,
    last_id: Option<String>,
}

impl EventScanner {
    /// Adds bytes of the stream and returns the bytes of the events that are now complete, in order, or a part of an event
    /// longer than [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let buffered = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let Some(end) = self.boundary.advance(bytes) else { return self.take_oversized_part() };
        let incomplete = self.buffer.split_off(buffered + end);
        let complete = std::mem::replace(&mut self.buffer, incomplete);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// The position in the stream after the bytes received so far.
    pub fn position(&self) -> StreamPosition {
        self.boundary.position()
    }

    /// Whether the stream can be resumed after [`Self::last_id`]: no event was returned in parts, and if any was returned, an
    /// ID is known.
    pub fn is_resumable(&self) -> bool {
        let is_last_event_known = self.last_id.is_some() || !self.boundary.has_events();
        is_last_event_known && !self.has_split_event
    }

    /// Returns the bytes of an incomplete event at the end of the stream.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    /// The ID of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn take_oversized_part(&mut self) -> Vec<u8> {
        if self.buffer.len() <= MAX_EVENT_BYTES {
            return Vec::new();
        }
        self.has_split_event = true;
        std::mem::take(&mut self.buffer)
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut newest_first = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let id = newest_first.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(|id| id.trim().to_owned())
}
