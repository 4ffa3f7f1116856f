//! The second address: what the platform's operators ask of a running proxy. One call to a connection; every call
//! is answered from what is held in memory, so none waits for anything but the loop's next turn.

use crate::clock::Clock;
use crate::exchange::Input;
use crate::registry::Registry;
use crate::succession::Succession;
use bytes::Bytes;
use gaugesaddle_maintenance::{Order, Phase, Verdict, Word};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// Callers that are held at once. One more ends the oldest, which has sent no whole call: a whole one is answered
/// within a turn of the loop.
pub const CALLERS: usize = 12;
/// A caller that has not sent its call by then, or not read its answer, loses its place. Each holds a descriptor.
const PATIENCE: Duration = Duration::from_millis(1500);
/// A head is read up to this size.
const HEAD_BYTES: usize = 8 << 10;
/// After a failed accept (out of descriptors, say) the next is tried this much later.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a call needs.
pub struct Admin {
    pub clock: Clock,
    pub registry: Rc<Registry>,
    pub inputs: mpsc::UnboundedSender<Input>,
    pub succession: Rc<Succession>,
}

type Told = (StatusCode, &'static str);
const OK: Told = (StatusCode::OK, "ok");

impl Admin {
    /// Answers for ever.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    callers.retain(|c| !c.is_finished());
                    if callers.len() >= CALLERS {
                        callers.pop_front().into_iter().for_each(|c| c.abort());
                    }
                    let answered = tokio::time::timeout(PATIENCE, self.clone().converse(stream));
                    callers.push_back(tokio::task::spawn_local(answered).abort_handle());
                }
                Err(e) => {
                    tracing::debug!("accept of an operator's call: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn converse(self: Rc<Self>, stream: TcpStream) {
        let service = hyper::service::service_fn(|request: Request<Incoming>| {
            let admin = self.clone();
            async move {
                let (status, text) = admin.answer(&request).await;
                let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
                *answer.status_mut() = status;
                if status == StatusCode::METHOD_NOT_ALLOWED {
                    answer.headers_mut().insert(ALLOW, HeaderValue::from_static("GET, PUT"));
                }
                Ok::<_, std::convert::Infallible>(answer)
            }
        });
        let mut http = http1::Builder::new();
        http.max_buf_size(HEAD_BYTES).header_read_timeout(None).keep_alive(false);
        if let Err(e) = http.serve_connection(TokioIo::new(stream), service).await {
            tracing::debug!("an operator's call: {e}");
        }
    }

    async fn answer(&self, request: &Request<Incoming>) -> Told {
        let now = self.clock.now();
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/api/ready") => self.ready(),
            (&Method::PUT, "/api/exclude") => self.order(request, Order::Exclude).await,
            (&Method::PUT, "/api/include") => self.order(request, Order::Include).await,
            (&Method::PUT, "/api/evacuate") => {
                let drained = self.registry.change(|l| {
                    l.drain(now);
                    matches!(l.phase(), Phase::Draining { .. })
                });
                tracing::info!(drained, "told to drain");
                if drained {
                    OK
                } else {
                    (StatusCode::CONFLICT, "the process ends")
                }
            }
            (&Method::PUT, "/api/rejoin") => {
                let back = self.registry.change(|l| l.rejoin());
                tracing::info!(back, "told to come back to work");
                if back {
                    OK
                } else {
                    (StatusCode::CONFLICT, "the process ends")
                }
            }
            (_, "/api/ready" | "/api/exclude" | "/api/include" | "/api/evacuate" | "/api/rejoin") => {
                (StatusCode::METHOD_NOT_ALLOWED, "expected GET for ready, PUT for what changes something")
            }
            _ => (StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn ready(&self) -> Told {
        match self.registry.is_ready() {
            true => OK,
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        }
    }

    async fn order(&self, request: &Request<Incoming>, order: Order) -> Told {
        let query = request.uri().query().unwrap_or_default();
        let mut targets = form_urlencoded::parse(query.as_bytes()).filter(|(key, _)| key == "target");
        let (Some((_, name)), None) = (targets.next(), targets.next()) else {
            return (StatusCode::BAD_REQUEST, "expected target=ID once in the query");
        };
        let (reply, verdict) = oneshot::channel();
        let _ = self.inputs.send(Input::Maintain(name.as_ref().into(), order, reply));
        let verdict = verdict.await;
        tracing::info!(backend = %name, ?order, ?verdict, "maintenance");
        match verdict {
            Ok(Verdict::Done | Verdict::Already) => {
                let name = name.into_owned();
                self.succession.tell(match order {
                    Order::Exclude => Word::Exclude(name),
                    Order::Include => Word::Include(name),
                });
                OK
            }
            Ok(Verdict::Unknown) => (StatusCode::NOT_FOUND, "no list has named that backend"),
            Ok(Verdict::Full) => (StatusCode::INSUFFICIENT_STORAGE, "too many backends are out"),
            Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "the proxy ends"),
        }
    }
}
