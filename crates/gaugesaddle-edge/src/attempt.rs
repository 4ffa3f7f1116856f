//! One attempt: sends a request to one backend.

use crate::api_key::ApiKeyGuard;
use crate::backend::{Backend, BackendConnection};
use crate::headers::{self, KEEP_ALIVE, NOT_EXECUTED, REQUEST_ID};
use crate::retry::AttemptFailure;
use crate::state::EdgeState;
use bytes::Bytes;
use gaugesaddle_http_connection::{is_out_of_descriptors, BodyFraming, SendGuard};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use socket2::SockRef;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection is closed if sent data remains unacknowledged for this long (`TCP_USER_TIMEOUT`, RFC 5482).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A backend's response whose head has been received.
pub struct UpstreamResponse {
    pub head: Parts,
    pub body: Incoming,
    /// How the body states its end.
    pub framing: BodyFraming,
    pub connection: BackendConnection,
}

/// The conditions for sending the request, checked right before its first byte is written.
struct AttemptGuard {
    backend: Rc<Backend>,
    deadline: Instant,
    key: Option<ApiKeyGuard>,
}

impl SendGuard for AttemptGuard {
    fn may_send(&self) -> bool {
        let key_is_valid = self.key.as_ref().is_none_or(ApiKeyGuard::may_send);
        self.backend.accepts_requests.get() && key_is_valid && Instant::now() < self.deadline
    }
}

/// Sends a request to a backend and waits for the head of its response.
///
/// # Errors
/// The way in which the attempt failed, which determines whether the request may have been executed.
pub async fn send_attempt(
    state: &EdgeState, backend: &Rc<Backend>, request: Request<Full<Bytes>>, deadline: Instant,
    key: Option<ApiKeyGuard>,
) -> Result<UpstreamResponse, AttemptFailure> {
    let request_id = request.headers().get(REQUEST_ID).cloned();
    let mut connection = obtain_connection(state, backend).await.ok_or(AttemptFailure::NeverSent)?;
    connection.progress.restart(true);
    // The response is relayed as it is received, so its length is not limited.
    connection.progress.max_response_bytes.set(usize::MAX);
    connection.progress.set_guard(Rc::new(AttemptGuard { backend: backend.clone(), deadline, key }));
    let sending = connection.with_sender(async |sender| sender.send_request(request).await);
    let result = tokio::time::timeout_at(deadline, sending).await;
    let now = state.now();
    match result {
        Err(_) => Err(AttemptFailure::TimedOut),
        Ok(Err(_)) if !connection.progress.begun.get() => Err(AttemptFailure::NeverSent),
        Ok(Err(_)) => {
            backend.record_failure(now);
            Err(AttemptFailure::MayHaveRun)
        }
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            if is_for_another_request(request_id.as_ref(), &head) {
                // The connection is dropped: the response to this request may still arrive on it.
                return Err(AttemptFailure::MayHaveRun);
            }
            apply_keep_alive(backend, &head);
            let framing = BodyFraming::of_response(&head.headers, &body);
            classify(backend, now, UpstreamResponse { head, body, framing, connection })
        }
    }
}

/// Whether a response belongs to another request, regardless of its status. Backends return the request's ID; only an
/// unsuccessful response may omit it.
fn is_for_another_request(request_id: Option<&HeaderValue>, head: &Parts) -> bool {
    match head.headers.get(REQUEST_ID) {
        Some(returned) => request_id.is_some_and(|id| id != returned),
        None => request_id.is_some() && head.status.is_success(),
    }
}

fn classify(
    backend: &Backend, now: u64, response: UpstreamResponse,
) -> Result<UpstreamResponse, AttemptFailure> {
    if response.head.status == StatusCode::MISDIRECTED_REQUEST {
        backend.record_failure(now);
        return Err(AttemptFailure::NotExecuted);
    }
    if response.head.headers.contains_key(NOT_EXECUTED) {
        return Err(AttemptFailure::NotExecuted);
    }
    backend.record_success();
    Ok(response)
}

/// Applies the idle timeout that a backend announces (`Keep-Alive: timeout=SECONDS`).
fn apply_keep_alive(backend: &Backend, head: &Parts) {
    let Some(keep_alive) = headers::text(&head.headers, &KEEP_ALIVE) else { return };
    let mut parameters = keep_alive.split(',').map(str::trim);
    let timeout = parameters.find_map(|parameter| parameter.strip_prefix("timeout="));
    if let Some(seconds) = timeout.and_then(|text| text.trim().parse().ok()) {
        backend.set_announced_idle_timeout(seconds);
    }
}

/// An idle connection, or else a new one; `None` if no connection can be opened.
async fn obtain_connection(state: &EdgeState, backend: &Rc<Backend>) -> Option<BackendConnection> {
    if let Some(connection) = backend.take_idle(state.now()).await {
        return Some(connection);
    }
    let permit = backend.count_socket();
    let connecting = TcpStream::connect(SocketAddr::V4(backend.address));
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if is_out_of_descriptors(&e) => return None,
        Ok(Err(_)) | Err(_) => {
            backend.record_failure(state.now());
            return None;
        }
    };
    // Without this timeout, a backend whose host does not respond is detected only later.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    BackendConnection::open(stream, MAX_HEAD_BYTES, permit).await.ok()
}
