//! Client of the gateways of another region: persistent HTTP/2 connections over mutual TLS. Each forwarded request has
//! exactly one result.

use super::headers::{CLOCK, DEADLINE, DURATION, FULL, OUTCOME, VIA};
use crate::clock::Clock;
use crate::serving::body::CallBody;
use crate::serving::exchange::{Call, BODY_BYTES, REMAINING_TIME};
use bytes::Bytes;
use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_federation::{
    ClockSample, EndpointSelector, HopResult, RemoteClock, RemoteOutcome, RemoteTime, Transmission,
    Unavailable, Via,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use rustls::pki_types::ServerName;
use rustls::ClientConfig;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio_rustls::TlsConnector;

/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum duration of a failure to connect after which another gateway is tried. A connection to an address without a
/// listener fails within this time; an unresponsive gateway takes longer, and no other one is tried then.
const MAX_FAST_FAILURE: Micros = Micros(50_000);
/// Maximum number of connections tried for a request that remains unsent because the gateway closes the connection: one
/// that was idle when keys changed, and two that the gateway accepted with keys that have changed again meanwhile.
const MAX_CONNECTIONS_PER_HOP: u32 = 3;
/// Interval of HTTP/2 pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a ping acknowledgement after which a connection is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of a response body. Each response is buffered, so memory grows with the requests in flight.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Maximum size of a response's head.
const MAX_HEAD_BYTES: u32 = 16 << 10;

type Sender = SendRequest<Full<Bytes>>;

/// Runs the tasks of HTTP/2 on this thread.
#[derive(Clone, Copy)]
pub struct LocalExecutor;

impl<F: Future + 'static> hyper::rt::Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        tokio::task::spawn_local(async move { drop(future.await) });
    }
}

/// The keys in use for connections to other regions, and the number of changes since the start.
#[derive(Clone)]
pub struct ClientKeys {
    pub config: Arc<ClientConfig>,
    pub generation: u64,
}

/// A connection to a gateway, with the estimate of that gateway's clock.
#[derive(Clone)]
struct OpenConnection {
    sender: Sender,
    generation: u64,
    remote_clock: Rc<Cell<RemoteClock>>,
}

/// One gateway and the connection to it.
struct Gateway {
    address: SocketAddr,
    connection: Mutex<Option<OpenConnection>>,
}

/// The gateways of one region.
pub struct RemoteGateways {
    clock: Clock,
    /// Name that the gateways' certificates must be valid for.
    name: ServerName<'static>,
    /// The same name as the authority of requests.
    host: String,
    gateways: Vec<Gateway>,
    selector: RefCell<EndpointSelector>,
    keys: Rc<RefCell<ClientKeys>>,
}

/// A request to be forwarded to another region.
pub struct Hop<'a> {
    pub call: &'a Call,
    pub body: Bytes,
    /// The regions that it has passed through, including this one.
    pub via: &'a Via,
    /// Time available to the other region, counted from the start of the hop.
    pub remaining: Micros,
    /// Time by the local clock at which the hop must have ended.
    pub deadline: Time,
}

/// A hop without a response; records whether the request may have been received.
#[derive(Clone, Copy)]
struct HopFailure {
    transmission: Transmission,
}

impl HopFailure {
    const NOT_SENT: HopFailure = HopFailure { transmission: Transmission::NotStarted };
    const MAY_BE_SENT: HopFailure = HopFailure { transmission: Transmission::Started };

    fn result(self, duration: Micros) -> HopResult {
        let outcome = RemoteOutcome::of_connection_failure(self.transmission);
        HopResult { outcome, duration, remote_duration: None, retry_after: None, link_failed: true }
    }
}

/// Result of a request to one gateway.
enum GatewayResult {
    Answered(HopResult, Option<Response<Bytes>>),
    /// The gateway has not received the request, or rejected it for lack of budget: another gateway may accept it.
    Unavailable(Unavailable),
    Failed(HopFailure),
}

impl RemoteGateways {
    /// `first`: index of the first address to use; it differs between proxies, so that together they use all addresses.
    /// Returns `None` if the certificate name is not a valid server name.
    pub fn new(
        clock: Clock, certificate_name: &str, addresses: Vec<SocketAddr>, first: usize,
        keys: Rc<RefCell<ClientKeys>>,
    ) -> Option<RemoteGateways> {
        let name = ServerName::try_from(certificate_name.to_string()).ok()?;
        let selector = EndpointSelector::new(addresses.len());
        let gateway = |n: usize| {
            let address = *addresses.get((first + n) % addresses.len().max(1))?;
            Some(Gateway { address, connection: Mutex::default() })
        };
        let gateways = (0..selector.connections()).map(gateway).collect::<Option<_>>()?;
        let (host, selector) = (certificate_name.into(), RefCell::new(selector));
        Some(RemoteGateways { clock, name, host, gateways, selector, keys })
    }

    /// Returns a connection established with the present keys, with a current estimate of the gateway's clock, which a
    /// deadline requires. Connections with earlier keys close once their requests have ended. A connection that the
    /// gateway closes immediately is returned as well: no request is sent over it.
    async fn connection(&self, gateway: usize) -> Result<OpenConnection, HopFailure> {
        let gateway = &self.gateways[gateway];
        let mut slot = gateway.connection.lock().await;
        let keys = self.keys.borrow().clone();
        let is_usable = |c: &OpenConnection| c.generation == keys.generation && !c.sender.is_closed();
        if let Some(mut connection) = slot.take().filter(is_usable) {
            let is_current = connection.remote_clock.get().is_current(self.clock.now());
            if is_current || self.read_clock(&mut connection).await {
                *slot = Some(connection.clone());
                return Ok(connection);
            }
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect(gateway.address, &keys));
        let sender = connecting.await.ok().flatten().ok_or(HopFailure::NOT_SENT)?;
        let generation = keys.generation;
        let mut connection = OpenConnection { sender, generation, remote_clock: Rc::default() };
        if self.read_clock(&mut connection).await {
            *slot = Some(connection.clone());
        } else if !connection.sender.is_closed() {
            let Gateway { address, .. } = gateway;
            tracing::warn!("region {}: {address}: the gateway did not report its clock", self.host);
            return Err(HopFailure::NOT_SENT);
        }
        Ok(connection)
    }

    async fn connect(&self, address: SocketAddr, keys: &ClientKeys) -> Option<Sender> {
        let failed = |e: &dyn std::fmt::Display| tracing::warn!("region {}: {address}: {e}", self.host);
        let stream = TcpStream::connect(address).await.inspect_err(|e| failed(e)).ok()?;
        let _ = stream.set_nodelay(true);
        let connector = TlsConnector::from(keys.config.clone());
        let stream = connector.connect(self.name.clone(), stream).await.inspect_err(|e| failed(e)).ok()?;
        let mut http = http2::Builder::new(LocalExecutor);
        http.timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true)
            .max_header_list_size(MAX_HEAD_BYTES);
        let handshake = http.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.inspect_err(|e| failed(e)).ok()?;
        tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                tracing::debug!("connection to a gateway of another region closed: {e}");
            }
        });
        Some(sender)
    }

    /// Requests a reading of the gateway's clock; returns whether one was received.
    async fn read_clock(&self, connection: &mut OpenConnection) -> bool {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::OPTIONS;
        *request.uri_mut() = uri(&self.host, "/");
        request.headers_mut().insert(CLOCK, HeaderValue::from_static("0"));
        let sent_at = self.clock.now();
        let sender = &mut connection.sender;
        let exchange = async {
            sender.ready().await.ok()?;
            sender.send_request(request).await.ok()
        };
        let answer = tokio::time::timeout(CONNECT_TIMEOUT, exchange).await.ok().flatten();
        answer.is_some_and(|answer| self.record_clock(&connection.remote_clock, sent_at, answer.headers()))
    }

    /// Records the clock reading in a gateway's response; returns whether it has one.
    fn record_clock(&self, clock: &Cell<RemoteClock>, sent_at: Time, headers: &HeaderMap) -> bool {
        let reading = headers.get(CLOCK).and_then(|value| RemoteTime::parse(value.as_bytes()));
        let Some(reading) = reading else { return false };
        let mut estimate = clock.get();
        estimate.record(ClockSample { sent_at, received_at: self.clock.now(), reading });
        clock.set(estimate);
        true
    }

    /// Forwards a request to the region and returns its result, with the response if a backend there served it. The next
    /// gateway is tried if one did not receive the request or has no budget for it.
    pub async fn send(&self, hop: &Hop<'_>) -> (HopResult, Option<Response<Bytes>>) {
        let began = self.clock.now();
        let (mut attempted, mut last) = (0, None);
        loop {
            let now = self.clock.now();
            let selected = self.selector.borrow_mut().select(now, attempted);
            let Some(gateway) = selected else { return (self.unavailable(now, began, last), None) };
            attempted |= 1 << gateway;
            match self.send_to(gateway, hop, began).await {
                GatewayResult::Answered(result, answer) => return (result, answer),
                GatewayResult::Failed(failure) => return (failure.result(self.clock.now() - began), None),
                GatewayResult::Unavailable(reason) => {
                    let now = self.clock.now();
                    self.selector.borrow_mut().mark_unavailable(now, gateway, reason);
                    last = Some(reason);
                    if reason == Unavailable::Full && now >= hop.deadline {
                        return (not_executed(now - began, None), None);
                    }
                }
            }
        }
    }

    /// Returns the result where no gateway is available. Gateways without budget do not count as a failure of the link,
    /// since their budget is renewed soon.
    fn unavailable(&self, now: Time, began: Time, last: Option<Unavailable>) -> HopResult {
        let full_for = self.selector.borrow().shortest_full_backoff(now);
        match (last, full_for) {
            (Some(Unavailable::Unreachable), None) => HopFailure::NOT_SENT.result(now - began),
            _ => not_executed(now - began, full_for),
        }
    }

    async fn send_to(&self, gateway: usize, hop: &Hop<'_>, began: Time) -> GatewayResult {
        let sent_at = self.clock.now();
        let transmission = Cell::new(Transmission::NotStarted);
        let exchange = self.exchange(gateway, hop, began, &transmission);
        match tokio::time::timeout_at(self.clock.instant(hop.deadline), exchange).await {
            Ok(Ok(answer)) => self.read_answer(sent_at, answer),
            Ok(Err(HopFailure { transmission: Transmission::NotStarted }))
                if self.clock.now() - sent_at < MAX_FAST_FAILURE =>
            {
                GatewayResult::Unavailable(Unavailable::Unreachable)
            }
            Ok(Err(failure)) => GatewayResult::Failed(failure),
            Err(_) => GatewayResult::Failed(HopFailure { transmission: transmission.get() }),
        }
    }

    /// Reads a gateway's response, and removes the headers that are not for clients.
    fn read_answer(&self, sent_at: Time, mut answer: Response<Bytes>) -> GatewayResult {
        let duration = self.clock.now() - sent_at;
        let headers = answer.headers_mut();
        let outcome = headers.remove(OUTCOME);
        let outcome = RemoteOutcome::from_header(outcome.as_ref().map(HeaderValue::as_bytes));
        let remote_duration = take_number(headers, DURATION).map(|us| Micros(us).min(duration));
        headers.remove(CLOCK);
        if headers.remove(FULL).is_some() && outcome == RemoteOutcome::NotExecuted {
            return GatewayResult::Unavailable(Unavailable::Full);
        }
        let retry_after = headers.get(RETRY_AFTER).and_then(number);
        let retry_after = retry_after.filter(|_| outcome == RemoteOutcome::NotExecuted);
        let retry_after = retry_after.map(|s| Micros(s.saturating_mul(1_000_000)));
        let result = HopResult { outcome, duration, remote_duration, retry_after, link_failed: false };
        GatewayResult::Answered(result, (outcome == RemoteOutcome::Executed).then_some(answer))
    }

    /// Sends a request to one gateway and reads the complete response.
    async fn exchange(
        &self, gateway: usize, hop: &Hop<'_>, began: Time, transmission: &Cell<Transmission>,
    ) -> Result<Response<Bytes>, HopFailure> {
        let mut connections = 0;
        loop {
            connections += 1;
            let mut connection = self.connection(gateway).await?;
            let is_ready = connection.sender.ready().await.is_ok();
            // Measured after the connection is ready, since it may have had to be established.
            let sent_at = self.clock.now();
            let deadline = connection.remote_clock.get().deadline(sent_at, hop.deadline);
            let sent = match deadline.filter(|_| is_ready) {
                Some(deadline) => {
                    transmission.set(Transmission::Started);
                    let remaining = Micros(hop.remaining.0.saturating_sub((sent_at - began).0));
                    let request = request(&self.host, hop, remaining, deadline);
                    connection.sender.try_send_request(request).await.map_err(|mut e| {
                        // Not sent if hyper returns the request, or if the gateway rejected it before processing.
                        let is_sent = e.take_message().is_none() && !is_refused_stream(e.error());
                        HopFailure { transmission: Transmission::started_if(is_sent) }
                    })
                }
                // The connection is closed, or the deadline precedes the start of the gateway's clock.
                None => Err(HopFailure::NOT_SENT),
            };
            let answer = match sent {
                Ok(answer) => answer,
                // The gateway closed the connection before this request was sent, for example because of new keys.
                Err(HopFailure { transmission: Transmission::NotStarted })
                    if connections < MAX_CONNECTIONS_PER_HOP =>
                {
                    transmission.set(Transmission::NotStarted);
                    continue;
                }
                Err(failure) => return Err(failure),
            };
            let (mut head, body): (_, Incoming) = answer.into_parts();
            self.record_clock(&connection.remote_clock, sent_at, &head.headers);
            // A truncated response must not be passed on as complete, although the request may have been executed.
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|_| HopFailure::MAY_BE_SENT)?;
            gaugesaddle_http_connection::strip_connection_headers(&mut head.headers);
            return Ok(Response::from_parts(head, body.to_bytes()));
        }
    }
}

fn not_executed(duration: Micros, retry_after: Option<Micros>) -> HopResult {
    let outcome = RemoteOutcome::NotExecuted;
    HopResult { outcome, duration, remote_duration: None, retry_after, link_failed: false }
}

fn number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}

fn take_number(headers: &mut HeaderMap, name: HeaderName) -> Option<u64> {
    headers.remove(name).as_ref().and_then(number)
}

/// Whether the stream was reset with REFUSED_STREAM: such a request was not processed (RFC 9113, section 8.7).
fn is_refused_stream(e: &hyper::Error) -> bool {
    let mut source = std::error::Error::source(e);
    while let Some(e) = source {
        if let Some(e) = e.downcast_ref::<h2::Error>() {
            return e.reason() == Some(h2::Reason::REFUSED_STREAM);
        }
        source = e.source();
    }
    false
}

fn uri(host: &str, path: &str) -> Uri {
    Uri::builder().scheme("https").authority(host).path_and_query(path).build().unwrap_or_default()
}

fn request(host: &str, hop: &Hop, remaining: Micros, deadline: RemoteTime) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(hop.body.clone()));
    let head = &hop.call.head;
    *request.method_mut() = head.method().clone();
    *request.uri_mut() = uri(host, head.uri().path_and_query().map_or("/", |path| path.as_str()));
    *request.headers_mut() = head.headers().clone();
    let headers = request.headers_mut();
    // Values set by a client are not forwarded.
    for name in [OUTCOME, FULL, DURATION, VIA, CLOCK] {
        headers.remove(name);
    }
    headers.insert(REMAINING_TIME, HeaderValue::from(remaining.0 / 1000));
    headers.insert(DEADLINE, HeaderValue::from(deadline.header_value()));
    if let Ok(via) = HeaderValue::from_str(&hop.via.header_value()) {
        headers.insert(VIA, via);
    }
    request
}

/// Returns the body of a request that may be forwarded, which must be buffered and of limited size.
pub fn forwardable_body(call: &Call) -> Option<Bytes> {
    match &call.body {
        CallBody::Buffered(bytes) if bytes.len() <= BODY_BYTES => Some(bytes.clone()),
        _ => None,
    }
}
