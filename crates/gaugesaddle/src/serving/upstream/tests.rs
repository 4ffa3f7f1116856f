//! Attempts over pooled connections: surplus bytes of one attempt must not reach the next, and nothing is written once
//! the send gate is closed.

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
        stream.read_exact(&mut byte).expect("read a request");
        received.push(byte[0]);
    }
}

/// A backend at the address, and the pool of its connections.
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

/// Surplus bytes that arrive late after an answer must not be read as the next answer, even if the runtime has not
/// polled the socket yet: here it has no time to do so between the two attempts.
#[tokio::test]
async fn surplus_bytes_after_an_answer_are_not_read_as_the_next_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("the local address");
    let (allow_surplus, first_answer_read) = std::sync::mpsc::channel();
    let (surplus_done, surplus_sent) = std::sync::mpsc::channel();
    let backend = std::thread::spawn(move || {
        let answer = |body| format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{body}");
        let mut first = listener.accept().expect("accept a connection").0;
        read_request(&mut first);
        first.write_all(answer("1").as_bytes()).expect("write an answer");
        first_answer_read.recv().expect("the first answer was read");
        first.write_all(answer("x").as_bytes()).expect("write an answer");
        surplus_done.send(()).expect("the receiver waits");
        let mut second = listener.accept().expect("accept another connection").0;
        read_request(&mut second);
        second.write_all(answer("2").as_bytes()).expect("write an answer");
        first.read(&mut [0]).unwrap_or(0) // a close with the surplus unread resets the connection
    });
    let (pool, upstream) = backend_at(address);
    let call = call();
    let body = |result: AttemptResult| match result.answer.map(Response::into_body) {
        Some(Payload::Buffered(bytes)) => Some(bytes),
        _ => None,
    };
    let deadline = pool.clock.now() + Micros(30_000_000);
    let window = SendWindow { send_before: deadline, deadline };
    // Local tasks, as in the proxy: ready ones run for a while before the runtime polls its sockets.
    let attempts = async move {
        let one = body(pool.attempt(&upstream, call.clone(), window).await);
        allow_surplus.send(()).expect("the receiver waits");
        surplus_sent.recv().expect("the surplus was sent");
        (one, body(pool.attempt(&upstream, call.clone(), window).await))
    };
    let local = tokio::task::LocalSet::new();
    let bodies =
        local.run_until(async { tokio::task::spawn_local(attempts).await.expect("the task does not panic") });
    assert_eq!(bodies.await, (Some(Bytes::from("1")), Some(Bytes::from("2"))));
    assert_eq!(
        backend.join().expect("the task does not panic"),
        0,
        "expected no byte of the second request on the first connection"
    );
}

/// The client disconnects, the backend departs or the send window ends, before an attempt starts or while it connects:
/// nothing is written, and the attempt counts as never sent. The attempt is not cancelled here, so only the send gate
/// prevents it.
#[tokio::test]
async fn nothing_is_written_after_the_send_gate_closes() {
    for (cause, while_connecting) in
        [("client", false), ("client", true), ("backend", true), ("time", false), ("time", true)]
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
        let (pool, upstream) = backend_at(listener.local_addr().expect("the local address"));
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
        // One poll of the attempt starts to connect.
        let is_connecting = poll_fn(|cx| Poll::Ready(attempt.as_mut().poll(cx).is_pending())).await;
        assert!(is_connecting, "{cause} {while_connecting}");
        if while_connecting {
            close_gate();
        }
        let result = tokio::time::timeout(Duration::from_secs(5), attempt)
            .await
            .expect("the attempt ends without an answer");
        assert_eq!(result.outcome, Outcome::NeverSent, "{cause} {while_connecting}");
        let mut stream = listener.accept().expect("accept a connection").0;
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        assert_eq!(received, b"", "{cause} {while_connecting}");
    }
}
