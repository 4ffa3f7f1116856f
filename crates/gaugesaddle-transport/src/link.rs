//! A TCP connection that carries frames.

use crate::{LinkError, Operation};
use gaugesaddle_protocol::frame::{self, Compression, HEADER_BYTES};
use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use socket2::{Domain, SockRef, Socket, Type};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How long sent bytes may stay unacknowledged before the kernel closes the connection (`TCP_USER_TIMEOUT`, RFC 5482).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum gap between the bytes of a message that has begun: after a longer gap its sender is considered hanging or
/// dead.
const STALL_TIMEOUT: Duration = Duration::from_millis(450);
/// Delay after a failed accept, during which file descriptors may be freed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 512;

/// Opens a connection.
///
/// # Errors
/// Where it is refused or not established within `timeout`.
pub async fn connect(address: SocketAddrV4, timeout: Duration) -> Result<TcpStream, LinkError> {
    let stream = with_timeout(timeout, Operation::Connect, TcpStream::connect(address)).await?;
    set_options(&stream);
    Ok(stream)
}

/// Listens on an address, also where connections of an earlier process still use it.
///
/// # Errors
/// The error of the operating system where the address cannot be bound.
pub fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts the next connection; retries after a failure.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Awaits a socket operation for at most `timeout`; errors contain the `operation`.
async fn with_timeout<T>(
    timeout: Duration, operation: Operation, io: impl Future<Output = io::Result<T>>,
) -> Result<T, LinkError> {
    match tokio::time::timeout(timeout, io).await {
        Ok(result) => result.map_err(LinkError::socket(operation)),
        Err(_) => Err(LinkError::TimedOut(operation)),
    }
}

fn set_options(stream: &TcpStream) {
    // Failures are ignored: without these options messages are slower and a hanging peer is detected later.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}

/// A connection that carries frames.
///
/// ```text
///           header, within the caller's time-out or without       bytes, each within STALL_TIMEOUT of the last
///  idle ------------------------------------------------> body ------------------------------------> message
/// ```
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    /// Of the peer.
    compression: Compression,
}

impl Link {
    /// A link over a connection that was opened or accepted.
    pub fn new(stream: TcpStream) -> Link {
        set_options(&stream);
        Link { stream, compression: Compression::Unsupported }
    }

    /// Sets whether the peer reads compressed messages.
    pub fn set_compression(&mut self, compression: Compression) {
        self.compression = compression;
    }

    /// Sends one message; returns the length of its frame in bytes.
    ///
    /// # Errors
    /// Where it cannot be encoded, or not be written within `timeout`. The link must not be used afterwards.
    pub async fn send<T: Encode<Binary>>(
        &mut self, message: &T, timeout: Duration,
    ) -> Result<usize, LinkError> {
        let frame = frame::encode_for(message, self.compression)?;
        with_timeout(timeout, Operation::Send, self.stream.write_all(&frame)).await?;
        Ok(frame.len())
    }

    /// Receives one message, without a time-out for its header.
    ///
    /// # Errors
    /// Where the connection ends or stalls inside the message, or the message is malformed. The link must not be used
    /// afterwards.
    pub async fn receive<T>(&mut self) -> Result<T, LinkError>
    where
        T: for<'de> Decode<'de, Binary, Global>,
    {
        let mut header = [0; HEADER_BYTES];
        let reading = self.stream.read_exact(&mut header);
        reading.await.map_err(LinkError::socket(Operation::Receive))?;
        self.receive_body(header).await
    }

    /// Waits until the header of a message has arrived.
    ///
    /// # Errors
    /// Where it does not arrive within `timeout`, or the connection ends. The link must not be used afterwards.
    pub async fn receive_header(&mut self, timeout: Duration) -> Result<[u8; HEADER_BYTES], LinkError> {
        let mut header = [0; HEADER_BYTES];
        with_timeout(timeout, Operation::Receive, self.stream.read_exact(&mut header)).await?;
        Ok(header)
    }

    /// Receives one message whose header arrives within `timeout`. The body may take longer as long as bytes keep
    /// arriving, as those of a large message over a slow connection do.
    ///
    /// # Errors
    /// As [`Link::receive`], and where the header does not arrive in time.
    pub async fn receive_within<T>(&mut self, timeout: Duration) -> Result<T, LinkError>
    where
        T: for<'de> Decode<'de, Binary, Global>,
    {
        let header = self.receive_header(timeout).await?;
        self.receive_body(header).await
    }

    /// Receives the rest of the message with that header.
    ///
    /// # Errors
    /// As [`Link::receive`].
    pub async fn receive_body<T>(&mut self, header: [u8; HEADER_BYTES]) -> Result<T, LinkError>
    where
        T: for<'de> Decode<'de, Binary, Global>,
    {
        let header = frame::parse_header(header)?;
        let mut body = vec![0; header.length];
        let mut unread = body.as_mut_slice();
        while !unread.is_empty() {
            let reading = self.stream.read(unread);
            let read = with_timeout(STALL_TIMEOUT, Operation::Receive, reading).await?;
            if read == 0 {
                let closed = io::Error::from(io::ErrorKind::UnexpectedEof);
                return Err(LinkError::socket(Operation::Receive)(closed));
            }
            unread = &mut unread[read..];
        }
        Ok(frame::decode_body(header, &body)?)
    }
}
