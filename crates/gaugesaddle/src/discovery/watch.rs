//! The watch on the list of backends: calls to the discovery service.

use crate::clock::Clock;
use crate::discovery::list::{read, List, ListError, ListLimits};
use crate::discovery::subscription::{AnswerStatus, Call, Failure, Step, Subscription};
use crate::serving::exchange::Input;
use bytes::Bytes;
use gaugesaddle_balancer::{ListUpdate, Time};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{AbortHandle, JoinHandle, JoinSet};

/// A connection to discovery; dropping it closes it.
struct DiscoveryConnection {
    sender: SendRequest<Empty<Bytes>>,
    driving: JoinHandle<()>,
}

impl Drop for DiscoveryConnection {
    fn drop(&mut self) {
        self.driving.abort();
    }
}

/// Why a call to discovery brought no list.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("connect: {0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("the request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the list: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    List(#[from] ListError),
}

async fn connect(to: SocketAddr) -> Result<DiscoveryConnection, CallError> {
    let stream = TcpStream::connect(to).await.map_err(CallError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driving = tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            tracing::debug!("discovery connection: {e}");
        }
    });
    Ok(DiscoveryConnection { sender, driving })
}

async fn request_list(
    connection: &mut DiscoveryConnection, host: SocketAddr, path: &str, room: ListLimits,
) -> Result<List, CallError> {
    connection.sender.ready().await?;
    let request = Request::get(path).header(hyper::header::HOST, host.to_string()).body(Empty::new())?;
    let answer = connection.sender.send_request(request).await?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), room.bytes).collect().await.map_err(CallError::Body)?;
    if status != StatusCode::OK {
        return Err(CallError::Status(status));
    }
    Ok(read(&body.to_bytes(), "", room)?)
}

/// The watch on the list of backends.
pub struct Watch {
    /// When discovery is called.
    pub subscription: Subscription,
    pub clock: Clock,
    pub limits: ListLimits,
    /// Notified when the balancer requests updates.
    pub follow: Rc<Notify>,
    pub inputs: mpsc::UnboundedSender<Input>,
}

/// A call that has ended, with the connection if that is reusable.
type Done = (u64, Result<(DiscoveryConnection, List), CallError>);

impl Watch {
    /// Watches at the newest address until the program ends. Another address abandons the pending calls, their connections, the
    /// delays and the version, which only the old service knows.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let mut address = *addresses.borrow_and_update();
        let mut connection: Option<DiscoveryConnection> = None;
        let mut calls: JoinSet<Done> = JoinSet::new();
        let mut out: HashMap<u64, AbortHandle> = HashMap::new();
        let mut unanswered_since: Option<Time> = None;
        loop {
            let now = self.clock.now();
            match self.subscription.step(now) {
                Step::Call(request_list) => {
                    let open = connection.take().filter(|l| !l.sender.is_closed());
                    let number = request_list.number;
                    let room = self.limits;
                    let call = async move { (number, call(open, address, request_list, room).await) };
                    out.insert(number, calls.spawn_local(call));
                }
                Step::Abandon(number) => out.remove(&number).iter().for_each(AbortHandle::abort),
                Step::Wait(until) => {
                    let sleep = tokio::time::sleep_until(self.clock.instant(until));
                    tokio::select! {
                        Some(done) = calls.join_next(), if !calls.is_empty() => {
                            // An abandoned one has no result.
                            if let Ok((number, result)) = done {
                                out.remove(&number);
                                connection = self.ended(number, result).or(connection);
                            }
                        }
                        () = self.follow.notified() => self.subscription.request_updates(self.clock.now()),
                        told = addresses.changed() => match told {
                            Ok(()) => {
                                (address, connection) = (*addresses.borrow_and_update(), None);
                                self.subscription.change_address(self.clock.now());
                            }
                            Err(_) => return, // the program ends
                        },
                        () = sleep => {}
                    }
                }
            }
            if self.subscription.take_lost() {
                let lost = Input::List { update: ListUpdate::Lost, index: None, targets: Vec::new() };
                let _ = self.inputs.send(lost);
            }
            // Logged when it begins and when it is over, not for each call.
            match (self.subscription.unanswered(), unanswered_since) {
                (1.., None) => {
                    unanswered_since = Some(now);
                    tracing::warn!("discovery: no list, called anew until there is one");
                }
                (0, Some(since)) => {
                    unanswered_since = None;
                    tracing::info!(
                        "discovery: tells a list again after {:.2} s",
                        (self.clock.now() - since).secs()
                    );
                }
                _ => {}
            }
        }
    }

    /// Applies the result of a call; returns its connection if that is reusable.
    fn ended(
        &mut self, number: u64, result: Result<(DiscoveryConnection, List), CallError>,
    ) -> Option<DiscoveryConnection> {
        let now = self.clock.now();
        match result {
            Ok((connection, list)) => {
                let has_changes = list.full || !list.targets.is_empty();
                match self.subscription.answered(now, number, list.index, list.full, has_changes) {
                    AnswerStatus::Abandoned => return None,
                    AnswerStatus::OutOfSync => {
                        tracing::warn!(
                            "discovery: version {} is behind, the whole list is asked for",
                            list.index
                        );
                    }
                    AnswerStatus::Valid => {
                        tracing::debug!(
                            index = list.index,
                            whole = list.full,
                            lines = list.targets.len(),
                            "list"
                        );
                        let update = if list.full { ListUpdate::Full } else { ListUpdate::Changes };
                        if has_changes || !self.subscription.is_pushed() {
                            let (index, targets) = (Some(list.index), list.targets);
                            let _ = self.inputs.send(Input::List { update, index, targets });
                        }
                    }
                }
                Some(connection)
            }
            Err(why) => {
                let failure = match why {
                    CallError::Connect(_) | CallError::Http(_) | CallError::Request(_) => Failure::Broken,
                    CallError::Body(_) | CallError::Status(_) | CallError::List(_) => Failure::Unusable,
                };
                // The present list stays in force. Each unusable answer is logged: the backoff after them grows.
                if self.subscription.unanswered() == 0 || failure == Failure::Unusable {
                    tracing::warn!("discovery: {why}");
                } else {
                    tracing::debug!("discovery: {why}");
                }
                self.subscription.failed(now, number, failure);
                None
            }
        }
    }
}

async fn call(
    open: Option<DiscoveryConnection>, address: SocketAddr, call: Call, room: ListLimits,
) -> Result<(DiscoveryConnection, List), CallError> {
    let mut connection = match open {
        Some(open) => open,
        None => connect(address).await?,
    };
    let path = match call.after {
        Some(index) => format!("/api/targets?after={index}&wait_ms={}", call.wait.0 / 1000),
        None => "/api/targets".into(),
    };
    let list = request_list(&mut connection, address, &path, room).await?;
    Ok((connection, list))
}
