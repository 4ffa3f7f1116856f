//! A socket to a backend that knows how far the present request and its response have come.

use crate::BUFFERED_BODY_BYTES;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A response that is buffered is read up to this many bytes on the wire. Chunked encoding in the smallest chunks and
/// 1xx responses ahead of it count too, hence the factor.
pub const MAX_RESPONSE_BYTES: usize = 8 * BUFFERED_BODY_BYTES;

/// Decides, right before the first byte of a request, whether it may still be sent.
pub trait SendGuard {
    /// Whether the request may be sent now.
    fn may_send(&self) -> bool;
}

/// What has happened on a connection since the present request was given to it.
#[derive(Default)]
pub struct RequestProgress {
    /// Some byte of the request was written to the socket: from now on it may run.
    pub begun: Cell<bool>,
    /// The last byte was written: hyper flushes the socket only after its buffer is empty.
    pub fully_sent: Cell<bool>,
    /// The backend has ended the connection, or it broke.
    pub broken: Cell<bool>,
    /// The client's body was handed to hyper in full.
    pub body_complete: Cell<bool>,
    /// The client broke its body off, which says nothing about the backend.
    pub client_aborted: Cell<bool>,
    /// The guard refused, and no byte was written.
    pub refused: Cell<bool>,
    /// Response bytes that may be read.
    pub max_response_bytes: Cell<usize>,
    /// Response bytes read so far.
    response_bytes: Cell<usize>,
    /// The guard of the present request; without one nothing is sent.
    guard: RefCell<Option<Rc<dyn SendGuard>>>,
}

impl RequestProgress {
    /// Sets the guard of the next request.
    pub fn set_guard(&self, guard: Rc<dyn SendGuard>) {
        *self.guard.borrow_mut() = Some(guard);
    }

    /// Prepares for the next request. `body_complete`: its body is already there in full.
    pub fn restart(&self, body_complete: bool) {
        self.begun.set(false);
        self.fully_sent.set(false);
        self.body_complete.set(body_complete);
        self.client_aborted.set(false);
        self.refused.set(false);
        self.response_bytes.set(0);
        self.max_response_bytes.set(MAX_RESPONSE_BYTES);
    }
}

/// A socket that asks the guard before the first byte of each request.
pub(crate) struct GuardedStream {
    stream: TcpStream,
    pub(crate) progress: Rc<RequestProgress>,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream) -> GuardedStream {
        GuardedStream { stream, progress: Rc::default() }
    }

    /// Refuses the first byte of a request that may not be sent any more, and of one on a connection with unread bytes: they
    /// belong to no response of this request, and nothing in a response names its request. The runtime may not
    /// have seen them yet, so the socket itself is asked.
    fn check_first_byte(&self) -> io::Result<()> {
        if self.progress.begun.get() {
            return Ok(());
        }
        if !self.progress.guard.borrow().as_ref().is_some_and(|guard| guard.may_send()) {
            self.progress.refused.set(true);
            return Err(io::Error::new(ErrorKind::ConnectionAborted, "the attempt may not begin any more"));
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
            Ok(_) => {
                Err(io::Error::new(ErrorKind::ConnectionReset, "closed, or unread bytes of another response"))
            }
        }
    }

    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Ok(written)) if written > 0 => self.progress.begun.set(true),
            Poll::Ready(Err(_)) => self.progress.broken.set(true),
            _ => {}
        }
        result
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context, buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let capacity = buffer.remaining();
        let result = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        let read = buffer.filled().len() - filled_before;
        let progress = &self.progress;
        progress.broken.set(result.is_err() || (read == 0 && capacity > 0));
        progress.response_bytes.set(progress.response_bytes.get() + read);
        if progress.response_bytes.get() > progress.max_response_bytes.get() {
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, "the response is too long")));
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.check_first_byte()?;
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context, slices: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.check_first_byte()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        let progress = &self.progress;
        progress.fully_sent.set(progress.begun.get() && progress.body_complete.get());
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
