//! Counts the requests in progress on client connections, which a shutdown waits for.
//!
//! ```text
//!          head received                        response body sent
//!  idle ----------------------> in progress ----------------------> idle
//!                                    |  while closing: the connection has ended
//!                                    +------------------------------------------> ended
//! ```
//!
//! A request counts from its head on: also while its body is read or it waits for tokens. Once the connection is closing, it
//! counts until the connection has ended, since a part of the response may not have been written to the socket before.

use gaugesaddle_http_connection::CountedPermit;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// The request in progress on a client connection.
#[derive(Clone)]
pub struct ConnectionActivity(Rc<Shared>);

struct Shared {
    /// Number of connections with a request in progress.
    active: Rc<Cell<usize>>,
    permit: RefCell<Option<CountedPermit>>,
    has_served: Cell<bool>,
    /// Notified of the first request.
    first_request: Notify,
    is_closing: Cell<bool>,
}

impl ConnectionActivity {
    /// The activity of a new connection, counted in `active`.
    pub fn new(active: &Rc<Cell<usize>>) -> ConnectionActivity {
        ConnectionActivity(Rc::new(Shared {
            active: active.clone(),
            permit: RefCell::default(),
            has_served: Cell::new(false),
            first_request: Notify::new(),
            is_closing: Cell::new(false),
        }))
    }

    /// Begins a request, which is in progress until the result is dropped.
    pub fn begin(&self) -> ActiveRequest {
        self.0.has_served.set(true);
        self.0.first_request.notify_one();
        self.count();
        ActiveRequest(self.clone())
    }

    /// Waits until the connection has had its first request.
    pub async fn first_request(&self) {
        if !self.0.has_served.get() {
            self.0.first_request.notified().await;
        }
    }

    /// Records that the connection closes after its current request.
    pub fn close(&self) {
        self.0.is_closing.set(true);
        if self.0.has_served.get() {
            self.count();
        }
    }

    fn count(&self) {
        let mut permit = self.0.permit.borrow_mut();
        if permit.is_none() {
            *permit = Some(CountedPermit::acquire(&self.0.active));
        }
    }
}

/// A request in progress.
pub struct ActiveRequest(ConnectionActivity);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let ConnectionActivity(shared) = &self.0;
        if !shared.is_closing.get() {
            shared.permit.take();
        }
    }
}

#[cfg(test)]
mod tests;
