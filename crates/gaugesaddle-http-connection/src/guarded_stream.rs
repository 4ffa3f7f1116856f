//! A socket to a backend that tracks the progress of the current request and its response.

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

/// Maximum number of bytes on the wire that are read of a buffered response. The factor allows for the overhead of chunked
/// encoding with the smallest chunks and for preceding 1xx responses, which count too.
pub const MAX_RESPONSE_BYTES: usize = 8 * BUFFERED_BODY_BYTES;

/// Decides, right before the first byte of a request is written, whether the request may still be sent.
pub trait SendGuard {
    /// Whether the request may be sent now.
    fn may_send(&self) -> bool;
}

/// The state of a connection since the start of the current request.
#[derive(Default)]
pub struct RequestProgress {
    /// Whether any byte of the request was written to the socket, after which the request may be executed.
    pub begun: Cell<bool>,
    /// Whether the last byte of the request was written. Set when hyper flushes the socket, which it does only after its
    /// buffer is empty.
    pub fully_sent: Cell<bool>,
    /// Whether the backend has closed the connection, or the connection has failed.
    pub broken: Cell<bool>,
    /// Whether the complete client body was passed to hyper.
    pub body_complete: Cell<bool>,
    /// Whether the client aborted its body, which is no failure of the backend.
    pub client_aborted: Cell<bool>,
    /// Whether the guard refused the request; no byte of it was written.
    pub refused: Cell<bool>,
    /// Maximum number of response bytes to read.
    pub max_response_bytes: Cell<usize>,
    /// Number of response bytes read so far.
    response_bytes: Cell<usize>,
    /// The guard of the current request; without a guard, no request is sent.
    guard: RefCell<Option<Rc<dyn SendGuard>>>,
}

impl RequestProgress {
    /// Sets the guard of the next request.
    pub fn set_guard(&self, guard: Rc<dyn SendGuard>) {
        *self.guard.borrow_mut() = Some(guard);
    }

    /// Resets the state for the next request. `body_complete` states whether its body is already available completely.
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

/// A socket that consults the guard before the first byte of each request.
pub(crate) struct GuardedStream {
    stream: TcpStream,
    pub(crate) progress: Rc<RequestProgress>,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream) -> GuardedStream {
        GuardedStream { stream, progress: Rc::default() }
    }

    /// Refuses the first byte of a request that may no longer be sent, or on a connection that is closed or has unread
    /// bytes. Unread bytes cannot belong to the response to this request, but an HTTP/1.1 response does not identify
    /// its request and they would be taken for it. The socket itself is checked, since the runtime may not have
    /// received the bytes yet.
    fn check_first_byte(&self) -> io::Result<()> {
        if self.progress.begun.get() {
            return Ok(());
        }
        if !self.progress.guard.borrow().as_ref().is_some_and(|guard| guard.may_send()) {
            self.progress.refused.set(true);
            return Err(io::Error::new(
                ErrorKind::ConnectionAborted,
                "request not sent: the send guard refused it",
            ));
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
            Ok(_) => {
                Err(io::Error::new(ErrorKind::ConnectionReset, "connection closed, or unread response bytes"))
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
            return Poll::Ready(Err(io::Error::new(
                ErrorKind::InvalidData,
                "the response exceeds the limit on its size",
            )));
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
