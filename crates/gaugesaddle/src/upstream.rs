//! HTTP/1.1 to backends: pooled connections, and one attempt to one outcome.

use crate::body::{ends_with_connection, Payload, Piece, Upload, MOST_BYTES, STALL};
use crate::clock::{duration, Clock};
use crate::exchange::{Call, Ended, Gate, Local, Span, Target, Upstream, Upstreams, BODY_BYTES, TIME_LEFT};
use crate::registry::Registry;
use bytes::{Bytes, BytesMut};
use gaugesaddle_balancer::{BackendState, Micros, Outcome, Time};
use gaugesaddle_http_connection::{
    is_out_of_descriptors, strip_connection_headers, Connection, CountedPermit, SendGuard,
};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH};
use hyper::{Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// A head is read up to this size.
const HEAD_BYTES: usize = 16 << 10;
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Pieces of an answer, of up to a read each, that wait for a slow client; more would be memory for nothing.
const PIECES: usize = 1;
/// Part of the backend's own limit after which an idle connection is closed from this side: a request
/// written while the backend closes it would end as a reset.
const IDLE_PART: f64 = 0.75;

/// One process of a backend: a restart makes a new one, so that no connection to the old is used.
pub struct Node {
    target: Target,
    pool: Rc<Pool>,
    open: Rc<Cell<bool>>,
    idle: RefCell<Vec<(Time, Link)>>,
}

impl Node {
    pub fn new(target: Target, pool: Rc<Pool>) -> Node {
        let open = Rc::new(Cell::new(target.backend.state == BackendState::Ready));
        Node { target, pool, open, idle: RefCell::default() }
    }
}

impl Upstream for Node {
    fn target(&self) -> &Target {
        &self.target
    }
    fn is_open(&self) -> bool {
        self.open.get()
    }
    fn open(&self) {
        self.open.set(true);
    }
    fn shut(&self) {
        self.open.set(false);
        self.idle.borrow_mut().clear();
    }
    fn sweep(self: Rc<Self>) -> Local<()> {
        Box::pin(async move { self.pool.sweep(&self).await })
    }
    fn attempt(self: Rc<Self>, call: Rc<Call>, span: Span) -> Local<Ended> {
        Box::pin(async move { self.pool.attempt(&self, call, span).await })
    }
}

/// Speaks HTTP/1.1 to every node.
pub struct Http1(pub Rc<Pool>);

impl Upstreams for Http1 {
    fn make(&self, target: Target) -> Rc<dyn Upstream> {
        Rc::new(Node::new(target, self.0.clone()))
    }
    fn is_full(&self) -> bool {
        self.0.is_full()
    }
    fn give_way(&self) -> bool {
        self.0.give_way()
    }
    fn sockets(&self) -> usize {
        self.0.sockets.get()
    }
}

/// A connection that counts among the sockets.
type Link = Connection<Upload, CountedPermit>;

/// What all attempts share.
pub struct Pool {
    clock: Clock,
    dial_timeout: Micros,
    idle_limit: Micros,
    sockets: Rc<Cell<usize>>,
    /// Whose connection was put aside, the oldest first: one look finds it, however many backends are listed. Those that
    /// were used since stand there in vain.
    aside: RefCell<VecDeque<(Time, Weak<Node>)>>,
    registry: Rc<Registry>,
}

/// Entries in vain that are looked for when there are so many for each socket.
const ASIDE_FOR_EACH: usize = 8;

impl Pool {
    /// The registry's bounds say how many sockets it may hold, idle ones included.
    pub fn new(clock: Clock, dial_timeout: Micros, conn_idle: Micros, registry: Rc<Registry>) -> Pool {
        let idle_limit = conn_idle.times(IDLE_PART);
        Pool { clock, dial_timeout, idle_limit, sockets: Rc::default(), aside: RefCell::default(), registry }
    }

    /// Closes the connections that have stood idle for too long, or that the other side has closed.
    async fn sweep(&self, upstream: &Node) {
        let mut kept = std::mem::take(&mut *upstream.idle.borrow_mut());
        let oldest = Time(self.clock.now().0.saturating_sub(self.idle_limit.0));
        kept.retain(|(since, _)| *since > oldest);
        // What two processes share may have become less.
        while self.sockets.get() > self.registry.bounds().upstream_sockets && kept.pop().is_some() {}
        for (since, mut link) in kept {
            if link.is_reusable().await && upstream.open.get() {
                upstream.idle.borrow_mut().push((since, link));
            }
        }
    }

    /// Puts a connection aside for the next request.
    fn put_aside(&self, upstream: &Rc<Node>, link: Link) {
        let now = self.clock.now();
        upstream.idle.borrow_mut().push((now, link));
        let mut aside = self.aside.borrow_mut();
        aside.push_back((now, Rc::downgrade(upstream)));
        if aside.len() > ASIDE_FOR_EACH * self.registry.bounds().upstream_sockets {
            aside.retain(|(since, node)| {
                node.upgrade().is_some_and(|n| n.idle.borrow().iter().any(|l| l.0 == *since))
            });
        }
    }

    /// Closes the one that has been idle longest.
    fn give_way(&self) -> bool {
        let mut aside = self.aside.borrow_mut();
        while let Some((since, node)) = aside.pop_front() {
            let Some(node) = node.upgrade() else { continue };
            let mut idle = node.idle.borrow_mut();
            if let Some(at) = idle.iter().position(|l| l.0 == since) {
                idle.remove(at);
                return true;
            }
        }
        false
    }

    /// All sockets are taken: an idle one has to go before another is opened.
    fn is_full(&self) -> bool {
        self.sockets.get() >= self.registry.bounds().upstream_sockets
    }

    /// The pooled connection that was used last, if the backend has not closed it.
    async fn pooled(&self, upstream: &Node) -> Option<Link> {
        loop {
            let (since, mut link) = upstream.idle.borrow_mut().pop()?;
            if self.clock.now() - since < self.idle_limit && link.is_reusable().await {
                return Some(link);
            }
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Link, Outcome> {
        if self.is_full() {
            return Err(Outcome::NeverSent); // our own want of sockets says nothing against the backend
        }
        let slot = CountedPermit::acquire(&self.sockets);
        let dialled = tokio::time::timeout(duration(self.dial_timeout), TcpStream::connect(to)).await;
        let stream = match dialled {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if is_out_of_descriptors(&e) => return Err(Outcome::NeverSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let _ = stream.set_nodelay(true);
        Link::open(stream, HEAD_BYTES, slot).await.map_err(|_| Outcome::ConnectFailed)
    }

    /// One attempt. It ends by itself or is dropped, which closes its connection.
    async fn attempt(self: &Rc<Pool>, upstream: &Rc<Node>, call: Rc<Call>, span: Span) -> Ended {
        let (open, clock) = (upstream.open.clone(), self.clock);
        let gate = Rc::new(Gate { open, call: call.clone(), span, clock });
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
            // The socket asks as well, but only after the body is taken, and one that is passed on can be taken once.
            if !gate.may_send() {
                return Outcome::NeverSent.into();
            }
            link.progress.set_guard(gate.clone());
            let left = (span.deadline - self.clock.now()).0 / 1000;
            // An earlier attempt has had what can be sent once only, and it never ran.
            let Some(upload) = call.body.upload(&link.progress) else { return Outcome::NeverSent.into() };
            let request = request(&call, upload, left);
            return match link.with_sender(async |sender| exchange(sender, request).await).await {
                Ok(Exchanged::Whole(ended)) => {
                    self.keep(upstream, link).await;
                    ended
                }
                Ok(Exchanged::Held(head, first, body)) => {
                    let (to, pieces) = mpsc::channel(PIECES);
                    let mut answer = pass_on(head, Payload::Passing(first.clone(), pieces));
                    let held = first.len() as u64;
                    if let Some(rest) = body.size_hint().exact() {
                        answer.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(held + rest));
                    }
                    tokio::task::spawn_local(self.clone().pass(upstream.clone(), link, body, held, to));
                    Ended { outcome: Outcome::Ok, answer: Some(answer) }
                }
                // A pooled connection that closed, or brought more than its answer, before a byte was written:
                // the attempt has not begun.
                Err(()) if link.progress.client_aborted.get() => Outcome::NeverSent.into(),
                Err(()) if link.progress.refused.get() && !link.progress.begun.get() => {
                    Outcome::NeverSent.into()
                }
                Err(()) if !fresh && !link.progress.begun.get() && call.body.is_whole() => continue,
                Err(()) if !link.progress.fully_sent.get() => Outcome::ConnectFailed.into(),
                Err(()) if link.progress.broken.get() => Outcome::Reset.into(),
                // It answers, though nothing that can be used: as much against it as an error.
                Err(()) => Outcome::Error.into(),
            };
        }
    }
}

impl Pool {
    /// Back among the idle, if it is of use.
    async fn keep(&self, upstream: &Rc<Node>, mut link: Link) {
        if link.is_reusable().await && upstream.open.get() {
            self.put_aside(upstream, link);
        }
    }

    /// Passes the rest of an answer on. Ends before its end where it breaks, is too long, or one side stands still;
    /// its client can tell by that.
    async fn pass(
        self: Rc<Pool>, upstream: Rc<Node>, mut link: Link, mut body: Incoming, mut passed: u64,
        to: mpsc::Sender<Piece>,
    ) {
        // From here on the body is counted, and no longer what frames it.
        link.progress.max_response_bytes.set(usize::MAX);
        loop {
            let piece = match tokio::time::timeout(STALL, link.next_frame(&mut body)).await {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => {
                        passed += bytes.len() as u64;
                        Piece::Data(bytes)
                    }
                    Err(_) => continue, // trailers
                },
                Ok(None) => Piece::End,
                Ok(Some(Err(_))) | Err(_) => return,
            };
            let end = matches!(piece, Piece::End);
            if passed > MOST_BYTES || !matches!(tokio::time::timeout(STALL, to.send(piece)).await, Ok(Ok(())))
            {
                return;
            }
            if end {
                return self.keep(&upstream, link).await;
            }
        }
    }
}

fn request(call: &Call, upload: Upload, left: u64) -> Request<Upload> {
    let mut request = Request::new(upload);
    *request.method_mut() = call.head.method().clone();
    *request.uri_mut() = call.head.uri().clone();
    *request.headers_mut() = call.head.headers().clone();
    request.headers_mut().insert(TIME_LEFT, HeaderValue::from(left));
    request
}

/// What an exchange brought.
enum Exchanged {
    Whole(Ended),
    /// A good answer, of which more is to come than is held.
    Held(hyper::http::response::Parts, Bytes, Incoming),
}

/// Sends the request and reads the answer, whole or as far as it is held.
async fn exchange(sender: &mut SendRequest<Upload>, request: Request<Upload>) -> Result<Exchanged, ()> {
    let answer = sender.send_request(request).await.map_err(|_| ())?;
    let (head, mut body) = answer.into_parts();
    // What is said to be too long need not be read to be known as such.
    if body.size_hint().lower() > MOST_BYTES {
        return Err(());
    }
    // Where only the end of the connection ends the body, a short answer looks like a whole one: its backend must
    // have said that it ends so.
    let framed = is_framed(&head.headers) || ends_with_connection(&head.headers);
    // Whole, if it is not too long for that, before a byte of it goes on: a broken answer must not reach the client
    // as a good one.
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(bytes) = frame.map_err(|_| ())?.into_data() {
            held.extend_from_slice(&bytes);
        }
        if held.len() > BODY_BYTES {
            let good = head.status == StatusCode::OK && framed;
            return if good { Ok(Exchanged::Held(head, held.freeze(), body)) } else { Err(()) };
        }
    }
    let body = Payload::Whole(held.freeze());
    let unseen = || head.headers.get(&UNPROCESSED).is_some_and(|v| v.as_bytes() == b"1");
    Ok(Exchanged::Whole(match head.status {
        StatusCode::OK if !framed => Outcome::Reset.into(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen() => Outcome::Full.into(),
        // The request is at fault and would be anywhere: its client is told so, and nothing is held against the
        // backend. But 429 would promise the client that nothing ran.
        status if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS => {
            Ended { outcome: Outcome::Cancelled, answer: Some(pass_on(head, body)) }
        }
        StatusCode::OK => Ended { outcome: Outcome::Ok, answer: Some(pass_on(head, body)) },
        _ => Outcome::Error.into(),
    }))
}

fn pass_on(mut head: hyper::http::response::Parts, body: Payload) -> Response<Payload> {
    strip_connection_headers(&mut head.headers);
    Response::from_parts(head, body)
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(hyper::header::CONTENT_LENGTH)
        || headers.contains_key(hyper::header::TRANSFER_ENCODING)
}

#[cfg(test)]
#[path = "upstream/tests.rs"]
mod tests;
