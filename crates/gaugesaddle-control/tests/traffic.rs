//! Guards, with real proxies and control processes, against a request that reaches a backend that it must not reach, is
//! executed twice, or is rejected as not executed although it was, and against a stream that loses an event.

use gaugesaddle_testbed::fleet::{call, document, Chunked, Fleet};
use gaugesaddle_testbed::scripted::{chunk, events, until, Backend, Message, Reply};
use std::net::SocketAddr;

/// Index of the control process in the fleet.
const CONTROL: usize = 0;
/// Index of the first proxy in the fleet.
const EDGE: usize = 1;

fn request(route: &str, headers: &str) -> String {
    format!(
        "POST /{route}/a?b=c HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\nDeadline-Ms: 6000\r\n{headers}\
         Content-Length: 4\r\n\r\nbody"
    )
}

const FREE: &str = "Api-Key: k-free\r\n";

fn answer(text: &str) -> Reply {
    Reply::Respond(format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Signature: sig\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    ))
}

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Type: text/event-stream\r\n\
                           Transfer-Encoding: chunked\r\nResponse-Signature: ";

/// Starts a fleet with one control process, a configuration and these backends, and waits until its proxies are ready.
fn fleet_with(edges: u8, backends: &[(&str, SocketAddr)]) -> Fleet {
    let fleet = Fleet::start(1, edges).expect("fleet starts");
    configure(fleet, backends)
}

/// Puts the configuration, registers these backends, and waits until all proxies are ready.
fn configure(fleet: Fleet, backends: &[(&str, SocketAddr)]) -> Fleet {
    until("the configuration is acknowledged", || fleet.put(CONTROL, 0, &document(1).to_string()).0 == 200);
    for (id, address) in backends {
        until("the backend is registered", || fleet.heartbeat(CONTROL, id, "s", *address, "ready") == 200);
    }
    for at in EDGE..fleet.len() {
        until("the proxy is ready", || fleet.is_ready(at));
    }
    fleet
}

#[test]
fn without_a_configuration_requests_are_rejected_with_retry_after() {
    let fleet = Fleet::start(1, 1).expect("fleet starts");
    let mut rejected = Message::default();
    until("the proxy answers", || {
        call(fleet.front(EDGE), &request("plain", FREE)).map(|m| rejected = m).is_ok()
    });
    assert_eq!(rejected.status(), 503);
    assert!(rejected.header("retry-after").is_some());
    assert!(!fleet.is_ready(EDGE));
}

#[test]
fn forwarded_request_has_added_headers_and_no_api_key() {
    let backend = Backend::start(|_| answer("the answer"));
    let fleet = fleet_with(1, &[("i-1", backend.address)]);
    let got = call(fleet.front(EDGE), &request("plain", "Api-Key: k-free\r\nTenant: forged\r\n"))
        .expect("response is received");
    assert_eq!((got.status(), got.body.as_slice()), (200, b"the answer".as_slice()));
    assert_eq!(got.header("response-signature"), Some("sig"));
    let [seen] = &backend.requests()[..] else { panic!("expected exactly one attempt") };
    assert_eq!(seen.start, "POST /plain/a?b=c HTTP/1.1");
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.header("expected-instance"), Some("i-1"));
    assert_eq!(seen.header("tenant"), Some("free"));
    assert_eq!(seen.header("api-key"), None);
    let remaining_ms: u64 =
        seen.header("deadline-ms").and_then(|v| v.parse().ok()).expect("Deadline-Ms is a number");
    assert!((4000..=6000).contains(&remaining_ms), "{remaining_ms} ms remain of 6,000");
    let status = |text: &str| call(fleet.front(EDGE), text).map(|m| m.status()).unwrap_or(0);
    assert_eq!(status(&request("nowhere", FREE)), 404);
    assert_eq!(status(&request("plain", "")), 401);
    assert_eq!(status(&request("plain", "Api-Key: wrong\r\n")), 401);
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn revoked_key_is_rejected() {
    let backend = Backend::start(|_| answer("x"));
    let fleet = fleet_with(1, &[("i-1", backend.address)]);
    let status = || call(fleet.front(EDGE), &request("plain", FREE)).map(|m| m.status()).unwrap_or(0);
    assert_eq!(status(), 200);
    let without = document(2).to_string().replace("k-free", "k-other");
    assert_eq!(fleet.put(CONTROL, 1, &without).0, 200);
    until("the key is rejected", || status() == 401);
}

#[test]
fn no_request_reaches_a_draining_backend() {
    let (old, new) = (Backend::start(|_| answer("old")), Backend::start(|_| answer("new")));
    let fleet = fleet_with(2, &[("i-old", old.address), ("i-new", new.address)]);
    // A control process that has just started acknowledges no drain, since proxies that will use it may not have called
    // yet.
    until("the drain is acknowledged", || {
        fleet.heartbeat(CONTROL, "i-old", "s", old.address, "draining") == 200
    });
    // Every proxy stops within the bound after the acknowledgement: here, by the time that 20 consecutive requests went
    // to the other backend.
    for at in 0..2 {
        until("the proxy applies the drain", || {
            let before = old.requests().len();
            (0..20).all(|_| {
                call(fleet.front(EDGE + at), &request("plain", FREE)).is_ok_and(|m| m.status() == 200)
            }) && old.requests().len() == before
        });
    }
    let last = old.requests().len();
    for _ in 0..50 {
        assert_eq!(call(fleet.front(EDGE), &request("once", FREE)).map(|m| m.status()).ok(), Some(200));
    }
    // A late heartbeat that reports the draining backend as ready has no effect.
    fleet.heartbeat(CONTROL, "i-old", "s", old.address, "ready");
    for _ in 0..50 {
        assert_eq!(call(fleet.front(EDGE), &request("once", FREE)).map(|m| m.status()).ok(), Some(200));
    }
    assert_eq!(old.requests().len(), last);
}

#[test]
fn not_executed_response_is_retried_or_returned_with_retry_after() {
    let shed =
        || Reply::Respond("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned());
    let (full, free) = (Backend::start(move |_| shed()), Backend::start(|_| answer("served")));
    let fleet = fleet_with(1, &[("i-full", full.address), ("i-free", free.address)]);
    until("the full backend was attempted", || {
        let got = call(fleet.front(EDGE), &request("once", FREE)).expect("response is received");
        assert_eq!(got.status(), 200);
        !full.requests().is_empty()
    });
    let alone = fleet_with(1, &[("i-full", full.address)]);
    let got = call(alone.front(EDGE), &request("single", FREE)).expect("response is received");
    assert_eq!(got.status(), 503);
    assert!(got.header("retry-after").is_some());
}

#[test]
fn possibly_executed_request_is_neither_retried_nor_returned_with_retry_after() {
    let broken = Backend::start(|_| Reply::RespondAndClose("HTTP/1.1 2".to_owned()));
    let other = Backend::start(|_| Reply::RespondAndClose(String::new()));
    let fleet = fleet_with(1, &[("i-1", broken.address), ("i-2", other.address)]);
    let got = call(fleet.front(EDGE), &request("once", FREE)).expect("response is received");
    assert_eq!(got.status(), 502);
    assert!(got.header("retry-after").is_none());
    assert_eq!(broken.requests().len() + other.requests().len(), 1);
}

#[test]
fn response_to_another_request_is_not_delivered() {
    let mismatched = Backend::start(|_| {
        Reply::Respond("HTTP/1.1 200 OK\r\nRequest-Id: q0\r\nContent-Length: 5\r\n\r\nwrong".to_owned())
    });
    let fleet = fleet_with(1, &[("i-1", mismatched.address)]);
    let got = call(fleet.front(EDGE), &request("once", FREE)).expect("response is received");
    assert_eq!(got.status(), 502);
}

/// A late response to another request may report a failure, that the request was not executed, or another backend. None
/// of these applies to the current request, which may be running.
#[test]
fn failure_response_to_another_request_is_not_delivered_or_retried() {
    for foreign in ["500 Failed", "503 Full\r\nNot-Executed: 1", "421 Misdirected"] {
        let mismatched = Backend::start(move |_| {
            let head = format!("HTTP/1.1 {foreign}\r\nRequest-Id: q0\r\nResponse-Signature: other\r\n");
            Reply::Respond(format!("{head}Content-Length: 0\r\n\r\n"))
        });
        let other = Backend::start(|_| Reply::RespondAndClose(String::new()));
        let fleet = fleet_with(1, &[("i-1", mismatched.address), ("i-2", other.address)]);
        for _ in 0..6 {
            let got = call(fleet.front(EDGE), &request("once", FREE)).expect("response is received");
            assert_eq!((got.status(), got.header("response-signature")), (502, None), "{foreign}");
        }
        let sent = mismatched.requests().len() + other.requests().len();
        assert_eq!(sent, 6, "{foreign}: a request that may have been executed was retried");
        assert!(!mismatched.requests().is_empty(), "{foreign}: nothing was attempted");
    }
}

#[test]
fn stream_broken_inside_an_event_resumes_after_the_last_complete_event() {
    // The first attempt breaks off inside an event; the second resumes after the event named by Last-Event-Id.
    let respond = |message: &Message, signature: &str| match message.header("last-event-id") {
        Some(id) => {
            let from: u32 = id.parse().expect("Last-Event-Id is a number");
            let rest = chunk(&events(from + 1, 6));
            Reply::Respond(format!("{STREAM_HEAD}{signature}\r\n\r\n{rest}0\r\n\r\n"))
        }
        None => {
            let begun = chunk(&format!("{}id: 3\nda", events(0, 3)));
            Reply::RespondAndClose(format!("{STREAM_HEAD}{signature}\r\n\r\n{begun}"))
        }
    };
    let is_stream = |message: &Message| message.start.contains("/stream/");
    let start = |signature: &'static str| {
        Backend::start(move |m| if is_stream(m) { respond(m, signature) } else { answer("known") })
    };
    let (one, two) = (start("one"), start("two"));
    let fleet = fleet_with(1, &[("i-1", one.address), ("i-2", two.address)]);
    fleet.await_backends(EDGE, &[&one, &two]);
    let streams = |b: &Backend| b.requests().iter().filter(|m| is_stream(m)).count();
    let mut stream = Chunked::open(fleet.front(EDGE), &request("stream", FREE)).expect("stream starts");
    let was_first =
        |b: &Backend| b.requests().iter().any(|m| is_stream(m) && m.header("last-event-id").is_none());
    let first = if was_first(&one) { "one" } else { "two" };
    assert_eq!(stream.head.header("response-signature"), Some(first));
    assert_eq!(stream.rest().expect("stream is complete"), events(0, 6));
    assert_eq!(streams(&one) + streams(&two), 2);
}

#[test]
fn broken_stream_that_is_not_resumable_never_ends_properly() {
    let backend =
        Backend::start(|_| Reply::RespondAndClose(format!("{STREAM_HEAD}s\r\n\r\n{}", chunk(&events(0, 2)))));
    let fleet = fleet_with(1, &[("i-1", backend.address)]);
    // The stream may break before its head is forwarded; in no case does it end properly.
    let ended = Chunked::open(fleet.front(EDGE), &request("single", FREE)).and_then(|mut s| s.rest());
    assert!(ended.is_err(), "a broken stream ended as if it were complete: {ended:?}");
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn misdirected_response_is_retried_at_another_backend() {
    let moved = "HTTP/1.1 421 Misdirected\r\nInstance-Id: i-x\r\nContent-Length: 0\r\n\r\n";
    let (misdirecting, good) =
        (Backend::start(|_| Reply::Respond(moved.to_owned())), Backend::start(|_| answer("x")));
    let fleet = fleet_with(1, &[("i-gone", misdirecting.address), ("i-good", good.address)]);
    until("the misdirecting backend was attempted", || {
        let got = call(fleet.front(EDGE), &request("once", FREE)).expect("response is received");
        assert_eq!(got.status(), 200, "a misdirected request is retried, since it was not executed");
        !misdirecting.requests().is_empty()
    });
}

#[test]
fn only_the_tenant_over_its_quota_is_rejected() {
    let backend = Backend::start(|_| answer("x"));
    let fleet = fleet_with(2, &[("i-1", backend.address)]);
    let request_status = |at: usize, key: &str| {
        let headers = format!("Api-Key: {key}\r\nToken-Usage: 40,10\r\n");
        call(fleet.front(EDGE + at % 2), &request("plain", &headers)).map(|m| m.status()).unwrap_or(0)
    };
    until("the quota is leased", || request_status(0, "k-tight") == 200);
    let statuses: Vec<u16> = (0..60).map(|at| request_status(at, "k-tight")).collect();
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert!(statuses.iter().all(|s| [200, 429].contains(s)), "{statuses:?}");
    assert!(
        served < 60,
        "no request was rejected: 3,000 tokens at a rate of 100 per second and a burst of 300"
    );
    assert!(
        (0..20).all(|at| request_status(at, "k-free") == 200),
        "a request of another tenant was rejected"
    );
}

#[test]
fn proxies_serve_with_their_last_configuration_without_a_control_plane() {
    let backend = Backend::start(|_| answer("x"));
    let mut fleet = fleet_with(1, &[("i-1", backend.address)]);
    fleet.kill(CONTROL);
    for _ in 0..20 {
        assert_eq!(call(fleet.front(EDGE), &request("plain", FREE)).map(|m| m.status()).ok(), Some(200));
    }
    assert!(fleet.is_ready(EDGE));
}

#[test]
fn sigterm_makes_the_proxy_unready_and_completes_streams() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let backend = Backend::start(move |_| {
        // The response is complete only after the proxy has received SIGTERM.
        let _ = released.lock().map(|r| r.recv());
        Reply::Respond(format!("{STREAM_HEAD}s\r\n\r\n{}0\r\n\r\n", chunk(&events(0, 4))))
    });
    let mut fleet = fleet_with(1, &[("i-1", backend.address)]);
    let to = fleet.front(EDGE);
    let client =
        std::thread::spawn(move || Chunked::open(to, &request("single", FREE)).and_then(|mut s| s.rest()));
    until("the backend has received the request", || !backend.requests().is_empty());
    fleet.terminate(EDGE).expect("signal is sent");
    until("the proxy is not ready", || !fleet.is_ready(EDGE));
    release.send(()).expect("backend is waiting");
    assert_eq!(client.join().expect("client thread completes").expect("stream is complete"), events(0, 4));
    until("the process ends", || !fleet.is_running(EDGE));
}

/// Maximum time for which a key may be used after its revocation, in the fail-closed fleets below, in ms.
const REVOKE_MS: u64 = 2500;

fn closed_fleet(backend: &Backend) -> Fleet {
    let fleet = Fleet::start_fail_closed(1, 1, REVOKE_MS).expect("fleet starts");
    configure(fleet, &[("i-1", backend.address)])
}

#[test]
fn partitioned_proxy_stops_using_keys_within_the_bound_and_answers_503_instead_of_401() {
    let backend = Backend::start(|_| answer("x"));
    let mut fleet = closed_fleet(&backend);
    let send_request =
        |fleet: &Fleet| call(fleet.front(EDGE), &request("plain", FREE)).expect("response is received");
    let send_unknown_key = |fleet: &Fleet| {
        call(fleet.front(EDGE), &request("plain", "Api-Key: k-unknown\r\n")).map(|m| m.status()).ok()
    };
    assert_eq!(send_unknown_key(&fleet), Some(401));
    // While a control process responds, keys stay valid beyond the bound.
    let begun = std::time::Instant::now();
    until("the bound has passed twice", || {
        assert_eq!(send_request(&fleet).status(), 200);
        begun.elapsed().as_millis() as u64 > 2 * REVOKE_MS
    });
    fleet.kill(CONTROL);
    let killed_at = std::time::Instant::now();
    assert_eq!(send_request(&fleet).status(), 200, "the key stays valid until the bound has passed");
    until("the proxy is unready", || !fleet.is_ready(EDGE));
    let mut rejected = Message::default();
    until("keys are rejected", || {
        rejected = send_request(&fleet);
        assert!([200, 503].contains(&rejected.status()), "{}", rejected.status());
        rejected.status() == 503
    });
    assert!(killed_at.elapsed().as_millis() as u64 <= REVOKE_MS, "after {:?}", killed_at.elapsed());
    assert!(rejected.header("retry-after").is_some());
    assert_eq!(rejected.header("connection"), Some("close"));
    let before = backend.requests().len();
    // A change that the proxy has not received may have added this key.
    assert_eq!(send_unknown_key(&fleet), Some(503));
    assert_eq!(send_request(&fleet).status(), 503);
    assert_eq!(backend.requests().len(), before);
    // The control process is restarted.
    fleet.start_process(CONTROL).expect("process restarts");
    until("backend is registered", || fleet.heartbeat(CONTROL, "i-1", "s", backend.address, "ready") == 200);
    until("keys are accepted again", || send_request(&fleet).status() == 200);
    assert_eq!(send_unknown_key(&fleet), Some(401));
}

#[test]
fn resumed_proxy_executes_no_request_with_a_key_revoked_while_it_was_stopped() {
    let backend = Backend::start(|_| answer("x"));
    let fleet = closed_fleet(&backend);
    assert_eq!(call(fleet.front(EDGE), &request("plain", FREE)).map(|m| m.status()).ok(), Some(200));
    let before = backend.requests().len();
    fleet.suspend(EDGE).expect("signal is sent");
    let without = document(2).to_string().replace("k-free", "k-other");
    assert_eq!(fleet.put(CONTROL, 1, &without).0, 200);
    let acknowledged = std::time::Instant::now();
    until("the bound has passed", || acknowledged.elapsed().as_millis() as u64 > REVOKE_MS);
    // These requests are queued in the proxy's sockets when it resumes.
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let to = fleet.front(EDGE);
            std::thread::spawn(move || call(to, &request("plain", FREE)).map(|m| m.status()))
        })
        .collect();
    let sent_at = std::time::Instant::now();
    until("the requests are sent", || sent_at.elapsed().as_millis() > 200);
    fleet.resume(EDGE).expect("signal is sent");
    for client in clients {
        let status = client.join().expect("client thread completes").expect("response is received");
        assert!([401, 503].contains(&status), "{status}");
    }
    assert_eq!(backend.requests().len(), before, "a request was executed with a revoked key");
    until("the new key is accepted", || {
        call(fleet.front(EDGE), &request("plain", "Api-Key: k-other\r\n")).is_ok_and(|m| m.status() == 200)
    });
}
