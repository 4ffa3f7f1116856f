//! Server-sent events: finds the end of each event of a stream, and the ID of the last complete event.

/// Maximum size of an incomplete event that is buffered, in bytes. A longer event is forwarded incomplete.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// The bytes of an incomplete event.
    buffer: Vec<u8>,
    last_id: Option<String>,
}

impl EventScanner {
    /// Adds bytes of the stream and returns the bytes of the events that are now complete, in order.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.buffer) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return std::mem::take(&mut self.buffer);
            }
            return Vec::new();
        };
        let incomplete = self.buffer.split_off(end);
        let complete = std::mem::replace(&mut self.buffer, incomplete);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Returns the bytes of an incomplete event at the end of the stream.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    /// The ID of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// The offset after the last blank line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let end_of_last = |pattern: &[u8]| {
        let start = bytes.windows(pattern.len()).rposition(|window| window == pattern)?;
        Some(start + pattern.len())
    };
    end_of_last(b"\n\n").max(end_of_last(b"\r\n\r\n"))
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut newest_first = events.split(|byte| *byte == b'\n').rev();
    let id = newest_first.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(|id| id.trim().to_owned())
}
