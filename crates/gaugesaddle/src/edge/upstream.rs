//! One attempt at one backend.

use super::attempts::Failed;
use super::backend::{Backend, BackendLink};
use super::fleet::Fleet;
use super::headers::{self, KEEP_ALIVE, NOT_EXECUTED, REQUEST_ID};
use super::keys::KeyInUse;
use crate::upstream::out_of_descriptors;
use crate::wire::MayBegin;
use bytes::Bytes;
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

/// Time for a connection to come up.
const CONNECT: Duration = Duration::from_millis(400);
/// Bytes that stay unacknowledged for so long end a connection.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1000);
/// A head is read up to this size.
const HEAD_BYTES: usize = 16 << 10;

/// An answer that has begun.
pub struct Answer {
    pub head: Parts,
    pub body: Incoming,
    pub link: BackendLink,
}

/// Asked right before the first byte.
struct Gate {
    backend: Rc<Backend>,
    deadline: Instant,
    key: Option<KeyInUse>,
}

impl MayBegin for Gate {
    fn may_begin(&self) -> bool {
        let key_holds = self.key.as_ref().is_none_or(KeyInUse::may_begin);
        self.backend.open.get() && key_holds && Instant::now() < self.deadline
    }
}

/// Sends a request to a backend and waits for the head of its answer.
pub async fn attempt(
    fleet: &Fleet, backend: &Rc<Backend>, request: Request<Full<Bytes>>, deadline: Instant,
    key: Option<KeyInUse>,
) -> Result<Answer, Failed> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut link = obtain(fleet, backend).await.ok_or(Failed::NeverSent)?;
    link.progress.restart(true);
    link.progress.most.set(usize::MAX);
    link.progress.guard(Rc::new(Gate { backend: backend.clone(), deadline, key }));
    let sending = link.with_sender(async |sender| sender.send_request(request).await);
    let sent = tokio::time::timeout_at(deadline, sending).await;
    let now = fleet.now();
    match sent {
        Err(_) => Err(Failed::TimedOut),
        Ok(Err(_)) if !link.progress.begun.get() => Err(Failed::NeverSent),
        Ok(Err(_)) => {
            backend.failed(now);
            Err(Failed::MayHaveRun)
        }
        Ok(Ok(answer)) => {
            let (head, body) = answer.into_parts();
            backend.heard.set(now);
            if is_foreign(id.as_ref(), &head) {
                // The connection is dropped: what is due for this request may still come on it.
                return Err(Failed::MayHaveRun);
            }
            note(backend, &head);
            classify(backend, now, Answer { head, body, link })
        }
    }
}

/// Whether an answer belongs to another request, whatever it says: a success, a failure, or that it has not run. Backends
/// send the request's id back; only a failure may come without one.
fn is_foreign(id: Option<&HeaderValue>, head: &Parts) -> bool {
    match head.headers.get(REQUEST_ID) {
        Some(told) => id.is_some_and(|id| id != told),
        None => id.is_some() && head.status.is_success(),
    }
}

fn classify(backend: &Backend, now: u64, answer: Answer) -> Result<Answer, Failed> {
    if answer.head.status == StatusCode::MISDIRECTED_REQUEST {
        backend.failed(now);
        return Err(Failed::NotExecuted);
    }
    if answer.head.headers.contains_key(NOT_EXECUTED) {
        return Err(Failed::NotExecuted);
    }
    backend.succeeded();
    Ok(answer)
}

/// What the head of an answer tells of its backend.
fn note(backend: &Backend, head: &Parts) {
    let keep_alive = headers::text(&head.headers, &KEEP_ALIVE);
    let seconds = keep_alive.and_then(|text| text.split(',').find_map(|p| p.trim().strip_prefix("timeout=")));
    if let Some(seconds) = seconds.and_then(|s| s.trim().parse().ok()) {
        backend.keeps_idle_for(seconds);
    }
}

/// A connection from the pool, or a new one.
async fn obtain(fleet: &Fleet, backend: &Rc<Backend>) -> Option<BackendLink> {
    if let Some(link) = backend.pooled(fleet.now()).await {
        return Some(link);
    }
    let place = backend.open_socket();
    let connecting = TcpStream::connect(SocketAddr::V4(backend.address));
    let stream = match tokio::time::timeout(CONNECT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if out_of_descriptors(&e) => return None,
        Ok(Err(_)) | Err(_) => {
            backend.failed(fleet.now());
            return None;
        }
    };
    // Without it a hang is only noticed later.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    BackendLink::open(stream, HEAD_BYTES, place).await.ok()
}
