//! Errors of connections.

use gaugesaddle_protocol::frame::FrameError;
use std::fmt;
use std::io;
use thiserror::Error;

/// The operation during which a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Opening the connection.
    Connect,
    /// Sending a message.
    Send,
    /// Receiving a message.
    Receive,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operation::Connect => "connecting",
            Operation::Send => "sending a message",
            Operation::Receive => "receiving a message",
        })
    }
}

/// An error after which a connection can no longer be used. Its text does not contain the cause, which is available as
/// its source.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The socket failed, or the peer closed it inside a message.
    #[error("{operation} failed")]
    Socket {
        /// The operation that failed.
        operation: Operation,
        /// The error of the socket.
        source: io::Error,
    },
    /// The received bytes are not a valid message, or a message cannot be encoded.
    #[error("encoding or decoding a frame failed")]
    Frame(#[from] FrameError),
    /// The operation did not complete within its time-out.
    #[error("{0} timed out")]
    TimedOut(Operation),
}

impl LinkError {
    /// Whether the peer closed the connection, as one does that doesn't know the preface.
    pub fn is_closed_by_peer(&self) -> bool {
        let LinkError::Socket { source, .. } = self else { return false };
        use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
        matches!(source.kind(), BrokenPipe | ConnectionReset | UnexpectedEof)
    }

    /// Wraps an error of the socket: `result.map_err(LinkError::socket(Operation::Send))`.
    pub(crate) fn socket(operation: Operation) -> impl FnOnce(io::Error) -> LinkError {
        move |source| LinkError::Socket { operation, source }
    }
}
