//! Sockets that the proxy listens on.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Maximum number of connections in the system's accept queue.
const BACKLOG: i32 = 1024;

/// An address cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error("{key}: expected a free address, got {address}: {source}")]
pub struct ListenError {
    /// The configuration key of the address.
    pub key: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The error of the system.
    pub source: io::Error,
}

impl ListenError {
    /// Adds key and address to an error of the system.
    pub fn at(key: &'static str, address: SocketAddr) -> impl Fn(io::Error) -> ListenError {
        move |source| ListenError { key, address, source }
    }
}

/// Whether other processes of this proxy may bind the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortSharing {
    /// Only this process may.
    Exclusive,
    /// Other processes may, too (`SO_REUSEPORT`): the system distributes new connections among those that listen.
    Shared,
}

/// A bound socket. Clients cannot connect before [`BoundSocket::listen`].
pub struct BoundSocket {
    key: &'static str,
    address: SocketAddr,
    socket: Socket,
}

impl BoundSocket {
    /// Binds the address that `key` sets.
    ///
    /// # Errors
    /// The socket cannot be created or bound.
    pub fn bind(
        key: &'static str, address: SocketAddr, sharing: PortSharing,
    ) -> Result<BoundSocket, ListenError> {
        let failed = ListenError::at(key, address);
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).map_err(&failed)?;
        socket.set_nonblocking(true).map_err(&failed)?;
        socket.set_reuse_address(true).map_err(&failed)?;
        socket.set_reuse_port(sharing == PortSharing::Shared).map_err(&failed)?;
        socket.bind(&address.into()).map_err(&failed)?;
        Ok(BoundSocket { key, address, socket })
    }

    /// Starts to listen for connections.
    ///
    /// # Errors
    /// The system call fails.
    pub fn listen(self) -> Result<TcpListener, ListenError> {
        let failed = ListenError::at(self.key, self.address);
        self.socket.listen(BACKLOG).map_err(&failed)?;
        TcpListener::from_std(self.socket.into()).map_err(&failed)
    }
}
