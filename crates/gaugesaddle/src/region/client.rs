//! The link to another region: a few long HTTP/2 connections over mutual TLS, and one hop to one end.

use super::{CLOCK, DEADLINE, FATE, FULL, PATH, TOOK};
use crate::clock::Clock;
use crate::exchange::{Call, BODY_BYTES, TIME_LEFT};
use bytes::Bytes;
use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_federation::{
    ClockSample, EndpointSelector, HopResult, RemoteClock, RemoteOutcome, RemoteTime, Transmission,
    Unavailable, Via,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::header::{HeaderValue, RETRY_AFTER};
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

/// A connection that is not up after this time counts as failed.
const DIAL: Duration = Duration::from_millis(1_500);
/// A connection that can't be had is known within this time where nobody is there; one that hangs takes longer, and is not
/// followed by another.
const QUICK: Micros = Micros(50_000);
/// A request that was not sent, since the gateway closed the connection, uses up to so many: one that was idle when keys
/// changed, and two that the gateway made with keys that changed again meanwhile.
const MAX_CONNECTIONS_TRIED: u32 = 3;
/// A connection that answers no ping for so long is dead, however alive it looks: pinged each second.
const PING: Duration = Duration::from_secs(1);
const PING_PATIENCE: Duration = Duration::from_millis(1_500);
/// An answer over a hop is held whole up to this size. As many as may be in flight are held at once.
pub const ANSWER_BYTES: usize = 1 << 20;
/// A head from a gateway.
const HEAD_BYTES: u32 = 16 << 10;

type Sender = SendRequest<Full<Bytes>>;

/// Runs the futures of HTTP/2 on this thread.
#[derive(Clone, Copy)]
pub struct Here;

impl<F: Future + 'static> hyper::rt::Executor<F> for Here {
    fn execute(&self, future: F) {
        tokio::task::spawn_local(async move { drop(future.await) });
    }
}

/// The keys in use, and how often they have changed.
#[derive(Clone)]
pub struct Keys {
    pub client: Arc<ClientConfig>,
    pub generation: u64,
}

/// A connection to a gateway, with what is known of that gateway's clock.
#[derive(Clone)]
struct Held {
    sender: Sender,
    generation: u64,
    remote_clock: Rc<Cell<RemoteClock>>,
}

/// What a request carries beside what its client sent.
struct HopHeaders<'a> {
    via: &'a Via,
    remaining: Micros,
    /// Its deadline by the local clock.
    deadline: Time,
}

/// The way to one gateway.
struct Way {
    address: SocketAddr,
    held: Mutex<Option<Held>>,
}

/// The connections to one region.
pub struct Peer {
    clock: Clock,
    /// Its certificate's name, and the name that is used for it in requests.
    name: ServerName<'static>,
    host: String,
    ways: Vec<Way>,
    gates: RefCell<EndpointSelector>,
    keys: Rc<RefCell<Keys>>,
}

/// No answer: whether the request may have reached the other side.
struct Lost {
    begun: bool,
}

impl Peer {
    /// `from`: with which of its addresses to begin, for all proxies together use them all.
    pub fn new(
        clock: Clock, certificate_name: &str, addresses: Vec<SocketAddr>, from: usize,
        keys: Rc<RefCell<Keys>>,
    ) -> Option<Peer> {
        let name = ServerName::try_from(certificate_name.to_string()).ok()?;
        let gates = EndpointSelector::new(addresses.len());
        let way = |n: usize| {
            let address = *addresses.get((from + n) % addresses.len().max(1))?;
            Some(Way { address, held: Mutex::default() })
        };
        let ways = (0..gates.connections()).map(way).collect::<Option<_>>()?;
        Some(Peer { clock, name, host: certificate_name.into(), ways, gates: RefCell::new(gates), keys })
    }

    /// A connection with the present keys, over which a deadline can be given; those with earlier keys end by themselves once
    /// what is on them has ended. One that the gateway closes at once is returned all the same: it sends nothing.
    async fn connection(&self, way: usize) -> Result<Held, Lost> {
        let way = &self.ways[way];
        let mut held = way.held.lock().await;
        let keys = self.keys.borrow().clone();
        let kept = held.take().filter(|h| h.generation == keys.generation && !h.sender.is_closed());
        if let Some(mut kept) = kept {
            if kept.remote_clock.get().is_current(self.clock.now()) || self.read_clock(&mut kept).await {
                *held = Some(kept.clone());
                return Ok(kept);
            }
        }
        let sender = tokio::time::timeout(DIAL, self.dial(way.address, &keys)).await.ok().flatten();
        let sender = sender.ok_or(Lost { begun: false })?;
        let mut fresh = Held { sender, generation: keys.generation, remote_clock: Rc::default() };
        if self.read_clock(&mut fresh).await {
            *held = Some(fresh.clone());
        } else if !fresh.sender.is_closed() {
            tracing::warn!("region {}: {}: the gateway does not report its clock", self.host, way.address);
            return Err(Lost { begun: false });
        }
        Ok(fresh)
    }

    /// Reads the gateway's clock; whether that succeeded.
    async fn read_clock(&self, held: &mut Held) -> bool {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::OPTIONS;
        *request.uri_mut() = uri(&self.host, "/");
        request.headers_mut().insert(CLOCK, HeaderValue::from_static("0"));
        let sent_at = self.clock.now();
        let sender = &mut held.sender;
        let exchange = async {
            sender.ready().await.ok()?;
            sender.send_request(request).await.ok()
        };
        let answer = tokio::time::timeout(DIAL, exchange).await.ok().flatten();
        answer
            .is_some_and(|answer| self.record_clock(&held.remote_clock, sent_at, answer.headers().get(CLOCK)))
    }

    /// Takes the reading of a gateway's answer into account, where it has one.
    fn record_clock(&self, clock: &Cell<RemoteClock>, sent_at: Time, reading: Option<&HeaderValue>) -> bool {
        let Some(reading) = reading.and_then(|value| RemoteTime::parse(value.as_bytes())) else {
            return false;
        };
        let mut known = clock.get();
        known.record(ClockSample { sent_at, received_at: self.clock.now(), reading });
        clock.set(known);
        true
    }

    async fn dial(&self, address: SocketAddr, keys: &Keys) -> Option<Sender> {
        let failed = |e: &dyn std::fmt::Display| tracing::warn!("region {}: {address}: {e}", self.host);
        let stream = TcpStream::connect(address).await.inspect_err(|e| failed(e)).ok()?;
        let _ = stream.set_nodelay(true);
        let connector = TlsConnector::from(keys.client.clone());
        let stream = connector.connect(self.name.clone(), stream).await.inspect_err(|e| failed(e)).ok()?;
        let mut http = http2::Builder::new(Here);
        http.timer(TokioTimer::new())
            .keep_alive_interval(PING)
            .keep_alive_timeout(PING_PATIENCE)
            .keep_alive_while_idle(true)
            .max_header_list_size(HEAD_BYTES);
        let (sender, connection) =
            http.handshake(TokioIo::new(stream)).await.inspect_err(|e| failed(e)).ok()?;
        tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                tracing::debug!("a connection to another region ended: {e}");
            }
        });
        Some(sender)
    }

    /// One hop to its end, which comes by `until`. With the answer, if a backend there served it. What a gateway never
    /// saw, or has no place for, goes to the next.
    pub async fn hop(
        &self, call: &Call, body: Bytes, path: &Via, told: Micros, until: Time,
    ) -> (HopResult, Option<Response<Bytes>>) {
        let began = self.clock.now();
        let end = |outcome, retry_after, link_failed| {
            let duration = self.clock.now() - began;
            HopResult { outcome, duration, remote_duration: None, retry_after, link_failed }
        };
        let failed = |begun| {
            let transmission = Transmission::started_if(begun);
            end(RemoteOutcome::of_connection_failure(transmission), None, true)
        };
        let (mut tried, mut seen) = (0, None);
        loop {
            let now = self.clock.now();
            let way = self.gates.borrow_mut().select(now, tried);
            let Some(way) = way else {
                // Full everywhere: no failure of the link, and soon there is a place again.
                let again = self.gates.borrow().full_for(now);
                return match (seen, again) {
                    (Some(Unavailable::Unreachable), None) => (failed(false), None),
                    _ => (end(RemoteOutcome::NotExecuted, again, false), None),
                };
            };
            tried |= 1 << way;
            let begun = Cell::new(false);
            let headers = HopHeaders { via: path, remaining: told, deadline: until };
            let asked = self.ask(way, (call, &body), &headers, began, &begun);
            let ended = tokio::time::timeout_at(self.clock.instant(until), asked).await;
            let mut answer = match ended {
                Ok(Ok(answer)) => answer,
                Ok(Err(Lost { begun: false })) if self.clock.now() - now < QUICK => {
                    self.gates.borrow_mut().mark_unavailable(now, way, Unavailable::Unreachable);
                    seen = Some(Unavailable::Unreachable);
                    continue;
                }
                Ok(Err(lost)) => return (failed(lost.begun), None),
                Err(_) => return (failed(begun.get()), None),
            };
            let number =
                |value: Option<&HeaderValue>| value.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
            // Between gateways only: no client sees them.
            let headers = answer.headers_mut();
            let fate = RemoteOutcome::from_header(
                headers.remove(FATE).as_ref().map(hyper::http::HeaderValue::as_bytes),
            );
            headers.remove(CLOCK);
            if headers.remove(FULL).is_some() && fate == RemoteOutcome::NotExecuted {
                let now = self.clock.now();
                self.gates.borrow_mut().mark_unavailable(now, way, Unavailable::Full);
                seen = Some(Unavailable::Full);
                if now < until {
                    continue;
                }
                return (end(RemoteOutcome::NotExecuted, None, false), None);
            }
            let took = self.clock.now() - now;
            let there = number(headers.remove(TOOK).as_ref()).map(|us| Micros(us).min(took));
            let after = number(headers.get(RETRY_AFTER)).map(|s| Micros(s.saturating_mul(1_000_000)));
            let retry_after = after.filter(|_| fate == RemoteOutcome::NotExecuted);
            let end = HopResult {
                outcome: fate,
                duration: took,
                remote_duration: there,
                retry_after,
                link_failed: false,
            };
            return (end, (fate == RemoteOutcome::Executed).then_some(answer));
        }
    }

    /// Sends a request, whose remaining time counts from `began`, over one connection, and reads the whole answer.
    async fn ask(
        &self, way: usize, (call, body): (&Call, &Bytes), headers: &HopHeaders<'_>, began: Time,
        begun: &Cell<bool>,
    ) -> Result<Response<Bytes>, Lost> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let mut held = self.connection(way).await?;
            let ready = held.sender.ready().await;
            // Only now: a connection may have had to come up.
            let now = self.clock.now();
            let remaining = Micros(headers.remaining.0.saturating_sub((now - began).0));
            let deadline = held.remote_clock.get().deadline(now, headers.deadline);
            let sent = match (ready, deadline) {
                (Ok(()), Some(deadline)) => {
                    begun.set(true);
                    let request = request(&self.host, call, body.clone(), headers.via, remaining, deadline);
                    held.sender.try_send_request(request).await.map_err(|mut e| {
                        // It was given back unsent, or refused by the other side before it was looked at.
                        Lost { begun: e.take_message().is_none() && !is_refused(e.error()) }
                    })
                }
                // Closed, or the deadline was over before the gateway accepted the connection.
                _ => Err(Lost { begun: false }),
            };
            let answer = match sent {
                Ok(answer) => answer,
                // The other side closed it for its own reasons, new keys say, before this request: another will do.
                Err(Lost { begun: false }) if attempts < MAX_CONNECTIONS_TRIED => {
                    begun.set(false);
                    continue;
                }
                Err(lost) => return Err(lost),
            };
            let (mut head, body): (_, Incoming) = answer.into_parts();
            self.record_clock(&held.remote_clock, now, head.headers.get(CLOCK));
            // Broken in the middle it must not look whole; it has run all the same.
            let body = Limited::new(body, ANSWER_BYTES).collect().await.map_err(|_| Lost { begun: true })?;
            gaugesaddle_http_connection::strip_connection_headers(&mut head.headers);
            return Ok(Response::from_parts(head, body.to_bytes()));
        }
    }
}

/// RFC 9113, 8.7: a stream that was refused was not processed at all.
fn is_refused(e: &hyper::Error) -> bool {
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

fn request(
    host: &str, call: &Call, body: Bytes, path: &Via, told: Micros, deadline: RemoteTime,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = call.head.method().clone();
    *request.uri_mut() = uri(host, call.head.uri().path_and_query().map_or("/", |p| p.as_str()));
    *request.headers_mut() = call.head.headers().clone();
    let headers = request.headers_mut();
    headers.insert(TIME_LEFT, HeaderValue::from(told.0 / 1000));
    // Whatever a client wrote there is none of it.
    headers.remove(FATE);
    headers.remove(FULL);
    headers.remove(TOOK);
    headers.remove(PATH);
    headers.remove(CLOCK);
    headers.insert(DEADLINE, HeaderValue::from(deadline.header_value()));
    if let Ok(path) = HeaderValue::from_str(&path.header_value()) {
        headers.insert(PATH, path);
    }
    request
}

/// What may leave: a body that is held whole and small.
pub fn body_of(call: &Call) -> Option<Bytes> {
    match &call.body {
        crate::body::CallBody::Whole(bytes) if bytes.len() <= BODY_BYTES => Some(bytes.clone()),
        _ => None,
    }
}
