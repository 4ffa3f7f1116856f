//! What a proxy knows of one backend by itself: connections, failures, load.

use crate::counted::Counted;
use crate::link::Link;
use bytes::Bytes;
use gaugesaddle_inference::affinity;
use http_body_util::Full;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// A connection to a backend.
pub type BackendLink = Link<Full<Bytes>, Counted>;

/// First time that a backend is avoided after a failure, in ms; it doubles with each.
const FAILED_MEMBER_BACKOFF_MS: u64 = 400;
/// A backend is avoided at most so long, in ms.
const MAX_AVOID: u64 = 6400;
/// A connection that stands idle for longer is not used again unless the backend says more, in ms.
const IDLE: u64 = 4000;
/// Part of the time a backend names that an idle connection is used for.
const IDLE_PART: f64 = 0.6;

/// One incarnation of a backend.
pub struct Backend {
    pub id: String,
    pub identity: u64,
    pub service: String,
    pub address: SocketAddrV4,
    pub slots: u32,
    /// New requests may go to it: it has not announced its end.
    pub open: Cell<bool>,
    /// Its lease has run out.
    pub expired: Cell<bool>,
    /// Requests that are there.
    outstanding: Rc<Cell<usize>>,
    sockets: Rc<Cell<usize>>,
    idle: RefCell<Vec<(u64, BackendLink)>>,
    idle_limit: Cell<u64>,
    avoid_until: Cell<u64>,
    failures: Cell<u32>,
    /// When bytes came from it last.
    pub heard: Cell<u64>,
}

impl Backend {
    pub fn new(id: &str, service: &str, address: SocketAddrV4, slots: u32) -> Backend {
        Backend {
            id: id.to_owned(),
            identity: affinity::identity(id),
            service: service.to_owned(),
            address,
            slots,
            open: Cell::new(true),
            expired: Cell::new(false),
            outstanding: Rc::default(),
            sockets: Rc::default(),
            idle: RefCell::default(),
            idle_limit: Cell::new(IDLE),
            avoid_until: Cell::new(0),
            failures: Cell::new(0),
            heard: Cell::new(0),
        }
    }

    /// It has announced its end: nothing new goes there.
    pub fn close(&self) {
        self.open.set(false);
        self.idle.borrow_mut().clear();
    }

    /// Counts a request until what is returned is dropped.
    pub fn use_for(&self) -> Counted {
        Counted::take(&self.outstanding)
    }

    pub fn outstanding(&self) -> usize {
        self.outstanding.get()
    }

    pub fn sockets(&self) -> usize {
        self.sockets.get()
    }

    /// Counts a socket until what is returned is dropped.
    pub fn open_socket(&self) -> Counted {
        Counted::take(&self.sockets)
    }

    /// The connection that was used last, if the backend has not closed it.
    pub async fn pooled(&self, now: u64) -> Option<BackendLink> {
        loop {
            let (since, mut link) = self.idle.borrow_mut().pop()?;
            if now < since + self.idle_limit.get() && link.alive().await {
                return Some(link);
            }
        }
    }

    /// Keeps a connection for the next request.
    pub fn put_back(&self, now: u64, link: BackendLink) {
        if self.open.get() {
            self.idle.borrow_mut().push((now, link));
        }
    }

    /// Closes connections that have stood idle too long.
    pub fn sweep(&self, now: u64) {
        let limit = self.idle_limit.get();
        self.idle.borrow_mut().retain(|(since, _)| now < *since + limit);
    }

    /// The backend says how long it keeps an idle connection, in seconds.
    pub fn keeps_idle_for(&self, seconds: f64) {
        self.idle_limit.set((seconds * 1000.0 * IDLE_PART) as u64);
    }

    /// It could not be reached, broke off, or is another one.
    pub fn failed(&self, now: u64) {
        let failures = self.failures.get();
        self.failures.set((failures + 1).min(16));
        self.avoid_until.set(now + (FAILED_MEMBER_BACKOFF_MS << failures.min(8)).min(MAX_AVOID));
        self.idle.borrow_mut().clear();
    }

    /// It answered.
    pub fn succeeded(&self) {
        self.failures.set(0);
        self.avoid_until.set(0);
    }

    /// Whether it failed a moment ago.
    pub fn is_avoided(&self, now: u64) -> bool {
        now < self.avoid_until.get()
    }
}
