//! HTTP/1.1 to backends: connection pooling, and attempts with one outcome each.

use crate::clock::{duration, Clock};
use crate::operations::registry::Registry;
use crate::serving::body::{Chunk, Payload, RequestBody, MAX_BODY_BYTES, STALL_TIMEOUT};
use crate::serving::completeness::{CompletenessCheck, LAST_EVENT_ID};
use crate::serving::exchange::{
    AttemptResult, Call, ListedBackend, LocalFuture, SendGate, SendWindow, Upstream, Upstreams, BODY_BYTES,
    REMAINING_TIME,
};
use bytes::{Bytes, BytesMut};
use gaugesaddle_balancer::{BackendState, Micros, Outcome, Time};
use gaugesaddle_http_connection::{
    is_out_of_descriptors, strip_connection_headers, Connection, CountedPermit, SendGuard,
};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH};
use hyper::{Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Maximum size of an answer's head.
const MAX_HEAD_BYTES: usize = 16 << 10;
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Number of chunks of an answer, of one read each, that are buffered for a slow client; more would waste memory.
const BUFFERED_CHUNKS: usize = 1;
/// Fraction of the backends' own idle time-out after which the proxy closes an idle connection: a request that is
/// written while the backend closes it would end as a reset.
const IDLE_LIMIT_FRACTION: f64 = 0.75;

/// One process of a backend with its idle connections. A restarted backend has another one, so that no connection to the old
/// process is used.
pub struct BackendProcess {
    target: ListedBackend,
    pool: Rc<Pool>,
    open: Rc<Cell<bool>>,
    idle: RefCell<Vec<(Time, PooledConnection)>>,
}

impl BackendProcess {
    pub fn new(target: ListedBackend, pool: Rc<Pool>) -> BackendProcess {
        let open = Rc::new(Cell::new(target.backend.state == BackendState::Ready));
        BackendProcess { target, pool, open, idle: RefCell::default() }
    }
}

impl Upstream for BackendProcess {
    fn target(&self) -> &ListedBackend {
        &self.target
    }
    fn is_open(&self) -> bool {
        self.open.get()
    }
    fn open(&self) {
        self.open.set(true);
    }
    fn close(&self) {
        self.open.set(false);
        self.idle.borrow_mut().clear();
    }
    fn sweep(self: Rc<Self>) -> LocalFuture<()> {
        Box::pin(async move { self.pool.sweep(&self).await })
    }
    fn attempt(self: Rc<Self>, call: Rc<Call>, window: SendWindow) -> LocalFuture<AttemptResult> {
        Box::pin(async move { self.pool.attempt(&self, call, window).await })
    }
}

/// Upstreams over HTTP/1.1.
pub struct Http1(pub Rc<Pool>);

impl Upstreams for Http1 {
    fn create(&self, target: ListedBackend) -> Rc<dyn Upstream> {
        Rc::new(BackendProcess::new(target, self.0.clone()))
    }
    fn is_full(&self) -> bool {
        self.0.is_full()
    }
    fn close_idlest(&self) -> bool {
        self.0.close_idlest()
    }
    fn sockets(&self) -> usize {
        self.0.sockets.get()
    }
}

/// A connection that counts against the limit of upstream sockets.
type PooledConnection = Connection<RequestBody, CountedPermit>;

/// The connections to all backends.
pub struct Pool {
    clock: Clock,
    dial_timeout: Micros,
    idle_limit: Micros,
    sockets: Rc<Cell<usize>>,
    /// The idle connections of all backends, the longest idle first, so that it is found without a search. Entries of
    /// connections that were used since are stale.
    idle_order: RefCell<VecDeque<(Time, Weak<BackendProcess>)>>,
    registry: Rc<Registry>,
}

/// Stale entries are removed when there are more than this many entries per socket.
const IDLE_ORDER_ENTRIES_PER_SOCKET: usize = 8;

impl Pool {
    /// The registry's limits apply to its sockets, idle ones included.
    pub fn new(clock: Clock, dial_timeout: Micros, conn_idle: Micros, registry: Rc<Registry>) -> Pool {
        let idle_limit = conn_idle.times(IDLE_LIMIT_FRACTION);
        Pool {
            clock,
            dial_timeout,
            idle_limit,
            sockets: Rc::default(),
            idle_order: RefCell::default(),
            registry,
        }
    }

    /// Closes the connections that have been idle for too long, or that the other side has closed.
    async fn sweep(&self, upstream: &BackendProcess) {
        let mut candidates = std::mem::take(&mut *upstream.idle.borrow_mut());
        let oldest = Time(self.clock.now().0.saturating_sub(self.idle_limit.0));
        candidates.retain(|(since, _)| *since > oldest);
        // The limit is lower while two processes share the descriptors.
        while self.sockets.get() > self.registry.bounds().upstream_sockets && candidates.pop().is_some() {}
        for (since, mut connection) in candidates {
            if connection.is_reusable().await && upstream.open.get() {
                upstream.idle.borrow_mut().push((since, connection));
            }
        }
    }

    /// Adds an idle connection.
    fn add_idle(&self, upstream: &Rc<BackendProcess>, connection: PooledConnection) {
        let now = self.clock.now();
        upstream.idle.borrow_mut().push((now, connection));
        let mut order = self.idle_order.borrow_mut();
        order.push_back((now, Rc::downgrade(upstream)));
        if order.len() > IDLE_ORDER_ENTRIES_PER_SOCKET * self.registry.bounds().upstream_sockets {
            order.retain(|(since, process)| {
                process.upgrade().is_some_and(|n| n.idle.borrow().iter().any(|l| l.0 == *since))
            });
        }
    }

    /// Closes the connection that has been idle longest.
    fn close_idlest(&self) -> bool {
        let mut order = self.idle_order.borrow_mut();
        while let Some((since, process)) = order.pop_front() {
            let Some(process) = process.upgrade() else { continue };
            let mut idle = process.idle.borrow_mut();
            if let Some(at) = idle.iter().position(|l| l.0 == since) {
                idle.remove(at);
                return true;
            }
        }
        false
    }

    /// Whether all sockets are in use.
    fn is_full(&self) -> bool {
        self.sockets.get() >= self.registry.bounds().upstream_sockets
    }

    /// The pooled connection that was used last, if the backend has not closed it.
    async fn pooled(&self, upstream: &BackendProcess) -> Option<PooledConnection> {
        loop {
            let (since, mut connection) = upstream.idle.borrow_mut().pop()?;
            if self.clock.now() - since < self.idle_limit && connection.is_reusable().await {
                return Some(connection);
            }
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<PooledConnection, Outcome> {
        if self.is_full() {
            return Err(Outcome::NeverSent); // a lack of sockets at this proxy is not a failure of the backend
        }
        let permit = CountedPermit::acquire(&self.sockets);
        let dialled = tokio::time::timeout(duration(self.dial_timeout), TcpStream::connect(to)).await;
        let stream = match dialled {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if is_out_of_descriptors(&e) => return Err(Outcome::NeverSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let _ = stream.set_nodelay(true);
        PooledConnection::open(stream, MAX_HEAD_BYTES, permit).await.map_err(|_| Outcome::ConnectFailed)
    }

    /// Sends one attempt. It runs to its outcome or is dropped, which closes its connection.
    async fn attempt(
        self: &Rc<Pool>, upstream: &Rc<BackendProcess>, call: Rc<Call>, window: SendWindow,
    ) -> AttemptResult {
        let (open, clock) = (upstream.open.clone(), self.clock);
        let gate = Rc::new(SendGate { open, call: call.clone(), window, clock });
        loop {
            let pooled = self.pooled(upstream).await;
            let fresh = pooled.is_none();
            let connection = match pooled {
                Some(connection) => Ok(connection),
                None => self.connect(upstream.target.address).await,
            };
            let mut connection = match connection {
                Ok(connection) => connection,
                Err(outcome) => return outcome.into(),
            };
            // The connection checks the gate, too, but only after the body was taken, and a streamed body can be taken
            // only once.
            if !gate.may_send() {
                return Outcome::NeverSent.into();
            }
            connection.progress.set_guard(gate.clone());
            let remaining_ms = (window.deadline - self.clock.now()).0 / 1000;
            // An earlier attempt has taken a body that can be sent only once; this one was not sent.
            let Some(upload) = call.body.upload(&connection.progress) else {
                return Outcome::NeverSent.into();
            };
            let request = request(&call, upload, remaining_ms);
            return match connection.with_sender(async |sender| exchange(sender, request).await).await {
                Ok(Exchanged::Complete(result)) => {
                    self.return_to_pool(upstream, connection).await;
                    result
                }
                Ok(Exchanged::Streaming { head, buffered, rest }) => {
                    let (to, chunks) = mpsc::channel(BUFFERED_CHUNKS);
                    let mut answer = response_of(head, Payload::Streaming(buffered, chunks));
                    if let Some(length) = rest.body.size_hint().exact() {
                        let length = HeaderValue::from(rest.transferred + length);
                        answer.headers_mut().insert(CONTENT_LENGTH, length);
                    }
                    tokio::task::spawn_local(self.clone().relay_response(
                        upstream.clone(),
                        connection,
                        rest,
                        to,
                    ));
                    AttemptResult { outcome: Outcome::Ok, answer: Some(answer) }
                }
                Err(()) if connection.progress.client_aborted.get() => Outcome::NeverSent.into(),
                Err(()) if connection.progress.refused.get() && !connection.progress.begun.get() => {
                    Outcome::NeverSent.into()
                }
                // The pooled connection closed, or received unexpected bytes, before a byte of the request was written: the
                // attempt has not begun.
                Err(()) if !fresh && !connection.progress.begun.get() && call.body.is_buffered() => continue,
                Err(()) if !connection.progress.fully_sent.get() => Outcome::ConnectFailed.into(),
                Err(()) if connection.progress.broken.get() => Outcome::Reset.into(),
                // An unusable answer counts as an error.
                Err(()) => Outcome::Error.into(),
            };
        }
    }
}

impl Pool {
    /// Returns a connection to the pool if it is reusable.
    async fn return_to_pool(&self, upstream: &Rc<BackendProcess>, mut connection: PooledConnection) {
        if connection.is_reusable().await && upstream.open.get() {
            self.add_idle(upstream, connection);
        }
    }

    /// Relays the rest of an answer. It stops early if the answer is incomplete or too long, or if either side stalls,
    /// which the client can detect.
    async fn relay_response(
        self: Rc<Pool>, upstream: Rc<BackendProcess>, mut connection: PooledConnection, rest: BodyRest,
        to: mpsc::Sender<Chunk>,
    ) {
        let BodyRest { mut body, mut transferred, mut completeness } = rest;
        // From here on the length of the body is limited, no longer that of the bytes with their framing.
        connection.progress.max_response_bytes.set(usize::MAX);
        loop {
            let chunk = match tokio::time::timeout(STALL_TIMEOUT, connection.next_frame(&mut body)).await {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => {
                        transferred += bytes.len() as u64;
                        completeness.push(&bytes);
                        Chunk::Data(bytes)
                    }
                    Err(_) => continue, // trailers
                },
                Ok(None) if completeness.is_complete() => Chunk::End,
                Ok(None | Some(Err(_))) | Err(_) => return,
            };
            let end = matches!(chunk, Chunk::End);
            if transferred > MAX_BODY_BYTES
                || !matches!(tokio::time::timeout(STALL_TIMEOUT, to.send(chunk)).await, Ok(Ok(())))
            {
                return;
            }
            if end {
                return self.return_to_pool(&upstream, connection).await;
            }
        }
    }
}

fn request(call: &Call, upload: RequestBody, remaining_ms: u64) -> Request<RequestBody> {
    let mut request = Request::new(upload);
    *request.method_mut() = call.head.method().clone();
    *request.uri_mut() = call.head.uri().clone();
    *request.headers_mut() = call.head.headers().clone();
    request.headers_mut().insert(REMAINING_TIME, HeaderValue::from(remaining_ms));
    request
}

/// The result of an exchange.
enum Exchanged {
    Complete(AttemptResult),
    /// A successful answer whose body is not complete yet.
    Streaming {
        head: hyper::http::response::Parts,
        buffered: Bytes,
        rest: BodyRest,
    },
}

/// The part of a successful answer's body that was not received yet.
struct BodyRest {
    body: Incoming,
    /// Number of bytes received before it.
    transferred: u64,
    completeness: CompletenessCheck,
}

/// Sends the request and reads the answer, in full or as far as it is buffered.
async fn exchange(
    sender: &mut SendRequest<RequestBody>, request: Request<RequestBody>,
) -> Result<Exchanged, ()> {
    let has_earlier_events = request.headers().contains_key(LAST_EVENT_ID);
    let answer = sender.send_request(request).await.map_err(|_| ())?;
    let (head, mut body) = answer.into_parts();
    // An answer that is announced as too long need not be read.
    if body.size_hint().lower() > MAX_BODY_BYTES {
        return Err(());
    }
    let mut completeness = CompletenessCheck::new(&head, &body, has_earlier_events);
    // An answer that is not too long is buffered in full before a byte of it is forwarded: a truncated answer must not
    // reach the client as a successful one.
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(bytes) = frame.map_err(|_| ())?.into_data() {
            completeness.push(&bytes);
            buffered.extend_from_slice(&bytes);
        }
        if buffered.len() > BODY_BYTES {
            if head.status != StatusCode::OK || !completeness.is_end_detectable() {
                return Err(());
            }
            let rest = BodyRest { body, transferred: buffered.len() as u64, completeness };
            return Ok(Exchanged::Streaming { head, buffered: buffered.freeze(), rest });
        }
    }
    let body = Payload::Buffered(buffered.freeze());
    let not_run = || head.headers.get(&UNPROCESSED).is_some_and(|v| v.as_bytes() == b"1");
    Ok(Exchanged::Complete(match head.status {
        StatusCode::OK if !completeness.is_complete() => Outcome::Reset.into(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run() => Outcome::Full.into(),
        // The request is at fault, at any backend: its client gets this answer, and it does not count against the
        // backend. Not so 429, which would guarantee to the client that nothing was executed.
        status if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS => {
            AttemptResult { outcome: Outcome::Cancelled, answer: Some(response_of(head, body)) }
        }
        StatusCode::OK => AttemptResult { outcome: Outcome::Ok, answer: Some(response_of(head, body)) },
        _ => Outcome::Error.into(),
    }))
}

fn response_of(mut head: hyper::http::response::Parts, body: Payload) -> Response<Payload> {
    strip_connection_headers(&mut head.headers);
    Response::from_parts(head, body)
}

#[cfg(test)]
mod tests;
