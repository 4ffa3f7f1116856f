//! What one connection to a backend must not carry over from one attempt to the next.

use super::*;
use crate::serving::body::CallBody;
use gaugesaddle_balancer::Backend;
use std::future::{poll_fn, Future};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::task::Poll;
use std::time::Duration;

fn read_request(stream: &mut TcpStream) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
        received.push(byte[0]);
    }
}

/// A backend at that address, and the pool of its connections.
fn backend_at(address: SocketAddr) -> (Rc<Pool>, Rc<BackendProcess>) {
    let clock = Clock::new();
    let second = Micros(1_000_000);
    let bounds = [crate::operations::registry::Bounds {
        connections: 8,
        idle_connections: 1,
        upstream_sockets: 8,
        body_bytes: 8,
    }; 2];
    let registry = Rc::new(Registry::new("n1", &["read".into()], bounds, clock.now()));
    let pool = Rc::new(Pool::new(clock, second, second.times(30.0), registry));
    let backend = Backend { state: BackendState::Ready, ..Backend::default() };
    let (name, zone, kind) = ("n".into(), "z".into(), "k".into());
    let process =
        Rc::new(BackendProcess::new(ListedBackend { backend, address, name, zone, kind }, pool.clone()));
    (pool, process)
}

fn call() -> Rc<Call> {
    let body = CallBody::Buffered(Bytes::new());
    Rc::new(Call { head: Request::new(()), body, is_awaited: Cell::new(true) })
}

/// What comes late behind an answer must not become the next one, also where the runtime has not seen it:
/// here it has had no time to look between the two attempts.
#[tokio::test]
async fn surplus_bytes_after_an_answer_are_not_read_as_the_next_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let (allow_surplus, first_answer_read) = std::sync::mpsc::channel();
    let (surplus_done, surplus_sent) = std::sync::mpsc::channel();
    let backend = std::thread::spawn(move || {
        let answer = |body| format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{body}");
        let mut first = listener.accept().expect("a connection").0;
        read_request(&mut first);
        first.write_all(answer("1").as_bytes()).expect("written");
        first_answer_read.recv().expect("the answer was read");
        first.write_all(answer("x").as_bytes()).expect("written");
        surplus_done.send(()).expect("waited for");
        let mut second = listener.accept().expect("another connection").0;
        read_request(&mut second);
        second.write_all(answer("2").as_bytes()).expect("written");
        first.read(&mut [0]).unwrap_or(0) // closed with the surplus unread, it is reset
    });
    let (pool, upstream) = backend_at(address);
    let call = call();
    let body = |result: AttemptResult| match result.answer.map(Response::into_body) {
        Some(Payload::Buffered(bytes)) => Some(bytes),
        _ => None,
    };
    let deadline = pool.clock.now() + Micros(30_000_000);
    let window = SendWindow { send_before: deadline, deadline };
    // Local tasks, as in the proxy: woken ones run on for a while before the runtime looks at its sockets.
    let attempts = async move {
        let one = body(pool.attempt(&upstream, call.clone(), window).await);
        allow_surplus.send(()).expect("waited for");
        surplus_sent.recv().expect("written");
        (one, body(pool.attempt(&upstream, call.clone(), window).await))
    };
    let local = tokio::task::LocalSet::new();
    let bodies = local.run_until(async { tokio::task::spawn_local(attempts).await.expect("no panic") });
    assert_eq!(bodies.await, (Some(Bytes::from("1")), Some(Bytes::from("2"))));
    assert_eq!(backend.join().expect("no panic"), 0, "not a byte of the second request on the first");
}

/// While the connection of an attempt comes up its client leaves, its backend does, or its time ends, each in either order
/// with the choice: nothing is written, and the attempt counts as never sent. Nobody calls it off here: the gate alone
/// keeps it.
#[tokio::test]
async fn nothing_is_written_after_the_send_gate_closes() {
    for (cause, while_connecting) in
        [("client", false), ("client", true), ("backend", true), ("time", false), ("time", true)]
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (pool, upstream) = backend_at(listener.local_addr().expect("its address"));
        let call = call();
        let send_before = pool.clock.now() + Micros(if cause == "time" { 20_000 } else { 30_000_000 });
        let window = SendWindow { send_before, deadline: send_before + Micros(30_000_000) };
        let close_gate = || match cause {
            "client" => call.is_awaited.set(false),
            "backend" => upstream.close(),
            _ => std::thread::sleep(Duration::from_millis(25)),
        };
        if !while_connecting {
            close_gate();
        }
        let mut attempt = Box::pin(pool.attempt(&upstream, call.clone(), window));
        // One look of the runtime's: the connect is out.
        let is_connecting = poll_fn(|cx| Poll::Ready(attempt.as_mut().poll(cx).is_pending())).await;
        assert!(is_connecting, "{cause} {while_connecting}");
        if while_connecting {
            close_gate();
        }
        let result = tokio::time::timeout(Duration::from_secs(5), attempt).await.expect("it was sent");
        assert_eq!(result.outcome, Outcome::NeverSent, "{cause} {while_connecting}");
        let mut stream = listener.accept().expect("a connection").0;
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        assert_eq!(received, b"", "{cause} {while_connecting}");
    }
}
