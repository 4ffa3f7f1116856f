//! A socket to a backend that knows how far the present request and its answer have come.

use crate::exchange::BODY_BYTES;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The part of an answer that is held is read up to so many bytes, whatever they are: framing in the smallest pieces
/// and 1xx answers ahead of it included.
const ANSWER_BYTES: usize = 8 * BODY_BYTES;

/// Whoever says, right before the first byte of a request, whether it may still begin.
pub trait MayBegin {
    /// Whether the request may begin now.
    fn may_begin(&self) -> bool;
}

/// What has been done with a connection since the present request was given to it.
#[derive(Default)]
pub struct Progress {
    /// Some byte was handed to the socket.
    pub begun: Cell<bool>,
    /// The last byte was: hyper flushes the socket only after its buffer is empty.
    pub whole: Cell<bool>,
    /// The other side has ended the connection or broken it.
    pub broken: Cell<bool>,
    /// The request's body was handed to hyper whole, by the client.
    pub handed_over: Cell<bool>,
    /// The client broke its body off: nothing against the backend.
    pub client_broke: Cell<bool>,
    /// Whether the present request may begin; `None`: there is none.
    gate: RefCell<Option<Rc<dyn MayBegin>>>,
    /// It was shut before a byte was written.
    pub shut: Cell<bool>,
    /// Bytes of the answer so far, and how many are read.
    read: Cell<usize>,
    pub most: Cell<usize>,
}

impl Progress {
    /// The next request is for this connection.
    pub fn guard(&self, gate: Rc<dyn MayBegin>) {
        *self.gate.borrow_mut() = Some(gate);
    }

    /// `held`: all of the request is there.
    pub fn restart(&self, held: bool) {
        self.begun.set(false);
        self.whole.set(false);
        self.handed_over.set(held);
        self.client_broke.set(false);
        self.shut.set(false);
        self.read.set(0);
        self.most.set(ANSWER_BYTES);
    }
}

/// What was not handed over whole has never run.
pub struct Wire {
    stream: TcpStream,
    pub progress: Rc<Progress>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        Wire { stream, progress: Rc::default() }
    }

    /// Asked right before the first byte of a request: what has come before it belongs to no answer of its own,
    /// and nothing in an answer tells which request it is for. The runtime may not have seen it yet, so the
    /// socket itself is asked.
    fn check_quiet(&self) -> io::Result<()> {
        if self.progress.begun.get() {
            return Ok(());
        }
        // The last look: from the first byte on the request has been sent.
        if !self.progress.gate.borrow().as_ref().is_some_and(|gate| gate.may_begin()) {
            self.progress.shut.set(true);
            return Err(io::Error::new(ErrorKind::ConnectionAborted, "the attempt may not begin any more"));
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
            Ok(_) => Err(io::Error::new(ErrorKind::ConnectionReset, "closed, or more than an answer came")),
        }
    }

    fn note(&self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match wrote {
            Poll::Ready(Ok(n)) if n > 0 => self.progress.begun.set(true),
            Poll::Ready(Err(_)) => self.progress.broken.set(true),
            _ => {}
        }
        wrote
    }
}

impl AsyncRead for Wire {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let (before, room) = (buf.filled().len(), buf.remaining());
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let n = buf.filled().len() - before;
        self.progress.broken.set(read.is_err() || (n == 0 && room > 0));
        self.progress.read.set(self.progress.read.get() + n);
        if self.progress.read.get() > self.progress.most.get() {
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, "an answer without end")));
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check_quiet()?;
        let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(wrote)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context, bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.check_quiet()?;
        let wrote = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(wrote)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.progress.whole.set(self.progress.begun.get() && self.progress.handed_over.get());
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
