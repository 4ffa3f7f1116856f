//! Backends whose responses the test defines.

use super::{read_message, Message};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The reaction of a backend to a request.
pub enum Reply {
    /// Writes this text and keeps the connection open.
    Respond(String),
    /// Writes this text and closes the connection.
    RespondAndClose(String),
    /// Writes this text and resets the connection.
    RespondAndReset(String),
    /// Writes the first text, blocks until the hold is released, writes the second text and closes the connection.
    RespondAfterHold(String, Arc<Hold>, String),
    /// Sends no response; the connection stays open.
    NoResponse,
}

/// A 200 response with a body.
pub fn ok(body: &str) -> Reply {
    Reply::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// Holds one request of a backend back until the test releases it.
pub struct Hold(Mutex<Option<Receiver<()>>>);

impl Hold {
    /// A hold, and the sender that releases the request.
    pub fn new() -> (Hold, Sender<()>) {
        let (release, released) = channel();
        (Hold(Mutex::new(Some(released))), release)
    }

    /// Blocks the first caller until the release; returns whether this was the first caller.
    pub fn wait_once(&self) -> bool {
        let first = self.0.lock().unwrap().take();
        if let Some(released) = &first {
            let _ = released.recv();
        }
        first.is_some()
    }
}

/// The events of a stream with these IDs, `to` excluded.
pub fn events(from: u32, to: u32) -> String {
    (from..to).map(|id| format!("id: {id}\ndata: {id}\n\n")).collect()
}

/// A chunk of a body with `Transfer-Encoding: chunked`.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[derive(Default)]
struct Seen {
    requests: Mutex<Vec<Message>>,
    opened: Mutex<usize>,
    closed: Mutex<usize>,
}

/// A backend that listens on its own port.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Seen>,
}

impl Backend {
    /// Starts a backend that calls `answer` for each request.
    pub fn start(answer: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (seen, answer) = (Arc::new(Seen::default()), Arc::new(answer));
        let all = seen.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (seen, answer) = (all.clone(), answer.clone());
                std::thread::spawn(move || Backend::serve_connection(stream, &seen, &*answer));
            }
        });
        Backend { address, seen }
    }

    fn serve_connection(mut stream: TcpStream, seen: &Seen, answer: &dyn Fn(&Message) -> Reply) {
        *seen.opened.lock().unwrap() += 1;
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = read_message(&mut reader) {
            seen.requests.lock().unwrap().push(message.clone());
            match answer(&message) {
                Reply::NoResponse => {}
                Reply::Respond(text) => {
                    let _ = stream.write_all(text.as_bytes());
                }
                Reply::RespondAndClose(text) => {
                    let _ = stream.write_all(text.as_bytes());
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    break;
                }
                Reply::RespondAfterHold(begun, hold, rest) => {
                    let _ = stream.write_all(begun.as_bytes());
                    hold.wait_once();
                    let _ = stream.write_all(rest.as_bytes());
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    break;
                }
                Reply::RespondAndReset(text) => {
                    let _ = stream.write_all(text.as_bytes());
                    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    break;
                }
            }
        }
        *seen.closed.lock().unwrap() += 1;
    }

    /// The requests received so far.
    pub fn requests(&self) -> Vec<Message> {
        self.seen.requests.lock().unwrap().clone()
    }

    /// Number of connections accepted so far.
    pub fn opened(&self) -> usize {
        *self.seen.opened.lock().unwrap()
    }

    /// Number of accepted connections that have ended.
    pub fn closed(&self) -> usize {
        *self.seen.closed.lock().unwrap()
    }
}

/// A listener whose accept queue is full, so that connections are established only after
/// [`UnacceptingBackend::accept_all`] is called.
pub struct UnacceptingBackend {
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl UnacceptingBackend {
    /// Listens and fills the accept queue.
    pub fn start() -> UnacceptingBackend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connect_timeout = Duration::from_millis(300);
        let queued = std::iter::from_fn(|| TcpStream::connect_timeout(&address, connect_timeout).ok());
        let queued = queued.take(10_000).collect();
        UnacceptingBackend { address, listener, queued }
    }

    /// Accepts all connections on a thread that ends after [`UnacceptingBackend::finish`] and returns the number of
    /// bytes read.
    pub fn accept_all(self) -> std::thread::JoinHandle<usize> {
        drop(self.queued);
        std::thread::spawn(move || {
            let (mut bytes, mut buffer) = (0, [0; 4096]);
            for mut stream in self.listener.incoming().map_while(Result::ok) {
                match stream.read(&mut buffer) {
                    Ok(n) if buffer.starts_with(b"done") => return bytes + n - 4,
                    Ok(n) => bytes += n,
                    Err(_) => {}
                }
            }
            bytes
        })
    }

    /// Ends the thread of [`UnacceptingBackend::accept_all`].
    pub fn finish(address: SocketAddr) {
        TcpStream::connect(address).unwrap().write_all(b"done").unwrap();
    }
}
