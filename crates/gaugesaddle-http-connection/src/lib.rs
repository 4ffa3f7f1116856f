//! HTTP/1.1 connections to backends, for callers that must know whether a request may have been executed.
//!
//! A proxy may retry a request at another backend only if the first backend cannot have executed it, or if the request is
//! idempotent. These types determine the former from the socket itself, not from the errors that an HTTP client reports:
//!
//! - [`Connection`]: one connection, driven only by its owner. Dropping it closes the socket immediately.
//! - [`RequestProgress`]: the progress of the current request and its response on that connection.
//! - [`SendGuard`]: decides, right before the first byte of a request is written, whether the request may still be sent.
//! - [`CountedPermit`]: a counted resource (a request in flight, an open socket) that is released on drop.
//! - [`BodyFraming`]: whether a response body states its end, or ends with its connection.
//! - [`strip_connection_headers`]: removes connection-specific headers. [`is_event_stream`]: reads the media type.
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
//! on a connection that the backend has closed or that has unread bytes, as far as the local socket has received them.
//!
//! **Bounds.** [`MAX_RESPONSE_BYTES`] limits a buffered response; the caller of [`Connection::open`] sets the limit on the
//! size of response heads.

mod connection;
mod counted;
mod framing;
mod guarded_stream;
mod headers;

pub use connection::Connection;
pub use counted::CountedPermit;
pub use framing::BodyFraming;
pub use guarded_stream::{RequestProgress, SendGuard, MAX_RESPONSE_BYTES};
pub use headers::{is_event_stream, strip_connection_headers};

use std::io;

/// Maximum size of a body that is buffered completely before it is forwarded, in bytes.
pub const BUFFERED_BODY_BYTES: usize = 64 << 10;

/// `ENFILE`: the system-wide limit on open files is reached.
const ENFILE: i32 = 23;
/// `EMFILE`: the process's limit on file descriptors is reached.
const EMFILE: i32 = 24;

/// Whether a connection failed because this host is out of file descriptors, which is no failure of the backend.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
