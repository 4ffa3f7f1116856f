//! A client's socket: the bytes that hyper reads from it, and those received beyond that.
//!
//! Hyper reads a socket only when it can use the bytes. While a request is in service it reads the bytes that follow
//! once, and does not detect the end of the connection after that: a client that sent one further byte and disconnected
//! was still served. It also exposes a request's head only as it has parsed it. So this layer below hyper detects the
//! end and records the head.

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

/// Maximum number of bytes of a message that are recorded, to find its head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of bytes read ahead while a request is in service: many usual requests. Further bytes remain in the
/// socket, which is then polled for the end of the connection.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Interval of these polls: several times in the 0.1 s after which no attempt may begin for a client that has
/// disconnected.
const END_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The bytes that hyper has read since the current message began.
#[derive(Default)]
struct MessageBytes {
    /// The first of these bytes.
    start: Vec<u8>,
    /// The number of all of them.
    bytes: usize,
}

/// A client's socket.
pub struct ClientSocket {
    stream: Rc<TcpStream>,
    message: RefCell<MessageBytes>,
    /// Bytes that were read from the socket, and not yet by hyper.
    read_ahead: RefCell<VecDeque<u8>>,
    /// Whether the client has closed it, or it failed.
    ended: Cell<bool>,
    /// Whether the close of the socket would end an answer that is incomplete.
    resets_on_close: Cell<bool>,
    /// Polls for the end of the connection while the socket has unread bytes.
    end_watch: RefCell<Option<Pin<Box<dyn Future<Output = ()>>>>>,
}

impl ClientSocket {
    pub fn new(stream: TcpStream) -> Rc<ClientSocket> {
        Rc::new(ClientSocket {
            stream: Rc::new(stream),
            message: RefCell::default(),
            read_ahead: RefCell::default(),
            ended: Cell::new(false),
            resets_on_close: Cell::new(false),
            end_watch: RefCell::default(),
        })
    }

    /// Whether its client has closed it, or it failed.
    pub fn is_ended(&self) -> bool {
        self.ended.get()
    }

    /// Begins an answer whose end is the close of the socket. Until [`Self::end_close_delimited_answer`] the socket is closed
    /// by a reset, however the process ends, since an orderly close would make the answer look complete.
    pub fn begin_close_delimited_answer(&self) {
        self.set_reset_on_close(true);
    }

    /// Ends such an answer, which was sent completely: the close is orderly again.
    pub fn end_close_delimited_answer(&self) {
        if self.resets_on_close.get() {
            self.set_reset_on_close(false);
        }
    }

    /// Whether an answer was begun whose end would be the close of the socket, and has not ended.
    pub fn has_incomplete_answer(&self) -> bool {
        self.resets_on_close.get()
    }

    fn set_reset_on_close(&self, resets: bool) {
        self.resets_on_close.set(resets);
        let linger = resets.then_some(Duration::ZERO);
        if let Err(e) = SockRef::from(&*self.stream).set_linger(linger) {
            tracing::debug!("client connection: setting SO_LINGER failed: {e}");
        }
    }

    /// Reads the bytes that the socket has.
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
        let mut ahead = self.read_ahead.borrow_mut();
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
        let mut message = self.message.borrow_mut();
        let new = &buf.filled()[before..];
        let free = MAX_HEAD_BYTES.saturating_sub(message.start.len());
        message.start.extend_from_slice(&new[..new.len().min(free)]);
        message.bytes += new.len();
        Poll::Ready(Ok(()))
    }

    /// Completes when the client disconnects, even if it sent further bytes before. To be polled only while a request
    /// is in service.
    pub fn poll_disconnected(&self, cx: &mut Context) -> Poll<()> {
        let mut chunk = [0; 4 << 10];
        while !self.ended.get() && self.read_ahead.borrow().len() < MAX_READ_AHEAD_BYTES {
            if let Ok(n) = ready!(self.poll_fill(cx, &mut chunk)) {
                self.read_ahead.borrow_mut().extend(&chunk[..n]);
            }
        }
        if self.ended.get() {
            return Poll::Ready(());
        }
        let stream = self.stream.clone();
        let mut watch = self.end_watch.borrow_mut();
        let watch = watch.get_or_insert_with(|| {
            Box::pin(async move {
                while stream.ready(Interest::READABLE).await.is_ok_and(|r| !r.is_read_closed()) {
                    tokio::time::sleep(END_POLL_INTERVAL).await;
                }
            })
        });
        ready!(watch.as_mut().poll(cx));
        self.ended.set(true);
        Poll::Ready(())
    }

    /// Whether bytes of a message without an answer were received. Peeks at the socket itself, since the
    /// runtime's readiness may be out of date.
    pub fn has_received(&self) -> bool {
        self.message.borrow().bytes > 0 || !self.read_ahead.borrow().is_empty() || self.has_unread()
    }

    /// Whether the socket has unread bytes.
    pub fn has_unread(&self) -> bool {
        matches!(SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]), Ok(1..))
    }

    /// Ends the current message, whose body has that length and which is answered. Returns whether part of the next
    /// message was already received; after a message without a stated length, only bytes that hyper has not read are
    /// known to belong to the next one.
    pub fn begin_next_message(&self, length: Option<u64>) -> bool {
        let mut message = self.message.borrow_mut();
        let end = message.end(length).unwrap_or(message.bytes);
        let recorded = end.min(message.start.len());
        message.start.drain(..recorded);
        message.bytes = message.bytes.saturating_sub(end);
        message.bytes > 0 || !self.read_ahead.borrow().is_empty()
    }

    /// Whether the received head frames its body by `Transfer-Encoding` alone: hyper removes a `Content-Length` beside
    /// it, so its parsed head does not show that both were present. Also false if that is unknown, for a head that was
    /// received together with the end of a message without a stated length.
    pub fn is_only_chunked(&self, method: &str) -> bool {
        let message = self.message.borrow();
        let text = message.start.trim_ascii_start();
        let Some(end) = head_end(text) else { return false };
        let head = text[..end].to_ascii_lowercase();
        let has_field =
            |name: &str| head.split(|b| *b == b'\n').any(|line| line.starts_with(name.as_bytes()));
        let is_this_request = text.starts_with(method.as_bytes());
        is_this_request
            && has_field("transfer-encoding:")
            && !head.windows(14).any(|w| w == b"content-length")
    }

    /// Shuts down the sending side and discards up to `max` bytes that are still received, until the client closes its
    /// side or sends nothing for `quiet`. A close with unread bytes would reset the connection, and the last answer
    /// could be lost.
    pub async fn linger(&self, max: usize, quiet: Duration) {
        if SockRef::from(&*self.stream).shutdown(Shutdown::Write).is_err() {
            return;
        }
        let (mut chunk, mut remaining) = ([0; 4 << 10], max);
        while remaining > 0 {
            let read = std::future::poll_fn(|cx| self.poll_fill(cx, &mut chunk));
            match tokio::time::timeout(quiet, read).await {
                Ok(Ok(n @ 1..)) => remaining = remaining.saturating_sub(n),
                _ => return,
            }
        }
    }
}

/// Offset of the empty line that ends a head.
fn head_end(text: &[u8]) -> Option<usize> {
    text.windows(4).position(|w| w == b"\r\n\r\n")
}

impl MessageBytes {
    /// Length of the current message with its head, if it is stated and the head was recorded.
    fn end(&self, length: Option<u64>) -> Option<usize> {
        let before = self.start.len() - self.start.trim_ascii_start().len();
        let head = before + head_end(&self.start[before..])? + 4;
        Some(head + usize::try_from(length?).ok()?)
    }
}

/// The socket as hyper uses it.
pub struct SocketIo(pub Rc<ClientSocket>);

impl AsyncRead for SocketIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        self.0.poll_read(cx, buf)
    }
}

/// Writes once the socket is writable.
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

impl AsyncWrite for SocketIo {
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
