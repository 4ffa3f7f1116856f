//! What a proxy knows of one backend by itself: connections, failures, requests in flight.

use bytes::Bytes;
use gaugesaddle_http_connection::{Connection, CountedPermit};
use gaugesaddle_inference::affinity;
use http_body_util::Full;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// A connection to a backend.
pub type BackendConnection = Connection<Full<Bytes>, CountedPermit>;

/// A backend is avoided for this long after a failure, in ms; the time doubles with each further one.
const FAILURE_BACKOFF_MS: u64 = 400;
/// A backend is avoided for this long at most, in ms.
const MAX_FAILURE_BACKOFF_MS: u64 = 6400;
/// Doublings after which the backoff has surely reached its maximum.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Failures in a row that are counted.
const MAX_FAILURES: u32 = 16;
/// An idle connection is not reused after this time unless the backend allows longer, in ms.
const DEFAULT_IDLE_MS: u64 = 4000;
/// Fraction of the idle time-out that a backend announces for which a connection is reused: the backend must not close it
/// while a request is on its way.
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
    /// Requests that it runs at once.
    pub slots: u32,
    /// New requests may be sent to it: it has not announced that it leaves.
    pub accepts_requests: Cell<bool>,
    /// Its lease has run out.
    pub lease_expired: Cell<bool>,
    in_flight: Rc<Cell<usize>>,
    open_sockets: Rc<Cell<usize>>,
    /// Most recently used last.
    idle: RefCell<Vec<IdleConnection>>,
    idle_timeout_ms: Cell<u64>,
    avoided_until_ms: Cell<u64>,
    consecutive_failures: Cell<u32>,
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
        }
    }

    /// It has announced that it leaves: no new request is sent to it.
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

    /// The most recently used idle connection that the backend has not closed.
    pub async fn take_idle(&self, now: u64) -> Option<BackendConnection> {
        loop {
            let IdleConnection { since_ms, mut connection } = self.idle.borrow_mut().pop()?;
            let is_recent = now < since_ms + self.idle_timeout_ms.get();
            if is_recent && connection.is_reusable().await {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection for the next request.
    pub fn put_idle(&self, now: u64, connection: BackendConnection) {
        if self.accepts_requests.get() {
            self.idle.borrow_mut().push(IdleConnection { since_ms: now, connection });
        }
    }

    /// Closes connections that have been idle too long.
    pub fn close_stale_connections(&self, now: u64) {
        let timeout = self.idle_timeout_ms.get();
        self.idle.borrow_mut().retain(|idle| now < idle.since_ms + timeout);
    }

    /// The backend announced how long it keeps an idle connection, in seconds.
    pub fn set_announced_idle_timeout(&self, seconds: f64) {
        self.idle_timeout_ms.set((seconds * 1000.0 * IDLE_TIMEOUT_FRACTION) as u64);
    }

    /// It could not be reached, broke a connection, or is another incarnation.
    pub fn record_failure(&self, now: u64) {
        let failures = self.consecutive_failures.get();
        self.consecutive_failures.set((failures + 1).min(MAX_FAILURES));
        let backoff = FAILURE_BACKOFF_MS << failures.min(MAX_BACKOFF_DOUBLINGS);
        self.avoided_until_ms.set(now + backoff.min(MAX_FAILURE_BACKOFF_MS));
        self.idle.borrow_mut().clear();
    }

    /// It responded.
    pub fn record_success(&self) {
        self.consecutive_failures.set(0);
        self.avoided_until_ms.set(0);
    }

    /// Whether it failed a moment ago.
    pub fn is_avoided(&self, now: u64) -> bool {
        now < self.avoided_until_ms.get()
    }
}
