//! Connections to backends: the pool, and one attempt to one outcome.

use crate::clock::{duration, Clock};
use crate::discovery::Target;
use beechworks::{BackendState, Micros, Outcome, Time};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// The most that a body holds, either way.
pub const BODY_BYTES: usize = 64 << 10;
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Part of the backend's own limit after which an idle connection is closed from this side: a request
/// written while the backend closes it would end as a reset.
const IDLE_PART: f64 = 0.75;

/// What goes to a backend, the same in every attempt but for the time left.
pub struct Call {
    pub head: Request<()>,
    pub body: Bytes,
}

/// How an attempt ended, with the answer if it was served.
pub struct Ended {
    pub outcome: Outcome,
    pub answer: Option<Response<Bytes>>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended { outcome, answer: None }
    }
}

/// One process of a backend: a restart makes a new one, so that no connection to the old is used.
pub struct Upstream {
    pub target: Target,
    /// New requests may go to it; asked again before the first byte of each.
    pub open: Cell<bool>,
    idle: RefCell<Vec<(Time, Link)>>,
}

impl Upstream {
    pub fn new(target: Target) -> Upstream {
        let open = Cell::new(target.backend.state == BackendState::Ready);
        Upstream { target, open, idle: RefCell::default() }
    }

    /// Closes an idle connection, if there is one.
    pub fn give_way(&self) -> bool {
        self.idle.borrow_mut().pop().is_some()
    }

    /// Nothing new goes to it from now on.
    pub fn shut(&self) {
        self.open.set(false);
        self.idle.borrow_mut().clear();
    }
}

/// What has been done with a connection since the present request was given to it.
#[derive(Default)]
struct Progress {
    /// Some byte was handed to the socket.
    begun: Cell<bool>,
    /// The last byte was: hyper flushes the socket only after its buffer is empty.
    whole: Cell<bool>,
}

/// A socket that tells how far the request has come: what was not handed over whole has never run.
struct Wire {
    io: TokioIo<TcpStream>,
    progress: Rc<Progress>,
}

impl Wire {
    fn note(&self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(wrote, Poll::Ready(Ok(n)) if n > 0) {
            self.progress.begun.set(true);
        }
        wrote
    }
}

impl Read for Wire {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write(cx, buf);
        self.note(wrote)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context, bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.note(wrote)
    }
    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.progress.whole.set(self.progress.begun.get());
        Pin::new(&mut self.io).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// A connection, driven only by the attempt that uses it: dropping it closes the socket at once.
struct Link {
    sender: SendRequest<Full<Bytes>>,
    driving: Pin<Box<Connection<Wire, Full<Bytes>>>>,
    progress: Rc<Progress>,
    /// The connection has run to its end.
    ended: bool,
    _slot: Slot,
}

impl Link {
    /// Sends the request and reads the whole answer while running the connection, whose own end shows in what
    /// the exchange gets.
    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Ended, ()> {
        self.progress.begun.set(false);
        self.progress.whole.set(false);
        let mut exchange = std::pin::pin!(exchange(&mut self.sender, request));
        poll_fn(|cx| {
            if !self.ended {
                self.ended = self.driving.as_mut().poll(cx).is_ready();
            }
            exchange.as_mut().poll(cx)
        })
        .await
    }

    /// Whether it can take a request: the other side has not closed it and the last answer is done. An ended
    /// connection is never run again; waiting on it would hold a good answer back until the deadline.
    async fn alive(&mut self) -> bool {
        if !self.ended {
            self.ended = poll_fn(|cx| Poll::Ready(self.driving.as_mut().poll(cx).is_ready())).await;
        }
        !self.ended && self.sender.is_ready()
    }
}

/// One of the sockets that backends may take.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What all attempts share.
pub struct Pool {
    pub clock: Clock,
    pub dial_timeout: Micros,
    idle_limit: Micros,
    sockets: Rc<Cell<usize>>,
    most: usize,
}

impl Pool {
    /// `most`: sockets that it may hold, idle ones included.
    pub fn new(clock: Clock, dial_timeout: Micros, conn_idle: Micros, most: usize) -> Pool {
        Pool { clock, dial_timeout, idle_limit: conn_idle.times(IDLE_PART), sockets: Rc::default(), most }
    }

    /// Closes the connections that have stood idle for too long, or that the other side has closed.
    pub async fn sweep(&self, upstream: &Upstream) {
        let mut kept = std::mem::take(&mut *upstream.idle.borrow_mut());
        let oldest = Time(self.clock.now().0.saturating_sub(self.idle_limit.0));
        kept.retain(|(since, _)| *since > oldest);
        for (since, mut link) in kept {
            if link.alive().await && upstream.open.get() {
                upstream.idle.borrow_mut().push((since, link));
            }
        }
    }

    /// All sockets are taken: an idle one has to go before another is opened.
    pub fn is_full(&self) -> bool {
        self.sockets.get() >= self.most
    }

    /// The pooled connection that was used last, if the backend has not closed it.
    async fn pooled(&self, upstream: &Upstream) -> Option<Link> {
        loop {
            let (since, mut link) = upstream.idle.borrow_mut().pop()?;
            if self.clock.now() - since < self.idle_limit && link.alive().await {
                return Some(link);
            }
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Link, Outcome> {
        if self.is_full() {
            return Err(Outcome::NeverSent); // our own want of sockets says nothing against the backend
        }
        self.sockets.set(self.sockets.get() + 1);
        let slot = Slot(self.sockets.clone());
        let dialled = tokio::time::timeout(duration(self.dial_timeout), TcpStream::connect(to)).await;
        let stream = match dialled {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_descriptors(&e) => return Err(Outcome::NeverSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let _ = stream.set_nodelay(true);
        let progress = Rc::new(Progress::default());
        let wire = Wire { io: TokioIo::new(stream), progress: progress.clone() };
        let (sender, connection) = http1::handshake(wire).await.map_err(|_| Outcome::ConnectFailed)?;
        Ok(Link { sender, driving: Box::pin(connection), progress, ended: false, _slot: slot })
    }

    /// One attempt. It ends by itself or is dropped, which closes its connection.
    pub async fn attempt(&self, upstream: &Upstream, call: &Call, deadline: Time) -> Ended {
        loop {
            let pooled = self.pooled(upstream).await;
            let fresh = pooled.is_none();
            let link = match pooled {
                Some(link) => Ok(link),
                None => self.connect(upstream.target.address).await,
            };
            let mut link = match link {
                Ok(link) => link,
                Err(outcome) => return outcome.into(),
            };
            // The backend may have been told to drain while the connection came up.
            if !upstream.open.get() {
                return Outcome::NeverSent.into();
            }
            let left = (deadline - self.clock.now()).0 / 1000;
            return match link.exchange(request(call, left)).await {
                Ok(ended) => {
                    if link.alive().await && upstream.open.get() {
                        upstream.idle.borrow_mut().push((self.clock.now(), link));
                    }
                    ended
                }
                // A pooled connection that closed before a byte was written: the attempt has not begun.
                Err(()) if !fresh && !link.progress.begun.get() => continue,
                Err(()) if !link.progress.whole.get() => Outcome::ConnectFailed.into(),
                Err(()) => Outcome::Reset.into(),
            };
        }
    }
}

/// EMFILE or ENFILE.
pub fn out_of_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(23 | 24))
}

fn request(call: &Call, left: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method().clone();
    *request.uri_mut() = call.head.uri().clone();
    *request.headers_mut() = call.head.headers().clone();
    request.headers_mut().insert(TIME_LEFT, HeaderValue::from(left));
    request
}

/// Sends the request and reads the whole answer.
async fn exchange(sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>) -> Result<Ended, ()> {
    let answer = sender.send_request(request).await.map_err(|_| ())?;
    let (mut head, body) = answer.into_parts();
    let framed = is_framed(&head.headers);
    // Whole before a byte of it goes on: a broken answer must not reach the client as a good one.
    let body = Limited::new(body, BODY_BYTES).collect().await.map_err(|_| ())?.to_bytes();
    let unseen = || head.headers.get(&UNPROCESSED).is_some_and(|v| v.as_bytes() == b"1");
    Ok(match head.status {
        // Where only the end of the connection ends the body, a short answer looks like a whole one.
        StatusCode::OK if !framed => Outcome::Reset.into(),
        StatusCode::OK => {
            strip(&mut head.headers);
            Ended { outcome: Outcome::Ok, answer: Some(Response::from_parts(head, body)) }
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen() => Outcome::Full.into(),
        _ => Outcome::Error.into(),
    })
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(hyper::header::CONTENT_LENGTH)
        || headers.contains_key(hyper::header::TRANSFER_ENCODING)
}

/// Takes out what concerns one connection only.
pub fn strip(headers: &mut HeaderMap) {
    use hyper::header::*;
    for named in headers.get_all(CONNECTION).iter().cloned().collect::<Vec<_>>() {
        for name in named.to_str().unwrap_or("").split(',') {
            if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
                headers.remove(name);
            }
        }
    }
    for name in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH, TE, TRAILER, UPGRADE] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("expect");
}
