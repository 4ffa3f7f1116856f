//! A connection that carries frames.

use gaugesaddle_protocol::frame::{self, FrameError, HEADER_BYTES};
use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that stay unacknowledged for so long end a connection.
const UNACKNOWLEDGED: Duration = Duration::from_millis(900);
/// A message that has begun goes on coming: a sender that says nothing for so long inside one hangs or is gone.
const STALL: Duration = Duration::from_millis(450);
/// Pause after a failure to accept: descriptors may come back.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 512;

/// Why a connection is of no use any more.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The socket failed.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// What came is no message.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// Nothing came, or nothing could be sent, in time.
    #[error("timed out")]
    TimedOut,
}

/// Opens a connection within a time.
pub async fn connect(to: SocketAddrV4, within: Duration) -> Result<TcpStream, LinkError> {
    let connecting = TcpStream::connect(to);
    let stream = tokio::time::timeout(within, connecting).await.map_err(|_| LinkError::TimedOut)??;
    prepare(&stream);
    Ok(stream)
}

/// Listens on an address.
pub fn listen(at: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(at).into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// The next connection; a failure to accept one is waited out.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn prepare(stream: &TcpStream) {
    // Neither is needed for correctness: a message without them is only slower, and a hang noticed later.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
}

/// A connection that carries frames.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
}

impl Link {
    /// Over a connection that was opened or accepted.
    pub fn new(stream: TcpStream) -> Link {
        prepare(&stream);
        Link { stream }
    }

    /// Sends one message within a time.
    pub async fn send<T: Encode<Binary>>(&mut self, message: &T, within: Duration) -> Result<(), LinkError> {
        let frame = frame::encode(message)?;
        let writing = self.stream.write_all(&frame);
        tokio::time::timeout(within, writing).await.map_err(|_| LinkError::TimedOut)??;
        Ok(())
    }

    /// Waits for one message, without a limit.
    pub async fn receive<T>(&mut self) -> Result<T, LinkError>
    where
        T: for<'de> Decode<'de, Binary, Global>,
    {
        let header = self.header().await?;
        self.body(header).await
    }

    /// Waits for one message to begin within a time. What has begun may take as long as it keeps coming: a large message
    /// over a slow link.
    pub async fn receive_within<T>(&mut self, within: Duration) -> Result<T, LinkError>
    where
        T: for<'de> Decode<'de, Binary, Global>,
    {
        let header = tokio::time::timeout(within, self.header()).await.map_err(|_| LinkError::TimedOut)??;
        self.body(header).await
    }

    async fn header(&mut self) -> Result<[u8; HEADER_BYTES], LinkError> {
        let mut header = [0; HEADER_BYTES];
        self.stream.read_exact(&mut header).await?;
        Ok(header)
    }

    async fn body<T>(&mut self, header: [u8; HEADER_BYTES]) -> Result<T, LinkError>
    where
        T: for<'de> Decode<'de, Binary, Global>,
    {
        let mut body = vec![0; frame::body_length(header)?];
        let mut rest = body.as_mut_slice();
        while !rest.is_empty() {
            let reading = self.stream.read(rest);
            let read = tokio::time::timeout(STALL, reading).await.map_err(|_| LinkError::TimedOut)??;
            if read == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
            rest = &mut rest[read..];
        }
        Ok(frame::decode(&body)?)
    }
}
