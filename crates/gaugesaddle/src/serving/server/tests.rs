//! What the end of a listener must not leave behind.

use super::*;
use std::future::poll_fn;
use std::task::Poll;

/// A client connects between the runtime's last look and the end of the listening: it has been accepted by the system,
/// and the runtime, asked for it, would know of none.
#[tokio::test]
async fn draining_the_backlog_returns_connections_unknown_to_the_runtime() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    // Asked with nobody there, the runtime notes that nobody is.
    let sees_connection = || poll_fn(|cx| Poll::Ready(listener.poll_accept(cx).is_ready()));
    assert!(!sees_connection().await);
    let clients: Vec<_> = (0..5).map(|_| std::net::TcpStream::connect(address).expect("accepted")).collect();
    assert!(!sees_connection().await, "it has not looked since");
    assert_eq!(drain_backlog(listener).len(), clients.len());
    assert!(std::net::TcpStream::connect(address).is_err(), "nobody listens");
}
