//! Clients that write raw bytes.

use super::{read_message, Message, Proxy, WAIT_TIMEOUT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};

/// A client's connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects.
    pub fn open(to: SocketAddr) -> Client {
        Client::try_open(to).unwrap()
    }

    /// Connects, and returns an error instead of panicking.
    ///
    /// # Errors
    /// The connection cannot be established, for example because it is refused.
    pub fn try_open(to: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
        Ok(Client { stream: BufReader::new(stream) })
    }

    /// Writes text. Write errors are ignored, since they show in the response.
    pub fn send(&mut self, text: &str) {
        let _ = self.stream.get_mut().write_all(text.as_bytes());
    }

    /// Reads a response; `None` if the connection ends before its end.
    pub fn read_response(&mut self) -> Option<Message> {
        read_message(&mut self.stream)
    }

    /// Whether the proxy has closed the connection, without waiting.
    pub fn is_closed(&mut self) -> bool {
        let stream = self.stream.get_ref();
        stream.set_nonblocking(true).unwrap();
        let seen = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        match seen {
            Ok(n) => n == 0,
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Waits for the next byte or the end of the connection; returns whether the connection ended.
    pub fn wait_for_close(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0) | Err(_))
    }
}

/// A request of one of the classes in [`super::settings`], with a unique id.
pub fn request(class: &str, left_ms: u64) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let (method, extra_headers) = match class {
        "read" => ("GET", ""),
        "vote" => ("POST", "Idempotency-Key: k1\r\nContent-Length: 4\r\n"),
        _ => ("POST", "Content-Length: 4\r\n"),
    };
    let body = if method == "GET" { "" } else { "body" };
    format!(
        "{method} /{class}/a?b=c HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {left_ms}\r\n{extra_headers}\r\n{body}"
    )
}

/// Sends a request on a new connection and returns the response.
pub fn send_request(proxy: &Proxy, text: &str) -> Message {
    let mut client = Client::open(proxy.address);
    client.send(text);
    client.read_response().expect("a complete response")
}
