//! A TCP relay that can delay, block and reset connections: a link that fails while both endpoints keep running.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Buffer size for one direction of a connection, in bytes.
const BUFFER: usize = 16 << 10;

/// A link from its own listening address to a target address. Runs on the thread that created it, in a `LocalSet`.
pub struct Relay {
    address: SocketAddr,
    to: Cell<SocketAddr>,
    blocked: Cell<bool>,
    delay_us: Cell<u64>,
    changed: Notify,
    tasks: RefCell<Vec<AbortHandle>>,
    bytes_forwarded: Cell<u64>,
}

impl Relay {
    /// Listens at `bind` and forwards connections to `to`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(bind: SocketAddr, to: SocketAddr) -> io::Result<Rc<Relay>> {
        let listener = TcpListener::bind(bind).await?;
        let relay = Rc::new(Relay {
            address: listener.local_addr()?,
            to: Cell::new(to),
            blocked: Cell::default(),
            delay_us: Cell::default(),
            changed: Notify::new(),
            tasks: RefCell::default(),
            bytes_forwarded: Cell::default(),
        });
        let this = relay.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let handle = tokio::task::spawn_local(this.clone().serve(stream)).abort_handle();
                let mut tasks = this.tasks.borrow_mut();
                tasks.retain(|t| !t.is_finished());
                tasks.push(handle);
            }
        });
        Ok(relay)
    }

    /// The address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to another target from now on.
    pub fn forward_to(&self, to: SocketAddr) {
        self.to.set(to);
    }

    /// While true, no data is forwarded and no new connection is established. Afterwards, connections with pending data
    /// are reset: data delivered late would look as if it had been sent late.
    pub fn block(&self, blocked_now: bool) {
        self.blocked.set(blocked_now);
        self.changed.notify_waiters();
    }

    /// Additional latency, each way.
    pub fn delay(&self, by: Duration) {
        self.delay_us.set(by.as_micros() as u64);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
    }

    /// Bytes forwarded in both directions.
    pub fn bytes_forwarded(&self) -> u64 {
        self.bytes_forwarded.get()
    }

    /// Waits while the link is blocked; returns an error if it had to wait.
    async fn unblocked(&self) -> io::Result<()> {
        let was_blocked = self.blocked.get();
        while self.blocked.get() {
            self.changed.notified().await;
        }
        if was_blocked {
            Err(io::ErrorKind::ConnectionReset.into())
        } else {
            Ok(())
        }
    }

    async fn serve(self: Rc<Self>, near: TcpStream) {
        let near = ResetOnDrop(near);
        if self.unblocked().await.is_err() {
            return;
        }
        let Ok(far) = TcpStream::connect(self.to.get()).await else { return };
        let far = ResetOnDrop(far);
        let (_, _) = (near.0.set_nodelay(true), far.0.set_nodelay(true));
        let one = async {
            let ended = self.forward(&near.0, &far.0).await;
            ended.map(|()| shut_down_write(&far.0))
        };
        let other = async {
            let ended = self.forward(&far.0, &near.0).await;
            ended.map(|()| shut_down_write(&near.0))
        };
        if tokio::try_join!(one, other).is_ok() {
            // Both endpoints closed their direction without an error.
            near.disarm();
            far.disarm();
        }
    }

    /// Forwards one direction until end of stream or an error.
    async fn forward(&self, from: &TcpStream, to: &TcpStream) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER];
        loop {
            let n = Borrowed(from).read(&mut buffer).await?;
            if self.delay_us.get() > 0 {
                tokio::time::sleep(Duration::from_micros(self.delay_us.get())).await;
            }
            self.unblocked().await?;
            if n == 0 {
                return Ok(());
            }
            Borrowed(to).write_all(&buffer[..n]).await?;
            self.bytes_forwarded.set(self.bytes_forwarded.get() + n as u64);
        }
    }
}

fn shut_down_write(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
}

/// Resets its connection when dropped, unless the connection was closed in both directions.
struct ResetOnDrop(TcpStream);

impl ResetOnDrop {
    fn disarm(&self) {
        let _ = socket2::SockRef::from(&self.0).set_linger(None);
    }
}

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        // After an orderly close both directions have been shut down, and there is nothing left to reset.
        let _ = socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO));
    }
}

/// Reads and writes through a shared stream.
struct Borrowed<'a>(&'a TcpStream);

impl tokio::io::AsyncRead for Borrowed<'_> {
    fn poll_read(
        self: std::pin::Pin<&mut Self>, cx: &mut std::task::Context<'_>, buf: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        loop {
            std::task::ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    return std::task::Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return std::task::Poll::Ready(Err(e)),
            }
        }
    }
}

impl tokio::io::AsyncWrite for Borrowed<'_> {
    fn poll_write(
        self: std::pin::Pin<&mut Self>, cx: &mut std::task::Context<'_>, bytes: &[u8],
    ) -> std::task::Poll<io::Result<usize>> {
        loop {
            std::task::ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return std::task::Poll::Ready(done),
            }
        }
    }
    fn poll_flush(
        self: std::pin::Pin<&mut Self>, _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        std::task::Poll::Ready(Ok(()))
    }
    fn poll_shutdown(
        self: std::pin::Pin<&mut Self>, _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        shut_down_write(self.0);
        std::task::Poll::Ready(Ok(()))
    }
}

#[cfg(test)]
mod tests;
