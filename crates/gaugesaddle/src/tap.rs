//! A client's socket: what hyper reads of it, and what has come beyond that.
//!
//! Hyper looks at a socket only where it can use what comes. While a request is at work it takes up what follows once,
//! and from then on sees no end: a client that sent a byte too much and left was served to the last. And of a head it
//! gives away only what it made of it. Both are kept here, beneath it.

use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A head is looked for in so many bytes.
const SEEN_BYTES: usize = 16 << 10;
/// What comes behind a request at work is read ahead up to this size: many requests of the usual one. More stays with the
/// system, whose end is then asked for now and then.
const AHEAD_BYTES: usize = 16 << 10;
/// So often, with room for several looks in the 0.1 s after which nothing may begin for a client that has gone.
const LOOK: Duration = Duration::from_millis(20);

/// What hyper has been given since the present message began.
#[derive(Default)]
struct Given {
    /// The first of it.
    start: Vec<u8>,
    bytes: usize,
}

/// A client's socket.
pub struct Socket {
    stream: Rc<TcpStream>,
    given: RefCell<Given>,
    /// Read from the system, and not yet by hyper.
    ahead: RefCell<VecDeque<u8>>,
    /// The client has closed it, or it broke.
    ended: Cell<bool>,
    /// Waits for the end behind what isn't read.
    behind: RefCell<Option<Pin<Box<dyn Future<Output = ()>>>>>,
}

impl Socket {
    pub fn new(stream: TcpStream) -> Rc<Socket> {
        Rc::new(Socket {
            stream: Rc::new(stream),
            given: RefCell::default(),
            ahead: RefCell::default(),
            ended: Cell::new(false),
            behind: RefCell::default(),
        })
    }

    /// Its client has closed it, or it broke.
    pub fn is_ended(&self) -> bool {
        self.ended.get()
    }

    /// From the system, whatever is there.
    fn poll_fill(&self, cx: &mut Context, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
                read => {
                    self.ended.set(!matches!(read, Ok(1..)));
                    return Poll::Ready(read);
                }
            }
        }
    }

    fn poll_read(&self, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let mut ahead = self.ahead.borrow_mut();
        if !ahead.is_empty() {
            let (first, _) = ahead.as_slices();
            let n = first.len().min(buf.remaining());
            buf.put_slice(&first[..n]);
            ahead.drain(..n);
        } else if self.ended.get() {
            return Poll::Ready(Ok(()));
        } else {
            let n = ready!(self.poll_fill(cx, buf.initialize_unfilled()))?;
            buf.advance(n);
        }
        let mut given = self.given.borrow_mut();
        let new = &buf.filled()[before..];
        let room = SEEN_BYTES.saturating_sub(given.start.len());
        given.start.extend_from_slice(&new[..new.len().min(room)]);
        given.bytes += new.len();
        Poll::Ready(Ok(()))
    }

    /// The client has gone, whatever it sent before. Asked only while a request of it is at work.
    pub fn poll_gone(&self, cx: &mut Context) -> Poll<()> {
        let mut piece = [0; 4 << 10];
        while !self.ended.get() && self.ahead.borrow().len() < AHEAD_BYTES {
            if let Ok(n) = ready!(self.poll_fill(cx, &mut piece)) {
                self.ahead.borrow_mut().extend(&piece[..n]);
            }
        }
        if self.ended.get() {
            return Poll::Ready(());
        }
        let stream = self.stream.clone();
        let mut behind = self.behind.borrow_mut();
        let behind = behind.get_or_insert_with(|| {
            Box::pin(async move {
                while stream.ready(Interest::READABLE).await.is_ok_and(|r| !r.is_read_closed()) {
                    tokio::time::sleep(LOOK).await;
                }
            })
        });
        ready!(behind.as_mut().poll(cx));
        self.ended.set(true);
        Poll::Ready(())
    }

    /// Something has come that belongs to no message of which an answer has gone out. The system itself is asked: the
    /// runtime may not have seen it yet.
    pub fn has_come(&self) -> bool {
        self.given.borrow().bytes > 0 || !self.ahead.borrow().is_empty() || self.is_unread()
    }

    /// Something stands with the system.
    pub fn is_unread(&self) -> bool {
        matches!(SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]), Ok(1..))
    }

    /// The present message, whose body has that length, has its answer, and what comes next is a head. Returns whether
    /// something of that has come already. Of a message with no stated length only what hyper has not been given is known
    /// to be behind it.
    pub fn next(&self, length: Option<u64>) -> bool {
        let mut given = self.given.borrow_mut();
        let end = given.end(length).unwrap_or(given.bytes);
        let seen = end.min(given.start.len());
        given.start.drain(..seen);
        given.bytes = given.bytes.saturating_sub(end);
        given.bytes > 0 || !self.ahead.borrow().is_empty()
    }

    /// Whether the head that came names its body's length by `Transfer-Encoding` alone: hyper takes `Content-Length` out
    /// where the other stands beside it, so of its head nobody could tell that both were there. False as well where it
    /// can't be told: a head that came together with the end of a message without a stated length was not seen.
    pub fn is_only_chunked(&self, method: &str) -> bool {
        let given = self.given.borrow();
        let text = given.start.trim_ascii_start();
        let Some(end) = head_end(text) else { return false };
        let head = text[..end].to_ascii_lowercase();
        let named = |name: &str| head.split(|b| *b == b'\n').any(|line| line.starts_with(name.as_bytes()));
        let ours = text.starts_with(method.as_bytes());
        ours && named("transfer-encoding:") && !head.windows(14).any(|w| w == b"content-length")
    }

    /// Ends the sending, and throws away what still comes, up to that size, until the client ends as well or is quiet for
    /// so long: closed over bytes that nobody read, the connection would be reset, and the last answer could go with it.
    pub async fn linger(&self, most: usize, quiet: Duration) {
        if SockRef::from(&*self.stream).shutdown(Shutdown::Write).is_err() {
            return;
        }
        let (mut piece, mut left) = ([0; 4 << 10], most);
        while left > 0 {
            let read = std::future::poll_fn(|cx| self.poll_fill(cx, &mut piece));
            match tokio::time::timeout(quiet, read).await {
                Ok(Ok(n @ 1..)) => left = left.saturating_sub(n),
                _ => return,
            }
        }
    }
}

/// Where the empty line begins that ends a head.
fn head_end(text: &[u8]) -> Option<usize> {
    text.windows(4).position(|w| w == b"\r\n\r\n")
}

impl Given {
    /// How many bytes the present message has, head and all, where that is stated and its head was seen.
    fn end(&self, length: Option<u64>) -> Option<usize> {
        let before = self.start.len() - self.start.trim_ascii_start().len();
        let head = before + head_end(&self.start[before..])? + 4;
        Some(head + usize::try_from(length?).ok()?)
    }
}

/// The socket as hyper has it.
pub struct Tap(pub Rc<Socket>);

impl AsyncRead for Tap {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buf)
    }
}

/// One try to write, as soon as the system takes something.
fn poll_write(
    stream: &TcpStream, cx: &mut Context, write: impl Fn() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write() {
            Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
            wrote => return Poll::Ready(wrote),
        }
    }
}

impl AsyncWrite for Tap {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0.stream, cx, || self.0.stream.try_write(buf))
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0.stream, cx, || self.0.stream.try_write_vectored(bufs))
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0.stream).shutdown(Shutdown::Write))
    }
}
