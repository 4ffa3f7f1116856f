//! A proxy's own state of one backend: connections, failures and requests in flight.

use bytes::Bytes;
use gaugesaddle_http_connection::{Connection, CountedPermit};
use gaugesaddle_inference::affinity;
use http_body_util::Full;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::time::Instant;

/// A connection to a backend.
pub type BackendConnection = Connection<Full<Bytes>, CountedPermit>;

/// Time for which a backend is avoided after a failure, in ms; doubles with each consecutive failure.
const FAILURE_BACKOFF_MS: u64 = 400;
/// Maximum time for which a backend is avoided, in ms.
const MAX_FAILURE_BACKOFF_MS: u64 = 6400;
/// Maximum number of doublings of the backoff; enough for it to exceed [`MAX_FAILURE_BACKOFF_MS`] without an overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Maximum count of consecutive failures.
const MAX_FAILURES: u32 = 16;
/// Time after which an idle connection is not reused, unless the backend announces a timeout, in ms.
const DEFAULT_IDLE_MS: u64 = 4000;
/// Fraction of the idle timeout announced by a backend for which a connection is reused: the backend must not close it while
/// a request is being sent.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

struct IdleConnection {
    since_ms: u64,
    connection: BackendConnection,
}

/// One incarnation of a backend.
pub struct Backend {
    pub id: String,
    /// Hash of `id`, for rendezvous hashing and load reports.
    pub identity: u64,
    pub service: String,
    pub address: SocketAddrV4,
    /// Number of requests that the backend processes concurrently.
    pub slots: u32,
    /// Whether new requests may be sent to the backend: it has not announced that it is leaving.
    pub accepts_requests: Cell<bool>,
    /// Whether the lease of its registration has expired.
    pub lease_expired: Cell<bool>,
    in_flight: Rc<Cell<usize>>,
    open_sockets: Rc<Cell<usize>>,
    /// In the order of last use, most recently used last.
    idle: RefCell<Vec<IdleConnection>>,
    idle_timeout_ms: Cell<u64>,
    avoided_until_ms: Cell<u64>,
    consecutive_failures: Cell<u32>,
    /// When the backend last sent a part of a response; `None` before the first.
    last_sent: Cell<Option<Instant>>,
}

impl Backend {
    pub fn new(id: &str, service: &str, address: SocketAddrV4, slots: u32) -> Backend {
        Backend {
            id: id.to_owned(),
            identity: affinity::identity(id),
            service: service.to_owned(),
            address,
            slots,
            accepts_requests: Cell::new(true),
            lease_expired: Cell::new(false),
            in_flight: Rc::default(),
            open_sockets: Rc::default(),
            idle: RefCell::default(),
            idle_timeout_ms: Cell::new(DEFAULT_IDLE_MS),
            avoided_until_ms: Cell::new(0),
            consecutive_failures: Cell::new(0),
            last_sent: Cell::new(None),
        }
    }

    /// Records that the backend has sent a part of a response at `now`.
    pub fn record_data(&self, now: Instant) {
        self.last_sent.set(Some(now));
    }

    /// When the backend last sent a part of any response; `None` before the first.
    pub fn last_sent(&self) -> Option<Instant> {
        self.last_sent.get()
    }

    /// Stops new requests to the backend and closes its idle connections; called when it announces that it is leaving.
    pub fn close(&self) {
        self.accepts_requests.set(false);
        self.idle.borrow_mut().clear();
    }

    /// Counts a request in flight until the permit is dropped.
    pub fn begin_request(&self) -> CountedPermit {
        CountedPermit::acquire(&self.in_flight)
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    pub fn open_sockets(&self) -> usize {
        self.open_sockets.get()
    }

    /// Counts a socket until the permit is dropped.
    pub fn count_socket(&self) -> CountedPermit {
        CountedPermit::acquire(&self.open_sockets)
    }

    /// Takes the most recently used idle connection that has not timed out and that the backend has not closed.
    pub async fn take_idle(&self, now: u64) -> Option<BackendConnection> {
        loop {
            let IdleConnection { since_ms, mut connection } = self.idle.borrow_mut().pop()?;
            let is_recent = now < since_ms + self.idle_timeout_ms.get();
            if is_recent && connection.is_reusable().await {
                return Some(connection);
            }
        }
    }

    /// Adds a connection to the idle pool, unless the backend is leaving.
    pub fn put_idle(&self, now: u64, connection: BackendConnection) {
        if self.accepts_requests.get() {
            self.idle.borrow_mut().push(IdleConnection { since_ms: now, connection });
        }
    }

    /// Closes connections that have exceeded their idle timeout.
    pub fn close_stale_connections(&self, now: u64) {
        let timeout = self.idle_timeout_ms.get();
        self.idle.borrow_mut().retain(|idle| now < idle.since_ms + timeout);
    }

    /// Applies the backend's announced idle timeout, in seconds.
    pub fn set_announced_idle_timeout(&self, seconds: f64) {
        self.idle_timeout_ms.set((seconds * 1000.0 * IDLE_TIMEOUT_FRACTION) as u64);
    }

    /// Records that the backend could not be reached, that a connection failed, or that another incarnation responded;
    /// starts or extends the backoff.
    pub fn record_failure(&self, now: u64) {
        let failures = self.consecutive_failures.get();
        self.consecutive_failures.set((failures + 1).min(MAX_FAILURES));
        let backoff = FAILURE_BACKOFF_MS << failures.min(MAX_BACKOFF_DOUBLINGS);
        self.avoided_until_ms.set(now + backoff.min(MAX_FAILURE_BACKOFF_MS));
        self.idle.borrow_mut().clear();
    }

    /// Records a response of the backend; ends the backoff.
    pub fn record_success(&self) {
        self.consecutive_failures.set(0);
        self.avoided_until_ms.set(0);
    }

    /// Whether the backend is avoided because of a recent failure.
    pub fn is_avoided(&self, now: u64) -> bool {
        now < self.avoided_until_ms.get()
    }
}
