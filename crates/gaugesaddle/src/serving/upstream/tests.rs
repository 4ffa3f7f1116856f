//! What one connection to a backend must not carry over from one attempt to the next.

use super::*;
use crate::serving::body::CallBody;
use gaugesaddle_balancer::Backend;
use std::future::{poll_fn, Future};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::task::Poll;
use std::time::Duration;

fn take_request(stream: &mut TcpStream) {
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
        seen.push(byte[0]);
    }
}

/// A backend at that address, and the pool of its connections.
fn node(address: SocketAddr) -> (Rc<Pool>, Rc<BackendProcess>) {
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
    let node =
        Rc::new(BackendProcess::new(ListedBackend { backend, address, name, zone, kind }, pool.clone()));
    (pool, node)
}

fn call() -> Rc<Call> {
    let body = CallBody::Buffered(Bytes::new());
    Rc::new(Call { head: Request::new(()), body, is_awaited: Cell::new(true) })
}

/// What comes late behind an answer must not become the next one, also where the runtime has not seen it:
/// here it has had no time to look between the two attempts.
#[tokio::test]
async fn a_late_surplus_does_not_become_the_next_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let (next, turn) = std::sync::mpsc::channel();
    let (done, surplus) = std::sync::mpsc::channel();
    let backend = std::thread::spawn(move || {
        let answer = |body| format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{body}");
        let mut first = listener.accept().expect("a connection").0;
        take_request(&mut first);
        first.write_all(answer("1").as_bytes()).expect("written");
        turn.recv().expect("the answer was read");
        first.write_all(answer("x").as_bytes()).expect("written");
        done.send(()).expect("waited for");
        let mut second = listener.accept().expect("another connection").0;
        take_request(&mut second);
        second.write_all(answer("2").as_bytes()).expect("written");
        first.read(&mut [0]).unwrap_or(0) // closed with the surplus unread, it is reset
    });
    let (pool, upstream) = node(address);
    let call = call();
    let body = |ended: AttemptResult| match ended.answer.map(Response::into_body) {
        Some(Payload::Buffered(bytes)) => Some(bytes),
        _ => None,
    };
    let deadline = pool.clock.now() + Micros(30_000_000);
    let span = SendWindow { send_before: deadline, deadline };
    // Local tasks, as in the proxy: woken ones run on for a while before the runtime looks at its sockets.
    let attempts = async move {
        let one = body(pool.attempt(&upstream, call.clone(), span).await);
        next.send(()).expect("waited for");
        surplus.recv().expect("written");
        (one, body(pool.attempt(&upstream, call.clone(), span).await))
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
async fn nothing_is_written_once_the_gate_is_shut() {
    for (what, during) in
        [("client", false), ("client", true), ("backend", true), ("time", false), ("time", true)]
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (pool, upstream) = node(listener.local_addr().expect("its address"));
        let call = call();
        let soon = pool.clock.now() + Micros(if what == "time" { 20_000 } else { 30_000_000 });
        let span = SendWindow { send_before: soon, deadline: soon + Micros(30_000_000) };
        let shut = || match what {
            "client" => call.is_awaited.set(false),
            "backend" => upstream.close(),
            _ => std::thread::sleep(Duration::from_millis(25)),
        };
        if !during {
            shut();
        }
        let mut attempt = Box::pin(pool.attempt(&upstream, call.clone(), span));
        // One look of the runtime's: the connect is out.
        let out = poll_fn(|cx| Poll::Ready(attempt.as_mut().poll(cx).is_pending())).await;
        assert!(out, "{what} {during}");
        if during {
            shut();
        }
        let ended = tokio::time::timeout(Duration::from_secs(5), attempt).await.expect("it was sent");
        assert_eq!(ended.outcome, Outcome::NeverSent, "{what} {during}");
        let mut stream = listener.accept().expect("a connection").0;
        let mut seen = Vec::new();
        let _ = stream.read_to_end(&mut seen);
        assert_eq!(seen, b"", "{what} {during}");
    }
}
