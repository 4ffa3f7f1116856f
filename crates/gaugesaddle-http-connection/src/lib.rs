//! HTTP/1.1 connections to backends, for callers that must know whether a request may have run.
//!
//! A proxy may send a request to a second backend only if the first one cannot have run it, or if running it twice is
//! harmless. These types answer the first question from the socket itself, not from what an HTTP client reports:
//!
//! - [`Connection`]: one connection, driven only by its user. Dropping it closes the socket at once.
//! - [`RequestProgress`]: how far the present request and its response have come on that connection.
//! - [`SendGuard`]: asked right before the first byte of a request whether it may still be sent.
//! - [`CountedPermit`]: a counted resource (a request in flight, an open socket) that is released on drop.
//! - [`strip_connection_headers`]: removes the headers that concern one connection only.
//!
//! ```
//! use gaugesaddle_http_connection::CountedPermit;
//! use std::{cell::Cell, rc::Rc};
//!
//! let open_sockets = Rc::new(Cell::new(0));
//! let permit = CountedPermit::acquire(&open_sockets);
//! assert_eq!(open_sockets.get(), 1);
//! drop(permit);
//! assert_eq!(open_sockets.get(), 0);
//! ```
//!
//! **Guarantees.** A request whose [`RequestProgress::begun`] is false has not reached the backend. No request is written
//! on a connection that the backend has closed or on which unread bytes are waiting, as far as the socket can tell.
//!
//! **Bounds.** A response that is buffered is read up to [`MAX_RESPONSE_BYTES`]; response heads up to the limit that the
//! caller of [`Connection::open`] gives.

mod connection;
mod counted;
mod guarded_stream;
mod headers;

pub use connection::Connection;
pub use counted::CountedPermit;
pub use guarded_stream::{RequestProgress, SendGuard, MAX_RESPONSE_BYTES};
pub use headers::strip_connection_headers;

use std::io;

/// Bodies up to this size are buffered whole before they are passed on.
pub const BUFFERED_BODY_BYTES: usize = 64 << 10;

/// `ENFILE`: the system's table of open files is full.
const ENFILE: i32 = 23;
/// `EMFILE`: the process has no file descriptor left.
const EMFILE: i32 = 24;

/// Whether a connection failed for want of file descriptors here, which says nothing about the backend.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
