//! The gateway: where other regions connect. A peer is believed once its certificate is that of a region; each of its
//! requests goes to the same driver and module as a client's.

use super::client::Here;
use super::{tls, Regions, CLOCK, DEADLINE, FATE, FULL, PATH, TOOK};
use crate::body::{CallBody, Download};
use crate::clock::duration;
use crate::exchange::{Answer, BODY_BYTES};
use crate::server::{plain, Server};
use gaugesaddle_balancer::{Effect, Time};
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
use tokio_rustls::TlsAcceptor;

/// A handshake that is not over by then will not be: it holds a place.
const HANDSHAKE: Duration = Duration::from_secs(2);
/// A request's body, from its head on.
const BODY: Duration = Duration::from_secs(2);
/// Requests at once on one connection; the budgets bound them more closely.
const STREAMS: u32 = 1024;
/// A head from a gateway.
const HEAD_BYTES: u32 = 16 << 10;
/// After a failed accept (out of descriptors, say) the next is tried this much later.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A peer that answers no ping for so long is gone.
const PING: Duration = Duration::from_secs(5);

/// This gateway's part of the budget is used up.
const OVER: &str = "over the region's budget";

/// A connection's place.
struct Place(Rc<Regions>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.front.connections.set(self.0.front.connections.get() - 1);
    }
}

/// A place in a sender's budget.
struct Taken(Rc<Regions>, usize);

impl Drop for Taken {
    fn drop(&mut self) {
        self.0.inbound.borrow_mut()[self.1].budget.release();
    }
}

/// Serves other regions for ever.
pub async fn serve(regions: Rc<Regions>, server: Rc<Server>, listener: TcpListener) {
    let most = regions.settings.connections as usize;
    loop {
        match listener.accept().await {
            // Closed at once: a peer that finds no place tries the next gateway.
            Ok(_) if regions.front.connections.get() >= most => regions.front.stranger(),
            Ok((stream, _)) => {
                regions.front.connections.set(regions.front.connections.get() + 1);
                let place = Place(regions.clone());
                let (regions, server) = (regions.clone(), server.clone());
                tokio::task::spawn_local(async move {
                    converse(regions, server, stream).await;
                    drop(place);
                });
            }
            Err(e) => {
                tracing::warn!("region.listen: accept: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(regions: Rc<Regions>, server: Rc<Server>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (config, mut changed) = (regions.identity.borrow().server.clone(), regions.changed.subscribe());
    let shaken = tokio::time::timeout(HANDSHAKE, TlsAcceptor::from(config).accept(stream)).await;
    let stream = match shaken {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => {
            tracing::debug!("region.listen: handshake: {e}");
            return regions.front.stranger();
        }
        Err(_) => return regions.front.stranger(),
    };
    let certificate = stream.get_ref().1.peer_certificates().and_then(|c| c.first());
    let Some(sender) = certificate.and_then(|c| tls::region_of(c, &regions.settings.other)) else {
        tracing::warn!("region.listen: a peer whose certificate is that of no region");
        return regions.front.stranger();
    };
    let peer = Peer { sender, accepted_at: server.clock.now() };
    let service = service_fn(|request| {
        let (regions, server) = (regions.clone(), server.clone());
        async move { Ok::<_, Infallible>(answer(&regions, &server, peer, request).await) }
    });
    let mut http = http2::Builder::new(Here);
    http.timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS)
        .max_header_list_size(HEAD_BYTES)
        .keep_alive_interval(PING)
        .keep_alive_timeout(PING);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let drain = Duration::from_secs(u64::from(regions.settings.drain_s));
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = changed.changed() => connection.as_mut().graceful_shutdown(),
    }
    // Made with earlier keys: what is on it ends, and nothing new begins.
    let _ = tokio::time::timeout(drain, connection).await;
}

/// The other end of a connection.
#[derive(Clone, Copy)]
struct Peer {
    /// Index of its region.
    sender: usize,
    accepted_at: Time,
}

impl Peer {
    /// The clock that is reported to it.
    fn reported_clock(self, now: Time) -> RemoteTime {
        RemoteTime(now - self.accepted_at)
    }
}

/// Whether a request asks for the clock only.
fn asks_for_clock(head: &Parts) -> bool {
    head.method == Method::OPTIONS && head.headers.contains_key(CLOCK) && !head.headers.contains_key(PATH)
}

/// The deadline that a request carries, by the clock that this gateway reports on its connection.
fn deadline_of(head: &Parts) -> Option<RemoteTime> {
    let mut values = head.headers.get_all(DEADLINE).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => RemoteTime::parse(value.as_bytes()),
        _ => None,
    }
}

/// One request of another region's.
async fn answer(
    regions: &Rc<Regions>, server: &Server, peer: Peer, request: Request<Incoming>,
) -> Response<Download> {
    let (head, body) = request.into_parts();
    let mut answer = if asks_for_clock(&head) {
        plain(StatusCode::NO_CONTENT, "")
    } else {
        answer_hop(regions, server, peer, head, body).await
    };
    let reading = peer.reported_clock(server.clock.now());
    answer.headers_mut().insert(CLOCK, HeaderValue::from(reading.header_value()));
    answer
}

async fn answer_hop(
    regions: &Rc<Regions>, server: &Server, peer: Peer, head: Parts, body: Incoming,
) -> Response<Download> {
    let came = server.clock.now();
    let mut answer = match take(regions, server, peer, head, body).await {
        Ok(answer) => answer,
        Err(Turned(status, text, after_s)) => {
            let mut answer = plain(status, text);
            if text == OVER {
                answer.headers_mut().insert(FULL, HeaderValue::from_static("1"));
            }
            answer
                .headers_mut()
                .insert(FATE, HeaderValue::from_static(RemoteOutcome::NotExecuted.header_value()));
            if let Some(after_s) = after_s {
                answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(after_s));
            }
            answer
        }
    };
    let took = server.clock.now() - came;
    answer.headers_mut().insert(TOOK, HeaderValue::from(took.0));
    answer
}

/// Turned away before it reached the driver: it never ran.
struct Turned(StatusCode, &'static str, Option<u64>);

async fn take(
    regions: &Rc<Regions>, server: &Server, peer: Peer, mut head: Parts, body: Incoming,
) -> Result<Response<Download>, Turned> {
    let sender = peer.sender;
    let barred = |text| {
        regions.front.barred.set(regions.front.barred.get() + 1);
        Turned(StatusCode::BAD_REQUEST, text, None)
    };
    let other = &regions.settings.other[sender].name;
    let mut paths = head.headers.get_all(PATH).iter();
    let path = match (paths.next().and_then(|v| v.to_str().ok()), paths.next()) {
        (Some(text), None) => Via::parse(text, other).map_err(|_| barred("Region-Path: not of its form"))?,
        _ => return Err(barred("expected one Region-Path")),
    };
    path.check_entry(&regions.settings.name).map_err(|_| barred("it has been here"))?;
    let deadline = deadline_of(&head);
    head.headers.remove(PATH);
    head.headers.remove(DEADLINE);
    let busy = |text| Turned(StatusCode::SERVICE_UNAVAILABLE, text, Some(1));
    if !server.registry.serves_here() {
        return Err(busy("not ready"));
    }
    let length = body.size_hint().exact();
    let mut form = server.rules.read(&head, length).map_err(|wrong| barred(wrong.1))?;
    // It may have stood in the socket of a stopped process: nothing runs for a client that was answered.
    let remaining = |reported| {
        let now = peer.reported_clock(server.clock.now());
        remaining_at_gateway(now, reported, deadline).map_err(|e| match e {
            DeadlineError::Missing => barred("expected Region-Deadline-Us"),
            DeadlineError::Passed => {
                regions.inbound.borrow_mut()[sender].refused += 1;
                Turned(StatusCode::SERVICE_UNAVAILABLE, "its deadline had passed", None)
            }
        })
    };
    form.time_left = remaining(form.time_left)?;
    let now = server.clock.now();
    let class = form.class;
    if !regions.let_in(now, sender, class) {
        return Err(busy(OVER));
    }
    let taken = Taken(regions.clone(), sender);
    let body = tokio::time::timeout(BODY, Limited::new(body, BODY_BYTES).collect()).await;
    let body =
        body.ok().and_then(std::result::Result::ok).ok_or_else(|| barred("the body did not come whole"))?;
    let body = CallBody::Whole(body.to_bytes());
    form.time_left = remaining(form.time_left)?;
    let effect = server.rules.classes.get(class.0).map_or(Effect::Unsafe, |c| c.effect);
    let source = sender as u64;
    let carried = server.carry(form, head, body, source, Some(path)).await;
    drop(taken);
    let (mut answer, fate) = match carried {
        // Its id is that of an open one: in truth another's, or its own on the way round.
        Err(wrong) => return Err(barred(wrong.1)),
        Ok(Answer::Served(answer)) => {
            (answer.map(|payload| Download::new(payload, || ())), RemoteOutcome::Executed)
        }
        Ok(Answer::Refused(refusal)) => {
            let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(refusal.after_s));
            (answer, outcome_of_rejection(effect))
        }
        Ok(Answer::Failed) => (plain(StatusCode::BAD_GATEWAY, "failed"), RemoteOutcome::Indeterminate),
    };
    answer.headers_mut().insert(FATE, HeaderValue::from_static(fate.header_value()));
    Ok(answer)
}

/// Waits until nothing of another region's is in service, until that time at the latest.
pub async fn drained(regions: &Regions, last: Time) {
    let clock = regions.clock;
    while clock.now() < last && regions.inbound.borrow().iter().any(|i| i.budget.in_flight().used > 0) {
        tokio::time::sleep(duration(gaugesaddle_balancer::Micros(5_000))).await;
    }
}
