//! A client's socket. Its orderly close is the end of a response without a length, so it is closed by a reset while such a
//! response is incomplete, however the process ends.

use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a close of the socket would end the current response.
#[derive(Clone, Default)]
pub struct CloseDelimitedResponse(Rc<Cell<bool>>);

impl CloseDelimitedResponse {
    /// Records that a response has begun whose end is the close of the socket. The server closes the socket after it.
    pub fn begin(&self) {
        self.0.set(true);
    }
}

/// A client's socket. It is closed by a reset from the first byte of a close-delimited response until the server shuts it
/// down, which the server does only after a complete response.
pub struct ClientStream {
    stream: TcpStream,
    response: CloseDelimitedResponse,
    resets_on_close: bool,
}

impl ClientStream {
    /// Wraps a connected socket; `response` is shared with the service that responds on it.
    pub fn new(stream: TcpStream, response: CloseDelimitedResponse) -> ClientStream {
        ClientStream { stream, response, resets_on_close: false }
    }

    /// Sets the way in which the socket is closed, if the response requires a change.
    fn update_close_mode(&mut self) -> io::Result<()> {
        let resets_on_close = self.response.0.get();
        if self.resets_on_close == resets_on_close {
            return Ok(());
        }
        let linger = resets_on_close.then_some(Duration::ZERO);
        SockRef::from(&self.stream).set_linger(linger)?;
        self.resets_on_close = resets_on_close;
        Ok(())
    }
}

impl Drop for ClientStream {
    /// A response may break off before its first byte was written.
    fn drop(&mut self) {
        let _ = self.update_close_mode();
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context, buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.update_close_mode()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context, slices: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.update_close_mode()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        self.response.0.set(false);
        self.update_close_mode()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
