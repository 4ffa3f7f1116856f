//! Guards, with real processes, against a proxy that was told to stop and sends retries and resumed streams to backends that
//! have left meanwhile, since it no longer follows the control plane, and against requests that it has read and leaves without an
//! answer.

use gaugesaddle_testbed::fleet::{document, Chunked, Fleet};
use gaugesaddle_testbed::scripted::{read_message, until, Backend, Hold, Reply};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// Index of the control process in the fleet.
const CONTROL: usize = 0;
/// Index of the proxy in the fleet.
const EDGE: usize = 1;
/// `drainMs`: a backend that has left receives no request later than this after the acknowledgement.
const DRAIN: Duration = Duration::from_secs(2);

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Type: text/event-stream\r\n\
                           Response-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n";

fn request(route: &str) -> String {
    format!(
        "POST /{route}/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\nApi-Key: k-free\r\nDeadline-Ms: 7500\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

fn answer() -> Reply {
    Reply::Respond(
        "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: sig\r\nContent-Length: 2\r\n\r\nok"
            .to_owned(),
    )
}

/// A backend that holds the first request for `/route/` until it is released, and then sends `begun` and breaks off. It answers
/// all other requests.
fn breaking_backend(route: &'static str, begun: &'static str) -> (Backend, Sender<()>) {
    let (hold, release) = Hold::new();
    let backend = Backend::start(move |message| {
        let is_broken = message.start.contains(&format!("/{route}/a"));
        if is_broken && hold.wait_once() {
            Reply::RespondAndClose(begun.to_owned())
        } else {
            answer()
        }
    });
    (backend, release)
}

fn register(fleet: &Fleet, id: &str, address: SocketAddr) {
    until("the backend is registered", || fleet.heartbeat(CONTROL, id, "s", address, "ready") == 200);
}

fn accepts_connections(fleet: &Fleet) -> bool {
    TcpStream::connect(fleet.front(EDGE)).is_ok()
}

/// A request on `route` is being processed by the only other backend when the proxy is told to stop. Then `leaving` drains,
/// and after the bound of its acknowledgement the other backend breaks off.
fn assert_nothing_is_sent_to_a_backend_that_left(route: &'static str, begun: &'static str) {
    let (breaking, release) = breaking_backend(route, begun);
    let leaving = Backend::start(|_| answer());
    let mut fleet = Fleet::start(1, 1).expect("fleet starts");
    until("the configuration is acknowledged", || fleet.put(CONTROL, 0, &document(1).to_string()).0 == 200);
    register(&fleet, "i-breaking", breaking.address);
    until("the proxy is ready", || fleet.is_ready(EDGE));
    let front = fleet.front(EDGE);
    // The client reads to the end: the proxy resumes no stream for a client that has left.
    let client = std::thread::spawn(move || {
        let mut response = Chunked::open(front, &request(route))?;
        let rest = response.rest();
        Ok::<_, io::Error>((response.head, rest))
    });
    until("the request is at the backend", || !breaking.requests().is_empty());
    register(&fleet, "i-leaving", leaving.address);
    fleet.await_backends(EDGE, &[&leaving]);
    fleet.terminate(EDGE).expect("the signal is sent");
    until("the proxy accepts no more clients", || !accepts_connections(&fleet));
    until("the drain is acknowledged", || {
        fleet.heartbeat(CONTROL, "i-leaving", "s", leaving.address, "draining") == 200
    });
    let acknowledged = Instant::now();
    until("the bound of the drain has passed", || acknowledged.elapsed() > DRAIN);
    let before = leaving.requests().len();
    release.send(()).expect("the backend waits");
    let answer = client.join().expect("the client does not panic");
    until("the process ends", || !fleet.is_running(EDGE));
    assert_eq!(leaving.requests().len(), before, "{route}: a backend that had left received a request");
    let is_complete =
        answer.is_ok_and(|(head, rest)| head.status() == 200 && (head.body == b"ok" || rest.is_ok()));
    assert!(!is_complete, "{route}: there was no backend that could have answered");
}

#[test]
fn no_stream_is_resumed_at_a_backend_that_left_while_the_proxy_stops() {
    assert_nothing_is_sent_to_a_backend_that_left("stream", STREAM_HEAD);
}

#[test]
fn no_request_is_retried_at_a_backend_that_left_while_the_proxy_stops() {
    assert_nothing_is_sent_to_a_backend_that_left("plain", "");
}

/// A grace period that leaves little time after clients no longer come.
const SHORT_GRACE_PERIOD: &str = "bounds.gracePeriodS=4\n";

/// A proxy with one backend. A request of the tenant of `k-scarce` costs more tokens than the tenant can have, and waits for them
/// for longer than the grace period.
fn fleet_with_scarce_tokens(backend: &Backend) -> Fleet {
    let mut document = document(1);
    document["routes"][0]["targetLatencyMs"] = 30_000.into();
    let scarce = serde_json::json!({"name": "scarce", "apiKeys": ["k-scarce"], "priority": 1, "unit": "tokens",
        "plainTokens": 500, "ratePerS": 10, "burst": 100});
    document["tenants"].as_array_mut().expect("tenants are a list").push(scarce);
    let fleet = Fleet::start_with(1, 1, false, SHORT_GRACE_PERIOD).expect("fleet starts");
    until("the configuration is acknowledged", || fleet.put(CONTROL, 0, &document.to_string()).0 == 200);
    register(&fleet, "i-1", backend.address);
    until("the proxy is ready", || fleet.is_ready(EDGE));
    fleet
}

/// Opens a connection, and waits until the proxy has accepted it: it answers later calls only then.
fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.front(EDGE)).expect("the proxy accepts connections");
    await_events(fleet);
    stream
}

/// Waits until the proxy, which has a single thread, has handled what was sent to it before.
fn await_events(fleet: &Fleet) {
    for _ in 0..3 {
        fleet.is_ready(EDGE);
    }
}

/// The status of the response on a connection; `None` if it ends without one.
fn status(stream: TcpStream) -> Option<u16> {
    read_message(&mut BufReader::new(stream)).map(|response| response.status())
}

/// A request that was read whole and waits for tokens did not count as active: the process ended without an answer to it.
#[test]
fn a_request_that_waits_for_tokens_is_answered_before_the_process_ends() {
    let backend = Backend::start(|_| answer());
    let mut fleet = fleet_with_scarce_tokens(&backend);
    let scarce = request("plain").replace("k-free", "k-scarce");
    let mut waiting = connect(&fleet);
    waiting.write_all(scarce.as_bytes()).expect("the request is sent");
    await_events(&fleet);
    fleet.terminate(EDGE).expect("the signal is sent");
    assert_eq!(status(waiting), Some(429));
    until("the process ends", || !fleet.is_running(EDGE));
    assert!(backend.requests().is_empty(), "the rejected request was executed");
}

/// The platform sends clients for some time after the SIGTERM. Their connections were closed as idle ones before their request.
#[test]
fn a_client_that_connects_right_after_the_signal_is_served() {
    let backend = Backend::start(|_| answer());
    let mut fleet = fleet_with_scarce_tokens(&backend);
    fleet.terminate(EDGE).expect("the signal is sent");
    until("the proxy is not ready", || !fleet.is_ready(EDGE));
    let mut late = connect(&fleet);
    late.write_all(request("plain").as_bytes()).expect("the request is sent");
    assert_eq!(status(late), Some(200));
}
