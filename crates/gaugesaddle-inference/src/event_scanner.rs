//! The events of a stream: where each ends, and the id of the last whole one.

/// Bytes of one event that are held while its end has not come; a longer one is passed on in pieces.
pub const MOST_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into whole events.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    held: Vec<u8>,
    last_id: Option<String>,
}

impl EventScanner {
    /// Takes bytes and returns those of whole events, in order.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.held.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.held) else {
            if self.held.len() > MOST_EVENT_BYTES {
                return std::mem::take(&mut self.held);
            }
            return Vec::new();
        };
        let rest = self.held.split_off(end);
        let whole = std::mem::replace(&mut self.held, rest);
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Bytes of an event that has not ended.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.held)
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Just behind the last blank line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let at = |pattern: &[u8]| {
        bytes.windows(pattern.len()).rposition(|window| window == pattern).map(|i| i + pattern.len())
    };
    at(b"\n\n").max(at(b"\r\n\r\n"))
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok().map(|id| id.trim().to_owned())
}
