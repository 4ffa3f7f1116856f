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
    driver: JoinHandle<()>,
}

impl Drop for DiscoveryConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a call to discovery returned no list.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("connect: {0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("building the request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the list: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("expected status 200, got {0}")]
    Status(StatusCode),
    #[error(transparent)]
    List(#[from] ListError),
}

async fn connect(to: SocketAddr) -> Result<DiscoveryConnection, CallError> {
    let stream = TcpStream::connect(to).await.map_err(CallError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            tracing::debug!("discovery connection: {e}");
        }
    });
    Ok(DiscoveryConnection { sender, driver })
}

async fn request_list(
    connection: &mut DiscoveryConnection, host: SocketAddr, path: &str, list_limits: ListLimits,
) -> Result<List, CallError> {
    connection.sender.ready().await?;
    let request = Request::get(path).header(hyper::header::HOST, host.to_string()).body(Empty::new())?;
    let answer = connection.sender.send_request(request).await?;
    let status = answer.status();
    let body =
        Limited::new(answer.into_body(), list_limits.bytes).collect().await.map_err(CallError::Body)?;
    if status != StatusCode::OK {
        return Err(CallError::Status(status));
    }
    Ok(read(&body.to_bytes(), "", list_limits)?)
}

/// The watch on the list of backends.
pub struct Watch {
    /// Decides when discovery is called.
    pub subscription: Subscription,
    pub clock: Clock,
    pub limits: ListLimits,
    /// Notified when the balancer requests updates.
    pub updates_requested: Rc<Notify>,
    pub inputs: mpsc::UnboundedSender<Input>,
}

/// The number and result of a call that has ended, with its connection if it succeeded.
type CallEnd = (u64, Result<(DiscoveryConnection, List), CallError>);

impl Watch {
    /// Watches the list at the latest address until the program ends. A change of the address drops the pending calls,
    /// their connections, the delays and the version, which are valid only at the old address.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let mut address = *addresses.borrow_and_update();
        let mut connection: Option<DiscoveryConnection> = None;
        let mut calls: JoinSet<CallEnd> = JoinSet::new();
        let mut pending: HashMap<u64, AbortHandle> = HashMap::new();
        let mut unanswered_since: Option<Time> = None;
        loop {
            let now = self.clock.now();
            match self.subscription.step(now) {
                Step::Call(next_call) => {
                    let open = connection.take().filter(|c| !c.sender.is_closed());
                    let number = next_call.number;
                    let list_limits = self.limits;
                    let call = async move { (number, call(open, address, next_call, list_limits).await) };
                    pending.insert(number, calls.spawn_local(call));
                }
                Step::Abandon(number) => pending.remove(&number).iter().for_each(AbortHandle::abort),
                Step::Wait(until) => {
                    let sleep = tokio::time::sleep_until(self.clock.instant(until));
                    tokio::select! {
                        Some(completed) = calls.join_next(), if !calls.is_empty() => {
                            // An abandoned call has no result.
                            if let Ok((number, result)) = completed {
                                pending.remove(&number);
                                connection = self.finish_call(number, result).or(connection);
                            }
                        }
                        () = self.updates_requested.notified() => self.subscription.request_updates(self.clock.now()),
                        change = addresses.changed() => match change {
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
            // The beginning and the end of an outage are logged, not each call.
            match (self.subscription.unanswered(), unanswered_since) {
                (1.., None) => {
                    unanswered_since = Some(now);
                    tracing::warn!("discovery: a call returned no list, retrying until one does");
                }
                (0, Some(since)) => {
                    unanswered_since = None;
                    tracing::info!(
                        "discovery: answers again after {:.2} s",
                        (self.clock.now() - since).secs()
                    );
                }
                _ => {}
            }
        }
    }

    /// Applies the result of a call; returns its connection if that is reusable.
    fn finish_call(
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
                            "discovery: version {} is older than the current one, requesting the full list",
                            list.index
                        );
                    }
                    AnswerStatus::Valid => {
                        tracing::debug!(
                            index = list.index,
                            full = list.full,
                            entries = list.targets.len(),
                            "received a list"
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
            Err(error) => {
                let failure = match error {
                    CallError::Connect(_) | CallError::Http(_) | CallError::Request(_) => Failure::Broken,
                    CallError::Body(_) | CallError::Status(_) | CallError::List(_) => Failure::Unusable,
                };
                // The current list remains in force. Each unusable answer is logged, at a rate that the growing backoff
                // limits.
                if self.subscription.unanswered() == 0 || failure == Failure::Unusable {
                    tracing::warn!("discovery: {error}");
                } else {
                    tracing::debug!("discovery: {error}");
                }
                self.subscription.failed(now, number, failure);
                None
            }
        }
    }
}

async fn call(
    open: Option<DiscoveryConnection>, address: SocketAddr, call: Call, list_limits: ListLimits,
) -> Result<(DiscoveryConnection, List), CallError> {
    let mut connection = match open {
        Some(open) => open,
        None => connect(address).await?,
    };
    let path = match call.after {
        Some(index) => format!("/api/targets?after={index}&wait_ms={}", call.wait.0 / 1000),
        None => "/api/targets".into(),
    };
    let list = request_list(&mut connection, address, &path, list_limits).await?;
    Ok((connection, list))
}
