//! Server-sent events: finds the positions of a stream at which no event has begun and not ended.
//!
//! ```text
//!                 any other byte                       line end
//!   Start ----------------------------> Field ----------------------> Start, inside an event
//!    |  |                                                               |
//!    |  +-- ':' --> Comment -- line end --> Start, unchanged            | line end: a blank line ends the event
//!    |                                                                  v
//!    +-- line end: a blank line without an event --> Start            Start, between events
//! ```

/// What a stream has, as far as it was received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamPosition {
    /// No event has begun. Comments and blank lines may have been received.
    #[default]
    BeforeFirstEvent,
    /// At least one event, and all of them have ended.
    BetweenEvents,
    /// An event, or a line, has begun and not ended.
    InsideEvent,
}

impl StreamPosition {
    /// Whether a stream can be complete here. `has_earlier_events`: the stream continues one whose events up to now its
    /// receiver has, so that no event may be left.
    pub fn can_be_end(self, has_earlier_events: bool) -> bool {
        match self {
            StreamPosition::BeforeFirstEvent => has_earlier_events,
            StreamPosition::BetweenEvents => true,
            StreamPosition::InsideEvent => false,
        }
    }
}

/// The current line of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// No byte of it was received.
    #[default]
    Start,
    Comment,
    Field,
}

/// Tracks the position in an event stream (HTML standard, section 9.2.6). Lines end with LF, CR or CRLF. An event is a
/// sequence of lines that a blank line ends; a comment, a line that begins with a colon, is part of no event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBoundary {
    line: Line,
    /// Whether a complete line of the current event was received.
    has_fields: bool,
    /// Whether an event has ended.
    has_events: bool,
    /// Whether the last byte was a CR: a LF after it belongs to the same line end.
    after_carriage_return: bool,
}

impl EventBoundary {
    /// Adds bytes of the stream. Returns the number of bytes up to the last position that is not inside an event; `None` if
    /// there is no such position among them.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut last_boundary = None;
        for (index, byte) in bytes.iter().enumerate() {
            self.advance_byte(*byte);
            if !self.is_inside_event() {
                last_boundary = Some(index + 1);
            }
        }
        last_boundary
    }

    /// Whether an event has ended.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// The position after the bytes received so far.
    pub fn position(&self) -> StreamPosition {
        if self.is_inside_event() {
            StreamPosition::InsideEvent
        } else if self.has_events {
            StreamPosition::BetweenEvents
        } else {
            StreamPosition::BeforeFirstEvent
        }
    }

    fn is_inside_event(&self) -> bool {
        self.has_fields || self.line != Line::Start
    }

    fn advance_byte(&mut self, byte: u8) {
        let completes_line_end = byte == b'\n' && self.after_carriage_return;
        self.after_carriage_return = byte == b'\r';
        match byte {
            b'\n' if completes_line_end => {}
            b'\n' | b'\r' => self.end_line(),
            b':' if self.line == Line::Start => self.line = Line::Comment,
            _ if self.line == Line::Start => self.line = Line::Field,
            _ => {}
        }
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Comment => {}
            Line::Field => self.has_fields = true,
            Line::Start => self.has_events |= std::mem::take(&mut self.has_fields),
        }
    }
}
