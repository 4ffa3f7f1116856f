//! What one connection to a backend must not carry over from one attempt to the next.

use super::*;
use crate::body::CallBody;
use beechworks::Backend;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

fn take_request(stream: &mut TcpStream) {
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
        seen.push(byte[0]);
    }
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
    let clock = Clock::new();
    let second = Micros(1_000_000);
    let bounds = [crate::registry::Bounds { connections: 8, kept: 1, upstream_sockets: 8, body_bytes: 8 }; 2];
    let registry = Rc::new(Registry::new("n1", &["read".into()], bounds, clock.now()));
    let pool = Pool::new(clock, second, second.times(30.0), registry);
    let entry = Backend { state: BackendState::Ready, ..Backend::default() };
    let (name, zone, kind) = ("n".into(), "z".into(), "k".into());
    let pool = Rc::new(pool);
    let upstream = Rc::new(Node::new(Target { backend: entry, address, name, zone, kind }, pool.clone()));
    let body = CallBody::Whole(Bytes::new());
    let call = Rc::new(Call { head: Request::new(()), body, wanted: Cell::new(true) });
    let body = |ended: Ended| match ended.answer.map(Response::into_body) {
        Some(Payload::Whole(bytes)) => Some(bytes),
        _ => None,
    };
    let deadline = clock.now() + second.times(30.0);
    let span = Span { begin: deadline, deadline };
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
