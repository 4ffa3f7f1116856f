//! Where two events cross. Every test brings about the bad order of one pair, as the rows of `docs/design/crossings.md`
//! name them, and judges by what reaches the other side of a real connection.

use gaugesaddle_testbed::scripted::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// From a client's close on, an attempt that begins later than this is one too many.
const DISCONNECT_DETECTION_BOUND: Duration = Duration::from_millis(100);

fn ready(name: &str, backend: &Backend) -> Value {
    line(name, backend.address, "ready", 0)
}

/// A backend that answers nothing before it is let go, and a word for each request that has reached it.
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
        self.arrivals.recv_timeout(Duration::from_secs(20)).expect("a request");
    }
}

/// A client's bare connection, of which each half can be ended alone.
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

// The client leaves.

/// A client leaves while its request is held, and what it had sent behind that request stands unread before its end: the
/// end was not seen, and the request was sent on when a backend came.
#[test]
fn a_disconnect_behind_unread_bytes_cancels_the_waiting_request() {
    // The last is more than is read ahead. (Of more than the system itself holds the end does not even arrive.)
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
        // Taken: an id that is open is refused.
        until("the request is held", || ask(&proxy, &waiting).status() == 409);
        drop(client);
        std::thread::sleep(DISCONNECT_DETECTION_BOUND);
        discovery.publish(true, &[ready("a", &backend)]);
        assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
        assert!(
            !has_received(&backend, &waiting),
            "sent on for a client that has gone, {} bytes behind",
            behind.len()
        );
    }
}

/// Two requests in one piece; the client leaves while the first is at work. The second is nobody's any more.
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
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
    assert!(!has_received(&gated.backend, &second), "begun after its client left");
}

/// A client that ends its sending only has gone as well: nobody would tell its close from it.
#[test]
fn a_half_close_counts_as_a_disconnect() {
    let backend = Backend::start(|_| Reply::NoResponse);
    let discovery = Discovery::start();
    let proxy = Proxy::start(&config(discovery.address, &[ready("a", &backend)]));
    discovery.publish(true, &[ready("a", &backend)]);
    let mut client = connect(&proxy);
    client.write_all(request("read", 7000).as_bytes()).unwrap();
    until("the attempt", || backend.requests().len() == 1);
    client.shutdown(Shutdown::Write).unwrap();
    until("its attempt called off", || backend.closed() == 1);
    assert_eq!(client.read(&mut [0]).unwrap_or(0), 0, "no answer after its end");
}

/// The client leaves while the connection for its attempt comes up: not a byte goes out on it.
#[test]
fn a_client_disconnect_during_the_upstream_connect_sends_no_bytes() {
    let unaccepting = UnacceptingBackend::start();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[line("a", unaccepting.address, "ready", 0)]);
    config["settings"]["limits"]["dial_timeout_us"] = json!(20_000_000);
    let proxy = Proxy::start(&config);
    let waiting = request("pay", 20_000);
    let mut client = connect(&proxy);
    client.write_all((waiting.clone() + "\r\n").as_bytes()).unwrap();
    until("it is taken", || ask(&proxy, &waiting).status() == 409);
    drop(client);
    let again = waiting.replace("X-Time-Left-Ms: 20000", "X-Time-Left-Ms: 50");
    until("it is over", || ask(&proxy, &again).status() != 409);
    let address = unaccepting.address;
    let bytes = unaccepting.let_in();
    std::thread::sleep(Duration::from_millis(1_500)); // the system tries a connect anew after a second
    UnacceptingBackend::done(address);
    assert_eq!(bytes.join().unwrap(), 0);
}

// A retry and its window.

/// An attempt may have run; the connection for its repeat comes up after the window in which the backends know the key.
#[test]
fn a_retry_is_not_sent_after_its_idempotency_window() {
    let (gated, unaccepting) = (Gated::start(), UnacceptingBackend::start());
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[ready("a", &gated.backend)]);
    config["settings"]["limits"]["dial_timeout_us"] = json!(20_000_000);
    let window = Duration::from_micros(config["settings"]["profiles"][1]["window_us"].as_u64().unwrap());
    let proxy = Proxy::start(&config);
    discovery.publish(true, &[ready("a", &gated.backend)]);
    // Repeats are held to a part of the requests: some have to come first.
    for _ in 0..20 {
        gated.replies.send(ok("x")).unwrap();
        assert_eq!(ask(&proxy, &request("vote", 7000)).status(), 200);
        gated.wait_for_request();
    }
    let mut client = connect(&proxy);
    client.write_all(request("vote", 7000).as_bytes()).unwrap();
    gated.wait_for_request();
    let begun = Instant::now();
    discovery.publish(false, &[line("b", unaccepting.address, "ready", 0)]);
    gated.replies.send(Reply::Respond("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".into())).unwrap();
    std::thread::sleep((begun + window).saturating_duration_since(Instant::now()));
    let address = unaccepting.address;
    let bytes = unaccepting.let_in();
    let mut answer = [0; 12];
    client.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 502", "it may have run, and can't be repeated any more");
    UnacceptingBackend::done(address);
    assert_eq!(bytes.join().unwrap(), 0, "sent again after its window");
}

// The end of the process.

/// Half a request has come on a connection between requests when the process lets go of those: it is answered.
#[test]
fn a_partially_received_request_is_answered_during_shutdown() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut proxy = Proxy::start(&config(discovery.address, &[ready("a", &backend)]));
    discovery.publish(true, &[ready("a", &backend)]);
    let (mut half, mut resting) = (Client::open(proxy.address), Client::open(proxy.address));
    for client in [&mut half, &mut resting] {
        client.send(&request("read", 7000));
        assert_eq!(client.answer().map(|a| a.status()), Some(200));
    }
    let text = request("read", 7000);
    half.send(&text[..text.len() / 2]);
    proxy.terminate();
    assert!(resting.ends(), "let go");
    half.send(&text[text.len() / 2..]);
    let answer = half.answer().expect("an answer to what was on its way");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(half.ends());
    assert!(proxy.exit().success());
}

/// Several requests came in one piece before the end: each is answered, and the last answer says that it is the last.
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
    until("it ends", || proxy.ready() != 200);
    (0..3).for_each(|_| gated.replies.send(ok("x")).unwrap());
    let connection_headers: Vec<Option<String>> = (0..3)
        .map(|n| {
            let answer = client.answer().unwrap_or_else(|| panic!("request {n} has no answer"));
            assert_eq!(answer.status(), 200);
            answer.header("connection").map(String::from)
        })
        .collect();
    assert_eq!(connection_headers, [None, None, Some("close".to_string())]);
    assert!(client.ends());
    assert!(proxy.exit().success());
}

/// The last answer is still on its way to a slow reader when its connection ends over bytes that nobody read: closed at
/// once, it would be reset, and the rest of the answer with it.
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
    until("it ends", || proxy.ready() != 200);
    // One read takes up the first of these; the others stand in the system when the proxy closes.
    let mut behind = client.try_clone().unwrap();
    let flood = std::thread::spawn(move || {
        for _ in 0..2_000 {
            if behind.write_all(&[b'x'; 100]).is_err() {
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
    assert!(body >= length, "{body} of {length} bytes");
    assert!(proxy.exit().success());
}

/// SIGTERM before any list, during a silence of discovery: there is nothing to wait for.
#[test]
fn shutdown_before_the_first_endpoint_list_is_clean() {
    let discovery = Discovery::start();
    let mut proxy = Proxy::spawn(&config(discovery.address, &[]));
    until("it listens", || proxy.ready() == 503);
    discovery.stop_answering();
    let before = Instant::now();
    proxy.terminate();
    assert!(proxy.exit().success());
    assert!(before.elapsed() < Duration::from_secs(3), "{:?}", before.elapsed());
}

/// SIGTERM comes twice, SIGHUP between and after, the backend hangs: one answer by the deadline, then a clean end well
/// before anybody would kill it.
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
    until("the attempt", || backend.requests().len() == 1);
    proxy.terminate();
    proxy.reload(&config.to_string());
    proxy.terminate();
    proxy.reload("not a configuration");
    proxy.signal("-INT");
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (502, Some("close")));
    assert!(sent.elapsed() < Duration::from_millis(2_100), "{:?}", sent.elapsed());
    assert!(proxy.exit().success());
    assert!(sent.elapsed() < Duration::from_millis(2_900), "{:?}", sent.elapsed());
}

/// Half a request, of which the rest does not come: the end does not wait for it, and whoever sends it later finds a
/// closed connection while the process could still answer elsewhere.
#[test]
fn an_incomplete_request_does_not_delay_shutdown() {
    let backend = Backend::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut proxy = Proxy::start(&config(discovery.address, &[ready("a", &backend)]));
    discovery.publish(true, &[ready("a", &backend)]);
    let mut half = Client::open(proxy.address);
    half.send(&request("read", 7000));
    assert_eq!(half.answer().map(|a| a.status()), Some(200));
    half.send("GET /read/a?b=c HTTP/1.1\r\nHost: back");
    let before = Instant::now();
    proxy.terminate();
    assert!(half.ends());
    assert!(proxy.exit().success());
    assert!(before.elapsed() < Duration::from_millis(1_500), "{:?}", before.elapsed());
}

// Hand-overs.

/// A new configuration comes while a request is at work: its classes stand in another order and have other effects, its
/// limits and tenants are others. All that goes on under the one of the start, and the log says what did not change.
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
    until("what is not taken up", || {
        let log = proxy.log();
        ["settings.profiles", "settings.customers"].iter().all(|key| log.contains(key))
    });
    // Under the new one it might be sent again, for there it may.
    gated.replies.send(Reply::RespondAndClose(String::new())).unwrap();
    let mut answer = [0; 12];
    client.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 502");
    for _ in 0..3 {
        gated.replies.send(ok("x")).unwrap();
        assert_eq!(ask(&proxy, &request("pay", 7000)).status(), 200, "as it was, with no account");
    }
    assert_eq!(gated.backend.requests().len(), 4, "each was sent once");
    // Another proxy's file moves nothing: its discovery is not this one's.
    let other = Discovery::start();
    config["name"] = json!("n2");
    config["discovery"] = json!(other.address.to_string());
    proxy.reload(&config.to_string());
    until("the refusal", || proxy.log().contains("name: expected \"n1\", got \"n2\""));
    discovery.publish(false, &[]);
    assert_eq!(other.calls(), 0);
}

/// A process that starts with a list is ready at once, whatever discovery does: silent, refusing, or asked and down.
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
        assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
        assert!(start.elapsed() < Duration::from_secs(10), "{mode}: {:?}", start.elapsed());
    }
}

// Descriptors.

/// Idle clients hold every descriptor that clients may have while discovery is down, and go on coming: the server that
/// leaves at its return is known in time, and who has something to ask gets in.
#[test]
fn idle_clients_do_not_exhaust_descriptors_for_discovery_and_backends() {
    const GRACE: Duration = Duration::from_millis(550);
    let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &[ready("a", &a), ready("b", &b)]);
    config["limits"]["sockets"] = json!(64);
    // The system's own limit is the one that is told.
    let proxy = Proxy::spawn_with(&config, "64", &[]);
    until("ready", || proxy.ready() == 200);
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
        assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200);
    }
    let published_at = Instant::now();
    discovery.resume(false, &[line("a", a.address, "draining", 0)]);
    std::thread::sleep((published_at + GRACE).saturating_duration_since(Instant::now()));
    let before = a.requests().len();
    (0..20).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
    assert_eq!(a.requests().len(), before, "sent to a server that has left");
    drop(stop);
    assert!(idle_clients.join().unwrap() > 64, "it was no crowd");
    assert!(!proxy.log().contains("accept: failed"), "{}", proxy.log());
}

// What may have run.

/// A long body with a stated length has gone to the backend whole, which then breaks off: it may have run. Its client
/// must not hear that trying again is harmless.
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
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), backend.requests().len()), (502, 1));
}

// Discovery that is asked.

/// The watch breaks, the call after it is swallowed, and then a server leaves: told 6 s later, whatever failed before.
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
    discovery.swallow();
    let published_at = Instant::now() + PUBLISH_DELAY;
    discovery.resume(false, &[line("a", a.address, "draining", 0)]);
    std::thread::sleep((published_at + GRACE).saturating_duration_since(Instant::now()));
    let before = a.requests().len();
    (0..40).for_each(|_| assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200));
    assert_eq!(a.requests().len(), before, "sent to a server that has left");
}
