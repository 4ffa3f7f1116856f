//! A listener that closes must not lose connections in its accept queue.

use super::*;
use std::future::poll_fn;
use std::task::Poll;

/// Clients connect after the runtime's last poll and before the listener closes: the system has accepted the
/// connections, but the runtime's readiness of the listener does not show them.
#[tokio::test]
async fn draining_the_backlog_returns_connections_unknown_to_the_runtime() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let address = listener.local_addr().expect("the local address");
    // Polled without a connection, the runtime records that the listener is not ready.
    let sees_connection = || poll_fn(|cx| Poll::Ready(listener.poll_accept(cx).is_ready()));
    assert!(!sees_connection().await);
    let clients: Vec<_> =
        (0..5).map(|_| std::net::TcpStream::connect(address).expect("connect to the listener")).collect();
    assert!(!sees_connection().await, "the runtime has not polled the socket since");
    assert_eq!(drain_backlog(listener).len(), clients.len());
    assert!(std::net::TcpStream::connect(address).is_err(), "expected the listener to be closed");
}
