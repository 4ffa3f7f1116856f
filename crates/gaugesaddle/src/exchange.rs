//! What passes between fronts, driver, upstreams and discovery. Each of them knows these types and none of the
//! others: a front brings [`Arrived`] requests and waits for their [`Answer`]; an [`Upstream`] carries attempts
//! to one node; discovery tells [`Target`]s. Only the driver speaks with the module.

use crate::backend_set::CommandOrigin;
use crate::body::{CallBody, Payload};
use crate::clock::Clock;
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

/// A body up to this size is held whole before it goes on, either way.
pub const BODY_BYTES: usize = gaugesaddle_http_connection::BUFFERED_BODY_BYTES;
/// The header that tells how long the sender will wait, in whole milliseconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");

/// A line of the list.
#[derive(Clone)]
pub struct Target {
    pub backend: Backend,
    pub address: SocketAddr,
    /// The names behind the numbers of the backend, its zone and its kind.
    pub name: Rc<str>,
    pub zone: Rc<str>,
    pub kind: Rc<str>,
}

/// What goes to a backend, the same in every attempt but for the time left.
pub struct Call {
    pub head: Request<()>,
    pub body: CallBody,
    /// Its client waits for an answer and has had none.
    pub wanted: Cell<bool>,
}

/// When an attempt may begin, and when it must have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Its first byte goes out before that or never: until then a repeat is known as one, and its client waits.
    pub begin: Time,
    pub deadline: Time,
}

/// The one owner of whether an attempt may begin now. It is asked by whoever hands the first byte to the socket, right
/// before that: from there on the request has been sent, and since the module chose, a connection had to come up.
///
/// ```text
///  chosen ----> connecting ----> first byte ----> out
///                   |   (asked here)
///                   +--> never sent: the backend leaves, the client has gone or is served, the time is over
/// ```
pub struct Gate {
    /// New requests may go to the backend.
    pub open: Rc<Cell<bool>>,
    pub call: Rc<Call>,
    pub span: Span,
    pub clock: Clock,
}

impl SendGuard for Gate {
    fn may_send(&self) -> bool {
        self.open.get() && self.call.wanted.get() && self.clock.now() < self.span.begin
    }
}

/// How an attempt ended, with the answer if it was served.
pub struct Ended {
    pub outcome: Outcome,
    pub answer: Option<Response<Payload>>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended { outcome, answer: None }
    }
}

/// A request that is turned away: a repeat is harmless.
#[derive(Clone, Copy)]
pub struct Refusal {
    /// The client may come back after so many seconds.
    pub after_s: u64,
    /// So many requests are open that it reached neither the module nor a backend.
    pub crowded: bool,
    /// The client itself is the cause: it came before it was told to.
    pub by_client: bool,
}

/// A final answer.
pub enum Answer {
    Served(Response<Payload>),
    Refused(Refusal),
    Failed,
}

/// A request that a client has sent whole.
pub struct Arrived {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// When its last byte had come.
    pub came: Time,
    /// When it must have been answered.
    pub deadline: Time,
    /// How long its client waits from its last byte on, where that is still to come.
    pub after_last: Option<Micros>,
    pub work_hint: Option<Micros>,
    pub repeat: bool,
    /// The hash of its idempotency key, where it has one.
    pub key: Option<u64>,
    /// The hash of its account, or of its client's address where there are no accounts.
    pub source: u64,
    /// Through which regions it came, where another region's gateway brought it.
    pub hop: Option<gaugesaddle_federation::Via>,
    pub call: Rc<Call>,
    pub reply: oneshot::Sender<Answer>,
}

/// What happens to a proxy.
pub enum Input {
    Arrived(Arrived),
    /// The client has closed its connection.
    Left(RequestId),
    Ended(RequestId, AttemptNo, Ended),
    List {
        update: ListUpdate,
        index: Option<u64>,
        targets: Vec<Target>,
    },
    /// The last byte has come of a request that is passed on while it comes.
    Whole(RequestId),
    /// The operators exclude a backend or include it again.
    Maintain {
        /// The backend's name.
        name: Box<str>,
        /// What they want.
        command: MaintenanceCommand,
        /// Which process of this proxy took the command.
        origin: CommandOrigin,
        /// Gets the outcome.
        reply: oneshot::Sender<CommandOutcome>,
    },
}

/// A future of the one thread that all of this runs on.
pub type Local<T> = Pin<Box<dyn Future<Output = T>>>;

/// One process of a node, and the connections to it. A restarted process gets a new one, so that none of the old
/// connections is used for it.
pub trait Upstream {
    /// The line of the list that it was made for.
    fn target(&self) -> &Target;
    /// Whether new requests may go to it; asked again before the first byte of each.
    fn is_open(&self) -> bool;
    /// New requests may go to it from now on.
    fn open(&self);
    /// Nothing new goes to it from now on.
    fn shut(&self);
    /// Closes idle connections that are of no use any more.
    fn sweep(self: Rc<Self>) -> Local<()>;
    /// One attempt to one outcome. Dropped, it stops at once and closes what it used; whether it has run by
    /// then is unknown. It never sends a second time what may have run.
    fn attempt(self: Rc<Self>, call: Rc<Call>, span: Span) -> Local<Ended>;
}

/// What makes upstreams, and bounds them together.
pub trait Upstreams {
    /// One for a line of the list.
    fn make(&self, target: Target) -> Rc<dyn Upstream>;
    /// All sockets are taken: an idle one has to go before another is opened.
    fn is_full(&self) -> bool;
    /// Closes the connection that has been idle longest, whichever upstream it is to, if there is one.
    fn give_way(&self) -> bool;
    /// Sockets that are open.
    fn sockets(&self) -> usize;
}
