//! Why a connection can no longer be used.

use gaugesaddle_protocol::frame::FrameError;
use std::fmt;
use std::io;
use thiserror::Error;

/// What was being done when a connection failed.
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

/// Why a connection can no longer be used. Its text leaves out the cause, which is its source.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The socket failed, or the peer closed it inside a message.
    #[error("{operation}")]
    Socket {
        /// What was being done.
        operation: Operation,
        /// The error of the socket.
        source: io::Error,
    },
    /// The bytes received are no message, or a message cannot be encoded.
    #[error("frame")]
    Frame(#[from] FrameError),
    /// The operation did not complete within its time-out.
    #[error("{0} timed out")]
    TimedOut(Operation),
}

impl LinkError {
    /// Wraps an error of the socket: `result.map_err(LinkError::socket(Operation::Send))`.
    pub(crate) fn socket(operation: Operation) -> impl FnOnce(io::Error) -> LinkError {
        move |source| LinkError::Socket { operation, source }
    }
}
