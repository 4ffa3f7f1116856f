//! A minimal HTTP/1.1 parser for stand-in peers. It accepts malformed messages, since peers must be able to violate the
//! protocol.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Most bytes of a message head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most bytes of a message body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A message with its body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }

    /// The value of a header as an integer.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name).and_then(|v| v.trim().parse().ok())
    }

    /// The status code of a response.
    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok())
    }

    /// The target of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn wants_close(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Reads messages from one direction of a connection.
pub struct Reader<R> {
    from: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    pub fn new(from: R) -> Reader<R> {
        Reader { from, buffer: Vec::new() }
    }

    pub fn get_ref(&self) -> &R {
        &self.from
    }

    pub fn get_mut(&mut self) -> &mut R {
        &mut self.from
    }

    /// Number of buffered bytes that belong to no message yet.
    pub fn unread(&self) -> usize {
        self.buffer.len()
    }

    /// Waits until at least one byte is buffered; false if the connection ends before.
    pub async fn first_byte(&mut self) -> io::Result<bool> {
        Ok(!self.buffer.is_empty() || self.read_more().await? > 0)
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        self.from.read_buf(&mut self.buffer).await
    }

    /// Reads a complete message. Its body is chunked, has a `Content-Length`, or is empty.
    pub async fn message(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "message head is too long"));
            }
            if self.read_more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_string();
        let split = |l: &str| l.split_once(':').map(|(n, v)| (n.to_lowercase(), v.trim().to_string()));
        let headers: Vec<(String, String)> = lines.filter_map(split).collect();
        let mut message = Message { start, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            message.body = self.read_chunks().await?;
        } else if let Some(length) = message.number("content-length") {
            if length > MAX_BODY_BYTES as u64 {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "message body is too long"));
            }
            message.body = self.read_exactly(length as usize).await?;
        }
        Ok(message)
    }

    async fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.read_more().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(at) = find(&self.buffer, b"\r\n") {
                    break self.read_exactly(at + 2).await?;
                }
                if self.buffer.len() > MAX_HEAD_BYTES || self.read_more().await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let size = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(size.trim().split(';').next().unwrap_or(""), 16);
            let size =
                size.map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size is invalid"))?;
            if size + body.len() > MAX_BODY_BYTES {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "message body is too long"));
            }
            let mut chunk = self.read_exactly(size + 2).await?;
            if size == 0 {
                return Ok(body);
            }
            chunk.truncate(size);
            body.extend(chunk);
        }
    }
}

/// Position of the first occurrence of a byte sequence.
pub fn find(within: &[u8], what: &[u8]) -> Option<usize> {
    within.windows(what.len()).position(|w| w == what)
}

#[cfg(test)]
mod tests;
