//! Client connections, and the processing of a request from its arrival to its response.

use crate::active_request::ConnectionActivity;
use crate::admission;
use crate::body_tracker::BodyTracker;
use crate::client_stream::{ClientStream, CloseDelimitedResponse};
use crate::dispatch::{Dispatch, StartedResponse};
use crate::headers::{self, LAST_EVENT_ID};
use crate::rejection::Rejection;
use crate::relay::Relay;
use crate::request_body::RequestBody;
use crate::response_body::{rejection_response, CountedBody, ResponseBody};
use crate::state::EdgeState;
use bytes::{Bytes, BytesMut};
use gaugesaddle_config::RouteKind;
use gaugesaddle_http_connection::{strip_connection_headers, BUFFERED_BODY_BYTES};
use gaugesaddle_transport::accept;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::Instant;

/// Timeout for a request head and for an idle connection before a configuration is received.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Fraction of the file descriptors available to client connections; the others are for connections to backends.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.55;
/// Number of file descriptors that are not available to connections.
const RESERVED_DESCRIPTORS: u64 = 250;
/// Minimum limit on client connections, regardless of the number of file descriptors.
const MIN_CLIENT_CONNECTIONS: usize = 16;

/// The phases of the server's life, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    Serving,
    /// Clients may still connect. Connections close after their current request, idle ones at once, and new ones after their first
    /// request.
    Draining,
    /// Clients no longer connect; connections without a request close.
    Closing,
}

/// Accepts client connections until the task is aborted, and closes them as `phase` requires.
pub async fn serve(state: Rc<EdgeState>, listener: TcpListener, phase: watch::Receiver<ServerPhase>) {
    let descriptors = state.boot.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS) as f64;
    let max_connections = (descriptors * CLIENT_DESCRIPTOR_FRACTION) as usize;
    let permits = Arc::new(Semaphore::new(max_connections.max(MIN_CLIENT_CONNECTIONS)));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let (stream, _) = accept(&listener).await;
        let state = state.clone();
        let phase = phase.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            serve_connection(state, stream, phase).await;
        });
    }
}

async fn serve_connection(state: Rc<EdgeState>, stream: TcpStream, phase: watch::Receiver<ServerPhase>) {
    let _ = stream.set_nodelay(true);
    let idle_timeout = state
        .routing_table()
        .map_or(DEFAULT_IDLE_TIMEOUT, |table| Duration::from_secs_f64(table.limits.idle_timeout_ms / 1000.0));
    let close_delimited = CloseDelimitedResponse::default();
    let activity = ConnectionActivity::new(&state.active_requests);
    let connection_activity = activity.clone();
    let stream = ClientStream::new(stream, close_delimited.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, close_delimited) = (state.clone(), close_delimited.clone());
        let active = connection_activity.begin();
        async move {
            let version = request.version();
            let response = respond(state, request).await.map(|body| CountedBody::new(body, active));
            if version == Version::HTTP_10 && response.size_hint().exact().is_none() {
                close_delimited.begin();
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle_timeout);
    let mut serving = pin!(builder.serve_connection(TokioIo::new(stream), service));
    // Errors are ignored: they affect only this connection's client.
    tokio::select! {
        _ = serving.as_mut() => return,
        () = wait_to_close(phase, &activity) => {
            activity.close();
            serving.as_mut().graceful_shutdown();
        }
    }
    let _ = serving.await;
}

/// Waits until a connection is to be closed after its current request. One that has had no request yet is not closed while
/// clients may connect: its request may be on the way.
async fn wait_to_close(mut phase: watch::Receiver<ServerPhase>, activity: &ConnectionActivity) {
    // Errors, which mean that the process ends, close the connection, too.
    let _ = phase.wait_for(|phase| *phase >= ServerPhase::Draining).await;
    tokio::select! {
        () = activity.first_request() => {}
        _ = phase.wait_for(|phase| *phase >= ServerPhase::Closing) => {}
    }
}

async fn respond(state: Rc<EdgeState>, request: Request<Incoming>) -> Response<ResponseBody> {
    handle(state, request).await.unwrap_or_else(rejection_response)
}

async fn handle(
    state: Rc<EdgeState>, request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Rejection> {
    let arrived = Instant::now();
    let table = state.routing_table().ok_or(Rejection::NotConfigured)?;
    let (head, body) = request.into_parts();
    let admitted = admission::identify(&table, &head, arrived)
        .map_err(|rejection| admission::confirm_refusal(&state, rejection))?;
    let max_body_bytes = table.limits.max_body_bytes as usize;
    let body = RequestBody::read(&state.body_memory, body, max_body_bytes, admitted.deadline).await?;
    admission::take_quota(&state, &head, &admitted).await?;
    let last_event_id = headers::text(&head.headers, &LAST_EVENT_ID).map(str::to_owned);
    let dispatch = Dispatch::new(state.clone(), table.clone(), admitted, head, body)?;
    let started = dispatch.first_response().await?;
    forward(started, dispatch, last_event_id).await
}

/// Forwards a backend's response to the client: buffered if it is short and not a stream, otherwise relayed.
async fn forward(
    mut started: StartedResponse, dispatch: Dispatch, last_event_id: Option<String>,
) -> Result<Response<ResponseBody>, Rejection> {
    let upstream = &mut started.response;
    let tracker = BodyTracker::new(dispatch.route.kind, &upstream.head, upstream.framing, last_event_id);
    let mut response = Response::new(ResponseBody::empty());
    *response.status_mut() = upstream.head.status;
    *response.headers_mut() = std::mem::take(&mut upstream.head.headers);
    strip_connection_headers(response.headers_mut());
    let is_stream =
        matches!(dispatch.route.kind, RouteKind::Streaming { .. }) && upstream.head.status.is_success();
    let is_short = upstream.body.size_hint().upper().is_some_and(|n| n <= BUFFERED_BODY_BYTES as u64);
    *response.body_mut() = if is_short && !is_stream {
        dispatch.release_body(false);
        ResponseBody::Buffered(Some(read_response(started, &dispatch).await?))
    } else {
        ResponseBody::Relayed(Box::new(Relay::new(started, dispatch, tracker)))
    };
    Ok(response)
}

/// Reads a response body completely before it is forwarded, so that a truncated one never looks complete to the client.
async fn read_response(started: StartedResponse, dispatch: &Dispatch) -> Result<Bytes, Rejection> {
    let StartedResponse { response, backend, choice, work, sent_at, in_flight } = started;
    let mut connection = response.connection;
    let mut body = response.body;
    let mut received = BytesMut::new();
    let reading = async {
        while let Some(frame) = connection.next_frame(&mut body).await {
            if let Ok(bytes) = frame.map_err(|_| Rejection::UpstreamFailed)?.into_data() {
                received.extend_from_slice(&bytes);
            }
        }
        Ok(())
    };
    match tokio::time::timeout_at(dispatch.deadline, reading).await {
        Ok(Ok(())) => {}
        Ok(Err(rejection)) => {
            backend.record_failure(dispatch.state.now());
            return Err(rejection);
        }
        Err(_) => return Err(Rejection::TimedOut),
    }
    drop((in_flight, work));
    let latency_ms = sent_at.elapsed().as_secs_f64() * 1000.0;
    if response.head.status.is_success() {
        dispatch.record_latency(&choice, latency_ms);
        dispatch.record_success(&backend);
    }
    if connection.is_reusable().await {
        backend.put_idle(dispatch.state.now(), connection);
    }
    Ok(received.freeze())
}
