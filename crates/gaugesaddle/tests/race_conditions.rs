//! Races between two events, as listed in `docs/design/crossings.md`. Each test forces the unfavourable order of one
//! pair and checks what arrives at the other end of a real connection.

use gaugesaddle_testbed::scripted::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time after a client's close within which the proxy must detect it: no attempt may start later.
const DISCONNECT_DETECTION_BOUND: Duration = Duration::from_millis(100);

fn ready(name: &str, backend: &Backend) -> Value {
    endpoint(name, backend.address, "ready", 0)
}

/// A backend that announces each request on `arrivals` and answers it with the next of `replies`.
struct Gated {
    backend: Backend,
    arrivals: mpsc::Receiver<()>,
    replies: mpsc::Sender<Reply>,
}

impl Gated {
    fn start() -> Gated {
        let ((arrived, arrivals), (replies, queued_replies)) = (mpsc::channel(), mpsc::channel());
        let (arrived, queued_replies) = (Mutex::new(arrived), Mutex::new(queued_replies));
        let backend = Backend::start(move |_| {
            let _ = arrived.lock().unwrap().send(());
            queued_replies.lock().unwrap().recv().unwrap_or(Reply::NoResponse)
        });
        Gated { backend, arrivals, replies }
    }

    fn wait_for_request(&self) {
        self.arrivals.recv_timeout(Duration::from_secs(20)).expect("a request reaches the backend");
    }
}

/// A client's plain TCP connection, whose halves can be shut down separately.
fn connect(proxy: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream
}

fn correlation_id(text: &str) -> String {
    let at = text.find("X-Correlation-Id: ").unwrap() + "X-Correlation-Id: ".len();
    text[at..at + 16].to_string()
}

fn has_received(backend: &Backend, text: &str) -> bool {
    let id = correlation_id(text);
    backend.requests().iter().any(|m| m.header("x-correlation-id") == Some(&id))
}

// Client disconnects.

/// A client disconnects while its request waits for a backend. Bytes that it sent after the request stand unread
/// before the end of the stream and can hide it, so that the request is still forwarded once a backend is ready.
#[test]
fn a_disconnect_behind_unread_bytes_cancels_the_waiting_request() {
    // The last case exceeds the proxy's read-ahead. (With more than the socket buffers hold, the FIN does not even
    // arrive.)
    for behind in ["\r\n".to_string(), request("read", 7000), "x".repeat(40_000)] {
        let backend = Backend::start(|_| ok("x"));
        let discovery = Discovery::start();
        let mut leaving = ready("a", &backend);
        leaving["status"] = json!("draining");
        let proxy = Proxy::spawn(&config(discovery.address, &[leaving.clone()]));
        discovery.publish(true, &[leaving]);
        let waiting = request("read", 7000);
        let mut client = connect(&proxy);
        client.set_nonblocking(true).unwrap();
        let _ = client.write_all((waiting.clone() + &behind).as_bytes());
        // A duplicate correlation id is rejected with 409 as long as the request is open.
        until("the request waits in the proxy", || send_request(&proxy, &waiting).status() == 409);
        drop(client);
        std::thread::sleep(DISCONNECT_DETECTION_BOUND);
        discovery.publish(true, &[ready("a", &backend)]);
        assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
        assert!(
            !has_received(&backend, &waiting),
            "forwarded for a disconnected client that had sent {} more bytes",
            behind.len()
        );
    }
}

/// A client pipelines two requests and disconnects while the first is in flight: the second must not be forwarded.
#[test]
fn a_pipelined_request_is_not_forwarded_after_the_client_disconnects() {
    let gated = Gated::start();
    let discovery = Discovery::start();
    let proxy = Proxy::start(&config(discovery.address, &[ready("a", &gated.backend)]));
    discovery.publish(true, &[ready("a", &gated.backend)]);
    let (first, second) = (request("read", 7000), request("read", 7000));
    let mut client = connect(&proxy);
    client.write_all((first + &second).as_bytes()).unwrap();
    gated.wait_for_request();
    drop(client);
    std::thread::sleep(DISCONNECT_DETECTION_BOUND);
    gated.replies.send(ok("first")).unwrap();
    gated.replies.send(ok("probe")).unwrap();
    assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
    assert!(!has_received(&gated.backend, &second), "the attempt started after its client disconnected");
}

/// A half-close counts as a disconnect, as the proxy cannot distinguish it from a full close.
#[test]
fn a_half_close_counts_as_a_disconnect() {
    let backend = Backend::start(|_| Reply::NoResponse);
    let discovery = Discovery::start();
    let proxy = Proxy::start(&config(discovery.address, &[ready("a", &backend)]));
    discovery.publish(true, &[ready("a", &backend)]);
    let mut client = connect(&proxy);
    client.write_all(request("read", 7000).as_bytes()).unwrap();
    until("the attempt reaches the backend", || backend.requests().len() == 1);
    client.shutdown(Shutdown::Write).unwrap();
    until("the attempt is cancelled", || backend.closed() == 1);
    assert_eq!(client.read(&mut [0]).unwrap_or(0), 0, "a response after the client's half-close");
}

/// The client disconnects while the upstream connection is being established: no byte is sent on it.
#[test]
fn a_client_disconnect_during_the_upstream_connect_sends_no_bytes() {
    let unaccepting = UnacceptingBackend::start();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[endpoint("a", unaccepting.address, "ready", 0)]);
    config["settings"]["limits"]["dial_timeout_us"] = json!(20_000_000);
    let proxy = Proxy::start(&config);
    let waiting = request("pay", 20_000);
    let mut client = connect(&proxy);
    client.write_all((waiting.clone() + "\r\n").as_bytes()).unwrap();
    until("the request is open", || send_request(&proxy, &waiting).status() == 409);
    drop(client);
    let duplicate = waiting.replace("X-Time-Left-Ms: 20000", "X-Time-Left-Ms: 50");
    until("the request is no longer open", || send_request(&proxy, &duplicate).status() != 409);
    let address = unaccepting.address;
    let bytes = unaccepting.accept_all();
    std::thread::sleep(Duration::from_millis(1_500)); // the kernel retransmits a SYN after one second
    UnacceptingBackend::finish(address);
    assert_eq!(bytes.join().unwrap(), 0);
}

// Retries and the idempotency window.

/// An attempt may have been executed, and the connection for its retry is established only after the window in which
/// the backends remember the idempotency key.
#[test]
fn a_retry_is_not_sent_after_its_idempotency_window() {
    let (gated, unaccepting) = (Gated::start(), UnacceptingBackend::start());
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[ready("a", &gated.backend)]);
    config["settings"]["limits"]["dial_timeout_us"] = json!(20_000_000);
    let window = Duration::from_micros(config["settings"]["profiles"][1]["window_us"].as_u64().unwrap());
    let proxy = Proxy::start(&config);
    discovery.publish(true, &[ready("a", &gated.backend)]);
    // Retries are limited to a fraction of the requests, so some requests have to precede one.
    for _ in 0..20 {
        gated.replies.send(ok("x")).unwrap();
        assert_eq!(send_request(&proxy, &request("vote", 7000)).status(), 200);
        gated.wait_for_request();
    }
    let mut client = connect(&proxy);
    client.write_all(request("vote", 7000).as_bytes()).unwrap();
    gated.wait_for_request();
    let begun = Instant::now();
    discovery.publish(false, &[endpoint("b", unaccepting.address, "ready", 0)]);
    gated.replies.send(Reply::Respond("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".into())).unwrap();
    std::thread::sleep((begun + window).saturating_duration_since(Instant::now()));
    let address = unaccepting.address;
    let bytes = unaccepting.accept_all();
    let mut answer = [0; 12];
    client.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 502", "possibly executed and no longer retryable");
    UnacceptingBackend::finish(address);
    assert_eq!(bytes.join().unwrap(), 0, "the retry was sent after the idempotency window");
}

// Shutdown.

/// Shutdown closes idle connections; one on which a request has been received in part is kept, and the request
/// answered.
#[test]
fn a_partially_received_request_is_answered_during_shutdown() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut proxy = Proxy::start(&config(discovery.address, &[ready("a", &backend)]));
    discovery.publish(true, &[ready("a", &backend)]);
    let (mut partial, mut idle_client) = (Client::open(proxy.address), Client::open(proxy.address));
    for client in [&mut partial, &mut idle_client] {
        client.send(&request("read", 7000));
        assert_eq!(client.read_response().map(|a| a.status()), Some(200));
    }
    let text = request("read", 7000);
    partial.send(&text[..text.len() / 2]);
    proxy.terminate();
    assert!(idle_client.wait_for_close(), "the idle connection is closed");
    partial.send(&text[text.len() / 2..]);
    let answer = partial.read_response().expect("an answer to the partially received request");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(partial.wait_for_close());
    assert!(proxy.exit().success());
}

/// Pipelined requests received before the shutdown are all answered, the last one with `Connection: close`.
#[test]
fn pipelined_requests_are_all_answered_during_shutdown() {
    let gated = Gated::start();
    let discovery = Discovery::start();
    let mut proxy = Proxy::start(&config(discovery.address, &[ready("a", &gated.backend)]));
    discovery.publish(true, &[ready("a", &gated.backend)]);
    let mut client = Client::open(proxy.address);
    client.send(&(request("read", 7000) + &request("vote", 7000) + &request("read", 7000)));
    gated.wait_for_request();
    proxy.terminate();
    until("the proxy is not ready", || proxy.ready() != 200);
    (0..3).for_each(|_| gated.replies.send(ok("x")).unwrap());
    let connection_headers: Vec<Option<String>> = (0..3)
        .map(|n| {
            let answer = client.read_response().unwrap_or_else(|| panic!("request {n} got no response"));
            assert_eq!(answer.status(), 200);
            answer.header("connection").map(String::from)
        })
        .collect();
    assert_eq!(connection_headers, [None, None, Some("close".to_string())]);
    assert!(client.wait_for_close());
    assert!(proxy.exit().success());
}

/// A slow client still reads the last response when the proxy closes the connection, on which unread bytes have
/// arrived. An immediate close would send a reset and lose the rest of the response.
#[test]
fn closing_with_unread_bytes_does_not_reset_the_last_response() {
    let length = 12 << 20;
    let backend = Backend::start(move |_| ok(&"z".repeat(length)));
    let discovery = Discovery::start();
    let mut proxy = Proxy::start(&config(discovery.address, &[ready("a", &backend)]));
    discovery.publish(true, &[ready("a", &backend)]);
    let mut client = connect(&proxy);
    client.write_all(request("read", 7000).as_bytes()).unwrap();
    let mut first = [0; 1];
    client.read_exact(&mut first).unwrap();
    proxy.terminate();
    until("the proxy is not ready", || proxy.ready() != 200);
    // The proxy reads the first of these; the others are in the socket buffer when it closes.
    let mut surplus_writer = client.try_clone().unwrap();
    let flood = std::thread::spawn(move || {
        for _ in 0..2_000 {
            if surplus_writer.write_all(&[b'x'; 100]).is_err() {
                break;
            }
            std::thread::sleep(Duration::from_micros(500));
        }
    });
    let mut whole = first.to_vec();
    let mut buffer = vec![0; 32 << 10];
    let body = loop {
        match client.read(&mut buffer) {
            Ok(n @ 1..) => whole.extend_from_slice(&buffer[..n]),
            _ => break whole.iter().filter(|b| **b == b'z').count(),
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    flood.join().unwrap();
    assert!(body >= length, "received {body} of {length} bytes");
    assert!(proxy.exit().success());
}

/// SIGTERM before the first endpoint list, while discovery does not answer: there is nothing to wait for.
#[test]
fn shutdown_before_the_first_endpoint_list_is_clean() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::spawn(&config(discovery.address, &[]));
    until("the proxy listens", || proxy.ready() == 503);
    discovery.stop_answering();
    let before = Instant::now();
    proxy.terminate();
    assert!(proxy.exit().success());
    assert!(before.elapsed() < Duration::from_secs(3), "{:?}", before.elapsed());
}

/// Two SIGTERM with SIGHUP between and after them, and a backend that hangs: one response by the deadline, then a
/// clean exit well before a supervisor would kill the process.
#[test]
fn overlapping_signals_and_a_hanging_backend_do_not_delay_shutdown() {
    let backend = Backend::start(|_| Reply::NoResponse);
    let discovery = Discovery::start();
    let config = config(discovery.address, &[ready("a", &backend)]);
    let mut proxy = Proxy::start(&config);
    discovery.publish(true, &[ready("a", &backend)]);
    let mut client = Client::open(proxy.address);
    let sent = Instant::now();
    client.send(&request("pay", 2_000));
    until("the attempt reaches the backend", || backend.requests().len() == 1);
    proxy.terminate();
    proxy.reload(&config.to_string());
    proxy.terminate();
    proxy.reload("not a configuration");
    proxy.signal("-INT");
    let answer = client.read_response().expect("a response");
    assert_eq!((answer.status(), answer.header("connection")), (502, Some("close")));
    assert!(sent.elapsed() < Duration::from_millis(2_100), "{:?}", sent.elapsed());
    assert!(proxy.exit().success());
    assert!(sent.elapsed() < Duration::from_millis(2_900), "{:?}", sent.elapsed());
}

/// Shutdown does not wait for the rest of an incomplete request: its connection is closed, and the client can retry at
/// another proxy.
#[test]
fn an_incomplete_request_does_not_delay_shutdown() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut proxy = Proxy::start(&config(discovery.address, &[ready("a", &backend)]));
    discovery.publish(true, &[ready("a", &backend)]);
    let mut partial = Client::open(proxy.address);
    partial.send(&request("read", 7000));
    assert_eq!(partial.read_response().map(|a| a.status()), Some(200));
    partial.send("GET /read/a?b=c HTTP/1.1\r\nHost: back");
    let before = Instant::now();
    proxy.terminate();
    assert!(partial.wait_for_close());
    assert!(proxy.exit().success());
    assert!(before.elapsed() < Duration::from_millis(1_500), "{:?}", before.elapsed());
}

// Reloads and starts.

/// A reload while a request is in flight brings reordered classes with other effects, and other tenants. All of these
/// stay as at the start of the process, and the log names the settings that need a restart.
#[test]
fn reloaded_settings_that_need_a_restart_do_not_affect_open_requests() {
    let gated = Gated::start();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[ready("a", &gated.backend)]);
    let proxy = Proxy::start(&config);
    discovery.publish(true, &[ready("a", &gated.backend)]);
    let mut client = connect(&proxy);
    client.write_all(request("pay", 7000).as_bytes()).unwrap();
    gated.wait_for_request();
    let settings = &mut config["settings"];
    let mut profiles = settings["profiles"].as_array().unwrap().clone();
    profiles.reverse();
    (profiles[0]["effect"], profiles[2]["effect"]) = (json!("free"), json!("single_shot"));
    settings["profiles"] = json!(profiles);
    settings["customers"] = json!([{"name": "acme", "quota_rps": 1.0}]);
    proxy.reload(&config.to_string());
    until("the settings that need a restart are logged", || {
        let log = proxy.log();
        ["settings.profiles", "settings.customers"].iter().all(|key| log.contains(key))
    });
    // Under the new settings this request could be retried.
    gated.replies.send(Reply::RespondAndClose(String::new())).unwrap();
    let mut answer = [0; 12];
    client.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 502");
    for _ in 0..3 {
        gated.replies.send(ok("x")).unwrap();
        assert_eq!(
            send_request(&proxy, &request("pay", 7000)).status(),
            200,
            "served under the settings of the start, without a quota"
        );
    }
    assert_eq!(gated.backend.requests().len(), 4, "each request is sent once");
    // A file with another proxy's name is rejected, and its discovery address is not used.
    let other = Discovery::start();
    config["name"] = json!("n2");
    config["discovery"] = json!(other.address.to_string());
    proxy.reload(&config.to_string());
    until("the rejection is logged", || proxy.log().contains("name: expected \"n1\", got \"n2\""));
    discovery.publish(false, &[]);
    assert_eq!(other.calls(), 0);
}

/// A process that starts with a known list is ready at once, whether discovery does not answer or refuses
/// connections, and in both discovery modes.
#[test]
fn a_process_with_a_known_list_is_ready_without_discovery() {
    let backend = Backend::start(|_| ok("x"));
    let silent = Discovery::start();
    for (mode, address) in [
        ("automatic", silent.address),
        ("automatic", free_address()),
        ("subscribe", silent.address),
        ("subscribe", free_address()),
    ] {
        let mut config = config(address, &[ready("a", &backend)]);
        config["settings"]["discovery"] = json!(mode);
        config["settings"]["group_size"] = json!(300);
        let start = Instant::now();
        let proxy = Proxy::start(&config);
        assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
        assert!(start.elapsed() < Duration::from_secs(10), "{mode}: {:?}", start.elapsed());
    }
}

// Descriptors.

/// Idle clients take every descriptor allotted to clients while discovery is down, and more keep connecting: the
/// drain that discovery publishes on its return is applied in time, and clients with requests are admitted.
#[test]
fn idle_clients_do_not_exhaust_descriptors_for_discovery_and_backends() {
    const GRACE: Duration = Duration::from_millis(550);
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[ready("a", &a), ready("b", &b)]);
    config["limits"]["sockets"] = json!(64);
    // RLIMIT_NOFILE equals the configured limit.
    let proxy = Proxy::spawn_with(&config, "64", &[]);
    until("the proxy is ready", || proxy.ready() == 200);
    discovery.publish(true, &[ready("a", &a), ready("b", &b)]);
    let (stop, stopped) = mpsc::channel::<()>();
    let address = proxy.address;
    let idle_clients = std::thread::spawn(move || {
        let mut idle = Vec::new();
        while matches!(stopped.try_recv(), Err(mpsc::TryRecvError::Empty)) {
            idle.extend(TcpStream::connect(address));
            std::thread::sleep(Duration::from_millis(2));
        }
        idle.len()
    });
    discovery.reset();
    let down = Instant::now();
    while down.elapsed() < Duration::from_millis(1_200) {
        assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200);
    }
    let published_at = Instant::now();
    discovery.resume(false, &[endpoint("a", a.address, "draining", 0)]);
    std::thread::sleep((published_at + GRACE).saturating_duration_since(Instant::now()));
    let before = a.requests().len();
    (0..20).for_each(|_| assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200));
    assert_eq!(a.requests().len(), before, "requests were sent to a drained server");
    drop(stop);
    assert!(idle_clients.join().unwrap() > 64, "too few idle clients to take all descriptors");
    assert!(!proxy.log().contains("accept: failed"), "{}", proxy.log());
}

// Possibly executed requests.

/// The backend closes the connection after it received a long request body in full: the request may have been
/// executed, and the response must not mark it as safe to retry.
#[test]
fn a_streamed_request_sent_in_full_counts_as_possibly_executed() {
    let backend = Backend::start(|_| Reply::RespondAndClose(String::new()));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[ready("a", &backend)]);
    config["limits"]["memory_mb"] = json!(8);
    let proxy = Proxy::start(&config);
    discovery.publish(true, &[ready("a", &backend)]);
    let length = 6 << 20;
    let head = request("pay", 7000).replace("Content-Length: 4", &format!("Content-Length: {length}"));
    let mut client = Client::open(proxy.address);
    client.send(head.strip_suffix("body").unwrap());
    client.send(&"b".repeat(length));
    let answer = client.read_response().expect("a response");
    assert_eq!((answer.status(), backend.requests().len()), (502, 1));
}

// Discovery by subscription.

/// The watch is reset, the next call is never answered, and a drain follows: it is applied within the grace period that
/// starts 6 s after the publication, whatever failed before.
#[test]
fn a_drain_after_a_failed_and_an_unanswered_discovery_call_is_applied_in_time() {
    const PUBLISH_DELAY: Duration = Duration::from_secs(6);
    const GRACE: Duration = Duration::from_millis(550);
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[ready("a", &a), ready("b", &b)]);
    config["settings"]["discovery"] = json!("subscribe");
    let proxy = Proxy::start(&config);
    discovery.publish(true, &[ready("a", &a), ready("b", &b)]);
    discovery.reset();
    discovery.stop_resetting();
    let published_at = Instant::now() + PUBLISH_DELAY;
    discovery.resume(false, &[endpoint("a", a.address, "draining", 0)]);
    std::thread::sleep((published_at + GRACE).saturating_duration_since(Instant::now()));
    let before = a.requests().len();
    (0..40).for_each(|_| assert_eq!(send_request(&proxy, &request("read", 7000)).status(), 200));
    assert_eq!(a.requests().len(), before, "requests were sent to a drained server");
}
