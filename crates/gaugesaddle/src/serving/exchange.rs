//! The types that pass between the client-facing server, the driver, upstreams and discovery. Each of these components
//! depends on the types and not on the other components: the server submits a [`NewRequest`] and waits for its
//! [`Answer`]; an [`Upstream`] sends attempts to one backend; discovery reports [`ListedBackend`]s. Only the driver
//! calls the balancer.

use crate::clock::Clock;
use crate::discovery::backend_set::CommandOrigin;
use crate::serving::body::{CallBody, Payload};
use gaugesaddle_balancer::{
    AttemptNo, Backend, ClassId, ListUpdate, Micros, Outcome, RequestId, TenantId, Time,
};
use gaugesaddle_http_connection::SendGuard;
use gaugesaddle_maintenance::{CommandOutcome, MaintenanceCommand};
use hyper::header::HeaderName;
use hyper::{Request, Response};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A body up to this size is buffered before it is forwarded, in either direction.
pub const BODY_BYTES: usize = gaugesaddle_http_connection::BUFFERED_BODY_BYTES;
/// The header with the time for which the sender will wait, in whole milliseconds.
pub const REMAINING_TIME: HeaderName = HeaderName::from_static("x-time-left-ms");

/// An entry of the list of backends.
#[derive(Clone)]
pub struct ListedBackend {
    pub backend: Backend,
    pub address: SocketAddr,
    /// The names of the backend, its zone and its kind, which the balancer identifies by numbers.
    pub name: Rc<str>,
    pub zone: Rc<str>,
    pub kind: Rc<str>,
}

/// A request as it is sent to a backend: the same in every attempt except for the remaining time.
pub struct Call {
    pub head: Request<()>,
    pub body: CallBody,
    /// Whether its client still waits for an answer.
    pub is_awaited: Cell<bool>,
}

/// When an attempt may be sent, and when it must have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendWindow {
    /// Its first byte is sent before this time or never: until then backends recognise a retry, and its client waits.
    pub send_before: Time,
    pub deadline: Time,
}

/// Decides whether an attempt may be sent now. It is checked right before the first byte is written, since establishing
/// a connection may have taken time after the balancer's decision.
///
/// ```text
///  dispatched ----> connecting ----> first byte ----> in flight
///                       |   (checked here)
///                       +--> never sent: the backend departs, the client has disconnected or is served,
///                            or the window is over
/// ```
pub struct SendGate {
    /// Whether new requests may be sent to the backend.
    pub open: Rc<Cell<bool>>,
    pub call: Rc<Call>,
    pub window: SendWindow,
    pub clock: Clock,
}

impl SendGuard for SendGate {
    fn may_send(&self) -> bool {
        self.open.get() && self.call.is_awaited.get() && self.clock.now() < self.window.send_before
    }
}

/// How an attempt ended, with the answer if it was served.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub answer: Option<Response<Payload>>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, answer: None }
    }
}

/// The rejection of a request that was not executed: a retry is harmless.
#[derive(Clone, Copy)]
pub struct Rejection {
    /// Delay after which the client may retry, in seconds.
    pub retry_after_s: u64,
    /// Too many requests are open: it reached neither the balancer nor a backend.
    pub over_open_cap: bool,
    /// The client is the cause: it retried before the delay that it was given.
    pub by_client: bool,
}

/// A final answer.
pub enum Answer {
    Served(Response<Payload>),
    Rejected(Rejection),
    Failed,
}

/// A request that a client has sent.
pub struct NewRequest {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// When it was received.
    pub received_at: Time,
    /// When it must be answered.
    pub deadline: Time,
    /// How long its client waits after the last byte of its body, if that was not received yet.
    pub patience_after_body: Option<Micros>,
    pub work_hint: Option<Micros>,
    pub repeat: bool,
    /// The hash of its idempotency key, if it has one.
    pub key: Option<u64>,
    /// The hash of its account, or of its client's address if it has no account.
    pub source: u64,
    /// The regions that it was forwarded through, if another region has forwarded it.
    pub via: Option<gaugesaddle_federation::Via>,
    pub call: Rc<Call>,
    pub reply: oneshot::Sender<Answer>,
}

/// An input of the driver.
pub enum Input {
    /// A request has arrived.
    Arrived(NewRequest),
    /// The client has closed its connection.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptEnded(RequestId, AttemptNo, AttemptResult),
    /// An update of the list of backends.
    List { update: ListUpdate, index: Option<u64>, targets: Vec<ListedBackend> },
    /// The last byte of a streamed request was received.
    BodyComplete(RequestId),
    /// The operators exclude a backend or include it again.
    Maintain {
        /// The backend's name.
        name: Box<str>,
        /// The command.
        command: MaintenanceCommand,
        /// Which process of this proxy received it.
        origin: CommandOrigin,
        /// Receives the outcome.
        reply: oneshot::Sender<CommandOutcome>,
    },
}

/// A future that runs on the proxy's only thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// One process of a backend, with the connections to it. A restarted process has a new upstream, so that no old
/// connection is used for it.
pub trait Upstream {
    /// The entry of the list that it was created for.
    fn target(&self) -> &ListedBackend;
    /// Whether new requests may be sent to it; checked again before the first byte of each.
    fn is_open(&self) -> bool;
    /// Allows new requests.
    fn open(&self);
    /// Allows no new requests.
    fn close(&self);
    /// Closes idle connections that are not usable any more.
    fn sweep(self: Rc<Self>) -> LocalFuture<()>;
    /// Sends one attempt, which has one outcome. If the future is dropped, the attempt stops at once and its connection
    /// is closed; whether it was executed is then unknown. A request that may have been executed is never sent a second
    /// time by this call.
    fn attempt(self: Rc<Self>, call: Rc<Call>, window: SendWindow) -> LocalFuture<AttemptResult>;
}

/// Creates upstreams, and limits their connections.
pub trait Upstreams {
    /// Creates an upstream for an entry of the list.
    fn create(&self, target: ListedBackend) -> Rc<dyn Upstream>;
    /// Whether all sockets are in use: an idle one has to be closed before another is opened.
    fn is_full(&self) -> bool;
    /// Closes the longest idle connection of all upstreams; returns whether there was one.
    fn close_idlest(&self) -> bool;
    /// Number of open sockets.
    fn sockets(&self) -> usize;
}
