//! A connection to a backend that is driven only by its owner: dropping it closes the socket immediately.

use crate::guarded_stream::{GuardedStream, RequestProgress};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

type Driver<B> = Pin<Box<http1::Connection<TokioIo<GuardedStream>, B>>>;

/// An HTTP/1.1 connection that sends bodies of type `B` and owns a permit of type `P` while it is open.
pub struct Connection<B: Body + 'static, P> {
    sender: SendRequest<B>,
    driver: Driver<B>,
    /// The progress of the current request.
    pub progress: Rc<RequestProgress>,
    /// Whether the driver has completed; it must not be polled again then.
    ended: bool,
    _permit: P,
}

impl<B, P> Connection<B, P>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Starts HTTP/1.1 on a connected socket. `max_head_bytes` limits the size of a response head.
    ///
    /// # Errors
    /// The errors of `hyper`'s handshake.
    pub async fn open(
        stream: TcpStream, max_head_bytes: usize, permit: P,
    ) -> Result<Connection<B, P>, hyper::Error> {
        let _ = stream.set_nodelay(true);
        let stream = GuardedStream::new(stream);
        let progress = stream.progress.clone();
        let (sender, driver) =
            http1::Builder::new().max_buf_size(max_head_bytes).handshake(TokioIo::new(stream)).await?;
        Ok(Connection { sender, driver: Box::pin(driver), progress, ended: false, _permit: permit })
    }

    /// Drives the connection as far as possible without blocking.
    pub fn poll_drive(&mut self, context: &mut Context) {
        if !self.ended {
            self.ended = self.driver.as_mut().poll(context).is_ready();
        }
    }

    /// Runs `use_sender` while driving the connection. The end of the connection is visible in the result of `use_sender`.
    pub async fn with_sender<T>(&mut self, use_sender: impl AsyncFnOnce(&mut SendRequest<B>) -> T) -> T {
        let Connection { sender, driver, ended, .. } = self;
        let mut using = std::pin::pin!(use_sender(sender));
        poll_fn(|context| {
            if !*ended {
                *ended = driver.as_mut().poll(context).is_ready();
            }
            using.as_mut().poll(context)
        })
        .await
    }

    /// The next frame of a response body; `None` at its end.
    pub async fn next_frame(&mut self, body: &mut Incoming) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        poll_fn(|context| {
            self.poll_drive(context);
            Pin::new(&mut *body).poll_frame(context)
        })
        .await
    }

    /// Whether the connection can send another request: the backend has not closed it and the last response is complete.
    ///
    /// A completed driver is never polled again: it would not wake its caller, and a valid response would be delayed until
    /// its deadline.
    pub async fn is_reusable(&mut self) -> bool {
        if !self.ended {
            self.ended = poll_fn(|context| Poll::Ready(self.driver.as_mut().poll(context).is_ready())).await;
        }
        !self.ended && self.sender.is_ready()
    }
}
