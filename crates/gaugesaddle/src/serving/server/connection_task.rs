//! The task of one client connection.

use super::Server;
use crate::operations::event_counters::Reason;
use crate::serving::client_connection::{ClientConnection, Phase};
use crate::serving::client_socket::{ClientSocket, SocketIo};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::poll_fn;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum size of a request's head, many times that of a usual one.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// After the last answer on a connection, bytes that the client still sends are discarded, up to this size and for
/// [`LINGER_TIMEOUT`], until nothing was received for [`LINGER_QUIET`]: a close with unread bytes would reset the
/// connection and could lose the end of the answer to a slow reader.
const MAX_LINGER_BYTES: usize = 4 * crate::serving::exchange::BODY_BYTES;
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const LINGER_QUIET: Duration = Duration::from_millis(500);

/// The reaction of a connection to a request to close.
enum CloseAction {
    /// It closes at once.
    CloseNow,
    /// It remains open: a request is being received, and its answer will be the last.
    AwaitRequest,
    /// It completes the current answer first.
    Graceful,
}

fn close_action(connection: &ClientConnection, socket: &ClientSocket, is_repeated: bool) -> CloseAction {
    let is_used = connection.is_used();
    match connection.phase.get() {
        // No request is in service, and no answer is being sent.
        Phase::Reading(_) => CloseAction::CloseNow,
        // A connection that was never used is young: its unread bytes are likely its first request.
        Phase::Idle(_) if !is_repeated && !is_used && socket.has_unread() => CloseAction::AwaitRequest,
        Phase::Idle(_) if is_repeated || !is_used => CloseAction::CloseNow,
        Phase::Idle(_) if socket.has_received() => CloseAction::AwaitRequest,
        _ => CloseAction::Graceful,
    }
}

impl Server {
    /// Serves a connection in a task of its own.
    pub(super) fn spawn_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.registry.accepted_connections.set(self.registry.accepted_connections.get() + 1);
        let source = stream.peer_addr().map_or(0, |address| hash_of(&address.ip()));
        let number = self.next_number();
        let connection = Rc::new(ClientConnection::new(self.clock.now(), source));
        self.connections.borrow_mut().insert(number, connection.clone());
        self.registry.connections.set(self.connections.borrow().len());
        tokio::task::spawn_local(async move {
            let mut guard = ConnectionGuard { number, server: &self, reason: Reason::ClosedByClient };
            guard.reason = self.serve_connection(&connection, ClientSocket::new(stream)).await;
        });
    }

    /// Serves a connection to its end; returns why it ended.
    async fn serve_connection(&self, connection: &Rc<ClientConnection>, socket: Rc<ClientSocket>) -> Reason {
        let is_invalid = Cell::new(false);
        let service = hyper::service::service_fn(|request| {
            Box::pin(self.handle(request, connection, &is_invalid, &socket))
        });
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_HEAD_BYTES).header_read_timeout(None);
        let mut serving = http.serve_connection(TokioIo::new(SocketIo(socket.clone())), service);
        let mut is_repeated = false;
        let ended = loop {
            tokio::select! {
                biased;
                ended = poll_fn(|cx| serving.poll_without_shutdown(cx)) => break ended,
                () = poll_fn(|cx| match connection.phase.get() {
                    Phase::InService => socket.poll_disconnected(cx),
                    _ => Poll::Pending,
                }) => return Reason::ClosedClientDisconnected,
                () = connection.close.notified() => match close_action(connection, &socket, is_repeated) {
                    CloseAction::CloseNow => return connection.close_reason(),
                    CloseAction::AwaitRequest => {}
                    CloseAction::Graceful => Pin::new(&mut serving).graceful_shutdown(),
                },
            }
            is_repeated = true;
        };
        match &ended {
            Ok(_) => socket.end_close_delimited_answer(),
            Err(e) => tracing::debug!("client connection: {e}"),
        }
        let is_unreadable = ended.as_ref().is_err_and(hyper::Error::is_parse);
        let reason = self.end_reason(connection, is_invalid.get(), is_unreadable);
        if socket.has_incomplete_answer() {
            return reason;
        }
        if !socket.is_ended() && (!reason.frees_slot() || socket.has_unread()) {
            connection.close_requested.set(None);
            connection.phase.set(Phase::Closing(self.clock.now()));
            drop(serving);
            tokio::select! {
                _ = tokio::time::timeout(LINGER_TIMEOUT, socket.linger(MAX_LINGER_BYTES, LINGER_QUIET)) => {}
                () = connection.close.notified() => {}
            }
        }
        reason
    }

    /// Why a connection has ended.
    fn end_reason(&self, connection: &ClientConnection, is_invalid: bool, is_unreadable: bool) -> Reason {
        let lifecycle = self.registry.lifecycle();
        match connection.phase.get() {
            Phase::InService => Reason::ClosedClientDisconnected,
            _ if connection.close_requested.get().is_some() => connection.close_reason(),
            _ if is_invalid => Reason::ClosedInvalidRequest,
            _ if is_unreadable => Reason::ClosedMalformed,
            _ if lifecycle.is_stopping() => Reason::ClosedStopping,
            _ if !lifecycle.accepts_clients() => Reason::ClosedDraining,
            _ => Reason::ClosedByClient,
        }
    }
}

/// The hash of a client's address, which is stable within this process only.
fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Removes a connection from the server however its task ends.
struct ConnectionGuard<'a> {
    number: u64,
    server: &'a Server,
    reason: Reason,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.server.registry.event_counters.count(self.reason);
        self.server.connections.borrow_mut().remove(&self.number);
        self.server.registry.connections.set(self.server.connections.borrow().len());
        self.server.connection_closed.notify_one();
    }
}
