//! Connections of clients, and the way of one request.

use super::admission;
use super::dispatch::{Begun, Job};
use super::fleet::Fleet;
use super::headers::{self, LAST_EVENT_ID};
use super::load;
use super::refusal::Refusal;
use super::relay::{Outgoing, Relay};
use crate::exchange::{strip, BODY_BYTES};
use bytes::{Bytes, BytesMut};
use gaugesaddle_config::{RouteKind, RoutingTable};
use gaugesaddle_transport::accept;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::Instant;

/// Time for a head, and for an idle connection, before a configuration tells them.
const IDLE: Duration = Duration::from_secs(15);
/// Part of the descriptors that clients may take.
const CLIENT_PART: f64 = 0.55;
/// Descriptors that are not for sockets.
const KEPT_DESCRIPTORS: u64 = 250;
/// Part of the memory that bodies may take.
const BODY_PART: f64 = 0.25;

/// Accepts clients until `closing` says so.
pub async fn serve(fleet: Rc<Fleet>, listener: TcpListener, closing: watch::Receiver<bool>) {
    let most = (fleet.boot.limits.max_fds.saturating_sub(KEPT_DESCRIPTORS) as f64 * CLIENT_PART) as usize;
    let places = Arc::new(Semaphore::new(most.max(16)));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let (stream, _) = accept(&listener).await;
        let (fleet, closing) = (fleet.clone(), closing.clone());
        tokio::task::spawn_local(async move {
            let _place = place;
            connection(fleet, stream, closing).await;
        });
    }
}

async fn connection(fleet: Rc<Fleet>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let idle = fleet.table().map_or(IDLE, |t| Duration::from_secs_f64(t.limits.idle_timeout_ms / 1000.0));
    let service = service_fn(move |request| {
        let fleet = fleet.clone();
        async move { Ok::<_, Infallible>(answer(fleet, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle);
    let mut serving = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // A client that breaks off concerns only itself.
    tokio::select! {
        _ = serving.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => serving.as_mut().graceful_shutdown(),
    }
    let _ = serving.await;
}

async fn answer(fleet: Rc<Fleet>, request: Request<Incoming>) -> Response<Outgoing> {
    handle(fleet, request).await.unwrap_or_else(Refusal::answer)
}

async fn handle(fleet: Rc<Fleet>, request: Request<Incoming>) -> Result<Response<Outgoing>, Refusal> {
    let arrived = Instant::now();
    let table = fleet.table().ok_or(Refusal::NotConfigured)?;
    let (head, body) = request.into_parts();
    let admitted = admission::look_up(&table, &head, arrived)?;
    let body = read_body(&fleet, &table, body, admitted.deadline).await?;
    admission::take_quota(&fleet, &head, &admitted).await?;
    let first_id = headers::text(&head.headers, &LAST_EVENT_ID).map(str::to_owned);
    let mut job = Job::new(fleet.clone(), table.clone(), admitted, head, body)?;
    let begun = job.begin().await?;
    pass_on(begun, job, first_id).await
}

/// Bytes of a body that are counted while they are held.
struct Held<'a> {
    fleet: &'a Fleet,
    bytes: usize,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.fleet.held_bytes.set(self.fleet.held_bytes.get().saturating_sub(self.bytes));
    }
}

async fn read_body(
    fleet: &Fleet, table: &RoutingTable, body: Incoming, deadline: Instant,
) -> Result<Bytes, Refusal> {
    let most = table.limits.max_body_bytes as usize;
    let room = (fleet.boot.limits.memory_mb as f64 * 1e6 * BODY_PART) as usize;
    let bytes = body.size_hint().lower() as usize;
    if bytes > most {
        return Err(Refusal::TooLarge);
    }
    if fleet.held_bytes.get() + bytes > room {
        return Err(Refusal::Unavailable);
    }
    fleet.held_bytes.set(fleet.held_bytes.get() + bytes);
    let _held = Held { fleet, bytes };
    match tokio::time::timeout_at(deadline, Limited::new(body, most).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) | Err(_) => Err(Refusal::Unread),
    }
}

/// A backend's answer for the client: whole where it is short and no stream, else as it comes.
async fn pass_on(
    mut begun: Begun, job: Job, first_id: Option<String>,
) -> Result<Response<Outgoing>, Refusal> {
    let mut response = Response::new(Outgoing::Whole(None));
    *response.status_mut() = begun.answer.head.status;
    *response.headers_mut() = std::mem::take(&mut begun.answer.head.headers);
    strip(response.headers_mut());
    let streams = matches!(job.route.kind, RouteKind::Streaming { .. });
    let short = begun.answer.body.size_hint().upper().is_some_and(|n| n <= BODY_BYTES as u64);
    if short && (!streams || !begun.answer.head.status.is_success()) {
        *response.body_mut() = Outgoing::Whole(Some(read_whole(begun, &job).await?));
    } else {
        *response.body_mut() = Outgoing::Relayed(Box::new(Relay::new(begun, job, first_id)));
    }
    Ok(response)
}

/// Reads an answer whole, so that a broken one never reaches the client as a good one.
async fn read_whole(begun: Begun, job: &Job) -> Result<Bytes, Refusal> {
    let Begun { answer, backend, choice, work, sent, in_use } = begun;
    let (mut link, mut body) = (answer.link, answer.body);
    let mut held = BytesMut::new();
    let reading = async {
        while let Some(frame) = link.frame(&mut body).await {
            if let Ok(bytes) = frame.map_err(|_| Refusal::Broken)?.into_data() {
                held.extend_from_slice(&bytes);
            }
        }
        Ok(())
    };
    match tokio::time::timeout_at(job.deadline, reading).await {
        Ok(Ok(())) => {}
        Ok(Err(refusal)) => {
            backend.failed(job.fleet.now());
            return Err(refusal);
        }
        Err(_) => return Err(Refusal::TimedOut),
    }
    drop((in_use, work));
    let latency = sent.elapsed().as_secs_f64() * 1000.0;
    if answer.head.status.is_success() {
        job.fleet.with_chooser(&job.route, &job.service_name, |c| c.record_latency(&choice, latency));
        job.fleet.loads.borrow_mut().served(job.fleet.now(), load::number(backend.identity));
    }
    if link.alive().await {
        backend.put_back(job.fleet.now(), link);
    }
    Ok(held.freeze())
}
