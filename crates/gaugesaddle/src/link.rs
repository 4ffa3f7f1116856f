//! A connection to a backend, driven only by whoever uses it: dropping it closes the socket at once.

use crate::wire::{Progress, Wire};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// An HTTP/1.1 connection that sends bodies of type `B` and holds a place of type `S` while it is open.
pub struct Link<B: Body + 'static, S> {
    sender: SendRequest<B>,
    driving: Pin<Box<Connection<TokioIo<Wire>, B>>>,
    pub progress: Rc<Progress>,
    /// The connection has run to its end.
    ended: bool,
    _place: S,
}

impl<B, S> Link<B, S>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Over an open socket; heads are read up to `head_bytes`.
    pub async fn open(stream: TcpStream, head_bytes: usize, place: S) -> Result<Link<B, S>, hyper::Error> {
        let _ = stream.set_nodelay(true);
        let wire = Wire::new(stream);
        let progress = wire.progress.clone();
        let (sender, connection) =
            http1::Builder::new().max_buf_size(head_bytes).handshake(TokioIo::new(wire)).await?;
        Ok(Link { sender, driving: Box::pin(connection), progress, ended: false, _place: place })
    }

    /// Runs the connection as far as it goes without waiting.
    pub fn poll_driving(&mut self, cx: &mut Context) {
        if !self.ended {
            self.ended = self.driving.as_mut().poll(cx).is_ready();
        }
    }

    /// Runs what uses the sender while running the connection, whose own end shows in what that gets.
    pub async fn with_sender<T>(&mut self, f: impl AsyncFnOnce(&mut SendRequest<B>) -> T) -> T {
        let Link { sender, driving, ended, .. } = self;
        let mut using = std::pin::pin!(f(sender));
        poll_fn(|cx| {
            if !*ended {
                *ended = driving.as_mut().poll(cx).is_ready();
            }
            using.as_mut().poll(cx)
        })
        .await
    }

    /// The next piece of an answer that is passed on; `None`: its end.
    pub async fn frame(&mut self, body: &mut Incoming) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        poll_fn(|cx| {
            self.poll_driving(cx);
            Pin::new(&mut *body).poll_frame(cx)
        })
        .await
    }

    /// Whether it can take a request: the other side has not closed it and the last answer is done. An ended
    /// connection is never run again; waiting on it would hold a good answer back until the deadline.
    pub async fn alive(&mut self) -> bool {
        if !self.ended {
            self.ended = poll_fn(|cx| Poll::Ready(self.driving.as_mut().poll(cx).is_ready())).await;
        }
        !self.ended && self.sender.is_ready()
    }
}
