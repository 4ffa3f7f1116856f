//! The gateway: accepts requests from other regions. A peer is accepted if its certificate is that of a configured region;
//! its requests are submitted to the same driver and balancer as those of clients.

use super::headers::{CLOCK, DEADLINE, DURATION, FULL, OUTCOME, VIA};
use super::regions::Regions;
use super::remote_gateways::LocalExecutor;
use super::tls;
use crate::clock::duration;
use crate::serving::body::{CallBody, ResponseBody};
use crate::serving::exchange::{Answer, BODY_BYTES};
use crate::serving::request_rules::RequestAttributes;
use crate::serving::server::{text_response, Server};
use gaugesaddle_balancer::{Effect, Micros, Time};
use gaugesaddle_federation::{
    outcome_of_rejection, remaining_at_gateway, DeadlineError, RemoteOutcome, RemoteTime, Via,
};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;

/// Timeout of the TLS handshake, during which a peer occupies a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading a request's body, counted from its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent requests on one connection; the budgets limit them further.
const MAX_STREAMS: u32 = 1024;
/// Maximum size of a request's head.
const MAX_HEAD_BYTES: u32 = 16 << 10;
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval of HTTP/2 pings, and the time without an acknowledgement after which the peer is disconnected.
const PING_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a drain checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Micros = Micros(5_000);
/// `Retry-After` of a rejection for lack of capacity, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Counts a connection; released on drop.
struct ConnectionSlot(Rc<Regions>);

impl ConnectionSlot {
    fn acquire(regions: &Rc<Regions>) -> ConnectionSlot {
        let connections = &regions.gateway.connections;
        connections.set(connections.get() + 1);
        ConnectionSlot(regions.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let connections = &self.0.gateway.connections;
        connections.set(connections.get() - 1);
    }
}

/// A request that occupies a part of a sender's budget; released on drop.
struct BudgetSlot {
    regions: Rc<Regions>,
    sender: usize,
}

impl Drop for BudgetSlot {
    fn drop(&mut self) {
        self.regions.inbound.borrow_mut()[self.sender].budget.release();
    }
}

/// Why a request was rejected before it was submitted to the driver; it was not executed.
#[derive(Clone, Copy, Debug)]
enum HopRejection {
    /// It is malformed, has already passed through this region, or has no valid deadline.
    Invalid(&'static str),
    /// No local backend is available.
    NotReady,
    /// This gateway's allocation of the sender's budget is used up.
    OverBudget,
    /// Its client may have received its response already.
    DeadlinePassed,
}

impl HopRejection {
    fn response(self) -> Response<ResponseBody> {
        let (status, text) = match self {
            HopRejection::Invalid(text) => (StatusCode::BAD_REQUEST, text),
            HopRejection::NotReady => (StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            HopRejection::OverBudget => (StatusCode::SERVICE_UNAVAILABLE, "over the region's budget"),
            HopRejection::DeadlinePassed => (StatusCode::SERVICE_UNAVAILABLE, "its deadline had passed"),
        };
        let mut response = text_response(status, text);
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(RemoteOutcome::NotExecuted.header_value()));
        if let HopRejection::OverBudget = self {
            headers.insert(FULL, HeaderValue::from_static("1"));
        }
        if let HopRejection::NotReady | HopRejection::OverBudget = self {
            headers.insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
        }
        response
    }
}

/// Accepts connections from other regions until the program ends.
pub async fn serve(regions: Rc<Regions>, server: Rc<Server>, listener: TcpListener) {
    let max_connections = regions.settings.connections as usize;
    loop {
        match listener.accept().await {
            // Over the limit a connection is closed immediately, so that the peer tries another gateway.
            Ok(_) if regions.gateway.connections.get() >= max_connections => {
                regions.gateway.record_unauthenticated();
            }
            Ok((stream, _)) => {
                let slot = ConnectionSlot::acquire(&regions);
                let (regions, server) = (regions.clone(), server.clone());
                tokio::task::spawn_local(async move {
                    serve_connection(regions, server, stream).await;
                    drop(slot);
                });
            }
            Err(e) => {
                tracing::warn!("region.listen: accepting a connection failed, retrying: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// The authenticated peer of a connection.
#[derive(Clone, Copy)]
struct Peer {
    /// Index of its region in the settings.
    sender: usize,
    accepted_at: Time,
}

impl Peer {
    /// Returns the clock reading that is reported to the peer.
    fn reported_clock(self, now: Time) -> RemoteTime {
        RemoteTime(now - self.accepted_at)
    }
}

/// Authenticates a peer; returns the index of its region with the connection.
async fn authenticate(regions: &Regions, stream: TcpStream) -> Option<(usize, TlsStream<TcpStream>)> {
    let acceptor = TlsAcceptor::from(regions.identity.borrow().server.clone());
    let stream = match tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => {
            tracing::debug!("region.listen: TLS handshake failed: {e}");
            return None;
        }
        Err(_) => return None,
    };
    let certificate = stream.get_ref().1.peer_certificates().and_then(|chain| chain.first());
    let sender = certificate.and_then(|certificate| tls::region_of(certificate, &regions.settings.other));
    if sender.is_none() {
        tracing::warn!(
            "region.listen: closed a connection whose peer certificate matches no configured region"
        );
    }
    Some((sender?, stream))
}

async fn serve_connection(regions: Rc<Regions>, server: Rc<Server>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut keys_changed = regions.keys_changed.subscribe();
    let Some((sender, stream)) = authenticate(&regions, stream).await else {
        return regions.gateway.record_unauthenticated();
    };
    let peer = Peer { sender, accepted_at: server.clock.now() };
    let service = service_fn(|request| {
        let (regions, server) = (regions.clone(), server.clone());
        async move { Ok::<_, Infallible>(answer(&regions, &server, peer, request).await) }
    });
    let mut http = http2::Builder::new(LocalExecutor);
    http.timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEAD_BYTES)
        .keep_alive_interval(PING_TIMEOUT)
        .keep_alive_timeout(PING_TIMEOUT);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let drain = Duration::from_secs(u64::from(regions.settings.drain_s));
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = keys_changed.changed() => connection.as_mut().graceful_shutdown(),
    }
    // The connection was established with earlier keys: its requests complete, and no new ones are accepted.
    let _ = tokio::time::timeout(drain, connection).await;
}

/// Whether a request asks for a clock reading only.
fn requests_clock(head: &Parts) -> bool {
    head.method == Method::OPTIONS && head.headers.contains_key(CLOCK) && !head.headers.contains_key(VIA)
}

/// Reads the deadline of a request, by the clock that this gateway reports on the connection.
fn deadline_of(head: &Parts) -> Option<RemoteTime> {
    let mut values = head.headers.get_all(DEADLINE).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => RemoteTime::parse(value.as_bytes()),
        _ => None,
    }
}

/// Reads the regions that a request has passed through; they must not contain this region.
fn via_of(regions: &Regions, sender: usize, head: &Parts) -> Result<Via, HopRejection> {
    let sender_name = &regions.settings.other[sender].name;
    let mut values = head.headers.get_all(VIA).iter();
    let (Some(text), None) = (values.next().and_then(|value| value.to_str().ok()), values.next()) else {
        return Err(HopRejection::Invalid("expected one Region-Path"));
    };
    let via = Via::parse(text, sender_name);
    let via = via.map_err(|_| HopRejection::Invalid("Region-Path: not of its form"))?;
    via.check_entry(&regions.settings.name).map_err(|_| HopRejection::Invalid("it has been here"))?;
    Ok(via)
}

/// Answers one request from another region.
async fn answer(
    regions: &Rc<Regions>, server: &Server, peer: Peer, request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    let mut response = if requests_clock(&head) {
        text_response(StatusCode::NO_CONTENT, "")
    } else {
        let received_at = server.clock.now();
        let mut response = match serve_hop(regions, server, peer, head, body).await {
            Ok(response) => response,
            Err(rejection) => {
                record_rejection(regions, peer, rejection);
                rejection.response()
            }
        };
        let elapsed = server.clock.now() - received_at;
        response.headers_mut().insert(DURATION, HeaderValue::from(elapsed.0));
        response
    };
    let reading = peer.reported_clock(server.clock.now());
    response.headers_mut().insert(CLOCK, HeaderValue::from(reading.header_value()));
    response
}

/// Counts a rejection; [`Regions::admit`] has already counted those over budget.
fn record_rejection(regions: &Regions, peer: Peer, rejection: HopRejection) {
    match rejection {
        HopRejection::Invalid(_) => regions.gateway.record_invalid(),
        HopRejection::DeadlinePassed => regions.inbound.borrow_mut()[peer.sender].rejected += 1,
        HopRejection::NotReady | HopRejection::OverBudget => {}
    }
}

/// Limits a request's remaining time by its deadline. The request may have waited in the socket of a stopped process; it
/// must not be executed if its client may have received a response.
fn limit_remaining(
    attributes: &mut RequestAttributes, now: RemoteTime, deadline: Option<RemoteTime>,
) -> Result<(), HopRejection> {
    let remaining = remaining_at_gateway(now, attributes.remaining, deadline).map_err(|e| match e {
        DeadlineError::Missing => HopRejection::Invalid("expected Region-Deadline-Us"),
        DeadlineError::Passed => HopRejection::DeadlinePassed,
    })?;
    attributes.remaining = remaining;
    Ok(())
}

async fn serve_hop(
    regions: &Rc<Regions>, server: &Server, peer: Peer, mut head: Parts, body: Incoming,
) -> Result<Response<ResponseBody>, HopRejection> {
    let sender = peer.sender;
    let via = via_of(regions, sender, &head)?;
    let deadline = deadline_of(&head);
    head.headers.remove(VIA);
    head.headers.remove(DEADLINE);
    if !server.registry.has_backends() {
        return Err(HopRejection::NotReady);
    }
    let attributes = server.rules.read(&head, body.size_hint().exact());
    let mut attributes = attributes.map_err(|invalid| HopRejection::Invalid(invalid.1))?;
    let clock = || peer.reported_clock(server.clock.now());
    limit_remaining(&mut attributes, clock(), deadline)?;
    if !regions.admit(server.clock.now(), sender, attributes.class) {
        return Err(HopRejection::OverBudget);
    }
    let slot = BudgetSlot { regions: regions.clone(), sender };
    let body = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, BODY_BYTES).collect()).await;
    let body = body.ok().and_then(Result::ok).ok_or(HopRejection::Invalid("the body did not come whole"))?;
    let body = CallBody::Buffered(body.to_bytes());
    // Checked again, since reading the body has taken time.
    limit_remaining(&mut attributes, clock(), deadline)?;
    let effect = server.rules.classes.get(attributes.class.0).map_or(Effect::Unsafe, |class| class.effect);
    let answer = server.submit(attributes, head, body, sender as u64, Some(via)).await;
    drop(slot);
    // A duplicate id belongs to another request, or to the same request after a routing loop.
    let answer = answer.map_err(|invalid| HopRejection::Invalid(invalid.1))?;
    Ok(response_of(answer, effect))
}

/// Converts the driver's answer to the response for the sender.
fn response_of(answer: Answer, effect: Effect) -> Response<ResponseBody> {
    let (mut response, outcome) = match answer {
        Answer::Served(answer) => {
            (answer.map(|payload| ResponseBody::new(payload, || ())), RemoteOutcome::Executed)
        }
        Answer::Rejected(rejection) => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(rejection.retry_after_s));
            (response, outcome_of_rejection(effect))
        }
        Answer::Failed => (text_response(StatusCode::BAD_GATEWAY, "failed"), RemoteOutcome::Indeterminate),
    };
    response.headers_mut().insert(OUTCOME, HeaderValue::from_static(outcome.header_value()));
    response
}

/// Waits until no request from another region is in service, but not beyond `latest`.
pub async fn drained(regions: &Regions, latest: Time) {
    let is_in_service = || regions.inbound.borrow().iter().any(|sender| sender.budget.in_flight().used > 0);
    while regions.clock.now() < latest && is_in_service() {
        tokio::time::sleep(duration(DRAIN_POLL_INTERVAL)).await;
    }
}
