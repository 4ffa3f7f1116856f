//! The client side: connections, the form of requests, answers.

use crate::clock::{duration, Clock};
use crate::driver::{Answer, Arrived, Input, Status};
use crate::upstream::{strip, Call, BODY_BYTES, TIME_LEFT};
use beechworks::settings::Names;
use beechworks::{Class, Effect, Micros, RequestId, Time};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};

const CLASS: HeaderName = HeaderName::from_static("x-service-class");
const TENANT: HeaderName = HeaderName::from_static("x-account");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const HINT: HeaderName = HeaderName::from_static("x-weight-hint");
const CORRELATION: HeaderName = HeaderName::from_static("x-correlation-id");
const IDEMPOTENCY: HeaderName = HeaderName::from_static("idempotency-key");

/// After SIGTERM new connections still come for a while; so long they are accepted.
const STOP_ACCEPTING: Duration = Duration::from_millis(500);
/// A client that has sent part of a head has this long for the rest.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// After a failed accept (out of descriptors, say) the next is tried this much later.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Ticks between the answer to a client and the end of its patience, for the way there and back.
const MARGIN_TICKS: u64 = 2;

/// What the handlers of all connections share.
pub struct Server {
    pub clock: Clock,
    pub names: Names,
    pub classes: Vec<Class>,
    pub tick: Micros,
    /// Client connections that may be open.
    pub most: usize,
    /// The longest time that a client waits.
    pub longest: Micros,
    pub inputs: mpsc::UnboundedSender<Input>,
    pub status: Rc<Status>,
    pub next: Cell<u64>,
    pub stopping: Cell<bool>,
    pub links: RefCell<BTreeMap<u64, Rc<Link>>>,
    pub freed: Notify,
}

/// A client connection.
#[derive(Default)]
pub struct Link {
    /// Since when it has been idle between requests. One that has yet to bring its first is not closed: that
    /// may be on the way, and ending the connection would lose it.
    idle: Cell<Option<Time>>,
    told: Cell<bool>,
    close: Notify,
}

impl Link {
    fn tell_to_close(&self) {
        self.told.set(true);
        self.close.notify_one();
    }
}

/// A request of which the driver knows; dropped before it is answered, its client has gone.
struct Ticket<'a> {
    id: RequestId,
    server: &'a Server,
    answered: bool,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.server.inputs.send(Input::Left(self.id));
        }
    }
}

impl Server {
    /// Serves until `stop`; returns when all that was taken is answered.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        tokio::pin!(stop);
        let end = tokio::time::sleep(Duration::MAX);
        tokio::pin!(end);
        loop {
            self.make_room();
            tokio::select! {
                biased;
                () = &mut stop, if !self.stopping.get() => {
                    self.stopping.set(true);
                    end.as_mut().reset(tokio::time::Instant::now() + STOP_ACCEPTING);
                }
                () = &mut end, if self.stopping.get() => break,
                () = self.freed.notified() => {}
                accepted = listener.accept(), if self.links.borrow().len() < self.most => match accepted {
                    Ok((stream, _)) => self.clone().serve(stream),
                    Err(e) => {
                        tracing::warn!("accept: {e}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
            }
        }
        // What the kernel has accepted meanwhile counts as taken.
        while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
            self.clone().serve(stream);
        }
        drop(listener);
        let last = tokio::time::Instant::now() + duration(self.longest);
        loop {
            self.links.borrow().values().filter(|l| l.idle.get().is_some()).for_each(|l| l.tell_to_close());
            let freed = tokio::time::timeout_at(last, self.freed.notified());
            if self.links.borrow().is_empty() || freed.await.is_err() {
                return;
            }
        }
    }

    /// With every connection taken, the one that has been idle longest is closed: new clients must get in.
    fn make_room(&self) {
        let links = self.links.borrow();
        if links.len() >= self.most {
            let idle =
                links.values().filter(|l| !l.told.get()).filter_map(|l| l.idle.get().map(|since| (since, l)));
            if let Some((_, link)) = idle.min_by_key(|(since, _)| *since) {
                link.tell_to_close();
            }
        }
    }

    fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (id, link) = (self.number(), Rc::new(Link::default()));
        self.links.borrow_mut().insert(id, link.clone());
        tokio::task::spawn_local(async move {
            let _gone = Gone { id, server: &self };
            let service = hyper::service::service_fn(|request| self.handle(request, &link));
            let mut http = http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            let connection = http.serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let ended = loop {
                tokio::select! {
                    biased;
                    ended = connection.as_mut() => break ended,
                    () = link.close.notified() => connection.as_mut().graceful_shutdown(),
                }
            };
            if let Err(e) = ended {
                tracing::debug!("client connection: {e}");
            }
        });
    }

    fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    async fn handle(
        &self, request: Request<Incoming>, link: &Link,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        link.idle.set(None);
        let mut answer = self.answer(request).await;
        link.idle.set(Some(self.clock.now()));
        if self.stopping.get() || self.links.borrow().len() >= self.most {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/-/ready" {
            let ready = self.status.serving.get() && !self.stopping.get();
            return if ready {
                plain(StatusCode::OK, "ready")
            } else {
                plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            };
        }
        let came = self.clock.now();
        let (mut head, body) = request.into_parts();
        let form = match self.read(&head, body.size_hint().exact()) {
            Ok(form) => form,
            Err(text) => return plain(StatusCode::BAD_REQUEST, text),
        };
        if body.size_hint().lower() > BODY_BYTES as u64 {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE);
        }
        let patience = duration(form.time_left).min(Duration::from_secs(3600));
        let collected = tokio::time::timeout(patience, Limited::new(body, BODY_BYTES).collect());
        let body = match collected.await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return plain(StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE)
            }
            Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body is broken"),
            Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        };
        strip(&mut head.headers);
        let mut sent = Request::new(());
        *sent.method_mut() = head.method;
        *sent.uri_mut() = head.uri.path_and_query().map(|p| p.clone().into()).unwrap_or_default();
        *sent.headers_mut() = head.headers;
        let (reply, answer) = oneshot::channel();
        let id = RequestId(self.number());
        let arrived = Input::Arrived(Arrived {
            id,
            class: form.class,
            tenant: form.tenant,
            deadline: came + Micros(form.time_left.0.saturating_sub(MARGIN_TICKS * self.tick.0)),
            work_hint: form.work_hint,
            repeat: form.repeat,
            call: Rc::new(Call { head: sent, body }),
            reply,
        });
        let _ = self.inputs.send(arrived);
        let mut ticket = Ticket { id, server: self, answered: false };
        let answer = answer.await;
        ticket.answered = true;
        match answer {
            Ok(Answer::Served(answer)) => answer.map(Full::new),
            Ok(Answer::Refused(after)) => {
                let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                let whole = after.0.div_ceil(1_000_000); // whole seconds: not every client reads decimals
                answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(whole));
                answer
            }
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed"),
        }
    }

    /// What the module needs to know of a request; a message if its form is wrong.
    fn read(&self, head: &Parts, length: Option<u64>) -> Result<Form, &'static str> {
        let headers = &head.headers;
        let name = text(headers, &CLASS).ok_or("expected X-Service-Class")?;
        let class = self.names.class(name).ok_or("X-Service-Class: unknown class")?;
        if head.uri.path().split('/').nth(1) != Some(name) {
            return Err("expected the class as the first part of the path");
        }
        let keyed = headers.contains_key(&IDEMPOTENCY);
        let fits = match self.classes[class.0].effect {
            Effect::Free => head.method == Method::GET && length == Some(0),
            Effect::Keyed(..) => head.method == Method::POST && keyed,
            Effect::Unsafe => head.method == Method::POST && !keyed,
        };
        if !fits {
            return Err("the method, the body or Idempotency-Key does not fit the class");
        }
        if !headers.contains_key(&CORRELATION) {
            return Err("expected X-Correlation-Id");
        }
        let tenant = match text(headers, &TENANT) {
            _ if !self.names.has_tenants() => None,
            Some(name) => Some(self.names.tenant(name).ok_or("X-Account: unknown tenant")?),
            None => return Err("expected X-Account"),
        };
        let left = number(headers, &TIME_LEFT)?.ok_or("expected X-Time-Left-Ms")?;
        Ok(Form {
            class,
            tenant,
            time_left: Micros(left.saturating_mul(1000)),
            work_hint: number(headers, &HINT)?.map(Micros),
            repeat: text(headers, &REPEAT) == Some("1"),
        })
    }
}

const TOO_LARGE: &str = "the body is over 64 KiB";

struct Form {
    class: beechworks::ClassId,
    tenant: Option<beechworks::TenantId>,
    time_left: Micros,
    work_hint: Option<Micros>,
    repeat: bool,
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, &'static str> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let digits = value.to_str().ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    digits
        .and_then(|v| v.parse().ok())
        .map(Some)
        .ok_or("expected a whole number in X-Time-Left-Ms and X-Weight-Hint")
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// Takes a connection off the books however its task ends.
struct Gone<'a> {
    id: u64,
    server: &'a Server,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        self.server.links.borrow_mut().remove(&self.id);
        self.server.freed.notify_one();
    }
}
