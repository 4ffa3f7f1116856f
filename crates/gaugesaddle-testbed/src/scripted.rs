//! Scripted peers for tests of single exchanges: backends whose responses the test defines, a discovery service that
//! publishes the lists of the test, and clients that write raw bytes. `crate::world` simulates a whole fleet.
//!
//! - [`Backend`] and [`UnacceptingBackend`]: the server side of the proxy's upstream connections.
//! - [`Discovery`]: the list of backends, and the failures of the discovery service.
//! - [`Proxy`]: the proxy under test, as a process.
//! - [`Client`], [`request`], [`send_request`]: clients.

mod backend;
mod client;
mod discovery;
mod proxy;

pub use backend::{chunk, events, ok, Backend, Hold, Reply, UnacceptingBackend};
pub use client::{request, send_request, Client};
pub use discovery::{endpoint, Discovery};
pub use proxy::{config, free_address, settings, Proxy};

use std::io::BufRead;
use std::time::{Duration, Instant};

/// Timeout of every wait: far longer than any successful operation takes, so that only a failure reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls a condition until it holds.
///
/// # Panics
/// It does not hold within [`WAIT_TIMEOUT`].
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out after {WAIT_TIMEOUT:?} waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP message as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }

    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a `Content-Length`, or without a body; `None` if the connection ends before its end.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim_end() {
            "" => break,
            text => lines.push(text.to_string()),
        }
    }
    let mut lines = lines.into_iter();
    let start = lines.next()?;
    let split = |l: String| l.split_once(':').map(|(n, v)| (n.to_lowercase(), v.trim().to_string()));
    let headers: Vec<(String, String)> = lines.filter_map(split).collect();
    let mut message = Message { start, headers, ..Message::default() };
    let length = message.header("content-length").map_or(0, |l| l.parse().expect("a numeric Content-Length"));
    message.body = vec![0; length];
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

#[cfg(test)]
mod tests;
