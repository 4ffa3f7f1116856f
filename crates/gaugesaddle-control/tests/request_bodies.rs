//! Guards, with real processes, against request bodies that take a proxy over its memory: bodies in chunks, and bodies that are
//! kept for another attempt, did not count towards its limit.

use gaugesaddle_testbed::fleet::{call, document, Fleet};
use gaugesaddle_testbed::scripted::{chunk, until, Backend, Hold, Reply};
use std::net::SocketAddrV4;
use std::thread::JoinHandle;

/// Index of the control process in the fleet.
const CONTROL: usize = 0;
/// Index of the proxy in the fleet.
const EDGE: usize = 1;
/// 4 MB for bodies, 3 MB of them for long ones.
const SETTINGS: &str = "limits.memoryMb=8\n";
/// Length of a body of which two exceed the limit.
const LONG_BODY_BYTES: usize = 2_000_000;

/// How the length of a body is stated.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
}

fn request(framing: Framing, body_bytes: usize) -> String {
    let head = "POST /plain/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\nApi-Key: k-free\r\nDeadline-Ms: 7500\r\n";
    let body = "x".repeat(body_bytes);
    match framing {
        Framing::Length => format!("{head}Content-Length: {body_bytes}\r\n\r\n{body}"),
        Framing::Chunks => format!("{head}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", chunk(&body)),
    }
}

/// Sends a request; returns the status, or 0 if the proxy closed the connection before it had read the body.
fn status(front: SocketAddrV4, framing: Framing, body_bytes: usize) -> u16 {
    call(front, &request(framing, body_bytes)).map_or(0, |answer| answer.status())
}

fn answer() -> Reply {
    Reply::Respond(
        "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: sig\r\nContent-Length: 2\r\n\r\nok"
            .to_owned(),
    )
}

#[test]
fn bodies_that_are_held_count_towards_the_memory_however_their_length_is_stated() {
    for framing in [Framing::Length, Framing::Chunks] {
        let (hold, release) = Hold::new();
        let backend = Backend::start(move |message| {
            if message.body.len() == LONG_BODY_BYTES {
                hold.wait_once();
            }
            answer()
        });
        let fleet = Fleet::start_with(1, 1, false, SETTINGS).expect("fleet starts");
        until("the configuration is acknowledged", || {
            fleet.put(CONTROL, 0, &document(1).to_string()).0 == 200
        });
        until("the backend is registered", || {
            fleet.heartbeat(CONTROL, "i-1", "s", backend.address, "ready") == 200
        });
        until("the proxy is ready", || fleet.is_ready(EDGE));
        let front = fleet.front(EDGE);
        let long = move || status(front, framing, LONG_BODY_BYTES);
        let first: JoinHandle<u16> = std::thread::spawn(long);
        until("the first request is at the backend", || !backend.requests().is_empty());
        assert!([0, 503].contains(&long()), "{framing:?}: the second long body is accepted");
        assert_eq!(status(front, framing, 1000), 200, "{framing:?}: there is room for a short body");
        let arrived = backend.requests().iter().filter(|m| m.body.len() == LONG_BODY_BYTES).count();
        assert_eq!(arrived, 1, "{framing:?}: the rejected request was executed");
        release.send(()).expect("the backend waits");
        assert_eq!(first.join().expect("the client does not panic"), 200, "{framing:?}");
        assert_eq!(long(), 200, "{framing:?}: the first body still counts after its request has ended");
    }
}
