//! The operators' HTTP interface of a running proxy (`admin` in the platform's document). Each connection carries one call;
//! every call is answered from memory, so that it waits at most for the driver's next turn.

use crate::clock::Clock;
use crate::discovery::backend_set::CommandOrigin;
use crate::operations::hot_restart::HotRestart;
use crate::operations::registry::Registry;
use crate::serving::exchange::Input;
use bytes::Bytes;
use gaugesaddle_maintenance::{CommandOutcome, HandoverMessage, MaintenanceCommand, Phase};
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

/// Maximum number of concurrent callers. One more closes the oldest connection, whose call is incomplete, since complete
/// calls are answered within a turn of the driver.
pub const MAX_CALLERS: usize = 12;
/// Time after which the connection of a caller that has not sent its call or read the response is closed, since each uses a
/// file descriptor.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The admin interface and the parts of the proxy that its calls use.
pub struct Admin {
    pub clock: Clock,
    pub registry: Rc<Registry>,
    pub inputs: mpsc::UnboundedSender<Input>,
    pub hot_restart: Rc<HotRestart>,
}

/// Status and body of a response.
type Answer = (StatusCode, &'static str);
const OK: Answer = (StatusCode::OK, "ok");

impl Admin {
    /// Answers calls until the process ends.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    callers.retain(|c| !c.is_finished());
                    if callers.len() >= MAX_CALLERS {
                        callers.pop_front().into_iter().for_each(|c| c.abort());
                    }
                    let answered = tokio::time::timeout(CALL_TIMEOUT, self.clone().serve_connection(stream));
                    callers.push_back(tokio::task::spawn_local(answered).abort_handle());
                }
                Err(e) => {
                    tracing::debug!("admin: accepting a connection failed, retrying: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
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
        http.max_buf_size(MAX_HEAD_BYTES).header_read_timeout(None).keep_alive(false);
        if let Err(e) = http.serve_connection(TokioIo::new(stream), service).await {
            tracing::debug!("admin: connection failed: {e}");
        }
    }

    async fn answer(&self, request: &Request<Incoming>) -> Answer {
        let now = self.clock.now();
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/api/ready") => self.ready(),
            (&Method::PUT, "/api/exclude") => self.apply(request, MaintenanceCommand::Exclude).await,
            (&Method::PUT, "/api/include") => self.apply(request, MaintenanceCommand::Include).await,
            (&Method::PUT, "/api/evacuate") => {
                let drained = self.registry.update_lifecycle(|l| {
                    l.drain(now);
                    matches!(l.phase(), Phase::Draining { .. })
                });
                tracing::info!(drained, "drain requested");
                if drained {
                    OK
                } else {
                    (StatusCode::CONFLICT, "the process ends")
                }
            }
            (&Method::PUT, "/api/rejoin") => {
                let rejoined = self.registry.update_lifecycle(gaugesaddle_maintenance::Lifecycle::rejoin);
                tracing::info!(rejoined, "rejoin requested");
                if rejoined {
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

    fn ready(&self) -> Answer {
        if self.registry.is_ready() {
            OK
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    async fn apply(&self, request: &Request<Incoming>, command: MaintenanceCommand) -> Answer {
        let query = request.uri().query().unwrap_or_default();
        let mut targets = form_urlencoded::parse(query.as_bytes()).filter(|(key, _)| key == "target");
        let (Some((_, name)), None) = (targets.next(), targets.next()) else {
            return (StatusCode::BAD_REQUEST, "expected target=ID once in the query");
        };
        let (reply, outcome) = oneshot::channel();
        let origin = CommandOrigin::ThisProcess;
        let _ = self.inputs.send(Input::Maintain { name: name.as_ref().into(), command, origin, reply });
        let outcome = outcome.await;
        tracing::info!(backend = %name, ?command, ?outcome, "maintenance command handled");
        match outcome {
            Ok(CommandOutcome::Applied | CommandOutcome::Unchanged) => {
                let name = name.into_owned();
                self.hot_restart.forward(match command {
                    MaintenanceCommand::Exclude => HandoverMessage::Exclude(name),
                    MaintenanceCommand::Include => HandoverMessage::Include(name),
                });
                OK
            }
            Ok(CommandOutcome::UnknownBackend) => (StatusCode::NOT_FOUND, "no list has named that backend"),
            Ok(CommandOutcome::LimitReached) => {
                (StatusCode::INSUFFICIENT_STORAGE, "too many backends are out")
            }
            Err(_) => (StatusCode::SERVICE_UNAVAILABLE, "the proxy ends"),
        }
    }
}
